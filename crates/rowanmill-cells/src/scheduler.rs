//! What the cells ask of the scheduler of their own cell.

use crate::record::{LedgerJob, Stamp, Summary};

/// Where one of the ledger's jobs stands in the cell's own records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalJob {
    /// No record of it is in memory. It may have ended before this process began.
    Absent,
    /// It may run.
    Open {
        /// Some task of it was started.
        begun: bool,
        /// How long it has been in the records, in milliseconds.
        age_ms: u64,
        /// Another cell's, and all machines that it may use are protected.
        is_barred: bool,
    },
    /// Nothing of it is started any more, and what runs is being stopped.
    Cancelled,
    /// The same, because it is to be another cell's.
    Withdrawn,
    /// All its tasks completed here.
    Done,
    /// Its user's cancellation was recorded here, and nothing of it runs.
    EndedCancelled,
}

/// A job of the cell's own records that the ledger should know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StampedJob {
    /// The job.
    pub id: String,
    /// What the record says of the ledger.
    pub stamp: Stamp,
    /// Nothing of it is started any more.
    pub stopped: bool,
}

/// What became of a job that the cell was to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Adoption {
    /// It is in the records, or was already.
    Taken,
    /// The records say that it ended.
    Ended,
    /// The cell gave it up under this epoch: a handover may have been sent.
    GivenUp {
        /// The epoch of the ledger's record at that time.
        epoch: u64,
    },
    /// The cell can never run it.
    Unfit {
        /// Why.
        reason: String,
    },
}

/// The cell's state service gave no certain answer; to be tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the cell's state service gave no answer")]
pub struct Unavailable;

/// The scheduler of one cell, as one of its controllers reaches it.
pub trait Scheduler: Send + Sync + 'static {
    /// Whether this controller leads the cell.
    fn leads(&self) -> bool;
    /// Where each of these jobs stands.
    fn local_jobs(&self, ids: &[String]) -> Vec<LocalJob>;
    /// All open jobs of the records that the ledger should know.
    fn stamped_jobs(&self) -> Vec<StampedJob>;
    /// What the cell has to offer.
    fn summary(&self) -> Summary;
    /// Whether the cell could run it.
    fn can_run(&self, job: &LedgerJob) -> bool;
    /// Puts a job into the records, under the guard that the cell has not given it up since.
    fn adopt(
        &self,
        id: &str,
        job: &LedgerJob,
        mark: u64,
    ) -> impl Future<Output = Result<Adoption, Unavailable>> + Send;
    /// Records that the cell gives up a job that is not in its records, so that no other controller of
    /// it puts it there. Returns whether that holds now.
    fn give_up(
        &self,
        id: &str,
        epoch: u64,
    ) -> impl Future<Output = Result<bool, Unavailable>> + Send;
    /// Records that a job is cancelled.
    fn cancel(&self, id: &str) -> impl Future<Output = Result<(), Unavailable>> + Send;
    /// Records that a job is to be another cell's, with what the ledger says of it. `only_unbegun`:
    /// unless something of it was started.
    fn withdraw(
        &self,
        id: &str,
        stamp: Stamp,
        only_unbegun: bool,
    ) -> impl Future<Output = Result<(), Unavailable>> + Send;
    /// Asks all other controllers of all cells what they know of the ledger beyond `revision`. Nothing
    /// unless all answer that they have no contact with it either; else the jobs that `cell` must not run.
    fn ask_others(
        &self,
        cell: &str,
        revision: u64,
    ) -> impl Future<Output = Option<Vec<String>>> + Send;
}
