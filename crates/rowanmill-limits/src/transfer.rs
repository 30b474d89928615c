//! What a controller gives to others of its allotment, and what it leaves for them to have.

use crate::amount::Amount;
use crate::config::LimitsConfig;
use crate::demand::{MemberDemand, WaitingUnit, all_fits, targets};
use crate::holder::TeamView;
use crate::record::AllotmentRecord;

/// Whether an amount is a step or more of any limited resource.
fn reaches(amount: Amount, step: Amount) -> bool {
    (step.cpus > 0 && amount.cpus >= step.cpus) || (step.cards > 0 && amount.cards >= step.cards)
}

/// Whether less than a step is free of anything that is waited for.
pub(crate) fn is_short(free: Amount, step: Amount, waiting: Amount) -> bool {
    (waiting.cpus > 0 && free.cpus < step.cpus) || (waiting.cards > 0 && free.cards < step.cards)
}

/// One controller beside another, as far as a transfer goes.
struct Receiver<'a> {
    demand: &'a MemberDemand,
    lack: Amount,
    /// Its oldest waiting job does not fit beside what runs there.
    is_blocked: bool,
}

/// What each controller has and should have.
pub(crate) struct Parts<'a> {
    pub record: &'a AllotmentRecord,
    pub me: &'a str,
    /// Less than this is not worth a change of the record.
    pub step: Amount,
    target: Amount,
    /// A gang of its own waits for the limit.
    pub collects: bool,
    /// What its oldest waiting job takes to start, and what all its waiting tasks would use.
    unit: Amount,
    pub waiting: Amount,
    receivers: Vec<Receiver<'a>>,
    /// Who may have what is too little here for the oldest waiting job, and how much of it.
    remainder_for: Option<(&'a MemberDemand, Amount)>,
}

impl<'a> Parts<'a> {
    pub fn new(
        config: &LimitsConfig,
        view: &TeamView<'a>,
        record: &'a AllotmentRecord,
        me: &'a str,
    ) -> Self {
        let step = config.step_of(record.limit);
        let targets = targets(record.limit, view.members);
        let mine = view.members.iter().position(|m| m.member == *me);
        let target = mine.map_or(Amount::ZERO, |at| targets[at]);
        let oldest = mine.and_then(|at| view.members[at].oldest.as_ref());
        let collects = oldest.is_some_and(|unit| unit.is_gang);
        let others = view.members.iter().zip(targets);
        let others = others.filter(|(demand, _)| demand.member != *me);
        let all_fits = all_fits(record.limit, view.members);
        let mut receivers: Vec<Receiver> = others
            .filter_map(|(demand, target)| receiver(record, step, all_fits, demand, target))
            .collect();
        receivers.sort_by(|a, b| a.demand.oldest.cmp(&b.demand.oldest));
        Self {
            record,
            me,
            step,
            target,
            collects,
            unit: oldest.map_or(Amount::ZERO, |unit| unit.need),
            waiting: mine.map_or(Amount::ZERO, |at| view.members[at].waiting),
            receivers,
            remainder_for: remainder_receiver(record, view.members),
        }
    }

    /// It needs no more than it uses and a step beyond, or what its oldest job takes. Whoever uses what it
    /// has and waits for more may have an equal part of the rest, whatever it should have otherwise.
    pub fn leave_idle(&mut self, charged: Amount, members: &'a [MemberDemand]) {
        let kept = charged.plus(self.step.most(self.unit));
        self.target = self.target.least(kept);
        let spare = self.record.of(self.me).minus(kept);
        let held_up = |demand: &&MemberDemand| {
            let free = self.record.of(&demand.member).minus(demand.used);
            let is_short = is_short(free, self.step, demand.waiting);
            demand.member != self.me && is_short && !demand.waiting.fits(free)
        };
        let held_up: Vec<&MemberDemand> = members.iter().filter(held_up).collect();
        let count = held_up.len().max(1) as u64;
        let each = spare.zip(spare, |spare, _| spare / count);
        for demand in held_up {
            let free = self.record.of(&demand.member).minus(demand.used);
            let lack = demand.waiting.minus(free).least(each);
            let known = self
                .receivers
                .iter_mut()
                .find(|r| r.demand.member == demand.member);
            match known {
                Some(receiver) => receiver.lack = receiver.lack.most(lack),
                None => self.receivers.push(Receiver {
                    demand,
                    lack,
                    is_blocked: false,
                }),
            }
        }
    }

    /// While another is held up, no more than its own part, so that what ends is there to be given.
    pub fn most_to_use(&self) -> Amount {
        if self.receivers.is_empty() {
            return self.record.limit;
        }
        match self.receivers.iter().any(|r| r.is_blocked) {
            true => self.target,
            false => self.target.plus(self.step),
        }
    }

    /// The record after it gave what it neither uses nor should have to those who lack it, in the order
    /// of their oldest waiting jobs.
    pub fn transfer(&self, charged: Amount) -> Option<AllotmentRecord> {
        let mut record = self.record.clone();
        if let Some((demand, lack)) = self.remainder_for {
            let part = lack.least(self.remainder(charged));
            give(&mut record, self.me, &demand.member, part);
        }
        for receiver in &self.receivers {
            let spare = record.of(self.me).minus(charged.most(self.target));
            let part = receiver.lack.least(spare);
            if !part.is_zero() && self.is_worth(receiver, part) {
                give(&mut record, self.me, &receiver.demand.member, part);
            }
        }
        (record != *self.record).then_some(record)
    }

    /// What it has free, if that is too little for its own oldest waiting job. A gang collects it.
    fn remainder(&self, charged: Amount) -> Amount {
        let free = self.record.of(self.me).minus(charged);
        match self.collects || self.unit.fits(free) {
            true => Amount::ZERO,
            false => free,
        }
    }

    /// All that is lacked or a whole step of it. Anything for one whose oldest job cannot start: several
    /// may have a little too much each, which only together is enough.
    fn is_worth(&self, receiver: &Receiver, part: Amount) -> bool {
        let enough = |lack: u64, step: u64, part: u64| part > 0 && part >= lack.min(step.max(1));
        receiver.is_blocked
            || enough(receiver.lack.cpus, self.step.cpus, part.cpus)
            || enough(receiver.lack.cards, self.step.cards, part.cards)
    }
}

/// A controller that its allotment holds up and that should have more.
fn receiver<'a>(
    record: &AllotmentRecord,
    step: Amount,
    all_fits: bool,
    demand: &'a MemberDemand,
    target: Amount,
) -> Option<Receiver<'a>> {
    let has = record.of(&demand.member);
    let lack = target.minus(has);
    let free = has.minus(demand.used);
    let blocked = |oldest: &WaitingUnit| !oldest.need.fits(free);
    let is_blocked = demand.oldest.as_ref().is_some_and(blocked);
    // What has room and waits all the same waits for machines.
    let uses_its_own = is_short(free, step, demand.waiting);
    let waits_for_more = !demand.waiting.fits(free);
    // Nobody goes short where all that is wanted fits.
    let is_worth_it = all_fits || (uses_its_own && reaches(lack, step));
    let is_held_up = is_blocked || (waits_for_more && is_worth_it);
    // What does not let its oldest job start would be of no use there.
    let helps = |oldest: &WaitingUnit| oldest.need.fits(free.plus(lack));
    let is_helped = demand.oldest.as_ref().is_none_or(helps);
    (is_held_up && is_helped && !lack.is_zero()).then_some(Receiver {
        demand,
        lack,
        is_blocked,
    })
}

/// Moves a part of one controller's allotment to another.
fn give(record: &mut AllotmentRecord, from: &str, to: &str, part: Amount) {
    if part.is_zero() || from == to {
        return;
    }
    let left = record.of(from).minus(part);
    let grown = record.of(to).plus(part);
    record.allotments.insert(from.to_owned(), left);
    record.allotments.insert(to.to_owned(), grown);
}

/// Of the controllers whose oldest waiting job does not fit what they have left, the first in the order of
/// these jobs that could start with what all of them have left together, and what it lacks. Where each
/// kept its own, a limit of eight CPUs over three controllers let seven tasks of one CPU run.
fn remainder_receiver<'a>(
    record: &AllotmentRecord,
    members: &'a [MemberDemand],
) -> Option<(&'a MemberDemand, Amount)> {
    let free = |member: &MemberDemand| record.of(&member.member).minus(member.used);
    let blocked = members.iter().filter_map(|member| {
        let unit = member.oldest.as_ref()?;
        (!unit.need.fits(free(member))).then_some((unit, member))
    });
    let mut blocked: Vec<(&WaitingUnit, &MemberDemand)> = blocked.collect();
    blocked.sort_by_key(|(unit, _)| *unit);
    let remainders = blocked.iter().filter(|(unit, _)| !unit.is_gang);
    let all: Amount = remainders.map(|(_, member)| free(member)).sum();
    let mut blocked = blocked.into_iter();
    let (unit, member) = blocked.find(|(unit, member)| {
        let own = if unit.is_gang {
            free(member)
        } else {
            Amount::ZERO
        };
        unit.need.fits(all.plus(own))
    })?;
    Some((member, unit.need.minus(free(member))))
}
