//! Counts owned jobs that wait but are not counted by the cell's own records. The cell publishes them as
//! waiting, so that other cells spill no jobs to it.

use super::Planner;
use super::dependencies::DependencyState;
use crate::replica::LedgerReplica;
use crate::scheduler::LocalJobState;

impl Planner {
    /// Number of owned jobs that wait and are not counted by the cell's own records, because they are still to
    /// be written there or are leaving. A job that the cell cannot run is not counted: it waits for another
    /// cell, not for a machine here.
    pub fn count_jobs_outside_records(
        &self,
        replica: &LedgerReplica,
        owned: &[(String, LocalJobState)],
    ) -> u64 {
        let outside = owned.iter().filter(|(id, state)| {
            !self.ineligible.contains_key(id) && waits_outside_records(replica, id, *state)
        });
        outside.count() as u64
    }
}

fn waits_outside_records(replica: &LedgerReplica, id: &str, state: LocalJobState) -> bool {
    let is_outside = matches!(state, LocalJobState::Absent | LocalJobState::Withdrawn);
    is_outside
        && replica.jobs.get(id).is_some_and(|job| {
            let dependencies = DependencyState::of(replica, &job.record);
            // A job that depends on open jobs waits for these, not for a machine.
            !job.record.cancelled && !matches!(dependencies, DependencyState::Pending)
        })
}
