//! An open job in the replica.

use crate::jobs::{JobRecord, PageId, PageLayout, ProgressPage, Stage, TaskRecord};
use crate::state::records::Versioned;
use std::collections::BTreeMap;
use std::ops::Range;

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

/// Consecutive tasks of a job with their records.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskSegment<'a> {
    /// The tasks.
    pub tasks: Range<u32>,
    /// Their records in the same order. Tasks beyond the last record were never started.
    pub records: &'a [TaskRecord],
}

impl<'a> TaskSegment<'a> {
    /// The tasks that have a record, with it.
    pub fn recorded(&self) -> impl Iterator<Item = (u32, &'a TaskRecord)> + use<'a> {
        self.tasks.clone().zip(self.records)
    }

    /// The tasks beyond the last record.
    pub fn never_started(&self) -> Range<u32> {
        let recorded = self.tasks.len().min(self.records.len()) as u32;
        self.tasks.start + recorded..self.tasks.end
    }
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

    /// All tasks of the job, in ascending order, by the page that covers them. The number of segments follows the
    /// number of pages and not the number of tasks.
    pub fn segments(&self, layout: &PageLayout) -> impl Iterator<Item = TaskSegment<'_>> {
        let tasks = self.record.spec.tasks;
        let mut first = 0;
        std::iter::from_fn(move || {
            if first >= tasks {
                return None;
            }
            let page = self.page_covering(layout, first);
            let end = self.segment_end(layout, first).min(tasks);
            let records = page.and_then(|page| {
                let slot = layout.slot(page, first);
                self.pages.get(&page)?.record.0.get(slot..)
            });
            let segment = TaskSegment {
                tasks: first..end,
                records: records.unwrap_or_default(),
            };
            first = end;
            Some(segment)
        })
    }

    /// The tasks that have a record on a page, with it.
    pub(super) fn recorded_tasks(&self, layout: &PageLayout) -> Vec<(u32, TaskRecord)> {
        let recorded = self.segments(layout).flat_map(|s| s.recorded());
        recorded
            .map(|(task, record)| (task, record.clone()))
            .collect()
    }

    /// The page that holds a task's record, see [`record_on_pages`]; `None` if there is none.
    fn page_covering(&self, layout: &PageLayout, task: u32) -> Option<PageId> {
        let compact = layout
            .uses_compact()
            .then(|| layout.compact_page_of(task))
            .filter(|page| self.pages.contains_key(page));
        let plain =
            || Some(layout.plain_page_of(task)).filter(|page| self.pages.contains_key(page));
        compact.or_else(plain)
    }

    /// The first task after `first` that may be covered by another page.
    fn segment_end(&self, layout: &PageLayout, first: u32) -> u32 {
        if self.pages.is_empty() {
            return u32::MAX;
        }
        let end_of = |page: PageId| layout.tasks_on(page).indices().end;
        let plain_end = end_of(layout.plain_page_of(first));
        if layout.uses_compact() {
            plain_end.min(end_of(layout.compact_page_of(first)))
        } else {
            plain_end
        }
    }

    /// The revision of a page; 0 if there is none.
    pub fn page_revision(&self, page: PageId) -> u64 {
        self.pages.get(&page).map_or(0, |p| p.revision)
    }
}

#[cfg(test)]
mod tests;
