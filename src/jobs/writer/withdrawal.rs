//! Planned changes that no longer follow from the records: taken back or forgotten.

use super::Dirty;
use crate::fleet::MachineState;
use crate::jobs::{TaskId, TaskRecord};
use crate::membership::assignment::Member;
use crate::node::Core;

/// Starts planned on machines that take none any more, because they are on their way back, are planned
/// anew elsewhere. They could never be written, and the machine, which is not empty with them, would
/// never go.
pub(super) fn withdraw_unstartable(core: &mut Core, me: &Member) {
    let fleet = &core.replica.fleet.machines;
    let takes = |name: &str| {
        let machine = fleet.get(name);
        machine.is_some_and(|m| m.owner == *me && m.state == MachineState::Active)
    };
    let changes = core
        .pending_changes
        .iter()
        .flat_map(|(id, changes)| changes.iter().map(move |(task, entry)| (id, *task, entry)));
    let lost: Vec<_> = changes
        .filter(
            |(_, _, entry)| matches!(entry, TaskRecord::Placed { machine, .. } if !takes(machine)),
        )
        .map(|(id, task, _)| TaskId::new(id, task))
        .collect();
    for id in lost {
        core.discard_change(&id);
    }
}

/// A gang whose planned start lost a machine before it was written is planned anew as a whole: the
/// rest would gather, wait for the missing task and fail.
pub(super) fn withdraw_broken_gangs(core: &mut Core) {
    let is_placed = |e: &TaskRecord| matches!(e, TaskRecord::Placed { .. });
    let mut broken = Vec::new();
    for (id, changes) in core.pending_changes.iter() {
        let job = core.replica.jobs.get(id).map(|j| &j.record.spec);
        let Some(spec) = job.filter(|s| s.is_gang()) else {
            continue;
        };
        let starts = changes.iter().filter(|(_, e)| is_placed(e));
        let starts: Vec<u32> = starts.map(|(task, _)| *task).collect();
        if !starts.is_empty() && !(0..spec.tasks).all(|t| is_placed(core.task_record(id, t))) {
            broken.extend(starts.into_iter().map(|task| TaskId::new(id, task)));
        }
    }
    for id in broken {
        core.discard_change(&id);
    }
}

/// Takes back planned starts, of all the pages or of those that the failed guards concern.
pub(super) fn withdraw(core: &mut Core, batch: &[Dirty], failed: Option<&[String]>) {
    for d in batch {
        let concerned = failed.is_none_or(|failed| {
            failed.is_empty() || d.guards.iter().any(|g| failed.contains(&g.key))
        });
        if !concerned {
            continue;
        }
        let planned = core.pending_changes.of_job(&d.job).into_iter().flatten();
        let starts: Vec<u32> = planned
            .filter(|(task, entry)| {
                core.replica.page_to_write(**task) == d.number
                    && matches!(entry, TaskRecord::Placed { .. })
            })
            .map(|(task, _)| *task)
            .collect();
        for task in starts {
            core.discard_change(&TaskId::new(&d.job, task));
        }
    }
}

/// Whether a planned change still follows from what the records hold.
pub(super) fn applies(held: &TaskRecord, planned: &TaskRecord) -> bool {
    match (held, planned) {
        (held, planned) if held == planned => false,
        (TaskRecord::Done, _) => false,
        (_, TaskRecord::Done) => true,
        (TaskRecord::Placed { attempt, .. }, TaskRecord::Waiting { last }) => attempt == last,
        (TaskRecord::Waiting { .. }, TaskRecord::Waiting { .. }) => false,
        (held, TaskRecord::Placed { attempt, .. }) => held.last_attempt() < *attempt,
    }
}

/// Forgets planned changes that the records now hold, or that no longer apply to them.
pub(super) fn settle(core: &mut Core) {
    let replica = &core.replica;
    core.workers.pending_stops.retain(|stopped, _| {
        let id = &stopped.task;
        let entry = replica
            .jobs
            .contains_key(&id.job)
            .then(|| replica.task_record(&id.job, id.index));
        matches!(entry, Some(TaskRecord::Placed { attempt, .. }) if *attempt == stopped.attempt)
    });
    let mut over = Vec::new();
    for (id, changes) in core.pending_changes.iter() {
        let known = core.replica.jobs.contains_key(id);
        for (task, entry) in changes {
            if !known || !applies(core.replica.task_record(id, *task), entry) {
                over.push(TaskId::new(id, *task));
            }
        }
    }
    for id in over {
        core.discard_change(&id);
    }
}
