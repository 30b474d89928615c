//! Compares a heartbeat with the records and computes the exits to record and the commands to send. It has no side
//! effects beyond the attempt log: [`super::ingest`] queues the record changes and [`super::service`] sends the commands.

use super::agent::{AttemptLog, TaskAttempt};
use super::wire::{Command, ExitReason, Heartbeat, ReportedTask, TaskState};
use crate::jobs::pending_changes::PendingChanges;
use crate::jobs::{TaskId, TaskRecord, TaskRef};
use crate::state::Replica;
use crate::state::replica::Job;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The attempts that evictions are stopping, with the seconds that each has to save its progress.
pub type PendingStops = HashMap<TaskAttempt, f64>;

/// The desired state of a machine's tasks: the records, and the changes that are queued but not recorded yet.
#[derive(Clone, Copy)]
pub struct DesiredState<'a> {
    pub replica: &'a Replica,
    /// The machine's fencing token in its record, which increases with each change of owner.
    pub fencing_token: u64,
    pub pending_stops: &'a PendingStops,
    pub pending_changes: &'a PendingChanges,
    /// Jobs that must not run even if their records don't say so yet.
    pub cancelled_jobs: &'a BTreeSet<String>,
    /// Whether tasks may be started: the records were read recently enough and, in a cell, so was the ledger or, in its
    /// place, attestations of all other controllers.
    pub starts_permitted: bool,
}

impl DesiredState<'_> {
    /// Whether no task of the job may run: its record is gone or cancelled, or the job is in `cancelled_jobs`.
    fn must_not_run(&self, id: &str, job: Option<&Job>) -> bool {
        job.is_none_or(|job| job.record.cancelled) || self.cancelled_jobs.contains(id)
    }
}

/// A task that completed.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    pub task: TaskId,
    /// How long it ran, if that was observed.
    pub run_time: Option<Duration>,
}

/// The exits and commands that result from a heartbeat.
#[derive(Debug, Default, PartialEq)]
pub struct Reconciliation {
    /// The exits to record, with the record of each task after its exit.
    pub exits: BTreeMap<TaskId, TaskRecord>,
    pub commands: Vec<Command>,
    /// The exits in which a task completed.
    pub completed: Vec<Completion>,
    /// The exits in which a task failed.
    pub failed: Vec<TaskId>,
}

/// The conclusion about a task that the records place on a machine whose heartbeat doesn't report it.
enum Absence {
    /// The attempt is not on the machine and can no longer start there.
    Gone,
    /// The attempt has not started and should be.
    NotStarted,
    /// The heartbeat proves neither.
    Inconclusive,
}

/// Reconciles a heartbeat with the records; called by the machine's owner. Updates `attempts` from the heartbeat and the
/// records, and with the attempts for which the result contains a `run`.
pub fn reconcile(
    heartbeat: &Heartbeat,
    attempts: &mut AttemptLog,
    desired: &DesiredState,
    now: Instant,
) -> Reconciliation {
    let mut reconciler = Reconciler {
        heartbeat,
        attempts,
        desired: *desired,
        now,
        reported: HashMap::new(),
        result: Reconciliation::default(),
    };
    for task in &heartbeat.tasks {
        reconciler.reconcile_reported(task);
    }
    reconciler.reconcile_absent();
    reconciler.forget_ended();
    reconciler.result
}

struct Reconciler<'a> {
    heartbeat: &'a Heartbeat,
    attempts: &'a mut AttemptLog,
    desired: DesiredState<'a>,
    now: Instant,
    /// The reported attempts that the records place on this machine.
    reported: HashMap<TaskRef<'a>, u64>,
    result: Reconciliation,
}

impl<'a> Reconciler<'a> {
    fn reconcile_reported(&mut self, task: &'a ReportedTask) {
        let Ok(name) = TaskRef::try_from(task.task.as_str()) else {
            return;
        };
        let TaskRef { job, index } = name;
        let is_recorded = matches!(self.desired.replica.task_record(job, index),
            TaskRecord::Placed { attempt, machine, .. }
            if *attempt == task.attempt && *machine == self.heartbeat.machine);
        if is_recorded {
            self.reported.insert(name, task.attempt);
        }
        let id = TaskId::from(name);
        let record = self.desired.replica.jobs.get(job);
        match (task.state, record) {
            (TaskState::Ended, Some(record)) if is_recorded => {
                let is_service = record.record.spec.is_service();
                self.reconcile_exit(id, task, is_service);
            }
            // The exit is recorded, or its job has ended, so the agent may forget it.
            (TaskState::Ended, _) => {
                let reap = Command::reap(&task.task, task.attempt);
                self.result.commands.push(reap);
            }
            // The job must not run, or the records no longer place this attempt here.
            _ if !is_recorded || self.desired.must_not_run(job, record) => self.stop(task, 0.0),
            _ => self.reconcile_present(id, task),
        }
    }

    fn reconcile_exit(&mut self, id: TaskId, task: &ReportedTask, is_service: bool) {
        let run_time = self.attempts.observe_exit(&id, task.attempt, self.now);
        // A service runs until it is cancelled, so each of its tasks that ends is started again.
        if task.exit_reason == Some(ExitReason::Completed) && !is_service {
            self.result.exits.insert(id.clone(), TaskRecord::Done);
            self.result
                .completed
                .push(Completion { task: id, run_time });
            return;
        }
        if task.exit_reason == Some(ExitReason::Failed) {
            self.result.failed.push(id.clone());
        }
        self.record_waiting(id, task.attempt);
    }

    fn reconcile_present(&mut self, id: TaskId, task: &ReportedTask) {
        self.attempts.observe_present(&id, task.attempt, self.now);
        if task.state == TaskState::Running {
            self.attempts.observe_running(&id, task.attempt, self.now);
        }
        if task.state == TaskState::SavingCheckpoint {
            return; // already being stopped
        }
        let attempt = TaskAttempt {
            task: id,
            attempt: task.attempt,
        };
        if let Some(grace_s) = self.desired.pending_stops.get(&attempt) {
            self.stop(task, *grace_s);
        }
    }

    /// Reconciles the tasks that the records place on this machine and the heartbeat doesn't report.
    fn reconcile_absent(&mut self) {
        let unacknowledged = std::mem::take(&mut self.attempts.unacknowledged_runs);
        let replica = self.desired.replica;
        let Some(recorded) = replica.tasks_by_machine.get(&self.heartbeat.machine) else {
            return;
        };
        for id in recorded {
            if self.reported.contains_key(&id.borrowed()) {
                continue;
            }
            let TaskRecord::Placed {
                attempt,
                incarnation,
                ..
            } = *replica.task_record(&id.job, id.index)
            else {
                continue;
            };
            let expected = TaskAttempt {
                task: id.clone(),
                attempt,
            };
            match self.classify_absence(&expected, incarnation) {
                Absence::Gone => self.record_waiting(expected.task, attempt),
                Absence::NotStarted => {
                    let run = Command::run(&id.to_string(), attempt);
                    self.result.commands.push(run);
                    let first_sent = unacknowledged.get(&expected).copied();
                    let first_sent = first_sent.unwrap_or(self.now);
                    self.attempts.record_run(expected, first_sent, self.now);
                }
                Absence::Inconclusive => {}
            }
        }
    }

    /// Classifies the absence of an attempt that was placed in the agent's `incarnation`.
    fn classify_absence(&self, expected: &TaskAttempt, incarnation: u64) -> Absence {
        let TaskId { job, index } = &expected.task;
        if incarnation < self.heartbeat.incarnation {
            // The agent has killed all tasks of its earlier incarnations, and drops late responses to the heartbeats
            // of these incarnations.
            return Absence::Gone;
        }
        if incarnation > self.heartbeat.incarnation {
            return Absence::Inconclusive; // the heartbeat predates the start
        }
        if self.desired.pending_changes.get(job, *index).is_some() {
            // A change of this task, such as the withdrawal of its start, is queued but not recorded. A `run` now
            // could start a task that is about to be placed elsewhere.
            return Absence::Inconclusive;
        }
        let must_not_run = self
            .desired
            .must_not_run(job, self.desired.replica.jobs.get(job));
        let is_withdrawn = self.desired.pending_stops.contains_key(expected)
            && !self.attempts.sent_runs.contains(expected);
        if must_not_run || is_withdrawn {
            // Until the agent has received our fencing token, it may still accept a `run` from an earlier owner. Once it
            // has, only this controller could start the attempt, and it will not.
            return if self.heartbeat.fencing_token == self.desired.fencing_token {
                Absence::Gone
            } else {
                Absence::Inconclusive
            };
        }
        if self.desired.starts_permitted {
            Absence::NotStarted
        } else {
            Absence::Inconclusive
        }
    }

    fn forget_ended(&mut self) {
        let reported = &self.reported;
        self.attempts
            .retain_running(|task, attempt| reported.get(&task.borrowed()) == Some(&attempt));
        let recorded = self
            .desired
            .replica
            .tasks_by_machine
            .get(&self.heartbeat.machine);
        self.attempts.forget_unrecorded(recorded);
    }

    fn stop(&mut self, task: &ReportedTask, grace_s: f64) {
        let stop = Command::stop(&task.task, task.attempt, grace_s);
        self.result.commands.push(stop);
    }

    /// Adds the exit of an attempt that did not complete its task. The task then waits for its next attempt.
    fn record_waiting(&mut self, id: TaskId, attempt: u64) {
        let waiting = TaskRecord::Waiting { last: attempt };
        self.result.exits.insert(id, waiting);
    }
}
