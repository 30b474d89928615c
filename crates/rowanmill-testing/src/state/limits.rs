//! The state service's limits on transactions.

use super::Response;
use serde_json::{Value, json};
use std::time::Instant;

/// The limits of the state service.
#[derive(Clone, Copy)]
pub struct StateLimits {
    /// Maximum size of a value, in bytes.
    pub value_bytes: usize,
    /// Maximum number of changes in a transaction.
    pub operations: usize,
    /// Maximum rate of changes.
    pub operations_per_s: f64,
}

/// The numbers of refused transactions, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Refusals {
    /// A value was too large.
    pub too_large: usize,
    /// The transaction had too many changes.
    pub too_many_operations: usize,
    /// The rate of changes was too high.
    pub too_frequent: usize,
}

/// Enforces the limits. The rate is limited by a token bucket with a capacity of one second's changes.
#[derive(Default)]
pub(super) struct Limiter {
    limits: Option<StateLimits>,
    bucket: Option<Bucket>,
    pub refusals: Refusals,
}

/// The token bucket: the changes that were permitted at `as_of`.
struct Bucket {
    changes: f64,
    as_of: Instant,
}

impl Limiter {
    pub fn set(&mut self, limits: StateLimits) {
        self.limits = Some(limits);
        self.bucket = None;
    }

    /// Admits a transaction with these changes and takes them from the bucket, or refuses it.
    pub fn admit(&mut self, changes: &[Value]) -> Result<(), Response> {
        let Some(limits) = self.limits else {
            return Ok(());
        };
        let mut bucket = self.refilled(&limits);
        let admitted = check(&limits, &bucket, &mut self.refusals, changes);
        if admitted.is_ok() {
            bucket.changes -= changes.len() as f64;
        }
        self.bucket = Some(bucket);
        admitted
    }

    fn refilled(&self, limits: &StateLimits) -> Bucket {
        let now = Instant::now();
        let changes = match &self.bucket {
            Some(bucket) => {
                let refill = (now - bucket.as_of).as_secs_f64() * limits.operations_per_s;
                (bucket.changes + refill).min(limits.operations_per_s)
            }
            None => limits.operations_per_s,
        };
        Bucket {
            changes,
            as_of: now,
        }
    }
}

fn check(
    limits: &StateLimits,
    bucket: &Bucket,
    refusals: &mut Refusals,
    changes: &[Value],
) -> Result<(), Response> {
    let is_too_large = |change: &Value| change["data"].to_string().len() > limits.value_bytes;
    if changes.iter().any(is_too_large) {
        refusals.too_large += 1;
        return Err((400, json!({"error": "value too large"})));
    }
    if changes.len() > limits.operations {
        refusals.too_many_operations += 1;
        return Err((400, json!({"error": "too many changes"})));
    }
    if bucket.changes < changes.len() as f64 {
        refusals.too_frequent += 1;
        return Err((429, json!({"error": "too many"})));
    }
    Ok(())
}
