//! What is planned of tasks and not in the records yet: starts, exits, withdrawals.

use super::{Entry, TaskId};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

/// Planned changes of one job, by task.
pub type Changes = BTreeMap<u32, Entry>;

#[derive(Debug, Default)]
pub struct Plans {
    changes: BTreeMap<String, Changes>,
    /// Planned starts, by machine.
    on: HashMap<String, BTreeSet<TaskId>>,
    changed_jobs: HashSet<String>,
    changed_machines: HashSet<String>,
    /// Since when each job has changes to be recorded.
    since: HashMap<String, Instant>,
    /// In which place each job's starts were planned last: where not all can be recorded, the first go
    /// first.
    ranks: HashMap<String, usize>,
    /// Pages that a turn left for the next for want of puts, smoothed.
    unwritten: f64,
    /// Jobs whose page was refused as malformed, and until when it is not sent again.
    refused: HashMap<String, Instant>,
}

impl Plans {
    pub fn get(&self, job: &str, task: u32) -> Option<&Entry> {
        self.changes.get(job)?.get(&task)
    }

    pub fn of(&self, job: &str) -> Option<&Changes> {
        self.changes.get(job)
    }

    pub fn all(&self) -> impl Iterator<Item = (&String, &Changes)> {
        self.changes.iter()
    }

    /// Planned starts on a machine.
    pub fn on(&self, machine: &str) -> impl Iterator<Item = &TaskId> {
        self.on.get(machine).into_iter().flatten()
    }

    /// `held` is what the records say of the task.
    pub fn insert(&mut self, id: &TaskId, held: &Entry, entry: Entry) {
        self.note(id, held);
        if let Entry::Placed { machine, .. } = &entry {
            let on = self.on.entry(machine.clone()).or_default();
            on.insert(id.clone());
            self.changed_machines.insert(machine.clone());
        }
        let since = self.since.entry(id.job.clone());
        since.or_insert_with(Instant::now);
        let changes = self.changes.entry(id.job.clone()).or_default();
        let before = changes.insert(id.index, entry.clone());
        self.leaves(id, before, Some(&entry));
    }

    pub fn remove(&mut self, id: &TaskId, held: &Entry) {
        self.note(id, held);
        let Some(changes) = self.changes.get_mut(&id.job) else {
            return;
        };
        let before = changes.remove(&id.index);
        if changes.is_empty() {
            self.changes.remove(&id.job);
            self.since.remove(&id.job);
            self.ranks.remove(&id.job);
        }
        self.leaves(id, before, None);
    }

    pub fn remove_job(&mut self, job: &str) {
        let tasks: Vec<u32> = self.of(job).into_iter().flatten().map(|c| *c.0).collect();
        for task in tasks {
            self.remove(&TaskId::new(job, task), &Entry::default());
        }
    }

    fn note(&mut self, id: &TaskId, held: &Entry) {
        self.changed_jobs.insert(id.job.clone());
        if let Entry::Placed { machine, .. } = held {
            self.changed_machines.insert(machine.clone());
        }
    }

    fn leaves(&mut self, id: &TaskId, before: Option<Entry>, now: Option<&Entry>) {
        let Some(Entry::Placed { machine, .. }) = before else {
            return;
        };
        if matches!(now, Some(Entry::Placed { machine: m, .. }) if *m == machine) {
            return;
        }
        if let Some(on) = self.on.get_mut(&machine) {
            on.remove(id);
            if on.is_empty() {
                self.on.remove(&machine);
            }
        }
        self.changed_machines.insert(machine);
    }

    /// How long a job's changes have waited to be recorded.
    pub fn waited(&self, job: &str, now: Instant) -> Duration {
        let since = self.since.get(job);
        since.map_or(Duration::ZERO, |s| now.saturating_duration_since(*s))
    }

    /// Some of the job's changes were recorded: what comes from now on waits anew.
    pub fn recorded(&mut self, job: &str) {
        if let Some(since) = self.since.get_mut(job) {
            *since = Instant::now();
        }
    }

    /// Jobs in the order in which their starts were planned.
    pub fn rank<'a>(&mut self, jobs: impl Iterator<Item = &'a str>) {
        for (place, job) in jobs.enumerate() {
            self.ranks.entry(job.to_owned()).or_insert(place);
        }
    }

    /// Those whose starts are recorded are ranked anew with the next ones; the others keep their
    /// places, so that what waits comes to its turn.
    pub fn unrank(&mut self, job: &str) {
        self.ranks.remove(job);
    }

    pub fn rank_of(&self, job: &str) -> usize {
        self.ranks.get(job).copied().unwrap_or(usize::MAX)
    }

    pub fn note_unwritten(&mut self, pages: usize) {
        self.unwritten = self.unwritten * 0.8 + pages as f64 * 0.2;
    }

    pub fn unwritten(&self) -> f64 {
        (self.unwritten * 10.0).round() / 10.0
    }

    pub fn leave_alone(&mut self, job: &str, until: Instant) {
        self.refused.insert(job.to_owned(), until);
    }

    pub fn may_write(&self, job: &str, now: Instant) -> bool {
        self.refused.get(job).is_none_or(|until| *until <= now)
    }

    pub fn touch_machine(&mut self, machine: &str) {
        self.changed_machines.insert(machine.to_owned());
    }

    pub fn take_changed_jobs(&mut self) -> HashSet<String> {
        std::mem::take(&mut self.changed_jobs)
    }

    pub fn take_changed_machines(&mut self) -> HashSet<String> {
        std::mem::take(&mut self.changed_machines)
    }
}
