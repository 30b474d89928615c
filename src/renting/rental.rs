//! Sends rentals to the cloud and records their machines. A rental is recorded under its name before it is sent,
//! and sent again under that name until the cloud has answered.

use super::initial_owners::initial_owners;
use super::service::leadership_precondition;
use crate::cloud::{CloudError, RentalRequest};
use crate::fleet::{MachineState, Rental, RentedMachine};
use crate::node::{Core, Node, age_s, wall_ms};
use crate::state::{Operation, Precondition, RecordKey};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which a pool without capacity is not requested again.
const EXHAUSTED_POOL_BACKOFF: Duration = Duration::from_secs(20);
/// Age in seconds at which an unconfirmed rental is sent again. The earlier request has timed out by then.
const RETRY_AFTER_S: f64 = 4.0;
/// Maximum number of rentals sent again in one iteration of the loop.
const MAX_RETRIES_PER_ITERATION: usize = 4;

/// Records a rental under a new name, sends it, and records its machines. Returns the number of machines received.
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

/// Returns a name that is never used again, because the leader key's revision is different in each term.
fn new_name(core: &mut Core, leader_revision: u64) -> String {
    core.scaling.rental_count += 1;
    format!("r-{leader_revision}-{}", core.scaling.rental_count)
}

/// Sends rentals again that the cloud has not answered, or whose leader ended before it recorded the answer.
pub(super) async fn retry_rentals(node: &Arc<Node>, leader_revision: u64) {
    let now_ms = wall_ms();
    let overdue: Vec<(String, Rental)> = {
        let core = node.core();
        let unconfirmed = core.replica.fleet.unconfirmed_rentals();
        unconfirmed
            .filter(|(_, rental)| age_s(rental.requested_ms, now_ms) > RETRY_AFTER_S)
            .take(MAX_RETRIES_PER_ITERATION)
            .map(|(name, rental)| (name.clone(), rental.clone()))
            .collect()
    };
    for (name, rental) in overdue {
        send_rental(node, leader_revision, &name, &rental).await;
    }
}

/// Sends a recorded rental, for the first time or again. If the cloud has already executed it, it rents nothing more
/// and returns the same machines. Returns the number of machines received.
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

/// Returns the names of the machines received, which are none if the cloud has no capacity or rejects the request as
/// malformed. Returns `None` if the request was not executed or its outcome is unknown, so that the rental stays
/// unconfirmed.
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

/// The cloud's answer to a rental.
struct RentalAnswer<'a> {
    name: &'a str,
    /// The rental as it was sent.
    rental: &'a Rental,
    /// Names of the machines received.
    machines: Vec<String>,
}

/// Records the machines received for a rental, or deletes its record if there are none.
async fn record_answer(node: &Arc<Node>, leader_revision: u64, answer: RentalAnswer<'_>) {
    let key = RecordKey::Rental(answer.name).to_string();
    let (operation, recorded_revision) = {
        let mut core = node.core();
        // An earlier answer to the same request may already be recorded, and its machines may since have changed
        // owner or been released. Recording them again would reset their fencing tokens.
        let recorded = core.replica.fleet.rentals.get(answer.name);
        let unconfirmed = recorded.filter(|recorded| recorded.record.unconfirmed);
        let Some(recorded_revision) = unconfirmed.map(|recorded| recorded.revision) else {
            return;
        };
        if answer.machines.len() < answer.rental.count as usize {
            let pool = answer.rental.pool.clone();
            let until = Instant::now() + EXHAUSTED_POOL_BACKOFF;
            core.scaling.exhausted_pools.insert(pool, until);
        }
        let confirmed = confirmed_rental(node, &core, leader_revision, answer);
        let operation = if confirmed.machines.is_empty() {
            Operation::delete(key.clone())
        } else {
            Operation::put(key.clone(), &confirmed)
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

/// Returns the rental with its machines. Their fencing tokens start at the revision of the leader's key and increase
/// with each change of owner.
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
