//! Preconditions for withdrawing a job that has not started, so that it can run in another cell.
//!
//! Another controller of the cell may have recorded a start that this one has not read yet. A start changes
//! one of the job's progress pages, but not the job's record, so that the pages need preconditions too.

use crate::jobs::{PageId, PageLayout};
use crate::state::replica::Job;
use crate::state::{Precondition, RecordKey};

/// Preconditions that the job's progress pages have not changed since they were read. A very large job has more
/// than `max` pages; only its first `max` pages are covered, which record the tasks that start first.
pub(super) fn progress_unchanged(
    layout: &PageLayout,
    id: &str,
    job: &Job,
    max: usize,
) -> Vec<Precondition> {
    let pages = progress_pages(layout, job.record.spec.tasks).take(max);
    let unchanged = pages.map(|page| Precondition {
        key: RecordKey::page(id, page).into(),
        revision: job.page_revision(page),
    });
    unchanged.collect()
}

/// All progress pages that a job with this many tasks can have, in either encoding.
fn progress_pages(layout: &PageLayout, tasks: u32) -> impl Iterator<Item = PageId> {
    let pages_of = move |tasks_on_page: usize| (tasks as usize).div_ceil(tasks_on_page.max(1));
    let plain = pages_of(layout.plain_tasks);
    let compact = if layout.uses_compact() {
        pages_of(layout.compact_tasks)
    } else {
        0
    };
    // Alternates between the encodings: tasks start in order, and the caller may take only the first pages.
    (0..plain.max(compact)).flat_map(move |number| {
        let plain = (number < plain).then_some(PageId::Plain(number));
        let compact = (number < compact).then_some(PageId::Compact(number));
        plain.into_iter().chain(compact)
    })
}

#[cfg(test)]
mod tests;
