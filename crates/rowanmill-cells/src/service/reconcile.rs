//! The leader's reconcile loop, which keeps the ledger and the cell's own records consistent.
//!
//! Each round reads the states, lets [`Planner`](crate::plan::Planner) choose the actions and executes them.
//! An action without a definite result is not retried: the next round plans anew by the state at that time.

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

/// Interval after which a round begins even if none was requested.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a round, so that one round serves the requests that arrive in this time.
const PAUSE_AFTER_ROUND: Duration = Duration::from_millis(50);
/// Limit on the jobs that are written to the cell's records at the same time.
const MAX_CONCURRENT_ADOPTIONS: usize = 16;

/// Runs reconcile rounds whenever this controller is the leader and has read the ledger recently.
pub(super) async fn reconcile<S: Scheduler>(coordinator: Arc<CellCoordinator>, scheduler: Arc<S>) {
    loop {
        let requested = coordinator.round_requested.notified();
        // A timeout is not an error: the round then begins because of the interval.
        let _ = tokio::time::timeout(RECONCILE_INTERVAL, requested).await;
        let now = Instant::now();
        if !coordinator.view().is_loaded {
            continue;
        }
        coordinator.update_halted(&*scheduler);
        // If the last read is not recent, another cell may have become the owner of this cell's jobs.
        if !scheduler.is_leader() || !coordinator.permits_starts(now) {
            continue;
        }
        let actions = coordinator.plan_round(&*scheduler, now);
        execute_actions(&coordinator, &scheduler, actions).await;
        tokio::time::sleep(PAUSE_AFTER_ROUND).await;
    }
}

async fn execute_actions<S: Scheduler>(
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
            coordinator.execute_action(&**scheduler, action).await;
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

    /// The jobs that this cell owns according to the ledger, with their states in the cell's own records.
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
        // The locks are released before this call, because the scheduler takes locks of its own.
        let runnable = candidates
            .into_iter()
            .filter(|(_, job)| scheduler.can_run(job));
        runnable.map(|(id, _)| id).collect()
    }

    async fn execute_action<S: Scheduler>(&self, scheduler: &S, action: Action) {
        match action {
            Action::Adopt { id } => self.adopt(scheduler, &id).await,
            Action::Cancel { id } => {
                // On failure the next round plans the cancellation again.
                let _ = scheduler.cancel(&id).await;
            }
            Action::Withdraw {
                id,
                ownership,
                condition,
            } => {
                // On failure the next round plans the withdrawal again.
                let _ = scheduler.withdraw(&id, ownership, condition).await;
            }
            Action::Relinquish { id, epoch } => {
                if let Ok(true) = scheduler.relinquish(&id, epoch).await {
                    let mut planner = self.planner.lock().unwrap();
                    planner.record_relinquished(&id, epoch);
                }
            }
            Action::ReadFinalState { id } => {
                // On failure the next round plans the read again.
                let _ = self.read_final_state(&id).await;
            }
            Action::Finish { .. }
            | Action::CancelInLedger { .. }
            | Action::HandOver { .. }
            | Action::Reclaim { .. }
            | Action::TakeOver { .. } => self.change_ledger(&action).await,
        }
    }

    /// Writes an owned job to the cell's records.
    async fn adopt<S: Scheduler>(&self, scheduler: &S, id: &str) {
        let Some(current) = self.open_job(id) else {
            return;
        };
        let outcome = scheduler.adopt(id, &current.record, current.revision).await;
        let Ok(outcome) = outcome else {
            return;
        };
        let mut planner = self.planner.lock().unwrap();
        match outcome {
            AdoptionOutcome::Adopted => {
                let LedgerJob { epoch, home, .. } = &current.record;
                tracing::debug!(job = id, epoch, home, "job adopted");
            }
            AdoptionOutcome::AlreadyEnded => {}
            AdoptionOutcome::Relinquished { epoch } => planner.record_relinquished(id, epoch),
            AdoptionOutcome::Ineligible { reason } => {
                tracing::info!(job = id, reason, "job declined");
                planner.record_ineligible(id, current.record.epoch, Instant::now());
            }
        }
    }

    /// Commits the change of the ledger that an action requires.
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

/// Logs the capacity summary of the cell that a job is handed over to, with the summary's age since it was
/// read and the ledger's revisions of the summary and of the job.
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
