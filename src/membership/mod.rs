//! Who is there and who leads: a leased presence key for each node, a leased key for the leader,
//! and the takeover of every machine by a new leader.

pub mod shares;

use crate::jobs::Urgency;
use crate::node::{Node, age_s, wall_ms};
use crate::placement::views::{due_after, kinds_for, room_of};
use crate::placement::{By, Need};
use crate::state::budget::Need as Budget;
use crate::state::replica::{LeaderRecord, MachineRecord, PresenceRecord};
use crate::state::{
    Guard, LEADER_KEY, Op, SHARES_KEY, TxnError, client::ReadError, machine_key, presence_key,
};
use shares::{Demand, Shared, Shares, part_machines, part_teams};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Keeps the presence lease, and stands for the lead whenever nobody holds it.
pub async fn run(node: Arc<Node>) {
    let ttl = node.settings.presence_ttl();
    let pause = ttl / 4;
    loop {
        if node.core().loaded {
            step(&node, ttl).await;
        }
        tokio::time::sleep(pause).await;
    }
}

async fn step(node: &Arc<Node>, ttl: Duration) {
    let (lease, stands_back) = {
        let core = node.core();
        (core.lease, core.stand_back_until.is_some())
    };
    if let Some(lease) = lease
        && stands_back
    {
        // Its teams and machines, and the lead if it has it, go to others with the lease.
        if node.state.end_lease(lease).await.is_ok() {
            node.core().lease = None;
        }
        return;
    }
    match lease {
        None if stands_back => end_standing_back(node),
        None => join(node, ttl).await,
        Some(lease) => match extend(node, lease).await {
            Err(ReadError::Gone) => {
                tracing::info!("the presence lease is over");
                node.core().lease = None;
            }
            Ok(()) => campaign(node, lease).await,
            Err(_) => {}
        },
    }
}

async fn extend(node: &Node, lease: u64) -> Result<(), ReadError> {
    let sent = Instant::now();
    node.state.extend_lease(lease).await?;
    node.core().lease_proof = Some(sent);
    Ok(())
}

async fn join(node: &Arc<Node>, ttl: Duration) {
    let me = &node.me.name;
    let old = {
        let core = node.core();
        let old = core.replica.presence.get(me);
        old.map(|p| (p.record.incarnation, p.record.lease))
    };
    if let Some((incarnation, lease)) = old
        && incarnation != node.me.incarnation
    {
        // A process of the same name that ended: its lease would only keep others waiting.
        let _ = node.state.end_lease(lease).await;
    }
    let sent = Instant::now();
    let Ok(lease) = node.state.create_lease(ttl).await else {
        return;
    };
    node.core().lease_proof = Some(sent);
    let record = PresenceRecord {
        incarnation: node.me.incarnation,
        lease,
    };
    let put = leased(presence_key(me), &record, lease);
    if node.state.transact(&[], &[put]).await.is_ok() {
        node.core().lease = Some(lease);
        if node.sync().await {
            campaign(node, lease).await;
        }
    }
}

fn leased(key: String, record: &impl serde::Serialize, lease: u64) -> Op {
    match Op::set(key, record) {
        Op::Set { set, data, .. } => Op::Set {
            set,
            data,
            lease: Some(lease),
        },
        drop => drop,
    }
}

async fn campaign(node: &Arc<Node>, lease: u64) {
    if node.core().replica.leader.is_some() {
        return;
    }
    let record = LeaderRecord {
        member: node.me.name.clone(),
        incarnation: node.me.incarnation,
        lease,
    };
    let guard = Guard {
        k: LEADER_KEY.into(),
        mark: 0,
    };
    let put = leased(LEADER_KEY.into(), &record, lease);
    match node.state.transact(&[guard], &[put]).await {
        Ok(_) => tracing::info!("elected"),
        Err(TxnError::NoLease) => node.core().lease = None,
        Err(_) => {}
    }
    node.sync().await;
}

/// Whether the leader record is this very process's; its mark.
pub fn lead_mark(node: &Node) -> Option<u64> {
    let core = node.core();
    let leader = core.replica.leader.as_ref()?;
    let ours =
        leader.record.member == node.me.name && leader.record.incarnation == node.me.incarnation;
    ours.then_some(leader.mark)
}

fn end_standing_back(node: &Node) {
    let mut core = node.core();
    // If all stand back at once, the machines are gone rather than the ways to them.
    let alone = core.replica.presence.is_empty();
    if alone
        || core
            .stand_back_until
            .is_some_and(|until| until <= Instant::now())
    {
        core.stand_back_until = None;
    }
}

/// What the leader has to change so that everything belongs to someone who is there.
struct Change {
    shares: Option<(Shares, u64)>,
    machines: Vec<(String, MachineRecord, u64)>,
}

fn wanted_change(node: &Node, settled: bool) -> Change {
    let core = node.core();
    let replica = &core.replica;
    let present = replica.present();
    let mut load: BTreeMap<String, f64> = BTreeMap::new();
    let now_ms = wall_ms();
    let mut work: Vec<(String, String, Urgency, f64)> = Vec::new();
    for job in replica.jobs.values().filter(|j| !j.record.cancelled) {
        let spec = &job.record.spec;
        let pool = kinds_for(&core, spec).into_iter().next();
        let Some(kind) = pool.and_then(|k| core.kind(&k)) else {
            continue;
        };
        let left = f64::from(spec.tasks - job.done.min(spec.tasks));
        let machines = Need::share(&spec.need(), &room_of(kind)) * left;
        *load.entry(spec.team.clone()).or_default() += machines;
        // What has time need not all run at once.
        let age = age_s(job.record.accepted_ms, now_ms);
        let (due, by) = due_after(node, &core, spec, age);
        let at_once = match by {
            By::Start => 1.0,
            By::End => (core.duration(spec) * 1.5 / (due - age).max(0.1)).clamp(0.2, 1.0),
        };
        let machines = machines * at_once;
        work.push((spec.team.clone(), kind.name.clone(), spec.urgency, machines));
    }
    let teams = node.settings.params.teams.iter();
    let teams: Vec<String> = teams.map(|t| t.name.clone()).collect();
    let old = replica.shares.as_ref();
    let none = Shares::default();
    let shares = part_teams(&teams, &present, old.map_or(&none, |s| &s.record), &load);
    let mut demand = Demand::new();
    for (team, kind, urgency, machines) in work {
        if let Some(member) = shares.teams.get(&team) {
            let levels = demand.entry((member.clone(), kind)).or_default();
            *levels.entry(urgency).or_default() += machines;
        }
    }
    // More at once than the limit on writes allows would be refused as a whole.
    let most_ops = node.state.writes_left(Budget::Own).clamp(6, 12);
    let machines: Vec<Shared> = replica
        .machines
        .iter()
        .map(|(name, m)| Shared {
            name: name.clone(),
            kind: m.record.kind.clone(),
            owner: m.record.owner.clone(),
            tasks: replica.on.get(name).map_or(0, |on| on.len() as u32),
        })
        .collect();
    let most = if settled { MOST_MOVED } else { 0 };
    let moves = part_machines(&machines, &present, &demand, most);
    let machines = moves
        .into_iter()
        .filter_map(|(name, owner)| {
            let kept = replica.machines.get(&name)?;
            let record = MachineRecord {
                owner,
                ..kept.record.clone()
            };
            Some((name, record, kept.mark))
        })
        .take(most_ops)
        .collect();
    let changed = old.is_none_or(|old| old.record != shares);
    Change {
        shares: changed.then(|| (shares, old.map_or(0, |o| o.mark))),
        machines,
    }
}

/// Machines that change hands at a time while all controllers are there.
const MOST_MOVED: usize = 1;
/// How often they do.
const SHARE_EVERY: Duration = Duration::from_secs(1);

/// The leader's duty: everything belongs to a controller that is there, and machines follow the
/// work. A machine whose key changes hands has a new mark, so that whatever its old owner still
/// sends fails on its guards, and the worker drops the old owner's answers.
pub async fn share_out(node: &Arc<Node>, mark: u64) {
    let settled = {
        let mut core = node.core();
        let due = core.shared_at.is_none_or(|at| at.elapsed() >= SHARE_EVERY);
        if due {
            core.shared_at = Some(Instant::now());
        }
        due
    };
    let change = wanted_change(node, settled);
    let mut guards = vec![Guard {
        k: LEADER_KEY.into(),
        mark,
    }];
    let mut ops = Vec::new();
    if let Some((shares, mark)) = &change.shares {
        guards.push(Guard {
            k: SHARES_KEY.into(),
            mark: *mark,
        });
        ops.push(Op::set(SHARES_KEY.into(), shares));
    }
    for (name, record, mark) in &change.machines {
        guards.push(Guard {
            k: machine_key(name),
            mark: *mark,
        });
        ops.push(Op::set(machine_key(name), record));
    }
    if ops.is_empty() {
        return;
    }
    match node.state.transact(&guards, &ops).await {
        Ok(ledger) => {
            if let Some((shares, _)) = &change.shares {
                let teams = serde_json::to_string(&shares.teams).unwrap_or_default();
                tracing::info!(teams, "parted the teams");
            }
            for (name, record, _) in &change.machines {
                tracing::info!(machine = name, to = record.owner.name, "changed hands");
            }
            node.core().apply(ops, ledger);
        }
        Err(_) => {
            node.sync().await;
        }
    }
}
