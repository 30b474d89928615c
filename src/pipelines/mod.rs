//! Jobs that wait for others. They are kept apart from the jobs that placing reads, and come to those
//! by one guarded change once all that they need is done. Whether one is cancelled along with what it
//! needs follows from the records alone, so that no end of a process between two writes leaves one
//! behind.

pub mod paths;
pub mod service;

use crate::jobs::{JobRecord, TerminalState};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// A job that waits for others.
#[derive(Debug, Clone, PartialEq)]
pub struct Blocked {
    pub record: JobRecord,
    pub awaits: Vec<String>,
    pub revision: u64,
    /// What it needs that is not known to be done.
    open: BTreeSet<String>,
}

/// What is known of a job that another needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    Done,
    Cancelled,
    Open,
}

#[derive(Debug, Default)]
pub struct Pipelines {
    held: BTreeMap<String, Blocked>,
    /// Who waits for a job, by its id; it may have ended long ago.
    dependents: HashMap<String, BTreeSet<String>>,
    /// All that they need is done.
    ready: BTreeSet<String>,
    /// Cancelled along with what they need.
    doomed: BTreeSet<String>,
    /// Rises with each change.
    pub version: u64,
}

impl Pipelines {
    /// None yet, for a new reading of all records.
    pub fn anew(&self) -> Self {
        Self {
            version: self.version + 1,
            ..Self::default()
        }
    }

    pub fn get(&self, id: &str) -> Option<&Blocked> {
        self.held.get(id)
    }

    pub fn all(&self) -> impl Iterator<Item = (&String, &Blocked)> {
        self.held.iter()
    }

    pub fn is_doomed(&self, id: &str) -> bool {
        self.doomed.contains(id)
    }

    /// Takes in a record, as far as it is newer; `need` tells what is known of what it awaits.
    pub fn put(
        &mut self,
        id: &str,
        record: JobRecord,
        awaits: Vec<String>,
        revision: u64,
        need: impl Fn(&str) -> Need,
    ) {
        if self
            .held
            .get(id)
            .is_some_and(|old| old.revision >= revision)
        {
            return;
        }
        self.remove(id);
        self.version += 1;
        let mut open = BTreeSet::new();
        let mut cancelled = record.cancelled;
        for other in &awaits {
            let waiting = self.dependents.entry(other.clone()).or_default();
            waiting.insert(id.to_owned());
            match need(other) {
                Need::Done => {}
                Need::Cancelled => cancelled = true,
                Need::Open => {
                    cancelled |= self.doomed.contains(other);
                    open.insert(other.clone());
                }
            }
        }
        if open.is_empty() && !cancelled {
            self.ready.insert(id.to_owned());
        }
        let held = Blocked {
            record,
            awaits,
            revision,
            open,
        };
        self.held.insert(id.to_owned(), held);
        if cancelled {
            self.doomed.insert(id.to_owned());
            self.doom_after(id);
        }
    }

    /// It waits no longer: it was released, or is over.
    pub fn remove(&mut self, id: &str) -> Option<Blocked> {
        let held = self.held.remove(id)?;
        self.version += 1;
        for other in &held.awaits {
            if let Some(waiting) = self.dependents.get_mut(other) {
                waiting.remove(id);
                if waiting.is_empty() {
                    self.dependents.remove(other);
                }
            }
        }
        self.ready.remove(id);
        self.doomed.remove(id);
        Some(held)
    }

    /// A job ended, or was cancelled: those that need it learn of it.
    pub fn over(&mut self, id: &str, last: TerminalState) {
        match last {
            TerminalState::Cancelled => self.doom_after(id),
            TerminalState::Done => {
                for waiting in self.dependents.get(id).into_iter().flatten() {
                    let Some(held) = self.held.get_mut(waiting) else {
                        continue;
                    };
                    held.open.remove(id);
                    if held.open.is_empty() && !self.doomed.contains(waiting) {
                        self.ready.insert(waiting.clone());
                        self.version += 1;
                    }
                }
            }
        }
    }

    /// All that need it, directly or through others. A list of its own takes the place of recursion:
    /// chains may be long.
    fn doom_after(&mut self, id: &str) {
        let mut left = vec![id.to_owned()];
        while let Some(id) = left.pop() {
            for waiting in self.dependents.get(&id).into_iter().flatten() {
                if self.held.contains_key(waiting) && self.doomed.insert(waiting.clone()) {
                    self.ready.remove(waiting);
                    self.version += 1;
                    left.push(waiting.clone());
                }
            }
        }
    }

    pub fn ready(&self) -> impl Iterator<Item = (&String, &Blocked)> {
        self.ready
            .iter()
            .filter_map(|id| self.held.get_key_value(id))
    }

    pub fn doomed(&self) -> impl Iterator<Item = (&String, &Blocked)> {
        self.doomed
            .iter()
            .filter_map(|id| self.held.get_key_value(id))
    }

    /// What a job needs, directly or through others, of which neither a record here nor `known`
    /// tells: it ended before this process began to follow, and is looked up.
    pub fn unknown_before(&self, id: &str, known: impl Fn(&str) -> bool) -> Vec<String> {
        let mut seen: HashSet<&str> = HashSet::from([id]);
        let mut left = vec![id];
        let mut unknown = Vec::new();
        while let Some(id) = left.pop() {
            let Some(held) = self.held.get(id) else {
                continue;
            };
            for other in held.open.iter().filter(|o| seen.insert(o)) {
                if self.held.contains_key(other) {
                    left.push(other);
                } else if !known(other) {
                    unknown.push(other.clone());
                }
            }
        }
        unknown
    }

    /// The same for all.
    pub fn unknown(&self, known: impl Fn(&str) -> bool) -> BTreeSet<String> {
        let open = self.held.values().flat_map(|held| &held.open);
        let unknown = open.filter(|o| !self.held.contains_key(*o) && !known(o));
        unknown.cloned().collect()
    }
}

#[cfg(test)]
pub mod tests;
