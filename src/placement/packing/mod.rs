//! What can start now. The cost follows the machines that have free capacity, not the fleet's size;
//! only gangs and tasks that fill a machine look further ahead, to have capacity reserved for them.

mod candidates;
mod whole;

use super::index::MachineIndex;
use super::queue::Queues;
use super::quota_headroom::QuotaHeadroom;
use super::{JobSnapshot, MachineSnapshot, Resources, SLACK, Start, TasksByZone};
use candidates::Candidate;
use std::collections::HashSet;

/// A job for which no capacity was found.
#[derive(Debug, Clone, PartialEq)]
pub struct Unplaced {
    /// Index of the job in the snapshot.
    pub job: usize,
    /// Seconds until it would start if it waits, if known.
    pub start: Option<f64>,
    /// Whether the capacity that it waits for is reserved: otherwise smaller work would take it again.
    pub reserved: bool,
}

/// What one packing decided.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct PlacementResult {
    /// Tasks that start now.
    pub starts: Vec<Start>,
    /// Jobs that must wait.
    pub unplaced: Vec<Unplaced>,
    /// Gangs that wait for their team's quota alone, or nearly so: machines are free for them soon.
    pub quota_blocked_gangs: Vec<usize>,
    /// Cost of the packing, in machines looked at.
    pub machines_examined: u64,
}

/// Limits that apply to one packing.
#[derive(Debug, Clone, Copy)]
pub struct PackingLimits<'a> {
    /// What limited teams may still start.
    pub headroom: &'a QuotaHeadroom,
    /// After so many seconds that a team's quota has held a gang up, quota that becomes free is reserved
    /// for it.
    pub reservation_delay_s: f64,
}

/// How far the packing of one job has come.
struct JobProgress {
    /// Index into the job's waiting tasks.
    next_task: usize,
    /// Tasks that were started, before and now.
    started: u32,
    zones: TasksByZone,
    /// Nothing more of it can start now.
    exhausted: bool,
    /// It cannot meet its first due time any more, and goes by the next one.
    deferred: bool,
}

impl JobProgress {
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
    progress: Vec<JobProgress>,
    headroom: QuotaHeadroom,
    reservation_delay_s: f64,
    /// Limited teams of which a gang that waits for the quota has had machines reserved.
    looked_ahead_for: HashSet<usize>,
    machines: MachineIndex<'a>,
    /// What is free now on each machine.
    free: Vec<Resources>,
    reserved_machines: usize,
    /// Jobs whose future start was worked out.
    lookaheads: usize,
    /// The least CPUs that any task requests: machines with less are closed.
    least_cpus: f64,
    result: PlacementResult,
}

/// Plans the starts of this cycle, at most `max_starts`. The first `startup_count` tasks of each job are
/// startup tasks.
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
        if packer.is_placed_whole(head) {
            packer.place_whole(head);
            if packer.progress[head].deferred && !packer.progress[head].exhausted {
                queues.defer_batch_head(jobs);
            }
        } else if let Some(first) = queues.startup_head().filter(|first| *first != head)
            && packer.startup_may_pass(first, head)
        {
            packer.place_tasks(first, 1);
        } else {
            let remaining_starts = max_starts - packer.result.starts.len();
            packer.place_tasks(head, remaining_starts);
        }
    }
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
        machines.open(|m| free[m].cpus + SLACK >= least_cpus && free[m].memory_gb > 0.0);
        Self {
            jobs,
            progress: jobs.iter().map(JobProgress::new).collect(),
            headroom: limits.headroom.clone(),
            reservation_delay_s: limits.reservation_delay_s,
            looked_ahead_for: HashSet::new(),
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
            .retain_open(|m| free[m].cpus + SLACK >= least_cpus);
    }

    /// Tasks of the job that were not started yet and may still be.
    fn remaining(&self, job: usize) -> usize {
        let progress = &self.progress[job];
        if progress.exhausted {
            0
        } else {
            self.jobs[job].waiting.len() - progress.next_task
        }
    }

    /// Of the remaining tasks, those that the team's quota permits.
    fn permitted(&self, job: usize) -> usize {
        self.remaining(job)
            .min(self.headroom.tasks(&self.jobs[job]))
    }

    /// Whether a startup task of the job may start.
    fn has_startup_task(&self, job: usize, startup_count: u32) -> bool {
        self.permitted(job) > 0
            && self.progress[job].started < startup_count
            && !self.is_placed_whole(job)
    }

    /// Starts the job's next task.
    fn start(&mut self, job: usize, candidate: &Candidate) {
        let view = &self.jobs[job];
        let progress = &mut self.progress[job];
        let task = view.waiting[progress.next_task];
        progress.next_task += 1;
        progress.started += 1;
        self.headroom.take(view, 1);
        let machine = candidate.machine;
        let zone = self.machines.zone(machine);
        *progress.zones.entry(zone).or_default() += 1;
        let end = candidate.end.max(MIN_RUN_S);
        self.machines.occupy(machine, &view.resources, 0.0, end);
        self.machines.use_image(machine, view.image);
        self.free[machine].sub(&view.resources);
        self.result.starts.push(Start { job, task, machine });
    }

    /// Starts as many of a job's tasks as find capacity, at most `max_tasks`.
    fn place_tasks(&mut self, job: usize, max_tasks: usize) {
        let mut wanted = self.permitted(job).min(max_tasks);
        if wanted == 0 {
            self.progress[job].exhausted = true;
            self.close_headroom_if_overdue(job);
            return;
        }
        for candidate in self.candidates(job) {
            while wanted > 0 && self.still_fits(job, &candidate) {
                self.start(job, &candidate);
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

    /// Whether one more task fits on a candidate, after what was started since it was found.
    fn still_fits(&self, job: usize, candidate: &Candidate) -> bool {
        let view = &self.jobs[job];
        let machine = &self.machines.machines()[candidate.machine];
        machine.accommodates(&view.resources, &self.free[candidate.machine])
            && view.may_add_in_zone(&self.progress[job].zones, machine.zone)
            && machine.respects_reservations(&view.resources, candidate.end)
    }

    /// Stops further starts of the team for a task that is larger than what the team has left, that has
    /// waited for long enough and that a machine could take now; not where quota is reserved for a gang.
    fn close_headroom_if_overdue(&mut self, job: usize) {
        let view = &self.jobs[job];
        let is_overdue = self.headroom.is_overdue(view, 1, self.reservation_delay_s);
        let is_reserved = self.headroom.is_reserved_for_other(view);
        if is_overdue && !is_reserved && self.candidates(job).next().is_some() {
            self.headroom.close(view.team);
        }
    }

    /// The paper's guard: a startup task goes ahead only if the batch head would still be in time. What the
    /// head would lose is one of the places that are free now.
    fn startup_may_pass(&mut self, startup: usize, head: usize) -> bool {
        let mut head_candidates = self.candidates(head);
        let Some(best) = head_candidates.next() else {
            return true; // the head cannot start now whatever happens
        };
        if self.jobs[head].is_late(0.0, best.fetch, best.end) {
            return false;
        }
        let Some(taken) = self.candidates(startup).next() else {
            return true;
        };
        if taken.machine != best.machine {
            return true; // the head keeps its place, and is in time there
        }
        if let Some(other) = head_candidates.next() {
            return !self.jobs[head].is_late(0.0, other.fetch, other.end);
        }
        let mut beside = self.free[best.machine];
        beside.sub(&self.jobs[startup].resources);
        // Otherwise it would wait for the startup task's end.
        let (wait, run) = (taken.end, best.end - best.fetch);
        self.jobs[head].resources.fits(&beside) || !self.jobs[head].is_late(wait, 0.0, wait + run)
    }
}

/// Shortest time for which a started task occupies its machine, so that its slot is never free now.
const MIN_RUN_S: f64 = 0.001;
