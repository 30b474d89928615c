//! Releases blocked jobs once all that they depend on is durably done, and ends those that are cancelled along with a
//! dependency. What is ready or cancelled is decided by [`super::Pipelines`].

use crate::jobs::{JobRecord, StoredJob, TerminalState};
use crate::membership;
use crate::node::{Core, Node, wall_ms};
use crate::state::{MAX_TRANSACTION_BYTES, Operation, Precondition, RecordKey, TransactionError};
use rowanmill_state::WritePriority;
use std::sync::Arc;
use std::time::Duration;

/// Pause between two lookups of unknown dependencies.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(400);
/// Dependencies that are looked up at a time.
const MAX_LOOKUPS: usize = 4;

/// The record of a job that was cancelled while it was blocked: nothing of it ran.
pub const CANCELLED: StoredJob = StoredJob::Finished {
    outcome: TerminalState::Cancelled,
};

/// A change of one blocked job, on condition of its record alone: that its dependencies are done, or that one is
/// cancelled, is final.
struct Transition {
    precondition: Precondition,
    put: Operation,
}

impl Transition {
    fn new(id: &str, revision: u64, record: &StoredJob) -> Self {
        let key = RecordKey::Job(id).to_string();
        Self {
            put: Operation::put(key.clone(), record),
            precondition: Precondition { key, revision },
        }
    }
}

/// The transitions that this node makes, at most `limit` of each kind: those of its own jobs, and after it ended a
/// job (`has_ended_jobs`) the release of any that are ready, so that the next stage need not wait until another
/// node has read the log. Of two that release one the record's revision lets through a single one.
fn plan_transitions(
    node: &Node,
    core: &mut Core,
    has_ended_jobs: bool,
    limit: usize,
) -> Vec<Transition> {
    let replica = &core.replica;
    let is_ours = |record: &JobRecord| replica.owner_of(record) == Some(&node.identity);
    let ready = replica.pipelines.ready();
    let ready: Vec<_> = ready
        .filter(|(_, job)| has_ended_jobs || is_ours(&job.record))
        .take(limit)
        .map(|(id, job)| (id.clone(), job.record.clone(), job.revision))
        .collect();
    let cancelled = replica.pipelines.cancelled();
    let cancellations: Vec<_> = cancelled
        .filter(|(_, job)| is_ours(&job.record))
        .take(limit)
        .map(|(id, job)| Transition::new(id, job.revision, &CANCELLED))
        .collect();
    let releases = ready
        .into_iter()
        .map(|(id, record, revision)| release(node, core, &id, record, revision));
    releases.chain(cancellations).collect()
}

fn release(
    node: &Node,
    core: &mut Core,
    id: &str,
    mut record: JobRecord,
    revision: u64,
) -> Transition {
    record.released_ms = Some(wall_ms().max(record.accepted_ms));
    record.placer = membership::choose_placer(node, core, &record);
    Transition::new(id, revision, &StoredJob::Open(record))
}

/// As many of the transitions as one transaction takes, from the first on.
fn fill_transaction(
    transitions: Vec<Transition>,
    limit: usize,
) -> (Vec<Precondition>, Vec<Operation>) {
    let (mut preconditions, mut operations) = (Vec::new(), Vec::new());
    let mut bytes = 0;
    for Transition { precondition, put } in transitions {
        bytes += put.bytes();
        if operations.len() == limit || bytes > MAX_TRANSACTION_BYTES {
            break;
        }
        preconditions.push(precondition);
        operations.push(put);
    }
    (preconditions, operations)
}

/// Writes the transitions that this node makes, as part of recording. After an error the records must be read again:
/// whether the transaction was carried out is not known.
pub async fn write_transitions(
    node: &Arc<Node>,
    has_ended_jobs: bool,
) -> Result<(), TransactionError> {
    let max_operations = node.settings.max_transaction_operations();
    loop {
        // Users wait for each stage.
        let quota = node.state.available_writes(WritePriority::UserFacing);
        let limit = quota.min(max_operations);
        let transitions = plan_transitions(node, &mut node.core(), has_ended_jobs, limit);
        let (preconditions, operations) = fill_transaction(transitions, limit);
        if operations.is_empty() {
            return Ok(());
        }
        let revision = node
            .state
            .compare_and_swap(&preconditions, &operations)
            .await?;
        node.core().apply(operations, revision);
        node.wake_up.notify_one();
    }
}

/// Reads the final states of jobs that this process has not seen end. False if one cannot be read now: nothing is
/// assumed of it then.
pub async fn read_final_states(node: &Node, ids: impl IntoIterator<Item = String>) -> bool {
    for id in ids {
        let Ok(Some(value)) = node
            .state
            .get(&RecordKey::FinalState(&id).to_string())
            .await
        else {
            return false;
        };
        let Ok(final_state) = serde_json::from_value::<TerminalState>(value) else {
            return false;
        };
        node.core().replica.record_final_state(&id, final_state);
        node.wake_up.notify_one();
    }
    true
}

/// Looks up, little by little, the dependencies that ended before the records were loaded.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(LOOKUP_INTERVAL).await;
        let unknown = {
            let core = node.core();
            if !core.loaded {
                continue;
            }
            core.replica.unknown_dependencies()
        };
        // What cannot be read now is looked up again.
        read_final_states(&node, unknown.into_iter().take(MAX_LOOKUPS)).await;
    }
}
