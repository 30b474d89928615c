//! Jobs that the cell owns and that its own records do not hold: they wait, and are no room for others.

use super::Planner;
use super::dependencies::DependencyState;
use crate::replica::LedgerReplica;
use crate::scheduler::LocalJobState;

impl Planner {
    /// Number of owned jobs that wait without being counted by the cell's own records, because they are about
    /// to be put into these, or to leave the cell. A job that the cell cannot run waits for another cell, not for
    /// room here.
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
            // What depends on open jobs waits for these, not for a machine.
            !job.record.cancelled && !matches!(dependencies, DependencyState::Pending)
        })
}
