//! Simulated users, who submit and cancel jobs at any cell and query the jobs' final states.

use super::delivery::DelayedWrite;
use super::records::RecordChange;
use super::{CELLS, Model};
use rand::RngExt;
use rowanmill_cells::transaction;
use rowanmill_cells::{LedgerJob, OwnershipVersion};
use serde_json::json;
use std::time::Duration;

/// Maximum number of jobs that are submitted in a schedule.
const MAX_JOBS: usize = 8;
/// Time after which a submission that got no response is repeated.
const RESUBMISSION_DELAY: Duration = Duration::from_secs(1);

impl Model {
    pub(super) fn simulate_users(&mut self) {
        let ledger = &self.ledger;
        let final_state = |id: &str| super::final_state(ledger, id);
        self.checker.confirm_cancellations(self.now, final_state);
        let cell = self.rng.random_range(0..self.cells.len());
        if self.submitted.len() < MAX_JOBS && self.chance(0.05) {
            let id = format!("job-{}", self.submitted.len());
            self.submitted.insert(id.clone());
            self.submit(cell, &id);
        }
        if self.chance(0.01)
            && let Some(id) = self.random_job()
        {
            self.cancel(cell, &id);
        }
        if let Some(id) = self.random_job()
            && let Some(final_state) = super::final_state(&self.ledger, &id)
        {
            self.checker
                .final_state_reported(&id, final_state, self.now);
        }
    }

    fn random_job(&mut self) -> Option<String> {
        let accepted = &self.checker.accepted;
        let nth = self.rng.random_range(0..accepted.len().max(1));
        accepted.iter().nth(nth).cloned()
    }

    fn submit(&mut self, cell: usize, id: &str) {
        let job = LedgerJob::accepted_by(CELLS[cell], 0, Vec::new(), json!({}));
        let transaction = transaction::publish(id, &job);
        let committed = self.send_to_ledger(transaction.clone());
        self.checker.accepted.insert(id.to_owned());
        let Some(revision) = committed else {
            // The user repeats a submission until it is accepted, so the job counts as accepted. The retry is carried
            // out as a delayed write.
            self.delay_write(RESUBMISSION_DELAY, DelayedWrite::Ledger(transaction));
            return;
        };
        let adopt = RecordChange::Adopt {
            id: id.to_owned(),
            ownership: OwnershipVersion {
                epoch: job.epoch,
                revision,
            },
            relinquished_revision: 0,
        };
        self.send_to_records(cell, adopt);
    }

    /// Cancels a job through a cell, which need not own it but must reach the ledger.
    fn cancel(&mut self, cell: usize, id: &str) {
        let Some(held) = self.ledger.job(id) else {
            return;
        };
        if !self.cells[cell].reaches_ledger(self.now) || held.record.cancelled {
            return;
        }
        let cancelled = held.record.into_cancelled();
        let transaction = transaction::update_job(id, held.revision, &cancelled);
        if self.send_to_ledger(transaction).is_some() {
            self.checker.cancellation_recorded(id, self.now);
            self.counts.cancellations += 1;
        }
    }
}
