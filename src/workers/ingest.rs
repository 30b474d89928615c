//! Processes a heartbeat of an owned machine: updates the agent's status and queues the resulting record changes.
//! [`crate::jobs::writer`] writes these, and [`super::service`] sends the response.

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

/// Greatest age of the last read of the records at which `run` may be sent. Without this limit, a controller that alone
/// is disconnected from the state service could go on starting tasks for `disconnected_lease_limit` after another one
/// has confirmed their cancellation. A read's age counts from the sending of its request, so in undisturbed operation
/// the last read is at most two hold times of the watch and one watch interval old, plus the round-trip and processing
/// times of two requests. If the hold time and the interval are both 1 s, their maximum, the last read can be older than
/// this limit.
const MAX_RECORDS_AGE_FOR_STARTS: Duration = Duration::from_secs(3);
/// Heartbeat intervals after a `run` for which its task may be missing from heartbeats, in addition to
/// [`RUN_ACKNOWLEDGEMENT_MARGIN`].
const RUN_ACKNOWLEDGEMENT_HEARTBEATS: f64 = 2.5;
/// Time after which an agent drops a late response; part of the time within which a `run` must be acknowledged.
const RUN_ACKNOWLEDGEMENT_MARGIN: Duration = Duration::from_secs(4);
/// Upper bound on an agent's preemption notice, in seconds. Longer notices are treated as this long.
const MAX_PREEMPTION_NOTICE_S: f64 = 3600.0;

/// The result of ingesting a heartbeat.
pub enum Ingestion {
    /// This controller does not own the machine, or does not own it any longer.
    NotOwner,
    /// The heartbeat is not newer than the latest one that was ingested.
    Stale,
    Reconciled {
        /// Whether the heartbeat shows an exit, and the task's recorded or queued state differed from its state after
        /// this exit.
        capacity_freed: bool,
        response: HeartbeatResponse,
    },
}

/// Ingests a heartbeat of an owned machine: updates the agent's status and queues the reported exits for recording.
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
        return Ingestion::NotOwner; // the machine was reassigned, but this replica has not read the change yet
    }
    let Some(mut status) = take_status(node, core, heartbeat, now) else {
        return Ingestion::Stale;
    };
    let received = ReceivedHeartbeat {
        heartbeat,
        fencing_token,
        at: now,
    };
    update_status(core, &mut status, &received);
    let reconciliation = reconcile_with_records(node, core, &received, &mut status);
    record_image_uses(core, &mut status, heartbeat);
    status.latest_heartbeat = heartbeat.clone();
    record_new_exits(core, &mut status, &heartbeat.machine, &reconciliation, now);
    let capacity_freed = queue_exits(core, reconciliation.exits);
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

/// Removes the agent's status from the registry and updates its responsiveness from the heartbeat. Returns `None` and
/// leaves the status in place if the heartbeat is not newer than the latest.
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
        run_acknowledgement_timeout: interval.mul_f64(RUN_ACKNOWLEDGEMENT_HEARTBEATS)
            + RUN_ACKNOWLEDGEMENT_MARGIN,
    };
    status.update_responsiveness(heartbeat, limits, now);
    Some(status)
}

/// Updates the fields of the status that don't depend on the reported tasks: when the agent was last heard from and
/// last used, its acknowledgement of our ownership, and the preemption notice.
fn update_status(core: &Core, status: &mut AgentStatus, received: &ReceivedHeartbeat) {
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

/// A heartbeat, with the fencing token and the time at which the machine's owner processes it.
pub struct ReceivedHeartbeat<'a> {
    pub heartbeat: &'a Heartbeat,
    /// The machine's fencing token in its record.
    pub fencing_token: u64,
    pub at: Instant,
}

/// Reconciles a heartbeat with the current records.
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

/// Whether tasks may be started: the records were read recently enough and, in a cell, so was the ledger or, in its
/// place, attestations of all other controllers.
fn permits_starts(node: &Node, core: &Core, now: Instant) -> bool {
    let is_recent = |read| now.saturating_duration_since(read) <= MAX_RECORDS_AGE_FOR_STARTS;
    core.last_read_barrier.is_some_and(is_recent) && cells::permits_starts(node, now)
}

/// Jobs whose tasks must not run on the machine even if the records still place them there: another controller has
/// reported their cancellation, or the cells' ledger or attestations forbid this cell to run them.
fn cancelled_jobs(node: &Node, core: &Core, heartbeat: &Heartbeat) -> Arc<BTreeSet<String>> {
    let mut cancelled = node.peer_status().cancelled.clone();
    let halted = cells::halted_jobs_on(node, core, heartbeat);
    if !halted.is_empty() {
        Arc::make_mut(&mut cancelled).extend(halted);
    }
    cancelled
}

fn record_image_uses(core: &Core, status: &mut AgentStatus, heartbeat: &Heartbeat) {
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

/// Updates estimates and failure counts from new exits. An agent reports an exit until it is recorded, so exits that
/// are already queued are skipped. A failure is counted again if a later start of its task has replaced it in the
/// queue.
fn record_new_exits(
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

/// Queues the exits for recording. Returns whether any of them differs from its task's recorded or queued state.
fn queue_exits(core: &mut Core, exits: impl IntoIterator<Item = (TaskId, TaskRecord)>) -> bool {
    let mut is_any_new = false;
    for (task, exit) in exits {
        let known = core.task_record(&task.job, task.index);
        is_any_new |= *known != exit;
        // If a later attempt is already queued or recorded, its record implies this exit.
        let is_outdated =
            matches!(exit, TaskRecord::Waiting { last } if known.last_attempt() > last);
        if !is_outdated {
            core.record_change(&task, exit);
        }
    }
    is_any_new
}

/// Records the time of a heartbeat that this controller receives but may not answer. Without this, machines would
/// appear silent during an outage of the state service: all were released right after it, and controllers that had
/// refused most heartbeats stepped down as if they could not receive them.
pub fn record_unanswered_heartbeat(core: &mut Core, heartbeat: &Heartbeat, now: Instant) {
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
