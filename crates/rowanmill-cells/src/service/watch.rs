//! Reads of the ledger: watching its log, read barriers, and attestations in place of a read.

use super::{CellCoordinator, LedgerLossAttestation, LedgerView, RETRY_DELAY};
use crate::record::LIVE_PREFIX;
use crate::scheduler::Scheduler;
use rowanmill_state::{ReadError, WatchResponse};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Longest time that the ledger holds a watch request for a change.
const MAX_HOLD: Duration = Duration::from_secs(1);
/// Shortest such time, whatever the operators' file says of renewals.
const MIN_HOLD: Duration = Duration::from_millis(100);
/// Watch requests that end within the time in which renewals are permitted, so that one that fails leaves
/// time for others.
const HOLDS_PER_RENEWAL_LIMIT: u32 = 3;
/// Time without an answer after which a controller attests that it has lost contact. One that had contact
/// more recently may be confirming a change that it has not read itself yet.
const DISCONNECTED_AFTER: Duration = Duration::from_millis(2500);

impl CellCoordinator {
    /// Waits for a read of the ledger that was sent after this call, or for the attestations of all other
    /// controllers. False if there is neither. One read serves all who wait.
    pub async fn read_barrier(&self) -> bool {
        let (send, receive) = oneshot::channel();
        self.barrier_waiters.lock().unwrap().push(send);
        self.barrier_requested.notify_one();
        receive.await.unwrap_or(false)
    }

    /// What this controller attests to one of `cell` that has read the ledger up to `revision`.
    pub fn attest_ledger_loss(&self, cell: &str, revision: u64) -> LedgerLossAttestation {
        let view = self.view();
        let Some(mut revoked_jobs) = view.replica.revoked_since(cell, revision) else {
            return LedgerLossAttestation::default();
        };
        // What others attested to this controller is passed on: who confirmed it may be out of the
        // querying controller's reach.
        revoked_jobs.extend(view.contact.halted.iter().cloned());
        LedgerLossAttestation {
            is_disconnected: view.has_lost_ledger(),
            revoked_jobs,
        }
    }

    /// Reads the log once, waiting up to `hold` for a change.
    async fn read_log<S: Scheduler>(&self, scheduler: &S, hold: Duration) -> Result<(), ReadError> {
        let from = self.view().replica.revision;
        let sent = Instant::now();
        let body = self.ledger.watch(LIVE_PREFIX, from, hold).await?;
        let followed = WatchResponse::decode(&body)?;
        let has_changes = !followed.events.is_empty();
        {
            let mut view = self.view();
            let LedgerView {
                replica, contact, ..
            } = &mut *view;
            replica.apply_changes(followed.events, followed.revision, Instant::now());
            contact.last_response_at = contact.last_response_at.max(Some(sent));
        }
        self.update_halted(scheduler);
        {
            let mut view = self.view();
            // The read counts only once what it forbids is in force.
            if view.replica.is_present(&self.cell) {
                view.contact.last_read_at = view.contact.last_read_at.max(Some(sent));
                view.contact.last_attestation_at = None;
            }
        }
        if has_changes {
            self.wake_up();
        }
        Ok(())
    }

    /// Updates which jobs of the cell's records must not run.
    pub(super) fn update_halted<S: Scheduler>(&self, scheduler: &S) {
        let tracked = scheduler.tracked_jobs();
        let mut view = self.view();
        let halted = {
            let planner = self.planner.lock().unwrap();
            planner.halted_jobs(&view.replica, &tracked)
        };
        if *view.contact.halted != halted {
            view.contact.halted = Arc::new(halted);
        }
    }

    async fn load<S: Scheduler>(&self, scheduler: &S) -> Result<(), ReadError> {
        let (pairs, revision) = self.ledger.list_all(LIVE_PREFIX).await?;
        self.view()
            .replica
            .reload_from_snapshot(pairs, revision, Instant::now());
        self.read_log(scheduler, Duration::ZERO).await
    }

    /// Obtains the attestations of all other controllers in place of a read. False if one is missing.
    async fn obtain_attestations<S: Scheduler>(&self, scheduler: &S) -> bool {
        let revision = {
            let view = self.view();
            if !view.has_lost_ledger() {
                return false;
            }
            view.replica.revision
        };
        let asked_at = Instant::now();
        let attested = scheduler.collect_attestations(&self.cell, revision).await;
        let Some(revoked_jobs) = attested else {
            return false;
        };
        let mut view = self.view();
        if view.replica.revision != revision {
            return false; // it has contact again
        }
        if !revoked_jobs.is_empty() {
            let mut halted = (*view.contact.halted).clone();
            halted.extend(revoked_jobs);
            view.contact.halted = Arc::new(halted);
        }
        let contact = &mut view.contact;
        contact.last_attestation_at = contact.last_attestation_at.max(Some(asked_at));
        true
    }
}

impl LedgerView {
    /// Whether the records were loaded, and the ledger has not answered since for too long.
    fn has_lost_ledger(&self) -> bool {
        let has_contact = self
            .contact
            .responded_within(DISCONNECTED_AFTER, Instant::now());
        self.is_loaded && !has_contact
    }
}

/// Loads the ledger's records, then watches its log; loads again when the log was compacted.
pub(super) async fn watch_ledger<S: Scheduler>(
    coordinator: Arc<CellCoordinator>,
    scheduler: Arc<S>,
) {
    let renewal_limit = coordinator.config.renew_without_ledger();
    let hold = (renewal_limit / HOLDS_PER_RENEWAL_LIMIT).clamp(MIN_HOLD, MAX_HOLD);
    loop {
        if coordinator.load(&*scheduler).await.is_err() {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        coordinator.view().is_loaded = true;
        watch_until_compacted(&coordinator, &*scheduler, hold).await;
        coordinator.view().is_loaded = false;
        tracing::info!("ledger log compacted before the last read revision, reloading");
    }
}

async fn watch_until_compacted<S: Scheduler>(
    coordinator: &CellCoordinator,
    scheduler: &S,
    hold: Duration,
) {
    loop {
        match coordinator.read_log(scheduler, hold).await {
            Ok(()) => tokio::time::sleep(coordinator.ledger.watch_interval()).await,
            Err(ReadError::Compacted | ReadError::LeaseExpired) => return,
            Err(ReadError::Failed(_)) => {
                coordinator.obtain_attestations(scheduler).await;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Serves read barriers: one read for all who wait when it is sent.
pub(super) async fn serve_read_barriers<S: Scheduler>(
    coordinator: Arc<CellCoordinator>,
    scheduler: Arc<S>,
) {
    loop {
        coordinator.barrier_requested.notified().await;
        let waiters = std::mem::take(&mut *coordinator.barrier_waiters.lock().unwrap());
        if waiters.is_empty() {
            continue;
        }
        let is_loaded = coordinator.view().is_loaded;
        let has_read = is_loaded
            && (coordinator
                .read_log(&*scheduler, Duration::ZERO)
                .await
                .is_ok()
                || coordinator.obtain_attestations(&*scheduler).await);
        for waiter in waiters {
            // A waiter that was dropped has no use for the answer.
            let _ = waiter.send(has_read);
        }
        tokio::time::sleep(coordinator.ledger.read_barrier_interval()).await;
    }
}
