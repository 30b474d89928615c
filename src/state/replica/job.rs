//! An open job in the replica.

use crate::jobs::{JobRecord, PageId, PageLayout, ProgressPage, Stage, TaskRecord};
use crate::state::records::Versioned;
use std::collections::BTreeMap;

/// An open job: its record, its progress pages, and the counts derived from them.
#[derive(Debug, Clone)]
pub struct Job {
    /// The job's record.
    pub record: JobRecord,
    /// The revision of the record.
    pub revision: u64,
    /// The job's progress pages.
    pub pages: BTreeMap<PageId, Versioned<ProgressPage>>,
    /// Number of tasks that are done according to the pages.
    pub done: u32,
    /// Number of tasks that are placed on a machine according to the pages.
    pub placed: u32,
}

/// A task's record according to the job's pages: the one on its compact page if that exists, otherwise the one
/// on its plain page.
pub(super) fn record_on_pages<'a>(
    page: impl Fn(PageId) -> Option<&'a Versioned<ProgressPage>>,
    layout: &PageLayout,
    task: u32,
) -> &'a TaskRecord {
    let record_on = |id: PageId| Some(page(id)?.record.get(layout.slot(id, task)));
    let compact = layout
        .uses_compact()
        .then(|| record_on(layout.compact_page_of(task)));
    compact
        .flatten()
        .or_else(|| record_on(layout.plain_page_of(task)))
        .unwrap_or(&TaskRecord::NEVER_STARTED)
}

impl Job {
    /// Creates a job without progress.
    pub(super) fn new(record: JobRecord, revision: u64) -> Self {
        Self {
            record,
            revision,
            pages: BTreeMap::new(),
            done: 0,
            placed: 0,
        }
    }

    /// The stage that is reported to users.
    pub fn stage(&self) -> Stage {
        if self.record.cancelled {
            Stage::Cancelled
        } else if self.placed > 0 {
            Stage::Running
        } else {
            Stage::Queued
        }
    }

    /// Updates the counts for a task whose record changes from `before` to `after`.
    pub(super) fn update_counts(&mut self, before: &TaskRecord, after: &TaskRecord) {
        let done = |record: &TaskRecord| u32::from(*record == TaskRecord::Done);
        let placed = |record: &TaskRecord| u32::from(matches!(record, TaskRecord::Placed { .. }));
        self.done = self.done + done(after) - done(before);
        self.placed = self.placed + placed(after) - placed(before);
    }

    /// A task's record.
    pub fn task_record(&self, layout: &PageLayout, task: u32) -> &TaskRecord {
        record_on_pages(|page| self.pages.get(&page), layout, task)
    }

    /// The revision of a page; 0 if there is none.
    pub fn page_revision(&self, page: PageId) -> u64 {
        self.pages.get(&page).map_or(0, |p| p.revision)
    }
}
