//! From records and reports to what the mapping works on.

use super::preemption::{PreemptionRequest, RunningTask};
use super::quota_headroom::QuotaHeadroom;
use super::snapshot_cache::{BOOT, Progress, spec_of, tasks_on};
use super::{JobSnapshot, MachineSnapshot, Milestone, Resources, capacity_of};
use crate::cells::protection::{exclusion_of, protected_pools};
use crate::jobs::{JobRecord, JobSpec, Shape, TaskRecord, Urgency};
use crate::membership::assignment::hash_slot;
use crate::node::{Core, Node, age_s};
use crate::policy::JobFacts;
use crate::settings::{ObjectiveKind, Team};
use crate::workers::TaskAttempt;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// From a decision to stop a task until its room is free: a report, and a record.
pub const STOP_TAKES_S: f64 = 2.0;
/// A job that has not begun goes before all others this long after its arrival, whatever its
/// class's aims say or have come to: urgency and deadlines order the rest, but nothing starves.
const BEGIN_WITHIN_S: f64 = 190.0;
/// Under lasting overload every job would come to be overdue, and none would be in time if the
/// overdue always went first. So of the largest of a class one in two goes first then, of the
/// others one in four; the rest so many times later.
const LARGEST_IN: usize = 2;
const OTHERS_IN: usize = 4;

/// From this part of its class's largest job on, a job counts among the largest.
const LARGEST_PART: f64 = 0.5;

fn start_within(spec: &JobSpec, size: f64, largest: f64) -> f64 {
    let one_in = match size >= largest * LARGEST_PART {
        true => LARGEST_IN,
        false => OTHERS_IN,
    };
    BEGIN_WITHIN_S * (1 + hash_slot(&spec.id) % one_in) as f64
}

pub struct ClusterSnapshot {
    pub jobs: Vec<JobSnapshot>,
    pub machines: Vec<MachineSnapshot>,
    /// Per job: the kind of machine that its tasks most need.
    pub pools: Vec<String>,
    pub preemption_requests: Vec<PreemptionRequest>,
    /// What limited teams may still start.
    pub headroom: QuotaHeadroom,
    /// Jobs that fail everywhere, or whose room is all protected: no machine cures that, so they rent
    /// nothing.
    pub unplaceable: Vec<bool>,
}

/// Kinds that a task may run on, cheapest first.
pub fn eligible_machine_types(core: &Core, spec: &JobSpec) -> Vec<String> {
    let mut kinds: Vec<_> = core
        .kinds
        .iter()
        .filter(|k| spec.resources().fits(&capacity_of(k)))
        .filter(|k| {
            spec.machine_types
                .as_ref()
                .is_none_or(|t| t.contains(&k.name))
        })
        .filter(|k| spec.zone.as_ref().is_none_or(|z| k.zones.contains(z)))
        .collect();
    kinds.sort_by(|a, b| a.price.total_cmp(&b.price));
    kinds.into_iter().map(|k| k.name.clone()).collect()
}

fn start_by(node: &Node, spec: &JobSpec) -> f64 {
    node.policy.start_within_factor(&JobFacts {
        class: &spec.class,
        urgency: spec.urgency.name(),
        tasks: f64::from(spec.tasks),
        estimate: spec.estimate_s,
    })
}

/// A job's time, in seconds after its arrival: the earliest of the aims on its class, and its own
/// deadline, that it can still keep. One that has missed them all counts as undated: it no longer
/// goes ahead of work that can still be in time.
pub fn due_after(node: &Node, core: &Core, record: &JobRecord, age: f64) -> (f64, Milestone) {
    dues(node, core, record, age)[0]
}

/// A job's urgency, or a higher one of a job that waits for it.
pub fn urgency_of(core: &Core, spec: &JobSpec) -> Urgency {
    let inherited = core.views.inherited_deadlines.get(&spec.id);
    inherited.map_or(spec.urgency, |i| i.urgency.max(spec.urgency))
}

/// All times that a job can still keep, the earliest first.
fn dues(node: &Node, core: &Core, record: &JobRecord, age: f64) -> Vec<(f64, Milestone)> {
    let spec = &record.spec;
    let expected = core.duration(spec);
    let mut aims: Vec<(f64, Milestone)> = Vec::new();
    let due = record.deadline_s();
    if let Some(due) = due {
        aims.push((due, Milestone::Finish));
    }
    // What waits for it must be in time, too.
    if let Some(inherited) = core.views.inherited_deadlines.get(&spec.id) {
        for at_ms in [inherited.finish_by_ms, inherited.objective_finish_by_ms] {
            if at_ms.is_finite() {
                aims.push((
                    (at_ms - record.eligible_since_ms() as f64) / 1000.0,
                    Milestone::Finish,
                ));
            }
        }
    }
    for objective in &node.settings.params.objectives {
        if objective.class != spec.class {
            continue;
        }
        match (&objective.kind, objective.within_s, objective.times) {
            (ObjectiveKind::Start, Some(within), _) => aims.push((within, Milestone::Start)),
            (ObjectiveKind::Finish, Some(within), _) => aims.push((within, Milestone::Finish)),
            (ObjectiveKind::Deadline, _, Some(times)) => {
                if let (Some(due), Some(whole)) = (due, spec.deadline_s) {
                    aims.push((due + whole * (times - 1.0), Milestone::Finish));
                }
            }
            _ => {}
        }
    }
    let can_keep = |(due, by): &(f64, Milestone)| match by {
        Milestone::Start => age <= *due,
        Milestone::Finish => age + expected <= *due,
    };
    aims.retain(can_keep);
    aims.sort_by(|a, b| a.0.total_cmp(&b.0));
    if aims.is_empty() {
        // Undated: started by arrival plus so many estimates.
        aims.push((expected * start_by(node, spec), Milestone::Start));
    }
    aims
}

/// What each team's tasks use now, gone jobs' remaining tasks included. Only asked where a team
/// has a limit or a guarantee.
pub fn team_use(node: &Node, core: &Core) -> HashMap<String, Resources> {
    let mut used: HashMap<String, Resources> = HashMap::new();
    let mut teams = node.settings.params.teams.iter();
    if !teams.any(|t| t.is_limited() || t.has_guarantee()) {
        return used;
    }
    let mut add = |job: &str| {
        if let Some(spec) = spec_of(core, job) {
            used.entry(spec.team.clone())
                .or_default()
                .add(&spec.resources());
        }
    };
    for name in core.replica.fleet.machines.keys() {
        for id in tasks_on(core, name) {
            add(&id.job);
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
                add(job);
            }
        }
    }
    used
}

/// What the mapping works on now.
pub fn build(node: &Node, core: &mut Core, now: Instant, now_ms: u64) -> ClusterSnapshot {
    let used = team_use(node, core);
    let silent = node.settings.params.workers.report_s * 2.0;
    let mut views = ClusterSnapshot {
        jobs: Vec::new(),
        machines: core.views.machine_views(now, silent),
        pools: Vec::new(),
        preemption_requests: Vec::new(),
        headroom: QuotaHeadroom::default(),
        unplaceable: Vec::new(),
    };
    let teams = quota_headroom(node, core, &used, &mut views.headroom);
    let within = within_guarantee(node, core);
    let protected = Arc::new(protected_pools(node, core, now_ms));
    let mut largest: HashMap<String, f64> = HashMap::new();
    for (id, progress) in &core.views.jobs {
        if let Some(job) = core.replica.jobs.get(id) {
            let spec = &job.record.spec;
            let size = f64::from(spec.tasks) * progress.dominant_share;
            let most = largest.entry(spec.class.clone()).or_default();
            *most = most.max(size);
        }
    }
    for (id, progress) in &core.views.jobs {
        if progress.waiting.is_empty() || progress.pool.is_empty() {
            continue;
        }
        let Some(job) = core.replica.jobs.get(id) else {
            continue;
        };
        let failures = core.failures.get(id);
        if failures
            .and_then(|f| f.not_before())
            .is_some_and(|t| now < t)
        {
            continue;
        }
        let spec = &job.record.spec;
        let age = age_s(job.record.eligible_since_ms(), now_ms);
        let size = f64::from(spec.tasks) * progress.dominant_share;
        let begin = start_within(spec, size, largest[&spec.class]);
        let Some(team) = teams.get(spec.team.as_str()) else {
            continue; // a team that is not in the settings any more
        };
        let Some(mut view) = job_view(node, core, &job.record, progress, *team, (age, begin))
        else {
            continue;
        };
        let mut unplaceable = failures.is_some_and(|f| f.is_everywhere());
        if job.record.foreign && !protected.is_empty() {
            view.excluded_pools = protected.clone();
            unplaceable |= exclusion_of(node, core, spec, now_ms).is_some();
        }
        let guaranteed = within.get(&spec.team).copied().unwrap_or(false);
        view.guaranteed = guaranteed;
        view.index = views.jobs.len();
        views.jobs.push(view);
        views.pools.push(progress.pool.clone());
        views.preemption_requests.push(PreemptionRequest {
            urgency: urgency_of(core, spec),
            guaranteed,
        });
        views.unplaceable.push(unplaceable);
    }
    core.views
        .apply_reservations(&views.jobs, &mut views.machines, now);
    views
}

fn job_view(
    node: &Node,
    core: &Core,
    record: &JobRecord,
    progress: &Progress,
    team: Option<usize>,
    (age, start_within): (f64, f64),
) -> Option<JobSnapshot> {
    let spec = &record.spec;
    // A gang restarts only when every task of the attempt before is gone; one that completed
    // only needs its other tasks to report the same.
    let gang = spec.shape == Shape::Gang && progress.done == 0;
    if gang && progress.placed > 0 {
        return None;
    }
    let dues = dues(node, core, record, age);
    let (due, due_milestone) = dues[0];
    let started = progress.done + progress.placed;
    let soonest = |due: f64| match started {
        0 => due.min(start_within) - age,
        _ => due - age,
    };
    let next_due = dues.get(1).map_or(start_within, |d| d.0);
    let failed_on = core.failures.get(&spec.id).map(|f| f.machines.clone());
    Some(JobSnapshot {
        id: spec.id.clone(),
        index: 0,
        gang,
        resources: spec.resources(),
        large: progress.large,
        machine_types: progress.kinds.clone(),
        zone: progress.zone,
        spot: spec.spot,
        one_zone: spec.one_zone,
        most_in_zone: spec.max_tasks_per_zone(),
        zones: progress.zones.clone(),
        waiting: progress.waiting.clone(),
        started,
        arrived: -age,
        guaranteed: false,
        urgency: urgency_of(core, spec),
        due: soonest(due),
        next_due: soonest(next_due),
        due_milestone,
        duration: core.duration(spec),
        provisioning_s: core.kind(&progress.pool).map_or(0.0, |k| k.boot_s * BOOT),
        image: progress.image,
        image_gb: spec.image_gb,
        team,
        avoid: failed_on.unwrap_or_default(),
        excluded_pools: Arc::default(),
    })
}

/// Teams with a guarantee into which all their unfinished jobs fit together.
fn within_guarantee(node: &Node, core: &Core) -> HashMap<String, bool> {
    if !node.settings.params.teams.iter().any(|t| t.has_guarantee()) {
        return HashMap::new();
    }
    let mut wants: HashMap<&str, Resources> = HashMap::new();
    for job in core.replica.jobs.values() {
        let spec = &job.record.spec;
        if !job.record.cancelled {
            let left = f64::from(spec.tasks - job.done.min(spec.tasks));
            let wants = wants.entry(&spec.team).or_default();
            wants.add(&spec.resources().scaled(left));
        }
    }
    let teams = node.settings.params.teams.iter();
    teams
        .filter(|team| team.has_guarantee())
        .map(|team| {
            let wants = wants.get(team.name.as_str()).copied().unwrap_or_default();
            let within = wants.cpus <= team.guaranteed_cpus + 1e-6
                && wants.gpus <= team.guaranteed_gpus + 1e-6;
            (team.name.clone(), within)
        })
        .collect()
}

/// The tasks of a machine as far as stopping them goes.
pub fn running_tasks(
    node: &Node,
    core: &Core,
    used: &HashMap<String, Resources>,
    name: &str,
    now: Instant,
) -> Vec<RunningTask> {
    let borrowing = |team: &str| {
        let settings = node.settings.params.teams.iter().find(|t| t.name == team);
        let used = used.get(team).copied().unwrap_or_default();
        settings.is_some_and(|t| {
            used.cpus > t.guaranteed_cpus + 1e-6 || used.gpus > t.guaranteed_gpus + 1e-6
        })
    };
    let Some(status) = core.workers.agents.get(name) else {
        return Vec::new();
    };
    let mut there = Vec::new();
    for id in tasks_on(core, name) {
        let id = id.into_owned();
        let Some(job) = core.replica.jobs.get(&id.job) else {
            continue;
        };
        let spec = &job.record.spec;
        let TaskRecord::Placed { attempt, .. } = *core.task_record(&id.job, id.index) else {
            continue;
        };
        let ran = status.attempts.running_for(&id, now);
        let ran = ran.map_or(0.0, |ran| ran.as_secs_f64());
        let saves = spec.checkpoint_interval_s > 0.0;
        there.push(RunningTask {
            attempt,
            resources: spec.resources(),
            urgency: urgency_of(core, spec),
            borrowing: borrowing(&spec.team),
            lost_s: if saves { spec.checkpoint_write_s } else { ran },
            grace_s: if saves {
                spec.checkpoint_write_s * 1.5 + 1.0
            } else {
                0.0
            },
            not_preemptible: core.workers.pending_stops.contains_key(&TaskAttempt {
                task: id.clone(),
                attempt,
            }) || (spec.is_gang() && spec.tasks > 1),
            id,
        });
    }
    there
}

/// Adds the room of each limited team; the number by which each team's jobs name it.
fn quota_headroom<'a>(
    node: &'a Node,
    core: &Core,
    used: &HashMap<String, Resources>,
    headroom: &mut QuotaHeadroom,
) -> HashMap<&'a str, Option<usize>> {
    let mut numbers = HashMap::new();
    for team in &node.settings.params.teams {
        let number = team
            .is_limited()
            .then(|| match core.limits.divided_team(core, &team.name) {
                Some(divided) => {
                    let number = headroom.add(divided.headroom(), divided.full_limit());
                    if let Some(reservation) = core.limits.gang_reservation(&divided) {
                        headroom.reserve_for(number, reservation.job, reservation.amount);
                    }
                    number
                }
                None => {
                    let now = used.get(&team.name).copied().unwrap_or_default();
                    headroom.add(
                        headroom_beside(team, &now),
                        headroom_beside(team, &Resources::default()),
                    )
                }
            });
        numbers.insert(team.name.as_str(), number);
    }
    numbers
}

/// What a team may take beside what it uses, if one controller has its limit whole; a limit of 0 is none.
fn headroom_beside(team: &Team, used: &Resources) -> Resources {
    let left = |max: f64, used: f64| if max > 0.0 { max - used } else { f64::INFINITY };
    Resources {
        cpus: left(team.max_cpus, used.cpus),
        gpus: left(team.max_gpus, used.gpus),
        memory_gb: f64::INFINITY,
    }
}
