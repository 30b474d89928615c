//! Plans which part of its allocation a controller transfers to others, and how much of the allocation it
//! should use until then. A transfer takes effect when the changed record is written, which is not done here.

use crate::amount::ResourceAmount;
use crate::config::LimitsConfig;
use crate::demand::{MemberDemand, WaitingUnit, total_demand_fits, yields_headroom};
use crate::record::AllocationRecord;
use crate::targets::allocation_targets;
use crate::view::TeamView;

/// Whether `amount` has at least `step` of any limited resource.
fn reaches_step(amount: ResourceAmount, step: ResourceAmount) -> bool {
    (step.micro_cpus > 0 && amount.micro_cpus >= step.micro_cpus)
        || (step.micro_gpus > 0 && amount.micro_gpus >= step.micro_gpus)
}

/// Whether less than `step` is free of any resource that waiting work needs.
fn is_constrained(free: ResourceAmount, step: ResourceAmount, waiting: ResourceAmount) -> bool {
    (waiting.micro_cpus > 0 && free.micro_cpus < step.micro_cpus)
        || (waiting.micro_gpus > 0 && free.micro_gpus < step.micro_gpus)
}

/// The free part of a controller's allocation, which its tasks do not use according to the records.
fn free_at(record: &AllocationRecord, demand: &MemberDemand) -> ResourceAmount {
    record
        .allocation_of(&demand.member)
        .saturating_sub(demand.used)
}

/// Another controller that should have more than its allocation.
struct Recipient<'a> {
    demand: &'a MemberDemand,
    shortfall: ResourceAmount,
    /// Whether its oldest waiting unit does not fit into the free part of its allocation.
    is_blocked: bool,
}

/// The controller that gets unusable remainders: headroom that is too small for the oldest waiting unit of
/// the controller that has it. May be the planning controller, which then keeps its remainder.
struct RemainderRecipient<'a> {
    demand: &'a MemberDemand,
    shortfall: ResourceAmount,
}

/// One controller's allocation of a team, compared with the targets of all controllers.
pub(crate) struct TransferPlan<'a> {
    record: &'a AllocationRecord,
    members: &'a [MemberDemand],
    /// The planning controller.
    member: &'a str,
    /// The smallest amount for which the record is changed. Blocked recipients and small shortfalls are
    /// exceptions.
    step: ResourceAmount,
    /// The allocation that the controller should have.
    target: ResourceAmount,
    /// Whether a gang of the controller waits for the limit, so that headroom accumulates for it.
    accumulates_for_gang: bool,
    /// Resources that the controller's oldest waiting unit needs to start.
    oldest_need: ResourceAmount,
    /// Resources that all its waiting tasks would use.
    waiting: ResourceAmount,
    /// Whether it has no machine and leaves idle headroom to controllers that have some.
    yields: bool,
    /// In the order of their oldest waiting units; those that only receive released headroom come last.
    recipients: Vec<Recipient<'a>>,
    remainder_recipient: Option<RemainderRecipient<'a>>,
}

impl<'a> TransferPlan<'a> {
    /// Compares the allocations in `record` with the targets that result from the team's demand.
    pub fn new(
        config: &LimitsConfig,
        view: &TeamView<'a>,
        record: &'a AllocationRecord,
        member: &'a str,
    ) -> Self {
        let members = view.members;
        let targets = allocation_targets(record.limit, members);
        let own_index = members.iter().position(|demand| demand.member == *member);
        let own = own_index.map(|index| &members[index]);
        let oldest = own.and_then(|demand| demand.oldest.as_ref());
        let step = config.min_transfer(record.limit);
        Self {
            record,
            members,
            member,
            step,
            target: own_index.map_or(ResourceAmount::ZERO, |index| targets[index]),
            accumulates_for_gang: oldest.is_some_and(|unit| unit.is_gang),
            oldest_need: oldest.map_or(ResourceAmount::ZERO, |unit| unit.need),
            waiting: own.map_or(ResourceAmount::ZERO, |demand| demand.waiting),
            yields: own.is_some_and(|demand| yields_headroom(demand, members)),
            recipients: recipients(record, step, members, targets, member),
            remainder_recipient: remainder_recipient(record, members),
        }
    }

    /// The planning controller.
    pub fn member(&self) -> &'a str {
        self.member
    }

    fn own_allocation(&self) -> ResourceAmount {
        self.record.allocation_of(self.member)
    }

    /// Whether the controller has headroom in addition to `charged` that its waiting work does not use,
    /// because that work waits for machines and not for the limit. Headroom that accumulates for a gang is
    /// not idle.
    pub fn has_idle_headroom(&self, charged: ResourceAmount) -> bool {
        let spare = self.own_allocation().saturating_sub(charged);
        !self.accumulates_for_gang && !is_constrained(spare, self.step, self.waiting)
    }

    /// Lowers the target so that idle headroom can be transferred. The controller keeps the amount in use
    /// plus one step or the need of its oldest waiting unit, whichever is larger; if it yields, it keeps only
    /// the amount in use. Whatever their targets are, controllers that wait for a larger allocation may get
    /// an equal share of the released headroom, or the amount that their oldest unit lacks if that is larger.
    pub fn release_idle_headroom(&mut self, charged: ResourceAmount) {
        let kept_for_next = if self.yields {
            ResourceAmount::ZERO
        } else {
            self.step.componentwise_max(self.oldest_need)
        };
        let retained = charged.saturating_add(kept_for_next);
        self.target = self.target.componentwise_min(retained);
        let released = self.own_allocation().saturating_sub(retained);
        let constrained: Vec<&MemberDemand> = self
            .members
            .iter()
            .filter(|demand| demand.member != self.member && self.waits_for_allocation(demand))
            .collect();
        let count = constrained.len().max(1) as u64;
        let share = released.zip_with(released, |units, _| units / count);
        for demand in constrained {
            let free = free_at(self.record, demand);
            let oldest_need = demand.oldest.as_ref().map(|unit| unit.need);
            let missing_for_oldest = oldest_need.unwrap_or_default().saturating_sub(free);
            let shortfall = demand
                .waiting
                .saturating_sub(free)
                .componentwise_min(share.componentwise_max(missing_for_oldest));
            self.raise_shortfall(demand, shortfall);
        }
    }

    fn waits_for_allocation(&self, demand: &MemberDemand) -> bool {
        let free = free_at(self.record, demand);
        !yields_headroom(demand, self.members)
            && is_constrained(free, self.step, demand.waiting)
            && !demand.waiting.fits_within(free)
    }

    fn raise_shortfall(&mut self, demand: &'a MemberDemand, shortfall: ResourceAmount) {
        let existing = self
            .recipients
            .iter_mut()
            .find(|recipient| recipient.demand.member == demand.member);
        match existing {
            Some(recipient) => {
                recipient.shortfall = recipient.shortfall.componentwise_max(shortfall);
            }
            None => self.recipients.push(Recipient {
                demand,
                shortfall,
                is_blocked: false,
            }),
        }
    }

    /// The maximum that the controller should use now. Without recipients it is the whole limit. While
    /// another controller is blocked, it is the target, so that resources freed by ending tasks can be
    /// transferred. While others should have more but are not blocked, it is one step above the target.
    pub fn usage_cap(&self) -> ResourceAmount {
        if self.recipients.is_empty() {
            return self.record.limit;
        }
        if self.recipients.iter().any(|recipient| recipient.is_blocked) {
            return self.target;
        }
        self.target.saturating_add(self.step)
    }

    /// The record after the transfers: first the unusable remainder goes to its recipient, then the amount
    /// that the controller neither uses nor should keep goes to the recipients in their order. `None` if no
    /// transfer is worthwhile.
    pub fn apply(&self, charged: ResourceAmount) -> Option<AllocationRecord> {
        let mut record = self.record.clone();
        if let Some(recipient) = &self.remainder_recipient {
            let amount = recipient
                .shortfall
                .componentwise_min(self.unusable_remainder(charged));
            record.transfer(self.member, &recipient.demand.member, amount);
        }
        for recipient in &self.recipients {
            let spare = record
                .allocation_of(self.member)
                .saturating_sub(charged.componentwise_max(self.target));
            let amount = recipient.shortfall.componentwise_min(spare);
            if !amount.is_zero() && self.is_worth_transfer(recipient, amount) {
                record.transfer(self.member, &recipient.demand.member, amount);
            }
        }
        (record != *self.record).then_some(record)
    }

    /// The free part of the allocation if it is too small for the controller's own oldest waiting unit,
    /// otherwise zero. Headroom that accumulates for a gang is not a remainder.
    fn unusable_remainder(&self, charged: ResourceAmount) -> ResourceAmount {
        let free = self.own_allocation().saturating_sub(charged);
        if self.accumulates_for_gang || self.oldest_need.fits_within(free) {
            return ResourceAmount::ZERO;
        }
        free
    }

    /// Whether `amount` covers the recipient's shortfall or one step of it. For a blocked recipient any
    /// amount is worthwhile: several controllers may each have too little for its unit, but enough together.
    fn is_worth_transfer(&self, recipient: &Recipient, amount: ResourceAmount) -> bool {
        let is_enough = |shortfall: u64, step: u64, units: u64| {
            units > 0 && units >= shortfall.min(step.max(1))
        };
        let ResourceAmount {
            micro_cpus,
            micro_gpus,
        } = recipient.shortfall;
        recipient.is_blocked
            || is_enough(micro_cpus, self.step.micro_cpus, amount.micro_cpus)
            || is_enough(micro_gpus, self.step.micro_gpus, amount.micro_gpus)
    }
}

/// The controllers other than `member` that should have more, in the order of their oldest waiting units.
fn recipients<'a>(
    record: &AllocationRecord,
    step: ResourceAmount,
    members: &'a [MemberDemand],
    targets: Vec<ResourceAmount>,
    member: &str,
) -> Vec<Recipient<'a>> {
    let demand_fits = total_demand_fits(record.limit, members);
    // A controller that yields gets more only if the limit covers all demand, so that no other loses by it.
    let may_receive = |demand: &MemberDemand| demand_fits || !yields_headroom(demand, members);
    let mut recipients: Vec<Recipient> = members
        .iter()
        .zip(targets)
        .filter(|(demand, _)| demand.member != member && may_receive(demand))
        .filter_map(|(demand, target)| recipient(record, step, demand_fits, demand, target))
        .collect();
    recipients.sort_by(|a, b| a.demand.oldest.cmp(&b.demand.oldest));
    recipients
}

/// Returns the controller of `demand` as a recipient, if its allocation keeps its work from starting and it
/// should have more. `demand_fits` tells whether the limit covers the demand of all controllers.
fn recipient<'a>(
    record: &AllocationRecord,
    step: ResourceAmount,
    demand_fits: bool,
    demand: &'a MemberDemand,
    target: ResourceAmount,
) -> Option<Recipient<'a>> {
    let shortfall = target.saturating_sub(record.allocation_of(&demand.member));
    let free = free_at(record, demand);
    let is_blocked = |oldest: &WaitingUnit| !oldest.need.fits_within(free);
    let is_blocked = demand.oldest.as_ref().is_some_and(is_blocked);
    // Work that waits although headroom is free waits for machines.
    let uses_its_allocation = is_constrained(free, step, demand.waiting);
    let waits_for_more = !demand.waiting.fits_within(free);
    // If the limit covers all demand, no controller loses by a transfer.
    let is_worthwhile = demand_fits || (uses_its_allocation && reaches_step(shortfall, step));
    let is_held_up = is_blocked || (waits_for_more && is_worthwhile);
    // An amount that still does not let its oldest unit start would be of no use there.
    let enables = |oldest: &WaitingUnit| oldest.need.fits_within(free.saturating_add(shortfall));
    let enables_oldest = demand.oldest.as_ref().is_none_or(enables);
    (is_held_up && enables_oldest && !shortfall.is_zero()).then_some(Recipient {
        demand,
        shortfall,
        is_blocked,
    })
}

/// Selects the controller that gets the unusable remainders. Candidates are the controllers whose oldest
/// waiting unit does not fit into the free part of their allocation, except those that yield headroom. The one
/// with the oldest unit that could start with the remainders of all candidates is selected; the remainder of a
/// controller whose oldest unit is a gang counts only for that gang. If each kept its own remainder, a limit
/// of eight CPUs in equal allocations to three controllers would let only six tasks of one CPU run.
fn remainder_recipient<'a>(
    record: &AllocationRecord,
    members: &'a [MemberDemand],
) -> Option<RemainderRecipient<'a>> {
    let mut blocked: Vec<(&WaitingUnit, &MemberDemand)> = members
        .iter()
        .filter_map(|demand| Some((demand.oldest.as_ref()?, demand)))
        .filter(|(unit, demand)| !unit.need.fits_within(free_at(record, demand)))
        .filter(|(_, demand)| !yields_headroom(demand, members))
        .collect();
    blocked.sort_by_key(|(unit, _)| *unit);
    let remainders: ResourceAmount = blocked
        .iter()
        .filter(|(unit, _)| !unit.is_gang)
        .map(|(_, demand)| free_at(record, demand))
        .sum();
    let can_start = |(unit, demand): &(&WaitingUnit, &MemberDemand)| {
        let own = if unit.is_gang {
            free_at(record, demand)
        } else {
            ResourceAmount::ZERO
        };
        unit.need.fits_within(remainders.saturating_add(own))
    };
    let (unit, demand) = blocked.into_iter().find(can_start)?;
    Some(RemainderRecipient {
        demand,
        shortfall: unit.need.saturating_sub(free_at(record, demand)),
    })
}
