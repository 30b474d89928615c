//! What controllers of all cells tell one another while the ledger is out: that they have no contact with
//! it either, and which jobs the asker's cell must not run by what they last read. It goes over the mesh,
//! as what the controllers of one cell tell one another does.

use crate::node::Node;
use bytes::Bytes;
use rowanmill_cells::service::LedgerLossAttestation;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Begins a question of this kind in place of a frame's length. A controller without cells takes it for a
/// frame that is too long and hangs up, which counts as not knowing.
pub const ASKED: u16 = u16::MAX - 1;
const MOST_QUESTION_BYTES: usize = 256;
const MOST_ANSWER_BYTES: usize = 256 << 10;
const ANSWER_WITHIN: Duration = Duration::from_millis(700);

#[derive(Debug, bitcode::Encode, bitcode::Decode)]
struct Question {
    cell: String,
    revision: u64,
}

#[derive(Debug, bitcode::Encode, bitcode::Decode)]
struct Answer {
    is_disconnected: bool,
    lost: Vec<String>,
}

async fn read_frame(stream: &mut TcpStream, most: usize) -> std::io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > most {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}

async fn write_frame(stream: &mut TcpStream, frame: Vec<u8>) -> std::io::Result<()> {
    stream.write_u32(frame.len() as u32).await?;
    stream.write_all(&Bytes::from(frame)).await
}

fn malformed(_: bitcode::Error) -> std::io::Error {
    std::io::ErrorKind::InvalidData.into()
}

/// Answers a question of this kind.
pub async fn answer(node: &Node, stream: &mut TcpStream) -> std::io::Result<()> {
    let frame = read_frame(stream, MOST_QUESTION_BYTES).await?;
    let question: Question = bitcode::decode(&frame).map_err(malformed)?;
    let LedgerLossAttestation {
        is_disconnected,
        revoked_jobs,
    } = match &node.cells {
        Some(cells) => cells.attest_ledger_loss(&question.cell, question.revision),
        None => LedgerLossAttestation::default(),
    };
    let answer = Answer {
        is_disconnected,
        lost: revoked_jobs,
    };
    write_frame(stream, bitcode::encode(&answer)).await
}

async fn ask(peer: SocketAddr, question: Vec<u8>) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.write_u16(ASKED).await?;
    write_frame(&mut stream, question).await?;
    let frame = read_frame(&mut stream, MOST_ANSWER_BYTES).await?;
    bitcode::decode(&frame).map_err(malformed)
}

/// The jobs that the cell must not run, if all the others answer that they have no contact.
pub async fn ask_all(others: Vec<SocketAddr>, cell: &str, revision: u64) -> Option<Vec<String>> {
    let question = bitcode::encode(&Question {
        cell: cell.to_owned(),
        revision,
    });
    let mut asked = JoinSet::new();
    for peer in others {
        let question = question.clone();
        asked.spawn(async move {
            let answer = tokio::time::timeout(ANSWER_WITHIN, ask(peer, question)).await;
            answer.ok()?.ok()
        });
    }
    let mut all = Vec::new();
    while let Some(answer) = asked.join_next().await {
        let answer = answer.ok().flatten()?;
        if !answer.is_disconnected {
            return None;
        }
        all.extend(answer.lost);
    }
    Some(all)
}

#[cfg(test)]
mod tests;
