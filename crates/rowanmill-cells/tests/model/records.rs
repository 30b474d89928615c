//! A cell's own records of jobs. Changes have the same preconditions as in the cell's state service.

use rowanmill_cells::{LocalJobState, OwnershipVersion, TrackedJob};
use std::collections::BTreeMap;
use std::time::Instant;

/// A change of a cell's own records, with its precondition.
#[derive(Clone)]
pub enum RecordChange {
    /// Inserts a job. The cell must have no record of it, neither open nor ended, and `relinquished_revision` must be
    /// the revision at which the cell last relinquished it, or 0 if it never did.
    Adopt {
        id: String,
        ownership: OwnershipVersion,
        relinquished_revision: u64,
    },
    /// Cancels a job if its record has this revision.
    Cancel { id: String, revision: u64 },
    /// Withdraws a job if its record has this revision.
    Withdraw {
        id: String,
        revision: u64,
        ownership: OwnershipVersion,
    },
}

#[derive(Clone, Copy, PartialEq)]
pub enum RecordState {
    Open,
    Cancelled,
    Withdrawn,
}

#[derive(Clone, Copy)]
pub struct JobRecord {
    pub state: RecordState,
    pub ownership: OwnershipVersion,
    pub revision: u64,
    /// When a controller first planned with the record.
    pub seen_since: Option<Instant>,
}

/// What the cell keeps of a job that it relinquished.
#[derive(Clone, Copy)]
pub struct Relinquished {
    pub epoch: u64,
    pub revision: u64,
}

#[derive(Default)]
pub struct LocalRecords {
    revision: u64,
    /// Jobs that have neither ended nor left the cell, including those that are cancelled or withdrawn.
    pub open: BTreeMap<String, JobRecord>,
    pub ended: BTreeMap<String, LocalJobState>,
    relinquished: BTreeMap<String, Relinquished>,
}

impl LocalRecords {
    pub fn has(&self, id: &str) -> bool {
        self.open.contains_key(id) || self.ended.contains_key(id)
    }

    pub fn is_open(&self, id: &str) -> bool {
        let record = self.open.get(id);
        record.is_some_and(|record| record.state == RecordState::Open)
    }

    pub fn revision_of(&self, id: &str) -> Option<u64> {
        self.open.get(id).map(|record| record.revision)
    }

    pub fn relinquished(&self, id: &str) -> Option<Relinquished> {
        self.relinquished.get(id).copied()
    }

    /// Makes a change if its precondition holds; returns whether it was made.
    pub fn apply(&mut self, change: &RecordChange) -> bool {
        self.revision += 1;
        match change {
            RecordChange::Adopt {
                id,
                ownership,
                relinquished_revision,
            } => self.adopt(id, *ownership, *relinquished_revision),
            RecordChange::Cancel { id, revision } => self.update(id, *revision, |record| {
                record.state = RecordState::Cancelled;
            }),
            RecordChange::Withdraw {
                id,
                revision,
                ownership,
            } => self.update(id, *revision, |record| {
                record.state = RecordState::Withdrawn;
                record.ownership = *ownership;
            }),
        }
    }

    fn adopt(&mut self, id: &str, ownership: OwnershipVersion, relinquished_revision: u64) -> bool {
        let last_relinquished = self.relinquished.get(id).map_or(0, |last| last.revision);
        if self.has(id) || last_relinquished != relinquished_revision {
            return false;
        }
        let record = JobRecord {
            state: RecordState::Open,
            ownership,
            revision: self.revision,
            seen_since: None,
        };
        self.open.insert(id.to_owned(), record);
        true
    }

    fn update(&mut self, id: &str, revision: u64, update: impl FnOnce(&mut JobRecord)) -> bool {
        let record = self.open.get_mut(id);
        let Some(record) = record.filter(|record| record.revision == revision) else {
            return false;
        };
        update(record);
        record.revision = self.revision;
        true
    }

    /// Records the completion of a job, unless it was cancelled or withdrawn in the meantime.
    pub fn complete(&mut self, id: &str) {
        if self.is_open(id) {
            self.open.remove(id);
            self.ended.insert(id.to_owned(), LocalJobState::Completed);
        }
    }

    /// Removes the record of a cancelled or withdrawn job that is no longer running.
    pub fn remove_stopped(&mut self, id: &str) {
        let Some(record) = self.open.remove(id) else {
            return;
        };
        self.revision += 1;
        if record.state == RecordState::Cancelled {
            self.ended.insert(id.to_owned(), LocalJobState::Cancelled);
        } else {
            let relinquished = Relinquished {
                epoch: record.ownership.epoch,
                revision: self.revision,
            };
            self.relinquished.insert(id.to_owned(), relinquished);
        }
    }

    pub fn tracked_jobs(&self) -> Vec<TrackedJob> {
        let tracked = self.open.iter().map(|(id, record)| TrackedJob {
            id: id.clone(),
            ownership: record.ownership,
            is_stopping: record.state != RecordState::Open,
        });
        tracked.collect()
    }
}
