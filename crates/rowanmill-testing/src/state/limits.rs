//! The state service's limits on transactions.

use super::Response;
use serde_json::{Value, json};
use std::time::Instant;

/// Limits on the transactions that the state service accepts.
#[derive(Clone, Copy)]
pub struct StateLimits {
    /// Maximum size of a value's JSON text, in bytes.
    pub value_bytes: usize,
    /// Maximum number of operations in a transaction. Each operation sets or deletes one key.
    pub operations: usize,
    /// Maximum number of operations per second in all transactions together.
    pub operations_per_s: f64,
}

/// The numbers of refused transactions, by the first reason that applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Refusals {
    /// A value was too large.
    pub too_large: usize,
    /// The transaction had too many operations.
    pub too_many_operations: usize,
    /// The rate of operations was too high.
    pub too_frequent: usize,
}

/// Enforces the limits. The rate is limited by a token bucket with a capacity of one second's operations, which is full
/// at first.
#[derive(Default)]
pub(super) struct Limiter {
    /// `None` until limits are set. Until then every transaction is admitted.
    limits: Option<StateLimits>,
    bucket: Option<Bucket>,
    pub refusals: Refusals,
}

/// The token bucket: the number of operations that were permitted at `as_of`.
struct Bucket {
    tokens: f64,
    as_of: Instant,
}

impl Limiter {
    pub fn set(&mut self, limits: StateLimits) {
        self.limits = Some(limits);
        self.bucket = None;
    }

    /// Admits a transaction with these operations and takes a token for each, or refuses it.
    pub fn admit(&mut self, operations: &[Value]) -> Result<(), Response> {
        let Some(limits) = self.limits else {
            return Ok(());
        };
        let mut bucket = self.refilled(&limits);
        let admitted = check(&limits, &bucket, &mut self.refusals, operations);
        if admitted.is_ok() {
            bucket.tokens -= operations.len() as f64;
        }
        self.bucket = Some(bucket);
        admitted
    }

    fn refilled(&self, limits: &StateLimits) -> Bucket {
        let now = Instant::now();
        let tokens = match &self.bucket {
            Some(bucket) => {
                let refill = (now - bucket.as_of).as_secs_f64() * limits.operations_per_s;
                (bucket.tokens + refill).min(limits.operations_per_s)
            }
            None => limits.operations_per_s,
        };
        Bucket { tokens, as_of: now }
    }
}

fn check(
    limits: &StateLimits,
    bucket: &Bucket,
    refusals: &mut Refusals,
    operations: &[Value],
) -> Result<(), Response> {
    let is_too_large = |operation: &Value| operation["data"].to_string().len() > limits.value_bytes;
    if operations.iter().any(is_too_large) {
        refusals.too_large += 1;
        return Err((400, json!({"error": "value too large"})));
    }
    if operations.len() > limits.operations {
        refusals.too_many_operations += 1;
        return Err((400, json!({"error": "too many changes"})));
    }
    if bucket.tokens < operations.len() as f64 {
        refusals.too_frequent += 1;
        return Err((429, json!({"error": "too many"})));
    }
    Ok(())
}
