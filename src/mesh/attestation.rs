//! Attestations: a controller's complete list of the jobs that it knows to be cancelled.
//!
//! An attestation guards against the following sequence: the state service refuses only one controller, another controller
//! confirms cancellations, and then the state service becomes unreachable for all. Without attestations the first
//! controller would either renew the leases of workers that run cancelled tasks, or stop renewing and lose all their tasks.
//!
//! When a controller confirms a cancellation to a user, the job is marked as cancelled in its replica. The job stays there
//! until it has ended, when no machine runs any of its tasks. Therefore the cancelled jobs in a replica at some time include
//! every unfinished job whose cancellation the controller confirmed before that time.

use super::receive_frame;
use crate::node::Node;
use bytes::Bytes;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Code of a query for an attestation, sent in place of a status frame's length. A controller of the previous version
/// takes it for the length of an oversized frame and closes the connection, which counts as no attestation.
pub const ATTESTATION_QUERY: u16 = u16::MAX;
/// Maximum size of an encoded attestation.
const MAX_FRAME_BYTES: usize = 256 << 10;
/// A controller counts as disconnected after this time without contact; it equals the longest duration of a watch
/// request. Until then it may still confirm cancellations that its replica does not show yet. A slow one may be
/// confirmed even later, as it takes a read and then a write of up to 1.5 s each.
const DISCONNECTED_AFTER: Duration = Duration::from_millis(2500);

/// A controller's answer to a query. The fields are encoded in this order.
#[derive(Debug, bitcode::Encode, bitcode::Decode)]
pub struct Attestation {
    incarnation: u64,
    /// Whether the controller's replica is complete and it has no contact with the state service.
    is_disconnected: bool,
    cancelled: Vec<String>,
}

impl Attestation {
    /// The attestation of this controller, from its own replica.
    fn of(node: &Node) -> Self {
        let core = node.core();
        let last_read = core.last_read_barrier;
        let jobs = core.replica.jobs.iter();
        let cancelled = jobs.filter(|(_, job)| job.record.cancelled);
        Self {
            incarnation: node.identity.incarnation,
            is_disconnected: core.loaded
                && last_read.is_some_and(|at| at.elapsed() > DISCONNECTED_AFTER),
            cancelled: cancelled.map(|(id, _)| id.clone()).collect(),
        }
    }
}

/// The answers of the peers.
#[derive(Debug, Default)]
pub struct PeerStatus {
    /// When a peer last reported that it reaches the state service.
    pub state_service_reached_at: Option<Instant>,
    /// When any peer last answered a status query.
    pub last_response_at: Option<Instant>,
    /// Jobs that peers reported as cancelled. This controller's replica may not show them as cancelled yet.
    pub cancelled: Arc<BTreeSet<String>>,
    /// When a peer last reported a job as cancelled.
    cancelled_learned_at: Option<Instant>,
    /// Send time of the query that each peer last answered with a valid attestation.
    attested_at: HashMap<String, Instant>,
}

impl PeerStatus {
    /// The time up to which the attestations of all these peers include every cancellation that they confirmed. `None` if
    /// a peer has not attested.
    pub fn attested_until<'a>(&self, peers: impl IntoIterator<Item = &'a str>) -> Option<Instant> {
        let attested_at = |peer| self.attested_at.get(peer).copied();
        peers.into_iter().map(attested_at).min().flatten()
    }

    /// Records the attestation that answers a query sent at `queried_at`. `incarnation` is the peer's last incarnation that
    /// this controller has read. An attestation by another incarnation does not count, because it may lack cancellations
    /// that the earlier process confirmed.
    pub fn record_attestation(
        &mut self,
        peer: &str,
        incarnation: Option<u64>,
        attestation: Attestation,
        queried_at: Instant,
    ) {
        for id in &attestation.cancelled {
            self.record_cancelled(id);
        }
        if attestation.is_disconnected && incarnation == Some(attestation.incarnation) {
            self.attested_at.insert(peer.to_owned(), queried_at);
        }
    }

    /// Records that a peer reported a job as cancelled.
    pub fn record_cancelled(&mut self, id: &str) {
        if !self.cancelled.contains(id) {
            Arc::make_mut(&mut self.cancelled).insert(id.to_owned());
        }
        self.cancelled_learned_at = Some(Instant::now());
    }

    /// Called once the state service is reachable again: discards all attestations. Also discards all reported cancellations
    /// if the last one was reported before the read at `last_read`, because the replica then shows them itself.
    pub fn discard_superseded(&mut self, last_read: Instant) {
        self.attested_at.clear();
        if self.cancelled_learned_at.is_some_and(|at| at < last_read) {
            self.cancelled_learned_at = None;
            self.cancelled = Arc::default();
        }
    }
}

/// Answers a query for an attestation. The answer includes the cancelled jobs that this controller's own peers reported,
/// because the querying controller may not reach the one that confirmed a cancellation.
pub async fn respond(node: &Node, stream: &mut TcpStream) -> io::Result<()> {
    let mut attestation = Attestation::of(node);
    attestation
        .cancelled
        .extend(node.peer_status().cancelled.iter().cloned());
    let frame = Bytes::from(bitcode::encode(&attestation));
    stream.write_u32(frame.len() as u32).await?;
    stream.write_all(&frame).await
}

/// Queries a peer for its attestation.
pub async fn query(peer: SocketAddr) -> io::Result<Attestation> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.write_u16(ATTESTATION_QUERY).await?;
    let length = stream.read_u32().await? as usize;
    receive_frame(&mut stream, length, MAX_FRAME_BYTES).await
}

#[cfg(test)]
mod tests;
