//! The state service as a controller uses it: the keys and the shared records, the watch, and the replica
//! that it keeps up to date.

pub mod keys;
pub mod records;
pub mod replica;
#[cfg(test)]
mod tests;
pub mod watch;

pub use keys::{LIVE_PREFIX, RecordKey};
pub use replica::Replica;
pub use rowanmill_state::{Operation, Precondition, StateClient, TransactionError};

/// Most bytes of a transaction's operations: the service takes 64 KiB in all, preconditions included.
pub const MAX_TRANSACTION_BYTES: usize = 44 << 10;

/// Preconditions that a transaction may have for each operation that it may have.
const PRECONDITIONS_PER_OPERATION: usize = 4;

/// Most preconditions of a transaction that may have this many operations.
pub fn max_preconditions(max_operations: usize) -> usize {
    max_operations * PRECONDITIONS_PER_OPERATION
}
