//! A machine as packing and forecasts see it: free capacity over time and reservations. Times are
//! seconds from the moment of the snapshot.

use super::job::{JobSnapshot, PoolId};
use super::resources::{Resources, SLACK};
use std::sync::Arc;

/// Capacity that becomes free at a time.
#[derive(Debug, Clone, PartialEq)]
pub struct FreeSlot {
    /// Seconds from now.
    pub at: f64,
    /// How much becomes free then.
    pub available: Resources,
}

/// Capacity that is reserved, from a time on, for a job that cannot start yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// Seconds from now.
    pub at: f64,
    /// What one task of the job requests.
    pub resources: Resources,
    /// Index of the job in the snapshot.
    pub job: usize,
}

/// One machine of this controller.
#[derive(Debug, Clone)]
pub struct MachineSnapshot {
    /// The cloud's name of it.
    pub name: Arc<str>,
    /// Interned machine type.
    pub machine_type: u32,
    /// Interned zone.
    pub zone: u32,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Free capacity and that of running tasks, by the time at which it becomes free. A booting machine's
    /// capacity is free from its expected boot.
    pub free_slots: Vec<FreeSlot>,
    /// Interned images that it has or is fetching.
    pub images: Vec<u32>,
    /// Rate at which it fetches images, in GB a second.
    pub fetch_gb_per_s: f64,
    /// Measured run times over the expected ones: above 1 is slow.
    pub slowness: f64,
    /// CPUs kept free for each free GPU, so that work without GPUs does not make them idle.
    pub cpus_per_gpu: f64,
    /// An hour's price.
    pub price: f64,
    /// Reservations, by time.
    pub reservations: Vec<Reservation>,
    /// Index of the only job that may start here for now: tasks are being preempted for it.
    pub reserved_for: Option<usize>,
}

/// Weight of a machine's free share beside its price: it only decides between equal prices.
const EMPTINESS_WEIGHT: f64 = 0.001;

impl MachineSnapshot {
    /// The pool that the machine was rented from.
    pub(super) fn pool(&self) -> PoolId {
        PoolId {
            machine_type: self.machine_type,
            zone: self.zone,
            spot: self.spot,
        }
    }

    /// Capacity that is free from `at` on, as long as nothing more is placed here.
    pub(super) fn free_at(&self, at: f64) -> Resources {
        let mut free = Resources::default();
        for slot in self.free_slots.iter().take_while(|s| s.at <= at + SLACK) {
            free.add(&slot.available);
        }
        free
    }

    /// The share of its capacity that is free now, as a small tie-breaker between equal prices.
    pub(super) fn emptiness(&self) -> f64 {
        let free = self.free_at(0.0);
        let all = self.free_at(f64::INFINITY);
        let share = |free: f64, all: f64| if all > SLACK { free / all } else { 0.0 };
        (share(free.cpus, all.cpus) + share(free.gpus, all.gpus)) * EMPTINESS_WEIGHT
    }

    /// Whether a task fits into `available`, beside the CPUs that GPU machines keep for their GPUs.
    pub(super) fn accommodates(&self, resources: &Resources, available: &Resources) -> bool {
        let kept_cpus = if resources.gpus == 0.0 {
            available.gpus * self.cpus_per_gpu
        } else {
            0.0
        };
        resources.fits(available) && resources.cpus + kept_cpus <= available.cpus + SLACK
    }

    /// The earliest time at which a task fits beside all reservations; `None` if it never does.
    pub(super) fn earliest_start(&self, resources: &Resources) -> Option<f64> {
        let mut available = Resources::default();
        for reservation in &self.reservations {
            available.sub(&reservation.resources);
        }
        for slot in &self.free_slots {
            available.add(&slot.available);
            if self.accommodates(resources, &available) {
                return Some(slot.at);
            }
        }
        None
    }

    /// Whether a task that starts now and ends at `end` leaves all reservations intact (backfill): the
    /// paper has no such work, but capacity that waits for a gang's last machine is used meanwhile by
    /// work that ends before.
    pub(super) fn respects_reservations(&self, resources: &Resources, end: f64) -> bool {
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

    /// Takes capacity for a task from `start` to `end`: latest slots first, so that what is free now
    /// stays free for others.
    pub(super) fn occupy(&mut self, resources: &Resources, start: f64, end: f64) {
        let mut wanted = *resources;
        for slot in self.free_slots.iter_mut().rev() {
            if slot.at <= start + SLACK {
                wanted.consume_from(&mut slot.available);
            }
        }
        self.free_slots.retain(|slot| !slot.available.is_empty());
        let position = self.free_slots.partition_point(|slot| slot.at <= end);
        let released = FreeSlot {
            at: end,
            available: *resources,
        };
        self.free_slots.insert(position, released);
    }

    /// Seconds until the job's image is here.
    pub(super) fn fetch_time(&self, job: &JobSnapshot) -> f64 {
        if self.images.contains(&job.image) {
            0.0
        } else {
            job.image_gb / self.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
        }
    }

    /// Notes that the machine will have an image.
    pub(super) fn use_image(&mut self, image: u32) {
        if !self.images.contains(&image) {
            self.images.push(image);
        }
    }
}

/// Lower bound on a fetch rate, against division by zero where the catalogue names none.
pub(super) const MIN_FETCH_GB_PER_S: f64 = 0.001;
