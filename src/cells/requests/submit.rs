//! Accepts jobs in a controller that belongs to a cell. A job is published in the ledger before its user is
//! answered.

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
/// Bytes by which the ledger's record of a job may grow later: names of other cells, a higher epoch, and the
/// cancellation.
const RECORD_GROWTH_BYTES: usize = 256;

/// Answers a submission whose body is valid; `None` if only this cell has the job.
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
    let answered =
        match check_publishable(node, cells, &record.spec.id, &depends_on, &admission).await {
            Ok(()) => publish(node, cells, record, depends_on).await,
            Err(answer) => answer,
        };
    Some(answered)
}

/// Checks that the job is new and may be published. The error is the response to send instead.
async fn check_publishable(
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
        // A repeat of an accepted job is answered with its stage, even if the repeat is not admissible.
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

/// Checks that all jobs that a new one depends on are in the ledger. The end of a job that was accepted before
/// the cells were configured is never recorded there, so the new job would wait forever.
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

/// Checks that the cell's own records do not show the job as accepted or ended before the cells were
/// configured.
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
    let description =
        serde_json::to_value(&record.spec).expect("a job specification always serializes");
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

/// Writes an accepted job to the cell's records while its user is answered. A job with dependencies is
/// written by the leader instead, once the dependencies are done.
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
        // If this fails, the leader adopts the job, because the ledger shows this cell as its owner.
        let _ = scheduler.write_adopted(&id, record, NO_REVISION).await;
    });
}
