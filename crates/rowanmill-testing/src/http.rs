//! An HTTP server for the stand-ins, and requests of simulated users and workers.

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
use std::time::Duration;
use tokio::net::TcpListener;

/// How long users and workers wait for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The port of all addresses that [`free_addr`] returns.
const PORT: u16 = 7070;

/// A future of a stand-in's answer: the status and the body.
pub type ResponseFuture = Pin<Box<dyn Future<Output = (u16, Value)> + Send>>;

/// A request as a stand-in receives it.
pub struct StubRequest {
    /// The method.
    pub method: Method,
    /// The path without its query.
    pub path: String,
    /// The query's parameters by name, without percent-decoding. Those without `=` are omitted.
    pub query: HashMap<String, String>,
    /// The body as JSON. Null if there is none or it is malformed.
    pub body: Value,
}

/// Handles a stand-in's requests.
pub type Handler = Arc<dyn Fn(StubRequest) -> ResponseFuture + Send + Sync>;

/// Serves a stand-in until accepting a connection fails.
pub async fn serve(listener: TcpListener, handler: Handler) {
    while let Ok((stream, _)) = listener.accept().await {
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| answer(handler.clone(), request));
            let io = TokioIo::new(stream);
            // A client may close its connection at any time.
            let _ = http1::Builder::new().serve_connection(io, service).await;
        });
    }
}

/// Serves a stand-in on a free loopback port, and returns its address.
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
    let query = pairs.filter_map(|pair| pair.split_once('='));
    let body = body.collect().await.map(|body| body.to_bytes());
    let request = StubRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: query
            .map(|(name, value)| (name.into(), value.into()))
            .collect(),
        body: serde_json::from_slice(&body.unwrap_or_default()).unwrap_or(Value::Null),
    };
    let (status, body) = handler(request).await;
    let mut response = Response::new(Full::new(body.to_string().into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    Ok(response)
}

/// An address that stays free while a controller restarts. It has its own loopback host, which consists of the process
/// id and a counter, because a port of 127.0.0.1 that was found free may be assigned to an outgoing connection in the
/// meantime. The addresses repeat after 256 calls.
pub fn free_addr() -> SocketAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 1 + high % 250, low, host], PORT))
}

/// Sends one request of a user or a worker, and returns the status and the body. Without a response, these are 0 and
/// null. A string is sent as it is, null as an empty body, and any other value as JSON. A response body that is not
/// JSON is returned as null.
pub async fn ask(addr: SocketAddr, method: Method, path: &str, body: Value) -> (u16, Value) {
    let client = rowanmill_state::http::Client::new(addr, 0);
    let body = match body {
        Value::Null => Bytes::new(),
        Value::String(raw) => raw.into(),
        body => body.to_string().into(),
    };
    match client.call(method, path, body, REQUEST_TIMEOUT).await {
        Ok((status, body)) => {
            let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
            (status.as_u16(), body)
        }
        Err(_) => (0, Value::Null),
    }
}
