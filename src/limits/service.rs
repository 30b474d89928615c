//! Writes the records of allotments: the leader's divisions, and what a controller gives to others.

use super::{Charge, DividedTeam, refresh};
use crate::node::{Core, Node};
use crate::state::{ASSIGNMENT_KEY, Guard, LEADER_KEY, Op, TxnError, allotment_key};
use rowanmill_limits::division::LeaderView;
use rowanmill_limits::{AllotmentRecord, Amount, Change, ChangeKind, Division, divide};
use rowanmill_state::Need;
use std::sync::Arc;
use std::time::Instant;

/// Records that a controller changes of its own accord in a scheduling cycle. Transfers must not keep
/// starts from being recorded.
const MOST_CHANGES: usize = 4;

/// The leader's duty: every divided team's record holds under the assignment and the limit of now.
/// `lead` is the revision under which this node leads.
pub async fn lead(node: &Arc<Node>, lead: u64) {
    if !has_work(&mut node.core()) {
        return;
    }
    // What is in use is known once all changes up to the assignment's and the records' are read.
    let is_behind = is_behind(&node.core());
    if is_behind && !node.sync().await {
        return;
    }
    let most = node.settings.max_transaction_operations();
    let (guards, ops) = {
        let mut core = node.core();
        refresh(&mut core);
        divisions(&core, lead, most)
    };
    if ops.is_empty() {
        return;
    }
    match node.state.transact(&guards, &ops).await {
        Ok(ledger) => {
            tracing::info!(teams = ops.len(), "divided limits of teams");
            node.core().apply(ops, ledger);
        }
        Err(error) => tracing::debug!(%error, "a division was not written"),
    }
}

fn has_work(core: &mut Core) -> bool {
    refresh(core);
    let limits = &core.limits;
    let keeps = |team: DividedTeam| {
        let record = team.record();
        record.is_some_and(|kept| kept.record.is_valid(team.assignment, &team.limit))
    };
    !limits.all_divided(core).all(keeps) || forgotten(core).next().is_some()
}

fn is_behind(core: &Core) -> bool {
    let behind = |team: DividedTeam| team.revision < team.assignment.max(team.record_revision());
    core.limits.all_divided(core).any(behind)
}

/// Teams with a record whose limit is gone from the settings.
fn forgotten(core: &Core) -> impl Iterator<Item = (&String, u64)> {
    let kept = core.replica.allotments.iter();
    let kept = kept.filter(|(team, _)| !core.limits.limits.contains_key(*team));
    kept.map(|(team, kept)| (team, kept.mark))
}

fn divisions(core: &Core, lead: u64, most: usize) -> (Vec<Guard>, Vec<Op>) {
    let assignment = core.replica.assignment.as_ref().map_or(0, |a| a.mark);
    let mut guards = vec![
        Guard {
            k: LEADER_KEY.into(),
            mark: lead,
        },
        Guard {
            k: ASSIGNMENT_KEY.into(),
            mark: assignment,
        },
    ];
    let mut ops = Vec::new();
    let mut change = |team: &str, mark: u64, op: Op| {
        guards.push(Guard {
            k: allotment_key(team),
            mark,
        });
        ops.push(op);
    };
    for (team, mark) in forgotten(core).take(most) {
        change(team, mark, Op::drop(allotment_key(team)));
    }
    let divided = core.limits.all_divided(core);
    let records = divided.filter_map(|team| Some((next_record(&team)?, team)));
    for (record, team) in records.take(most) {
        let op = Op::set(allotment_key(team.name), &record);
        change(team.name, team.record_revision(), op);
    }
    ops.truncate(most);
    guards.truncate(2 + most);
    (guards, ops)
}

/// The record that should take the place of a team's.
fn next_record(team: &DividedTeam) -> Option<AllotmentRecord> {
    if team.is_unreadable() {
        // Whoever can read it may start under it: nobody may, and then it is divided anew.
        let frozen = AllotmentRecord::frozen(team.assignment, team.limit.amount());
        return Some(frozen);
    }
    let view = LeaderView {
        limit: team.limit,
        record: team.record(),
        assignment: team.assignment,
        revision: team.revision,
        members: team.members(),
        unowned: team.unowned(),
    };
    match divide(&view) {
        Division::Keep => None,
        Division::Freeze(record) | Division::Divide(record) => Some(record),
    }
}

/// Gives others what this controller should not have, and makes starts without an answer fail.
pub async fn change_own(node: &Arc<Node>, now: Instant) {
    let changes = {
        let mut core = node.core();
        own_changes(&mut core, now)
    };
    for (team, change) in changes {
        if node.state.writes_left(Need::Own) == 0 {
            return;
        }
        write_change(node, &team, change).await;
    }
}

fn own_changes(core: &mut Core, now: Instant) -> Vec<(String, Change)> {
    refresh(core);
    let mut limits = std::mem::take(&mut core.limits);
    let mut holder = std::mem::take(&mut limits.holder);
    let mut changes = Vec::new();
    for team in limits.all_divided(core) {
        if changes.len() == MOST_CHANGES {
            break;
        }
        let change = holder.next_change(team.name, &team.view(), team.charged(), now);
        changes.extend(change.map(|change| (team.name.to_owned(), change)));
    }
    limits.holder = holder;
    core.limits = limits;
    changes
}

async fn write_change(node: &Arc<Node>, team: &str, change: Change) {
    let key = allotment_key(team);
    let guard = Guard {
        k: key.clone(),
        mark: change.follows,
    };
    let put = Op::set(key, &change.record);
    let outcome = node
        .state
        .transact(&[guard], std::slice::from_ref(&put))
        .await;
    let mut core = node.core();
    match outcome {
        Ok(ledger) => {
            let transfer = change.kind == ChangeKind::Transfer;
            core.metrics.quota_transfers += u64::from(transfer);
            core.metrics.fence_writes += u64::from(!transfer);
            tracing::debug!(team, kind = ?change.kind, record = ?change.record, "changed allotments");
            core.apply(vec![put], ledger);
        }
        Err(error) => {
            tracing::debug!(%error, team, "allotments were not changed");
            if matches!(error, TxnError::Unknown) {
                let assignment = core.replica.assignment.as_ref().map_or(0, |a| a.mark);
                core.limits.note_unanswered(&Charge {
                    team: team.to_owned(),
                    amount: change.given,
                    record: change.follows,
                    assignment,
                });
            }
        }
    }
}

/// Logs how the teams stand whose limit is divided.
pub fn log_teams(core: &Core) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    for team in core.limits.all_divided(core) {
        let used: Amount = team.members().iter().map(|m| m.used).sum();
        let waiting: Amount = team.members().iter().map(|m| m.waiting).sum();
        tracing::debug!(
            team = team.name,
            limit = ?team.limit.amount(),
            ?used,
            ?waiting,
            charged = ?team.charged(),
            allotment = ?core.limits.holder.allotment(&team.view()),
            room = ?team.room(),
            "team"
        );
    }
}

/// A record as the replica reads it.
pub fn read_record(key: &str, data: &str) -> Option<AllotmentRecord> {
    match AllotmentRecord::parse(data) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key, %error, "a record of allotments cannot be read");
            None
        }
    }
}
