//! Bin packing of waiting tasks onto machines, and forecasts of the same. Earliest finish wins (the
//! paper's equation 1); batch tasks go by earliest due time, the first tasks of each job ahead of them
//! unless the batch head would then be late. Nothing in here acts: starts and preemptions are planned
//! as values, `service` has them recorded, and workers are told from the records.
//!
//! - [`packing`] places what can start now, many times a second;
//! - [`forecast`] maps all that waits, once a period, to predict misses;
//! - [`preemption`] chooses tasks to evict for work of higher priority;
//! - [`snapshot`] and [`snapshot_cache`] turn records and heartbeats into what these work on;
//! - [`due_times`] and [`inherited_deadlines`] say when jobs should start and finish.

pub mod due_times;
pub mod forecast;
mod gang;
mod index;
pub mod inherited_deadlines;
mod job;
mod job_progress;
mod machine;
mod machine_snapshot;
mod machine_tasks;
mod name_table;
pub mod packing;
pub mod preemption;
mod queue;
pub mod quota_headroom;
mod quota_timeline;
mod resources;
pub mod service;
pub mod snapshot;
pub mod snapshot_cache;
mod team_usage;

pub use job::{JobSnapshot, Milestone, PoolId, TasksByZone};
pub use job_progress::FallbackPool;
pub use machine::{FreeSlot, MachineSnapshot, Reservation};
pub use name_table::NameTable;
pub use queue::batch_order;
pub use resources::{Resources, capacity_of};

use machine::MIN_FETCH_GB_PER_S;
use resources::SLACK;

/// Ends that differ by less than this share of the run time count as equal: estimates are not exact to
/// the second. Among them the cheapest machine wins and then the fullest, so that others become idle
/// and are released.
const END_TOLERANCE: f64 = 0.05;

/// A planned start of one task.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// Index of the job in the snapshot.
    pub job: usize,
    /// Index of the task in its job.
    pub task: u32,
    /// Index of the machine in the snapshot.
    pub machine: usize,
}

#[cfg(test)]
mod scale_tests;
#[cfg(test)]
mod tests;
