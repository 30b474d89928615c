//! The leader's reconcile loop: brings the ledger and the cell's own records to agree.
//!
//! It reads the states, has [`Planner`](crate::plan::Planner) decide, and carries out the actions. An
//! action that gets no definite answer is not retried here: the next round plans again by the state then.

use super::CellCoordinator;
use crate::plan::{Action, LocalJobs};
use crate::record::LedgerJob;
use crate::replica::LedgerReplica;
use crate::scheduler::{AdoptionOutcome, LocalJobState, Scheduler};
use crate::transaction::LedgerChange;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// A round begins after this time even if nothing requested one.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a round, so that requests for the next one are taken together.
const PAUSE_AFTER_ROUND: Duration = Duration::from_millis(50);
/// Jobs that are put into the cell's records at the same time.
const MAX_CONCURRENT_ADOPTIONS: usize = 16;

/// Runs one round after another for as long as this controller is the leader and has a recent read.
pub(super) async fn reconcile<S: Scheduler>(coordinator: Arc<CellCoordinator>, scheduler: Arc<S>) {
    loop {
        let requested = coordinator.round_requested.notified();
        // A round begins either way: requested, or by the interval.
        let _ = tokio::time::timeout(RECONCILE_INTERVAL, requested).await;
        let now = Instant::now();
        if !coordinator.view().is_loaded {
            continue;
        }
        coordinator.update_halted(&*scheduler);
        // Without a recent read another cell may own by now what this one takes for its own.
        if !scheduler.is_leader() || !coordinator.permits_starts(now) {
            continue;
        }
        let actions = coordinator.plan_round(&*scheduler, now);
        carry_out(&coordinator, &scheduler, actions).await;
        tokio::time::sleep(PAUSE_AFTER_ROUND).await;
    }
}

async fn carry_out<S: Scheduler>(
    coordinator: &Arc<CellCoordinator>,
    scheduler: &Arc<S>,
    actions: Vec<Action>,
) {
    let mut adoptions = JoinSet::new();
    for action in actions {
        if let Action::Adopt { id } = action {
            while adoptions.len() >= MAX_CONCURRENT_ADOPTIONS {
                adoptions.join_next().await;
            }
            let (coordinator, scheduler) = (coordinator.clone(), scheduler.clone());
            adoptions.spawn(async move { coordinator.adopt(&*scheduler, &id).await });
        } else {
            coordinator.carry_out_action(&**scheduler, action).await;
        }
    }
    while adoptions.join_next().await.is_some() {}
}

impl CellCoordinator {
    fn plan_round<S: Scheduler>(&self, scheduler: &S, now: Instant) -> Vec<Action> {
        let local_jobs = LocalJobs {
            owned: self.owned_job_states(scheduler),
            tracked: scheduler.tracked_jobs(),
        };
        let runnable = self.runnable_takeover_candidates(scheduler, now);
        let view = self.view();
        let mut planner = self.planner.lock().unwrap();
        planner.plan(&view.replica, &local_jobs, now, &runnable)
    }

    /// The jobs that the ledger says this cell owns, with their states in the cell's own records.
    pub(super) fn owned_job_states<S: Scheduler>(
        &self,
        scheduler: &S,
    ) -> Vec<(String, LocalJobState)> {
        let owned = {
            let view = self.view();
            self.planner.lock().unwrap().owned_jobs(&view.replica)
        };
        let states = scheduler.local_job_states(&owned);
        owned.into_iter().zip(states).collect()
    }

    fn runnable_takeover_candidates<S: Scheduler>(
        &self,
        scheduler: &S,
        now: Instant,
    ) -> BTreeSet<String> {
        let candidates: Vec<(String, LedgerJob)> = {
            let view = self.view();
            let planner = self.planner.lock().unwrap();
            let candidates = planner.takeover_candidates(&view.replica, now).into_iter();
            candidates
                .map(|(id, job)| (id.clone(), job.clone()))
                .collect()
        };
        // Without the locks: the scheduler takes its own.
        let runnable = candidates
            .into_iter()
            .filter(|(_, job)| scheduler.can_run(job));
        runnable.map(|(id, _)| id).collect()
    }

    async fn carry_out_action<S: Scheduler>(&self, scheduler: &S, action: Action) {
        match action {
            Action::Adopt { id } => self.adopt(scheduler, &id).await,
            Action::Cancel { id } => {
                // Without a definite answer the next round plans it again.
                let _ = scheduler.cancel(&id).await;
            }
            Action::Withdraw {
                id,
                ownership,
                condition,
            } => {
                // Without a definite answer the next round plans it again.
                let _ = scheduler.withdraw(&id, ownership, condition).await;
            }
            Action::Relinquish { id, epoch } => {
                if let Ok(true) = scheduler.relinquish(&id, epoch).await {
                    let mut planner = self.planner.lock().unwrap();
                    planner.record_relinquished(&id, epoch);
                }
            }
            Action::ReadFinalState { id } => {
                // Without an answer the next round plans it again.
                let _ = self.read_final_state(&id).await;
            }
            Action::Finish { .. }
            | Action::CancelInLedger { .. }
            | Action::HandOver { .. }
            | Action::Reclaim { .. }
            | Action::TakeOver { .. } => self.change_ledger(&action).await,
        }
    }

    /// Puts an owned job into the cell's records.
    async fn adopt<S: Scheduler>(&self, scheduler: &S, id: &str) {
        let Some(held) = self.open_job(id) else {
            return;
        };
        let outcome = scheduler.adopt(id, &held.record, held.revision).await;
        let Ok(outcome) = outcome else {
            return;
        };
        let mut planner = self.planner.lock().unwrap();
        match outcome {
            AdoptionOutcome::Adopted => {
                let LedgerJob { epoch, home, .. } = &held.record;
                tracing::debug!(job = id, epoch, home, "job adopted");
            }
            AdoptionOutcome::AlreadyEnded => {}
            AdoptionOutcome::Relinquished { epoch } => planner.record_relinquished(id, epoch),
            AdoptionOutcome::Ineligible { reason } => {
                tracing::info!(job = id, reason, "job declined");
                planner.record_ineligible(id, held.record.epoch, Instant::now());
            }
        }
    }

    /// Makes the change of the ledger that an action requires.
    async fn change_ledger(&self, action: &Action) {
        let max_operations = self.config.ledger.txn_ops;
        let change = {
            let view = self.view();
            log_handover(&view.replica, action, Instant::now());
            LedgerChange::for_action(&view.replica, &self.cell, action, max_operations)
        };
        let Some(change) = change.filter(|change| !change.transaction.operations.is_empty()) else {
            return;
        };
        match self.commit(&change.transaction).await {
            Ok(revision) => {
                if matches!(action, Action::HandOver { .. } | Action::TakeOver { .. }) {
                    tracing::info!(?action, "job ownership changed");
                }
                self.apply_committed(change, revision);
            }
            Err(error) => tracing::debug!(?action, %error, "ledger change not committed"),
        }
    }

    fn apply_committed(&self, change: LedgerChange, revision: u64) {
        let mut view = self.view();
        let replica = &mut view.replica;
        for (id, record) in change.updated_jobs {
            replica.apply_own_write(&id, record, revision, Instant::now());
        }
        if let Some((id, final_state)) = change.ended_job {
            replica.record_final_state(&id, final_state);
        }
    }
}

/// Logs the capacity summary of the cell that a job is handed over to: its content, how long ago it was read,
/// and the ledger's revisions of it and of the job.
fn log_handover(replica: &LedgerReplica, action: &Action, now: Instant) {
    let Action::HandOver { id, to, reason } = action else {
        return;
    };
    let Some(cell) = replica.cells.get(to) else {
        return;
    };
    let age = cell
        .presence_updated_at
        .map(|at| now.saturating_duration_since(at));
    let presence = cell.presence.as_ref();
    tracing::debug!(
        job = id,
        to,
        ?reason,
        job_revision = replica.jobs.get(id).map(|job| job.revision),
        summary_revision = presence.map(|presence| presence.revision),
        summary_age_ms = age.map(|age| age.as_millis() as u64),
        summary = ?presence.map(|presence| &presence.record.summary),
        "handing job over"
    );
}
