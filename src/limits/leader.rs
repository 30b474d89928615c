//! The leader's side of team limits: it allocates them to the controllers, and deletes the records of teams
//! without a limit.

use super::{DividedTeam, refresh_usage};
use crate::node::{Core, Node};
use crate::state::{Operation, Precondition, RecordKey};
use rowanmill_limits::{AllocationDecision, AllocationRecord, LeaderView, decide_allocation};
use std::sync::Arc;

/// Makes every divided team's record valid under the present assignment and limit, as far as one transaction
/// allows. `leader_revision` is the revision of the record that makes this node the leader.
pub async fn allocate_limits(node: &Arc<Node>, leader_revision: u64) {
    if !needs_changes(&mut node.core()) {
        return;
    }
    // The usage is known only when all changes up to the revisions of the assignment and of the records are
    // applied.
    let is_behind = is_behind(&node.core());
    if is_behind && !node.read_barrier().await {
        return;
    }
    let max_records = node.settings.max_transaction_operations();
    let transaction = {
        let mut core = node.core();
        refresh_usage(&mut core);
        AllocationTransaction::build(&core, leader_revision, max_records)
    };
    if transaction.writes.is_empty() {
        return;
    }
    let AllocationTransaction {
        preconditions,
        writes,
    } = transaction;
    match node.state.compare_and_swap(&preconditions, &writes).await {
        Ok(revision) => {
            tracing::info!(teams = writes.len(), "team limits divided");
            node.core().apply(writes, revision);
        }
        Err(error) => tracing::debug!(%error, "division of team limits failed"),
    }
}

fn needs_changes(core: &mut Core) -> bool {
    refresh_usage(core);
    let is_valid = |team: DividedTeam| team.view().valid_record().is_some();
    !core.limits.divided_teams(core).all(is_valid) || obsolete_records(core).next().is_some()
}

/// Whether the replica may lack starts that were recorded under a team's previous record.
fn is_behind(core: &Core) -> bool {
    core.limits
        .divided_teams(core)
        .any(|team| team.applied_revision < team.assignment_revision.max(team.record_revision()))
}

/// The records, with their revisions, of teams that have no limit in the settings.
fn obsolete_records(core: &Core) -> impl Iterator<Item = (&String, u64)> {
    let stored = core.replica.quota_allocations.iter();
    stored
        .filter(|(team, _)| !core.limits.limits.contains_key(*team))
        .map(|(team, stored)| (team, stored.revision))
}

/// Changes of teams' records that only the leader makes, under the present assignment.
struct AllocationTransaction {
    preconditions: Vec<Precondition>,
    writes: Vec<Operation>,
}

impl AllocationTransaction {
    /// Deletes obsolete records, then allocates limits; changes at most `max_records` records in total.
    fn build(core: &Core, leader_revision: u64, max_records: usize) -> Self {
        let assignment = core.replica.assignment.as_ref();
        let mut transaction = Self {
            preconditions: vec![
                Precondition {
                    key: RecordKey::Leader.into(),
                    revision: leader_revision,
                },
                Precondition {
                    key: RecordKey::Assignment.into(),
                    revision: assignment.map_or(0, |assignment| assignment.revision),
                },
            ],
            writes: Vec::new(),
        };
        for (team, revision) in obsolete_records(core).take(max_records) {
            let delete = Operation::delete(RecordKey::quota_allocations(team));
            transaction.add(team, revision, delete);
        }
        let left = max_records - transaction.writes.len();
        let records = core
            .limits
            .divided_teams(core)
            .filter_map(|team| Some((next_record(&team)?, team)));
        for (record, team) in records.take(left) {
            let put = Operation::put(RecordKey::quota_allocations(team.name), &record);
            transaction.add(team.name, team.record_revision(), put);
        }
        transaction
    }

    /// Adds a write of a team's record, with the precondition that the record still has `revision`.
    fn add(&mut self, team: &str, revision: u64, write: Operation) {
        self.preconditions.push(Precondition {
            key: RecordKey::quota_allocations(team).into(),
            revision,
        });
        self.writes.push(write);
    }
}

/// The record that should replace a team's present one, if any.
fn next_record(team: &DividedTeam) -> Option<AllocationRecord> {
    if team.is_unreadable() {
        // A controller of another version may be able to read the record and start tasks under it. Once the
        // record is frozen, none can, and the limit can be divided.
        let limit = team.limit.as_amount();
        return Some(AllocationRecord::frozen(team.assignment_revision, limit));
    }
    let view = LeaderView {
        limit: team.limit,
        record: team.record(),
        assignment_revision: team.assignment_revision,
        applied_revision: team.applied_revision,
        members: team.members(),
        unowned: team.unowned(),
    };
    match decide_allocation(&view) {
        AllocationDecision::Keep => None,
        AllocationDecision::Freeze(record) | AllocationDecision::Allocate(record) => Some(record),
    }
}
