//! The placing loop: plans starts, and has them recorded before anything acts on them.

use super::{packing, preemption, snapshot, snapshot_cache};
use crate::jobs::{JobSpec, TaskId, TaskRecord, Urgency, writer};
use crate::limits;
use crate::membership;
use crate::metrics::{self, CpuAccount, Metrics};
use crate::node::{Core, Node, wall_ms};
use crate::renting;
use crate::workers::TaskAttempt;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A cycle begins after so long even if nothing woke it up.
const CYCLE_EVERY: Duration = Duration::from_millis(400);
/// The pause after a cycle: at least, and at most for want of writes.
const SHORTEST_PAUSE: Duration = Duration::from_millis(80);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// Placing takes no more than a part of the time: reports, health probes and polls come between.
const PAUSE_PER_WORK: u32 = 3;
/// Most tasks started in a cycle.
const MOST_STARTS: usize = 400;

pub async fn run(node: Arc<Node>) {
    let mut logged = Instant::now();
    loop {
        let _ = tokio::time::timeout(CYCLE_EVERY, node.wake_up.notified()).await;
        let mut pause = SHORTEST_PAUSE;
        if node.core().loaded {
            node.scheduling_cycles.start();
            let worked = scheduling_cycle(&node).await;
            node.scheduling_cycles.complete();
            // Where writes are scarce, a record should hold more starts rather than come sooner.
            let scarce = LONGEST_PAUSE.mul_f64(1.0 - node.state.write_headroom());
            pause = pause.max(worked * PAUSE_PER_WORK).max(scarce);
        }
        if logged.elapsed().as_secs_f64() >= node.policy.period_s {
            logged = Instant::now();
            metrics::log_period(&node, logged);
        }
        tokio::time::sleep(pause).await;
    }
}

/// One scheduling cycle. Returns how long it kept everything else waiting.
async fn scheduling_cycle(node: &Arc<Node>) -> Duration {
    let leader_revision = membership::leader_revision(node);
    membership::record_leadership(node, leader_revision);
    if let Some(revision) = leader_revision {
        membership::rebalance(node, revision).await;
        limits::allocate_limits(node, revision).await;
    }
    let began = Instant::now();
    if !plan_changes(node, began) {
        return Duration::ZERO;
    }
    let worked = began.elapsed();
    note_cycle(&mut node.core().metrics, worked);
    limits::change_own_allocations(node, began).await;
    writer::write(node, leader_revision.is_some()).await;
    worked
}

fn note_cycle(metrics: &mut Metrics, worked: Duration) {
    metrics.scheduling_cycles += 1;
    metrics.scheduling_time += worked;
    metrics.longest_cycle = metrics.longest_cycle.max(worked);
}

/// PendingChanges what is to be recorded next: starts, stops, and what became of tasks on machines that are gone.
/// False as long as the kinds of machine are not known.
fn plan_changes(node: &Node, now: Instant) -> bool {
    let now_ms = wall_ms();
    let mut core = node.core();
    let Some(mut views) = look_at_all(node, &mut core, now, now_ms) else {
        return false;
    };
    // The first event waits for the first job, and is then at once.
    if !core.replica.jobs.is_empty() || !core.replica.fleet.machines.is_empty() {
        let _charge = node.processor_time.charge(CpuAccount::Forecast);
        renting::decide::look_ahead(node, &mut core, &views, now, now_ms);
    }
    if !views.jobs.is_empty() {
        plan_starts(node, &mut core, &mut views, now);
    }
    let _charge = node.processor_time.charge(CpuAccount::Planning);
    stop_broken_gangs(&mut core);
    save_from_notices(node, &mut core, now);
    true
}

/// Brings the views of machines and jobs up to date.
fn look_at_all(
    node: &Node,
    core: &mut Core,
    now: Instant,
    now_ms: u64,
) -> Option<snapshot::ClusterSnapshot> {
    let _charge = node.processor_time.charge(CpuAccount::Snapshots);
    core.update_ownership(&node.identity, now);
    if core.kinds.is_empty() {
        return None;
    }
    clear_gone(node, core);
    snapshot_cache::propagate_pipeline_deadlines(node, core, now);
    core.metrics.rebuilt_snapshots += snapshot_cache::refresh(core, &node.identity, now, now_ms);
    limits::refresh_usage(core);
    Some(snapshot::build(node, core, now, now_ms))
}

/// PendingChanges starts of what can start now, and makes room for what cannot.
fn plan_starts(node: &Node, core: &mut Core, views: &mut snapshot::ClusterSnapshot, now: Instant) {
    let placing = {
        let _charge = node.processor_time.charge(CpuAccount::Placement);
        let startup = node.policy.startup_count;
        let limits = packing::PackingLimits {
            headroom: &views.headroom,
            reservation_delay_s: core.limits.gang_reservation_delay_s(),
        };
        packing::pack(
            &views.jobs,
            &mut views.machines,
            limits,
            startup,
            MOST_STARTS,
        )
    };
    let _charge = node.processor_time.charge(CpuAccount::Planning);
    core.metrics.machines_examined += placing.machines_examined;
    core.metrics.task_starts += placing.starts.len() as u64;
    let blocked = placing
        .quota_blocked_gangs
        .iter()
        .map(|at| views.jobs[*at].id.clone());
    limits::record_blocked_gangs(core, blocked.collect());
    plan(core, views, &placing.starts);
    make_room(node, core, views, &placing.unplaced, now);
}

/// Most machines on which room is made in a cycle.
const MOST_CLEARED: usize = 24;

fn make_room(
    node: &Node,
    core: &mut Core,
    views: &snapshot::ClusterSnapshot,
    unplaced: &[packing::Unplaced],
    now: Instant,
) {
    for wait in unplaced.iter().filter(|w| w.reserved) {
        let job = &views.jobs[wait.job];
        let (tasks, start) = (job.waiting.len(), wait.start);
        tracing::debug!(
            job = job.id,
            tasks,
            start,
            due = job.due,
            "room is set aside"
        );
    }
    let running = core.replica.jobs.values().filter(|j| j.placed > 0);
    let lowest = running
        .map(|j| snapshot::urgency_of(core, &j.record.spec))
        .min();
    let lowest = lowest.unwrap_or(Urgency::Critical);
    let may = |wait: &&packing::Unplaced| {
        let request = &views.preemption_requests[wait.job];
        request.guaranteed || request.urgency > lowest
    };
    let unplaced: Vec<packing::Unplaced> = unplaced.iter().filter(may).cloned().collect();
    if unplaced.is_empty() {
        return;
    }
    let takes = snapshot::STOP_TAKES_S + node.settings.params.workers.report_s;
    let used = snapshot::team_use(node, core);
    let plan = preemption::plan_preemption(&preemption::PreemptionInput {
        jobs: &views.jobs,
        requests: &views.preemption_requests,
        unplaced: &unplaced,
        machines: &views.machines,
        running_tasks: &|name| snapshot::running_tasks(node, core, &used, name, now),
        eviction_takes_s: takes,
        max_machines: MOST_CLEARED,
    });
    for eviction in plan.evictions {
        let TaskId { job, index } = &eviction.task;
        tracing::debug!(job, task = index, "task preempted");
        stop(core, eviction.task, eviction.attempt, eviction.grace_s);
    }
    for cleared in plan.cleared {
        let machines = cleared.machines.iter();
        let names = machines.map(|m| views.machines[*m].name.clone());
        core.views.reserve_for(
            &views.jobs[cleared.job].id,
            names.collect(),
            now + cleared_within(node),
        );
    }
}

/// How long machines are kept for a job that they are cleared for. The order to stop goes out with
/// the answer to a report, the exit comes with the next, and a save takes its time. Ten seconds,
/// whatever the interval of reports, were too few at 4 s: the machines filled again just before the
/// last of them was free, and were cleared anew, up to nine times for one gang.
fn cleared_within(node: &Node) -> Duration {
    node.settings.heartbeat_interval() * 3 + Duration::from_secs(5)
}

fn stop(core: &mut Core, id: TaskId, attempt: u64, grace: f64) {
    if let TaskRecord::Placed { machine, .. } = core.task_record(&id.job, id.index) {
        let machine = machine.clone();
        core.pending_changes.mark_machine_changed(&machine);
    }
    let reserved = core.replica.task_record(&id.job, id.index);
    if !matches!(reserved, TaskRecord::Placed { attempt: reserved, .. } if *reserved == attempt) {
        // Planned and in no record, nor on its way into one while a turn is being planned: it has
        // not begun and will not, so its room is free at once.
        core.discard_change(&id);
        return;
    }
    let stopped = TaskAttempt { task: id, attempt };
    core.workers.pending_stops.entry(stopped).or_insert(grace);
}

/// A gang that lost a task before its end cannot complete: its other tasks would hold their
/// places until they notice, or for as long as they may wait for it.
fn stop_broken_gangs(core: &mut Core) {
    let mut stops = Vec::new();
    for (id, progress) in &core.views.jobs {
        if progress.placed == 0 || progress.done > 0 || progress.waiting.is_empty() {
            continue;
        }
        let Some(job) = core
            .replica
            .jobs
            .get(id)
            .filter(|j| j.record.spec.is_gang())
        else {
            continue;
        };
        for task in 0..job.record.spec.tasks {
            if let TaskRecord::Placed { attempt, .. } = core.task_record(id, task) {
                stops.push((TaskId::new(id, task), *attempt));
            }
        }
    }
    for (id, attempt) in stops {
        stop(core, id, attempt, 0.0);
    }
}

/// Before the cloud takes a machine, its tasks save if they can, and go elsewhere if they would
/// not end in time.
fn save_from_notices(node: &Node, core: &mut Core, now: Instant) {
    let report = node.settings.params.workers.report_s;
    let mut stops = Vec::new();
    for (name, status) in &core.workers.agents {
        let Some(at) = status.preemption_at else {
            continue;
        };
        let left = at.saturating_duration_since(now).as_secs_f64();
        for id in core
            .replica
            .tasks_by_machine
            .get(name)
            .into_iter()
            .flatten()
        {
            let Some(job) = core.replica.jobs.get(&id.job) else {
                continue;
            };
            let spec = &job.record.spec;
            let ran = status.attempts.running_for(id, now);
            let ran = ran.map_or(0.0, |ran| ran.as_secs_f64());
            let ends_in_time = core.duration(spec) - ran < left;
            let saves = spec.checkpoint_interval_s > 0.0;
            // The order goes out with an answer to a report, and saving takes its time.
            let last_moment = spec.checkpoint_write_s * 1.25 + report * 1.5 + 1.5;
            if ends_in_time || (saves && left > last_moment) {
                continue;
            }
            let grace = if saves {
                left.max(spec.checkpoint_write_s)
            } else {
                0.0
            };
            for task in mates(spec, id.index) {
                let mate = TaskId::new(&id.job, task);
                if let TaskRecord::Placed { attempt, .. } = core.task_record(&mate.job, task) {
                    stops.push(((mate, *attempt), grace));
                }
            }
        }
    }
    for ((id, attempt), grace) in stops {
        stop(core, id, attempt, grace);
    }
}

/// A gang saves together or not at all; a task of an array by itself.
fn mates(spec: &JobSpec, task: u32) -> std::ops::Range<u32> {
    if spec.is_gang() {
        0..spec.tasks
    } else {
        task..task + 1
    }
}

/// Tasks on machines whose record is gone: it is dropped only once the machine provably is.
fn clear_gone(node: &Node, core: &mut Core) {
    let fleet = &core.replica.fleet.machines;
    let gone: Vec<_> = core
        .replica
        .tasks_by_machine
        .iter()
        .filter(|(name, _)| !fleet.contains_key(*name))
        .flat_map(|(_, on)| on.iter().cloned())
        .filter(|task| core.owns_job(&node.identity, &task.job))
        .collect();
    for id in gone {
        if let TaskRecord::Placed {
            attempt, machine, ..
        } = core.task_record(&id.job, id.index)
            && !core.replica.fleet.machines.contains_key(machine)
        {
            let last = *attempt;
            core.record_change(&id, TaskRecord::Waiting { last });
        }
    }
}

fn plan(core: &mut Core, views: &snapshot::ClusterSnapshot, starts: &[super::Start]) {
    // All tasks of a gang take part in one attempt, by whose number they find one another.
    let mut gang_attempts = HashMap::new();
    let mut refused = HashSet::new();
    for start in starts {
        let job = &views.jobs[start.job];
        let machine = &views.machines[start.machine];
        if !core.workers.agents.contains_key(&*machine.name) {
            refused.insert(start.job); // a gang starts whole or not at all
        }
        if job.gang && !gang_attempts.contains_key(&start.job) {
            let last = job.waiting.iter();
            let last = last.map(|t| core.task_record(&job.id, *t).last_attempt());
            let last = last.max().unwrap_or(0).max(attempt_floor(core, &job.id));
            gang_attempts.insert(start.job, last + 1);
        }
    }
    core.pending_changes
        .rank_starts(starts.iter().map(|s| views.jobs[s.job].id.as_str()));
    for start in starts {
        let job = &views.jobs[start.job];
        if refused.contains(&start.job) {
            continue;
        }
        let machine = &views.machines[start.machine];
        let id = TaskId::new(&job.id, start.task);
        let attempt = match gang_attempts.get(&start.job) {
            Some(attempt) => *attempt,
            None => {
                let last = core.task_record(&id.job, id.index).last_attempt();
                last.max(attempt_floor(core, &id.job)) + 1
            }
        };
        let Some(spec) = snapshot_cache::spec_of(core, &job.id) else {
            continue;
        };
        let (image, image_gb) = (spec.image.clone(), spec.image_gb);
        let Some(status) = core.workers.agents.get_mut(&*machine.name) else {
            continue;
        };
        let session = status.latest_heartbeat.incarnation;
        let cache_gb = core
            .kinds
            .iter()
            .find(|k| k.name == status.latest_heartbeat.machine_type);
        let cache_gb = cache_gb.map_or(0.0, |k| k.cache_gb);
        status.record_image_use(&image, image_gb, cache_gb);
        core.record_change(
            &id,
            TaskRecord::Placed {
                attempt,
                machine: machine.name.to_string(),
                session,
            },
        );
    }
}

#[cfg(test)]
mod tests;

/// A job's attempts are above this; see `JobRecord::attempt_floor`.
fn attempt_floor(core: &Core, job: &str) -> u64 {
    let job = core.replica.jobs.get(job);
    job.map_or(0, |job| job.record.attempt_floor())
}
