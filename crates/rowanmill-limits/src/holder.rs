//! A controller's side of its allotments: what it may start, the starts whose outcome it does not know,
//! and what it gives to others.

use crate::amount::{Amount, Limit};
use crate::config::LimitsConfig;
use crate::demand::MemberDemand;
use crate::record::{AllotmentRecord, Versioned};
use crate::transfer::{Parts, is_short};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What a controller's replica says of one team.
#[derive(Debug, Clone, Copy)]
pub struct TeamView<'a> {
    /// The team's limit by the settings.
    pub limit: Limit,
    /// The record of its allotments.
    pub record: Option<Versioned<&'a AllotmentRecord>>,
    /// The revision of the assignment of jobs.
    pub assignment: u64,
    /// All changes up to this revision have been read.
    pub revision: u64,
    /// What each controller's jobs use and wait for.
    pub members: &'a [MemberDemand],
}

impl<'a> TeamView<'a> {
    fn valid_record(&self) -> Option<Versioned<&'a AllotmentRecord>> {
        let valid =
            |kept: &Versioned<&AllotmentRecord>| kept.record.is_valid(self.assignment, &self.limit);
        self.record.filter(valid)
    }
}

/// Starts or a transfer whose transaction got no answer: it may have been carried out, or may be yet. The
/// room that either takes is not free before that is known: what was started in it and what was given
/// away would be used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Unanswered {
    amount: Amount,
    /// The revisions that the transaction requires.
    record: u64,
    assignment: u64,
}

impl Unanswered {
    /// Once either record has changed, the transaction fails from then on; and once all changes up to
    /// that one are read, what it did before is in the replica.
    fn is_settled(&self, view: &TeamView) -> bool {
        let record = view.record.map_or(0, |kept| kept.revision);
        let changed_at = |then: u64, now: u64| now > then && view.revision >= now;
        changed_at(self.record, record) || changed_at(self.assignment, view.assignment)
    }
}

/// Why a controller changes a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// It gives some of its own to others.
    Transfer,
    /// It puts the same record again, so that what got no answer fails from then on.
    Fence,
}

/// A change of a team's record, to be put under the guard of its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The record as it should be.
    pub record: AllotmentRecord,
    /// The revision that it follows from.
    pub follows: u64,
    /// What the controller gives away by it.
    pub given: Amount,
    /// Why.
    pub kind: ChangeKind,
}

#[derive(Debug, Default)]
struct Team {
    unanswered: Vec<Unanswered>,
    changed_at: Option<Instant>,
    /// Since when it has had room that its waiting work does not take.
    idle_since: Option<Instant>,
}

impl Team {
    /// For how long it has had room to spare that its waiting work does not take: that waits for machines,
    /// and not for the limit. What a gang collects is not idle.
    fn is_idle_for(&mut self, parts: &Parts, charged: Amount, now: Instant) -> Duration {
        let spare = parts.record.of(parts.me).minus(charged);
        if parts.collects || is_short(spare, parts.step, parts.waiting) {
            self.idle_since = None;
            return Duration::ZERO;
        }
        let since = *self.idle_since.get_or_insert(now);
        now.saturating_duration_since(since)
    }
}

/// A controller's state: what its records do not say.
#[derive(Debug, Default)]
pub struct Holder {
    config: LimitsConfig,
    me: String,
    teams: BTreeMap<String, Team>,
}

impl Holder {
    /// A controller that knows nothing yet.
    pub fn new(config: LimitsConfig, me: &str) -> Self {
        Self {
            config,
            me: me.to_owned(),
            teams: BTreeMap::new(),
        }
    }

    /// Starts or a transfer of so much got no answer, under these revisions.
    pub fn note_unanswered(&mut self, team: &str, amount: Amount, record: u64, assignment: u64) {
        let team = self.teams.entry(team.to_owned()).or_default();
        team.unanswered.push(Unanswered {
            amount,
            record,
            assignment,
        });
    }

    /// Forgets what the replica now shows the outcome of.
    pub fn settle(&mut self, team: &str, view: &TeamView) {
        let Some(state) = self.teams.get_mut(team) else {
            return;
        };
        state.unanswered.retain(|start| !start.is_settled(view));
    }

    /// What starts and transfers without an answer may come to take.
    pub fn unanswered(&self, team: &str) -> Amount {
        let starts = self.teams.get(team).into_iter().flat_map(|t| &t.unanswered);
        starts.map(|start| start.amount).sum()
    }

    /// What its tasks may use in all. Nothing without a record that holds.
    pub fn allotment(&self, view: &TeamView) -> Amount {
        let record = view.valid_record();
        record.map_or(Amount::ZERO, |kept| kept.record.of(&self.me))
    }

    /// What it may start now beside `charged`, which its tasks use or are planned to. Less than its
    /// allotment leaves where another controller is held up and should have a part of it.
    pub fn room(&self, team: &str, view: &TeamView, charged: Amount) -> Amount {
        let mut most = self.allotment(view);
        if let Some(kept) = view.valid_record() {
            let parts = Parts::new(&self.config, view, kept.record, &self.me);
            most = most.least(parts.most_to_use());
        }
        most.minus(charged.plus(self.unanswered(team)))
    }

    /// What it should change of a team's record now, if anything.
    pub fn next_change(
        &mut self,
        team: &str,
        view: &TeamView,
        charged: Amount,
        now: Instant,
    ) -> Option<Change> {
        let kept = view.valid_record()?;
        let charged = charged.plus(self.unanswered(team));
        let state = self.teams.entry(team.to_owned()).or_default();
        let mut parts = Parts::new(&self.config, view, kept.record, &self.me);
        if state.is_idle_for(&parts, charged, now) >= self.config.idle_after() {
            parts.leave_idle(charged, view.members);
        }
        let every = self.config.change_every();
        if state
            .changed_at
            .is_some_and(|at| now.saturating_duration_since(at) < every)
        {
            return None;
        }
        let change = match parts.transfer(charged) {
            Some(record) => (record, ChangeKind::Transfer),
            None if state.unanswered.is_empty() => return None,
            None => (kept.record.clone(), ChangeKind::Fence),
        };
        state.changed_at = Some(now);
        let (record, kind) = change;
        let given = kept.record.of(&self.me).minus(record.of(&self.me));
        Some(Change {
            record,
            follows: kept.revision,
            given,
            kind,
        })
    }
}
