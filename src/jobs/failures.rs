//! How a job's tasks have failed, and how long the job is not placed after that.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// From this many machines on that a job has failed on, the fault is taken to be the job's.
const MACHINES_OF_FAULTY_JOB: usize = 2;

/// The retry delay doubles with each failure, from 1 s up to 2 to this power.
const MAX_BACKOFF_EXPONENT: u32 = 5;

/// Failures of one job's tasks.
#[derive(Debug, Clone, Default)]
pub struct Failures {
    /// The machines on which they failed.
    pub machines: HashSet<String>,
    /// How often they failed.
    pub count: u32,
    /// When one failed last.
    pub last: Option<Instant>,
}

impl Failures {
    /// Whether the job fails wherever it is tried: another machine does not help.
    pub fn is_job_at_fault(&self) -> bool {
        self.machines.len() >= MACHINES_OF_FAULTY_JOB
    }

    /// When a job that fails everywhere may be tried again.
    pub fn not_before(&self) -> Option<Instant> {
        let backoff = Duration::from_secs(1 << self.count.min(MAX_BACKOFF_EXPONENT));
        let last = self.last.filter(|_| self.is_job_at_fault());
        last.map(|last| last + backoff)
    }
}
