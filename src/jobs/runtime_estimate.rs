//! What is learned of jobs as they run: how long a class takes, and which jobs fail.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Run times of a class: actual over the owner's estimate, as mean and deviation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RuntimeEstimate {
    pub count: f64,
    mean: f64,
    m2: f64,
}

impl RuntimeEstimate {
    pub fn add(&mut self, ratio: f64) {
        self.count += 1.0;
        let delta = ratio - self.mean;
        self.mean += delta / self.count;
        self.m2 += delta * (ratio - self.mean);
    }

    /// The paper's estimate, past mean plus one deviation, as a factor on the owner's estimate.
    pub fn factor(&self) -> f64 {
        if self.count < 4.0 {
            return 1.0;
        }
        self.mean + (self.m2 / (self.count - 1.0)).sqrt()
    }

    pub fn mean(&self) -> f64 {
        if self.count < 4.0 { 1.0 } else { self.mean }
    }
}

/// How a job's tasks have failed.
#[derive(Debug, Clone, Default)]
pub struct Failures {
    pub machines: HashSet<String>,
    pub count: u32,
    pub last: Option<Instant>,
}

impl Failures {
    /// Failing wherever it is tried: no machine cures that.
    pub fn is_everywhere(&self) -> bool {
        self.machines.len() >= 2
    }

    /// Not to be tried again before this.
    pub fn not_before(&self) -> Option<Instant> {
        let wait = Duration::from_secs(1 << self.count.min(5));
        self.last.filter(|_| self.is_everywhere()).map(|l| l + wait)
    }
}
