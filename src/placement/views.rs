//! From records and reports to what the mapping works on.

use super::preempt::{Claim, Occupant};
use super::{By, Chunk, JobView, MachineView, Need};
use crate::jobs::{Entry, JobSpec, Shape};
use crate::node::{Core, Node, age_s};
use crate::policy::JobFacts;
use crate::workers::{TaskId, TaskState};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Instant;

/// Most waiting tasks of one job that are looked at in one mapping.
const MOST_WAITING: usize = 2000;

/// Part of a machine's CPUs that stays free for its idle GPUs.
const KEPT_FOR_GPUS: f64 = 0.8;

/// From a decision to stop a task until its room is free: a report, and a record.
pub const STOP_TAKES_S: f64 = 2.0;

pub struct Views {
    pub jobs: Vec<JobView>,
    pub machines: Vec<MachineView>,
    /// Per job: the kind of machine that its tasks most need.
    pub pools: Vec<String>,
    pub claims: Vec<Claim>,
    pub occupants: BTreeMap<String, Vec<Occupant>>,
    pub teams: Vec<String>,
    /// What each limited team may still take.
    pub team_room: HashMap<String, Need>,
    /// Jobs that fail everywhere: no machine cures that, so they rent nothing.
    pub hopeless: Vec<bool>,
}

impl JobSpec {
    pub fn need(&self) -> Need {
        Need {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }
}

pub fn room_of(kind: &crate::cloud::Kind) -> Need {
    Need {
        cpus: kind.cpus,
        gpus: kind.gpus,
        memory_gb: kind.memory_gb,
    }
}

/// Kinds that a task may run on, cheapest first.
pub fn kinds_for(core: &Core, spec: &JobSpec) -> Vec<String> {
    let mut kinds: Vec<_> = core
        .kinds
        .iter()
        .filter(|k| spec.need().fits(&room_of(k)))
        .filter(|k| spec.types.as_ref().is_none_or(|t| t.contains(&k.name)))
        .filter(|k| spec.zone.as_ref().is_none_or(|z| k.zones.contains(z)))
        .collect();
    kinds.sort_by(|a, b| a.price.total_cmp(&b.price));
    kinds.into_iter().map(|k| k.name.clone()).collect()
}

fn start_by(node: &Node, spec: &JobSpec) -> f64 {
    node.policy.start_by(&JobFacts {
        class: &spec.class,
        urgency: spec.urgency.name(),
        tasks: f64::from(spec.tasks),
        estimate: spec.estimate_s,
    })
}

/// A job's time, in seconds after its arrival: the earliest of the aims on its class, and its own
/// deadline, that it can still keep. One that has missed them all counts as undated: it no longer
/// goes ahead of work that can still be in time.
pub fn due_after(node: &Node, core: &Core, spec: &JobSpec, age: f64) -> (f64, By) {
    let expected = core.duration(spec);
    let mut aims: Vec<(f64, By)> = Vec::new();
    if let Some(due) = spec.deadline_s {
        aims.push((due, By::End));
    }
    for objective in &node.settings.params.objectives {
        if objective.class != spec.class {
            continue;
        }
        match (objective.kind.as_str(), objective.within_s, objective.times) {
            ("wait", Some(within), _) => aims.push((within, By::Start)),
            ("finished", Some(within), _) => aims.push((within, By::End)),
            ("deadline", _, Some(times)) => {
                if let Some(due) = spec.deadline_s {
                    aims.push((due * times, By::End));
                }
            }
            _ => {}
        }
    }
    let can_keep = |(due, by): &(f64, By)| match by {
        By::Start => age <= *due,
        By::End => age + expected <= *due,
    };
    aims.into_iter()
        .filter(can_keep)
        .min_by(|a, b| a.0.total_cmp(&b.0))
        // Undated: started by arrival plus so many estimates.
        .unwrap_or_else(|| (expected * start_by(node, spec), By::Start))
}

/// Tasks recorded, about to be recorded, or reported on a machine.
pub fn occupants(core: &Core) -> HashMap<String, BTreeSet<TaskId>> {
    let mut on: HashMap<String, BTreeSet<TaskId>> = core.replica.on.clone();
    for ((job, _), changes) in &core.overlay {
        for (task, entry) in changes {
            let id = (job.clone(), *task);
            match entry {
                Entry::Placed { machine, .. } => {
                    on.entry(machine.clone()).or_default().insert(id);
                }
                _ => {
                    if let Some(Entry::Placed { machine, .. }) = core
                        .replica
                        .jobs
                        .get(job)
                        .map(|j| j.entry(core.replica.page_len, *task))
                        && let Some(set) = on.get_mut(&machine)
                    {
                        set.remove(&id);
                    }
                }
            }
        }
    }
    for (name, live) in &core.live {
        for task in &live.report.tasks {
            if task.state != TaskState::Ended
                && let Some((job, index)) = crate::jobs::split_task(&task.task)
            {
                let id = (job.to_owned(), index);
                on.entry(name.clone()).or_default().insert(id);
            }
        }
    }
    on
}

fn spec_of<'a>(core: &'a Core, job: &str) -> Option<&'a JobSpec> {
    core.replica
        .jobs
        .get(job)
        .map(|j| &j.record.spec)
        .or_else(|| core.replica.departed.get(job).map(|r| &r.spec))
}

/// What each team's tasks use now, gone jobs' remaining tasks included.
pub fn team_use(core: &Core, on: &HashMap<String, BTreeSet<TaskId>>) -> HashMap<String, Need> {
    let mut used: HashMap<String, Need> = HashMap::new();
    for (job, _) in on.values().flatten() {
        if let Some(spec) = spec_of(core, job) {
            used.entry(spec.team.clone()).or_default().add(&spec.need());
        }
    }
    used
}

pub fn build(node: &Node, core: &Core, now: Instant, now_ms: u64) -> Views {
    let on = occupants(core);
    let machines = machine_views(node, core, &on, now, now_ms);
    let used = team_use(core, &on);
    let mut views = Views {
        jobs: Vec::new(),
        machines,
        pools: Vec::new(),
        claims: Vec::new(),
        occupants: BTreeMap::new(),
        teams: Vec::new(),
        team_room: team_room(node, &used),
        hopeless: Vec::new(),
    };
    let within = within_guarantee(node, core);
    views.occupants = machine_occupants(node, core, &on, &used, now);
    for (id, job) in &core.replica.jobs {
        if job.record.cancelled || !core.owns_job(&node.me, id) {
            continue;
        }
        let failures = core.failures.get(id);
        if failures
            .and_then(|f| f.not_before())
            .is_some_and(|t| now < t)
        {
            continue;
        }
        let Some(mut view) = job_view(node, core, job, &views.team_room, now_ms) else {
            continue;
        };
        let guaranteed = within.get(&job.record.spec.team).copied().unwrap_or(false);
        view.guaranteed = guaranteed;
        let Some(pool) = view.kinds.first().cloned() else {
            continue;
        };
        views.jobs.push(view);
        views.pools.push(pool);
        views.teams.push(job.record.spec.team.clone());
        views.claims.push(Claim {
            urgency: job.record.spec.urgency,
            guaranteed,
        });
        views
            .hopeless
            .push(failures.is_some_and(|f| f.is_everywhere()));
    }
    views
}

/// The expected boot time over the catalogue's.
const BOOT: f64 = 1.1;

fn job_view(
    node: &Node,
    core: &Core,
    job: &crate::state::replica::Job,
    rooms: &HashMap<String, Need>,
    now_ms: u64,
) -> Option<JobView> {
    let spec = &job.record.spec;
    let mut waiting = Vec::new();
    let mut zones: BTreeMap<String, u32> = BTreeMap::new();
    let (mut done, mut placed) = (0, 0);
    for task in 0..spec.tasks {
        match core.entry(&spec.id, task) {
            Entry::Waiting { .. } if waiting.len() < MOST_WAITING => waiting.push(task),
            Entry::Waiting { .. } => break,
            Entry::Done => done += 1,
            Entry::Placed { machine, .. } => {
                placed += 1;
                if let Some(kept) = core.replica.machines.get(&machine) {
                    *zones.entry(kept.record.zone.clone()).or_default() += 1;
                }
            }
        }
    }
    if waiting.is_empty() {
        return None;
    }
    // A gang restarts only when every task of the attempt before is gone; one that completed
    // only needs its other tasks to report the same.
    let gang = spec.shape == Shape::Gang && done == 0;
    if gang && placed > 0 {
        return None;
    }
    let quota = quota_left(spec, rooms);
    let kinds = kinds_for(core, spec);
    let age = age_s(job.record.accepted_ms, now_ms);
    let (due, by) = due_after(node, core, spec, age);
    let failed_on = core.failures.get(&spec.id).map(|f| f.machines.clone());
    Some(JobView {
        id: spec.id.clone(),
        gang,
        need: spec.need(),
        kinds,
        zone: spec.zone.clone(),
        spot: spec.spot,
        one_zone: spec.one_zone,
        most_in_zone: spec.most_in_zone(),
        zones,
        waiting,
        begun: done + placed,
        arrived: -age,
        guaranteed: false,
        due: due - age,
        by,
        duration: core.duration(spec),
        image: spec.image.clone(),
        image_gb: spec.image_gb,
        quota,
        avoid: failed_on.unwrap_or_default(),
    })
}

/// Teams with a guarantee into which all their unfinished jobs fit together.
fn within_guarantee(node: &Node, core: &Core) -> HashMap<String, bool> {
    let mut wants: HashMap<&str, Need> = HashMap::new();
    for job in core.replica.jobs.values() {
        let spec = &job.record.spec;
        if !job.record.cancelled {
            let left = f64::from(spec.tasks - job.done.min(spec.tasks));
            let wants = wants.entry(&spec.team).or_default();
            wants.add(&spec.need().times(left));
        }
    }
    let teams = node.settings.params.teams.iter();
    teams
        .filter(|team| team.cpus > 0.0 || team.gpus > 0.0)
        .map(|team| {
            let wants = wants.get(team.name.as_str()).copied().unwrap_or_default();
            let within = wants.cpus <= team.cpus + 1e-6 && wants.gpus <= team.gpus + 1e-6;
            (team.name.clone(), within)
        })
        .collect()
}

fn machine_occupants(
    node: &Node,
    core: &Core,
    on: &HashMap<String, BTreeSet<TaskId>>,
    used: &HashMap<String, Need>,
    now: Instant,
) -> BTreeMap<String, Vec<Occupant>> {
    let borrowing = |team: &str| {
        let settings = node.settings.params.teams.iter().find(|t| t.name == team);
        let used = used.get(team).copied().unwrap_or_default();
        settings.is_some_and(|t| used.cpus > t.cpus + 1e-6 || used.gpus > t.gpus + 1e-6)
    };
    let mut all = BTreeMap::new();
    for (name, live) in &core.live {
        let mut there = Vec::new();
        for id in on.get(name).into_iter().flatten() {
            let Some(job) = core.replica.jobs.get(&id.0) else {
                continue;
            };
            let spec = &job.record.spec;
            let Entry::Placed { attempt, .. } = core.entry(&id.0, id.1) else {
                continue;
            };
            let ran = live.running_since.get(id).map_or(0.0, |(_, since)| {
                now.saturating_duration_since(*since).as_secs_f64()
            });
            let saves = spec.checkpoint_s > 0.0;
            there.push(Occupant {
                id: id.clone(),
                attempt,
                need: spec.need(),
                urgency: spec.urgency,
                borrowing: borrowing(&spec.team),
                lost_s: if saves { spec.save_s } else { ran },
                grace_s: if saves { spec.save_s * 1.5 + 1.0 } else { 0.0 },
                fixed: core.stops.contains_key(&(id.clone(), attempt))
                    || (spec.is_gang() && spec.tasks > 1),
            });
        }
        all.insert(name.clone(), there);
    }
    all
}

/// What each team may still take under its limit; a limit of 0 is none.
fn team_room(node: &Node, used: &HashMap<String, Need>) -> HashMap<String, Need> {
    let left = |max: f64, used: f64| if max > 0.0 { max - used } else { f64::INFINITY };
    let teams = node.settings.params.teams.iter();
    teams
        .map(|team| {
            let now = used.get(&team.name).copied().unwrap_or_default();
            let room = Need {
                cpus: left(team.cpus_max, now.cpus),
                gpus: left(team.gpus_max, now.gpus),
                memory_gb: f64::INFINITY,
            };
            (team.name.clone(), room)
        })
        .collect()
}

/// How many more tasks the team's limit allows. Several jobs of one team share it, so the
/// placing loop counts again as it plans.
fn quota_left(spec: &JobSpec, rooms: &HashMap<String, Need>) -> u32 {
    let Some(room) = rooms.get(&spec.team) else {
        return 0; // a team that is not in the settings any more
    };
    let mut left = u32::MAX >> 1;
    for (room, each) in [(room.cpus, spec.cpus), (room.gpus, spec.gpus)] {
        if room.is_finite() && each > 0.0 {
            left = left.min(((room + 1e-6) / each).floor().max(0.0) as u32);
        }
    }
    left
}

fn machine_views(
    node: &Node,
    core: &Core,
    on: &HashMap<String, BTreeSet<TaskId>>,
    now: Instant,
    now_ms: u64,
) -> Vec<MachineView> {
    let mut views = Vec::new();
    for (name, kept) in &core.replica.machines {
        let record = &kept.record;
        if record.returning || core.rent.closing.contains_key(name) {
            continue;
        }
        if record.owner != node.me {
            continue;
        }
        let Some(kind) = core.kind(&record.kind) else {
            continue;
        };
        let live = core.live.get(name);
        if live.is_some_and(|l| l.taken_at.is_some()) {
            continue;
        }
        // One that missed reports may be gone: nothing new for it until it is heard again.
        if live.is_some_and(|l| now.duration_since(l.heard) > node.settings.report_every() * 2) {
            continue;
        }
        let up_in = match live {
            Some(_) => 0.0,
            None => (kind.boot_s * BOOT - age_s(record.hired_ms, now_ms)).max(1.0),
        };
        let mut room = room_of(kind);
        let mut chunks: Vec<Chunk> = Vec::new();
        let mut unknown = false;
        for id in on.get(name).into_iter().flatten() {
            let Some(spec) = spec_of(core, &id.0) else {
                unknown = true;
                continue;
            };
            room.sub(&spec.need());
            chunks.push(Chunk {
                at: up_in + remaining(core, spec, id, live, kind, now),
                room: spec.need(),
            });
        }
        if unknown {
            continue; // a task whose size nobody knows: no room is certain until it is gone
        }
        chunks.push(Chunk { at: up_in, room });
        chunks.sort_by(|a, b| a.at.total_cmp(&b.at));
        let mut images: HashSet<String> = HashSet::new();
        if let Some(live) = live {
            images.extend(live.images.iter().map(|(name, _)| name.clone()));
        }
        views.push(MachineView {
            name: name.clone(),
            kind: record.kind.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            chunks,
            images,
            fetch_gb_per_s: kind.fetch_gb_per_s,
            slowness: live.map_or(1.0, |l| l.slowness),
            price: if record.spot {
                kind.spot_price
            } else {
                kind.price
            },
            cpus_per_gpu: if kind.gpus > 0.0 {
                kind.cpus / kind.gpus * KEPT_FOR_GPUS
            } else {
                0.0
            },
        });
    }
    views
}

/// Expected remainder of a task on a machine.
fn remaining(
    core: &Core,
    spec: &JobSpec,
    id: &TaskId,
    live: Option<&crate::workers::Live>,
    kind: &crate::cloud::Kind,
    now: Instant,
) -> f64 {
    if let Entry::Placed { attempt, .. } = core.entry(&id.0, id.1)
        && let Some(grace) = core.stops.get(&(id.clone(), attempt))
    {
        return STOP_TAKES_S + grace;
    }
    let slowness = live.map_or(1.0, |l| l.slowness);
    let whole = core.duration(spec) * slowness;
    let fetch = spec.image_gb / kind.fetch_gb_per_s.max(0.001);
    let Some(live) = live else {
        return fetch + whole;
    };
    if let Some((_, since)) = live.running_since.get(id) {
        let ran = now.saturating_duration_since(*since).as_secs_f64();
        return (whole - ran).max(1.0 + ran * 0.1);
    }
    let seen = live.seen_since.get(id);
    let waited = seen.map_or(0.0, |(_, since)| {
        now.saturating_duration_since(*since).as_secs_f64()
    });
    (fetch - waited).max(0.0) + whole
}
