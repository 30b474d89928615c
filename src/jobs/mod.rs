//! Jobs as users describe them, and the durable records kept of them.

pub mod learned;
pub mod pages;
pub mod plans;
pub mod spec;
pub mod writer;

pub use pages::{Entry, Page};
pub use spec::{JobSpec, Shape, Urgency, is_job_id};

use serde::{Deserialize, Serialize};

/// The record of an unfinished job: what the user asked for, when, and whether it was cancelled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Milliseconds since the epoch at acceptance.
    pub accepted_ms: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// The controller that had most room for it at acceptance. It places the job as long as it
    /// is there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placer: Option<String>,
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
