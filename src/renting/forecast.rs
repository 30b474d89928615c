//! A controller's own forecast: the deadline misses it predicts, and the idle machines it offers.
//!
//! The forecast is made in the scheduling cycle, from that cycle's snapshot; `service` publishes it. Nothing
//! is decided here.

mod waiting_work;

use super::decide::{machine_type_facts, sum_forecasts};
use super::summary::{DemandForecast, ForecastSummaryRecord, IdleMachine};
use super::write_rate::adjust_write_rate;
use crate::fleet::MachineState;
use crate::limits::MAX_PUBLISHED_GANG_BYTES;
use crate::node::{Core, Node, age_s};
use crate::placement::batch_order;
use crate::placement::forecast::{Forecast, forecast};
use crate::placement::quota_headroom::QuotaHeadroom;
use crate::placement::snapshot::{ClusterSnapshot, eligible_machine_types};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use waiting_work::WaitingWork;

/// A startup queue that grows, and a gang that waits for its team's limit, are published before the period
/// is over, but not more often than this.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_secs(2);

/// The remedial policy takes one off the startup queue and divides: a queue longer by less changes nothing.
const MIN_QUEUE_GROWTH: u32 = 2;

/// Makes the forecast to be published, at each period, and earlier if the one published is stale.
pub fn update_forecast(
    node: &Node,
    core: &mut Core,
    snapshot: &ClusterSnapshot,
    now: Instant,
    now_ms: u64,
) {
    let startup_count = node.policy.startup_count;
    let is_due = now >= core.scaling.next_forecast;
    if !is_due && !forecast_is_stale(core, snapshot, startup_count, now) {
        return;
    }
    let headroom = headroom_with_releases(core, snapshot, now);
    let placement = forecast(&snapshot.jobs, &snapshot.machines, &headroom, startup_count);
    core.metrics.machines_examined += placement.machines_examined;
    let record = summarize(node, core, snapshot, &placement, now_ms);
    if is_due {
        begin_period(node, core, now, now_ms);
    }
    core.scaling.pending_forecast = Some(record);
}

/// The headroom of limited teams with what their running tasks release.
fn headroom_with_releases(
    core: &mut Core,
    snapshot: &ClusterSnapshot,
    now: Instant,
) -> QuotaHeadroom {
    let mut headroom = snapshot.headroom.clone();
    let replica = &core.replica;
    let limited = snapshot.jobs.iter().filter_map(|job| {
        let team = &replica.jobs.get(&job.id)?.record.spec.team;
        Some((team.as_str(), job.team?))
    });
    let teams: BTreeMap<&str, usize> = limited.collect();
    core.snapshots
        .add_quota_releases(now, &teams, &mut headroom);
    headroom
}

/// Whether the forecast published last lacks what the leader should know before the period is over.
fn forecast_is_stale(
    core: &Core,
    snapshot: &ClusterSnapshot,
    startup_count: u32,
    now: Instant,
) -> bool {
    let Some((published_at, record)) = &core.scaling.published_forecast else {
        return true;
    };
    if now.saturating_duration_since(*published_at) < MIN_PUBLISH_INTERVAL {
        return false;
    }
    if record.blocked_gangs != core.limits.published_gangs() {
        return true;
    }
    let forecasts = record.by_machine_type.values();
    let published: u32 = forecasts.map(|f| f.startup_queue).sum();
    let permitted = permitted_tasks(snapshot);
    let queues = startup_queues(snapshot, &permitted, startup_count);
    let present: u32 = queues.values().sum();
    present >= published + MIN_QUEUE_GROWTH
}

fn begin_period(node: &Node, core: &mut Core, now: Instant, now_ms: u64) {
    core.scaling.next_forecast = now + Duration::from_secs_f64(node.policy.period_s);
    adjust_write_rate(node, core, now_ms);
    core.scaling.completion_counts.clear();
    record_arrivals(node, core, now_ms);
}

fn record_arrivals(node: &Node, core: &mut Core, now_ms: u64) {
    for (machine_type, forecast) in sum_forecasts(node, core, now_ms) {
        let rate = core.scaling.arrival_rates.entry(machine_type).or_default();
        rate.record_period(forecast.arrived, forecast.finished);
    }
}

fn summarize(
    node: &Node,
    core: &Core,
    snapshot: &ClusterSnapshot,
    placement: &Forecast,
    now_ms: u64,
) -> ForecastSummaryRecord {
    let mut by_machine_type = demand_by_machine_type(node, core, snapshot, placement);
    for (machine_type, forecast) in &mut by_machine_type {
        forecast.booting = booting_machines(node, core, machine_type);
        forecast.arrived = arrived_tasks(node, core, machine_type, now_ms);
        let mut idle = idle_machines(node, core, machine_type, placement, now_ms);
        idle.truncate(max_published_idle(node, core, &idle));
        if core.replica.is_current_schema_active() {
            forecast.idle_names = idle.into_iter().map(|machine| machine.name).collect();
        } else {
            forecast.idle = idle;
        }
    }
    ForecastSummaryRecord {
        at_ms: now_ms,
        // Both are filled in when the record is published.
        puts_per_s: 0.0,
        has_lower_quota: false,
        write_backlog: core.pending_changes.write_backlog(),
        by_machine_type,
        blocked_gangs: core.limits.published_gangs(),
    }
}

/// Of each job's waiting tasks, those that its team's limit lets start: no machine helps the others.
fn permitted_tasks(snapshot: &ClusterSnapshot) -> Vec<u32> {
    let order = batch_order(&snapshot.jobs);
    snapshot.headroom.clone().permitted(&snapshot.jobs, &order)
}

/// The lengths of the startup queues by machine type, of the tasks that limits let start.
fn startup_queues(
    snapshot: &ClusterSnapshot,
    permitted: &[u32],
    startup_count: u32,
) -> BTreeMap<String, u32> {
    let mut queues: BTreeMap<String, u32> = BTreeMap::new();
    for (index, job) in snapshot.jobs.iter().enumerate() {
        if !snapshot.unplaceable[index] {
            let queued = startup_count.saturating_sub(job.started);
            let machine_type = snapshot.pools[index].clone();
            *queues.entry(machine_type).or_default() += queued.min(permitted[index]);
        }
    }
    queues
}

/// What the placement forecast predicts, by machine type: steps 1 to 6 of algorithm 1.
fn demand_by_machine_type(
    node: &Node,
    core: &Core,
    snapshot: &ClusterSnapshot,
    placement: &Forecast,
) -> BTreeMap<String, DemandForecast> {
    let permitted = permitted_tasks(snapshot);
    let queues = startup_queues(snapshot, &permitted, node.policy.startup_count);
    let mut demand = completed_work(core, &queues);
    add_running_work(core, &mut demand);
    for (index, job) in snapshot.jobs.iter().enumerate() {
        let name = &snapshot.pools[index];
        let known = core.machine_type(name);
        let Some(machine_type) = known.filter(|_| !snapshot.unplaceable[index]) else {
            continue;
        };
        let progress = core.snapshots.jobs.get(&job.id);
        let work = WaitingWork {
            job,
            machine_type,
            permitted: permitted[index],
            forecast: placement.jobs[index],
            beyond_headroom: placement.beyond_headroom[index],
            substitute: progress.and_then(|job| job.fallback_pool.as_ref()),
        };
        work.log_if_limited();
        work.add_to(demand.entry(name.clone()).or_default());
    }
    demand
}

/// For each machine type of the catalog, what finished since the last event, and its startup queue.
fn completed_work(
    core: &Core,
    startup_queues: &BTreeMap<String, u32>,
) -> BTreeMap<String, DemandForecast> {
    let forecast_of = |name: &str| {
        let counts = core.scaling.completion_counts.get(name);
        let counts = counts.copied().unwrap_or_default();
        DemandForecast {
            late_now: counts.late_work,
            counted_now: counts.finished_work,
            finished: counts.finished,
            startup_queue: startup_queues.get(name).copied().unwrap_or(0),
            ..DemandForecast::default()
        }
    };
    let machine_types = core.machine_types.iter();
    machine_types
        .map(|machine_type| (machine_type.name.clone(), forecast_of(&machine_type.name)))
        .collect()
}

fn add_running_work(core: &Core, demand: &mut BTreeMap<String, DemandForecast>) {
    for job in core.snapshots.jobs.values().filter(|job| job.placed > 0) {
        let forecast = demand.entry(job.pool.clone()).or_default();
        forecast.running += f64::from(job.placed) * job.dominant_share;
    }
}

/// Own machines of a type that have not reported yet.
fn booting_machines(node: &Node, core: &Core, machine_type: &str) -> u32 {
    let machines = core.replica.fleet.machines.iter();
    let booting = machines.filter(|(name, machine)| {
        machine.pool.machine_type == machine_type
            && machine.owner == node.identity
            && !core.workers.agents.contains_key(*name)
    });
    booting.count() as u32
}

/// Tasks of own jobs of a machine type that arrived within the last period.
fn arrived_tasks(node: &Node, core: &Core, machine_type: &str, now_ms: u64) -> u32 {
    let period_s = node.policy.period_s;
    let jobs = core.replica.jobs.values();
    jobs.map(|job| &job.record)
        .filter(|job| core.replica.owner_of(job) == Some(&node.identity))
        .filter(|job| !job.cancelled && age_s(job.eligible_since_ms(), now_ms) < period_s)
        .filter(|job| {
            let eligible = eligible_machine_types(core, &job.spec);
            eligible.first().is_some_and(|name| name == machine_type)
        })
        .map(|job| job.spec.tasks)
        .sum()
}

/// Own active machines past their hold that are idle and to which nothing was mapped, least remaining hold
/// first. Billing is by the second, so nothing is paid ahead and the hold begins again with each use.
fn idle_machines(
    node: &Node,
    core: &Core,
    machine_type: &str,
    placement: &Forecast,
    now_ms: u64,
) -> Vec<IdleMachine> {
    let mut forecasts = sum_forecasts(node, core, now_ms);
    let forecast = forecasts.remove(machine_type).unwrap_or_default();
    let Some(facts) = machine_type_facts(core, machine_type, &forecast) else {
        return Vec::new();
    };
    let machines = core.replica.fleet.machines.iter();
    let mut idle: Vec<IdleMachine> = machines
        .filter(|(name, machine)| {
            machine.pool.machine_type == machine_type
                && machine.owner == node.identity
                && machine.state == MachineState::Active
                && !core.scaling.releasing.contains_key(*name)
                && !core.runs_intended_work(name, machine_type)
                && !placement.machines_needed.contains(name.as_str())
        })
        .filter_map(|(name, machine)| {
            let agent = core.workers.agents.get(name)?;
            let unused_s = agent.last_used_at.elapsed().as_secs_f64();
            let age = age_s(machine.requested_ms, now_ms);
            let pool = &machine.pool;
            let hold_s = node.policy.idle_hold_s(&facts, &pool.zone, pool.spot);
            Some(IdleMachine {
                name: name.clone(),
                remaining_hold_s: hold_s - unused_s.min(age),
            })
        })
        .filter(|machine| machine.remaining_hold_s <= 0.0)
        .collect();
    idle.sort_by(|a, b| a.remaining_hold_s.total_cmp(&b.remaining_hold_s));
    idle
}

/// How many of these idle machines the record has room for, at least one: it must fit its value, and the
/// others follow with the next forecast.
fn max_published_idle(node: &Node, core: &Core, idle: &[IdleMachine]) -> usize {
    let machine_types = core.machine_types.len().max(1);
    let published_gangs = if core.limits.has_divided_teams(core) {
        MAX_PUBLISHED_GANG_BYTES
    } else {
        0
    };
    let value_bytes = node
        .settings
        .max_value_bytes()
        .saturating_sub(published_gangs);
    let max_machines = if core.replica.is_current_schema_active() {
        let name_bytes = idle.iter().map(|m| m.name.len() + NAME_OVERHEAD_BYTES);
        let longest = name_bytes.max().unwrap_or(1);
        (value_bytes / machine_types).saturating_sub(FORECAST_BYTES) / longest
    } else {
        (value_bytes / (machine_types * IDLE_MACHINE_BYTES)).min(MAX_IDLE_WITH_HOLD)
    };
    max_machines.max(1)
}

/// Idle machines that a forecast offers at most, per machine type, in the form that the version before reads.
/// In the form by names alone only the record's size bounds them: with 6 a period, which was all that a value
/// of 2 KiB took, hundreds stayed idle for minutes.
const MAX_IDLE_WITH_HOLD: usize = 30;
/// Bytes of an idle machine in that form.
const IDLE_MACHINE_BYTES: usize = 160;
/// Bytes of a name in the list of names beside the name itself: two quotes and a comma.
const NAME_OVERHEAD_BYTES: usize = 3;
/// Bytes of a machine type's forecast beside these names.
const FORECAST_BYTES: usize = 480;

#[cfg(test)]
mod tests;
