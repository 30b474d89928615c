//! A limit on requests in progress that adapts to measured response times: while responses take no longer than
//! the baseline it grows, when they slow down it shrinks. Requests beyond it are refused at once.

use hdrhistogram::Histogram;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Requests in progress: the bounds of the limit, and the one that it starts with.
const MIN_LIMIT: f64 = 16.0;
const MAX_LIMIT: f64 = 400.0;
const INITIAL_LIMIT: f64 = 32.0;
/// Factor by which each response of an overload shrinks the limit.
const SHRINK_FACTOR: f64 = 0.95;

/// Response times are recorded up to this one.
const MAX_RECORDED: Duration = Duration::from_secs(60);
/// Response times from which a median is taken.
const MEDIAN_WINDOW: u64 = 200;
const INITIAL_BASELINE: Duration = Duration::from_millis(20);
/// Greatest factor by which the baseline rises at a time: response times of a lasting overload must not come
/// to count as usual.
const BASELINE_RISE: f64 = 1.1;

/// A response that takes this many times the baseline is one of an overload.
const OVERLOAD_FACTOR: u32 = 3;
/// Response times up to this one are never taken for overload: a poll may wait for two reads of the log, which
/// are spaced by our part of the state service's requests.
const ACCEPTABLE: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct State {
    limit: f64,
    in_progress: u32,
    /// Response times in microseconds since the baseline was last taken from them.
    recent: Histogram<u32>,
    /// The median of response times, slow to rise: what a response takes without a queue.
    baseline: Duration,
}

/// See the module.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    state: Mutex<State>,
}

/// A request in progress. Its response time is recorded when this is dropped.
pub struct Permit<'a> {
    limit: &'a ConcurrencyLimit,
    since: Instant,
}

impl State {
    fn record(&mut self, response_time: Duration) {
        let max = MAX_RECORDED.as_micros() as u64;
        let micros = (response_time.as_micros() as u64).clamp(1, max);
        self.recent.saturating_record(micros);
        if self.recent.len() >= MEDIAN_WINDOW {
            let median = Duration::from_micros(self.recent.value_at_quantile(0.5));
            self.baseline = median.min(self.baseline.mul_f64(BASELINE_RISE));
            self.recent.reset();
        }
    }

    fn adapt(&mut self, response_time: Duration) {
        if response_time > (self.baseline * OVERLOAD_FACTOR).max(ACCEPTABLE) {
            self.limit = (self.limit * SHRINK_FACTOR).max(MIN_LIMIT);
        } else if f64::from(self.in_progress) * 2.0 > self.limit {
            // Only a limit that is at least half used is known to be too low.
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }
}

impl ConcurrencyLimit {
    /// A limit without requests, at its initial value.
    pub fn new() -> Self {
        let max = MAX_RECORDED.as_micros() as u64;
        Self {
            state: Mutex::new(State {
                limit: INITIAL_LIMIT,
                in_progress: 0,
                recent: Histogram::new_with_bounds(1, max, 2).expect("constant bounds"),
                baseline: INITIAL_BASELINE,
            }),
        }
    }

    /// Admits a request while fewer than `share` of the limit are in progress. A share below 1 leaves room for
    /// requests that matter more: submissions give way to cancellations.
    pub fn try_acquire(&self, share: f64) -> Option<Permit<'_>> {
        let mut state = self.state.lock().unwrap();
        if f64::from(state.in_progress) >= state.limit * share {
            return None;
        }
        state.in_progress += 1;
        Some(Permit {
            limit: self,
            since: Instant::now(),
        })
    }

    /// Records that a request ended, and adapts the limit to its response time.
    pub fn record_response(&self, response_time: Duration) {
        let mut state = self.state.lock().unwrap();
        state.in_progress = state.in_progress.saturating_sub(1);
        state.record(response_time);
        state.adapt(response_time);
    }
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.limit.record_response(self.since.elapsed());
    }
}

#[cfg(test)]
mod tests;
