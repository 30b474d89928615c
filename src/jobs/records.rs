//! The durable records of jobs, beside their progress pages. Their JSON is shared with the version before.

use super::JobSpec;
use rowanmill_cells::OwnershipVersion;
use serde::{Deserialize, Serialize};

/// The record of an unfinished job: what the user asked for, when, and whether it was cancelled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What the user asked for.
    pub spec: JobSpec,
    /// Milliseconds since the epoch at acceptance.
    pub accepted_ms: u64,
    /// Nothing of it starts any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// The controller that had most free capacity for it at acceptance, or when it was released. It
    /// places the job as long as it is present.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placer: Option<String>,
    /// Milliseconds since the epoch at which the last job that it depends on was done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub released_ms: Option<u64>,
    /// Its version in the ledger of the cells; nothing for a job that only this cell knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ledger: Option<OwnershipVersion>,
    /// Milliseconds since the epoch at which this cell took it from the ledger; nothing for a job that the
    /// cell accepted itself, or that a version took which did not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adopted_ms: Option<u64>,
    /// Another cell accepted it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub foreign: bool,
    /// It becomes another cell's. Such a record is also `cancelled`, so that nothing of it starts.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub withdrawn: bool,
}

/// A controller's clock may be ahead of another's of its cell by this at most, far more than the platform's
/// settings allow.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 60_000;

/// Attempts of one epoch: far more than a task is ever started in one cell.
const ATTEMPTS_PER_EPOCH: u64 = 1 << 20;

impl JobRecord {
    /// Milliseconds since the epoch at which its tasks could first start: at its release or, without
    /// dependencies, at acceptance. All its times but the deadline count from here.
    pub fn eligible_since_ms(&self) -> u64 {
        self.released_ms.unwrap_or(self.accepted_ms)
    }

    /// How long this cell could have run it, in milliseconds: since it was adopted or, without that, since its
    /// tasks could first start. Its deadline and urgency count from its acceptance all the same. A time of
    /// adoption that no clock of the cell can have shown yet counts as missing.
    pub fn waited_in_cell_ms(&self, now_ms: u64) -> u64 {
        let latest = now_ms.saturating_add(MAX_CLOCK_DIFFERENCE_MS);
        let adopted_ms = self.adopted_ms.filter(|adopted| *adopted <= latest);
        let since_ms = self.eligible_since_ms().max(adopted_ms.unwrap_or(0));
        now_ms.saturating_sub(since_ms)
    }

    /// Its deadline in seconds after [`eligible_since_ms`](Self::eligible_since_ms); the user's counts
    /// from the submission. Negative if it passed before the job was released.
    pub fn deadline_s(&self) -> Option<f64> {
        let blocked_ms = self.eligible_since_ms().saturating_sub(self.accepted_ms);
        let deadline_s = self.spec.deadline_s?;
        Some(deadline_s - blocked_ms as f64 / 1000.0)
    }

    /// Its attempts are above this. A job that was in this cell before, was another cell's and has
    /// returned must not use an attempt again: machines may still report the earlier one.
    pub fn attempt_floor(&self) -> u64 {
        let earlier_epochs = self
            .ledger
            .map_or(0, |version| version.epoch.saturating_sub(1));
        earlier_epochs * ATTEMPTS_PER_EPOCH
    }

    /// The record of a job that becomes another cell's: nothing of it starts, and once nothing of it
    /// runs the record is deleted.
    pub fn into_withdrawn(self, version: OwnershipVersion) -> Self {
        Self {
            ledger: Some(version),
            withdrawn: true,
            ..self.into_cancelled()
        }
    }

    /// The record of a cancelled job: nothing is placed by it any more, and what may be long in it is
    /// left out, so that it fits a limit on values that was lowered since it was accepted.
    pub fn into_cancelled(mut self) -> Self {
        self.cancelled = true;
        self.spec.machine_types = None;
        self.spec.zone = None;
        self
    }
}

/// A job's record as written. One that waits for others has another form than one that may start, so that
/// a process that does not know dependencies cannot take it for one of these, nor one whose list cannot be
/// read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StoredJob {
    /// It waits for other jobs.
    Blocked {
        /// Its record once it is released.
        #[serde(rename = "held")]
        record: JobRecord,
        /// The jobs that have to be done before any of its tasks starts.
        #[serde(rename = "awaits")]
        depends_on: Vec<String>,
    },
    /// It may start.
    Open(JobRecord),
    /// It has ended, and is yet to be moved to its terminal key: where writes are scarce that waits.
    Finished {
        /// How it ended.
        #[serde(rename = "over")]
        outcome: TerminalState,
    },
}

/// What is kept of a job that this cell relinquished to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relinquished {
    /// The epoch of the ledger's record at that time: a handover under it may have been sent.
    pub epoch: u64,
}

impl From<OwnershipVersion> for Relinquished {
    fn from(version: OwnershipVersion) -> Self {
        Self {
            epoch: version.epoch,
        }
    }
}

/// How a job ended; kept for ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TerminalState {
    /// All its tasks completed.
    Done,
    /// It was cancelled first.
    Cancelled,
}

/// The stage of a job in the answers to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// No task is on a machine.
    Queued,
    /// Some task may be on a machine.
    Running,
    /// All its tasks completed.
    Done,
    /// It was cancelled.
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
