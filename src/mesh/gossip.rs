//! The loop by which a controller without the state service asks its peers what they know.

use super::attestation;
use super::status::{self, StatusFrame};
use crate::node::Node;
use crate::state::watch::CONTACT_TIMEOUT;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Interval between rounds of queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(1000);
/// How long one query may take.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Contact with the state service at most this long ago leaves nothing to ask.
const RECENT_CONTACT: Duration = Duration::from_millis(2000);

/// What a peer answered of its contact with the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerContact {
    Connected,
    Disconnected,
    /// It did not answer in time.
    Unknown,
}

/// Asks the peers, but only while this controller itself lacks the state service.
pub async fn poll_peers(node: Arc<Node>) {
    let mut was_attested = None;
    loop {
        tokio::time::sleep(QUERY_INTERVAL).await;
        let last_read = node.core().last_read_barrier;
        if let Some(last_read) = last_read.filter(|at| at.elapsed() <= RECENT_CONTACT) {
            node.peer_status().discard_superseded(last_read);
            was_attested = None;
            continue;
        }
        let contacts = query_peers(&node).await;
        // What a peer answered a moment before must not keep redirecting workers that nobody else answers.
        if contacts.iter().all(|c| *c == PeerContact::Disconnected) {
            node.peer_status().state_service_reached_at = None;
        }
        let is_lost = last_read.is_none_or(|at| at.elapsed() > CONTACT_TIMEOUT);
        let (all_attest, cancelled) = attestations(&node);
        if is_lost && was_attested.replace(all_attest) != Some(all_attest) {
            tracing::info!(all_attest, cancelled, "state service lost, peers queried");
        }
    }
}

/// Asks all peers at once and records their answers.
async fn query_peers(node: &Arc<Node>) -> Vec<PeerContact> {
    let mut queries = JoinSet::new();
    for peer in &node.settings.peers {
        let query = query_peer(node.clone(), peer.member.clone(), peer.addr);
        queries.spawn(query);
    }
    let mut contacts = Vec::with_capacity(node.settings.peers.len());
    while let Some(contact) = queries.join_next().await {
        contacts.push(contact.unwrap_or(PeerContact::Unknown));
    }
    contacts
}

/// Asks one peer for its status, then for its attestation.
async fn query_peer(node: Arc<Node>, peer: String, addr: SocketAddr) -> PeerContact {
    let own = StatusFrame::of(&node);
    let contact = match tokio::time::timeout(QUERY_TIMEOUT, status::query(addr, own)).await {
        Ok(Ok(status)) => record_status(&node, &status),
        _ => PeerContact::Unknown,
    };
    let queried_at = Instant::now();
    let attestation = tokio::time::timeout(QUERY_TIMEOUT, attestation::query(addr)).await;
    if let Ok(Ok(attestation)) = attestation {
        // A peer that alone was refused by the state service has no presence record any more, and attests all the
        // same: it is the process that it was.
        let incarnation = node.core().replica.incarnations.get(&peer).copied();
        let mut peers = node.peer_status();
        peers.record_attestation(&peer, incarnation, attestation, queried_at);
    }
    contact
}

fn record_status(node: &Node, status: &StatusFrame) -> PeerContact {
    let mut peers = node.peer_status();
    peers.last_response_at = Some(Instant::now());
    if !status.is_connected() {
        return PeerContact::Disconnected;
    }
    tracing::debug!(peer = status.member, "peer reached the state service");
    peers.state_service_reached_at = Some(Instant::now());
    PeerContact::Connected
}

/// Whether all peers have attested, and how many cancelled jobs this controller learned of from them.
fn attestations(node: &Node) -> (bool, usize) {
    let names = node.settings.peers.iter().map(|p| p.member.as_str());
    let peers = node.peer_status();
    (peers.attested(names).is_some(), peers.cancelled.len())
}
