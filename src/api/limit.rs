//! A limit on requests in progress that follows measured times: while answers take no longer
//! than usual it grows, when they slow down it shrinks. What is over it is refused at once.

use std::sync::Mutex;
use std::time::{Duration, Instant};

const LEAST: f64 = 16.0;
const MOST: f64 = 400.0;
/// Times up to this are never taken for overload.
const FINE: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct State {
    limit: f64,
    in_progress: u32,
    /// Smoothed time, slow to rise: what an answer takes without a queue.
    usual_s: f64,
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

impl Limit {
    pub fn new() -> Self {
        Self {
            state: Mutex::new(State {
                limit: 32.0,
                in_progress: 0,
                usual_s: 0.02,
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
        let took_s = took.as_secs_f64();
        let weight = if took_s < state.usual_s { 0.1 } else { 0.01 };
        state.usual_s += (took_s - state.usual_s) * weight;
        let bound = (state.usual_s * 3.0).max(FINE.as_secs_f64());
        if took_s > bound {
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
mod tests {
    use super::*;

    #[test]
    fn a_burst_shrinks_the_limit_and_calm_restores_it() {
        let limit = Limit::new();
        let mut trace = String::new();
        let mut round = |what: &str, offered: u32, took_ms: u64| {
            let mut let_in = 0;
            for _ in 0..offered {
                if let Some(permit) = limit.enter(1.0) {
                    std::mem::forget(permit);
                    let_in += 1;
                }
            }
            for _ in 0..let_in {
                limit.finish(Duration::from_millis(took_ms));
            }
            let now = limit.state.lock().unwrap().limit;
            trace.push_str(&format!(
                "{what}: offered {offered}, let in {let_in}, refused {}, then limit {now:.0}\n",
                offered - let_in
            ));
        };
        round("calm", 10, 20);
        round("burst", 100, 900);
        round("burst", 100, 900);
        round("burst goes on", 100, 900);
        for _ in 0..20 {
            round("calm again", 100, 20);
        }
        insta::assert_snapshot!(trace);
    }
}
