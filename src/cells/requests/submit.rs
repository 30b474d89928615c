//! Submissions where there are cells: a job is published in the ledger before its user is answered.

use super::{RETRY_AFTER_S, answer_if_known, ended, in_stage, is_local, ledger_unavailable};
use crate::api::Server;
use crate::api::admission::Admission;
use crate::api::responses::stage_response;
use crate::api::status::{JobStatus, current_status};
use crate::cells::CellScheduler;
use crate::cells::scheduler::NO_REVISION;
use crate::http::{HttpResponse, error_response, retry_later};
use crate::jobs::{JobRecord, Stage};
use crate::node::Node;
use hyper::StatusCode;
use rowanmill_cells::{
    CellCoordinator, LedgerJob, LedgerJobState, OwnershipVersion, PublishOutcome,
};
use std::sync::Arc;
use std::time::Duration;

/// A submission is refused at once if the ledger has not answered for this long.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(3000);
/// Bytes that the ledger's record of a job may gain later: names of other cells, a higher epoch, that it is
/// cancelled.
const RECORD_GROWTH_BYTES: usize = 256;

/// Answers a submission whose body is valid; `None` if only this cell knows the job.
pub async fn submit(
    server: &Server,
    cells: &Arc<CellCoordinator>,
    record: JobRecord,
    depends_on: Vec<String>,
    admission: Admission,
) -> Option<HttpResponse> {
    let node = &server.node;
    if is_local(node, &record.spec.id) {
        return None;
    }
    let answered = match check(node, cells, &record.spec.id, &depends_on, &admission).await {
        Ok(()) => publish(node, cells, record, depends_on).await,
        Err(answer) => answer,
    };
    Some(answered)
}

/// Whether the job is new and may be published; otherwise the answer.
async fn check(
    node: &Arc<Node>,
    cells: &CellCoordinator,
    id: &str,
    depends_on: &[String],
    admission: &Admission,
) -> Result<(), HttpResponse> {
    if !cells.ledger_responded_within(LEDGER_TIMEOUT) {
        return Err(ledger_unavailable());
    }
    let is_acceptable = *admission == Admission::Admitted;
    if !is_acceptable || cells.is_cached(id) {
        // A job that was accepted is known whatever a repeat of it looks like.
        if let Some(answer) = answer_if_known(node, cells, id).await {
            return Err(answer);
        }
        if !is_acceptable {
            return Err(admission.refusal());
        }
    }
    check_dependencies(cells, depends_on).await?;
    check_local_records(node, cells, id).await
}

/// Whether the ledger knows all jobs that a new one depends on. It would never learn the end of a job from
/// before there were cells.
async fn check_dependencies(
    cells: &CellCoordinator,
    depends_on: &[String],
) -> Result<(), HttpResponse> {
    for id in depends_on {
        match cells.job_state(id).await {
            LedgerJobState::Open { .. }
            | LedgerJobState::Cancelling { .. }
            | LedgerJobState::Cancelled
            | LedgerJobState::Ended(_) => {}
            LedgerJobState::Indeterminate => return Err(ledger_unavailable()),
            LedgerJobState::Unknown => {
                let reason = "`awaits` names a job that the cells never accepted";
                return Err(error_response(StatusCode::UNPROCESSABLE_ENTITY, reason));
            }
        }
    }
    Ok(())
}

/// Whether the cell's own records allow the job: it may have been accepted, or have ended, before there
/// were cells.
async fn check_local_records(
    node: &Arc<Node>,
    cells: &CellCoordinator,
    id: &str,
) -> Result<(), HttpResponse> {
    match current_status(node, id).await {
        JobStatus::Unfinished { stage, .. } if is_local(node, id) => Err(in_stage(id, stage)),
        JobStatus::Ended(final_state) if !cells.is_cached(id) => Err(ended(id, final_state)),
        JobStatus::Indeterminate => Err(ledger_unavailable()),
        JobStatus::NeverAccepted | JobStatus::Unfinished { .. } | JobStatus::Ended(_) => Ok(()),
    }
}

async fn publish(
    node: &Arc<Node>,
    cells: &Arc<CellCoordinator>,
    record: JobRecord,
    depends_on: Vec<String>,
) -> HttpResponse {
    let id = record.spec.id.clone();
    let description = serde_json::to_value(&record.spec).expect("a job is plain data");
    let cell = cells.cell_name();
    let job = LedgerJob::accepted_by(cell, record.accepted_ms, depends_on, description);
    let bytes = serde_json::to_vec(&job).map_or(usize::MAX, |text| text.len());
    if bytes + RECORD_GROWTH_BYTES > cells.config().value_bytes() {
        return Admission::RecordTooLarge.refusal();
    }
    match cells.publish(&id, &job).await {
        PublishOutcome::Accepted(ownership) => {
            if job.depends_on.is_empty() {
                adopt_in_background(node, cells, record, ownership);
            }
            stage_response(StatusCode::CREATED, &id, Stage::Queued)
        }
        PublishOutcome::AlreadyKnown => answer_if_known(node, cells, &id)
            .await
            .unwrap_or_else(ledger_unavailable),
        PublishOutcome::RateLimited => {
            let reason = "too much at once";
            retry_later(StatusCode::TOO_MANY_REQUESTS, RETRY_AFTER_S, reason)
        }
        PublishOutcome::Unavailable => ledger_unavailable(),
    }
}

/// Puts an accepted job into the cell's records, while its user is answered. A job that depends on others is
/// put there by the leader, once these are done.
fn adopt_in_background(
    node: &Arc<Node>,
    cells: &Arc<CellCoordinator>,
    mut record: JobRecord,
    ownership: OwnershipVersion,
) {
    record.ledger = Some(ownership);
    let scheduler = CellScheduler::new(node, cells);
    tokio::spawn(async move {
        let id = record.spec.id.clone();
        // If this fails the leader does it: the ledger says that the job is the cell's.
        let _ = scheduler.write_adopted(&id, record, NO_REVISION).await;
    });
}
