//! A state service: keys with marks, guarded changes, leases and the log.

use super::{Asked, Handler};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

struct Held {
    data: Value,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Default)]
struct Store {
    ledger: u64,
    keys: BTreeMap<String, Held>,
    log: Vec<(u64, String, Value)>,
    leases: HashMap<u64, (Instant, Duration)>,
    out: bool,
    limits: Option<Limits>,
    /// Puts and drops that may be taken now, as of then.
    level: Option<(f64, Instant)>,
    /// Refused for being too large, too many at once, or too many a second.
    refused: [usize; 3],
    /// What becomes of the next transactions with this in a change, and of how many of them.
    fates: Vec<(String, Fate, usize)>,
    held_back: Vec<Value>,
}

/// What a transaction meets that gets no answer.
#[derive(Clone, Copy, PartialEq)]
pub enum Fate {
    /// It is carried out at once.
    AnswerLost,
    /// It is carried out when the test lets it go.
    HeldBack,
}

/// What the service takes.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Bytes of a value.
    pub value: usize,
    /// Changes of a transaction.
    pub ops: usize,
    /// Changes a second.
    pub rate: f64,
}

/// A state service in memory.
#[derive(Clone, Default)]
pub struct State(Arc<Mutex<Store>>);

impl State {
    /// Begins or ends an outage; after it every lease has its full time again.
    pub fn set_out(&self, out: bool) {
        let mut store = self.0.lock().unwrap();
        store.out = out;
        let now = Instant::now();
        for (until, ttl) in store.leases.values_mut() {
            *until = now + *ttl;
        }
    }

    /// The limits from now on. What is stored stays.
    pub fn set_limits(&self, limits: Limits) {
        let mut store = self.0.lock().unwrap();
        store.limits = Some(limits);
        store.level = None;
    }

    /// The next `count` transactions with this in one of their changes get no answer.
    pub fn divert(&self, part: &str, fate: Fate, count: usize) {
        let mut store = self.0.lock().unwrap();
        store.fates.push((part.to_owned(), fate, count));
    }

    /// Whether a transaction is held back.
    pub fn holds_back(&self) -> bool {
        !self.0.lock().unwrap().held_back.is_empty()
    }

    /// Carries out what was held back; how many of these changed anything.
    pub fn let_go(&self) -> usize {
        let mut store = self.0.lock().unwrap();
        let late = std::mem::take(&mut store.held_back);
        let taken = late.iter().filter(|body| store.multi(body).0 == 200);
        taken.count()
    }

    /// How many were refused for being too large, too many at once, or too many a second.
    pub fn refused(&self) -> [usize; 3] {
        self.0.lock().unwrap().refused
    }

    /// Transactions, leases made and leases ended so far.
    pub fn changes(&self) -> u64 {
        self.0.lock().unwrap().ledger
    }

    /// What is stored under a prefix.
    pub fn stored(&self, prefix: &str) -> BTreeMap<String, Value> {
        let store = self.0.lock().unwrap();
        let keys = store.keys.iter().filter(|(k, _)| k.starts_with(prefix));
        keys.map(|(k, held)| (k.clone(), held.data.clone()))
            .collect()
    }

    /// Answers the requests of all controllers.
    pub fn handler(&self) -> Handler {
        let state = self.clone();
        Arc::new(move |asked| {
            let state = state.clone();
            Box::pin(async move {
                if asked.path == "/follow" {
                    return state.follow(&asked).await;
                }
                let answer = state.0.lock().unwrap().take(&asked);
                match answer {
                    Some(answer) => answer,
                    None => std::future::pending().await,
                }
            })
        })
    }

    /// A way to the service of one controller alone, which can be cut: it then gets 503, and its
    /// leases run out while the others are served.
    pub fn line(&self, cut: Arc<AtomicBool>) -> Handler {
        let whole = self.handler();
        Arc::new(move |asked| match cut.load(Ordering::Relaxed) {
            true => Box::pin(async { (503, json!({"error": "trouble"})) }),
            false => whole(asked),
        })
    }

    async fn follow(&self, asked: &Asked) -> (u16, Value) {
        let from: u64 = asked.query["from"].parse().unwrap();
        let hold = Duration::from_millis(asked.query["holdMs"].parse().unwrap());
        let until = Instant::now() + hold;
        loop {
            {
                let mut store = self.0.lock().unwrap();
                if store.out && hold.is_zero() {
                    return (503, json!({"error": "trouble"}));
                }
                if !store.out {
                    store.end_leases();
                    let log = store.since(&asked.query["prefix"], from);
                    if !log.is_empty() || Instant::now() >= until {
                        return (200, json!({"ledger": store.ledger, "log": log}));
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl Store {
    /// None if there is no answer.
    fn take(&mut self, asked: &Asked) -> Option<(u16, Value)> {
        if self.out {
            return Some((503, json!({"error": "trouble"})));
        }
        self.end_leases();
        match self.fate_of(asked) {
            None => Some(self.handle(asked)),
            Some(Fate::AnswerLost) => {
                self.handle(asked);
                None
            }
            Some(Fate::HeldBack) => {
                self.held_back.push(asked.body.clone());
                None
            }
        }
    }

    fn fate_of(&mut self, asked: &Asked) -> Option<Fate> {
        if asked.path != "/multi" {
            return None;
        }
        let ops = asked.body["then"].as_array()?.iter();
        let ops: Vec<String> = ops.map(Value::to_string).collect();
        let mut fates = self.fates.iter_mut();
        let (_, fate, left) = fates.find(|(named, _, left)| {
            *left > 0 && ops.iter().any(|op| op.contains(named.as_str()))
        })?;
        *left -= 1;
        Some(*fate)
    }

    fn since(&self, prefix: &str, from: u64) -> Vec<Value> {
        let log = self.log.iter();
        log.filter(|(revision, key, _)| *revision > from && key.starts_with(prefix))
            .map(|(revision, key, data)| match data {
                Value::Null => json!({"drop": key, "mark": revision}),
                data => json!({"set": key, "data": data, "mark": revision}),
            })
            .collect()
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (until, _)| *until > now);
        let keys = self.keys.iter();
        let gone: Vec<String> = keys
            .filter(|(_, held)| held.lease.is_some_and(|l| !self.leases.contains_key(&l)))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.ledger += 1;
            self.keys.remove(&key);
            self.log.push((self.ledger, key, Value::Null));
        }
    }

    fn handle(&mut self, asked: &Asked) -> (u16, Value) {
        let parts: Vec<&str> = asked.path.trim_matches('/').split('/').collect();
        let method = asked.method.as_str();
        match (method, parts.as_slice()) {
            ("POST", ["multi"]) => self.multi(&asked.body),
            ("POST", ["leases"]) => {
                let ttl = Duration::from_millis(asked.body["ttlMs"].as_u64().unwrap());
                self.ledger += 1;
                self.leases.insert(self.ledger, (Instant::now() + ttl, ttl));
                (200, json!({"tenancy": self.ledger}))
            }
            ("POST", ["leases", id, "extend"]) => match self.leases.get_mut(&id.parse().unwrap()) {
                Some((until, ttl)) => {
                    *until = Instant::now() + *ttl;
                    (200, json!({}))
                }
                None => (404, json!({})),
            },
            ("DELETE", ["leases", id]) => {
                self.leases.remove(&id.parse().unwrap());
                self.end_leases();
                (200, json!({}))
            }
            ("GET", ["store"]) => {
                let prefix = &asked.query["prefix"];
                let from = asked.query.get("from").cloned().unwrap_or_default();
                let keys = self.keys.iter();
                let pairs: Vec<Value> = keys
                    .filter(|(key, _)| key.starts_with(prefix.as_str()) && **key > from)
                    .map(|(key, held)| json!({"k": key, "data": held.data, "mark": held.revision}))
                    .collect();
                (
                    200,
                    json!({"pairs": pairs, "more": false, "ledger": self.ledger}),
                )
            }
            ("GET", ["store", ..]) => {
                let key = asked.path.trim_start_matches("/store/");
                match self.keys.get(key) {
                    Some(held) => (
                        200,
                        json!({"k": key, "data": held.data, "mark": held.revision}),
                    ),
                    None => (404, json!({"ledger": self.ledger})),
                }
            }
            _ => (400, json!({"error": "malformed"})),
        }
    }

    /// Whether the limits take so many changes, with these values.
    fn check(&mut self, then: &[Value]) -> Result<(), (u16, Value)> {
        let Some(limits) = self.limits else {
            return Ok(());
        };
        let now = Instant::now();
        let (level, at) = self.level.unwrap_or((limits.rate, now));
        let level = (level + (now - at).as_secs_f64() * limits.rate).min(limits.rate);
        self.level = Some((level, now));
        if then
            .iter()
            .any(|op| op["data"].to_string().len() > limits.value)
        {
            self.refused[0] += 1;
            return Err((400, json!({"error": "value too large"})));
        }
        if then.len() > limits.ops {
            self.refused[1] += 1;
            return Err((400, json!({"error": "too many changes"})));
        }
        if level < then.len() as f64 {
            self.refused[2] += 1;
            return Err((429, json!({"error": "too many"})));
        }
        self.level = Some((level - then.len() as f64, now));
        Ok(())
    }

    fn multi(&mut self, body: &Value) -> (u16, Value) {
        let none = Vec::new();
        if let Err(refusal) = self.check(body["then"].as_array().unwrap_or(&none)) {
            return refusal;
        }
        let guards = body["guards"].as_array().unwrap_or(&none).iter();
        let failed: Vec<&str> = guards
            .filter(|guard| {
                let held = self.keys.get(guard["k"].as_str().unwrap());
                held.map_or(0, |h| h.revision) != guard["mark"].as_u64().unwrap()
            })
            .map(|guard| guard["k"].as_str().unwrap())
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger": self.ledger}));
        }
        let then = body["then"].as_array().cloned().unwrap_or_default();
        let lease_over = |op: &Value| {
            let lease = op["tenancy"].as_u64();
            lease.is_some_and(|l| !self.leases.contains_key(&l))
        };
        if then.iter().any(lease_over) {
            return (400, json!({"error": "no such lease"}));
        }
        self.ledger += 1;
        for op in then {
            if let Some(key) = op["set"].as_str() {
                let held = Held {
                    data: op["data"].clone(),
                    revision: self.ledger,
                    lease: op["tenancy"].as_u64(),
                };
                self.log.push((self.ledger, key.into(), held.data.clone()));
                self.keys.insert(key.into(), held);
            } else if let Some(key) = op["drop"].as_str()
                && self.keys.remove(key).is_some()
            {
                self.log.push((self.ledger, key.into(), Value::Null));
            }
        }
        (200, json!({"ledger": self.ledger}))
    }
}
