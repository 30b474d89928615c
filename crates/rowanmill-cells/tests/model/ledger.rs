//! A ledger in memory: keys with revisions, leases and a log, at a time that is passed in.

use rowanmill_cells::record::{LedgerJob, job_key};
use rowanmill_cells::transaction::Transaction;
use rowanmill_state::{Change, Op};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

struct Held {
    data: Box<RawValue>,
    mark: u64,
    lease: Option<u64>,
}

#[derive(Default)]
pub struct Ledger {
    pub revision: u64,
    keys: BTreeMap<String, Held>,
    leases: BTreeMap<u64, Instant>,
    log: Vec<Change>,
    last_lease: u64,
}

impl Ledger {
    pub fn create_lease(&mut self, ends: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, ends);
        self.last_lease
    }

    /// False if it is over.
    pub fn extend_lease(&mut self, lease: u64, ends: Instant) -> bool {
        let held = self.leases.get_mut(&lease);
        held.is_some_and(|held| {
            *held = ends;
            true
        })
    }

    pub fn end_leases(&mut self, now: Instant) {
        self.leases.retain(|_, ends| *ends > now);
        let keys = self.keys.iter();
        let over =
            keys.filter(|(_, held)| held.lease.is_some_and(|l| !self.leases.contains_key(&l)));
        let over: Vec<String> = over.map(|(key, _)| key.clone()).collect();
        for key in over {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.log.push(Change {
                set: None,
                drop: Some(key.to_owned()),
                data: None,
                mark: self.revision,
            });
        }
    }

    pub fn transact(&mut self, transaction: &Transaction, now: Instant) -> Result<u64, ()> {
        self.end_leases(now);
        let mark = |key: &str| self.keys.get(key).map_or(0, |held| held.mark);
        let holds = transaction
            .preconditions
            .iter()
            .all(|g| mark(&g.k) == g.mark);
        let is_over = |change: &Op| match change {
            Op::Set { lease, .. } => lease.is_some_and(|l| !self.leases.contains_key(&l)),
            Op::Drop { .. } => false,
        };
        if !holds || transaction.operations.iter().any(is_over) {
            return Err(());
        }
        self.revision += 1;
        for change in &transaction.operations {
            match change {
                Op::Set { set, data, lease } => {
                    self.log.push(Change {
                        set: Some(set.clone()),
                        drop: None,
                        data: Some(data.clone()),
                        mark: self.revision,
                    });
                    let held = Held {
                        data: data.clone(),
                        mark: self.revision,
                        lease: *lease,
                    };
                    self.keys.insert(set.clone(), held);
                }
                Op::Drop { drop } => self.remove(drop),
            }
        }
        Ok(self.revision)
    }

    pub fn since(&self, revision: u64) -> Vec<Change> {
        let log = self.log.iter().filter(|change| change.mark > revision);
        log.cloned().collect()
    }

    pub fn read<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        let held = self.keys.get(key)?;
        serde_json::from_str(held.data.get()).ok()
    }

    pub fn job(&self, id: &str) -> Option<(LedgerJob, u64)> {
        let key = job_key(id);
        Some((self.read(&key)?, self.keys[&key].mark))
    }

    /// How long a cell's lease is.
    pub const CELL_LEASE: Duration = Duration::from_secs(5);
}
