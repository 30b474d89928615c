//! What the machines of one or several clouds observe, and the rules that these observations show to be broken.

mod gang;

use crate::history::{Event, History, job_of};
use crate::quota::QuotaMonitor;
use gang::Gang;
pub(super) use gang::GangCompletion;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// What machines observe, independently of the controllers that own them. Several clouds may share a world, which then
/// also detects a task that runs on machines of two clouds.
#[derive(Default)]
pub struct World {
    /// All machines that were ever rented, with the handles that stop their workers.
    machines: BTreeMap<String, AbortHandle>,
    released: HashSet<String>,
    /// The machine of each running task.
    machine_by_task: HashMap<String, String>,
    completed: HashSet<String>,
    /// The gangs, by job. Tasks of other jobs run and complete independently.
    gangs: HashMap<String, Gang>,
    /// By job, the tasks that must be completed before any of its own starts.
    pub dependencies: HashMap<String, Vec<String>>,
    /// Jobs that were reported to users as cancelled, with the time of the first report.
    cancelled: HashMap<String, Instant>,
    /// Machines whose worker is hung: it neither sends heartbeats nor checks its lease, and completes no task.
    pub hung: HashSet<String>,
    /// Machines whose heartbeats reach no controller.
    pub cannot_send: HashSet<String>,
    /// Machines that no answer of a controller reaches. Their heartbeats still arrive.
    pub cannot_receive: HashSet<String>,
    /// The number of worker leases that expired while the worker had tasks.
    pub expired_leases: usize,
    /// The number of starts of each task.
    pub starts_by_task: BTreeMap<String, usize>,
    /// The number of starts of all tasks.
    pub starts: usize,
    /// The maximum number of tasks that ran at a time.
    pub peak_running: usize,
    /// The events that users and machines observed, for the checker.
    pub history: History,
    /// The teams' usage and limits.
    pub quota: QuotaMonitor,
    /// Descriptions of the broken rules.
    pub broken_rules: Vec<String>,
}

impl World {
    /// Whether no task runs.
    pub fn nothing_runs(&self) -> bool {
        self.machine_by_task.is_empty()
    }

    /// Records that a job was reported to a user as cancelled.
    pub fn record_cancellation(&mut self, job: &str) {
        self.cancelled
            .entry(job.to_owned())
            .or_insert_with(Instant::now);
    }

    /// Records that a job is a gang of this many tasks. In the real protocol, workers fetch the description of a job
    /// themselves.
    pub fn record_gang(&mut self, job: &str, tasks: usize) {
        self.gangs
            .entry(job.to_owned())
            .or_insert_with(|| Gang::new(tasks));
    }

    /// The number of tasks of a job that is a gang; `None` for other jobs.
    #[cfg(test)]
    pub(crate) fn gang_size(&self, job: &str) -> Option<usize> {
        self.gangs.get(job).map(Gang::size)
    }

    /// The number of tasks of a job that are on machines, including those that wait for the others of their gang.
    pub fn running_tasks(&self, job: &str) -> usize {
        let tasks = self.machine_by_task.keys();
        tasks.filter(|task| job_of(task) == job).count()
    }

    /// The machines that are rented and not released.
    pub fn machines(&self) -> HashSet<String> {
        let rented = self.machines.keys();
        rented
            .filter(|machine| !self.is_released(machine))
            .cloned()
            .collect()
    }

    /// The machines that run tasks of a job.
    pub fn machines_running(&self, job: &str) -> HashSet<String> {
        let running = self.machine_by_task.iter();
        running
            .filter(|(task, _)| job_of(task) == job)
            .map(|(_, machine)| machine.clone())
            .collect()
    }

    /// The number of machines that were ever rented.
    pub(super) fn machine_count(&self) -> usize {
        self.machines.len()
    }

    pub(super) fn is_released(&self, machine: &str) -> bool {
        self.released.contains(machine)
    }

    /// Adds a rented machine with the handle that stops its worker.
    pub(super) fn add_machine(&mut self, name: &str, worker: AbortHandle) {
        self.machines.insert(name.to_owned(), worker);
    }

    /// Stops a machine, with the tasks that run on it, and marks it as released.
    pub(super) fn release(&mut self, machine: &str) {
        if let Some(worker) = self.machines.get(machine) {
            worker.abort();
        }
        self.released.insert(machine.to_owned());
        self.end_tasks_on(machine);
    }

    /// Records that a machine starts a task, and the rules that this breaks.
    pub(super) fn record_start(&mut self, task: &str, machine: &str) {
        self.history.record(Event::Started {
            task: task.to_owned(),
            machine: machine.to_owned(),
        });
        let other = self
            .machine_by_task
            .insert(task.to_owned(), machine.to_owned());
        if let Some(other) = other {
            let broken = format!("{task} runs on {other} and on {machine}");
            self.broken_rules.push(broken);
        } else if let Err(over_limit) = self.quota.record_start(task) {
            self.record_broken_rule(over_limit.to_string());
        }
        self.check_cancellation_and_dependencies(task);
        self.record_start_in_gang(job_of(task));
        self.starts += 1;
        *self.starts_by_task.entry(task.to_owned()).or_default() += 1;
        self.peak_running = self.peak_running.max(self.machine_by_task.len());
    }

    fn record_start_in_gang(&mut self, job: &str) {
        let on_machines = self.running_tasks(job);
        if let Some(gang) = self.gangs.get_mut(job) {
            gang.record_start(on_machines);
        }
    }

    /// Whether a task on a machine waits for the other tasks of its gang.
    pub(super) fn is_gathering(&self, task: &str) -> bool {
        let gang = self.gangs.get(job_of(task));
        gang.is_some_and(|gang| !gang.has_started())
    }

    /// The completion of a task's gang, for the worker that starts the task; `None` if the job is no gang.
    pub(super) fn gang_completion(&self, task: &str) -> Option<GangCompletion> {
        self.gangs.get(job_of(task)).map(Gang::completion)
    }

    /// Completes all tasks of a gang if it has run for `duration` and no worker of its machines is hung.
    pub(super) fn complete_gang(&mut self, job: &str, duration: Duration) {
        let has_hung_machine = !self.hung.is_disjoint(&self.machines_running(job));
        let gang = self.gangs.get_mut(job);
        let Some(gang) = gang.filter(|gang| gang.has_run_for(duration) && !has_hung_machine) else {
            return;
        };
        gang.complete();
        let tasks = self.machine_by_task.keys();
        let tasks: Vec<String> = tasks.filter(|task| job_of(task) == job).cloned().collect();
        for task in tasks {
            self.record_completion(&task);
        }
    }

    fn check_cancellation_and_dependencies(&mut self, task: &str) {
        let job = job_of(task);
        if self.cancelled.contains_key(job) {
            self.record_broken_rule(format!("{task} starts after its job was cancelled"));
        }
        let dependencies = self.dependencies.get(job).into_iter().flatten();
        let missing: Vec<&String> = dependencies
            .filter(|dependency| !self.completed.contains(*dependency))
            .collect();
        if !missing.is_empty() {
            let broken = format!("{task} starts before its dependencies {missing:?} are completed");
            self.broken_rules.push(broken);
        }
    }

    /// Records that a task completed.
    pub(super) fn record_completion(&mut self, task: &str) {
        self.record_end(task, true);
        self.completed.insert(task.to_owned());
    }

    /// Records that a task ended without completing.
    pub(super) fn record_stop(&mut self, task: &str) {
        self.record_end(task, false);
    }

    fn record_end(&mut self, task: &str, completed: bool) {
        if self.machine_by_task.remove(task).is_some() {
            self.quota.record_end(task);
            if let Some(gang) = self.gangs.get_mut(job_of(task)) {
                gang.record_end();
            }
            let task = task.to_owned();
            self.history.record(Event::Ended { task, completed });
        }
    }

    /// Records that all tasks on a machine ended without completing.
    pub(super) fn end_tasks_on(&mut self, machine: &str) {
        let running = self.machine_by_task.iter();
        let tasks: Vec<String> = running
            .filter(|(_, on)| *on == machine)
            .map(|(task, _)| task.clone())
            .collect();
        for task in tasks {
            self.record_stop(&task);
        }
    }

    fn record_broken_rule(&mut self, broken: String) {
        if !self.broken_rules.contains(&broken) {
            self.broken_rules.push(broken);
        }
    }

    /// Checks that no task runs for longer than `timeout` after its job's cancellation was confirmed.
    pub(super) fn check_cancelled(&mut self, timeout: Duration) {
        let is_late = |task: &&String| {
            let since = self.cancelled.get(job_of(task));
            since.is_some_and(|since| since.elapsed() > timeout)
        };
        let tasks = self.machine_by_task.keys();
        let late: Vec<String> = tasks.filter(is_late).cloned().collect();
        for task in late {
            self.record_broken_rule(format!(
                "{task} still runs more than {timeout:?} after its job was cancelled"
            ));
        }
    }
}
