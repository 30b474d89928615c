//! One controller node: what its slices share, behind one short lock, and how they are started.

use crate::cloud::{CloudClient, MachineType};
use crate::jobs::failures::Failures;
use crate::jobs::pending_changes::PendingChanges;
use crate::jobs::runtime_estimate::RuntimeEstimate;
use crate::jobs::{JobSpec, PageLayout, TaskId, TaskRecord};
use crate::limits::TeamQuotas;
use crate::membership::MembershipState;
use crate::membership::assignment::Member;
use crate::membership::schema_versions::FeatureLevel;
use crate::mesh::attestation::PeerStatus;
use crate::metrics::memory::MemoryPressure;
use crate::metrics::{Metrics, ProcessorTime};
use crate::placement::snapshot_cache::SnapshotCache;
use crate::policy::Policy;
use crate::renting::service::RentState;
use crate::settings::Settings;
use crate::state::{Operation, Precondition, RecordKey, Replica, StateClient};
use crate::workers::{Ownership, Workers};
use rowanmill_cells::{CellCoordinator, CellsConfig};
use rowanmill_limits::LimitsConfig;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, oneshot, watch};

/// What the slices share of one node's state, each in its own part.
pub struct Core {
    pub replica: Replica,
    /// When the request was sent whose answer last proved contact with the state service and
    /// brought all changes up to then.
    pub last_read_barrier: Option<Instant>,
    /// Since when it has had contact without a longer break.
    pub connected_since: Option<Instant>,
    pub loaded: bool,
    pub membership: MembershipState,
    pub pending_changes: PendingChanges,
    pub limits: TeamQuotas,
    pub workers: Workers,
    pub runtime_estimates: HashMap<String, RuntimeEstimate>,
    pub failures: HashMap<String, Failures>,
    pub kinds: Vec<MachineType>,
    pub rent: RentState,
    pub views: SnapshotCache,
    pub metrics: Metrics,
}

pub struct Node {
    pub settings: Settings,
    pub policy: Policy,
    pub identity: Member,
    /// What this process supports, see `membership::schema_versions`.
    pub supported_level: FeatureLevel,
    pub state: StateClient,
    pub cloud: CloudClient,
    core: Mutex<Core>,
    read_barrier_waiters: Mutex<Vec<oneshot::Sender<bool>>>,
    pub read_barrier_requested: Notify,
    /// Something changed that the placing loop should look at.
    pub wake_up: Notify,
    /// Placing ticks, counted as they begin and as they end.
    ticks: watch::Sender<(u64, u64)>,
    heard: Mutex<PeerStatus>,
    /// The cells that share work, if an operators' file names them.
    pub cells: Option<Arc<CellCoordinator>>,
    pub processor_time: ProcessorTime,
    pub memory: MemoryPressure,
}

/// For so long no other controller has answered, each asked once a second.
const PEERS_SILENT: Duration = Duration::from_secs(5);

impl Node {
    pub fn new(supported_level: FeatureLevel, settings: Settings, policy: Policy) -> Self {
        let now = Instant::now();
        Self {
            supported_level,
            identity: Member {
                name: settings.member.clone(),
                incarnation: rand::random::<u64>() >> 12,
            },
            state: StateClient::new(
                settings.endpoints.state,
                settings.state_quota(),
                settings.announced_state_quota(),
            ),
            cloud: CloudClient::new(settings.endpoints.cloud),
            core: Mutex::new(Core::new(settings.page_layout(), now)),
            read_barrier_waiters: Mutex::default(),
            read_barrier_requested: Notify::new(),
            wake_up: Notify::new(),
            ticks: watch::Sender::new((0, 0)),
            heard: Mutex::default(),
            cells: None,
            processor_time: ProcessorTime::default(),
            memory: MemoryPressure::new(settings.params.limits.mem_mb),
            settings,
            policy,
        }
    }

    /// Divides teams' limits with the other controllers, as far as all of them can.
    pub fn with_limits(mut self, config: Option<LimitsConfig>) -> Self {
        let config = match config {
            Some(config) => {
                self.supported_level = self.supported_level.max(FeatureLevel::DIVIDED_QUOTAS);
                config
            }
            None => LimitsConfig::default(),
        };
        self.core().limits = TeamQuotas::from_settings(config, &self.settings);
        self
    }

    /// Takes part in the cells of an operators' file, as a controller of `cell`.
    pub fn in_cell(mut self, config: CellsConfig, cell: &str) -> Self {
        let Member { name, incarnation } = &self.identity;
        self.cells = Some(Arc::new(CellCoordinator::new(
            config,
            cell,
            name,
            *incarnation,
        )));
        self
    }

    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap()
    }

    /// What the other controllers told over the mesh. Taken after the core, if both are.
    pub fn peer_status(&self) -> MutexGuard<'_, PeerStatus> {
        self.heard.lock().unwrap()
    }

    /// Waits for a read of the state service that was sent after this call: whatever any node
    /// told any user before is then in the replica. One read serves all who wait.
    pub async fn read_barrier(&self) -> bool {
        let (send, receive) = oneshot::channel();
        self.read_barrier_waiters.lock().unwrap().push(send);
        self.read_barrier_requested.notify_one();
        receive.await.unwrap_or(false)
    }

    pub fn begin_scheduling_cycle(&self) {
        self.ticks.send_modify(|(begun, _)| *begun += 1);
    }

    pub fn end_scheduling_cycle(&self) {
        self.ticks.send_modify(|(begun, ended)| *ended = *begun);
    }

    /// Waits until a tick that begins after this call has ended, but no longer than `limit`.
    pub async fn await_next_scheduling_cycle(&self, limit: Duration) {
        let mut ticks = self.ticks.subscribe();
        let wanted = ticks.borrow().0 + 1;
        let ended = ticks.wait_for(|(_, ended)| *ended >= wanted);
        let _ = tokio::time::timeout(limit, ended).await;
    }

    pub fn take_read_barrier_waiters(&self) -> Vec<oneshot::Sender<bool>> {
        std::mem::take(&mut *self.read_barrier_waiters.lock().unwrap())
    }

    /// Whether this node is cut off from the state service while others reach it: then its
    /// presence is over, and its machines belong to others. In an outage for all, leases stand
    /// still and the machines stay.
    pub fn is_partitioned(&self) -> bool {
        let others = self.peer_status().state_service_reached_at;
        let ttl = self.settings.presence_ttl();
        let proof = self.core().membership.election.lease_renewed_at();
        proof.is_none_or(|p| p.elapsed() > ttl)
            && others.is_some_and(|at| at.elapsed() < Duration::from_secs(4))
    }

    /// Whether a report from this worker is answered by sending it on: it must find its new owner,
    /// and as long as it gets a 200 it stays here.
    pub fn redirects_worker(&self, machine: &str) -> bool {
        if self.is_partitioned() {
            return true;
        }
        let silent = |last: Option<Instant>| last.is_none_or(|at| at.elapsed() > PEERS_SILENT);
        let lost_for = |d| {
            self.core()
                .membership
                .election
                .lease_renewed_at()
                .is_none_or(|p| p.elapsed() > d)
        };
        let alone = self.settings.params.size > 1
            && lost_for(self.settings.presence_ttl() + PEERS_SILENT)
            && silent(self.peer_status().last_response_at);
        let mut core = self.core();
        core.membership
            .probe
            .redirects(machine, alone, Instant::now())
    }

    /// Whether a worker's report may be answered, which renews its lease. A cancellation that this
    /// node has not heard of would outlive `cancel_s` on a machine that it keeps alive. So it must
    /// have read the records within `disconnected_lease_limit`, or every other controller must have told it
    /// within that time what was cancelled, having no contact either.
    pub fn may_renew_leases(&self) -> bool {
        let blind = self.settings.disconnected_lease_limit();
        let core = self.core();
        let Some(proof) = core.last_read_barrier.filter(|_| core.loaded) else {
            return false;
        };
        let peers = self.settings.peers.iter().map(|p| p.member.as_str());
        let all_are_known = self.settings.peers.len() + 1 >= self.settings.params.size as usize;
        let vouched = self.peer_status().attested(peers).filter(|_| all_are_known);
        proof.max(vouched.unwrap_or(proof)).elapsed() <= blind
    }

    /// Whether the state service answered lately.
    pub fn is_connected_within(&self, within: Duration) -> bool {
        self.core()
            .last_read_barrier
            .is_some_and(|p| p.elapsed() <= within)
    }
}

impl Core {
    pub fn new(layout: PageLayout, now: Instant) -> Self {
        Self {
            replica: Replica::new(layout),
            last_read_barrier: None,
            connected_since: None,
            loaded: false,
            membership: MembershipState::default(),
            pending_changes: PendingChanges::default(),
            limits: TeamQuotas::default(),
            workers: Workers::default(),
            runtime_estimates: HashMap::new(),
            failures: HashMap::new(),
            kinds: Vec::new(),
            rent: RentState::new(now),
            views: SnapshotCache::new(now),
            metrics: Metrics::new(now),
        }
    }

    /// Where a task stands, with what is about to be recorded.
    pub fn task_record(&self, job: &str, task: u32) -> &TaskRecord {
        match self.pending_changes.get(job, task) {
            Some(planned) => planned,
            None => self.replica.task_record(job, task),
        }
    }

    pub fn record_change(&mut self, id: &TaskId, entry: TaskRecord) {
        let held = self.replica.task_record(&id.job, id.index);
        self.pending_changes.record(id, held, entry);
    }

    pub fn discard_change(&mut self, id: &TaskId) {
        let held = self.replica.task_record(&id.job, id.index);
        self.pending_changes.discard(id, held);
    }

    pub fn kind(&self, name: &str) -> Option<&MachineType> {
        self.kinds.iter().find(|k| k.name == name)
    }

    /// The expected run time of a job's tasks.
    pub fn duration(&self, spec: &JobSpec) -> f64 {
        if spec.is_service() {
            return SERVICE_RUNS_S;
        }
        let factor = self
            .runtime_estimates
            .get(&spec.class)
            .map_or(1.0, RuntimeEstimate::factor);
        (spec.estimate_s * factor).max(0.5)
    }

    /// Whether a machine has work of the sort that it was rented for: on one with GPUs, work
    /// without does not count, which would keep it at many times the price of its CPUs.
    pub fn runs_intended_work(&self, name: &str, kind: &str) -> bool {
        let open = self.views.opened.contains(name);
        let needs_gpus = !open && self.kind(kind).is_some_and(|k| k.gpus > 0.0);
        let on = self
            .replica
            .tasks_by_machine
            .get(name)
            .into_iter()
            .flatten();
        on.filter_map(|task| self.replica.jobs.get(&task.job))
            .any(|job| !needs_gpus || job.record.spec.gpus > 0.0)
    }

    /// Takes in our own changes as soon as they are answered.
    pub fn apply(&mut self, ops: Vec<Operation>, revision: u64) {
        if revision <= self.replica.revision {
            return; // the log was faster, and may have told of the record's end since
        }
        for op in ops {
            match op {
                Operation::Put { key, value, .. } => {
                    self.replica.apply_put(&key, value.get(), revision)
                }
                Operation::Delete { key } => self.replica.apply_delete(&key, revision),
            }
        }
    }

    /// Whether this node places a job's tasks and ends it.
    pub fn owns_job(&self, me: &Member, id: &str) -> bool {
        let job = self.replica.jobs.get(id);
        job.is_some_and(|job| self.replica.owner_of(&job.record) == Some(me))
    }

    /// The guard under which what is planned on a machine holds: its rental's key, which changes
    /// with the machine's owner and with its way back. A machine in no record is provably gone.
    pub fn machine_precondition(&self, machine: &str) -> Option<Precondition> {
        let machine = self.replica.fleet.machines.get(machine)?;
        let kept = self.replica.fleet.rentals.get(&machine.rental)?;
        Some(Precondition {
            key: RecordKey::Rental(&machine.rental).into(),
            revision: kept.revision,
        })
    }

    /// Keeps what is known in memory to the machines that this node owns. Only machines whose
    /// records changed are looked at.
    pub fn update_ownership(&mut self, me: &Member, now: Instant) {
        for name in self.replica.fleet.take_changed_machines() {
            self.update_owner(me, &name, now);
        }
    }

    /// A new token of an owned machine means that it was another's in between, who acted on it:
    /// what was seen before is void, and what is true of it will be reported again.
    pub fn update_owner(&mut self, me: &Member, name: &str, now: Instant) {
        self.pending_changes.mark_machine_changed(name);
        let machine = self.replica.fleet.machines.get(name);
        let token = machine.filter(|m| m.owner == *me).map(|m| m.fencing_token);
        let known = self.workers.owned.get(name).map(|o| o.fencing_token);
        if token == known {
            return;
        }
        match token {
            Some(token) => {
                let ownership = Ownership {
                    since: now,
                    fencing_token: token,
                };
                self.workers.owned.insert(name.to_owned(), ownership);
            }
            None => {
                self.workers.owned.remove(name);
                self.rent.closing.remove(name);
            }
        }
        self.forget_seen(name);
    }

    fn forget_seen(&mut self, name: &str) {
        self.workers.agents.remove(name);
        // A response that is held back there now names the owner.
        self.workers.release_held_response(name);
        let on = self
            .replica
            .tasks_by_machine
            .get(name)
            .cloned()
            .unwrap_or_default();
        // Starts planned there and not written yet, too: nobody else would ever take them back, and
        // their tasks would count as placed for ever.
        let planned: Vec<TaskId> = self.pending_changes.starts_on(name).cloned().collect();
        for id in on.into_iter().chain(planned) {
            self.discard_change(&id);
        }
    }
}

/// A service's tasks run until it is cancelled: no room is expected from them before long.
const SERVICE_RUNS_S: f64 = 86_400.0;

pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Seconds from the epoch-based time `ms` until now; negative if it is to come.
pub fn age_s(ms: u64, now_ms: u64) -> f64 {
    (now_ms as f64 - ms as f64) / 1000.0
}
