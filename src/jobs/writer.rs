//! Writes pending changes to the state service: the ends of jobs, the release of jobs whose dependencies are done,
//! and progress pages. Composes the transactions, sends them and applies their outcomes. A task is started on its
//! machine only after its start has been written.

mod batch;
mod discard;
mod flush_delay;
mod outcome;
mod page_write;
mod selection;

use super::archive::archive_ended_jobs;
use super::garbage_collection::collect_garbage;
use crate::limits;
use crate::metrics::{CpuAccount, CyclePhase};
use crate::node::{Core, Node};
use crate::pipelines;
use crate::state::max_preconditions;
use batch::{BatchLimits, BatchSize, WriteBatch};
use discard::{
    discard_inapplicable, discard_incomplete_gangs, discard_unstartable_starts, hold_back_gang,
};
use outcome::{BatchOutcome, apply_outcome};
use page_write::PendingPageWrite;
use rowanmill_state::WritePriority;
use selection::{SelectedWrites, Selection, select_page_writes};
use std::sync::Arc;
use std::time::Instant;

/// A transaction failed or its outcome is unknown. The replica may therefore be outdated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a transaction failed or its outcome is unknown")]
pub struct Unconfirmed;

/// While at least this share of the write quota is unused, exits are written after the shorter of their two delays.
const AMPLE_WRITE_HEADROOM: f64 = 0.98;

/// Writes the pending changes. The leader also collects garbage. After a failure, a read brings the replica up to
/// date, so that the next cycle need not assume an outcome.
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

/// Writes the pages with pending changes, until the write quota is used up.
async fn write_pages(node: &Arc<Node>) -> Result<(), Unconfirmed> {
    let max_operations = node.settings.max_transaction_operations();
    let mut queue = discard_and_select(&mut node.core(), node, Instant::now());
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
            // A malformed page must not block the pages behind it. From here on, each group is sent in a
            // transaction of its own, and the job of the malformed page is held back for a while.
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

/// Discards the starts that cannot be written, and selects the pages to write from the remaining changes.
fn discard_and_select(core: &mut Core, node: &Node, now: Instant) -> Vec<PendingPageWrite> {
    let _charge = node.processor_time.charge(CpuAccount::RecordWrites);
    let _timer = node.phase_times.start(CyclePhase::PageSelection);
    // The watch may have delivered a new owner of a machine since the cycle began. Observations made under the
    // previous ownership are discarded here; otherwise they would be written with the revision of the new owner's
    // record as their precondition.
    core.update_ownership(&node.identity, now);
    discard_unstartable_starts(core, &node.identity);
    limits::discard_uncovered_starts(core);
    discard_incomplete_gangs(core);
    let max_operations = node.settings.max_transaction_operations();
    let selection = Selection {
        core,
        me: &node.identity,
        max_preconditions: max_preconditions(max_operations),
        max_operations,
        has_ample_quota: node.state.write_headroom() >= AMPLE_WRITE_HEADROOM,
        now,
    };
    let SelectedWrites {
        writes,
        oversized_gangs,
    } = select_page_writes(&selection);
    for gang in oversized_gangs {
        hold_back_gang(core, &gang, now);
    }
    writes
}

#[cfg(test)]
mod tests;
