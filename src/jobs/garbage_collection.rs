//! Moves the ends of jobs that were only marked to their terminal keys, and deletes the pages that ended
//! jobs left behind. The leader does so, with the writes that it has to spare.

use super::archive::{MOVE_OPERATIONS, writes_are_scarce};
use crate::node::Node;
use crate::state::{Operation, Precondition, RecordKey, Replica};
use rowanmill_state::WritePriority;
use std::sync::Arc;

/// So many keys of ended jobs are left while writes are scarce. Beyond that they are collected in any
/// case, or else each read of all records would grow with them.
const MAX_LEFTOVER_KEYS: usize = 4000;

/// Share of the writes now available that garbage collection may take: one in so many.
const SPARE_WRITES_DIVISOR: usize = 2;

/// One transaction that collects garbage.
#[derive(Debug, Default)]
pub(super) struct GarbageBatch {
    pub preconditions: Vec<Precondition>,
    pub operations: Vec<Operation>,
}

/// Collects what one transaction can take. A failure is left to the next cycle, which tries it again.
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
    /// What to collect in at most so many operations.
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
