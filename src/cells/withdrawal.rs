//! The preconditions under which a job that has not started is withdrawn, to run in another cell.
//!
//! Another controller of the cell may have recorded a start that this one has not read yet. The job's record
//! does not change with that, the progress page does.

use crate::jobs::{PageId, PageLayout};
use crate::state::replica::Job;
use crate::state::{Precondition, RecordKey};

/// That none of the job's progress pages has changed since it was read, for as many as `max` permits: of a very
/// large job the first ones, on which tasks start first.
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

/// All pages that a job with so many tasks may have.
fn progress_pages(layout: &PageLayout, tasks: u32) -> impl Iterator<Item = PageId> {
    let pages_of = move |tasks_on_page: usize| (tasks as usize).div_ceil(tasks_on_page.max(1));
    let plain = pages_of(layout.plain_tasks);
    let compact = if layout.uses_compact() {
        pages_of(layout.compact_tasks)
    } else {
        0
    };
    // Page by page of both encodings, since tasks start in order.
    (0..plain.max(compact)).flat_map(move |number| {
        let plain = (number < plain).then_some(PageId::Plain(number));
        let compact = (number < compact).then_some(PageId::Compact(number));
        plain.into_iter().chain(compact)
    })
}

#[cfg(test)]
mod tests;
