//! Builds the transactions on the ledger; [`crate::service`] sends them.
//!
//! Each transaction has preconditions that make it harmless if it arrives late or twice: it fails without an
//! effect if one of the keys that it was built from has changed since.

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
    /// Revisions that the keys must have for the operations to be applied.
    pub preconditions: Vec<Precondition>,
    /// The operations. Either all of them are applied or none.
    pub operations: Vec<Operation>,
}

/// The precondition that a key's record has not changed since it was read, or that the key is still absent
/// if no record was read.
pub fn unchanged<T>(key: String, last_read: Option<&Versioned<T>>) -> Precondition {
    match last_read {
        Some(last_read) => Precondition {
            key,
            revision: last_read.revision,
        },
        None => Precondition::absent(key),
    }
}

/// The precondition that a job's record still has this revision.
fn job_unchanged(id: &str, revision: u64) -> Precondition {
    Precondition {
        key: job_key(id),
        revision,
    }
}

/// Publishes a new job, with the precondition that it has neither an open record nor a final state. One of
/// the two exists from the first acceptance on, so a late repetition of the request fails.
pub fn publish(id: &str, job: &LedgerJob) -> Transaction {
    Transaction {
        preconditions: vec![
            Precondition::absent(job_key(id)),
            Precondition::absent(final_key(id)),
        ],
        operations: vec![Operation::put(job_key(id), job)],
    }
}

/// Replaces the record of an open job, in order to change its owner or epoch or to cancel it.
pub fn update_job(id: &str, revision: u64, job: &LedgerJob) -> Transaction {
    Transaction {
        preconditions: vec![job_unchanged(id, revision)],
        operations: vec![Operation::put(job_key(id), job)],
    }
}

/// Ends an open job. The transaction fails if the job has changed its owner or has been cancelled since
/// `revision`, because both change the record's revision.
pub fn finish(id: &str, revision: u64, final_state: FinalState) -> Transaction {
    Transaction {
        preconditions: vec![job_unchanged(id, revision)],
        operations: vec![
            Operation::put(final_key(id), &final_state),
            Operation::delete(job_key(id)),
        ],
    }
}

/// Registers a cell under a lease and increments its generation. If a takeover that was sent while the cell
/// was absent arrives after the cell has returned and left again, the changed generation makes it fail.
pub fn register(
    replica: &LedgerReplica,
    cell: &str,
    presence: &CellPresence,
    lease: u64,
) -> Transaction {
    let state = replica.cells.get(cell);
    let presence_read = state.and_then(|state| state.presence.as_ref());
    let generation_read = state.and_then(|state| state.generation.as_ref());
    let next = Generation {
        count: generation_read.map_or(0, |read| read.record.count) + 1,
    };
    Transaction {
        preconditions: vec![
            unchanged(presence_key(cell), presence_read),
            unchanged(generation_key(cell), generation_read),
        ],
        operations: vec![
            Operation::put(presence_key(cell), presence).with_lease(lease),
            Operation::put(generation_key(cell), &next),
        ],
    }
}

/// Updates the presence of a registered cell, and with it the capacity that the cell publishes.
pub fn update_presence(
    cell: &str,
    last_read: &Versioned<CellPresence>,
    presence: &CellPresence,
    lease: u64,
) -> Transaction {
    Transaction {
        preconditions: vec![unchanged(presence_key(cell), Some(last_read))],
        operations: vec![Operation::put(presence_key(cell), presence).with_lease(lease)],
    }
}

/// The transaction that an [`Action`] requires, and its effect on the ledger's records.
#[derive(Debug, Clone, Default)]
pub struct LedgerChange {
    /// The transaction to send.
    pub transaction: Transaction,
    /// Open jobs whose records it changes, with their new records.
    pub updated_jobs: Vec<(String, LedgerJob)>,
    /// The job that it ends, with its final state.
    pub ended_job: Option<(String, FinalState)>,
}

impl LedgerChange {
    /// The change that an action of `cell` requires, given the records in the replica. `None` if the action
    /// does not change the ledger or if the job is no longer open. `max_operations` is the ledger's limit on
    /// the number of operations in a transaction.
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
                let current = open_job(id)?;
                Some(Self::update(
                    id,
                    current,
                    current.record.clone().into_cancelled(),
                ))
            }
            Action::Reclaim { id } => {
                let current = open_job(id)?;
                Some(Self::update(id, current, current.record.reclaimed()))
            }
            Action::HandOver { id, to, reason } => {
                let current = open_job(id)?;
                let mut record = current.record.with_owner(to);
                match reason {
                    HandoverReason::Waited => record.spill_count += 1,
                    HandoverReason::Declined => record.declined_by.push(cell.to_owned()),
                }
                Some(Self::update(id, current, record))
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

    fn update(id: &str, current: &Versioned<LedgerJob>, record: LedgerJob) -> Self {
        Self {
            transaction: update_job(id, current.revision, &record),
            updated_jobs: vec![(id.to_owned(), record)],
            ended_job: None,
        }
    }

    fn finish(id: &str, current: &Versioned<LedgerJob>, reached: FinalState) -> Self {
        // A cancellation that is already in the ledger takes precedence over a completion that is not.
        let final_state = if current.record.cancelled {
            FinalState::Cancelled
        } else {
            reached
        };
        Self {
            transaction: finish(id, current.revision, final_state),
            updated_jobs: Vec::new(),
            ended_job: Some((id.to_owned(), final_state)),
        }
    }

    /// Takes over as many jobs of an absent cell as fit into one transaction. The next round takes over the
    /// others.
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
            let Some(current) = replica.jobs.get(id).filter(|job| job.record.owner == from) else {
                continue;
            };
            let record = current.record.with_owner(cell);
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
                .push(job_unchanged(id, current.revision));
            transaction.operations.push(operation);
            change.updated_jobs.push((id.clone(), record));
        }
        change
    }
}

/// Limit on the bytes of a transaction's operations. The state service accepts requests of up to 64 KiB; the
/// rest is left for the preconditions and the encoding.
const MAX_OPERATION_BYTES: usize = 44 << 10;
