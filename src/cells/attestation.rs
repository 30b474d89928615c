//! Attestations between the controllers of all cells while the ledger is unreachable: that they have lost
//! contact with it, and which jobs the asking cell must not run by what they last read.
//!
//! They are exchanged over the mesh, as the status of the controllers of one cell is. The frames are an
//! interface between versions: the order and the types of their fields must not change.

use crate::node::Node;
use bytes::Bytes;
use rowanmill_cells::service::LedgerLossAttestation;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Starts such a query in place of a frame's length. A controller without cells takes it for the length of
/// a frame that is too long, and closes the connection, which counts as no attestation.
pub const ATTESTATION_QUERY: u16 = u16::MAX - 1;
/// Largest frame of a query: a cell's name and a revision.
const MAX_QUERY_BYTES: usize = 256;
/// Largest frame of a response, most of it names of jobs.
const MAX_RESPONSE_BYTES: usize = 256 << 10;
/// A controller that has not answered within this time has not attested.
const QUERY_TIMEOUT: Duration = Duration::from_millis(700);

#[derive(Debug, bitcode::Encode, bitcode::Decode)]
struct Query {
    /// The asking cell.
    cell: String,
    /// The ledger's revision up to which the asking controller has read.
    revision: u64,
}

#[derive(Debug, bitcode::Encode, bitcode::Decode)]
struct Response {
    is_disconnected: bool,
    /// Jobs that changed after the query's revision and that the asking cell must not run.
    revoked_jobs: Vec<String>,
}

impl From<LedgerLossAttestation> for Response {
    fn from(attestation: LedgerLossAttestation) -> Self {
        Self {
            is_disconnected: attestation.is_disconnected,
            revoked_jobs: attestation.revoked_jobs,
        }
    }
}

async fn read_frame(stream: &mut TcpStream, max_bytes: usize) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > max_bytes {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}

async fn write_frame(stream: &mut TcpStream, frame: Vec<u8>) -> io::Result<()> {
    stream.write_u32(frame.len() as u32).await?;
    stream.write_all(&Bytes::from(frame)).await
}

fn malformed(error: bitcode::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// Reads the rest of a query, after [`ATTESTATION_QUERY`], and answers it.
pub async fn answer_query(node: &Node, stream: &mut TcpStream) -> io::Result<()> {
    let frame = read_frame(stream, MAX_QUERY_BYTES).await?;
    let query: Query = bitcode::decode(&frame).map_err(malformed)?;
    let attestation = match &node.cells {
        Some(cells) => cells.attest_ledger_loss(&query.cell, query.revision),
        None => LedgerLossAttestation::default(),
    };
    let response = Response::from(attestation);
    write_frame(stream, bitcode::encode(&response)).await
}

async fn query(peer: SocketAddr, frame: Vec<u8>) -> io::Result<Response> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.write_u16(ATTESTATION_QUERY).await?;
    write_frame(&mut stream, frame).await?;
    let response = read_frame(&mut stream, MAX_RESPONSE_BYTES).await?;
    bitcode::decode(&response).map_err(malformed)
}

/// Queries all these controllers at once. The jobs that `cell` must not run, if each of them attests that
/// it has lost contact with the ledger; otherwise `None`.
pub async fn collect_attestations(
    others: Vec<SocketAddr>,
    cell: &str,
    revision: u64,
) -> Option<Vec<String>> {
    let frame = bitcode::encode(&Query {
        cell: cell.to_owned(),
        revision,
    });
    let mut queries = JoinSet::new();
    for peer in others {
        let frame = frame.clone();
        queries.spawn(async move {
            let response = tokio::time::timeout(QUERY_TIMEOUT, query(peer, frame)).await;
            response.ok()?.ok()
        });
    }
    let mut revoked_jobs = Vec::new();
    while let Some(response) = queries.join_next().await {
        let response = response.ok().flatten()?;
        if !response.is_disconnected {
            return None;
        }
        revoked_jobs.extend(response.revoked_jobs);
    }
    Some(revoked_jobs)
}

#[cfg(test)]
mod tests;
