//! What a controller hands of its allocation to others, and how much of it it should use meanwhile. This
//! only plans: a transfer takes effect when the changed record is written.

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

/// What a controller's allocation leaves beside what its tasks use, by the records.
fn free_at(record: &AllocationRecord, demand: &MemberDemand) -> ResourceAmount {
    record
        .allocation_of(&demand.member)
        .saturating_sub(demand.used)
}

/// Another controller that should have more than its allocation.
struct Recipient<'a> {
    demand: &'a MemberDemand,
    shortfall: ResourceAmount,
    /// Its oldest waiting unit does not fit into what its allocation leaves.
    is_blocked: bool,
}

/// Another controller that may have what is too little here for the oldest waiting unit.
struct RemainderRecipient<'a> {
    demand: &'a MemberDemand,
    shortfall: ResourceAmount,
}

/// One controller's allocation of a team beside what it and the others should have.
pub(crate) struct TransferPlan<'a> {
    record: &'a AllocationRecord,
    members: &'a [MemberDemand],
    /// The controller that plans.
    member: &'a str,
    /// Less than this is not worth a change of the record.
    step: ResourceAmount,
    /// What the controller's allocation should come to.
    target: ResourceAmount,
    /// A gang of the controller's own waits for the limit and accumulates headroom.
    accumulates_for_gang: bool,
    /// What the controller's oldest waiting unit needs to start.
    oldest_need: ResourceAmount,
    /// What all its waiting tasks would use.
    waiting: ResourceAmount,
    /// It has no machine, and leaves idle headroom to others that have some.
    yields: bool,
    /// In the order of their oldest waiting units.
    recipients: Vec<Recipient<'a>>,
    remainder_recipient: Option<RemainderRecipient<'a>>,
}

impl<'a> TransferPlan<'a> {
    /// Compares the allocations in `record` with the targets that follow from the team's demand.
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

    /// The controller that plans.
    pub fn member(&self) -> &'a str {
        self.member
    }

    fn own_allocation(&self) -> ResourceAmount {
        self.record.allocation_of(self.member)
    }

    /// Whether the controller has headroom beside `charged` that its waiting work does not use, because that
    /// waits for machines and not for the limit. What a gang accumulates is not idle.
    pub fn has_idle_headroom(&self, charged: ResourceAmount) -> bool {
        let spare = self.own_allocation().saturating_sub(charged);
        !self.accumulates_for_gang && !is_constrained(spare, self.step, self.waiting)
    }

    /// Lowers the target to what is in use and one step, or what the oldest waiting unit needs; without a machine
    /// for that unit, to what is in use. Controllers that use what they have and wait for more may have an equal
    /// share of the rest, or what their oldest unit needs, whatever their targets are.
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
        let known = self
            .recipients
            .iter_mut()
            .find(|recipient| recipient.demand.member == demand.member);
        match known {
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

    /// The most that the controller should use now. While another is held up that is its target, so that
    /// what its ending tasks free can be handed on.
    pub fn usage_cap(&self) -> ResourceAmount {
        if self.recipients.is_empty() {
            return self.record.limit;
        }
        if self.recipients.iter().any(|recipient| recipient.is_blocked) {
            return self.target;
        }
        self.target.saturating_add(self.step)
    }

    /// The record after the controller handed what it neither uses nor should have to the recipients, in the
    /// order of their oldest waiting units; `None` if nothing is worth a transfer.
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

    /// What the controller has free, if that is too little for its own oldest waiting unit. For a gang it is
    /// accumulated instead.
    fn unusable_remainder(&self, charged: ResourceAmount) -> ResourceAmount {
        let free = self.own_allocation().saturating_sub(charged);
        if self.accumulates_for_gang || self.oldest_need.fits_within(free) {
            return ResourceAmount::ZERO;
        }
        free
    }

    /// Whether `amount` covers the recipient's shortfall or a whole step of it. Any amount is worth it for a
    /// blocked recipient: several controllers may each have too little for its unit that is enough together.
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

/// The controllers besides `member` that should have more, in the order of their oldest waiting units.
fn recipients<'a>(
    record: &AllocationRecord,
    step: ResourceAmount,
    members: &'a [MemberDemand],
    targets: Vec<ResourceAmount>,
    member: &str,
) -> Vec<Recipient<'a>> {
    let demand_fits = total_demand_fits(record.limit, members);
    // One without a machine gets more only if nobody loses by it.
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

/// The controller of `demand` as a recipient, if its allocation holds it up and it should have more.
/// `demand_fits`: the limit is enough for the demand of all controllers.
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
    // Work that waits beside free headroom waits for machines.
    let uses_its_allocation = is_constrained(free, step, demand.waiting);
    let waits_for_more = !demand.waiting.fits_within(free);
    // Where all demand fits, no controller loses by a transfer.
    let is_worthwhile = demand_fits || (uses_its_allocation && reaches_step(shortfall, step));
    let is_held_up = is_blocked || (waits_for_more && is_worthwhile);
    // An amount with which its oldest unit still cannot start would be of no use there.
    let enables = |oldest: &WaitingUnit| oldest.need.fits_within(free.saturating_add(shortfall));
    let enables_oldest = demand.oldest.as_ref().is_none_or(enables);
    (is_held_up && enables_oldest && !shortfall.is_zero()).then_some(Recipient {
        demand,
        shortfall,
        is_blocked,
    })
}

/// Of the controllers whose oldest waiting unit does not fit into what they have left, the first in the order
/// of these units that could start with what all of them have left together. If each kept its own remainder,
/// a limit of eight CPUs over three controllers would let only seven tasks of one CPU run.
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
