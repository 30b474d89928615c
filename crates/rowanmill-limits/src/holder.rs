//! A controller's side of quota allocations: its headroom, its transactions in doubt, and the changes that
//! it makes to the teams' records.

use crate::amount::ResourceAmount;
use crate::config::LimitsConfig;
use crate::in_doubt::InDoubtTransaction;
use crate::record::{AllocationRecord, Versioned};
use crate::transfer::TransferPlan;
use crate::view::TeamView;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Why a controller changes a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordChangeKind {
    /// It transfers a part of its own allocation to others.
    Transfer,
    /// It writes the same record again. Transactions in doubt require the previous revision, so they fail
    /// from then on.
    Fence,
}

/// A change of a team's record, which may be written only if the record still has `base_revision`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordChange {
    /// The record after the change.
    pub record: AllocationRecord,
    /// The revision of the record that was changed.
    pub base_revision: u64,
    /// The amount that the controller transfers to others.
    pub transferred: ResourceAmount,
    /// The reason for the change.
    pub kind: RecordChangeKind,
}

/// A controller's state of one team that is not in the records.
#[derive(Debug, Default)]
struct TeamState {
    in_doubt: Vec<InDoubtTransaction>,
    /// When the controller last changed the team's record.
    last_change: Option<Instant>,
    /// When the controller was first seen to have headroom that its waiting work does not use; `None` if it
    /// has none.
    idle_since: Option<Instant>,
}

impl TeamState {
    /// Updates and returns for how long the controller has had headroom that its waiting work does not use.
    fn observe_idle(
        &mut self,
        plan: &TransferPlan,
        charged: ResourceAmount,
        now: Instant,
    ) -> Duration {
        if !plan.has_idle_headroom(charged) {
            self.idle_since = None;
            return Duration::ZERO;
        }
        let since = *self.idle_since.get_or_insert(now);
        now.saturating_duration_since(since)
    }

    fn changed_within(&self, interval: Duration, now: Instant) -> bool {
        self.last_change
            .is_some_and(|at| now.saturating_duration_since(at) < interval)
    }
}

/// A controller's quota state of all teams that is not in the records.
#[derive(Debug, Default)]
pub struct QuotaHolder {
    config: LimitsConfig,
    /// The controller's name in the records.
    member: String,
    teams: BTreeMap<String, TeamState>,
}

impl QuotaHolder {
    /// A controller without transactions in doubt.
    pub fn new(config: LimitsConfig, member: &str) -> Self {
        Self {
            config,
            member: member.to_owned(),
            teams: BTreeMap::new(),
        }
    }

    /// Charges a transaction that got no answer to a team until its outcome is known.
    pub fn record_in_doubt(&mut self, team: &str, transaction: InDoubtTransaction) {
        let state = self.teams.entry(team.to_owned()).or_default();
        state.in_doubt.push(transaction);
    }

    /// Removes the team's transactions in doubt whose outcome the replica shows.
    pub fn resolve_in_doubt(&mut self, team: &str, view: &TeamView) {
        if let Some(state) = self.teams.get_mut(team) {
            state
                .in_doubt
                .retain(|transaction| !transaction.is_resolved(view));
        }
    }

    /// The total that the team's transactions in doubt take if all of them are applied.
    pub fn in_doubt_amount(&self, team: &str) -> ResourceAmount {
        self.teams.get(team).map_or(ResourceAmount::ZERO, |state| {
            let amounts = state.in_doubt.iter().map(|transaction| transaction.amount);
            amounts.sum()
        })
    }

    /// The controller's allocation of a team; zero without a valid record.
    pub fn allocation(&self, view: &TeamView) -> ResourceAmount {
        view.valid_record()
            .map_or(ResourceAmount::ZERO, |versioned| {
                versioned.record.allocation_of(&self.member)
            })
    }

    /// The resources with which the controller may start tasks now, in addition to `charged`, which its tasks
    /// use or are planned to use. While another controller needs a part of its allocation to start waiting
    /// work, this may be less than the allocation leaves.
    pub fn headroom(&self, team: &str, view: &TeamView, charged: ResourceAmount) -> ResourceAmount {
        let mut usable = self.allocation(view);
        if let Some(versioned) = view.valid_record() {
            let plan = TransferPlan::new(&self.config, view, versioned.record, &self.member);
            usable = usable.componentwise_min(plan.usage_cap());
        }
        usable.saturating_sub(charged.saturating_add(self.in_doubt_amount(team)))
    }

    /// The change that the controller should make to a team's record now, if any: a transfer, or a fence
    /// while transactions are in doubt. At most one change is returned per configured interval, and none
    /// without a valid record. `charged` is as for [`QuotaHolder::headroom`].
    pub fn next_change(
        &mut self,
        team: &str,
        view: &TeamView,
        charged: ResourceAmount,
        now: Instant,
    ) -> Option<RecordChange> {
        let base = view.valid_record()?;
        let charged = charged.saturating_add(self.in_doubt_amount(team));
        let state = self.teams.entry(team.to_owned()).or_default();
        let mut plan = TransferPlan::new(&self.config, view, base.record, &self.member);
        if state.observe_idle(&plan, charged, now) >= self.config.idle_timeout() {
            plan.release_idle_headroom(charged);
        }
        if state.changed_within(self.config.change_interval(), now) {
            return None;
        }
        let has_in_doubt = !state.in_doubt.is_empty();
        let change = transfer_or_fence(&plan, base, charged, has_in_doubt)?;
        state.last_change = Some(now);
        Some(change)
    }
}

fn transfer_or_fence(
    plan: &TransferPlan,
    base: Versioned<&AllocationRecord>,
    charged: ResourceAmount,
    has_in_doubt: bool,
) -> Option<RecordChange> {
    let (record, kind) = match plan.apply(charged) {
        Some(record) => (record, RecordChangeKind::Transfer),
        None if has_in_doubt => (base.record.clone(), RecordChangeKind::Fence),
        None => return None,
    };
    let before = base.record.allocation_of(plan.member());
    let after = record.allocation_of(plan.member());
    Some(RecordChange {
        record,
        base_revision: base.revision,
        transferred: before.saturating_sub(after),
        kind,
    })
}
