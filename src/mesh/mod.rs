//! The mesh: what the controllers tell each other directly, past the state service. A controller that has lost the state
//! service learns from its peers whether they reach it, and which jobs they know to be cancelled.
//!
//! Nothing is agreed on over the mesh, and no record is changed by it. Frames are `bitcode`, each behind its length.

pub mod attestation;
mod gossip;
pub mod status;

pub use gossip::poll_peers;

use crate::cells;
use crate::node::Node;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// How long one request of a peer may take in all.
const SERVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Answers peers, one request a connection.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let node = node.clone();
        tokio::spawn(async move {
            let response = respond(&node, &mut stream);
            // Whoever gets no answer counts this controller as silent and asks again.
            let _ = tokio::time::timeout(SERVE_TIMEOUT, response).await;
        });
    }
}

/// Answers one request by its kind, which takes the place of a status frame's length.
async fn respond(node: &Arc<Node>, stream: &mut TcpStream) -> io::Result<()> {
    match stream.read_u16().await? {
        attestation::ATTESTATION_QUERY => attestation::respond(node, stream).await,
        cells::ATTESTATION_QUERY => cells::answer_query(node, stream).await,
        length => status::respond(node, stream, length).await,
    }
}

/// Decodes a frame of `length` bytes, at most `max_length`.
async fn receive_frame<T: bitcode::DecodeOwned>(
    stream: &mut TcpStream,
    length: usize,
    max_length: usize,
) -> io::Result<T> {
    if length > max_length {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    bitcode::decode(&frame).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
