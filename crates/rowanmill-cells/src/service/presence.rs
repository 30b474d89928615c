//! Maintains the cell's lease and presence in the ledger, and publishes the cell's capacity with the presence.

use super::CellCoordinator;
use crate::record::{CapacitySummary, CellPresence};
use crate::replica::Versioned;
use crate::scheduler::Scheduler;
use crate::transaction::{self, Transaction};
use rowanmill_state::{ReadError, TransactionError};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which a cell publishes its capacity.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(3);
/// Number of renewals within the length of the cell's lease, so that the lease survives some failed ones.
const RENEWALS_PER_LEASE: u32 = 6;
/// Number of renewals within [`PUBLISH_INTERVAL`]. The capacity is published after a renewal, at most a third
/// of the interval late.
const RENEWALS_PER_PUBLICATION: u32 = 3;

/// Keeps the cell present while this controller is its leader.
pub(super) async fn maintain_presence<S: Scheduler>(
    coordinator: Arc<CellCoordinator>,
    scheduler: Arc<S>,
) {
    let lease = coordinator.config.cell_lease();
    let interval = (lease / RENEWALS_PER_LEASE).min(PUBLISH_INTERVAL / RENEWALS_PER_PUBLICATION);
    loop {
        let is_loaded = coordinator.view().is_loaded;
        if is_loaded
            && scheduler.is_leader()
            && let Some(lease) = coordinator.renew_lease().await
        {
            coordinator.publish_presence(&*scheduler, lease).await;
        }
        tokio::time::sleep(interval).await;
    }
}

impl CellCoordinator {
    /// Renews the cell's lease, or creates one if this controller has none. `None` if the lease has expired or
    /// the request failed.
    async fn renew_lease(&self) -> Option<u64> {
        let current = self.view().lease;
        let lease = match current {
            Some(lease) => match self.ledger.extend_lease(lease).await {
                Ok(()) => lease,
                Err(ReadError::LeaseExpired) => {
                    tracing::info!(cell = self.cell, "cell lease expired");
                    self.view().lease = None;
                    return None;
                }
                Err(_) => return None,
            },
            None => {
                let created = self.ledger.create_lease(self.config.cell_lease()).await;
                created.ok()?
            }
        };
        self.view().lease = Some(lease);
        Some(lease)
    }

    /// Registers the cell unless its presence in the ledger was written by this process; otherwise publishes
    /// its capacity when that is due.
    async fn publish_presence<S: Scheduler>(&self, scheduler: &S, lease: u64) {
        let presence = CellPresence {
            controller: self.controller.clone(),
            incarnation: self.incarnation,
            summary: self.capacity_summary(scheduler),
        };
        let Some(transaction) = self.presence_transaction(&presence, lease) else {
            return;
        };
        match self.commit(&transaction).await {
            Ok(_) => self.view().presence_published_at = Some(Instant::now()),
            Err(TransactionError::LeaseExpired) => self.view().lease = None,
            Err(error) => tracing::debug!(%error, "cell presence not written"),
        }
    }

    /// The cell's capacity, with owned jobs outside of the cell's own records counted as waiting tasks.
    fn capacity_summary<S: Scheduler>(&self, scheduler: &S) -> CapacitySummary {
        // The order of these reads matters. A job that is written to the cell's own records in between is
        // counted twice rather than not at all. For a job that becomes the cell's after the revision was
        // read, other cells subtract its CPUs from the summary.
        let ledger_revision = self.view().replica.revision;
        let owned = self.owned_job_states(scheduler);
        let summary = scheduler.capacity_summary();
        let outside_records = {
            let view = self.view();
            let planner = self.planner.lock().unwrap();
            planner.count_jobs_outside_records(&view.replica, &owned)
        };
        CapacitySummary {
            waiting_tasks: summary.waiting_tasks + outside_records,
            ledger_revision: Some(ledger_revision),
            ..summary
        }
    }

    fn presence_transaction(&self, presence: &CellPresence, lease: u64) -> Option<Transaction> {
        let view = self.view();
        let cell = view.replica.cells.get(&self.cell);
        let current = cell.and_then(|cell| cell.presence.as_ref());
        let is_own = |current: &&Versioned<CellPresence>| {
            current.record.controller == self.controller
                && current.record.incarnation == self.incarnation
        };
        let is_recent = view
            .presence_published_at
            .is_some_and(|at| at.elapsed() < PUBLISH_INTERVAL);
        match current.filter(is_own) {
            Some(_) if is_recent => None,
            Some(current) => Some(transaction::update_presence(
                &self.cell, current, presence, lease,
            )),
            None => {
                tracing::info!(cell = self.cell, "registering cell");
                let replica = &view.replica;
                Some(transaction::register(replica, &self.cell, presence, lease))
            }
        }
    }
}
