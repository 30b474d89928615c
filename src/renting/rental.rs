//! A rental from its record to its machines: recorded under its name before it is sent, and sent again under
//! that name until the cloud has answered.

use super::initial_owners::initial_owners;
use super::service::leadership_precondition;
use crate::cloud::{CloudError, RentalRequest};
use crate::fleet::{MachineState, Rental, RentedMachine};
use crate::node::{Core, Node, age_s, wall_ms};
use crate::state::{Operation, Precondition, RecordKey};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a pool without capacity is not asked for again.
const EXHAUSTED_FOR: Duration = Duration::from_secs(20);
/// Seconds from a rental's request after which it is sent again: its call has timed out by then.
const RETRY_AFTER_S: f64 = 4.0;
/// Rentals sent again in one round of the loop.
const MAX_RETRIES_PER_ROUND: usize = 4;

/// Records a rental under a new name, sends it, and records its machines. Returns how many the cloud gave.
pub(super) async fn rent(node: &Arc<Node>, leader_revision: u64, rental: Rental) -> u32 {
    let name = new_name(&mut node.core(), leader_revision);
    let put = Operation::put(RecordKey::Rental(&name), &rental);
    let preconditions = [
        leadership_precondition(leader_revision),
        Precondition {
            key: RecordKey::Rental(&name).into(),
            revision: 0,
        },
    ];
    let written = node
        .state
        .compare_and_swap(&preconditions, std::slice::from_ref(&put))
        .await;
    let Ok(revision) = written else {
        return 0; // if the record was written after all, `retry_rentals` sends it
    };
    node.core().apply(vec![put], revision);
    send_rental(node, leader_revision, &name, &rental).await
}

/// The leader key's revision is never given twice, so neither is this name.
fn new_name(core: &mut Core, leader_revision: u64) -> String {
    core.scaling.rental_count += 1;
    format!("r-{leader_revision}-{}", core.scaling.rental_count)
}

/// Sends rentals again whose answer never came, or whose leader ended.
pub(super) async fn retry_rentals(node: &Arc<Node>, leader_revision: u64) {
    let now_ms = wall_ms();
    let overdue: Vec<(String, Rental)> = {
        let core = node.core();
        let unconfirmed = core.replica.fleet.unconfirmed_rentals();
        unconfirmed
            .filter(|(_, rental)| age_s(rental.requested_ms, now_ms) > RETRY_AFTER_S)
            .take(MAX_RETRIES_PER_ROUND)
            .map(|(name, rental)| (name.clone(), rental.clone()))
            .collect()
    };
    for (name, rental) in overdue {
        send_rental(node, leader_revision, &name, &rental).await;
    }
}

/// Sends a recorded rental, for the first time or again: a repeat of one that was carried out rents nothing
/// and returns the same machines. Returns how many machines the cloud gave.
async fn send_rental(node: &Arc<Node>, leader_revision: u64, name: &str, rental: &Rental) -> u32 {
    let Some(machines) = request_machines(node, name, rental).await else {
        return 0;
    };
    let received = machines.len() as u32;
    let answer = RentalAnswer {
        name,
        rental,
        machines,
    };
    record_answer(node, leader_revision, answer).await;
    received
}

/// The names of the machines that the cloud gave; none if it did not answer, and the rental stays unconfirmed.
async fn request_machines(node: &Node, name: &str, rental: &Rental) -> Option<Vec<String>> {
    let pool = &rental.pool;
    let request = RentalRequest {
        name,
        machine_type: &pool.machine_type,
        zone: &pool.zone,
        spot: pool.spot,
        count: rental.count,
    };
    let machines = match node.cloud.rent(&request).await {
        Ok(machines) => machines,
        Err(CloudError::NoCapacity | CloudError::Malformed) => Vec::new(),
        Err(error) => {
            tracing::info!(rental = name, %error, "rental unconfirmed");
            return None;
        }
    };
    tracing::info!(
        rental = name,
        machine_type = pool.machine_type,
        zone = pool.zone,
        spot = pool.spot,
        requested = rental.count,
        received = machines.len(),
        "rental confirmed"
    );
    Some(machines)
}

/// What the cloud gave for a rental.
struct RentalAnswer<'a> {
    name: &'a str,
    /// The rental as it was sent.
    rental: &'a Rental,
    machines: Vec<String>,
}

/// Records the machines that a rental got, or deletes its record if it got none.
async fn record_answer(node: &Arc<Node>, leader_revision: u64, answer: RentalAnswer<'_>) {
    let key = RecordKey::Rental(answer.name).to_string();
    let (operation, recorded_revision) = {
        let mut core = node.core();
        // An earlier answer to the same request may be in the record by now, and its machines may have
        // changed owner or been released: filling it again would take their tokens back.
        let recorded = core.replica.fleet.rentals.get(answer.name);
        let unconfirmed = recorded.filter(|recorded| recorded.record.unconfirmed);
        let Some(recorded_revision) = unconfirmed.map(|recorded| recorded.revision) else {
            return;
        };
        if answer.machines.len() < answer.rental.count as usize {
            let pool = answer.rental.pool.clone();
            let until = Instant::now() + EXHAUSTED_FOR;
            core.scaling.exhausted_pools.insert(pool, until);
        }
        let filled = confirmed_rental(node, &core, leader_revision, answer);
        let operation = if filled.machines.is_empty() {
            Operation::delete(key.clone())
        } else {
            Operation::put(key.clone(), &filled)
        };
        (operation, recorded_revision)
    };
    let preconditions = [
        leadership_precondition(leader_revision),
        Precondition {
            key,
            revision: recorded_revision,
        },
    ];
    let written = node
        .state
        .compare_and_swap(&preconditions, std::slice::from_ref(&operation))
        .await;
    if let Ok(revision) = written {
        node.core().apply(vec![operation], revision);
        node.wake_up.notify_one();
    }
}

/// The rental with its machines. A fencing token starts at the revision of the leader's key, and rises from
/// there with each change of owner.
fn confirmed_rental(
    node: &Node,
    core: &Core,
    leader_revision: u64,
    answer: RentalAnswer<'_>,
) -> Rental {
    let owners = initial_owners(node, core, &answer.rental.pool, answer.machines.len());
    let machines = answer.machines.into_iter().zip(owners);
    let machines = machines.map(|(name, owner)| RentedMachine {
        name,
        owner,
        fencing_token: leader_revision,
        state: MachineState::Active,
    });
    Rental {
        unconfirmed: false,
        machines: machines.collect(),
        ..answer.rental.clone()
    }
}
