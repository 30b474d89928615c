//! A job as the replica keeps it.

use crate::jobs::{JobRecord, PageId, PageLayout, ProgressPage, Stage, TaskRecord};
use crate::state::records::Versioned;
use std::collections::BTreeMap;

/// A job that may start: its record, its progress pages and what follows from them.
#[derive(Debug, Clone)]
pub struct Job {
    /// The job's record.
    pub record: JobRecord,
    /// The revision of the record.
    pub revision: u64,
    /// The job's progress pages.
    pub pages: BTreeMap<PageId, Versioned<ProgressPage>>,
    /// Tasks that are done, by the pages.
    pub done: u32,
    /// Tasks that are placed on a machine, by the pages.
    pub placed: u32,
}

/// A task's record by a job's pages: that of its compact page, if there is one, and else of its plain one.
pub(super) fn record_on_pages<'a>(
    page: impl Fn(PageId) -> Option<&'a Versioned<ProgressPage>>,
    layout: &PageLayout,
    task: u32,
) -> &'a TaskRecord {
    let on = |id: PageId| Some(page(id)?.record.get(layout.slot(id, task)));
    let compact = layout
        .uses_compact()
        .then(|| on(layout.compact_page_of(task)));
    compact
        .flatten()
        .or_else(|| on(layout.plain_page_of(task)))
        .unwrap_or(&TaskRecord::NEVER_STARTED)
}

impl Job {
    /// A job without progress.
    pub(super) fn new(record: JobRecord, revision: u64) -> Self {
        Self {
            record,
            revision,
            pages: BTreeMap::new(),
            done: 0,
            placed: 0,
        }
    }

    /// The stage that users see.
    pub fn stage(&self) -> Stage {
        if self.record.cancelled {
            Stage::Cancelled
        } else if self.placed > 0 {
            Stage::Running
        } else {
            Stage::Queued
        }
    }

    /// Updates the counts for a task whose record was `before` and is `after`.
    pub(super) fn update_counts(&mut self, before: &TaskRecord, after: &TaskRecord) {
        let done = |e: &TaskRecord| u32::from(*e == TaskRecord::Done);
        let placed = |e: &TaskRecord| u32::from(matches!(e, TaskRecord::Placed { .. }));
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
