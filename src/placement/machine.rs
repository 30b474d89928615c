//! A machine as packing and forecasts see it: free capacity over time and reservations. Times are
//! seconds from the moment of the snapshot.

use super::job::{JobSnapshot, PoolId};
use super::resources::{ROUNDING_TOLERANCE, Resources};
use std::sync::Arc;

/// Capacity with the time at which it becomes free.
#[derive(Debug, Clone, PartialEq)]
pub struct FreeSlot {
    /// Seconds from now.
    pub at: f64,
    /// The capacity that becomes free at that time.
    pub available: Resources,
}

/// Capacity that is reserved from some time on for a job that cannot start yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// Seconds from now.
    pub at: f64,
    /// What the tasks of the job that are to start here request together.
    pub resources: Resources,
    /// Index of the job in the snapshot.
    pub job: usize,
}

/// Upper bound of a group's size, for tasks that request nothing. It exceeds the number of tasks of any job.
const MAX_GROUP_TASKS: usize = u32::MAX as usize;

/// Tasks of one job that could start on a machine at the same time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct StartGroup {
    /// Seconds from now.
    pub start: f64,
    /// Number of tasks.
    pub tasks: usize,
}

/// One machine of this controller.
#[derive(Debug, Clone)]
pub struct MachineSnapshot {
    /// Its name in the cloud.
    pub name: Arc<str>,
    /// The interned name of its machine type.
    pub machine_type: u32,
    /// The interned name of its zone.
    pub zone: u32,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The free capacity and what running tasks will release, ordered by the time at which it becomes
    /// free. On a booting machine nothing is free before the expected end of the boot.
    pub free_slots: Vec<FreeSlot>,
    /// Interned names of the images that it has or is fetching.
    pub images: Vec<u32>,
    /// Rate at which it fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Ratio of measured to expected run times; above 1 the machine is slow.
    pub slowness: f64,
    /// CPUs kept free per free GPU, so that work without GPUs does not leave GPUs without usable CPUs.
    pub cpus_per_gpu: f64,
    /// Price per hour.
    pub price: f64,
    /// Reservations, ordered by time.
    pub reservations: Vec<Reservation>,
    /// Index of the only job that may start here for now, since tasks are being preempted for it.
    pub reserved_for: Option<usize>,
}

/// Factor of the free fraction of a machine when it is added to the price. It is small, so that the free
/// fraction only decides between equal prices.
const EMPTINESS_WEIGHT: f64 = 0.001;

impl MachineSnapshot {
    /// The pool that the machine belongs to.
    pub(super) fn pool(&self) -> PoolId {
        PoolId {
            machine_type: self.machine_type,
            zone: self.zone,
            spot: self.spot,
        }
    }

    /// Capacity that is free from `at` on if nothing more is placed here.
    pub(super) fn free_at(&self, at: f64) -> Resources {
        let mut free = Resources::default();
        for slot in self
            .free_slots
            .iter()
            .take_while(|s| s.at <= at + ROUNDING_TOLERANCE)
        {
            free.add(&slot.available);
        }
        free
    }

    /// The fraction of its capacity that is free now, scaled to break ties between equal prices.
    pub(super) fn emptiness(&self) -> f64 {
        let free = self.free_at(0.0);
        let all = self.free_at(f64::INFINITY);
        let fraction = |free: f64, all: f64| {
            if all > ROUNDING_TOLERANCE {
                free / all
            } else {
                0.0
            }
        };
        (fraction(free.cpus, all.cpus) + fraction(free.gpus, all.gpus)) * EMPTINESS_WEIGHT
    }

    /// Whether a task fits into `available`. To a task without GPUs, the CPUs that are kept for free GPUs
    /// are not available.
    pub(super) fn accommodates(&self, resources: &Resources, available: &Resources) -> bool {
        let kept_cpus = if resources.gpus == 0.0 {
            available.gpus * self.cpus_per_gpu
        } else {
            0.0
        };
        resources.fits(available)
            && resources.cpus + kept_cpus <= available.cpus + ROUNDING_TOLERANCE
    }

    /// How many tasks of this size fit into `available` together, at most `max_tasks`.
    pub(super) fn tasks_accommodated(
        &self,
        resources: &Resources,
        available: &Resources,
        max_tasks: usize,
    ) -> usize {
        let kept_cpus = if resources.gpus == 0.0 {
            (available.gpus * self.cpus_per_gpu).max(0.0)
        } else {
            0.0
        };
        let unkept = Resources {
            cpus: available.cpus - kept_cpus,
            ..*available
        };
        resources.tasks_in(&unkept, max_tasks)
    }

    /// The groups of tasks of this size that could start together, in addition to all reservations. A group starts
    /// when more tasks fit than before; the groups are ordered by their start.
    pub(super) fn start_groups(&self, resources: &Resources) -> Vec<StartGroup> {
        let mut available = self.without_reservations();
        let mut groups = Vec::new();
        let mut fitting = 0;
        for slot in &self.free_slots {
            available.add(&slot.available);
            if !self.accommodates(&resources.scaled((fitting + 1) as f64), &available) {
                continue;
            }
            let fitting_now = self.tasks_accommodated(resources, &available, MAX_GROUP_TASKS);
            if fitting_now > fitting {
                groups.push(StartGroup {
                    start: slot.at,
                    tasks: fitting_now - fitting,
                });
                fitting = fitting_now;
            }
        }
        groups
    }

    /// How many tasks of this size could start at `start` in addition to all reservations, at most `max_tasks`.
    pub(super) fn tasks_starting_at(
        &self,
        resources: &Resources,
        start: f64,
        max_tasks: usize,
    ) -> usize {
        let mut available = self.without_reservations();
        for slot in self.free_slots.iter().take_while(|slot| slot.at <= start) {
            available.add(&slot.available);
        }
        self.tasks_accommodated(resources, &available, max_tasks)
    }

    /// The negative of what is reserved, to which the free slots are added.
    fn without_reservations(&self) -> Resources {
        let mut available = Resources::default();
        for reservation in &self.reservations {
            available.sub(&reservation.resources);
        }
        available
    }

    /// The earliest time at which a task fits in addition to all reservations; `None` if it never does.
    pub(super) fn earliest_start(&self, resources: &Resources) -> Option<f64> {
        let mut available = self.without_reservations();
        for slot in &self.free_slots {
            available.add(&slot.available);
            if self.accommodates(resources, &available) {
                return Some(slot.at);
            }
        }
        None
    }

    /// Whether a task that starts now and ends at `end` leaves enough capacity for all reservations
    /// (backfill). The CVSS paper has no backfill. Here, tasks that end before a gang's last machine is
    /// free use the capacity that is reserved for the gang until then.
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

    /// Takes capacity for tasks from `start` to `end`. Among the slots that are free by `start`, it is taken
    /// from the latest ones, so that earlier ones remain for other tasks. What is released at the same time forms
    /// one slot, so that the number of slots does not grow with the number of tasks.
    pub(super) fn occupy(&mut self, resources: &Resources, start: f64, end: f64) {
        let mut wanted = *resources;
        for slot in self.free_slots.iter_mut().rev() {
            if slot.at <= start + ROUNDING_TOLERANCE {
                wanted.consume_from(&mut slot.available);
            }
        }
        self.free_slots.retain(|slot| !slot.available.is_empty());
        let position = self.free_slots.partition_point(|slot| slot.at <= end);
        let earlier = position
            .checked_sub(1)
            .map(|last| &mut self.free_slots[last]);
        if let Some(slot) = earlier.filter(|slot| slot.at == end) {
            slot.available.add(resources);
            return;
        }
        let released = FreeSlot {
            at: end,
            available: *resources,
        };
        self.free_slots.insert(position, released);
    }

    /// Seconds that the machine takes to fetch the job's image; 0 if it has the image or is fetching it.
    pub(super) fn fetch_time(&self, job: &JobSnapshot) -> f64 {
        if self.images.contains(&job.image) {
            0.0
        } else {
            job.image_gb / self.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
        }
    }

    /// Adds an image to those that the machine has or is fetching.
    pub(super) fn use_image(&mut self, image: u32) {
        if !self.images.contains(&image) {
            self.images.push(image);
        }
    }
}

/// Lower bound on the fetch rate: prevents a division by zero for machine types whose rate the catalogue
/// does not give.
pub(super) const MIN_FETCH_GB_PER_S: f64 = 0.001;
