//! Who is there and who leads: a leased presence key for each node, a leased key for the leader,
//! and the takeover of every machine by a new leader.

use crate::node::Node;
use crate::state::replica::{LeaderRecord, MachineRecord, PresenceRecord};
use crate::state::{Guard, LEADER_KEY, Op, TxnError, client::ReadError, machine_key, presence_key};
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
        && lead_mark(node).is_some()
    {
        // Ends the leader key with the lease; presence begins anew with the next step.
        if node.state.end_lease(lease).await.is_ok() {
            node.core().lease = None;
        }
        return;
    }
    match lease {
        None => join(node, ttl).await,
        Some(lease) => match node.state.extend_lease(lease).await {
            Err(ReadError::Gone) => {
                tracing::info!("the presence lease is over");
                let mut core = node.core();
                core.lease = None;
                core.leading = None;
            }
            Ok(()) => campaign(node, lease).await,
            Err(_) => {}
        },
    }
}

async fn join(node: &Arc<Node>, ttl: Duration) {
    let me = &node.settings.member;
    let old = {
        let core = node.core();
        let old = core.replica.presence.get(me);
        old.map(|p| (p.record.incarnation, p.record.lease))
    };
    if let Some((incarnation, lease)) = old
        && incarnation != node.incarnation
    {
        // A process of the same name that ended: its lease would only keep others waiting.
        let _ = node.state.end_lease(lease).await;
    }
    let Ok(lease) = node.state.create_lease(ttl).await else {
        return;
    };
    let record = PresenceRecord {
        incarnation: node.incarnation,
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
    let now = Instant::now();
    let vacant = {
        let mut core = node.core();
        if core.stand_back_until.is_some_and(|until| until <= now) {
            core.stand_back_until = None;
        }
        core.replica.leader.is_none() && core.stand_back_until.is_none()
    };
    if !vacant {
        return;
    }
    let record = LeaderRecord {
        member: node.settings.member.clone(),
        incarnation: node.incarnation,
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
    let ours = leader.record.member == node.settings.member
        && leader.record.incarnation == node.incarnation;
    ours.then_some(leader.mark)
}

/// Makes every machine this node's: their keys get new marks, so that whatever an earlier owner
/// still sends fails on its guards, and workers drop its answers. Returns false to be called
/// again.
pub async fn take_over(node: &Arc<Node>, mark: u64) -> bool {
    let batch: Vec<(String, MachineRecord, u64)> = {
        let core = node.core();
        let most = (node.settings.params.state.txn_ops).min(20);
        let theirs = |r: &MachineRecord| {
            r.owner != node.settings.member || r.incarnation != node.incarnation
        };
        let machines = core.replica.machines.iter();
        machines
            .filter(|(_, m)| theirs(&m.record))
            .take(most)
            .map(|(name, m)| (name.clone(), m.record.clone(), m.mark))
            .collect()
    };
    if batch.is_empty() {
        // All fences stand: what is read from now on is the last word of the owners before.
        return node.sync().await && lead_mark(node) == Some(mark);
    }
    let mut guards = vec![Guard {
        k: LEADER_KEY.into(),
        mark,
    }];
    let mut ops = Vec::new();
    for (name, mut record, mark) in batch {
        record.owner = node.settings.member.clone();
        record.incarnation = node.incarnation;
        guards.push(Guard {
            k: machine_key(&name),
            mark,
        });
        ops.push(Op::set(machine_key(&name), &record));
    }
    if node.state.transact(&guards, &ops).await.is_err() {
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    node.sync().await;
    false
}
