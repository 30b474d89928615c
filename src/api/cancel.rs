//! Cancellations by users.

use super::Server;
use super::responses::{overloaded, stage_response, state_unavailable};
use super::status::{JobStatus, current_status, final_state_in_memory};
use crate::cells::requests;
use crate::http::{HttpResponse, error_response};
use crate::jobs::{Stage, StoredJob, is_job_id};
use crate::node::{Core, Node};
use crate::pipelines::service::CANCELLED;
use crate::state::{Operation, Precondition, RecordKey, TransactionError};
use hyper::StatusCode;
use std::sync::Arc;

/// Cancellations are refused only when all requests in progress are taken.
const CANCELLATION_SHARE: f64 = 1.0;
/// How often a cancellation is tried whose job's record changes meanwhile.
const MAX_ATTEMPTS: usize = 4;

/// Answers a cancellation.
pub async fn cancel(server: &Server, id: &str) -> HttpResponse {
    if !is_job_id(id) {
        return error_response(StatusCode::NOT_FOUND, "no such job");
    }
    let node = &server.node;
    if let Some(final_state) = final_state_in_memory(node, id) {
        return stage_response(StatusCode::OK, id, final_state.into());
    }
    let Some(_permit) = server.limit.try_acquire(CANCELLATION_SHARE) else {
        return overloaded();
    };
    if let Some(cells) = &node.cells
        && let Some(response) = requests::cancel(node, cells, id).await
    {
        return response;
    }
    for _ in 0..MAX_ATTEMPTS {
        if let Some(response) = try_cancel(node, id).await {
            return response;
        }
    }
    state_unavailable()
}

/// Cancels a job by its record as it now is; `None` if the record changed meanwhile.
async fn try_cancel(node: &Arc<Node>, id: &str) -> Option<HttpResponse> {
    match current_status(node, id).await {
        JobStatus::Ended(final_state) => {
            return Some(stage_response(StatusCode::OK, id, final_state.into()));
        }
        JobStatus::Unfinished {
            stage: Stage::Cancelled,
            ..
        } => return Some(stage_response(StatusCode::OK, id, Stage::Cancelled)),
        JobStatus::NeverAccepted => {
            return Some(error_response(StatusCode::NOT_FOUND, "no such job"));
        }
        JobStatus::Indeterminate => return Some(state_unavailable()),
        JobStatus::Unfinished { .. } => {}
    }
    let (precondition, put) = cancellation(&node.core(), id)?;
    let operations = vec![put];
    match node
        .state
        .compare_and_swap(&[precondition], &operations)
        .await
    {
        Ok(revision) => {
            node.core().apply(operations, revision);
            node.wake_up.notify_one();
            Some(stage_response(StatusCode::OK, id, Stage::Cancelled))
        }
        // It may have ended by now.
        Err(TransactionError::Conflict(_)) => None,
        Err(_) => Some(state_unavailable()),
    }
}

/// The write that cancels a job, on condition that its record is unchanged.
fn cancellation(core: &Core, id: &str) -> Option<(Precondition, Operation)> {
    let (revision, put) = if let Some(blocked) = core.replica.pipelines.get(id) {
        // Nothing of it runs: it ends at once, and with it all that depend on it.
        (
            blocked.revision,
            Operation::put(RecordKey::Job(id), &CANCELLED),
        )
    } else {
        let job = core.replica.jobs.get(id)?;
        let record = job.record.clone().into_cancelled();
        let put = Operation::put(RecordKey::Job(id), &StoredJob::Open(record));
        (job.revision, put)
    };
    let precondition = Precondition {
        key: RecordKey::Job(id).into(),
        revision,
    };
    Some((precondition, put))
}
