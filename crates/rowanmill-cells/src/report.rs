//! The client's reports on cells and jobs, as text for people and as JSON in a versioned format.
//!
//! The reports are built from the ledger alone, so that they do not depend on any controller and are
//! available while a cell is lost. The fields have the names that the JSON uses.

mod text;

use crate::record::{FinalState, LedgerJob};
use crate::replica::LedgerReplica;
use serde::Serialize;
use std::fmt;

/// Version of the JSON. It is incremented when a field is removed or changes its meaning.
pub const FORMAT: u32 = 1;

/// State of one cell.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CellReport {
    /// Its name.
    pub cell: String,
    /// Whether its lease is valid.
    pub present: bool,
    /// Whether an operator has requested to drain it.
    pub draining: bool,
    /// The controller that registered it and renews its lease.
    pub controller: Option<String>,
    /// Number of its registrations.
    pub registrations: u64,
    /// Number of open jobs that it owns.
    pub jobs: usize,
    /// Number of these jobs that are cancelled and have not ended yet.
    pub cancelled: usize,
    /// Number of these jobs that other cells accepted.
    pub foreign: usize,
    /// Number of tasks that wait there.
    pub waiting: Option<u64>,
    /// CPUs of its machines that no task uses.
    pub free_cpus: Option<f64>,
}

/// State of all cells.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CellsReport {
    /// [`FORMAT`].
    pub format: u32,
    /// The ledger's revision.
    pub revision: u64,
    /// The cells of the operators' file.
    pub cells: Vec<CellReport>,
    /// Number of records that are malformed or belong to a cell that is not in the file.
    pub malformed: u64,
}

/// State of a job, as the client reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ReportedState {
    /// It is open.
    Open,
    /// It is cancelled and has not ended yet.
    Cancelling,
    /// All its tasks completed.
    Done,
    /// It ended as cancelled.
    Cancelled,
    /// The ledger has no record of it, or a malformed one.
    Unknown,
}

impl ReportedState {
    fn of(job: Option<&LedgerJob>, final_state: Option<FinalState>) -> Self {
        match (final_state, job) {
            (Some(FinalState::Done), _) => Self::Done,
            (Some(FinalState::Cancelled), _) => Self::Cancelled,
            (None, Some(job)) if job.cancelled => Self::Cancelling,
            (None, Some(_)) => Self::Open,
            (None, None) => Self::Unknown,
        }
    }
}

impl fmt::Display for ReportedState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Open => "open",
            Self::Cancelling => "cancelling",
            Self::Done => "done",
            Self::Cancelled => "cancelled",
            Self::Unknown => "unknown",
        })
    }
}

/// State of a job, with an explanation.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// [`FORMAT`].
    pub format: u32,
    /// The job.
    pub job: String,
    /// Its state.
    pub state: ReportedState,
    /// The cell that owns it.
    pub owner: Option<String>,
    /// Whether that cell's lease is valid.
    pub owner_present: Option<bool>,
    /// The ownership epoch.
    pub epoch: Option<u64>,
    /// The cell that accepted it.
    pub home: Option<String>,
    /// Number of times that it was handed over to another cell because it waited or its cell was drained.
    pub moves: Option<u32>,
    /// Cells that declined it because they could not run it at the time.
    pub declined: Vec<String>,
    /// Open jobs that it depends on.
    pub awaits: Vec<String>,
    /// The explanation as sentences.
    pub reasons: Vec<String>,
}

/// Reports the state of all cells.
pub fn report_cells(replica: &LedgerReplica) -> CellsReport {
    let cells = replica.cells.keys().map(|name| report_cell(replica, name));
    CellsReport {
        format: FORMAT,
        revision: replica.revision,
        cells: cells.collect(),
        malformed: replica.malformed_records,
    }
}

fn report_cell(replica: &LedgerReplica, name: &str) -> CellReport {
    let state = &replica.cells[name];
    let presence = state.presence.as_ref().map(|presence| &presence.record);
    let owned = || {
        let jobs = replica.jobs.values().map(|job| &job.record);
        jobs.filter(|job| job.owner == name)
    };
    let generation = state.generation.as_ref();
    CellReport {
        cell: name.to_owned(),
        present: presence.is_some(),
        draining: state.drain.is_some(),
        controller: presence.map(|presence| presence.controller.clone()),
        registrations: generation.map_or(0, |generation| generation.record.count),
        jobs: owned().count(),
        cancelled: owned().filter(|job| job.cancelled).count(),
        foreign: owned().filter(|job| job.home != name).count(),
        waiting: presence.map(|presence| presence.summary.waiting_tasks),
        free_cpus: presence.map(|presence| presence.summary.free_cpus),
    }
}

/// Explains the state of a job. `final_state` is its final state in the ledger, if it has one.
pub fn explain(replica: &LedgerReplica, id: &str, final_state: Option<FinalState>) -> Explanation {
    let open_record = replica.jobs.get(id).map(|job| &job.record);
    let state = ReportedState::of(open_record, final_state);
    // The final state was read after the live records, so it takes precedence over an open record.
    let job = open_record.filter(|_| final_state.is_none());
    let open_dependencies = job.map(|job| open_dependencies(replica, job));
    let reasons = match job {
        Some(job) => reasons_of_open(replica, job),
        None => vec![reason_of_not_open(replica, id, state)],
    };
    Explanation {
        format: FORMAT,
        job: id.to_owned(),
        state,
        owner: job.map(|job| job.owner.clone()),
        owner_present: job.map(|job| replica.is_present(&job.owner)),
        epoch: job.map(|job| job.epoch),
        home: job.map(|job| job.home.clone()),
        moves: job.map(|job| job.spill_count),
        declined: job.map(|job| job.declined_by.clone()).unwrap_or_default(),
        awaits: open_dependencies.unwrap_or_default(),
        reasons,
    }
}

fn open_dependencies(replica: &LedgerReplica, job: &LedgerJob) -> Vec<String> {
    let dependencies = job.depends_on.iter();
    dependencies
        .filter(|id| replica.jobs.contains_key(*id))
        .cloned()
        .collect()
}

/// The reason for the state of a job that is not open.
fn reason_of_not_open(replica: &LedgerReplica, id: &str, state: ReportedState) -> String {
    match state {
        ReportedState::Unknown if replica.is_unreadable(id) => {
            "its record cannot be read".to_owned()
        }
        ReportedState::Unknown => "no cell ever accepted it through the ledger".to_owned(),
        ended => format!("it ended: {ended}"),
    }
}

fn reasons_of_open(replica: &LedgerReplica, job: &LedgerJob) -> Vec<String> {
    let owner = &job.owner;
    let mut reasons = Vec::new();
    if replica.is_present(owner) {
        reasons.push(format!("`{owner}` runs it, under epoch {}", job.epoch));
    } else {
        reasons.push(format!(
            "`{owner}` is missing: another cell takes the job over once nothing of it can run there"
        ));
    }
    if job.cancelled {
        reasons.push("its user cancelled it; it ends when none of its tasks is left".to_owned());
    }
    if job.home != *owner {
        reasons.push(format!("`{}` accepted it", job.home));
    }
    if job.spill_count > 0 {
        let count = job.spill_count;
        reasons.push(format!("it was moved {count} times because it waited"));
    }
    let declined = job
        .declined_by
        .iter()
        .map(|cell| format!("`{cell}` cannot run it, or all room for it there is protected"));
    reasons.extend(declined);
    let dependencies = open_dependencies(replica, job);
    reasons.extend(dependencies.iter().map(|id| format!("it waits for `{id}`")));
    if replica.is_draining(owner) {
        reasons.push(format!(
            "`{owner}` is being drained: it leaves unless it has begun"
        ));
    }
    reasons
}

#[cfg(test)]
mod tests;
