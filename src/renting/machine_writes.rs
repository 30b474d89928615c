//! Writes changes of machines to their rental records.

use crate::fleet::{RentalPart, RentedMachine, split_to_fit};
use crate::node::{Core, Node};
use crate::state::{MAX_TRANSACTION_BYTES, Operation, Precondition, RecordKey};
use rowanmill_state::WritePriority;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A transaction that changes machines.
#[derive(Default)]
struct MachineTransaction {
    preconditions: Vec<Precondition>,
    operations: Vec<Operation>,
    /// Names of the machines that it changes.
    machines: Vec<String>,
}

/// Applies `change` to machines in their rental records, for as many machines as fit into one transaction. Returns
/// the machines whose change was written. A machine for which `change` returns false is removed from its record.
pub(super) async fn write_machine_changes(
    node: &Arc<Node>,
    names: &[String],
    change: impl FnMut(&mut RentedMachine) -> bool,
) -> Vec<String> {
    let transaction = build_transaction(node, &node.core(), names, change);
    let MachineTransaction {
        preconditions,
        operations,
        machines,
    } = transaction;
    if operations.is_empty() {
        return Vec::new();
    }
    let written = node
        .state
        .compare_and_swap(&preconditions, &operations)
        .await;
    let Ok(revision) = written else {
        node.read_barrier().await;
        return Vec::new();
    };
    node.core().apply(operations, revision);
    machines
}

fn build_transaction(
    node: &Node,
    core: &Core,
    names: &[String],
    change: impl FnMut(&mut RentedMachine) -> bool,
) -> MachineTransaction {
    // A larger transaction would exceed this controller's share of the state service's write limit. The service
    // would refuse it, or refuse writes of other controllers in its place.
    let available = node.state.available_writes(WritePriority::UserFacing);
    let max_operations = node.settings.max_transaction_operations().min(available);
    let max_value_bytes = node.settings.max_value_bytes();
    let fleet = &core.replica.fleet;
    let changed = fleet.with_machines_changed(names.iter().map(String::as_str), change);

    let mut transaction = MachineTransaction::default();
    let mut rentals = BTreeSet::new();
    let mut bytes = 0;
    for (name, rental) in changed {
        let parts = split_to_fit(&name, rental, max_value_bytes);
        let operations: Vec<Operation> = parts.iter().map(operation).collect();
        bytes += operations.iter().map(Operation::bytes).sum::<usize>();
        let count = transaction.operations.len() + operations.len();
        if bytes > MAX_TRANSACTION_BYTES || count > max_operations {
            break;
        }
        let preconditions = parts.iter().map(precondition);
        transaction.preconditions.extend(preconditions);
        transaction.operations.extend(operations);
        rentals.insert(name);
    }
    let is_changed = |name: &&String| {
        let machine = fleet.machines.get(*name);
        machine.is_some_and(|machine| rentals.contains(&machine.rental))
    };
    transaction.machines = names.iter().filter(is_changed).cloned().collect();
    transaction
}

/// Puts the record, or deletes it if it has no machines left.
fn operation(part: &RentalPart) -> Operation {
    let key = RecordKey::Rental(&part.name).to_string();
    if part.rental.record.machines.is_empty() {
        Operation::delete(key)
    } else {
        Operation::put(key, &part.rental.record)
    }
}

fn precondition(part: &RentalPart) -> Precondition {
    Precondition {
        key: RecordKey::Rental(&part.name).into(),
        revision: part.rental.revision,
    }
}
