//! Decides what the ledger permits in the answer to a worker's heartbeat. [`crate::workers`] applies it.

use super::local_state::tracked_job;
use crate::jobs::TaskRef;
use crate::node::{Core, Node};
use crate::workers::Heartbeat;
use rowanmill_cells::TrackedJob;
use std::collections::BTreeSet;
use std::time::Instant;

/// Whether the machine's heartbeat may be answered, which renews its lease. If the machine has tasks of the
/// ledger's jobs and the last read of the ledger, or the attestations that count as one, are too old, it may
/// not: the renewal could keep tasks running whose cancellation another cell has confirmed, or whose job another
/// cell has taken over.
pub fn permits_renewal(node: &Node, heartbeat: &Heartbeat, now: Instant) -> bool {
    let Some(cells) = &node.cells else {
        return true;
    };
    cells.permits_renewals(now) || tracked_jobs_on(&node.core(), heartbeat).is_empty()
}

/// Whether the ledger permits starting tasks. Always the case if the controller belongs to no cell.
pub fn permits_starts(node: &Node, now: Instant) -> bool {
    let cells = node.cells.as_ref();
    cells.is_none_or(|cells| cells.permits_starts(now))
}

/// Jobs with tasks on the machine that this cell must not run according to the ledger, even if the cell's own
/// records do not show that yet.
pub fn halted_jobs_on(node: &Node, core: &Core, heartbeat: &Heartbeat) -> BTreeSet<String> {
    let Some(cells) = &node.cells else {
        return BTreeSet::new();
    };
    let tracked = tracked_jobs_on(core, heartbeat);
    if tracked.is_empty() {
        return BTreeSet::new();
    }
    cells.halted_among(&tracked)
}

/// Jobs with a record in the ledger that have tasks on the machine, according to the cell's records, the
/// pending changes to them, or the heartbeat.
fn tracked_jobs_on(core: &Core, heartbeat: &Heartbeat) -> Vec<TrackedJob> {
    let recorded = core
        .replica
        .tasks_by_machine
        .get(&heartbeat.machine)
        .into_iter()
        .flatten();
    let recorded = recorded.map(|task| task.job.as_str());
    let planned = core
        .pending_changes
        .starts_on(&heartbeat.machine)
        .map(|task| task.job.as_str());
    let reported = heartbeat.tasks.iter();
    let reported = reported.filter_map(|task| TaskRef::try_from(task.task.as_str()).ok());
    let reported = reported.map(|task| task.job);
    let ids: BTreeSet<&str> = recorded.chain(planned).chain(reported).collect();
    let jobs = &core.replica.jobs;
    let tracked = |id: &str| tracked_job(id, &jobs.get(id)?.record);
    ids.into_iter().filter_map(tracked).collect()
}
