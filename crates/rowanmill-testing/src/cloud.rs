//! A cloud whose machines run workers: they report, heed tokens and leases, and run each task for
//! a set time. Whatever breaks a rule is noted, by what the machines themselves see.

use super::{Asked, Handler, Times, ask};
use crate::history::{Event, History, job_of};
use crate::quota::Quota;
use hyper::Method;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What the machines see, whichever controllers they belong to. Clouds may share one world: then a
/// task that runs on machines of two clouds is noted too.
#[derive(Default)]
pub struct World {
    machines: BTreeMap<String, tokio::task::AbortHandle>,
    released: HashSet<String>,
    /// Which machine each running task is on.
    on: HashMap<String, String>,
    /// Tasks that completed.
    done: HashSet<String>,
    /// By job, the tasks that must be done before any of its own starts.
    pub needs: HashMap<String, Vec<String>>,
    /// Jobs that users were told are cancelled, and when first.
    cancelled: HashMap<String, Instant>,
    /// Machines that do nothing.
    pub hung: HashSet<String>,
    /// Machines that reach no controller.
    pub mute: HashSet<String>,
    /// Machines that no answer reaches.
    pub deaf: HashSet<String>,
    /// Sessions that ended with tasks.
    pub lapses: usize,
    /// How often each task started.
    pub started: BTreeMap<String, usize>,
    /// Starts of all tasks.
    pub starts: usize,
    /// Most tasks that ran at a time.
    pub most_at_once: usize,
    /// What users were told and machines ran, for the checker.
    pub history: History,
    /// What the teams' tasks use, against their limits.
    pub quota: Quota,
    /// Rules that were broken.
    pub broken: Vec<String>,
}

impl World {
    /// Whether no task runs.
    pub fn nothing_runs(&self) -> bool {
        self.on.is_empty()
    }

    /// A user was told so.
    pub fn note_cancelled(&mut self, job: &str) {
        self.cancelled
            .entry(job.to_owned())
            .or_insert_with(Instant::now);
    }

    /// How many tasks of a job run.
    pub fn tasks_of(&self, job: &str) -> usize {
        self.on.keys().filter(|task| job_of(task) == job).count()
    }

    /// The machines that are there.
    pub fn machines(&self) -> HashSet<String> {
        let there = self.machines.keys().filter(|m| !self.released.contains(*m));
        there.cloned().collect()
    }

    /// The machines that run tasks of a job.
    pub fn machines_of(&self, job: &str) -> HashSet<String> {
        let on = self.on.iter().filter(|(task, _)| job_of(task) == job);
        on.map(|(_, machine)| machine.clone()).collect()
    }

    /// A task is on a machine no longer.
    fn leave(&mut self, task: &str, completed: bool) {
        if self.on.remove(task).is_some() {
            self.quota.leave(task);
            let task = task.to_owned();
            self.history.note(Event::Left { task, completed });
        }
    }

    fn leave_machine(&mut self, machine: &str) {
        let on = self.on.iter().filter(|(_, on)| *on == machine);
        let tasks: Vec<String> = on.map(|(task, _)| task.clone()).collect();
        for task in tasks {
            self.leave(&task, false);
        }
    }

    fn note_broken(&mut self, broken: String) {
        if !self.broken.contains(&broken) {
            self.broken.push(broken);
        }
    }

    /// Rule `ran_cancelled`.
    fn watch(&mut self, cancel: Duration) {
        let over = |task: &&String| {
            let since = self.cancelled.get(job_of(task));
            since.is_some_and(|at| at.elapsed() > cancel)
        };
        let late: Vec<String> = self.on.keys().filter(over).cloned().collect();
        for task in late {
            self.note_broken(format!("{task} runs on, too long after its cancellation"));
        }
    }
}

/// A cloud, and the workers on its machines.
#[derive(Clone)]
pub struct Cloud {
    /// What its machines see.
    pub world: Arc<Mutex<World>>,
    /// The machines of each request of its own controllers.
    hires: Arc<Mutex<HashMap<String, Vec<String>>>>,
    /// Machines that it rents out at most.
    capacity: Arc<AtomicUsize>,
    controllers: Vec<SocketAddr>,
    task_takes: Duration,
    times: Times,
}

impl Cloud {
    /// A cloud whose workers report to these controllers and run each task for so long.
    pub fn new(controllers: Vec<SocketAddr>, task_takes: Duration, times: Times) -> Self {
        Self {
            world: Arc::default(),
            hires: Arc::default(),
            capacity: Arc::new(AtomicUsize::new(usize::MAX)),
            controllers,
            task_takes,
            times,
        }
    }

    /// The same cloud, whose machines are seen along with those of others.
    pub fn in_world(mut self, world: &Arc<Mutex<World>>) -> Self {
        self.world = world.clone();
        self
    }

    /// It rents out so many machines at most from now on.
    pub fn set_capacity(&self, machines: usize) {
        self.capacity.store(machines, Ordering::Relaxed);
    }

    /// Machines that it rented out so far.
    pub fn rented(&self) -> usize {
        self.hires.lock().unwrap().values().map(Vec::len).sum()
    }

    /// Ends all its machines at once, with what runs on them.
    pub fn power_off(&self) {
        let hires = self.hires.lock().unwrap();
        let mut world = self.world.lock().unwrap();
        for name in hires.values().flatten() {
            if let Some(handle) = world.machines.get(name) {
                handle.abort();
            }
            world.released.insert(name.clone());
            world.leave_machine(name);
        }
    }

    /// Answers the cloud's requests.
    pub fn handler(&self) -> Handler {
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
                let mut hires = self.hires.lock().unwrap();
                if let Some(names) = hires.get(&hire) {
                    return (200, json!({"millstones": names}));
                }
                let first = world.machines.len();
                let rented = hires.values().flatten();
                let there = rented
                    .filter(|name| !world.released.contains(*name))
                    .count();
                let left = self.capacity.load(Ordering::Relaxed).saturating_sub(there);
                let count = asked.body["howMany"].as_u64().unwrap() as usize;
                let count = count.min(left);
                if count == 0 {
                    return (503, json!({"error": "no capacity"}));
                }
                let names: Vec<String> = (first..first + count)
                    .map(|n| format!("vm-{n:06}"))
                    .collect();
                for name in &names {
                    let worker = Worker::new(name.clone(), self.clone());
                    let handle = tokio::spawn(worker.run()).abort_handle();
                    world.machines.insert(name.clone(), handle);
                }
                hires.insert(hire, names.clone());
                (200, json!({"millstones": names}))
            }
            "/rentals/release" => {
                for name in asked.body["millstones"].as_array().unwrap() {
                    let name = name.as_str().unwrap();
                    if let Some(handle) = world.machines.get(name) {
                        handle.abort();
                    }
                    world.released.insert(name.to_owned());
                    world.leave_machine(name);
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
    session: u64,
    seq: u64,
    at: usize,
    /// When the last answered report was sent, or this session began.
    renewed: Instant,
    /// Task -> attempt, since when, whether it has ended.
    tasks: BTreeMap<String, (u64, Instant, bool)>,
}

impl Worker {
    fn new(name: String, cloud: Cloud) -> Self {
        Self {
            name,
            cloud,
            token: 0,
            session: 1,
            seq: 0,
            at: 0,
            renewed: Instant::now(),
            tasks: BTreeMap::new(),
        }
    }

    async fn run(mut self) {
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let (hung, mute) = {
                let mut world = self.cloud.world.lock().unwrap();
                world.watch(self.cloud.times.cancel());
                (
                    world.hung.contains(&self.name),
                    world.mute.contains(&self.name),
                )
            };
            if hung {
                continue;
            }
            let lease = self.cloud.times.lease();
            if self.renewed.elapsed() > lease {
                self.lapse();
            }
            self.end_tasks();
            if mute {
                continue;
            }
            let report = self.report();
            let addr = self.cloud.controllers[self.at];
            let sent = Instant::now();
            let left = lease.saturating_sub(self.renewed.elapsed());
            let answer = ask(addr, Method::POST, "/hello", report);
            let Ok(answer) = tokio::time::timeout(left, answer).await else {
                self.at = (self.at + 1) % self.cloud.controllers.len();
                continue;
            };
            if self.cloud.world.lock().unwrap().deaf.contains(&self.name) {
                continue;
            }
            match answer {
                (200, answer) => self.obey(&answer, sent),
                (421, answer) if answer["miller"].is_string() => {
                    let name = answer["miller"].as_str().unwrap();
                    self.at = name.trim_start_matches("millstone-").parse().unwrap();
                }
                _ => self.at = (self.at + 1) % self.cloud.controllers.len(),
            }
        }
    }

    fn report(&mut self) -> Value {
        let states = self.tasks.iter().map(|(task, (attempt, _, ended))| {
            if *ended {
                json!({"sack": task, "turn": attempt, "stage": "ended", "cause": "done"})
            } else {
                json!({"sack": task, "turn": attempt, "stage": "running"})
            }
        });
        self.seq += 1;
        json!({"millstone": self.name, "endpoint": "127.0.0.1:9", "stone": "m4",
            "yard": "a", "borrowed": false, "shift": self.session, "tally": self.seq,
            "warrant": self.token, "recallS": null, "sacks": states.collect::<Vec<_>>()})
    }

    /// Its lease is out: it kills and forgets every task and goes on with the next session.
    fn lapse(&mut self) {
        let mut world = self.cloud.world.lock().unwrap();
        world.lapses += usize::from(!self.tasks.is_empty());
        world.leave_machine(&self.name);
        self.tasks.clear();
        self.session += 1;
        self.renewed = Instant::now();
    }

    fn end_tasks(&mut self) {
        let takes = self.cloud.task_takes;
        let mut world = self.cloud.world.lock().unwrap();
        for (task, (_, since, ended)) in &mut self.tasks {
            if !*ended && since.elapsed() >= takes {
                *ended = true;
                world.leave(task, true);
                world.done.insert(task.clone());
            }
        }
    }

    fn obey(&mut self, answer: &Value, sent: Instant) {
        let token = answer["warrant"].as_u64().unwrap();
        if token < self.token {
            return;
        }
        self.token = token;
        self.renewed = sent;
        let mut world = self.cloud.world.lock().unwrap();
        for order in answer["orders"].as_array().unwrap() {
            let task = order["sack"].as_str().unwrap().to_owned();
            let attempt = order["turn"].as_u64().unwrap();
            match order["verb"].as_str().unwrap() {
                "run" if !self.tasks.contains_key(&task) => {
                    world.history.note(Event::Started {
                        task: task.clone(),
                        machine: self.name.clone(),
                    });
                    if let Some(other) = world.on.insert(task.clone(), self.name.clone()) {
                        let broken = format!("{task} runs on {other} and on {}", self.name);
                        world.broken.push(broken);
                    } else if let Err(over) = world.quota.start(&task) {
                        world.note_broken(over.to_string());
                    }
                    let job = job_of(&task);
                    if world.cancelled.contains_key(job) {
                        let broken = format!("{task} is started after its cancellation");
                        world.note_broken(broken);
                    }
                    let needs = world.needs.get(job).into_iter().flatten();
                    let early: Vec<_> = needs.filter(|n| !world.done.contains(*n)).collect();
                    if !early.is_empty() {
                        let broken = format!("{task} starts before {early:?}");
                        world.broken.push(broken);
                    }
                    world.starts += 1;
                    *world.started.entry(task.clone()).or_default() += 1;
                    world.most_at_once = world.most_at_once.max(world.on.len());
                    self.tasks.insert(task, (attempt, Instant::now(), false));
                }
                "stop" => {
                    if let Some((_, _, ended)) = self.tasks.get_mut(&task) {
                        *ended = true;
                        world.leave(&task, false);
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
