//! Status frames: controllers exchange how long ago each last had contact with the state service.

use super::receive_frame;
use crate::node::Node;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum size of a status frame, which holds a name and a time.
const MAX_FRAME_BYTES: usize = 4096;
/// A controller reaches the state service if its last contact is less than this many milliseconds ago.
const MAX_CONTACT_AGE_MS: u64 = 2500;

/// A controller's status. Its fields are encoded in this order.
#[derive(Debug, bitcode::Encode, bitcode::Decode)]
pub struct StatusFrame {
    pub member: String,
    /// Milliseconds since the last proven contact with the state service; `None` if there was none.
    pub state_age_ms: Option<u64>,
}

impl StatusFrame {
    /// The status of this controller.
    pub(super) fn of(node: &Node) -> Self {
        let last_read = node.core().last_read_barrier;
        Self {
            member: node.settings.member.clone(),
            state_age_ms: last_read.map(|at| at.elapsed().as_millis() as u64),
        }
    }

    /// Whether the sender of this status reaches the state service.
    pub(super) fn is_connected(&self) -> bool {
        self.state_age_ms
            .is_some_and(|age| age < MAX_CONTACT_AGE_MS)
    }
}

/// Sends this controller's status to a peer and returns the peer's status.
pub(super) async fn query(peer: SocketAddr, own: StatusFrame) -> io::Result<StatusFrame> {
    let mut stream = TcpStream::connect(peer).await?;
    send(&mut stream, &own).await?;
    let length = stream.read_u16().await?;
    receive_frame(&mut stream, length.into(), MAX_FRAME_BYTES).await
}

/// Receives a peer's status frame of `length` bytes and answers with this controller's status.
pub(super) async fn respond(node: &Node, stream: &mut TcpStream, length: u16) -> io::Result<()> {
    let _peer: StatusFrame = receive_frame(stream, length.into(), MAX_FRAME_BYTES).await?;
    send(stream, &StatusFrame::of(node)).await
}

async fn send(stream: &mut TcpStream, status: &StatusFrame) -> io::Result<()> {
    let frame = bitcode::encode(status);
    stream.write_u16(frame.len() as u16).await?;
    stream.write_all(&frame).await
}
