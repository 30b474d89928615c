//! A controller's picture of one team, taken from its replica of the records.

use crate::demand::MemberDemand;
use crate::limit::TeamLimit;
use crate::record::{AllocationRecord, Versioned};

/// What a controller's replica holds about one team.
#[derive(Debug, Clone, Copy)]
pub struct TeamView<'a> {
    /// The team's limit in the settings.
    pub limit: TeamLimit,
    /// The record of its allocations.
    pub record: Option<Versioned<&'a AllocationRecord>>,
    /// The revision of the assignment of jobs.
    pub assignment_revision: u64,
    /// The replica has applied all changes up to this revision.
    pub applied_revision: u64,
    /// What each controller's jobs use and wait for.
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
