//! Jobs in the replica: open ones, those that wait for others, and those that ended.

use super::{Job, Put, Replica};
use crate::jobs::{JobRecord, PageId, StoredJob, TaskRecord, TerminalState};
use crate::pipelines::{BlockedJob, DependencyState};
use crate::state::records::Versioned;
use std::collections::BTreeSet;

/// Final states that are remembered; the service has them all.
const MAX_FINAL_STATES: usize = 20_000;
/// Ended jobs whose records are remembered.
const MAX_RECENTLY_ENDED: usize = 1_000;

impl Replica {
    /// How a job ended, if that is known here.
    pub fn final_state(&self, id: &str) -> Option<TerminalState> {
        self.final_states.get(id).copied()
    }

    /// Records how a job ended; the oldest beyond a limit is forgotten.
    pub fn record_final_state(&mut self, id: &str, state: TerminalState) {
        self.pipelines.record_final_state(id, state);
        if self.final_states.insert(id.to_owned(), state).is_some() {
            return;
        }
        self.final_states_order.push_back(id.to_owned());
        if self.final_states_order.len() > MAX_FINAL_STATES
            && let Some(oldest) = self.final_states_order.pop_front()
        {
            self.final_states.remove(&oldest);
        }
    }

    /// Whether the job was accepted, as far as is known here.
    pub fn is_known(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
            || self.pipelines.get(id).is_some()
            || self.final_states.contains_key(id)
    }

    /// Whether the job has a record that cannot be read: it is never taken for one without a record.
    pub fn is_unreadable(&self, id: &str) -> bool {
        self.unreadable.contains(id)
    }

    /// Jobs that others wait for and of which no record here says anything.
    pub fn unknown_dependencies(&self) -> BTreeSet<String> {
        self.pipelines
            .unknown_dependencies(|id| self.jobs.contains_key(id))
    }

    /// Of the jobs that `id` waits for, directly or not, those of which no record here says anything.
    pub fn unknown_ancestors(&self, id: &str) -> Vec<String> {
        let known = |id: &str| self.jobs.contains_key(id);
        self.pipelines.unknown_ancestors(id, known)
    }

    pub(super) fn put_stored_job(&mut self, id: &str, put: Put) {
        let Some(Versioned { record, revision }) = put.decode() else {
            self.unreadable.insert(id.to_owned());
            return;
        };
        match record {
            StoredJob::Open(record) => self.put_open_job(id, record, revision),
            StoredJob::Blocked { record, depends_on } => {
                self.put_blocked_job(id, record, depends_on, revision);
            }
            StoredJob::Finished { outcome } => {
                self.end_job(id, outcome);
                self.ended_pending_archive.insert(id.to_owned(), revision);
            }
        }
    }

    fn put_open_job(&mut self, id: &str, record: JobRecord, revision: u64) {
        // Our own accept, applied after the watch already reported the job's end.
        if self.final_states.contains_key(id) {
            return;
        }
        let blocked = self.pipelines.get(id);
        if blocked.is_some_and(|blocked| blocked.revision >= revision) {
            return;
        }
        self.pipelines.remove(id);
        self.unreadable.remove(id);
        self.changed_jobs.insert(id.to_owned());
        if record.cancelled && !record.withdrawn {
            self.pipelines
                .record_final_state(id, TerminalState::Cancelled);
        }
        match self.jobs.get_mut(id) {
            Some(job) if job.revision < revision => {
                job.record = record;
                job.revision = revision;
            }
            Some(_) => {}
            None => self.insert_job(id, Job::new(record, revision)),
        }
    }

    /// Inserts a job that is not held yet, with the pages that came before it.
    fn insert_job(&mut self, id: &str, mut job: Job) {
        let first = (id.to_owned(), PageId::Plain(0));
        let last = (id.to_owned(), PageId::Compact(usize::MAX));
        let pages = self.orphaned_pages.range(first..=last);
        let pages: Vec<PageId> = pages.map(|((_, page), _)| *page).collect();
        for page in pages {
            if let Some(orphan) = self.orphaned_pages.remove(&(id.to_owned(), page)) {
                job.pages.insert(page, orphan);
            }
        }
        if !job.pages.is_empty() {
            for task in 0..job.record.spec.tasks {
                let record = job.task_record(&self.layout, task).clone();
                job.update_counts(&TaskRecord::NEVER_STARTED, &record);
                self.index_task(id, task, &TaskRecord::NEVER_STARTED, &record);
            }
        }
        self.jobs.insert(id.to_owned(), job);
    }

    fn put_blocked_job(
        &mut self,
        id: &str,
        record: JobRecord,
        depends_on: Vec<String>,
        revision: u64,
    ) {
        // It was released or has ended since: an older change comes late.
        if self.final_states.contains_key(id) || self.jobs.contains_key(id) {
            return;
        }
        self.unreadable.remove(id);
        let (jobs, final_states) = (&self.jobs, &self.final_states);
        let state_of = |other: &str| match (jobs.get(other), final_states.get(other)) {
            (_, Some(TerminalState::Done)) => DependencyState::Completed,
            (_, Some(TerminalState::Cancelled)) => DependencyState::Cancelled,
            (Some(job), None) if job.record.cancelled => DependencyState::Cancelled,
            _ => DependencyState::Unfinished,
        };
        let job = BlockedJob::new(record, depends_on, revision);
        self.pipelines.insert(id, job, state_of);
    }

    pub(super) fn delete_job(&mut self, id: &str, revision: u64) {
        let job = self.jobs.get(id);
        if job.is_some_and(|job| job.record.withdrawn && job.revision < revision) {
            self.remove_job(id);
            return;
        }
        if let Some(state) = self.state_at_deletion(id, revision) {
            self.end_job(id, state);
        }
        self.unreadable.remove(id);
        self.ended_pending_archive.remove(id);
    }

    /// How a job ended whose key was deleted; none if nothing is held that the deletion ends.
    fn state_at_deletion(&self, id: &str, revision: u64) -> Option<TerminalState> {
        match self.jobs.get(id) {
            Some(job) if job.record.cancelled => Some(TerminalState::Cancelled),
            Some(_) => Some(TerminalState::Done),
            None => {
                // One that waits leaves its key in two ways: released, which sets it again, and
                // cancelled.
                let blocked = self.pipelines.get(id)?;
                (blocked.revision < revision).then_some(TerminalState::Cancelled)
            }
        }
    }

    /// A job ended: nothing of it is on any machine or will be. Its pages are left to be deleted.
    fn end_job(&mut self, id: &str, state: TerminalState) {
        self.remove_job(id);
        self.record_final_state(id, state);
    }

    /// Removes a job that ended, or is another cell's now. Its pages become orphans.
    fn remove_job(&mut self, id: &str) {
        self.unreadable.remove(id);
        self.pipelines.remove(id);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for task in 0..job.record.spec.tasks {
            let record = job.task_record(&self.layout, task);
            self.index_task(id, task, record, &TaskRecord::Done);
        }
        self.changed_jobs.insert(id.to_owned());
        for (page, orphan) in job.pages {
            self.orphaned_pages.insert((id.to_owned(), page), orphan);
        }
        self.remember_recently_ended(id, job.record);
    }

    /// Remembers the record of an ended job; the oldest beyond a limit is forgotten.
    fn remember_recently_ended(&mut self, id: &str, record: JobRecord) {
        let known = self.recently_ended.insert(id.to_owned(), record);
        if known.is_some() {
            return;
        }
        self.recently_ended_order.push_back(id.to_owned());
        if self.recently_ended_order.len() > MAX_RECENTLY_ENDED
            && let Some(oldest) = self.recently_ended_order.pop_front()
        {
            self.recently_ended.remove(&oldest);
        }
    }
}
