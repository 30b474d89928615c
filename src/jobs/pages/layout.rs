//! How a job's tasks are divided into pages. All controllers must agree on it.

use serde::{Deserialize, Serialize};
use std::ops::{Range, RangeInclusive};

/// Tasks on a page of either encoding, and what a page may take. Where both are as long, compact pages
/// are not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PageLayout {
    /// Tasks on a plain page.
    #[serde(rename = "wide")]
    pub plain_tasks: usize,
    /// Tasks on a compact page.
    #[serde(rename = "dense")]
    pub compact_tasks: usize,
    /// Most bytes of a page's value.
    #[serde(skip)]
    pub value_bytes: usize,
}

/// A page of a job: its encoding and its number. Plain ones come first: when a job's pages are deleted,
/// none of them may be left without the compact page that overrides it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PageId {
    /// A page in the encoding of the version before.
    Plain(usize),
    /// A page in the encoding for lower limits on values.
    Compact(usize),
}

/// Consecutive tasks of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskRange {
    /// Index of the first task.
    pub first: u32,
    /// Number of tasks.
    pub count: usize,
}

impl TaskRange {
    /// The indices of the tasks.
    pub fn indices(self) -> Range<u32> {
        self.first..self.first.saturating_add(self.count as u32)
    }
}

impl PageLayout {
    /// The plain page that covers a task.
    pub fn plain_page_of(&self, task: u32) -> PageId {
        PageId::Plain(task as usize / self.plain_tasks)
    }

    /// The compact page that covers a task.
    pub fn compact_page_of(&self, task: u32) -> PageId {
        PageId::Compact(task as usize / self.compact_tasks)
    }

    /// Whether pages are written in the compact encoding once every process reads it.
    pub fn uses_compact(&self) -> bool {
        self.compact_tasks < self.plain_tasks
    }

    /// The tasks that a page covers; the last page of a job covers more than the job has.
    pub fn tasks_on(&self, page: PageId) -> TaskRange {
        let (number, count) = match page {
            PageId::Plain(number) => (number, self.plain_tasks),
            PageId::Compact(number) => (number, self.compact_tasks),
        };
        TaskRange {
            first: (number * count) as u32,
            count,
        }
    }

    /// A task's slot on the page that covers it, from 0.
    pub fn slot(&self, page: PageId, task: u32) -> usize {
        task as usize % self.tasks_on(page).count
    }

    /// The numbers of the plain pages that cover tasks of a page.
    pub fn plain_pages_under(&self, page: PageId) -> RangeInclusive<usize> {
        let TaskRange { first, count } = self.tasks_on(page);
        let last = first as usize + count - 1;
        first as usize / self.plain_tasks..=last / self.plain_tasks
    }
}
