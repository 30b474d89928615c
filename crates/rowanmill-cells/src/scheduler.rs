//! The interface to the scheduler of a controller's own cell.
//!
//! The controller implements [`Scheduler`]. Nothing in this module reads or writes the ledger.

use crate::record::{CapacitySummary, LedgerJob, OwnershipVersion};

/// State of one of the ledger's jobs in the cell's own records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalJobState {
    /// No record of it is in memory. It may have ended before this process started.
    Absent,
    /// Its tasks may be started and run.
    Open {
        /// Whether at least one of its tasks has been started.
        has_started: bool,
        /// Milliseconds for which this cell could have run it. They count from its adoption or, if the cell
        /// accepted it itself, from when its tasks could first start.
        age_ms: u64,
        /// Whether another cell accepted it and all machines that it may use are protected.
        excluded_by_protection: bool,
    },
    /// No more of its tasks are started, and running ones are being stopped.
    Cancelling,
    /// Like `Cancelling`, but because the job is leaving the cell.
    Withdrawn,
    /// All its tasks completed here.
    Completed,
    /// Its cancellation was recorded here, and none of its tasks runs.
    Cancelled,
}

/// A job of the cell's own records that was written from a record of the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrackedJob {
    /// The job's identifier.
    pub id: String,
    /// The version of the ledger's record from which the cell's own record was written.
    pub ownership: OwnershipVersion,
    /// Whether it was cancelled or withdrawn. None of its tasks is started any more, but some may still run.
    pub is_stopping: bool,
}

/// Result of writing an owned job to the cell's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdoptionOutcome {
    /// It is in the records, or was already.
    Adopted,
    /// According to the records it has ended.
    AlreadyEnded,
    /// The cell has relinquished it under this epoch, so a handover may already have been sent.
    Relinquished {
        /// Epoch of the ledger's record when it was relinquished.
        epoch: u64,
    },
    /// The cell cannot run it.
    Ineligible {
        /// The reason, for the log.
        reason: String,
    },
}

/// Condition under which a job is withdrawn from the cell's records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithdrawalCondition {
    /// Even if some of its tasks have started.
    Always,
    /// Only if none of its tasks has started.
    NotStarted,
}

/// The call has no definite result, for example because the cell's state service gave no answer. It may be
/// repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the cell's state service gave no answer")]
pub struct Unavailable;

/// The scheduler of one cell, as seen by one of its controllers.
pub trait Scheduler: Send + Sync + 'static {
    /// Whether this controller is the cell's leader.
    fn is_leader(&self) -> bool;
    /// The states of these jobs, in the same order.
    fn local_job_states(&self, ids: &[String]) -> Vec<LocalJobState>;
    /// All open jobs in the cell's records that were written from a record of the ledger.
    fn tracked_jobs(&self) -> Vec<TrackedJob>;
    /// The capacity that the cell publishes to the other cells.
    fn capacity_summary(&self) -> CapacitySummary;
    /// Whether the cell could run the job.
    fn can_run(&self, job: &LedgerJob) -> bool;
    /// Writes a job to the cell's records. `job` is the ledger's record at `revision`. The write has the
    /// precondition that the cell has not relinquished the job in the meantime.
    fn adopt(
        &self,
        id: &str,
        job: &LedgerJob,
        revision: u64,
    ) -> impl Future<Output = Result<AdoptionOutcome, Unavailable>> + Send;
    /// Records that the cell relinquishes a job that is not in its records, so that no other controller of the
    /// cell adopts it under this epoch. Returns whether the relinquishment is recorded.
    fn relinquish(
        &self,
        id: &str,
        epoch: u64,
    ) -> impl Future<Output = Result<bool, Unavailable>> + Send;
    /// Marks a job as cancelled in the cell's records.
    fn cancel(&self, id: &str) -> impl Future<Output = Result<(), Unavailable>> + Send;
    /// Marks a job as leaving the cell, in the cell's records. `ownership` replaces the version of the ledger's
    /// record that the cell's own record contains; the job is relinquished under its epoch.
    fn withdraw(
        &self,
        id: &str,
        ownership: OwnershipVersion,
        condition: WithdrawalCondition,
    ) -> impl Future<Output = Result<(), Unavailable>> + Send;
    /// Queries the other controllers of all cells for the changes of the ledger after `revision` that they
    /// have read. Returns the jobs that `cell` must not run, or `None` unless every controller attests that
    /// it has lost contact with the ledger.
    fn collect_attestations(
        &self,
        cell: &str,
        revision: u64,
    ) -> impl Future<Output = Option<Vec<String>>> + Send;
}
