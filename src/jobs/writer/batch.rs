//! Groups page writes into transactions and sends them.

use super::page_write::PendingPageWrite;
use crate::state::{
    MAX_TRANSACTION_BYTES, Operation, Precondition, StateClient, TransactionError,
    max_preconditions,
};
use std::collections::BTreeMap;

/// How many atomic groups one batch may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchSize {
    /// As many as the limits allow.
    Largest,
    /// One, to find the page that the state service refuses as malformed.
    OneGroup,
}

/// Limits of one transaction. A group that exceeds them by itself is sent in a transaction of its own.
pub(super) struct BatchLimits {
    operations: usize,
    preconditions: usize,
    bytes: usize,
    size: BatchSize,
}

impl BatchLimits {
    /// Limits of a transaction when the write quota allows `operations` now, and a transaction may hold at most
    /// `max_operations`.
    pub fn new(operations: usize, max_operations: usize, size: BatchSize) -> Self {
        Self {
            operations,
            preconditions: max_preconditions(max_operations),
            bytes: MAX_TRANSACTION_BYTES,
            size,
        }
    }
}

/// The page writes of one transaction.
pub(super) struct WriteBatch {
    pub writes: Vec<PendingPageWrite>,
    preconditions: Vec<Precondition>,
}

impl WriteBatch {
    /// Takes as many groups from the front of the queue as the limits allow, but at least one.
    pub fn take_from(queue: &mut Vec<PendingPageWrite>, limits: &BatchLimits) -> Self {
        let mut preconditions = BTreeMap::new();
        let (mut count, mut bytes) = (0, 0);
        while count < queue.len() {
            let rest = &queue[count..];
            let group = &rest[..atomic_group_len(rest)];
            let added: BTreeMap<_, _> = group
                .iter()
                .flat_map(|write| &write.preconditions)
                .filter(|precondition| !preconditions.contains_key(&precondition.key))
                .map(|precondition| (precondition.key.clone(), precondition.revision))
                .collect();
            let added_bytes: usize = group.iter().map(PendingPageWrite::bytes).sum();
            let is_full = count + group.len() > limits.operations
                || preconditions.len() + added.len() > limits.preconditions
                || bytes + added_bytes > limits.bytes
                || limits.size == BatchSize::OneGroup;
            if is_full && count > 0 {
                break;
            }
            preconditions.extend(added);
            bytes += added_bytes;
            count += group.len();
        }
        Self {
            writes: queue.drain(..count).collect(),
            preconditions: preconditions
                .into_iter()
                .map(|(key, revision)| Precondition { key, revision })
                .collect(),
        }
    }

    /// Sends the transaction, and returns its revision.
    pub async fn send(&self, state: &StateClient) -> Result<u64, TransactionError> {
        let writes = self.writes.iter();
        let operations: Vec<Operation> = writes.map(|write| write.operation.clone()).collect();
        state
            .compare_and_swap(&self.preconditions, &operations)
            .await
    }
}

/// Length of the atomic group at the front of `writes`: the writes that must share a transaction. These are all
/// writes that start tasks of the same gang; any other write is a group of its own. If only some of a gang's pages
/// were written, the tasks on them would wait for peers that never start.
pub(super) fn atomic_group_len(writes: &[PendingPageWrite]) -> usize {
    let starts_gang = |write: &&PendingPageWrite| write.is_gang && write.has_starts();
    let Some(first) = writes.first().filter(starts_gang) else {
        return writes.len().min(1);
    };
    let is_in_group = |write: &&PendingPageWrite| write.job == first.job && write.has_starts();
    writes.iter().take_while(is_in_group).count()
}
