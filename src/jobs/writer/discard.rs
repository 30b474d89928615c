//! Discards pending changes that are no longer valid. A task whose pending start is discarded waits again, and is
//! placed anew in the next cycle. Nothing is written here.

use super::page_write::PendingPageWrite;
use crate::fleet::MachineState;
use crate::jobs::{TaskId, TaskRecord};
use crate::membership::assignment::Member;
use crate::node::Core;
use std::time::{Duration, Instant};

fn is_placed(record: &TaskRecord) -> bool {
    matches!(record, TaskRecord::Placed { .. })
}

/// Discards pending starts on machines that accept no starts any more: the machine is being drained, or another
/// controller owns it. Such a start could never be written, and while it is pending its machine does not count as
/// empty and would never be released.
pub(super) fn discard_unstartable_starts(core: &mut Core, me: &Member) {
    let machines = &core.replica.fleet.machines;
    let accepts_starts = |name: &str| {
        let machine = machines.get(name);
        machine.is_some_and(|m| m.owner == *me && m.state == MachineState::Active)
    };
    let mut unstartable = Vec::new();
    for (job, changes) in core.pending_changes.iter() {
        for (task, change) in changes {
            if let TaskRecord::Placed { machine, .. } = change
                && !accepts_starts(machine)
            {
                unstartable.push(TaskId::new(job, *task));
            }
        }
    }
    discard_changes(core, unstartable);
}

/// How long a gang is not placed again after its starts exceeded one transaction. On other machines, with shorter names
/// or fewer rentals, they may fit.
const OVERSIZED_GANG_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Discards the pending starts of a gang that cannot be written together, and holds the gang back for a while. While
/// such starts were kept, they occupied their machines for good.
pub(super) fn hold_back_gang(core: &mut Core, id: &str, now: Instant) {
    let changes = core.pending_changes.of_job(id).into_iter().flatten();
    let starts = changes.filter(|(_, change)| is_placed(change));
    let starts: Vec<TaskId> = starts.map(|(task, _)| TaskId::new(id, *task)).collect();
    tracing::info!(
        job = id,
        tasks = starts.len(),
        "gang exceeds one transaction"
    );
    discard_changes(core, starts);
    core.pending_changes
        .hold_back_until(id, now + OVERSIZED_GANG_RETRY_DELAY);
}

/// Discards all pending starts of a gang if one of them was discarded before it was written. The other tasks would
/// otherwise start, wait for the missing one and fail.
pub(super) fn discard_incomplete_gangs(core: &mut Core) {
    let mut incomplete = Vec::new();
    for (id, changes) in core.pending_changes.iter() {
        let spec = core.replica.jobs.get(id).map(|job| &job.record.spec);
        let Some(spec) = spec.filter(|spec| spec.is_gang()) else {
            continue;
        };
        let starts = changes.iter().filter(|(_, change)| is_placed(change));
        let starts: Vec<u32> = starts.map(|(task, _)| *task).collect();
        let is_fully_placed = || (0..spec.tasks).all(|task| is_placed(core.task_record(id, task)));
        if !starts.is_empty() && !is_fully_placed() {
            incomplete.extend(starts.into_iter().map(|task| TaskId::new(id, task)));
        }
    }
    discard_changes(core, incomplete);
}

/// Discards the starts on all of these pages.
pub(super) fn discard_all_starts(core: &mut Core, writes: &[PendingPageWrite]) {
    for write in writes {
        discard_starts_on_page(core, write);
    }
}

/// Discards the starts on the pages that have a precondition on one of the failed keys. If the state service named
/// no keys, discards the starts on all of the pages.
pub(super) fn discard_conflicting_starts(
    core: &mut Core,
    writes: &[PendingPageWrite],
    failed_keys: &[String],
) {
    for write in writes {
        let mut preconditions = write.preconditions.iter();
        if failed_keys.is_empty() || preconditions.any(|p| failed_keys.contains(&p.key)) {
            discard_starts_on_page(core, write);
        }
    }
}

fn discard_starts_on_page(core: &mut Core, write: &PendingPageWrite) {
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

/// Whether a pending change is still valid, given the task's state in the records.
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

/// Discards the changes that have been written or are no longer valid, and removes pending stops of attempts that
/// the records do not place on a machine any more.
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
    discard_changes(core, inapplicable);
}

fn discard_changes(core: &mut Core, tasks: Vec<TaskId>) {
    for task in tasks {
        core.discard_change(&task);
    }
}
