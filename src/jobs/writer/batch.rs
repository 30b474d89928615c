//! Decides which page writes share a transaction, and sends it.

use super::page_write::PendingPageWrite;
use crate::state::{
    MAX_TRANSACTION_BYTES, Operation, Precondition, StateClient, TransactionError,
    max_preconditions,
};
use std::collections::BTreeMap;

/// How many atomic groups are put into one batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchSize {
    /// As many as the limits allow.
    Largest,
    /// One, to find the page that the state service refuses.
    OneGroup,
}

/// What one transaction may hold. A first group that exceeds it alone is sent all the same.
pub(super) struct BatchLimits {
    operations: usize,
    preconditions: usize,
    bytes: usize,
    size: BatchSize,
}

impl BatchLimits {
    /// Limits with `operations` left of the write quota, where a transaction may have `max_operations`.
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
    /// Takes from the front of the queue as many groups as the limits allow, and at least one.
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

    /// Sends the transaction. Returns its revision.
    pub async fn send(&self, state: &StateClient) -> Result<u64, TransactionError> {
        let writes = self.writes.iter();
        let operations: Vec<Operation> = writes.map(|write| write.operation.clone()).collect();
        state
            .compare_and_swap(&self.preconditions, &operations)
            .await
    }
}

/// How many writes at the front are written together or not at all: of a gang that starts, all. With one
/// of its pages refused, the tasks on the others would wait in vain for their peers.
pub(super) fn atomic_group_len(writes: &[PendingPageWrite]) -> usize {
    let starts_gang = |write: &&PendingPageWrite| write.is_gang && write.has_starts();
    let Some(first) = writes.first().filter(starts_gang) else {
        return writes.len().min(1);
    };
    let is_of_group = |write: &&PendingPageWrite| write.job == first.job && write.has_starts();
    writes.iter().take_while(is_of_group).count()
}
