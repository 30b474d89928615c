//! A job as packing and forecasts see it: what its tasks request, where they may run, when they are
//! due. Times are seconds from the moment of the snapshot.

use super::machine::MachineSnapshot;
use super::resources::Resources;
use crate::jobs::Urgency;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

/// How many tasks of a job run in each (interned) zone.
pub type TasksByZone = BTreeMap<u32, u32>;

/// The event of a job that a service-level objective times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Milestone {
    /// Its tasks run.
    Start,
    /// Its tasks are complete.
    Finish,
}

/// A source of equal machines, by interned names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolId {
    /// The machine type.
    pub machine_type: u32,
    /// The zone.
    pub zone: u32,
    /// Whether they are spot machines.
    pub spot: bool,
}

/// A job with tasks that wait for machines.
#[derive(Debug, Clone)]
pub struct JobSnapshot {
    /// The job's id.
    pub id: String,
    /// Its index among the jobs of this snapshot.
    pub index: usize,
    /// Whether its tasks start together or not at all.
    pub gang: bool,
    /// What one task requests.
    pub resources: Resources,
    /// Its task fills most of a machine: smaller work must not take the capacity piece by piece.
    pub large: bool,
    /// Interned machine types that it may run on, best first.
    pub machine_types: Vec<u32>,
    /// The only zone that it may run in.
    pub zone: Option<u32>,
    /// Whether it may run on spot machines.
    pub spot: bool,
    /// Whether all its tasks must run in the same zone.
    pub one_zone: bool,
    /// Most tasks that may be in one zone at a time.
    pub most_in_zone: u32,
    /// Tasks that are on machines now, by zone.
    pub zones: TasksByZone,
    /// Indices of the tasks that wait.
    pub waiting: Arc<Vec<u32>>,
    /// Tasks that were started or are done: they count towards the startup tasks.
    pub started: u32,
    /// When it was submitted or released; not positive.
    pub arrived: f64,
    /// All unfinished jobs of its team fit into the team's guarantee: it need not wait for others.
    pub guaranteed: bool,
    /// Its urgency, or a higher one of a job that depends on it.
    pub urgency: Urgency,
    /// When its tasks should reach `due_milestone`.
    pub due: f64,
    /// The next later due time that it could still meet.
    pub next_due: f64,
    /// What is due at `due`.
    pub due_milestone: Milestone,
    /// Expected run time of a task in seconds.
    pub duration: f64,
    /// Seconds after which a machine rented now would be up.
    pub provisioning_s: f64,
    /// The interned image of its tasks.
    pub image: u32,
    /// The image's size in GB.
    pub image_gb: f64,
    /// Its team's index in the quota headroom; none if the team has no limit.
    pub team: Option<usize>,
    /// Names of machines on which it failed.
    pub avoid: HashSet<String>,
    /// Pools that are protected from it.
    pub excluded_pools: Arc<BTreeSet<PoolId>>,
}

impl JobSnapshot {
    /// Whether a task that starts, fetches its image and ends so misses the due time.
    pub(super) fn is_late(&self, start: f64, fetch: f64, end: f64) -> bool {
        match self.due_milestone {
            Milestone::Start => start + fetch > self.due,
            Milestone::Finish => end > self.due,
        }
    }

    /// Whether it may run on machines of a pool, wherever its other tasks are.
    pub(super) fn may_use_pool(&self, pool: PoolId) -> bool {
        (!pool.spot || self.spot)
            && self.machine_types.contains(&pool.machine_type)
            && self.zone.is_none_or(|zone| zone == pool.zone)
            && (self.excluded_pools.is_empty() || !self.excluded_pools.contains(&pool))
    }

    /// Whether it may run on a machine, wherever its other tasks are.
    pub(super) fn may_use(&self, machine: &MachineSnapshot) -> bool {
        self.may_use_pool(machine.pool())
            && machine.reserved_for.is_none_or(|job| job == self.index)
            && (self.avoid.is_empty() || !self.avoid.contains(&*machine.name))
    }

    /// Whether one more of its tasks may be in a zone.
    pub(super) fn may_add_in_zone(&self, zones: &TasksByZone, zone: u32) -> bool {
        let is_elsewhere = zones
            .iter()
            .any(|(other, count)| *count > 0 && *other != zone);
        if self.one_zone && is_elsewhere {
            return false;
        }
        zones.get(&zone).copied().unwrap_or(0) < self.most_in_zone
    }
}
