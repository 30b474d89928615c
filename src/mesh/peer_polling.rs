//! The loop in which a controller without the state service queries its peers.

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
/// Time limit for one query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Peers are not queried if the last contact with the state service is at most this long ago.
const RECENT_CONTACT: Duration = Duration::from_millis(2000);

/// A peer's answer to whether it reaches the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerContact {
    Connected,
    Disconnected,
    /// The peer did not answer in time.
    Unknown,
}

/// Queries the peers periodically while this controller has no contact with the state service. Runs for as long as the
/// process lives.
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
        // Once every peer is disconnected too, an earlier answer that one was connected must not cause any more
        // redirects: no other controller would answer the redirected workers.
        if contacts.iter().all(|c| *c == PeerContact::Disconnected) {
            node.peer_status().state_service_reached_at = None;
        }
        let is_lost = last_read.is_none_or(|at| at.elapsed() > CONTACT_TIMEOUT);
        let (all_attest, cancelled) = attestation_summary(&node);
        if is_lost && was_attested.replace(all_attest) != Some(all_attest) {
            tracing::info!(all_attest, cancelled, "state service lost, peers queried");
        }
    }
}

/// Queries all peers concurrently and records their answers.
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

/// Queries one peer for its status, then for its attestation.
async fn query_peer(node: Arc<Node>, peer: String, addr: SocketAddr) -> PeerContact {
    let own = StatusFrame::of(&node);
    let contact = match tokio::time::timeout(QUERY_TIMEOUT, status::query(addr, own)).await {
        Ok(Ok(status)) => record_status(&node, &status),
        _ => PeerContact::Unknown,
    };
    let queried_at = Instant::now();
    let attestation = tokio::time::timeout(QUERY_TIMEOUT, attestation::query(addr)).await;
    if let Ok(Ok(attestation)) = attestation {
        // The peer's incarnation is taken from the last known ones, not from the presence records: the presence of a
        // peer that the state service refuses has expired, but its process and its attestation are still valid.
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

/// Whether all peers have attested, and the number of cancelled jobs that the peers have reported.
fn attestation_summary(node: &Node) -> (bool, usize) {
    let names = node.settings.peers.iter().map(|p| p.member.as_str());
    let peers = node.peer_status();
    (peers.attested_until(names).is_some(), peers.cancelled.len())
}
