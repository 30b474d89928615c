//! Answers workers' heartbeats: the machine's owner reconciles them with the records, every other node redirects
//! the worker to the owner. What a heartbeat means is decided in [`super::reconcile`].

use super::Heartbeat;
use super::ingest::{
    Ingestion, ReceivedHeartbeat, ingest_heartbeat, reconcile_with_records, record_sign_of_life,
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

/// Longest that the response to an idle machine is held back for work, and the part of the heartbeat interval
/// that it may take: it must stay far from the 4 s after which the agent drops it.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(2000);
const IDLE_WAIT_INTERVAL_PART: f64 = 0.5;

/// Longest that a response waits for the record of what it is to start: far less than the 4 s after which the
/// agent would drop it.
const MAX_START_RECORD_WAIT: Duration = Duration::from_millis(1200);

/// Seconds after which an agent retries whose heartbeat could not be answered.
const RETRY_AFTER_S: u64 = 1;

/// Sends the agent to the machine's owner, or, if none is named, to any other node.
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

fn parse(node: &Node, body: &[u8]) -> Result<Heartbeat, serde_json::Error> {
    let _charge = node.processor_time.charge(CpuAccount::Heartbeats);
    serde_json::from_slice(body)
}

/// Answers a heartbeat. A response with status 200 renews the agent's lease.
pub async fn handle_heartbeat(node: &Arc<Node>, body: &[u8]) -> HttpResponse {
    let heartbeat = match parse(node, body) {
        Ok(heartbeat) => Arc::new(heartbeat),
        Err(problem) => return error_response(StatusCode::BAD_REQUEST, &problem.to_string()),
    };
    node.core().metrics.heartbeats += 1;
    match route(node, &heartbeat.machine) {
        Route::ThisNode => {}
        Route::Other(member) => return redirect_to(member.as_deref()),
        Route::UnknownMachine => return respond_to_unknown_machine(node),
    }
    // A cancellation may not have reached us: keeping the agent's lease alive would keep cancelled
    // tasks running. The lease ends by itself if we stay silent.
    let now = Instant::now();
    if !node.may_renew_leases() || !cells::permits_renewal(node, &heartbeat, now) {
        record_sign_of_life(&mut node.core(), &heartbeat, Instant::now());
        return unavailable("no state service");
    }
    let ingestion = ingest_heartbeat(node, &mut node.core(), &heartbeat, Instant::now());
    match ingestion {
        Ingestion::NotOwner => redirect_to(None),
        // Its task list is old, and nobody reads the response.
        Ingestion::Stale => error_response(StatusCode::CONFLICT, "an older report"),
        Ingestion::Reconciled {
            capacity_freed: true,
            ..
        } => {
            node.wake_up.notify_one();
            // What is placed on the capacity just freed goes out with this response, once it is
            // recorded; with the next heartbeat's it would go out an interval later.
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
            // Whether it was released or the time ran out, the records decide.
            let _ = tokio::time::timeout(limit, released).await;
            respond_by_current_records(node, &heartbeat)
        }
    }
}

/// Who answers a heartbeat.
enum Route {
    ThisNode,
    /// Another member, by its name where one is known.
    Other(Option<String>),
    /// The machine is in no record.
    UnknownMachine,
}

fn route(node: &Node, machine: &str) -> Route {
    let core = node.core();
    let record = core.replica.fleet.machines.get(machine);
    let Some(owner) = record.map(|record| &record.owner) else {
        return Route::UnknownMachine;
    };
    if owner.name == node.identity.name && *owner != node.identity {
        // Ours before a restart: the leader has yet to assign it to a present member.
        return Route::Other(None);
    }
    let presence = core.replica.presence.get(&owner.name);
    let is_present = presence.is_some_and(|p| p.record.incarnation == owner.incarnation);
    if *owner != node.identity {
        // An absent owner takes seconds to be found out; the agent's lease is better spent on asking
        // the others until the machine has a new owner.
        return Route::Other(is_present.then(|| owner.name.clone()));
    }
    drop(core);
    if node.redirects_worker(machine) {
        return Route::Other(None);
    }
    Route::ThisNode
}

/// A machine in no record. Its heartbeat may be a late copy of one from before its release, so it proves
/// nothing: the leader adopts machines by the cloud's list alone, and until then, or until the rental is
/// recorded that it belongs to, its agent asks again.
fn respond_to_unknown_machine(node: &Node) -> HttpResponse {
    if membership::leader_revision(node).is_some() {
        return unavailable("not known yet");
    }
    let core = node.core();
    let leader = core.replica.leader.as_ref();
    let leader = leader.map(|leader| leader.record.member.as_str());
    redirect_to(leader.filter(|leader| *leader != node.identity.name))
}

/// Holds back the response to an idle machine until work for it is recorded, for the returned time at most.
///
/// `run` goes out with responses to heartbeats only. A machine on which nothing runs has nothing to report
/// meanwhile: with heartbeats seconds apart, a gang would else wait for the last of its machines' heartbeats.
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
    let limit = limit.mul_f64(IDLE_WAIT_INTERVAL_PART).min(MAX_IDLE_WAIT);
    Some((released, limit))
}

/// The response to a heartbeat that has waited, by the records as they now are.
fn respond_by_current_records(node: &Node, heartbeat: &Heartbeat) -> HttpResponse {
    let mut core = node.core();
    if let Some(response) = reconcile_again(node, &mut core, heartbeat, Instant::now()) {
        return json_response(StatusCode::OK, &response);
    }
    // It was reassigned while the response waited.
    let machine = core.replica.fleet.machines.get(&heartbeat.machine);
    let owner = machine.map(|machine| machine.owner.name.as_str());
    redirect_to(owner.filter(|owner| *owner != node.identity.name))
}

/// Reconciles an ingested heartbeat once more. None if the machine was reassigned meanwhile.
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
