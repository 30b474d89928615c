//! Progress pages in the replica, and the data derived from them: the index of tasks by machine, and each
//! job's counts of done and placed tasks. Most of the changes that the watch reports are progress pages.

use super::job::record_on_pages;
use super::{Put, Replica};
use crate::jobs::{PageId, ProgressPage, TaskId, TaskRecord};
use crate::state::keys::RecordKey;
use crate::state::records::Versioned;

impl<'a> RecordKey<'a> {
    /// The key of a job's progress page.
    pub fn page(job: &'a str, page: PageId) -> Self {
        match page {
            PageId::Plain(number) => RecordKey::PlainPage { job, number },
            PageId::Compact(number) => RecordKey::CompactPage { job, number },
        }
    }
}

impl Replica {
    /// A task's record. The pages of an ended job are available until they are deleted. A task that no page
    /// covers was never started.
    pub fn task_record(&self, job: &str, task: u32) -> &TaskRecord {
        if let Some(job) = self.jobs.get(job) {
            return job.task_record(&self.layout, task);
        }
        if self.orphaned_pages.is_empty() {
            return &TaskRecord::NEVER_STARTED;
        }
        let page = |page: PageId| self.orphaned_pages.get(&(job.to_owned(), page));
        record_on_pages(page, &self.layout, task)
    }

    /// The page on which a task's next record is written.
    pub fn page_to_write(&self, task: u32) -> PageId {
        if self.is_current_schema_active() && self.layout.uses_compact() {
            self.layout.compact_page_of(task)
        } else {
            self.layout.plain_page_of(task)
        }
    }

    pub(super) fn put_plain_page(&mut self, job: &str, number: usize, put: Put) {
        let page = serde_json::from_str(put.value);
        self.put_page(job, PageId::Plain(number), page, put);
    }

    pub(super) fn put_compact_page(&mut self, job: &str, number: usize, put: Put) {
        let page = ProgressPage::from_compact(put.value);
        self.put_page(job, PageId::Compact(number), page, put);
    }

    fn put_page(
        &mut self,
        job: &str,
        id: PageId,
        page: Result<ProgressPage, serde_json::Error>,
        put: Put,
    ) {
        match page {
            Ok(page) => self.apply_page(job, id, page, put.revision),
            Err(error) => put.log_malformed(&error),
        }
    }

    /// Applies a page, unless the held page is at least as new.
    pub fn apply_page(&mut self, job: &str, id: PageId, page: ProgressPage, revision: u64) {
        let held = self.page(job, id);
        if !Versioned::is_superseded(held, revision) {
            return;
        }
        let slots = self.affected_slots(held.map(|held| &held.record), id, page.0.len());
        let before = self.task_records(job, id, slots);
        let page = Versioned {
            record: page,
            revision,
        };
        match self.jobs.get_mut(job) {
            Some(job) => {
                job.pages.insert(id, page);
            }
            None => {
                self.orphaned_pages.insert((job.to_owned(), id), page);
            }
        }
        self.update_tasks(job, id, before);
        self.changed_jobs.insert(job.to_owned());
    }

    pub(super) fn delete_page(&mut self, job: &str, id: PageId) {
        let Some(held) = self.page(job, id) else {
            return;
        };
        let slots = self.affected_slots(Some(&held.record), id, 0);
        let before = self.task_records(job, id, slots);
        match self.jobs.get_mut(job) {
            Some(job) => job.pages.remove(&id),
            None => self.orphaned_pages.remove(&(job.to_owned(), id)),
        };
        self.update_tasks(job, id, before);
    }

    fn page(&self, job: &str, id: PageId) -> Option<&Versioned<ProgressPage>> {
        match self.jobs.get(job) {
            Some(job) => job.pages.get(&id),
            None => self.orphaned_pages.get(&(job.to_owned(), id)),
        }
    }

    /// The number of slots whose records may change when a page with `new_slots` slots replaces the `held` one.
    /// A new compact page affects all slots, because it overrides the plain pages for all of its tasks.
    fn affected_slots(&self, held: Option<&ProgressPage>, id: PageId, new_slots: usize) -> usize {
        match (held, id) {
            (None, PageId::Compact(_)) => self.layout.tasks_on(id).count,
            (held, _) => held.map_or(0, |page| page.0.len()).max(new_slots),
        }
    }

    /// The records of the tasks in the first `slots` slots of a page.
    fn task_records(&self, job: &str, id: PageId, slots: usize) -> Vec<TaskRecord> {
        let first = self.layout.tasks_on(id).first;
        (first..first + slots as u32)
            .map(|task| self.task_record(job, task).clone())
            .collect()
    }

    /// Updates the index and the job's counts for the tasks of a page whose record differs from the one in
    /// `before`.
    fn update_tasks(&mut self, id: &str, page: PageId, before: Vec<TaskRecord>) {
        let first = self.layout.tasks_on(page).first;
        for (slot, old) in before.into_iter().enumerate() {
            let task = first + slot as u32;
            let new = self.task_record(id, task);
            if old == *new {
                continue;
            }
            let new = new.clone();
            if let Some(job) = self.jobs.get_mut(id) {
                job.update_counts(&old, &new);
                self.index_task(id, task, &old, &new);
            }
        }
    }

    /// Updates the index of tasks by machine for a task whose record changes from `old` to `new`. Only the tasks of
    /// open jobs are indexed.
    pub(super) fn index_task(&mut self, job: &str, task: u32, old: &TaskRecord, new: &TaskRecord) {
        let is_placed = |record: &TaskRecord| matches!(record, TaskRecord::Placed { .. });
        if !is_placed(old) && !is_placed(new) {
            return;
        }
        let id = TaskId::new(job, task);
        if let TaskRecord::Placed { machine, .. } = old {
            if let Some(tasks) = self.tasks_by_machine.get_mut(machine) {
                tasks.remove(&id);
                if tasks.is_empty() {
                    self.tasks_by_machine.remove(machine);
                }
            }
            self.changed_machines.insert(machine.clone());
        }
        if let TaskRecord::Placed { machine, .. } = new {
            let tasks = self.tasks_by_machine.entry(machine.clone()).or_default();
            tasks.insert(id);
            self.changed_machines.insert(machine.clone());
        }
    }
}
