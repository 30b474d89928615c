//! Jobs as users describe them, and the durable records kept of them.

mod archive;
pub mod failures;
mod garbage_collection;
pub mod pages;
pub mod pending_changes;
pub mod runtime_estimate;
pub mod spec;
mod task_id;
pub mod writer;

pub use pages::{PageId, PageLayout, ProgressPage, TaskRecord};
pub use spec::{JobSpec, Shape, SpecError, Submission, Urgency, is_job_id};
pub use task_id::{TaskId, TaskRef};

use rowanmill_cells::OwnershipVersion;
use serde::{Deserialize, Serialize};

/// The record of an unfinished job: what the user asked for, when, and whether it was cancelled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Milliseconds since the epoch at acceptance.
    pub accepted_ms: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// The controller that had most room for it at acceptance, or when it was released. It places
    /// the job as long as it is there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placer: Option<String>,
    /// When the last job that it waited for was done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub released_ms: Option<u64>,
    /// Where the ledger of the cells has it; nothing for a job that only this cell knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ledger: Option<OwnershipVersion>,
    /// Another cell accepted it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub foreign: bool,
    /// It is to be another cell's. Such a record is also `cancelled`, so that nothing of it starts.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub withdrawn: bool,
}

/// Attempts of one epoch: far more than a task is ever started in one cell.
const ATTEMPTS_OF_AN_EPOCH: u64 = 1 << 20;

impl JobRecord {
    /// When its times begin: all but its deadline count from its release.
    pub fn since_ms(&self) -> u64 {
        self.released_ms.unwrap_or(self.accepted_ms)
    }

    /// Its deadline, in seconds after its times began. It counts from the submission.
    pub fn deadline_s(&self) -> Option<f64> {
        let waited = self.since_ms().saturating_sub(self.accepted_ms);
        self.spec.deadline_s.map(|due| due - waited as f64 / 1000.0)
    }

    /// Its attempts are above this. A job that was here before, was another cell's and is back must not
    /// use an attempt again: machines may still report the earlier one.
    pub fn attempts_above(&self) -> u64 {
        let epochs_before = self.ledger.map_or(0, |stamp| stamp.epoch.saturating_sub(1));
        epochs_before * ATTEMPTS_OF_AN_EPOCH
    }

    /// The record of a job that is to be another cell's: nothing of it starts, and once nothing of it runs
    /// the record goes.
    pub fn into_withdrawn(self, stamp: OwnershipVersion) -> Self {
        Self {
            ledger: Some(stamp),
            withdrawn: true,
            ..self.into_cancelled()
        }
    }

    /// The record of a job that is cancelled: nothing is placed by it any more, and what may be long
    /// in it is left out, so that it fits a limit that fell since it was accepted.
    pub fn into_cancelled(mut self) -> Self {
        self.cancelled = true;
        self.spec.types = None;
        self.spec.zone = None;
        self
    }
}

/// A job's record as written. One that waits for others has another shape than one that may start, so
/// that no process which does not know of waiting could take it for one of these, nor one whose list
/// cannot be read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StoredJob {
    /// It waits for other jobs.
    Blocked {
        #[serde(rename = "held")]
        record: JobRecord,
        awaits: Vec<String>,
    },
    Open(JobRecord),
    /// It ended, and is yet to be moved to its final key: where changes are short that waits.
    Finished {
        #[serde(rename = "over")]
        outcome: TerminalState,
    },
}

/// What is kept of a job that this cell gave up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relinquished {
    /// The epoch of the ledger's record at that time: a handover under it may have been sent.
    pub epoch: u64,
}

impl Relinquished {
    pub fn under(stamp: OwnershipVersion) -> Self {
        Self { epoch: stamp.epoch }
    }
}

/// What is kept of a job for ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TerminalState {
    Done,
    Cancelled,
}

/// The stage of a job as users are told it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    Queued,
    Running,
    Done,
    Cancelled,
}

impl From<TerminalState> for Stage {
    fn from(last: TerminalState) -> Self {
        match last {
            TerminalState::Done => Stage::Done,
            TerminalState::Cancelled => Stage::Cancelled,
        }
    }
}
