//! Keys and records of the ledger.
//!
//! | key | record | written by |
//! | --- | --- | --- |
//! | `c/l/j/JOB` | an open job: its owner, epoch and description | any cell, with its revision as the precondition |
//! | `c/l/n/CELL` | a cell's presence, attached to its lease | the cell's leader |
//! | `c/l/g/CELL` | how often the cell registered; rises with each registration | the cell's leader |
//! | `c/l/d/CELL` | an operator's request to drain the cell | the client |
//! | `c/e/JOB` | a job's final state, kept for good | the job's owner |
//!
//! The JSON names are stored data and must not change: renamed fields keep them by `serde(rename)`.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Prefix of the keys that every cell watches. Final states have another one, so that the memory of a
/// replica stays bounded.
pub const LIVE_PREFIX: &str = "c/l/";

/// Key of an open job.
pub fn job_key(id: &str) -> String {
    format!("{LIVE_PREFIX}j/{id}")
}

/// Key of a cell's presence.
pub fn presence_key(cell: &str) -> String {
    format!("{LIVE_PREFIX}n/{cell}")
}

/// Key of a cell's count of registrations.
pub fn generation_key(cell: &str) -> String {
    format!("{LIVE_PREFIX}g/{cell}")
}

/// Key of the request to drain a cell.
pub fn drain_key(cell: &str) -> String {
    format!("{LIVE_PREFIX}d/{cell}")
}

/// Key of a job's final state.
pub fn final_key(id: &str) -> String {
    format!("c/e/{id}")
}

/// Fields of a job's description, by their names on the wire.
const CPUS_FIELD: &str = "cpus";
const TASKS_FIELD: &str = "sacks";

/// Epoch of a job that has been with the cell that accepted it from the start.
pub const FIRST_EPOCH: u64 = 1;

/// What a live key, one under [`LIVE_PREFIX`], is the key of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LiveKey<'a> {
    /// An open job.
    Job(&'a str),
    /// A cell's presence.
    Presence(&'a str),
    /// A cell's count of registrations.
    Generation(&'a str),
    /// A request to drain a cell.
    Drain(&'a str),
    /// Nothing that this version knows.
    Unknown,
}

impl<'a> LiveKey<'a> {
    /// `None` for a key that is not under the prefix.
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
    /// Ownership epoch. Rises with each change of owner, and when the owner reclaims the job.
    pub epoch: u64,
    /// The cell that accepted it, and so can run it.
    pub home: String,
    /// Its user requested its cancellation, and the request was confirmed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// How often it changed cells because it waited.
    #[serde(rename = "moves", default)]
    pub spill_count: u32,
    /// Cells that declined it because they cannot run it.
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
    /// A new job that `cell` accepts, under the first epoch.
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

    /// The record after `cell` became the owner.
    pub fn with_owner(&self, cell: &str) -> Self {
        Self {
            owner: cell.to_owned(),
            epoch: self.epoch + 1,
            ..self.clone()
        }
    }

    /// The record under a new epoch of the same owner. A handover that was sent before, and is carried
    /// out late, then fails on its precondition.
    pub fn reclaimed(&self) -> Self {
        self.with_owner(&self.owner)
    }

    /// CPUs that its tasks use together, by its description; 0 if that does not say, or says no amount.
    pub fn requested_cpus(&self) -> f64 {
        let number = |field: &str| self.description.get(field).and_then(Value::as_f64);
        let cpus = number(CPUS_FIELD).zip(number(TASKS_FIELD));
        let cpus = cpus.map_or(0.0, |(cpus, tasks)| cpus * tasks);
        if cpus.is_finite() { cpus.max(0.0) } else { 0.0 }
    }

    /// The record of a job that its user cancelled.
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
    /// It was cancelled by its user, or because a job that it depends on was.
    Cancelled,
}

/// The version of a job's record in the ledger by which a cell's own record was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipVersion {
    /// Ownership epoch of that record.
    pub epoch: u64,
    /// The ledger's revision of that record.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// The capacity that a cell last published.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct CapacitySummary {
    /// When it was computed, in milliseconds since the Unix epoch.
    #[serde(rename = "at_ms")]
    pub computed_ms: u64,
    /// Number of tasks that wait for a machine. A job that the cell owns and that is not in its records, or
    /// is leaving them, counts as one.
    #[serde(rename = "waiting")]
    pub waiting_tasks: u64,
    /// CPUs of the cell's machines that no task uses.
    pub free_cpus: f64,
    /// The cell's cloud has not recently refused a rental.
    pub can_rent: bool,
    /// The jobs that the cell owns are counted as of this revision of the ledger; absent from summaries of
    /// versions that do not say.
    #[serde(rename = "as_of", default, skip_serializing_if = "Option::is_none")]
    pub ledger_revision: Option<u64>,
}

/// A cell's presence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CellPresence {
    /// The controller that registered the cell.
    pub controller: String,
    /// The incarnation of that controller's process.
    pub incarnation: u64,
    /// The cell's capacity.
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

/// A cell's registrations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Number of registrations so far.
    pub count: u64,
}
