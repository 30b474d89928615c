//! Renting what was wished for: each rental recorded under its name before it is sent.

use super::decide::Wish;
use super::service::guard;
use crate::cloud::{self, CloudError};
use crate::fleet::{MachinePool, MachineState, Rental, RentedMachine, max_machines_per_rental};
use crate::membership::WorkloadEstimate;
use crate::membership::assignment::Member;
use crate::membership::machine_assignment::{MachineCounts, machine_targets};
use crate::node::{Core, Node, age_s, wall_ms};
use crate::state::{Operation, Precondition, RecordKey};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Rents what is wished for: offers are tried cheapest first, then where the fewest machines are.
pub(super) async fn fulfil(node: &Arc<Node>, revision: u64) {
    let wishes = std::mem::take(&mut node.core().rent.wishes);
    let more = fulfil_wishes(node, revision, wishes).await;
    fulfil_wishes(node, revision, more).await;
}

/// Returns what to wish for instead of what is not to be had.
async fn fulfil_wishes(node: &Arc<Node>, revision: u64, wishes: Vec<Wish>) -> Vec<Wish> {
    let mut more = Vec::new();
    for wish in wishes {
        let mut left = wish.count;
        let mut spot_left = wish.spot;
        let most = max_machines_per_rental(node.settings.max_value_bytes()) as u32;
        let offers = offers(node, &wish);
        let mut zones_left = 0;
        for (at, (zone, spot)) in offers.iter().cloned().enumerate() {
            if at == 0 || offers[at - 1].1 != spot {
                zones_left = offers[at..].iter().filter(|o| o.1 == spot).count();
            }
            let count = match spot {
                true => left.min(spot_left),
                false if wish.spot_only => 0,
                false => left,
            };
            if count == 0 {
                continue;
            }
            // The zones share what is wished for, and what one of them lacks the next ones give.
            let zones = zones_left.max(1);
            zones_left = zones_left.saturating_sub(1);
            let mut count = count.div_ceil(zones as u32);
            while count > 0 {
                let record = Rental {
                    pool: MachinePool {
                        machine_type: wish.kind.clone(),
                        zone: zone.clone(),
                        spot,
                    },
                    count: count.min(most),
                    requested_ms: wall_ms(),
                    unconfirmed: true,
                    machines: Vec::new(),
                };
                let asked = record.count;
                let got = hire(node, revision, record).await;
                left -= got.min(left);
                if spot {
                    spot_left -= got.min(spot_left);
                }
                count -= asked;
                if got < asked {
                    break;
                }
            }
        }
        if left > 0 {
            tracing::info!(kind = wish.kind, left, "the cloud has no more of it now");
            // The paper has one kind of machine. Where a kind's own is used up, work that may run
            // on another is better late on that one than not at all.
            for instead in &wish.instead {
                let count = instead.count.min(left);
                if count > 0 {
                    more.push(Wish {
                        kind: instead.kind.clone(),
                        count,
                        spot: count,
                        spot_only: instead.spot_only,
                        instead: Vec::new(),
                    });
                }
            }
        }
    }
    more
}

fn offers(node: &Node, wish: &Wish) -> Vec<(String, bool)> {
    let core = node.core();
    let Some(kind) = core.kind(&wish.kind) else {
        return Vec::new();
    };
    let now = Instant::now();
    let count_in = |zone: &str| {
        let machines = core.replica.fleet.machines.values();
        machines
            .filter(|m| m.pool.zone == zone && m.pool.machine_type == wish.kind)
            .count()
    };
    let mut offers: Vec<(String, bool)> = Vec::new();
    for spot in [true, false] {
        if spot && (wish.spot == 0 || kind.spot_price <= 0.0 || kind.spot_price >= kind.price) {
            continue;
        }
        let mut zones = kind.zones.clone();
        zones.sort_by_key(|z| count_in(z));
        for zone in zones {
            let key = (kind.name.clone(), zone.clone(), spot);
            if core.rent.refused.get(&key).is_none_or(|until| *until < now) {
                offers.push((zone, spot));
            }
        }
    }
    offers
}

/// Records a name, rents under it, and records the machines. Returns how many came.
async fn hire(node: &Arc<Node>, revision: u64, record: Rental) -> u32 {
    // The leader key's revision is never given twice, so neither is this name.
    let name = {
        let mut core = node.core();
        core.rent.rented_in_all += 1;
        format!("r-{revision}-{}", core.rent.rented_in_all)
    };
    let put = Operation::put(RecordKey::Rental(&name), &record);
    let guards = [
        guard(revision),
        Precondition {
            key: RecordKey::Rental(&name).into(),
            revision: 0,
        },
    ];
    match node
        .state
        .compare_and_swap(&guards, std::slice::from_ref(&put))
        .await
    {
        Ok(revision) => {
            node.core().apply(vec![put], revision);
        }
        Err(_) => return 0,
    }
    send_hire(node, revision, &name, &record).await
}

/// Sends a recorded rental, for the first time or again: a repeat of one that was carried out
/// rents nothing and names the same machines.
async fn send_hire(node: &Arc<Node>, revision: u64, name: &str, record: &Rental) -> u32 {
    let rental = cloud::RentalRequest {
        name,
        machine_type: &record.pool.machine_type,
        zone: &record.pool.zone,
        spot: record.pool.spot,
        count: record.count,
    };
    let outcome = node.cloud.rent(&rental).await;
    let names = match outcome {
        Ok(names) => names,
        Err(CloudError::NoCapacity | CloudError::Malformed) => Vec::new(),
        Err(error) => {
            tracing::info!(name, %error, "a rental is open");
            return 0;
        }
    };
    tracing::info!(
        name,
        kind = record.pool.machine_type,
        zone = record.pool.zone,
        spot = record.pool.spot,
        asked = record.count,
        got = names.len(),
        "rented"
    );
    let got = names.len() as u32;
    let (op, mark_before) = {
        let mut core = node.core();
        // An earlier answer to the same request may be in the record by now, and its machines may
        // have changed hands or gone: filling it again would take their tokens back.
        let kept = core.replica.fleet.rentals.get(name);
        let Some(mark_before) = kept.filter(|k| k.record.unconfirmed).map(|k| k.revision) else {
            return got;
        };
        if got < record.count {
            let key = (
                record.pool.machine_type.clone(),
                record.pool.zone.clone(),
                record.pool.spot,
            );
            let until = Instant::now() + Duration::from_secs(20);
            core.rent.refused.insert(key, until);
        }
        let owners = first_owners(node, &core, record, names.len());
        let machines = names.into_iter().zip(owners);
        // A token starts at the leader's revision, and rises from there with each change of owner.
        let machines: Vec<RentedMachine> = machines
            .map(|(name, owner)| RentedMachine {
                name,
                owner,
                fencing_token: revision,
                state: MachineState::Active,
            })
            .collect();
        let filled = Rental {
            unconfirmed: false,
            machines,
            ..record.clone()
        };
        let op = match filled.machines.is_empty() {
            true => Operation::delete(RecordKey::Rental(name)),
            false => Operation::put(RecordKey::Rental(name), &filled),
        };
        (op, mark_before)
    };
    let guards = [
        guard(revision),
        Precondition {
            key: RecordKey::Rental(name).into(),
            revision: mark_before,
        },
    ];
    if let Ok(revision) = node
        .state
        .compare_and_swap(&guards, std::slice::from_ref(&op))
        .await
    {
        node.core().apply(vec![op], revision);
        node.wake_up.notify_one();
    }
    got
}

/// Who gets new machines: those whose work lacks most, so that few change hands while they boot.
fn first_owners(node: &Node, core: &Core, rental: &Rental, count: usize) -> Vec<Member> {
    let (kind, zone, spot) = (
        &rental.pool.machine_type,
        &rental.pool.zone,
        rental.pool.spot,
    );
    let present = core.replica.present_members();
    let Some(shares) = core.replica.assignment.as_ref() else {
        return vec![node.identity.clone(); count];
    };
    let fleet = &core.replica.fleet.machines;
    let of_kind = || fleet.values().filter(|m| m.pool.machine_type == *kind);
    let demand = WorkloadEstimate::new(node, core, &shares.record).by_member;
    let now = |spot: bool| of_kind().filter(|m| m.pool.spot == spot).count();
    let count_with = |s: bool| (now(s) + if s == spot { count } else { 0 }) as f64;
    let counts = MachineCounts {
        spot: count_with(true),
        on_demand: count_with(false),
    };
    let targets = machine_targets(&present, kind, &demand, counts);
    let targets = targets.of(spot);
    let mut have: BTreeMap<&Member, (f64, u32)> = present.iter().map(|m| (m, (0.0, 0))).collect();
    for machine in of_kind().filter(|m| m.pool.spot == spot) {
        if let Some(have) = have.get_mut(&machine.owner) {
            have.0 += 1.0;
            have.1 += u32::from(machine.pool.zone == *zone);
        }
    }
    let mut owners = Vec::with_capacity(count);
    for _ in 0..count {
        let lack = |m: &Member, have: f64| targets.get(m).copied().unwrap_or(0.0) - have;
        // Nearly equal lacks: whoever has most of the zone keeps it whole.
        let neediest = have.iter().max_by(|a, b| {
            let (la, lb) = (lack(a.0, a.1.0), lack(b.0, b.1.0));
            let class = |lack: f64| (lack / 16.0).floor();
            let by_lack = class(la).total_cmp(&class(lb));
            by_lack.then(a.1.1.cmp(&b.1.1)).then(la.total_cmp(&lb))
        });
        let Some(member) = neediest.map(|(m, _)| (*m).clone()) else {
            owners.push(node.identity.clone());
            continue;
        };
        let entry = have.get_mut(&member).expect("present");
        entry.0 += 1.0;
        entry.1 += 1;
        owners.push(member);
    }
    owners
}

/// Rentals whose answer never came, or whose renter ended, are sent again under their name.
pub(super) async fn resend_hires(node: &Arc<Node>, revision: u64) {
    let now_ms = wall_ms();
    let open: Vec<(String, Rental)> = {
        let core = node.core();
        let open = core.replica.fleet.unconfirmed_rentals();
        open.filter(|(_, r)| age_s(r.requested_ms, now_ms) > 4.0)
            .map(|(name, r)| (name.clone(), r.clone()))
            .collect()
    };
    for (name, record) in open.into_iter().take(4) {
        send_hire(node, revision, &name, &record).await;
    }
}
