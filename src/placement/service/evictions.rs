//! Plans evictions: of gangs that lost a task, and of tasks on machines that the cloud is about to take;
//! and clears the tasks of machines that are gone. Eviction commands are sent by `workers` from the stops
//! that are entered here.

use crate::jobs::{JobSpec, TaskId, TaskRecord};
use crate::node::{Core, Node};
use crate::placement::preemption::Eviction;
use crate::workers::TaskAttempt;
use std::ops::Range;
use std::time::Instant;

/// A saving task gets this many times its expected time for it, ...
const SAVE_MARGIN_FACTOR: f64 = 1.25;
/// ... and this many heartbeat intervals and seconds for the command, which is sent with a heartbeat's
/// response.
const COMMAND_MARGIN_INTERVALS: f64 = 1.5;
const COMMAND_MARGIN_S: f64 = 1.5;

/// Plans that a task be stopped. An attempt that is planned but not recorded is discarded instead.
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
        // Planned and in no record, nor being written into one while a cycle plans: it has not begun
        // and will not, so its capacity is free at once.
        core.discard_change(&task);
        return;
    }
    let stopped = TaskAttempt { task, attempt };
    let stops = &mut core.workers.pending_stops;
    stops.entry(stopped).or_insert(grace_s);
}

/// Evicts the tasks of gangs that lost a task before its end. Such a gang cannot complete: its other tasks
/// would keep their capacity until they notice, or for as long as they may wait for the lost one.
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

/// Evicts tasks from machines that the cloud announced to take, if they would not end in time: those that
/// can save do so at the last moment, the others go at once.
pub(super) fn evict_before_cloud_preemption(node: &Node, core: &mut Core, now: Instant) {
    let report_s = node.settings.params.workers.report_s;
    let mut evictions = Vec::new();
    for (machine, worker) in &core.workers.agents {
        let Some(taken_at) = worker.preemption_at else {
            continue;
        };
        let left_s = taken_at.saturating_duration_since(now).as_secs_f64();
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
            if ends_in_time || (can_save && left_s > last_moment_to_save_s(spec, report_s)) {
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

/// Seconds before the cloud takes a machine when a task there must be told to save.
fn last_moment_to_save_s(spec: &JobSpec, report_s: f64) -> f64 {
    spec.checkpoint_write_s * SAVE_MARGIN_FACTOR
        + report_s * COMMAND_MARGIN_INTERVALS
        + COMMAND_MARGIN_S
}

/// The tasks that are evicted with one: a gang saves together or not at all, a task of an array by itself.
fn evicted_together(spec: &JobSpec, task: u32) -> Range<u32> {
    if spec.is_gang() {
        0..spec.tasks
    } else {
        task..task + 1
    }
}

/// Evictions of those of a job's tasks that are on machines.
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

/// Plans that tasks wait again whose machine's record is gone: it is deleted only once the machine provably
/// is gone.
pub(super) fn clear_tasks_of_gone_machines(node: &Node, core: &mut Core) {
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
