//! The machines of one packing or forecast, grouped by pool, with memoized answers: when a request is
//! free on a machine, and how empty it is. An answer is kept until its machine changes, so that a job
//! costs a look at the machines that it may use and no more.

use super::{
    FreeSlot, JobSnapshot, MIN_FETCH_GB_PER_S, MachineSnapshot, PoolId, Reservation, Resources,
};
use std::cell::Cell;
use std::collections::HashMap;

/// The machines of one pool: alike in all that a job may demand of a machine.
#[derive(Debug)]
struct PoolMembers {
    pool: PoolId,
    /// Indices of its machines in the snapshot, ascending.
    members: Vec<usize>,
    /// Those of them on which a task may still start now.
    open: Vec<usize>,
}

/// What a search reads of every machine, side by side: a snapshot itself is several cache lines, and
/// reading them for each question took most of a packing's time.
#[derive(Debug, Clone, Copy)]
struct Summary {
    zone: u32,
    fetch_gb_per_s: f64,
    slowness: f64,
    price: f64,
    reserved_for: Option<usize>,
}

impl Summary {
    fn of(machine: &MachineSnapshot) -> Self {
        Self {
            zone: machine.zone,
            fetch_gb_per_s: machine.fetch_gb_per_s,
            slowness: machine.slowness,
            price: machine.price,
            reserved_for: machine.reserved_for,
        }
    }
}

/// A set of machines.
#[derive(Debug, Clone, Default)]
struct MachineSet(Vec<u64>);

impl MachineSet {
    fn insert(&mut self, machine: usize) {
        let word = machine / WORD_BITS;
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= 1 << (machine % WORD_BITS);
    }

    fn contains(&self, machine: usize) -> bool {
        let word = self.0.get(machine / WORD_BITS);
        word.is_some_and(|word| word & (1 << (machine % WORD_BITS)) != 0)
    }
}

const WORD_BITS: usize = u64::BITS as usize;

/// How long a job's tasks take on each machine once they have capacity there: the image's fetch and the
/// run.
#[derive(Debug, Clone, Copy)]
pub struct TaskTimes<'a> {
    job: &'a JobSnapshot,
    with_image: Option<&'a MachineSet>,
    summaries: &'a [Summary],
}

impl TaskTimes<'_> {
    /// Seconds of the image's fetch; 0 where the image is there.
    pub fn fetch(&self, machine: usize) -> f64 {
        if self.with_image.is_some_and(|set| set.contains(machine)) {
            return 0.0;
        }
        self.job.image_gb
            / self.summaries[machine]
                .fetch_gb_per_s
                .max(MIN_FETCH_GB_PER_S)
    }

    /// Seconds of the run.
    pub fn run(&self, machine: usize) -> f64 {
        self.job.duration * self.summaries[machine].slowness
    }
}

/// When a request is free on each machine: NaN where that is yet to be worked out, infinity for never.
#[derive(Debug)]
struct StartTimes {
    resources: Resources,
    times: Vec<Cell<f64>>,
}

/// Refers to the start times of one request until the next call of [`MachineIndex::start_times`].
#[derive(Debug, Clone, Copy)]
pub struct StartTimesId(usize);

/// Most requests whose start times are memoized: each takes eight bytes a machine.
const MAX_MEMOIZED_REQUESTS: usize = 32;

/// What rounding may add to a machine's free capacity in the course of a packing.
const ROUNDING: f64 = 0.01;

/// The machines of one packing or forecast.
#[derive(Debug)]
pub struct MachineIndex<'a> {
    machines: &'a mut [MachineSnapshot],
    summaries: Vec<Summary>,
    /// Per image, the machines that have it or are fetching it.
    images: HashMap<u32, MachineSet>,
    pools: Vec<PoolMembers>,
    emptiness: Vec<Cell<f64>>,
    start_times: Vec<StartTimes>,
    /// The largest capacity of any machine, by resource.
    largest: Resources,
}

impl<'a> MachineIndex<'a> {
    /// Indexes the machines; changes are made in place.
    pub fn new(machines: &'a mut [MachineSnapshot]) -> Self {
        let mut pools: Vec<PoolMembers> = Vec::new();
        let mut images: HashMap<u32, MachineSet> = HashMap::new();
        let mut largest = Resources::default();
        for (index, machine) in machines.iter().enumerate() {
            for image in &machine.images {
                images.entry(*image).or_default().insert(index);
            }
            let available = machine.free_at(f64::INFINITY);
            largest = Resources {
                cpus: largest.cpus.max(available.cpus),
                gpus: largest.gpus.max(available.gpus),
                memory_gb: largest.memory_gb.max(available.memory_gb),
            };
            let pool = machine.pool();
            match pools.iter_mut().find(|known| known.pool == pool) {
                Some(known) => known.members.push(index),
                None => pools.push(PoolMembers {
                    pool,
                    members: vec![index],
                    open: Vec::new(),
                }),
            }
        }
        Self {
            summaries: machines.iter().map(Summary::of).collect(),
            images,
            emptiness: vec![Cell::new(f64::NAN); machines.len()],
            machines,
            pools,
            start_times: Vec::new(),
            largest,
        }
    }

    /// The machines as they stand.
    pub fn machines(&self) -> &[MachineSnapshot] {
        self.machines
    }

    /// A machine's interned zone.
    pub fn zone(&self, machine: usize) -> u32 {
        self.summaries[machine].zone
    }

    /// A machine's price for an hour.
    pub fn price(&self, machine: usize) -> f64 {
        self.summaries[machine].price
    }

    /// How long a task of the job takes on each machine.
    pub fn task_times<'b>(&'b self, job: &'b JobSnapshot) -> TaskTimes<'b> {
        TaskTimes {
            job,
            with_image: self.images.get(&job.image),
            summaries: &self.summaries,
        }
    }

    /// Machines that a job may run on, wherever its other tasks are.
    pub fn usable(&self, job: &JobSnapshot) -> impl Iterator<Item = usize> {
        let members = self
            .pools_for(job)
            .flat_map(|known| known.members.iter().copied());
        members.filter(|m| self.is_admitted(job, *m))
    }

    /// Those of them that are open.
    pub fn usable_open(&self, job: &JobSnapshot) -> impl Iterator<Item = usize> {
        let open = self
            .pools_for(job)
            .flat_map(|known| known.open.iter().copied());
        open.filter(|m| self.is_admitted(job, *m))
    }

    fn is_admitted(&self, job: &JobSnapshot, machine: usize) -> bool {
        let reserved_for = self.summaries[machine].reserved_for;
        reserved_for.is_none_or(|reserved_for| reserved_for == job.index)
            && (job.avoid.is_empty() || !job.avoid.contains(&*self.machines[machine].name))
    }

    fn pools_for(&self, job: &JobSnapshot) -> impl Iterator<Item = &PoolMembers> {
        let pools = self.pools.iter();
        pools.filter(|known| job.may_use_pool(known.pool))
    }

    /// Opens the machines for which the condition holds.
    pub fn open(&mut self, is_open: impl Fn(usize) -> bool) {
        for pool in &mut self.pools {
            let members = pool.members.iter().copied();
            pool.open = members.filter(|m| is_open(*m)).collect();
        }
    }

    /// Of the open machines, closes those for which the condition no longer holds.
    pub fn retain_open(&mut self, is_open: impl Fn(usize) -> bool) {
        for pool in &mut self.pools {
            pool.open.retain(|m| is_open(*m));
        }
    }

    /// The start times of one, two and so on up to `count` times a request, as far as any machine could
    /// ever accommodate as much.
    pub fn start_times(&mut self, resources: &Resources, count: usize) -> Vec<StartTimesId> {
        if self.start_times.len() + count > MAX_MEMOIZED_REQUESTS {
            self.start_times.clear();
        }
        let mut found = Vec::new();
        let mut all = Resources::default();
        for _ in 0..count {
            all.add(resources);
            if !found.is_empty() && !self.may_ever_accommodate(&all) {
                break;
            }
            found.push(self.start_times_of(&all));
        }
        found
    }

    fn may_ever_accommodate(&self, resources: &Resources) -> bool {
        resources.cpus <= self.largest.cpus + ROUNDING
            && resources.gpus <= self.largest.gpus + ROUNDING
            && resources.memory_gb <= self.largest.memory_gb + ROUNDING
    }

    fn start_times_of(&mut self, resources: &Resources) -> StartTimesId {
        let known = self
            .start_times
            .iter()
            .position(|s| s.resources == *resources);
        let id = known.unwrap_or_else(|| {
            self.start_times.push(StartTimes {
                resources: *resources,
                times: vec![Cell::new(f64::NAN); self.machines.len()],
            });
            self.start_times.len() - 1
        });
        StartTimesId(id)
    }

    /// The earliest time at which the request is free on a machine, beside all reservations there.
    pub fn start(&self, id: StartTimesId, machine: usize) -> Option<f64> {
        let start_times = &self.start_times[id.0];
        let known = &start_times.times[machine];
        if known.get().is_nan() {
            let start = self.machines[machine].earliest_start(&start_times.resources);
            known.set(start.unwrap_or(f64::INFINITY));
        }
        Some(known.get()).filter(|start| start.is_finite())
    }

    /// The share of a machine's capacity that is free now, as a small tie-breaker between equal prices.
    pub fn emptiness(&self, machine: usize) -> f64 {
        let known = &self.emptiness[machine];
        if known.get().is_nan() {
            known.set(self.machines[machine].emptiness());
        }
        known.get()
    }

    /// Takes capacity on a machine for a task that starts and ends then.
    pub fn occupy(&mut self, machine: usize, resources: &Resources, start: f64, end: f64) {
        self.machines[machine].occupy(resources, start, end);
        self.forget(machine);
    }

    /// Reserves capacity on a machine.
    pub fn reserve(&mut self, machine: usize, reservation: Reservation) {
        let reservations = &mut self.machines[machine].reservations;
        let before = reservations.partition_point(|h| h.at <= reservation.at);
        reservations.insert(before, reservation);
        self.forget(machine);
    }

    /// Notes that a machine will have an image.
    pub fn use_image(&mut self, machine: usize, image: u32) {
        self.machines[machine].use_image(image);
        self.images.entry(image).or_default().insert(machine);
    }

    /// Takes capacity on a machine until [`MachineIndex::restore`] is given what this returns.
    pub fn occupy_for_now(
        &mut self,
        machine: usize,
        resources: &Resources,
        start: f64,
        end: f64,
    ) -> Vec<FreeSlot> {
        let free_slots = self.machines[machine].free_slots.clone();
        self.occupy(machine, resources, start, end);
        free_slots
    }

    /// Undoes [`MachineIndex::occupy_for_now`].
    pub fn restore(&mut self, machine: usize, free_slots: Vec<FreeSlot>) {
        self.machines[machine].free_slots = free_slots;
        self.forget(machine);
    }

    /// Drops the memoized answers of a machine that changed.
    fn forget(&self, machine: usize) {
        self.emptiness[machine].set(f64::NAN);
        for start_times in &self.start_times {
            start_times.times[machine].set(f64::NAN);
        }
    }
}

#[cfg(test)]
mod tests;
