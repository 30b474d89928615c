//! Predicts missed due times: assigns the waiting tasks to the machines where they would end first, however
//! long they would wait there (equation 1 of the CVSS paper). A forecast is made at least once per scaling
//! period. It starts no tasks.

mod beyond_headroom;
mod run;

pub use beyond_headroom::BeyondHeadroom;
#[cfg(test)]
pub use run::forecast;
pub use run::forecast_in_turns;

use super::gang::gang_slots;
use super::index::{MachineIndex, StartTimesId, TaskTimes};
use super::queue::Queues;
use super::quota_headroom::QuotaHeadroom;
use super::{END_TOLERANCE, JobSnapshot, ROUNDING_TOLERANCE, TasksByZone};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::sync::Arc;

/// The waiting tasks of one job, by their expected outcome.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct JobForecast {
    /// Tasks that the team's quota permits now.
    pub tasks: u32,
    /// Of `tasks`, those that are expected to miss their due time.
    pub late: u32,
    /// Of `late`, tasks that would start sooner on a machine rented now.
    pub helped: u32,
}

impl JobForecast {
    fn add(&mut self, tasks: usize, lateness: Lateness) {
        let tasks = tasks as u32;
        self.tasks += tasks;
        self.late += if lateness.late { tasks } else { 0 };
        self.helped += if lateness.helped { tasks } else { 0 };
    }
}

/// The expected outcome of all waiting tasks.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Forecast {
    /// Counts for each job of the snapshot.
    pub jobs: Vec<JobForecast>,
    /// For each job of the snapshot, the tasks beyond its team's current headroom that wait for machines and
    /// not for quota.
    pub beyond_headroom: Vec<BeyondHeadroom>,
    /// Names of the machines that were assigned work that needs their type. A machine with GPUs that only
    /// gets work without GPUs is not among them, unless it is a spare GPU machine.
    pub machines_needed: HashSet<Arc<str>>,
    /// Machines that were examined: a measure of the forecast's cost.
    pub machines_examined: u64,
    /// Free slots of machines that were examined.
    pub slots_examined: u64,
}

/// Most tasks of one job that are assigned individually. The remaining tasks of a larger job count as late,
/// and as helped by a new machine, if the last assigned one is late.
const MAX_TASKS_PER_JOB: usize = 1000;

/// Most waiting gangs that are assigned individually. The remaining gangs, which come later in the batch
/// queue, get the outcome of the last assigned one. Each assignment examines all machines: with some hundreds
/// of waiting gangs and a thousand machines, one forecast delayed heartbeats for most of a second.
const MAX_GANGS: usize = 100;

/// Whether tasks miss their due time, and whether a new machine would help.
#[derive(Debug, Clone, Copy)]
struct Lateness {
    late: bool,
    /// They are late and would start sooner on a machine rented now.
    helped: bool,
}

impl Lateness {
    /// The outcome of tasks that no machine can run.
    const UNPLACEABLE: Self = Self {
        late: true,
        helped: true,
    };
    const ON_TIME: Self = Self {
        late: false,
        helped: false,
    };
}

/// How far the assignment of one job's tasks has come.
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

/// The machine and expected times of a task. Times are seconds from now.
#[derive(Debug, Clone, Copy)]
struct TaskPlacement {
    machine: usize,
    start: f64,
    fetch: f64,
    end: f64,
}

/// Tasks of a job with the same placement that use a limited team's headroom.
#[derive(Debug, Clone, Copy)]
struct LimitedTasks {
    tasks: usize,
    /// `None` if no machine can run the tasks.
    placement: Option<TaskPlacement>,
}

impl TaskPlacement {
    fn is_late(&self, job: &JobSnapshot) -> bool {
        job.is_late(self.start, self.fetch, self.end)
    }
}

/// Sort key among the possible placements of a task: the earliest end first and, among ends that count as
/// equal, the cheapest machine. Among equal prices, the fullest machine comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PlacementRank {
    /// The end divided by the tolerance within which ends count as equal.
    end_class: u64,
    /// The hourly price plus the machine's emptiness, in millionths.
    price: u64,
    machine: usize,
}

/// The state of one forecast.
struct Forecaster<'a> {
    jobs: &'a [JobSnapshot],
    progress: Vec<JobProgress>,
    /// What limited teams may still start. Tasks that wait for quota are not assigned to machines and do not
    /// count as late, so that no machines are rented for them.
    headroom: QuotaHeadroom,
    machines: MachineIndex<'a>,
    forecast: Forecast,
    /// Gangs that were assigned individually, up to `MAX_GANGS`.
    gangs_placed: usize,
    /// The outcome of the last of these gangs.
    last_gang_lateness: Lateness,
    /// By job: its tasks that use a limited team's headroom.
    limited_tasks: BTreeMap<usize, Vec<LimitedTasks>>,
    queues: Queues,
    startup_count: u32,
}

impl Forecaster<'_> {
    /// Tasks of the job that are not assigned yet and that the team's quota permits.
    fn remaining(&self, job: usize) -> usize {
        let job_snapshot = &self.jobs[job];
        let remaining = job_snapshot.waiting.len() - self.progress[job].next_task;
        remaining.min(self.headroom.tasks(job_snapshot))
    }

    /// Whether a startup task of the job is not assigned yet.
    fn has_startup_task(&self, job: usize) -> bool {
        self.remaining(job) > 0
            && self.progress[job].started < self.startup_count
            && !self.jobs[job].gang
    }

    /// The times at which one task of the job could start on each machine.
    fn start_times(&mut self, job: usize) -> StartTimesId {
        self.machines.start_times(&self.jobs[job].resources)
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

    /// The placement with which the job's next task would end first.
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

    /// Assigns the job's next `tasks` tasks to a machine.
    fn place(&mut self, job: usize, placement: &TaskPlacement, tasks: usize) {
        let job_snapshot = &self.jobs[job];
        let progress = &mut self.progress[job];
        progress.next_task += tasks;
        progress.started += tasks as u32;
        self.headroom.take(job_snapshot, tasks);
        if job_snapshot.team.is_some() {
            self.limited_tasks
                .entry(job)
                .or_default()
                .push(LimitedTasks {
                    tasks,
                    placement: Some(*placement),
                });
        }
        let (index, start) = (placement.machine, placement.start);
        let requested = job_snapshot.resources.scaled(tasks as f64);
        self.machines
            .occupy(index, &requested, start, placement.end);
        self.machines.use_image(index, job_snapshot.image);
        let machine = &self.machines.machines()[index];
        if machine.cpus_per_gpu == 0.0 || job_snapshot.resources.gpus > 0.0 {
            self.forecast.machines_needed.insert(machine.name.clone());
        }
        if start <= ROUNDING_TOLERANCE {
            *progress.zones.entry(machine.zone).or_default() += tasks as u32;
        }
        let late = placement.is_late(job_snapshot);
        let lateness = Lateness {
            late,
            helped: late && start > job_snapshot.provisioning_s,
        };
        self.forecast.jobs[job].add(tasks, lateness);
    }

    /// Assigns the remaining tasks of an array. A heap orders the machines by the rank of the next task there. All
    /// tasks that can start on a machine at the same time are assigned together: each of them makes the machine fuller
    /// and thus raises its rank, so that the next one would go there, too.
    fn place_array(&mut self, job: usize) {
        let start_times = self.start_times(job);
        let mut heap = BinaryHeap::from(self.ranked_machines(job, start_times));
        let mut placed = 0;
        let mut is_last_late = true;
        while self.remaining(job) > 0 && placed < MAX_TASKS_PER_JOB {
            let Some(Reverse(PlacementRank { machine, .. })) = heap.pop() else {
                self.record_unplaceable(job);
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
            let wanted = self.remaining(job).min(MAX_TASKS_PER_JOB - placed);
            let tasks = self.tasks_together(job, &placement, wanted);
            self.place(job, &placement, tasks);
            placed += tasks;
            self.forecast.machines_examined += 1;
            let times = self.machines.task_times(&self.jobs[job]);
            if let Some(next) = self.placement_on(machine, start_times, &times) {
                heap.push(Reverse(self.rank(job, &next)));
            }
        }
        self.count_remaining(job, is_last_late);
    }

    /// How many of `wanted` tasks can start on the placement's machine at the same time; at least one. The first
    /// task on a machine that has to fetch the image is placed alone, since the next ones need not wait for that.
    fn tasks_together(&self, job: usize, placement: &TaskPlacement, wanted: usize) -> usize {
        if placement.fetch > 0.0 {
            return 1;
        }
        let job_snapshot = &self.jobs[job];
        let TaskPlacement { machine, start, .. } = *placement;
        let zones = &self.progress[job].zones;
        // Only tasks that start now count towards the limit on a zone.
        let wanted = if start <= ROUNDING_TOLERANCE {
            let zone = self.machines.zone(machine);
            wanted.min(job_snapshot.tasks_addable_in_zone(zones, zone))
        } else {
            wanted
        };
        let resources = &job_snapshot.resources;
        let fitting = self
            .machines
            .tasks_starting_at(machine, resources, start, wanted);
        fitting.max(1)
    }

    /// The machines that the job may use, each with the rank of the job's next task there.
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

    /// Assigns all tasks of a gang together. A gang that exceeds its team's headroom is skipped.
    fn place_gang(&mut self, job: usize) {
        let job_snapshot = &self.jobs[job];
        let size = job_snapshot.waiting.len();
        if self.headroom.tasks(job_snapshot) < size {
            self.progress[job].next_task = size;
            return;
        }
        if self.gangs_placed >= MAX_GANGS {
            self.headroom.take(job_snapshot, size);
            self.forecast.jobs[job].add(size, self.last_gang_lateness);
            self.progress[job].next_task = size;
            return;
        }
        self.gangs_placed += 1;
        let examined = &mut self.forecast.machines_examined;
        let Some(slots) = gang_slots(job_snapshot, size, &mut self.machines, examined) else {
            self.last_gang_lateness = Lateness::UNPLACEABLE;
            self.count_remaining(job, true);
            return;
        };
        // All tasks of a gang start and end at the same time.
        let start = slots.iter().map(|slot| slot.start).fold(0.0, f64::max);
        let end = slots.iter().map(|slot| slot.end).fold(0.0, f64::max);
        for slots in slots {
            let placement = TaskPlacement {
                machine: slots.machine,
                start,
                fetch: slots.fetch,
                end,
            };
            self.place(job, &placement, slots.tasks);
        }
        let counts = &self.forecast.jobs[job];
        self.last_gang_lateness = Lateness {
            late: counts.late > 0,
            helped: counts.helped > 0,
        };
    }

    /// Counts the job's remaining tasks without assigning them to machines.
    fn count_remaining(&mut self, job: usize, late: bool) {
        let remaining_tasks = self.remaining(job);
        self.headroom.take(&self.jobs[job], remaining_tasks);
        let lateness = Lateness { late, helped: late };
        self.forecast.jobs[job].add(remaining_tasks, lateness);
        self.progress[job].next_task += remaining_tasks;
    }

    /// Records that no machine can run the remaining tasks of a limited team's array that its headroom permits.
    fn record_unplaceable(&mut self, job: usize) {
        if self.jobs[job].team.is_some() {
            let tasks = self.remaining(job);
            self.limited_tasks
                .entry(job)
                .or_default()
                .push(LimitedTasks {
                    tasks,
                    placement: None,
                });
        }
    }

    /// Whether a startup task may be assigned before the head of the batch queue: only if the head would still
    /// be in time (the paper's condition), or has no placement in any case.
    fn startup_may_pass(&mut self, startup: usize, placement: &TaskPlacement, head: usize) -> bool {
        let Some(head_placement) = self.best_placement(head) else {
            return true;
        };
        if head_placement.machine != placement.machine {
            return !head_placement.is_late(&self.jobs[head]);
        }
        let resources = self.jobs[startup].resources;
        let (machine, start, end) = (placement.machine, placement.start, placement.end);
        let free_slots = self
            .machines
            .occupy_temporarily(machine, &resources, start, end);
        let head_placement_after_startup = self.best_placement(head);
        self.machines.restore(machine, free_slots);
        head_placement_after_startup.is_some_and(|head_placement_after_startup| {
            !head_placement_after_startup.is_late(&self.jobs[head])
        })
    }
}
