//! Keys and records of the ledger.
//!
//! | Key | Record | Written by |
//! | --- | --- | --- |
//! | `c/l/j/JOB` | an open job: its owner, epoch and description | any cell, with its revision as precondition |
//! | `c/l/n/CELL` | a cell's presence, attached to its lease | the cell's leader |
//! | `c/l/g/CELL` | the number of the cell's registrations | the cell's leader |
//! | `c/l/d/CELL` | an operator's request to drain the cell | the client |
//! | `c/e/JOB` | a job's final state, never deleted | the job's owner |
//!
//! The names in the JSON are stored data and must not change. A field with another name in the code keeps its
//! JSON name by `serde(rename)`.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Prefix of the keys that every cell watches. Final states have another prefix, so that they do not
/// accumulate in the memory of every replica.
pub const LIVE_PREFIX: &str = "c/l/";

/// Key of an open job.
pub fn job_key(id: &str) -> String {
    format!("{LIVE_PREFIX}j/{id}")
}

/// Key of a cell's presence.
pub fn presence_key(cell: &str) -> String {
    format!("{LIVE_PREFIX}n/{cell}")
}

/// Key of the number of a cell's registrations.
pub fn generation_key(cell: &str) -> String {
    format!("{LIVE_PREFIX}g/{cell}")
}

/// Key of an operator's request to drain a cell.
pub fn drain_key(cell: &str) -> String {
    format!("{LIVE_PREFIX}d/{cell}")
}

/// Key of a job's final state.
pub fn final_key(id: &str) -> String {
    format!("c/e/{id}")
}

/// Field of a job's description with the CPUs of each task.
const CPUS_FIELD: &str = "cpus";
/// Field of a job's description with the number of tasks.
const TASKS_FIELD: &str = "sacks";

/// Epoch of a newly accepted job. Each change of owner and each reclaim raises a job's epoch.
pub const FIRST_EPOCH: u64 = 1;

/// The kind of record that a key under [`LIVE_PREFIX`] belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LiveKey<'a> {
    /// An open job.
    Job(&'a str),
    /// A cell's presence.
    Presence(&'a str),
    /// The number of a cell's registrations.
    Generation(&'a str),
    /// An operator's request to drain a cell.
    Drain(&'a str),
    /// A kind of record that this version does not know.
    Unknown,
}

impl<'a> LiveKey<'a> {
    /// Parses a key; `None` if it is not under the prefix.
    pub fn parse(key: &'a str) -> Option<Self> {
        let rest = key.strip_prefix(LIVE_PREFIX)?;
        Some(match rest.split_once('/') {
            Some(("j", id)) => Self::Job(id),
            Some(("n", cell)) => Self::Presence(cell),
            Some(("g", cell)) => Self::Generation(cell),
            Some(("d", cell)) => Self::Drain(cell),
            _ => Self::Unknown,
        })
    }
}

/// An open job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerJob {
    /// The cell that runs it.
    pub owner: String,
    /// Ownership epoch. It is incremented with each change of owner and when the owner reclaims the job.
    pub epoch: u64,
    /// The cell that accepted it, and that can therefore run it.
    pub home: String,
    /// It is cancelled, by its user or because a job that it depends on was cancelled.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// Number of times that it was handed over to another cell because it waited or its cell was drained.
    #[serde(rename = "moves", default)]
    pub spill_count: u32,
    /// Cells that declined it because they could not run it.
    #[serde(rename = "declined", default, skip_serializing_if = "Vec::is_empty")]
    pub declined_by: Vec<String>,
    /// Jobs that must complete before it starts.
    #[serde(rename = "awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<String>,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Its description, as its user submitted it.
    pub description: Value,
}

impl LedgerJob {
    /// The record of a new job that `cell` accepts, with the first epoch.
    pub fn accepted_by(
        cell: &str,
        accepted_ms: u64,
        depends_on: Vec<String>,
        description: Value,
    ) -> Self {
        Self {
            owner: cell.to_owned(),
            epoch: FIRST_EPOCH,
            home: cell.to_owned(),
            cancelled: false,
            spill_count: 0,
            declined_by: Vec::new(),
            depends_on,
            accepted_ms,
            description,
        }
    }

    /// The record with `cell` as the owner and the next epoch.
    pub fn with_owner(&self, cell: &str) -> Self {
        Self {
            owner: cell.to_owned(),
            epoch: self.epoch + 1,
            ..self.clone()
        }
    }

    /// The record with the same owner and the next epoch. A handover that was sent earlier and arrives after
    /// this change fails on its precondition.
    pub fn reclaimed(&self) -> Self {
        self.with_owner(&self.owner)
    }

    /// CPUs that its tasks request in total; 0 if the description has no valid number for them.
    pub fn requested_cpus(&self) -> f64 {
        let number = |field: &str| self.description.get(field).and_then(Value::as_f64);
        let cpus = number(CPUS_FIELD).zip(number(TASKS_FIELD));
        let cpus = cpus.map_or(0.0, |(cpus, tasks)| cpus * tasks);
        if cpus.is_finite() { cpus.max(0.0) } else { 0.0 }
    }

    /// The record marked as cancelled.
    pub fn into_cancelled(mut self) -> Self {
        self.cancelled = true;
        self
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FinalState {
    /// All its tasks completed.
    Done,
    /// It was cancelled, by its user or because a job that it depends on was cancelled.
    Cancelled,
}

/// The version of a job's record in the ledger from which a cell's own record of the job was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipVersion {
    /// Ownership epoch of that record.
    pub epoch: u64,
    /// The ledger's revision of that record.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// The capacity that a cell publishes.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct CapacitySummary {
    /// When it was computed, in milliseconds since the Unix epoch.
    #[serde(rename = "at_ms")]
    pub computed_ms: u64,
    /// Number of tasks that wait for a machine. An owned job that waits for one and is not in the cell's own
    /// records, or is leaving them, counts as one task.
    #[serde(rename = "waiting")]
    pub waiting_tasks: u64,
    /// CPUs of the cell's machines that no task uses.
    pub free_cpus: f64,
    /// Whether the cell may rent machines: its cloud has not recently refused a rental.
    pub can_rent: bool,
    /// Revision of the ledger as of which the cell's jobs are counted. Earlier versions of the software do
    /// not write it.
    #[serde(rename = "as_of", default, skip_serializing_if = "Option::is_none")]
    pub ledger_revision: Option<u64>,
}

/// A cell's presence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CellPresence {
    /// The controller that registered the cell.
    pub controller: String,
    /// Random identifier of that controller's process, chosen at its start.
    pub incarnation: u64,
    /// The capacity that the cell publishes.
    #[serde(default)]
    pub summary: CapacitySummary,
}

/// An operator's request to drain a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Time of the request, in milliseconds since the Unix epoch.
    #[serde(rename = "since_ms")]
    pub requested_ms: u64,
}

/// The number of a cell's registrations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Number of registrations so far.
    pub count: u64,
}
