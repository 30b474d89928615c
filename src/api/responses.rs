//! The bodies that users get, and the refusals that several requests share. Decides nothing.

use crate::http::{HttpResponse, json_response, retry_later};
use crate::jobs::Stage;
use hyper::StatusCode;
use serde::Serialize;

/// A job's stage, and how far it is where that is asked for.
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

/// A job's stage alone.
pub fn stage_response(status: StatusCode, id: &str, stage: Stage) -> HttpResponse {
    let body = JobStatusResponse {
        id,
        stage,
        completed: None,
        placed: None,
    };
    json_response(status, &body)
}

/// A job's stage, with its tasks that are done and those that are placed on machines.
pub fn progress_response(id: &str, stage: Stage, completed: u32, placed: u32) -> HttpResponse {
    let body = JobStatusResponse {
        id,
        stage,
        completed: Some(completed),
        placed: Some(placed),
    };
    json_response(StatusCode::OK, &body)
}

/// The state service cannot be read or written: the request is to be retried.
pub fn state_unavailable() -> HttpResponse {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, 1, "no state service")
}

/// Too many requests are in progress, or the write quota is used up: the request is to be retried.
pub fn overloaded() -> HttpResponse {
    retry_later(StatusCode::TOO_MANY_REQUESTS, 1, "too much at once")
}
