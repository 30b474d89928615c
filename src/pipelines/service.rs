//! Releases blocked jobs once all of their dependencies are recorded as done, and ends those that are cancelled along
//! with a dependency. [`super::Pipelines`] determines which jobs are ready or cancelled.

use crate::jobs::{JobRecord, StoredJob, TerminalState};
use crate::membership;
use crate::node::{Core, Node, wall_ms};
use crate::state::{MAX_TRANSACTION_BYTES, Operation, Precondition, RecordKey, TransactionError};
use rowanmill_state::WritePriority;
use std::sync::Arc;
use std::time::Duration;

/// Pause between two rounds of lookups of unknown dependencies.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of dependencies that are looked up in one round.
const MAX_LOOKUPS: usize = 4;

/// The record of a job that was cancelled while it was blocked. None of its tasks has run.
pub const CANCELLED_JOB: StoredJob = StoredJob::Finished {
    outcome: TerminalState::Cancelled,
};

/// A change of one blocked job. Its only precondition is that the job's record is unchanged: whether dependencies are done
/// or cancelled is final and needs no precondition.
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

/// Selects the transitions that this controller makes, at most `limit` of each kind: those of its own jobs, and, if it has
/// just ended a job (`has_ended_jobs`), the releases of all ready jobs, so that the next stage does not wait until another
/// controller has read the change. If two controllers release the same job, the precondition on the record's revision
/// lets only one succeed.
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
        .map(|(id, job)| Transition::new(id, job.revision, &CANCELLED_JOB))
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

/// Takes transitions in order until the next one would exceed the limits of a transaction.
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

/// Writes the transitions that this controller makes. Called when task records are written. After an error, it is unknown
/// whether the transaction was committed, so the records must be read again.
pub async fn write_transitions(
    node: &Arc<Node>,
    has_ended_jobs: bool,
) -> Result<(), TransactionError> {
    let max_operations = node.settings.max_transaction_operations();
    loop {
        // A user waits for each stage of a pipeline, so these writes have the priority of user requests.
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

/// Reads the final states of jobs whose end this process has not observed, and records them in the replica. Stops and
/// returns false at the first one that cannot be read; nothing is assumed about that job and the remaining ones.
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

/// Looks up, a few at a time, the dependencies that ended before the records were loaded.
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
        // Dependencies that cannot be read now are looked up again in the next round.
        read_final_states(&node, unknown.into_iter().take(MAX_LOOKUPS)).await;
    }
}
