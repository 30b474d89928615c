//! Machines on their way back, the records of those that are there, and what the cloud's list
//! tells of either.

use super::service::guard;
use crate::cloud::{self, MAX_RELEASE_BATCH};
use crate::fleet::{
    Machine, MachinePool, MachineState, Rental, RentalPart, RentedMachine, max_machines_per_rental,
    split_to_fit,
};
use crate::membership;
use crate::node::{Core, Node, age_s, wall_ms};
use crate::state::records::Versioned;
use crate::state::watch::CONTACT_TIMEOUT;
use crate::state::{Operation, Precondition, RecordKey};
use rowanmill_state::WritePriority;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Returns idle machines, gives back silent ones, and drops their records once the cloud has
/// answered: only then is everything on them provably gone.
pub(super) async fn close_machines(node: &Arc<Node>) {
    let names = to_close(node);
    if names.is_empty() {
        return;
    }
    let names = record_closing(node, names).await;
    if names.is_empty() {
        return;
    }
    if let Err(error) = node.cloud.release(names.clone()).await {
        tracing::info!(%error, "a release is open");
        return;
    }
    let mut left = names;
    while !left.is_empty() {
        let now = write_fleet(node, &left, |_| false).await;
        if now.is_empty() {
            return; // another turn finds them closing still, and releases them again
        }
        tracing::info!(names = ?now, "released");
        left.retain(|name| !now.contains(name));
        let mut core = node.core();
        for name in &now {
            core.rent.closing.remove(name);
            core.workers.agents.remove(name);
        }
    }
    node.wake_up.notify_one();
}

/// Changes machines in their rentals' records, as many as fit one transaction; returns those whose
/// change is recorded. `change` returns false for a machine that leaves the record.
async fn write_fleet(
    node: &Arc<Node>,
    names: &[String],
    change: impl FnMut(&mut RentedMachine) -> bool,
) -> Vec<String> {
    // Beyond what this node may write it would only be refused, and take others' puts along.
    let left = node.state.available_writes(WritePriority::UserFacing);
    let most = node.settings.max_transaction_operations().min(left);
    let (mut guards, mut ops, mut rentals) = (Vec::new(), Vec::new(), Vec::new());
    let written: Vec<String> = {
        let core = node.core();
        let fleet = &core.replica.fleet;
        let changed = fleet.with_machines_changed(names.iter().map(String::as_str), change);
        let mut bytes = 0;
        for (name, kept) in changed {
            let parts = split_to_fit(&name, kept, node.settings.max_value_bytes());
            let op = |part: &RentalPart| match part.rental.record.machines.is_empty() {
                true => Operation::delete(RecordKey::Rental(&part.name)),
                false => Operation::put(RecordKey::Rental(&part.name), &part.rental.record),
            };
            let new: Vec<Operation> = parts.iter().map(op).collect();
            bytes += new.iter().map(Operation::bytes).sum::<usize>();
            if bytes > crate::state::MAX_TRANSACTION_BYTES || ops.len() + new.len() > most {
                break;
            }
            guards.extend(parts.iter().map(|part| Precondition {
                key: RecordKey::Rental(&part.name).into(),
                revision: part.rental.revision,
            }));
            ops.extend(new);
            rentals.push(name);
        }
        let is_in = |name: &&String| {
            let machine: Option<&Machine> = fleet.machines.get(*name);
            machine.is_some_and(|m| rentals.contains(&m.rental))
        };
        names.iter().filter(is_in).cloned().collect()
    };
    if ops.is_empty() {
        return Vec::new();
    }
    match node.state.compare_and_swap(&guards, &ops).await {
        Ok(revision) => {
            node.core().apply(ops, revision);
            written
        }
        Err(_) => {
            node.read_barrier().await;
            Vec::new()
        }
    }
}

/// Records each release before it is sent, guarded by the machine's rental: a node that was cut off
/// from the state service hears its machines no longer, because they are another's by now, and
/// must not release them.
async fn record_closing(node: &Arc<Node>, names: Vec<String>) -> Vec<String> {
    let (mut recorded, new): (Vec<String>, Vec<String>) = {
        let core = node.core();
        let fleet = &core.replica.fleet.machines;
        let known = names.into_iter().filter(|n| fleet.contains_key(n));
        known.partition(|n| fleet[n].state == MachineState::Releasing)
    };
    if !new.is_empty() {
        let close = |machine: &mut RentedMachine| {
            machine.state = MachineState::Releasing;
            true
        };
        recorded.extend(write_fleet(node, &new, close).await);
    }
    recorded
}

/// Rentals of a few machines each would make a takeover cost as many puts as one of machine keys.
/// Now and then the leader moves the machines of such rentals, once all are surely up, into one
/// record: a put, and the drops that their ends would cost in any case.
pub(super) async fn merge_rentals(node: &Arc<Node>, revision: u64) {
    let now = Instant::now();
    {
        let mut core = node.core();
        let due = core.rent.merged_at.is_none_or(|at| now >= at + MERGE_EVERY);
        if !due || node.state.write_headroom() < 0.5 {
            return;
        }
        core.rent.merged_at = Some(now);
    }
    let mut chosen = to_merge(node, &node.core());
    if chosen.len() < 3 {
        return;
    }
    let into = chosen.remove(0);
    let others = chosen;
    let (name, kept) = into;
    let mut record = kept.record;
    let mut guards = vec![
        guard(revision),
        Precondition {
            key: RecordKey::Rental(&name).into(),
            revision: kept.revision,
        },
    ];
    let mut ops = Vec::new();
    for (other, kept) in others {
        record.machines.extend(kept.record.machines);
        record.requested_ms = record.requested_ms.max(kept.record.requested_ms);
        guards.push(Precondition {
            key: RecordKey::Rental(&other).into(),
            revision: kept.revision,
        });
        ops.push(Operation::delete(RecordKey::Rental(&other)));
    }
    record.count = record.machines.len() as u32;
    // The new record first: a machine is gone when no record lists it.
    ops.insert(0, Operation::put(RecordKey::Rental(&name), &record));
    match node.state.compare_and_swap(&guards, &ops).await {
        Ok(revision) => {
            tracing::debug!(name, machines = record.count, "rentals merged");
            node.core().apply(ops, revision);
        }
        Err(_) => {
            node.read_barrier().await;
        }
    }
}

/// Rentals of one kind, zone and sort whose machines fit one record, the largest first.
fn to_merge(node: &Node, core: &Core) -> Vec<(String, Versioned<Rental>)> {
    let now_ms = wall_ms();
    let most = max_machines_per_rental(node.settings.max_value_bytes());
    let settled = |rental: &Rental| {
        let boot = core
            .kind(&rental.pool.machine_type)
            .map_or(60.0, |k| k.boot_s);
        !rental.unconfirmed && age_s(rental.requested_ms, now_ms) > boot * 3.0 + 20.0
    };
    let rentals = core.replica.fleet.rentals.iter();
    let settled: Vec<_> = rentals.filter(|(_, k)| settled(&k.record)).collect();
    let sort = |r: &Rental| {
        (
            r.pool.machine_type.clone(),
            r.pool.zone.clone(),
            r.pool.spot,
        )
    };
    let mut counts: BTreeMap<_, usize> = BTreeMap::new();
    for (_, kept) in &settled {
        *counts.entry(sort(&kept.record)).or_default() += 1;
    }
    let Some((group, _)) = counts.into_iter().max_by_key(|(_, n)| *n) else {
        return Vec::new();
    };
    let mut group: Vec<_> = settled
        .into_iter()
        .filter(|(_, kept)| sort(&kept.record) == group)
        .collect();
    group.sort_by_key(|(_, kept)| std::cmp::Reverse(kept.record.machines.len()));
    let mut size = 0;
    let mut taken = Vec::new();
    for (name, kept) in group {
        if taken.len() < MOST_MERGED && size + kept.record.machines.len() <= most {
            size += kept.record.machines.len();
            taken.push((name.clone(), kept.clone()));
        }
    }
    taken
}

const MERGE_EVERY: Duration = Duration::from_secs(3);

/// Most rentals merged at a time.
const MOST_MERGED: usize = 6;

pub(super) async fn mark_returning(node: &Arc<Node>, revision: u64) {
    let names = std::mem::take(&mut node.core().rent.to_return);
    if names.is_empty() || membership::leader_revision(node) != Some(revision) {
        return;
    }
    let give_back = |machine: &mut RentedMachine| {
        machine.state = machine.state.max(MachineState::Draining);
        true
    };
    let mut left = names;
    for _ in 0..MOST_MARKED {
        let written = write_fleet(node, &left, give_back).await;
        if written.is_empty() {
            return; // they are offered again with the next outlook
        }
        left.retain(|name| !written.contains(name));
        if left.is_empty() {
            return;
        }
    }
}

/// Transactions by which machines are marked as returning at a time.
const MOST_MARKED: usize = 3;

/// How long a node that cannot hear its workers leaves them to others.
const STEP_DOWN_DURATION: Duration = Duration::from_secs(20);

/// Machines to be released now.
fn to_close(node: &Node) -> Vec<String> {
    let now = Instant::now();
    let now_ms = wall_ms();
    // Without contact nothing can be recorded as closing, and silence means nothing: workers were
    // sent on. One that stood back for it in an outage gave everything away right after.
    if node.is_partitioned() || !node.is_connected_within(CONTACT_TIMEOUT) {
        return Vec::new();
    }
    let mut core = node.core();
    if core.membership.election.is_stepped_down() {
        return Vec::new();
    }
    let core = &mut *core;
    let report = node.settings.heartbeat_interval();
    let silence = node.settings.worker_lease().mul_f64(1.02) + Duration::from_millis(500);
    let mut close: Vec<(String, &'static str)> = Vec::new();
    // Silence for so long on most machines is noticed early, while another controller can still
    // take them over before their workers' leases are out.
    let unheard_for = node.settings.worker_lease().mul_f64(0.4).max(report * 2);
    let (mut silent, mut heard) = (0, 0);
    for (name, ownership) in &core.workers.owned {
        let Some(record) = core.replica.fleet.machines.get(name) else {
            continue;
        };
        let empty = !core.replica.tasks_by_machine.contains_key(name)
            && core.pending_changes.starts_on(name).next().is_none();
        if record.state == MachineState::Releasing {
            close.push((name.clone(), "decided before"));
            continue;
        }
        match core.workers.agents.get(name) {
            Some(status) => {
                let quiet = now.saturating_duration_since(status.last_heartbeat_at);
                match quiet > unheard_for {
                    true => silent += 1,
                    false => heard += 1,
                }
                let taken = status
                    .preemption_at
                    .is_some_and(|at| now > at && quiet > report + Duration::from_secs(2));
                if taken {
                    close.push((name.clone(), "taken by the cloud"));
                } else if quiet > silence {
                    close.push((name.clone(), "silent"));
                } else if status
                    .unresponsive_since
                    .is_some_and(|at| now.saturating_duration_since(at) > silence)
                    && (status.expired_leases != 1 || status.attempts.has_unacknowledged_runs())
                {
                    // What ran on it has ended with its lease, which our answers do not renew.
                    close.push((name.clone(), "does not follow"));
                } else {
                    let idle = status
                        .latest_heartbeat
                        .tasks
                        .iter()
                        .all(|t| t.state == crate::workers::TaskState::Ended);
                    if record.state == MachineState::Draining && empty && idle {
                        close.push((name.clone(), "returned"));
                    }
                }
            }
            None => {
                let boot = core
                    .kinds
                    .iter()
                    .find(|k| k.name == record.pool.machine_type);
                let boot = boot.map_or(60.0, |k| k.boot_s);
                // In an outage it may also keep them for as long as that lasts (`may_renew_leases`).
                let known = now.saturating_duration_since(
                    core.connected_since.unwrap_or(now).max(ownership.since),
                );
                let unheard = age_s(record.requested_ms, now_ms) > boot * 3.0 + 15.0;
                // An owner before us that is cut off from the state service may keep the worker
                // for as long as it may go without proof; only then does silence mean anything.
                if unheard && known > silence + node.settings.disconnected_lease_limit() {
                    close.push((name.clone(), "never came up"));
                }
            }
        }
    }
    let others = core.replica.presence.len() > 1;
    if others && silent >= 3 && silent > heard && !core.membership.election.is_stepped_down() {
        // Most machines fell silent at once: more likely this node cannot hear them. Others may;
        // releasing them all would throw their work away.
        tracing::info!(silent, heard, "stepped down: most machines unresponsive");
        core.membership.election.step_down(now + STEP_DOWN_DURATION);
        return Vec::new();
    }
    close.truncate(MAX_RELEASE_BATCH);
    for (name, why) in &close {
        if core.rent.closing.insert(name.clone(), why).is_none() {
            core.pending_changes.mark_machine_changed(name);
            tracing::info!(machine = name, why, "releasing");
        }
    }
    close.into_iter().map(|(name, _)| name).collect()
}

/// Reads the cloud's list: machines that no record names are adopted, failed ones given back.
pub(super) async fn take_list(node: &Arc<Node>, revision: u64) {
    let Ok(list) = node.cloud.list().await else {
        return;
    };
    // The list lags: a machine just released also looks unknown. This process remembers its
    // releases; those before its time are out of the list after twice the lag.
    let lag = Duration::from_secs_f64(node.settings.params.cloud.list_lag_s * 2.0 + 5.0);
    let settled = {
        let core = node.core();
        let leadership = core.membership.election.leadership();
        leadership.is_some_and(|leadership| leadership.since.elapsed() > lag)
            && core.replica.fleet.unconfirmed_rentals().next().is_none()
    };
    for listed in list {
        {
            let mut core = node.core();
            let core = &mut *core;
            if core.replica.fleet.machines.contains_key(&listed.name) {
                if listed.has_failed()
                    && let Some(status) = core.workers.agents.get_mut(&listed.name)
                {
                    // It stopped by itself: nothing on it can come back, and releasing it
                    // proves that.
                    status.preemption_at = Some(Instant::now() - Duration::from_secs(1));
                    core.pending_changes.mark_machine_changed(&listed.name);
                }
                continue;
            }
            if core.replica.fleet.was_released(&listed.name) || listed.has_failed() || !settled {
                continue;
            }
        }
        adopt(node, revision, listed).await;
    }
}

/// Records a machine that exists and is in no record: a rental of one, under its own name, so
/// that it cannot be recorded twice.
async fn adopt(node: &Arc<Node>, revision: u64, listed: cloud::ListedMachine) {
    let key = RecordKey::Rental(&format!("a-{}", listed.name)).to_string();
    let record = Rental {
        pool: MachinePool {
            machine_type: listed.machine_type,
            zone: listed.zone,
            spot: listed.spot,
        },
        count: 1,
        requested_ms: wall_ms().saturating_sub((listed.age_s * 1000.0) as u64),
        unconfirmed: false,
        machines: vec![RentedMachine {
            name: listed.name.clone(),
            owner: node.identity.clone(),
            fencing_token: revision,
            state: MachineState::Active,
        }],
    };
    let guards = [
        guard(revision),
        Precondition {
            key: key.clone(),
            revision: 0,
        },
    ];
    let put = Operation::put(key, &record);
    if let Ok(revision) = node
        .state
        .compare_and_swap(&guards, std::slice::from_ref(&put))
        .await
    {
        node.core().apply(vec![put], revision);
        tracing::info!(machine = listed.name, "adopted");
    }
}
