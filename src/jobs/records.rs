//! The durable records of jobs, except for their progress pages. Their JSON is shared with the previous version.

use super::JobSpec;
use rowanmill_cells::OwnershipVersion;
use serde::{Deserialize, Serialize};

/// The record of an unfinished job: what the user asked for, when, and whether it was cancelled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What the user asked for.
    pub spec: JobSpec,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// The job was cancelled: none of its tasks is started any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// The controller that had the least work per machine that the job may use, when the job was accepted or, if
    /// it has dependencies, released. This controller places the job as long as it is present.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placer: Option<String>,
    /// When the last of the jobs that it depends on was done, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub released_ms: Option<u64>,
    /// The job's version in the ledger; absent if the job is not in the ledger.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ledger: Option<OwnershipVersion>,
    /// When this cell adopted the job from the ledger, in milliseconds since the Unix epoch. Absent if the cell
    /// accepted the job itself, or adopted it with a version that did not store this time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adopted_ms: Option<u64>,
    /// The job was accepted by another cell.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub foreign: bool,
    /// This cell is giving the job up to another cell. Such a record is also `cancelled`, so that none of the
    /// job's tasks is started here.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub withdrawn: bool,
}

/// Upper bound of the difference between the clocks of two controllers of a cell; far more than the platform's
/// settings allow.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// Number of attempts reserved for each ownership epoch; far more than a task is ever started in one cell.
const ATTEMPTS_PER_EPOCH: u64 = 1 << 20;

impl JobRecord {
    /// When the job's tasks could first start, in milliseconds since the Unix epoch: at its release or, without
    /// dependencies, at its acceptance. All of the job's times are measured from here, except for the
    /// deadline in its specification.
    pub fn eligible_since_ms(&self) -> u64 {
        self.released_ms.unwrap_or(self.accepted_ms)
    }

    /// How long this cell could have run the job, in milliseconds: since its adoption or, if it was not
    /// adopted, since its tasks could first start. The adoption does not change the times from which its
    /// deadline and its urgency are measured. An adoption time that is further in the future than clock skew
    /// can explain is ignored.
    pub fn waited_in_cell_ms(&self, now_ms: u64) -> u64 {
        let latest = now_ms.saturating_add(MAX_CLOCK_SKEW_MS);
        let adopted_ms = self.adopted_ms.filter(|adopted| *adopted <= latest);
        let since_ms = self.eligible_since_ms().max(adopted_ms.unwrap_or(0));
        now_ms.saturating_sub(since_ms)
    }

    /// The deadline in seconds after [`eligible_since_ms`](Self::eligible_since_ms), whereas the specification's
    /// is measured from the submission. Negative if the deadline passed before the job was released.
    pub fn deadline_s(&self) -> Option<f64> {
        let blocked_ms = self.eligible_since_ms().saturating_sub(self.accepted_ms);
        let deadline_s = self.spec.deadline_s?;
        Some(deadline_s - blocked_ms as f64 / 1000.0)
    }

    /// All new attempts of the job's tasks are above this. A job that leaves this cell and returns must not
    /// reuse an attempt number, since machines may still report the earlier attempt.
    pub fn attempt_floor(&self) -> u64 {
        let earlier_epochs = self
            .ledger
            .map_or(0, |version| version.epoch.saturating_sub(1));
        earlier_epochs * ATTEMPTS_PER_EPOCH
    }

    /// The record of a job that this cell gives up to another cell: none of its tasks is started, and the record
    /// is deleted once none of them runs.
    pub fn into_withdrawn(self, version: OwnershipVersion) -> Self {
        Self {
            ledger: Some(version),
            withdrawn: true,
            ..self.into_cancelled()
        }
    }

    /// The record of a cancelled job. The fields that may be long are cleared, because the maximum size of values
    /// may have been lowered since the job was accepted; they matter only for placement, which is over.
    pub fn into_cancelled(mut self) -> Self {
        self.cancelled = true;
        self.spec.machine_types = None;
        self.spec.zone = None;
        self
    }
}

/// A job's record as stored. A job that waits for others has a different form than one that may start. A process
/// that does not support dependencies therefore cannot read it as a job that may start, nor can any process if
/// the list of dependencies is malformed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StoredJob {
    /// The job waits for other jobs.
    Blocked {
        /// The job's record once it is released.
        #[serde(rename = "held")]
        record: JobRecord,
        /// The jobs that have to be done before any of its tasks starts.
        #[serde(rename = "awaits")]
        depends_on: Vec<String>,
    },
    /// The job may start.
    Open(JobRecord),
    /// The job has ended, but is not moved to its terminal key yet. The move is postponed while writes are
    /// scarce.
    Finished {
        /// How it ended.
        #[serde(rename = "over")]
        outcome: TerminalState,
    },
}

/// The record that remains of a job that this cell relinquished to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relinquished {
    /// The ownership epoch of the ledger's record at that time. The job is not adopted again under this epoch,
    /// because a handover to another cell may already have been sent under it.
    pub epoch: u64,
}

impl From<OwnershipVersion> for Relinquished {
    fn from(version: OwnershipVersion) -> Self {
        Self {
            epoch: version.epoch,
        }
    }
}

/// How a job ended. This record is never deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TerminalState {
    /// All of its tasks completed.
    Done,
    /// It was cancelled before that.
    Cancelled,
}

/// The stage of a job as reported to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// No task is on a machine.
    Queued,
    /// At least one task may be on a machine.
    Running,
    /// All of its tasks completed.
    Done,
    /// The job was cancelled.
    Cancelled,
}

impl From<TerminalState> for Stage {
    fn from(state: TerminalState) -> Self {
        match state {
            TerminalState::Done => Stage::Done,
            TerminalState::Cancelled => Stage::Cancelled,
        }
    }
}
