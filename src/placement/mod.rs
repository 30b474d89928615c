//! Places waiting tasks on machines by bin packing, and forecasts where they would run. Each task goes
//! to the machine on which it would complete first (equation 1 of the CVSS paper, see `crate::renting`).
//! Jobs are served by priority and due time (the batch queue). The first tasks of each job that is not a
//! gang, its startup tasks, go ahead of these in order of arrival (the startup queue), unless the job at
//! the head of the batch queue would then be late.
//!
//! Starts and evictions are only planned here. `service` has them recorded, and the commands to workers
//! are derived from the records.
//!
//! - [`packing`] chooses the tasks that start now, in every scheduling cycle;
//! - [`forecast`] maps the waiting tasks to machines, at least once per scaling period, to predict which
//!   will be late;
//! - [`preemption`] chooses tasks to evict for work of higher priority;
//! - [`snapshot`] and [`snapshot_cache`] turn records and heartbeats into the input of the above;
//! - [`due_times`] and [`inherited_deadlines`] determine when jobs should start and finish.

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
mod task_ranges;
mod team_usage;

pub use job::{JobSnapshot, Milestone, PoolId, TasksByZone};
pub use job_progress::FallbackMachineType;
pub use machine::{FreeSlot, MachineSnapshot, Reservation};
pub use name_table::NameTable;
pub use queue::batch_order;
pub use resources::{Resources, capacity_of};
pub use task_ranges::TaskRanges;

use machine::MIN_FETCH_GB_PER_S;
use resources::ROUNDING_TOLERANCE;

/// Completion times are compared in steps of this fraction of the run time, since estimates are not exact
/// to the second. Those in the same step count as equal. Among equal ones the cheapest machine is
/// preferred, then the fullest, so that other machines become idle and are released.
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
mod growth_tests;
#[cfg(test)]
mod scale_tests;
#[cfg(test)]
mod tests;
