//! A controller's view of one team, taken from its replica of the records.

use crate::demand::MemberDemand;
use crate::limit::TeamLimit;
use crate::record::{AllocationRecord, Versioned};

/// The contents of a controller's replica that concern one team.
#[derive(Debug, Clone, Copy)]
pub struct TeamView<'a> {
    /// The team's limit in the settings.
    pub limit: TeamLimit,
    /// The record of its allocations, if there is one.
    pub record: Option<Versioned<&'a AllocationRecord>>,
    /// The revision of the assignment of jobs.
    pub assignment_revision: u64,
    /// The revision up to which the replica has applied all changes.
    pub applied_revision: u64,
    /// The demand of the team's jobs at each controller.
    pub members: &'a [MemberDemand],
}

impl<'a> TeamView<'a> {
    /// The record, if it permits starts under the present assignment and limit.
    pub fn valid_record(&self) -> Option<Versioned<&'a AllocationRecord>> {
        self.record.filter(|versioned| {
            versioned
                .record
                .is_valid(self.assignment_revision, &self.limit)
        })
    }

    /// The revision of the record, 0 if there is none.
    pub fn record_revision(&self) -> u64 {
        self.record.map_or(0, |versioned| versioned.revision)
    }
}
