//! Finds the tasks on a machine from the records, the planned changes and the heartbeats.

use crate::jobs::{JobSpec, TaskId, TaskRecord, TaskRef};
use crate::node::Core;
use crate::workers::TaskState;
use std::borrow::Cow;

/// The tasks on a machine, sorted by id: those that the records and planned changes place there, and
/// those that its worker reports as not ended.
pub(super) fn tasks_on<'a>(core: &'a Core, machine: &str) -> Vec<Cow<'a, TaskId>> {
    let is_here = |id: &&TaskId| matches!(core.task_record(&id.job, id.index), TaskRecord::Placed { machine: placed_on, .. } if placed_on == machine);
    let recorded = core
        .replica
        .tasks_by_machine
        .get(machine)
        .into_iter()
        .flatten();
    let mut tasks: Vec<Cow<TaskId>> = recorded.filter(is_here).map(Cow::Borrowed).collect();
    tasks.extend(core.pending_changes.starts_on(machine).map(Cow::Borrowed));
    tasks.sort_unstable();
    tasks.dedup();
    let Some(worker) = core.workers.agents.get(machine) else {
        return tasks;
    };
    let reported = worker.latest_heartbeat.tasks.iter();
    for task in reported.filter(|t| t.state != TaskState::Ended) {
        let Ok(id) = TaskRef::try_from(task.task.as_str()) else {
            continue;
        };
        if let Err(position) = tasks.binary_search_by(|known| known.borrowed().cmp(&id)) {
            tasks.insert(position, Cow::Owned(id.into()));
        }
    }
    tasks
}

/// The spec of an unfinished job, or of one that ended recently and may still have tasks on machines.
pub(super) fn spec_of<'a>(core: &'a Core, job: &str) -> Option<&'a JobSpec> {
    let unfinished = core.replica.jobs.get(job).map(|j| &j.record.spec);
    unfinished.or_else(|| core.replica.recently_ended.get(job).map(|r| &r.spec))
}
