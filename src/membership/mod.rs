//! Membership of the controllers: presence records attached to leases, the election of a leader, and the assignment
//! of jobs and machines to the registered controllers.
//!
//! This module does not communicate with workers and does not start tasks. The owners of jobs and machines do.

pub mod assignment;
pub mod election;
mod load;
pub mod machine_assignment;
pub mod probe;
mod rebalance;
pub mod schema_versions;

pub use election::{leader_revision, record_leadership};
pub use load::{WorkloadEstimate, choose_placer};
pub use rebalance::rebalance;

use crate::node::Node;
use crate::state::records::PresenceRecord;
use crate::state::{Operation, Precondition, RecordKey, TransactionError};
use election::{ElectionState, Phase, campaign};
use load::LoadEstimate;
use probe::PartitionProbe;
use rebalance::RebalanceState;
use rowanmill_state::ReadError;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The in-memory state of membership.
#[derive(Debug, Default)]
pub struct MembershipState {
    pub election: ElectionState,
    pub probe: PartitionProbe,
    rebalance: RebalanceState,
    load: Option<LoadEstimate>,
}

/// Attempts to renew a presence lease within its length.
const RENEWALS_PER_LEASE: u32 = 4;

/// The membership loop: keeps this controller registered, and stands for election whenever there is no leader.
pub async fn run(node: Arc<Node>) {
    let lease_length = node.settings.presence_ttl();
    let interval = lease_length / RENEWALS_PER_LEASE;
    loop {
        if node.core().loaded {
            advance(&node, lease_length).await;
        }
        tokio::time::sleep(interval).await;
    }
}

/// One iteration of the membership loop.
async fn advance(node: &Arc<Node>, lease_length: Duration) {
    let phase = node.core().membership.election.phase();
    match phase {
        Phase::Unregistered => register(node, lease_length).await,
        Phase::Registered { lease } => renew(node, lease).await,
        Phase::SteppingDown { lease } => give_up_presence(node, lease).await,
        Phase::SteppedDown => resume_candidacy(node),
    }
}

/// Obtains a presence lease, publishes the presence record on it and stands for election.
async fn register(node: &Arc<Node>, lease_length: Duration) {
    revoke_predecessor(node).await;
    let requested_at = Instant::now();
    let Ok(lease) = node.state.create_lease(lease_length).await else {
        return;
    };
    node.core()
        .membership
        .election
        .register(lease, requested_at);
    if publish_presence(node, lease).await && node.read_barrier().await {
        campaign(node, lease).await;
    }
}

/// Revokes the presence lease of an earlier process with this controller's name. Otherwise the jobs and machines of that
/// process would stay assigned to it until the lease expires.
async fn revoke_predecessor(node: &Node) {
    let previous = {
        let core = node.core();
        let presence = core.replica.presence.get(&node.identity.name);
        presence.map(|presence| presence.record.clone())
    };
    if let Some(previous) = previous
        && previous.incarnation != node.identity.incarnation
    {
        // A failure only costs time, because the lease expires anyway.
        let _ = node.state.revoke_lease(previous.lease).await;
    }
}

/// Renews the presence lease. Then updates the presence record, stands for election if there is no leader, and updates
/// the record of schema versions.
async fn renew(node: &Arc<Node>, lease: u64) {
    let requested_at = Instant::now();
    match node.state.extend_lease(lease).await {
        Ok(()) => {}
        Err(ReadError::LeaseExpired) => {
            tracing::info!("presence lease expired");
            node.core().membership.election.unregister();
            return;
        }
        // The next iteration tries again.
        Err(_) => return,
    }
    node.core().membership.election.record_renewal(requested_at);
    if publish_presence(node, lease).await {
        campaign(node, lease).await;
        schema_versions::update_record(node).await;
    }
}

/// Revokes the presence lease, which passes this controller's jobs, machines and leadership on to other controllers.
async fn give_up_presence(node: &Node, lease: u64) {
    if node.state.revoke_lease(lease).await.is_ok() {
        node.core().membership.election.unregister();
    }
}

fn resume_candidacy(node: &Node) {
    let mut core = node.core();
    let is_any_registered = !core.replica.presence.is_empty();
    let election = &mut core.membership.election;
    election.resume_candidacy(is_any_registered, Instant::now());
}

/// Ensures that this controller's presence record is attached to its current lease, and returns whether it is.
///
/// The state service may apply an unanswered put seconds later, after a newer one. The record would then be attached to
/// a lease that is no longer renewed and expire with it, and the controller would never own anything again. Therefore
/// each put has the record's previous revision as its precondition, and each iteration checks the record as read.
async fn publish_presence(node: &Node, lease: u64) -> bool {
    let record = PresenceRecord {
        incarnation: node.identity.incarnation,
        lease,
        supported_level: node.supported_level,
    };
    let key = RecordKey::Presence(&node.identity.name).to_string();
    let revision = {
        let core = node.core();
        let current = core.replica.presence.get(&node.identity.name);
        if current.is_some_and(|current| current.record == record) {
            return true;
        }
        current.map_or(0, |current| current.revision)
    };
    let precondition = Precondition {
        key: key.clone(),
        revision,
    };
    let put = Operation::put(key, &record).with_lease(lease);
    let written = node
        .state
        .compare_and_swap(&[precondition], std::slice::from_ref(&put))
        .await;
    match written {
        Ok(revision) => {
            node.core().apply(vec![put], revision);
            true
        }
        Err(error) => {
            if matches!(error, TransactionError::LeaseExpired) {
                node.core().membership.election.unregister();
            }
            node.read_barrier().await;
            false
        }
    }
}
