//! Selects the pages to write from the pending changes, and their order. Changes no state.

use super::flush_delay::FlushDelay;
use super::page_write::{PageTarget, PendingPageWrite, build_page_write};
use crate::jobs::pending_changes::JobChanges;
use crate::jobs::{PageId, TaskRecord};
use crate::membership::assignment::Member;
use crate::node::Core;
use crate::state::MAX_BODY_BYTES;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// The pages to write now.
pub(super) struct SelectedWrites {
    /// The page writes, in the order of writing.
    pub writes: Vec<PendingPageWrite>,
    /// Gangs whose starts, as planned, exceed the limits of one transaction.
    pub oversized_gangs: Vec<String>,
}

/// The input for the selection of pages.
pub(super) struct Selection<'a> {
    pub core: &'a Core,
    /// This controller.
    pub me: &'a Member,
    /// Maximum number of preconditions in a transaction.
    pub max_preconditions: usize,
    /// Maximum number of operations in a transaction.
    pub max_operations: usize,
    /// Whether nearly all of the write quota is unused.
    pub has_ample_quota: bool,
    pub now: Instant,
}

/// Selects the pages to write now.
pub(super) fn select_page_writes(selection: &Selection) -> SelectedWrites {
    let core = selection.core;
    let mut selected = SelectedWrites {
        writes: Vec::new(),
        oversized_gangs: Vec::new(),
    };
    for (id, changes) in core.pending_changes.iter() {
        if core.pending_changes.is_writable(id, selection.now) {
            select_of_job(selection, id, changes, &mut selected);
        }
    }
    // Starts come before exits, since a task waits for each start and usually nothing waits for the record of an
    // exit. Overdue exits come before starts: when starts used the whole write quota, exits of other controllers'
    // jobs were never written, and their owners waited for minutes before they could place these tasks again or
    // release dependent jobs. Starts are ordered by the rank of their job.
    let rank = |write: &PendingPageWrite| {
        if write.has_starts() {
            core.pending_changes.start_rank(&write.job)
        } else {
            0
        }
    };
    selected
        .writes
        .sort_by_key(|write| (!write.is_overdue, !write.has_starts(), rank(write)));
    selected
}

fn select_of_job(
    selection: &Selection,
    id: &str,
    changes: &JobChanges,
    selected: &mut SelectedWrites,
) {
    let core = selection.core;
    let Some(job) = core.replica.jobs.get(id) else {
        return;
    };
    let delay = FlushDelay::of_job(&core.replica, selection.me, job, changes);
    let waited = core.pending_changes.time_waited(id, selection.now);
    let writes_exits = delay.has_elapsed(waited, selection.has_ample_quota);
    let mut writes = Vec::new();
    let mut is_complete = true;
    for (page, changes) in changes_by_page(core, changes) {
        let target = PageTarget { id, job, page };
        let built = build_page_write(selection, &target, &changes);
        is_complete &= built.is_complete;
        let Some(mut write) = built.write else {
            continue;
        };
        write.is_overdue = !write.has_starts() && delay.is_overdue(waited);
        if write.has_starts() || writes_exits {
            writes.push(write);
        }
    }
    // Either all starts of a gang are written or none. Exits that do not fit now are written later.
    let is_starting_gang = job.record.spec.is_gang() && has_starts(changes);
    if is_starting_gang && !(is_complete && fits_one_transaction(selection, &writes)) {
        selected.oversized_gangs.push(id.to_owned());
    } else {
        selected.writes.append(&mut writes);
    }
}

fn has_starts(changes: &JobChanges) -> bool {
    let mut changes = changes.values();
    changes.any(|change| matches!(change, TaskRecord::Placed { .. }))
}

/// Whether the starts among a gang's page writes are within the limits of one transaction.
fn fits_one_transaction(selection: &Selection, writes: &[PendingPageWrite]) -> bool {
    let starting = writes.iter().filter(|write| write.has_starts());
    let bytes: usize = starting.clone().map(|write| write.operation.bytes()).sum();
    let preconditions = starting.clone().flat_map(|write| &write.preconditions);
    let keys: BTreeSet<&String> = preconditions
        .map(|precondition| &precondition.key)
        .collect();
    starting.count() <= selection.max_operations
        && bytes <= MAX_BODY_BYTES
        && keys.len() <= selection.max_preconditions
}

fn changes_by_page<'a>(
    core: &Core,
    changes: &'a JobChanges,
) -> BTreeMap<PageId, Vec<(u32, &'a TaskRecord)>> {
    let mut by_page: BTreeMap<PageId, Vec<(u32, &TaskRecord)>> = BTreeMap::new();
    for (task, change) in changes {
        let page = by_page
            .entry(core.replica.page_to_write(*task))
            .or_default();
        page.push((*task, change));
    }
    by_page
}
