//! Discards planned starts that this controller's allocations do not cover.

use super::{DividedTeam, refresh_usage};
use crate::jobs::{TaskId, TaskRecord};
use crate::node::Core;
use std::collections::HashMap;

/// Discards planned starts that this controller's allocations do not cover: the records may have changed
/// since the starts were planned. Starts that come first in the plan are kept; a gang is kept or discarded as
/// a whole.
pub fn discard_uncovered_starts(core: &mut Core) {
    refresh_usage(core);
    let overcommitted = core
        .limits
        .divided_teams(core)
        .filter(DividedTeam::is_overcommitted);
    let uncovered: Vec<TaskId> = overcommitted
        .flat_map(|team| uncovered_starts(core, &team))
        .collect();
    if uncovered.is_empty() {
        return;
    }
    for task in uncovered {
        core.discard_change(&task);
    }
    refresh_usage(core);
}

/// The tasks whose planned starts a team's allocation does not cover.
fn uncovered_starts(core: &Core, team: &DividedTeam) -> Vec<TaskId> {
    let mut headroom = team.headroom_for_planned();
    let mut uncovered = Vec::new();
    for PlannedStarts { job, tasks } in planned_starts(core, team.name) {
        let Some(stored) = core.replica.jobs.get(job) else {
            continue;
        };
        let spec = &stored.record.spec;
        let unit_len = if spec.is_gang() { tasks.len() } else { 1 };
        for unit in tasks.chunks(unit_len) {
            let need = team.amount(spec, unit.len() as u32);
            match headroom.filter(|headroom| need.fits_within(*headroom)) {
                Some(left) => headroom = Some(left.saturating_sub(need)),
                None => uncovered.extend(unit.iter().map(|task| TaskId::new(job, *task))),
            }
        }
    }
    uncovered
}

/// Planned starts of one job.
struct PlannedStarts<'a> {
    job: &'a String,
    /// The tasks' indices in the job; never empty.
    tasks: Vec<u32>,
}

/// Planned starts of a team, ordered by the start ranks of their jobs.
fn planned_starts<'a>(core: &'a Core, team: &str) -> Vec<PlannedStarts<'a>> {
    let of_team = |job: &str| {
        let job = core.replica.jobs.get(job);
        job.is_some_and(|job| job.record.spec.team == team)
    };
    let mut starts: HashMap<&String, Vec<u32>> = HashMap::new();
    for (job, changes) in core.pending_changes.iter().filter(|(job, _)| of_team(job)) {
        for (task, entry) in changes {
            if matches!(entry, TaskRecord::Placed { .. }) {
                starts.entry(job).or_default().push(*task);
            }
        }
    }
    let mut starts: Vec<PlannedStarts> = starts
        .into_iter()
        .map(|(job, tasks)| PlannedStarts { job, tasks })
        .collect();
    starts.sort_by_key(|starts| core.pending_changes.start_rank(starts.job));
    starts
}
