//! Writes the changes that this controller makes to the teams' records: transfers to other controllers, and
//! fences against transactions in doubt.

use super::{QuotaCharge, refresh_usage};
use crate::node::{Core, Node};
use crate::state::{Operation, Precondition, RecordKey, TransactionError};
use rowanmill_limits::{RecordChange, RecordChangeKind};
use rowanmill_state::WritePriority;
use std::sync::Arc;
use std::time::Instant;

/// The most records that a controller changes by transfers and fences in a scheduling cycle, so that these do
/// not delay the recording of starts.
const MAX_CHANGES_PER_CYCLE: usize = 4;

/// Transfers headroom that this controller should not keep to others, and fences transactions in doubt, as
/// long as the state service's budget allows writes.
pub async fn change_own_allocations(node: &Arc<Node>, now: Instant) {
    let changes = next_changes(&mut node.core(), now);
    for (team, change) in changes {
        if node.state.available_writes(WritePriority::Background) == 0 {
            return;
        }
        write_change(node, &team, change).await;
    }
}

/// The changes that are due, by team.
fn next_changes(core: &mut Core, now: Instant) -> Vec<(String, RecordChange)> {
    refresh_usage(core);
    let mut holder = std::mem::take(&mut core.limits.holder);
    let mut changes = Vec::new();
    for team in core.limits.divided_teams(core) {
        if changes.len() == MAX_CHANGES_PER_CYCLE {
            break;
        }
        let change = holder.next_change(team.name, &team.view(), team.charged(), now);
        changes.extend(change.map(|change| (team.name.to_owned(), change)));
    }
    core.limits.holder = holder;
    changes
}

/// Writes one change, with the precondition that the record is still the one from which the change was
/// derived.
async fn write_change(node: &Arc<Node>, team: &str, change: RecordChange) {
    let key = RecordKey::quota_allocations(team).to_string();
    let precondition = Precondition {
        key: key.clone(),
        revision: change.base_revision,
    };
    let write = Operation::put(key, &change.record);
    let outcome = node
        .state
        .compare_and_swap(&[precondition], std::slice::from_ref(&write))
        .await;
    let mut core = node.core();
    match outcome {
        Ok(revision) => {
            let RecordChange { kind, record, .. } = change;
            count_change(&mut core, kind);
            tracing::debug!(team, ?kind, ?record, "quota allocation changed");
            core.apply(vec![write], revision);
        }
        Err(error) => {
            tracing::debug!(%error, team, "quota allocation change failed");
            if matches!(error, TransactionError::Unknown(_)) {
                record_in_doubt(&mut core, team, &change);
            }
        }
    }
}

fn count_change(core: &mut Core, kind: RecordChangeKind) {
    match kind {
        RecordChangeKind::Transfer => core.metrics.quota_transfers += 1,
        RecordChangeKind::Fence => core.metrics.fence_writes += 1,
    }
}

/// Charges the amount that a change without an answer would transfer, until the outcome of the change is
/// known.
fn record_in_doubt(core: &mut Core, team: &str, change: &RecordChange) {
    let assignment = core.replica.assignment.as_ref();
    let charge = QuotaCharge {
        team: team.to_owned(),
        amount: change.transferred,
        record_revision: change.base_revision,
        assignment_revision: assignment.map_or(0, |assignment| assignment.revision),
    };
    core.limits.record_in_doubt(&charge);
}
