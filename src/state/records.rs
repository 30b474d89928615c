//! Records that several modules of a controller share, and records with their revision.

use crate::membership::schema_versions::FeatureLevel;
use serde::{Deserialize, Serialize};

/// Shows that a controller is present. The record is attached to the lease that it names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PresenceRecord {
    /// The incarnation of the controller's process.
    pub incarnation: u64,
    /// The lease; the record is removed when the lease ends.
    pub lease: u64,
    /// The features that the process supports; absent in records of the previous version.
    #[serde(rename = "forms", default)]
    pub supported_level: FeatureLevel,
}

/// Names the controller that is the leader. The record is attached to the lease that it names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller's name.
    pub member: String,
    /// The incarnation of the controller's process.
    pub incarnation: u64,
    /// The lease; the record is removed when the lease ends.
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
    /// Whether a put at `revision` replaces the `held` record: it is newer, or no record is held.
    pub fn is_superseded(held: Option<&Self>, revision: u64) -> bool {
        held.is_none_or(|held| held.revision < revision)
    }

    /// Whether a deletion at `revision` removes the `held` record: one is held, and the deletion is newer.
    pub fn is_deleted(held: Option<&Self>, revision: u64) -> bool {
        held.is_some_and(|held| held.revision < revision)
    }
}
