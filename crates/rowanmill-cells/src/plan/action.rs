//! The planner's input and output: states of the cell's own records, and actions to carry out.

use crate::record::{FinalState, OwnershipVersion};
use crate::scheduler::{LocalJobState, TrackedJob, WithdrawalCondition};

/// Why a job is handed over to another cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverReason {
    /// It waited here or the cell is drained. Such handovers are counted, and bounded in number.
    Waited,
    /// The cell cannot run it, and declines it.
    Declined,
}

/// One thing to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Put an owned job into the cell's records.
    Adopt {
        /// The job.
        id: String,
    },
    /// Record that an owned job is cancelled.
    Cancel {
        /// The job.
        id: String,
    },
    /// Record that a job leaves the cell.
    Withdraw {
        /// The job.
        id: String,
        /// The ledger's record that this follows from.
        ownership: OwnershipVersion,
        /// Whether it leaves even if some of its tasks have started.
        condition: WithdrawalCondition,
    },
    /// Write an owned job's final state to the ledger.
    Finish {
        /// The job.
        id: String,
        /// How it ended here.
        final_state: FinalState,
    },
    /// Cancel an owned job in the ledger, because a job that it depends on was cancelled.
    CancelInLedger {
        /// The job.
        id: String,
    },
    /// Change the owner of a job that the cell has relinquished.
    HandOver {
        /// The job.
        id: String,
        /// The next owner.
        to: String,
        /// Why it leaves this cell.
        reason: HandoverReason,
    },
    /// Raise the epoch of a job that was relinquished and that no other cell can take.
    Reclaim {
        /// The job.
        id: String,
    },
    /// Record that the cell relinquishes a job that was never in its records.
    Relinquish {
        /// The job.
        id: String,
        /// The epoch of the ledger's record.
        epoch: u64,
    },
    /// Take over jobs of an absent cell.
    TakeOver {
        /// The absent cell.
        from: String,
        /// The jobs.
        ids: Vec<String>,
    },
    /// Read a job's final state from the ledger.
    ReadFinalState {
        /// The job.
        id: String,
    },
}

/// What the cell's own records say of the ledger's jobs.
#[derive(Debug, Clone, Default)]
pub struct LocalJobs {
    /// State of each job that the ledger says this cell owns.
    pub owned: Vec<(String, LocalJobState)>,
    /// All jobs of the cell's records that have a record in the ledger.
    pub tracked: Vec<TrackedJob>,
}

impl LocalJobs {
    /// Number of owned jobs that are leaving the cell's records.
    pub(super) fn count_withdrawn(&self) -> usize {
        let owned = self.owned.iter();
        owned
            .filter(|(_, state)| *state == LocalJobState::Withdrawn)
            .count()
    }
}
