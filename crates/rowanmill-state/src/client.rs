//! Calls to the state service, each with its own course for every kind of answer.

use crate::http::{CallError, Client};
use crate::rate_limit::{RateLimiter, WritePriority};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// One node's part of the state service's limits.
#[derive(Debug, Clone, Copy)]
pub struct ServiceQuota {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Puts and drops a second.
    pub writes_per_s: f64,
}

/// A key and the revision that a transaction requires of it; 0 where it must not exist.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Precondition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The revision of its last change.
    #[serde(rename = "mark")]
    pub revision: u64,
}

impl Precondition {
    /// Requires that a key does not exist.
    pub fn absent(key: String) -> Self {
        Self { key, revision: 0 }
    }
}

/// One change of a transaction.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Operation {
    /// Writes a value.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The value, serialized once and sent as it is.
        #[serde(rename = "data")]
        value: Box<RawValue>,
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none")]
        /// The key is removed when this lease ends.
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Operation {
    /// Writes a value that is attached to no lease.
    pub fn put(key: String, value: &impl Serialize) -> Self {
        let value = serde_json::value::to_raw_value(value).expect("our records are plain data");
        Operation::Put {
            key,
            value,
            lease: None,
        }
    }

    /// The same write, attached to a lease: the key is removed when the lease ends.
    pub fn with_lease(self, lease: u64) -> Self {
        match self {
            Operation::Put { key, value, .. } => Operation::Put {
                key,
                value,
                lease: Some(lease),
            },
            delete => delete,
        }
    }

    /// Removes a key.
    pub fn delete(key: String) -> Self {
        Operation::Delete { key }
    }

    /// Bytes that it takes of a transaction's body, punctuation included.
    pub fn bytes(&self) -> usize {
        match self {
            Operation::Put { key, value, .. } => key.len() + value.get().len() + PUT_OVERHEAD_BYTES,
            Operation::Delete { key } => key.len() + DELETE_OVERHEAD_BYTES,
        }
    }
}

/// Upper bounds on what an operation's field names and punctuation take.
const PUT_OVERHEAD_BYTES: usize = 60;
const DELETE_OVERHEAD_BYTES: usize = 20;

/// Why a transaction has no positive answer.
#[derive(Debug, thiserror::Error)]
pub enum TransactionError {
    /// A guard did not hold; nothing was changed.
    #[error("guards failed: {0:?}")]
    Conflict(Vec<String>),
    /// Not executed: over the rate limit, in an outage, or never connected.
    #[error("refused")]
    Refused,
    /// Refused as malformed, now and at each repeat.
    #[error("malformed")]
    Malformed,
    /// The lease named in it is over.
    #[error("the lease is over")]
    LeaseExpired,
    /// No answer: it may have been applied, or may be applied yet. Nothing may be assumed, and
    /// nothing contrary done, until a guarded key's revision has moved on.
    #[error("no answer")]
    Unknown,
}

/// One entry of the log.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchEvent {
    /// The key, if it was written.
    #[serde(rename = "set")]
    pub put: Option<String>,
    /// The key, if it was removed.
    #[serde(rename = "drop")]
    pub deleted: Option<String>,
    /// The value, parsed only once it is known what kind of record it is: most events are progress
    /// pages.
    #[serde(default, rename = "data")]
    pub value: Option<Box<RawValue>>,
    /// The revision of the change.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// What the log holds after a revision.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// All changes up to this revision are in.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes, in order.
    #[serde(default, rename = "log")]
    pub events: Vec<WatchEvent>,
}

impl WatchResponse {
    /// Reads an answer of [`StateClient::watch`].
    pub fn decode(body: &[u8]) -> Result<Self, ReadError> {
        serde_json::from_slice(body).map_err(|_| ReadError::Failed)
    }
}

/// A key with its value.
#[derive(Debug, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value as it came.
    #[serde(rename = "data")]
    pub value: Box<RawValue>,
    /// The revision of its last change.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// A page of the keys under a prefix.
#[derive(Debug, Deserialize)]
pub struct Listing {
    /// The keys, in order.
    pub pairs: Vec<KeyValue>,
    /// Whether more follow.
    #[serde(default)]
    pub more: bool,
    /// The revision at which the page was read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// Why a reading has no answer.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The service keeps only the last changes: the keys must be listed anew.
    #[error("the log no longer reaches back that far")]
    Compacted,
    /// The lease is over.
    #[error("gone")]
    LeaseExpired,
    /// Nothing is known.
    #[error("no answer")]
    Failed,
}

#[derive(Deserialize)]
struct Committed {
    #[serde(rename = "ledger")]
    revision: u64,
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
/// Parts of this node's requests that readings of the log take; changes have the rest.
const FOLLOW_PART: f64 = 0.25;
const SYNC_PART: f64 = 0.3;

/// Calls to one state service, within one node's share of its limits.
pub struct StateClient {
    http: Client,
    /// Our part of the limits, and of those that will hold from some moment on.
    share: ServiceQuota,
    next: ServiceQuota,
    falls: Mutex<Falls>,
    writes: Mutex<RateLimiter>,
    /// Another node could not write all that it had to.
    peers_short_of_writes: AtomicBool,
    /// What was asked so far.
    pub counters: RequestCounters,
    /// When the rate of puts was last taken, and how many there had been.
    rated: Mutex<(Instant, u64)>,
}

/// What this node asked of the state service, counted up.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Requests of any kind.
    pub requests: AtomicU64,
    /// Puts and drops.
    pub writes: AtomicU64,
    /// Guards of transactions.
    pub preconditions: AtomicU64,
    /// Requests refused for being over a limit.
    pub refused: AtomicU64,
    /// Bytes of the log that were read.
    pub watched_bytes: AtomicU64,
}

/// Whether the lower limits hold by now. Nobody says so: refusals show it. A single one may be a burst
/// of several nodes at once; so many within this time are none.
#[derive(Debug, Default)]
struct Falls {
    refusals: VecDeque<Instant>,
    fallen: bool,
}

/// With another node short of puts, this one is taken to have no more left than this part.
const LEFT_TO_OTHERS: f64 = 0.4;
const REFUSALS: usize = 3;
const REFUSALS_WITHIN: Duration = Duration::from_secs(10);

impl Falls {
    fn note_refusal(&mut self, now: Instant) -> bool {
        self.refusals.push_back(now);
        let old = |at: &Instant| now.saturating_duration_since(*at) > REFUSALS_WITHIN;
        while self.refusals.front().is_some_and(old) {
            self.refusals.pop_front();
        }
        self.refusals.len() >= REFUSALS
    }
}

fn count(counter: &AtomicU64, by: usize) {
    counter.fetch_add(by as u64, Ordering::Relaxed);
}

impl StateClient {
    /// A client with `share` of the limits of now, and `next` of those to come.
    pub fn new(addr: SocketAddr, share: ServiceQuota, next: ServiceQuota) -> Self {
        Self {
            http: Client::new(addr, 6),
            next,
            falls: Mutex::default(),
            writes: Mutex::new(RateLimiter::new(share.writes_per_s, Instant::now())),
            share,
            peers_short_of_writes: AtomicBool::new(false),
            counters: RequestCounters::default(),
            rated: Mutex::new((Instant::now(), 0)),
        }
    }

    /// The least time between two readings of the log, and between two readings that polls wait
    /// for: each change of any node would else cost every node a request.
    pub fn watch_interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / (self.quota().requests_per_s * FOLLOW_PART).max(1.0))
    }

    /// The least time between two readings that polls wait for.
    pub fn read_barrier_interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / (self.quota().requests_per_s * SYNC_PART).max(1.0))
    }

    /// How many puts and deletes this node may send now.
    pub fn available_writes(&self, priority: WritePriority) -> usize {
        let left = self
            .writes
            .lock()
            .unwrap()
            .available(priority, Instant::now());
        left.max(0.0) as usize
    }

    /// Whether another node lacks puts: what this one does not need to write at once it leaves to it.
    pub fn set_peers_short_of_writes(&self, lack: bool) {
        self.peers_short_of_writes.store(lack, Ordering::Relaxed);
    }

    /// How much of what this node may write at once is left, from 0 to 1; never much while another node
    /// lacks it.
    pub fn write_headroom(&self) -> f64 {
        let most = match self.peers_short_of_writes.load(Ordering::Relaxed) {
            true => LEFT_TO_OTHERS,
            false => 1.0,
        };
        let mut writes = self.writes.lock().unwrap();
        let left = writes.available(WritePriority::Background, Instant::now());
        (left / (writes.rate() * 0.8)).clamp(0.0, most)
    }

    /// The puts and drops a second that this node may send from now on.
    pub fn set_write_rate(&self, rate: f64) {
        let mut writes = self.writes.lock().unwrap();
        writes.set_rate(rate, Instant::now());
    }

    /// Our part of the limits, as far as is known by now.
    pub fn quota(&self) -> ServiceQuota {
        match self.has_lower_quota() {
            true => self.next,
            false => self.share,
        }
    }

    /// Whether the lower limits were seen to hold, here or by another node.
    pub fn has_lower_quota(&self) -> bool {
        self.falls.lock().unwrap().fallen
    }

    /// From now on the lower limits are kept to; they do not rise again.
    pub fn adopt_lower_quota(&self) {
        let lower = self.next.writes_per_s < self.share.writes_per_s
            || self.next.requests_per_s < self.share.requests_per_s;
        if !lower || std::mem::replace(&mut self.falls.lock().unwrap().fallen, true) {
            return;
        }
        tracing::info!("the state service's lower limits hold");
        let mut writes = self.writes.lock().unwrap();
        let rate = writes.rate().min(self.next.writes_per_s);
        writes.set_rate(rate, Instant::now());
    }

    /// More than the service takes now: what is left at once here was not there.
    fn note_refusal(&self) {
        let now = Instant::now();
        self.writes.lock().unwrap().drain(now);
        if self.falls.lock().unwrap().note_refusal(now) {
            self.adopt_lower_quota();
        }
    }

    /// Puts a second since the last call.
    pub fn measure_write_rate(&self) -> f64 {
        let now = Instant::now();
        let puts = self.counters.writes.load(Ordering::Relaxed);
        let mut last = self.rated.lock().unwrap();
        let (since, before) = *last;
        *last = (now, puts);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        (puts - before) as f64 / passed.max(0.5)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        count(&self.counters.requests, 1);
        let answer = self.http.call(method, path, body, limit).await;
        if let Ok((StatusCode::TOO_MANY_REQUESTS, _)) = answer {
            count(&self.counters.refused, 1);
        }
        answer
    }

    /// One transaction: all changes under all guards, or none.
    pub async fn compare_and_swap(
        &self,
        guards: &[Precondition],
        then: &[Operation],
    ) -> Result<u64, TransactionError> {
        #[derive(Serialize)]
        struct Txn<'a> {
            guards: &'a [Precondition],
            then: &'a [Operation],
        }
        let body = serde_json::to_vec(&Txn { guards, then }).expect("plain data");
        self.writes
            .lock()
            .unwrap()
            .consume(then.len() as f64, Instant::now());
        count(&self.counters.writes, then.len());
        count(&self.counters.preconditions, guards.len());
        let answer = self
            .call(Method::POST, "/multi", body.into(), CALL_LIMIT)
            .await;
        let (status, body) = match answer {
            Ok(answer) => answer,
            Err(CallError::Unconnected) => return Err(TransactionError::Refused),
            Err(CallError::Unanswered) => return Err(TransactionError::Unknown),
        };
        match status.as_u16() {
            200 => match serde_json::from_slice::<Committed>(&body) {
                Ok(answer) => Ok(answer.revision),
                Err(_) => Err(TransactionError::Unknown),
            },
            409 => {
                let failed = serde_json::from_slice::<Failed>(&body);
                Err(TransactionError::Conflict(
                    failed.map(|f| f.failed).unwrap_or_default(),
                ))
            }
            400 if body_says(&body, "no such lease") => Err(TransactionError::LeaseExpired),
            400 => {
                // What this version writes fits both limits; what does not was written before.
                self.adopt_lower_quota();
                tracing::error!(answer = %String::from_utf8_lossy(&body), "state refused a transaction as malformed");
                Err(TransactionError::Malformed)
            }
            429 => {
                self.note_refusal();
                Err(TransactionError::Refused)
            }
            503 => Err(TransactionError::Refused),
            _ => Err(TransactionError::Unknown),
        }
    }

    /// The changes under a prefix after a revision, as they came: `WatchResponse::decode` reads them.
    pub async fn watch(&self, prefix: &str, from: u64, hold: Duration) -> Result<Bytes, ReadError> {
        let path = format!(
            "/follow?prefix={prefix}&from={from}&holdMs={}",
            hold.as_millis()
        );
        let answer = self
            .call(Method::GET, &path, Bytes::new(), CALL_LIMIT + hold)
            .await;
        match answer {
            Ok((StatusCode::OK, body)) => {
                count(&self.counters.watched_bytes, body.len());
                Ok(body)
            }
            Ok((StatusCode::GONE, _)) => Err(ReadError::Compacted),
            _ => Err(ReadError::Failed),
        }
    }

    /// A key's value as it is now.
    pub async fn get(&self, key: &str) -> Result<Option<Value>, ReadError> {
        let Some(pair) = self.get_key_value(key).await? else {
            return Ok(None);
        };
        serde_json::from_str(pair.value.get())
            .map(Some)
            .map_err(|_| ReadError::Failed)
    }

    /// A key's value as it is now, with the revision of its last change.
    pub async fn get_key_value(&self, key: &str) -> Result<Option<KeyValue>, ReadError> {
        let path = format!("/store/{key}");
        let answer = self
            .call(Method::GET, &path, Bytes::new(), CALL_LIMIT)
            .await;
        match answer {
            Ok((StatusCode::OK, body)) => serde_json::from_slice::<KeyValue>(&body)
                .map(Some)
                .map_err(|_| ReadError::Failed),
            Ok((StatusCode::NOT_FOUND, _)) => Ok(None),
            _ => Err(ReadError::Failed),
        }
    }

    /// All keys under a prefix, and the revision from which the log continues them. The pages of
    /// the listing are of different moments; the log from the first one on makes them agree.
    pub async fn list_all(&self, prefix: &str) -> Result<(Vec<KeyValue>, u64), ReadError> {
        let mut all: Vec<KeyValue> = Vec::new();
        let mut revision = None;
        loop {
            let from = all.last().map(|p| p.key.clone());
            let listing = self.list(prefix, from.as_deref()).await?;
            let first = *revision.get_or_insert(listing.revision);
            let ended = !listing.more || listing.pairs.is_empty();
            all.extend(listing.pairs);
            if ended {
                return Ok((all, first));
            }
        }
    }

    /// A page of the keys under a prefix, beginning after `from`.
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

    /// A new lease of this length.
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

    /// Gives a lease its full time again.
    pub async fn extend_lease(&self, lease: u64) -> Result<(), ReadError> {
        let path = format!("/leases/{lease}/extend");
        match self
            .call(Method::POST, &path, Bytes::new(), CALL_LIMIT)
            .await
        {
            Ok((StatusCode::OK, _)) => Ok(()),
            Ok((StatusCode::NOT_FOUND, _)) => Err(ReadError::LeaseExpired),
            _ => Err(ReadError::Failed),
        }
    }

    /// Ends a lease at once, and removes the keys attached to it.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), ReadError> {
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

#[cfg(test)]
mod tests;
