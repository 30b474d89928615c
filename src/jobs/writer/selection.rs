//! Selects the pages to write from the pending changes, and their order. Changes no state.

use super::flush_delay::FlushDelay;
use super::page_write::{PageTarget, PendingPageWrite, build_page_write};
use crate::jobs::pending_changes::JobChanges;
use crate::jobs::{PageId, TaskRecord};
use crate::membership::assignment::Member;
use crate::node::Core;
use std::collections::BTreeMap;
use std::time::Instant;

/// The input for the selection of pages.
pub(super) struct Selection<'a> {
    pub core: &'a Core,
    /// This controller.
    pub me: &'a Member,
    /// Maximum number of preconditions in a transaction.
    pub max_preconditions: usize,
    /// Whether nearly all of the write quota is unused.
    pub has_ample_quota: bool,
    pub now: Instant,
}

/// The pages to write now, in the order of writing.
pub(super) fn select_page_writes(selection: &Selection) -> Vec<PendingPageWrite> {
    let core = selection.core;
    let mut writes = Vec::new();
    for (id, changes) in core.pending_changes.iter() {
        if core.pending_changes.is_writable(id, selection.now) {
            select_of_job(selection, id, changes, &mut writes);
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
    writes.sort_by_key(|write| (!write.is_overdue, !write.has_starts(), rank(write)));
    writes
}

fn select_of_job(
    selection: &Selection,
    id: &str,
    changes: &JobChanges,
    writes: &mut Vec<PendingPageWrite>,
) {
    let core = selection.core;
    let Some(job) = core.replica.jobs.get(id) else {
        return;
    };
    let delay = FlushDelay::of_job(&core.replica, selection.me, job, changes);
    let waited = core.pending_changes.time_waited(id, selection.now);
    let writes_exits = delay.has_elapsed(waited, selection.has_ample_quota);
    let first_of_job = writes.len();
    let mut is_complete = true;
    for (page, changes) in changes_by_page(core, changes) {
        let target = PageTarget { id, job, page };
        let Some(mut write) = build_page_write(selection, &target, &changes) else {
            continue;
        };
        write.is_overdue = !write.has_starts() && delay.is_overdue(waited);
        is_complete &= write.is_complete;
        if write.has_starts() || writes_exits {
            writes.push(write);
        }
    }
    // Either all starts of a gang are written or none.
    if !is_complete && job.record.spec.is_gang() {
        writes.truncate(first_of_job);
    }
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
