//! The fleet as the records hold it: one record per rental, which names the owner and the token
//! of each of its machines. So a thousand boots or a takeover cost a put per rental rather than
//! one per machine, and a page's guards name rentals, of which there are few.

use crate::membership::assignment::Member;
use crate::state::replica::Versioned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// What may be done with a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    Open,
    /// No more is placed on it; it goes back when empty.
    Returning,
    /// Its release was decided and may be sent at any time.
    Closing,
}

/// A machine of a rental.
#[derive(Debug, Clone, PartialEq)]
pub struct Rented {
    pub name: String,
    pub owner: Member,
    /// Rises with each change of owner, under the guard of the rental's key: whatever an earlier
    /// owner still answers carries a lower one, and the worker drops it.
    pub token: u64,
    pub state: Use,
}

/// The durable record of a rental. It is written before the request is sent, with no machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Rental {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    pub hired_ms: u64,
    /// The cloud has not answered yet.
    pub open: bool,
    pub machines: Vec<Rented>,
}

/// As written: each owner once, machines as `[name, owner's place, token, use]`.
#[derive(Clone, Serialize, Deserialize)]
struct Wire {
    kind: String,
    zone: String,
    spot: bool,
    count: u32,
    hired_ms: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    open: bool,
    owners: Vec<(String, u64)>,
    machines: Vec<(String, usize, u64, u8)>,
}

impl From<Wire> for Rental {
    fn from(wire: Wire) -> Self {
        let owners = wire.owners;
        let machines = wire.machines.into_iter();
        Self {
            kind: wire.kind,
            zone: wire.zone,
            spot: wire.spot,
            count: wire.count,
            hired_ms: wire.hired_ms,
            open: wire.open,
            machines: machines
                .map(|(name, at, token, state)| {
                    let owner = owners.get(at).cloned().unwrap_or_default();
                    Rented {
                        name,
                        owner: Member {
                            name: owner.0,
                            incarnation: owner.1,
                        },
                        token,
                        state: match state {
                            0 => Use::Open,
                            1 => Use::Returning,
                            _ => Use::Closing,
                        },
                    }
                })
                .collect(),
        }
    }
}

impl From<Rental> for Wire {
    fn from(rental: Rental) -> Self {
        let mut owners: Vec<(String, u64)> = Vec::new();
        let mut machines = Vec::with_capacity(rental.machines.len());
        for machine in rental.machines {
            let owner = (machine.owner.name, machine.owner.incarnation);
            let at = owners.iter().position(|o| *o == owner);
            let at = at.unwrap_or_else(|| {
                owners.push(owner);
                owners.len() - 1
            });
            machines.push((machine.name, at, machine.token, machine.state as u8));
        }
        Self {
            kind: rental.kind,
            zone: rental.zone,
            spot: rental.spot,
            count: rental.count,
            hired_ms: rental.hired_ms,
            open: rental.open,
            owners,
            machines,
        }
    }
}

/// The cloud's own limit on one request.
const MOST_HIRED: usize = 50;
/// What a machine takes at most in its rental's record, its share of the owners included, and
/// what the rest of the record takes: names in the protocols are short, and these leave room.
const MACHINE_BYTES: usize = 140;
const HEAD_BYTES: usize = 700;

/// Machines that one rental may ask for, so that its record fits a value of the state service
/// whatever becomes of each of them.
pub fn most_hired(value_bytes: usize) -> usize {
    (value_bytes.saturating_sub(HEAD_BYTES) / MACHINE_BYTES).clamp(1, MOST_HIRED)
}

/// A rental's record as it is to be written, in as many parts as its size asks for: one that was written
/// under a higher limit would be refused for ever, and its machines never change hands again. The first
/// part keeps the name and revision; the others are new, under names that the revision makes unique.
pub fn in_parts(
    name: &str,
    kept: Versioned<Rental>,
    value_bytes: usize,
) -> Vec<(String, Versioned<Rental>)> {
    let fits = |rental: &Rental| {
        let text = serde_json::to_vec(rental);
        text.is_ok_and(|text| text.len() <= value_bytes)
    };
    let count = kept.record.machines.len();
    for parts in 1..=count {
        let cut = |machines: &[Rented]| Rental {
            machines: machines.to_vec(),
            count: machines.len() as u32,
            ..kept.record.clone()
        };
        let cut: Vec<Rental> = match parts {
            1 => vec![kept.record.clone()],
            _ => kept
                .record
                .machines
                .chunks(count.div_ceil(parts))
                .map(cut)
                .collect(),
        };
        if cut.iter().all(fits) {
            let part = |(at, record): (usize, Rental)| match at {
                0 => (
                    name.to_owned(),
                    Versioned {
                        record,
                        revision: kept.revision,
                    },
                ),
                at => (
                    format!("{name}.{}-{at}", kept.revision),
                    Versioned {
                        record,
                        revision: 0,
                    },
                ),
            };
            return cut.into_iter().enumerate().map(part).collect();
        }
    }
    vec![(name.to_owned(), kept)]
}

/// A recorded machine, with what its rental says of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    pub rental: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub hired_ms: u64,
    pub owner: Member,
    pub token: u64,
    pub state: Use,
}

const MOST_GONE: usize = 8_000;

#[derive(Debug, Default)]
pub struct Fleet {
    pub rentals: BTreeMap<String, Versioned<Rental>>,
    pub machines: BTreeMap<String, Machine>,
    /// Machines whose record was dropped of late: lists and late reports may still name them.
    gone: HashSet<String>,
    gone_order: VecDeque<String>,
    /// Machines whose record changed since they were last asked for.
    changed: Vec<String>,
}

impl Fleet {
    pub fn put(&mut self, name: &str, record: Rental, revision: u64) {
        if self
            .rentals
            .get(name)
            .is_some_and(|old| old.revision >= revision)
        {
            return;
        }
        if let Some(old) = self.rentals.remove(name) {
            for machine in old.record.machines {
                if !record.machines.iter().any(|m| m.name == machine.name) {
                    self.forget(name, machine.name);
                }
            }
        }
        for machine in &record.machines {
            let machine_record = Machine {
                rental: name.to_owned(),
                kind: record.kind.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                hired_ms: record.hired_ms,
                owner: machine.owner.clone(),
                token: machine.token,
                state: machine.state,
            };
            if self.machines.get(&machine.name) != Some(&machine_record) {
                self.machines.insert(machine.name.clone(), machine_record);
                self.changed.push(machine.name.clone());
            }
        }
        self.rentals
            .insert(name.to_owned(), Versioned { record, revision });
    }

    pub fn remove(&mut self, name: &str, revision: u64) {
        if self
            .rentals
            .get(name)
            .is_none_or(|old| old.revision >= revision)
        {
            return;
        }
        if let Some(old) = self.rentals.remove(name) {
            for machine in old.record.machines {
                self.forget(name, machine.name);
            }
        }
    }

    /// A machine left a rental's record: it is gone, unless another record has it by now.
    fn forget(&mut self, rental: &str, machine: String) {
        if self
            .machines
            .get(&machine)
            .is_some_and(|m| m.rental != rental)
        {
            return;
        }
        self.machines.remove(&machine);
        self.changed.push(machine.clone());
        if self.gone.insert(machine.clone()) {
            self.gone_order.push_back(machine);
            if self.gone_order.len() > MOST_GONE
                && let Some(oldest) = self.gone_order.pop_front()
            {
                self.gone.remove(&oldest);
            }
        }
    }

    /// Whether the machine was released as far as this process knows.
    pub fn is_gone(&self, machine: &str) -> bool {
        self.gone.contains(machine)
    }

    /// Keeps what never changes back over a new reading of all records.
    pub fn reset(&mut self) {
        let gone = std::mem::take(&mut self.gone);
        let gone_order = std::mem::take(&mut self.gone_order);
        let before = std::mem::take(&mut self.machines);
        *self = Self {
            gone,
            gone_order,
            changed: before.into_keys().collect(),
            ..Self::default()
        };
    }

    pub fn take_changed(&mut self) -> Vec<String> {
        std::mem::take(&mut self.changed)
    }

    /// Rentals whose request may still be under way.
    pub fn open(&self) -> impl Iterator<Item = (&String, &Rental)> {
        let rentals = self.rentals.iter();
        rentals
            .filter(|(_, kept)| kept.record.open)
            .map(|(name, kept)| (name, &kept.record))
    }

    /// The records of the rentals that `machines` belong to, each changed by `change`, which
    /// returns false for a machine that leaves the record.
    pub fn changed_by<'a>(
        &self,
        machines: impl IntoIterator<Item = &'a str>,
        mut change: impl FnMut(&mut Rented) -> bool,
    ) -> BTreeMap<String, Versioned<Rental>> {
        let mut out: BTreeMap<String, Versioned<Rental>> = BTreeMap::new();
        for name in machines {
            let Some(machine) = self.machines.get(name) else {
                continue;
            };
            let Some(kept) = self.rentals.get(&machine.rental) else {
                continue;
            };
            let kept = out
                .entry(machine.rental.clone())
                .or_insert_with(|| kept.clone());
            let machines = &mut kept.record.machines;
            if let Some(at) = machines.iter().position(|m| m.name == name)
                && !change(&mut machines[at])
            {
                machines.remove(at);
            }
        }
        out
    }
}

#[cfg(test)]
mod tests;
