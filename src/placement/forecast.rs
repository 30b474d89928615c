//! Predicts misses: maps every waiting task to the machine where it would end first, however long it
//! waits there (the paper's equation 1). Run once a period; nothing is started by it.

mod beyond_headroom;

pub use beyond_headroom::BeyondHeadroom;

use super::gang::gang_slots;
use super::index::{MachineIndex, StartTimesId, TaskTimes};
use super::queue::Queues;
use super::quota_headroom::QuotaHeadroom;
use super::{END_TOLERANCE, JobSnapshot, MachineSnapshot, ROUNDING_TOLERANCE, TasksByZone};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::sync::Arc;

/// Counts of a job's waiting tasks.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct JobForecast {
    /// Tasks that the team's quota permits.
    pub tasks: u32,
    /// Of these, tasks that are expected to be late.
    pub late: u32,
    /// Of the late ones, tasks that a machine rented now would start sooner.
    pub helped: u32,
}

impl JobForecast {
    fn add(&mut self, tasks: usize, misses: Misses) {
        let tasks = tasks as u32;
        self.tasks += tasks;
        self.late += if misses.late { tasks } else { 0 };
        self.helped += if misses.helped { tasks } else { 0 };
    }
}

/// What is expected of all waiting tasks.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Forecast {
    /// Per job of the snapshot, its counts.
    pub jobs: Vec<JobForecast>,
    /// Per job of the snapshot, what machines keep waiting beyond its team's headroom of now.
    pub beyond_headroom: Vec<BeyondHeadroom>,
    /// Names of the machines to which work was mapped that needs their type: work without GPUs does not
    /// count on a machine with GPUs.
    pub machines_needed: HashSet<Arc<str>>,
    /// Cost of the forecast, in machines looked at.
    pub machines_examined: u64,
}

/// Tasks of one job that are mapped one by one; of a larger job the rest is taken to fare as the
/// last of them did.
const MAX_TASKS_PER_JOB: usize = 1000;

/// Waiting gangs that are mapped one by one; the rest, which are due later, are taken to fare as the
/// last of them did. Each looks at all machines: with some hundreds waiting on a thousand machines
/// one forecast delayed heartbeats for most of a second.
const MAX_GANGS: usize = 100;

/// Whether tasks miss their due time.
#[derive(Debug, Clone, Copy)]
struct Misses {
    late: bool,
    /// A machine rented now would start them sooner.
    helped: bool,
}

impl Misses {
    /// Of tasks that no machine can take.
    const UNPLACEABLE: Self = Self {
        late: true,
        helped: true,
    };
    const NONE: Self = Self {
        late: false,
        helped: false,
    };
}

struct JobProgress {
    /// Index into the job's waiting tasks.
    next_task: usize,
    started: u32,
    zones: TasksByZone,
}

impl JobProgress {
    fn new(job: &JobSnapshot) -> Self {
        Self {
            next_task: 0,
            started: job.started,
            zones: job.zones.clone(),
        }
    }
}

/// A task on a machine. Times are seconds from now.
#[derive(Debug, Clone, Copy)]
struct TaskPlacement {
    machine: usize,
    start: f64,
    fetch: f64,
    end: f64,
}

impl TaskPlacement {
    fn is_late(&self, job: &JobSnapshot) -> bool {
        job.is_late(self.start, self.fetch, self.end)
    }
}

/// The order among placements of a task: ends in steps that count as equal, then the cheaper and fuller
/// machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PlacementRank {
    end_class: u64,
    /// In millionths.
    price: u64,
    machine: usize,
}

/// The state of one forecast.
struct Forecaster<'a> {
    jobs: &'a [JobSnapshot],
    progress: Vec<JobProgress>,
    /// What limited teams may still start: what their quota keeps waiting takes no machine, is not late
    /// for want of one, and rents none.
    headroom: QuotaHeadroom,
    machines: MachineIndex<'a>,
    forecast: Forecast,
    gangs_placed: usize,
    last_gang: Misses,
    /// Where the tasks of each job that took a limited team's headroom are; `None` for one that no machine can
    /// take.
    limited_tasks: BTreeMap<usize, Vec<Option<TaskPlacement>>>,
}

/// Maps all waiting tasks. The first `startup_count` tasks of each job are startup tasks.
pub fn forecast(
    jobs: &[JobSnapshot],
    machines: &[MachineSnapshot],
    headroom: &QuotaHeadroom,
    startup_count: u32,
) -> Forecast {
    let mut machines = machines.to_vec();
    let mut forecaster = Forecaster {
        jobs,
        progress: jobs.iter().map(JobProgress::new).collect(),
        headroom: headroom.clone(),
        machines: MachineIndex::new(&mut machines),
        forecast: Forecast {
            jobs: vec![JobForecast::default(); jobs.len()],
            beyond_headroom: vec![BeyondHeadroom::default(); jobs.len()],
            ..Forecast::default()
        },
        gangs_placed: 0,
        last_gang: Misses::NONE,
        limited_tasks: BTreeMap::new(),
    };
    let mut queues = Queues::new(jobs);
    loop {
        queues.skip_batch_while(|job| forecaster.remaining(job) == 0);
        queues.skip_startup_while(|job| !forecaster.has_startup_task(job, startup_count));
        let Some(head) = queues.batch_head() else {
            break;
        };
        if jobs[head].gang {
            forecaster.place_gang(head);
        } else if let Some(first) = queues.startup_head().filter(|first| *first != head)
            && let Some(placement) = forecaster.best_placement(first)
            && forecaster.startup_may_pass(first, &placement, head)
        {
            forecaster.place(first, &placement);
        } else {
            forecaster.place_array(head);
        }
    }
    forecaster.map_beyond_headroom(headroom);
    forecaster.forecast
}

impl Forecaster<'_> {
    /// Tasks of the job that were not mapped yet and that the team's quota permits.
    fn remaining(&self, job: usize) -> usize {
        let view = &self.jobs[job];
        let remaining = view.waiting.len() - self.progress[job].next_task;
        remaining.min(self.headroom.tasks(view))
    }

    /// Whether a startup task of the job is yet to be mapped.
    fn has_startup_task(&self, job: usize, startup_count: u32) -> bool {
        self.remaining(job) > 0
            && self.progress[job].started < startup_count
            && !self.jobs[job].gang
    }

    /// When one task of a job could start on each machine.
    fn start_times(&mut self, job: usize) -> StartTimesId {
        self.machines.start_times(&self.jobs[job].resources, 1)[0]
    }

    fn placement_on(
        &self,
        machine: usize,
        start_times: StartTimesId,
        times: &TaskTimes,
    ) -> Option<TaskPlacement> {
        let start = self.machines.start(start_times, machine)?;
        let fetch = times.fetch(machine);
        Some(TaskPlacement {
            machine,
            start,
            fetch,
            end: start + fetch + times.run(machine),
        })
    }

    fn rank(&self, job: usize, placement: &TaskPlacement) -> PlacementRank {
        let tolerance = (self.jobs[job].duration * END_TOLERANCE).max(ROUNDING_TOLERANCE);
        let price = self.machines.price(placement.machine);
        let price = (price + self.machines.emptiness(placement.machine)) * 1e6;
        PlacementRank {
            end_class: (placement.end / tolerance) as u64,
            price: price as u64,
            machine: placement.machine,
        }
    }

    fn may_add_in_zone(&self, job: usize, machine: usize) -> bool {
        let zone = self.machines.zone(machine);
        self.jobs[job].may_add_in_zone(&self.progress[job].zones, zone)
    }

    /// Where the job's next task would end first.
    fn best_placement(&mut self, job: usize) -> Option<TaskPlacement> {
        let start_times = self.start_times(job);
        let mut machines_examined = 0;
        let mut best: Option<(PlacementRank, TaskPlacement)> = None;
        let times = self.machines.task_times(&self.jobs[job]);
        for machine in self.machines.usable(&self.jobs[job]) {
            machines_examined += 1;
            if !self.may_add_in_zone(job, machine) {
                continue;
            }
            if let Some(placement) = self.placement_on(machine, start_times, &times) {
                let rank = self.rank(job, &placement);
                if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                    best = Some((rank, placement));
                }
            }
        }
        self.forecast.machines_examined += machines_examined;
        best.map(|(_, placement)| placement)
    }

    /// Maps the job's next task.
    fn place(&mut self, job: usize, placement: &TaskPlacement) {
        let view = &self.jobs[job];
        let progress = &mut self.progress[job];
        progress.next_task += 1;
        progress.started += 1;
        self.headroom.take(view, 1);
        if view.team.is_some() {
            let tasks = self.limited_tasks.entry(job).or_default();
            tasks.push(Some(*placement));
        }
        let (index, start) = (placement.machine, placement.start);
        self.machines
            .occupy(index, &view.resources, start, placement.end);
        self.machines.use_image(index, view.image);
        let machine = &self.machines.machines()[index];
        if machine.cpus_per_gpu == 0.0 || view.resources.gpus > 0.0 {
            self.forecast.machines_needed.insert(machine.name.clone());
        }
        if start <= ROUNDING_TOLERANCE {
            *progress.zones.entry(machine.zone).or_default() += 1;
        }
        let late = placement.is_late(view);
        let misses = Misses {
            late,
            helped: late && start > view.provisioning_s,
        };
        self.forecast.jobs[job].add(1, misses);
    }

    /// Maps all that is left of an array: the machines in a heap, by where a task would end first.
    fn place_array(&mut self, job: usize) {
        let start_times = self.start_times(job);
        let mut heap = BinaryHeap::from(self.ranked_machines(job, start_times));
        let mut placed = 0;
        let mut is_last_late = true;
        while self.remaining(job) > 0 && placed < MAX_TASKS_PER_JOB {
            let Some(Reverse(PlacementRank { machine, .. })) = heap.pop() else {
                self.note_unplaceable(job);
                break;
            };
            if !self.may_add_in_zone(job, machine) {
                continue;
            }
            let times = self.machines.task_times(&self.jobs[job]);
            let Some(placement) = self.placement_on(machine, start_times, &times) else {
                continue;
            };
            is_last_late = placement.is_late(&self.jobs[job]);
            self.place(job, &placement);
            placed += 1;
            self.forecast.machines_examined += 1;
            let times = self.machines.task_times(&self.jobs[job]);
            if let Some(next) = self.placement_on(machine, start_times, &times) {
                heap.push(Reverse(self.rank(job, &next)));
            }
        }
        self.count_rest(job, is_last_late);
    }

    fn ranked_machines(
        &mut self,
        job: usize,
        start_times: StartTimesId,
    ) -> Vec<Reverse<PlacementRank>> {
        let times = self.machines.task_times(&self.jobs[job]);
        let mut ranked = Vec::new();
        let mut machines_examined = 0;
        for machine in self.machines.usable(&self.jobs[job]) {
            machines_examined += 1;
            if self.may_add_in_zone(job, machine)
                && let Some(placement) = self.placement_on(machine, start_times, &times)
            {
                ranked.push(Reverse(self.rank(job, &placement)));
            }
        }
        self.forecast.machines_examined += machines_examined;
        ranked
    }

    /// Maps a gang as a whole; one that exceeds its team's quota is passed over.
    fn place_gang(&mut self, job: usize) {
        let view = &self.jobs[job];
        let size = view.waiting.len();
        if self.headroom.tasks(view) < size {
            self.progress[job].next_task = size;
            return;
        }
        if self.gangs_placed >= MAX_GANGS {
            self.headroom.take(view, size);
            self.forecast.jobs[job].add(size, self.last_gang);
            self.progress[job].next_task = size;
            return;
        }
        self.gangs_placed += 1;
        let examined = &mut self.forecast.machines_examined;
        let Some(slots) = gang_slots(view, size, &mut self.machines, examined) else {
            self.last_gang = Misses::UNPLACEABLE;
            self.count_rest(job, true);
            return;
        };
        // The tasks start together and end together.
        let start = slots.iter().map(|slot| slot.start).fold(0.0, f64::max);
        let end = slots.iter().map(|slot| slot.end).fold(0.0, f64::max);
        for slot in slots {
            let placement = TaskPlacement {
                machine: slot.machine,
                start,
                fetch: slot.fetch,
                end,
            };
            self.place(job, &placement);
        }
        let counts = &self.forecast.jobs[job];
        self.last_gang = Misses {
            late: counts.late > 0,
            helped: counts.helped > 0,
        };
    }

    /// Counts the job's remaining tasks without mapping them.
    fn count_rest(&mut self, job: usize, late: bool) {
        let rest = self.remaining(job);
        self.headroom.take(&self.jobs[job], rest);
        let misses = Misses { late, helped: late };
        self.forecast.jobs[job].add(rest, misses);
        self.progress[job].next_task += rest;
    }

    /// Notes that no machine can take the rest of an array for which there is headroom.
    fn note_unplaceable(&mut self, job: usize) {
        if self.jobs[job].team.is_some() {
            let rest = self.remaining(job);
            let tasks = self.limited_tasks.entry(job).or_default();
            tasks.extend(std::iter::repeat_n(None, rest));
        }
    }

    /// The paper's guard: a startup task goes ahead only if the batch head would still be in time.
    fn startup_may_pass(&mut self, startup: usize, placement: &TaskPlacement, head: usize) -> bool {
        let Some(undisturbed) = self.best_placement(head) else {
            return true;
        };
        if undisturbed.machine != placement.machine {
            return !undisturbed.is_late(&self.jobs[head]);
        }
        let resources = self.jobs[startup].resources;
        let (machine, start, end) = (placement.machine, placement.start, placement.end);
        let free_slots = self
            .machines
            .occupy_for_now(machine, &resources, start, end);
        let delayed = self.best_placement(head);
        self.machines.restore(machine, free_slots);
        delayed.is_some_and(|delayed| !delayed.is_late(&self.jobs[head]))
    }
}
