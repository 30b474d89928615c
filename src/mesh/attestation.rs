//! What a node without the state service learns from the others: which jobs they know to be
//! cancelled, and that there are no more.
//!
//! Failure that this prevents: the state service refuses one node alone, another confirms
//! cancellations, and then it is down for all. The first would renew the leases of workers that
//! run what was cancelled, or, in order not to, let all their tasks go.
//!
//! A job that a node told anybody to be cancelled is cancelled in its replica at that time, and
//! stays in there until it has ended, when nothing of it is on any machine. So the cancelled jobs
//! of a replica, asked for at some time, hold all that its node confirmed before that time.

use crate::node::Node;
use bytes::Bytes;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Begins a question of this kind in place of a frame's length. The version before takes it for a
/// frame that is too long and hangs up, which counts as not knowing.
pub const ASKED: u16 = u16::MAX;
const MOST_BYTES: usize = 256 << 10;
/// A node that had the state service more lately may confirm what it does not know yet itself.
const WITHOUT_STATE: Duration = Duration::from_millis(2500);

#[derive(Debug, bitcode::Encode, bitcode::Decode)]
pub struct Attestation {
    incarnation: u64,
    /// Its replica was read whole, and it has no contact with the state service either.
    is_disconnected: bool,
    cancelled: Vec<String>,
}

/// What the others said.
#[derive(Debug, Default)]
pub struct PeerStatus {
    /// When another controller last had the state service, and when one last answered at all.
    pub state_service_reached_at: Option<Instant>,
    pub any: Option<Instant>,
    /// Jobs that others know to be cancelled and this node may not.
    pub cancelled: Arc<BTreeSet<String>>,
    /// When the last of them was told.
    learned_at: Option<Instant>,
    /// By controller, when it was asked that last attested.
    attested_at: HashMap<String, Instant>,
}

impl PeerStatus {
    /// Up to when all of these controllers have told what they confirmed.
    pub fn attested<'a>(&self, peers: impl IntoIterator<Item = &'a str>) -> Option<Instant> {
        let at = |name| self.attested_at.get(name).copied();
        peers.into_iter().map(at).min().flatten()
    }

    /// Takes in what a controller told that was asked at `asked`. `known` is its incarnation as
    /// far as the records told this node: of one that was another process then nobody knows what
    /// that had confirmed.
    pub fn take(
        &mut self,
        peer: &str,
        known: Option<u64>,
        attestation: Attestation,
        asked: Instant,
    ) {
        for id in &attestation.cancelled {
            self.record_cancelled(id);
        }
        if attestation.is_disconnected && known == Some(attestation.incarnation) {
            self.attested_at.insert(peer.to_owned(), asked);
        }
    }

    pub fn record_cancelled(&mut self, cancelled: &str) {
        if !self.cancelled.contains(cancelled) {
            Arc::make_mut(&mut self.cancelled).insert(cancelled.to_owned());
        }
        self.learned_at = Some(Instant::now());
    }

    /// Forgets what the records have told by now, `proof` being when they were last read.
    pub fn settle(&mut self, proof: Instant) {
        self.attested_at.clear();
        if self.learned_at.is_some_and(|told| told < proof) {
            self.learned_at = None;
            self.cancelled = Arc::default();
        }
    }
}

fn attest(node: &Node) -> Attestation {
    let core = node.core();
    let cancelled = core.replica.jobs.iter().filter(|(_, j)| j.record.cancelled);
    Attestation {
        incarnation: node.identity.incarnation,
        is_disconnected: core.loaded
            && core
                .last_read_barrier
                .is_some_and(|p| p.elapsed() > WITHOUT_STATE),
        cancelled: cancelled.map(|(id, _)| id.clone()).collect(),
    }
}

/// Answers a question of this kind. What this node was told itself it passes on: the one that
/// confirmed it may be out of reach for the asker.
pub async fn answer(node: &Node, stream: &mut TcpStream) -> std::io::Result<()> {
    let mut attestation = attest(node);
    attestation
        .cancelled
        .extend(node.peer_status().cancelled.iter().cloned());
    let frame = Bytes::from(bitcode::encode(&attestation));
    stream.write_u32(frame.len() as u32).await?;
    stream.write_all(&frame).await
}

pub async fn ask(peer: SocketAddr) -> std::io::Result<Attestation> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.write_u16(ASKED).await?;
    let length = stream.read_u32().await? as usize;
    if length > MOST_BYTES {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    bitcode::decode(&frame).map_err(|_| std::io::ErrorKind::InvalidData.into())
}

#[cfg(test)]
mod tests;
