//! The durable record of a rental: its JSON format, and how many machines fit into one record.
//!
//! Controllers of other versions read this JSON, so the names and the order of its fields must not change.

use super::{MachinePool, MachineState};
use crate::membership::assignment::Member;
use crate::state::records::Versioned;
use serde::{Deserialize, Serialize};

/// A machine of a rental.
#[derive(Debug, Clone, PartialEq)]
pub struct RentedMachine {
    pub name: String,
    /// The controller that places tasks on it.
    pub owner: Member,
    /// Increases with each change of owner, which is written under a precondition on the rental's key. A worker
    /// discards responses from earlier owners because they carry a lower token.
    pub fencing_token: u64,
    pub state: MachineState,
}

/// A request to the cloud for machines of one pool, and the machines received for it. It is recorded without
/// machines before the request is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "RentalRecord", into = "RentalRecord")]
pub struct Rental {
    pub pool: MachinePool,
    /// Number of machines requested.
    pub count: u32,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub requested_ms: u64,
    /// Whether the cloud has not answered the request yet.
    pub unconfirmed: bool,
    pub machines: Vec<RentedMachine>,
}

/// Stored form of a rental. It lists each owner once, and machines refer to their owner by its index.
#[derive(Clone, Serialize, Deserialize)]
struct RentalRecord {
    #[serde(rename = "kind")]
    machine_type: String,
    zone: String,
    spot: bool,
    count: u32,
    #[serde(rename = "hired_ms")]
    requested_ms: u64,
    #[serde(rename = "open", default, skip_serializing_if = "std::ops::Not::not")]
    unconfirmed: bool,
    owners: Vec<OwnerRecord>,
    machines: Vec<MachineRecord>,
}

/// `[name, incarnation]` of a controller.
#[derive(Clone, PartialEq, Default, Serialize, Deserialize)]
struct OwnerRecord(String, u64);

/// `[name, index of the owner, fencing token, state number]` of a machine.
#[derive(Clone, Serialize, Deserialize)]
struct MachineRecord(String, usize, u64, u8);

impl From<MachineState> for u8 {
    fn from(state: MachineState) -> Self {
        match state {
            MachineState::Active => 0,
            MachineState::Draining => 1,
            MachineState::Releasing => 2,
        }
    }
}

impl From<u8> for MachineState {
    /// Maps a number that this version does not know to the last state, so that nothing is placed on the
    /// machine.
    fn from(number: u8) -> Self {
        match number {
            0 => MachineState::Active,
            1 => MachineState::Draining,
            _ => MachineState::Releasing,
        }
    }
}

impl From<Member> for OwnerRecord {
    fn from(member: Member) -> Self {
        Self(member.name, member.incarnation)
    }
}

impl From<OwnerRecord> for Member {
    fn from(OwnerRecord(name, incarnation): OwnerRecord) -> Self {
        Self { name, incarnation }
    }
}

impl From<RentalRecord> for Rental {
    /// Maps an owner index beyond the list to a controller with an empty name, which is never present.
    fn from(record: RentalRecord) -> Self {
        let owners = record.owners;
        let machines = record.machines.into_iter();
        let machines = machines.map(|MachineRecord(name, owner, fencing_token, state)| {
            let owner = owners.get(owner).cloned().unwrap_or_default();
            RentedMachine {
                name,
                owner: owner.into(),
                fencing_token,
                state: state.into(),
            }
        });
        Self {
            pool: MachinePool {
                machine_type: record.machine_type,
                zone: record.zone,
                spot: record.spot,
            },
            count: record.count,
            requested_ms: record.requested_ms,
            unconfirmed: record.unconfirmed,
            machines: machines.collect(),
        }
    }
}

impl From<Rental> for RentalRecord {
    fn from(rental: Rental) -> Self {
        let mut owners: Vec<OwnerRecord> = Vec::new();
        let mut machines = Vec::with_capacity(rental.machines.len());
        for machine in rental.machines {
            let owner = OwnerRecord::from(machine.owner);
            let known = owners.iter().position(|known| *known == owner);
            let index = known.unwrap_or_else(|| {
                owners.push(owner);
                owners.len() - 1
            });
            machines.push(MachineRecord(
                machine.name,
                index,
                machine.fencing_token,
                machine.state.into(),
            ));
        }
        Self {
            machine_type: rental.pool.machine_type,
            zone: rental.pool.zone,
            spot: rental.pool.spot,
            count: rental.count,
            requested_ms: rental.requested_ms,
            unconfirmed: rental.unconfirmed,
            owners,
            machines,
        }
    }
}

/// Maximum number of machines per request, set by the cloud.
const MAX_MACHINES_PER_REQUEST: usize = 50;
/// Upper bound on the bytes that a machine takes in its rental's record, including its share of the list of
/// owners. Names in the protocols are short; the bound leaves room for longer ones.
const MAX_MACHINE_BYTES: usize = 140;
/// Upper bound on the bytes of the rest of the record.
const MAX_HEADER_BYTES: usize = 700;

/// The largest number of machines that one rental may request. Its record then fits into a value of the state
/// service whatever the owners and states of its machines are.
pub fn max_machines_per_rental(max_value_bytes: usize) -> usize {
    let machine_bytes = max_value_bytes.saturating_sub(MAX_HEADER_BYTES);
    (machine_bytes / MAX_MACHINE_BYTES).clamp(1, MAX_MACHINES_PER_REQUEST)
}

/// A record that replaces a rental or holds a part of it.
#[derive(Debug, Clone, PartialEq)]
pub struct RentalPart {
    /// The rental's name, from which its key is derived.
    pub name: String,
    /// The record, and the revision that its key must have: 0 if the key must not exist.
    pub rental: Versioned<Rental>,
}

/// Splits a rental into the fewest parts whose records fit into `max_value_bytes`. A record that was written
/// under a higher value limit would otherwise be refused forever, and its machines could never change owner
/// again.
///
/// The first part keeps the rental's name and revision. The other parts are new records, whose names contain the
/// revision to be unique. If not even single machines fit, the rental is returned whole.
pub fn split_to_fit(
    name: &str,
    rental: Versioned<Rental>,
    max_value_bytes: usize,
) -> Vec<RentalPart> {
    let machine_count = rental.record.machines.len();
    for part_count in 1..=machine_count {
        let parts = divide(&rental.record, part_count);
        if parts.iter().all(|part| fits(part, max_value_bytes)) {
            return name_parts(name, rental.revision, parts);
        }
    }
    vec![RentalPart {
        name: name.to_owned(),
        rental,
    }]
}

fn fits(rental: &Rental, max_value_bytes: usize) -> bool {
    let text = serde_json::to_vec(rental);
    text.is_ok_and(|text| text.len() <= max_value_bytes)
}

fn divide(rental: &Rental, part_count: usize) -> Vec<Rental> {
    if part_count == 1 {
        return vec![rental.clone()];
    }
    let part_len = rental.machines.len().div_ceil(part_count);
    let part = |machines: &[RentedMachine]| Rental {
        machines: machines.to_vec(),
        count: machines.len() as u32,
        ..rental.clone()
    };
    rental.machines.chunks(part_len).map(part).collect()
}

fn name_parts(name: &str, revision: u64, parts: Vec<Rental>) -> Vec<RentalPart> {
    let named = |(index, record): (usize, Rental)| {
        if index == 0 {
            return RentalPart {
                name: name.to_owned(),
                rental: Versioned { record, revision },
            };
        }
        RentalPart {
            name: format!("{name}.{revision}-{index}"),
            rental: Versioned {
                record,
                revision: 0,
            },
        }
    };
    parts.into_iter().enumerate().map(named).collect()
}
