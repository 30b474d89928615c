//! A controller process: its identity, its clients, and the state that its modules share behind one mutex. The mutex is
//! held only for short computations and never across an `await`. Each module defines the type of its own part of the
//! state; the methods here combine several parts.

mod clock;
mod contact;
mod lock;
mod ownership;
mod read_barrier;
mod scheduling_cycles;
mod tasks;

pub use clock::{age_s, wall_ms};
pub use lock::{CoreGuard, LockTimes};

use crate::cloud::{CloudClient, MachineType};
use crate::jobs::PageLayout;
use crate::jobs::failures::Failures;
use crate::jobs::pending_changes::PendingChanges;
use crate::jobs::runtime_estimate::RuntimeEstimate;
use crate::limits::TeamQuotas;
use crate::membership::MembershipState;
use crate::membership::assignment::Member;
use crate::membership::schema_versions::FeatureLevel;
use crate::mesh::attestation::PeerStatus;
use crate::metrics::memory::MemoryPressure;
use crate::metrics::{Metrics, PhaseTimes, ProcessorTime};
use crate::placement::snapshot_cache::SnapshotCache;
use crate::policy::Policy;
use crate::renting::state::ScalingState;
use crate::settings::Settings;
use crate::state::{Operation, Replica, StateClient};
use crate::workers::Workers;
use lock::StateLock;
use read_barrier::ReadBarriers;
use rowanmill_cells::{CellCoordinator, CellsConfig};
use rowanmill_limits::LimitsConfig;
use scheduling_cycles::SchedulingCycles;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use tokio::sync::Notify;

/// The state that the modules of a controller share.
pub struct Core {
    /// Local copy of the live records in the state service.
    pub replica: Replica,
    /// Send time of the last request that the state service answered with all changes; the replica holds every
    /// change that was committed before this time.
    pub last_read_barrier: Option<Instant>,
    /// Start of the current period of contact with the state service, without a break longer than
    /// `state::watch::CONTACT_TIMEOUT`.
    pub connected_since: Option<Instant>,
    /// Whether the initial load of the replica is complete.
    pub loaded: bool,
    pub membership: MembershipState,
    /// Changes to task records that are planned but not written yet.
    pub pending_changes: PendingChanges,
    pub limits: TeamQuotas,
    pub workers: Workers,
    /// Run time estimates, by job class.
    pub runtime_estimates: HashMap<String, RuntimeEstimate>,
    /// Recent task failures, by job.
    pub failures: HashMap<String, Failures>,
    /// Machine types in the cloud's catalogue; empty until the catalogue has been read.
    pub machine_types: Vec<MachineType>,
    /// Demand forecasts, scaling decisions and rentals in progress.
    pub scaling: ScalingState,
    /// Cached input of the snapshots that placement works on.
    pub snapshots: SnapshotCache,
    pub metrics: Metrics,
}

/// One controller process.
pub struct Node {
    pub settings: Settings,
    pub policy: Policy,
    pub identity: Member,
    /// Features that this process supports, see `membership::schema_versions`.
    pub supported_level: FeatureLevel,
    pub state: StateClient,
    pub cloud: CloudClient,
    core: StateLock,
    pub read_barriers: ReadBarriers,
    /// Starts the next scheduling cycle early, after a change that it should consider.
    pub wake_up: Notify,
    pub scheduling_cycles: SchedulingCycles,
    peer_status: Mutex<PeerStatus>,
    /// Exchanges jobs with other cells; `None` unless the operators configured cells.
    pub cells: Option<Arc<CellCoordinator>>,
    pub processor_time: ProcessorTime,
    pub phase_times: PhaseTimes,
    pub memory: MemoryPressure,
}

impl Node {
    /// Creates a controller with a new random incarnation. It contacts no other service yet.
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
            core: StateLock::new(Core::new(settings.page_layout(), now)),
            read_barriers: ReadBarriers::default(),
            wake_up: Notify::new(),
            scheduling_cycles: SchedulingCycles::default(),
            peer_status: Mutex::default(),
            cells: None,
            processor_time: ProcessorTime::default(),
            phase_times: PhaseTimes::default(),
            memory: MemoryPressure::new(settings.params.limits.mem_mb),
            settings,
            policy,
        }
    }

    /// Sets the limits. With a `config`, this controller announces that it can divide the teams' quotas among the
    /// controllers, which happens once all of them support it.
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

    /// Joins the cells configured by the operators, as a controller of `cell`.
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

    /// Locks the shared state. The guard must not be held across an `await`.
    #[track_caller]
    pub fn core(&self) -> CoreGuard<'_> {
        self.core.lock()
    }

    /// Waits for the shared state's lock and times for which it was held, since the last call.
    pub fn take_lock_times(&self) -> LockTimes {
        self.core.take_times()
    }

    /// Locks the peers' latest answers. Lock order: if both are needed, lock the shared state first.
    pub fn peer_status(&self) -> MutexGuard<'_, PeerStatus> {
        self.peer_status.lock().unwrap()
    }

    /// Waits for a read of the state service that is sent after this call, and returns whether it succeeded. After a
    /// success, the replica holds everything that any controller confirmed to a user before this call.
    pub async fn read_barrier(&self) -> bool {
        self.read_barriers.wait().await
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
            machine_types: Vec::new(),
            scaling: ScalingState::new(now),
            snapshots: SnapshotCache::new(now),
            metrics: Metrics::new(now),
        }
    }

    /// Applies a transaction of this controller that the state service committed at `revision`, without waiting for
    /// the watch to report it.
    pub fn apply(&mut self, ops: Vec<Operation>, revision: u64) {
        if revision <= self.replica.revision {
            // The watch has already reported this transaction, and possibly a later deletion of the same record.
            return;
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
}
