//! The outside world for tests: a state service, a cloud and workers, written from the published
//! protocol, on loopback.
#![deny(missing_docs)]

pub mod cloud;
pub mod cluster;
pub mod exchange;
pub mod folder;
pub mod history;
pub mod jobs;
pub mod quota;
pub mod state;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// A stand-in's answer to come.
pub type Reply = Pin<Box<dyn Future<Output = (u16, Value)> + Send>>;

/// A request as the stand-ins see it.
pub struct Asked {
    /// The method.
    pub method: Method,
    /// The path without its query.
    pub path: String,
    /// The query's pairs.
    pub query: HashMap<String, String>,
    /// The body; null if there is none.
    pub body: Value,
}

/// What answers a stand-in's requests.
pub type Handler = Arc<dyn Fn(Asked) -> Reply + Send + Sync>;

/// Serves a stand-in until its listener fails.
pub async fn serve(listener: TcpListener, handler: Handler) {
    while let Ok((stream, _)) = listener.accept().await {
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| answer(handler.clone(), request));
            let io = TokioIo::new(stream);
            let _ = http1::Builder::new().serve_connection(io, service).await;
        });
    }
}

/// Serves a stand-in on a free port of loopback; returns its address.
pub async fn serve_on_loopback(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback has a free port");
    let addr = listener.local_addr().expect("the listener is bound");
    tokio::spawn(serve(listener, handler));
    addr
}

async fn answer(
    handler: Handler,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let pairs = head.uri.query().unwrap_or_default().split('&');
    let query = pairs.filter_map(|p| p.split_once('='));
    let body = body.collect().await.map(|b| b.to_bytes());
    let asked = Asked {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: query.map(|(k, v)| (k.into(), v.into())).collect(),
        body: serde_json::from_slice(&body.unwrap_or_default()).unwrap_or(Value::Null),
    };
    let (status, body) = handler(asked).await;
    let mut response = Response::new(Full::new(body.to_string().into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    Ok(response)
}

/// An address that stays free over a controller's restarts: a loopback host of its own, which no
/// outgoing connection is given, as could happen with a port of 127.0.0.1 that was only probed.
pub fn free_addr() -> SocketAddr {
    static USED: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = USED.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 1 + high % 250, low, own], 7070))
}

/// How long a worker's lease holds, and how long a cancelled job's tasks may stay.
#[derive(Clone, Copy)]
pub struct Times {
    /// A worker's lease, in seconds.
    pub lease_s: f64,
    /// `cancel_s` of the settings.
    pub cancel_s: f64,
}

impl Times {
    /// A worker's lease.
    pub fn lease(self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// How long a cancelled job's tasks may stay.
    pub fn cancel(self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }
}

/// The times of most tests.
pub const USUAL: Times = Times {
    lease_s: 8.0,
    cancel_s: 20.0,
};

/// One request of a user; the status and the body.
pub async fn ask(addr: SocketAddr, method: Method, path: &str, body: Value) -> (u16, Value) {
    let client = rowanmill_state::http::Client::new(addr, 0);
    let body = match body {
        Value::Null => Bytes::new(),
        Value::String(raw) => raw.into(),
        body => body.to_string().into(),
    };
    let limit = Duration::from_secs(5);
    match client.call(method, path, body, limit).await {
        Ok((status, body)) => {
            let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
            (status.as_u16(), body)
        }
        Err(_) => (0, Value::Null),
    }
}

/// How long [`until`] waits: longer than a takeover takes.
const USUAL_WAIT: Duration = Duration::from_secs(40);
/// The pause between two checks of a condition that a test waits for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until a condition holds, and fails the test after 40 s. `what` names the condition in the failure.
pub async fn until(what: &str, holds: impl AsyncFnMut() -> bool) {
    until_within(USUAL_WAIT, what, holds).await;
}

/// Waits until a condition holds, and fails the test after `timeout`. `what` names the condition in the
/// failure.
pub async fn until_within(timeout: Duration, what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !holds().await {
        assert!(Instant::now() < deadline, "waited in vain: {what}");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Runs futures concurrently until all of them are complete.
pub async fn join_all(futures: impl Iterator<Item = impl Future>) {
    let mut pending: Vec<_> = futures.map(Box::pin).collect();
    std::future::poll_fn(|context| {
        pending.retain_mut(|future| future.as_mut().poll(context).is_pending());
        if pending.is_empty() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}
