//! A limit on requests in progress that follows measured times: while answers take no longer
//! than usual it grows, when they slow down it shrinks. What is over it is refused at once.

use hdrhistogram::Histogram;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const LEAST: f64 = 16.0;
const MOST: f64 = 400.0;
const LONGEST: Duration = Duration::from_secs(60);
/// Times from which the median is taken.
const WINDOW: u64 = 200;
/// Times up to this are never taken for overload: a poll may wait for two readings of the log,
/// which are spaced by our part of the state service's requests.
const FINE: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct State {
    limit: f64,
    in_progress: u32,
    /// Times in microseconds since the usual one was last taken from them.
    recent: Histogram<u32>,
    /// The median of times, slow to rise: what an answer takes without a queue.
    usual: Duration,
}

#[derive(Debug)]
pub struct Limit {
    state: Mutex<State>,
}

/// A request in progress. Its time counts when it ends.
pub struct Permit<'a> {
    limit: &'a Limit,
    since: Instant,
}

impl State {
    fn note(&mut self, took: Duration) {
        let longest = LONGEST.as_micros() as u64;
        let micros = (took.as_micros() as u64).clamp(1, longest);
        self.recent.saturating_record(micros);
        if self.recent.len() >= WINDOW {
            let median = Duration::from_micros(self.recent.value_at_quantile(0.5));
            // Slowly up: times under a lasting overload must not come to count as usual.
            self.usual = median.min(self.usual.mul_f64(1.1));
            self.recent.reset();
        }
    }
}

impl Limit {
    pub fn new() -> Self {
        Self {
            state: Mutex::new(State {
                limit: 32.0,
                in_progress: 0,
                recent: Histogram::new_with_bounds(1, LONGEST.as_micros() as u64, 2)
                    .expect("constant bounds"),
                usual: Duration::from_millis(20),
            }),
        }
    }

    /// `share` below 1 refuses earlier, so that others have room left: new work gives way to
    /// cancellations.
    pub fn enter(&self, share: f64) -> Option<Permit<'_>> {
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

    pub fn finish(&self, took: Duration) {
        let mut state = self.state.lock().unwrap();
        state.in_progress = state.in_progress.saturating_sub(1);
        state.note(took);
        if took > (state.usual * 3).max(FINE) {
            state.limit = (state.limit * 0.95).max(LEAST);
        } else if f64::from(state.in_progress) * 2.0 > state.limit {
            state.limit = (state.limit + 1.0 / state.limit).min(MOST);
        }
    }
}

impl Default for Limit {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.limit.finish(self.since.elapsed());
    }
}

#[cfg(test)]
mod tests;
