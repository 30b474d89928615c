//! The interface between the cells and the scheduler of their own cell.
//!
//! [`Scheduler`] is implemented by the controller. Nothing here reads or writes the ledger.

use crate::record::{CapacitySummary, LedgerJob, OwnershipVersion};

/// State of one of the ledger's jobs in the cell's own records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalJobState {
    /// No record of it is in memory. It may have ended before this process started.
    Absent,
    /// It may run.
    Open {
        /// At least one of its tasks was started.
        has_started: bool,
        /// Milliseconds for which this cell could have run it: since the cell adopted it or, if the cell
        /// accepted it itself, since its tasks could first start.
        age_ms: u64,
        /// Another cell accepted it, and all machines that it may use are protected.
        excluded_by_protection: bool,
    },
    /// No task of it is started any more, and running ones are being stopped.
    Cancelling,
    /// As `Cancelling`, but because the job is leaving the cell.
    Withdrawn,
    /// All its tasks completed here.
    Completed,
    /// Its cancellation was recorded here, and none of its tasks runs.
    Cancelled,
}

/// A job of the cell's own records that has a record in the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrackedJob {
    /// The job's name.
    pub id: String,
    /// The ledger's record that the cell's own record was written by.
    pub ownership: OwnershipVersion,
    /// No task of it is started any more.
    pub is_stopping: bool,
}

/// Result of putting an owned job into the cell's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdoptionOutcome {
    /// It is in the records, or was already.
    Adopted,
    /// The records say that it ended.
    AlreadyEnded,
    /// The cell relinquished it under this epoch: a handover may have been sent.
    Relinquished {
        /// Epoch of the ledger's record when it was relinquished.
        epoch: u64,
    },
    /// The cell cannot run it.
    Ineligible {
        /// Explanation for the log.
        reason: String,
    },
}

/// Condition under which a job is withdrawn from the cell's records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithdrawalCondition {
    /// Whether any of its tasks has started or not.
    Always,
    /// Only if none of its tasks has started.
    NotStarted,
}

/// The cell's state service gave no definite answer. The call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the cell's state service gave no answer")]
pub struct Unavailable;

/// The scheduler of one cell, as one of its controllers reaches it.
pub trait Scheduler: Send + Sync + 'static {
    /// Whether this controller is the cell's leader.
    fn is_leader(&self) -> bool;
    /// State of each of these jobs, in the same order.
    fn local_job_states(&self, ids: &[String]) -> Vec<LocalJobState>;
    /// All open jobs of the cell's records that have a record in the ledger.
    fn tracked_jobs(&self) -> Vec<TrackedJob>;
    /// The capacity that the cell publishes to the others.
    fn capacity_summary(&self) -> CapacitySummary;
    /// Whether the cell could run the job.
    fn can_run(&self, job: &LedgerJob) -> bool;
    /// Puts a job, as the ledger holds it at `revision`, into the cell's records. The write has the
    /// precondition that the cell has not relinquished the job in the meantime.
    fn adopt(
        &self,
        id: &str,
        job: &LedgerJob,
        revision: u64,
    ) -> impl Future<Output = Result<AdoptionOutcome, Unavailable>> + Send;
    /// Records that the cell relinquishes a job that is not in its records, so that no other controller
    /// of the cell puts it there. Returns whether that record is in force.
    fn relinquish(
        &self,
        id: &str,
        epoch: u64,
    ) -> impl Future<Output = Result<bool, Unavailable>> + Send;
    /// Records that a job is cancelled.
    fn cancel(&self, id: &str) -> impl Future<Output = Result<(), Unavailable>> + Send;
    /// Records that a job leaves the cell, with the ledger's record that this follows from.
    fn withdraw(
        &self,
        id: &str,
        ownership: OwnershipVersion,
        condition: WithdrawalCondition,
    ) -> impl Future<Output = Result<(), Unavailable>> + Send;
    /// Asks the other controllers of all cells which changes of the ledger after `revision` they have
    /// read. `None` unless each of them answers that it has lost contact with the ledger; otherwise the
    /// jobs that `cell` must not run.
    fn collect_attestations(
        &self,
        cell: &str,
        revision: u64,
    ) -> impl Future<Output = Option<Vec<String>>> + Send;
}
