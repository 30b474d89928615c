//! Open, blocked and ended jobs in the replica.

use super::{Job, Put, Replica};
use crate::jobs::{JobRecord, PageId, StoredJob, TaskRecord, TerminalState};
use crate::pipelines::{BlockedJob, DependencyState};
use crate::state::records::Versioned;
use std::collections::BTreeSet;

/// Maximum number of final states in the replica; the state service keeps all of them.
const MAX_FINAL_STATES: usize = 20_000;
/// Maximum number of ended jobs whose records the replica keeps.
const MAX_RECENTLY_ENDED: usize = 1_000;

impl Replica {
    /// A job's final state, if the replica knows it.
    pub fn final_state(&self, id: &str) -> Option<TerminalState> {
        self.final_states.get(id).copied()
    }

    /// Records a job's final state. Discards the oldest one if there are more than `MAX_FINAL_STATES`.
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

    /// Whether the replica shows that the job was accepted.
    pub fn is_known(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
            || self.pipelines.get(id).is_some()
            || self.final_states.contains_key(id)
    }

    /// Whether the job has a record that cannot be decoded. Such a job must not be treated as unknown.
    pub fn is_unreadable(&self, id: &str) -> bool {
        self.unreadable.contains(id)
    }

    /// Dependencies of blocked jobs of which the replica has neither a record nor a final state.
    pub fn unknown_dependencies(&self) -> BTreeSet<String> {
        self.pipelines
            .unknown_dependencies(|id| self.jobs.contains_key(id))
    }

    /// Direct and indirect dependencies of the job `id` of which the replica has neither a record nor a final
    /// state.
    pub fn unknown_ancestors(&self, id: &str) -> Vec<String> {
        let is_open = |id: &str| self.jobs.contains_key(id);
        self.pipelines.unknown_ancestors(id, is_open)
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
        // This controller's own write of the job may be applied after the watch has reported the job's end.
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

    /// Inserts a new open job together with its progress pages that arrived before the job's record.
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
        for (task, record) in job.recorded_tasks(&self.layout) {
            job.update_counts(&TaskRecord::NEVER_STARTED, &record);
            self.index_task(id, task, &TaskRecord::NEVER_STARTED, &record);
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
        // The job has been released or has ended in the meantime, so this put is outdated.
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

    /// The final state of a job whose record was deleted; `None` if the replica has no record of the job, or only
    /// one of a blocked job that is newer than the deletion.
    fn state_at_deletion(&self, id: &str, revision: u64) -> Option<TerminalState> {
        match self.jobs.get(id) {
            Some(job) if job.record.cancelled => Some(TerminalState::Cancelled),
            Some(_) => Some(TerminalState::Done),
            None => {
                // A blocked job's record is deleted only if the job is cancelled; a release overwrites it.
                let blocked = self.pipelines.get(id)?;
                (blocked.revision < revision).then_some(TerminalState::Cancelled)
            }
        }
    }

    /// Applies the end of a job. None of its tasks is placed any more. Its pages become orphaned, and garbage
    /// collection deletes them.
    fn end_job(&mut self, id: &str, state: TerminalState) {
        self.remove_job(id);
        self.record_final_state(id, state);
    }

    /// Removes a job that has ended or was relinquished to another cell. Its pages become orphaned.
    fn remove_job(&mut self, id: &str) {
        self.unreadable.remove(id);
        self.pipelines.remove(id);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for (task, record) in job.recorded_tasks(&self.layout) {
            self.index_task(id, task, &record, &TaskRecord::Done);
        }
        self.changed_jobs.insert(id.to_owned());
        for (page, orphan) in job.pages {
            self.orphaned_pages.insert((id.to_owned(), page), orphan);
        }
        self.insert_recently_ended(id, job.record);
    }

    /// Keeps the record of an ended job. Discards the oldest one if there are more than
    /// [`MAX_RECENTLY_ENDED`].
    fn insert_recently_ended(&mut self, id: &str, record: JobRecord) {
        let previous = self.recently_ended.insert(id.to_owned(), record);
        if previous.is_some() {
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
