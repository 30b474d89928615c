//! Changes to task records that this controller has not written yet: starts, exits, and recorded starts that were
//! withdrawn. Also keeps how long the changes have waited and the order in which starts are written. The `writer`
//! module writes them.

use super::{TaskId, TaskRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

/// Pending changes of one job: the new state of each changed task, by task index.
pub type JobChanges = BTreeMap<u32, TaskRecord>;

/// Weight of the latest cycle in the smoothed write backlog.
const BACKLOG_SMOOTHING: f64 = 0.2;

/// All pending changes of this controller.
#[derive(Debug, Default)]
pub struct PendingChanges {
    by_job: BTreeMap<String, JobChanges>,
    /// Tasks with a pending start, by machine.
    starts_by_machine: HashMap<String, BTreeSet<TaskId>>,
    changed_jobs: HashSet<String>,
    changed_machines: HashSet<String>,
    /// Since when each job has had pending changes.
    waiting_since: HashMap<String, Instant>,
    /// Rank of each job's starts in the order of placement. If not all starts can be written, those with the
    /// lowest rank are written first.
    start_ranks: HashMap<String, usize>,
    /// Smoothed number of pages that a cycle leaves for the next one because the write quota is used up.
    write_backlog: f64,
    /// Jobs with a page that the state service refused as malformed, and until when their pages are not sent.
    refused_until: HashMap<String, Instant>,
}

impl PendingChanges {
    /// The pending change of a task.
    pub fn get(&self, job: &str, task: u32) -> Option<&TaskRecord> {
        self.by_job.get(job)?.get(&task)
    }

    /// The pending changes of a job; `None` if there are none, never an empty map.
    pub fn of_job(&self, job: &str) -> Option<&JobChanges> {
        self.by_job.get(job)
    }

    /// The pending changes of all jobs, ordered by job id.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &JobChanges)> {
        self.by_job.iter()
    }

    /// The tasks with a pending start on a machine.
    pub fn starts_on(&self, machine: &str) -> impl Iterator<Item = &TaskId> {
        self.starts_by_machine.get(machine).into_iter().flatten()
    }

    /// Adds a change, replacing an earlier one of the same task. `recorded` is the task's state in the records.
    pub fn record(&mut self, id: &TaskId, recorded: &TaskRecord, change: TaskRecord) {
        self.mark_changed(id, recorded);
        if let TaskRecord::Placed { machine, .. } = &change {
            let starts = self.starts_by_machine.entry(machine.clone()).or_default();
            starts.insert(id.clone());
            self.changed_machines.insert(machine.clone());
        }
        let since = self.waiting_since.entry(id.job.clone());
        since.or_insert_with(Instant::now);
        let changes = self.by_job.entry(id.job.clone()).or_default();
        let replaced = changes.insert(id.index, change.clone());
        self.remove_replaced_start(id, replaced, Some(&change));
    }

    /// Drops a task's pending change, which was written or no longer applies. `recorded` is the task's state in
    /// the records.
    pub fn discard(&mut self, id: &TaskId, recorded: &TaskRecord) {
        self.mark_changed(id, recorded);
        let Some(changes) = self.by_job.get_mut(&id.job) else {
            return;
        };
        let discarded = changes.remove(&id.index);
        if changes.is_empty() {
            self.by_job.remove(&id.job);
            self.waiting_since.remove(&id.job);
            self.start_ranks.remove(&id.job);
        }
        self.remove_replaced_start(id, discarded, None);
    }

    /// Drops all pending changes of a job that has ended.
    pub fn discard_job(&mut self, job: &str) {
        let changes = self.of_job(job).into_iter().flatten();
        let tasks: Vec<u32> = changes.map(|(task, _)| *task).collect();
        for task in tasks {
            self.discard(&TaskId::new(job, task), &TaskRecord::default());
        }
        self.refused_until.remove(job);
    }

    fn mark_changed(&mut self, id: &TaskId, recorded: &TaskRecord) {
        self.changed_jobs.insert(id.job.clone());
        if let TaskRecord::Placed { machine, .. } = recorded {
            self.changed_machines.insert(machine.clone());
        }
    }

    /// Removes a replaced start from the index by machine, unless the new change starts the task on the same
    /// machine.
    fn remove_replaced_start(
        &mut self,
        id: &TaskId,
        replaced: Option<TaskRecord>,
        change: Option<&TaskRecord>,
    ) {
        let Some(TaskRecord::Placed { machine, .. }) = replaced else {
            return;
        };
        if matches!(change, Some(TaskRecord::Placed { machine: other, .. }) if *other == machine) {
            return;
        }
        if let Some(starts) = self.starts_by_machine.get_mut(&machine) {
            starts.remove(id);
            if starts.is_empty() {
                self.starts_by_machine.remove(&machine);
            }
        }
        self.changed_machines.insert(machine);
    }

    /// How long a job's changes have waited to be written.
    pub fn time_waited(&self, job: &str, now: Instant) -> Duration {
        let since = self.waiting_since.get(job);
        since.map_or(Duration::ZERO, |since| {
            now.saturating_duration_since(*since)
        })
    }

    /// Restarts a job's waiting time, because some of its changes were written.
    pub fn restart_wait(&mut self, job: &str) {
        if let Some(since) = self.waiting_since.get_mut(job) {
            *since = Instant::now();
        }
    }

    /// Ranks the jobs' starts in the given order. A job that has a rank keeps it: otherwise later jobs could
    /// overtake it in every cycle, and its starts would never be written.
    pub fn rank_starts<'a>(&mut self, jobs: impl Iterator<Item = &'a str>) {
        for (rank, job) in jobs.enumerate() {
            self.start_ranks.entry(job.to_owned()).or_insert(rank);
        }
    }

    /// Removes the rank of a job whose starts were written. Its next starts are ranked anew.
    pub fn clear_start_rank(&mut self, job: &str) {
        self.start_ranks.remove(job);
    }

    /// The rank of a job's starts. Lower ranks are written first, and jobs without a rank last.
    pub fn start_rank(&self, job: &str) -> usize {
        self.start_ranks.get(job).copied().unwrap_or(usize::MAX)
    }

    /// Updates the smoothed backlog with the number of pages that a cycle deferred.
    pub fn record_deferred_pages(&mut self, pages: usize) {
        let earlier = self.write_backlog * (1.0 - BACKLOG_SMOOTHING);
        self.write_backlog = earlier + pages as f64 * BACKLOG_SMOOTHING;
    }

    /// Smoothed number of pages that a cycle leaves for the next one, rounded to a tenth of a page.
    pub fn write_backlog(&self) -> f64 {
        (self.write_backlog * 10.0).round() / 10.0
    }

    /// Prevents a job's changes from being written before `until`.
    pub fn hold_back_until(&mut self, job: &str, until: Instant) {
        self.refused_until.insert(job.to_owned(), until);
    }

    /// Whether a job's changes may be written now.
    pub fn is_writable(&self, job: &str, now: Instant) -> bool {
        self.refused_until
            .get(job)
            .is_none_or(|until| *until <= now)
    }

    /// Marks a machine as changed.
    pub fn mark_machine_changed(&mut self, machine: &str) {
        self.changed_machines.insert(machine.to_owned());
    }

    /// Takes the jobs whose pending changes were modified since the last call.
    pub fn take_changed_jobs(&mut self) -> HashSet<String> {
        std::mem::take(&mut self.changed_jobs)
    }

    /// Takes the machines that were marked as changed since the last call.
    pub fn take_changed_machines(&mut self) -> HashSet<String> {
        std::mem::take(&mut self.changed_machines)
    }
}
