//! What each controller's allocation should come to. All controllers compute the same targets from the same
//! records, so that no two of them work against one another.

use crate::amount::ResourceAmount;
use crate::demand::MemberDemand;

/// The allocation that each controller should have, in the order of `members`. Their sum is `limit` at most.
///
/// Where all demand fits, each has what it demands and an equal share of the rest, so that the next job finds
/// headroom wherever it is submitted. Where it does not, the oldest waiting gang is to start beside what runs
/// at its controller, then each controller is to have what its own oldest unit needs, oldest first. The rest
/// is shared in proportion to what each demands beyond that for work that can still meet its deadline, and
/// what then is left in proportion to the demand of late work.
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

/// What the oldest waiting unit of each controller needs, as far as all of these fit together. The order is
/// the same at every controller: of two gangs that need more than half each, the older one is served and the
/// other waits for it, and neither holds what the other lacks. Only the first gang is given headroom beside
/// what runs there: if all were, none of them could count on it.
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

/// One controller's demand of one resource, in its units.
struct ResourceDemand {
    /// What the controller has before any other demand is met.
    minimum: u64,
    /// What it uses and wants for work that can still meet its deadline.
    on_time: u64,
    /// What it uses and wants for all work.
    total: u64,
}

/// Divides `limit` units of one resource, in the order of `demands`.
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

/// Shares what `allocated` leaves of `limit` in proportion to what each demand exceeds its allocation by.
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

/// `count` shares of `total` that differ by one unit at most.
fn equal_shares(total: u64, count: usize) -> impl Iterator<Item = u64> {
    let count = count.max(1) as u64;
    (0..count).map(move |index| total / count + u64::from(index < total % count))
}

/// Shares of `total` in proportion to `weights`, rounded down; the first with a weight takes what rounding
/// leaves.
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
