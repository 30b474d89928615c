//! Counts the failures of a job's tasks, and delays the placement of a job that is itself at fault.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// A job whose tasks have failed on at least this many machines is considered to be at fault itself.
const FAULTY_JOB_MACHINES: usize = 2;

/// The retry delay in seconds is 2 to the power of the number of failures, up to this exponent.
const MAX_BACKOFF_EXPONENT: u32 = 5;

/// Failures of one job's tasks.
#[derive(Debug, Clone, Default)]
pub struct Failures {
    /// The machines on which tasks failed.
    pub machines: HashSet<String>,
    /// Number of failures.
    pub count: u32,
    /// Time of the latest failure.
    pub last: Option<Instant>,
}

impl Failures {
    /// Whether the job rather than a machine is at fault: the job has failed on several machines.
    pub fn is_job_at_fault(&self) -> bool {
        self.machines.len() >= FAULTY_JOB_MACHINES
    }

    /// When a job that is at fault may be placed again; `None` if the job is not at fault.
    pub fn not_before(&self) -> Option<Instant> {
        let backoff = Duration::from_secs(1 << self.count.min(MAX_BACKOFF_EXPONENT));
        let last = self.last.filter(|_| self.is_job_at_fault());
        last.map(|last| last + backoff)
    }
}
