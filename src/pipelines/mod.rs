//! The dependencies among jobs, as a directed acyclic graph of the blocked jobs. Placement doesn't see a blocked job:
//! once all of its dependencies are done, one conditional write releases it to the open jobs. Whether a blocked job is
//! cancelled along with a dependency is derived from the records, so a process that ends between two writes can't leave
//! a dependent job blocked forever.

pub mod deadlines;
pub mod service;

use crate::jobs::{JobRecord, TerminalState};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// A job that is not released yet: at its acceptance, not all of its dependencies were done.
#[derive(Debug, Clone, PartialEq)]
pub struct BlockedJob {
    pub record: JobRecord,
    pub depends_on: Vec<String>,
    pub revision: u64,
    /// The dependencies that are not known to be done.
    unfinished: BTreeSet<String>,
}

impl BlockedJob {
    /// Creates a blocked job. [`Pipelines::insert`] determines which of its dependencies are unfinished.
    pub fn new(record: JobRecord, depends_on: Vec<String>, revision: u64) -> Self {
        Self {
            record,
            depends_on,
            revision,
            unfinished: BTreeSet::new(),
        }
    }
}

/// The state of a dependency. The combined state of several dependencies is the greatest of their states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DependencyState {
    Completed,
    Unfinished,
    Cancelled,
}

/// The blocked jobs, and which of them are ready or cancelled according to the final states of their dependencies.
#[derive(Debug, Default)]
pub struct Pipelines {
    blocked: BTreeMap<String, BlockedJob>,
    /// The blocked jobs that depend directly on a job, by the id of that job, which may have ended long ago.
    dependents: HashMap<String, BTreeSet<String>>,
    /// Blocked jobs whose dependencies are all done.
    ready: BTreeSet<String>,
    /// Blocked jobs that were cancelled themselves or along with a dependency.
    cancelled: BTreeSet<String>,
    /// Increases with each change.
    pub version: u64,
}

impl Pipelines {
    /// An empty graph with the next version, for a reload of all records.
    pub fn cleared(&self) -> Self {
        Self {
            version: self.version + 1,
            ..Self::default()
        }
    }

    /// The blocked job with this id.
    pub fn get(&self, id: &str) -> Option<&BlockedJob> {
        self.blocked.get(id)
    }

    /// All blocked jobs with their ids, in the order of the ids.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &BlockedJob)> {
        self.blocked.iter()
    }

    /// Whether a blocked job was cancelled itself or along with a dependency.
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled.contains(id)
    }

    /// Inserts a job, unless a record of it with the same or a newer revision is known. `state_of` returns the known state
    /// of a dependency.
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

    /// Removes a job that is no longer blocked because it was released or has ended.
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

    /// Updates the jobs that depend on a job with its final state.
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

    /// Marks as cancelled all blocked jobs that depend on a job directly or indirectly. Iterative, because recursion over
    /// a long chain could overflow the stack.
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

    /// The direct and indirect dependencies of a job that are neither blocked nor known by `is_known`. Their final states
    /// must be looked up: they ended before this process loaded the records, unless their records cannot be read.
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

    /// The unknown direct and indirect dependencies of all blocked jobs.
    pub fn unknown_dependencies(&self, is_known: impl Fn(&str) -> bool) -> BTreeSet<String> {
        let unfinished = self.blocked.values().flat_map(|job| &job.unfinished);
        let unknown = unfinished.filter(|id| !self.blocked.contains_key(*id) && !is_known(id));
        unknown.cloned().collect()
    }
}

#[cfg(test)]
pub mod tests;
