//! The planner's input and output: the jobs in the cell's own records, and the actions to execute.

use crate::record::{FinalState, OwnershipVersion};
use crate::scheduler::{LocalJobState, TrackedJob, WithdrawalCondition};

/// Why a job is handed over to another cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverReason {
    /// It waited here, or the cell is being drained. Each such handover raises the job's spill count, and
    /// a job with a high count waits longer before the next one.
    Waited,
    /// The cell cannot run it. The job's record lists the cells that declined it.
    Declined,
}

/// An action of the cell's leader.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Write an owned job to the cell's records.
    Adopt {
        /// The job.
        id: String,
    },
    /// Mark an owned job as cancelled in the cell's records.
    Cancel {
        /// The job.
        id: String,
    },
    /// Mark a job as leaving the cell, in the cell's records.
    Withdraw {
        /// The job.
        id: String,
        /// The version of the ledger's record from which the withdrawal was planned; if the job has ended,
        /// the version from which the cell's own record was written.
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
    /// Raise the epoch of a relinquished job that no other cell can take, so that this cell can adopt it
    /// again.
    Reclaim {
        /// The job.
        id: String,
    },
    /// Record that the cell relinquishes an owned job that is not in its records.
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

/// The ledger's jobs as the cell's own records show them.
#[derive(Debug, Clone, Default)]
pub struct LocalJobs {
    /// State of each job that the ledger says this cell owns.
    pub owned: Vec<(String, LocalJobState)>,
    /// All open jobs of the cell's records that were written from a record of the ledger.
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
