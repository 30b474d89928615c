//! The leader's side: it allocates a team's limit to the controllers whenever these or the limit changed.
//!
//! It may do so only while nothing can be started under the previous record, since it must know what is in
//! use. That is the case under another assignment, whose revision each start requires, and once the record
//! is frozen; and what is in use is known once the leader's replica has applied all changes up to then.

use crate::amount::ResourceAmount;
use crate::demand::MemberDemand;
use crate::limit::TeamLimit;
use crate::record::{AllocationRecord, Versioned};
use crate::targets::allocation_targets;

/// What the leader should do about one team's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllocationDecision {
    /// Leave it: it is valid, or nothing can be done yet.
    Keep,
    /// Write a record under which no controller may start anything.
    Freeze(AllocationRecord),
    /// Write a record with new allocations.
    Allocate(AllocationRecord),
}

/// What the leader's replica holds about one team.
#[derive(Debug, Clone, Copy)]
pub struct LeaderView<'a> {
    /// The team's limit in the settings.
    pub limit: TeamLimit,
    /// The present record.
    pub record: Option<Versioned<&'a AllocationRecord>>,
    /// The revision of the assignment of jobs.
    pub assignment_revision: u64,
    /// The replica has applied all changes up to this revision.
    pub applied_revision: u64,
    /// What each controller's jobs use and wait for.
    pub members: &'a [MemberDemand],
    /// What tasks use whose jobs are assigned to no controller.
    pub unowned: ResourceAmount,
}

impl LeaderView<'_> {
    fn has_valid_record(&self) -> bool {
        self.record.is_some_and(|versioned| {
            versioned
                .record
                .is_valid(self.assignment_revision, &self.limit)
        })
    }

    /// Whether controllers may start tasks under the present record, whatever limit it divides.
    fn permits_starts(&self) -> bool {
        self.record.is_some_and(|Versioned { record, .. }| {
            record.assignment_revision == self.assignment_revision && !record.is_frozen()
        })
    }

    /// The revision from which on nothing can have been started under the previous record.
    fn starts_fenced_at(&self) -> u64 {
        let record_revision = self.record.map_or(0, |versioned| versioned.revision);
        record_revision.max(self.assignment_revision)
    }
}

/// Decides what the leader should do about one team's record.
pub fn decide_allocation(view: &LeaderView) -> AllocationDecision {
    if view.has_valid_record() {
        return AllocationDecision::Keep;
    }
    if view.permits_starts() {
        let limit = view.limit.as_amount();
        let frozen = AllocationRecord::frozen(view.assignment_revision, limit);
        return AllocationDecision::Freeze(frozen);
    }
    if view.applied_revision < view.starts_fenced_at() {
        return AllocationDecision::Keep;
    }
    allocate(view).map_or(AllocationDecision::Keep, AllocationDecision::Allocate)
}

/// A record in which each controller has at least what its tasks use. `None` as long as that is more than
/// the limit: it was lowered, and nothing starts before enough tasks have ended.
fn allocate(view: &LeaderView) -> Option<AllocationRecord> {
    let limit = view.limit.as_amount();
    let used: ResourceAmount = view.members.iter().map(|demand| demand.used).sum();
    let in_use = used.saturating_add(view.unowned);
    if !in_use.fits_within(limit) || view.members.is_empty() {
        return None;
    }
    let mut free = limit.saturating_sub(in_use);
    let mut record = AllocationRecord::frozen(view.assignment_revision, limit);
    let targets = allocation_targets(limit.saturating_sub(view.unowned), view.members);
    for (demand, target) in view.members.iter().zip(targets) {
        let increase = target.saturating_sub(demand.used).componentwise_min(free);
        free = free.saturating_sub(increase);
        let allocation = demand.used.saturating_add(increase);
        record.allocations.insert(demand.member.clone(), allocation);
    }
    Some(record)
}
