//! Transactions on the ledger. Each carries preconditions that make a late or repeated one harmless.
//!
//! This module builds transactions; [`crate::service`] sends them.

use crate::plan::{Action, HandoverReason};
use crate::record::{
    CellPresence, FinalState, Generation, LedgerJob, final_key, generation_key, job_key,
    presence_key,
};
use crate::replica::{LedgerReplica, Versioned};
use rowanmill_state::{Operation, Precondition};

/// Preconditions and operations of one transaction.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// The keys' revisions under which the operations are carried out.
    pub preconditions: Vec<Precondition>,
    /// The operations, all of them or none.
    pub operations: Vec<Operation>,
}

/// The precondition that a key's record is the one that was read, or that there is none if none was read.
pub fn unchanged<T>(key: String, held: Option<&Versioned<T>>) -> Precondition {
    match held {
        Some(held) => Precondition {
            key,
            revision: held.revision,
        },
        None => Precondition::absent(key),
    }
}

/// The precondition that a job's record is the one of this revision.
fn job_unchanged(id: &str, revision: u64) -> Precondition {
    Precondition {
        key: job_key(id),
        revision,
    }
}

/// Publishes a job, with the precondition that it is neither among the open jobs nor among the ended ones.
/// One of the two records exists from the first acceptance on, so that a late repeat fails.
pub fn publish(id: &str, job: &LedgerJob) -> Transaction {
    Transaction {
        preconditions: vec![
            Precondition::absent(job_key(id)),
            Precondition::absent(final_key(id)),
        ],
        operations: vec![Operation::put(job_key(id), job)],
    }
}

/// Replaces the record of an open job: changes its owner or epoch, or cancels it.
pub fn update_job(id: &str, revision: u64, job: &LedgerJob) -> Transaction {
    Transaction {
        preconditions: vec![job_unchanged(id, revision)],
        operations: vec![Operation::put(job_key(id), job)],
    }
}

/// Ends an open job. It fails if the job changed its owner or was cancelled since, as both change its
/// revision.
pub fn finish(id: &str, revision: u64, final_state: FinalState) -> Transaction {
    Transaction {
        preconditions: vec![job_unchanged(id, revision)],
        operations: vec![
            Operation::put(final_key(id), &final_state),
            Operation::delete(job_key(id)),
        ],
    }
}

/// Registers a cell on a lease. The generation rises with it: a takeover that was sent while the cell was
/// absent, and is carried out after the cell returned and left again, fails on that.
pub fn register(
    replica: &LedgerReplica,
    cell: &str,
    presence: &CellPresence,
    lease: u64,
) -> Transaction {
    let known = replica.cells.get(cell);
    let previous = known.and_then(|known| known.presence.as_ref());
    let generation = known.and_then(|known| known.generation.as_ref());
    let next = Generation {
        count: generation.map_or(0, |held| held.record.count) + 1,
    };
    Transaction {
        preconditions: vec![
            unchanged(presence_key(cell), previous),
            unchanged(generation_key(cell), generation),
        ],
        operations: vec![
            Operation::put(presence_key(cell), presence).with_lease(lease),
            Operation::put(generation_key(cell), &next),
        ],
    }
}

/// Updates the presence, and with it the published capacity, of a registered cell.
pub fn update_presence(
    cell: &str,
    held: &Versioned<CellPresence>,
    presence: &CellPresence,
    lease: u64,
) -> Transaction {
    Transaction {
        preconditions: vec![unchanged(presence_key(cell), Some(held))],
        operations: vec![Operation::put(presence_key(cell), presence).with_lease(lease)],
    }
}

/// A transaction that an [`Action`] requires, and the ledger's records once it is committed.
#[derive(Debug, Clone, Default)]
pub struct LedgerChange {
    /// The transaction to send.
    pub transaction: Transaction,
    /// Open jobs with the records that they have then.
    pub updated_jobs: Vec<(String, LedgerJob)>,
    /// The job that it ends.
    pub ended_job: Option<(String, FinalState)>,
}

impl LedgerChange {
    /// The change that an action of `cell` requires by the replica's records. `None` if the action is
    /// about the cell's own records alone, or if the job is no longer open. `max_operations` is the
    /// ledger's limit on the operations of a transaction.
    pub fn for_action(
        replica: &LedgerReplica,
        cell: &str,
        action: &Action,
        max_operations: usize,
    ) -> Option<Self> {
        let open_job = |id: &String| replica.jobs.get(id);
        match action {
            Action::Finish { id, final_state } => {
                Some(Self::finish(id, open_job(id)?, *final_state))
            }
            Action::CancelInLedger { id } => {
                let held = open_job(id)?;
                Some(Self::update(id, held, held.record.clone().into_cancelled()))
            }
            Action::Reclaim { id } => {
                let held = open_job(id)?;
                Some(Self::update(id, held, held.record.reclaimed()))
            }
            Action::HandOver { id, to, reason } => {
                let held = open_job(id)?;
                let mut record = held.record.with_owner(to);
                match reason {
                    HandoverReason::Waited => record.spill_count += 1,
                    HandoverReason::Declined => record.declined_by.push(cell.to_owned()),
                }
                Some(Self::update(id, held, record))
            }
            Action::TakeOver { from, ids } => {
                Some(Self::take_over(replica, cell, from, ids, max_operations))
            }
            Action::Adopt { .. }
            | Action::Cancel { .. }
            | Action::Withdraw { .. }
            | Action::Relinquish { .. }
            | Action::ReadFinalState { .. } => None,
        }
    }

    fn update(id: &str, held: &Versioned<LedgerJob>, record: LedgerJob) -> Self {
        Self {
            transaction: update_job(id, held.revision, &record),
            updated_jobs: vec![(id.to_owned(), record)],
            ended_job: None,
        }
    }

    fn finish(id: &str, held: &Versioned<LedgerJob>, reached: FinalState) -> Self {
        // A cancellation that is already in the ledger takes precedence over an end that is not.
        let final_state = if held.record.cancelled {
            FinalState::Cancelled
        } else {
            reached
        };
        Self {
            transaction: finish(id, held.revision, final_state),
            updated_jobs: Vec::new(),
            ended_job: Some((id.to_owned(), final_state)),
        }
    }

    /// Takes over as many jobs of an absent cell as fit a transaction; the rest follow in the next round.
    fn take_over(
        replica: &LedgerReplica,
        cell: &str,
        from: &str,
        ids: &[String],
        max_operations: usize,
    ) -> Self {
        let mut change = Self::default();
        change.transaction.preconditions = replica.absence_preconditions(from).to_vec();
        let mut bytes = 0;
        for id in ids {
            let Some(held) = replica.jobs.get(id).filter(|job| job.record.owner == from) else {
                continue;
            };
            let record = held.record.with_owner(cell);
            let operation = Operation::put(job_key(id), &record);
            bytes += operation.bytes();
            let is_full =
                bytes > MAX_OPERATION_BYTES || change.updated_jobs.len() == max_operations;
            if is_full && !change.updated_jobs.is_empty() {
                break;
            }
            let transaction = &mut change.transaction;
            transaction
                .preconditions
                .push(job_unchanged(id, held.revision));
            transaction.operations.push(operation);
            change.updated_jobs.push((id.clone(), record));
        }
        change
    }
}

/// Most bytes of a transaction's operations. The service takes requests of 64 KiB; the preconditions and
/// the encoding take the rest.
const MAX_OPERATION_BYTES: usize = 44 << 10;
