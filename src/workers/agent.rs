//! What the owner of a machine knows of its agent beyond the records. It is kept in memory; the next owner
//! learns it again from heartbeats.

use super::wire::Heartbeat;
use crate::jobs::TaskId;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A heartbeat counts as answered if the one before came within this part of the lease: an agent that had been
/// silent for longer may have lost its lease by that alone.
const ANSWERED_LEASE_PART: f64 = 0.6;
/// After this many leases without a further sign an agent counts as responsive again.
const RECOVERY_LEASES: f64 = 1.5;

/// One attempt at running a task. Attempt numbers of a task are never used twice.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskAttempt {
    pub task: TaskId,
    pub attempt: u64,
}

/// When an attempt was first observed.
#[derive(Debug, Clone, Copy)]
struct FirstObserved {
    attempt: u64,
    at: Instant,
}

/// The attempts at tasks that were observed on a machine or started on it under the present ownership.
#[derive(Debug, Default)]
pub struct AttemptLog {
    /// Attempts for which `run` was sent.
    pub(super) sent_runs: HashSet<TaskAttempt>,
    /// Of these, the ones that no heartbeat has shown yet, with the time of the first `run`.
    pub(super) unacknowledged_runs: HashMap<TaskAttempt, Instant>,
    /// When each running attempt was first observed running.
    running: HashMap<TaskId, FirstObserved>,
    /// When each attempt was first observed on the machine or last sent to it.
    present: HashMap<TaskId, FirstObserved>,
}

impl AttemptLog {
    /// How long a task has run, as far as heartbeats showed it.
    pub fn running_for(&self, task: &TaskId, now: Instant) -> Option<Duration> {
        let first = self.running.get(task)?;
        Some(now.saturating_duration_since(first.at))
    }

    /// How long a task has been on the machine or on its way to it.
    pub fn present_for(&self, task: &TaskId, now: Instant) -> Option<Duration> {
        let first = self.present.get(task)?;
        Some(now.saturating_duration_since(first.at))
    }

    /// Whether `run` was sent for an attempt that no heartbeat has shown yet.
    pub fn has_unacknowledged_runs(&self) -> bool {
        !self.unacknowledged_runs.is_empty()
    }

    /// How many entries are kept of attempts that were sent or observed.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.sent_runs.len() + self.present.len()
    }

    /// A heartbeat shows the attempt on the machine.
    pub(super) fn observe_present(&mut self, task: &TaskId, attempt: u64, now: Instant) {
        record_first(&mut self.present, task, attempt, now);
    }

    /// A heartbeat shows the attempt running.
    pub(super) fn observe_running(&mut self, task: &TaskId, attempt: u64, now: Instant) {
        record_first(&mut self.running, task, attempt, now);
    }

    /// The attempt has ended: returns how long it ran, where that was observed.
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

    /// `run` goes out for an attempt; `first_sent` is the time of the first one that is not acknowledged yet.
    pub(super) fn record_run(&mut self, run: TaskAttempt, first_sent: Instant, now: Instant) {
        let first = FirstObserved {
            attempt: run.attempt,
            at: now,
        };
        self.present.insert(run.task.clone(), first);
        self.unacknowledged_runs.insert(run.clone(), first_sent);
        self.sent_runs.insert(run);
    }

    /// Keeps the run times of attempts that `is_present` alone.
    pub(super) fn retain_running(&mut self, is_present: impl Fn(&TaskId, u64) -> bool) {
        self.running
            .retain(|task, first| is_present(task, first.attempt));
    }

    /// Forgets attempts that are no longer recorded here: on a machine that is kept for days they would fill
    /// the memory.
    pub(super) fn forget_unrecorded(&mut self, recorded: Option<&BTreeSet<TaskId>>) {
        let is_recorded = |task: &TaskId| recorded.is_some_and(|tasks| tasks.contains(task));
        self.sent_runs.retain(|run| is_recorded(&run.task));
        self.present.retain(|task, _| is_recorded(task));
    }

    /// A new incarnation knows nothing of what was sent to the one before.
    fn forget_runs(&mut self) {
        self.sent_runs.clear();
        self.unacknowledged_runs.clear();
    }
}

/// Records when an attempt was first observed. Most heartbeats repeat what is recorded, so that a key is made
/// only for what is new.
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

/// The times by which an agent is judged to follow its commands.
#[derive(Debug, Clone, Copy)]
pub struct ResponsivenessLimits {
    pub lease: Duration,
    /// How long the task of a `run` may stay absent from heartbeats.
    pub run_patience: Duration,
}

/// An image in a machine's cache.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedImage {
    pub name: String,
    pub size_gb: f64,
}

/// What the owner knows of an agent, from its heartbeats under the present ownership.
#[derive(Debug)]
pub struct AgentStatus {
    pub latest_heartbeat: Arc<Heartbeat>,
    /// When it last sent a heartbeat with our fencing token: a copy of one from before our ownership is no
    /// sign of life, and neither are heartbeats of an agent that never received a response of ours.
    pub last_heartbeat_at: Instant,
    /// It has received our fencing token. Until then nothing is placed on its machine.
    pub ownership_acknowledged: bool,
    /// Since when it has appeared not to receive our responses.
    pub unresponsive_since: Option<Instant>,
    /// Incarnations that ended although their heartbeats were answered.
    pub expired_leases: u32,
    /// When the cloud preempts the machine, once it has given notice.
    pub preemption_at: Option<Instant>,
    pub attempts: AttemptLog,
    /// Jobs with a task that failed here since a task last completed here.
    pub failed_jobs: HashSet<String>,
    /// Measured over expected run time, smoothed.
    pub slowness: f64,
    /// When it last had a task: from then on the machine is held idle.
    pub last_used_at: Instant,
    /// Images that its machine should have, most recently used last.
    pub cached_images: Vec<CachedImage>,
}

impl AgentStatus {
    /// The status of an agent by its first heartbeat, which has proven nothing yet.
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

    /// Records that the machine uses an image; the least recently used ones are evicted.
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

    /// Judges whether the agent follows its commands, by a heartbeat newer than the latest. One that receives
    /// nothing shows it in two ways: a task that was sent stays absent, heartbeat after heartbeat, and its
    /// incarnations end although its heartbeats are answered.
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
        if let Some(since) = self.oldest_ignored_run(heartbeat) {
            if now.saturating_duration_since(since) > limits.run_patience {
                self.unresponsive_since.get_or_insert(since);
            }
            return;
        }
        // It follows, or has nothing to follow: only time tells.
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
        let was_answered = silence < lease.mul_f64(ANSWERED_LEASE_PART);
        if was_answered && self.ownership_acknowledged {
            self.expired_leases += 1;
            self.unresponsive_since.get_or_insert(now);
        }
    }

    /// When the first `run` was sent of those that the heartbeat still does not show.
    fn oldest_ignored_run(&self, heartbeat: &Heartbeat) -> Option<Instant> {
        let is_ignored = |run: &TaskAttempt| {
            let name = run.task.to_string();
            let mut tasks = heartbeat.tasks.iter();
            !tasks.any(|task| task.attempt == run.attempt && task.task == name)
        };
        let runs = self.attempts.unacknowledged_runs.iter();
        let ignored = runs.filter(|(run, _)| is_ignored(run));
        ignored.map(|(_, first_sent)| *first_sent).min()
    }

    /// Whether a heartbeat is newer than the latest: late copies must not undo it.
    pub fn is_superseded_by(&self, heartbeat: &Heartbeat) -> bool {
        let latest = &self.latest_heartbeat;
        (heartbeat.incarnation, heartbeat.sequence) > (latest.incarnation, latest.sequence)
    }
}
