//! Counters of a client's requests to the state service, for metrics and for measuring the write rate.

use std::sync::atomic::{AtomicU64, Ordering};

/// Totals since the client was created.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Requests of any kind.
    pub requests: AtomicU64,
    /// Puts and deletes.
    pub writes: AtomicU64,
    /// Preconditions of transactions.
    pub preconditions: AtomicU64,
    /// Requests refused for being over a rate limit.
    pub refused: AtomicU64,
    /// Bytes of the responses to watch requests.
    pub watched_bytes: AtomicU64,
}

/// Adds `amount` to a counter.
pub(crate) fn add(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}
