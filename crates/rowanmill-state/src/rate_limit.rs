//! This node's share of a rate limit, with a reserve that only users' changes may use.

use std::time::Instant;

/// A rate with bursts of one second's worth.
#[derive(Debug)]
pub struct RateLimiter {
    rate: f64,
    level: f64,
    at: Instant,
}

/// Who asks: users' accepts and cancellations may use what is kept back from all others, and a little
/// of what is to come, which the others then go without: where a node may write four times a second,
/// one submission in twelve came when less than one change was left, and was a second late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WritePriority {
    /// A user waits for it.
    UserFacing,
    /// Nobody waits for it.
    Background,
}

impl RateLimiter {
    /// A full budget.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            level: rate,
            at: now,
        }
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.level = (self.level + passed * self.rate).min(self.rate);
    }

    /// The rate from now on. What may be taken at once follows it.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(rate);
    }

    /// How many a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// How many may be taken now by that need.
    pub fn available(&mut self, priority: WritePriority, now: Instant) -> f64 {
        self.refill(now);
        match priority {
            WritePriority::UserFacing => self.level + self.rate.mul_add(0.3, 1.0),
            WritePriority::Background => self.level - self.rate * 0.2,
        }
    }

    /// Nothing is left: the service refused what we thought we had.
    pub fn drain(&mut self, now: Instant) {
        self.refill(now);
        self.level = self.level.min(0.0);
    }

    /// Takes so many, even if that leaves less than nothing.
    pub fn consume(&mut self, count: f64, now: Instant) {
        self.refill(now);
        self.level -= count;
    }
}

#[cfg(test)]
mod tests;
