//! The scaling loop: publishes this controller's forecast and releases its machines. On the leader, it also
//! applies the provisioning policies, rents machines and reconciles the records with the cloud's list.

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

/// Pause between two iterations of the loop.
const ITERATION_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which the cloud's catalog is fetched.
const CATALOG_INTERVAL: Duration = Duration::from_secs(30);
/// Shortest interval at which the leader reads the cloud's list, in seconds.
const MIN_LIST_INTERVAL_S: f64 = 3.0;

/// Runs until the process ends. Every controller fetches the catalog, because it needs it to check submissions.
pub async fn run(node: Arc<Node>) {
    let mut catalog_fetched_at: Option<Instant> = None;
    let mut list_read_at: Option<Instant> = None;
    let list_lag_s = node.settings.params.cloud.list_lag_s;
    let list_interval = Duration::from_secs_f64(list_lag_s.max(MIN_LIST_INTERVAL_S));
    loop {
        if catalog_fetched_at.is_none_or(|at| at.elapsed() > CATALOG_INTERVAL)
            && let Ok(machine_types) = node.cloud.catalog().await
        {
            node.core().machine_types = machine_types;
            catalog_fetched_at = Some(Instant::now());
            node.wake_up.notify_one();
        }
        publish_forecast(&node).await;
        release_machines(&node).await;
        if let Some(leader_revision) = membership::leader_revision(&node) {
            apply_policies(&node);
            merge_rentals(&node, leader_revision).await;
            record_draining(&node, leader_revision).await;
            retry_rentals(&node, leader_revision).await;
            provision(&node, leader_revision).await;
            if list_read_at.is_none_or(|at| at.elapsed() > list_interval) {
                list_read_at = Some(Instant::now());
                reconcile_with_cloud_list(&node, leader_revision).await;
            }
        }
        tokio::time::sleep(ITERATION_PAUSE).await;
    }
}

/// Publishes the pending forecast, if there is one. A forecast that cannot be written is dropped; the next one
/// replaces it.
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

/// Applies the provisioning policies. Called on the leader only.
fn apply_policies(node: &Node) {
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

/// Whether there is any work or machine to decide on. A provisioning event waits for it: an event before the first
/// forecasts with work would delay the decision on them by a period.
fn has_demand_or_machines(node: &Node, core: &Core, now_ms: u64) -> bool {
    let forecasts = sum_forecasts(node, core, now_ms);
    forecasts.values().any(DemandForecast::has_work) || !core.replica.fleet.machines.is_empty()
}

/// The precondition that this controller is still the leader, under the revision with which it was elected.
pub(super) fn leadership_precondition(leader_revision: u64) -> Precondition {
    Precondition {
        key: RecordKey::Leader.into(),
        revision: leader_revision,
    }
}
