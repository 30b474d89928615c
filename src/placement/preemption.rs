//! Making room: tasks that are stopped so that work of higher priority, or of a team within its
//! guarantee, starts in time; and tasks that save before the cloud takes their machine.

use super::packing::Unplaced;
use super::{JobSnapshot, MachineSnapshot, Resources};
use crate::jobs::{TaskId, Urgency};
use std::collections::{HashMap, HashSet};

/// A task on a machine, as far as stopping it goes.
#[derive(Debug, Clone)]
pub struct RunningTask {
    pub id: TaskId,
    pub attempt: u64,
    pub resources: Resources,
    pub urgency: Urgency,
    /// Its team uses more than its guarantee: it may be stopped for a team within its own.
    pub borrowing: bool,
    /// Seconds of work that stopping it would lose.
    pub lost_s: f64,
    pub grace_s: f64,
    /// It is being stopped already, or part of a larger gang, which is left alone.
    pub not_preemptible: bool,
}

/// A job that may make room for itself.
#[derive(Debug, Clone, Copy)]
pub struct PreemptionRequest {
    pub urgency: Urgency,
    /// Its team's unfinished jobs all fit into its guarantee.
    pub guaranteed: bool,
}

/// Most work that is lost for a start, in seconds of the starting tasks' own size. Beyond it the
/// work done twice makes more tasks late than it saves.
const MOST_LOST_S: f64 = 2.0;
/// A gang of many tasks stops others only when it has waited too long to begin: tried for every
/// gang that would be late, it cost a quarter of all small tasks their first run.
const MOST_LOST_FOR_GANG_S: f64 = 15.0;

fn may_preempt(request: &PreemptionRequest, victim: &RunningTask) -> bool {
    !victim.not_preemptible
        && (victim.urgency < request.urgency || (request.guaranteed && victim.borrowing))
}

/// A machine, and the tasks there that give way.
type ClearedMachine = (usize, Vec<TaskId>);

/// What makes room.
#[derive(Debug, Default)]
pub struct PreemptionPlan {
    /// Tasks to stop, with their attempt and the grace for saving.
    pub stops: Vec<(TaskId, u64, f64)>,
    /// Machines that are cleared, each for one job.
    pub cleared: Vec<(usize, Vec<usize>)>,
}

/// Which tasks to stop. Jobs that would be late where they are expected to start, and in time if
/// room were made, make room; each on the machines where least is lost. A gang needs room for
/// all its tasks, in one zone where it must share one.
pub fn plan_preemption(
    jobs: &[JobSnapshot],
    preemption_requests: &[PreemptionRequest],
    unplaced: &[Unplaced],
    machines: &[MachineSnapshot],
    running_tasks: &dyn Fn(&str) -> Vec<RunningTask>,
    stop_takes_s: f64,
    most: usize,
) -> PreemptionPlan {
    let mut made = PreemptionPlan::default();
    let mut touched: HashSet<usize> = HashSet::new();
    let mut running_on: HashMap<usize, Vec<RunningTask>> = HashMap::new();
    let mut order: Vec<&Unplaced> = unplaced.iter().collect();
    order.sort_by(|a, b| {
        let (a, b) = (a.job, b.job);
        let urgency = preemption_requests[b]
            .urgency
            .cmp(&preemption_requests[a].urgency);
        urgency.then(jobs[a].due.total_cmp(&jobs[b].due))
    });
    for wait in order {
        let (job, request) = (&jobs[wait.job], &preemption_requests[wait.job]);
        if touched.len() >= most {
            break;
        }
        let soon = |start: f64| {
            start <= stop_takes_s * 2.0 || !job.is_late(start, 0.0, start + job.duration)
        };
        let clearing = machines.iter().any(|m| m.reserved_for == Some(wait.job));
        let may_wait = job.gang && job.waiting.len() > 1 && (!wait.reserved || job.due > 0.0);
        if wait.start.is_some_and(soon) || may_wait || clearing {
            continue;
        }
        let size = if job.gang { job.waiting.len() } else { 1 };
        let mut best: Option<(f64, Vec<ClearedMachine>)> = None;
        for zone in zones_for(job, machines) {
            let mut chances = Vec::new();
            for (index, machine) in machines.iter().enumerate() {
                if zone.is_some_and(|z| z != machine.zone)
                    || touched.contains(&index)
                    || machine.reservations.iter().any(|h| h.job != wait.job)
                    || !job.may_use(machine)
                    || !job.may_add_in_zone(&job.zones, machine.zone)
                {
                    continue;
                }
                let fetch = machine.fetch_time(job);
                let start = stop_takes_s;
                let end = start + fetch + job.duration * machine.slowness;
                if job.is_late(start, fetch, end) && !job.gang {
                    continue;
                }
                let running_on = running_on
                    .entry(index)
                    .or_insert_with(|| running_tasks(&machine.name));
                if let Some((lost, victims)) = victims(&job.resources, request, machine, running_on)
                {
                    let victims: Vec<TaskId> = victims.iter().map(|v| v.id.clone()).collect();
                    chances.push((lost, index, victims));
                }
            }
            chances.sort_by(|a, b| a.0.total_cmp(&b.0));
            chances.truncate(size);
            let lost: f64 = chances.iter().map(|c| c.0).sum();
            let bearable = match job.gang && size > 1 {
                true => MOST_LOST_FOR_GANG_S,
                false => MOST_LOST_S,
            };
            let limit = bearable * job.resources.cpus.max(job.resources.gpus * 8.0) * size as f64;
            let enough = chances.len() == size && lost <= limit;
            if enough && best.as_ref().is_none_or(|(least, _)| lost < *least) {
                let chosen = chances.into_iter().map(|c| (c.1, c.2)).collect();
                best = Some((lost, chosen));
            }
        }
        let Some((_, chosen)) = best else {
            continue;
        };
        let cleared = chosen.iter().map(|(machine, _)| *machine);
        tracing::debug!(job = job.id, size, due = job.due, start = ?wait.start, "clearing machines");
        made.cleared.push((wait.job, cleared.collect()));
        for (machine, victims) in chosen {
            touched.insert(machine);
            for running_task in &running_on[&machine] {
                if victims.contains(&running_task.id) {
                    made.stops.push((
                        running_task.id.clone(),
                        running_task.attempt,
                        running_task.grace_s,
                    ));
                }
            }
        }
    }
    made
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

/// The tasks of a machine whose stopping frees enough at the least loss; none where it has room.
fn victims<'a>(
    resources: &Resources,
    request: &PreemptionRequest,
    machine: &MachineSnapshot,
    running_on: &'a [RunningTask],
) -> Option<(f64, Vec<&'a RunningTask>)> {
    let mut available = Resources::default();
    for slot in machine.free_slots.iter().filter(|c| c.at <= 0.0) {
        available.add(&slot.available);
    }
    let mut candidates: Vec<&RunningTask> = running_on
        .iter()
        .filter(|v| may_preempt(request, v))
        .collect();
    candidates.sort_by(|a, b| a.lost_s.total_cmp(&b.lost_s));
    let mut chosen = Vec::new();
    let mut lost = 0.0;
    for victim in candidates {
        if resources.fits(&available) {
            break;
        }
        available.add(&victim.resources);
        lost += victim.lost_s * victim.resources.cpus.max(victim.resources.gpus * 8.0);
        chosen.push(victim);
    }
    resources.fits(&available).then_some((lost, chosen))
}

#[cfg(test)]
mod tests;
