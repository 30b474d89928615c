//! Releases jobs once all that they need is durably done, and ends those that were cancelled with
//! what they need.

use crate::jobs::{StoredJob, TerminalState};
use crate::membership;
use crate::node::{Core, Node, wall_ms};
use crate::state::{Operation, Precondition, final_key, job_key};
use rowanmill_state::WritePriority;
use std::sync::Arc;
use std::time::Duration;

/// A change of one waiting job, under the guard of its record alone: that what it needs is done, or
/// cancelled, is final.
struct Step {
    guard: Precondition,
    op: Operation,
}

/// The record of one that was cancelled while it waited: nothing of it ran.
pub const CANCELLED: StoredJob = StoredJob::Finished {
    outcome: TerminalState::Cancelled,
};

/// Those that this node sees to: its own, and after it ended a job any that are ready, so that the
/// next stage need not wait until another node has read the log. Of two that release one the record's
/// revision lets through a single one.
fn steps(node: &Node, core: &mut Core, ended_here: bool, most: usize) -> Vec<Step> {
    let replica = &core.replica;
    let ours = |id: &str| {
        let held = replica.pipelines.get(id);
        held.is_some_and(|held| replica.owner_of(&held.record) == Some(&node.identity))
    };
    let ready = replica.pipelines.ready();
    let ready = ready.filter(|(id, _)| ended_here || ours(id));
    let ready: Vec<_> = ready
        .take(most)
        .map(|(id, h)| (id.clone(), h.record.clone(), h.revision))
        .collect();
    let doomed = replica.pipelines.doomed().filter(|(id, _)| ours(id));
    let doomed = doomed.take(most).map(|(id, h)| (id.clone(), h.revision));
    let doomed: Vec<(String, u64)> = doomed.collect();
    let guard = |id: &str, revision| Precondition {
        key: job_key(id),
        revision,
    };
    let mut steps = Vec::new();
    for (id, mut record, revision) in ready {
        record.released_ms = Some(wall_ms().max(record.accepted_ms));
        record.placer = membership::choose_placer(node, core, &record);
        steps.push(Step {
            guard: guard(&id, revision),
            op: Operation::put(job_key(&id), &StoredJob::Open(record)),
        });
    }
    for (id, revision) in doomed {
        steps.push(Step {
            guard: guard(&id, revision),
            op: Operation::put(job_key(&id), &CANCELLED),
        });
    }
    steps
}

/// One turn, as part of recording. False if something failed or went unanswered: then what stands
/// must be read.
pub async fn turn(node: &Arc<Node>, ended_here: bool) -> bool {
    let most = node.settings.max_transaction_operations();
    loop {
        // Users wait for each stage.
        let room = node
            .state
            .available_writes(WritePriority::UserFacing)
            .min(most);
        let mut steps = steps(node, &mut node.core(), ended_here, room);
        let (mut guards, mut ops) = (Vec::new(), Vec::new());
        let mut bytes = 0;
        while let Some(step) = steps.first() {
            let more = step.op.bytes();
            if ops.len() + 1 > room || bytes + more > crate::state::MAX_TRANSACTION_BYTES {
                break;
            }
            let step = steps.remove(0);
            bytes += more;
            guards.push(step.guard);
            ops.push(step.op);
        }
        if ops.is_empty() {
            return true;
        }
        let Ok(revision) = node.state.compare_and_swap(&guards, &ops).await else {
            return false;
        };
        node.core().apply(ops, revision);
        node.wake_up.notify_one();
    }
}

/// Reads how jobs ended that this process has not seen end. False if that cannot be told now: nothing
/// is assumed of them then.
pub async fn look_up_needs(node: &Node, ids: impl IntoIterator<Item = String>) -> bool {
    for id in ids {
        let Ok(Some(value)) = node.state.get(&final_key(&id)).await else {
            return false;
        };
        let Ok(last) = serde_json::from_value::<TerminalState>(value) else {
            return false;
        };
        node.core().replica.record_final_state(&id, last);
        node.wake_up.notify_one();
    }
    true
}

const PAUSE: Duration = Duration::from_millis(400);
/// Looked up at a time.
const MOST_LOOKED_UP: usize = 4;

/// After a start or a new reading of all records: what was over before is looked up, little by little.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(PAUSE).await;
        let unknown = {
            let core = node.core();
            match core.loaded {
                true => core.replica.unknown_dependencies(),
                false => continue,
            }
        };
        look_up_needs(&node, unknown.into_iter().take(MOST_LOOKED_UP)).await;
    }
}
