//! Progress pages. A page records the states of consecutive tasks of a job and is stored as one value.
//! This module defines how pages are encoded; `jobs::writer` decides when a page is written, and under
//! which preconditions.
//!
//! There are two encodings:
//!
//! - *Plain* pages are the only ones that the previous version can read. The number of tasks on a page is
//!   derived from the maximum size of a value, and all processes must use the same number.
//! - *Compact* pages are for a lower maximum size of values. They are written once no process of the
//!   previous version can be running. A compact page overrides the plain pages for the tasks that it
//!   covers. It is created when one of these tasks changes, so that a job's plain pages are migrated
//!   gradually.

mod compact;
mod layout;
mod task_record;

pub use layout::{PageId, PageLayout};
pub use task_record::TaskRecord;

use serde::{Deserialize, Serialize};

/// The records of a page's tasks, by slot. Tasks beyond the last slot were never started.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProgressPage(pub Vec<TaskRecord>);

impl ProgressPage {
    /// The record in a slot; `NEVER_STARTED` beyond the last one.
    pub fn get(&self, slot: usize) -> &TaskRecord {
        self.0.get(slot).unwrap_or(&TaskRecord::NEVER_STARTED)
    }

    /// Replaces the record in a slot, and extends the page if it is too short.
    pub fn set(&mut self, slot: usize, record: TaskRecord) {
        if self.0.len() <= slot {
            self.0.resize(slot + 1, TaskRecord::default());
        }
        self.0[slot] = record;
    }

    /// The page's encoded size, in bytes.
    pub fn bytes(&self, id: PageId) -> usize {
        let json = match id {
            PageId::Plain(_) => serde_json::to_vec(self),
            PageId::Compact(_) => serde_json::to_vec(&self.to_compact()),
        };
        json.map_or(usize::MAX, |json| json.len())
    }
}

/// Upper bound of a started task's size on a plain page without the machine's name, in bytes. The record
/// is `[attempt,"machine",incarnation]`, followed by a comma.
const PLAIN_PLACED_BYTES: usize = 28;

/// Upper bound of a started task's size on a compact page without the machine's name, in bytes: the task's
/// code, the quotes and comma of the name, and the incarnation.
const COMPACT_PLACED_BYTES: usize = 30;

/// Upper bound of the bytes that a started task adds to a page.
pub fn placed_record_bytes(id: PageId, machine: &str) -> usize {
    let fixed_bytes = match id {
        PageId::Plain(_) => PLAIN_PLACED_BYTES,
        PageId::Compact(_) => COMPACT_PLACED_BYTES,
    };
    machine.len() + fixed_bytes
}

#[cfg(test)]
pub mod tests;
