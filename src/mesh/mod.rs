//! What the nodes tell one another directly: whether they reach the state service, and what they
//! know to be cancelled. Frames are `bitcode`, each behind its length.

pub mod attestation;

use crate::cells;
use crate::node::Node;
use crate::state::watch::CONTACT_TIMEOUT;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

#[derive(Debug, bitcode::Encode, bitcode::Decode)]
pub struct StatusFrame {
    pub member: String,
    /// Milliseconds since the last proven contact with the state service.
    pub state_age_ms: Option<u64>,
}

const MOST_FRAME: usize = 4096;
const EVERY: Duration = Duration::from_millis(1000);
/// Contact this fresh counts as having the state service.
const FRESH_MS: u64 = 2500;

fn status(node: &Node) -> StatusFrame {
    let proof = node.core().last_read_barrier;
    StatusFrame {
        member: node.settings.member.clone(),
        state_age_ms: proof.map(|p| p.elapsed().as_millis() as u64),
    }
}

async fn send(stream: &mut TcpStream, status: &StatusFrame) -> std::io::Result<()> {
    let frame = bitcode::encode(status);
    stream.write_u16(frame.len() as u16).await?;
    stream.write_all(&frame).await
}

async fn receive(stream: &mut TcpStream) -> std::io::Result<StatusFrame> {
    let length = stream.read_u16().await?;
    receive_rest(stream, length.into()).await
}

async fn receive_rest(stream: &mut TcpStream, length: usize) -> std::io::Result<StatusFrame> {
    if length > MOST_FRAME {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    bitcode::decode(&frame).map_err(|_| std::io::ErrorKind::InvalidData.into())
}

/// Tells whoever asks.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let node = node.clone();
        tokio::spawn(async move {
            let talk = async {
                match stream.read_u16().await? {
                    attestation::ASKED => attestation::answer(&node, &mut stream).await,
                    cells::ATTESTATION_QUERY => cells::answer_query(&node, &mut stream).await,
                    length => {
                        let _asker = receive_rest(&mut stream, length.into()).await?;
                        send(&mut stream, &status(&node)).await
                    }
                }
            };
            let _ = tokio::time::timeout(Duration::from_secs(2), talk).await;
        });
    }
}

/// Longest that a question may take.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);
/// Contact this fresh leaves nothing to ask.
const CONTACT: Duration = Duration::from_millis(2000);

async fn ask_status(peer: SocketAddr, own: StatusFrame) -> std::io::Result<StatusFrame> {
    let mut stream = TcpStream::connect(peer).await?;
    send(&mut stream, &own).await?;
    receive(&mut stream).await
}

/// Asks the others, but only while this node itself lacks the state service.
pub async fn poll_peers(node: Arc<Node>) {
    let mut attested_before = None;
    loop {
        tokio::time::sleep(EVERY).await;
        let proof = node.core().last_read_barrier;
        if let Some(proof) = proof.filter(|p| p.elapsed() <= CONTACT) {
            node.peer_status().settle(proof);
            attested_before = None;
            continue;
        }
        let mut asked = JoinSet::new();
        for (name, addr) in node.settings.peers.iter().map(|p| (&p.member, p.addr)) {
            let (node, name) = (node.clone(), name.clone());
            asked.spawn(async move {
                let told = tokio::time::timeout(ANSWER_WITHIN, ask_status(addr, status(&node)));
                let has_state = match told.await {
                    Ok(Ok(told)) => Some(note_status(&node, &told)),
                    _ => None,
                };
                let since = Instant::now();
                let attestation = tokio::time::timeout(ANSWER_WITHIN, attestation::ask(addr)).await;
                if let Ok(Ok(attestation)) = attestation {
                    // One that was refused alone before is in no record any more, and attests all
                    // the same: it is the process that it was.
                    let known = node.core().replica.incarnations.get(&name).copied();
                    node.peer_status().take(&name, known, attestation, since);
                }
                has_state
            });
        }
        let mut all_lack = true;
        while let Some(has_state) = asked.join_next().await {
            all_lack &= matches!(has_state, Ok(Some(false)));
        }
        // What one said a moment before must not keep sending workers on that nobody else answers.
        if all_lack {
            node.peer_status().state_service_reached_at = None;
        }
        let peers = node.settings.peers.iter().map(|p| p.member.as_str());
        let (all_attest, cancelled) = {
            let peers_say = node.peer_status();
            (
                peers_say.attested(peers).is_some(),
                peers_say.cancelled.len(),
            )
        };
        let lost = proof.is_none_or(|p| p.elapsed() > CONTACT_TIMEOUT);
        if lost && attested_before.replace(all_attest) != Some(all_attest) {
            tracing::info!(all_attest, cancelled, "no state service: asked the others");
        }
    }
}

/// Whether the one that told so has the state service.
fn note_status(node: &Node, told: &StatusFrame) -> bool {
    let has_state = told.state_age_ms.is_some_and(|age| age < FRESH_MS);
    let mut peers = node.peer_status();
    peers.any = Some(Instant::now());
    if has_state {
        tracing::debug!(peer = told.member, "another node has the state service");
        peers.state_service_reached_at = Some(Instant::now());
    }
    has_state
}
