//! Whether the jobs that a job depends on have completed, according to the ledger.

use crate::record::{FinalState, LedgerJob};
use crate::replica::LedgerReplica;

/// Combined state of the jobs that a job depends on.
pub(super) enum DependencyState {
    /// All completed.
    Completed,
    /// Some are open, and none is known to be cancelled.
    Pending,
    /// At least one was cancelled.
    Cancelled,
    /// The dependency with this identifier has no open record in the replica, and its final state has to be
    /// read from the ledger.
    NotCached(String),
}

impl DependencyState {
    /// The state of the jobs that `job` depends on.
    pub(super) fn of(replica: &LedgerReplica, job: &LedgerJob) -> Self {
        let mut state = Self::Completed;
        for id in &job.depends_on {
            if let Some(dependency) = replica.jobs.get(id) {
                if dependency.record.cancelled {
                    return Self::Cancelled;
                }
                state = Self::Pending;
                continue;
            }
            match replica.final_state(id) {
                Some(FinalState::Done) => {}
                Some(FinalState::Cancelled) => return Self::Cancelled,
                None => return Self::NotCached(id.clone()),
            }
        }
        state
    }
}
