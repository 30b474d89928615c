//! Who is there and who leads: a leased presence key for each node, a leased key for the leader,
//! and the takeover of every machine by a new leader.

pub mod assignment;
pub mod probe;
pub mod schema_versions;
mod sharing;

pub use sharing::{choose_placer, demand, rebalance};

use crate::node::Node;
use crate::state::replica::{LeaderRecord, PresenceRecord};
use crate::state::{LEADER_KEY, Operation, Precondition, TransactionError, presence_key};
use assignment::Member;
use probe::Probe;
use rowanmill_state::ReadError;
use sharing::Spoken;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How this node stands among the controllers.
#[derive(Debug, Default)]
pub struct ElectionState {
    pub lease: Option<u64>,
    /// When the last call was sent that renewed the presence lease.
    pub lease_renewed_at: Option<Instant>,
    /// Mark of the leader key under which this node did the leader's duties last, and since when.
    pub leading: Option<(u64, Instant)>,
    /// When the leader shared out last, and among whom.
    shared_at: Option<Instant>,
    shared_among: BTreeSet<Member>,
    /// This node cannot hear most workers and leaves the lead to others until then.
    pub stepped_down_until: Option<Instant>,
    pub probe: Probe,
    spoken: Option<Spoken>,
}

/// Keeps the presence lease, and stands for the lead whenever nobody holds it.
pub async fn run(node: Arc<Node>) {
    let ttl = node.settings.presence_ttl();
    let pause = ttl / 4;
    loop {
        if node.core().loaded {
            step(&node, ttl).await;
        }
        tokio::time::sleep(pause).await;
    }
}

async fn step(node: &Arc<Node>, ttl: Duration) {
    let (lease, stands_back) = {
        let core = node.core();
        (
            core.election.lease,
            core.election.stepped_down_until.is_some(),
        )
    };
    if let Some(lease) = lease
        && stands_back
    {
        // Its teams and machines, and the lead if it has it, go to others with the lease.
        if node.state.revoke_lease(lease).await.is_ok() {
            node.core().election.lease = None;
        }
        return;
    }
    match lease {
        None if stands_back => end_standing_back(node),
        None => join(node, ttl).await,
        Some(lease) => match extend(node, lease).await {
            Err(ReadError::LeaseExpired) => {
                tracing::info!("the presence lease is over");
                node.core().election.lease = None;
            }
            Ok(()) => {
                if announce(node, lease).await {
                    campaign(node, lease).await;
                    schema_versions::update_record(node).await;
                }
            }
            Err(_) => {}
        },
    }
}

async fn extend(node: &Node, lease: u64) -> Result<(), ReadError> {
    let sent = Instant::now();
    node.state.extend_lease(lease).await?;
    node.core().election.lease_renewed_at = Some(sent);
    Ok(())
}

async fn join(node: &Arc<Node>, ttl: Duration) {
    let me = &node.identity.name;
    let old = {
        let core = node.core();
        let old = core.replica.presence.get(me);
        old.map(|p| (p.record.incarnation, p.record.lease))
    };
    if let Some((incarnation, lease)) = old
        && incarnation != node.identity.incarnation
    {
        // A process of the same name that ended: its lease would only keep others waiting.
        let _ = node.state.revoke_lease(lease).await;
    }
    let sent = Instant::now();
    let Ok(lease) = node.state.create_lease(ttl).await else {
        return;
    };
    {
        let mut core = node.core();
        core.election.lease_renewed_at = Some(sent);
        core.election.lease = Some(lease);
    }
    if announce(node, lease).await && node.read_barrier().await {
        campaign(node, lease).await;
    }
}

/// Sees to it that this node's presence is there, on its lease of now; whether it is. One put
/// without an answer may be carried out seconds later, after the next: it would take the key to a
/// lease that nobody extends, with which it ends, and the node would be nobody's for good. So each
/// is guarded by the revision before, and what the records tell is compared at each turn.
async fn announce(node: &Node, lease: u64) -> bool {
    let record = PresenceRecord {
        incarnation: node.identity.incarnation,
        lease,
        supported_level: node.supported_level,
    };
    let key = presence_key(&node.identity.name);
    let revision = {
        let core = node.core();
        let held = core.replica.presence.get(&node.identity.name);
        if held.is_some_and(|held| held.record == record) {
            return true;
        }
        held.map_or(0, |held| held.revision)
    };
    let guard = Precondition {
        key: key.clone(),
        revision,
    };
    let put = leased(key, &record, lease);
    match node
        .state
        .compare_and_swap(&[guard], std::slice::from_ref(&put))
        .await
    {
        Ok(revision) => {
            node.core().apply(vec![put], revision);
            true
        }
        Err(error) => {
            if matches!(error, TransactionError::LeaseExpired) {
                node.core().election.lease = None;
            }
            node.read_barrier().await;
            false
        }
    }
}

fn leased(key: String, record: &impl serde::Serialize, lease: u64) -> Operation {
    Operation::put(key, record).with_lease(lease)
}

async fn campaign(node: &Arc<Node>, lease: u64) {
    if node.core().replica.leader.is_some() {
        return;
    }
    let record = LeaderRecord {
        member: node.identity.name.clone(),
        incarnation: node.identity.incarnation,
        lease,
    };
    let guard = Precondition {
        key: LEADER_KEY.into(),
        revision: 0,
    };
    let put = leased(LEADER_KEY.into(), &record, lease);
    match node.state.compare_and_swap(&[guard], &[put]).await {
        Ok(_) => tracing::info!("elected"),
        Err(TransactionError::LeaseExpired) => node.core().election.lease = None,
        Err(_) => {}
    }
    node.read_barrier().await;
}

/// Whether the leader record is this very process's; its revision.
pub fn leader_revision(node: &Node) -> Option<u64> {
    let core = node.core();
    let leader = core.replica.leader.as_ref()?;
    let ours = leader.record.member == node.identity.name
        && leader.record.incarnation == node.identity.incarnation;
    ours.then_some(leader.revision)
}

/// Notes whether this node leads, and since when.
pub fn record_leadership(node: &Node, revision: Option<u64>) {
    let mut core = node.core();
    let before = core.election.leading.map(|(revision, _)| revision);
    if before != revision {
        tracing::info!(?revision, "the lead changed hands");
        core.election.leading = revision.map(|revision| (revision, Instant::now()));
    }
}

fn end_standing_back(node: &Node) {
    let mut core = node.core();
    // If all stand back at once, the machines are gone rather than the ways to them.
    let alone = core.replica.presence.is_empty();
    if alone
        || core
            .election
            .stepped_down_until
            .is_some_and(|until| until <= Instant::now())
    {
        core.election.stepped_down_until = None;
    }
}
