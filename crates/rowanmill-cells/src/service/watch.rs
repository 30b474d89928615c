//! Reads the ledger: watches its log, serves read barriers, and obtains attestations of other controllers in
//! place of a read.

use super::{CellCoordinator, LedgerLossAttestation, LedgerView, RETRY_DELAY};
use crate::record::LIVE_PREFIX;
use crate::scheduler::Scheduler;
use rowanmill_state::{ReadError, WatchResponse};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Longest time for which a watch request waits for a change.
const MAX_WATCH_HOLD: Duration = Duration::from_secs(1);
/// Shortest such time. It applies if the operators' file permits renewals for a very short time only.
const MIN_WATCH_HOLD: Duration = Duration::from_millis(100);
/// Number of watch requests that fit into the time for which renewals are permitted after a read, so that a
/// failed one can be repeated in this time.
const WATCHES_PER_RENEWAL_LIMIT: u32 = 3;
/// Time without a response after which a controller attests that it has lost contact with the ledger; it
/// equals the longest duration of a watch request. A controller that had contact more recently may be about to
/// confirm a change that its replica lacks. A slow change may be confirmed even later: a reconcile round may
/// begin up to `MAX_READ_AGE_FOR_STARTS` after a read, and each of its writes may take 1.5 s.
const DISCONNECTED_AFTER: Duration = Duration::from_millis(2500);

impl CellCoordinator {
    /// Waits for a read of the ledger that was sent after this call, or for attestations of all other
    /// controllers in place of the read. Returns false if both fail. One read serves all waiting callers.
    pub async fn read_barrier(&self) -> bool {
        let (send, receive) = oneshot::channel();
        self.barrier_waiters.lock().unwrap().push(send);
        self.barrier_requested.notify_one();
        receive.await.unwrap_or(false)
    }

    /// The attestation of this controller for a controller of `cell` that has read the ledger up to
    /// `revision`.
    pub fn attest_ledger_loss(&self, cell: &str, revision: u64) -> LedgerLossAttestation {
        let view = self.view();
        let Some(mut revoked_jobs) = view.replica.revoked_since(cell, revision) else {
            return LedgerLossAttestation::default();
        };
        // Includes what other controllers attested to this one, and the jobs that it halted itself. They are
        // listed in addition: attestations count only if the querying controller reaches all others, and so
        // also the one that confirmed a change.
        revoked_jobs.extend(view.contact.halted.iter().cloned());
        LedgerLossAttestation {
            is_disconnected: view.has_lost_ledger(),
            revoked_jobs,
        }
    }

    /// Reads the log once. The ledger waits up to `hold` for a change.
    async fn read_log<S: Scheduler>(&self, scheduler: &S, hold: Duration) -> Result<(), ReadError> {
        let from = self.view().replica.revision;
        let sent = Instant::now();
        let body = self.ledger.watch(LIVE_PREFIX, from, hold).await?;
        let response = WatchResponse::decode(&body)?;
        let has_changes = !response.events.is_empty();
        {
            let mut view = self.view();
            let LedgerView {
                replica, contact, ..
            } = &mut *view;
            replica.apply_changes(response.events, response.revision, Instant::now());
            contact.last_response_at = contact.last_response_at.max(Some(sent));
        }
        self.update_halted(scheduler);
        {
            let mut view = self.view();
            // The read counts only after the jobs that it revokes have been halted.
            if view.replica.is_present(&self.cell) {
                view.contact.last_read_at = view.contact.last_read_at.max(Some(sent));
                view.contact.last_attestation_at = None;
            }
        }
        if has_changes {
            self.request_round();
        }
        Ok(())
    }

    /// Sets the halted jobs to those in the cell's own records that must not run according to the replica.
    /// Jobs that only attestations listed are no longer halted.
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

    /// Obtains attestations of all other controllers in place of a read. Returns false if this controller has
    /// contact with the ledger or an attestation is missing.
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
            return false; // contact with the ledger was restored in the meantime
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
    /// Whether the records have been loaded, but the ledger has not responded for [`DISCONNECTED_AFTER`].
    fn has_lost_ledger(&self) -> bool {
        let has_contact = self
            .contact
            .responded_within(DISCONNECTED_AFTER, Instant::now());
        self.is_loaded && !has_contact
    }
}

/// Loads the ledger's records, then watches its log. Loads them again if the log was compacted.
pub(super) async fn watch_ledger<S: Scheduler>(
    coordinator: Arc<CellCoordinator>,
    scheduler: Arc<S>,
) {
    let renewal_limit = coordinator.config.renew_without_ledger();
    let hold = (renewal_limit / WATCHES_PER_RENEWAL_LIMIT).clamp(MIN_WATCH_HOLD, MAX_WATCH_HOLD);
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

/// Serves read barriers. One read serves all callers that wait when it is sent.
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
            // Sending fails if the caller no longer waits.
            let _ = waiter.send(has_read);
        }
        tokio::time::sleep(coordinator.ledger.read_barrier_interval()).await;
    }
}
