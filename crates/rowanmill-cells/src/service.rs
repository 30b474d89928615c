//! A controller's part in the cells: the I/O around the state machine.
//!
//! [`CellCoordinator`] holds the replica of the ledger and the planner. Its tasks watch the ledger, keep
//! the cell's lease, and carry out what is planned; its methods answer what users' requests and workers'
//! heartbeats need to know. It decides nothing that [`crate::plan`] or [`crate::contact`] decides.

mod outcome;
mod presence;
mod reconcile;
mod requests;
mod watch;

pub use outcome::{CancelOutcome, LedgerJobState, LedgerLossAttestation, PublishOutcome};

use crate::config::CellsConfig;
use crate::contact::LedgerContact;
use crate::plan::Planner;
use crate::record::{FinalState, LedgerJob};
use crate::replica::{LedgerReplica, Versioned};
use crate::scheduler::{Scheduler, TrackedJob};
use crate::transaction::Transaction;
use rowanmill_state::{ServiceQuota, StateClient, TransactionError};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};

/// An endless task of a controller, not started yet.
pub type BackgroundTask = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Pause before a request to the ledger is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A controller's view of the ledger, and of its own part in it.
#[derive(Debug, Default)]
struct LedgerView {
    replica: LedgerReplica,
    contact: LedgerContact,
    /// The replica holds a whole listing, and all changes since.
    is_loaded: bool,
    /// The cell's lease, if this controller holds it.
    lease: Option<u64>,
    presence_published_at: Option<Instant>,
}

/// One controller's part in the cells.
///
/// Where both locks are taken, `view` is taken before `planner`.
pub struct CellCoordinator {
    config: CellsConfig,
    cell: String,
    controller: String,
    incarnation: u64,
    ledger: StateClient,
    view: Mutex<LedgerView>,
    planner: Mutex<Planner>,
    barrier_waiters: Mutex<Vec<oneshot::Sender<bool>>>,
    barrier_requested: Notify,
    /// Something changed that the planner should look at.
    round_requested: Notify,
}

impl CellCoordinator {
    /// The part of the controller of this name, in its process's `incarnation`, in the cell `cell`.
    pub fn new(config: CellsConfig, cell: &str, controller: &str, incarnation: u64) -> Self {
        let names = config.cells.iter().map(|cell| cell.name.as_str());
        let share = ledger_share(&config);
        Self {
            cell: cell.to_owned(),
            controller: controller.to_owned(),
            incarnation,
            ledger: StateClient::new(config.ledger.addr, share, share),
            view: Mutex::new(LedgerView {
                replica: LedgerReplica::new(names),
                ..LedgerView::default()
            }),
            planner: Mutex::new(Planner::new(cell, &config)),
            barrier_waiters: Mutex::default(),
            barrier_requested: Notify::new(),
            round_requested: Notify::new(),
            config,
        }
    }

    /// The controller's tasks, not started yet, with names for the log. None ends.
    pub fn background_tasks<S: Scheduler>(
        self: &Arc<Self>,
        scheduler: &Arc<S>,
    ) -> [(&'static str, BackgroundTask); 4] {
        let watch = watch::watch_ledger(self.clone(), scheduler.clone());
        let read_barriers = watch::serve_read_barriers(self.clone(), scheduler.clone());
        let presence = presence::maintain_presence(self.clone(), scheduler.clone());
        let reconciler = reconcile::reconcile(self.clone(), scheduler.clone());
        [
            ("ledger watch", Box::pin(watch)),
            ("ledger read barriers", Box::pin(read_barriers)),
            ("cell presence", Box::pin(presence)),
            ("cell reconciler", Box::pin(reconciler)),
        ]
    }

    /// The cell's name.
    pub fn cell_name(&self) -> &str {
        &self.cell
    }

    /// The operators' file.
    pub fn config(&self) -> &CellsConfig {
        &self.config
    }

    /// Mesh addresses of the controllers of all cells, except `own`.
    pub fn other_controllers(&self, own: SocketAddr) -> Vec<SocketAddr> {
        self.config.other_controllers(own)
    }

    /// The last contact with the ledger.
    pub fn contact(&self) -> LedgerContact {
        self.view().contact.clone()
    }

    /// Whether tasks of the ledger's jobs may be started.
    pub fn permits_starts(&self, now: Instant) -> bool {
        self.view().contact.permits_starts(now)
    }

    /// Whether the leases of workers with tasks of the ledger's jobs may be renewed.
    pub fn permits_renewals(&self, now: Instant) -> bool {
        let limit = self.config.renew_without_ledger();
        self.view().contact.permits_renewals(limit, now)
    }

    /// Whether the ledger answered a request that was sent at most `limit` ago.
    pub fn ledger_responded_within(&self, limit: Duration) -> bool {
        let now = Instant::now();
        self.view().contact.responded_within(limit, now)
    }

    /// Which of these jobs of the cell's records it must not run, by the ledger or by attestations.
    pub fn halted_among(&self, tracked: &[TrackedJob]) -> BTreeSet<String> {
        let view = self.view();
        let planner = self.planner.lock().unwrap();
        let mut halted = planner.halted_jobs(&view.replica, tracked);
        let attested = tracked
            .iter()
            .filter(|job| view.contact.halted.contains(&job.id));
        halted.extend(attested.map(|job| job.id.clone()));
        halted
    }

    /// Whether an open record or the final state of the job is in memory.
    pub fn is_cached(&self, id: &str) -> bool {
        let view = self.view();
        view.replica.jobs.contains_key(id) || view.replica.final_state(id).is_some()
    }

    /// How a job ended, if that is in memory. It never changes.
    pub fn final_state(&self, id: &str) -> Option<FinalState> {
        self.view().replica.final_state(id)
    }

    /// Requests a reconcile round, because the cell's own records or the ledger changed.
    pub fn wake_up(&self) {
        self.round_requested.notify_one();
    }

    fn view(&self) -> MutexGuard<'_, LedgerView> {
        self.view.lock().unwrap()
    }

    fn open_job(&self, id: &str) -> Option<Versioned<LedgerJob>> {
        self.view().replica.jobs.get(id).cloned()
    }

    /// Sends a transaction; returns the ledger's revision of its changes.
    async fn commit(&self, transaction: &Transaction) -> Result<u64, TransactionError> {
        let Transaction {
            preconditions,
            operations,
        } = transaction;
        self.ledger
            .compare_and_swap(preconditions, operations)
            .await
    }
}

/// The controller's share of the ledger's limits. Requests are view by all controllers. Nearly all writes
/// are acceptances and the leader's: each cell's controllers share its part of them.
fn ledger_share(config: &CellsConfig) -> ServiceQuota {
    let cells = config.cells.iter();
    let controllers: usize = cells.map(|cell| cell.controllers.len()).sum();
    ServiceQuota {
        requests_per_s: config.ledger.rps / controllers.max(1) as f64,
        writes_per_s: config.ledger.write_rps / config.cells.len().max(1) as f64,
    }
}
