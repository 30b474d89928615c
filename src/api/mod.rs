//! The HTTP server for users, workers and the load balancer. It reads requests and routes them to handlers, which are in
//! the submodules and in [`crate::workers`].

pub mod admission;
pub mod cancel;
mod dependencies;
pub mod limit;
pub mod responses;
pub mod status;
pub mod submit;

use crate::http::{HttpResponse, error_response, json_response, retry_later};
use crate::node::Node;
use crate::workers::service::handle_heartbeat;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use limit::ConcurrencyLimit;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;

/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Space for a request's head in a connection's buffer, in addition to the space for the body, in bytes.
const MAX_HEAD_BYTES: usize = 8192;
/// Time within which a request's body must be complete.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which the head of a connection's next request must be complete, including the idle time before it.
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);
/// Sockets reserved for outgoing requests and for other controllers.
pub const RESERVED_SOCKETS: usize = 24;
/// Number of connections that are served even if fewer sockets remain after the reserved ones.
const MIN_CONNECTIONS: usize = 8;
/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without a response from the state service after which a controller counts as disconnected from it.
const UNHEALTHY_AFTER: Duration = Duration::from_millis(3500);
/// Time for which a peer's report that it has reached the state service stays valid.
const PEER_REPORT_VALIDITY: Duration = Duration::from_secs(3);

/// State that all request handlers share.
pub struct Server {
    pub node: Arc<Node>,
    pub limit: ConcurrencyLimit,
}

/// Serves connections until the process ends.
pub async fn run(node: Arc<Node>, listener: TcpListener) {
    let sockets = node.settings.params.limits.sockets;
    let max_connections = sockets
        .saturating_sub(RESERVED_SOCKETS)
        .max(MIN_CONNECTIONS);
    let open = Arc::new(AtomicUsize::new(0));
    let server = Arc::new(Server {
        limit: ConcurrencyLimit::new(),
        node,
    });
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // The socket table is full, or the client has already disconnected. Neither may end the server.
                tracing::debug!(%error, "connection not accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= max_connections {
            drop(stream); // otherwise, no socket would be left for outgoing requests
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        // A failure only makes responses slower.
        let _ = stream.set_nodelay(true);
        let (server, open) = (server.clone(), open.clone());
        tokio::spawn(async move {
            let service = service_fn(|request| handle(server.clone(), request));
            // A broken connection concerns only its client.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(MAX_BODY_BYTES + MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn handle(
    server: Arc<Server>,
    request: Request<Incoming>,
) -> Result<HttpResponse, Infallible> {
    Ok(route(&server, request).await)
}

async fn route(server: &Arc<Server>, request: Request<Incoming>) -> HttpResponse {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let allowed = match parts.as_slice() {
        ["healthz"] => Method::GET,
        ["hello"] => Method::POST,
        ["v1", "jobs"] => Method::POST,
        ["v1", "jobs", _] => Method::GET,
        ["v1", "jobs", _, "abort"] => Method::POST,
        _ => return error_response(StatusCode::NOT_FOUND, "no such path"),
    };
    if method != allowed {
        return error_response(StatusCode::METHOD_NOT_ALLOWED, "not for this path");
    }
    if parts == ["healthz"] {
        return health(&server.node);
    }
    let body = match read_body(request).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    match parts.as_slice() {
        ["hello"] => handle_heartbeat(&server.node, &body).await,
        ["v1", "jobs"] => submit::submit(server, &body).await,
        ["v1", "jobs", id] => status::poll(server, id).await,
        ["v1", "jobs", id, _] => cancel::cancel(server, id).await,
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn read_body(request: Request<Incoming>) -> Result<Bytes, HttpResponse> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    match tokio::time::timeout(BODY_TIMEOUT, body.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(problem)) if problem.is::<http_body_util::LengthLimitError>() => Err(
            error_response(StatusCode::BAD_REQUEST, "the body is over 64 KiB"),
        ),
        Ok(Err(_)) => Err(error_response(
            StatusCode::BAD_REQUEST,
            "the body broke off",
        )),
        Err(_) => Err(error_response(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not come in time",
        )),
    }
}

/// Answers the load balancer's health check. A controller that is disconnected from the state service, or that has not yet
/// loaded the records and the catalogue of machine types, can't accept jobs and should get no requests. But if all
/// controllers are disconnected, removing all of them from the load balancer helps no user. So such a controller fails the
/// check only while a peer reports that it reaches the state service, or if it has not read the records since it started.
fn health(node: &Node) -> HttpResponse {
    let ready = node.core().loaded && !node.core().machine_types.is_empty();
    if !node.is_connected_within(UNHEALTHY_AFTER) || !ready {
        let reached_at = node.peer_status().state_service_reached_at;
        let peer_is_connected = reached_at.is_some_and(|at| at.elapsed() < PEER_REPORT_VALIDITY);
        if peer_is_connected || node.core().last_read_barrier.is_none() {
            return retry_later(StatusCode::SERVICE_UNAVAILABLE, 2, "no state service");
        }
    }
    json_response(StatusCode::OK, &serde_json::json!({ "ok": true }))
}
