//! The keys, the log and the leases of the state service, and transactions on them.

use super::Response;
use super::limits::Limiter;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// The path of transactions.
pub(super) const TRANSACTION_PATH: &str = "/multi";

struct StoredValue {
    data: Value,
    /// The revision of its last modification.
    revision: u64,
    lease: Option<u64>,
}

/// A change of one key, as requests that follow the log report it.
struct LogEntry {
    revision: u64,
    key: String,
    /// The new value; `None` if the key was deleted.
    data: Option<Value>,
}

struct Lease {
    expires: Instant,
    duration: Duration,
}

/// All that the service stores, and the limits on transactions.
#[derive(Default)]
pub(super) struct Store {
    pub revision: u64,
    keys: BTreeMap<String, StoredValue>,
    log: Vec<LogEntry>,
    leases: HashMap<u64, Lease>,
    pub limiter: Limiter,
}

impl Store {
    /// The values of all keys with a prefix.
    pub fn values(&self, prefix: &str) -> BTreeMap<String, Value> {
        let keys = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        keys.map(|(key, stored)| (key.clone(), stored.data.clone()))
            .collect()
    }

    /// The keys with a prefix that sort after `after`, in the form of the service's listings.
    pub fn list(&self, prefix: &str, after: &str) -> Vec<Value> {
        self.keys
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, stored)| entry(key, stored))
            .collect()
    }

    /// A key with its value, in the form of the service's answers.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|stored| entry(key, stored))
    }

    /// The changes of keys with a prefix after a revision.
    pub fn log_since(&self, prefix: &str, revision: u64) -> Vec<Value> {
        self.log
            .iter()
            .filter(|entry| entry.revision > revision && entry.key.starts_with(prefix))
            .map(|entry| match &entry.data {
                Some(data) => json!({"set": entry.key, "data": data, "mark": entry.revision}),
                None => json!({"drop": entry.key, "mark": entry.revision}),
            })
            .collect()
    }

    /// Grants a lease; returns its id.
    pub fn grant_lease(&mut self, duration: Duration) -> u64 {
        self.revision += 1;
        let expires = Instant::now() + duration;
        let lease = Lease { expires, duration };
        self.leases.insert(self.revision, lease);
        self.revision
    }

    /// Extends a lease to its full duration from now. Returns whether the lease exists.
    pub fn extend_lease(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.expires = Instant::now() + lease.duration;
        true
    }

    /// Ends a lease, and deletes the keys that are bound to it.
    pub fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        self.expire_leases();
    }

    /// Extends every lease to its full duration from now.
    pub fn extend_leases(&mut self) {
        let now = Instant::now();
        for lease in self.leases.values_mut() {
            lease.expires = now + lease.duration;
        }
    }

    /// Removes expired leases, and deletes the keys that are bound to leases that have ended.
    pub fn expire_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.expires > now);
        let has_ended = |lease: u64| !self.leases.contains_key(&lease);
        let expired: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease.is_some_and(has_ended))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.revision += 1;
            self.delete(&key);
        }
    }

    /// Applies a transaction atomically, unless a limit, a precondition or an ended lease prevents it.
    pub fn transact(&mut self, body: &Value) -> Response {
        let none = Vec::new();
        let operations = body["then"].as_array().unwrap_or(&none);
        if let Err(refusal) = self.limiter.admit(operations) {
            return refusal;
        }
        let preconditions = body["guards"].as_array().unwrap_or(&none);
        let failed = self.failed_preconditions(preconditions);
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger": self.revision}));
        }
        let lease_has_ended = |operation: &Value| {
            let lease = operation["tenancy"].as_u64();
            lease.is_some_and(|lease| !self.leases.contains_key(&lease))
        };
        if operations.iter().any(lease_has_ended) {
            return (400, json!({"error": "no such lease"}));
        }
        self.revision += 1;
        operations
            .iter()
            .for_each(|operation| self.apply(operation));
        (200, json!({"ledger": self.revision}))
    }

    /// The keys whose revision differs from the one that a transaction requires. A key that does not exist has revision
    /// 0.
    fn failed_preconditions<'a>(&self, preconditions: &'a [Value]) -> Vec<&'a str> {
        let required = preconditions.iter().map(|precondition| {
            let key = precondition["k"].as_str().unwrap();
            (key, precondition["mark"].as_u64().unwrap())
        });
        let differs = |(key, revision): &(&str, u64)| {
            let stored = self.keys.get(*key);
            stored.map_or(0, |stored| stored.revision) != *revision
        };
        required.filter(differs).map(|(key, _)| key).collect()
    }

    /// Applies one operation at the current revision.
    fn apply(&mut self, operation: &Value) {
        if let Some(key) = operation["set"].as_str() {
            let stored = StoredValue {
                data: operation["data"].clone(),
                revision: self.revision,
                lease: operation["tenancy"].as_u64(),
            };
            self.log.push(LogEntry {
                revision: self.revision,
                key: key.to_owned(),
                data: Some(stored.data.clone()),
            });
            self.keys.insert(key.to_owned(), stored);
        } else if let Some(key) = operation["drop"].as_str() {
            self.delete(key);
        }
    }

    /// Deletes a key at the current revision, if it exists.
    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.log.push(LogEntry {
                revision: self.revision,
                key: key.to_owned(),
                data: None,
            });
        }
    }
}

fn entry(key: &str, stored: &StoredValue) -> Value {
    json!({"k": key, "data": stored.data, "mark": stored.revision})
}
