//! The dependencies among jobs: a directed acyclic graph of the blocked ones. They are kept apart from the jobs that
//! placement reads, and come to those by one guarded change once all that they depend on is done. Whether one is
//! cancelled along with a dependency follows from the records alone, so that no end of a process between two writes
//! leaves one behind.

pub mod deadlines;
pub mod service;

use crate::jobs::{JobRecord, TerminalState};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// A job that depends on others which are not all done.
#[derive(Debug, Clone, PartialEq)]
pub struct BlockedJob {
    pub record: JobRecord,
    pub depends_on: Vec<String>,
    pub revision: u64,
    /// The dependencies that are not known to be done.
    unfinished: BTreeSet<String>,
}

impl BlockedJob {
    /// A job by its record, before its dependencies are examined.
    pub fn new(record: JobRecord, depends_on: Vec<String>, revision: u64) -> Self {
        Self {
            record,
            depends_on,
            revision,
            unfinished: BTreeSet::new(),
        }
    }
}

/// The state of one dependency, or of several together: the greatest of theirs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DependencyState {
    Completed,
    Unfinished,
    Cancelled,
}

/// The blocked jobs and what follows for them from the ends of others.
#[derive(Debug, Default)]
pub struct Pipelines {
    blocked: BTreeMap<String, BlockedJob>,
    /// The blocked jobs that depend on a job, by its id; it may have ended long ago.
    dependents: HashMap<String, BTreeSet<String>>,
    /// Blocked jobs whose dependencies are all done.
    ready: BTreeSet<String>,
    /// Blocked jobs that are cancelled, themselves or along with a dependency.
    cancelled: BTreeSet<String>,
    /// Rises with each change.
    pub version: u64,
}

impl Pipelines {
    /// An empty graph of the next version, for a reload of all records.
    pub fn cleared(&self) -> Self {
        Self {
            version: self.version + 1,
            ..Self::default()
        }
    }

    /// The blocked job of that id.
    pub fn get(&self, id: &str) -> Option<&BlockedJob> {
        self.blocked.get(id)
    }

    /// All blocked jobs, by id.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &BlockedJob)> {
        self.blocked.iter()
    }

    /// Whether a blocked job is cancelled, itself or along with a dependency.
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled.contains(id)
    }

    /// Inserts a job, unless a newer record of it is known. `state_of` tells what is known of a dependency.
    pub fn insert(
        &mut self,
        id: &str,
        mut job: BlockedJob,
        state_of: impl Fn(&str) -> DependencyState,
    ) {
        let known = self.blocked.get(id);
        if known.is_some_and(|known| known.revision >= job.revision) {
            return;
        }
        self.remove(id);
        self.version += 1;
        let mut is_cancelled = job.record.cancelled;
        for dependency in &job.depends_on {
            let dependents = self.dependents.entry(dependency.clone()).or_default();
            dependents.insert(id.to_owned());
            match state_of(dependency) {
                DependencyState::Completed => {}
                DependencyState::Cancelled => is_cancelled = true,
                DependencyState::Unfinished => {
                    is_cancelled |= self.cancelled.contains(dependency);
                    job.unfinished.insert(dependency.clone());
                }
            }
        }
        if job.unfinished.is_empty() && !is_cancelled {
            self.ready.insert(id.to_owned());
        }
        self.blocked.insert(id.to_owned(), job);
        if is_cancelled {
            self.cancelled.insert(id.to_owned());
            self.cascade_cancel(id);
        }
    }

    /// Removes a job that is no longer blocked: it was released, or has ended.
    pub fn remove(&mut self, id: &str) -> Option<BlockedJob> {
        let job = self.blocked.remove(id)?;
        self.version += 1;
        for dependency in &job.depends_on {
            if let Some(dependents) = self.dependents.get_mut(dependency) {
                dependents.remove(id);
                if dependents.is_empty() {
                    self.dependents.remove(dependency);
                }
            }
        }
        self.ready.remove(id);
        self.cancelled.remove(id);
        Some(job)
    }

    /// Records that a job ended or was cancelled, for those that depend on it.
    pub fn record_final_state(&mut self, id: &str, final_state: TerminalState) {
        match final_state {
            TerminalState::Cancelled => self.cascade_cancel(id),
            TerminalState::Done => self.complete_dependency(id),
        }
    }

    fn complete_dependency(&mut self, id: &str) {
        for dependent in self.dependents.get(id).into_iter().flatten() {
            let Some(job) = self.blocked.get_mut(dependent) else {
                continue;
            };
            job.unfinished.remove(id);
            if job.unfinished.is_empty() && !self.cancelled.contains(dependent) {
                self.ready.insert(dependent.clone());
                self.version += 1;
            }
        }
    }

    /// Marks as cancelled all that depend on a job, directly or through others. A list of its own takes the place
    /// of recursion: chains may be long.
    fn cascade_cancel(&mut self, id: &str) {
        let mut remaining = vec![id.to_owned()];
        while let Some(id) = remaining.pop() {
            for dependent in self.dependents.get(&id).into_iter().flatten() {
                if self.blocked.contains_key(dependent) && self.cancelled.insert(dependent.clone())
                {
                    self.ready.remove(dependent);
                    self.version += 1;
                    remaining.push(dependent.clone());
                }
            }
        }
    }

    /// The blocked jobs whose dependencies are all done.
    pub fn ready(&self) -> impl Iterator<Item = (&String, &BlockedJob)> {
        let ready = self.ready.iter();
        ready.filter_map(|id| self.blocked.get_key_value(id))
    }

    /// The blocked jobs that are cancelled.
    pub fn cancelled(&self) -> impl Iterator<Item = (&String, &BlockedJob)> {
        let cancelled = self.cancelled.iter();
        cancelled.filter_map(|id| self.blocked.get_key_value(id))
    }

    /// The jobs that one depends on, directly or through others, of which neither a record here nor `is_known`
    /// tells: they ended before this process began to watch, and are looked up.
    pub fn unknown_ancestors(&self, id: &str, is_known: impl Fn(&str) -> bool) -> Vec<String> {
        let mut visited: HashSet<&str> = HashSet::from([id]);
        let mut remaining = vec![id];
        let mut unknown = Vec::new();
        while let Some(id) = remaining.pop() {
            let Some(job) = self.blocked.get(id) else {
                continue;
            };
            let unfinished = job.unfinished.iter();
            for dependency in unfinished.filter(|other| visited.insert(other)) {
                if self.blocked.contains_key(dependency) {
                    remaining.push(dependency);
                } else if !is_known(dependency) {
                    unknown.push(dependency.clone());
                }
            }
        }
        unknown
    }

    /// The unknown ancestors of all blocked jobs.
    pub fn unknown_dependencies(&self, is_known: impl Fn(&str) -> bool) -> BTreeSet<String> {
        let unfinished = self.blocked.values().flat_map(|job| &job.unfinished);
        let unknown = unfinished.filter(|id| !self.blocked.contains_key(*id) && !is_known(id));
        unknown.cloned().collect()
    }
}

#[cfg(test)]
pub mod tests;
