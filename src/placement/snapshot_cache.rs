//! Machines and jobs as snapshots need them, kept between scheduling cycles: only those with changed
//! records, plans or heartbeats are rebuilt. Decides nothing.

use super::inherited_deadlines::InheritedDeadlines;
use super::job_progress::JobProgress;
use super::machine_snapshot::{CachedMachine, MachineSnapshotBuilder};
use super::quota_headroom::QuotaHeadroom;
use super::{JobSnapshot, MachineSnapshot, NameTable, ROUNDING_TOLERANCE};
use crate::cloud::MachineType;
use crate::membership::assignment::Member;
use crate::node::Core;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

/// What snapshots are made from, kept up to date by `refresh`.
#[derive(Debug)]
pub struct SnapshotCache {
    /// When the process started: times in here are seconds from then on.
    started_at: Instant,
    /// Ids of the names of machine types, zones and images.
    pub names: NameTable,
    machines: BTreeMap<String, CachedMachine>,
    /// This controller's jobs by id, without cancelled ones.
    pub jobs: BTreeMap<String, JobProgress>,
    basis: CacheBasis,
    /// By job, the machines that are cleared for it.
    reservations: HashMap<String, ClearedMachines>,
    /// Names of GPU machines that GPU work does not need: work without GPUs may fill them.
    pub spare_gpu_machines: HashSet<String>,
    /// Deadlines that jobs inherit from the jobs that depend on them.
    pub inherited_deadlines: InheritedDeadlines,
}

/// What every cached entry depends on: when it changes, all are rebuilt.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct CacheBasis {
    assignment_revision: u64,
    machine_types: usize,
}

/// Machines that are being cleared for a job. Without this, what was stopped for a gang would be placed
/// again while its last machine is cleared.
#[derive(Debug)]
struct ClearedMachines {
    names: Vec<Arc<str>>,
    /// Until then nothing else may start on them.
    until: Instant,
}

/// GPU machines beyond this many times what GPU work needs, and `SPARE_MARGIN` more, are spare.
const SPARE_FACTOR: f64 = 1.2;
const SPARE_MARGIN: f64 = 2.0;

impl SnapshotCache {
    /// An empty cache of a process that started at `started_at`.
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            names: NameTable::default(),
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            basis: CacheBasis::default(),
            reservations: HashMap::new(),
            spare_gpu_machines: HashSet::new(),
            inherited_deadlines: InheritedDeadlines::default(),
        }
    }

    /// Reserves machines for a job whose start they are cleared for.
    pub(super) fn reserve_for(&mut self, job: &str, names: Vec<Arc<str>>, until: Instant) {
        let cleared = ClearedMachines { names, until };
        self.reservations.insert(job.to_owned(), cleared);
    }

    /// Marks the machines that are reserved for one of the jobs, and drops expired reservations and those
    /// of jobs that do not wait any more.
    pub(super) fn apply_reservations(
        &mut self,
        jobs: &[JobSnapshot],
        machines: &mut [MachineSnapshot],
        now: Instant,
    ) {
        if self.reservations.is_empty() {
            return;
        }
        self.reservations
            .retain(|id, cleared| cleared.until > now && jobs.iter().any(|j| j.id == *id));
        for (id, cleared) in &self.reservations {
            let job = jobs.iter().position(|j| j.id == *id);
            let reserved = |m: &&mut MachineSnapshot| cleared.names.contains(&m.name);
            for machine in machines.iter_mut().filter(reserved) {
                machine.reserved_for = job;
            }
        }
    }

    /// Machines that may be placed on now, without those that missed heartbeats for longer than
    /// `missed_heartbeats_s` seconds.
    pub(super) fn machines_at(
        &self,
        now: Instant,
        missed_heartbeats_s: f64,
    ) -> Vec<MachineSnapshot> {
        let now_s = self.seconds_since_start(now);
        self.machines
            .iter()
            .filter(|(_, machine)| !machine.missed_heartbeats(now, missed_heartbeats_s))
            .map(|(name, machine)| {
                machine.snapshot_at(now_s, self.spare_gpu_machines.contains(name))
            })
            .collect()
    }

    /// Adds to the headroom what running tasks of limited teams release. `teams` are these teams' indices in
    /// the headroom, by name.
    pub fn add_quota_releases(
        &mut self,
        now: Instant,
        teams: &BTreeMap<&str, usize>,
        headroom: &mut QuotaHeadroom,
    ) {
        if teams.is_empty() {
            return;
        }
        let now_s = self.seconds_since_start(now);
        let indices: HashMap<u32, usize> = teams
            .iter()
            .map(|(team, index)| (self.names.intern(team), *index))
            .collect();
        for (team, release) in self.machines.values().flat_map(|m| m.releases_at(now_s)) {
            if let Some(index) = indices.get(&team) {
                headroom.add_release(*index, release);
            }
        }
    }

    fn seconds_since_start(&self, now: Instant) -> f64 {
        now.saturating_duration_since(self.started_at).as_secs_f64()
    }

    fn refresh_machines(&mut self, builder: &MachineSnapshotBuilder, changed: &HashSet<String>) {
        for name in changed {
            match builder.build(&mut self.names, name) {
                Some(machine) => {
                    self.machines.insert(name.clone(), machine);
                }
                None => {
                    self.machines.remove(name);
                }
            }
        }
    }

    fn refresh_jobs(&mut self, core: &Core, me: &Member, changed: &HashSet<String>) {
        for id in changed {
            let job = core.replica.jobs.get(id);
            let active = job.filter(|j| core.owns_job(me, id) && !j.record.cancelled);
            match active {
                Some(job) => {
                    let progress = JobProgress::new(core, &mut self.names, job);
                    self.jobs.insert(id.clone(), progress);
                }
                None => {
                    self.jobs.remove(id);
                }
            }
        }
    }

    /// Finds the GPU machines that GPU work does not need, for work without GPUs: they are paid for until
    /// they are returned, and where the other machine types are used up they were rented for it.
    fn refresh_spare_gpu_machines(&mut self, machine_types: &[MachineType]) {
        let mut spare = HashSet::new();
        for machine_type in machine_types.iter().filter(|t| t.gpus > 0.0) {
            self.add_spare_machines(machine_type, &mut spare);
        }
        self.spare_gpu_machines = spare;
    }

    /// Adds the names of a type's spare machines: first those that are spare already, then spot machines.
    fn add_spare_machines(
        &mut self,
        machine_type: &MachineType,
        spare_names: &mut HashSet<String>,
    ) {
        let type_id = self.names.intern(&machine_type.name);
        let needed: f64 = self
            .jobs
            .values()
            .filter(|p| p.needs_gpus && p.cheapest_machine_type == machine_type.name)
            .map(|p| (p.waiting.len() as f64 + f64::from(p.placed)) * p.dominant_share)
            .sum();
        let machines = self.machines.iter();
        let of_type = machines.filter(|(_, machine)| machine.machine_type() == type_id);
        let mut candidates: Vec<(&String, &CachedMachine)> = of_type.collect();
        let spare = candidates.len() as f64 - needed * SPARE_FACTOR - SPARE_MARGIN;
        candidates
            .retain(|(_, machine)| machine.free_gpus() >= machine_type.gpus - ROUNDING_TOLERANCE);
        let before = &self.spare_gpu_machines;
        candidates.sort_by_key(|(name, machine)| (!before.contains(*name), !machine.is_spot()));
        let names = candidates.into_iter().map(|(name, _)| name.clone());
        spare_names.extend(names.take(spare.max(0.0) as usize));
    }
}

/// Rebuilds what changed since the last call. Returns how many machines and jobs that were.
pub(super) fn refresh(core: &mut Core, me: &Member, now: Instant, now_ms: u64) -> u64 {
    let mut cache = std::mem::replace(&mut core.snapshots, SnapshotCache::new(now));
    let mut machines = core.replica.take_changed_machines();
    machines.extend(core.pending_changes.take_changed_machines());
    let mut jobs = core.replica.take_changed_jobs();
    jobs.extend(core.pending_changes.take_changed_jobs());
    let assignment = core.replica.assignment.as_ref();
    let basis = CacheBasis {
        assignment_revision: assignment.map_or(0, |a| a.revision),
        machine_types: core.machine_types.len(),
    };
    if basis != cache.basis {
        cache.basis = basis;
        jobs.extend(core.replica.jobs.keys().cloned());
        machines.extend(core.replica.fleet.machines.keys().cloned());
    }
    let builder = MachineSnapshotBuilder {
        core,
        me,
        now,
        now_s: cache.seconds_since_start(now),
        now_ms,
    };
    cache.refresh_machines(&builder, &machines);
    cache.refresh_jobs(core, me, &jobs);
    cache.refresh_spare_gpu_machines(&core.machine_types);
    core.snapshots = cache;
    (machines.len() + jobs.len()) as u64
}
