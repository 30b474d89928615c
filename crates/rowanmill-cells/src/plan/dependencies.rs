//! Whether the jobs that a job depends on are complete, by the ledger alone.

use crate::record::{FinalState, LedgerJob};
use crate::replica::LedgerReplica;

/// State of all jobs that a job depends on.
pub(super) enum DependencyState {
    /// All completed.
    Completed,
    /// Some are open, and none is known to be cancelled.
    Pending,
    /// At least one was cancelled.
    Cancelled,
    /// This one is not open, and its final state is not in memory.
    Unread(String),
}

impl DependencyState {
    /// The state of the jobs that `job` depends on.
    pub(super) fn of(replica: &LedgerReplica, job: &LedgerJob) -> Self {
        let mut state = Self::Completed;
        for id in &job.depends_on {
            if let Some(held) = replica.jobs.get(id) {
                if held.record.cancelled {
                    return Self::Cancelled;
                }
                state = Self::Pending;
                continue;
            }
            match replica.final_state(id) {
                Some(FinalState::Done) => {}
                Some(FinalState::Cancelled) => return Self::Cancelled,
                None => return Self::Unread(id.clone()),
            }
        }
        state
    }
}
