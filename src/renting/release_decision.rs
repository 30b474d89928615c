//! Which of this controller's machines are released now, and why. Nothing is changed here.

use crate::cloud::MAX_RELEASE_BATCH;
use crate::fleet::{Machine, MachineState};
use crate::node::{Core, Node, age_s, wall_ms};
use crate::workers::{AgentStatus, TaskState};
use std::fmt;
use std::time::{Duration, Instant};

/// Why a machine is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReason {
    /// Its release was recorded earlier and may not have been carried out.
    AlreadyRecorded,
    /// The cloud took it, as it had announced.
    Preempted,
    /// Its worker has sent no heartbeat for longer than its lease.
    Silent,
    /// It sends heartbeats but does not carry out commands.
    Unresponsive,
    /// It was draining and has become empty.
    Drained,
    /// It has never reported.
    NeverReported,
}

impl fmt::Display for ReleaseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReleaseReason::AlreadyRecorded => "release already recorded",
            ReleaseReason::Preempted => "preempted by the cloud",
            ReleaseReason::Silent => "silent",
            ReleaseReason::Unresponsive => "unresponsive to commands",
            ReleaseReason::Drained => "drained",
            ReleaseReason::NeverReported => "never reported",
        })
    }
}

/// A machine to be released.
pub(super) struct Release {
    pub machine: String,
    pub reason: ReleaseReason,
}

/// What a look at all owned machines gives.
pub(super) enum Verdict {
    /// These are to be released, at most as many as one request takes.
    Release(Vec<Release>),
    /// Most machines fell silent at once: more likely this controller does not receive their heartbeats.
    /// Others may; releasing them all would throw their work away.
    StepDown { silent: usize, reporting: usize },
}

/// Silent machines from which on a controller doubts its own connection.
const MIN_SILENT_TO_STEP_DOWN: usize = 3;
/// The part of a worker's lease after which it counts as silent when most machines are compared: early, while
/// another controller can still take them over before their workers' leases are over.
const EARLY_SILENCE_LEASE_PART: f64 = 0.4;
/// A worker's lease with the drift of its clock, and the time that a heartbeat takes.
const LEASE_WITH_DRIFT: f64 = 1.02;
const HEARTBEAT_LATENCY: Duration = Duration::from_millis(500);
/// What a machine may be silent beyond its heartbeat interval once the cloud was to take it.
const PREEMPTION_GRACE: Duration = Duration::from_secs(2);
/// Boot time of a machine type that the catalog does not have.
pub(super) const DEFAULT_BOOT_S: f64 = 60.0;
/// A machine that has not reported after so many expected boots, and so many seconds, never will.
const MAX_BOOTS: f64 = 3.0;
const BOOT_GRACE_S: f64 = 15.0;

/// The times by which silence is judged.
struct Limits {
    now: Instant,
    now_ms: u64,
    heartbeat_interval: Duration,
    /// After this time without a heartbeat, a worker's lease is over.
    silence: Duration,
    /// After this time it counts as silent when most machines are compared.
    early_silence: Duration,
    /// How long an owner that is cut off from the state service may keep its workers.
    disconnected_lease: Duration,
}

impl Limits {
    fn new(node: &Node, now: Instant) -> Self {
        let heartbeat_interval = node.settings.heartbeat_interval();
        let lease = node.settings.worker_lease();
        Self {
            now,
            now_ms: wall_ms(),
            heartbeat_interval,
            silence: lease.mul_f64(LEASE_WITH_DRIFT) + HEARTBEAT_LATENCY,
            early_silence: lease
                .mul_f64(EARLY_SILENCE_LEASE_PART)
                .max(heartbeat_interval * 2),
            disconnected_lease: node.settings.disconnected_lease_limit(),
        }
    }

    fn since(&self, earlier: Instant) -> Duration {
        self.now.saturating_duration_since(earlier)
    }
}

/// Decides which of the owned machines are released now.
pub(super) fn decide_releases(node: &Node, core: &Core, now: Instant) -> Verdict {
    if core.membership.election.is_stepped_down() {
        return Verdict::Release(Vec::new());
    }
    let limits = Limits::new(node, now);
    let mut releases = Vec::new();
    let (mut silent, mut reporting) = (0, 0);
    for (name, ownership) in &core.workers.owned {
        let Some(machine) = core.replica.fleet.machines.get(name) else {
            continue;
        };
        let reason = if machine.state == MachineState::Releasing {
            Some(ReleaseReason::AlreadyRecorded)
        } else if let Some(agent) = core.workers.agents.get(name) {
            if limits.since(agent.last_heartbeat_at) > limits.early_silence {
                silent += 1;
            } else {
                reporting += 1;
            }
            reason_for_known(core, &limits, name, machine, agent)
        } else {
            never_reported(core, &limits, machine, ownership.since)
                .then_some(ReleaseReason::NeverReported)
        };
        releases.extend(reason.map(|reason| Release {
            machine: name.clone(),
            reason,
        }));
    }
    let has_peers = core.replica.presence.len() > 1;
    if has_peers && silent >= MIN_SILENT_TO_STEP_DOWN && silent > reporting {
        return Verdict::StepDown { silent, reporting };
    }
    releases.truncate(MAX_RELEASE_BATCH);
    Verdict::Release(releases)
}

/// Why a machine that has reported is released, if it is.
fn reason_for_known(
    core: &Core,
    limits: &Limits,
    name: &str,
    machine: &Machine,
    agent: &AgentStatus,
) -> Option<ReleaseReason> {
    let quiet = limits.since(agent.last_heartbeat_at);
    let is_preempted = agent
        .preemption_at
        .is_some_and(|at| limits.now > at && quiet > limits.heartbeat_interval + PREEMPTION_GRACE);
    if is_preempted {
        Some(ReleaseReason::Preempted)
    } else if quiet > limits.silence {
        Some(ReleaseReason::Silent)
    } else if is_unresponsive(limits, agent) {
        Some(ReleaseReason::Unresponsive)
    } else if machine.state == MachineState::Draining && is_empty(core, name, agent) {
        Some(ReleaseReason::Drained)
    } else {
        None
    }
}

/// What ran on such a machine has ended with its lease, which our answers do not renew.
fn is_unresponsive(limits: &Limits, agent: &AgentStatus) -> bool {
    let has_lost_work = agent.expired_leases != 1 || agent.attempts.has_unacknowledged_runs();
    let unresponsive_for = agent.unresponsive_since.map(|since| limits.since(since));
    unresponsive_for.is_some_and(|time| time > limits.silence) && has_lost_work
}

/// Whether nothing is recorded, planned or running on a machine.
fn is_empty(core: &Core, name: &str, agent: &AgentStatus) -> bool {
    let mut tasks = agent.latest_heartbeat.tasks.iter();
    !core.replica.tasks_by_machine.contains_key(name)
        && core.pending_changes.starts_on(name).next().is_none()
        && tasks.all(|task| task.state == TaskState::Ended)
}

/// Whether a machine should have reported long ago.
fn never_reported(core: &Core, limits: &Limits, machine: &Machine, owned_since: Instant) -> bool {
    let machine_type = core.machine_type(&machine.pool.machine_type);
    let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
    let is_overdue = age_s(machine.requested_ms, limits.now_ms) > boot_s * MAX_BOOTS + BOOT_GRACE_S;
    // In an outage an owner may keep its workers for as long as that lasts (`may_renew_leases`). An owner before us
    // that is cut off from the state service may keep the worker for as long as its lease without contact;
    // only then does silence mean anything.
    let in_contact_since = core.connected_since.unwrap_or(limits.now);
    let known_for = limits.since(in_contact_since.max(owned_since));
    is_overdue && known_for > limits.silence + limits.disconnected_lease
}
