//! Machines on their way out: recorded as draining, recorded as releasing, released, and taken out of the
//! records. Which machines these are is decided in `decide` and `release_decision`.

use super::machine_writes::write_machine_changes;
use super::release_decision::{Release, Verdict, decide_releases};
use crate::fleet::{MachineState, RentedMachine};
use crate::membership;
use crate::node::Node;
use crate::state::watch::CONTACT_TIMEOUT;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Transactions by which machines are recorded as draining in one round of the loop.
const MAX_DRAIN_TRANSACTIONS: usize = 3;
/// How long a controller that does not receive its workers' heartbeats leaves them to others.
const STEP_DOWN_DURATION: Duration = Duration::from_secs(20);

/// Releases this controller's machines that are drained, silent or failed, and removes them from the records
/// once the cloud has answered: only then is everything on them provably gone.
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
        return; // the next round finds the machines recorded as releasing, and releases them again
    }
    remove_released(node, names).await;
    node.wake_up.notify_one();
}

/// Decides which machines to release now, and keeps and logs the decision; returns their names.
fn begin_releases(node: &Node) -> Vec<String> {
    // Without contact nothing can be recorded as releasing, and silence means nothing, because workers were
    // redirected. A controller that stepped down for it in an outage gave everything away right after.
    if node.is_partitioned() || !node.is_connected_within(CONTACT_TIMEOUT) {
        return Vec::new();
    }
    let now = Instant::now();
    let mut core = node.core();
    let releases = match decide_releases(node, &core, now) {
        Verdict::Release(releases) => releases,
        Verdict::StepDown { silent, reporting } => {
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

/// Records each release before it is sent, under the precondition of the machine's rental: a controller that
/// was cut off from the state service receives no heartbeats of its machines any more because they belong to
/// another by now, and it must not release them. Returns the machines that are recorded.
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

/// Takes released machines out of the records. What cannot be written now is found again by the next round,
/// which releases it once more.
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

/// The leader: records the machines selected for draining.
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
            return; // they are offered again with the next forecast
        }
        left.retain(|name| !written.contains(name));
        if left.is_empty() {
            return;
        }
    }
}
