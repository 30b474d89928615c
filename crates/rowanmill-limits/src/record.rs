//! The record of a team's quota allocations as the state service stores it.

use crate::amount::ResourceAmount;
use crate::limit::TeamLimit;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A record with the revision of its last modification.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Versioned<T> {
    /// The record.
    pub record: T,
    /// The state service's revision of its last modification.
    pub revision: u64,
}

/// Why a record cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// It is not valid JSON, or not the JSON of such a record.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// Its allocations exceed the limit that they divide.
    #[error("allocations of {allocated:?} exceed the limit of {limit:?}")]
    OverLimit {
        /// The sum of the allocations.
        allocated: ResourceAmount,
        /// The limit in the record.
        limit: ResourceAmount,
    },
}

/// How a team's limit is divided among the controllers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationRecord {
    /// The revision of the assignment of jobs under which the record is valid. Under any other it permits no
    /// starts.
    #[serde(rename = "assignment")]
    pub assignment_revision: u64,
    /// The limit that is divided, with zero for a resource that has none.
    pub limit: ResourceAmount,
    /// The allocation of each controller: the maximum that its tasks may use. Empty while the record is
    /// frozen.
    #[serde(rename = "allotments")]
    pub allocations: BTreeMap<String, ResourceAmount>,
}

impl AllocationRecord {
    /// A record under which no controller may start anything.
    pub fn frozen(assignment_revision: u64, limit: ResourceAmount) -> Self {
        Self {
            assignment_revision,
            limit,
            allocations: BTreeMap::new(),
        }
    }

    /// Parses a record's JSON.
    ///
    /// # Errors
    /// If the text is malformed, or the allocations would permit more than the limit.
    pub fn parse(text: &str) -> Result<Self, RecordError> {
        let record: Self = serde_json::from_str(text)?;
        let allocated = record.total_allocated();
        if !allocated.fits_within(record.limit) {
            return Err(RecordError::OverLimit {
                allocated,
                limit: record.limit,
            });
        }
        Ok(record)
    }

    /// The sum of all allocations.
    pub fn total_allocated(&self) -> ResourceAmount {
        self.allocations.values().copied().sum()
    }

    /// Whether no controller may start anything under the record.
    pub fn is_frozen(&self) -> bool {
        self.allocations.is_empty()
    }

    /// Whether the record permits starts under this revision of the assignment, for a team with this limit.
    pub fn is_valid(&self, assignment_revision: u64, limit: &TeamLimit) -> bool {
        self.assignment_revision == assignment_revision
            && self.limit == limit.as_amount()
            && !self.is_frozen()
    }

    /// The allocation of the controller `member`; zero if it has none.
    pub fn allocation_of(&self, member: &str) -> ResourceAmount {
        self.allocations.get(member).copied().unwrap_or_default()
    }

    /// Moves `amount` from one controller's allocation to another's. The sum of all allocations does not
    /// change if `from` has at least that much.
    pub(crate) fn transfer(&mut self, from: &str, to: &str, amount: ResourceAmount) {
        if amount.is_zero() || from == to {
            return;
        }
        let reduced = self.allocation_of(from).saturating_sub(amount);
        let increased = self.allocation_of(to).saturating_add(amount);
        self.allocations.insert(from.to_owned(), reduced);
        self.allocations.insert(to.to_owned(), increased);
    }
}
