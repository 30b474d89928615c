//! An in-memory copy of the ledger's live records, kept up to date by watching the ledger's log.
//!
//! The replica stores what was read and makes no decisions. Malformed records are counted and not applied. A
//! job whose record is malformed is marked unreadable.

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

/// A record and the revision of its last change.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    /// The record.
    pub record: T,
    /// The ledger's revision at which it was written.
    pub revision: u64,
}

/// The ledger's records of one cell.
#[derive(Debug, Clone, Default)]
pub struct CellState {
    /// Its presence, which exists while its lease is valid.
    pub presence: Option<Versioned<CellPresence>>,
    /// The number of its registrations so far.
    pub generation: Option<Versioned<Generation>>,
    /// When its absence was read; `None` while it is present.
    pub absent_since: Option<Instant>,
    /// When its presence was last read.
    pub presence_updated_at: Option<Instant>,
    /// An operator's request to drain it.
    pub drain: Option<DrainRequest>,
}

/// A copy of the ledger's live records.
#[derive(Debug, Default)]
pub struct LedgerReplica {
    /// The ledger's revision up to which all changes have been applied.
    pub revision: u64,
    /// Open jobs.
    pub jobs: BTreeMap<String, Versioned<LedgerJob>>,
    /// The cells of the operators' file. Records of other cells are counted as malformed and ignored.
    pub cells: BTreeMap<String, CellState>,
    /// Number of records that could not be parsed, that belong to an unknown cell or whose kind is unknown.
    pub malformed_records: u64,
    /// Open jobs whose record is malformed, with its revision. Only their existence is known.
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

    /// Replaces all live records by those of a listing. A cell without a presence in the listing counts as
    /// absent from `now` on.
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

    /// Applies changes that were read from the log, which is complete up to `revision`. Responses may
    /// overlap: a change that has been applied before is skipped.
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

    /// The jobs that changed after `revision` and that `cell` must not run according to this replica. `None`
    /// if some of those changes are no longer in memory.
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
        // The log may already have delivered a later change, such as the job's end.
        if revision <= self.revision || self.final_state(id).is_some() {
            return;
        }
        let known_revision = self.jobs.get(id).map_or(0, |known| known.revision);
        if revision > known_revision {
            // Other controllers may ask for this change before the log delivers it.
            self.recent_changes.record_own_write(id, revision);
            self.insert_job(id, record, revision, now);
        }
    }

    /// Applies one record. A job's record is skipped if the replica has the same or a newer one.
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
            .is_some_and(|known| known.revision >= revision)
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
                // The replica could never detect the absence of an owner that is not in the operators' file.
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
        let versioned = Versioned { record, revision };
        self.jobs.insert(id.to_owned(), versioned);
    }

    fn mark_unreadable(&mut self, id: &str, revision: u64) {
        self.jobs.remove(id);
        self.unreadable.insert(id.to_owned(), revision);
    }

    /// Parses a record of a cell and finds the cell's state. `None`, with the record counted as malformed, if
    /// the record cannot be parsed or the cell is unknown.
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
                    .is_some_and(|known| known.revision < revision)
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

    /// Whether an open job is cancelled and its cancellation was read so long ago that no controller can
    /// still start the job by an earlier read.
    pub fn is_cancellation_effective(&self, id: &str, now: Instant) -> bool {
        let read_at = self.cancelled_at.get(id);
        read_at.is_some_and(|at| now.saturating_duration_since(*at) >= CANCELLATION_EFFECT_DELAY)
    }

    /// Whether the job has an open record that is malformed.
    pub fn is_unreadable(&self, id: &str) -> bool {
        self.unreadable.contains_key(id)
    }

    /// A job's final state, if it is in memory.
    pub fn final_state(&self, id: &str) -> Option<FinalState> {
        self.final_states.get(id)
    }

    /// Adds a job's final state and removes its open record. A final state never changes.
    pub fn record_final_state(&mut self, id: &str, final_state: FinalState) {
        self.jobs.remove(id);
        self.cancelled_at.remove(id);
        self.final_states.insert(id, final_state);
    }

    /// Whether a cell's lease was valid at the last read.
    pub fn is_present(&self, cell: &str) -> bool {
        let cell = self.cells.get(cell);
        cell.is_some_and(|cell| cell.presence.is_some())
    }

    /// Whether an operator has requested to drain the cell.
    pub fn is_draining(&self, cell: &str) -> bool {
        let cell = self.cells.get(cell);
        cell.is_some_and(|cell| cell.drain.is_some())
    }

    /// The preconditions under which a cell counts as absent: it is not present, and it has not registered
    /// again since its absence was read.
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
