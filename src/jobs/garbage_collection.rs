//! Garbage collection of ended jobs: moves jobs that are only marked as finished to their terminal keys, and deletes
//! the remaining pages of ended jobs. The leader does this with a part of its unused write quota.

use super::archive::{MOVE_OPERATIONS, writes_are_scarce};
use crate::node::Node;
use crate::state::{Operation, Precondition, RecordKey, Replica};
use rowanmill_state::WritePriority;
use std::sync::Arc;

/// While writes are scarce, garbage collection is postponed until there are this many leftover keys. Without this
/// limit, the time to list all records would keep growing.
const MAX_LEFTOVER_KEYS: usize = 4000;

/// Garbage collection may use the currently available writes divided by this.
const SPARE_WRITES_DIVISOR: usize = 2;

/// One transaction of garbage collection.
#[derive(Debug, Default)]
pub(super) struct GarbageBatch {
    pub preconditions: Vec<Precondition>,
    pub operations: Vec<Operation>,
}

/// Collects as much garbage as fits one transaction. If it fails, the next cycle tries again.
pub async fn collect_garbage(node: &Arc<Node>) {
    let available = node.state.available_writes(WritePriority::Background);
    let spare = (available / SPARE_WRITES_DIVISOR).min(node.settings.max_transaction_operations());
    let batch = {
        let core = node.core();
        let leftover_keys =
            core.replica.ended_pending_archive.len() + core.replica.orphaned_pages.len();
        if leftover_keys < MAX_LEFTOVER_KEYS && writes_are_scarce(node, &core) {
            return;
        }
        GarbageBatch::build(&core.replica, spare)
    };
    let GarbageBatch {
        preconditions,
        operations,
    } = batch;
    if operations.is_empty() {
        return;
    }
    let answer = node
        .state
        .compare_and_swap(&preconditions, &operations)
        .await;
    if let Ok(revision) = answer {
        node.core().apply(operations, revision);
    }
}

impl GarbageBatch {
    /// A batch of at most `max_operations` operations.
    pub fn build(replica: &Replica, max_operations: usize) -> Self {
        let mut batch = Self::default();
        for (id, revision) in &replica.ended_pending_archive {
            let has_room = batch.operations.len() + MOVE_OPERATIONS <= max_operations;
            let Some(state) = replica.final_state(id).filter(|_| has_room) else {
                continue;
            };
            batch.preconditions.push(Precondition {
                key: RecordKey::Job(id).into(),
                revision: *revision,
            });
            let archived = Operation::put(RecordKey::FinalState(id), &state);
            batch.operations.push(archived);
            batch.operations.push(Operation::delete(RecordKey::Job(id)));
        }
        let room = max_operations.saturating_sub(batch.operations.len());
        let orphans = replica.orphaned_pages.keys();
        let orphans = orphans.filter(|(id, _)| replica.final_state(id).is_some());
        let deletions = orphans.map(|(id, page)| Operation::delete(RecordKey::page(id, *page)));
        batch.operations.extend(deletions.take(room));
        batch
    }
}
