//! Counts of scheduling cycles, by which a request waits until its effect was planned and recorded.

use std::time::Duration;
use tokio::sync::watch;

/// Cycles of this process so far.
#[derive(Debug, Clone, Copy, Default)]
struct CycleCounts {
    started: u64,
    /// The cycle, counted from 1, that completed last.
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
        // A caller that waited in vain goes on with what is known.
        let _ = tokio::time::timeout(limit, completed).await;
    }
}
