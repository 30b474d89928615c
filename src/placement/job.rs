//! A job as packing and forecasts see it: what its tasks request, where they may run and when they are
//! due. Times are seconds from the moment of the snapshot.

use super::machine::MachineSnapshot;
use super::resources::Resources;
use super::task_ranges::TaskRanges;
use crate::jobs::Urgency;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

/// How many tasks of a job run in each (interned) zone.
pub type TasksByZone = BTreeMap<u32, u32>;

/// What a job must reach by its due time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Milestone {
    /// Its tasks have started to run.
    Start,
    /// Its tasks are complete.
    Finish,
}

/// A pool of interchangeable machines, by interned names.
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
    /// Whether a task of it fills most of a machine. Capacity is reserved for such a task while it waits:
    /// otherwise smaller work would take it piece by piece.
    pub large: bool,
    /// Interned machine types that it may run on, cheapest first.
    pub machine_types: Vec<u32>,
    /// The only zone that it may run in; `None` if any will do.
    pub zone: Option<u32>,
    /// Whether it may run on spot machines.
    pub spot: bool,
    /// Whether all its tasks must run in the same zone.
    pub one_zone: bool,
    /// Maximum number of its tasks in one zone at a time.
    pub most_in_zone: u32,
    /// Tasks that are on machines now, by zone.
    pub zones: TasksByZone,
    /// Indices of the tasks that wait.
    pub waiting: Arc<TaskRanges>,
    /// Number of tasks that were started or are done; they count towards the startup tasks.
    pub started: u32,
    /// When it was submitted or released by its dependencies; zero or negative.
    pub arrived: f64,
    /// Whether all unfinished jobs of its team fit into the team's guaranteed quota; such jobs go before
    /// others.
    pub guaranteed: bool,
    /// Its urgency, or a higher one of a job that depends on it.
    pub urgency: Urgency,
    /// When its tasks should have reached `due_milestone`.
    pub due: f64,
    /// The due time after `due` that it can still meet; its starvation limit if there is none.
    pub next_due: f64,
    /// What its tasks should reach by `due`.
    pub due_milestone: Milestone,
    /// Expected run time of a task in seconds.
    pub duration: f64,
    /// Seconds until a machine that is rented now would be up.
    pub provisioning_s: f64,
    /// The interned image of its tasks.
    pub image: u32,
    /// The image's size in GB.
    pub image_gb: f64,
    /// Its team's index in the quota headroom; `None` if the team has no limit.
    pub team: Option<usize>,
    /// Names of the machines on which it failed.
    pub avoid: HashSet<String>,
    /// Pools that it may not use, since they are protected from jobs of other cells.
    pub excluded_pools: Arc<BTreeSet<PoolId>>,
}

impl JobSnapshot {
    /// Whether a task misses the due time if it starts at `start`, then fetches its image for `fetch`
    /// seconds, and ends at `end`.
    pub(super) fn is_late(&self, start: f64, fetch: f64, end: f64) -> bool {
        match self.due_milestone {
            Milestone::Start => start + fetch > self.due,
            Milestone::Finish => end > self.due,
        }
    }

    /// Whether it may run on machines of a pool, regardless of where its other tasks run.
    pub(super) fn may_use_pool(&self, pool: PoolId) -> bool {
        (!pool.spot || self.spot)
            && self.machine_types.contains(&pool.machine_type)
            && self.zone.is_none_or(|zone| zone == pool.zone)
            && (self.excluded_pools.is_empty() || !self.excluded_pools.contains(&pool))
    }

    /// Whether it may run on a machine, regardless of where its other tasks run.
    pub(super) fn may_use(&self, machine: &MachineSnapshot) -> bool {
        self.may_use_pool(machine.pool())
            && machine.reserved_for.is_none_or(|job| job == self.index)
            && (self.avoid.is_empty() || !self.avoid.contains(&*machine.name))
    }

    /// How many more of its tasks may run in a zone if `zones` are those of its other tasks.
    pub(super) fn tasks_addable_in_zone(&self, zones: &TasksByZone, zone: u32) -> usize {
        if !self.may_add_in_zone(zones, zone) {
            return 0;
        }
        (self.most_in_zone - zones.get(&zone).copied().unwrap_or(0)) as usize
    }

    /// Whether one more of its tasks may run in a zone if `zones` are those of its other tasks.
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
