//! Records as the replica keeps them.

use crate::jobs::{JobRecord, PageId, PageLayout, ProgressPage, Stage, TaskRecord};
use crate::membership::schema_versions::FeatureLevel;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PresenceRecord {
    pub incarnation: u64,
    pub lease: u64,
    /// What the process supports; absent in records of the previous version.
    #[serde(rename = "forms", default)]
    pub supported_level: FeatureLevel,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub member: String,
    pub incarnation: u64,
    pub lease: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    pub record: T,
    pub revision: u64,
}

#[derive(Debug, Clone)]
pub struct Job {
    pub record: JobRecord,
    pub revision: u64,
    pub pages: BTreeMap<PageId, Versioned<ProgressPage>>,
    pub done: u32,
    pub placed: u32,
}

/// Where a task stands by a job's pages: by its dense page, if there is one, and else by its wide one.
pub(super) fn entry_in<'a>(
    page: impl Fn(PageId) -> Option<&'a Versioned<ProgressPage>>,
    layout: &PageLayout,
    task: u32,
) -> &'a TaskRecord {
    let on = |id: PageId| Some(page(id)?.record.get(layout.slot(id, task)));
    let dense = layout
        .uses_compact()
        .then(|| on(layout.compact_page_of(task)));
    dense
        .flatten()
        .or_else(|| on(layout.plain_page_of(task)))
        .unwrap_or(&TaskRecord::NEVER_STARTED)
}

impl Job {
    pub fn stage(&self) -> Stage {
        if self.record.cancelled {
            Stage::Cancelled
        } else if self.placed > 0 {
            Stage::Running
        } else {
            Stage::Queued
        }
    }

    /// A task's entry came in place of another.
    pub(super) fn count(&mut self, before: &TaskRecord, after: &TaskRecord) {
        let done = |e: &TaskRecord| u32::from(*e == TaskRecord::Done);
        let placed = |e: &TaskRecord| u32::from(matches!(e, TaskRecord::Placed { .. }));
        self.done = self.done + done(after) - done(before);
        self.placed = self.placed + placed(after) - placed(before);
    }

    pub fn task_record(&self, layout: &PageLayout, task: u32) -> &TaskRecord {
        entry_in(|page| self.pages.get(&page), layout, task)
    }

    pub fn page_revision(&self, page: PageId) -> u64 {
        self.pages.get(&page).map_or(0, |p| p.revision)
    }
}
