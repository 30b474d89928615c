//! The timeouts that the controllers' settings and the simulated workers have in common.

use std::time::Duration;

/// The duration of a worker's lease, and how long the tasks of a cancelled job may still run.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// The duration of a worker's lease, in seconds.
    pub lease_s: f64,
    /// How long tasks may still run after the cancellation of their job was confirmed, in seconds.
    pub cancel_s: f64,
}

impl Timeouts {
    /// The duration of a worker's lease.
    pub fn lease(self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// How long tasks may still run after the cancellation of their job was confirmed.
    pub fn cancel(self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }
}

/// The timeouts of tests that do not set their own.
pub const DEFAULT_TIMEOUTS: Timeouts = Timeouts {
    lease_s: 8.0,
    cancel_s: 20.0,
};
