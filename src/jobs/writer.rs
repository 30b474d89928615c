//! Writes pending changes to the state service: ends of jobs, releases of jobs that waited, progress
//! pages. Decides what a transaction holds, sends it and applies its outcome; never decides where a
//! task runs. A start counts once its record is written, and nothing is started before.

mod batch;
mod flush_delay;
mod outcome;
mod page_write;
mod selection;
mod withdrawal;

use super::archive::archive_ended_jobs;
use super::garbage_collection::collect_garbage;
use crate::limits;
use crate::metrics::CpuAccount;
use crate::node::{Core, Node};
use crate::pipelines;
use crate::state::max_preconditions;
use batch::{BatchLimits, BatchSize, WriteBatch};
use outcome::{BatchOutcome, apply_outcome};
use page_write::PendingPageWrite;
use rowanmill_state::WritePriority;
use selection::{Selection, select_page_writes};
use std::sync::Arc;
use std::time::Instant;
use withdrawal::{discard_inapplicable, withdraw_broken_gangs, withdraw_unstartable};

/// A transaction failed or its outcome is unknown, so that the replica may be behind the records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a transaction failed or its outcome is unknown")]
pub struct Unconfirmed;

/// From this share of the write quota on that is unused, changes are written without waiting for more.
const AMPLE_HEADROOM: f64 = 0.98;

/// Writes what is pending. The leader also collects garbage. After a failure the replica is brought up
/// to date by a read, so that the next cycle never builds on an assumption.
pub async fn write(node: &Arc<Node>, is_leader: bool) {
    if write_pending(node).await.is_err() {
        node.read_barrier().await;
    }
    discard_inapplicable(&mut node.core());
    if is_leader {
        collect_garbage(node).await;
    }
}

async fn write_pending(node: &Arc<Node>) -> Result<(), Unconfirmed> {
    let ended_before = node.core().metrics.ended_jobs;
    archive_ended_jobs(node).await?;
    let has_ended_jobs = node.core().metrics.ended_jobs != ended_before;
    pipelines::service::write_transitions(node, has_ended_jobs)
        .await
        .map_err(|_| Unconfirmed)?;
    write_pages(node).await
}

/// Writes all pages with pending changes, as far as the write quota goes.
async fn write_pages(node: &Arc<Node>) -> Result<(), Unconfirmed> {
    let max_operations = node.settings.max_transaction_operations();
    let mut queue = withdraw_and_select(&mut node.core(), node, Instant::now());
    let mut size = BatchSize::Largest;
    let mut result = Ok(());
    while !queue.is_empty() {
        let available = node.state.available_writes(WritePriority::Background);
        let operations = available.min(max_operations);
        if operations == 0 {
            record_deferred(&mut node.core(), queue.len());
            return result;
        }
        let limits = BatchLimits::new(operations, max_operations, size);
        let batch = WriteBatch::take_from(&mut queue, &limits);
        let answer = batch.send(&node.state).await;
        match apply_outcome(&mut node.core(), &node.identity, batch, answer) {
            BatchOutcome::Written | BatchOutcome::HeldBack => {}
            BatchOutcome::Conflict => result = Err(Unconfirmed),
            // One page that can never be written must not block those behind it: each group is
            // tried by itself, and the one at fault is held back for a while.
            BatchOutcome::RetryEachGroup(writes) => {
                size = BatchSize::OneGroup;
                queue.splice(0..0, writes);
            }
            BatchOutcome::Unavailable => return Err(Unconfirmed),
        }
    }
    node.core().pending_changes.record_deferred_pages(0);
    result
}

fn record_deferred(core: &mut Core, pages: usize) {
    core.metrics.deferred_pages += pages as u64;
    core.pending_changes.record_deferred_pages(pages);
}

/// Withdraws the starts that cannot be written, and selects the pages to write of what is left.
fn withdraw_and_select(core: &mut Core, node: &Node, now: Instant) -> Vec<PendingPageWrite> {
    let _charge = node.processor_time.charge(CpuAccount::RecordWrites);
    // Machines may have got another owner since the cycle began: what was observed under an ownership
    // that has ended must be discarded before it is written under the next owner's revision.
    core.update_ownership(&node.identity, now);
    withdraw_unstartable(core, &node.identity);
    limits::withdraw_uncovered_starts(core);
    withdraw_broken_gangs(core);
    let selection = Selection {
        core,
        me: &node.identity,
        max_preconditions: max_preconditions(node.settings.max_transaction_operations()),
        has_ample_quota: node.state.write_headroom() >= AMPLE_HEADROOM,
        now,
    };
    select_page_writes(&selection)
}

#[cfg(test)]
mod tests;
