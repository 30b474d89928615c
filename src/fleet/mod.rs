//! The rented machines as the durable records describe them.
//!
//! A record covers a whole rental and names the owner and the fencing token of each of its machines. So a
//! thousand boots, or a takeover, cost one put per rental rather than one per machine, and the
//! preconditions of a page's write name rentals, of which there are few.
//!
//! This module holds the records and derives the index of machines from them. It does not decide which
//! machines to rent, to release or to move, and it does not write records; `renting` and `membership` do.

mod index;
mod rental;

pub use index::{Fleet, Machine};
pub use rental::{Rental, RentalPart, RentedMachine, max_machines_per_rental, split_to_fit};

/// What may be done with a machine. The states follow each other in this order and never go back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineState {
    /// Tasks may be placed on it.
    Active,
    /// No further task is placed on it; it is released when it is empty.
    Draining,
    /// Its release was decided and may be sent at any time.
    Releasing,
}

/// Machines that are alike to the cloud: the unit of its offers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachinePool {
    pub machine_type: String,
    pub zone: String,
    /// Whether these are spot machines, which the cloud may take back.
    pub spot: bool,
}

#[cfg(test)]
mod tests;
