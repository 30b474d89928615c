//! A token bucket for one controller's writes, with a reserve that only writes for users may use.

use std::time::Instant;

/// What the bucket lends to a write for a user beyond what it holds: this part of a second's tokens, and
/// one more. Where a controller may write four times a second, one submission in twelve came when less
/// than one token was left, and was a second late.
const USER_CREDIT_S: f64 = 0.3;
const USER_CREDIT_TOKENS: f64 = 1.0;
/// Part of a full bucket that background writes leave to users.
const USER_RESERVE: f64 = 0.2;

/// A token bucket that holds one second's worth of its rate.
#[derive(Debug)]
pub struct RateLimiter {
    /// Tokens a second, and the most that the bucket holds.
    rate: f64,
    /// Tokens held; below zero when more were consumed than held.
    tokens: f64,
    refilled_at: Instant,
}

/// Who waits for a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WritePriority {
    /// A user does: it may use what is reserved for users, and a little of what is to come, which
    /// background writes then go without.
    UserFacing,
    /// Nobody does.
    Background,
}

impl RateLimiter {
    /// A full bucket with `rate` tokens a second.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            tokens: rate,
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.rate);
    }

    /// Sets the rate, and with it the most that the bucket holds.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(rate);
    }

    /// Tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Tokens that a write of this priority may consume now; may be negative.
    pub fn available(&mut self, priority: WritePriority, now: Instant) -> f64 {
        self.refill(now);
        match priority {
            WritePriority::UserFacing => {
                self.tokens + self.rate.mul_add(USER_CREDIT_S, USER_CREDIT_TOKENS)
            }
            WritePriority::Background => self.tokens - self.rate * USER_RESERVE,
        }
    }

    /// What is available to background writes, as a fraction of a full bucket: from 0 to 1.
    pub fn background_fraction(&mut self, now: Instant) -> f64 {
        let available = self.available(WritePriority::Background, now);
        let most = self.rate * (1.0 - USER_RESERVE);
        (available / most).clamp(0.0, 1.0)
    }

    /// Empties the bucket: the service refused what it was thought to hold.
    pub fn drain(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }

    /// Consumes `tokens`, even if that leaves less than none.
    pub fn consume(&mut self, tokens: f64, now: Instant) {
        self.refill(now);
        self.tokens -= tokens;
    }
}

#[cfg(test)]
mod tests;
