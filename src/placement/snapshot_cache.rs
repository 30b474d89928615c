//! Cache of the machine and job data that snapshots are built from. It is kept between scheduling cycles, and
//! only entries with changed records, planned changes or heartbeats are rebuilt.

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

/// The cached machines and jobs, kept up to date by `refresh`.
#[derive(Debug)]
pub struct SnapshotCache {
    /// When the process started. Times in the cache are seconds since then.
    started_at: Instant,
    /// Ids of the names of machine types, zones, images and teams.
    pub names: NameTable,
    machines: BTreeMap<String, CachedMachine>,
    /// This controller's jobs by id, without cancelled ones.
    pub jobs: BTreeMap<String, JobProgress>,
    shared_inputs: SharedInputs,
    /// By job: the machines that are reserved for it.
    reservations: HashMap<String, MachineReservation>,
    /// Names of the GPU machines that GPU work does not need. Work without GPUs may use all their CPUs.
    pub spare_gpu_machines: HashSet<String>,
    /// Deadlines that jobs inherit from the jobs that depend on them.
    pub inherited_deadlines: InheritedDeadlines,
}

/// Inputs that every cached entry depends on. When they change, all entries are rebuilt.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct SharedInputs {
    assignment_revision: u64,
    /// Number of machine types in the cloud's catalogue.
    machine_types: usize,
}

/// Machines on which tasks are being preempted for a job. Without the reservation, other tasks would be placed
/// on the machines that a gang waits for while tasks on its last machine are still being stopped.
#[derive(Debug)]
struct MachineReservation {
    names: Vec<Arc<str>>,
    /// Until this time no other job may start tasks on them.
    until: Instant,
}

/// GPU machines of a type are spare beyond `SPARE_FACTOR` times the number that GPU work needs, plus
/// `SPARE_MARGIN`.
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
            shared_inputs: SharedInputs::default(),
            reservations: HashMap::new(),
            spare_gpu_machines: HashSet::new(),
            inherited_deadlines: InheritedDeadlines::default(),
        }
    }

    /// Reserves machines for a job until the given time, while tasks on them are preempted for it.
    pub(super) fn reserve_for(&mut self, job: &str, names: Vec<Arc<str>>, until: Instant) {
        let reservation = MachineReservation { names, until };
        self.reservations.insert(job.to_owned(), reservation);
    }

    /// Sets `reserved_for` on the machines that are reserved for one of the jobs. Drops expired reservations and
    /// those of jobs that no longer wait.
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
            .retain(|id, reservation| reservation.until > now && jobs.iter().any(|j| j.id == *id));
        for (id, reservation) in &self.reservations {
            let job = jobs.iter().position(|j| j.id == *id);
            let reserved = |m: &&mut MachineSnapshot| reservation.names.contains(&m.name);
            for machine in machines.iter_mut().filter(reserved) {
                machine.reserved_for = job;
            }
        }
    }

    /// Snapshots of the machines on which tasks may be placed now, without those that have missed heartbeats for
    /// longer than `missed_heartbeats_s` seconds.
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

    /// Adds to the headroom what the running tasks of limited teams will release. `teams` holds the index of each
    /// such team in the headroom, by name.
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

    /// Finds the GPU machines that GPU work does not need, so that work without GPUs can use them. They are paid
    /// for until they are returned, and where the cloud had no other machine types left, they were rented for
    /// such work.
    fn refresh_spare_gpu_machines(&mut self, machine_types: &[MachineType]) {
        let mut spare = HashSet::new();
        for machine_type in machine_types.iter().filter(|t| t.gpus > 0.0) {
            self.add_spare_machines(machine_type, &mut spare);
        }
        self.spare_gpu_machines = spare;
    }

    /// Adds the names of a type's spare machines, chosen among those whose GPUs are all free. Machines that are
    /// already spare come first, then spot machines.
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
        let previously_spare = &self.spare_gpu_machines;
        candidates
            .sort_by_key(|(name, machine)| (!previously_spare.contains(*name), !machine.is_spot()));
        let names = candidates.into_iter().map(|(name, _)| name.clone());
        spare_names.extend(names.take(spare.max(0.0) as usize));
    }
}

/// Rebuilds the entries that changed since the last call. Returns the number of machines and jobs rebuilt.
pub(super) fn refresh(core: &mut Core, me: &Member, now: Instant, now_ms: u64) -> u64 {
    let mut cache = std::mem::replace(&mut core.snapshots, SnapshotCache::new(now));
    let mut machines = core.replica.take_changed_machines();
    machines.extend(core.pending_changes.take_changed_machines());
    let mut jobs = core.replica.take_changed_jobs();
    jobs.extend(core.pending_changes.take_changed_jobs());
    let assignment = core.replica.assignment.as_ref();
    let shared_inputs = SharedInputs {
        assignment_revision: assignment.map_or(0, |a| a.revision),
        machine_types: core.machine_types.len(),
    };
    if shared_inputs != cache.shared_inputs {
        cache.shared_inputs = shared_inputs;
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
