//! Membership of the controllers: presence records on leases, the election of a leader, and the assignment of
//! jobs and machines to the controllers that are registered.
//!
//! Nothing here talks to workers or starts tasks; whoever owns a job or a machine does.

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
use probe::Probe;
use rebalance::RebalanceState;
use rowanmill_state::ReadError;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What membership keeps in memory.
#[derive(Debug, Default)]
pub struct MembershipState {
    pub election: ElectionState,
    pub probe: Probe,
    rebalance: RebalanceState,
    load: Option<LoadEstimate>,
}

/// Renewals that are tried within the length of a presence lease.
const RENEWALS_PER_LEASE: u32 = 4;

/// Keeps this controller registered, and stands for election whenever nobody leads.
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

/// Revokes the presence lease of an earlier process of this name, which would only keep the others waiting.
async fn revoke_predecessor(node: &Node) {
    let previous = {
        let core = node.core();
        let presence = core.replica.presence.get(&node.identity.name);
        presence.map(|presence| presence.record.clone())
    };
    if let Some(previous) = previous
        && previous.incarnation != node.identity.incarnation
    {
        // A failure costs time alone: the lease expires by itself.
        let _ = node.state.revoke_lease(previous.lease).await;
    }
}

/// Renews the presence lease, and then sees to all that a registered controller keeps up to date.
async fn renew(node: &Arc<Node>, lease: u64) {
    let requested_at = Instant::now();
    match node.state.extend_lease(lease).await {
        Ok(()) => {}
        Err(ReadError::LeaseExpired) => {
            tracing::info!("presence lease expired");
            node.core().membership.election.unregister();
            return;
        }
        // Tried again at the next turn.
        Err(_) => return,
    }
    node.core().membership.election.record_renewal(requested_at);
    if publish_presence(node, lease).await {
        campaign(node, lease).await;
        schema_versions::update_record(node).await;
    }
}

/// Ends the presence lease, with which this controller's jobs, machines and leadership go to others.
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

/// Ensures that this controller's presence record is on its current lease; whether it is.
///
/// A put without an answer may be carried out seconds later, after the next one: it would move the record to a
/// lease that nobody extends, with which it expires, and the controller would own nothing for good. So each
/// put is guarded by the revision before it, and the record as read is compared at each turn.
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
