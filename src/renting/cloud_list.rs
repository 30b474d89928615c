//! Reconciles the records with the cloud's list of machines, which may be out of date.

use super::service::leadership_precondition;
use crate::cloud::ListedMachine;
use crate::fleet::{MachinePool, MachineState, Rental, RentedMachine};
use crate::node::{Core, Node, wall_ms};
use crate::state::{Operation, Precondition, RecordKey};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How far in the past the preemption time of a failed machine is set, so that the machine counts as preempted once
/// its heartbeats are missing.
const FAILED_MACHINE_PREEMPTION_AGE: Duration = Duration::from_secs(1);
/// A leader adopts machines from the list after it has led for this many times the list's lag plus the margin.
const ADOPTION_LAG_FACTOR: f64 = 2.0;
const ADOPTION_MARGIN_S: f64 = 5.0;
const MS_PER_S: f64 = 1000.0;

/// Reads the cloud's list, adopts machines that no record names, and marks failed machines that report to this
/// controller for release. Called on the leader only.
pub(super) async fn reconcile_with_cloud_list(node: &Arc<Node>, leader_revision: u64) {
    let Ok(list) = node.cloud.list().await else {
        return; // the list is read again after the next interval
    };
    let may_adopt = can_adopt_machines(node, &node.core());
    for listed in list {
        if is_unrecorded(&mut node.core(), &listed) && may_adopt && !listed.has_failed() {
            adopt(node, leader_revision, listed).await;
        }
    }
}

/// Whether a listed machine that no record names may be adopted. Because the list lags, a machine that was just
/// released also looks unrecorded. This process remembers its own releases, and machines released before its
/// leadership have left the list after twice the lag. A rental request in progress may also have machines that no
/// record names yet.
fn can_adopt_machines(node: &Node, core: &Core) -> bool {
    let lag_s = node.settings.params.cloud.list_lag_s;
    let adoption_delay = Duration::from_secs_f64(lag_s * ADOPTION_LAG_FACTOR + ADOPTION_MARGIN_S);
    let leadership = core.membership.election.leadership();
    leadership.is_some_and(|leadership| leadership.since.elapsed() > adoption_delay)
        && core.replica.fleet.unconfirmed_rentals().next().is_none()
}

/// Whether no record names the machine and no release of it is known here. A recorded machine that failed is marked
/// for release if it reports to this controller.
fn is_unrecorded(core: &mut Core, listed: &ListedMachine) -> bool {
    let fleet = &core.replica.fleet;
    if !fleet.machines.contains_key(&listed.name) {
        return !fleet.was_released(&listed.name);
    }
    if listed.has_failed()
        && let Some(agent) = core.workers.agents.get_mut(&listed.name)
    {
        // The machine stopped by itself, so nothing on it can resume. Its release confirms that.
        agent.preemption_at = Some(Instant::now() - FAILED_MACHINE_PREEMPTION_AGE);
        core.pending_changes.mark_machine_changed(&listed.name);
    }
    false
}

/// Records a machine that exists but is in no record, as a rental of one machine. The rental is named after the
/// machine, so that the machine cannot be recorded twice.
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
