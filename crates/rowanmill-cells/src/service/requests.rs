//! Serves requests of users: publishes a job, queries its state and cancels it.

use super::{CancelOutcome, CellCoordinator, LedgerJobState, PublishOutcome, RETRY_DELAY};
use crate::contact::CANCELLATION_EFFECT_DELAY;
use crate::record::{FinalState, LedgerJob, OwnershipVersion, final_key};
use crate::transaction;
use rowanmill_state::{ReadError, TransactionError, WritePriority};
use std::time::Instant;

/// Number of times that a cancellation is attempted if the job's record changes at the same time.
const MAX_CANCEL_ATTEMPTS: usize = 4;

impl CellCoordinator {
    /// Publishes a job that this cell is about to accept. A cell may accept a job only once the job is in the
    /// ledger.
    pub async fn publish(&self, id: &str, job: &LedgerJob) -> PublishOutcome {
        if self.ledger.available_writes(WritePriority::UserFacing) == 0 {
            return PublishOutcome::RateLimited;
        }
        match self.commit(&transaction::publish(id, job)).await {
            Ok(revision) => {
                let mut view = self.view();
                let replica = &mut view.replica;
                replica.apply_own_write(id, job.clone(), revision, Instant::now());
                PublishOutcome::Accepted(OwnershipVersion {
                    epoch: job.epoch,
                    revision,
                })
            }
            Err(TransactionError::Conflict(_)) => PublishOutcome::AlreadyKnown,
            Err(_) => PublishOutcome::Unavailable,
        }
    }

    /// State of a job in the ledger at the time of this call or later.
    pub async fn job_state(&self, id: &str) -> LedgerJobState {
        if let Some(final_state) = self.final_state(id) {
            return LedgerJobState::Ended(final_state);
        }
        if !self.read_barrier().await {
            return LedgerJobState::Indeterminate;
        }
        if let Some(state) = self.replicated_job_state(id) {
            return state;
        }
        match self.read_final_state(id).await {
            Ok(Some(final_state)) => LedgerJobState::Ended(final_state),
            Ok(None) => LedgerJobState::Unknown,
            Err(_) => LedgerJobState::Indeterminate,
        }
    }

    /// State of a job according to the replica; `None` if the record of its final state has to be read.
    fn replicated_job_state(&self, id: &str) -> Option<LedgerJobState> {
        let view = self.view();
        let Some(current) = view.replica.jobs.get(id) else {
            let is_indeterminate =
                view.replica.is_unreadable(id) || view.contact.halted.contains(id);
            return is_indeterminate.then_some(LedgerJobState::Indeterminate);
        };
        let owned_here = current.record.owner == self.cell;
        let is_effective = view.replica.is_cancellation_effective(id, Instant::now());
        Some(if is_effective {
            LedgerJobState::Cancelled
        } else if current.record.cancelled {
            LedgerJobState::Cancelling { owned_here }
        } else {
            LedgerJobState::Open { owned_here }
        })
    }

    /// Cancels a job. Any cell may own it.
    pub async fn cancel(&self, id: &str) -> CancelOutcome {
        for _ in 0..MAX_CANCEL_ATTEMPTS {
            match self.job_state(id).await {
                LedgerJobState::Ended(state) => return CancelOutcome::AlreadyEnded(state),
                LedgerJobState::Unknown => return CancelOutcome::Unknown,
                LedgerJobState::Indeterminate => return CancelOutcome::Indeterminate,
                LedgerJobState::Cancelling { owned_here } => {
                    return CancelOutcome::Recorded { owned_here };
                }
                LedgerJobState::Cancelled => return CancelOutcome::Confirmed,
                LedgerJobState::Open { .. } => {}
            }
            let Some(current) = self.open_job(id) else {
                continue;
            };
            let record = current.record.clone().into_cancelled();
            match self.update_job(id, current.revision, record).await {
                Ok(()) => {
                    self.request_round();
                    let owned_here = current.record.owner == self.cell;
                    return CancelOutcome::Recorded { owned_here };
                }
                // The record changed in the meantime: the job may have ended or changed its owner.
                Err(TransactionError::Conflict(_)) => {}
                Err(_) => return CancelOutcome::Indeterminate,
            }
        }
        CancelOutcome::Indeterminate
    }

    /// Waits until a recorded cancellation may be confirmed, because the job ended as cancelled or no
    /// controller can start it any more. Returns false if neither is established before the deadline, or at
    /// once if the job is open, completed or unknown.
    pub async fn await_cancellation(&self, id: &str) -> bool {
        let deadline = Instant::now() + CANCELLATION_EFFECT_DELAY + RETRY_DELAY;
        while Instant::now() < deadline {
            match self.job_state(id).await {
                LedgerJobState::Ended(FinalState::Cancelled) | LedgerJobState::Cancelled => {
                    return true;
                }
                LedgerJobState::Cancelling { .. } | LedgerJobState::Indeterminate => {}
                LedgerJobState::Open { .. }
                | LedgerJobState::Ended(FinalState::Done)
                | LedgerJobState::Unknown => return false,
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        false
    }

    async fn update_job(
        &self,
        id: &str,
        revision: u64,
        record: LedgerJob,
    ) -> Result<(), TransactionError> {
        let transaction = transaction::update_job(id, revision, &record);
        let committed = self.commit(&transaction).await?;
        let mut view = self.view();
        let replica = &mut view.replica;
        replica.apply_own_write(id, record, committed, Instant::now());
        Ok(())
    }

    /// Reads a job's final state from the ledger; `None` if it has none.
    pub(super) async fn read_final_state(&self, id: &str) -> Result<Option<FinalState>, ReadError> {
        let Some(value) = self.ledger.get(&final_key(id)).await? else {
            return Ok(None);
        };
        let final_state = serde_json::from_value(value)?;
        self.view().replica.record_final_state(id, final_state);
        Ok(Some(final_state))
    }
}
