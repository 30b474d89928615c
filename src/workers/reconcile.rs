//! Compares a heartbeat with the records and decides what is to be recorded and commanded. Decides only:
//! [`super::ingest`] plans the records' changes and [`super::service`] sends the commands.

use super::agent::{AttemptLog, TaskAttempt};
use super::wire::{Command, ExitReason, Heartbeat, ReportedTask, TaskState};
use crate::jobs::pending_changes::PendingChanges;
use crate::jobs::{TaskId, TaskRecord, TaskRef};
use crate::state::Replica;
use crate::state::replica::Job;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Stops that drains and preemption asked for, with the seconds of grace for saving.
pub type PendingStops = HashMap<TaskAttempt, f64>;

/// What the tasks on a machine are to be: the records, and what is planned and not in them yet.
#[derive(Clone, Copy)]
pub struct DesiredState<'a> {
    pub replica: &'a Replica,
    /// The machine's fencing token: the revision at which its rental names this owner.
    pub fencing_token: u64,
    pub pending_stops: &'a PendingStops,
    pub pending_changes: &'a PendingChanges,
    /// Jobs that are known to be cancelled although their records may not say so yet.
    pub cancelled_jobs: &'a BTreeSet<String>,
    /// The records were read recently enough to start tasks by them.
    pub starts_permitted: bool,
}

impl DesiredState<'_> {
    /// Whether nothing of a job may run any more.
    fn is_over(&self, id: &str, job: Option<&Job>) -> bool {
        job.is_none_or(|job| job.record.cancelled) || self.cancelled_jobs.contains(id)
    }
}

/// A task that completed.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    pub task: TaskId,
    /// How long it ran, where that was observed.
    pub run_time: Option<Duration>,
}

/// What follows from a heartbeat.
#[derive(Debug, Default, PartialEq)]
pub struct Reconciliation {
    /// Exits to be recorded.
    pub exits: BTreeMap<TaskId, TaskRecord>,
    pub commands: Vec<Command>,
    /// The exits that complete a task.
    pub completed: Vec<Completion>,
    /// The exits by a failure of the task.
    pub failed: Vec<TaskId>,
}

/// What it means that the records place a task on a machine whose heartbeat does not name it.
enum Absence {
    /// It is gone and cannot start any more.
    Gone,
    /// It has not started and is to be.
    NotStarted,
    /// Neither is proven.
    Inconclusive,
}

/// Reconciles a heartbeat with the records, by the machine's owner. `attempts` records what the heartbeat
/// shows and for which attempts `run` is among the commands.
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
    /// The attempts in the heartbeat that the records place on this machine.
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
            // The exit is in the records, or its job is over: the agent may forget it.
            (TaskState::Ended, _) => {
                let reap = Command::reap(&task.task, task.attempt);
                self.result.commands.push(reap);
            }
            // Cancelled, or started by a record that was withdrawn since.
            _ if !is_recorded || self.desired.is_over(job, record) => self.stop(task, 0.0),
            _ => self.reconcile_present(id, task),
        }
    }

    fn reconcile_exit(&mut self, id: TaskId, task: &ReportedTask, is_service: bool) {
        let run_time = self.attempts.observe_exit(&id, task.attempt, self.now);
        // A service runs until it is cancelled: whatever ends of it is started again.
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
            return; // it is being stopped already
        }
        let attempt = TaskAttempt {
            task: id,
            attempt: task.attempt,
        };
        if let Some(grace_s) = self.desired.pending_stops.get(&attempt) {
            self.stop(task, *grace_s);
        }
    }

    /// Tasks that the records place here and the heartbeat does not name: not started, or gone.
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
            match self.judge_absence(&expected, incarnation) {
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

    /// Judges the absence of an attempt that was placed in the agent's `incarnation`.
    fn judge_absence(&self, expected: &TaskAttempt, incarnation: u64) -> Absence {
        let TaskId { job, index } = &expected.task;
        if incarnation < self.heartbeat.incarnation {
            // The agent killed and forgot all tasks of its earlier incarnations, and drops responses
            // to heartbeats from them.
            return Absence::Gone;
        }
        if incarnation > self.heartbeat.incarnation {
            return Absence::Inconclusive; // a late heartbeat from before the start
        }
        if self.desired.pending_changes.get(job, *index).is_some() {
            // Withdrawn already, and the record of that is under way: a `run` now would start
            // what is about to be placed elsewhere.
            return Absence::Inconclusive;
        }
        let is_over = self
            .desired
            .is_over(job, self.desired.replica.jobs.get(job));
        let is_withdrawn = self.desired.pending_stops.contains_key(expected)
            && !self.attempts.sent_runs.contains(expected);
        if is_over || is_withdrawn {
            // An earlier owner's `run` may still be under way until the agent has received our fencing
            // token; from then on only we could start it, and we will not.
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

    /// The attempt has ended without completing the task, which waits for its next one.
    fn record_waiting(&mut self, id: TaskId, attempt: u64) {
        let waiting = TaskRecord::Waiting { last: attempt };
        self.result.exits.insert(id, waiting);
    }
}
