//! A cloud whose machines run workers: they report, heed tokens and leases, and run each task for
//! a set time. Whatever breaks a rule is noted.

use super::{Asked, Reply, ask};
use hyper::Method;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
pub struct World {
    machines: BTreeMap<String, tokio::task::AbortHandle>,
    hires: HashMap<String, Vec<String>>,
    /// Which machine each running task is on.
    on: HashMap<String, String>,
    /// Tasks that completed.
    done: HashSet<String>,
    /// By job, the tasks that must be done before any of its own starts.
    pub needs: HashMap<String, Vec<String>>,
    pub starts: usize,
    pub most_at_once: usize,
    pub broken: Vec<String>,
}

impl World {
    pub fn nothing_runs(&self) -> bool {
        self.on.is_empty()
    }
}

#[derive(Clone)]
pub struct Cloud {
    pub world: Arc<Mutex<World>>,
    controllers: Vec<SocketAddr>,
    task_takes: Duration,
}

impl Cloud {
    pub fn new(controllers: Vec<SocketAddr>, task_takes: Duration) -> Self {
        Self {
            world: Arc::default(),
            controllers,
            task_takes,
        }
    }

    pub fn handler(&self) -> Arc<dyn Fn(Asked) -> Reply + Send + Sync> {
        let cloud = self.clone();
        Arc::new(move |asked| {
            let cloud = cloud.clone();
            Box::pin(async move { cloud.handle(&asked) })
        })
    }

    fn handle(&self, asked: &Asked) -> (u16, Value) {
        let mut world = self.world.lock().unwrap();
        match asked.path.as_str() {
            "/catalog" => (
                200,
                json!({"stones": [{"sku": "m4", "cpus": 4.0, "cards": 0.0, "memGb": 16.0,
                    "cacheGb": 50.0, "fetchGbPerS": 100.0, "hourly": 1.0, "marketPrice": 0.5,
                    "bootS": 1.0, "yards": ["a"]}]}),
            ),
            "/rentals" if asked.method == Method::POST => {
                let hire = asked.body["hire"].as_str().unwrap().to_owned();
                if let Some(names) = world.hires.get(&hire) {
                    return (200, json!({"millstones": names}));
                }
                let first = world.machines.len();
                let count = asked.body["howMany"].as_u64().unwrap() as usize;
                let names: Vec<String> = (first..first + count)
                    .map(|n| format!("vm-{n:06}"))
                    .collect();
                for name in &names {
                    let worker = Worker::new(name.clone(), self.clone());
                    let handle = tokio::spawn(worker.run()).abort_handle();
                    world.machines.insert(name.clone(), handle);
                }
                world.hires.insert(hire, names.clone());
                (200, json!({"millstones": names}))
            }
            "/rentals/release" => {
                for name in asked.body["millstones"].as_array().unwrap() {
                    let name = name.as_str().unwrap();
                    if let Some(handle) = world.machines.get(name) {
                        handle.abort();
                    }
                    world.on.retain(|_, on| on != name);
                }
                (200, json!({}))
            }
            "/rentals" => (200, json!({"millstones": [], "more": false})),
            _ => (400, json!({})),
        }
    }
}

struct Worker {
    name: String,
    cloud: Cloud,
    token: u64,
    seq: u64,
    at: usize,
    /// Task -> attempt, since when, whether it has ended.
    tasks: BTreeMap<String, (u64, Instant, bool)>,
}

impl Worker {
    fn new(name: String, cloud: Cloud) -> Self {
        Self {
            name,
            cloud,
            token: 0,
            seq: 0,
            at: 0,
            tasks: BTreeMap::new(),
        }
    }

    async fn run(mut self) {
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            self.end_tasks();
            let states = self.tasks.iter().map(|(task, (attempt, _, ended))| {
                if *ended {
                    json!({"sack": task, "turn": attempt, "stage": "ended", "cause": "done"})
                } else {
                    json!({"sack": task, "turn": attempt, "stage": "running"})
                }
            });
            self.seq += 1;
            let report = json!({"millstone": self.name, "endpoint": "127.0.0.1:9", "stone": "m4",
                "yard": "a", "borrowed": false, "shift": 1, "tally": self.seq,
                "warrant": self.token, "recallS": null, "sacks": states.collect::<Vec<_>>()});
            let addr = self.cloud.controllers[self.at];
            match ask(addr, Method::POST, "/hello", report).await {
                (200, answer) => self.obey(&answer),
                (421, answer) if answer["miller"].is_string() => {
                    let name = answer["miller"].as_str().unwrap();
                    self.at = name.trim_start_matches("millstone-").parse().unwrap();
                }
                _ => self.at = (self.at + 1) % self.cloud.controllers.len(),
            }
        }
    }

    fn end_tasks(&mut self) {
        let takes = self.cloud.task_takes;
        let mut world = self.cloud.world.lock().unwrap();
        for (task, (_, since, ended)) in &mut self.tasks {
            if !*ended && since.elapsed() >= takes {
                *ended = true;
                world.on.remove(task);
                world.done.insert(task.clone());
            }
        }
    }

    fn obey(&mut self, answer: &Value) {
        let token = answer["warrant"].as_u64().unwrap();
        if token < self.token {
            return;
        }
        self.token = token;
        let mut world = self.cloud.world.lock().unwrap();
        for order in answer["orders"].as_array().unwrap() {
            let task = order["sack"].as_str().unwrap().to_owned();
            let attempt = order["turn"].as_u64().unwrap();
            match order["verb"].as_str().unwrap() {
                "run" if !self.tasks.contains_key(&task) => {
                    if let Some(other) = world.on.insert(task.clone(), self.name.clone()) {
                        let broken = format!("{task} runs on {other} and on {}", self.name);
                        world.broken.push(broken);
                    }
                    let job = task.split('/').next().unwrap();
                    let needs = world.needs.get(job).into_iter().flatten();
                    let early: Vec<_> = needs.filter(|n| !world.done.contains(*n)).collect();
                    if !early.is_empty() {
                        let broken = format!("{task} starts before {early:?}");
                        world.broken.push(broken);
                    }
                    world.starts += 1;
                    world.most_at_once = world.most_at_once.max(world.on.len());
                    self.tasks.insert(task, (attempt, Instant::now(), false));
                }
                "stop" => {
                    if let Some((_, _, ended)) = self.tasks.get_mut(&task) {
                        *ended = true;
                        world.on.remove(&task);
                    }
                }
                "reap" => {
                    self.tasks.remove(&task);
                }
                _ => {}
            }
        }
    }
}
