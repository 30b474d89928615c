//! Decides which of this controller's machines to release, and why. It changes no state.

use crate::cloud::MAX_RELEASE_BATCH;
use crate::fleet::{Machine, MachineState};
use crate::node::{Core, Node, age_s, wall_ms};
use crate::workers::{AgentStatus, TaskState};
use std::fmt;
use std::time::{Duration, Instant};

/// Why a machine is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The release was recorded earlier, but may not have been carried out.
    AlreadyRecorded,
    /// The cloud preempted the machine after giving notice, or the machine failed.
    Preempted,
    /// Its worker has sent no heartbeat for longer than its lease.
    Silent,
    /// Its worker sends heartbeats but does not carry out commands.
    Unresponsive,
    /// The machine was draining and is now empty.
    Drained,
    /// Its worker has never sent a heartbeat.
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

/// A machine to release, and the reason.
pub(super) struct Release {
    pub machine: String,
    pub reason: ReleaseReason,
}

/// The decision on all owned machines.
pub(super) enum ReleaseDecision {
    /// Release these machines, at most as many as one request may contain.
    Release(Vec<Release>),
    /// Most machines fell silent at once. This controller probably does not receive their heartbeats, while
    /// other controllers may. Releasing the machines would discard their work.
    StepDown { silent: usize, reporting: usize },
}

/// Minimum number of silent machines for a controller to step down.
const MIN_SILENT_TO_STEP_DOWN: usize = 3;
/// Fraction of a worker's lease after which the worker counts as silent in the decision to step down. It is well
/// below 1, so that another controller can take over the machines before their workers' leases expire.
const EARLY_SILENCE_LEASE_FRACTION: f64 = 0.4;
/// Factor on a worker's lease that allows for the drift of the worker's clock.
const CLOCK_DRIFT_FACTOR: f64 = 1.02;
/// Allowance for the time that a heartbeat takes to arrive.
const HEARTBEAT_LATENCY: Duration = Duration::from_millis(500);
/// Silence beyond the heartbeat interval after which a machine counts as preempted, once the announced time of its
/// preemption has passed.
const PREEMPTION_GRACE: Duration = Duration::from_secs(2);
/// Assumed boot time of a machine type that is not in the catalog.
pub(super) const DEFAULT_BOOT_S: f64 = 60.0;
/// A machine that has not reported within this many typical boot times plus the margin is assumed never to report.
const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
const BOOT_TIMEOUT_MARGIN_S: f64 = 15.0;

/// Time limits for judging whether a machine is silent.
struct SilenceLimits {
    now: Instant,
    now_ms: u64,
    heartbeat_interval: Duration,
    /// Time without a heartbeat after which a worker's lease has expired.
    lease_expiry: Duration,
    /// Time without a heartbeat after which a worker counts as silent in the decision to step down.
    early_silence: Duration,
    /// How long an owner that is cut off from the state service may keep renewing its workers' leases.
    disconnected_lease: Duration,
}

impl SilenceLimits {
    fn new(node: &Node, now: Instant) -> Self {
        let heartbeat_interval = node.settings.heartbeat_interval();
        let lease = node.settings.worker_lease();
        Self {
            now,
            now_ms: wall_ms(),
            heartbeat_interval,
            lease_expiry: lease.mul_f64(CLOCK_DRIFT_FACTOR) + HEARTBEAT_LATENCY,
            early_silence: lease
                .mul_f64(EARLY_SILENCE_LEASE_FRACTION)
                .max(heartbeat_interval * 2),
            disconnected_lease: node.settings.disconnected_lease_limit(),
        }
    }

    fn since(&self, earlier: Instant) -> Duration {
        self.now.saturating_duration_since(earlier)
    }
}

/// Decides which of the owned machines to release now.
pub(super) fn decide_releases(node: &Node, core: &Core, now: Instant) -> ReleaseDecision {
    if core.membership.election.is_stepped_down() {
        return ReleaseDecision::Release(Vec::new());
    }
    let limits = SilenceLimits::new(node, now);
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
            reason_after_report(core, &limits, name, machine, agent)
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
        return ReleaseDecision::StepDown { silent, reporting };
    }
    releases.truncate(MAX_RELEASE_BATCH);
    ReleaseDecision::Release(releases)
}

/// The reason to release a machine that has reported before, if there is one.
fn reason_after_report(
    core: &Core,
    limits: &SilenceLimits,
    name: &str,
    machine: &Machine,
    agent: &AgentStatus,
) -> Option<ReleaseReason> {
    let silence = limits.since(agent.last_heartbeat_at);
    let is_preempted = agent.preemption_at.is_some_and(|at| {
        limits.now > at && silence > limits.heartbeat_interval + PREEMPTION_GRACE
    });
    if is_preempted {
        Some(ReleaseReason::Preempted)
    } else if silence > limits.lease_expiry {
        Some(ReleaseReason::Silent)
    } else if is_unresponsive(limits, agent) {
        Some(ReleaseReason::Unresponsive)
    } else if machine.state == MachineState::Draining && is_empty(core, name, agent) {
        Some(ReleaseReason::Drained)
    } else {
        None
    }
}

/// Whether the machine has ignored its owner's responses until its lease expired. Its tasks have then ended,
/// because responses that a worker does not receive do not renew its lease. A single expired lease is not
/// sufficient evidence, unless a `run` command is still unacknowledged as well.
fn is_unresponsive(limits: &SilenceLimits, agent: &AgentStatus) -> bool {
    let has_evidence = agent.expired_leases != 1 || agent.attempts.has_unacknowledged_runs();
    let unresponsive_for = agent.unresponsive_since.map(|since| limits.since(since));
    unresponsive_for.is_some_and(|time| time > limits.lease_expiry) && has_evidence
}

/// Whether no task is recorded, planned or running on a machine.
fn is_empty(core: &Core, name: &str, agent: &AgentStatus) -> bool {
    let mut tasks = agent.latest_heartbeat.tasks.iter();
    !core.replica.tasks_by_machine.contains_key(name)
        && core.pending_changes.starts_on(name).next().is_none()
        && tasks.all(|task| task.state == TaskState::Ended)
}

/// Whether the first heartbeat of a machine is overdue.
fn never_reported(
    core: &Core,
    limits: &SilenceLimits,
    machine: &Machine,
    owned_since: Instant,
) -> bool {
    let machine_type = core.machine_type(&machine.pool.machine_type);
    let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
    let is_overdue = age_s(machine.requested_ms, limits.now_ms)
        > boot_s * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_MARGIN_S;
    // During an outage of the state service, an owner may renew its workers' leases for as long as the outage lasts
    // (`may_renew_leases`). A previous owner that alone is cut off may renew them for `disconnected_lease`. Missing
    // heartbeats prove nothing before that time and a lease have passed.
    let in_contact_since = core.connected_since.unwrap_or(limits.now);
    let known_for = limits.since(in_contact_since.max(owned_since));
    is_overdue && known_for > limits.lease_expiry + limits.disconnected_lease
}
