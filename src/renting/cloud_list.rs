//! Keeps the records in line with the cloud's list of machines, which lags behind.

use super::service::leadership_precondition;
use crate::cloud::ListedMachine;
use crate::fleet::{MachinePool, MachineState, Rental, RentedMachine};
use crate::node::{Core, Node, wall_ms};
use crate::state::{Operation, Precondition, RecordKey};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A failed machine counts as taken by the cloud since so long.
const FAILED_SINCE: Duration = Duration::from_secs(1);
/// How long a leader must have led before it trusts the list: so many times its lag, and so many seconds.
const TRUSTED_LAGS: f64 = 2.0;
const TRUSTED_MARGIN_S: f64 = 5.0;
const MS_PER_S: f64 = 1000.0;

/// The leader: reads the cloud's list, adopts machines that no record names and has failed ones released.
pub(super) async fn reconcile_with_cloud_list(node: &Arc<Node>, leader_revision: u64) {
    let Ok(list) = node.cloud.list().await else {
        return; // the next interval reads it again
    };
    let may_adopt = list_shows_no_old_releases(node, &node.core());
    for listed in list {
        if is_unrecorded(&mut node.core(), &listed) && may_adopt && !listed.has_failed() {
            adopt(node, leader_revision, listed).await;
        }
    }
}

/// The list lags: a machine just released also looks unknown. This process remembers its own releases; those
/// before its leadership are out of the list after twice the lag. A request that may be in progress may also
/// have machines that no record names yet.
fn list_shows_no_old_releases(node: &Node, core: &Core) -> bool {
    let lag_s = node.settings.params.cloud.list_lag_s;
    let trusted_after = Duration::from_secs_f64(lag_s * TRUSTED_LAGS + TRUSTED_MARGIN_S);
    let leadership = core.membership.election.leadership();
    leadership.is_some_and(|leadership| leadership.since.elapsed() > trusted_after)
        && core.replica.fleet.unconfirmed_rentals().next().is_none()
}

/// Whether neither a record nor a release known here names the machine. A recorded one that failed is marked
/// for release.
fn is_unrecorded(core: &mut Core, listed: &ListedMachine) -> bool {
    let fleet = &core.replica.fleet;
    if !fleet.machines.contains_key(&listed.name) {
        return !fleet.was_released(&listed.name);
    }
    if listed.has_failed()
        && let Some(agent) = core.workers.agents.get_mut(&listed.name)
    {
        // It stopped by itself: nothing on it can come back, and releasing it proves that.
        agent.preemption_at = Some(Instant::now() - FAILED_SINCE);
        core.pending_changes.mark_machine_changed(&listed.name);
    }
    false
}

/// Records a machine that exists and is in no record: a rental of one, under the machine's own name, so that
/// it cannot be recorded twice.
async fn adopt(node: &Arc<Node>, leader_revision: u64, listed: ListedMachine) {
    let key = RecordKey::Rental(&format!("a-{}", listed.name)).to_string();
    let machine = RentedMachine {
        name: listed.name.clone(),
        owner: node.identity.clone(),
        fencing_token: leader_revision,
        state: MachineState::Active,
    };
    let rental = Rental {
        pool: MachinePool {
            machine_type: listed.machine_type,
            zone: listed.zone,
            spot: listed.spot,
        },
        count: 1,
        requested_ms: wall_ms().saturating_sub((listed.age_s * MS_PER_S) as u64),
        unconfirmed: false,
        machines: vec![machine],
    };
    let preconditions = [
        leadership_precondition(leader_revision),
        Precondition {
            key: key.clone(),
            revision: 0,
        },
    ];
    let put = Operation::put(key, &rental);
    let written = node
        .state
        .compare_and_swap(&preconditions, std::slice::from_ref(&put))
        .await;
    if let Ok(revision) = written {
        node.core().apply(vec![put], revision);
        tracing::info!(machine = listed.name, "machine adopted");
    }
}
