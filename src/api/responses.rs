//! Response bodies for users, and the error responses that several requests share.

use crate::http::{HttpResponse, json_response, retry_later};
use crate::jobs::Stage;
use hyper::StatusCode;
use serde::Serialize;

/// A job's stage and, in responses to polls, its progress.
#[derive(Serialize)]
pub struct JobStatusResponse<'a> {
    #[serde(rename = "nameId")]
    id: &'a str,
    stage: Stage,
    /// Tasks that are done.
    #[serde(rename = "done", skip_serializing_if = "Option::is_none")]
    completed: Option<u32>,
    /// Tasks that are placed on machines.
    #[serde(rename = "running", skip_serializing_if = "Option::is_none")]
    placed: Option<u32>,
}

/// A response with a job's stage and no progress.
pub fn stage_response(status: StatusCode, id: &str, stage: Stage) -> HttpResponse {
    let body = JobStatusResponse {
        id,
        stage,
        completed: None,
        placed: None,
    };
    json_response(status, &body)
}

/// A response with a job's stage, the number of its tasks that are done, and the number of those placed on machines.
pub fn progress_response(id: &str, stage: Stage, completed: u32, placed: u32) -> HttpResponse {
    let body = JobStatusResponse {
        id,
        stage,
        completed: Some(completed),
        placed: Some(placed),
    };
    json_response(StatusCode::OK, &body)
}

/// The response if the state service cannot be read or written. The client should retry.
pub fn state_unavailable() -> HttpResponse {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, 1, "no state service")
}

/// The response if too many requests are in progress or the write quota is used up. The client should retry.
pub fn overloaded() -> HttpResponse {
    retry_later(StatusCode::TOO_MANY_REQUESTS, 1, "too much at once")
}
