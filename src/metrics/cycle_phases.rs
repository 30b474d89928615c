//! Measures how long the phases of scheduling cycles take. The phases that plan run on the controller's only thread,
//! so a long one delays every answer of the controller. Elapsed time includes the time in which other processes use
//! the processor; [`super::ProcessorTime`] has the controller's share of it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A phase of a scheduling cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CyclePhase {
    /// The leader's assignment of jobs, machines and quotas, with the requests to the state service.
    Assignment,
    /// Updating the cached snapshots of machines and jobs, and building the cluster's snapshot.
    Snapshot,
    /// Forecasting the deadline misses of all waiting tasks.
    Forecast,
    /// Choosing the tasks that start now.
    Packing,
    /// Entering the chosen starts into the pending changes.
    StartPlanning,
    /// Choosing tasks to evict.
    Eviction,
    /// Writing the pending changes, with the requests to the state service.
    Writing,
    /// Of writing: selecting the changes and encoding the pages.
    PageSelection,
}

impl CyclePhase {
    /// All phases, each at the index of its discriminant.
    pub const ALL: [CyclePhase; 8] = [
        CyclePhase::Assignment,
        CyclePhase::Snapshot,
        CyclePhase::Forecast,
        CyclePhase::Packing,
        CyclePhase::StartPlanning,
        CyclePhase::Eviction,
        CyclePhase::Writing,
        CyclePhase::PageSelection,
    ];
}

/// Elapsed time of one phase within a period, in nanoseconds.
#[derive(Debug, Default)]
struct PhaseCounters {
    total_ns: AtomicU64,
    longest_ns: AtomicU64,
}

/// Elapsed time of one phase within a period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PhaseTime {
    /// Sum over all cycles.
    pub total: Duration,
    /// The longest that the phase took in one cycle.
    pub longest: Duration,
}

/// Elapsed time of each phase since the last call of [`PhaseTimes::take`].
#[derive(Debug, Default)]
pub struct PhaseTimes {
    counters: [PhaseCounters; CyclePhase::ALL.len()],
}

/// Measures a phase until it is dropped.
#[must_use]
pub struct PhaseTimer<'a> {
    counters: &'a PhaseCounters,
    started_at: Instant,
}

impl PhaseTimes {
    /// Starts measuring a phase, until the returned guard is dropped.
    pub fn start(&self, phase: CyclePhase) -> PhaseTimer<'_> {
        PhaseTimer {
            counters: &self.counters[phase as usize],
            started_at: Instant::now(),
        }
    }

    /// The times in the order of [`CyclePhase::ALL`]. Begins a new period.
    pub fn take(&self) -> [PhaseTime; CyclePhase::ALL.len()] {
        std::array::from_fn(|phase| {
            let counters = &self.counters[phase];
            PhaseTime {
                total: Duration::from_nanos(counters.total_ns.swap(0, Ordering::Relaxed)),
                longest: Duration::from_nanos(counters.longest_ns.swap(0, Ordering::Relaxed)),
            }
        })
    }
}

impl Drop for PhaseTimer<'_> {
    fn drop(&mut self) {
        let elapsed_ns = self.started_at.elapsed().as_nanos() as u64;
        let counters = self.counters;
        counters.total_ns.fetch_add(elapsed_ns, Ordering::Relaxed);
        counters.longest_ns.fetch_max(elapsed_ns, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
