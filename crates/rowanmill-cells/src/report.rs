//! What the client tells operators, by the ledger alone: so it has an answer whichever controller leads,
//! and while a cell is dead. As text for people, and as JSON in a format with a version.

use crate::record::{FinalState, LedgerJob};
use crate::replica::LedgerReplica;
use serde::Serialize;
use std::fmt::Write;

/// The version of the JSON. It rises when a field changes its meaning or goes.
pub const FORMAT: u32 = 1;

/// How a cell stands.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CellReport {
    /// Its name.
    pub cell: String,
    /// Its lease holds.
    pub present: bool,
    /// An operator drains it.
    pub draining: bool,
    /// The controller that keeps its lease.
    pub controller: Option<String>,
    /// How often it registered.
    pub registrations: u64,
    /// Open jobs that it owns.
    pub jobs: usize,
    /// Those of them that are cancelled and still have to end.
    pub cancelled: usize,
    /// Those of them that other cells accepted.
    pub foreign: usize,
    /// Tasks that wait there.
    pub waiting: Option<u64>,
    /// CPUs of machines on which nothing runs.
    pub free_cpus: Option<f64>,
}

/// How all cells stand.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Status {
    /// [`FORMAT`].
    pub format: u32,
    /// The ledger's revision.
    pub revision: u64,
    /// The cells of the file.
    pub cells: Vec<CellReport>,
    /// Records that cannot be read or are of no cell of the file.
    pub malformed: u64,
}

/// Where a job stands.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// [`FORMAT`].
    pub format: u32,
    /// The job.
    pub job: String,
    /// `open`, `cancelling`, `done`, `cancelled` or `unknown`.
    pub state: &'static str,
    /// The cell that owns it.
    pub owner: Option<String>,
    /// Whether that cell's lease holds.
    pub owner_present: Option<bool>,
    /// The ownership epoch.
    pub epoch: Option<u64>,
    /// The cell that accepted it.
    pub home: Option<String>,
    /// How often it was moved because it waited.
    pub moves: Option<u32>,
    /// Cells that cannot run it, or may not now.
    pub declined: Vec<String>,
    /// Jobs that it waits for and that are not over.
    pub awaits: Vec<String>,
    /// All this in words.
    pub reasons: Vec<String>,
}

/// How all cells stand.
pub fn status(replica: &LedgerReplica) -> Status {
    let cells = replica.cells.keys().map(|name| cell_report(replica, name));
    Status {
        format: FORMAT,
        revision: replica.revision,
        cells: cells.collect(),
        malformed: replica.malformed,
    }
}

fn cell_report(replica: &LedgerReplica, name: &str) -> CellReport {
    let state = &replica.cells[name];
    let presence = state.presence.as_ref().map(|held| &held.record);
    let owned = || {
        let jobs = replica.jobs.values().map(|held| &held.record);
        jobs.filter(|job| job.owner == name)
    };
    CellReport {
        cell: name.to_owned(),
        present: presence.is_some(),
        draining: state.drain.is_some(),
        controller: presence.map(|p| p.controller.clone()),
        registrations: state.generation.as_ref().map_or(0, |g| g.record.count),
        jobs: owned().count(),
        cancelled: owned().filter(|job| job.cancelled).count(),
        foreign: owned().filter(|job| job.home != name).count(),
        waiting: presence.map(|p| p.summary.waiting),
        free_cpus: presence.map(|p| p.summary.free_cpus),
    }
}

/// Where a job stands. `last` is its final state, if the ledger has one.
pub fn explain(replica: &LedgerReplica, id: &str, last: Option<FinalState>) -> Explanation {
    let job = replica.jobs.get(id).map(|held| &held.record);
    let state = match (last, job) {
        (Some(FinalState::Done), _) => "done",
        (Some(FinalState::Cancelled), _) => "cancelled",
        (None, Some(job)) if job.cancelled => "cancelling",
        (None, Some(_)) => "open",
        (None, None) => "unknown",
    };
    let job = job.filter(|_| last.is_none());
    let open = |id: &&String| replica.jobs.contains_key(*id);
    let awaits = job.map(|job| job.awaits.iter().filter(open).cloned().collect());
    Explanation {
        format: FORMAT,
        job: id.to_owned(),
        state,
        owner: job.map(|job| job.owner.clone()),
        owner_present: job.map(|job| replica.is_present(&job.owner)),
        epoch: job.map(|job| job.epoch),
        home: job.map(|job| job.home.clone()),
        moves: job.map(|job| job.moves),
        declined: job.map(|job| job.declined.clone()).unwrap_or_default(),
        awaits: awaits.unwrap_or_default(),
        reasons: reasons(replica, id, job, state),
    }
}

fn reasons(replica: &LedgerReplica, id: &str, job: Option<&LedgerJob>, state: &str) -> Vec<String> {
    let Some(job) = job else {
        return vec![match state {
            "unknown" if replica.is_unreadable(id) => "its record cannot be read".to_owned(),
            "unknown" => "no cell ever accepted it through the ledger".to_owned(),
            ended => format!("it ended: {ended}"),
        }];
    };
    let mut reasons = Vec::new();
    let owner = &job.owner;
    match replica.is_present(owner) {
        true => reasons.push(format!("`{owner}` runs it, under epoch {}", job.epoch)),
        false => reasons.push(format!(
            "`{owner}` is missing: another cell takes the job over once nothing of it can run there"
        )),
    }
    if job.cancelled {
        reasons.push("its user cancelled it; it ends when none of its tasks is left".to_owned());
    }
    if job.home != *owner {
        reasons.push(format!("`{}` accepted it", job.home));
    }
    if job.moves > 0 {
        reasons.push(format!(
            "it was moved {} times because it waited",
            job.moves
        ));
    }
    for cell in &job.declined {
        reasons.push(format!(
            "`{cell}` cannot run it, or all room for it there is protected"
        ));
    }
    for other in job
        .awaits
        .iter()
        .filter(|id| replica.jobs.contains_key(*id))
    {
        reasons.push(format!("it waits for `{other}`"));
    }
    if replica.is_draining(owner) {
        reasons.push(format!(
            "`{owner}` is being drained: it leaves unless it has begun"
        ));
    }
    reasons
}

impl Status {
    /// For people.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let line =
            "cell            state      jobs  foreign  cancelled  waiting  free cpus  controller";
        let _ = writeln!(text, "{line}");
        for cell in &self.cells {
            let state = match (cell.present, cell.draining) {
                (true, true) => "draining",
                (true, false) => "present",
                (false, _) => "missing",
            };
            let number = |n: Option<f64>| n.map_or("-".to_owned(), |n| format!("{n:.0}"));
            let _ = writeln!(
                text,
                "{:<15} {state:<9} {:>5} {:>8} {:>10} {:>8} {:>10}  {}",
                cell.cell,
                cell.jobs,
                cell.foreign,
                cell.cancelled,
                number(cell.waiting.map(|n| n as f64)),
                number(cell.free_cpus),
                cell.controller.as_deref().unwrap_or("-"),
            );
        }
        if self.malformed > 0 {
            let _ = writeln!(text, "{} records cannot be read", self.malformed);
        }
        text
    }
}

impl Explanation {
    /// For people.
    pub fn text(&self) -> String {
        let mut text = format!("{}: {}\n", self.job, self.state);
        for reason in &self.reasons {
            let _ = writeln!(text, "  {reason}");
        }
        text
    }
}

#[cfg(test)]
mod tests;
