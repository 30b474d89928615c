//! Applies the outcome of a transaction to this controller's state in memory.

use super::batch::{WriteBatch, atomic_group_len};
use super::discard::{discard_all_starts, discard_conflicting_starts};
use super::page_write::PendingPageWrite;
use crate::membership::assignment::Member;
use crate::node::Core;
use crate::state::TransactionError;
use std::time::{Duration, Instant};

/// How long a job's pages are not written after the state service has refused them as malformed.
const MALFORMED_PAGE_RETRY_DELAY: Duration = Duration::from_secs(30);

/// The outcome of a transaction, which decides how the rest of the queue is written.
pub(super) enum BatchOutcome {
    /// All of the batch is written.
    Written,
    /// A record has changed in the meantime. The starts that depend on it are discarded.
    Conflict,
    /// The only atomic group of the batch is malformed or too large, and its job is held back.
    HeldBack,
    /// At least one of these writes is malformed.
    RetryEachGroup(Vec<PendingPageWrite>),
    /// The transaction was not executed, or its outcome is unknown. Nothing more is written in this cycle.
    Unavailable,
}

/// Applies the outcome of a batch's transaction.
pub(super) fn apply_outcome(
    core: &mut Core,
    me: &Member,
    batch: WriteBatch,
    answer: Result<u64, TransactionError>,
) -> BatchOutcome {
    match answer {
        Ok(revision) => {
            for write in batch.writes {
                apply_written(core, me, write, revision);
            }
            BatchOutcome::Written
        }
        Err(TransactionError::Conflict(failed)) => {
            core.metrics.write_conflicts += 1;
            tracing::debug!(?failed, "page write conflicted");
            discard_conflicting_starts(core, &batch.writes, &failed);
            BatchOutcome::Conflict
        }
        Err(TransactionError::Malformed) => apply_malformed(core, batch.writes),
        Err(error) => {
            tracing::debug!(%error, "page write failed");
            apply_unavailable(core, &batch.writes, &error);
            BatchOutcome::Unavailable
        }
    }
}

fn apply_written(core: &mut Core, me: &Member, write: PendingPageWrite, revision: u64) {
    let is_foreign = !core.owns_job(me, &write.job);
    core.metrics.foreign_pages += u64::from(is_foreign);
    if write.has_starts() {
        core.metrics.start_pages += 1;
    } else {
        core.metrics.exit_pages += 1;
    }
    // The watch may already have delivered this write, and even a later one of the same page.
    if revision > core.replica.revision {
        let PendingPageWrite { page_id, page, .. } = write;
        core.replica.apply_page(&write.job, page_id, page, revision);
    }
    for machine in &write.machines {
        core.workers.release_held_response(machine);
    }
    core.pending_changes.restart_wait(&write.job);
    core.pending_changes.clear_start_rank(&write.job);
}

fn apply_malformed(core: &mut Core, writes: Vec<PendingPageWrite>) -> BatchOutcome {
    if atomic_group_len(&writes) < writes.len() {
        return BatchOutcome::RetryEachGroup(writes);
    }
    discard_all_starts(core, &writes);
    let until = Instant::now() + MALFORMED_PAGE_RETRY_DELAY;
    for write in &writes {
        core.pending_changes.hold_back_until(&write.job, until);
    }
    BatchOutcome::HeldBack
}

/// Discards the starts of a transaction that was not executed or whose outcome is unknown. They are planned again
/// from the records. If the transaction is still in flight, it conflicts with the page's next write, since both
/// have the page's old revision as a precondition.
fn apply_unavailable(core: &mut Core, writes: &[PendingPageWrite], error: &TransactionError) {
    if matches!(error, TransactionError::Unknown(_)) {
        for charge in writes.iter().filter_map(|write| write.charge.as_ref()) {
            core.limits.record_in_doubt(charge);
        }
    }
    discard_all_starts(core, writes);
}
