//! What the ledger holds.
//!
//! | key | what it holds | who writes it |
//! | --- | --- | --- |
//! | `c/l/j/JOB` | an open job: its owner, epoch and description | any cell, guarded by its revision |
//! | `c/l/n/CELL` | a cell's presence, on its lease | the cell's leader |
//! | `c/l/g/CELL` | how often the cell registered; changes with each registration | the cell's leader |
//! | `c/l/d/CELL` | that an operator drains the cell | the client |
//! | `c/e/JOB` | a job's final state, for ever | the job's owner |

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What every cell follows. Final states lie outside it, so that memory stays bounded.
pub const LIVE_PREFIX: &str = "c/l/";

/// The key of an open job.
pub fn job_key(id: &str) -> String {
    format!("{LIVE_PREFIX}j/{id}")
}

/// The key of a cell's presence.
pub fn presence_key(cell: &str) -> String {
    format!("{LIVE_PREFIX}n/{cell}")
}

/// The key of a cell's registrations.
pub fn generation_key(cell: &str) -> String {
    format!("{LIVE_PREFIX}g/{cell}")
}

/// The key that says that a cell is to be left by what has not begun.
pub fn drain_key(cell: &str) -> String {
    format!("{LIVE_PREFIX}d/{cell}")
}

/// The key of a job's final state.
pub fn final_key(id: &str) -> String {
    format!("c/e/{id}")
}

/// An open job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerJob {
    /// The cell that runs it.
    pub owner: String,
    /// Rises with each change of owner, and with each renewed claim.
    pub epoch: u64,
    /// The cell that accepted it, and so can run it.
    pub home: String,
    /// Its user asked for its cancellation and was told so.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// How often it was moved because it waited.
    #[serde(default)]
    pub moves: u32,
    /// Cells that cannot run it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub declined: Vec<String>,
    /// Jobs that must be done before it starts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub awaits: Vec<String>,
    /// Milliseconds since the epoch at acceptance.
    pub accepted_ms: u64,
    /// Its description, as its user submitted it.
    pub description: Value,
}

impl LedgerJob {
    /// The record after its owner changed.
    pub fn owned_by(&self, cell: &str) -> Self {
        Self {
            owner: cell.to_owned(),
            epoch: self.epoch + 1,
            ..self.clone()
        }
    }

    /// The record under a new epoch of the same owner. A handover that was sent before and is carried
    /// out late then fails on its guard.
    pub fn claimed_anew(&self) -> Self {
        self.owned_by(&self.owner)
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
    /// Its user cancelled it, or a job that it waited for.
    Cancelled,
}

/// What a cell's own record of a job says of the ledger's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The epoch under which the cell took it.
    pub epoch: u64,
    /// The ledger's revision of that.
    pub mark: u64,
}

/// What a cell has to offer, as it last said.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Milliseconds since the epoch when it was made.
    pub at_ms: u64,
    /// Tasks that wait.
    pub waiting: u64,
    /// CPUs of its machines on which nothing runs.
    pub free_cpus: f64,
    /// Its cloud refused nothing of late.
    pub can_rent: bool,
}

/// A cell's presence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CellPresence {
    /// The controller that registered it.
    pub controller: String,
    /// That process.
    pub incarnation: u64,
    /// What the cell has to offer.
    #[serde(default)]
    pub summary: Summary,
}

/// An operator drains a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Milliseconds since the epoch when that was asked for.
    pub since_ms: u64,
}

/// A cell's registrations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// How many there were.
    pub count: u64,
}
