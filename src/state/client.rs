//! Calls to the state service, each with its own course for every kind of answer.

use super::budget::{Budget, Need};
use crate::http::{CallError, Client};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Guard {
    pub k: String,
    pub mark: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Op {
    Set {
        set: String,
        data: Value,
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Drop {
        drop: String,
    },
}

impl Op {
    pub fn set(key: String, value: &impl Serialize) -> Self {
        let data = serde_json::to_value(value).expect("our records are plain data");
        Op::Set {
            set: key,
            data,
            lease: None,
        }
    }

    pub fn drop(key: String) -> Self {
        Op::Drop { drop: key }
    }
}

#[derive(Debug, thiserror::Error)]
pub enum TxnError {
    /// A guard did not hold; nothing was changed.
    #[error("guards failed: {0:?}")]
    Conflict(Vec<String>),
    /// Not executed: over the rate limit, in an outage, or never connected.
    #[error("refused")]
    Refused,
    /// The lease named in it is over.
    #[error("the lease is over")]
    NoLease,
    /// No answer: it may have been applied, or may be applied yet. Nothing may be assumed, and
    /// nothing contrary done, until a guarded key's mark has moved on.
    #[error("no answer")]
    Unknown,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Change {
    pub set: Option<String>,
    pub drop: Option<String>,
    #[serde(default)]
    pub data: Value,
    pub mark: u64,
}

#[derive(Debug, Deserialize)]
pub struct Followed {
    pub ledger: u64,
    #[serde(default)]
    pub log: Vec<Change>,
}

#[derive(Debug, Deserialize)]
pub struct Pair {
    pub k: String,
    pub data: Value,
    pub mark: u64,
}

#[derive(Debug, Deserialize)]
pub struct Listing {
    pub pairs: Vec<Pair>,
    #[serde(default)]
    pub more: bool,
    pub ledger: u64,
}

#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error("the log no longer reaches back that far")]
    TooOld,
    #[error("gone")]
    Gone,
    #[error("no answer")]
    Failed,
}

#[derive(Deserialize)]
struct Ledger {
    ledger: u64,
}

#[derive(Deserialize)]
struct Failed {
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct Lease {
    tenancy: u64,
}

const CALL_LIMIT: Duration = Duration::from_millis(1500);

pub struct StateClient {
    http: Client,
    writes: Mutex<Budget>,
}

impl StateClient {
    pub fn new(addr: SocketAddr, write_rate: f64) -> Self {
        Self {
            http: Client::new(addr, 6),
            writes: Mutex::new(Budget::new(write_rate, Instant::now())),
        }
    }

    /// How many puts and deletes this node may send now.
    pub fn writes_left(&self, need: Need) -> usize {
        let left = self.writes.lock().unwrap().available(need, Instant::now());
        left.max(0.0) as usize
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        self.http.call(method, path, body, limit).await
    }

    pub async fn transact(&self, guards: &[Guard], then: &[Op]) -> Result<u64, TxnError> {
        #[derive(Serialize)]
        struct Txn<'a> {
            guards: &'a [Guard],
            then: &'a [Op],
        }
        let body = serde_json::to_vec(&Txn { guards, then }).expect("plain data");
        self.writes
            .lock()
            .unwrap()
            .take(then.len() as f64, Instant::now());
        let answer = self
            .call(Method::POST, "/multi", body.into(), CALL_LIMIT)
            .await;
        let (status, body) = match answer {
            Ok(answer) => answer,
            Err(CallError::Unconnected) => return Err(TxnError::Refused),
            Err(CallError::Unanswered) => return Err(TxnError::Unknown),
        };
        match status.as_u16() {
            200 => match serde_json::from_slice::<Ledger>(&body) {
                Ok(answer) => Ok(answer.ledger),
                Err(_) => Err(TxnError::Unknown),
            },
            409 => {
                let failed = serde_json::from_slice::<Failed>(&body);
                Err(TxnError::Conflict(
                    failed.map(|f| f.failed).unwrap_or_default(),
                ))
            }
            400 if body_says(&body, "no such lease") => Err(TxnError::NoLease),
            400 => {
                tracing::error!(answer = %String::from_utf8_lossy(&body), "state refused a transaction as malformed");
                Err(TxnError::Refused)
            }
            429 | 503 => Err(TxnError::Refused),
            _ => Err(TxnError::Unknown),
        }
    }

    pub async fn follow(&self, from: u64, hold: Duration) -> Result<Followed, ReadError> {
        let path = format!(
            "/follow?prefix={}&from={from}&holdMs={}",
            super::LIVE,
            hold.as_millis()
        );
        let answer = self
            .call(Method::GET, &path, Bytes::new(), CALL_LIMIT + hold)
            .await;
        match answer {
            Ok((StatusCode::OK, body)) => {
                serde_json::from_slice(&body).map_err(|_| ReadError::Failed)
            }
            Ok((StatusCode::GONE, _)) => Err(ReadError::TooOld),
            _ => Err(ReadError::Failed),
        }
    }

    pub async fn get(&self, key: &str) -> Result<Option<Value>, ReadError> {
        let path = format!("/store/{key}");
        let answer = self
            .call(Method::GET, &path, Bytes::new(), CALL_LIMIT)
            .await;
        match answer {
            Ok((StatusCode::OK, body)) => serde_json::from_slice::<Pair>(&body)
                .map(|pair| Some(pair.data))
                .map_err(|_| ReadError::Failed),
            Ok((StatusCode::NOT_FOUND, _)) => Ok(None),
            _ => Err(ReadError::Failed),
        }
    }

    pub async fn list(&self, prefix: &str, from: Option<&str>) -> Result<Listing, ReadError> {
        let from = from.map(|k| format!("&from={k}")).unwrap_or_default();
        let path = format!("/store?prefix={prefix}{from}&limit=1000");
        let answer = self
            .call(Method::GET, &path, Bytes::new(), CALL_LIMIT * 2)
            .await;
        match answer {
            Ok((StatusCode::OK, body)) => {
                serde_json::from_slice(&body).map_err(|_| ReadError::Failed)
            }
            _ => Err(ReadError::Failed),
        }
    }

    pub async fn create_lease(&self, ttl: Duration) -> Result<u64, ReadError> {
        let body = format!("{{\"ttlMs\":{}}}", ttl.as_millis());
        let answer = self
            .call(Method::POST, "/leases", body.into(), CALL_LIMIT)
            .await;
        match answer {
            Ok((StatusCode::OK, body)) => serde_json::from_slice::<Lease>(&body)
                .map(|lease| lease.tenancy)
                .map_err(|_| ReadError::Failed),
            _ => Err(ReadError::Failed),
        }
    }

    pub async fn extend_lease(&self, lease: u64) -> Result<(), ReadError> {
        let path = format!("/leases/{lease}/extend");
        match self
            .call(Method::POST, &path, Bytes::new(), CALL_LIMIT)
            .await
        {
            Ok((StatusCode::OK, _)) => Ok(()),
            Ok((StatusCode::NOT_FOUND, _)) => Err(ReadError::Gone),
            _ => Err(ReadError::Failed),
        }
    }

    pub async fn end_lease(&self, lease: u64) -> Result<(), ReadError> {
        let path = format!("/leases/{lease}");
        match self
            .call(Method::DELETE, &path, Bytes::new(), CALL_LIMIT)
            .await
        {
            Ok((status, _)) if status.is_success() || status == StatusCode::NOT_FOUND => Ok(()),
            _ => Err(ReadError::Failed),
        }
    }
}

fn body_says(body: &[u8], what: &str) -> bool {
    String::from_utf8_lossy(body).contains(what)
}
