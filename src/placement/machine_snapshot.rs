//! Cached machines: what of a machine's snapshot changes only with its records, plans and heartbeats.
//! Times are seconds since the start of the process, so that they hold until the next change.

use super::machine_tasks::{spec_of, tasks_on};
use super::snapshot::BOOT_TIME_FACTOR;
use super::{FreeSlot, MIN_FETCH_GB_PER_S, MachineSnapshot, NameTable, Resources, capacity_of};
use crate::cloud::MachineType;
use crate::fleet::{Machine, MachineState};
use crate::jobs::{JobSpec, TaskId, TaskRecord};
use crate::membership::assignment::Member;
use crate::node::{Core, age_s};
use crate::workers::{AgentStatus, TaskAttempt};
use std::collections::HashSet;
use std::time::Instant;

/// Seconds from the decision to stop a task until its capacity is free, beside its grace period: a
/// heartbeat and a record.
pub(super) const STOP_S: f64 = 2.0;
/// Fraction of a machine's CPUs that stays free for its idle GPUs.
const CPU_FRACTION_KEPT_FOR_GPUS: f64 = 0.8;
/// What should have happened by now is expected after this many seconds.
const IMMINENT_S: f64 = 1.0;
/// A task that exceeds its expected run time takes about this fraction of its run time more: the owners'
/// estimates are often wrong by half. Expecting it to end at any moment kept gangs waiting for the machine
/// of one such task, and all their others idle.
const OVERRUN_FRACTION: f64 = 0.35;

/// A machine of this controller that may be placed on.
#[derive(Debug)]
pub(super) struct CachedMachine {
    /// Its snapshot without the free slots, which move with the time.
    snapshot: MachineSnapshot,
    /// When its free capacity can be used, in seconds since the start of the process.
    up_at_s: f64,
    free: Resources,
    /// When each of its tasks should end, in seconds since the start of the process.
    tasks: Vec<RunningTask>,
    /// The last heartbeat; none as long as the machine has not acknowledged this controller.
    last_heartbeat: Option<Instant>,
}

/// A task on a machine.
#[derive(Debug)]
struct RunningTask {
    /// The interned name of its team.
    team: u32,
    /// What it releases, and when.
    release: FreeSlot,
}

/// What cached machines are made from.
pub(super) struct MachineSnapshotBuilder<'a> {
    pub core: &'a Core,
    pub me: &'a Member,
    pub now: Instant,
    /// `now` in seconds since the start of the process.
    pub now_s: f64,
    /// `now` in milliseconds since the epoch.
    pub now_ms: u64,
}

impl MachineSnapshotBuilder<'_> {
    /// The machine, or none if nothing may be placed on it: it is not this controller's, is on its way
    /// back to the cloud, or has no capacity to count on.
    pub fn build(&self, names: &mut NameTable, name: &str) -> Option<CachedMachine> {
        let core = self.core;
        let record = core.replica.fleet.machines.get(name)?;
        let is_active = record.state == MachineState::Active;
        if record.owner != *self.me || !is_active || core.scaling.releasing.contains_key(name) {
            return None;
        }
        let machine_type = core.machine_type(&record.pool.machine_type)?;
        let worker = core.workers.agents.get(name);
        // Taken by the cloud, or unresponsive: nothing new is placed there, and its capacity is not certain.
        if worker.is_some_and(|w| w.preemption_at.is_some() || w.unresponsive_since.is_some()) {
            return None;
        }
        let acknowledged = worker.filter(|w| w.ownership_acknowledged);
        let up_at_s = self.now_s
            + match acknowledged {
                Some(_) => 0.0,
                // Up, but it has yet to show that it receives this controller's responses.
                None if worker.is_some() => IMMINENT_S,
                None => boot_remainder_s(machine_type, age_s(record.requested_ms, self.now_ms)),
            };
        let mut free = capacity_of(machine_type);
        let mut tasks: Vec<RunningTask> = Vec::new();
        for id in tasks_on(core, name) {
            // A task of unknown size: no capacity is certain until it is gone.
            let spec = spec_of(core, &id.job)?;
            free.sub(&spec.resources());
            tasks.push(RunningTask {
                team: names.intern(&spec.team),
                release: FreeSlot {
                    at: up_at_s + self.remaining_s(spec, &id, worker, machine_type),
                    available: spec.resources(),
                },
            });
        }
        Some(CachedMachine {
            snapshot: empty_snapshot(names, name, record, machine_type, worker),
            up_at_s,
            free,
            tasks,
            last_heartbeat: acknowledged.map(|w| w.last_heartbeat_at),
        })
    }

    /// Seconds that a task on a machine is expected to take from now, or from the machine's boot.
    fn remaining_s(
        &self,
        spec: &JobSpec,
        id: &TaskId,
        worker: Option<&AgentStatus>,
        machine_type: &MachineType,
    ) -> f64 {
        if let Some(grace_s) = self.stop_grace_s(id) {
            return STOP_S + grace_s;
        }
        let slowness = worker.map_or(1.0, |w| w.slowness);
        let run_s = self.core.expected_run_time_s(spec) * slowness;
        let fetch_s = spec.image_gb / machine_type.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S);
        let Some(worker) = worker else {
            return fetch_s + run_s;
        };
        if let Some(ran) = worker.attempts.running_for(id, self.now) {
            let ran_s = ran.as_secs_f64();
            return (run_s - ran_s).max(IMMINENT_S + ran_s * OVERRUN_FRACTION);
        }
        let present = worker.attempts.present_for(id, self.now);
        let fetched_s = present.map_or(0.0, |present| present.as_secs_f64());
        (fetch_s - fetched_s).max(0.0) + run_s
    }

    /// The grace period of a task that is being stopped.
    fn stop_grace_s(&self, id: &TaskId) -> Option<f64> {
        let TaskRecord::Placed { attempt, .. } = self.core.task_record(&id.job, id.index) else {
            return None;
        };
        let stops = &self.core.workers.pending_stops;
        let stopped = TaskAttempt {
            task: id.clone(),
            attempt: *attempt,
        };
        stops.get(&stopped).copied()
    }
}

impl CachedMachine {
    /// The interned machine type.
    pub fn machine_type(&self) -> u32 {
        self.snapshot.machine_type
    }

    /// Whether it is a spot machine.
    pub fn is_spot(&self) -> bool {
        self.snapshot.spot
    }

    /// GPU cards that no task uses.
    pub fn free_gpus(&self) -> f64 {
        self.free.gpus
    }

    /// Whether it missed heartbeats for longer than `limit_s`: it may be gone, and nothing new is placed
    /// on it until the next one. A machine that has yet to send its first has missed none.
    pub fn missed_heartbeats(&self, now: Instant, limit_s: f64) -> bool {
        let silence = self
            .last_heartbeat
            .map(|at| now.saturating_duration_since(at));
        silence.is_some_and(|silence| silence.as_secs_f64() > limit_s)
    }

    /// The snapshot at `now_s` seconds since the start of the process. Where `is_spare`, no CPUs are kept
    /// for the machine's GPUs.
    pub fn snapshot_at(&self, now_s: f64, is_spare: bool) -> MachineSnapshot {
        let mut snapshot = self.snapshot.clone();
        if is_spare {
            snapshot.cpus_per_gpu = 0.0;
        }
        snapshot.free_slots.push(FreeSlot {
            at: self.up_in_s(now_s),
            available: self.free,
        });
        let tasks = self.releases_at(now_s).map(|(_, release)| release);
        snapshot.free_slots.extend(tasks);
        snapshot.free_slots.sort_by(|a, b| a.at.total_cmp(&b.at));
        snapshot
    }

    /// What each task releases, with its team, in seconds from `now_s`.
    pub fn releases_at(&self, now_s: f64) -> impl Iterator<Item = (u32, FreeSlot)> {
        let earliest_s = self.up_in_s(now_s) + IMMINENT_S;
        self.tasks.iter().map(move |task| {
            let release = FreeSlot {
                at: (task.release.at - now_s).max(earliest_s),
                available: task.release.available,
            };
            (task.team, release)
        })
    }

    /// Seconds from `now_s` until its free capacity can be used.
    fn up_in_s(&self, now_s: f64) -> f64 {
        let earliest_s = match self.last_heartbeat {
            Some(_) => 0.0,
            None => IMMINENT_S,
        };
        (self.up_at_s - now_s).max(earliest_s)
    }
}

/// A machine's snapshot without free slots.
fn empty_snapshot(
    names: &mut NameTable,
    name: &str,
    record: &Machine,
    machine_type: &MachineType,
    worker: Option<&AgentStatus>,
) -> MachineSnapshot {
    let images = interned_images(names, worker);
    MachineSnapshot {
        name: name.into(),
        machine_type: names.intern(&record.pool.machine_type),
        zone: names.intern(&record.pool.zone),
        spot: record.pool.spot,
        free_slots: Vec::new(),
        images,
        fetch_gb_per_s: machine_type.fetch_gb_per_s,
        slowness: worker.map_or(1.0, |w| w.slowness),
        price: hourly_price(machine_type, record.pool.spot),
        cpus_per_gpu: cpus_kept_per_gpu(machine_type),
        reservations: Vec::new(),
        reserved_for: None,
    }
}

/// Seconds until a machine is expected to be up that was requested `age_s` ago.
fn boot_remainder_s(machine_type: &MachineType, age_s: f64) -> f64 {
    (machine_type.boot_s * BOOT_TIME_FACTOR - age_s).max(IMMINENT_S)
}

/// The images of a machine, each once.
fn interned_images(names: &mut NameTable, worker: Option<&AgentStatus>) -> Vec<u32> {
    let mut images: HashSet<u32> = HashSet::new();
    if let Some(worker) = worker {
        let cached = worker.cached_images.iter();
        images.extend(cached.map(|image| names.intern(&image.name)));
    }
    images.into_iter().collect()
}

fn hourly_price(machine_type: &MachineType, is_spot: bool) -> f64 {
    if is_spot {
        machine_type.spot_price
    } else {
        machine_type.price
    }
}

/// CPUs that a free GPU of the machine type keeps from work without GPUs.
fn cpus_kept_per_gpu(machine_type: &MachineType) -> f64 {
    if machine_type.gpus > 0.0 {
        machine_type.cpus / machine_type.gpus * CPU_FRACTION_KEPT_FOR_GPUS
    } else {
        0.0
    }
}
