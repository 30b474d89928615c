//! One controller: its identity and clients, and the state that its slices share behind one lock, which is held for short
//! computations alone and never while waiting. What a slice keeps is a type of its own; here is only what relates several.

mod clock;
mod contact;
mod ownership;
mod read_barrier;
mod scheduling_cycles;
mod tasks;

pub use clock::{age_s, wall_ms};

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
use crate::metrics::{Metrics, ProcessorTime};
use crate::placement::snapshot_cache::SnapshotCache;
use crate::policy::Policy;
use crate::renting::state::ScalingState;
use crate::settings::Settings;
use crate::state::{Operation, Replica, StateClient};
use crate::workers::Workers;
use read_barrier::ReadBarriers;
use rowanmill_cells::{CellCoordinator, CellsConfig};
use rowanmill_limits::LimitsConfig;
use scheduling_cycles::SchedulingCycles;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use tokio::sync::Notify;

/// The state that the slices share, each in a part of its own.
pub struct Core {
    /// All live records, as last read.
    pub replica: Replica,
    /// When the request was sent whose answer last proved contact with the state service and brought all changes up
    /// to then.
    pub last_read_barrier: Option<Instant>,
    /// Since when there has been contact without a longer break.
    pub connected_since: Option<Instant>,
    /// Whether the replica was read completely.
    pub loaded: bool,
    pub membership: MembershipState,
    /// Changes of tasks' records that are planned and not written yet.
    pub pending_changes: PendingChanges,
    pub limits: TeamQuotas,
    pub workers: Workers,
    /// By job class.
    pub runtime_estimates: HashMap<String, RuntimeEstimate>,
    /// Recent failures, by job.
    pub failures: HashMap<String, Failures>,
    /// Machine types of the cloud's catalogue; empty until it was read.
    pub machine_types: Vec<MachineType>,
    /// Forecasts, decisions and rentals in progress.
    pub scaling: ScalingState,
    /// What snapshots for placement are made from.
    pub snapshots: SnapshotCache,
    pub metrics: Metrics,
}

/// One controller process.
pub struct Node {
    pub settings: Settings,
    pub policy: Policy,
    pub identity: Member,
    /// What this process supports, see `membership::schema_versions`.
    pub supported_level: FeatureLevel,
    pub state: StateClient,
    pub cloud: CloudClient,
    core: Mutex<Core>,
    pub read_barriers: ReadBarriers,
    /// Starts the next scheduling cycle early: something changed that it should consider.
    pub wake_up: Notify,
    pub scheduling_cycles: SchedulingCycles,
    peer_status: Mutex<PeerStatus>,
    /// The cells that share work, if an operators' file names them.
    pub cells: Option<Arc<CellCoordinator>>,
    pub processor_time: ProcessorTime,
    pub memory: MemoryPressure,
}

impl Node {
    /// A controller before its first contact with anything, as a new incarnation.
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
            read_barriers: ReadBarriers::default(),
            wake_up: Notify::new(),
            scheduling_cycles: SchedulingCycles::default(),
            peer_status: Mutex::default(),
            cells: None,
            processor_time: ProcessorTime::default(),
            memory: MemoryPressure::new(settings.params.limits.mem_mb),
            settings,
            policy,
        }
    }

    /// Divides teams' quotas with the other controllers, as far as all of them support it.
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

    /// Locks the shared state. Never hold the guard across an `await`.
    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap()
    }

    /// Locks what the peers answered over the mesh. Locked after the shared state, if both are.
    pub fn peer_status(&self) -> MutexGuard<'_, PeerStatus> {
        self.peer_status.lock().unwrap()
    }

    /// Waits for a read of the state service that was sent after this call; whether it succeeded. Whatever any
    /// controller answered any user before this call is then in the replica.
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

    /// Applies this controller's own transaction as soon as it is answered.
    pub fn apply(&mut self, ops: Vec<Operation>, revision: u64) {
        if revision <= self.replica.revision {
            // The watch was faster, and may have brought the record's deletion since.
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
