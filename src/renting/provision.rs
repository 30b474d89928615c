//! Spreads the requested machines over the cloud's pools. `rental` records and sends each rental.

use super::rental::rent;
use super::state::ScaleOutRequest;
use crate::fleet::{MachinePool, Rental, max_machines_per_rental};
use crate::node::{Core, Node, wall_ms};
use std::sync::Arc;
use std::time::Instant;

/// Rents the requested machines, and then substitutes for those that the cloud lacks.
pub(super) async fn provision(node: &Arc<Node>, leader_revision: u64) {
    let requests = std::mem::take(&mut node.core().scaling.scale_out_requests);
    let mut substitutes = Vec::new();
    for request in requests {
        substitutes.extend(fulfil_request(node, leader_revision, &request).await);
    }
    for request in substitutes {
        // A request for substitutes has no substitutes of its own.
        fulfil_request(node, leader_revision, &request).await;
    }
}

/// Machines of a request that are still to be rented.
struct Remaining {
    count: u32,
    spot: u32,
}

impl Remaining {
    /// Number of machines that may still be rented from a spot or an on-demand pool.
    fn for_pool(&self, request: &ScaleOutRequest, spot: bool) -> u32 {
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

/// Rents the machines of a request pool by pool. Returns requests for substitutes of the missing ones.
async fn fulfil_request(
    node: &Arc<Node>,
    leader_revision: u64,
    request: &ScaleOutRequest,
) -> Vec<ScaleOutRequest> {
    let mut remaining = Remaining {
        count: request.count,
        spot: request.max_spot,
    };
    let pools = pools_to_try(node, request);
    for (index, pool) in pools.iter().enumerate() {
        let count = remaining.for_pool(request, pool.spot);
        if count == 0 {
            continue;
        }
        // Divides the remaining machines evenly among the remaining zones. What one zone lacks is requested from the
        // next ones.
        let zones = pools[index..]
            .iter()
            .filter(|other| other.spot == pool.spot);
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

/// Rents machines of one pool, in as many rentals as the maximum number of machines per rental requires. Stops at
/// the first rental that the cloud does not fill. Returns the number of machines received.
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

/// Returns requests for substitutes of the missing machines. The CVSS paper has only one machine type. If the cloud
/// has no more machines of a type, it is better that work runs on another type, even late, than that it does not
/// run at all.
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

/// Returns the pools to try for a request: spot pools first, if they are allowed and cheaper, then on-demand pools;
/// in both cases, zones with the fewest machines of the type come first. Pools that recently had no capacity are
/// left out.
fn pools_to_try(node: &Node, request: &ScaleOutRequest) -> Vec<MachinePool> {
    let core = node.core();
    let Some(machine_type) = core.machine_type(&request.machine_type) else {
        return Vec::new();
    };
    let now = Instant::now();
    let mut zones = machine_type.zones.clone();
    zones.sort_by_key(|zone| machines_in_zone(&core, &machine_type.name, zone));
    let spot_is_cheaper =
        machine_type.spot_price > 0.0 && machine_type.spot_price < machine_type.price;
    let mut pools = Vec::new();
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
                pools.push(pool);
            }
        }
    }
    pools
}

fn machines_in_zone(core: &Core, machine_type: &str, zone: &str) -> usize {
    let machines = core.replica.fleet.machines.values();
    machines
        .filter(|machine| machine.pool.zone == zone && machine.pool.machine_type == machine_type)
        .count()
}
