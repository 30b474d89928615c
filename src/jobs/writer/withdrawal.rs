//! Discards pending changes that no longer follow from the records. Discarding a start makes its task
//! wait again, so that it is placed anew in the next cycle; nothing is written here.

use super::page_write::PendingPageWrite;
use crate::fleet::MachineState;
use crate::jobs::{TaskId, TaskRecord};
use crate::membership::assignment::Member;
use crate::node::Core;

fn is_placed(record: &TaskRecord) -> bool {
    matches!(record, TaskRecord::Placed { .. })
}

/// Discards starts on machines that take none any more, because they are drained or another
/// controller's. These starts could never be written, and the machine, which is not empty with them,
/// would never be released.
pub(super) fn withdraw_unstartable(core: &mut Core, me: &Member) {
    let machines = &core.replica.fleet.machines;
    let takes_starts = |name: &str| {
        let machine = machines.get(name);
        machine.is_some_and(|m| m.owner == *me && m.state == MachineState::Active)
    };
    let mut unstartable = Vec::new();
    for (job, changes) in core.pending_changes.iter() {
        for (task, change) in changes {
            if let TaskRecord::Placed { machine, .. } = change
                && !takes_starts(machine)
            {
                unstartable.push(TaskId::new(job, *task));
            }
        }
    }
    discard_all(core, unstartable);
}

/// Discards all starts of a gang of which one was discarded before it was written: the others would
/// gather, wait for the missing task and fail.
pub(super) fn withdraw_broken_gangs(core: &mut Core) {
    let mut broken = Vec::new();
    for (id, changes) in core.pending_changes.iter() {
        let spec = core.replica.jobs.get(id).map(|job| &job.record.spec);
        let Some(spec) = spec.filter(|spec| spec.is_gang()) else {
            continue;
        };
        let starts = changes.iter().filter(|(_, change)| is_placed(change));
        let starts: Vec<u32> = starts.map(|(task, _)| *task).collect();
        let is_whole = || (0..spec.tasks).all(|task| is_placed(core.task_record(id, task)));
        if !starts.is_empty() && !is_whole() {
            broken.extend(starts.into_iter().map(|task| TaskId::new(id, task)));
        }
    }
    discard_all(core, broken);
}

/// Discards the starts on all of the pages.
pub(super) fn withdraw_all_starts(core: &mut Core, writes: &[PendingPageWrite]) {
    for write in writes {
        withdraw_starts_on_page(core, write);
    }
}

/// Discards the starts on the pages that depend on one of the failed keys; on all of them, if the state
/// service named none.
pub(super) fn withdraw_conflicting_starts(
    core: &mut Core,
    writes: &[PendingPageWrite],
    failed_keys: &[String],
) {
    for write in writes {
        let mut preconditions = write.preconditions.iter();
        if failed_keys.is_empty() || preconditions.any(|p| failed_keys.contains(&p.key)) {
            withdraw_starts_on_page(core, write);
        }
    }
}

fn withdraw_starts_on_page(core: &mut Core, write: &PendingPageWrite) {
    let changes = core.pending_changes.of_job(&write.job);
    let changes = changes.into_iter().flatten();
    let starts: Vec<u32> = changes
        .filter(|(task, change)| {
            core.replica.page_to_write(**task) == write.page_id && is_placed(change)
        })
        .map(|(task, _)| *task)
        .collect();
    for task in starts {
        core.discard_change(&TaskId::new(&write.job, task));
    }
}

/// Whether a pending change still follows from what the records hold.
pub(super) fn is_applicable(recorded: &TaskRecord, change: &TaskRecord) -> bool {
    match (recorded, change) {
        (recorded, change) if recorded == change => false,
        (TaskRecord::Done, _) => false,
        (_, TaskRecord::Done) => true,
        (TaskRecord::Placed { attempt, .. }, TaskRecord::Waiting { last }) => attempt == last,
        (TaskRecord::Waiting { .. }, TaskRecord::Waiting { .. }) => false,
        (recorded, TaskRecord::Placed { attempt, .. }) => recorded.last_attempt() < *attempt,
    }
}

/// Discards the changes that the records now hold, or that no longer apply to them, and forgets the
/// stops of attempts that the records no longer place.
pub(super) fn discard_inapplicable(core: &mut Core) {
    let replica = &core.replica;
    core.workers.pending_stops.retain(|stopped, _| {
        let id = &stopped.task;
        let is_known = replica.jobs.contains_key(&id.job);
        let recorded = is_known.then(|| replica.task_record(&id.job, id.index));
        matches!(recorded, Some(TaskRecord::Placed { attempt, .. }) if *attempt == stopped.attempt)
    });
    let mut inapplicable = Vec::new();
    for (id, changes) in core.pending_changes.iter() {
        let is_known = replica.jobs.contains_key(id);
        for (task, change) in changes {
            if !is_known || !is_applicable(replica.task_record(id, *task), change) {
                inapplicable.push(TaskId::new(id, *task));
            }
        }
    }
    discard_all(core, inapplicable);
}

fn discard_all(core: &mut Core, tasks: Vec<TaskId>) {
    for task in tasks {
        core.discard_change(&task);
    }
}
