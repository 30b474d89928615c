//! Attestations that the controllers of all cells exchange while the ledger is unreachable. A controller
//! attests that it has lost contact with the ledger, and lists the jobs that the querying cell must not run
//! according to the changes that the attesting controller has read, or that were attested to it.
//!
//! Attestations are sent over the mesh, like the status frames within a cell. Controllers of different versions
//! exchange these frames, so the order and the types of their fields must not change.

use crate::node::Node;
use bytes::Bytes;
use rowanmill_cells::service::LedgerLossAttestation;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Code of a query for an attestation, sent in place of a status frame's length. A controller whose version
/// does not support cells takes it for the length of an oversized frame and closes the connection, which counts
/// as no attestation.
pub const ATTESTATION_QUERY: u16 = u16::MAX - 1;
/// Maximum size of a query, which holds a cell's name and a revision.
const MAX_QUERY_BYTES: usize = 256;
/// Maximum size of a response, which consists mostly of job IDs.
const MAX_RESPONSE_BYTES: usize = 256 << 10;
/// A controller that does not answer within this time counts as giving no attestation.
const QUERY_TIMEOUT: Duration = Duration::from_millis(700);

#[derive(Debug, bitcode::Encode, bitcode::Decode)]
struct Query {
    /// The querying controller's cell.
    cell: String,
    /// The ledger's revision up to which the querying controller has read.
    revision: u64,
}

#[derive(Debug, bitcode::Encode, bitcode::Decode)]
struct Response {
    /// The responding controller has lost contact with the ledger.
    is_disconnected: bool,
    /// Jobs that changed after the query's revision and that the querying cell must not run, and all jobs that
    /// are halted in the responding cell, among them those that other controllers attested to it.
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

/// Queries all these controllers concurrently. Returns the jobs that `cell` must not run if each controller
/// attests that it has lost contact with the ledger; otherwise `None`.
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
