//! The resources that teams use, compared with their limits and guarantees. This module only reads;
//! `crate::limits` manages the limits that are divided among the controllers.

use super::machine_tasks::{spec_of, tasks_on};
use super::quota_headroom::QuotaHeadroom;
use super::{ROUNDING_TOLERANCE, Resources};
use crate::jobs::TaskRecord;
use crate::node::{Core, Node};
use crate::settings::Team;
use std::collections::HashMap;

/// What the tasks of each team use now. Tasks of recently ended jobs that are still on machines count, too.
/// Empty unless some team has a limit or a guarantee.
pub fn team_usage(node: &Node, core: &Core) -> HashMap<String, Resources> {
    let mut usage: HashMap<String, Resources> = HashMap::new();
    let mut teams = node.settings.params.teams.iter();
    if !teams.any(|t| t.is_limited() || t.has_guarantee()) {
        return usage;
    }
    let mut add_task = |job: &str| {
        if let Some(spec) = spec_of(core, job) {
            usage
                .entry(spec.team.clone())
                .or_default()
                .add(&spec.resources());
        }
    };
    for machine in core.replica.fleet.machines.keys() {
        for id in tasks_on(core, machine) {
            add_task(&id.job);
        }
    }
    // A task that was found to be gone from its machine counts until this is recorded. If the machine is
    // reassigned before, its new controller starts the task again from the old record. See `crate::limits::usage`.
    for (job, changes) in core.pending_changes.iter() {
        for (task, entry) in changes {
            let is_placed = matches!(
                core.replica.task_record(job, *task),
                TaskRecord::Placed { .. }
            );
            if is_placed && matches!(entry, TaskRecord::Waiting { .. }) {
                add_task(job);
            }
        }
    }
    usage
}

/// Whether a team uses more than its guarantee. If so, its tasks may be preempted for teams within theirs.
pub(super) fn exceeds_guarantee(team: &Team, usage: &Resources) -> bool {
    usage.cpus > team.guaranteed_cpus + ROUNDING_TOLERANCE
        || usage.gpus > team.guaranteed_gpus + ROUNDING_TOLERANCE
}

/// For each team with a guarantee, whether the unfinished tasks of all its jobs together fit into it.
pub(super) fn teams_within_guarantee<'a>(node: &'a Node, core: &Core) -> HashMap<&'a str, bool> {
    let teams = node.settings.params.teams.iter();
    let guaranteed: Vec<&Team> = teams.filter(|t| t.has_guarantee()).collect();
    if guaranteed.is_empty() {
        return HashMap::new();
    }
    let mut requests: HashMap<&str, Resources> = HashMap::new();
    for job in core.replica.jobs.values() {
        let spec = &job.record.spec;
        if !job.record.cancelled {
            let unfinished = f64::from(spec.tasks - job.done.min(spec.tasks));
            let requested = requests.entry(&spec.team).or_default();
            requested.add(&spec.resources().scaled(unfinished));
        }
    }
    let is_within = |team: &Team| {
        let requested = requests.get(team.name.as_str());
        !exceeds_guarantee(team, &requested.copied().unwrap_or_default())
    };
    guaranteed
        .into_iter()
        .map(|team| (team.name.as_str(), is_within(team)))
        .collect()
}

/// Adds the headroom of each limited team to `headroom`. Returns the index of each team there, `None` for teams
/// without a limit.
pub(super) fn add_quota_headroom<'a>(
    node: &'a Node,
    core: &Core,
    usage: &HashMap<String, Resources>,
    headroom: &mut QuotaHeadroom,
) -> HashMap<&'a str, Option<usize>> {
    let mut indices = HashMap::new();
    for team in &node.settings.params.teams {
        let index = team
            .is_limited()
            .then(|| add_team_headroom(core, team, usage, headroom));
        indices.insert(team.name.as_str(), index);
    }
    indices
}

fn add_team_headroom(
    core: &Core,
    team: &Team,
    usage: &HashMap<String, Resources>,
    headroom: &mut QuotaHeadroom,
) -> usize {
    let Some(divided) = core.limits.divided_team(core, &team.name) else {
        let used = usage.get(&team.name).copied().unwrap_or_default();
        let limit = undivided_headroom(team, &Resources::default());
        return headroom.add(undivided_headroom(team, &used), limit);
    };
    let index = headroom.add(divided.headroom(), divided.full_limit());
    if let Some(reservation) = core.limits.gang_reservation(&divided) {
        headroom.reserve_for(index, reservation.job, reservation.amount);
    }
    index
}

/// The headroom of a team whose limit is not divided among the controllers: one controller applies all of it. A
/// limit of 0 in the settings means that there is none.
fn undivided_headroom(team: &Team, used: &Resources) -> Resources {
    let left = |limit: f64, used: f64| {
        if limit > 0.0 {
            limit - used
        } else {
            f64::INFINITY
        }
    };
    Resources {
        cpus: left(team.max_cpus, used.cpus),
        gpus: left(team.max_gpus, used.gpus),
        memory_gb: f64::INFINITY,
    }
}
