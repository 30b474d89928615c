//! Answers users' requests in a controller that belongs to a cell. The ledger determines which cell owns a
//! job, whether it is cancelled and how it ended; the cell's own records only show its progress.
//!
//! No answer may contradict one that another controller may have given.

mod cancel;
mod submit;

pub use cancel::cancel;
pub use submit::submit;

use crate::api::responses::{progress_response, stage_response};
use crate::api::status::{JobStatus, current_status};
use crate::http::{HttpResponse, error_response, retry_later};
use crate::jobs::{Stage, TerminalState};
use crate::node::Node;
use hyper::StatusCode;
use rowanmill_cells::{CellCoordinator, LedgerJobState};
use std::sync::Arc;

/// `Retry-After` of requests that cannot be answered now, in seconds.
const RETRY_AFTER_S: u64 = 1;

fn ledger_unavailable() -> HttpResponse {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S, "no ledger")
}

/// The response while a cancellation is recorded in the ledger, but not known to be effective. Another
/// controller may have confirmed it already, or may still start the job, so the job can be shown neither as
/// open nor as cancelled.
fn cancellation_unconfirmed() -> HttpResponse {
    let reason = "the cancellation is being confirmed";
    retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S, reason)
}

fn in_stage(id: &str, stage: Stage) -> HttpResponse {
    stage_response(StatusCode::OK, id, stage)
}

fn ended(id: &str, final_state: impl Into<TerminalState>) -> HttpResponse {
    in_stage(id, final_state.into().into())
}

/// A status response that shows no task as running or done.
fn without_tasks(id: &str, stage: Stage) -> HttpResponse {
    progress_response(id, stage, 0, 0)
}

/// Answers a status poll.
pub async fn poll(node: &Arc<Node>, cells: &CellCoordinator, id: &str) -> HttpResponse {
    match cells.job_state(id).await {
        LedgerJobState::Ended(final_state) => ended(id, final_state),
        LedgerJobState::Cancelled => without_tasks(id, Stage::Cancelled),
        LedgerJobState::Cancelling { .. } if is_cancelled_locally(node, id) => {
            without_tasks(id, Stage::Cancelled)
        }
        LedgerJobState::Cancelling { .. } => cancellation_unconfirmed(),
        LedgerJobState::Open { owned_here: true } => progress(node, id),
        LedgerJobState::Open { owned_here: false } => without_tasks(id, Stage::Queued),
        LedgerJobState::Unknown => poll_unknown(node, id).await,
        LedgerJobState::Indeterminate if is_local(node, id) => poll_local(node, id).await,
        LedgerJobState::Indeterminate => ledger_unavailable(),
    }
}

/// Answers a repeated submission with the job's stage in the ledger; `None` if the ledger never had the job.
pub async fn answer_if_known(
    node: &Arc<Node>,
    cells: &CellCoordinator,
    id: &str,
) -> Option<HttpResponse> {
    Some(match cells.job_state(id).await {
        LedgerJobState::Unknown => return None,
        LedgerJobState::Ended(final_state) => ended(id, final_state),
        LedgerJobState::Cancelled => in_stage(id, Stage::Cancelled),
        LedgerJobState::Cancelling { .. } => cancellation_unconfirmed(),
        LedgerJobState::Open { owned_here: true } => progress(node, id),
        LedgerJobState::Open { owned_here: false } => in_stage(id, Stage::Queued),
        LedgerJobState::Indeterminate => ledger_unavailable(),
    })
}

/// The progress of a job that this cell owns, according to the cell's own records.
fn progress(node: &Node, id: &str) -> HttpResponse {
    let core = node.core();
    let job = core.replica.jobs.get(id);
    let Some(job) = job.filter(|job| !job.record.cancelled) else {
        return without_tasks(id, Stage::Queued);
    };
    // A job is shown as done only once the ledger has its final state.
    let stage = match job.placed + job.done {
        0 => Stage::Queued,
        _ => Stage::Running,
    };
    progress_response(id, stage, job.done, job.placed)
}

/// Answers a status poll of a job that the ledger does not have. If the cell's own record shows that the job
/// came from the ledger, the ledger has lost data, and no state of the job is reported.
async fn poll_unknown(node: &Arc<Node>, id: &str) -> HttpResponse {
    let came_from_ledger = {
        let core = node.core();
        let job = core.replica.jobs.get(id);
        job.is_some_and(|job| job.record.ledger.is_some())
    };
    if came_from_ledger {
        return ledger_unavailable();
    }
    poll_local(node, id).await
}

async fn poll_local(node: &Arc<Node>, id: &str) -> HttpResponse {
    match current_status(node, id).await {
        JobStatus::Unfinished {
            stage,
            completed,
            placed,
        } => progress_response(id, stage, completed, placed),
        JobStatus::Ended(final_state) => ended(id, final_state),
        JobStatus::NeverAccepted => error_response(StatusCode::NOT_FOUND, "no such job"),
        JobStatus::Indeterminate => ledger_unavailable(),
    }
}

/// Whether only this cell has the job, because it was accepted before the cells were configured.
fn is_local(node: &Node, id: &str) -> bool {
    let core = node.core();
    let is_blocked = core.replica.pipelines.get(id).is_some();
    let job = core.replica.jobs.get(id);
    is_blocked || job.is_some_and(|job| job.record.ledger.is_none())
}

/// Whether the cell's own records show the cancellation. No task of the job can start after that, because
/// every start requires the job's record to be unchanged.
fn is_cancelled_locally(node: &Node, id: &str) -> bool {
    let core = node.core();
    let job = core.replica.jobs.get(id).map(|job| &job.record);
    job.is_some_and(|record| record.cancelled && !record.withdrawn)
}
