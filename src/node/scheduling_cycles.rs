//! Counts scheduling cycles, so that a request can wait until a cycle has planned and recorded its effect.

use std::time::Duration;
use tokio::sync::watch;

/// The cycles that this process has started and completed.
#[derive(Debug, Clone, Copy, Default)]
struct CycleCounts {
    started: u64,
    /// Number of the last completed cycle; the first cycle is 1.
    completed: u64,
}

/// The scheduling cycles of a controller; at most one runs at a time.
#[derive(Debug, Default)]
pub struct SchedulingCycles {
    counts: watch::Sender<CycleCounts>,
}

impl SchedulingCycles {
    pub fn start(&self) {
        self.counts.send_modify(|counts| counts.started += 1);
    }

    pub fn complete(&self) {
        self.counts
            .send_modify(|counts| counts.completed = counts.started);
    }

    /// Waits until a cycle that starts after this call has completed, but no longer than `limit`.
    pub async fn await_next(&self, limit: Duration) {
        let mut counts = self.counts.subscribe();
        let next = counts.borrow().started + 1;
        let completed = counts.wait_for(|counts| counts.completed >= next);
        // After the time limit, the caller continues with the current state.
        let _ = tokio::time::timeout(limit, completed).await;
    }
}
