//! Handles job cancellations by users.

use super::Server;
use super::responses::{overloaded, stage_response, state_unavailable};
use super::status::{JobStatus, current_status, final_state_in_memory};
use crate::cells::requests;
use crate::http::{HttpResponse, error_response};
use crate::jobs::{Stage, StoredJob, is_job_id};
use crate::node::{Core, Node};
use crate::pipelines::service::CANCELLED_JOB;
use crate::state::{Operation, Precondition, RecordKey, TransactionError};
use hyper::StatusCode;
use std::sync::Arc;

/// Fraction of the concurrency limit that cancellations may use: all of it.
const CANCELLATION_SHARE: f64 = 1.0;
/// Maximum number of attempts to cancel a job whose record changes during each attempt.
const MAX_ATTEMPTS: usize = 4;

/// Handles a cancellation.
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

/// Tries to cancel a job on condition that its record is unchanged. Returns `None` if the record changed concurrently.
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
        // The record has changed. The job may have ended, so its status must be read again.
        Err(TransactionError::Conflict(_)) => None,
        Err(_) => Some(state_unavailable()),
    }
}

/// The write that cancels a job, on condition that its record is unchanged.
fn cancellation(core: &Core, id: &str) -> Option<(Precondition, Operation)> {
    let (revision, put) = if let Some(blocked) = core.replica.pipelines.get(id) {
        // No task of a blocked job runs, so the job ends at once and all jobs that depend on it are cancelled.
        (
            blocked.revision,
            Operation::put(RecordKey::Job(id), &CANCELLED_JOB),
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
