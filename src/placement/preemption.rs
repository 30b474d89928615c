//! Preemption: chooses running tasks to evict so that work of higher urgency, or of a team within its
//! guaranteed quota, starts in time. Only plans; the placement service carries out the evictions.

use super::packing::Unplaced;
use super::{JobSnapshot, MachineSnapshot, Resources};
use crate::jobs::{TaskId, Urgency};
use std::collections::{HashMap, HashSet};

/// A task on a machine, with what decides whether it is preempted.
#[derive(Debug, Clone)]
pub struct RunningTask {
    /// The task.
    pub id: TaskId,
    /// The attempt that runs.
    pub attempt: u64,
    /// The capacity that it uses on its machine.
    pub resources: Resources,
    /// Its job's urgency.
    pub urgency: Urgency,
    /// Whether its team uses more than its guaranteed quota: the task may be preempted for a team within
    /// its own.
    pub borrowing: bool,
    /// Seconds of work that would be lost if it is preempted.
    pub lost_s: f64,
    /// Seconds that it is given to save a checkpoint.
    pub grace_s: f64,
    /// Whether it is already being stopped or belongs to a gang of several tasks.
    pub not_preemptible: bool,
}

/// What a waiting job may preempt.
#[derive(Debug, Clone, Copy)]
pub struct PreemptionRequest {
    /// The job's urgency: it may preempt tasks of lower urgency.
    pub urgency: Urgency,
    /// Whether all unfinished jobs of its team fit into the team's guaranteed quota: it may preempt tasks
    /// of teams that use more than theirs.
    pub guaranteed: bool,
}

impl PreemptionRequest {
    fn may_preempt(&self, victim: &RunningTask) -> bool {
        let is_less_urgent = victim.urgency < self.urgency;
        !victim.not_preemptible && (is_less_urgent || (self.guaranteed && victim.borrowing))
    }
}

/// The input for a preemption plan.
pub struct PreemptionInput<'a> {
    /// All jobs of the snapshot.
    pub jobs: &'a [JobSnapshot],
    /// Per job, what it may preempt.
    pub requests: &'a [PreemptionRequest],
    /// Jobs that must wait after packing.
    pub unplaced: &'a [Unplaced],
    /// All machines of the snapshot, after packing.
    pub machines: &'a [MachineSnapshot],
    /// The tasks of a machine, by the machine's name.
    pub running_tasks: &'a dyn Fn(&str) -> Vec<RunningTask>,
    /// Seconds from the decision to evict until the capacity is free.
    pub eviction_takes_s: f64,
    /// Once capacity is cleared on this many machines, no further job is considered.
    pub max_machines: usize,
}

/// A task to evict.
#[derive(Debug, Clone, PartialEq)]
pub struct Eviction {
    /// The task.
    pub task: TaskId,
    /// The attempt that is stopped.
    pub attempt: u64,
    /// Seconds that it is given to save a checkpoint.
    pub grace_s: f64,
}

/// Machines on which capacity is cleared for a job. On some of them, enough may be free without evictions.
#[derive(Debug, Clone, PartialEq)]
pub struct ClearedMachines {
    /// Index of the job.
    pub job: usize,
    /// Indices of the machines.
    pub machines: Vec<usize>,
}

/// The tasks to evict, and the jobs for which they free capacity.
#[derive(Debug, Default)]
pub struct PreemptionPlan {
    /// Tasks to evict.
    pub evictions: Vec<Eviction>,
    /// Per preempting job, the machines to reserve for it.
    pub cleared: Vec<ClearedMachines>,
}

/// Most work that may be lost per starting task, in seconds of work of a task of the same size. If more is
/// lost, repeating the work makes more tasks late than the preemption saves.
const MAX_LOST_S: f64 = 2.0;
/// The same for a gang of several tasks, which preempts only once its due time has passed: when every gang
/// that would be late preempted, a quarter of all small tasks lost their first run.
const MAX_LOST_FOR_GANG_S: f64 = 15.0;
/// Number of CPUs that weigh as much as one GPU when lost work is compared.
const CPUS_PER_GPU: f64 = 8.0;

/// Plans evictions for unplaced jobs that would be late if they waited but in time if capacity were freed,
/// on the machines where the least work is lost. For a gang, capacity is freed for all its tasks at once,
/// within one zone if it must stay in one; whether it would be in time is not checked.
pub fn plan_preemption(input: &PreemptionInput) -> PreemptionPlan {
    let mut planner = Planner {
        input,
        planned_machines: HashSet::new(),
        running_on: HashMap::new(),
        plan: PreemptionPlan::default(),
    };
    for unplaced in unplaced_by_urgency(input) {
        if planner.planned_machines.len() >= input.max_machines {
            break;
        }
        if planner.should_preempt(unplaced)
            && let Some(candidate) = planner.best_candidate(unplaced)
        {
            planner.add_to_plan(unplaced, candidate);
        }
    }
    planner.plan
}

/// The unplaced jobs, most urgent first, then by due time.
fn unplaced_by_urgency<'a>(input: &PreemptionInput<'a>) -> Vec<&'a Unplaced> {
    let mut order: Vec<&Unplaced> = input.unplaced.iter().collect();
    order.sort_by(|a, b| {
        let (a, b) = (a.job, b.job);
        let urgency = input.requests[b].urgency.cmp(&input.requests[a].urgency);
        urgency.then(input.jobs[a].due.total_cmp(&input.jobs[b].due))
    });
    order
}

/// Evictions that free capacity for one task on one machine.
struct MachineCandidate {
    machine: usize,
    /// Lost work in seconds, weighted by the sizes of the evicted tasks.
    lost: f64,
    victims: Vec<TaskId>,
}

/// Evictions that free capacity for a gang or for one task of an array.
struct JobCandidate {
    lost: f64,
    machines: Vec<MachineCandidate>,
}

struct Planner<'a> {
    input: &'a PreemptionInput<'a>,
    /// Machines from which the plan evicts tasks so far.
    planned_machines: HashSet<usize>,
    /// The tasks of the machines that were examined.
    running_on: HashMap<usize, Vec<RunningTask>>,
    plan: PreemptionPlan,
}

impl Planner<'_> {
    /// Whether the job would be late if it waited, and no machine is being cleared for it yet. If its start is
    /// unknown, it counts as late; if it is expected to start within twice the time of an eviction, it waits.
    /// A gang of several tasks waits until capacity is reserved for it and its due time has passed.
    fn should_preempt(&self, unplaced: &Unplaced) -> bool {
        let job = &self.input.jobs[unplaced.job];
        let eviction_takes_s = self.input.eviction_takes_s;
        let is_soon_enough = |start: f64| {
            start <= eviction_takes_s * 2.0 || !job.is_late(start, 0.0, start + job.duration)
        };
        let is_being_cleared = || {
            let mut machines = self.input.machines.iter();
            machines.any(|machine| machine.reserved_for == Some(unplaced.job))
        };
        let is_gang = job.gang && job.waiting.len() > 1;
        let gang_may_wait = is_gang && (!unplaced.reserved || job.due > 0.0);
        !unplaced.start.is_some_and(is_soon_enough) && !gang_may_wait && !is_being_cleared()
    }

    /// The evictions that lose the least work, if they lose no more than is allowed.
    fn best_candidate(&mut self, unplaced: &Unplaced) -> Option<JobCandidate> {
        let input = self.input;
        let job = &input.jobs[unplaced.job];
        let size = if job.gang { job.waiting.len() } else { 1 };
        let max_lost = max_lost(job, size);
        let mut best: Option<JobCandidate> = None;
        for zone in zones_for(job, input.machines) {
            let mut machines = self.machine_candidates(unplaced.job, zone);
            machines.sort_by(|a, b| a.lost.total_cmp(&b.lost));
            machines.truncate(size);
            let lost: f64 = machines.iter().map(|candidate| candidate.lost).sum();
            let is_acceptable = machines.len() == size && lost <= max_lost;
            if is_acceptable && best.as_ref().is_none_or(|best| lost < best.lost) {
                best = Some(JobCandidate { lost, machines });
            }
        }
        best
    }

    /// Machines of a zone (of any zone if `None`) on which a task of the job could run after evictions.
    fn machine_candidates(&mut self, job: usize, zone: Option<u32>) -> Vec<MachineCandidate> {
        let input = self.input;
        let (snapshot, request) = (&input.jobs[job], &input.requests[job]);
        let mut found = Vec::new();
        for (index, machine) in input.machines.iter().enumerate() {
            if zone.is_some_and(|zone| zone != machine.zone)
                || self.planned_machines.contains(&index)
                || !may_use(job, snapshot, machine)
                || (!snapshot.gang && self.is_late_on(snapshot, machine))
            {
                continue;
            }
            let running = self.running_on.entry(index);
            let running = running.or_insert_with(|| (input.running_tasks)(&machine.name));
            if let Some((lost, victims)) = least_loss(snapshot, request, machine, running) {
                found.push(MachineCandidate {
                    machine: index,
                    lost,
                    victims,
                });
            }
        }
        found
    }

    /// Whether a task would be late on a machine even if it were cleared now.
    fn is_late_on(&self, job: &JobSnapshot, machine: &MachineSnapshot) -> bool {
        let start = self.input.eviction_takes_s;
        let fetch = machine.fetch_time(job);
        let end = start + fetch + job.duration * machine.slowness;
        job.is_late(start, fetch, end)
    }

    fn add_to_plan(&mut self, unplaced: &Unplaced, candidate: JobCandidate) {
        let job = &self.input.jobs[unplaced.job];
        let size = candidate.machines.len();
        tracing::debug!(job = job.id, size, due = job.due, start = ?unplaced.start, "preemption planned");
        self.plan.cleared.push(ClearedMachines {
            job: unplaced.job,
            machines: candidate.machines.iter().map(|m| m.machine).collect(),
        });
        for chosen in candidate.machines {
            self.planned_machines.insert(chosen.machine);
            let running = self.running_on[&chosen.machine].iter();
            let victims = running.filter(|task| chosen.victims.contains(&task.id));
            self.plan.evictions.extend(victims.map(|task| Eviction {
                task: task.id.clone(),
                attempt: task.attempt,
                grace_s: task.grace_s,
            }));
        }
    }
}

/// Most work that may be lost for `size` starting tasks of a job, in seconds multiplied by `weight`.
fn max_lost(job: &JobSnapshot, size: usize) -> f64 {
    let max_lost_s = if job.gang && size > 1 {
        MAX_LOST_FOR_GANG_S
    } else {
        MAX_LOST_S
    };
    max_lost_s * weight(&job.resources) * size as f64
}

/// Weight of a task of this size when lost work is compared.
fn weight(resources: &Resources) -> f64 {
    resources.cpus.max(resources.gpus * CPUS_PER_GPU)
}

/// Whether a job may run on a machine, and no other job has a reservation there.
fn may_use(job: usize, snapshot: &JobSnapshot, machine: &MachineSnapshot) -> bool {
    let is_reserved = machine.reservations.iter().any(|r| r.job != job);
    !is_reserved
        && snapshot.may_use(machine)
        && snapshot.may_add_in_zone(&snapshot.zones, machine.zone)
}

/// The zones to try one after another if all tasks of the job must be in one zone; otherwise only `None`,
/// for any zone.
fn zones_for(job: &JobSnapshot, machines: &[MachineSnapshot]) -> Vec<Option<u32>> {
    if !job.one_zone {
        return vec![None];
    }
    let mut zones: Vec<u32> = machines.iter().map(|m| m.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.into_iter().map(Some).collect()
}

/// The lost work and the tasks to evict so that a task of the job fits on a machine. There are no tasks to
/// evict if enough is free already; `None` if evictions cannot free enough.
fn least_loss(
    job: &JobSnapshot,
    request: &PreemptionRequest,
    machine: &MachineSnapshot,
    running: &[RunningTask],
) -> Option<(f64, Vec<TaskId>)> {
    let mut available = Resources::default();
    for slot in machine.free_slots.iter().filter(|slot| slot.at <= 0.0) {
        available.add(&slot.available);
    }
    let running = running.iter();
    let mut candidates: Vec<&RunningTask> = running.filter(|t| request.may_preempt(t)).collect();
    candidates.sort_by(|a, b| a.lost_s.total_cmp(&b.lost_s));
    let mut victims = Vec::new();
    let mut lost = 0.0;
    for victim in candidates {
        if job.resources.fits(&available) {
            break;
        }
        available.add(&victim.resources);
        lost += victim.lost_s * weight(&victim.resources);
        victims.push(victim.id.clone());
    }
    job.resources.fits(&available).then_some((lost, victims))
}

#[cfg(test)]
mod tests;
