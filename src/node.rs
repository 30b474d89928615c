//! One controller node: what its slices share, behind one short lock, and how they are started.

use crate::cloud::{CloudClient, Kind};
use crate::jobs::{Entry, JobSpec};
use crate::membership::shares::Member;
use crate::policy::Policy;
use crate::renting::service::RentState;
use crate::settings::Settings;
use crate::state::{Op, Replica, StateClient};
use crate::workers::{Live, Stops, TaskId};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, oneshot, watch};

/// Run times of a class: actual over the owner's estimate, as mean and deviation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Learned {
    pub count: f64,
    mean: f64,
    m2: f64,
}

impl Learned {
    pub fn add(&mut self, ratio: f64) {
        self.count += 1.0;
        let delta = ratio - self.mean;
        self.mean += delta / self.count;
        self.m2 += delta * (ratio - self.mean);
    }

    /// The paper's estimate, past mean plus one deviation, as a factor on the owner's estimate.
    pub fn factor(&self) -> f64 {
        if self.count < 4.0 {
            return 1.0;
        }
        self.mean + (self.m2 / (self.count - 1.0)).sqrt()
    }

    pub fn mean(&self) -> f64 {
        if self.count < 4.0 { 1.0 } else { self.mean }
    }
}

/// How a job's tasks have failed.
#[derive(Debug, Clone, Default)]
pub struct Failures {
    pub machines: HashSet<String>,
    pub count: u32,
    pub last: Option<Instant>,
}

impl Failures {
    /// Failing wherever it is tried: no machine cures that.
    pub fn is_everywhere(&self) -> bool {
        self.machines.len() >= 2
    }

    /// Not to be tried again before this.
    pub fn not_before(&self) -> Option<Instant> {
        let wait = Duration::from_secs(1 << self.count.min(5));
        self.last.filter(|_| self.is_everywhere()).map(|l| l + wait)
    }
}

/// Changes to progress pages that are not recorded yet.
pub type Overlay = BTreeMap<(String, usize), BTreeMap<u32, Entry>>;

pub struct Core {
    pub replica: Replica,
    /// When the request was sent whose answer last proved contact with the state service and
    /// brought all changes up to then.
    pub proof: Option<Instant>,
    pub loaded: bool,
    pub lease: Option<u64>,
    /// When the last call was sent that renewed the presence lease.
    pub lease_proof: Option<Instant>,
    /// Mark of the leader key under which this node did the leader's duties last.
    pub leading: Option<u64>,
    /// When machines changed hands last.
    pub shared_at: Option<Instant>,
    /// Since when this node has owned each of its machines under its present mark, and the mark.
    pub owned: HashMap<String, (Instant, u64)>,
    pub overlay: Overlay,
    pub live: HashMap<String, Live>,
    pub stops: Stops,
    pub learned: HashMap<String, Learned>,
    pub failures: HashMap<String, Failures>,
    pub kinds: Vec<Kind>,
    pub rent: RentState,
    /// This node cannot hear most workers and leaves the lead to others until then.
    pub stand_back_until: Option<Instant>,
}

pub struct Node {
    pub settings: Settings,
    pub policy: Policy,
    pub me: Member,
    pub state: StateClient,
    pub cloud: CloudClient,
    core: Mutex<Core>,
    sync_waiters: Mutex<Vec<oneshot::Sender<bool>>>,
    pub sync_wanted: Notify,
    /// Something changed that the placing loop should look at.
    pub stirred: Notify,
    /// Placing ticks, counted as they begin and as they end.
    ticks: watch::Sender<(u64, u64)>,
    pub peers_have_state: Mutex<Option<Instant>>,
}

impl Node {
    pub fn new(settings: Settings, policy: Policy) -> Self {
        let now = Instant::now();
        let write_share = settings.params.state.write_rps / f64::from(settings.params.size);
        Self {
            me: Member {
                name: settings.member.clone(),
                incarnation: rand::random::<u64>() >> 12,
            },
            state: StateClient::new(settings.endpoints.state, write_share),
            cloud: CloudClient::new(settings.endpoints.cloud),
            core: Mutex::new(Core::new(settings.page_len(), now)),
            sync_waiters: Mutex::default(),
            sync_wanted: Notify::new(),
            stirred: Notify::new(),
            ticks: watch::Sender::new((0, 0)),
            peers_have_state: Mutex::new(None),
            settings,
            policy,
        }
    }

    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap()
    }

    /// Waits for a read of the state service that was sent after this call: whatever any node
    /// told any user before is then in the replica. One read serves all who wait.
    pub async fn sync(&self) -> bool {
        let (send, receive) = oneshot::channel();
        self.sync_waiters.lock().unwrap().push(send);
        self.sync_wanted.notify_one();
        receive.await.unwrap_or(false)
    }

    pub fn tick_begins(&self) {
        self.ticks.send_modify(|(begun, _)| *begun += 1);
    }

    pub fn tick_ended(&self) {
        self.ticks.send_modify(|(begun, ended)| *ended = *begun);
    }

    /// Waits until a tick that begins after this call has ended, but no longer than `limit`.
    pub async fn next_tick(&self, limit: Duration) {
        let mut ticks = self.ticks.subscribe();
        let wanted = ticks.borrow().0 + 1;
        let ended = ticks.wait_for(|(_, ended)| *ended >= wanted);
        let _ = tokio::time::timeout(limit, ended).await;
    }

    pub fn take_sync_waiters(&self) -> Vec<oneshot::Sender<bool>> {
        std::mem::take(&mut *self.sync_waiters.lock().unwrap())
    }

    /// Whether this node is cut off from the state service while others reach it: then its
    /// presence is over, and its machines belong to others. In an outage for all, leases stand
    /// still and the machines stay.
    pub fn is_cut_off(&self) -> bool {
        let ttl = self.settings.presence_ttl();
        let proof = self.core().lease_proof;
        let others = *self.peers_have_state.lock().unwrap();
        proof.is_none_or(|p| p.elapsed() > ttl)
            && others.is_some_and(|at| at.elapsed() < Duration::from_secs(4))
    }

    /// Whether the state service answered lately.
    pub fn has_state(&self, within: Duration) -> bool {
        self.core().proof.is_some_and(|p| p.elapsed() <= within)
    }
}

impl Core {
    pub fn new(page_len: usize, now: Instant) -> Self {
        Self {
            replica: Replica::new(page_len),
            proof: None,
            loaded: false,
            lease: None,
            lease_proof: None,
            leading: None,
            shared_at: None,
            owned: HashMap::new(),
            overlay: Overlay::new(),
            live: HashMap::new(),
            stops: Stops::new(),
            learned: HashMap::new(),
            failures: HashMap::new(),
            kinds: Vec::new(),
            rent: RentState::new(now),
            stand_back_until: None,
        }
    }

    /// Where a task stands, with what is about to be recorded.
    pub fn entry(&self, job: &str, task: u32) -> Entry {
        let page = self.replica.page_of(task);
        if let Some(changes) = self.overlay.get(&(job.to_owned(), page))
            && let Some(entry) = changes.get(&task)
        {
            return entry.clone();
        }
        match self.replica.jobs.get(job) {
            Some(job) => job.entry(self.replica.page_len, task),
            None => Entry::default(),
        }
    }

    pub fn plan(&mut self, id: &TaskId, entry: Entry) {
        let page = self.replica.page_of(id.1);
        let changes = self.overlay.entry((id.0.clone(), page)).or_default();
        changes.insert(id.1, entry);
    }

    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.iter().find(|k| k.name == name)
    }

    /// The expected run time of a job's tasks.
    pub fn duration(&self, spec: &JobSpec) -> f64 {
        let factor = self.learned.get(&spec.class).map_or(1.0, Learned::factor);
        (spec.estimate_s * factor).max(0.5)
    }

    /// Whether a machine has work of the sort that it was rented for: on one with GPUs, work
    /// without does not count, which would keep it at many times the price of its CPUs.
    pub fn serves_its_purpose(&self, name: &str, kind: &str) -> bool {
        let needs_gpus = self.kind(kind).is_some_and(|k| k.gpus > 0.0);
        let on = self.replica.on.get(name).into_iter().flatten();
        on.filter_map(|(job, _)| self.replica.jobs.get(job))
            .any(|job| !needs_gpus || job.record.spec.gpus > 0.0)
    }

    /// Takes in our own changes as soon as they are answered.
    pub fn apply(&mut self, ops: Vec<Op>, ledger: u64) {
        for op in ops {
            match op {
                Op::Set { set, data, .. } => self.replica.put(&set, data, ledger),
                Op::Drop { drop } => self.replica.remove(&drop, ledger),
            }
        }
    }

    /// Whether this node places a job's tasks and ends it.
    pub fn owns_job(&self, me: &Member, id: &str) -> bool {
        let job = self.replica.jobs.get(id);
        job.is_some_and(|job| self.replica.owner_of_team(&job.record.spec.team) == Some(me))
    }

    /// Keeps what is known in memory to the machines that this node owns.
    pub fn note_ownership(&mut self, me: &Member, now: Instant) {
        let machines = &self.replica.machines;
        let ours = |name: &String| machines.get(name).is_some_and(|k| k.record.owner == *me);
        self.live.retain(|name, _| ours(name));
        let lost: Vec<String> = self.owned.keys().filter(|n| !ours(n)).cloned().collect();
        self.owned.retain(|name, _| ours(name));
        self.rent.closing.retain(|name, _| ours(name));
        let names: Vec<String> = machines.keys().filter(|n| ours(n)).cloned().collect();
        for name in lost {
            self.forget_seen(&name);
        }
        for name in names {
            self.note_mark(&name, now);
        }
    }

    /// A new mark on an owned machine's key may mean that it was another's in between, who acted
    /// on it: what was seen before is void, and what is true of it will be reported again.
    pub fn note_mark(&mut self, name: &str, now: Instant) {
        let Some(mark) = self.replica.machines.get(name).map(|k| k.mark) else {
            return;
        };
        if self
            .owned
            .get(name)
            .is_some_and(|(_, known)| *known == mark)
        {
            return;
        }
        self.owned.insert(name.to_owned(), (now, mark));
        self.forget_seen(name);
    }

    fn forget_seen(&mut self, name: &str) {
        self.live.remove(name);
        let on = self.replica.on.get(name).cloned().unwrap_or_default();
        for (job, task) in on {
            let page = self.replica.page_of(task);
            if let Some(changes) = self.overlay.get_mut(&(job, page)) {
                changes.remove(&task);
            }
        }
    }
}

pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Seconds from the epoch-based time `ms` until now; negative if it is to come.
pub fn age_s(ms: u64, now_ms: u64) -> f64 {
    (now_ms as f64 - ms as f64) / 1000.0
}
