//! The mesh: direct connections between controllers, without the state service. A controller that has lost the state
//! service asks its peers whether they reach it and which jobs they know to be cancelled.
//!
//! The mesh is used for queries only: the controllers reach no agreement over it, and no answer changes a record. Frames
//! are encoded with `bitcode` and prefixed with their length.

pub mod attestation;
mod peer_polling;
pub mod status;

pub use peer_polling::poll_peers;

use crate::cells;
use crate::node::Node;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Time limit for serving one request of a peer.
const SERVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after accepting a connection has failed.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Serves the requests of peers, one per connection.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let node = node.clone();
        tokio::spawn(async move {
            let response = respond(&node, &mut stream);
            // A peer that receives no answer counts this controller as unreachable and asks again.
            let _ = tokio::time::timeout(SERVE_TIMEOUT, response).await;
        });
    }
}

/// Answers one request. Its first two bytes are either the code of a query or the length of a status frame.
async fn respond(node: &Arc<Node>, stream: &mut TcpStream) -> io::Result<()> {
    match stream.read_u16().await? {
        attestation::ATTESTATION_QUERY => attestation::respond(node, stream).await,
        cells::ATTESTATION_QUERY => cells::answer_query(node, stream).await,
        length => status::respond(node, stream, length).await,
    }
}

/// Reads and decodes a frame of `length` bytes. A `length` above `max_length` is an error.
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
