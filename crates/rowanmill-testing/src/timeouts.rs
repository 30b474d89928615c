//! The timeouts of the settings that workers keep to.

use std::time::Duration;

/// How long a worker's lease holds, and how long a cancelled job's tasks may stay.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// A worker's lease, in seconds.
    pub lease_s: f64,
    /// How long tasks may run on after their job's cancellation was confirmed, in seconds.
    pub cancel_s: f64,
}

impl Timeouts {
    /// A worker's lease.
    pub fn lease(self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// How long tasks may run on after their job's cancellation was confirmed.
    pub fn cancel(self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }
}

/// The timeouts of most tests.
pub const DEFAULT_TIMEOUTS: Timeouts = Timeouts {
    lease_s: 8.0,
    cancel_s: 20.0,
};
