//! Rented machines, as described by the durable rental records.
//!
//! A record covers a whole rental and holds the owner and the fencing token of each of its machines. Booting a
//! thousand machines, or taking over a controller's machines, therefore costs one put per rental instead of one
//! per machine. The preconditions of a page write refer to rentals for the same reason: there are far fewer of
//! them than machines.
//!
//! This module defines the records and derives an index of machines from them. `renting` and `membership` decide
//! which machines to rent, release or reassign, and write the records.

mod index;
mod rental;

pub use index::{Fleet, Machine};
pub use rental::{Rental, RentalPart, RentedMachine, max_machines_per_rental, split_to_fit};

/// Lifecycle state of a machine. It only advances, in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineState {
    /// Tasks may be placed on the machine.
    Active,
    /// No more tasks are placed on the machine, and it is released once it is empty.
    Draining,
    /// The release is decided, and the request to the cloud may be sent at any time.
    Releasing,
}

/// A group of machines that the cloud treats as interchangeable: one type, in one zone, spot or on-demand.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachinePool {
    pub machine_type: String,
    pub zone: String,
    /// Whether these are spot machines, which the cloud may preempt.
    pub spot: bool,
}

#[cfg(test)]
mod tests;
