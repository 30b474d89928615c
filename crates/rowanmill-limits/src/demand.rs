//! What each controller's jobs of a team use and wait for, and what part of the limit each should have.
//! All controllers work this out from the same records, so that nobody has to ask.

use crate::amount::Amount;
use serde::{Deserialize, Serialize};

/// The least that a waiting job can start with: one task of an array, a gang whole. Ordered by age.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WaitingUnit {
    /// When the job's times began, in milliseconds since the epoch.
    pub since_ms: u64,
    /// The job.
    pub job: String,
    /// What it takes.
    pub need: Amount,
    /// It is a whole gang.
    pub is_gang: bool,
}

/// One controller's part of a team's work.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MemberDemand {
    /// The controller.
    pub member: String,
    /// What its tasks use, by the records.
    pub used: Amount,
    /// What its waiting tasks would use.
    pub waiting: Amount,
    /// Of these, the tasks of jobs that can still be in time.
    pub timely: Amount,
    /// Of the gang that only the limit keeps from starting there, or without one of the array that has
    /// waited for longest.
    pub oldest: Option<WaitingUnit>,
}

impl MemberDemand {
    fn wanted(&self) -> Amount {
        self.used.plus(self.waiting)
    }

    /// What it wants for work that can still be in time, and for what runs.
    fn wanted_in_time(&self) -> Amount {
        self.used.plus(self.timely)
    }

    /// Takes a waiting job into account. Gangs come before arrays, whose tasks find room by themselves.
    pub fn add_unit(&mut self, unit: WaitingUnit) {
        let rank = |unit: &WaitingUnit| (!unit.is_gang, unit.clone());
        if self
            .oldest
            .as_ref()
            .is_none_or(|oldest| rank(&unit) < rank(oldest))
        {
            self.oldest = Some(unit);
        }
    }
}

/// What each controller's allotment should come to, in the order of `members`.
///
/// Where all fits, each has what it wants and an equal part of the rest, so that the next job finds room
/// wherever it comes. Where it does not, the oldest waiting gang is to start beside what runs there, then
/// each is to have what its own oldest job needs, oldest first. The rest goes in proportion to what each
/// wants beyond that for work that can still be in time, and what that leaves to work that is late anyway.
pub fn targets(limit: Amount, members: &[MemberDemand]) -> Vec<Amount> {
    let floors = floors(limit, members);
    let component = |of: fn(Amount) -> u64| {
        let wanted: Vec<u64> = members.iter().map(|m| of(m.wanted())).collect();
        let in_time: Vec<u64> = members.iter().map(|m| of(m.wanted_in_time())).collect();
        let floors: Vec<u64> = floors.iter().map(|f| of(*f)).collect();
        parts(of(limit), &wanted, &in_time, &floors)
    };
    let cpus = component(|a| a.cpus);
    let cards = component(|a| a.cards);
    let both = cpus.into_iter().zip(cards);
    both.map(|(cpus, cards)| Amount { cpus, cards }).collect()
}

/// Whether the limit is enough for all that runs and waits.
pub(crate) fn all_fits(limit: Amount, members: &[MemberDemand]) -> bool {
    let wanted: Amount = members.iter().map(MemberDemand::wanted).sum();
    wanted.fits(limit)
}

/// What the oldest waiting job of each controller needs, as far as all of these fit together. The order
/// is the same for everybody: of two gangs that need more than half each, the older one comes first and
/// the other waits for it, and neither holds what the other lacks. Only the first gang is given room
/// beside what runs there: with that for all, none of them would be sure of it.
fn floors(limit: Amount, members: &[MemberDemand]) -> Vec<Amount> {
    let mut order: Vec<usize> = (0..members.len()).collect();
    let rank = |unit: &WaitingUnit| (!unit.is_gang, unit.clone());
    let rank_of = |member: &MemberDemand| member.oldest.as_ref().map(rank);
    order.sort_by_key(|at| (members[*at].oldest.is_none(), rank_of(&members[*at])));
    let mut floors = vec![Amount::ZERO; members.len()];
    let mut left = limit;
    let mut gang_seen = false;
    for at in order {
        let Some(unit) = &members[at].oldest else {
            break;
        };
        let is_first_gang = unit.is_gang && !gang_seen;
        gang_seen |= unit.is_gang;
        let beside = unit.need.plus(members[at].used);
        let floor = match is_first_gang && beside.fits(left) {
            true => beside,
            false => unit.need,
        };
        if floor.fits(left) {
            floors[at] = floor;
            left = left.minus(floor);
        }
    }
    floors
}

/// One resource's part for each controller.
fn parts(limit: u64, wanted: &[u64], in_time: &[u64], floors: &[u64]) -> Vec<u64> {
    let all: u64 = wanted.iter().sum();
    if all <= limit {
        let spare = equal_parts(limit - all, wanted.len());
        return wanted.iter().zip(spare).map(|(w, s)| w + s).collect();
    }
    let mut parts = floors.to_vec();
    for wanted in [in_time, wanted] {
        let rest = limit - parts.iter().sum::<u64>();
        let pairs = wanted.iter().zip(&parts);
        let beyond: Vec<u64> = pairs.map(|(w, p)| w.saturating_sub(*p)).collect();
        let shares = proportional_parts(rest.min(beyond.iter().sum()), &beyond);
        parts.iter_mut().zip(shares).for_each(|(p, s)| *p += s);
    }
    parts
}

fn equal_parts(whole: u64, count: usize) -> impl Iterator<Item = u64> {
    let count = count.max(1) as u64;
    (0..count).map(move |at| whole / count + u64::from(at < whole % count))
}

/// In proportion to the weights, rounded down; what rounding leaves goes to the first that has a weight.
fn proportional_parts(whole: u64, weights: &[u64]) -> Vec<u64> {
    let all: u128 = weights.iter().map(|w| u128::from(*w)).sum();
    if all == 0 {
        return vec![0; weights.len()];
    }
    let part = |weight: &u64| (u128::from(whole) * u128::from(*weight) / all) as u64;
    let mut parts: Vec<u64> = weights.iter().map(part).collect();
    let left = whole - parts.iter().sum::<u64>();
    if let Some(first) = weights.iter().position(|w| *w > 0) {
        parts[first] += left;
    }
    parts
}
