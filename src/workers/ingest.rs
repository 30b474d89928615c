//! Takes a heartbeat of an owned machine into what is known and planned. The records are written by
//! [`crate::jobs::writer`]; nothing is sent from here.

use super::Ownership;
use super::agent::{AgentStatus, ResponsivenessLimits};
use super::exits::{record_completion, record_failure};
use super::reconcile::{DesiredState, Reconciliation, reconcile};
use super::wire::{Heartbeat, HeartbeatResponse};
use crate::cells;
use crate::jobs::{TaskId, TaskRecord, TaskRef};
use crate::metrics::CpuAccount;
use crate::node::{Core, Node};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// `run` goes out by records read within this time. A node that the state service refuses alone would else
/// start for `disconnected_lease_limit` what another has confirmed as cancelled. One that follows the log
/// undisturbed has read it within half of this.
const START_RECORDS_AGE_LIMIT: Duration = Duration::from_secs(3);
/// The task of a `run` may stay absent for this many heartbeats, and for [`RUN_PATIENCE_MARGIN`].
const RUN_PATIENCE_HEARTBEATS: f64 = 2.5;
/// After this time an agent drops a late response.
const RUN_PATIENCE_MARGIN: Duration = Duration::from_secs(4);
/// Longest preemption notice that is believed, in seconds.
const MAX_PREEMPTION_NOTICE_S: f64 = 3600.0;

/// What became of a heartbeat.
pub enum Ingestion {
    /// The machine is not this node's, or no longer.
    NotOwner,
    /// A newer heartbeat was ingested before.
    Stale,
    Reconciled {
        /// Tasks have ended since the last heartbeat.
        capacity_freed: bool,
        response: HeartbeatResponse,
    },
}

/// Takes in a heartbeat of an owned machine: its agent's status, and the exits to be recorded.
pub fn ingest_heartbeat(
    node: &Node,
    core: &mut Core,
    heartbeat: &Arc<Heartbeat>,
    now: Instant,
) -> Ingestion {
    let _charge = node.processor_time.charge(CpuAccount::Heartbeats);
    core.update_owner(&node.identity, &heartbeat.machine, now);
    let machine = core.replica.fleet.machines.get(&heartbeat.machine);
    let owned = machine.filter(|machine| machine.owner == node.identity);
    let Some(fencing_token) = owned.map(|machine| machine.fencing_token) else {
        return Ingestion::NotOwner;
    };
    if heartbeat.fencing_token > fencing_token {
        return Ingestion::NotOwner; // it was reassigned since; the record of that has yet to reach us
    }
    let Some(mut status) = take_status(node, core, heartbeat, now) else {
        return Ingestion::Stale;
    };
    let received = ReceivedHeartbeat {
        heartbeat,
        fencing_token,
        at: now,
    };
    observe(core, &mut status, &received);
    let reconciliation = reconcile_with_records(node, core, &received, &mut status);
    record_images(core, &mut status, heartbeat);
    status.latest_heartbeat = heartbeat.clone();
    record_exits(core, &mut status, &heartbeat.machine, &reconciliation, now);
    let capacity_freed = plan_exits(core, reconciliation.exits);
    core.workers
        .agents
        .insert(heartbeat.machine.clone(), status);
    Ingestion::Reconciled {
        capacity_freed,
        response: HeartbeatResponse {
            fencing_token,
            commands: reconciliation.commands,
        },
    }
}

/// Takes the agent's status out of the registry, with its responsiveness judged by the heartbeat. None if the
/// heartbeat is not newer than the latest.
fn take_status(
    node: &Node,
    core: &mut Core,
    heartbeat: &Arc<Heartbeat>,
    now: Instant,
) -> Option<AgentStatus> {
    let Some(mut status) = core.workers.agents.remove(&heartbeat.machine) else {
        return Some(AgentStatus::new(heartbeat.clone(), now));
    };
    if !status.is_superseded_by(heartbeat) {
        core.workers
            .agents
            .insert(heartbeat.machine.clone(), status);
        return None;
    }
    let interval = node.settings.heartbeat_interval();
    let limits = ResponsivenessLimits {
        lease: node.settings.worker_lease(),
        run_patience: interval.mul_f64(RUN_PATIENCE_HEARTBEATS) + RUN_PATIENCE_MARGIN,
    };
    status.update_responsiveness(heartbeat, limits, now);
    Some(status)
}

/// Records what a heartbeat shows of its agent, whatever runs on the machine.
fn observe(core: &Core, status: &mut AgentStatus, received: &ReceivedHeartbeat) {
    let ReceivedHeartbeat {
        heartbeat,
        fencing_token,
        at: now,
    } = *received;
    if heartbeat.fencing_token == fencing_token {
        status.last_heartbeat_at = now;
        status.ownership_acknowledged = true;
    }
    if core.runs_intended_work(&heartbeat.machine, &heartbeat.machine_type) {
        status.last_used_at = now;
    }
    status.preemption_at = heartbeat.preemption_notice_s.map(|notice_s| {
        now + Duration::from_secs_f64(notice_s.clamp(0.0, MAX_PREEMPTION_NOTICE_S))
    });
}

/// A heartbeat as its machine's owner received it.
pub struct ReceivedHeartbeat<'a> {
    pub heartbeat: &'a Heartbeat,
    /// The machine's fencing token, by its record.
    pub fencing_token: u64,
    pub at: Instant,
}

/// Reconciles a heartbeat with the records as they now are.
pub fn reconcile_with_records(
    node: &Node,
    core: &Core,
    received: &ReceivedHeartbeat,
    status: &mut AgentStatus,
) -> Reconciliation {
    let ReceivedHeartbeat {
        heartbeat,
        fencing_token,
        at: now,
    } = *received;
    let cancelled_jobs = cancelled_jobs(node, core, heartbeat);
    let desired = DesiredState {
        replica: &core.replica,
        fencing_token,
        pending_stops: &core.workers.pending_stops,
        pending_changes: &core.pending_changes,
        cancelled_jobs: &cancelled_jobs,
        starts_permitted: permits_starts(node, core, now),
    };
    reconcile(heartbeat, &mut status.attempts, &desired, now)
}

/// Whether the records are recent enough to start tasks by them.
fn permits_starts(node: &Node, core: &Core, now: Instant) -> bool {
    let is_recent = |read| now.saturating_duration_since(read) <= START_RECORDS_AGE_LIMIT;
    core.last_read_barrier.is_some_and(is_recent) && cells::permits_starts(node, now)
}

/// Jobs of which nothing may run on the machine, beyond what the records say: other controllers know them to
/// be cancelled, or the cells' ledger does.
fn cancelled_jobs(node: &Node, core: &Core, heartbeat: &Heartbeat) -> Arc<BTreeSet<String>> {
    let mut cancelled = node.peer_status().cancelled.clone();
    let halted = cells::halted_jobs_on(node, core, heartbeat);
    if !halted.is_empty() {
        Arc::make_mut(&mut cancelled).extend(halted);
    }
    cancelled
}

fn record_images(core: &Core, status: &mut AgentStatus, heartbeat: &Heartbeat) {
    let machine_type = core.machine_type(&heartbeat.machine_type);
    let cache_gb = machine_type.map_or(0.0, |machine_type| machine_type.cache_gb);
    for task in &heartbeat.tasks {
        if let Ok(task) = TaskRef::try_from(task.task.as_str())
            && let Some(job) = core.replica.jobs.get(task.job)
        {
            let spec = &job.record.spec;
            status.record_image_use(&spec.image, spec.image_gb, cache_gb);
        }
    }
}

/// Learns from the exits that are not planned yet: until an exit is recorded it is reported again, and it
/// counts once.
fn record_exits(
    core: &mut Core,
    status: &mut AgentStatus,
    machine: &str,
    reconciliation: &Reconciliation,
    now: Instant,
) {
    let is_new = |core: &Core, task: &TaskId| {
        reconciliation.exits.get(task) != Some(core.task_record(&task.job, task.index))
    };
    for completion in &reconciliation.completed {
        if is_new(core, &completion.task) {
            record_completion(core, status, completion);
        }
    }
    for task in &reconciliation.failed {
        if is_new(core, task) {
            record_failure(core, status, machine, task, now);
        }
    }
}

/// Plans the records of exits. True if one of them is new.
fn plan_exits(core: &mut Core, exits: impl IntoIterator<Item = (TaskId, TaskRecord)>) -> bool {
    let mut is_any_new = false;
    for (task, exit) in exits {
        let known = core.task_record(&task.job, task.index);
        is_any_new |= *known != exit;
        // A start planned on top of this exit already says the same.
        let is_outdated =
            matches!(exit, TaskRecord::Waiting { last } if known.last_attempt() > last);
        if !is_outdated {
            core.record_change(&task, exit);
        }
    }
    is_any_new
}

/// A machine whose heartbeat this node may not answer is alive all the same. Taken for silent, it and all
/// others were released right after an outage, and controllers that had refused most heartbeats stepped
/// down, as if they could not receive them.
pub fn record_sign_of_life(core: &mut Core, heartbeat: &Heartbeat, now: Instant) {
    let Some(Ownership { fencing_token, .. }) = core.workers.owned.get(&heartbeat.machine) else {
        return;
    };
    let is_ours = *fencing_token == heartbeat.fencing_token;
    if let Some(status) = core.workers.agents.get_mut(&heartbeat.machine)
        && is_ours
        && status.is_superseded_by(heartbeat)
    {
        status.last_heartbeat_at = now;
    }
}
