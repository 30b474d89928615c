//! Calls to one state service, within one controller's quota of the service's limits. Each method interprets
//! the statuses of its own request. Failed calls are not retried here.

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

/// Maximum duration of a call, apart from listings and the hold time of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of idle connections that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 6;
/// Fractions of the request quota that watches and read barriers may use; the rest is for transactions.
const WATCH_FRACTION: f64 = 0.25;
const READ_BARRIER_FRACTION: f64 = 0.3;
/// Upper bound of the reported write headroom while another controller is short of writes.
const MAX_HEADROOM_WHILE_PEERS_SHORT: f64 = 0.4;
/// Minimum period over which the write rate is averaged, in seconds.
const MIN_RATE_PERIOD_S: f64 = 0.5;

/// A client of one state service. Any number of tasks may use it concurrently.
pub struct StateClient {
    http: Client,
    quota: Mutex<QuotaState>,
    write_limiter: Mutex<RateLimiter>,
    /// Whether another controller has more to write than its quota permits.
    peers_short_of_writes: AtomicBool,
    /// Counters of the requests sent so far.
    pub counters: RequestCounters,
    last_rate_measurement: Mutex<RateMeasurement>,
}

/// The total number of writes at a point in time.
struct RateMeasurement {
    at: Instant,
    writes: u64,
}

impl StateClient {
    /// Creates a client that keeps to the `current` quota, and to the `announced` one once that is known to be
    /// in force.
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

    /// The minimum time between two watch requests. Without it, each change by any controller would cost every
    /// controller a request.
    pub fn watch_interval(&self) -> Duration {
        self.request_interval(WATCH_FRACTION)
    }

    /// The minimum time between two read barriers.
    pub fn read_barrier_interval(&self) -> Duration {
        self.request_interval(READ_BARRIER_FRACTION)
    }

    /// The interval between requests that use this fraction of the quota, at most one second.
    fn request_interval(&self, fraction: f64) -> Duration {
        let requests_per_s = (self.quota().requests_per_s * fraction).max(1.0);
        Duration::from_secs_f64(1.0 / requests_per_s)
    }

    /// The number of puts and deletes of this priority that may be sent now.
    pub fn available_writes(&self, priority: WritePriority) -> usize {
        let available = lock(&self.write_limiter).available(priority, Instant::now());
        available.max(0.0) as usize
    }

    /// Records whether another controller is short of writes. If so, [`write_headroom`](Self::write_headroom)
    /// is capped, so that this controller leaves writes that are not urgent to the other one.
    pub fn set_peers_short_of_writes(&self, short: bool) {
        self.peers_short_of_writes.store(short, Ordering::Relaxed);
    }

    /// The unused fraction of the burst that background writes may use, from 0 to 1. It is capped while another
    /// controller is short of writes.
    pub fn write_headroom(&self) -> f64 {
        let headroom = lock(&self.write_limiter).background_fraction(Instant::now());
        if self.peers_short_of_writes.load(Ordering::Relaxed) {
            headroom.min(MAX_HEADROOM_WHILE_PEERS_SHORT)
        } else {
            headroom
        }
    }

    /// Sets the number of puts and deletes a second that may be sent.
    pub fn set_write_rate(&self, writes_per_s: f64) {
        lock(&self.write_limiter).set_rate(writes_per_s, Instant::now());
    }

    /// The quota that is in force as far as this client knows.
    pub fn quota(&self) -> ServiceQuota {
        lock(&self.quota).quota()
    }

    /// Whether this client keeps to the announced lower quota, after its own refusals or those of another
    /// controller.
    pub fn has_lower_quota(&self) -> bool {
        lock(&self.quota).is_lowered()
    }

    /// Keeps to the announced quota from now on if it is lower than the current one. The quota is not raised
    /// again.
    pub fn adopt_lower_quota(&self) {
        let Some(lower) = lock(&self.quota).lower() else {
            return;
        };
        tracing::info!("lower limits of the state service adopted");
        let mut limiter = lock(&self.write_limiter);
        let rate = limiter.rate().min(lower.writes_per_s);
        limiter.set_rate(rate, Instant::now());
    }

    /// Records that the service refused a transaction as over its limit. The limiter is emptied, because it
    /// had permitted writes that the service did not.
    fn record_refusal(&self) {
        let now = Instant::now();
        lock(&self.write_limiter).drain(now);
        let is_quota_lowered = lock(&self.quota).record_refusal(now);
        if is_quota_lowered {
            self.adopt_lower_quota();
        }
    }

    /// The average number of puts and deletes a second since the last call.
    pub fn measure_write_rate(&self) -> f64 {
        let now = Instant::now();
        let writes = self.counters.writes.load(Ordering::Relaxed);
        let mut last = lock(&self.last_rate_measurement);
        let elapsed_s = now.saturating_duration_since(last.at).as_secs_f64();
        let rate = (writes - last.writes) as f64 / elapsed_s.max(MIN_RATE_PERIOD_S);
        *last = RateMeasurement { at: now, writes };
        rate
    }

    /// Sends one request and counts it.
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

    /// Sends one GET request.
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
