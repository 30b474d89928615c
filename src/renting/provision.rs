//! Spreads the requested machines over the cloud's offers. `rental` records and sends each rental.

use super::rental::rent;
use super::state::ScaleOutRequest;
use crate::fleet::{MachinePool, Rental, max_machines_per_rental};
use crate::node::{Core, Node, wall_ms};
use std::sync::Arc;
use std::time::Instant;

/// Rents what was requested, and then substitutes for what the cloud lacks.
pub(super) async fn provision(node: &Arc<Node>, leader_revision: u64) {
    let requests = std::mem::take(&mut node.core().scaling.scale_out_requests);
    let mut substitutes = Vec::new();
    for request in requests {
        substitutes.extend(fulfil(node, leader_revision, &request).await);
    }
    for request in substitutes {
        // A substitute has no substitutes of its own.
        fulfil(node, leader_revision, &request).await;
    }
}

/// What is left of a request while its offers are tried.
struct Remaining {
    count: u32,
    spot: u32,
}

impl Remaining {
    /// Machines that may still be rented of such an offer.
    fn for_offer(&self, request: &ScaleOutRequest, spot: bool) -> u32 {
        if spot {
            self.count.min(self.spot)
        } else if request.spot_only {
            0
        } else {
            self.count
        }
    }

    fn record_received(&mut self, machines: u32, spot: bool) {
        self.count = self.count.saturating_sub(machines);
        if spot {
            self.spot = self.spot.saturating_sub(machines);
        }
    }
}

/// Rents the machines of a request, offer by offer; returns the requests for substitutes.
async fn fulfil(
    node: &Arc<Node>,
    leader_revision: u64,
    request: &ScaleOutRequest,
) -> Vec<ScaleOutRequest> {
    let mut remaining = Remaining {
        count: request.count,
        spot: request.max_spot,
    };
    let offers = offers(node, request);
    for (index, pool) in offers.iter().enumerate() {
        let count = remaining.for_offer(request, pool.spot);
        if count == 0 {
            continue;
        }
        // The zones share what is requested, and what one of them lacks the next ones give.
        let zones = offers[index..].iter().filter(|o| o.spot == pool.spot);
        let count = count.div_ceil(zones.count() as u32);
        let received = rent_from_pool(node, leader_revision, pool, count).await;
        remaining.record_received(received, pool.spot);
    }
    if remaining.count == 0 {
        return Vec::new();
    }
    tracing::info!(
        machine_type = request.machine_type,
        missing = remaining.count,
        "cloud capacity exhausted"
    );
    substitute_requests(request, remaining.count)
}

/// Rents machines of one pool, in as many rentals as their records need; stops at the first that is not
/// filled. Returns how many machines it got.
async fn rent_from_pool(
    node: &Arc<Node>,
    leader_revision: u64,
    pool: &MachinePool,
    count: u32,
) -> u32 {
    let max_per_rental = max_machines_per_rental(node.settings.max_value_bytes()) as u32;
    let mut left = count;
    let mut received = 0;
    while left > 0 {
        let rental = Rental {
            pool: pool.clone(),
            count: left.min(max_per_rental),
            requested_ms: wall_ms(),
            unconfirmed: true,
            machines: Vec::new(),
        };
        let requested = rental.count;
        let got = rent(node, leader_revision, rental).await;
        received += got;
        left -= requested;
        if got < requested {
            break;
        }
    }
    received
}

/// The paper has one machine type. Where the cloud has no more of a type, work that may run on another is
/// better late on that one than not run at all.
fn substitute_requests(request: &ScaleOutRequest, missing: u32) -> Vec<ScaleOutRequest> {
    let substitutes = request.substitutes.iter();
    substitutes
        .map(|substitute| (substitute, substitute.count.min(missing)))
        .filter(|(_, count)| *count > 0)
        .map(|(substitute, count)| ScaleOutRequest {
            machine_type: substitute.machine_type.clone(),
            count,
            max_spot: count,
            spot_only: substitute.spot_only,
            substitutes: Vec::new(),
        })
        .collect()
}

/// The pools to try for a request: spot machines first where they are allowed and cheaper, then the zones
/// with the fewest machines of the type. Pools that recently had no capacity are left out.
fn offers(node: &Node, request: &ScaleOutRequest) -> Vec<MachinePool> {
    let core = node.core();
    let Some(machine_type) = core.machine_type(&request.machine_type) else {
        return Vec::new();
    };
    let now = Instant::now();
    let mut zones = machine_type.zones.clone();
    zones.sort_by_key(|zone| machines_in_zone(&core, &machine_type.name, zone));
    let spot_is_cheaper =
        machine_type.spot_price > 0.0 && machine_type.spot_price < machine_type.price;
    let mut offers = Vec::new();
    for spot in [true, false] {
        if spot && (request.max_spot == 0 || !spot_is_cheaper) {
            continue;
        }
        for zone in &zones {
            let pool = MachinePool {
                machine_type: machine_type.name.clone(),
                zone: zone.clone(),
                spot,
            };
            let exhausted_until = core.scaling.exhausted_pools.get(&pool);
            if exhausted_until.is_none_or(|until| *until < now) {
                offers.push(pool);
            }
        }
    }
    offers
}

fn machines_in_zone(core: &Core, machine_type: &str, zone: &str) -> usize {
    let machines = core.replica.fleet.machines.values();
    machines
        .filter(|machine| machine.pool.zone == zone && machine.pool.machine_type == machine_type)
        .count()
}
