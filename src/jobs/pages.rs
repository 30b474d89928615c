//! Progress pages: the recorded states of some of a job's tasks, in an encoding that fits one value.
//! Knows the encodings alone; when a page is written, and under which preconditions, is the writer's.
//!
//! There are two encodings. *Plain* pages are those of the version before, which knows no other: their
//! length follows from the limit on values, and all processes must agree on it. *Compact* pages are for
//! lower limits on values. They are written once no process of the version before can be running, and
//! from then on override the plain pages for the tasks that they cover: so a job's plain pages are
//! migrated one compact page at a time, when one of its tasks changes.

mod compact;
mod layout;
mod task_record;

pub use layout::{PageId, PageLayout};
pub use task_record::TaskRecord;

use serde::{Deserialize, Serialize};

/// One page: a record for each slot. Tasks beyond its end wait and were never started.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProgressPage(pub Vec<TaskRecord>);

impl ProgressPage {
    /// The record in a slot.
    pub fn get(&self, slot: usize) -> &TaskRecord {
        self.0.get(slot).unwrap_or(&TaskRecord::NEVER_STARTED)
    }

    /// Replaces the record in a slot; the page grows as far as needed.
    pub fn set(&mut self, slot: usize, record: TaskRecord) {
        if self.0.len() <= slot {
            self.0.resize(slot + 1, TaskRecord::default());
        }
        self.0[slot] = record;
    }

    /// The page's size as a value, in bytes.
    pub fn bytes(&self, id: PageId) -> usize {
        let json = match id {
            PageId::Plain(_) => serde_json::to_vec(self),
            PageId::Compact(_) => serde_json::to_vec(&self.to_compact()),
        };
        json.map_or(usize::MAX, |json| json.len())
    }
}

/// What a started task takes of a plain page beside the machine's name, in bytes:
/// `[attempt,"machine",incarnation]` and a comma.
const PLAIN_PLACED_BYTES: usize = 28;

/// What a started task takes of a compact page beside the machine's name, in bytes: its number, the
/// name's quotes and comma, and the incarnation.
const COMPACT_PLACED_BYTES: usize = 30;

/// Upper bound of what one more started task takes of a page, in bytes.
pub fn placed_bytes(id: PageId, machine: &str) -> usize {
    let fixed_bytes = match id {
        PageId::Plain(_) => PLAIN_PLACED_BYTES,
        PageId::Compact(_) => COMPACT_PLACED_BYTES,
    };
    machine.len() + fixed_bytes
}

#[cfg(test)]
pub mod tests;
