//! Builds HTTP responses to users, workers and the load balancer. Requests are routed by [`crate::api`].

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// A response whose body is complete.
pub type HttpResponse = Response<Full<Bytes>>;

/// A response with a JSON body.
pub fn json_response(status: StatusCode, body: &impl Serialize) -> HttpResponse {
    let body = serde_json::to_vec(body).expect("response bodies always serialize");
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))
        .expect("the status and headers are valid")
}

/// An error response with the body `{"error": reason}`.
pub fn error_response(status: StatusCode, reason: &str) -> HttpResponse {
    json_response(status, &serde_json::json!({ "error": reason }))
}

/// An error response that asks the client to retry after `after_s` seconds.
pub fn retry_later(status: StatusCode, after_s: u64, reason: &str) -> HttpResponse {
    let mut response = error_response(status, reason);
    response.headers_mut().insert(RETRY_AFTER, after_s.into());
    response
}
