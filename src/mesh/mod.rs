//! What the nodes tell one another directly: whether they reach the state service. Frames are
//! `bitcode`, each behind its length.

use crate::node::Node;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[derive(Debug, bitcode::Encode, bitcode::Decode)]
pub struct Status {
    pub member: String,
    /// Milliseconds since the last proven contact with the state service.
    pub state_age_ms: Option<u64>,
}

const MOST_FRAME: usize = 4096;
const EVERY: Duration = Duration::from_millis(1000);
/// Contact this fresh counts as having the state service.
const FRESH_MS: u64 = 2500;

fn status(node: &Node) -> Status {
    let proof = node.core().proof;
    Status {
        member: node.settings.member.clone(),
        state_age_ms: proof.map(|p| p.elapsed().as_millis() as u64),
    }
}

async fn send(stream: &mut TcpStream, status: &Status) -> std::io::Result<()> {
    let frame = bitcode::encode(status);
    stream.write_u16(frame.len() as u16).await?;
    stream.write_all(&frame).await
}

async fn receive(stream: &mut TcpStream) -> std::io::Result<Status> {
    let length = stream.read_u16().await? as usize;
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
                let _asker = receive(&mut stream).await?;
                send(&mut stream, &status(&node)).await
            };
            let _ = tokio::time::timeout(Duration::from_secs(2), talk).await;
        });
    }
}

/// Asks the others, but only while this node itself lacks the state service.
pub async fn ask(node: Arc<Node>) {
    loop {
        tokio::time::sleep(EVERY).await;
        if node.has_state(Duration::from_millis(2000)) {
            continue;
        }
        for peer in &node.settings.peers {
            let talk = async {
                let mut stream = TcpStream::connect(peer.addr).await?;
                send(&mut stream, &status(&node)).await?;
                receive(&mut stream).await
            };
            let answer = tokio::time::timeout(Duration::from_millis(500), talk).await;
            if matches!(answer, Ok(Ok(_))) {
                *node.peers_heard.lock().unwrap() = Some(Instant::now());
            }
            if let Ok(Ok(told)) = answer
                && told.state_age_ms.is_some_and(|age| age < FRESH_MS)
            {
                tracing::debug!(peer = told.member, "another node has the state service");
                *node.peers_have_state.lock().unwrap() = Some(Instant::now());
                break;
            }
        }
    }
}
