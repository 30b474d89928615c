//! The record of a team's allotments.

use crate::amount::{Amount, Limit};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A record with the revision of its last change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Versioned<T> {
    /// The record.
    pub record: T,
    /// The state service's number of its last change.
    pub revision: u64,
}

/// Why a record cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// It is not JSON, or of another shape.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// Its allotments are more than the limit that they divide.
    #[error("allotments of {allotted:?} divide a limit of {limit:?}")]
    OverLimit {
        /// What the allotments add up to.
        allotted: Amount,
        /// The limit that the record names.
        limit: Amount,
    },
}

/// A team's name as a part of a key, where spaces and slashes have no place.
pub fn key_part(team: &str) -> String {
    let mut part = String::with_capacity(team.len());
    for byte in team.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => part.push(byte.into()),
            _ => part.push_str(&format!("~{byte:02x}")),
        }
    }
    part
}

/// The team that a part of a key names; none if it is no such part.
pub fn team_of(part: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(part.len());
    let mut rest = part.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'~' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next()?, rest.next()?];
        let digits = std::str::from_utf8(&digits).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
    }
    String::from_utf8(bytes).ok()
}

/// How a team's limit is divided among the controllers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllotmentRecord {
    /// The revision of the assignment of jobs under which it holds. Under any other it allows nothing.
    pub assignment: u64,
    /// The limit that it divides, with zero for a resource that has none.
    pub limit: Amount,
    /// What each controller's tasks may use. Empty while the record is frozen.
    pub allotments: BTreeMap<String, Amount>,
}

impl AllotmentRecord {
    /// A record under which nobody may start anything.
    pub fn frozen(assignment: u64, limit: Amount) -> Self {
        Self {
            assignment,
            limit,
            allotments: BTreeMap::new(),
        }
    }

    /// Reads a record, and refuses one that would allow more than its limit.
    pub fn parse(text: &str) -> Result<Self, RecordError> {
        let record: Self = serde_json::from_str(text)?;
        let allotted = record.allotted();
        if !allotted.fits(record.limit) {
            return Err(RecordError::OverLimit {
                allotted,
                limit: record.limit,
            });
        }
        Ok(record)
    }

    /// What all allotments add up to.
    pub fn allotted(&self) -> Amount {
        self.allotments.values().copied().sum()
    }

    /// Whether nobody may start anything under it.
    pub fn is_frozen(&self) -> bool {
        self.allotments.is_empty()
    }

    /// Whether it holds under this assignment, for a team with this limit.
    pub fn is_valid(&self, assignment: u64, limit: &Limit) -> bool {
        self.assignment == assignment && self.limit == limit.amount() && !self.is_frozen()
    }

    /// What a controller's tasks may use.
    pub fn of(&self, member: &str) -> Amount {
        self.allotments.get(member).copied().unwrap_or_default()
    }
}
