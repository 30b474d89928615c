//! Merges the records of small rentals. Rentals of a few machines each would make a takeover cost as many
//! puts as one of a key per machine.

use super::release_decision::DEFAULT_BOOT_S;
use super::service::leadership_precondition;
use crate::fleet::{MachinePool, Rental, max_machines_per_rental};
use crate::node::{Core, Node, age_s, wall_ms};
use crate::state::records::Versioned;
use crate::state::{Operation, Precondition, RecordKey};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MERGE_INTERVAL: Duration = Duration::from_secs(3);
/// The part of this controller's writes that must be unused for a merge.
const MIN_WRITE_HEADROOM: f64 = 0.5;
/// Rentals merged at a time, at least and at most.
const MIN_MERGED: usize = 3;
const MAX_MERGED: usize = 6;
/// A rental's machines are surely up after so many expected boots, and so many seconds.
const SETTLED_BOOTS: f64 = 3.0;
const SETTLED_GRACE_S: f64 = 20.0;

/// A recorded rental with its name.
type NamedRental = (String, Versioned<Rental>);
/// The same, as the replica holds it.
type HeldRental<'a> = (&'a String, &'a Versioned<Rental>);

/// The leader: moves the machines of small rentals, once all are surely up, into one record. That costs a
/// put, and the deletions that the ends of these rentals would cost in any case.
pub(super) async fn merge_rentals(node: &Arc<Node>, leader_revision: u64) {
    if !begin_merge(node) {
        return;
    }
    let chosen = rentals_to_merge(node, &node.core());
    if chosen.len() < MIN_MERGED {
        return;
    }
    let mut preconditions = vec![leadership_precondition(leader_revision)];
    preconditions.extend(chosen.iter().map(|(name, rental)| Precondition {
        key: RecordKey::Rental(name).into(),
        revision: rental.revision,
    }));
    let (name, merged, operations) = merge_operations(chosen);
    let written = node
        .state
        .compare_and_swap(&preconditions, &operations)
        .await;
    let Ok(revision) = written else {
        node.read_barrier().await;
        return;
    };
    tracing::debug!(rental = name, machines = merged, "rentals merged");
    node.core().apply(operations, revision);
}

/// Whether a merge is due and there are writes for it; keeps when it was.
fn begin_merge(node: &Node) -> bool {
    let now = Instant::now();
    let mut core = node.core();
    let last = core.scaling.last_merge;
    let is_due = last.is_none_or(|at| now >= at + MERGE_INTERVAL);
    if !is_due || node.state.write_headroom() < MIN_WRITE_HEADROOM {
        return false;
    }
    core.scaling.last_merge = Some(now);
    true
}

/// The name of the merged rental, its number of machines, and the changes. The put comes first: a machine is
/// released when no record lists it.
fn merge_operations(rentals: Vec<NamedRental>) -> (String, u32, Vec<Operation>) {
    let mut rentals = rentals.into_iter();
    let (name, target) = rentals.next().expect("at least MIN_MERGED rentals");
    let mut merged = target.record;
    let mut deletions = Vec::new();
    for (other, rental) in rentals {
        merged.machines.extend(rental.record.machines);
        merged.requested_ms = merged.requested_ms.max(rental.record.requested_ms);
        deletions.push(Operation::delete(RecordKey::Rental(&other)));
    }
    merged.count = merged.machines.len() as u32;
    let mut operations = vec![Operation::put(RecordKey::Rental(&name), &merged)];
    operations.extend(deletions);
    (name, merged.count, operations)
}

/// Rentals of the pool that has most of them whose machines fit one record, the largest first.
fn rentals_to_merge(node: &Node, core: &Core) -> Vec<NamedRental> {
    let now_ms = wall_ms();
    let mut by_pool: BTreeMap<&MachinePool, Vec<HeldRental<'_>>> = BTreeMap::new();
    for (name, rental) in &core.replica.fleet.rentals {
        if is_settled(core, &rental.record, now_ms) {
            let pool = by_pool.entry(&rental.record.pool).or_default();
            pool.push((name, rental));
        }
    }
    let Some(mut rentals) = by_pool.into_values().max_by_key(Vec::len) else {
        return Vec::new();
    };
    rentals.sort_by_key(|(_, rental)| Reverse(rental.record.machines.len()));
    let max_machines = max_machines_per_rental(node.settings.max_value_bytes());
    let mut machines = 0;
    let mut chosen = Vec::new();
    for (name, rental) in rentals {
        let fits = machines + rental.record.machines.len() <= max_machines;
        if chosen.len() < MAX_MERGED && fits {
            machines += rental.record.machines.len();
            chosen.push((name.clone(), rental.clone()));
        }
    }
    chosen
}

/// Whether the machines of a rental are surely up.
fn is_settled(core: &Core, rental: &Rental, now_ms: u64) -> bool {
    let machine_type = core.machine_type(&rental.pool.machine_type);
    let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
    let age = age_s(rental.requested_ms, now_ms);
    !rental.unconfirmed && age > boot_s * SETTLED_BOOTS + SETTLED_GRACE_S
}
