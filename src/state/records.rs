//! Records that several parts of a controller share, and the revision that each is kept with.

use crate::membership::schema_versions::FeatureLevel;
use serde::{Deserialize, Serialize};

/// That a controller is present. It is attached to the lease that it names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PresenceRecord {
    /// The incarnation of the controller's process.
    pub incarnation: u64,
    /// The lease; the record is removed when it ends.
    pub lease: u64,
    /// What the process supports; absent in records of the previous version.
    #[serde(rename = "forms", default)]
    pub supported_level: FeatureLevel,
}

/// Which controller leads. It is attached to the lease that it names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller's name.
    pub member: String,
    /// The incarnation of the controller's process.
    pub incarnation: u64,
    /// The lease; the record is removed when it ends.
    pub lease: u64,
}

/// A record with the revision of its last change.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    /// The record.
    pub record: T,
    /// The revision of its last change.
    pub revision: u64,
}

impl<T> Versioned<T> {
    /// Whether a change at `revision` is newer than what is `held`, if anything is.
    pub fn is_superseded(held: Option<&Self>, revision: u64) -> bool {
        held.is_none_or(|held| held.revision < revision)
    }

    /// Whether something is `held` that a deletion at `revision` removes.
    pub fn is_deleted(held: Option<&Self>, revision: u64) -> bool {
        held.is_some_and(|held| held.revision < revision)
    }
}
