//! Preemption: which running tasks are evicted so that work of higher urgency, or of a team within its
//! guarantee, starts in time. Only plans; the placement service records and carries out.

use super::packing::Unplaced;
use super::{JobSnapshot, MachineSnapshot, Resources};
use crate::jobs::{TaskId, Urgency};
use std::collections::{HashMap, HashSet};

/// A task on a machine, as far as preempting it goes.
#[derive(Debug, Clone)]
pub struct RunningTask {
    /// The task.
    pub id: TaskId,
    /// The attempt that runs.
    pub attempt: u64,
    /// What it takes of its machine.
    pub resources: Resources,
    /// Its job's urgency.
    pub urgency: Urgency,
    /// Its team uses more than its guarantee: it may be preempted for a team within its own.
    pub borrowing: bool,
    /// Seconds of work that preempting it would lose.
    pub lost_s: f64,
    /// Seconds that it is given to save a checkpoint.
    pub grace_s: f64,
    /// It is being stopped already, or is part of a gang of several tasks.
    pub not_preemptible: bool,
}

/// What a waiting job may preempt.
#[derive(Debug, Clone, Copy)]
pub struct PreemptionRequest {
    /// It may preempt tasks of lower urgency.
    pub urgency: Urgency,
    /// Its team's unfinished jobs all fit into its guarantee: it may preempt borrowed capacity.
    pub guaranteed: bool,
}

impl PreemptionRequest {
    fn may_preempt(&self, victim: &RunningTask) -> bool {
        let is_less_urgent = victim.urgency < self.urgency;
        !victim.not_preemptible && (is_less_urgent || (self.guaranteed && victim.borrowing))
    }
}

/// What a plan is made from.
pub struct PreemptionInput<'a> {
    /// All jobs of the snapshot.
    pub jobs: &'a [JobSnapshot],
    /// Per job, what it may preempt.
    pub requests: &'a [PreemptionRequest],
    /// Jobs for which packing found no capacity.
    pub unplaced: &'a [Unplaced],
    /// All machines of the snapshot, after packing.
    pub machines: &'a [MachineSnapshot],
    /// The tasks of a machine, by the machine's name.
    pub running_tasks: &'a dyn Fn(&str) -> Vec<RunningTask>,
    /// Seconds from the decision until the capacity is free.
    pub eviction_takes_s: f64,
    /// Most machines to evict tasks from.
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

/// Machines on which a job's preemption frees capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct ClearedMachines {
    /// Index of the job.
    pub job: usize,
    /// Indices of the machines.
    pub machines: Vec<usize>,
}

/// Which tasks to evict, and for whom the capacity is.
#[derive(Debug, Default)]
pub struct PreemptionPlan {
    /// Tasks to evict.
    pub evictions: Vec<Eviction>,
    /// Machines to reserve, for one job each.
    pub cleared: Vec<ClearedMachines>,
}

/// Most work that may be lost for a start, in seconds of the starting tasks' own size. Beyond it the
/// work done twice makes more tasks late than it saves.
const MAX_LOST_S: f64 = 2.0;
/// A gang of several tasks preempts only when it has waited too long to begin: tried for every
/// gang that would be late, it cost a quarter of all small tasks their first run.
const MAX_LOST_FOR_GANG_S: f64 = 15.0;
/// CPUs whose loss weighs as much as that of one GPU.
const CPUS_PER_GPU: f64 = 8.0;

/// Plans preemption for jobs that would be late where they are expected to start, and in time if capacity
/// were freed; each on the machines where least work is lost. A gang needs capacity for all its tasks, in
/// one zone where it must share one.
pub fn plan_preemption(input: &PreemptionInput) -> PreemptionPlan {
    let mut planner = Planner {
        input,
        used_machines: HashSet::new(),
        running_on: HashMap::new(),
        plan: PreemptionPlan::default(),
    };
    for unplaced in by_urgency(input) {
        if planner.used_machines.len() >= input.max_machines {
            break;
        }
        if planner.should_preempt(unplaced)
            && let Some(option) = planner.best_option(unplaced)
        {
            planner.take(unplaced, option);
        }
    }
    planner.plan
}

/// The unplaced jobs, most urgent first, then by due time.
fn by_urgency<'a>(input: &PreemptionInput<'a>) -> Vec<&'a Unplaced> {
    let mut order: Vec<&Unplaced> = input.unplaced.iter().collect();
    order.sort_by(|a, b| {
        let (a, b) = (a.job, b.job);
        let urgency = input.requests[b].urgency.cmp(&input.requests[a].urgency);
        urgency.then(input.jobs[a].due.total_cmp(&input.jobs[b].due))
    });
    order
}

/// Evictions that free capacity for one task on one machine.
struct MachineOption {
    machine: usize,
    /// Work that is lost, in seconds weighted by size.
    lost: f64,
    victims: Vec<TaskId>,
}

/// Evictions that free capacity for a whole job.
struct JobOption {
    lost: f64,
    machines: Vec<MachineOption>,
}

struct Planner<'a> {
    input: &'a PreemptionInput<'a>,
    /// Machines that tasks are evicted from by the plan so far.
    used_machines: HashSet<usize>,
    /// Tasks of the machines that were looked at.
    running_on: HashMap<usize, Vec<RunningTask>>,
    plan: PreemptionPlan,
}

impl Planner<'_> {
    /// Whether waiting would make the job late and no eviction is under way for it.
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

    /// The option with the least loss, if any loses little enough.
    fn best_option(&mut self, unplaced: &Unplaced) -> Option<JobOption> {
        let input = self.input;
        let job = &input.jobs[unplaced.job];
        let size = if job.gang { job.waiting.len() } else { 1 };
        let max_lost = max_lost(job, size);
        let mut best: Option<JobOption> = None;
        for zone in zones_for(job, input.machines) {
            let mut machines = self.machine_options(unplaced.job, zone);
            machines.sort_by(|a, b| a.lost.total_cmp(&b.lost));
            machines.truncate(size);
            let lost: f64 = machines.iter().map(|option| option.lost).sum();
            let is_enough = machines.len() == size && lost <= max_lost;
            if is_enough && best.as_ref().is_none_or(|best| lost < best.lost) {
                best = Some(JobOption { lost, machines });
            }
        }
        best
    }

    /// Machines of a zone (any if `None`) on which a task of the job could run after evictions.
    fn machine_options(&mut self, job: usize, zone: Option<u32>) -> Vec<MachineOption> {
        let input = self.input;
        let (view, request) = (&input.jobs[job], &input.requests[job]);
        let mut options = Vec::new();
        for (index, machine) in input.machines.iter().enumerate() {
            if zone.is_some_and(|zone| zone != machine.zone)
                || self.used_machines.contains(&index)
                || !may_use(job, view, machine)
                || (!view.gang && self.is_late_on(view, machine))
            {
                continue;
            }
            let running = self.running_on.entry(index);
            let running = running.or_insert_with(|| (input.running_tasks)(&machine.name));
            if let Some((lost, victims)) = least_loss(view, request, machine, running) {
                options.push(MachineOption {
                    machine: index,
                    lost,
                    victims,
                });
            }
        }
        options
    }

    /// Whether a task would be late on a machine even if evictions began now.
    fn is_late_on(&self, job: &JobSnapshot, machine: &MachineSnapshot) -> bool {
        let start = self.input.eviction_takes_s;
        let fetch = machine.fetch_time(job);
        let end = start + fetch + job.duration * machine.slowness;
        job.is_late(start, fetch, end)
    }

    fn take(&mut self, unplaced: &Unplaced, option: JobOption) {
        let job = &self.input.jobs[unplaced.job];
        let size = option.machines.len();
        tracing::debug!(job = job.id, size, due = job.due, start = ?unplaced.start, "preemption planned");
        self.plan.cleared.push(ClearedMachines {
            job: unplaced.job,
            machines: option.machines.iter().map(|m| m.machine).collect(),
        });
        for chosen in option.machines {
            self.used_machines.insert(chosen.machine);
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

/// Work that may be lost for a job, in seconds weighted by size.
fn max_lost(job: &JobSnapshot, size: usize) -> f64 {
    let max_lost_s = if job.gang && size > 1 {
        MAX_LOST_FOR_GANG_S
    } else {
        MAX_LOST_S
    };
    max_lost_s * weight(&job.resources) * size as f64
}

/// Weight of a task's size when lost work is compared.
fn weight(resources: &Resources) -> f64 {
    resources.cpus.max(resources.gpus * CPUS_PER_GPU)
}

/// Whether a job may run on a machine that no other job has reserved.
fn may_use(job: usize, view: &JobSnapshot, machine: &MachineSnapshot) -> bool {
    let is_reserved = machine.reservations.iter().any(|r| r.job != job);
    !is_reserved && view.may_use(machine) && view.may_add_in_zone(&view.zones, machine.zone)
}

/// Zones of the machines, each by itself where all tasks of the job must share one.
fn zones_for(job: &JobSnapshot, machines: &[MachineSnapshot]) -> Vec<Option<u32>> {
    if !job.one_zone {
        return vec![None];
    }
    let mut zones: Vec<u32> = machines.iter().map(|m| m.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.into_iter().map(Some).collect()
}

/// The tasks of a machine whose eviction frees enough, and the loss: none if enough is free already.
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
