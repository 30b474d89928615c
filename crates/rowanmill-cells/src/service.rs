//! The I/O around the state machine: follows the ledger, keeps the cell's lease, carries out what is
//! planned, and answers what users' requests need to know.

use crate::config::CellsConfig;
use crate::contact::{CANCELLATION_SETTLES, Contact};
use crate::plan::{Action, Picture, Planner};
use crate::record::{CellPresence, FinalState, LIVE_PREFIX, LedgerJob, Stamp, final_key};
use crate::replica::{LedgerReplica, Versioned};
use crate::scheduler::{Adoption, Scheduler, StampedJob};
use crate::transaction::{self, Transaction};
use rowanmill_state::{Followed, Need, ReadError, StateClient, StateShare, TxnError};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinSet;

/// What became of a job that was to be published.
#[derive(Debug, Clone, PartialEq)]
pub enum Published {
    /// It stands in the ledger, by this change.
    New(Stamp),
    /// It stood there before, or ended.
    Known,
    /// More than this controller may write now.
    Busy,
    /// It does not stand there for certain: it must not be accepted.
    Unavailable,
}

/// What the ledger says of a job, with nothing older than the call.
#[derive(Debug, Clone, PartialEq)]
pub enum KnownJob {
    /// It is open; whether this cell owns it.
    Open {
        /// This cell owns it.
        is_ours: bool,
        /// Its user cancelled it, and no controller can start it any more.
        cancelled: bool,
    },
    /// Its user cancelled it, and a controller may not know that yet.
    Cancelling {
        /// This cell owns it.
        is_ours: bool,
    },
    /// It ended.
    Over(FinalState),
    /// The ledger never had it.
    Never,
    /// That cannot be told now.
    Unclear,
}

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The ledger has it, and no controller can start the job any more.
    Confirmed,
    /// The ledger has it, and a controller may not know that yet.
    Recorded {
        /// This cell owns the job.
        is_ours: bool,
    },
    /// The job had ended.
    Over(FinalState),
    /// The ledger never had the job.
    Never,
    /// That cannot be told now.
    Unclear,
}

/// What another controller says while it has no contact with the ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Testimony {
    /// It has read the ledger whole, and has no contact now.
    pub is_disconnected: bool,
    /// Jobs that changed after the asker's revision and that the asker's cell must not run.
    pub lost: Vec<String>,
}

#[derive(Debug, Default)]
struct Shared {
    replica: LedgerReplica,
    contact: Contact,
    loaded: bool,
    lease: Option<u64>,
    announced_at: Option<Instant>,
}

/// The cells, as one controller of one of them takes part.
pub struct Cells {
    config: CellsConfig,
    cell: String,
    controller: String,
    incarnation: u64,
    ledger: StateClient,
    shared: Mutex<Shared>,
    planner: Mutex<Planner>,
    waiters: Mutex<Vec<oneshot::Sender<bool>>>,
    sync_wanted: Notify,
    /// Something changed that the planner should look at.
    wake_up: Notify,
}

const PAUSE: Duration = Duration::from_millis(200);
/// A round of the planner begins after so long even if nothing woke it up.
const ROUND_EVERY: Duration = Duration::from_millis(200);
/// How often a cell says what it has to offer.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(3);
const LONGEST_HOLD: Duration = Duration::from_secs(1);
const SHORTEST_HOLD: Duration = Duration::from_millis(100);
/// One that had the ledger more lately may confirm what it does not know yet itself.
const WITHOUT_LEDGER: Duration = Duration::from_millis(2500);
/// Jobs put into the records at the same time.
const ADOPTED_AT_ONCE: usize = 16;

impl Cells {
    /// Takes part as a controller of `cell`.
    pub fn new(config: CellsConfig, cell: &str, controller: &str, incarnation: u64) -> Self {
        let controllers = config
            .cells
            .iter()
            .map(|c| c.controllers.len())
            .sum::<usize>();
        // Nearly all writes are acceptances and the leader's: a cell's controllers share its part.
        let share = StateShare {
            requests: config.ledger.rps / controllers.max(1) as f64,
            writes: config.ledger.write_rps / config.cells.len().max(1) as f64,
        };
        let names = config.cells.iter().map(|c| c.name.as_str());
        Self {
            cell: cell.to_owned(),
            controller: controller.to_owned(),
            incarnation,
            ledger: StateClient::new(config.ledger.addr, share, share),
            shared: Mutex::new(Shared {
                replica: LedgerReplica::new(names),
                ..Shared::default()
            }),
            planner: Mutex::new(Planner::new(cell, &config)),
            waiters: Mutex::default(),
            sync_wanted: Notify::new(),
            wake_up: Notify::new(),
            config,
        }
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap()
    }

    /// The cell's name.
    pub fn name(&self) -> &str {
        &self.cell
    }

    /// The operators' file.
    pub fn config(&self) -> &CellsConfig {
        &self.config
    }

    /// What may be done by what was last read.
    pub fn contact(&self) -> Contact {
        self.shared().contact.clone()
    }

    /// Whether tasks of the ledger's jobs may be started.
    pub fn permits_starts(&self, now: Instant) -> bool {
        self.shared().contact.permits_starts(now)
    }

    /// Whether workers with tasks of the ledger's jobs may be renewed.
    pub fn permits_renewals(&self, now: Instant) -> bool {
        let limit = self.config.renew_without_ledger();
        self.shared().contact.permits_renewals(limit, now)
    }

    /// Which of these jobs of the cell's records it must not run, by the ledger or by what others said.
    pub fn halted_among(&self, stamped: &[StampedJob]) -> BTreeSet<String> {
        let shared = self.shared();
        let planner = self.planner.lock().unwrap();
        let mut halted = planner.halted(&shared.replica, stamped);
        let told = stamped
            .iter()
            .filter(|job| shared.contact.halted.contains(&job.id));
        halted.extend(told.map(|job| job.id.clone()));
        halted
    }

    /// Whether an open job of the ledger is in memory.
    pub fn seems_known(&self, id: &str) -> bool {
        let shared = self.shared();
        shared.replica.jobs.contains_key(id) || shared.replica.final_state(id).is_some()
    }

    /// Whether the ledger answered lately.
    pub fn has_ledger(&self, within: Duration) -> bool {
        self.shared().contact.has_ledger(within, Instant::now())
    }

    /// Something changed in the cell's own records that the ledger should know.
    pub fn wake_up(&self) {
        self.wake_up.notify_one();
    }

    /// How a job ended, if that is in memory. It never changes.
    pub fn final_state(&self, id: &str) -> Option<FinalState> {
        self.shared().replica.final_state(id)
    }

    /// Publishes a job that this cell accepts. Only what stands in the ledger may be accepted.
    pub async fn publish(&self, id: &str, job: &LedgerJob) -> Published {
        if self.ledger.writes_left(Need::User) == 0 {
            return Published::Busy;
        }
        match self.transact(&transaction::publish(id, job)).await {
            Ok(mark) => {
                let epoch = job.epoch;
                let now = Instant::now();
                self.shared().replica.note_job(id, job.clone(), mark, now);
                Published::New(Stamp { epoch, mark })
            }
            Err(TxnError::Conflict(_)) => Published::Known,
            Err(_) => Published::Unavailable,
        }
    }

    /// What the ledger says of a job.
    pub async fn known(&self, id: &str) -> KnownJob {
        if let Some(last) = self.final_state(id) {
            return KnownJob::Over(last);
        }
        if !self.sync().await {
            return KnownJob::Unclear;
        }
        {
            let shared = self.shared();
            if let Some(held) = shared.replica.jobs.get(id) {
                let is_ours = held.record.owner == self.cell;
                let cancelled = shared.replica.is_settled(id, Instant::now());
                return match held.record.cancelled && !cancelled {
                    true => KnownJob::Cancelling { is_ours },
                    false => KnownJob::Open { is_ours, cancelled },
                };
            }
            if shared.replica.is_unreadable(id) || shared.contact.halted.contains(id) {
                return KnownJob::Unclear;
            }
        }
        match self.look_up(id).await {
            Ok(Some(last)) => KnownJob::Over(last),
            Ok(None) => KnownJob::Never,
            Err(_) => KnownJob::Unclear,
        }
    }

    /// Cancels a job, whichever cell owns it.
    pub async fn cancel(&self, id: &str) -> Cancelled {
        const TRIES: usize = 4;
        for _ in 0..TRIES {
            match self.known(id).await {
                KnownJob::Over(last) => return Cancelled::Over(last),
                KnownJob::Never => return Cancelled::Never,
                KnownJob::Unclear => return Cancelled::Unclear,
                KnownJob::Cancelling { is_ours } => return Cancelled::Recorded { is_ours },
                KnownJob::Open {
                    cancelled: true, ..
                } => return Cancelled::Confirmed,
                KnownJob::Open { .. } => {}
            }
            let Some(held) = self.shared().replica.jobs.get(id).cloned() else {
                continue;
            };
            let record = held.record.clone().into_cancelled();
            match self.change(id, held.mark, record).await {
                Ok(()) => {
                    self.wake_up();
                    let is_ours = held.record.owner == self.cell;
                    return Cancelled::Recorded { is_ours };
                }
                // It changed under us: it may have ended, or another cell owns it.
                Err(TxnError::Conflict(_)) => {}
                Err(_) => return Cancelled::Unclear,
            }
        }
        Cancelled::Unclear
    }

    /// Waits until a recorded cancellation may be told, because the job has ended or no controller can
    /// start it any more. False if that is not known within the time that a user waits.
    pub async fn settles(&self, id: &str) -> bool {
        let until = Instant::now() + CANCELLATION_SETTLES + PAUSE;
        while Instant::now() < until {
            match self.known(id).await {
                KnownJob::Over(FinalState::Cancelled)
                | KnownJob::Open {
                    cancelled: true, ..
                } => return true,
                KnownJob::Cancelling { .. } | KnownJob::Unclear => {}
                KnownJob::Open { .. } | KnownJob::Over(FinalState::Done) | KnownJob::Never => {
                    return false;
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        false
    }

    /// Waits for a reading of the ledger that was sent after this call, or for the others' word that
    /// nobody has it. One serves all who wait.
    pub async fn sync(&self) -> bool {
        let (send, receive) = oneshot::channel();
        self.waiters.lock().unwrap().push(send);
        self.sync_wanted.notify_one();
        receive.await.unwrap_or(false)
    }

    /// What this controller tells one of `cell` that has read the ledger up to `revision`.
    pub fn testify(&self, cell: &str, revision: u64) -> Testimony {
        let shared = self.shared();
        let now = Instant::now();
        let is_disconnected = shared.loaded && !shared.contact.has_ledger(WITHOUT_LEDGER, now);
        match shared.replica.lost_since(cell, revision) {
            Some(mut lost) => {
                // What it was told itself it passes on: who confirmed it may be out of the asker's reach.
                lost.extend(shared.contact.halted.iter().cloned());
                Testimony {
                    is_disconnected,
                    lost,
                }
            }
            None => Testimony::default(),
        }
    }

    /// Starts all that a controller does for the cells of its own accord.
    pub fn start<S: Scheduler>(self: &Arc<Self>, scheduler: Arc<S>) {
        tokio::spawn(follow(self.clone(), scheduler.clone()));
        tokio::spawn(serve_syncs(self.clone(), scheduler.clone()));
        tokio::spawn(keep_present(self.clone(), scheduler.clone()));
        tokio::spawn(reconcile(self.clone(), scheduler));
    }

    async fn transact(&self, transaction: &Transaction) -> Result<u64, TxnError> {
        let Transaction { guards, changes } = transaction;
        self.ledger.transact(guards, changes).await
    }

    async fn change(&self, id: &str, mark: u64, record: LedgerJob) -> Result<(), TxnError> {
        let changed = self
            .transact(&transaction::change(id, mark, &record))
            .await?;
        let now = Instant::now();
        self.shared().replica.note_job(id, record, changed, now);
        Ok(())
    }

    async fn look_up(&self, id: &str) -> Result<Option<FinalState>, ReadError> {
        let Some(value) = self.ledger.get(&final_key(id)).await? else {
            return Ok(None);
        };
        let last = serde_json::from_value(value).map_err(|_| ReadError::Failed)?;
        self.shared().replica.remember_final(id, last);
        Ok(Some(last))
    }

    /// One reading of the log.
    async fn turn<S: Scheduler>(&self, scheduler: &S, hold: Duration) -> Result<(), ReadError> {
        let from = self.shared().replica.revision;
        let sent = Instant::now();
        let body = self.ledger.follow(LIVE_PREFIX, from, hold).await?;
        let followed = Followed::decode(&body)?;
        let changed = !followed.log.is_empty();
        {
            let mut shared = self.shared();
            let Shared {
                replica, contact, ..
            } = &mut *shared;
            replica.take(followed.log, followed.ledger, Instant::now());
            contact.answered_at = contact.answered_at.max(Some(sent));
        }
        self.note_halted(scheduler);
        {
            let mut shared = self.shared();
            // Only once what it forbids is in force.
            if shared.replica.is_present(&self.cell) {
                shared.contact.read_at = shared.contact.read_at.max(Some(sent));
                shared.contact.attested_at = None;
            }
        }
        if changed {
            self.wake_up();
        }
        Ok(())
    }

    /// Brings up to date which jobs of the records must not run.
    fn note_halted<S: Scheduler>(&self, scheduler: &S) {
        let stamped = scheduler.stamped_jobs();
        let mut shared = self.shared();
        let halted = {
            let planner = self.planner.lock().unwrap();
            planner.halted(&shared.replica, &stamped)
        };
        if *shared.contact.halted != halted {
            shared.contact.halted = Arc::new(halted);
        }
    }

    async fn load<S: Scheduler>(&self, scheduler: &S) -> Result<(), ReadError> {
        let (pairs, revision) = self.ledger.list_all(LIVE_PREFIX).await?;
        self.shared().replica.reset(pairs, revision, Instant::now());
        self.turn(scheduler, Duration::ZERO).await
    }

    /// The others' word in place of a reading.
    async fn attest<S: Scheduler>(&self, scheduler: &S) -> bool {
        let (revision, ready) = {
            let shared = self.shared();
            let now = Instant::now();
            let lost = !shared.contact.has_ledger(WITHOUT_LEDGER, now);
            (shared.replica.revision, shared.loaded && lost)
        };
        if !ready {
            return false;
        }
        let asked = Instant::now();
        let Some(lost) = scheduler.ask_others(&self.cell, revision).await else {
            return false;
        };
        let mut shared = self.shared();
        if shared.replica.revision != revision {
            return false; // it has contact again
        }
        if !lost.is_empty() {
            let mut halted = (*shared.contact.halted).clone();
            halted.extend(lost);
            shared.contact.halted = Arc::new(halted);
        }
        shared.contact.attested_at = shared.contact.attested_at.max(Some(asked));
        true
    }
}

/// Loads the ledger's records once, then follows its log.
async fn follow<S: Scheduler>(cells: Arc<Cells>, scheduler: Arc<S>) {
    let hold = (cells.config.renew_without_ledger() / 3).clamp(SHORTEST_HOLD, LONGEST_HOLD);
    loop {
        if cells.load(&*scheduler).await.is_err() {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        cells.shared().loaded = true;
        loop {
            match cells.turn(&*scheduler, hold).await {
                Ok(()) => tokio::time::sleep(cells.ledger.follow_gap()).await,
                Err(ReadError::TooOld | ReadError::Gone) => break,
                Err(ReadError::Failed) => {
                    cells.attest(&*scheduler).await;
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
        cells.shared().loaded = false;
        tracing::info!("the ledger's log was cut before our place: loading anew");
    }
}

/// Serves those who wait for a reading of their own.
async fn serve_syncs<S: Scheduler>(cells: Arc<Cells>, scheduler: Arc<S>) {
    loop {
        cells.sync_wanted.notified().await;
        let waiters = std::mem::take(&mut *cells.waiters.lock().unwrap());
        if waiters.is_empty() {
            continue;
        }
        let loaded = cells.shared().loaded;
        let fresh = loaded
            && (cells.turn(&*scheduler, Duration::ZERO).await.is_ok()
                || cells.attest(&*scheduler).await);
        for waiter in waiters {
            let _ = waiter.send(fresh);
        }
        tokio::time::sleep(cells.ledger.sync_gap()).await;
    }
}

/// The leader keeps the cell's lease, and says what the cell has to offer.
async fn keep_present<S: Scheduler>(cells: Arc<Cells>, scheduler: Arc<S>) {
    let pause = (cells.config.cell_lease() / 6).min(ANNOUNCE_EVERY / 3);
    loop {
        let loaded = cells.shared().loaded;
        if loaded && scheduler.leads() {
            cells.stay_present(&*scheduler).await;
        }
        tokio::time::sleep(pause).await;
    }
}

impl Cells {
    async fn stay_present<S: Scheduler>(&self, scheduler: &S) {
        let held = self.shared().lease;
        let lease = match held {
            Some(lease) => match self.ledger.extend_lease(lease).await {
                Ok(()) => lease,
                Err(ReadError::Gone) => {
                    tracing::info!(cell = self.cell, "the cell's lease is over");
                    self.shared().lease = None;
                    return;
                }
                Err(_) => return,
            },
            None => match self.ledger.create_lease(self.config.cell_lease()).await {
                Ok(lease) => lease,
                Err(_) => return,
            },
        };
        self.shared().lease = Some(lease);
        self.say_present(scheduler, lease).await;
    }

    /// Registers the cell, or says anew what it has to offer.
    async fn say_present<S: Scheduler>(&self, scheduler: &S, lease: u64) {
        let presence = CellPresence {
            controller: self.controller.clone(),
            incarnation: self.incarnation,
            summary: scheduler.summary(),
        };
        let transaction = {
            let shared = self.shared();
            let cell = shared.replica.cells.get(&self.cell);
            let held = cell.and_then(|cell| cell.presence.as_ref());
            let ours = |held: &&Versioned<CellPresence>| {
                held.record.controller == self.controller
                    && held.record.incarnation == self.incarnation
            };
            let fresh = shared
                .announced_at
                .is_some_and(|at| at.elapsed() < ANNOUNCE_EVERY);
            match held.filter(ours) {
                Some(_) if fresh => return,
                Some(held) => transaction::announce(&self.cell, held, &presence, lease),
                None => {
                    tracing::info!(cell = self.cell, "registering the cell");
                    transaction::register(&shared.replica, &self.cell, &presence, lease)
                }
            }
        };
        match self.transact(&transaction).await {
            Ok(_) => self.shared().announced_at = Some(Instant::now()),
            Err(TxnError::NoLease) => self.shared().lease = None,
            Err(error) => tracing::debug!(%error, "the cell's presence was not written"),
        }
    }
}

/// The leader brings the ledger and the cell's own records to agree.
async fn reconcile<S: Scheduler>(cells: Arc<Cells>, scheduler: Arc<S>) {
    loop {
        let _ = tokio::time::timeout(ROUND_EVERY, cells.wake_up.notified()).await;
        let now = Instant::now();
        if !cells.shared().loaded {
            continue;
        }
        cells.note_halted(&*scheduler);
        // Without a fresh reading another cell may own by now what this one takes for its own.
        if !scheduler.leads() || !cells.permits_starts(now) {
            continue;
        }
        let actions = cells.planned(&*scheduler, now);
        carry_out(&cells, &scheduler, actions).await;
        tokio::time::sleep(PAUSE / 4).await;
    }
}

impl Cells {
    fn planned<S: Scheduler>(&self, scheduler: &S, now: Instant) -> Vec<Action> {
        let owned = {
            let shared = self.shared();
            self.planner.lock().unwrap().owned(&shared.replica)
        };
        let local = scheduler.local_jobs(&owned);
        let picture = Picture {
            owned: owned.into_iter().zip(local).collect(),
            stamped: scheduler.stamped_jobs(),
        };
        let lost: Vec<(String, LedgerJob)> = {
            let shared = self.shared();
            let planner = self.planner.lock().unwrap();
            let lost = planner.lost(&shared.replica, now).into_iter();
            lost.map(|(id, job)| (id.clone(), job.clone())).collect()
        };
        let runnable = lost.into_iter().filter(|(_, job)| scheduler.can_run(job));
        let runnable: BTreeSet<String> = runnable.map(|(id, _)| id).collect();
        let shared = self.shared();
        let mut planner = self.planner.lock().unwrap();
        planner.plan(&shared.replica, &picture, now, &runnable)
    }

    fn held(&self, id: &str) -> Option<Versioned<LedgerJob>> {
        self.shared().replica.jobs.get(id).cloned()
    }
}

async fn carry_out<S: Scheduler>(cells: &Arc<Cells>, scheduler: &Arc<S>, actions: Vec<Action>) {
    let mut adoptions = JoinSet::new();
    for action in actions {
        match action {
            Action::Adopt { id } => {
                let (cells, scheduler) = (cells.clone(), scheduler.clone());
                while adoptions.len() >= ADOPTED_AT_ONCE {
                    adoptions.join_next().await;
                }
                adoptions.spawn(async move { adopt(&cells, &*scheduler, &id).await });
            }
            action => act(cells, &**scheduler, action).await,
        }
    }
    while adoptions.join_next().await.is_some() {}
}

/// Puts an owned job into the cell's records.
pub(crate) async fn adopt<S: Scheduler>(cells: &Cells, scheduler: &S, id: &str) {
    let Some(held) = cells.held(id) else {
        return;
    };
    let Ok(adoption) = scheduler.adopt(id, &held.record, held.mark).await else {
        return;
    };
    let mut planner = cells.planner.lock().unwrap();
    match adoption {
        Adoption::Taken | Adoption::Ended => {}
        Adoption::GivenUp { epoch } => planner.note_given_up(id, epoch),
        Adoption::Unfit { reason } => {
            tracing::info!(job = id, reason, "the cell cannot run the job");
            planner.note_unfit(id, held.record.epoch, Instant::now());
        }
    }
}

async fn act<S: Scheduler>(cells: &Cells, scheduler: &S, action: Action) {
    // What gets no certain answer is planned again by what stands then.
    match action {
        Action::Adopt { id } => adopt(cells, scheduler, &id).await,
        Action::Cancel { id } => {
            let _ = scheduler.cancel(&id).await;
        }
        Action::Withdraw {
            id,
            stamp,
            only_unbegun,
        } => {
            let _ = scheduler.withdraw(&id, stamp, only_unbegun).await;
        }
        Action::GiveUp { id, epoch } => {
            if let Ok(true) = scheduler.give_up(&id, epoch).await {
                cells.planner.lock().unwrap().note_given_up(&id, epoch);
            }
        }
        Action::LookUp { id } => {
            let _ = cells.look_up(&id).await;
        }
        Action::Finish { .. }
        | Action::CancelInLedger { .. }
        | Action::HandOver { .. }
        | Action::Claim { .. }
        | Action::TakeOver { .. } => cells.change_ledger(&action).await,
    }
}

impl Cells {
    async fn change_ledger(&self, action: &Action) {
        let most = self.config.ledger.txn_ops;
        let step = transaction::step(&self.shared().replica, &self.cell, action, most);
        let Some(step) = step.filter(|step| !step.transaction.changes.is_empty()) else {
            return;
        };
        match self.transact(&step.transaction).await {
            Ok(mark) => {
                if matches!(action, Action::HandOver { .. } | Action::TakeOver { .. }) {
                    tracing::info!(?action, "jobs changed cells");
                }
                let mut shared = self.shared();
                for (id, record) in step.records {
                    shared.replica.note_job(&id, record, mark, Instant::now());
                }
                if let Some((id, last)) = step.ended {
                    shared.replica.remember_final(&id, last);
                }
            }
            Err(error) => tracing::debug!(?action, %error, "the ledger was not changed"),
        }
    }

    /// Other controllers' mesh addresses, of all cells.
    pub fn others(&self, own: SocketAddr) -> Vec<SocketAddr> {
        self.config.other_controllers(own)
    }
}
