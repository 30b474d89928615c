//! Plans evictions of gangs that lost a task and of tasks on machines that the cloud is about to reclaim,
//! and resets the tasks of machines that are gone to waiting. Planned evictions are entered in
//! `pending_stops`, from which `workers` sends the stop commands.

use crate::jobs::{JobSpec, TaskId, TaskRecord};
use crate::node::{Core, Node};
use crate::placement::preemption::Eviction;
use crate::workers::TaskAttempt;
use std::ops::Range;
use std::time::Instant;

/// Time that a task is allowed for saving its checkpoint, as a multiple of the expected time.
const SAVE_MARGIN_FACTOR: f64 = 1.25;
/// Heartbeat intervals, in addition to `COMMAND_MARGIN_S`, that are allowed for the stop command to reach
/// the worker: it is sent with the response to a heartbeat.
const COMMAND_MARGIN_INTERVALS: f64 = 1.5;
const COMMAND_MARGIN_S: f64 = 1.5;

/// Plans to stop an attempt of a task. If the attempt's start is planned but not recorded, the planned start
/// is discarded instead.
pub(super) fn evict(core: &mut Core, eviction: Eviction) {
    let Eviction {
        task,
        attempt,
        grace_s,
    } = eviction;
    if let TaskRecord::Placed { machine, .. } = core.task_record(&task.job, task.index) {
        let machine = machine.clone();
        core.pending_changes.mark_machine_changed(&machine);
    }
    let recorded = core.replica.task_record(&task.job, task.index);
    if !matches!(recorded, TaskRecord::Placed { attempt: recorded, .. } if *recorded == attempt) {
        // No record holds the attempt, and none is being written while a cycle plans. So the attempt has
        // not started and never will, and its capacity is free at once.
        core.discard_change(&task);
        return;
    }
    let stopped = TaskAttempt { task, attempt };
    let stops = &mut core.workers.pending_stops;
    stops.entry(stopped).or_insert(grace_s);
}

/// Evicts the tasks of gangs that lost a task before any completed. Such a gang cannot complete: its other
/// tasks would hold their capacity until they detect the loss or their wait for the lost task times out.
pub(super) fn evict_broken_gangs(core: &mut Core) {
    let mut evictions = Vec::new();
    for (id, progress) in &core.snapshots.jobs {
        if progress.placed == 0 || progress.done > 0 || progress.waiting.is_empty() {
            continue;
        }
        let job = core.replica.jobs.get(id);
        if let Some(gang) = job.filter(|j| j.record.spec.is_gang()) {
            let tasks = 0..gang.record.spec.tasks;
            evictions.extend(evictions_of(core, id, tasks, 0.0));
        }
    }
    for eviction in evictions {
        evict(core, eviction);
    }
}

/// Evicts tasks that would not end before the cloud reclaims their machine, once it has given notice. Tasks
/// that can save a checkpoint are stopped as late as saving permits, the others at once.
pub(super) fn evict_before_cloud_preemption(node: &Node, core: &mut Core, now: Instant) {
    let report_s = node.settings.params.workers.report_s;
    let mut evictions = Vec::new();
    for (machine, worker) in &core.workers.agents {
        let Some(reclaimed_at) = worker.preemption_at else {
            continue;
        };
        let left_s = reclaimed_at.saturating_duration_since(now).as_secs_f64();
        for id in core
            .replica
            .tasks_by_machine
            .get(machine)
            .into_iter()
            .flatten()
        {
            let Some(job) = core.replica.jobs.get(&id.job) else {
                continue;
            };
            let spec = &job.record.spec;
            let ran = worker.attempts.running_for(id, now);
            let ran_s = ran.map_or(0.0, |ran| ran.as_secs_f64());
            let ends_in_time = core.expected_run_time_s(spec) - ran_s < left_s;
            let can_save = spec.checkpoint_interval_s > 0.0;
            if ends_in_time || (can_save && left_s > save_lead_time_s(spec, report_s)) {
                continue;
            }
            let grace_s = if can_save {
                left_s.max(spec.checkpoint_write_s)
            } else {
                0.0
            };
            let tasks = evicted_together(spec, id.index);
            evictions.extend(evictions_of(core, &id.job, tasks, grace_s));
        }
    }
    for eviction in evictions {
        evict(core, eviction);
    }
}

/// How many seconds before the cloud reclaims a machine the stop of a task must be planned, so that the task
/// can save its checkpoint.
fn save_lead_time_s(spec: &JobSpec, report_s: f64) -> f64 {
    spec.checkpoint_write_s * SAVE_MARGIN_FACTOR
        + report_s * COMMAND_MARGIN_INTERVALS
        + COMMAND_MARGIN_S
}

/// The tasks that are evicted together with one: all tasks of a gang, since they save together or not at all;
/// of an array only the task itself.
fn evicted_together(spec: &JobSpec, task: u32) -> Range<u32> {
    if spec.is_gang() {
        0..spec.tasks
    } else {
        task..task + 1
    }
}

/// Evictions of those of the given tasks that are placed on machines.
fn evictions_of(
    core: &Core,
    job: &str,
    tasks: Range<u32>,
    grace_s: f64,
) -> impl Iterator<Item = Eviction> {
    tasks.filter_map(move |task| match core.task_record(job, task) {
        TaskRecord::Placed { attempt, .. } => Some(Eviction {
            task: TaskId::new(job, task),
            attempt: *attempt,
            grace_s,
        }),
        _ => None,
    })
}

/// Plans that tasks wait again if their machine's record no longer exists: it is deleted only once the
/// machine is known to be gone.
pub(super) fn reset_tasks_of_gone_machines(node: &Node, core: &mut Core) {
    let machines = &core.replica.fleet.machines;
    let lost: Vec<_> = core
        .replica
        .tasks_by_machine
        .iter()
        .filter(|(machine, _)| !machines.contains_key(*machine))
        .flat_map(|(_, tasks)| tasks.iter().cloned())
        .filter(|task| core.owns_job(&node.identity, &task.job))
        .collect();
    for id in lost {
        if let TaskRecord::Placed {
            attempt, machine, ..
        } = core.task_record(&id.job, id.index)
            && !core.replica.fleet.machines.contains_key(machine)
        {
            let last = *attempt;
            core.record_change(&id, TaskRecord::Waiting { last });
        }
    }
}
