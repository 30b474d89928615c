//! Messages of the state service's protocol. In their JSON form `k` is a key, `data` a value, `mark` the
//! revision of a key, `ledger` the revision of the store, `set` a put, `drop` a delete and `tenancy` a
//! lease.

use crate::error::ReadError;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The revision that a key must have for a transaction to be applied; 0 requires that the key does not exist.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Precondition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The revision of its last change.
    #[serde(rename = "mark")]
    pub revision: u64,
}

impl Precondition {
    /// Requires that a key does not exist.
    pub fn absent(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            revision: 0,
        }
    }
}

/// One change of a transaction.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Operation {
    /// Writes a value.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The serialized value, which is sent unchanged.
        #[serde(rename = "data")]
        value: Box<RawValue>,
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none")]
        /// The lease that the key is attached to; the key is removed when it ends.
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Operation {
    /// Writes a value that is attached to no lease.
    ///
    /// # Panics
    /// If `value` cannot be serialized to JSON. Records of plain data always can.
    pub fn put(key: impl Into<String>, value: &impl Serialize) -> Self {
        let value = serde_json::value::to_raw_value(value)
            .expect("a record of plain data serializes to JSON");
        Operation::Put {
            key: key.into(),
            value,
            lease: None,
        }
    }

    /// The same put, attached to a lease: the key is removed when the lease ends. A delete is unchanged.
    pub fn with_lease(self, lease: u64) -> Self {
        match self {
            Operation::Put { key, value, .. } => Operation::Put {
                key,
                value,
                lease: Some(lease),
            },
            delete => delete,
        }
    }

    /// Removes a key.
    pub fn delete(key: impl Into<String>) -> Self {
        Operation::Delete { key: key.into() }
    }

    /// Upper bound of the operation's size in a transaction's body, in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Operation::Put { key, value, .. } => key.len() + value.get().len() + PUT_OVERHEAD_BYTES,
            Operation::Delete { key } => key.len() + DELETE_OVERHEAD_BYTES,
        }
    }
}

/// Upper bounds of the size of an operation's field names and punctuation.
const PUT_OVERHEAD_BYTES: usize = 60;
const DELETE_OVERHEAD_BYTES: usize = 20;

/// One change of a key, as a watch reports it.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchEvent {
    /// The key, if it was written.
    #[serde(rename = "set")]
    pub put: Option<String>,
    /// The key, if it was removed.
    #[serde(rename = "drop")]
    pub deleted: Option<String>,
    /// The value. It is not parsed with the response, because the type to parse it into depends on the key;
    /// most events are progress pages.
    #[serde(default, rename = "data")]
    pub value: Option<Box<RawValue>>,
    /// The revision of the change.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// The response to a watch request: the changes after the requested revision.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// The response contains all changes up to this revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes, in order.
    #[serde(default, rename = "log")]
    pub events: Vec<WatchEvent>,
}

impl WatchResponse {
    /// Decodes the response that [`StateClient::watch`](crate::StateClient::watch) returned.
    pub fn decode(body: &[u8]) -> Result<Self, ReadError> {
        Ok(serde_json::from_slice(body)?)
    }
}

/// A key with its value.
#[derive(Debug, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value as received, not parsed yet.
    #[serde(rename = "data")]
    pub value: Box<RawValue>,
    /// The revision of its last change.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// A page of the keys under a prefix.
#[derive(Debug, Deserialize)]
pub struct Listing {
    /// The keys, in order.
    pub pairs: Vec<KeyValue>,
    /// Whether more keys follow.
    #[serde(default)]
    pub more: bool,
    /// The revision at which the page was read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}
