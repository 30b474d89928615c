//! What teams use beside their quotas and guarantees. Only reads; limits that are divided among the
//! controllers are kept by `crate::limits`.

use super::machine_tasks::{spec_of, tasks_on};
use super::quota_headroom::QuotaHeadroom;
use super::{ROUNDING_TOLERANCE, Resources};
use crate::jobs::TaskRecord;
use crate::node::{Core, Node};
use crate::settings::Team;
use std::collections::HashMap;

/// What the tasks of each team use now, remaining tasks of departed jobs included. Empty unless a team has
/// a limit or a guarantee.
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
    // An absence that is not recorded may become void, see `limits::usage`.
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

/// Whether a team uses more than its guarantee: its tasks may be preempted for teams within theirs.
pub(super) fn exceeds_guarantee(team: &Team, usage: &Resources) -> bool {
    usage.cpus > team.guaranteed_cpus + ROUNDING_TOLERANCE
        || usage.gpus > team.guaranteed_gpus + ROUNDING_TOLERANCE
}

/// For each team with a guarantee, whether all its unfinished jobs fit into it together.
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

/// Adds the headroom of each limited team. Returns each team's index in it, none for teams without a limit.
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

/// What a team may start beside what it uses, where one controller applies its whole limit. A limit of 0
/// in the settings means none.
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
