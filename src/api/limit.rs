//! An adaptive concurrency limit. It shrinks when response times greatly exceed a baseline, and grows otherwise while at
//! least half of it is used. Requests beyond the limit are refused at once.

use hdrhistogram::Histogram;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Bounds and initial value of the limit, in concurrent requests.
const MIN_LIMIT: f64 = 16.0;
const MAX_LIMIT: f64 = 400.0;
const INITIAL_LIMIT: f64 = 32.0;
/// Factor by which the limit is multiplied for each response that indicates overload.
const OVERLOAD_SHRINK_FACTOR: f64 = 0.95;

/// Longer response times are recorded as this value.
const MAX_RECORDED_RESPONSE_TIME: Duration = Duration::from_secs(60);
/// Number of response times from which each median is calculated.
const MEDIAN_SAMPLES: u64 = 200;
/// Baseline until the first median is calculated.
const INITIAL_BASELINE: Duration = Duration::from_millis(20);
/// Maximum factor by which one update raises the baseline. Otherwise, the response times of a lasting overload would soon
/// count as normal.
const MAX_BASELINE_RISE: f64 = 1.1;

/// A response time above this multiple of the baseline indicates overload, if it also exceeds [`ACCEPTABLE_RESPONSE_TIME`].
const OVERLOAD_FACTOR: u32 = 3;
/// Response times up to this value never indicate overload. A poll may wait for two reads of the log, and this
/// controller's share of the state service's request rate determines the interval between reads.
const ACCEPTABLE_RESPONSE_TIME: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct State {
    limit: f64,
    in_progress: u32,
    /// Response times since the last update of the baseline, in microseconds.
    recent: Histogram<u32>,
    /// Estimated response time without queueing: the median of recent response times, with its rise limited by
    /// [`MAX_BASELINE_RISE`].
    baseline: Duration,
}

/// Admits requests up to an adaptive limit; see the module documentation.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    state: Mutex<State>,
}

/// A permit for one request in progress. Dropping it records the request's response time.
pub struct Permit<'a> {
    limit: &'a ConcurrencyLimit,
    since: Instant,
}

impl State {
    fn record(&mut self, response_time: Duration) {
        let max = MAX_RECORDED_RESPONSE_TIME.as_micros() as u64;
        let micros = (response_time.as_micros() as u64).clamp(1, max);
        self.recent.saturating_record(micros);
        if self.recent.len() >= MEDIAN_SAMPLES {
            let median = Duration::from_micros(self.recent.value_at_quantile(0.5));
            self.baseline = median.min(self.baseline.mul_f64(MAX_BASELINE_RISE));
            self.recent.reset();
        }
    }

    fn adapt(&mut self, response_time: Duration) {
        if response_time > (self.baseline * OVERLOAD_FACTOR).max(ACCEPTABLE_RESPONSE_TIME) {
            self.limit = (self.limit * OVERLOAD_SHRINK_FACTOR).max(MIN_LIMIT);
        } else if f64::from(self.in_progress) * 2.0 > self.limit {
            // While less than half of the limit is used, fast responses don't show that a higher limit is safe.
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }
}

impl ConcurrencyLimit {
    /// Creates a limit at its initial value, without requests in progress.
    pub fn new() -> Self {
        let max = MAX_RECORDED_RESPONSE_TIME.as_micros() as u64;
        Self {
            state: Mutex::new(State {
                limit: INITIAL_LIMIT,
                in_progress: 0,
                recent: Histogram::new_with_bounds(1, max, 2).expect("constant bounds"),
                baseline: INITIAL_BASELINE,
            }),
        }
    }

    /// Admits a request while the requests in progress use less than the fraction `share` of the limit. A share below 1
    /// reserves the rest for more important requests, such as cancellations.
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

    /// Records the end of a request and adapts the limit to its response time.
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
