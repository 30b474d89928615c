//! Chooses the tasks that start now. The cost depends on the number of machines with free capacity, not
//! on the fleet's size. Gangs and large tasks, which fill most of a machine, are the exception: to reserve
//! capacity for them, future starts on all machines that they may use are considered as well.

mod candidates;
mod reserving;

use super::index::MachineIndex;
use super::queue::Queues;
use super::quota_headroom::QuotaHeadroom;
use super::{JobSnapshot, MachineSnapshot, ROUNDING_TOLERANCE, Resources, Start, TasksByZone};
use candidates::Candidate;
use std::collections::HashSet;

/// A job that must wait: no capacity was found for its next task or, if it is a gang or has large tasks,
/// capacity is reserved for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Unplaced {
    /// Index of the job in the snapshot.
    pub job: usize,
    /// Seconds until it would start if it waits; `None` if unknown.
    pub start: Option<f64>,
    /// Whether the capacity that it waits for is reserved, so that smaller work does not take it.
    pub reserved: bool,
}

/// The result of one packing.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct PlacementResult {
    /// Tasks that start now.
    pub starts: Vec<Start>,
    /// Jobs that must wait. A gang or a large task is included only if capacity was reserved for it.
    pub unplaced: Vec<Unplaced>,
    /// Gangs and large tasks that wait for their team's quota, although machines are free for them now or
    /// soon, or after they have waited very long.
    pub quota_blocked_gangs: Vec<usize>,
    /// Cost of the packing: how many times it examined a machine.
    pub machines_examined: u64,
    /// Free slots of machines that were examined.
    pub slots_examined: u64,
}

/// Limits that apply to one packing.
#[derive(Debug, Clone, Copy)]
pub struct PackingLimits<'a> {
    /// Quota that limited teams may still use.
    pub headroom: &'a QuotaHeadroom,
    /// Seconds after its arrival from which quota that becomes free is kept for a job that requests its
    /// team's whole limit. For a smaller request the time is shorter, see
    /// [`QuotaHeadroom::is_due_for_reservation`].
    pub reservation_delay_s: f64,
}

/// The state of one job in one packing.
struct PackingProgress {
    /// Index into the job's waiting tasks.
    next_task: usize,
    /// Tasks that were started, before this packing and by it.
    started: u32,
    zones: TasksByZone,
    /// No more of its tasks can start now.
    exhausted: bool,
    /// It cannot meet its first due time any more and is ordered by the next one.
    deferred: bool,
}

impl PackingProgress {
    fn new(job: &JobSnapshot) -> Self {
        Self {
            next_task: 0,
            started: job.started,
            zones: job.zones.clone(),
            exhausted: false,
            deferred: false,
        }
    }
}

/// The state of one packing.
struct Packer<'a> {
    jobs: &'a [JobSnapshot],
    progress: Vec<PackingProgress>,
    headroom: QuotaHeadroom,
    reservation_delay_s: f64,
    /// Limited teams for which machines were already searched for one job that exceeds the team's headroom.
    teams_looked_ahead: HashSet<usize>,
    machines: MachineIndex<'a>,
    /// The capacity that is free now, per machine.
    free: Vec<Resources>,
    reserved_machines: usize,
    /// Number of gangs and large tasks for which slots were found, but which cannot start now.
    lookaheads: usize,
    /// The fewest CPUs that any task requests. Machines with fewer free CPUs are closed in the index, since no
    /// task can start there.
    least_cpus: f64,
    result: PlacementResult,
}

/// Chooses the tasks that start in this cycle, at most `max_starts`. The first `startup_count` tasks of each
/// job are startup tasks, except for gangs and jobs with large tasks, which are only in the batch queue.
pub fn pack(
    jobs: &[JobSnapshot],
    machines: &mut [MachineSnapshot],
    limits: PackingLimits,
    startup_count: u32,
    max_starts: usize,
) -> PlacementResult {
    let mut packer = Packer::new(jobs, machines, limits);
    let mut queues = Queues::new(jobs);
    let mut starts_seen = 0;
    while packer.result.starts.len() < max_starts {
        if packer.result.starts.len() > starts_seen {
            starts_seen = packer.result.starts.len();
            packer.close_full_machines();
        }
        queues.skip_batch_while(|job| packer.remaining(job) == 0);
        queues.skip_startup_while(|job| !packer.has_startup_task(job, startup_count));
        let Some(head) = queues.batch_head() else {
            break;
        };
        if packer.may_reserve(head) {
            packer.place_or_reserve(head);
            if packer.progress[head].deferred && !packer.progress[head].exhausted {
                queues.defer_batch_head(jobs);
            }
        } else if let Some(startup) = queues.startup_head().filter(|startup| *startup != head)
            && packer.startup_may_pass(startup, head)
        {
            packer.place_tasks(startup, 1);
        } else {
            let remaining_starts = max_starts - packer.result.starts.len();
            packer.place_tasks(head, remaining_starts);
        }
    }
    packer.result.slots_examined = packer.machines.slots_examined();
    packer.result
}

impl<'a> Packer<'a> {
    fn new(
        jobs: &'a [JobSnapshot],
        machines: &'a mut [MachineSnapshot],
        limits: PackingLimits,
    ) -> Self {
        let requested_cpus = jobs.iter().map(|job| job.resources.cpus);
        let least_cpus = requested_cpus.fold(f64::INFINITY, f64::min);
        let free: Vec<Resources> = machines.iter().map(|m| m.free_at(0.0)).collect();
        let mut machines = MachineIndex::new(machines);
        machines
            .open(|m| free[m].cpus + ROUNDING_TOLERANCE >= least_cpus && free[m].memory_gb > 0.0);
        Self {
            jobs,
            progress: jobs.iter().map(PackingProgress::new).collect(),
            headroom: limits.headroom.clone(),
            reservation_delay_s: limits.reservation_delay_s,
            teams_looked_ahead: HashSet::new(),
            machines,
            free,
            reserved_machines: 0,
            lookaheads: 0,
            least_cpus,
            result: PlacementResult::default(),
        }
    }

    fn close_full_machines(&mut self) {
        let (free, least_cpus) = (&self.free, self.least_cpus);
        self.machines
            .retain_open(|m| free[m].cpus + ROUNDING_TOLERANCE >= least_cpus);
    }

    /// Number of the job's tasks that were not started yet and may still be.
    fn remaining(&self, job: usize) -> usize {
        let progress = &self.progress[job];
        if progress.exhausted {
            0
        } else {
            self.jobs[job].waiting.len() - progress.next_task
        }
    }

    /// Number of the remaining tasks that the team's quota permits.
    fn permitted(&self, job: usize) -> usize {
        self.remaining(job)
            .min(self.headroom.tasks(&self.jobs[job]))
    }

    /// Whether a startup task of the job may start.
    fn has_startup_task(&self, job: usize, startup_count: u32) -> bool {
        self.permitted(job) > 0
            && self.progress[job].started < startup_count
            && !self.may_reserve(job)
    }

    /// Plans the start of the job's next `tasks` tasks on one machine.
    fn start(&mut self, job: usize, candidate: &Candidate, tasks: usize) {
        let snapshot = &self.jobs[job];
        let progress = &mut self.progress[job];
        let machine = candidate.machine;
        let positions = progress.next_task..progress.next_task + tasks;
        let started = positions.filter_map(|position| snapshot.waiting.get(position));
        let starts = started.map(|task| Start { job, task, machine });
        self.result.starts.extend(starts);
        progress.next_task += tasks;
        progress.started += tasks as u32;
        self.headroom.take(snapshot, tasks);
        let zone = self.machines.zone(machine);
        *progress.zones.entry(zone).or_default() += tasks as u32;
        let end = candidate.end.max(MIN_RUN_S);
        let requested = snapshot.resources.scaled(tasks as f64);
        self.machines.occupy(machine, &requested, 0.0, end);
        self.machines.use_image(machine, snapshot.image);
        self.free[machine].sub(&requested);
    }

    /// Plans the start of as many of a job's tasks as there is capacity for, at most `max_tasks`.
    fn place_tasks(&mut self, job: usize, max_tasks: usize) {
        let mut wanted = self.permitted(job).min(max_tasks);
        if wanted == 0 {
            self.progress[job].exhausted = true;
            self.close_headroom_if_due_for_reservation(job);
            return;
        }
        for candidate in self.candidates(job) {
            while wanted > 0 && self.still_fits(job, &candidate) {
                self.start(job, &candidate, 1);
                wanted -= 1;
            }
            if wanted == 0 {
                return;
            }
        }
        self.progress[job].exhausted = true;
        self.result.unplaced.push(Unplaced {
            job,
            start: None,
            reserved: false,
        });
    }

    /// Whether one more task fits on a candidate; tasks may have been placed there since it was found.
    fn still_fits(&self, job: usize, candidate: &Candidate) -> bool {
        let snapshot = &self.jobs[job];
        let machine = &self.machines.machines()[candidate.machine];
        machine.accommodates(&snapshot.resources, &self.free[candidate.machine])
            && snapshot.may_add_in_zone(&self.progress[job].zones, machine.zone)
            && machine.respects_reservations(&snapshot.resources, candidate.end)
    }

    /// Stops further starts of the team if the job's next task exceeds the team's headroom, has waited long
    /// enough and would fit on a machine now, so that quota becomes free for it. Does nothing if quota is
    /// reserved for another job of the team.
    fn close_headroom_if_due_for_reservation(&mut self, job: usize) {
        let snapshot = &self.jobs[job];
        let is_due = self
            .headroom
            .is_due_for_reservation(snapshot, 1, self.reservation_delay_s);
        let is_reserved = self.headroom.is_reserved_for_other(snapshot);
        if is_due && !is_reserved && self.candidates(job).next().is_some() {
            self.headroom.close(snapshot.team);
        }
    }

    /// Whether a startup task may go ahead of the head of the batch queue: only if the head would still be
    /// in time (a condition of the CVSS paper), or cannot start now in any case. The head can lose at most
    /// one of the machines on which it could start now.
    fn startup_may_pass(&mut self, startup: usize, head: usize) -> bool {
        let mut head_candidates = self.candidates(head);
        let Some(best) = head_candidates.next() else {
            return true; // the head cannot start now in any case
        };
        if self.jobs[head].is_late(0.0, best.fetch, best.end) {
            return false;
        }
        let Some(taken) = self.candidates(startup).next() else {
            return true;
        };
        if taken.machine != best.machine {
            return true; // the head keeps its machine and is in time there
        }
        if let Some(other) = head_candidates.next() {
            return !self.jobs[head].is_late(0.0, other.fetch, other.end);
        }
        let mut beside = self.free[best.machine];
        beside.sub(&self.jobs[startup].resources);
        // If both do not fit, the head would wait for the end of the startup task.
        let (wait, run) = (taken.end, best.end - best.fetch);
        self.jobs[head].resources.fits(&beside) || !self.jobs[head].is_late(wait, 0.0, wait + run)
    }
}

/// Shortest time for which a started task occupies its machine, so that its capacity never counts as free
/// now.
const MIN_RUN_S: f64 = 0.001;
