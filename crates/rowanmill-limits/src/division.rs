//! The leader's side: it divides a team's limit anew whenever controllers came or went, or the limit
//! changed.
//!
//! It may divide only while nothing can be started under the record before, since it must know what is in
//! use. That holds under another assignment (each start requires the assignment's revision), and once the
//! record is frozen; and what is in use is known once the leader has read all changes up to then.

use crate::amount::{Amount, Limit};
use crate::demand::{MemberDemand, targets};
use crate::record::{AllotmentRecord, Versioned};

/// What the leader should do about one team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Division {
    /// The record holds, or nothing can be done yet.
    Keep,
    /// Put a record under which nobody may start anything.
    Freeze(AllotmentRecord),
    /// Put the limit divided anew.
    Divide(AllotmentRecord),
}

/// What the leader knows of one team.
#[derive(Debug, Clone, Copy)]
pub struct LeaderView<'a> {
    /// The team's limit by the settings.
    pub limit: Limit,
    /// The record that stands.
    pub record: Option<Versioned<&'a AllotmentRecord>>,
    /// The revision of the assignment of jobs.
    pub assignment: u64,
    /// All changes up to this revision have been read.
    pub revision: u64,
    /// What each controller's jobs use and wait for.
    pub members: &'a [MemberDemand],
    /// What tasks use that belong to no controller.
    pub unowned: Amount,
}

/// Decides about one team.
pub fn divide(view: &LeaderView) -> Division {
    let LeaderView {
        limit, assignment, ..
    } = *view;
    if view
        .record
        .is_some_and(|kept| kept.record.is_valid(assignment, &limit))
    {
        return Division::Keep;
    }
    let can_start = |kept: &Versioned<&AllotmentRecord>| {
        kept.record.assignment == assignment && !kept.record.is_frozen()
    };
    if view.record.as_ref().is_some_and(can_start) {
        return Division::Freeze(AllotmentRecord::frozen(assignment, limit.amount()));
    }
    let known_from = view.record.map_or(0, |kept| kept.revision).max(assignment);
    if view.revision < known_from {
        return Division::Keep;
    }
    match allotments(view) {
        Some(record) => Division::Divide(record),
        None => Division::Keep,
    }
}

/// Each controller has at least what its tasks use. None as long as that is more than the limit: it was
/// lowered, and nothing starts before enough has ended.
fn allotments(view: &LeaderView) -> Option<AllotmentRecord> {
    let limit = view.limit.amount();
    let in_use: Amount = view.members.iter().map(|m| m.used).sum();
    let in_use = in_use.plus(view.unowned);
    if !in_use.fits(limit) || view.members.is_empty() {
        return None;
    }
    let mut free = limit.minus(in_use);
    let mut record = AllotmentRecord::frozen(view.assignment, limit);
    let targets = targets(limit.minus(view.unowned), view.members);
    for (member, target) in view.members.iter().zip(targets) {
        let more = target.minus(member.used).least(free);
        free = free.minus(more);
        let allotment = member.used.plus(more);
        record.allotments.insert(member.member.clone(), allotment);
    }
    Some(record)
}
