//! Text forms of records and frames for snapshots.

use crate::state::Operation;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// The key and the JSON that a put of this record sends to the state service.
pub fn written(key: String, record: &impl Serialize) -> (String, String) {
    match Operation::put(key, record) {
        Operation::Put { key, value, .. } => (key, value.get().to_owned()),
        Operation::Delete { key } => panic!("not a put: {key}"),
    }
}

/// Records as text, in the order in which they are added.
#[derive(Default)]
pub struct Trace(pub String);

impl Trace {
    /// Adds a record with its key, after a line with a label that describes the record. Checks that its JSON
    /// deserializes to the same record.
    pub fn add<T>(&mut self, label: &str, key: String, record: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let (key, json) = written(key, record);
        let read: T = serde_json::from_str(&json).unwrap();
        assert_eq!(
            read, *record,
            "{label} does not deserialize to the same record"
        );
        self.add_text(label, &key, &json);
    }

    /// Adds a record that is already serialized.
    pub fn add_text(&mut self, label: &str, key: &str, json: &str) {
        self.0.push_str(&format!("# {label}\n{key} {json}\n"));
    }
}

/// Bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
