//! A copy of the ledger's live records, kept by following its log.

use crate::contact::CANCELLATION_SETTLES;
use crate::record::{
    CellPresence, Drain, FinalState, Generation, LIVE_PREFIX, LedgerJob, generation_key,
    presence_key,
};
use rowanmill_state::{Change, Guard, Pair};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Instant;

/// A record with the revision of its last change.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    /// The record.
    pub record: T,
    /// Its revision.
    pub mark: u64,
}

/// What is known of a cell.
#[derive(Debug, Clone, Default)]
pub struct CellState {
    /// Its presence, while its lease holds.
    pub presence: Option<Versioned<CellPresence>>,
    /// Its registrations so far.
    pub generation: Option<Versioned<Generation>>,
    /// Since when its presence is known to be missing.
    pub absent_since: Option<Instant>,
    /// When its presence was last read anew.
    pub heard_at: Option<Instant>,
    /// An operator drains it.
    pub drain: Option<Drain>,
}

/// Final states in memory; older ones are read from the ledger.
const MOST_FINALS: usize = 20_000;
/// Changes of jobs in memory: as many as the ledger's log keeps.
const MOST_CHANGES: usize = 10_000;

/// The replica.
#[derive(Debug, Default)]
pub struct LedgerReplica {
    /// All changes up to here are in.
    pub revision: u64,
    /// Open jobs.
    pub jobs: BTreeMap<String, Versioned<LedgerJob>>,
    /// Cells of the operators' file. What others write under names that are not in it is counted as
    /// malformed and changes nothing.
    pub cells: BTreeMap<String, CellState>,
    /// Records that could not be read, or are of no known cell.
    pub malformed: u64,
    /// Open jobs whose record cannot be read: they are known, and nothing else is said of them.
    unreadable: BTreeMap<String, u64>,
    /// When the cancellation of an open job was first read.
    cancelled_at: BTreeMap<String, Instant>,
    /// Changes of jobs of late, for others that cannot read them.
    changes: VecDeque<(u64, String)>,
    /// All later changes of jobs are among these.
    changes_from: u64,
    finals: HashMap<String, FinalState>,
    finals_order: VecDeque<String>,
}

impl LedgerReplica {
    /// An empty one, for these cells.
    pub fn new<'a>(cells: impl IntoIterator<Item = &'a str>) -> Self {
        let cells = cells.into_iter();
        Self {
            cells: cells
                .map(|name| (name.to_owned(), CellState::default()))
                .collect(),
            ..Self::default()
        }
    }

    /// Starts again from a listing. A cell that is not in it counts as missing from now on.
    pub fn reset(&mut self, pairs: Vec<Pair>, revision: u64, now: Instant) {
        self.jobs.clear();
        self.unreadable.clear();
        self.cancelled_at.clear();
        self.changes.clear();
        self.changes_from = revision;
        for cell in self.cells.values_mut() {
            *cell = CellState {
                absent_since: Some(now),
                ..CellState::default()
            };
        }
        for pair in pairs {
            self.put(&pair.k, pair.data.get(), pair.mark, now);
        }
        self.revision = revision;
    }

    /// Takes in what a reading of the log returned. Answers may overlap.
    pub fn take(&mut self, log: Vec<Change>, revision: u64, now: Instant) {
        for change in log {
            if change.mark <= self.revision {
                continue;
            }
            if let Some(key) = change.set.as_ref().or(change.drop.as_ref()) {
                self.note_change(key, change.mark);
            }
            if let (Some(key), Some(data)) = (&change.set, &change.data) {
                self.put(key, data.get(), change.mark, now);
            } else if let Some(key) = &change.drop {
                self.remove(key, change.mark, now);
            }
        }
        self.revision = self.revision.max(revision);
    }

    fn note_change(&mut self, key: &str, mark: u64) {
        let rest = key.strip_prefix(LIVE_PREFIX);
        let Some(("j", id)) = rest.and_then(|rest| rest.split_once('/')) else {
            return;
        };
        self.changes.push_back((mark, id.to_owned()));
        if self.changes.len() > MOST_CHANGES
            && let Some((oldest, _)) = self.changes.pop_front()
        {
            self.changes_from = self.changes_from.max(oldest);
        }
    }

    /// The jobs that changed after a revision and that a cell must not run by what is known here; none
    /// if that cannot be told.
    pub fn lost_since(&self, cell: &str, revision: u64) -> Option<Vec<String>> {
        if revision < self.changes_from {
            return None;
        }
        let runs = |id: &str| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| job.record.owner == cell && !job.record.cancelled)
        };
        let changed = self.changes.iter().filter(|(mark, _)| *mark > revision);
        let lost = changed.filter(|(_, id)| !runs(id));
        Some(lost.map(|(_, id)| id.clone()).collect())
    }

    /// Takes in a job's record that this process wrote, as soon as that is answered.
    pub fn note_job(&mut self, id: &str, record: LedgerJob, mark: u64, now: Instant) {
        // The log may have told of its end already.
        if mark <= self.revision || self.finals.contains_key(id) {
            return;
        }
        let held = self.jobs.get(id).map_or(0, |held| held.mark);
        if mark > held {
            // Others may ask for it before the log tells of it.
            self.changes.push_back((mark, id.to_owned()));
            self.hold(id, record, mark, now);
        }
    }

    /// Puts one record, unless a newer one is held.
    fn put(&mut self, key: &str, data: &str, mark: u64, now: Instant) {
        let Some(rest) = key.strip_prefix(LIVE_PREFIX) else {
            return;
        };
        let Some((slice, name)) = rest.split_once('/') else {
            self.malformed += 1;
            return;
        };
        match slice {
            "j" => self.put_job(name, data, mark, now),
            "n" => {
                let presence: Option<CellPresence> = self.read(key, data);
                if let (Some(record), Some(cell)) = (presence, self.cell(name)) {
                    cell.presence = Some(Versioned { record, mark });
                    cell.absent_since = None;
                    cell.heard_at = Some(now);
                }
            }
            "g" => {
                let generation: Option<Generation> = self.read(key, data);
                if let (Some(record), Some(cell)) = (generation, self.cell(name)) {
                    cell.generation = Some(Versioned { record, mark });
                }
            }
            "d" => {
                let drain: Option<Drain> = self.read(key, data);
                if let (Some(drain), Some(cell)) = (drain, self.cell(name)) {
                    cell.drain = Some(drain);
                }
            }
            _ => self.malformed += 1,
        }
    }

    fn put_job(&mut self, id: &str, data: &str, mark: u64, now: Instant) {
        if self.jobs.get(id).is_some_and(|held| held.mark >= mark) {
            return;
        }
        let record: Option<LedgerJob> = self.read(id, data);
        match record {
            // An owner that the file does not name could never be seen to be gone.
            Some(record) if self.cells.contains_key(&record.owner) => {
                self.unreadable.remove(id);
                self.hold(id, record, mark, now);
            }
            Some(_) => {
                self.malformed += 1;
                self.forget_readable(id, mark);
            }
            None => self.forget_readable(id, mark),
        }
    }

    fn hold(&mut self, id: &str, record: LedgerJob, mark: u64, now: Instant) {
        if record.cancelled {
            self.cancelled_at.entry(id.to_owned()).or_insert(now);
        }
        self.jobs.insert(id.to_owned(), Versioned { record, mark });
    }

    /// Whether an open job is cancelled, and no controller can start it by an earlier reading any more.
    pub fn is_settled(&self, id: &str, now: Instant) -> bool {
        let read_at = self.cancelled_at.get(id);
        read_at.is_some_and(|at| now.saturating_duration_since(*at) >= CANCELLATION_SETTLES)
    }

    fn forget_readable(&mut self, id: &str, mark: u64) {
        self.jobs.remove(id);
        self.unreadable.insert(id.to_owned(), mark);
    }

    fn cell(&mut self, name: &str) -> Option<&mut CellState> {
        if !self.cells.contains_key(name) {
            self.malformed += 1;
        }
        self.cells.get_mut(name)
    }

    fn read<T: for<'de> Deserialize<'de>>(&mut self, key: &str, data: &str) -> Option<T> {
        match serde_json::from_str(data) {
            Ok(record) => Some(record),
            Err(error) => {
                tracing::error!(key, %error, "a record of the ledger cannot be read");
                self.malformed += 1;
                None
            }
        }
    }

    fn remove(&mut self, key: &str, mark: u64, now: Instant) {
        let rest = key.strip_prefix(LIVE_PREFIX);
        match rest.and_then(|rest| rest.split_once('/')) {
            Some(("j", id)) => {
                if self.jobs.get(id).is_some_and(|held| held.mark < mark) {
                    self.jobs.remove(id);
                    self.cancelled_at.remove(id);
                }
                self.unreadable.remove(id);
            }
            Some(("n", name)) => {
                if let Some(cell) = self.cells.get_mut(name) {
                    cell.presence = None;
                    cell.absent_since = Some(now);
                }
            }
            Some(("d", name)) => {
                if let Some(cell) = self.cells.get_mut(name) {
                    cell.drain = None;
                }
            }
            _ => {}
        }
    }

    /// Whether a record of the job is there that cannot be read.
    pub fn is_unreadable(&self, id: &str) -> bool {
        self.unreadable.contains_key(id)
    }

    /// How a job ended, if that is in memory.
    pub fn final_state(&self, id: &str) -> Option<FinalState> {
        self.finals.get(id).copied()
    }

    /// Remembers how a job ended. That never changes.
    pub fn remember_final(&mut self, id: &str, last: FinalState) {
        self.jobs.remove(id);
        self.cancelled_at.remove(id);
        if self.finals.insert(id.to_owned(), last).is_some() {
            return;
        }
        self.finals_order.push_back(id.to_owned());
        if self.finals_order.len() > MOST_FINALS
            && let Some(oldest) = self.finals_order.pop_front()
        {
            self.finals.remove(&oldest);
        }
    }

    /// Whether a cell's lease holds, as far as was read.
    pub fn is_present(&self, cell: &str) -> bool {
        let cell = self.cells.get(cell);
        cell.is_some_and(|cell| cell.presence.is_some())
    }

    /// Whether an operator drains a cell.
    pub fn is_draining(&self, cell: &str) -> bool {
        let cell = self.cells.get(cell);
        cell.is_some_and(|cell| cell.drain.is_some())
    }

    /// The guards under which a cell is taken to be gone: it is not there, and has not been back since.
    pub fn absence_guards(&self, cell: &str) -> [Guard; 2] {
        let generation = self.cells.get(cell).and_then(|c| c.generation.as_ref());
        [
            Guard::absent(presence_key(cell)),
            Guard {
                k: generation_key(cell),
                mark: generation.map_or(0, |g| g.mark),
            },
        ]
    }
}

#[cfg(test)]
mod tests;
