//! The machines of one packing or forecast, grouped by pool, so that a search for a job only visits pools that
//! the job may use. The index caches, for each machine, the earliest start of a request and the machine's
//! emptiness until the machine changes.

use super::machine::StartGroup;
use super::{
    FreeSlot, JobSnapshot, MIN_FETCH_GB_PER_S, MachineSnapshot, PoolId, Reservation, Resources,
};
use std::cell::{Cell, OnceCell};
use std::collections::HashMap;

/// The machines of one pool. They are equal in machine type, zone and whether they are spot machines, which is
/// all that a job can require of a machine.
#[derive(Debug)]
struct PoolMembers {
    pool: PoolId,
    /// Indices of its machines in the snapshot, ascending.
    members: Vec<usize>,
    /// Indices of the open machines, on which a task may still start now.
    open: Vec<usize>,
}

/// The fields of a machine that searches read, stored contiguously. A whole snapshot takes several cache lines,
/// and reading these for each machine in each search took most of a packing's time.
#[derive(Debug, Clone, Copy)]
struct MachineSummary {
    zone: u32,
    fetch_gb_per_s: f64,
    slowness: f64,
    price: f64,
    reserved_for: Option<usize>,
}

impl MachineSummary {
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

/// A set of machine indices, as a bitmap.
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

/// How long a job's tasks take on each machine once they have capacity there: the time to fetch the image and
/// the run time.
#[derive(Debug, Clone, Copy)]
pub struct TaskTimes<'a> {
    job: &'a JobSnapshot,
    with_image: Option<&'a MachineSet>,
    summaries: &'a [MachineSummary],
}

impl TaskTimes<'_> {
    /// Seconds to fetch the image; 0 on a machine that has it or is fetching it.
    pub fn fetch(&self, machine: usize) -> f64 {
        if self.with_image.is_some_and(|set| set.contains(machine)) {
            return 0.0;
        }
        self.job.image_gb
            / self.summaries[machine]
                .fetch_gb_per_s
                .max(MIN_FETCH_GB_PER_S)
    }

    /// Expected run time in seconds.
    pub fn run(&self, machine: usize) -> f64 {
        self.job.duration * self.summaries[machine].slowness
    }
}

/// The earliest start of a request on each machine. NaN means not computed yet, infinity means never.
#[derive(Debug)]
struct StartTimes {
    resources: Resources,
    times: Vec<Cell<f64>>,
    /// By machine, the groups of such tasks that could start together; empty unless a gang needed them.
    groups: Vec<OnceCell<Box<[StartGroup]>>>,
}

/// Identifies the start times of one request. Valid until the next call of [`MachineIndex::start_times`].
#[derive(Debug, Clone, Copy)]
pub struct StartTimesId(usize);

/// The cached start times are cleared before they would exceed this many requests, because each request takes eight
/// bytes per machine.
const MAX_CACHED_REQUESTS: usize = 32;

/// The machines of one packing or forecast.
#[derive(Debug)]
pub struct MachineIndex<'a> {
    machines: &'a mut [MachineSnapshot],
    summaries: Vec<MachineSummary>,
    /// By image: the machines that have it or are fetching it.
    images: HashMap<u32, MachineSet>,
    pools: Vec<PoolMembers>,
    /// By machine; NaN means not computed yet.
    emptiness: Vec<Cell<f64>>,
    start_times: Vec<StartTimes>,
    /// Free slots and cached requests that were examined: a measure of the cost.
    slots_examined: Cell<u64>,
}

impl<'a> MachineIndex<'a> {
    /// Indexes the machines. Methods of the index change them in place.
    pub fn new(machines: &'a mut [MachineSnapshot]) -> Self {
        let mut pools: Vec<PoolMembers> = Vec::new();
        let mut images: HashMap<u32, MachineSet> = HashMap::new();
        for (index, machine) in machines.iter().enumerate() {
            for image in &machine.images {
                images.entry(*image).or_default().insert(index);
            }
            let pool = machine.pool();
            match pools.iter_mut().find(|existing| existing.pool == pool) {
                Some(existing) => existing.members.push(index),
                None => pools.push(PoolMembers {
                    pool,
                    members: vec![index],
                    open: Vec::new(),
                }),
            }
        }
        Self {
            summaries: machines.iter().map(MachineSummary::of).collect(),
            images,
            emptiness: vec![Cell::new(f64::NAN); machines.len()],
            machines,
            pools,
            start_times: Vec::new(),
            slots_examined: Cell::new(0),
        }
    }

    /// Free slots and cached requests that were examined so far: a measure of the cost that grows with the number
    /// of tasks on a machine, whereas the number of machines examined does not.
    pub fn slots_examined(&self) -> u64 {
        self.slots_examined.get()
    }

    fn count_slots(&self, slots: usize) {
        self.slots_examined
            .set(self.slots_examined.get() + slots as u64);
    }

    /// The machines with all changes made so far.
    pub fn machines(&self) -> &[MachineSnapshot] {
        self.machines
    }

    /// A machine's interned zone.
    pub fn zone(&self, machine: usize) -> u32 {
        self.summaries[machine].zone
    }

    /// A machine's hourly price.
    pub fn price(&self, machine: usize) -> f64 {
        self.summaries[machine].price
    }

    /// How long the job's tasks take on each machine.
    pub fn task_times<'b>(&'b self, job: &'b JobSnapshot) -> TaskTimes<'b> {
        TaskTimes {
            job,
            with_image: self.images.get(&job.image),
            summaries: &self.summaries,
        }
    }

    /// Machines that the job may run on, wherever its other tasks are.
    pub fn usable(&self, job: &JobSnapshot) -> impl Iterator<Item = usize> {
        let members = self
            .pools_for(job)
            .flat_map(|pool| pool.members.iter().copied());
        members.filter(|m| self.is_admitted(job, *m))
    }

    /// Open machines that the job may run on, wherever its other tasks are.
    pub fn usable_open(&self, job: &JobSnapshot) -> impl Iterator<Item = usize> {
        let open = self
            .pools_for(job)
            .flat_map(|pool| pool.open.iter().copied());
        open.filter(|m| self.is_admitted(job, *m))
    }

    /// Whether the job may run on a machine of a pool that it may use: the machine is not reserved for another
    /// job, and the job has not failed there.
    fn is_admitted(&self, job: &JobSnapshot, machine: usize) -> bool {
        let reserved_for = self.summaries[machine].reserved_for;
        reserved_for.is_none_or(|reserved_for| reserved_for == job.index)
            && (job.avoid.is_empty() || !job.avoid.contains(&*self.machines[machine].name))
    }

    fn pools_for(&self, job: &JobSnapshot) -> impl Iterator<Item = &PoolMembers> {
        let pools = self.pools.iter();
        pools.filter(|pool| job.may_use_pool(pool.pool))
    }

    /// Marks as open exactly the machines for which the condition holds.
    pub fn open(&mut self, is_open: impl Fn(usize) -> bool) {
        for pool in &mut self.pools {
            let members = pool.members.iter().copied();
            pool.open = members.filter(|m| is_open(*m)).collect();
        }
    }

    /// Closes the open machines for which the condition does not hold.
    pub fn retain_open(&mut self, is_open: impl Fn(usize) -> bool) {
        for pool in &mut self.pools {
            pool.open.retain(|m| is_open(*m));
        }
    }

    /// The start times of a request.
    pub fn start_times(&mut self, resources: &Resources) -> StartTimesId {
        self.count_slots(self.start_times.len());
        let mut cached = self.start_times.iter();
        if let Some(position) = cached.position(|s| s.resources == *resources) {
            return StartTimesId(position);
        }
        if self.start_times.len() >= MAX_CACHED_REQUESTS {
            self.start_times.clear();
        }
        self.start_times.push(StartTimes {
            resources: *resources,
            times: vec![Cell::new(f64::NAN); self.machines.len()],
            groups: Vec::new(),
        });
        StartTimesId(self.start_times.len() - 1)
    }

    /// The start times of a request, for which [`MachineIndex::start_groups`] may be called.
    pub fn start_times_of_groups(&mut self, resources: &Resources) -> StartTimesId {
        let id = self.start_times(resources);
        let machines = self.machines.len();
        let groups = &mut self.start_times[id.0].groups;
        groups.resize_with(machines, OnceCell::new);
        id
    }

    /// The groups of tasks that could start together on a machine, beside all reservations there.
    pub fn start_groups(&self, id: StartTimesId, machine: usize) -> &[StartGroup] {
        let StartTimes {
            resources, groups, ..
        } = &self.start_times[id.0];
        groups[machine].get_or_init(|| {
            let machine = &self.machines[machine];
            self.count_slots(machine.free_slots.len());
            machine.start_groups(resources).into()
        })
    }

    /// How many tasks could start on a machine at `start`, at most `max_tasks`, beside all reservations there.
    pub fn tasks_starting_at(
        &self,
        machine: usize,
        resources: &Resources,
        start: f64,
        max_tasks: usize,
    ) -> usize {
        let machine = &self.machines[machine];
        self.count_slots(machine.free_slots.len());
        machine.tasks_starting_at(resources, start, max_tasks)
    }

    /// The earliest start of the request on a machine, beside all reservations there; `None` if there is none.
    pub fn start(&self, id: StartTimesId, machine: usize) -> Option<f64> {
        let start_times = &self.start_times[id.0];
        let cached = &start_times.times[machine];
        if cached.get().is_nan() {
            self.count_slots(self.machines[machine].free_slots.len());
            let start = self.machines[machine].earliest_start(&start_times.resources);
            cached.set(start.unwrap_or(f64::INFINITY));
        }
        Some(cached.get()).filter(|start| start.is_finite())
    }

    /// The share of a machine's capacity that is free now, scaled so that it only decides between equal prices.
    pub fn emptiness(&self, machine: usize) -> f64 {
        let cached = &self.emptiness[machine];
        if cached.get().is_nan() {
            cached.set(self.machines[machine].emptiness());
        }
        cached.get()
    }

    /// Takes capacity on a machine for tasks from `start` to `end`.
    pub fn occupy(&mut self, machine: usize, resources: &Resources, start: f64, end: f64) {
        self.count_slots(self.machines[machine].free_slots.len());
        self.machines[machine].occupy(resources, start, end);
        self.invalidate(machine);
    }

    /// Adds a reservation on a machine.
    pub fn reserve(&mut self, machine: usize, reservation: Reservation) {
        let reservations = &mut self.machines[machine].reservations;
        let before = reservations.partition_point(|h| h.at <= reservation.at);
        reservations.insert(before, reservation);
        self.invalidate(machine);
    }

    /// Records that a machine has an image or will fetch it.
    pub fn use_image(&mut self, machine: usize, image: u32) {
        self.machines[machine].use_image(image);
        self.images.entry(image).or_default().insert(machine);
    }

    /// Takes capacity on a machine for a task from `start` to `end`. Returns the free slots as they were before,
    /// to be passed to [`MachineIndex::restore`].
    pub fn occupy_temporarily(
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

    /// Undoes [`MachineIndex::occupy_temporarily`].
    pub fn restore(&mut self, machine: usize, free_slots: Vec<FreeSlot>) {
        self.machines[machine].free_slots = free_slots;
        self.invalidate(machine);
    }

    /// Clears the cached values of a machine that changed.
    fn invalidate(&mut self, machine: usize) {
        self.emptiness[machine].set(f64::NAN);
        for start_times in &mut self.start_times {
            start_times.times[machine].set(f64::NAN);
            if let Some(groups) = start_times.groups.get_mut(machine) {
                groups.take();
            }
        }
    }
}

#[cfg(test)]
mod tests;
