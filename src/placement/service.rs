//! The scheduling loop: each cycle plans starts and evictions on a snapshot of the cluster and has them
//! recorded before anything acts on them. Workers are commanded from the records, never from here.
//!
//! - [`starts`] plans the starts that packing chose;
//! - [`evictions`] plans evictions and clears tasks of machines that are gone;
//! - [`preempt`] evicts tasks for work of higher priority.

mod evictions;
mod preempt;
mod starts;

use super::snapshot::ClusterSnapshot;
use super::{inherited_deadlines, snapshot, snapshot_cache};
use crate::jobs::writer;
use crate::limits;
use crate::membership;
use crate::metrics::{self, CpuAccount, Metrics};
use crate::node::{Core, Node, wall_ms};
use crate::renting;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A cycle begins after this time even if no event requested one.
const CYCLE_INTERVAL: Duration = Duration::from_millis(400);
/// The shortest pause after a cycle.
const MIN_PAUSE: Duration = Duration::from_millis(80);
/// The pause after a cycle where no more writes are allowed for now.
const MAX_WRITE_PAUSE: Duration = Duration::from_millis(600);
/// The pause after a cycle over the time that it took: heartbeats, health probes and polls come between.
const PAUSE_PER_WORK: u32 = 3;

/// Runs scheduling cycles for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut logged = Instant::now();
    loop {
        // A timeout only means that no event requested a cycle earlier.
        let _ = tokio::time::timeout(CYCLE_INTERVAL, node.wake_up.notified()).await;
        let mut pause = MIN_PAUSE;
        if node.core().loaded {
            node.scheduling_cycles.start();
            let worked = scheduling_cycle(&node).await;
            node.scheduling_cycles.complete();
            // Where writes are scarce, a record should hold more starts rather than come sooner.
            let write_pause = MAX_WRITE_PAUSE.mul_f64(1.0 - node.state.write_headroom());
            pause = pause.max(worked * PAUSE_PER_WORK).max(write_pause);
        }
        if logged.elapsed().as_secs_f64() >= node.policy.period_s {
            logged = Instant::now();
            metrics::log_period(&node, logged);
        }
        tokio::time::sleep(pause).await;
    }
}

/// One scheduling cycle. Returns how long planning held the lock on the node's state.
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
    record_cycle_metrics(&mut node.core().metrics, worked);
    limits::change_own_allocations(node, began).await;
    writer::write(node, leader_revision.is_some()).await;
    worked
}

fn record_cycle_metrics(metrics: &mut Metrics, worked: Duration) {
    metrics.scheduling_cycles += 1;
    metrics.scheduling_time += worked;
    metrics.longest_cycle = metrics.longest_cycle.max(worked);
}

/// Plans what is to be recorded next: starts, evictions, and the loss of tasks on machines that are gone.
/// False as long as the machine types are not known.
fn plan_changes(node: &Node, now: Instant) -> bool {
    let now_ms = wall_ms();
    let mut core = node.core();
    let Some(mut snapshot) = refreshed_snapshot(node, &mut core, now, now_ms) else {
        return false;
    };
    // The forecast's period begins with the first job or machine, and the first forecast is due at once.
    if !core.replica.jobs.is_empty() || !core.replica.fleet.machines.is_empty() {
        let _charge = node.processor_time.charge(CpuAccount::Forecast);
        renting::forecast::update_forecast(node, &mut core, &snapshot, now, now_ms);
    }
    if !snapshot.jobs.is_empty() {
        let unplaced = starts::plan_starts(node, &mut core, &mut snapshot);
        let _charge = node.processor_time.charge(CpuAccount::Planning);
        preempt::preempt(node, &mut core, &snapshot, &unplaced, now);
    }
    let _charge = node.processor_time.charge(CpuAccount::Planning);
    evictions::evict_broken_gangs(&mut core);
    evictions::evict_before_cloud_preemption(node, &mut core, now);
    true
}

/// Brings the snapshot cache up to date and takes a snapshot; none as long as the machine types are not
/// known.
fn refreshed_snapshot(
    node: &Node,
    core: &mut Core,
    now: Instant,
    now_ms: u64,
) -> Option<ClusterSnapshot> {
    let _charge = node.processor_time.charge(CpuAccount::Snapshots);
    core.update_ownership(&node.identity, now);
    if core.machine_types.is_empty() {
        return None;
    }
    evictions::clear_tasks_of_gone_machines(node, core);
    inherited_deadlines::refresh(node, core, now);
    core.metrics.rebuilt_snapshots += snapshot_cache::refresh(core, &node.identity, now, now_ms);
    limits::refresh_usage(core);
    Some(snapshot::build(node, core, now, now_ms))
}

#[cfg(test)]
mod tests;
