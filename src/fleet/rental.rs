//! The durable record of a rental: its JSON, and how many machines fit one.
//!
//! The JSON is read by controllers of other versions, so its fields keep their names and their order.

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
    /// Rises with each change of owner, under the precondition of the rental's key: any answer that an
    /// earlier owner still sends carries a lower token, and the worker discards it.
    pub fencing_token: u64,
    pub state: MachineState,
}

/// A request to the cloud for machines of one pool, and the machines that it got. It is recorded before the
/// request is sent, with no machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "RentalRecord", into = "RentalRecord")]
pub struct Rental {
    pub pool: MachinePool,
    /// Machines requested.
    pub count: u32,
    /// When they were requested, in milliseconds since the Unix epoch.
    pub requested_ms: u64,
    /// The cloud has not answered the request yet.
    pub unconfirmed: bool,
    pub machines: Vec<RentedMachine>,
}

/// A rental as it is written: each owner once, and machines that name their owner by its index.
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

/// `[name, index of the owner, fencing token, number of the state]` of a machine.
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
    /// A number that this version does not know is taken for the last state: nothing is placed on the
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
    /// An owner's index beyond the list stands for a controller without a name, which is never present.
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

/// The cloud's own limit on the machines of one request.
const MAX_MACHINES_PER_REQUEST: usize = 50;
/// Bytes that a machine takes at most in its rental's record, its share of the list of owners included:
/// names in the protocols are short, and this leaves room for longer ones.
const MAX_MACHINE_BYTES: usize = 140;
/// Bytes that the rest of the record takes at most.
const MAX_HEADER_BYTES: usize = 700;

/// Machines that one rental may ask for, so that its record fits a value of the state service whatever
/// happens to each of them.
pub fn max_machines_per_rental(max_value_bytes: usize) -> usize {
    let machine_bytes = max_value_bytes.saturating_sub(MAX_HEADER_BYTES);
    (machine_bytes / MAX_MACHINE_BYTES).clamp(1, MAX_MACHINES_PER_REQUEST)
}

/// A record to be written in place of a rental, or of a part of it.
#[derive(Debug, Clone, PartialEq)]
pub struct RentalPart {
    /// The rental's name, from which its key is made.
    pub name: String,
    /// The record, and the revision that its key must still have: 0 if the key must not exist.
    pub rental: Versioned<Rental>,
}

/// Divides a rental into as few parts as its record's size allows. A record that was written under a higher
/// limit on values would be refused for ever, and its machines could never change owner again.
///
/// The first part keeps the rental's name and revision; the others are new, under names that the revision
/// makes unique. If not even single machines fit, the rental is returned whole.
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
