//! Which waiting task goes to which machine: earliest finish wins (the paper's equation 1), batch
//! tasks by earliest deadline, the first tasks of each job ahead of them unless the batch head
//! would then be late. `now` places what can start at once, many times a second; `forecast` maps
//! all that waits, once a period, to predict misses.

pub mod forecast;
mod gang;
mod index;
pub mod packing;
pub mod preemption;
pub mod quota_headroom;
pub mod service;
pub mod snapshot;
pub mod snapshot_cache;

use crate::jobs::Urgency;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// What a task takes of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

const SLACK: f64 = 1e-6;

impl Resources {
    pub fn fits(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus + SLACK
            && self.gpus <= available.gpus + SLACK
            && self.memory_gb <= available.memory_gb + SLACK
    }

    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    pub fn scaled(&self, n: f64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory_gb: self.memory_gb * n,
        }
    }

    /// The part of a machine's room that this fills: its scarcest resource decides.
    pub fn dominant_share(&self, available: &Resources) -> f64 {
        let part = |resources: f64, available: f64| {
            if available > 0.0 {
                resources / available
            } else {
                0.0
            }
        };
        part(self.cpus, available.cpus)
            .max(part(self.gpus, available.gpus))
            .max(part(self.memory_gb, available.memory_gb))
    }

    fn is_empty(&self) -> bool {
        self.cpus <= SLACK && self.gpus <= SLACK && self.memory_gb <= SLACK
    }

    fn consume_from(&mut self, available: &mut Resources) {
        let part = Resources {
            cpus: self.cpus.min(available.cpus).max(0.0),
            gpus: self.gpus.min(available.gpus).max(0.0),
            memory_gb: self.memory_gb.min(available.memory_gb).max(0.0),
        };
        self.sub(&part);
        available.sub(&part);
    }
}

/// Names as small numbers: kinds, zones and images are compared many times for each placing.
#[derive(Debug, Default)]
pub struct NameTable {
    numbers: HashMap<String, u32>,
}

impl NameTable {
    pub fn number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.numbers.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        number
    }
}

/// Room that comes free at a time, in seconds from now.
#[derive(Debug, Clone, PartialEq)]
pub struct FreeSlot {
    pub at: f64,
    pub available: Resources,
}

/// Room set aside from a time on for work that cannot start yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    pub at: f64,
    pub resources: Resources,
    pub job: usize,
}

#[derive(Debug, Clone)]
pub struct MachineSnapshot {
    pub name: Arc<str>,
    pub kind: u32,
    pub zone: u32,
    pub spot: bool,
    /// Free room and the room of running tasks, by when it comes free. A booting machine's room
    /// is free from its expected boot.
    pub free_slots: Vec<FreeSlot>,
    /// Images that it has or is fetching.
    pub images: Vec<u32>,
    pub fetch_gb_per_s: f64,
    /// Measured run times over the expected ones: above 1 is slow.
    pub slowness: f64,
    /// CPUs kept for each GPU, so that work without GPUs does not make them idle.
    pub cpus_per_gpu: f64,
    /// An hour's price.
    pub price: f64,
    pub reservations: Vec<Reservation>,
    /// The only job that may use it for now: it is being cleared for that one.
    pub reserved_for: Option<usize>,
}

impl MachineSnapshot {
    /// Room that is free from `at` on, as long as nothing more is put there.
    fn free_at(&self, at: f64) -> Resources {
        let mut available = Resources::default();
        for slot in self.free_slots.iter().take_while(|c| c.at <= at + SLACK) {
            available.add(&slot.available);
        }
        available
    }

    /// The part of its room that is free now, as a small tie-breaker between equal prices.
    fn emptiness(&self) -> f64 {
        let free = self.free_at(0.0);
        let all = self.free_at(f64::INFINITY);
        let part = |free: f64, all: f64| if all > SLACK { free / all } else { 0.0 };
        (part(free.cpus, all.cpus) + part(free.gpus, all.gpus)) * 0.001
    }

    /// Whether so much fits into that room, with what GPU machines keep for their GPUs.
    fn takes(&self, resources: &Resources, available: &Resources) -> bool {
        let kept = match resources.gpus {
            0.0 => available.gpus * self.cpus_per_gpu,
            _ => 0.0,
        };
        resources.fits(available) && resources.cpus + kept <= available.cpus + SLACK
    }

    /// The earliest time at which so much is free, beside all that is set aside.
    fn earliest_start(&self, resources: &Resources) -> Option<f64> {
        let mut available = Resources::default();
        for reservation in &self.reservations {
            available.sub(&reservation.resources);
        }
        for slot in &self.free_slots {
            available.add(&slot.available);
            if self.takes(resources, &available) {
                return Some(slot.at);
            }
        }
        None
    }

    /// Whether a task that would start now and end then leaves what is set aside untouched: the
    /// paper has no such work, but what waits for a gang's last machine is used meanwhile by what
    /// ends before (backfill).
    fn respects_reservations(&self, resources: &Resources, end: f64) -> bool {
        let mut reserved = Resources::default();
        self.reservations.iter().all(|reservation| {
            reserved.add(&reservation.resources);
            if reservation.at >= end {
                return true;
            }
            let mut available = self.free_at(reservation.at);
            available.sub(&reserved);
            resources.fits(&available)
        })
    }

    /// Takes room for a task that starts and ends then: latest chunks first, so that what is
    /// free now stays free for others.
    fn occupy(&mut self, resources: &Resources, start: f64, end: f64) {
        let mut wanted = *resources;
        for slot in self.free_slots.iter_mut().rev() {
            if slot.at <= start + SLACK {
                wanted.consume_from(&mut slot.available);
            }
        }
        self.free_slots.retain(|c| !c.available.is_empty());
        let place = self.free_slots.partition_point(|c| c.at <= end);
        self.free_slots.insert(
            place,
            FreeSlot {
                at: end,
                available: *resources,
            },
        );
    }

    fn fetch_time(&self, job: &JobSnapshot) -> f64 {
        if self.images.contains(&job.image) {
            0.0
        } else {
            job.image_gb / self.fetch_gb_per_s.max(0.001)
        }
    }

    fn use_image(&mut self, image: u32) {
        if !self.images.contains(&image) {
            self.images.push(image);
        }
    }
}

/// How many tasks of a job are in each zone.
pub type TasksByZone = BTreeMap<u32, u32>;

/// What a job's time is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Milestone {
    Start,
    Finish,
}

#[derive(Debug, Clone)]
pub struct JobSnapshot {
    pub id: String,
    /// Its place among the jobs of this mapping.
    pub index: usize,
    pub gang: bool,
    pub resources: Resources,
    /// Its task fills most of a machine: smaller work must not take the room piece by piece.
    pub large: bool,
    /// Kinds of machine that it may run on, best first.
    pub kinds: Vec<u32>,
    pub zone: Option<u32>,
    pub spot: bool,
    pub one_zone: bool,
    /// Most tasks that may be in one zone at a time.
    pub most_in_zone: u32,
    /// Tasks now on machines, by zone.
    pub zones: TasksByZone,
    pub waiting: Arc<Vec<u32>>,
    /// Tasks that were started or are done: they count towards the startup tasks.
    pub started: u32,
    pub arrived: f64,
    /// All its team's unfinished jobs fit into the team's guarantee: it need not wait for others.
    pub guaranteed: bool,
    pub urgency: Urgency,
    /// Seconds from now until its tasks should run or be complete, whichever `by` says.
    pub due: f64,
    /// The time after that one which it could still keep.
    pub next_due: f64,
    pub by: Milestone,
    pub duration: f64,
    /// Seconds after which a machine rented now would be up.
    pub provisioning_s: f64,
    pub image: u32,
    pub image_gb: f64,
    /// Its team's number among the rooms of limited teams; none if it has no limit.
    pub team: Option<usize>,
    /// Machines on which it failed.
    pub avoid: HashSet<String>,
    /// Sorts of machine that are protected from it.
    pub excluded_pools: Arc<BTreeSet<PoolId>>,
}

/// A kind of machine in a zone, spot or not.
pub type PoolId = (u32, u32, bool);

impl JobSnapshot {
    fn is_late(&self, start: f64, fetch: f64, end: f64) -> bool {
        match self.by {
            Milestone::Start => start + fetch > self.due,
            Milestone::Finish => end > self.due,
        }
    }

    /// Whether it may run on a sort of machine, wherever its other tasks are.
    fn may_use_pool(&self, kind: u32, zone: u32, spot: bool) -> bool {
        (!spot || self.spot)
            && self.kinds.contains(&kind)
            && self.zone.is_none_or(|z| z == zone)
            && (self.excluded_pools.is_empty()
                || !self.excluded_pools.contains(&(kind, zone, spot)))
    }

    /// Whether a machine is one that it may run on, wherever its other tasks are.
    fn may_use(&self, machine: &MachineSnapshot) -> bool {
        self.may_use_pool(machine.kind, machine.zone, machine.spot)
            && machine.reserved_for.is_none_or(|job| job == self.index)
            && (self.avoid.is_empty() || !self.avoid.contains(&*machine.name))
    }

    /// Whether one more of its tasks may be in a zone.
    fn may_add_in_zone(&self, zones: &TasksByZone, zone: u32) -> bool {
        if self.one_zone && zones.iter().any(|(z, n)| *n > 0 && *z != zone) {
            return false;
        }
        zones.get(&zone).copied().unwrap_or(0) < self.most_in_zone
    }
}

/// Ends within this part of the run time count as equal: estimates are not exact to the second.
/// Among them the cheapest machine wins and then the fullest, so that others fall idle and go
/// back.
const END_TOLERANCE: f64 = 0.05;

/// Jobs in the order of the batch queue: by earliest time. Teams within their guarantee go first,
/// and then the more urgent: what takes room that more urgent work waits for would only be
/// stopped again to make it. A job that has waited too long to begin goes before all of them.
pub fn batch_order(jobs: &[JobSnapshot]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&jobs[*a], &jobs[*b]);
        first(b).cmp(&first(a)).then(a.due.total_cmp(&b.due))
    });
    order
}

fn first(job: &JobSnapshot) -> (bool, bool, Urgency) {
    (
        job.started == 0 && job.due < 0.0,
        job.guaranteed,
        job.urgency,
    )
}

/// Jobs in the order of the startup queue: by arrival.
fn startup_order(jobs: &[JobSnapshot]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|a, b| jobs[*a].arrived.total_cmp(&jobs[*b].arrived));
    order
}

#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    pub job: usize,
    pub task: u32,
    pub machine: usize,
}

#[cfg(test)]
mod scale_tests;
#[cfg(test)]
mod tests;
