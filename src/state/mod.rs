//! The controller's use of the state service: the keys, the shared records, and the replica of the live
//! records, which the watch keeps up to date.

pub mod keys;
pub mod records;
pub mod replica;
#[cfg(test)]
mod tests;
pub mod watch;

pub use keys::{LIVE_PREFIX, RecordKey};
pub use replica::Replica;
pub use rowanmill_state::{Operation, Precondition, StateClient, TransactionError};

/// Maximum size of a request's body.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Maximum size of a transaction's operations. The service accepts 64 KiB in total, which includes the
/// preconditions.
pub const MAX_TRANSACTION_BYTES: usize = 44 << 10;

/// Ratio of a transaction's maximum number of preconditions to its maximum number of operations.
const PRECONDITIONS_PER_OPERATION: usize = 4;

/// The maximum number of preconditions of a transaction, given its maximum number of operations.
pub fn max_preconditions(max_operations: usize) -> usize {
    max_operations * PRECONDITIONS_PER_OPERATION
}
