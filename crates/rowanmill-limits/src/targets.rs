//! The allocation that each controller should have. All controllers compute the same targets from the same
//! records, so that their transfers do not undo one another.

use crate::amount::ResourceAmount;
use crate::demand::MemberDemand;

/// The allocation that each controller should have, in the order of `members`. Their sum does not exceed
/// `limit`.
///
/// If the limit covers all demand, each controller gets its demand and an equal share of the rest, so that
/// the next job finds headroom wherever it is submitted. Otherwise the limit is distributed in this order, as
/// far as it suffices:
/// - the controller of the oldest waiting gang gets the amount that the gang needs in addition to the tasks
///   that run there;
/// - each other controller gets at least the amount that its own oldest unit needs, gangs first and then by
///   age;
/// - the rest is shared in proportion to unmet demand, first that of work that can still meet its deadline
///   and then that of late work.
pub fn allocation_targets(limit: ResourceAmount, members: &[MemberDemand]) -> Vec<ResourceAmount> {
    let minimums = minimum_allocations(limit, members);
    let targets_of = |units: fn(ResourceAmount) -> u64| {
        let demands: Vec<ResourceDemand> = members
            .iter()
            .zip(&minimums)
            .map(|(member, minimum)| ResourceDemand {
                minimum: units(*minimum),
                on_time: units(member.total_on_time()),
                total: units(member.total()),
            })
            .collect();
        divide_resource(units(limit), &demands)
    };
    let micro_cpus = targets_of(|amount| amount.micro_cpus);
    let micro_gpus = targets_of(|amount| amount.micro_gpus);
    micro_cpus
        .into_iter()
        .zip(micro_gpus)
        .map(ResourceAmount::from)
        .collect()
}

/// The need of each controller's oldest waiting unit, as far as these fit into the limit together. The order
/// is the same at every controller: if two gangs need more than half of the limit each, the older one is
/// served and the other waits, so that neither holds headroom that the other lacks. Only the first gang gets
/// headroom in addition to the tasks that run at its controller: if all did, none could rely on getting it.
fn minimum_allocations(limit: ResourceAmount, members: &[MemberDemand]) -> Vec<ResourceAmount> {
    let mut waiting: Vec<_> = members
        .iter()
        .enumerate()
        .filter_map(|(index, member)| Some((index, member.oldest.as_ref()?)))
        .collect();
    waiting.sort_by_key(|(_, unit)| unit.service_order());
    let mut minimums = vec![ResourceAmount::ZERO; members.len()];
    let mut left = limit;
    let mut gang_seen = false;
    for (index, unit) in waiting {
        let is_first_gang = unit.is_gang && !gang_seen;
        gang_seen |= unit.is_gang;
        let beside_used = unit.need.saturating_add(members[index].used);
        let minimum = if is_first_gang && beside_used.fits_within(left) {
            beside_used
        } else {
            unit.need
        };
        if minimum.fits_within(left) {
            minimums[index] = minimum;
            left = left.saturating_sub(minimum);
        }
    }
    minimums
}

/// One controller's demand for one resource, in units.
struct ResourceDemand {
    /// The amount that the controller gets before any other demand is met.
    minimum: u64,
    /// Its usage plus the demand of waiting work that can still meet its deadline.
    on_time: u64,
    /// Its usage plus the demand of all waiting work.
    total: u64,
}

/// Divides `limit` units of one resource into allocations, in the order of `demands`.
fn divide_resource(limit: u64, demands: &[ResourceDemand]) -> Vec<u64> {
    let total: u64 = demands.iter().map(|demand| demand.total).sum();
    if total <= limit {
        let spare = equal_shares(limit - total, demands.len());
        return demands
            .iter()
            .zip(spare)
            .map(|(demand, share)| demand.total + share)
            .collect();
    }
    let mut allocated: Vec<u64> = demands.iter().map(|demand| demand.minimum).collect();
    add_proportionally(
        limit,
        &mut allocated,
        demands.iter().map(|demand| demand.on_time),
    );
    add_proportionally(
        limit,
        &mut allocated,
        demands.iter().map(|demand| demand.total),
    );
    allocated
}

/// Distributes the part of `limit` that is not allocated yet in proportion to the unmet part of each demand,
/// and no more than that part.
fn add_proportionally(limit: u64, allocated: &mut [u64], demands: impl Iterator<Item = u64>) {
    let unmet: Vec<u64> = demands
        .zip(allocated.iter())
        .map(|(demand, allocated)| demand.saturating_sub(*allocated))
        .collect();
    let left = limit - allocated.iter().sum::<u64>();
    let shares = proportional_shares(left.min(unmet.iter().sum()), &unmet);
    for (allocated, share) in allocated.iter_mut().zip(shares) {
        *allocated += share;
    }
}

/// `count` shares of `total` that differ by at most one unit.
fn equal_shares(total: u64, count: usize) -> impl Iterator<Item = u64> {
    let count = count.max(1) as u64;
    (0..count).map(move |index| total / count + u64::from(index < total % count))
}

/// Shares of `total` in proportion to `weights`, rounded down. The first share with a weight above zero also
/// gets the units that rounding leaves.
fn proportional_shares(total: u64, weights: &[u64]) -> Vec<u64> {
    let weight_sum: u128 = weights.iter().map(|weight| u128::from(*weight)).sum();
    if weight_sum == 0 {
        return vec![0; weights.len()];
    }
    let share = |weight: &u64| (u128::from(total) * u128::from(*weight) / weight_sum) as u64;
    let mut shares: Vec<u64> = weights.iter().map(share).collect();
    let left = total - shares.iter().sum::<u64>();
    if let Some(first) = weights.iter().position(|weight| *weight > 0) {
        shares[first] += left;
    }
    shares
}
