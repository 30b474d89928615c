//! What a worker's report means and what it is told: facts for the records, orders for the worker.

pub mod service;
pub mod wire;

pub use wire::{Cause, Order, Report, TaskState};

use crate::jobs::pending_changes::PendingChanges;
use crate::jobs::{TaskId, TaskRecord, TaskRef};
use crate::state::Replica;
use crate::state::replica::Job;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// What this node knows of its machines and their tasks beyond the records.
#[derive(Debug, Default)]
pub struct Workers {
    pub live: HashMap<String, Live>,
    /// Since when this node has owned each of its machines under its present token.
    pub owned: HashMap<String, (Instant, u64)>,
    pub stops: Stops,
    /// Machines on which nothing runs and whose report waits for an answer; what is sent calls it.
    pub idle: HashMap<String, oneshot::Sender<()>>,
}

impl Workers {
    /// Has the answer go out that waits for work on this machine, if there is one.
    pub fn call(&mut self, machine: &str) {
        if let Some(call) = self.idle.remove(machine) {
            let _ = call.send(());
        }
    }
}

/// What the owner knows of a machine beyond its record: kept in memory, learned anew by the next
/// owner from reports.
#[derive(Debug)]
pub struct Live {
    pub report: Arc<Report>,
    /// When it last reported with our token: a copy of a report from before our ownership is no
    /// sign of life, and neither are reports of a machine that never got an answer of ours.
    pub heard: Instant,
    /// It has seen our token. Until then nothing is placed on it.
    pub confirmed: bool,
    /// Since when it has looked as if our answers do not reach it.
    pub deaf: Option<Instant>,
    /// Sessions that ended although its reports were answered.
    pub lapses: u32,
    /// When the cloud takes it, if it has said so.
    pub taken_at: Option<Instant>,
    /// Attempts for which `run` was sent under this ownership.
    pub sent: HashSet<(TaskId, u64)>,
    /// Of these, the ones that no report has shown yet, and when each was sent first.
    pub unseen: HashMap<(TaskId, u64), Instant>,
    /// When each running attempt was first seen running.
    pub running_since: HashMap<TaskId, (u64, Instant)>,
    /// When each attempt was first seen on the machine or sent to it.
    pub seen_since: HashMap<TaskId, (u64, Instant)>,
    /// Jobs that failed here since something last succeeded here.
    pub failed_jobs: HashSet<String>,
    /// Measured over expected run time, smoothed.
    pub slowness: f64,
    /// When it last had a task: its hold begins anew then.
    pub used_at: Instant,
    /// Images it should have, most recently used last, with their sizes.
    pub images: Vec<(String, f64)>,
}

impl Live {
    pub fn new(report: Arc<Report>, now: Instant) -> Self {
        Self {
            report,
            heard: now,
            confirmed: false,
            deaf: None,
            lapses: 0,
            taken_at: None,
            sent: HashSet::new(),
            unseen: HashMap::new(),
            running_since: HashMap::new(),
            seen_since: HashMap::new(),
            failed_jobs: HashSet::new(),
            slowness: 1.0,
            used_at: now,
            images: Vec::new(),
        }
    }

    /// Notes that the machine uses an image; the least recently used ones give way.
    pub fn use_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        if self.images.last().is_some_and(|(last, _)| last == image) {
            return;
        }
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.to_owned(), gb));
        while self.images.len() > 1 && self.images.iter().map(|i| i.1).sum::<f64>() > cache_gb {
            self.images.remove(0);
        }
    }

    /// Whether the machine does what it is told, as of a report that is newer than the one held.
    /// One that hears nothing shows it in two ways: a start that was ordered stays away, report
    /// after report, and its sessions end although its reports are answered.
    pub fn watch(&mut self, report: &Report, lease: Duration, patience: Duration, now: Instant) {
        let answered = now.saturating_duration_since(self.heard) < lease.mul_f64(0.6);
        if report.session > self.report.session {
            self.sent.clear();
            self.unseen.clear();
            if answered && self.confirmed {
                self.lapses += 1;
                self.deaf.get_or_insert(now);
            }
            return;
        }
        let ignored = self.unseen.iter().filter(|((id, attempt), _)| {
            let name = id.to_string();
            let shown = |t: &wire::ReportedTask| t.attempt == *attempt && t.task == name;
            !report.tasks.iter().any(shown)
        });
        match ignored.map(|(_, since)| *since).min() {
            Some(since) if now.saturating_duration_since(since) > patience => {
                self.deaf.get_or_insert(since);
            }
            Some(_) => {}
            // It follows, or has nothing to follow: then only time tells.
            None if self
                .deaf
                .is_some_and(|since| now.saturating_duration_since(since) > lease.mul_f64(1.5)) =>
            {
                self.deaf = None;
                self.lapses = 0;
            }
            None => {}
        }
    }

    /// Forgets attempts that are recorded here no longer: attempts are never used twice, and on a machine
    /// that is kept for days they would fill the memory.
    fn forget_gone(&mut self, recorded: Option<&BTreeSet<TaskId>>) {
        let is_recorded = |id: &TaskId| recorded.is_some_and(|on| on.contains(id));
        self.sent.retain(|(id, _)| is_recorded(id));
        self.seen_since.retain(|id, _| is_recorded(id));
    }

    /// Whether a report is newer than the one held: late copies must not undo it.
    pub fn is_newer(&self, report: &Report) -> bool {
        (report.session, report.seq) > (self.report.session, self.report.seq)
    }
}

/// Stops asked for by drains and preemption, by attempt, with the grace for saving.
pub type Stops = HashMap<(TaskId, u64), f64>;

/// What is planned and not in the records yet.
#[derive(Clone, Copy)]
pub struct Pending<'a> {
    pub stops: &'a Stops,
    pub pending_changes: &'a PendingChanges,
    /// Jobs that other controllers know to be cancelled.
    pub cancelled: &'a BTreeSet<String>,
    /// The records were read lately enough for `run` to go out by them.
    pub may_start: bool,
}

impl Pending<'_> {
    /// Whether nothing of the job may run any more, by its record or by what others told.
    fn is_over(&self, job: &str, record: Option<&Job>) -> bool {
        record.is_none_or(|job| job.record.cancelled) || self.cancelled.contains(job)
    }
}

#[derive(Debug, Default, PartialEq)]
pub struct Reading {
    /// Exits to be recorded.
    pub facts: BTreeMap<TaskId, TaskRecord>,
    pub orders: Vec<Order>,
    /// Tasks that completed, with the time they ran where it is known.
    pub completed: Vec<(TaskId, Option<Duration>)>,
    /// Tasks that failed.
    pub failed: Vec<TaskId>,
}

/// Reads a report by the machine's owner. `token` is the revision of the machine's owner key.
pub fn read(
    report: &Report,
    live: &mut Live,
    replica: &Replica,
    token: u64,
    pending: &Pending,
    now: Instant,
) -> Reading {
    let mut out = Reading::default();
    let mut reported: HashMap<TaskRef<'_>, u64> = HashMap::new();
    for task in &report.tasks {
        let Ok(named) = TaskRef::try_from(task.task.as_str()) else {
            continue;
        };
        let TaskRef { job, index } = named;
        let id = TaskId::from(named);
        let record = replica.jobs.get(job);
        let entry = replica.task_record(job, index);
        let recorded = matches!(entry, TaskRecord::Placed { attempt, machine, .. }
            if *attempt == task.attempt && *machine == report.machine);
        if recorded {
            reported.insert(named, task.attempt);
        }
        match task.state {
            TaskState::Ended => {
                if !recorded || record.is_none() {
                    // The exit is in the records, or its job is over: the worker may forget it.
                    out.orders.push(Order::reap(&task.task, task.attempt));
                    continue;
                }
                let ran = live
                    .running_since
                    .remove(&id)
                    .filter(|(attempt, _)| *attempt == task.attempt)
                    .map(|(_, since)| now.saturating_duration_since(since));
                live.seen_since.remove(&id);
                let service = record.is_some_and(|job| job.record.spec.is_service());
                match task.cause {
                    Some(Cause::Done) if !service => {
                        out.facts.insert(id.clone(), TaskRecord::Done);
                        out.completed.push((id, ran));
                    }
                    cause => {
                        if cause == Some(Cause::Error) {
                            out.failed.push(id.clone());
                        }
                        out.facts
                            .insert(id, TaskRecord::Waiting { last: task.attempt });
                    }
                }
            }
            state => {
                if pending.is_over(job, record) || !recorded {
                    // Cancelled, or started by a record that was since withdrawn.
                    out.orders.push(Order::stop(&task.task, task.attempt, 0.0));
                    continue;
                }
                note_attempt(&mut live.seen_since, &id, task.attempt, now);
                if state == TaskState::Running {
                    note_attempt(&mut live.running_since, &id, task.attempt, now);
                }
                if state != TaskState::Flushing
                    && let Some(grace) = pending.stops.get(&(id, task.attempt))
                {
                    out.orders
                        .push(Order::stop(&task.task, task.attempt, *grace));
                }
            }
        }
    }
    read_absences(
        report, live, replica, token, pending, now, &reported, &mut out,
    );
    live.running_since
        .retain(|id, (attempt, _)| reported.get(&id.borrowed()) == Some(attempt));
    live.forget_gone(replica.tasks_by_machine.get(&report.machine));
    out
}

/// Notes when an attempt was first seen. Most reports repeat what is noted, so that a key is made only
/// for what is new.
fn note_attempt(
    first_seen: &mut HashMap<TaskId, (u64, Instant)>,
    id: &TaskId,
    attempt: u64,
    now: Instant,
) {
    match first_seen.get_mut(id) {
        Some(seen) if seen.0 == attempt => {}
        Some(seen) => *seen = (attempt, now),
        None => {
            first_seen.insert(id.clone(), (attempt, now));
        }
    }
}

/// Tasks that the records place here and the report does not name: not begun, or gone.
#[allow(clippy::too_many_arguments)]
fn read_absences(
    report: &Report,
    live: &mut Live,
    replica: &Replica,
    token: u64,
    pending: &Pending,
    now: Instant,
    reported: &HashMap<TaskRef<'_>, u64>,
    out: &mut Reading,
) {
    let before = std::mem::take(&mut live.unseen);
    let Some(on) = replica.tasks_by_machine.get(&report.machine) else {
        return;
    };
    for id in on {
        if reported.contains_key(&id.borrowed()) {
            continue;
        }
        let record = replica.jobs.get(&id.job);
        let TaskRecord::Placed {
            attempt, session, ..
        } = *replica.task_record(&id.job, id.index)
        else {
            continue;
        };
        if session < report.session {
            // The worker killed and forgot all tasks of the sessions before, and drops answers
            // to reports from them: it is gone and cannot begin any more.
            out.facts
                .insert(id.clone(), TaskRecord::Waiting { last: attempt });
            continue;
        }
        if session > report.session {
            continue; // a late report from before the start
        }
        if pending.pending_changes.get(&id.job, id.index).is_some() {
            // Withdrawn already, and the record of that is under way: a `run` now would start
            // what is about to be placed elsewhere.
            continue;
        }
        let cancelled = pending.is_over(&id.job, record);
        let withdrawn = pending.stops.contains_key(&(id.clone(), attempt))
            && !live.sent.contains(&(id.clone(), attempt));
        if cancelled || withdrawn {
            // An earlier owner's `run` may still be under way until the worker has seen our
            // token; from then on only we could start it, and we will not.
            if report.token == token {
                out.facts
                    .insert(id.clone(), TaskRecord::Waiting { last: attempt });
            }
            continue;
        }
        if !pending.may_start {
            continue;
        }
        let key = (id.clone(), attempt);
        let first = before.get(&key).copied().unwrap_or(now);
        live.unseen.insert(key.clone(), first);
        live.sent.insert(key);
        live.seen_since.insert(id.clone(), (attempt, now));
        let name = id.to_string();
        out.orders.push(Order::run(&name, attempt));
    }
}

#[cfg(test)]
mod tests;
