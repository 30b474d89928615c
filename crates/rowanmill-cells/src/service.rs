//! The I/O by which a controller takes part in the cells.
//!
//! [`CellCoordinator`] contains the replica of the ledger and the planner. Its background tasks watch the
//! ledger, renew the cell's lease and execute the planned actions. Its methods answer the queries that arise
//! from users' requests and workers' heartbeats. The decisions are made in [`crate::plan`] and
//! [`crate::contact`].

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

/// An endless task of a controller that has not been spawned yet.
pub type BackgroundTask = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Delay before a request to the ledger is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What a controller knows of the ledger and of its cell's lease there.
#[derive(Debug, Default)]
struct LedgerView {
    replica: LedgerReplica,
    contact: LedgerContact,
    /// The replica has a complete listing of the live records and follows their changes.
    is_loaded: bool,
    /// The cell's lease, if this controller created it and it has not expired.
    lease: Option<u64>,
    presence_published_at: Option<Instant>,
}

/// Coordinates one controller of a cell with the ledger.
///
/// Code that needs both locks takes `view` before `planner`.
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
    /// Notified when a change requires a reconcile round.
    round_requested: Notify,
}

impl CellCoordinator {
    /// The coordinator of the controller named `controller`, in the cell named `cell`. `incarnation`
    /// identifies the controller's process.
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

    /// The controller's background tasks, not spawned yet, with their names for the log. They never end.
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

    /// The controller's last contact with the ledger.
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

    /// The jobs among `tracked` that the cell must not run, according to the ledger or to attestations of
    /// other controllers.
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

    /// Whether the job's open record or its final state is in memory.
    pub fn is_cached(&self, id: &str) -> bool {
        let view = self.view();
        view.replica.jobs.contains_key(id) || view.replica.final_state(id).is_some()
    }

    /// A job's final state, if it is in memory. It never changes.
    pub fn final_state(&self, id: &str) -> Option<FinalState> {
        self.view().replica.final_state(id)
    }

    /// Requests a reconcile round after a change of the cell's own records or of the ledger.
    pub fn request_round(&self) {
        self.round_requested.notify_one();
    }

    fn view(&self) -> MutexGuard<'_, LedgerView> {
        self.view.lock().unwrap()
    }

    fn open_job(&self, id: &str) -> Option<Versioned<LedgerJob>> {
        self.view().replica.jobs.get(id).cloned()
    }

    /// Commits a transaction, and returns the ledger's revision of its changes.
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

/// The controller's share of the ledger's rate limits. Requests are divided among all controllers, because
/// all of them send requests. Writes are divided among the cells only, and each controller may use the whole
/// part of its cell: nearly all of a cell's writes are acceptances of jobs and writes of its leader.
fn ledger_share(config: &CellsConfig) -> ServiceQuota {
    let cells = config.cells.iter();
    let controllers: usize = cells.map(|cell| cell.controllers.len()).sum();
    ServiceQuota {
        requests_per_s: config.ledger.rps / controllers.max(1) as f64,
        writes_per_s: config.ledger.write_rps / config.cells.len().max(1) as f64,
    }
}
