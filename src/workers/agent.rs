//! The status of a worker agent that is not in the records. The machine's owner keeps it in memory, and a new owner
//! rebuilds it from heartbeats.

use super::wire::Heartbeat;
use crate::jobs::TaskId;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// If the first heartbeat of a new incarnation arrives within this fraction of the lease after the previous incarnation's
/// last one, that incarnation's lease expired although its heartbeats were answered. After a longer silence, the silence
/// alone may have let the lease expire.
const MAX_ANSWERED_SILENCE_LEASES: f64 = 0.6;
/// Multiple of the lease, counted from the first symptom, after which an unresponsive agent counts as responsive again at
/// its next heartbeat that shows no symptom.
const RECOVERY_LEASES: f64 = 1.5;

/// One attempt to run a task. Attempt numbers of a task are never reused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskAttempt {
    pub task: TaskId,
    pub attempt: u64,
}

/// An attempt, and when it was first observed.
#[derive(Debug, Clone, Copy)]
struct FirstObserved {
    attempt: u64,
    at: Instant,
}

/// The task attempts that were observed on a machine or sent to it since this controller became its owner.
#[derive(Debug, Default)]
pub struct AttemptLog {
    /// Attempts for which a `run` command was sent.
    pub(super) sent_runs: HashSet<TaskAttempt>,
    /// The attempts in `sent_runs` that no heartbeat has reported yet, with the send time of the first `run`.
    pub(super) unacknowledged_runs: HashMap<TaskAttempt, Instant>,
    /// When each running attempt was first reported as running.
    running: HashMap<TaskId, FirstObserved>,
    /// When each attempt was first reported by the machine or last sent to it.
    present: HashMap<TaskId, FirstObserved>,
}

impl AttemptLog {
    /// Time since a heartbeat first reported the task as running.
    pub fn running_for(&self, task: &TaskId, now: Instant) -> Option<Duration> {
        let first = self.running.get(task)?;
        Some(now.saturating_duration_since(first.at))
    }

    /// Time since the task was first reported by the machine or last sent to it.
    pub fn present_for(&self, task: &TaskId, now: Instant) -> Option<Duration> {
        let first = self.present.get(task)?;
        Some(now.saturating_duration_since(first.at))
    }

    /// Whether a `run` was sent for an attempt that no heartbeat has reported yet.
    pub fn has_unacknowledged_runs(&self) -> bool {
        !self.unacknowledged_runs.is_empty()
    }

    /// Number of entries for attempts that were sent or observed.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.sent_runs.len() + self.present.len()
    }

    /// Records that a heartbeat reports the attempt on the machine.
    pub(super) fn observe_present(&mut self, task: &TaskId, attempt: u64, now: Instant) {
        record_first(&mut self.present, task, attempt, now);
    }

    /// Records that a heartbeat reports the attempt as running.
    pub(super) fn observe_running(&mut self, task: &TaskId, attempt: u64, now: Instant) {
        record_first(&mut self.running, task, attempt, now);
    }

    /// Removes an attempt that has ended. Returns its run time, if it was observed running.
    pub(super) fn observe_exit(
        &mut self,
        task: &TaskId,
        attempt: u64,
        now: Instant,
    ) -> Option<Duration> {
        self.present.remove(task);
        let first = self.running.remove(task)?;
        (first.attempt == attempt).then(|| now.saturating_duration_since(first.at))
    }

    /// Records that a `run` is sent for an attempt. `first_sent` is the send time of its first unacknowledged `run`.
    pub(super) fn record_run(&mut self, run: TaskAttempt, first_sent: Instant, now: Instant) {
        let first = FirstObserved {
            attempt: run.attempt,
            at: now,
        };
        self.present.insert(run.task.clone(), first);
        self.unacknowledged_runs.insert(run.clone(), first_sent);
        self.sent_runs.insert(run);
    }

    /// Keeps the start times of the running attempts for which `is_present` holds, and drops all others.
    pub(super) fn retain_running(&mut self, is_present: impl Fn(&TaskId, u64) -> bool) {
        self.running
            .retain(|task, first| is_present(task, first.attempt));
    }

    /// Drops the attempts of tasks that the records no longer place on this machine. On a machine that is rented for
    /// days, they would exhaust the memory.
    pub(super) fn forget_unrecorded(&mut self, recorded: Option<&BTreeSet<TaskId>>) {
        let is_recorded = |task: &TaskId| recorded.is_some_and(|tasks| tasks.contains(task));
        self.sent_runs.retain(|run| is_recorded(&run.task));
        self.present.retain(|task, _| is_recorded(task));
    }

    /// Drops all sent runs. A new incarnation of the agent has no knowledge of commands to the previous one.
    fn forget_runs(&mut self) {
        self.sent_runs.clear();
        self.unacknowledged_runs.clear();
    }
}

/// Records when an attempt was first observed. The key is cloned only for a new task, because most heartbeats repeat
/// known attempts.
fn record_first(
    observed: &mut HashMap<TaskId, FirstObserved>,
    task: &TaskId,
    attempt: u64,
    now: Instant,
) {
    let first = FirstObserved { attempt, at: now };
    match observed.get_mut(task) {
        Some(known) if known.attempt == attempt => {}
        Some(known) => *known = first,
        None => {
            observed.insert(task.clone(), first);
        }
    }
}

/// The time limits by which an agent is classified as responsive or unresponsive to commands.
#[derive(Debug, Clone, Copy)]
pub struct ResponsivenessLimits {
    pub lease: Duration,
    /// How long after a `run` its task may be missing from heartbeats.
    pub run_acknowledgement_timeout: Duration,
}

/// An image in a machine's cache.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedImage {
    pub name: String,
    pub size_gb: f64,
}

/// The status of an agent, from its heartbeats to the machine's present owner.
#[derive(Debug)]
pub struct AgentStatus {
    pub latest_heartbeat: Arc<Heartbeat>,
    /// When it last sent a heartbeat with our fencing token. Delayed copies of heartbeats from before our ownership
    /// don't count, nor do heartbeats of an agent that has never received a response from us. Only the first heartbeat
    /// under our ownership counts with any token, because it creates this status.
    pub last_heartbeat_at: Instant,
    /// Whether the agent has received our fencing token. Until then, no task is placed on its machine.
    pub ownership_acknowledged: bool,
    /// Since when the agent has appeared not to receive our responses.
    pub unresponsive_since: Option<Instant>,
    /// Number of incarnations whose lease expired although their heartbeats were answered, since the agent last counted
    /// as responsive.
    pub expired_leases: u32,
    /// When the cloud will preempt the machine, if it has given notice.
    pub preemption_at: Option<Instant>,
    pub attempts: AttemptLog,
    /// Jobs with a task that has failed on this machine since the last completion of a task on it.
    pub failed_jobs: HashSet<String>,
    /// Ratio of measured to expected run time, exponentially smoothed.
    pub slowness: f64,
    /// When the machine last ran the kind of work that it was rented for. Its idle time counts from then.
    pub last_used_at: Instant,
    /// The images that the machine's cache is expected to hold, most recently used last.
    pub cached_images: Vec<CachedImage>,
}

impl AgentStatus {
    /// The status of an agent at its first heartbeat, before the agent has acknowledged our ownership.
    pub fn new(heartbeat: Arc<Heartbeat>, now: Instant) -> Self {
        Self {
            latest_heartbeat: heartbeat,
            last_heartbeat_at: now,
            ownership_acknowledged: false,
            unresponsive_since: None,
            expired_leases: 0,
            preemption_at: None,
            attempts: AttemptLog::default(),
            failed_jobs: HashSet::new(),
            slowness: 1.0,
            last_used_at: now,
            cached_images: Vec::new(),
        }
    }

    /// Records that the machine uses an image, and evicts the least recently used images beyond `cache_gb`.
    pub fn record_image_use(&mut self, image: &str, size_gb: f64, cache_gb: f64) {
        let images = &mut self.cached_images;
        if images.last().is_some_and(|last| last.name == image) {
            return;
        }
        images.retain(|cached| cached.name != image);
        images.push(CachedImage {
            name: image.to_owned(),
            size_gb,
        });
        while images.len() > 1 && images.iter().map(|i| i.size_gb).sum::<f64>() > cache_gb {
            images.remove(0);
        }
    }

    /// Updates from a new heartbeat whether the agent responds to commands. An agent that does not receive our
    /// responses shows one of two symptoms: its heartbeats keep omitting a task for which a `run` was sent, or its
    /// leases expire although its heartbeats are answered.
    pub fn update_responsiveness(
        &mut self,
        heartbeat: &Heartbeat,
        limits: ResponsivenessLimits,
        now: Instant,
    ) {
        if heartbeat.incarnation > self.latest_heartbeat.incarnation {
            self.record_new_incarnation(limits.lease, now);
            return;
        }
        if let Some(since) = self.oldest_ignored_run_sent_at(heartbeat) {
            if now.saturating_duration_since(since) > limits.run_acknowledgement_timeout {
                self.unresponsive_since.get_or_insert(since);
            }
            return;
        }
        // No command is being ignored, but there may have been none to follow. Only the elapsed time clears the state.
        let recovery = limits.lease.mul_f64(RECOVERY_LEASES);
        let has_recovered = self
            .unresponsive_since
            .is_some_and(|since| now.saturating_duration_since(since) > recovery);
        if has_recovered {
            self.unresponsive_since = None;
            self.expired_leases = 0;
        }
    }

    fn record_new_incarnation(&mut self, lease: Duration, now: Instant) {
        self.attempts.forget_runs();
        let silence = now.saturating_duration_since(self.last_heartbeat_at);
        let was_answered = silence < lease.mul_f64(MAX_ANSWERED_SILENCE_LEASES);
        if was_answered && self.ownership_acknowledged {
            self.expired_leases += 1;
            self.unresponsive_since.get_or_insert(now);
        }
    }

    /// The earliest send time among the runs whose attempts are missing from the heartbeat.
    fn oldest_ignored_run_sent_at(&self, heartbeat: &Heartbeat) -> Option<Instant> {
        let is_ignored = |run: &TaskAttempt| {
            let name = run.task.to_string();
            let mut tasks = heartbeat.tasks.iter();
            !tasks.any(|task| task.attempt == run.attempt && task.task == name)
        };
        let runs = self.attempts.unacknowledged_runs.iter();
        let ignored = runs.filter(|(run, _)| is_ignored(run));
        ignored.map(|(_, first_sent)| *first_sent).min()
    }

    /// Whether a heartbeat is newer than the latest one. Older copies that arrive late must not overwrite it.
    pub fn is_superseded_by(&self, heartbeat: &Heartbeat) -> bool {
        let latest = &self.latest_heartbeat;
        (heartbeat.incarnation, heartbeat.sequence) > (latest.incarnation, latest.sequence)
    }
}
