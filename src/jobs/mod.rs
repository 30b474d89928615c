//! Jobs as users describe them, and the durable records kept of them.

pub mod pages;
pub mod plans;
pub mod runtime_estimate;
pub mod spec;
pub mod writer;

pub use pages::{Entry, Layout, Page, PageId};
pub use spec::{JobSpec, Shape, SpecError, Submission, Urgency, is_job_id};

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
}

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
pub enum Stored {
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
        outcome: Final,
    },
}

/// What is kept of a job for ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Final {
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

impl From<Final> for Stage {
    fn from(last: Final) -> Self {
        match last {
            Final::Done => Stage::Done,
            Final::Cancelled => Stage::Cancelled,
        }
    }
}

/// Splits `job-000412/3` into the job's id and the task's number.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, index) = name.split_once('/')?;
    if !is_job_id(job) {
        return None;
    }
    index.parse().ok().map(|index| (job, index))
}
