//! The leader's side: it divides a team's limit into allocations, and does so again after the limit or the
//! assignment of jobs has changed.
//!
//! New allocations must cover everything in use, so the leader may write them only when no further start can
//! be recorded under the previous record. This holds once the assignment has changed, since each start
//! requires the assignment's revision, or once the record is frozen. The leader knows the usage as soon as
//! its replica has applied all changes up to that revision.

use crate::amount::ResourceAmount;
use crate::demand::MemberDemand;
use crate::limit::TeamLimit;
use crate::record::{AllocationRecord, Versioned};
use crate::targets::allocation_targets;

/// The leader's decision about one team's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllocationDecision {
    /// Keep the present record: it is valid, or it cannot be replaced yet.
    Keep,
    /// Write a record under which no controller may start anything.
    Freeze(AllocationRecord),
    /// Write a record with new allocations.
    Allocate(AllocationRecord),
}

/// The contents of the leader's replica that concern one team.
#[derive(Debug, Clone, Copy)]
pub struct LeaderView<'a> {
    /// The team's limit in the settings.
    pub limit: TeamLimit,
    /// The present record.
    pub record: Option<Versioned<&'a AllocationRecord>>,
    /// The revision of the assignment of jobs.
    pub assignment_revision: u64,
    /// The revision up to which the replica has applied all changes.
    pub applied_revision: u64,
    /// The demand of the team's jobs at each controller.
    pub members: &'a [MemberDemand],
    /// Resources that are used by tasks whose jobs are assigned to no controller.
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

    /// Whether controllers may start tasks under the present record, even if it divides an outdated limit.
    fn permits_starts(&self) -> bool {
        self.record.is_some_and(|Versioned { record, .. }| {
            record.assignment_revision == self.assignment_revision && !record.is_frozen()
        })
    }

    /// The revision after which no start can be recorded under the previous record.
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

/// A record that allocates to each controller at least the amount that its tasks use. `None` without
/// controllers, or while the tasks use more than a lowered limit: nothing starts until enough of them have
/// ended.
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
