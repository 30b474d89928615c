//! The rentals of the replica, and the index of their machines by name.
//!
//! Changes may arrive late and in any order; the revisions of the keys order them.

use super::{MachinePool, MachineState, Rental, RentedMachine};
use crate::membership::assignment::Member;
use crate::state::records::Versioned;
use std::collections::{BTreeMap, HashSet, VecDeque};

/// A recorded machine, with what its rental says of it.
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

/// Names of released machines that are remembered at most, so that memory stays bounded.
const MAX_RELEASED: usize = 8_000;

/// All rentals, and their machines by name.
#[derive(Debug, Default)]
pub struct Fleet {
    pub rentals: BTreeMap<String, Versioned<Rental>>,
    pub machines: BTreeMap<String, Machine>,
    /// Machines that recently left the records: the cloud's list and late heartbeats may still name them.
    released: HashSet<String>,
    released_order: VecDeque<String>,
    /// Machines whose record changed since `take_changed_machines` was last called.
    changed: Vec<String>,
}

impl Fleet {
    /// Takes in a rental's record, unless the one held is as new.
    pub fn apply_put(&mut self, name: &str, record: Rental, revision: u64) {
        let held = self.rentals.get(name);
        if held.is_some_and(|held| held.revision >= revision) {
            return;
        }
        if let Some(held) = self.rentals.remove(name) {
            for machine in held.record.machines {
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

    /// Takes in that a rental's record was deleted, unless the one held is as new.
    pub fn apply_delete(&mut self, name: &str, revision: u64) {
        let held = self.rentals.get(name);
        if held.is_none_or(|held| held.revision >= revision) {
            return;
        }
        if let Some(held) = self.rentals.remove(name) {
            for machine in held.record.machines {
                self.remove_machine(name, machine.name);
            }
        }
    }

    /// A machine left a rental's record: it is released, unless another record has it by now.
    fn remove_machine(&mut self, rental: &str, machine: String) {
        let held = self.machines.get(&machine);
        if held.is_some_and(|held| held.rental != rental) {
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
        if self.released_order.len() > MAX_RELEASED
            && let Some(oldest) = self.released_order.pop_front()
        {
            self.released.remove(&oldest);
        }
    }

    /// Whether the machine was released as far as this process knows.
    pub fn was_released(&self, machine: &str) -> bool {
        self.released.contains(machine)
    }

    /// Drops all records before they are listed again. That a machine was released never changes, so it
    /// stays known.
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

    /// The machines whose record changed since the last call.
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

    /// The rentals that `machines` belong to, each machine changed by `change`, which returns false for a
    /// machine that leaves the record. The records held here stay as they are; the revisions are those
    /// under which the changes may be written.
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
            let Some(held) = self.rentals.get(&machine.rental) else {
                continue;
            };
            let rental = changed
                .entry(machine.rental.clone())
                .or_insert_with(|| held.clone());
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
