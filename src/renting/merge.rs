//! Merges the records of small rentals. With only a few machines per record, taking over a controller's machines
//! would cost nearly as many puts as with one record per machine.

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
/// Minimum fraction of this controller's budget for background writes that must be left for a merge.
const MIN_WRITE_HEADROOM: f64 = 0.5;
/// Minimum and maximum number of rentals merged at a time.
const MIN_MERGED: usize = 3;
const MAX_MERGED: usize = 6;
/// All machines of a rental are assumed to have booted after this many typical boot times plus the margin.
const SETTLED_BOOT_FACTOR: f64 = 3.0;
const SETTLED_MARGIN_S: f64 = 20.0;

/// A recorded rental with its name.
type NamedRental = (String, Versioned<Rental>);
/// A borrowed recorded rental with its name.
type RentalRef<'a> = (&'a String, &'a Versioned<Rental>);

/// Moves the machines of small rentals into one record once all have booted. Called on the leader only. This
/// costs one put, and the deletions that would be needed anyway when these rentals end.
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

/// Whether a merge is due and enough writes are left for it. If so, records the time.
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

/// Returns the name of the merged rental, its number of machines, and the operations. The put precedes the
/// deletions, because a machine counts as released when no record lists it.
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

/// Selects rentals to merge from the pool with the most settled rentals: the largest ones first, as long as their
/// machines fit into one record.
fn rentals_to_merge(node: &Node, core: &Core) -> Vec<NamedRental> {
    let now_ms = wall_ms();
    let mut by_pool: BTreeMap<&MachinePool, Vec<RentalRef<'_>>> = BTreeMap::new();
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

/// Whether a rental is confirmed and old enough for all its machines to have booted.
fn is_settled(core: &Core, rental: &Rental, now_ms: u64) -> bool {
    let machine_type = core.machine_type(&rental.pool.machine_type);
    let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
    let age = age_s(rental.requested_ms, now_ms);
    !rental.unconfirmed && age > boot_s * SETTLED_BOOT_FACTOR + SETTLED_MARGIN_S
}
