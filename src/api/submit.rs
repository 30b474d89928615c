//! Handles job submissions. A job is accepted by a single conditional write; [`super::admission`] decides whether it is
//! admitted.

use super::Server;
use super::admission::{Admission, admit};
use super::dependencies::resolve_dependencies;
use super::responses::{overloaded, stage_response, state_unavailable};
use super::status::{STATE_TIMEOUT, final_state_in_memory, respond_if_accepted};
use crate::cells::requests;
use crate::http::{HttpResponse, error_response};
use crate::jobs::{JobRecord, JobSpec, SpecError, Stage, StoredJob, Submission, TerminalState};
use crate::membership;
use crate::metrics::CpuAccount;
use crate::node::{Node, wall_ms};
use crate::pipelines::DependencyState;
use crate::state::{Operation, Precondition, RecordKey, TransactionError};
use hyper::StatusCode;
use rowanmill_state::WritePriority;
use std::sync::Arc;

/// Fraction of the concurrency limit that submissions may use. The rest is reserved for polls and cancellations.
const SUBMISSION_SHARE: f64 = 0.8;
/// The revision that stands for an absent key in a precondition.
const ABSENT_REVISION: u64 = 0;

/// Handles a submission. If the job was accepted before, the response contains its stage.
pub async fn submit(server: &Server, body: &[u8]) -> HttpResponse {
    let node = &server.node;
    let Submission { spec, depends_on } = match parse_submission(node, body) {
        Ok(submission) => submission,
        Err(problem) => return refuse_unreadable(server, body, &problem).await,
    };
    let id = spec.id.clone();
    node.core().metrics.submissions += 1;
    if let Some(final_state) = final_state_in_memory(node, &id) {
        return stage_response(StatusCode::OK, &id, final_state.into());
    }
    let Some(_permit) = server.limit.try_acquire(SUBMISSION_SHARE) else {
        return overloaded();
    };
    if !node.is_connected_within(STATE_TIMEOUT) {
        return state_unavailable();
    }
    // The status of a known job must be read after the request arrived. A new job needs no read, because the
    // preconditions of its record check that it doesn't exist yet.
    let seems_known = node.core().replica.is_known(&id);
    let record = new_record(spec);
    let mut admission = admit(node, &record, &depends_on);
    if let Some(cells) = &node.cells {
        let (job, depends_on) = (record.clone(), depends_on.clone());
        match requests::submit(server, cells, job, depends_on, admission).await {
            Some(response) => return response,
            // The job was accepted before there were cells, so only this cell's records contain it.
            None => admission = Admission::Admitted,
        }
    }
    if (seems_known || admission != Admission::Admitted)
        && let Some(response) = respond_if_accepted(node, &id).await
    {
        return response;
    }
    if admission != Admission::Admitted {
        return admission.refusal();
    }
    accept(node, record, depends_on).await
}

fn parse_submission(node: &Node, body: &[u8]) -> Result<Submission, SpecError> {
    let _charge = node.processor_time.charge(CpuAccount::UserRequests);
    Submission::parse(body)
}

fn new_record(spec: JobSpec) -> JobRecord {
    JobRecord {
        spec,
        accepted_ms: wall_ms(),
        cancelled: false,
        placer: None,
        released_ms: None,
        ledger: None,
        adopted_ms: None,
        foreign: false,
        withdrawn: false,
    }
}

/// Refuses a body that cannot be parsed as a submission. If the body names a job that was accepted before, the response
/// contains the job's status instead: a 400 would tell the user that the job was not accepted.
async fn refuse_unreadable(server: &Server, body: &[u8], problem: &SpecError) -> HttpResponse {
    let refusal = || error_response(StatusCode::BAD_REQUEST, &problem.to_string());
    let Some(id) = Submission::parse_job_id(body) else {
        return refusal();
    };
    let Some(_permit) = server.limit.try_acquire(SUBMISSION_SHARE) else {
        return overloaded();
    };
    if let Some(cells) = &server.node.cells
        && let Some(response) = requests::answer_if_known(&server.node, cells, &id).await
    {
        return response;
    }
    let response = respond_if_accepted(&server.node, &id).await;
    response.unwrap_or_else(refusal)
}

/// Accepts an admitted job by writing its record, on condition that the job has no record and no final state.
async fn accept(node: &Arc<Node>, mut record: JobRecord, depends_on: Vec<String>) -> HttpResponse {
    let dependencies = match resolve_dependencies(node, &depends_on).await {
        Ok(dependencies) => dependencies,
        Err(problem) => return problem.refusal(),
    };
    if node.state.available_writes(WritePriority::UserFacing) == 0 {
        return overloaded();
    }
    if dependencies == DependencyState::Completed {
        record.placer = membership::choose_placer(node, &mut node.core(), &record);
    }
    let id = record.spec.id.clone();
    let preconditions = [
        RecordKey::Job(&id).to_string(),
        RecordKey::FinalState(&id).to_string(),
    ]
    .map(|key| Precondition {
        key,
        revision: ABSENT_REVISION,
    });
    let (put, stage) = first_record(record, depends_on, dependencies);
    let written = node
        .state
        .compare_and_swap(&preconditions, std::slice::from_ref(&put))
        .await;
    match written {
        Ok(revision) => {
            apply_acceptance(node, &id, dependencies, put, revision);
            stage_response(StatusCode::CREATED, &id, stage)
        }
        Err(TransactionError::Conflict(_)) => respond_if_accepted(node, &id)
            .await
            .unwrap_or_else(state_unavailable),
        Err(_) => state_unavailable(),
    }
}

/// The first record of an accepted job, and the stage for the response.
fn first_record(
    record: JobRecord,
    depends_on: Vec<String>,
    dependencies: DependencyState,
) -> (Operation, Stage) {
    let id = record.spec.id.clone();
    match dependencies {
        DependencyState::Completed => {
            let open = StoredJob::Open(record);
            (Operation::put(RecordKey::Job(&id), &open), Stage::Queued)
        }
        DependencyState::Unfinished => {
            let blocked = StoredJob::Blocked { record, depends_on };
            (Operation::put(RecordKey::Job(&id), &blocked), Stage::Queued)
        }
        // A dependency is cancelled, so the job is accepted and is cancelled at once.
        DependencyState::Cancelled => {
            let put = Operation::put(RecordKey::FinalState(&id), &TerminalState::Cancelled);
            (put, Stage::Cancelled)
        }
    }
}

fn apply_acceptance(
    node: &Node,
    id: &str,
    dependencies: DependencyState,
    put: Operation,
    revision: u64,
) {
    let mut core = node.core();
    if dependencies == DependencyState::Cancelled {
        core.replica
            .record_final_state(id, TerminalState::Cancelled);
    } else {
        core.apply(vec![put], revision);
    }
    drop(core);
    node.wake_up.notify_one();
}
