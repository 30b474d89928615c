//! A copy of the ledger's live records, kept up to date by watching its log.
//!
//! It holds what was read, and decides nothing. Records that cannot be read are counted and otherwise
//! ignored.

mod final_states;
mod recent_changes;

use crate::contact::CANCELLATION_EFFECT_DELAY;
use crate::record::{
    CellPresence, DrainRequest, FinalState, Generation, LedgerJob, LiveKey, generation_key,
    presence_key,
};
use crate::transaction;
use final_states::FinalStateCache;
use recent_changes::RecentChanges;
use rowanmill_state::{KeyValue, Precondition, WatchEvent};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Instant;

/// A record with the revision of its last change.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    /// The record.
    pub record: T,
    /// The ledger's revision that it was written at.
    pub revision: u64,
}

/// The ledger's records of one cell.
#[derive(Debug, Clone, Default)]
pub struct CellState {
    /// Its presence, while its lease holds.
    pub presence: Option<Versioned<CellPresence>>,
    /// Its registrations so far.
    pub generation: Option<Versioned<Generation>>,
    /// When its absence was read; `None` while it is present.
    pub absent_since: Option<Instant>,
    /// When its presence was last read.
    pub presence_updated_at: Option<Instant>,
    /// An operator's request to drain it.
    pub drain: Option<DrainRequest>,
}

/// The replica.
#[derive(Debug, Default)]
pub struct LedgerReplica {
    /// All changes up to this revision are applied.
    pub revision: u64,
    /// Open jobs.
    pub jobs: BTreeMap<String, Versioned<LedgerJob>>,
    /// Cells of the operators' file. Records under other names are counted as malformed and change
    /// nothing.
    pub cells: BTreeMap<String, CellState>,
    /// Number of records that could not be read, or that belong to no known cell.
    pub malformed_records: u64,
    /// Open jobs whose record cannot be read: they are known to exist, and nothing else is known of them.
    unreadable: BTreeMap<String, u64>,
    /// When the cancellation of an open job was first read.
    cancelled_at: BTreeMap<String, Instant>,
    recent_changes: RecentChanges,
    final_states: FinalStateCache,
}

impl LedgerReplica {
    /// An empty replica for the cells of these names.
    pub fn new<'a>(cells: impl IntoIterator<Item = &'a str>) -> Self {
        let cells = cells.into_iter();
        Self {
            cells: cells
                .map(|name| (name.to_owned(), CellState::default()))
                .collect(),
            ..Self::default()
        }
    }

    /// Replaces all live records by those of a listing. A cell that is not in it counts as absent from
    /// `now` on.
    pub fn reload_from_snapshot(&mut self, pairs: Vec<KeyValue>, revision: u64, now: Instant) {
        self.jobs.clear();
        self.unreadable.clear();
        self.cancelled_at.clear();
        self.recent_changes.reset(revision);
        for cell in self.cells.values_mut() {
            *cell = CellState {
                absent_since: Some(now),
                ..CellState::default()
            };
        }
        for pair in pairs {
            self.apply_put(&pair.key, pair.value.get(), pair.revision, now);
        }
        self.revision = revision;
    }

    /// Applies changes that were read from the log up to `revision`. Answers may overlap: a change that is
    /// already applied is skipped.
    pub fn apply_changes(&mut self, log: Vec<WatchEvent>, revision: u64, now: Instant) {
        for change in log {
            if change.revision <= self.revision {
                continue;
            }
            if let Some(key) = change.put.as_ref().or(change.deleted.as_ref())
                && let Some(LiveKey::Job(id)) = LiveKey::parse(key)
            {
                self.recent_changes.record(id, change.revision);
            }
            if let (Some(key), Some(data)) = (&change.put, &change.value) {
                self.apply_put(key, data.get(), change.revision, now);
            } else if let Some(key) = &change.deleted {
                self.apply_delete(key, change.revision, now);
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// The jobs that changed after `revision` and that `cell` must not run by the records held here.
    /// `None` if not all those changes are in memory.
    pub fn revoked_since(&self, cell: &str, revision: u64) -> Option<Vec<String>> {
        let may_run = |id: &str| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| job.record.owner == cell && !job.record.cancelled)
        };
        let changed = self.recent_changes.since(revision)?;
        let revoked = changed.filter(|id| !may_run(id));
        Some(revoked.map(str::to_owned).collect())
    }

    /// Applies a job's record that this process wrote, as soon as the write is acknowledged.
    pub fn apply_own_write(&mut self, id: &str, record: LedgerJob, revision: u64, now: Instant) {
        // The log may have brought the job's end already.
        if revision <= self.revision || self.final_state(id).is_some() {
            return;
        }
        let held = self.jobs.get(id).map_or(0, |held| held.revision);
        if revision > held {
            // Others may ask for the change before the log brings it.
            self.recent_changes.record_own_write(id, revision);
            self.insert_job(id, record, revision, now);
        }
    }

    /// Applies one record, unless a newer one is held.
    fn apply_put(&mut self, key: &str, data: &str, revision: u64, now: Instant) {
        let Some(live_key) = LiveKey::parse(key) else {
            return;
        };
        match live_key {
            LiveKey::Job(id) => self.apply_job(id, data, revision, now),
            LiveKey::Presence(name) => {
                if let Some((record, cell)) = self.parse_cell_record(key, name, data) {
                    cell.presence = Some(Versioned { record, revision });
                    cell.absent_since = None;
                    cell.presence_updated_at = Some(now);
                }
            }
            LiveKey::Generation(name) => {
                if let Some((record, cell)) = self.parse_cell_record(key, name, data) {
                    cell.generation = Some(Versioned { record, revision });
                }
            }
            LiveKey::Drain(name) => {
                if let Some((request, cell)) = self.parse_cell_record(key, name, data) {
                    cell.drain = Some(request);
                }
            }
            LiveKey::Unknown => self.malformed_records += 1,
        }
    }

    fn apply_job(&mut self, id: &str, data: &str, revision: u64, now: Instant) {
        if self
            .jobs
            .get(id)
            .is_some_and(|held| held.revision >= revision)
        {
            return;
        }
        let record: Option<LedgerJob> = self.parse(id, data);
        match record {
            Some(record) if self.cells.contains_key(&record.owner) => {
                self.unreadable.remove(id);
                self.insert_job(id, record, revision, now);
            }
            Some(_) => {
                // The absence of an owner that the file does not name could never be detected.
                self.malformed_records += 1;
                self.mark_unreadable(id, revision);
            }
            None => self.mark_unreadable(id, revision),
        }
    }

    fn insert_job(&mut self, id: &str, record: LedgerJob, revision: u64, now: Instant) {
        if record.cancelled {
            self.cancelled_at.entry(id.to_owned()).or_insert(now);
        }
        let held = Versioned { record, revision };
        self.jobs.insert(id.to_owned(), held);
    }

    fn mark_unreadable(&mut self, id: &str, revision: u64) {
        self.jobs.remove(id);
        self.unreadable.insert(id.to_owned(), revision);
    }

    /// A record of a cell, and the cell; `None` if either cannot be had, which is counted.
    fn parse_cell_record<T: for<'de> Deserialize<'de>>(
        &mut self,
        key: &str,
        name: &str,
        data: &str,
    ) -> Option<(T, &mut CellState)> {
        let record = self.parse(key, data);
        if !self.cells.contains_key(name) {
            self.malformed_records += 1;
        }
        record.zip(self.cells.get_mut(name))
    }

    fn parse<T: for<'de> Deserialize<'de>>(&mut self, key: &str, data: &str) -> Option<T> {
        match serde_json::from_str(data) {
            Ok(record) => Some(record),
            Err(error) => {
                tracing::error!(key, %error, "ledger record rejected as malformed");
                self.malformed_records += 1;
                None
            }
        }
    }

    fn apply_delete(&mut self, key: &str, revision: u64, now: Instant) {
        match LiveKey::parse(key) {
            Some(LiveKey::Job(id)) => {
                if self
                    .jobs
                    .get(id)
                    .is_some_and(|held| held.revision < revision)
                {
                    self.jobs.remove(id);
                    self.cancelled_at.remove(id);
                }
                self.unreadable.remove(id);
            }
            Some(LiveKey::Presence(name)) => {
                if let Some(cell) = self.cells.get_mut(name) {
                    cell.presence = None;
                    cell.absent_since = Some(now);
                }
            }
            Some(LiveKey::Drain(name)) => {
                if let Some(cell) = self.cells.get_mut(name) {
                    cell.drain = None;
                }
            }
            Some(LiveKey::Generation(_) | LiveKey::Unknown) | None => {}
        }
    }

    /// Whether an open job is cancelled and no controller can start it by an earlier read any more.
    pub fn is_cancellation_effective(&self, id: &str, now: Instant) -> bool {
        let read_at = self.cancelled_at.get(id);
        read_at.is_some_and(|at| now.saturating_duration_since(*at) >= CANCELLATION_EFFECT_DELAY)
    }

    /// Whether the job has an open record that cannot be read.
    pub fn is_unreadable(&self, id: &str) -> bool {
        self.unreadable.contains_key(id)
    }

    /// How a job ended, if that is in memory.
    pub fn final_state(&self, id: &str) -> Option<FinalState> {
        self.final_states.get(id)
    }

    /// Records how a job ended. A final state never changes.
    pub fn record_final_state(&mut self, id: &str, final_state: FinalState) {
        self.jobs.remove(id);
        self.cancelled_at.remove(id);
        self.final_states.insert(id, final_state);
    }

    /// Whether a cell's lease holds, by the last read.
    pub fn is_present(&self, cell: &str) -> bool {
        let cell = self.cells.get(cell);
        cell.is_some_and(|cell| cell.presence.is_some())
    }

    /// Whether an operator has requested that a cell be drained.
    pub fn is_draining(&self, cell: &str) -> bool {
        let cell = self.cells.get(cell);
        cell.is_some_and(|cell| cell.drain.is_some())
    }

    /// The preconditions under which a cell counts as absent: it is not present now, and has not been
    /// since its absence was read.
    pub fn absence_preconditions(&self, cell: &str) -> [Precondition; 2] {
        let state = self.cells.get(cell);
        let generation = state.and_then(|state| state.generation.as_ref());
        [
            Precondition::absent(presence_key(cell)),
            transaction::unchanged(generation_key(cell), generation),
        ]
    }
}

#[cfg(test)]
mod tests;
