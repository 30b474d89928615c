//! A small HTTP/1.1 client over hyper: kept connections to one address, and a limit on time.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection never came up: the request was not executed.
    #[error("no connection")]
    Unconnected,
    /// The request may have left: it may have been executed, or may be executed yet.
    #[error("no answer")]
    Unanswered,
}

/// Calls to one address over kept connections.
pub struct Client {
    addr: SocketAddr,
    host: String,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    most_idle: usize,
}

const MOST_BODY: usize = 64 << 20;

impl Client {
    /// A client that keeps at most so many idle connections.
    pub fn new(addr: SocketAddr, most_idle: usize) -> Self {
        Self {
            addr,
            host: addr.to_string(),
            idle: Mutex::default(),
            most_idle,
        }
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap();
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn put_idle(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap();
        if idle.len() < self.most_idle {
            idle.push(sender);
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let stream = TcpStream::connect(self.addr).await;
        let stream = stream.map_err(|_| CallError::Unconnected)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| CallError::Unconnected)?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// One request, answered within the limit or not at all.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &self.host)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|_| CallError::Unconnected)?;
        let mut connected = false;
        let exchange = async {
            let mut sender = match self.take_idle() {
                Some(sender) => sender,
                None => self.connect().await?,
            };
            connected = true;
            let response = sender.send_request(request).await;
            let response = response.map_err(|_| CallError::Unanswered)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MOST_BODY)
                .collect()
                .await;
            let body = body.map_err(|_| CallError::Unanswered)?.to_bytes();
            if sender.ready().await.is_ok() {
                self.put_idle(sender);
            }
            Ok((status, body))
        };
        let outcome = tokio::time::timeout(limit, exchange).await;
        match outcome {
            Ok(outcome) => outcome,
            Err(_) if connected => Err(CallError::Unanswered),
            Err(_) => Err(CallError::Unconnected),
        }
    }
}
