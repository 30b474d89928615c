//! A small HTTP/1.1 client on top of hyper, with persistent connections to one address and a timeout for
//! each call. It does not retry.

use crate::sync::lock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;

/// Why a call has no response, and whether the request may have been executed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request was not sent, and therefore not executed.
    #[error("request not sent")]
    Unconnected(#[source] TransportError),
    /// The request may have been sent: it may have been executed, or may be executed later.
    #[error("no complete response received")]
    Unanswered(#[source] TransportError),
}

/// The cause of a failed call.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The connection could not be established.
    #[error("failed to connect")]
    Connect(#[from] std::io::Error),
    /// The exchange of HTTP messages failed.
    #[error("HTTP exchange failed")]
    Http(#[from] hyper::Error),
    /// The request is not valid HTTP, for example because of its path.
    #[error("invalid HTTP request")]
    Request(#[from] hyper::http::Error),
    /// The response's body is incomplete or too long.
    #[error("failed to read the response body")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The call did not complete within this time.
    #[error("timed out after {0:?}")]
    Timeout(Duration),
}

/// Sends requests to one address over persistent connections.
pub struct Client {
    addr: SocketAddr,
    host: String,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    max_idle: usize,
}

/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 64 << 20;

impl Client {
    /// Creates a client that keeps at most `max_idle` idle connections open.
    pub fn new(addr: SocketAddr, max_idle: usize) -> Self {
        Self {
            addr,
            host: addr.to_string(),
            idle: Mutex::default(),
            max_idle,
        }
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = lock(&self.idle);
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn put_idle(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = lock(&self.idle);
        if idle.len() < self.max_idle {
            idle.push(sender);
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let stream = TcpStream::connect(self.addr).await;
        let stream = stream.map_err(|error| CallError::Unconnected(error.into()))?;
        // A failure to set TCP_NODELAY only increases the latency.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| CallError::Unconnected(error.into()))?;
        tokio::spawn(async move {
            // The caller that waits for a response on this connection receives the error too.
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Sends one request and returns the response's status and body, or an error after at most `timeout`.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &self.host)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| CallError::Unconnected(error.into()))?;
        let mut connected = false;
        let exchange = async {
            let mut sender = match self.take_idle() {
                Some(sender) => sender,
                None => self.connect().await?,
            };
            connected = true;
            let response = sender.send_request(request).await;
            let response = response.map_err(|error| CallError::Unanswered(error.into()))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
                .collect()
                .await;
            let body = body
                .map_err(|error| CallError::Unanswered(TransportError::Body(error)))?
                .to_bytes();
            if sender.ready().await.is_ok() {
                self.put_idle(sender);
            }
            Ok((status, body))
        };
        let outcome = tokio::time::timeout(timeout, exchange).await;
        match outcome {
            Ok(outcome) => outcome,
            Err(_) if connected => Err(CallError::Unanswered(TransportError::Timeout(timeout))),
            Err(_) => Err(CallError::Unconnected(TransportError::Timeout(timeout))),
        }
    }
}
