//! Applies the outcome of a transaction to what this controller holds in memory.

use super::batch::WriteBatch;
use super::page_write::PendingPageWrite;
use super::withdrawal::{withdraw_all_starts, withdraw_conflicting_starts};
use crate::membership::assignment::Member;
use crate::node::Core;
use crate::state::TransactionError;
use std::time::{Duration, Instant};

/// How long a page is held back that the state service refused as malformed.
const REFUSED_HOLD: Duration = Duration::from_secs(30);

/// What follows from a transaction for the rest of the queue.
pub(super) enum BatchOutcome {
    /// All of it is written.
    Written,
    /// A record changed meanwhile; the starts concerned are withdrawn.
    Conflict,
    /// The only page of the transaction is malformed; its job is held back.
    HeldBack,
    /// One of these writes is malformed.
    RetryEachGroup(Vec<PendingPageWrite>),
    /// Not executed, or the outcome is unknown: nothing more is written in this cycle.
    Unavailable,
}

/// Takes in what became of a batch.
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
            withdraw_conflicting_starts(core, &batch.writes, &failed);
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
    // The watch may have been faster, and may have told of a later record since.
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
    if writes.len() > 1 {
        return BatchOutcome::RetryEachGroup(writes);
    }
    withdraw_all_starts(core, &writes);
    let until = Instant::now() + REFUSED_HOLD;
    for write in &writes {
        core.pending_changes.hold_back_until(&write.job, until);
    }
    BatchOutcome::HeldBack
}

/// Not executed, or unknown: starts are decided again from the records as they then are. A write that is
/// still in flight carries the page's old revision, and loses to the next one.
fn apply_unavailable(core: &mut Core, writes: &[PendingPageWrite], error: &TransactionError) {
    if matches!(error, TransactionError::Unknown(_)) {
        for charge in writes.iter().filter_map(|write| write.charge.as_ref()) {
            core.limits.record_in_doubt(charge);
        }
    }
    withdraw_all_starts(core, writes);
}
