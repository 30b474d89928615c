//! Releases machines: records them as releasing, asks the cloud to release them, and removes them from the records.
//! Machines that are released to scale in are recorded as draining before that. `decide` selects the machines to
//! drain, and `release_decision` those to release.

use super::machine_writes::write_machine_changes;
use super::release_decision::{Release, ReleaseDecision, decide_releases};
use crate::fleet::{MachineState, RentedMachine};
use crate::membership;
use crate::node::Node;
use crate::state::watch::CONTACT_TIMEOUT;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of transactions that record machines as draining in one iteration of the loop.
const MAX_DRAIN_TRANSACTIONS: usize = 3;
/// How long a controller that does not receive its workers' heartbeats leaves its workers to other controllers.
const STEP_DOWN_DURATION: Duration = Duration::from_secs(20);

/// Releases this controller's machines that are drained, silent or failed. Removes them from the records once the
/// cloud has confirmed the release, because only then is everything on them known to be gone.
pub(super) async fn release_machines(node: &Arc<Node>) {
    let names = begin_releases(node);
    if names.is_empty() {
        return;
    }
    let names = record_releasing(node, names).await;
    if names.is_empty() {
        return;
    }
    if let Err(error) = node.cloud.release(names.clone()).await {
        tracing::info!(%error, "release unconfirmed");
        return; // the next iteration finds the machines recorded as releasing and releases them again
    }
    remove_released(node, names).await;
    node.wake_up.notify_one();
}

/// Decides which machines to release now, marks them as releasing in memory and logs them. Returns their names.
fn begin_releases(node: &Node) -> Vec<String> {
    // Without contact to the state service no release can be recorded, and missing heartbeats prove nothing,
    // because workers were redirected. A controller that stepped down because of them during an outage handed
    // all its jobs and machines to other controllers right after it.
    if node.is_partitioned() || !node.is_connected_within(CONTACT_TIMEOUT) {
        return Vec::new();
    }
    let now = Instant::now();
    let mut core = node.core();
    let releases = match decide_releases(node, &core, now) {
        ReleaseDecision::Release(releases) => releases,
        ReleaseDecision::StepDown { silent, reporting } => {
            tracing::info!(
                silent,
                reporting,
                "stepped down: most machines unresponsive"
            );
            core.membership.election.step_down(now + STEP_DOWN_DURATION);
            return Vec::new();
        }
    };
    let core = &mut *core;
    for Release { machine, reason } in &releases {
        let previous = core.scaling.releasing.insert(machine.clone(), *reason);
        if previous.is_none() {
            core.pending_changes.mark_machine_changed(machine);
            tracing::info!(machine, %reason, "machine release started");
        }
    }
    let names = releases.into_iter().map(|release| release.machine);
    names.collect()
}

/// Records each release before it is sent, under a precondition on the machine's rental. A controller that was cut
/// off from the state service may receive no heartbeats because its machines belong to another controller by now;
/// the precondition keeps it from releasing them. Returns the machines that are recorded as releasing.
async fn record_releasing(node: &Arc<Node>, names: Vec<String>) -> Vec<String> {
    let (mut recorded, new): (Vec<String>, Vec<String>) = {
        let core = node.core();
        let machines = &core.replica.fleet.machines;
        let known = names.into_iter().filter(|name| machines.contains_key(name));
        known.partition(|name| machines[name].state == MachineState::Releasing)
    };
    if !new.is_empty() {
        let set_releasing = |machine: &mut RentedMachine| {
            machine.state = MachineState::Releasing;
            true
        };
        recorded.extend(write_machine_changes(node, &new, set_releasing).await);
    }
    recorded
}

/// Removes released machines from the records. Machines whose removal cannot be written now are released once more
/// in the next iteration.
async fn remove_released(node: &Arc<Node>, names: Vec<String>) {
    let mut left = names;
    while !left.is_empty() {
        let removed = write_machine_changes(node, &left, |_| false).await;
        if removed.is_empty() {
            return;
        }
        tracing::info!(machines = ?removed, "machines released");
        left.retain(|name| !removed.contains(name));
        let mut core = node.core();
        for name in &removed {
            core.scaling.releasing.remove(name);
            core.workers.agents.remove(name);
        }
    }
}

/// Records the machines selected for draining. Called on the leader only.
pub(super) async fn record_draining(node: &Arc<Node>, leader_revision: u64) {
    let names = std::mem::take(&mut node.core().scaling.to_drain);
    if names.is_empty() || membership::leader_revision(node) != Some(leader_revision) {
        return;
    }
    let set_draining = |machine: &mut RentedMachine| {
        machine.state = machine.state.max(MachineState::Draining);
        true
    };
    let mut left = names;
    for _ in 0..MAX_DRAIN_TRANSACTIONS {
        let written = write_machine_changes(node, &left, set_draining).await;
        if written.is_empty() {
            return; // the next forecast offers them again
        }
        left.retain(|name| !written.contains(name));
        if left.is_empty() {
            return;
        }
    }
}
