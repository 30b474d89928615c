//! Attestations: which jobs a controller knows to be cancelled, and that there are no more.
//!
//! Failure that this prevents: the state service refuses one controller alone, another confirms cancellations, and then
//! the service is down for all. The first would renew the leases of workers that run what was cancelled, or, in order not
//! to, let all their tasks end.
//!
//! A job whose cancellation a controller confirmed to anybody is cancelled in its replica at that time, and stays there
//! until it has ended, when nothing of it is on any machine. So the cancelled jobs of a replica, queried at some time,
//! include all that its controller confirmed before that time.

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

/// Kind of a query for an attestation, sent in place of a status frame's length. The previous version takes it for a
/// frame that is too long and closes the connection, which counts as no attestation.
pub const ATTESTATION_QUERY: u16 = u16::MAX;
/// Most bytes of an attestation.
const MAX_FRAME_BYTES: usize = 256 << 10;
/// A controller without contact for less than this may confirm cancellations that it has yet to read itself.
const MIN_DISCONNECTED: Duration = Duration::from_millis(2500);

/// A controller's answer. Its fields are encoded in this order.
#[derive(Debug, bitcode::Encode, bitcode::Decode)]
pub struct Attestation {
    incarnation: u64,
    /// Its replica was read completely, and it has no contact with the state service either.
    is_disconnected: bool,
    cancelled: Vec<String>,
}

impl Attestation {
    /// What this controller attests by its own records.
    fn of(node: &Node) -> Self {
        let core = node.core();
        let last_read = core.last_read_barrier;
        let jobs = core.replica.jobs.iter();
        let cancelled = jobs.filter(|(_, job)| job.record.cancelled);
        Self {
            incarnation: node.identity.incarnation,
            is_disconnected: core.loaded
                && last_read.is_some_and(|at| at.elapsed() > MIN_DISCONNECTED),
            cancelled: cancelled.map(|(id, _)| id.clone()).collect(),
        }
    }
}

/// What the peers answered.
#[derive(Debug, Default)]
pub struct PeerStatus {
    /// When a peer last answered that it reaches the state service.
    pub state_service_reached_at: Option<Instant>,
    /// When any peer last answered at all.
    pub last_response_at: Option<Instant>,
    /// Jobs that peers know to be cancelled and this controller may not.
    pub cancelled: Arc<BTreeSet<String>>,
    /// When the last of them was learned.
    cancelled_learned_at: Option<Instant>,
    /// By peer, when the query was sent that it last attested to.
    attested_at: HashMap<String, Instant>,
}

impl PeerStatus {
    /// The time up to which all of these peers have attested what they confirmed; `None` if one has not.
    pub fn attested<'a>(&self, peers: impl IntoIterator<Item = &'a str>) -> Option<Instant> {
        let attested_at = |peer| self.attested_at.get(peer).copied();
        peers.into_iter().map(attested_at).min().flatten()
    }

    /// Records the answer to a query sent at `queried_at`. `incarnation` is the peer's by the records that this controller
    /// has read: of a peer that was another process then, nobody knows what that one had confirmed.
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

    /// Records that a peer knows a job to be cancelled.
    pub fn record_cancelled(&mut self, id: &str) {
        if !self.cancelled.contains(id) {
            Arc::make_mut(&mut self.cancelled).insert(id.to_owned());
        }
        self.cancelled_learned_at = Some(Instant::now());
    }

    /// Discards what the records, read at `last_read`, show by now.
    pub fn discard_superseded(&mut self, last_read: Instant) {
        self.attested_at.clear();
        if self.cancelled_learned_at.is_some_and(|at| at < last_read) {
            self.cancelled_learned_at = None;
            self.cancelled = Arc::default();
        }
    }
}

/// Answers a query. Passes on what this controller learned from its peers, too: the one that confirmed a cancellation
/// may be unreachable for the asker.
pub async fn respond(node: &Node, stream: &mut TcpStream) -> io::Result<()> {
    let mut attestation = Attestation::of(node);
    attestation
        .cancelled
        .extend(node.peer_status().cancelled.iter().cloned());
    let frame = Bytes::from(bitcode::encode(&attestation));
    stream.write_u32(frame.len() as u32).await?;
    stream.write_all(&frame).await
}

/// Asks a peer for its attestation.
pub async fn query(peer: SocketAddr) -> io::Result<Attestation> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.write_u16(ATTESTATION_QUERY).await?;
    let length = stream.read_u32().await? as usize;
    receive_frame(&mut stream, length, MAX_FRAME_BYTES).await
}

#[cfg(test)]
mod tests;
