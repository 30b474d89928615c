//! The rentals of the replica, and an index of their machines by name.
//!
//! Changes may arrive late and in any order; key revisions determine which record is newer.

use super::{MachinePool, MachineState, Rental, RentedMachine};
use crate::membership::assignment::Member;
use crate::state::records::Versioned;
use std::collections::{BTreeMap, HashSet, VecDeque};

/// A recorded machine, with the data of its rental.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// The name of its rental.
    pub rental: String,
    pub pool: MachinePool,
    /// When its rental was requested, in milliseconds since the Unix epoch.
    pub requested_ms: u64,
    pub owner: Member,
    pub fencing_token: u64,
    pub state: MachineState,
}

impl Machine {
    fn new(rental: &str, record: &Rental, machine: &RentedMachine) -> Self {
        Self {
            rental: rental.to_owned(),
            pool: record.pool.clone(),
            requested_ms: record.requested_ms,
            owner: machine.owner.clone(),
            fencing_token: machine.fencing_token,
            state: machine.state,
        }
    }
}

/// Maximum number of released machines to remember, which bounds memory use.
const MAX_REMEMBERED_RELEASES: usize = 8_000;

/// All rentals, and their machines by name.
#[derive(Debug, Default)]
pub struct Fleet {
    pub rentals: BTreeMap<String, Versioned<Rental>>,
    pub machines: BTreeMap<String, Machine>,
    /// Machines that recently left the records. The cloud's list and late heartbeats may still name them.
    released: HashSet<String>,
    /// The same machines, oldest release first.
    released_order: VecDeque<String>,
    /// Machines whose record changed since the last call of `take_changed_machines`.
    changed: Vec<String>,
}

impl Fleet {
    /// Applies a rental's record, unless the current one is of the same or a newer revision.
    pub fn apply_put(&mut self, name: &str, record: Rental, revision: u64) {
        let current = self.rentals.get(name);
        if current.is_some_and(|current| current.revision >= revision) {
            return;
        }
        if let Some(previous) = self.rentals.remove(name) {
            for machine in previous.record.machines {
                if !record.machines.iter().any(|m| m.name == machine.name) {
                    self.remove_machine(name, machine.name);
                }
            }
        }
        for machine in &record.machines {
            let indexed = Machine::new(name, &record, machine);
            if self.machines.get(&machine.name) != Some(&indexed) {
                self.machines.insert(machine.name.clone(), indexed);
                self.changed.push(machine.name.clone());
            }
        }
        self.rentals
            .insert(name.to_owned(), Versioned { record, revision });
    }

    /// Applies the deletion of a rental's record, unless the current record is of the same or a newer revision.
    pub fn apply_delete(&mut self, name: &str, revision: u64) {
        let current = self.rentals.get(name);
        if current.is_none_or(|current| current.revision >= revision) {
            return;
        }
        if let Some(previous) = self.rentals.remove(name) {
            for machine in previous.record.machines {
                self.remove_machine(name, machine.name);
            }
        }
    }

    /// Removes a machine that left a rental's record and remembers it as released, unless another record has it
    /// by now.
    fn remove_machine(&mut self, rental: &str, machine: String) {
        let current = self.machines.get(&machine);
        if current.is_some_and(|current| current.rental != rental) {
            return;
        }
        self.machines.remove(&machine);
        self.changed.push(machine.clone());
        self.remember_released(machine);
    }

    fn remember_released(&mut self, machine: String) {
        if !self.released.insert(machine.clone()) {
            return;
        }
        self.released_order.push_back(machine);
        if self.released_order.len() > MAX_REMEMBERED_RELEASES
            && let Some(oldest) = self.released_order.pop_front()
        {
            self.released.remove(&oldest);
        }
    }

    /// Whether this process knows that the machine was released.
    pub fn was_released(&self, machine: &str) -> bool {
        self.released.contains(machine)
    }

    /// Drops all records before they are listed again. Released machines stay remembered, because a release is
    /// never undone.
    pub fn clear_for_reload(&mut self) {
        let released = std::mem::take(&mut self.released);
        let released_order = std::mem::take(&mut self.released_order);
        let machines = std::mem::take(&mut self.machines);
        *self = Self {
            released,
            released_order,
            changed: machines.into_keys().collect(),
            ..Self::default()
        };
    }

    /// Returns the machines whose record changed since the last call.
    pub fn take_changed_machines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.changed)
    }

    /// Rentals whose request may still be in progress, by name.
    pub fn unconfirmed_rentals(&self) -> impl Iterator<Item = (&String, &Rental)> {
        let rentals = self.rentals.iter();
        rentals
            .filter(|(_, rental)| rental.record.unconfirmed)
            .map(|(name, rental)| (name, &rental.record))
    }

    /// Returns copies of the rentals that `machines` belong to, with `change` applied to each of these machines.
    /// A machine for which `change` returns false is removed from its copy. The index itself does not change;
    /// the returned revisions are the preconditions for writing the copies.
    pub fn with_machines_changed<'a>(
        &self,
        machines: impl IntoIterator<Item = &'a str>,
        mut change: impl FnMut(&mut RentedMachine) -> bool,
    ) -> BTreeMap<String, Versioned<Rental>> {
        let mut changed: BTreeMap<String, Versioned<Rental>> = BTreeMap::new();
        for name in machines {
            let Some(machine) = self.machines.get(name) else {
                continue;
            };
            let Some(current) = self.rentals.get(&machine.rental) else {
                continue;
            };
            let rental = changed
                .entry(machine.rental.clone())
                .or_insert_with(|| current.clone());
            let machines = &mut rental.record.machines;
            if let Some(index) = machines.iter().position(|m| m.name == name)
                && !change(&mut machines[index])
            {
                machines.remove(index);
            }
        }
        changed
    }
}
