//! What the mapping works on, kept from turn to turn: only the machines and jobs that something
//! happened to are looked at anew. Times are kept as seconds since the process began.

use super::snapshot::{STOP_TAKES_S, eligible_machine_types};
use super::{
    FreeSlot, JobSnapshot, MIN_FETCH_GB_PER_S, MachineSnapshot, NameTable, Resources, TasksByZone,
    capacity_of,
};
use crate::cloud::MachineType;
use crate::fleet::MachineState;
use crate::jobs::{JobRecord, JobSpec, TaskId, TaskRecord, TaskRef};
use crate::membership::assignment::Member;
use crate::node::{Core, Node, age_s};
use crate::pipelines::deadlines::{InheritedDeadline, propagate_deadlines};
use crate::state::replica::Job;
use crate::workers::{AgentStatus, TaskAttempt, TaskState};
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The expected boot time over the catalogue's.
pub const BOOT: f64 = 1.1;
/// Part of a machine's CPUs that stays free for its idle GPUs.
const KEPT_FOR_GPUS: f64 = 0.8;
/// A task that should have ended by now is expected to end this soon.
const ANY_MOMENT_S: f64 = 1.0;

/// How far a job has come.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    pub waiting: Arc<Vec<u32>>,
    pub done: u32,
    pub placed: u32,
    pub zones: TasksByZone,
    pub kinds: Vec<u32>,
    /// Name of the kind that its tasks most need.
    pub pool: String,
    pub image: u32,
    pub zone: Option<u32>,
    pub large: bool,
    /// The part of a machine that a task fills.
    pub dominant_share: f64,
    /// The next kind that it may run on, and the part of it that a task fills.
    pub next_kind: Option<(String, f64)>,
    /// It needs GPUs.
    pub gpus: bool,
}

/// A machine of ours that may be placed on.
#[derive(Debug)]
struct CachedMachine {
    view: MachineSnapshot,
    /// From when its free room can be used, and when each task there should end.
    up_at: f64,
    free: Resources,
    busy: Vec<FreeSlot>,
    heard: Option<Instant>,
}

#[derive(Debug)]
pub struct SnapshotCache {
    began: Instant,
    pub names: NameTable,
    machines: BTreeMap<String, CachedMachine>,
    pub jobs: BTreeMap<String, Progress>,
    shares_mark: u64,
    kinds_known: usize,
    /// Machines being cleared for a job, and until when nothing else may go there. Without this,
    /// what was stopped for a gang would be placed again while its last machine is cleared.
    kept: HashMap<String, (Vec<Arc<str>>, Instant)>,
    /// GPU machines that work without GPUs may fill: more than GPU work needs.
    pub opened: HashSet<String>,
    /// What jobs that wait ask of those that they need.
    pub inherited_deadlines: HashMap<String, InheritedDeadline>,
    deadlines_propagated: Option<(u64, Instant)>,
}

/// A task that runs on past its time takes about this part of what it has run: the owners'
/// estimates are often wrong by half. Expecting it to end at any moment kept gangs waiting for
/// the machine of one such task, and all their others idle.
const OVERDUE: f64 = 0.35;

/// GPU machines beyond so many times what GPU work needs are spare.
const SPARE_BEYOND: f64 = 1.2;

/// Most waiting tasks of an array that are looked at in one mapping. A gang's are all looked at: it
/// starts as a whole, and of one with more tasks a part would have gathered in vain.
const MOST_WAITING: usize = 2000;

impl SnapshotCache {
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            names: NameTable::default(),
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            shares_mark: 0,
            kinds_known: 0,
            kept: HashMap::new(),
            opened: HashSet::new(),
            inherited_deadlines: HashMap::new(),
            deadlines_propagated: None,
        }
    }

    /// Opens the GPU machines that GPU work does not need to work without GPUs: they are paid for
    /// in any case until they go back, and where the other kinds are used up they were rented for
    /// it. Those that are open already come first, then spot machines.
    fn open_spare(&mut self, kinds: &[MachineType]) {
        let mut opened = HashSet::new();
        for kind in kinds.iter().filter(|k| k.gpus > 0.0) {
            let number = self.names.intern(&kind.name);
            let needed: f64 = self
                .jobs
                .values()
                .filter(|p| p.gpus && p.pool == kind.name)
                .map(|p| (p.waiting.len() as f64 + f64::from(p.placed)) * p.dominant_share)
                .sum();
            let machines = self.machines.iter();
            let of_kind = machines.filter(|(_, cached)| cached.view.machine_type == number);
            let mut of_kind: Vec<(&String, &CachedMachine)> = of_kind.collect();
            let spare = of_kind.len() as f64 - needed * SPARE_BEYOND - 2.0;
            of_kind.retain(|(_, cached)| cached.free.gpus >= kind.gpus - 1e-6);
            let before = &self.opened;
            of_kind.sort_by_key(|(name, cached)| (!before.contains(*name), !cached.view.spot));
            let names = of_kind.into_iter().map(|(name, _)| name.clone());
            opened.extend(names.take(spare.max(0.0) as usize));
        }
        self.opened = opened;
    }

    pub fn reserve_for(&mut self, job: &str, machines: Vec<Arc<str>>, until: Instant) {
        self.kept.insert(job.to_owned(), (machines, until));
    }

    /// Marks the machines that are kept for one of the jobs, and forgets what is over.
    pub fn apply_reservations(
        &mut self,
        jobs: &[JobSnapshot],
        machines: &mut [MachineSnapshot],
        now: Instant,
    ) {
        if self.kept.is_empty() {
            return;
        }
        self.kept
            .retain(|id, (_, until)| *until > now && jobs.iter().any(|j| j.id == *id));
        for (id, (names, _)) in &self.kept {
            let job = jobs.iter().position(|j| j.id == *id);
            for machine in machines.iter_mut().filter(|m| names.contains(&m.name)) {
                machine.reserved_for = job;
            }
        }
    }

    /// Machines that may be placed on now, with times from now on.
    pub fn machine_views(&self, now: Instant, silent_s: f64) -> Vec<MachineSnapshot> {
        let at = now.saturating_duration_since(self.began).as_secs_f64();
        let heard = |cached: &&CachedMachine| {
            // One that missed reports may be gone: nothing new for it until it is heard again.
            let heard = cached.heard.map(|h| now.saturating_duration_since(h));
            heard.is_none_or(|h| h.as_secs_f64() <= silent_s)
        };
        let cached = self.machines.values().filter(heard);
        cached
            .map(|cached| {
                let mut view = cached.view.clone();
                if self.opened.contains(&*view.name) {
                    view.cpus_per_gpu = 0.0;
                }
                let up_in = match cached.heard {
                    Some(_) => (cached.up_at - at).max(0.0),
                    None => (cached.up_at - at).max(ANY_MOMENT_S),
                };
                view.free_slots.push(FreeSlot {
                    at: up_in,
                    available: cached.free,
                });
                for task in &cached.busy {
                    view.free_slots.push(FreeSlot {
                        at: (task.at - at).max(up_in + ANY_MOMENT_S),
                        available: task.available,
                    });
                }
                view.free_slots.sort_by(|a, b| a.at.total_cmp(&b.at));
                view
            })
            .collect()
    }
}

/// How often deadlines are propagated with the run times learned meanwhile.
const PROPAGATION_INTERVAL: Duration = Duration::from_secs(3);

/// Propagates the deadlines of blocked jobs to those that they depend on, after changes and at intervals.
pub fn propagate_pipeline_deadlines(node: &Node, core: &mut Core, now: Instant) {
    let version = core.replica.pipelines.version;
    let fresh = |(at, since): (u64, Instant)| {
        at == version && now.saturating_duration_since(since) < PROPAGATION_INTERVAL
    };
    if core.views.deadlines_propagated.is_some_and(fresh) {
        return;
    }
    let times = |record: &JobRecord| {
        let objectives = node.settings.params.objectives.iter();
        let of_class = objectives.filter(|o| o.class == record.spec.class);
        of_class.filter_map(|o| o.times).fold(1.0, f64::max)
    };
    let takes = |record: &JobRecord| takes_s(node, core, &record.spec);
    let inherited = propagate_deadlines(&core.replica.pipelines, takes, times);
    core.views.inherited_deadlines = inherited;
    core.views.deadlines_propagated = Some((version, now));
}

/// From a job's release to its end, if there is room: the order goes out with a report's answer, the
/// image is fetched, it runs, and its end is recorded.
pub fn takes_s(node: &Node, core: &Core, spec: &JobSpec) -> f64 {
    let kinds = eligible_machine_types(core, spec);
    let kind = kinds.first().and_then(|k| core.kind(k));
    let rate = kind.map_or(f64::INFINITY, |k| k.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S));
    let told = node.settings.params.workers.report_s * 0.5 + STAGE_TAKES_S;
    told + spec.image_gb / rate + core.duration(spec)
}

/// Recording a start and an end.
const STAGE_TAKES_S: f64 = 1.0;

/// Brings the cache up to date with all that changed. Returns how much was looked at anew.
pub fn refresh(core: &mut Core, me: &Member, now: Instant, now_ms: u64) -> u64 {
    let mut cache = std::mem::replace(&mut core.views, SnapshotCache::new(now));
    let mut machines = core.replica.take_changed_machines();
    machines.extend(core.pending_changes.take_changed_machines());
    let mut jobs = core.replica.take_changed_jobs();
    jobs.extend(core.pending_changes.take_changed_jobs());
    let revision = core.replica.assignment.as_ref().map_or(0, |s| s.revision);
    if revision != cache.shares_mark || cache.kinds_known != core.kinds.len() {
        cache.shares_mark = revision;
        cache.kinds_known = core.kinds.len();
        jobs.extend(core.replica.jobs.keys().cloned());
        machines.extend(core.replica.fleet.machines.keys().cloned());
    }
    let at = now.saturating_duration_since(cache.began).as_secs_f64();
    for name in &machines {
        match cache_machine(core, me, &mut cache.names, name, at, now, now_ms) {
            Some(cached) => {
                cache.machines.insert(name.clone(), cached);
            }
            None => {
                cache.machines.remove(name);
            }
        }
    }
    for id in &jobs {
        let job = core.replica.jobs.get(id).filter(|_| core.owns_job(me, id));
        match job.filter(|job| !job.record.cancelled) {
            Some(job) => {
                let progress = progress(core, &mut cache.names, job);
                cache.jobs.insert(id.clone(), progress);
            }
            None => {
                cache.jobs.remove(id);
            }
        }
    }
    cache.open_spare(&core.kinds);
    core.views = cache;
    (machines.len() + jobs.len()) as u64
}

fn progress(core: &Core, names: &mut NameTable, job: &Job) -> Progress {
    let spec = &job.record.spec;
    let mut out = Progress::default();
    let mut waiting = Vec::new();
    let most_waiting = match spec.is_gang() {
        true => spec.tasks as usize,
        false => MOST_WAITING,
    };
    let planned = core.pending_changes.of_job(&spec.id);
    for task in 0..spec.tasks {
        let planned = planned.and_then(|changes| changes.get(&task));
        match planned.unwrap_or_else(|| job.task_record(&core.replica.layout, task)) {
            TaskRecord::Waiting { .. } if waiting.len() < most_waiting => waiting.push(task),
            TaskRecord::Waiting { .. } => {}
            TaskRecord::Done => out.done += 1,
            TaskRecord::Placed { machine, .. } => {
                out.placed += 1;
                if let Some(machine) = core.replica.fleet.machines.get(machine) {
                    *out.zones
                        .entry(names.intern(&machine.pool.zone))
                        .or_default() += 1;
                }
            }
        }
    }
    out.waiting = Arc::new(waiting);
    let kinds = eligible_machine_types(core, spec);
    out.kinds = kinds.iter().map(|k| names.intern(k)).collect();
    let share_of = |name: &str| {
        let kind = core.kind(name)?;
        Some((
            name.to_owned(),
            spec.resources().dominant_share(&capacity_of(kind)),
        ))
    };
    out.next_kind = kinds.get(1).and_then(|name| share_of(name));
    out.gpus = spec.gpus > 0.0;
    out.pool = kinds.into_iter().next().unwrap_or_default();
    out.image = names.intern(&spec.image);
    out.zone = spec.zone.as_ref().map(|z| names.intern(z));
    let kind = core.kind(&out.pool);
    out.dominant_share = kind.map_or(0.0, |k| spec.resources().dominant_share(&capacity_of(k)));
    out.large = out.dominant_share > 0.5;
    out
}

/// Tasks on a machine: recorded, about to be recorded, or reported.
pub fn tasks_on<'a>(core: &'a Core, name: &str) -> Vec<Cow<'a, TaskId>> {
    let is_here = |id: &&TaskId| matches!(core.task_record(&id.job, id.index), TaskRecord::Placed { machine, .. } if machine == name);
    let recorded = core
        .replica
        .tasks_by_machine
        .get(name)
        .into_iter()
        .flatten();
    let mut on: Vec<Cow<TaskId>> = recorded.filter(is_here).map(Cow::Borrowed).collect();
    on.extend(core.pending_changes.starts_on(name).map(Cow::Borrowed));
    on.sort_unstable();
    on.dedup();
    let Some(status) = core.workers.agents.get(name) else {
        return on;
    };
    let running = status.latest_heartbeat.tasks.iter();
    for task in running.filter(|t| t.state != TaskState::Ended) {
        let Ok(id) = TaskRef::try_from(task.task.as_str()) else {
            continue;
        };
        if let Err(place) = on.binary_search_by(|known| known.borrowed().cmp(&id)) {
            on.insert(place, Cow::Owned(id.into()));
        }
    }
    on
}

pub fn spec_of<'a>(core: &'a Core, job: &str) -> Option<&'a JobSpec> {
    let live = core.replica.jobs.get(job).map(|j| &j.record.spec);
    live.or_else(|| core.replica.recently_ended.get(job).map(|r| &r.spec))
}

fn cache_machine(
    core: &Core,
    me: &Member,
    names: &mut NameTable,
    name: &str,
    at: f64,
    now: Instant,
    now_ms: u64,
) -> Option<CachedMachine> {
    let record = core.replica.fleet.machines.get(name)?;
    if record.owner != *me
        || record.state != MachineState::Active
        || core.rent.closing.contains_key(name)
    {
        return None;
    }
    let kind = core.kind(&record.pool.machine_type)?;
    let status = core.workers.agents.get(name);
    // Preempted by the cloud, or unresponsive: it takes nothing new, and is no room to count on.
    if status.is_some_and(|s| s.preemption_at.is_some() || s.unresponsive_since.is_some()) {
        return None;
    }
    let ready = status.filter(|s| s.ownership_acknowledged);
    let up_at = match ready {
        Some(_) => at,
        // Up, but yet to show that it hears us.
        None if status.is_some() => at + ANY_MOMENT_S,
        None => at + (kind.boot_s * BOOT - age_s(record.requested_ms, now_ms)).max(ANY_MOMENT_S),
    };
    let mut free = capacity_of(kind);
    let mut busy: Vec<FreeSlot> = Vec::new();
    for id in tasks_on(core, name) {
        // A task whose size nobody knows: no room is certain until it is gone.
        let spec = spec_of(core, &id.job)?;
        free.sub(&spec.resources());
        busy.push(FreeSlot {
            at: up_at + remaining(core, spec, &id, status, kind, now),
            available: spec.resources(),
        });
    }
    let mut images: HashSet<u32> = HashSet::new();
    if let Some(status) = status {
        let cached = status.cached_images.iter();
        images.extend(cached.map(|image| names.intern(&image.name)));
    }
    let view = MachineSnapshot {
        name: name.into(),
        machine_type: names.intern(&record.pool.machine_type),
        zone: names.intern(&record.pool.zone),
        spot: record.pool.spot,
        free_slots: Vec::new(),
        images: images.into_iter().collect(),
        fetch_gb_per_s: kind.fetch_gb_per_s,
        slowness: status.map_or(1.0, |s| s.slowness),
        price: match record.pool.spot {
            true => kind.spot_price,
            false => kind.price,
        },
        cpus_per_gpu: match kind.gpus > 0.0 {
            true => kind.cpus / kind.gpus * KEPT_FOR_GPUS,
            false => 0.0,
        },
        reservations: Vec::new(),
        reserved_for: None,
    };
    Some(CachedMachine {
        view,
        up_at,
        free,
        busy,
        heard: ready.map(|s| s.last_heartbeat_at),
    })
}

/// Expected remainder of a task on a machine.
fn remaining(
    core: &Core,
    spec: &JobSpec,
    id: &TaskId,
    status: Option<&AgentStatus>,
    kind: &MachineType,
    now: Instant,
) -> f64 {
    if let TaskRecord::Placed { attempt, .. } = core.task_record(&id.job, id.index)
        && let Some(grace) = core.workers.pending_stops.get(&TaskAttempt {
            task: id.clone(),
            attempt: *attempt,
        })
    {
        return STOP_TAKES_S + grace;
    }
    let slowness = status.map_or(1.0, |s| s.slowness);
    let whole = core.duration(spec) * slowness;
    let fetch = spec.image_gb / kind.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S);
    let Some(status) = status else {
        return fetch + whole;
    };
    if let Some(ran) = status.attempts.running_for(id, now) {
        let ran = ran.as_secs_f64();
        return (whole - ran).max(1.0 + ran * OVERDUE);
    }
    let waited = status.attempts.present_for(id, now);
    let waited = waited.map_or(0.0, |waited| waited.as_secs_f64());
    (fetch - waited).max(0.0) + whole
}
