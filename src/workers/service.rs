//! Answers workers' reports: the machine's owner reads them, every other node names the owner.

use super::{Live, Pending, Report, read};
use crate::cells;
use crate::fleet::MachineState;
use crate::http::{HttpResponse, error_response, json_response, retry_later};
use crate::jobs::{TaskId, TaskRecord, TaskRef};
use crate::membership;
use crate::membership::assignment::Member;
use crate::metrics::CpuAccount;
use crate::node::{Core, Node, wall_ms};
use crate::workers::wire;
use hyper::StatusCode;
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

fn elsewhere(member: Option<&str>) -> HttpResponse {
    let body = match member {
        Some(member) => json!({ "miller": member }),
        None => json!({}),
    };
    json_response(StatusCode::MISDIRECTED_REQUEST, &body)
}

fn decode(node: &Node, body: &[u8]) -> Result<Report, serde_json::Error> {
    let _charge = node.processor_time.charge(CpuAccount::Heartbeats);
    serde_json::from_slice(body)
}

pub async fn hello(node: &Arc<Node>, body: &[u8]) -> HttpResponse {
    let report = match decode(node, body) {
        Ok(report) => Arc::new(report),
        Err(problem) => return error_response(StatusCode::BAD_REQUEST, &problem.to_string()),
    };
    let owner = {
        let mut core = node.core();
        core.metrics.heartbeats += 1;
        let machine = core.replica.fleet.machines.get(&report.machine);
        let owner = machine.map(|m| m.owner.clone());
        let there = |m: &Member| {
            let presence = core.replica.presence.get(&m.name);
            presence.is_some_and(|p| p.record.incarnation == m.incarnation)
        };
        // One that is not there takes seconds to say so; its worker's lease is better spent on
        // asking the others until the machine has a new owner.
        if owner
            .as_ref()
            .is_some_and(|m| *m != node.identity && !there(m))
        {
            return elsewhere(None);
        }
        owner
    };
    match owner {
        Some(owner) if owner == node.identity => {}
        // Ours before a restart: the leader has yet to give it to someone who is there.
        Some(owner) if owner.name == node.identity.name => return elsewhere(None),
        Some(owner) => return elsewhere(Some(&owner.name)),
        None => return greet_unknown(node),
    }
    if node.redirects_worker(&report.machine) {
        return elsewhere(None);
    }
    // A cancellation may have passed us by: keeping the worker's lease alive would keep cancelled
    // tasks running. It ends by itself if we stay silent.
    if !node.may_renew_leases() || !cells::permits_renewal(node, &report, Instant::now()) {
        note_there(&mut node.core(), &report, Instant::now());
        return retry_later(StatusCode::SERVICE_UNAVAILABLE, 1, "no state service");
    }
    let taken = take(node, &mut node.core(), &report, Instant::now());
    if matches!(taken, Taken::Read { freed: true, .. }) {
        node.wake_up.notify_one();
    }
    match taken {
        Taken::NotOurs => return elsewhere(None),
        // Its task list is old, and nobody reads the answer.
        Taken::Late => return error_response(StatusCode::CONFLICT, "an older report"),
        Taken::Read {
            freed: false,
            answer,
        } => {
            let idle = idle_wait(node, &mut node.core(), &report, &answer);
            let Some((called, within)) = idle else {
                return json_response(StatusCode::OK, &answer);
            };
            let _ = tokio::time::timeout(within, called).await;
        }
        // What is placed in the room just freed goes out with this answer, once it is recorded;
        // with the next report's it would come a report's interval later.
        Taken::Read { freed: true, .. } => node.await_next_scheduling_cycle(ANSWER_WITHIN).await,
    }
    let mut core = node.core();
    match orders(node, &mut core, &report, Instant::now()) {
        Some(answer) => json_response(StatusCode::OK, &answer),
        // It changed hands while the answer waited.
        None => {
            let machine = core.replica.fleet.machines.get(&report.machine);
            elsewhere(
                machine
                    .map(|m| m.owner.name.as_str())
                    .filter(|o| *o != node.identity.name),
            )
        }
    }
}

/// A machine whose report this node may not answer is there all the same. Taken for silent, it and
/// all others were given back right after an outage, and controllers that had refused most reports
/// stood back, as if they could not hear them.
fn note_there(core: &mut Core, report: &Report, now: Instant) {
    let owned = core.workers.owned.get(&report.machine);
    let token = owned.map(|(_, token)| *token);
    if let Some(live) = core.workers.live.get_mut(&report.machine)
        && token == Some(report.token)
        && live.is_newer(report)
    {
        live.heard = now;
    }
}

/// Longest that the answer to an idle machine waits for work, and the part of the time between two
/// reports that it may take: it must not come near the 4 s after which the worker drops it.
const IDLE_WAIT: Duration = Duration::from_millis(2000);
const IDLE_PART: f64 = 0.5;

/// `run` goes out with answers to reports only. A machine on which nothing runs has nothing to tell
/// meanwhile, so the answer waits a little for work to be recorded there: with reports seconds
/// apart, a gang would else wait for the last of its machines to report.
fn idle_wait(
    node: &Node,
    core: &mut Core,
    report: &Report,
    answer: &wire::Answer,
) -> Option<(oneshot::Receiver<()>, Duration)> {
    let record = core.replica.fleet.machines.get(&report.machine)?;
    let idle = report.tasks.is_empty()
        && answer.orders.is_empty()
        && report.notice_s.is_none()
        && record.state == MachineState::Active
        && report.token == record.fencing_token
        && !core.replica.tasks_by_machine.contains_key(&report.machine);
    if !idle {
        return None;
    }
    let (call, called) = oneshot::channel();
    core.workers.idle.insert(report.machine.clone(), call);
    let within = node.settings.heartbeat_interval().mul_f64(IDLE_PART);
    Some((called, within.min(IDLE_WAIT)))
}

/// Longest that an answer waits for the record of what it is to start: far less than the 4 s
/// after which the worker would drop it.
const ANSWER_WITHIN: Duration = Duration::from_millis(1200);

enum Taken {
    NotOurs,
    Late,
    /// `freed`: tasks have ended since the last report.
    Read {
        freed: bool,
        answer: wire::Answer,
    },
}

/// `run` goes out by records read within this. A node that the state service refuses alone would
/// else start for `disconnected_lease_limit` what another has confirmed as cancelled. One that follows the log
/// undisturbed has read it within half of this.
const STARTS_WITHIN: Duration = Duration::from_secs(3);

fn may_start(node: &Node, core: &Core, now: Instant) -> bool {
    let age = |proof| now.saturating_duration_since(proof);
    let is_read = core
        .last_read_barrier
        .is_some_and(|p| age(p) <= STARTS_WITHIN);
    is_read && cells::permits_starts(node, now)
}

/// Jobs of which nothing may run on the machine, beyond what the records say: other controllers know them
/// to be cancelled, or the cells' ledger does.
fn must_not_run(node: &Node, core: &Core, report: &Report) -> Arc<BTreeSet<String>> {
    let mut cancelled = node.peer_status().cancelled.clone();
    let halted = cells::halted_jobs_on(node, core, report);
    if !halted.is_empty() {
        Arc::make_mut(&mut cancelled).extend(halted);
    }
    cancelled
}

/// What the machine is told, by the records as they now stand.
fn orders(node: &Node, core: &mut Core, report: &Report, now: Instant) -> Option<wire::Answer> {
    let _charge = node.processor_time.charge(CpuAccount::Heartbeats);
    let token = core
        .replica
        .fleet
        .machines
        .get(&report.machine)?
        .fencing_token;
    let owned = core.workers.owned.get(&report.machine);
    if owned.is_none_or(|(_, known)| *known != token) {
        return None; // it changed hands while the answer waited
    }
    let mut live = core.workers.live.remove(&report.machine)?;
    let cancelled = must_not_run(node, core, report);
    let pending = Pending {
        stops: &core.workers.stops,
        pending_changes: &core.pending_changes,
        cancelled: &cancelled,
        may_start: may_start(node, core, now),
    };
    let reading = read(report, &mut live, &core.replica, token, &pending, now);
    core.workers.live.insert(report.machine.clone(), live);
    Some(wire::Answer {
        token,
        orders: reading.orders,
    })
}

/// A machine in no record. Its report may be a late copy of one from before its release, so it
/// proves nothing: the leader adopts machines by the cloud's list alone, and until then, or until
/// the rental is recorded that it belongs to, its worker asks again.
fn greet_unknown(node: &Node) -> HttpResponse {
    if membership::leader_revision(node).is_some() {
        return retry_later(StatusCode::SERVICE_UNAVAILABLE, 1, "not known yet");
    }
    let core = node.core();
    let leader = core.replica.leader.as_ref();
    let leader = leader.map(|l| l.record.member.as_str());
    elsewhere(leader.filter(|l| *l != node.identity.name))
}

/// Reads an owned machine's report into what is known and planned, and answers it.
fn take(node: &Node, core: &mut Core, report: &Arc<Report>, now: Instant) -> Taken {
    let _charge = node.processor_time.charge(CpuAccount::Heartbeats);
    let name = report.machine.clone();
    core.update_owner(&node.identity, &name, now);
    let machine = core.replica.fleet.machines.get(&name);
    let Some(token) = machine
        .filter(|m| m.owner == node.identity)
        .map(|m| m.fencing_token)
    else {
        return Taken::NotOurs;
    };
    if report.token > token {
        return Taken::NotOurs; // it has changed hands since; the news has yet to reach us
    }
    let cache_gb = core.kind(&report.kind).map_or(0.0, |k| k.cache_gb);
    let first = !core.workers.live.contains_key(&name);
    let mut live = core
        .workers
        .live
        .remove(&name)
        .unwrap_or_else(|| Live::new(report.clone(), now));
    if !first && !live.is_newer(report) {
        core.workers.live.insert(name, live);
        return Taken::Late;
    }
    if !first {
        let lease = node.settings.worker_lease();
        let patience = node.settings.heartbeat_interval().mul_f64(2.5) + Duration::from_secs(4);
        live.watch(report, lease, patience, now);
    }
    if report.token == token {
        live.heard = now;
        live.confirmed = true;
    }
    if core.runs_intended_work(&name, &report.kind) {
        live.used_at = now;
    }
    live.taken_at = report
        .notice_s
        .map(|s| now + Duration::from_secs_f64(s.clamp(0.0, 3600.0)));
    let cancelled = must_not_run(node, core, report);
    let pending = Pending {
        stops: &core.workers.stops,
        pending_changes: &core.pending_changes,
        cancelled: &cancelled,
        may_start: may_start(node, core, now),
    };
    let reading = read(report, &mut live, &core.replica, token, &pending, now);
    for task in &report.tasks {
        if let Ok(task) = TaskRef::try_from(task.task.as_str())
            && let Some(job) = core.replica.jobs.get(task.job)
        {
            let spec = &job.record.spec;
            live.use_image(&spec.image, spec.image_gb, cache_gb);
        }
    }
    live.report = report.clone();
    // Until an exit is recorded it is reported again; it counts once.
    let new = |core: &Core, id: &TaskId| {
        reading.facts.get(id) != Some(core.task_record(&id.job, id.index))
    };
    let mut freed = false;
    for (id, ran) in reading
        .completed
        .iter()
        .filter(|(id, _)| new(core, id))
        .collect::<Vec<_>>()
    {
        freed = true;
        learn(core, &mut live, id, *ran);
        live.failed_jobs.clear();
    }
    for id in &reading.failed {
        if new(core, id) {
            fail(core, &mut live, &name, id, now);
        }
    }
    for (id, entry) in reading.facts {
        freed |= *core.task_record(&id.job, id.index) != entry;
        if let TaskRecord::Waiting { last } = &entry {
            // A start planned on top of this exit already says the same.
            if core.task_record(&id.job, id.index).last_attempt() > *last {
                continue;
            }
        }
        core.record_change(&id, entry);
    }
    core.workers.live.insert(name, live);
    let answer = wire::Answer {
        token,
        orders: reading.orders,
    };
    Taken::Read { freed, answer }
}

fn learn(core: &mut Core, live: &mut Live, id: &TaskId, ran: Option<Duration>) {
    let Some(job) = core.replica.jobs.get(&id.job) else {
        return;
    };
    let spec = &job.record.spec;
    let first = core.replica.task_record(&id.job, id.index).last_attempt() == 1;
    let age = crate::node::age_s(job.record.accepted_ms, wall_ms());
    let late = spec.deadline_s.is_some_and(|due| age > due);
    let pool = crate::placement::snapshot::eligible_machine_types(core, spec);
    if let Some(kind) = pool.first().and_then(|k| core.kind(k)) {
        let share = spec
            .resources()
            .dominant_share(&crate::placement::capacity_of(kind));
        let tally = core.rent.tally.entry(kind.name.clone()).or_default();
        tally.finished += 1;
        tally.counted += share;
        tally.late += if late { share } else { 0.0 };
    }
    let Some(ran) = ran.filter(|_| first && spec.estimate_s > 0.0) else {
        return;
    };
    let ratio = ran.as_secs_f64() / spec.estimate_s;
    let class = spec.class.clone();
    let learned = core.runtime_estimates.entry(class).or_default();
    let relative = ratio / learned.mean().max(0.05);
    live.slowness = (live.slowness * 0.8 + relative * 0.2).clamp(0.7, 6.0);
    learned.add(ratio);
}

fn fail(core: &mut Core, live: &mut Live, machine: &str, id: &TaskId, now: Instant) {
    let failures = core.failures.entry(id.job.clone()).or_default();
    failures.machines.insert(machine.to_owned());
    failures.count += 1;
    failures.last = Some(now);
    if failures.is_everywhere() {
        return; // the job is at fault rather than the machine
    }
    live.failed_jobs.insert(id.job.clone());
    if live.failed_jobs.len() >= 2 {
        tracing::info!(machine, "fails whatever it is given");
        core.rent.to_return.push(machine.to_owned());
    }
}

#[cfg(test)]
mod tests;
