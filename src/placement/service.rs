//! The scheduling loop: each cycle plans starts and evictions on a snapshot of the cluster. Starts are
//! recorded before any worker acts on them: commands to workers are derived from the records, never sent
//! from here.
//!
//! - [`starts`] plans the starts that packing chose;
//! - [`evictions`] plans evictions and resets tasks of machines that are gone;
//! - [`preempt`] evicts tasks for work of higher priority.

mod evictions;
mod preempt;
mod starts;

use super::snapshot::ClusterSnapshot;
use super::{inherited_deadlines, snapshot, snapshot_cache};
use crate::jobs::writer;
use crate::limits;
use crate::membership;
use crate::metrics::{self, CpuAccount, CyclePhase, Metrics};
use crate::node::{Core, Node, wall_ms};
use crate::renting;
use crate::renting::forecast::DueForecast;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait for an event that requests a cycle; after it, a cycle begins without one.
const CYCLE_INTERVAL: Duration = Duration::from_millis(400);
/// The shortest pause after a cycle.
const MIN_PAUSE: Duration = Duration::from_millis(80);
/// The pause after a cycle when the budget of writes is used up; it is shorter in proportion to what is left.
const MAX_WRITE_PAUSE: Duration = Duration::from_millis(600);
/// Least ratio of the pause after a cycle to the time for which the cycle held the lock on the node's state:
/// heartbeats, health probes and polls are served in between.
const PAUSE_PER_PLANNING_TIME: u32 = 3;

/// Runs scheduling cycles for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut last_logged = Instant::now();
    loop {
        // A timeout is no error: no event requested an earlier cycle.
        let _ = tokio::time::timeout(CYCLE_INTERVAL, node.wake_up.notified()).await;
        let mut pause = MIN_PAUSE;
        if node.core().loaded {
            node.scheduling_cycles.start();
            let planning_time = scheduling_cycle(&node).await;
            node.scheduling_cycles.complete();
            // When writes are scarce, longer pauses collect more starts for each write.
            let write_pause = MAX_WRITE_PAUSE.mul_f64(1.0 - node.state.write_headroom());
            pause = pause
                .max(planning_time * PAUSE_PER_PLANNING_TIME)
                .max(write_pause);
        }
        if last_logged.elapsed().as_secs_f64() >= node.policy.period_s {
            last_logged = Instant::now();
            metrics::log_period(&node, last_logged);
        }
        tokio::time::sleep(pause).await;
    }
}

/// One scheduling cycle. Returns how long planning held the lock on the node's state.
async fn scheduling_cycle(node: &Arc<Node>) -> Duration {
    let leader_revision = membership::leader_revision(node);
    membership::record_leadership(node, leader_revision);
    if let Some(revision) = leader_revision {
        let _timer = node.phase_times.start(CyclePhase::Assignment);
        membership::rebalance(node, revision).await;
        limits::allocate_limits(node, revision).await;
    }
    let started_at = Instant::now();
    let Some(planning_time) = plan(node).await else {
        return Duration::ZERO;
    };
    record_cycle_metrics(&mut node.core().metrics, started_at.elapsed());
    let _timer = node.phase_times.start(CyclePhase::Writing);
    limits::change_own_allocations(node, Instant::now()).await;
    writer::write(node, leader_revision.is_some()).await;
    planning_time
}

/// What planning under the lock came to.
enum CyclePlan {
    /// The machine types are not known yet.
    NotReady,
    /// A forecast is to be made first.
    ForecastDue(Box<DueForecast>),
    /// The changes are planned.
    Planned,
}

/// Makes the forecast of deadline misses if it is due, and plans the changes to record next. Returns how long the lock
/// was held; `None` if nothing could be planned.
async fn plan(node: &Node) -> Option<Duration> {
    let started_at = Instant::now();
    let plan = plan_changes(node, started_at, Forecasts::IfDue);
    let mut held = started_at.elapsed();
    let plan = if let CyclePlan::ForecastDue(forecast) = plan {
        let timer = node.phase_times.start(CyclePhase::Forecast);
        forecast.make(node).await;
        drop(timer);
        // Other tasks of the controller may have changed its state meanwhile, so that a new snapshot is needed.
        let resumed_at = Instant::now();
        let plan = plan_changes(node, resumed_at, Forecasts::Made);
        held += resumed_at.elapsed();
        plan
    } else {
        plan
    };
    matches!(plan, CyclePlan::Planned).then_some(held)
}

/// Whether a cycle still has to make the forecast that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Forecasts {
    IfDue,
    Made,
}

fn record_cycle_metrics(metrics: &mut Metrics, cycle_time: Duration) {
    metrics.scheduling_cycles += 1;
    metrics.scheduling_time += cycle_time;
    metrics.longest_cycle = metrics.longest_cycle.max(cycle_time);
}

/// Plans the changes to record next: starts, evictions, and tasks that wait again since their machines are
/// gone. Plans nothing yet if a forecast is due before.
fn plan_changes(node: &Node, now: Instant, forecasts: Forecasts) -> CyclePlan {
    let now_ms = wall_ms();
    let mut core = node.core();
    let Some(mut snapshot) = refreshed_snapshot(node, &mut core, now, now_ms) else {
        return CyclePlan::NotReady;
    };
    if forecasts == Forecasts::IfDue && renting::forecast::is_due(node, &core, &snapshot, now) {
        let _charge = node.processor_time.charge(CpuAccount::Forecast);
        let forecast = DueForecast::new(&mut core, snapshot, now, now_ms);
        return CyclePlan::ForecastDue(Box::new(forecast));
    }
    if !snapshot.jobs.is_empty() {
        let unplaced = starts::plan_starts(node, &mut core, &mut snapshot);
        let _charge = node.processor_time.charge(CpuAccount::Planning);
        let _timer = node.phase_times.start(CyclePhase::Eviction);
        preempt::preempt(node, &mut core, &snapshot, &unplaced, now);
    }
    let _charge = node.processor_time.charge(CpuAccount::Planning);
    let _timer = node.phase_times.start(CyclePhase::Eviction);
    evictions::evict_broken_gangs(&mut core);
    evictions::evict_before_cloud_preemption(node, &mut core, now);
    CyclePlan::Planned
}

/// Brings the snapshot cache up to date and builds a snapshot; `None` until the machine types are known.
fn refreshed_snapshot(
    node: &Node,
    core: &mut Core,
    now: Instant,
    now_ms: u64,
) -> Option<ClusterSnapshot> {
    let _charge = node.processor_time.charge(CpuAccount::Snapshots);
    let _timer = node.phase_times.start(CyclePhase::Snapshot);
    core.update_ownership(&node.identity, now);
    if core.machine_types.is_empty() {
        return None;
    }
    evictions::reset_tasks_of_gone_machines(node, core);
    inherited_deadlines::refresh(node, core, now);
    core.metrics.rebuilt_snapshots += snapshot_cache::refresh(core, &node.identity, now, now_ms);
    limits::refresh_usage(core);
    Some(snapshot::build(node, core, now, now_ms))
}

#[cfg(test)]
mod growth_tests;
#[cfg(test)]
mod tests;
