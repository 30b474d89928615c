//! An in-memory ledger with revisions, leases and a log of changes. The current time is passed to its functions.

use rowanmill_cells::record::{LedgerJob, job_key};
use rowanmill_cells::replica::Versioned;
use rowanmill_cells::transaction::Transaction;
use rowanmill_state::{Operation, WatchEvent};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The value of a key, with the revision of its last change and the lease that it is attached to.
struct Value {
    data: Box<RawValue>,
    revision: u64,
    lease: Option<u64>,
}

/// The error for a transaction that was not committed, because a precondition failed or a lease has expired.
#[derive(Debug)]
pub struct Rejected;

#[derive(Default)]
pub struct Ledger {
    pub revision: u64,
    values: BTreeMap<String, Value>,
    /// The times at which the leases expire, by lease.
    leases: BTreeMap<u64, Instant>,
    log: Vec<WatchEvent>,
    last_lease: u64,
}

impl Ledger {
    /// Length of a cell's lease.
    pub const CELL_LEASE: Duration = Duration::from_secs(5);

    pub fn create_lease(&mut self, end: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, end);
        self.last_lease
    }

    /// Extends a lease; returns false if it has expired.
    pub fn extend_lease(&mut self, lease: u64, end: Instant) -> bool {
        let Some(held) = self.leases.get_mut(&lease) else {
            return false;
        };
        *held = end;
        true
    }

    /// Removes expired leases and the keys attached to them.
    pub fn expire_leases(&mut self, now: Instant) {
        self.leases.retain(|_, end| *end > now);
        let expired: Vec<String> = self
            .values
            .iter()
            .filter(|(_, value)| value.lease.is_some_and(|lease| !self.has_lease(lease)))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.revision += 1;
            self.delete(&key);
        }
    }

    fn has_lease(&self, lease: u64) -> bool {
        self.leases.contains_key(&lease)
    }

    /// Commits a transaction if its preconditions hold and its leases have not expired. Returns the revision of its
    /// changes.
    pub fn commit(&mut self, transaction: &Transaction, now: Instant) -> Result<u64, Rejected> {
        self.expire_leases(now);
        let preconditions_hold = transaction
            .preconditions
            .iter()
            .all(|precondition| self.revision_of(&precondition.key) == precondition.revision);
        let leases_hold = transaction
            .operations
            .iter()
            .all(|operation| match operation {
                Operation::Put { lease, .. } => lease.is_none_or(|lease| self.has_lease(lease)),
                Operation::Delete { .. } => true,
            });
        if !preconditions_hold || !leases_hold {
            return Err(Rejected);
        }
        self.revision += 1;
        for operation in &transaction.operations {
            match operation {
                Operation::Put { key, value, lease } => self.put(key, value, *lease),
                Operation::Delete { key } => self.delete(key),
            }
        }
        Ok(self.revision)
    }

    /// The revision of a key's last change; 0 if it has no value.
    fn revision_of(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |value| value.revision)
    }

    fn put(&mut self, key: &str, data: &RawValue, lease: Option<u64>) {
        let revision = self.revision;
        self.log.push(WatchEvent {
            put: Some(key.to_owned()),
            deleted: None,
            value: Some(data.to_owned()),
            revision,
        });
        let value = Value {
            data: data.to_owned(),
            revision,
            lease,
        };
        self.values.insert(key.to_owned(), value);
    }

    fn delete(&mut self, key: &str) {
        if self.values.remove(key).is_some() {
            self.log.push(WatchEvent {
                put: None,
                deleted: Some(key.to_owned()),
                value: None,
                revision: self.revision,
            });
        }
    }

    /// The changes after a revision.
    pub fn changes_since(&self, revision: u64) -> Vec<WatchEvent> {
        let newer = self.log.iter().filter(|change| change.revision > revision);
        newer.cloned().collect()
    }

    pub fn read<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        let value = self.values.get(key)?;
        serde_json::from_str(value.data.get()).ok()
    }

    pub fn job(&self, id: &str) -> Option<Versioned<LedgerJob>> {
        let key = job_key(id);
        Some(Versioned {
            record: self.read(&key)?,
            revision: self.revision_of(&key),
        })
    }
}
