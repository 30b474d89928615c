//! Summarizes the cell's own records for the planner of `rowanmill-cells`: states of jobs, and the cell's
//! capacity. Nothing is changed here.

use super::protection;
use crate::jobs::{JobRecord, TerminalState};
use crate::node::{Core, Node};
use rowanmill_cells::record::CapacitySummary;
use rowanmill_cells::{LocalJobState, TrackedJob};
use std::time::Instant;

/// The job as the planner tracks it; `None` if it has no record in the ledger.
pub(super) fn tracked_job(id: &str, record: &JobRecord) -> Option<TrackedJob> {
    Some(TrackedJob {
        id: id.to_owned(),
        ownership: record.ledger?,
        is_stopping: record.cancelled,
    })
}

/// All jobs of the replica that have a record in the ledger.
pub(super) fn tracked_jobs(core: &Core) -> Vec<TrackedJob> {
    let jobs = core.replica.jobs.iter();
    jobs.filter_map(|(id, job)| tracked_job(id, &job.record))
        .collect()
}

/// The state of a job according to the replica.
pub(super) fn local_job_state(node: &Node, core: &Core, id: &str, now_ms: u64) -> LocalJobState {
    let Some(job) = core.replica.jobs.get(id) else {
        return state_without_record(core, id);
    };
    if job.record.withdrawn {
        return LocalJobState::Withdrawn;
    }
    if job.record.cancelled {
        return LocalJobState::Cancelling;
    }
    let has_planned_tasks = core
        .pending_changes
        .of_job(id)
        .is_some_and(|planned| !planned.is_empty());
    let has_started = job.placed > 0 || job.done > 0 || has_planned_tasks;
    let is_excluded = || protection::exclusion_of(node, core, &job.record.spec, now_ms).is_some();
    LocalJobState::Open {
        has_started,
        age_ms: job.record.waited_in_cell_ms(now_ms),
        excluded_by_protection: job.record.foreign && !has_started && is_excluded(),
    }
}

fn state_without_record(core: &Core, id: &str) -> LocalJobState {
    match core.replica.final_state(id) {
        Some(TerminalState::Done) => LocalJobState::Completed,
        Some(TerminalState::Cancelled) => LocalJobState::Cancelled,
        // No action may be taken on a job whose record cannot be read. It is reported as being cancelled,
        // because the planner takes no action on such jobs either.
        None if core.replica.is_unreadable(id) => LocalJobState::Cancelling,
        None => LocalJobState::Absent,
    }
}

/// The cell's capacity according to the replica.
pub(super) fn capacity_summary(core: &Core, now: Instant, now_ms: u64) -> CapacitySummary {
    let machines = core.replica.fleet.machines.values();
    let cpus = machines.map(|machine| {
        core.machine_type(&machine.pool.machine_type)
            .map_or(0.0, |kind| kind.cpus)
    });
    let total_cpus: f64 = cpus.fold(0.0, |total, cpus| total + cpus);
    let (mut used_cpus, mut waiting_tasks) = (0.0, 0);
    for job in core.replica.jobs.values() {
        used_cpus += f64::from(job.placed) * job.record.spec.cpus;
        if !job.record.cancelled {
            let started = job.done + job.placed;
            waiting_tasks += u64::from(job.record.spec.tasks.saturating_sub(started));
        }
    }
    CapacitySummary {
        computed_ms: now_ms,
        waiting_tasks,
        free_cpus: (total_cpus - used_cpus).max(0.0),
        can_rent: !core.scaling.has_exhausted_pool(now),
        // Filled in when the summary is published.
        ledger_revision: None,
    }
}
