//! Cached machines: the part of a machine's snapshot that changes only with its records, planned changes
//! and heartbeats. Times are seconds since the start of the process, so that they stay valid until the
//! next change.

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

/// Seconds from the decision to stop a task until its capacity is free, in addition to its grace period:
/// a heartbeat is exchanged and a record is written.
pub(super) const STOP_S: f64 = 2.0;
/// Fraction of a machine's CPUs that stays free for its idle GPUs.
const CPU_FRACTION_KEPT_FOR_GPUS: f64 = 0.8;
/// An event that should have happened by now, such as a boot or a task's end, is expected after this many
/// seconds.
const OVERDUE_EVENT_S: f64 = 1.0;
/// A task that exceeds its expected run time is expected to run on for this fraction of its run time so
/// far, since the owners' estimates are often wrong by half. When it was expected to end at any moment,
/// gangs waited for the machine of one such task while their other machines were idle.
const OVERRUN_FRACTION: f64 = 0.35;

/// A machine of this controller on which tasks may be placed.
#[derive(Debug)]
pub(super) struct CachedMachine {
    /// Its snapshot without the free slots, which depend on the current time.
    snapshot: MachineSnapshot,
    /// When its free capacity can be used, in seconds since the start of the process.
    up_at_s: f64,
    free: Resources,
    /// What its tasks release; times are seconds since the start of the process.
    releases: Vec<TaskRelease>,
    /// The last heartbeat; `None` until the machine's worker has acknowledged this controller.
    last_heartbeat: Option<Instant>,
}

/// The capacity that a task on the machine releases at its end.
#[derive(Debug)]
struct TaskRelease {
    /// The interned name of its team.
    team: u32,
    /// The capacity and the expected end.
    release: FreeSlot,
}

/// The input from which cached machines are built.
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
    /// The machine, or `None` if nothing may be placed on it: it is not this controller's, is being
    /// released, or its capacity is not certain.
    pub fn build(&self, names: &mut NameTable, name: &str) -> Option<CachedMachine> {
        let core = self.core;
        let record = core.replica.fleet.machines.get(name)?;
        let is_active = record.state == MachineState::Active;
        if record.owner != *self.me || !is_active || core.scaling.releasing.contains_key(name) {
            return None;
        }
        let machine_type = core.machine_type(&record.pool.machine_type)?;
        let worker = core.workers.agents.get(name);
        // The cloud is about to reclaim it, or its worker is unresponsive: its capacity is not certain.
        if worker.is_some_and(|w| w.preemption_at.is_some() || w.unresponsive_since.is_some()) {
            return None;
        }
        let acknowledged = worker.filter(|w| w.ownership_acknowledged);
        let up_at_s = self.now_s
            + match acknowledged {
                Some(_) => 0.0,
                // It is up, but has not yet shown that it receives this controller's responses.
                None if worker.is_some() => OVERDUE_EVENT_S,
                None => boot_remainder_s(machine_type, age_s(record.requested_ms, self.now_ms)),
            };
        let mut free = capacity_of(machine_type);
        let mut releases: Vec<TaskRelease> = Vec::new();
        for id in tasks_on(core, name) {
            // Without its spec the size of a task is unknown, and so is the free capacity.
            let spec = spec_of(core, &id.job)?;
            free.sub(&spec.resources());
            releases.push(TaskRelease {
                team: names.intern(&spec.team),
                release: FreeSlot {
                    at: up_at_s + self.remaining_s(spec, &id, worker, machine_type),
                    available: spec.resources(),
                },
            });
        }
        Some(CachedMachine {
            snapshot: snapshot_without_slots(names, name, record, machine_type, worker),
            up_at_s,
            free,
            releases,
            last_heartbeat: acknowledged.map(|w| w.last_heartbeat_at),
        })
    }

    /// Seconds until a task on a machine is expected to end, counted from now or from the end of the boot.
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
            return (run_s - ran_s).max(OVERDUE_EVENT_S + ran_s * OVERRUN_FRACTION);
        }
        let present = worker.attempts.present_for(id, self.now);
        let fetched_s = present.map_or(0.0, |present| present.as_secs_f64());
        (fetch_s - fetched_s).max(0.0) + run_s
    }

    /// The grace period in seconds of a task that is being stopped; `None` if it is not.
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

    /// Whether the last heartbeat is more than `limit_s` seconds ago. The machine may be gone then, and
    /// nothing is placed on it until the next heartbeat. False if there was none yet.
    pub fn missed_heartbeats(&self, now: Instant, limit_s: f64) -> bool {
        let silence = self
            .last_heartbeat
            .map(|at| now.saturating_duration_since(at));
        silence.is_some_and(|silence| silence.as_secs_f64() > limit_s)
    }

    /// The snapshot at `now_s` seconds since the start of the process. If `is_spare`, no CPUs are kept
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
        let releases = self.releases_at(now_s).map(|(_, release)| release);
        snapshot.free_slots.extend(releases);
        snapshot.free_slots.sort_by(|a, b| a.at.total_cmp(&b.at));
        snapshot
    }

    /// Per task, its interned team and what it releases; times are seconds from `now_s`.
    pub fn releases_at(&self, now_s: f64) -> impl Iterator<Item = (u32, FreeSlot)> {
        let earliest_s = self.up_in_s(now_s) + OVERDUE_EVENT_S;
        self.releases.iter().map(move |task| {
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
            None => OVERDUE_EVENT_S,
        };
        (self.up_at_s - now_s).max(earliest_s)
    }
}

fn snapshot_without_slots(
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

/// Seconds until a machine that was requested `age_s` seconds ago is expected to be up.
fn boot_remainder_s(machine_type: &MachineType, age_s: f64) -> f64 {
    (machine_type.boot_s * BOOT_TIME_FACTOR - age_s).max(OVERDUE_EVENT_S)
}

/// The interned images that a machine's cache is expected to hold, each once.
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

/// CPUs that are kept free per free GPU of a machine of the type.
fn cpus_kept_per_gpu(machine_type: &MachineType) -> f64 {
    if machine_type.gpus > 0.0 {
        machine_type.cpus / machine_type.gpus * CPU_FRACTION_KEPT_FOR_GPUS
    } else {
        0.0
    }
}
