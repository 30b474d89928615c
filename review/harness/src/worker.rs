//! The worker of a machine, by the users' page of the protocol: reports, commands in the answers, tokens, leases, images.

use crate::site::Timeouts;
use crate::world::{World, job_of};
use hyper::Method;
use rowanmill_testing::ask;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The time after which a worker gives up a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// The least time between two reports.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// How long a task runs on a machine that fails every task.
const FAILS_AFTER: Duration = Duration::from_millis(300);
const STEP: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Pulling { ready: Instant },
    Running { since: Instant },
    Ended(&'static str),
}

/// What a machine offers.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub sku: String,
    pub yard: String,
    pub borrowed: bool,
    pub cpus: f64,
    pub memory_gb: f64,
    pub fetch_gb_per_s: f64,
}

pub struct Worker {
    pub machine: Machine,
    pub world: World,
    pub controllers: Vec<SocketAddr>,
    pub timeouts: Timeouts,
    /// Set when the cloud has deleted or taken the machine.
    pub is_gone: Arc<AtomicBool>,
    token: u64,
    shift: u64,
    tally: u64,
    controller: usize,
    renewed: Instant,
    tasks: BTreeMap<(String, u64), Stage>,
    images: BTreeSet<String>,
}

impl Worker {
    pub fn new(
        machine: Machine,
        world: World,
        controllers: Vec<SocketAddr>,
        timeouts: Timeouts,
        is_gone: Arc<AtomicBool>,
    ) -> Self {
        Self {
            machine,
            world,
            controllers,
            timeouts,
            is_gone,
            token: 0,
            shift: 1,
            tally: 0,
            controller: 0,
            renewed: Instant::now(),
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
        }
    }

    /// Runs until the machine is gone.
    pub async fn run(mut self) {
        let mut last_sent = Instant::now() - MIN_PAUSE;
        let mut is_changed = true;
        let mut next = Instant::now();
        let mut number = 0_u32;
        loop {
            if self.is_gone.load(Ordering::Relaxed) {
                self.kill_all("machine gone");
                return;
            }
            is_changed |= self.advance();
            let may_send = last_sent.elapsed() >= MIN_PAUSE;
            if may_send && (is_changed || Instant::now() >= next) {
                last_sent = Instant::now();
                number += 1;
                // The interval varies by a quarter.
                let factor = [0.8, 1.0, 1.2, 0.9, 1.1][number as usize % 5];
                next = last_sent + self.timeouts.report().mul_f64(factor);
                let (changed, pause) = self.report().await;
                is_changed = changed;
                if let Some(pause) = pause {
                    next = Instant::now() + pause;
                }
            }
            tokio::time::sleep(STEP).await;
        }
    }

    /// Ends the lease and the tasks whose time has come. Returns whether something changed.
    fn advance(&mut self) -> bool {
        let now = Instant::now();
        if self.renewed.elapsed() > self.timeouts.lease() {
            self.kill_all("lease expired");
            self.tasks.clear();
            self.shift += 1;
            self.renewed = now;
            return true;
        }
        let mut is_changed = false;
        for ((sack, turn), stage) in &mut self.tasks {
            let Some(job) = self.world.job(job_of(sack)) else {
                continue;
            };
            match *stage {
                Stage::Pulling { ready } if now >= ready => {
                    *stage = Stage::Running { since: now };
                    self.images.insert(job.spec["mould"].to_string());
                    self.world.starts(sack, *turn, &self.machine.name);
                    is_changed = true;
                }
                Stage::Running { since }
                    if now >= since + FAILS_AFTER && self.world.is_sick(&self.machine.name) =>
                {
                    *stage = Stage::Ended("error");
                    self.world.leaves(sack, *turn, &self.machine.name, "error");
                    is_changed = true;
                }
                Stage::Running { since } if now >= since + job.run => {
                    *stage = Stage::Ended("done");
                    self.world.leaves(sack, *turn, &self.machine.name, "done");
                    is_changed = true;
                }
                _ => {}
            }
        }
        is_changed
    }

    fn kill_all(&mut self, why: &str) {
        for (sack, turn) in self.tasks.keys() {
            self.world.leaves(sack, *turn, &self.machine.name, why);
        }
    }

    fn body(&mut self) -> Value {
        self.tally += 1;
        let tasks = self.tasks.iter().map(|((sack, turn), stage)| match stage {
            Stage::Pulling { .. } => json!({"sack": sack, "turn": turn, "stage": "pulling"}),
            Stage::Running { .. } => json!({"sack": sack, "turn": turn, "stage": "running"}),
            Stage::Ended(cause) => {
                json!({"sack": sack, "turn": turn, "stage": "ended", "cause": cause})
            }
        });
        let tasks: Vec<Value> = tasks.collect();
        json!({"millstone": self.machine.name, "endpoint": "127.0.0.1:9", "stone": self.machine.sku,
            "yard": self.machine.yard, "borrowed": self.machine.borrowed, "shift": self.shift,
            "tally": self.tally, "warrant": self.token, "recallS": null, "sacks": tasks})
    }

    /// Sends a report and follows the answer. Returns whether something changed, and the pause before the next report
    /// if it differs from the interval.
    async fn report(&mut self) -> (bool, Option<Duration>) {
        let shift = self.shift;
        let sent = Instant::now();
        let body = self.body();
        let answer = ask(
            self.controllers[self.controller],
            Method::POST,
            "/hello",
            body,
        );
        let (status, body) = match tokio::time::timeout(REPORT_TIMEOUT, answer).await {
            Ok(answer) => answer,
            Err(_) => (0, Value::Null),
        };
        if self.is_gone.load(Ordering::Relaxed) {
            return (false, None);
        }
        match (status, body["miller"].as_str()) {
            (200, _) => (self.follow(&body, sent, shift), None),
            (421, Some(owner)) => {
                let number = owner
                    .trim_start_matches("millstone-")
                    .parse()
                    .unwrap_or(usize::MAX);
                if number < self.controllers.len() && number != self.controller {
                    self.controller = number;
                    return (false, Some(Duration::from_millis(200)));
                }
                self.next_controller();
                (false, Some(Duration::from_secs(1)))
            }
            _ => {
                self.next_controller();
                (false, Some(Duration::from_secs(1)))
            }
        }
    }

    fn next_controller(&mut self) {
        self.controller = (self.controller + 1) % self.controllers.len();
    }

    fn follow(&mut self, answer: &Value, sent: Instant, shift: u64) -> bool {
        let Some(token) = answer["warrant"].as_u64() else {
            return false;
        };
        if token < self.token || shift != self.shift {
            return false;
        }
        let mut is_changed = token != self.token;
        self.token = token;
        self.renewed = sent;
        for order in answer["orders"].as_array().into_iter().flatten() {
            let sack = order["sack"].as_str().unwrap().to_owned();
            let turn = order["turn"].as_u64().unwrap();
            let verb = order["verb"].as_str().unwrap();
            let name = &self.machine.name;
            self.world.record.line(format!(
                "machine {name}: from millstone-{}: {order}",
                self.controller
            ));
            match verb {
                "run" => is_changed |= self.run_task(sack, turn),
                "stop" => is_changed |= self.stop_task(sack, turn),
                _ => {
                    let key = (sack, turn);
                    if matches!(self.tasks.get(&key), Some(Stage::Ended(_))) {
                        self.tasks.remove(&key);
                        is_changed = true;
                    }
                }
            }
        }
        is_changed
    }

    fn run_task(&mut self, sack: String, turn: u64) -> bool {
        if self.tasks.contains_key(&(sack.clone(), turn)) {
            return false;
        }
        let stage = self.first_stage(&sack);
        self.tasks.insert((sack, turn), stage);
        true
    }

    fn first_stage(&self, sack: &str) -> Stage {
        let Some(job) = self.world.job(job_of(sack)) else {
            return Stage::Ended("unknown");
        };
        let is_present = |(_, stage): &(&(String, u64), &Stage)| !matches!(stage, Stage::Ended(_));
        let (mut cpus, mut memory_gb) = (job.cpus(), job.memory_gb());
        for ((other, _), _) in self.tasks.iter().filter(is_present) {
            if other == sack {
                return Stage::Ended("busy");
            }
            if let Some(job) = self.world.job(job_of(other)) {
                cpus += job.cpus();
                memory_gb += job.memory_gb();
            }
        }
        if cpus > self.machine.cpus + 1e-9 || memory_gb > self.machine.memory_gb + 1e-9 {
            return Stage::Ended("no_room");
        }
        let fetch_s = if self.images.contains(&job.spec["mould"].to_string()) {
            0.0
        } else {
            job.spec["pullGb"].as_f64().unwrap() / self.machine.fetch_gb_per_s
        };
        Stage::Pulling {
            ready: Instant::now() + Duration::from_secs_f64(fetch_s),
        }
    }

    fn stop_task(&mut self, sack: String, turn: u64) -> bool {
        let Some(stage) = self.tasks.get_mut(&(sack.clone(), turn)) else {
            return false;
        };
        if matches!(stage, Stage::Ended(_)) {
            return false;
        }
        *stage = Stage::Ended("stopped");
        self.world
            .leaves(&sack, turn, &self.machine.name, "stopped");
        true
    }
}
