//! Determines the status of a job, for polls and for the responses to other requests. Writes no records.

use super::Server;
use super::responses::{overloaded, progress_response, stage_response, state_unavailable};
use crate::cells::requests;
use crate::http::{HttpResponse, error_response};
use crate::jobs::{Stage, TerminalState, is_job_id};
use crate::node::{Core, Node};
use crate::pipelines::service::read_final_states;
use crate::state::RecordKey;
use hyper::StatusCode;
use std::sync::Arc;
use std::time::Duration;

/// Time without a response from the state service after which requests are refused at once instead of after a timeout.
/// It is longer than a call to the state service takes.
pub const STATE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Fraction of the concurrency limit that polls may use. The rest is reserved for cancellations.
const POLL_SHARE: f64 = 0.9;

/// The status of a job, at the time of the call or later.
pub enum JobStatus {
    /// The job's final state is not recorded yet. The job may be cancelled nevertheless.
    Unfinished {
        stage: Stage,
        /// Tasks that are done.
        completed: u32,
        /// Tasks that are placed on machines.
        placed: u32,
    },
    Ended(TerminalState),
    NeverAccepted,
    /// The state service, or one of the records that are needed, cannot be read.
    Indeterminate,
}

impl JobStatus {
    /// The status of an unfinished job without completed or placed tasks.
    fn without_tasks(stage: Stage) -> Self {
        JobStatus::Unfinished {
            stage,
            completed: 0,
            placed: 0,
        }
    }
}

/// Handles a poll of a job's status.
pub async fn poll(server: &Server, id: &str) -> HttpResponse {
    if !is_job_id(id) {
        return error_response(StatusCode::NOT_FOUND, "no such job");
    }
    let node = &server.node;
    node.core().metrics.status_polls += 1;
    if let Some(final_state) = final_state_in_memory(node, id) {
        return stage_response(StatusCode::OK, id, final_state.into());
    }
    let Some(_permit) = server.limit.try_acquire(POLL_SHARE) else {
        return overloaded();
    };
    if let Some(cells) = &node.cells {
        return requests::poll(node, cells, id).await;
    }
    match current_status(node, id).await {
        JobStatus::Unfinished {
            stage,
            completed,
            placed,
        } => progress_response(id, stage, completed, placed),
        JobStatus::Ended(final_state) => stage_response(StatusCode::OK, id, final_state.into()),
        JobStatus::NeverAccepted => error_response(StatusCode::NOT_FOUND, "no such job"),
        JobStatus::Indeterminate => state_unavailable(),
    }
}

/// A job's final state, if it is in memory. Final states never change, so it needs no new read. Where there are cells,
/// users get only the final states that are in the ledger.
pub fn final_state_in_memory(node: &Node, id: &str) -> Option<TerminalState> {
    match &node.cells {
        Some(cells) => cells.final_state(id).map(TerminalState::from),
        None => node.core().replica.final_state(id),
    }
}

/// The response to a repeated submission of a job, or an error response if the job's status cannot be determined. `None`
/// if the job was never accepted.
pub async fn respond_if_accepted(node: &Arc<Node>, id: &str) -> Option<HttpResponse> {
    match current_status(node, id).await {
        JobStatus::Unfinished { stage, .. } => Some(stage_response(StatusCode::OK, id, stage)),
        JobStatus::Ended(final_state) => {
            Some(stage_response(StatusCode::OK, id, final_state.into()))
        }
        JobStatus::Indeterminate => Some(state_unavailable()),
        JobStatus::NeverAccepted => None,
    }
}

/// The status of a job. Unless it is final, it comes from a read of the state service that begins after the call.
pub async fn current_status(node: &Arc<Node>, id: &str) -> JobStatus {
    // A final state never changes, so it may be answered from memory.
    if let Some(final_state) = node.core().replica.final_state(id) {
        return JobStatus::Ended(final_state);
    }
    // Neither does a cancellation that another controller has confirmed, even if this replica has not read it yet.
    if node.peer_status().cancelled.contains(id) {
        return JobStatus::without_tasks(Stage::Cancelled);
    }
    if !node.is_connected_within(STATE_TIMEOUT) || !node.read_barrier().await {
        return JobStatus::Indeterminate;
    }
    // A blocked job may be cancelled because a dependency was cancelled before this process loaded the records.
    let unknown = node.core().replica.unknown_ancestors(id);
    if !unknown.is_empty() && !read_final_states(node, unknown).await {
        return JobStatus::Indeterminate;
    }
    if let Some(status) = status_in_replica(&node.core(), id) {
        return status;
    }
    read_final_state(node, id).await
}

fn status_in_replica(core: &Core, id: &str) -> Option<JobStatus> {
    if core.replica.pipelines.get(id).is_some() {
        // The job is cancelled once a dependency is, even if its own record doesn't say so yet.
        let is_cancelled = core.replica.pipelines.is_cancelled(id);
        let stage = if is_cancelled {
            Stage::Cancelled
        } else {
            Stage::Queued
        };
        return Some(JobStatus::without_tasks(stage));
    }
    if let Some(job) = core.replica.jobs.get(id) {
        return Some(JobStatus::Unfinished {
            stage: job.stage(),
            completed: job.done,
            placed: job.placed,
        });
    }
    if let Some(final_state) = core.replica.final_state(id) {
        return Some(JobStatus::Ended(final_state));
    }
    let is_unreadable = core.replica.is_unreadable(id);
    is_unreadable.then_some(JobStatus::Indeterminate)
}

async fn read_final_state(node: &Node, id: &str) -> JobStatus {
    let Ok(value) = node.state.get(&RecordKey::FinalState(id).to_string()).await else {
        return JobStatus::Indeterminate;
    };
    let Some(value) = value else {
        return JobStatus::NeverAccepted;
    };
    let Ok(final_state) = serde_json::from_value::<TerminalState>(value) else {
        return JobStatus::Indeterminate;
    };
    node.core().replica.record_final_state(id, final_state);
    JobStatus::Ended(final_state)
}
