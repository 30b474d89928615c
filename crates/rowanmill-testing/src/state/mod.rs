//! A stand-in for the state service: keys with revisions, conditional transactions, leases and a log of changes. Tests
//! can set limits, cut connections, and inject outages and faults of single transactions. Tests of several cells also
//! use it as the ledger, which has the same protocol.

mod faults;
mod limits;
mod routes;
mod store;

use crate::{Handler, StubRequest};
use faults::FaultRule;
pub use faults::TransactionFault;
pub use limits::{Refusals, StateLimits};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use store::Store;

/// How often a request that follows the log looks for changes.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(5);

/// The status and body of an answer.
type Response = (u16, Value);

fn unavailable() -> Response {
    (503, json!({"error": "trouble"}))
}

/// A state service in memory. Clones share all state.
#[derive(Clone, Default)]
pub struct StateService(Arc<Mutex<Inner>>);

#[derive(Default)]
struct Inner {
    store: Store,
    in_outage: bool,
    faults: Vec<FaultRule>,
    /// Bodies of the delayed transactions, which are executed when the test delivers them.
    delayed: Vec<Value>,
}

impl StateService {
    /// Begins or ends an outage. Either extends every lease to its full duration from now.
    pub fn set_outage(&self, in_outage: bool) {
        let mut inner = self.0.lock().unwrap();
        inner.in_outage = in_outage;
        inner.store.extend_leases();
    }

    /// Sets the limits for future transactions. Stored values are kept even if they are larger.
    pub fn set_limits(&self, limits: StateLimits) {
        self.0.lock().unwrap().store.limiter.set(limits);
    }

    /// Injects a fault into the next `count` transactions in which `text` occurs in the JSON text of an operation.
    /// A transaction gets at most one fault: the first injected one that still applies.
    pub fn inject_fault(&self, text: &str, fault: TransactionFault, count: usize) {
        let rule = FaultRule::new(text, fault, count);
        self.0.lock().unwrap().faults.push(rule);
    }

    /// Whether a transaction is delayed.
    pub fn has_delayed(&self) -> bool {
        !self.0.lock().unwrap().delayed.is_empty()
    }

    /// Executes the delayed transactions, and returns the number of those that succeeded.
    pub fn deliver_delayed(&self) -> usize {
        let mut inner = self.0.lock().unwrap();
        let delayed = std::mem::take(&mut inner.delayed);
        let succeeded = |body: &&Value| inner.store.transact(body).0 == 200;
        delayed.iter().filter(succeeded).count()
    }

    /// The numbers of transactions that were refused because of the limits.
    pub fn refusals(&self) -> Refusals {
        self.0.lock().unwrap().store.limiter.refusals
    }

    /// The current revision, which increases with each applied transaction, each granted lease and each key that is
    /// deleted with its lease.
    pub fn revision(&self) -> u64 {
        self.0.lock().unwrap().store.revision
    }

    /// The values of all keys with a prefix. Keys of a lease that has expired are included until the next request is
    /// served.
    pub fn stored(&self, prefix: &str) -> BTreeMap<String, Value> {
        self.0.lock().unwrap().store.values(prefix)
    }

    /// The handler of requests over a connection that is never cut.
    pub fn handler(&self) -> Handler {
        let state = self.clone();
        Arc::new(move |request| {
            let state = state.clone();
            Box::pin(async move {
                if request.path == "/follow" {
                    return state.follow(&request).await;
                }
                let answer = state.0.lock().unwrap().answer(&request);
                match answer {
                    Some(answer) => answer,
                    None => std::future::pending().await,
                }
            })
        })
    }

    /// The handler of requests over a connection that the test can cut, such as that of one controller. While it is
    /// cut, new requests get status 503, so that the controller's leases expire. Other connections are served.
    pub fn handler_with_cut(&self, is_cut: Arc<AtomicBool>) -> Handler {
        let handler = self.handler();
        Arc::new(move |request| {
            if is_cut.load(Ordering::Relaxed) {
                Box::pin(async { unavailable() })
            } else {
                handler(request)
            }
        })
    }

    /// Answers a request that follows the log as soon as there are changes, or without any when its hold time has
    /// passed. During an outage, a request without a hold time gets status 503, and any other waits until the outage
    /// ends.
    async fn follow(&self, request: &StubRequest) -> Response {
        let from: u64 = request.query["from"].parse().unwrap();
        let hold = Duration::from_millis(request.query["holdMs"].parse().unwrap());
        let deadline = Instant::now() + hold;
        loop {
            {
                let mut inner = self.0.lock().unwrap();
                if inner.in_outage && hold.is_zero() {
                    return unavailable();
                }
                if !inner.in_outage {
                    inner.store.expire_leases();
                    let log = inner.store.log_since(&request.query["prefix"], from);
                    if !log.is_empty() || Instant::now() >= deadline {
                        let revision = inner.store.revision;
                        return (200, json!({"ledger": revision, "log": log}));
                    }
                }
            }
            tokio::time::sleep(FOLLOW_INTERVAL).await;
        }
    }
}

impl Inner {
    /// The answer to a request. `None` if a fault prevents it.
    fn answer(&mut self, request: &StubRequest) -> Option<Response> {
        if self.in_outage {
            return Some(unavailable());
        }
        self.store.expire_leases();
        match faults::take_matching(&mut self.faults, request) {
            None => Some(self.store.route(request)),
            Some(TransactionFault::AnswerLost) => {
                self.store.route(request);
                None
            }
            Some(TransactionFault::Delayed) => {
                self.delayed.push(request.body.clone());
                None
            }
        }
    }
}
