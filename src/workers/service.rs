//! Answers workers' heartbeats. The machine's owner reconciles a heartbeat with the records, by [`super::reconcile`];
//! every other controller redirects the worker to the owner.

use super::Heartbeat;
use super::ingest::{
    Ingestion, ReceivedHeartbeat, ingest_heartbeat, reconcile_with_records,
    record_unanswered_heartbeat,
};
use super::wire::HeartbeatResponse;
use crate::cells;
use crate::fleet::MachineState;
use crate::http::{HttpResponse, error_response, json_response, retry_later};
use crate::membership;
use crate::metrics::CpuAccount;
use crate::node::{Core, Node};
use hyper::StatusCode;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Longest time for which the response to an idle machine is held, as a duration and as a fraction of the heartbeat
/// interval; the shorter one applies. It must stay far below the 4 s after which the agent drops a response.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(2000);
const MAX_IDLE_WAIT_INTERVALS: f64 = 0.5;

/// Longest time that a response waits until the starts that it is to carry are recorded. It must stay far below the 4 s
/// after which the agent drops a response.
const MAX_START_RECORD_WAIT: Duration = Duration::from_millis(1200);

/// Seconds after which an agent whose heartbeat could not be answered should retry.
const RETRY_AFTER_S: u64 = 1;

/// Redirects the agent to `member`, or to any other controller if `member` is `None`.
fn redirect_to(member: Option<&str>) -> HttpResponse {
    let body = match member {
        Some(member) => json!({ "miller": member }),
        None => json!({}),
    };
    json_response(StatusCode::MISDIRECTED_REQUEST, &body)
}

fn unavailable(reason: &str) -> HttpResponse {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S, reason)
}

fn parse_heartbeat(node: &Node, body: &[u8]) -> Result<Heartbeat, serde_json::Error> {
    let _charge = node.processor_time.charge(CpuAccount::Heartbeats);
    serde_json::from_slice(body)
}

/// Answers a heartbeat. A response with status 200 renews the agent's lease.
pub async fn handle_heartbeat(node: &Arc<Node>, body: &[u8]) -> HttpResponse {
    let heartbeat = match parse_heartbeat(node, body) {
        Ok(heartbeat) => Arc::new(heartbeat),
        Err(problem) => return error_response(StatusCode::BAD_REQUEST, &problem.to_string()),
    };
    node.core().metrics.heartbeats += 1;
    match route(node, &heartbeat.machine) {
        Route::ThisNode => {}
        Route::Other(member) => return redirect_to(member.as_deref()),
        Route::UnknownMachine => return respond_to_unknown_machine(node),
    }
    // While disconnected, this controller may not know of a cancellation. Renewing the agent's lease could keep a
    // cancelled task running; without an answer, the lease expires and ends the task.
    let now = Instant::now();
    if !node.may_renew_leases() || !cells::permits_renewal(node, &heartbeat, now) {
        record_unanswered_heartbeat(&mut node.core(), &heartbeat, Instant::now());
        return unavailable("no state service");
    }
    let ingestion = ingest_heartbeat(node, &mut node.core(), &heartbeat, Instant::now());
    match ingestion {
        Ingestion::NotOwner => redirect_to(None),
        // The reported tasks are outdated, and the agent no longer waits for this response.
        Ingestion::Stale => error_response(StatusCode::CONFLICT, "an older report"),
        Ingestion::Reconciled {
            capacity_freed: true,
            ..
        } => {
            node.wake_up.notify_one();
            // Wait for the scheduling cycle that places tasks on the freed capacity, so that this response can
            // carry their `run` commands. Otherwise they would wait for the next heartbeat.
            node.scheduling_cycles
                .await_next(MAX_START_RECORD_WAIT)
                .await;
            respond_by_current_records(node, &heartbeat)
        }
        Ingestion::Reconciled {
            capacity_freed: false,
            response,
        } => {
            let held = hold_while_idle(node, &mut node.core(), &heartbeat, &response);
            let Some((released, limit)) = held else {
                return json_response(StatusCode::OK, &response);
            };
            // Whether work arrived or the hold timed out, the response follows the current records.
            let _ = tokio::time::timeout(limit, released).await;
            respond_by_current_records(node, &heartbeat)
        }
    }
}

/// The controller that is responsible for a heartbeat.
enum Route {
    ThisNode,
    /// Another controller, by name if a present owner is known.
    Other(Option<String>),
    /// No record names the machine.
    UnknownMachine,
}

fn route(node: &Node, machine: &str) -> Route {
    let core = node.core();
    let record = core.replica.fleet.machines.get(machine);
    let Some(owner) = record.map(|record| &record.owner) else {
        return Route::UnknownMachine;
    };
    if owner.name == node.identity.name && *owner != node.identity {
        // An earlier process of this controller owned the machine, and the leader has not reassigned it yet.
        return Route::Other(None);
    }
    let presence = core.replica.presence.get(&owner.name);
    let is_present = presence.is_some_and(|p| p.record.incarnation == owner.incarnation);
    if *owner != node.identity {
        // An absent owner is not named: the agent would spend seconds of its lease before it noticed that the
        // owner doesn't respond. Instead, it asks the other controllers until the machine has a new owner.
        return Route::Other(is_present.then(|| owner.name.clone()));
    }
    drop(core);
    if node.redirects_worker(machine) {
        return Route::Other(None);
    }
    Route::ThisNode
}

/// Answers a heartbeat of a machine that no record names. The heartbeat may be a delayed copy from before the machine's
/// release, so it doesn't prove that the machine exists. The leader adopts machines only from the cloud's list; until
/// it does, or until the machine's rental is recorded, the agent retries.
fn respond_to_unknown_machine(node: &Node) -> HttpResponse {
    if membership::leader_revision(node).is_some() {
        return unavailable("not known yet");
    }
    let core = node.core();
    let leader = core.replica.leader.as_ref();
    let leader = leader.map(|leader| leader.record.member.as_str());
    redirect_to(leader.filter(|leader| *leader != node.identity.name))
}

/// Holds the response to an idle machine until work for it is recorded, for at most the returned duration. Returns
/// `None` if the machine is not idle.
///
/// Only responses to heartbeats can carry `run`, and heartbeats are seconds apart. Without the hold, a gang would start
/// only after the next heartbeat of each of its machines. An idle machine has nothing to report in the meantime.
fn hold_while_idle(
    node: &Node,
    core: &mut Core,
    heartbeat: &Heartbeat,
    response: &HeartbeatResponse,
) -> Option<(oneshot::Receiver<()>, Duration)> {
    let machine = core.replica.fleet.machines.get(&heartbeat.machine)?;
    let is_idle = heartbeat.tasks.is_empty()
        && response.commands.is_empty()
        && heartbeat.preemption_notice_s.is_none()
        && machine.state == MachineState::Active
        && heartbeat.fencing_token == machine.fencing_token
        && !core
            .replica
            .tasks_by_machine
            .contains_key(&heartbeat.machine);
    if !is_idle {
        return None;
    }
    let (release, released) = oneshot::channel();
    core.workers
        .held_responses
        .insert(heartbeat.machine.clone(), release);
    let limit = node.settings.heartbeat_interval();
    let limit = limit.mul_f64(MAX_IDLE_WAIT_INTERVALS).min(MAX_IDLE_WAIT);
    Some((released, limit))
}

/// Answers a heartbeat whose response was held, according to the current records.
fn respond_by_current_records(node: &Node, heartbeat: &Heartbeat) -> HttpResponse {
    let mut core = node.core();
    if let Some(response) = reconcile_again(node, &mut core, heartbeat, Instant::now()) {
        return json_response(StatusCode::OK, &response);
    }
    // The machine was reassigned while the response was held.
    let machine = core.replica.fleet.machines.get(&heartbeat.machine);
    let owner = machine.map(|machine| machine.owner.name.as_str());
    redirect_to(owner.filter(|owner| *owner != node.identity.name))
}

/// Reconciles an already ingested heartbeat again. Returns `None` if the machine was reassigned in the meantime.
fn reconcile_again(
    node: &Node,
    core: &mut Core,
    heartbeat: &Heartbeat,
    now: Instant,
) -> Option<HeartbeatResponse> {
    let _charge = node.processor_time.charge(CpuAccount::Heartbeats);
    let machine = core.replica.fleet.machines.get(&heartbeat.machine)?;
    let fencing_token = machine.fencing_token;
    let ownership = core.workers.owned.get(&heartbeat.machine)?;
    if ownership.fencing_token != fencing_token {
        return None;
    }
    let mut status = core.workers.agents.remove(&heartbeat.machine)?;
    let received = ReceivedHeartbeat {
        heartbeat,
        fencing_token,
        at: now,
    };
    let reconciliation = reconcile_with_records(node, core, &received, &mut status);
    core.workers
        .agents
        .insert(heartbeat.machine.clone(), status);
    Some(HeartbeatResponse {
        fencing_token,
        commands: reconciliation.commands,
    })
}

#[cfg(test)]
mod tests;
