//! Calls to one state service, within one controller's quota of its limits. Each kind of call says what
//! every kind of answer means; none is repeated here.

mod leases;
mod reads;
mod transactions;

use crate::counters::{self, RequestCounters};
use crate::http::{CallError, Client};
use crate::quota::{QuotaState, ServiceQuota};
use crate::rate_limit::{RateLimiter, WritePriority};
use crate::sync::lock;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Longest time that a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Connections kept while idle.
const MAX_IDLE_CONNECTIONS: usize = 6;
/// Parts of the quota of requests that watches and read barriers take; transactions have the rest.
const WATCH_PART: f64 = 0.25;
const READ_BARRIER_PART: f64 = 0.3;
/// The most headroom that is reported while another controller is short of writes.
const MAX_HEADROOM_WHILE_PEERS_SHORT: f64 = 0.4;
/// Shortest time over which a rate of writes is measured, in seconds.
const MIN_RATE_PERIOD_S: f64 = 0.5;

/// A client of one state service. Its calls may be made from any number of tasks at once.
pub struct StateClient {
    http: Client,
    quota: Mutex<QuotaState>,
    write_limiter: Mutex<RateLimiter>,
    /// Another controller could not write all that it had to.
    peers_short_of_writes: AtomicBool,
    /// What was asked so far.
    pub counters: RequestCounters,
    last_rate_measurement: Mutex<RateMeasurement>,
}

/// The total of writes at a moment.
struct RateMeasurement {
    at: Instant,
    writes: u64,
}

impl StateClient {
    /// A client that keeps to the `current` quota, and to the `announced` one once that is seen to hold.
    pub fn new(addr: SocketAddr, current: ServiceQuota, announced: ServiceQuota) -> Self {
        let now = Instant::now();
        Self {
            http: Client::new(addr, MAX_IDLE_CONNECTIONS),
            quota: Mutex::new(QuotaState::new(current, announced)),
            write_limiter: Mutex::new(RateLimiter::new(current.writes_per_s, now)),
            peers_short_of_writes: AtomicBool::new(false),
            counters: RequestCounters::default(),
            last_rate_measurement: Mutex::new(RateMeasurement { at: now, writes: 0 }),
        }
    }

    /// The least time between two watch requests: each change of any controller would else cost every
    /// controller a request.
    pub fn watch_interval(&self) -> Duration {
        self.request_interval(WATCH_PART)
    }

    /// The least time between two read barriers.
    pub fn read_barrier_interval(&self) -> Duration {
        self.request_interval(READ_BARRIER_PART)
    }

    /// Time between requests that take `part` of the quota, at most a second.
    fn request_interval(&self, part: f64) -> Duration {
        let requests_per_s = (self.quota().requests_per_s * part).max(1.0);
        Duration::from_secs_f64(1.0 / requests_per_s)
    }

    /// How many puts and deletes of this priority may be sent now.
    pub fn available_writes(&self, priority: WritePriority) -> usize {
        let available = lock(&self.write_limiter).available(priority, Instant::now());
        available.max(0.0) as usize
    }

    /// Records whether another controller is short of writes: what this one does not need to write at
    /// once it then leaves to that one.
    pub fn set_peers_short_of_writes(&self, short: bool) {
        self.peers_short_of_writes.store(short, Ordering::Relaxed);
    }

    /// How much of what background writes may use at once is left, from 0 to 1; never much while another
    /// controller is short of writes.
    pub fn write_headroom(&self) -> f64 {
        let headroom = lock(&self.write_limiter).background_fraction(Instant::now());
        if self.peers_short_of_writes.load(Ordering::Relaxed) {
            headroom.min(MAX_HEADROOM_WHILE_PEERS_SHORT)
        } else {
            headroom
        }
    }

    /// Sets the puts and deletes a second that may be sent.
    pub fn set_write_rate(&self, writes_per_s: f64) {
        lock(&self.write_limiter).set_rate(writes_per_s, Instant::now());
    }

    /// The quota that holds, as far as is known by now.
    pub fn quota(&self) -> ServiceQuota {
        lock(&self.quota).quota()
    }

    /// Whether the lower limits were seen to hold, here or by another controller.
    pub fn has_lower_quota(&self) -> bool {
        lock(&self.quota).is_lowered()
    }

    /// Keeps to the announced quota from now on, if it is lower; it is not raised again.
    pub fn adopt_lower_quota(&self) {
        let Some(lower) = lock(&self.quota).lower() else {
            return;
        };
        tracing::info!("lower limits of the state service adopted");
        let mut limiter = lock(&self.write_limiter);
        let rate = limiter.rate().min(lower.writes_per_s);
        limiter.set_rate(rate, Instant::now());
    }

    /// Records that the service refused a transaction as over its limit: what was thought to be
    /// available was not.
    fn record_refusal(&self) {
        let now = Instant::now();
        lock(&self.write_limiter).drain(now);
        let lower_limits_hold = lock(&self.quota).record_refusal(now);
        if lower_limits_hold {
            self.adopt_lower_quota();
        }
    }

    /// Puts and deletes a second since the last call.
    pub fn measure_write_rate(&self) -> f64 {
        let now = Instant::now();
        let writes = self.counters.writes.load(Ordering::Relaxed);
        let mut last = lock(&self.last_rate_measurement);
        let elapsed_s = now.saturating_duration_since(last.at).as_secs_f64();
        let rate = (writes - last.writes) as f64 / elapsed_s.max(MIN_RATE_PERIOD_S);
        *last = RateMeasurement { at: now, writes };
        rate
    }

    /// One request, counted.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        counters::add(&self.counters.requests, 1);
        let response = self.http.call(method, path, body, timeout).await;
        if let Ok((StatusCode::TOO_MANY_REQUESTS, _)) = response {
            counters::add(&self.counters.refused, 1);
        }
        response
    }

    /// One request without a body.
    async fn get_path(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        self.call(Method::GET, path, Bytes::new(), timeout).await
    }
}

#[cfg(test)]
mod tests;
