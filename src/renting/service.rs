//! The loop of scaling: publishes this controller's forecast, releases its machines, and does the leader's
//! business with the cloud.

use super::cloud_list::reconcile_with_cloud_list;
use super::decide::{apply_periodic_policy, apply_remedial_policy, sum_forecasts};
use super::merge::merge_rentals;
use super::provision::provision;
use super::release::{record_draining, release_machines};
use super::rental::retry_rentals;
use super::summary::DemandForecast;
use crate::membership;
use crate::metrics::CpuAccount;
use crate::node::{Core, Node, wall_ms};
use crate::state::{Operation, Precondition, RecordKey};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause between two rounds of the loop.
const ROUND_PAUSE: Duration = Duration::from_millis(500);
/// How often the cloud's catalog is fetched again.
const CATALOG_INTERVAL: Duration = Duration::from_secs(30);
/// The shortest interval at which the leader reads the cloud's list, in seconds.
const MIN_LIST_INTERVAL_S: f64 = 3.0;

/// Runs until the process ends. Every controller fetches the catalog, which it needs to check submissions.
pub async fn run(node: Arc<Node>) {
    let mut last_catalog: Option<Instant> = None;
    let mut last_list: Option<Instant> = None;
    let list_lag_s = node.settings.params.cloud.list_lag_s;
    let list_interval = Duration::from_secs_f64(list_lag_s.max(MIN_LIST_INTERVAL_S));
    loop {
        if last_catalog.is_none_or(|at| at.elapsed() > CATALOG_INTERVAL)
            && let Ok(machine_types) = node.cloud.catalog().await
        {
            node.core().machine_types = machine_types;
            last_catalog = Some(Instant::now());
            node.wake_up.notify_one();
        }
        publish_forecast(&node).await;
        release_machines(&node).await;
        if let Some(leader_revision) = membership::leader_revision(&node) {
            decide(&node);
            merge_rentals(&node, leader_revision).await;
            record_draining(&node, leader_revision).await;
            retry_rentals(&node, leader_revision).await;
            provision(&node, leader_revision).await;
            if last_list.is_none_or(|at| at.elapsed() > list_interval) {
                last_list = Some(Instant::now());
                reconcile_with_cloud_list(&node, leader_revision).await;
            }
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

/// Publishes the pending forecast, if there is one. If the write fails, this forecast is dropped and the next
/// one follows.
async fn publish_forecast(node: &Arc<Node>) {
    let Some(mut record) = node.core().scaling.pending_forecast.take() else {
        return;
    };
    record.puts_per_s = node.state.measure_write_rate();
    record.has_lower_quota = node.state.has_lower_quota();
    let put = Operation::put(RecordKey::ForecastSummary(&node.identity.name), &record);
    let written = node
        .state
        .compare_and_swap(&[], std::slice::from_ref(&put))
        .await;
    if let Ok(revision) = written {
        let mut core = node.core();
        core.apply(vec![put], revision);
        core.scaling.published_forecast = Some((Instant::now(), record));
    }
}

/// The leader's decisions of this round.
fn decide(node: &Node) {
    let _charge = node.processor_time.charge(CpuAccount::Scaling);
    let (now, now_ms) = (Instant::now(), wall_ms());
    let mut core = node.core();
    let next_event = core.scaling.next_provisioning_event;
    if next_event.is_none_or(|at| at <= now) && has_demand_or_machines(node, &core, now_ms) {
        let period = Duration::from_secs_f64(node.policy.period_s);
        core.scaling.next_provisioning_event = Some(now + period);
        apply_periodic_policy(node, &mut core, now_ms);
    }
    apply_remedial_policy(node, &mut core, now, now_ms);
}

/// Before anything was submitted there is nothing to decide on: the first provisioning event comes with the
/// first forecasts, not a period later.
fn has_demand_or_machines(node: &Node, core: &Core, now_ms: u64) -> bool {
    let forecasts = sum_forecasts(node, core, now_ms);
    forecasts.values().any(DemandForecast::has_work) || !core.replica.fleet.machines.is_empty()
}

/// The precondition that this controller still leads under the revision with which it was elected.
pub(super) fn leadership_precondition(leader_revision: u64) -> Precondition {
    Precondition {
        key: RecordKey::Leader.into(),
        revision: leader_revision,
    }
}
