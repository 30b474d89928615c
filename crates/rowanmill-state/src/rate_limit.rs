//! A token bucket for one controller's writes, with a reserve that only user-facing writes may use.

use std::time::Instant;

/// Tokens that a user-facing write may use in advance, beyond those in the bucket: the tokens of this many
/// seconds, and a constant number in addition. Without them, at a rate of four writes a second, one
/// submission in twelve found less than one token in the bucket and was delayed by a second.
const USER_CREDIT_S: f64 = 0.3;
const USER_CREDIT_TOKENS: f64 = 1.0;
/// Fraction of a full bucket that background writes leave to user-facing ones.
const USER_RESERVE: f64 = 0.2;

/// A token bucket whose capacity is the number of tokens that it receives in one second.
#[derive(Debug)]
pub struct RateLimiter {
    /// Tokens added each second, and the capacity of the bucket.
    rate: f64,
    /// Tokens in the bucket; negative if more were consumed than it held.
    tokens: f64,
    refilled_at: Instant,
}

/// The priority of a write, by whether a user waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WritePriority {
    /// A user waits for the write. It may use the reserve and some tokens in advance, which are then missing
    /// for background writes.
    UserFacing,
    /// No user waits for the write.
    Background,
}

impl RateLimiter {
    /// Creates a full bucket that receives `rate` tokens a second.
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

    /// Sets the rate, which is also the capacity.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(rate);
    }

    /// Tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// The number of tokens that writes of this priority may consume now; may be negative.
    pub fn available(&mut self, priority: WritePriority, now: Instant) -> f64 {
        self.refill(now);
        match priority {
            WritePriority::UserFacing => {
                self.tokens + self.rate.mul_add(USER_CREDIT_S, USER_CREDIT_TOKENS)
            }
            WritePriority::Background => self.tokens - self.rate * USER_RESERVE,
        }
    }

    /// The tokens available to background writes, as a fraction of those in a full bucket, from 0 to 1.
    pub fn background_fraction(&mut self, now: Instant) -> f64 {
        let available = self.available(WritePriority::Background, now);
        let capacity = self.rate * (1.0 - USER_RESERVE);
        (available / capacity).clamp(0.0, 1.0)
    }

    /// Empties the bucket after the service refused a write that the bucket permitted.
    pub fn drain(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }

    /// Consumes `tokens`, even if fewer are in the bucket.
    pub fn consume(&mut self, tokens: f64, now: Instant) {
        self.refill(now);
        self.tokens -= tokens;
    }
}

#[cfg(test)]
mod tests;
