//! A controller's own forecast: the deadline misses that it predicts, and the idle machines that it offers for
//! release.
//!
//! The forecast is computed in the scheduling cycle from that cycle's snapshot, and `service` publishes it. The
//! leader decides on it in `decide`.

mod waiting_work;

use super::decide::{machine_type_facts, sum_forecasts};
use super::summary::{DemandForecast, ForecastSummaryRecord, IdleMachine};
use super::write_rate::adjust_write_rate;
use crate::fleet::MachineState;
use crate::limits::MAX_PUBLISHED_GANG_BYTES;
use crate::metrics::CpuAccount;
use crate::node::{Core, Node, age_s};
use crate::placement::batch_order;
use crate::placement::forecast::{Forecast, forecast_in_turns};
use crate::placement::quota_headroom::QuotaHeadroom;
use crate::placement::snapshot::{ClusterSnapshot, eligible_machine_types};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use waiting_work::WaitingWork;

/// Shortest interval between forecasts that are published before the period is over, because the startup queue
/// grew or the gangs blocked by their team's limit changed.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_secs(2);

/// Growth of the startup queue, in tasks, that makes the published forecast stale. The remedial policy subtracts
/// one from the length and divides the rest, so a smaller growth has little or no effect on it.
const MIN_QUEUE_GROWTH: u32 = 2;

/// A forecast that is due, with its input.
pub struct DueForecast {
    snapshot: ClusterSnapshot,
    /// What limited teams may still start, including what their running tasks will release.
    headroom: QuotaHeadroom,
    /// Whether the period is over. Otherwise the published forecast is stale.
    is_periodic: bool,
    now: Instant,
    now_ms: u64,
}

/// Whether a forecast is to be made: one per period, and an earlier one if the published one is stale. The first one is
/// made as soon as there is a job or a machine; its period counts from then on.
pub fn is_due(node: &Node, core: &Core, snapshot: &ClusterSnapshot, now: Instant) -> bool {
    let is_idle = core.replica.jobs.is_empty() && core.replica.fleet.machines.is_empty();
    let is_due = || {
        now >= core.scaling.next_forecast
            || forecast_is_stale(core, snapshot, node.policy.startup_count, now)
    };
    !is_idle && is_due()
}

impl DueForecast {
    /// The forecast to make of a snapshot taken `now`.
    pub fn new(core: &mut Core, snapshot: ClusterSnapshot, now: Instant, now_ms: u64) -> Self {
        Self {
            headroom: headroom_with_releases(core, &snapshot, now),
            is_periodic: now >= core.scaling.next_forecast,
            snapshot,
            now,
            now_ms,
        }
    }

    /// Makes the forecast, without the state's lock and in turns with the controller's other tasks. What they change
    /// meanwhile is in the next forecast.
    pub async fn make(self, node: &Node) {
        let snapshot = &self.snapshot;
        let placement = forecast_in_turns(
            &snapshot.jobs,
            &snapshot.machines,
            &self.headroom,
            node.policy.startup_count,
        );
        let placement = node
            .processor_time
            .charge_future(CpuAccount::Forecast, placement)
            .await;
        let _charge = node.processor_time.charge(CpuAccount::Forecast);
        self.record(node, &mut node.core(), &placement);
    }

    /// Records the forecast as the one to publish.
    fn record(&self, node: &Node, core: &mut Core, placement: &Forecast) {
        core.metrics.machines_examined += placement.machines_examined;
        core.metrics.slots_examined += placement.slots_examined;
        let record = summarize(node, core, &self.snapshot, placement, self.now_ms);
        if self.is_periodic {
            begin_period(node, core, self.now, self.now_ms);
        }
        core.scaling.pending_forecast = Some(record);
    }
}

/// The headroom of limited teams, including what their running tasks will release.
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

/// Whether the leader needs a newer forecast than the published one before the period is over.
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

/// Per job, the number of waiting tasks that its team's limit allows to start. More machines would not help the
/// others.
fn permitted_tasks(snapshot: &ClusterSnapshot) -> Vec<u32> {
    let order = batch_order(&snapshot.jobs);
    snapshot.headroom.clone().permitted(&snapshot.jobs, &order)
}

/// The lengths of the startup queues by machine type, counting only tasks that their team's limit allows to start.
fn startup_queues(
    snapshot: &ClusterSnapshot,
    permitted: &[u32],
    startup_count: u32,
) -> BTreeMap<String, u32> {
    let mut queues: BTreeMap<String, u32> = BTreeMap::new();
    for (index, job) in snapshot.jobs.iter().enumerate() {
        if !snapshot.unplaceable[index] {
            let queued = startup_count.saturating_sub(job.started);
            let machine_type = snapshot.cheapest_machine_types[index].clone();
            *queues.entry(machine_type).or_default() += queued.min(permitted[index]);
        }
    }
    queues
}

/// Computes the demand by machine type from the placement forecast: steps 1 to 6 of algorithm 1 of
/// the CVSS paper.
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
        let name = &snapshot.cheapest_machine_types[index];
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
            substitute: progress.and_then(|job| job.fallback_machine_type.as_ref()),
        };
        work.log_if_limited();
        work.add_to(demand.entry(name.clone()).or_default());
    }
    demand
}

/// For each machine type of the catalog: the work that finished since the last periodic forecast, and the length
/// of the startup queue.
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
        let forecast = demand.entry(job.cheapest_machine_type.clone()).or_default();
        forecast.running += f64::from(job.placed) * job.dominant_share;
    }
}

/// Number of own machines of a type that have not reported yet.
fn booting_machines(node: &Node, core: &Core, machine_type: &str) -> u32 {
    let machines = core.replica.fleet.machines.iter();
    let booting = machines.filter(|(name, machine)| {
        machine.pool.machine_type == machine_type
            && machine.owner == node.identity
            && !core.workers.agents.contains_key(*name)
    });
    booting.count() as u32
}

/// Number of tasks of own jobs that arrived within the last period and whose cheapest machine type is this one.
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

/// Own active machines that are idle, whose hold is over, and to which the forecast mapped no task; least
/// remaining hold first. The hold restarts with each use: machines are billed by the second, so no prepaid time
/// is lost.
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

/// Number of these idle machines that the record has room for, at least one. The record must fit into a value of
/// the state service; the other machines follow with the next forecast.
fn max_published_idle(node: &Node, core: &Core, idle: &[IdleMachine]) -> usize {
    let machine_types = core.machine_types.len().max(1);
    let gang_bytes = if core.limits.has_divided_teams(core) {
        MAX_PUBLISHED_GANG_BYTES
    } else {
        0
    };
    let value_bytes = node.settings.max_value_bytes().saturating_sub(gang_bytes);
    let max_machines = if core.replica.is_current_schema_active() {
        let name_bytes = idle.iter().map(|m| m.name.len() + NAME_OVERHEAD_BYTES);
        let longest = name_bytes.max().unwrap_or(1);
        (value_bytes / machine_types).saturating_sub(FORECAST_BYTES) / longest
    } else {
        (value_bytes / (machine_types * IDLE_MACHINE_BYTES)).min(MAX_IDLE_WITH_HOLD)
    };
    max_machines.max(1)
}

/// Maximum number of idle machines per machine type in the format with hold times, which the previous version
/// reads. The format with names only is limited by the record's size alone. A value of 2 KiB holds only 6 machines
/// with hold times, and with 6 offered per period, hundreds of machines stayed idle for minutes.
const MAX_IDLE_WITH_HOLD: usize = 30;
/// Bytes per idle machine in the format with hold times.
const IDLE_MACHINE_BYTES: usize = 160;
/// Bytes per entry of the list of names, besides the name itself: two quotes and a comma.
const NAME_OVERHEAD_BYTES: usize = 3;
/// Bytes of a machine type's forecast, besides the list of names.
const FORECAST_BYTES: usize = 480;

#[cfg(test)]
mod tests;
