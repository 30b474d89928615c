//! The HTTP server for users, workers and the load balancer.

pub mod limit;
pub mod users;

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
use limit::Limit;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;

/// Largest request body that is read.
const MOST_BODY: usize = 64 << 10;
/// A request's head must be complete within this, and so must its body.
const READ_LIMIT: Duration = Duration::from_secs(10);
/// Sockets kept for our own calls and for other nodes.
pub const OWN_SOCKETS: usize = 24;

pub struct Server {
    pub node: Arc<Node>,
    pub limit: Limit,
}

pub async fn run(node: Arc<Node>, listener: TcpListener) {
    let sockets = node.settings.params.limits.sockets;
    let most = sockets.saturating_sub(OWN_SOCKETS).max(8);
    let open = Arc::new(AtomicUsize::new(0));
    let server = Arc::new(Server {
        limit: Limit::new(),
        node,
    });
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // The socket table is full, or the peer is gone already: neither ends us.
                tracing::debug!(%error, "a connection was not accepted");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= most {
            drop(stream); // beyond the limit our own calls would find no socket
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let _ = stream.set_nodelay(true);
        let (server, open) = (server.clone(), open.clone());
        tokio::spawn(async move {
            let service = service_fn(|request| handle(server.clone(), request));
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(75))
                .max_buf_size(MOST_BODY + 8192)
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
        Err(answer) => return answer,
    };
    match parts.as_slice() {
        ["hello"] => handle_heartbeat(&server.node, &body).await,
        ["v1", "jobs"] => users::submit(server, &body).await,
        ["v1", "jobs", id] => users::poll(server, id).await,
        ["v1", "jobs", id, _] => users::abort(server, id).await,
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn read_body(request: Request<Incoming>) -> Result<Bytes, HttpResponse> {
    let body = Limited::new(request.into_body(), MOST_BODY);
    match tokio::time::timeout(READ_LIMIT, body.collect()).await {
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

/// Without the state service nothing can be accepted; but while all nodes are without it, taking
/// them all away from users helps nobody. So this fails only when others have it.
fn health(node: &Node) -> HttpResponse {
    let blind = Duration::from_millis(3500);
    let ready = node.core().loaded && !node.core().kinds.is_empty();
    if !node.is_connected_within(blind) || !ready {
        let others = node.peer_status().state_service_reached_at;
        let others_have = others.is_some_and(|at| at.elapsed() < Duration::from_secs(3));
        if others_have || node.core().last_read_barrier.is_none() {
            return retry_later(StatusCode::SERVICE_UNAVAILABLE, 2, "no state service");
        }
    }
    json_response(StatusCode::OK, &serde_json::json!({ "ok": true }))
}
