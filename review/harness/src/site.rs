//! A small deployment: controllers as processes of the built program, with the state service, the cloud and the users
//! on loopback addresses.

use crate::record::Record;
use crate::worker::{Machine, Worker};
use crate::world::{Job, World};
use hyper::Method;
use rowanmill_testing::state::StateService;
use rowanmill_testing::{Handler, StubRequest, ask, free_addr, serve_on_loopback};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The times of workers in the settings.
#[derive(Clone, Copy)]
pub struct Timeouts {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

impl Timeouts {
    pub fn report(&self) -> Duration {
        Duration::from_secs_f64(self.report_s)
    }

    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }
}

/// A team and its limit in CPUs; 0 means none.
pub type Team = (&'static str, f64);

struct CloudInner {
    rentals: BTreeMap<String, Vec<String>>,
    machines: BTreeMap<String, (Machine, Instant, Instant, Arc<AtomicBool>)>,
    count: usize,
}

/// A cloud with one type of machine in two zones.
#[derive(Clone)]
pub struct Cloud {
    inner: Arc<Mutex<CloudInner>>,
    world: World,
    controllers: Vec<SocketAddr>,
    timeouts: Timeouts,
    /// The name of its type of machine.
    sku: &'static str,
    boot: Duration,
    lag: Duration,
    capacity: usize,
}

const CPUS: f64 = 16.0;
const MEMORY_GB: f64 = 64.0;
const FETCH_GB_PER_S: f64 = 0.2;

impl Cloud {
    fn handler(&self) -> Handler {
        let cloud = self.clone();
        Arc::new(move |request| {
            let cloud = cloud.clone();
            Box::pin(async move { cloud.answer(&request) })
        })
    }

    fn answer(&self, request: &StubRequest) -> (u16, Value) {
        match request.path.as_str() {
            "/catalog" => (
                200,
                json!({"stones": [{"sku": self.sku, "cpus": CPUS, "cards": 0, "memGb": MEMORY_GB,
                    "cacheGb": 70, "fetchGbPerS": FETCH_GB_PER_S, "hourly": 0.82,
                    "marketPrice": 0.38, "bootS": self.boot.as_secs_f64(),
                    "yards": ["van-east", "van-west"]}]}),
            ),
            "/rentals" if request.method == Method::POST => self.rent(&request.body),
            "/rentals/release" => self.release(&request.body),
            "/rentals" => self.list(request),
            _ => (400, json!({})),
        }
    }

    fn rent(&self, body: &Value) -> (u16, Value) {
        let mut inner = self.inner.lock().unwrap();
        let hire = body["hire"].as_str().unwrap().to_owned();
        if let Some(names) = inner.rentals.get(&hire) {
            return (200, json!({"millstones": names}));
        }
        let up = inner.machines.values();
        let up = up
            .filter(|(.., gone)| !gone.load(Ordering::Relaxed))
            .count();
        let wanted = body["howMany"].as_u64().unwrap() as usize;
        let count = wanted.min(self.capacity.saturating_sub(up));
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut names = Vec::new();
        for _ in 0..count {
            inner.count += 1;
            let name = format!("vm-{:06}", inner.count);
            let machine = Machine {
                name: name.clone(),
                sku: self.sku.to_owned(),
                yard: body["yard"].as_str().unwrap().to_owned(),
                borrowed: body["borrowed"].as_bool().unwrap(),
                cpus: CPUS,
                memory_gb: MEMORY_GB,
                fetch_gb_per_s: FETCH_GB_PER_S,
            };
            let gone = Arc::new(AtomicBool::new(false));
            let (now, up_at) = (Instant::now(), Instant::now() + self.boot.mul_f64(0.8));
            let entry = (machine.clone(), now, up_at, gone.clone());
            inner.machines.insert(name.clone(), entry);
            let (world, controllers, timeouts) =
                (self.world.clone(), self.controllers.clone(), self.timeouts);
            tokio::spawn(async move {
                tokio::time::sleep_until(up_at.into()).await;
                world.is_up(&machine.name);
                Worker::new(machine, world, controllers, timeouts, gone)
                    .run()
                    .await;
            });
            names.push(name);
        }
        self.world
            .record
            .line(format!("cloud rents {names:?} for {hire}"));
        inner.rentals.insert(hire, names.clone());
        (200, json!({"millstones": names}))
    }

    fn release(&self, body: &Value) -> (u16, Value) {
        let inner = self.inner.lock().unwrap();
        self.world
            .record
            .line(format!("cloud deletes {}", body["millstones"]));
        for name in body["millstones"].as_array().into_iter().flatten() {
            let name = name.as_str().unwrap();
            if let Some((.., gone)) = inner.machines.get(name) {
                gone.store(true, Ordering::Relaxed);
                self.world.is_gone(name);
                let on = self.world.inner.lock().unwrap().on_machine.clone();
                for (sack, places) in on {
                    for (_, turn) in places.iter().filter(|(machine, _)| machine == name) {
                        self.world.leaves(&sack, *turn, name, "machine deleted");
                    }
                }
            }
        }
        (200, json!({}))
    }

    fn list(&self, request: &StubRequest) -> (u16, Value) {
        let inner = self.inner.lock().unwrap();
        let from = request.query.get("from").map_or("", String::as_str);
        let limit = request
            .query
            .get("limit")
            .and_then(|limit| limit.parse().ok());
        let limit: usize = limit.unwrap_or(500);
        let listed = inner.machines.iter().filter(|(name, (_, since, _, gone))| {
            name.as_str() > from && since.elapsed() >= self.lag && !gone.load(Ordering::Relaxed)
        });
        let listed: Vec<Value> = listed
            .map(|(name, (machine, since, up_at, _))| {
                let stage = if Instant::now() >= *up_at + self.lag {
                    "running"
                } else {
                    "starting"
                };
                json!({"nameId": name, "endpoint": "127.0.0.1:9", "stone": machine.sku,
                    "yard": machine.yard, "borrowed": machine.borrowed, "stage": stage,
                    "ageS": (since.elapsed() - self.lag).as_secs_f64()})
            })
            .collect();
        let more = listed.len() > limit;
        let page: Vec<Value> = listed.into_iter().take(limit).collect();
        (200, json!({"millstones": page, "more": more}))
    }
}

pub struct Config {
    pub controllers: usize,
    pub teams: Vec<Team>,
    pub timeouts: Timeouts,
    /// The machines that the cloud has.
    pub capacity: usize,
    pub boot_s: f64,
    /// The name of the type of machine.
    pub sku: &'static str,
}

impl Default for Config {
    /// The numbers of `cedarloop-previews`, with machines that boot faster.
    fn default() -> Self {
        Self {
            controllers: 3,
            teams: vec![("storefront", 0.0), ("audio-eng", 0.0)],
            timeouts: Timeouts {
                report_s: 1.5,
                lease_s: 11.0,
                cancel_s: 36.0,
            },
            capacity: 8,
            boot_s: 10.0,
            sku: "fir-16",
        }
    }
}

pub struct Site {
    pub config: Config,
    pub record: Record,
    pub world: World,
    pub state: StateService,
    pub cloud: Cloud,
    pub api: Vec<SocketAddr>,
    pub mesh: Vec<SocketAddr>,
    /// For each controller, whether the state service refuses it alone.
    pub cuts: Vec<Arc<AtomicBool>>,
    /// The state service's address for each controller.
    pub state_addrs: Vec<SocketAddr>,
    /// Arguments besides those of the deploy file.
    pub arguments: Vec<String>,
    cloud_addr: SocketAddr,
    folder: PathBuf,
    processes: Vec<Option<Child>>,
}

impl Site {
    pub async fn new(config: Config) -> Self {
        let record = Record::create();
        let world = World::new(&record);
        for (team, limit) in &config.teams {
            if *limit > 0.0 {
                world
                    .inner
                    .lock()
                    .unwrap()
                    .limits
                    .insert((*team).to_owned(), *limit);
            }
        }
        let api: Vec<SocketAddr> = (0..config.controllers).map(|_| free_addr()).collect();
        let mesh = (0..config.controllers).map(|_| free_addr()).collect();
        let state = StateService::default();
        let cuts: Vec<Arc<AtomicBool>> = (0..config.controllers).map(|_| Arc::default()).collect();
        let mut state_addrs = Vec::new();
        for cut in &cuts {
            state_addrs.push(serve_on_loopback(state.handler_with_cut(cut.clone())).await);
        }
        let cloud = Cloud {
            inner: Arc::new(Mutex::new(CloudInner {
                rentals: BTreeMap::new(),
                machines: BTreeMap::new(),
                count: 0,
            })),
            world: world.clone(),
            controllers: api.clone(),
            timeouts: config.timeouts,
            sku: config.sku,
            boot: Duration::from_secs_f64(config.boot_s),
            lag: Duration::from_secs(4),
            capacity: config.capacity,
        };
        let folder = std::env::temp_dir().join(format!("rowanmill-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            cloud_addr: serve_on_loopback(cloud.handler()).await,
            processes: (0..config.controllers).map(|_| None).collect(),
            arguments: Vec::new(),
            config,
            record,
            world,
            state,
            cloud,
            api,
            mesh,
            cuts,
            state_addrs,
            folder,
        }
    }

    pub fn folder(&self) -> &std::path::Path {
        &self.folder
    }

    fn settings(&self, number: usize) -> Value {
        let site = |number: usize| ["van-east", "van-west"][number % 2];
        let known = (0..self.config.controllers).filter(|other| *other != number);
        let known: Vec<Value> = known
            .map(|other| {
                json!({"member": format!("millstone-{other}"), "site": site(other),
                    "addr": self.mesh[other]})
            })
            .collect();
        let teams = self.config.teams.iter().map(|(name, limit)| {
            json!({"name": name, "cpus": 0.0, "cpus_max": limit, "gpus": 0.0, "gpus_max": 0.0})
        });
        let teams: Vec<Value> = teams.collect();
        let times = self.config.timeouts;
        json!({"member": format!("millstone-{number}"), "site": site(number),
            "api_addr": self.api[number], "mesh_addr": self.mesh[number], "known": known,
            "endpoints": {"cloud": self.cloud_addr, "state": self.state_addrs[number]},
            "params": {"size": self.config.controllers, "zones": ["van-east", "van-west"],
                "teams": teams, "objectives": [],
                "workers": {"report_s": times.report_s, "lease_s": times.lease_s,
                    "gang_wait_s": 35.0, "gang_peer_s": 5.0, "cancel_s": times.cancel_s},
                "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 32.0, "txn_ops": 24},
                "cloud": {"rps": 8.0, "list_lag_s": 4.0},
                "limits": {"core_share": 0.12, "mem_mb": 72.0, "sockets": 1000},
                "skew_ms": 25.0}})
    }

    /// Starts a controller with the command of the deploy file.
    pub fn start(&mut self, number: usize) {
        let settings = self.folder.join(format!("settings-{number}.json"));
        std::fs::write(&settings, self.settings(number).to_string()).expect("settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{number}.txt")))
            .expect("a log file");
        let program = std::env::var("ROWANMILL").unwrap_or("target/release/rowanmill".to_owned());
        let mut command = Command::new(program);
        command
            .arg("serve")
            .args(&self.arguments)
            .arg("--config")
            .arg(settings);
        command.env(
            "LOG_LEVEL",
            std::env::var("LOG_LEVEL").unwrap_or("info".to_owned()),
        );
        match command.stderr(Stdio::from(log)).spawn() {
            Ok(process) => self.processes[number] = Some(process),
            Err(error) => {
                eprintln!("the program can't be started: {error}");
                std::process::exit(crate::COULD_NOT_RUN);
            }
        }
        self.record.line(format!("millstone-{number} started"));
    }

    pub fn kill(&mut self, number: usize) {
        if let Some(mut process) = self.processes[number].take() {
            let _ = process.kill();
            let _ = process.wait();
            self.record.line(format!("millstone-{number} killed"));
        }
    }

    pub fn signal(&self, number: usize, signal: &str) {
        if let Some(process) = &self.processes[number] {
            let _ = Command::new("kill")
                .args([signal, &process.id().to_string()])
                .status();
            self.record
                .line(format!("millstone-{number} gets {signal}"));
        }
    }

    /// Whether a controller that was started has ended by itself.
    pub fn has_ended(&mut self, number: usize) -> bool {
        let process = self.processes[number].as_mut();
        process.is_some_and(|process| !matches!(process.try_wait(), Ok(None)))
    }

    /// Starts all controllers and waits until each is healthy.
    pub async fn start_all(&mut self) {
        for number in 0..self.config.controllers {
            self.start(number);
        }
        let deadline = Instant::now() + Duration::from_secs(20);
        for number in 0..self.config.controllers {
            while ask(self.api[number], Method::GET, "/healthz", Value::Null)
                .await
                .0
                != 200
            {
                if Instant::now() > deadline {
                    self.could_not_run("the controllers did not become healthy")
                        .await;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        self.record.line("all controllers are healthy");
    }

    /// The number of the leader.
    pub fn leader(&self) -> Option<usize> {
        let leader = self.state.stored("r/leader").into_values().next()?;
        leader["member"]
            .as_str()?
            .strip_prefix("millstone-")?
            .parse()
            .ok()
    }

    pub async fn could_not_run(&mut self, why: &str) -> ! {
        self.record.line(format!("could not run: {why}"));
        eprintln!("could not run: {why}");
        self.end(crate::COULD_NOT_RUN)
    }

    /// Ends all processes and the case.
    pub fn end(&mut self, code: i32) -> ! {
        for number in 0..self.config.controllers {
            self.signal(number, "-CONT");
            self.kill(number);
        }
        if std::env::var("KEEP").is_ok() {
            eprintln!("kept {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        let verdict = ["the rule held", "the rule was broken", "could not run"][code as usize];
        self.record.line(format!("exit {code}: {verdict}"));
        std::process::exit(code)
    }

    /// Ends the case by whether a rule was broken.
    pub fn end_by_rule(&mut self, rule: &str) -> ! {
        let code = if self.world.has_broken(rule) {
            crate::RULE_BROKEN
        } else {
            crate::RULE_HELD
        };
        self.end(code)
    }

    /// A user's request to one controller; the answer is recorded.
    pub async fn request(
        &self,
        number: usize,
        method: Method,
        path: &str,
        body: Value,
    ) -> (u16, Value) {
        let answer = ask(self.api[number], method.clone(), path, body.clone()).await;
        let sent = if body.is_null() {
            String::new()
        } else {
            format!(" {body}")
        };
        self.record.line(format!(
            "user: {method} {path}{sent} at millstone-{number}: {} {}",
            answer.0, answer.1
        ));
        answer
    }

    /// Submits a job and retries until it is accepted, for 60 s at most. Returns whether it was accepted.
    pub async fn submit(&self, first: usize, spec: &Value, run: Duration) -> bool {
        let id = spec["nameId"].as_str().unwrap().to_owned();
        let job = Job {
            spec: spec.clone(),
            run,
        };
        self.world.inner.lock().unwrap().jobs.insert(id, job);
        let deadline = Instant::now() + Duration::from_secs(60);
        let mut number = first;
        while Instant::now() < deadline {
            let (status, _) = self
                .request(number, Method::POST, "/v1/jobs", spec.clone())
                .await;
            match status {
                200 | 201 => return true,
                400 | 422 => return false,
                _ => {}
            }
            number = (number + 1) % self.config.controllers;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        false
    }
}

impl Drop for Site {
    /// Ends the processes if the case ends by a panic.
    fn drop(&mut self) {
        for process in self.processes.iter_mut().flatten() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// A submission: an array of tasks of one CPU and 1 GB, without a deadline.
pub fn array(number: u32, team: &str, tasks: u32) -> Value {
    json!({"nameId": format!("job-{number:06}"), "grist": "clip-cut", "crew": team, "shape": "array",
        "urgency": "standard", "sacks": tasks, "cpus": 1.0, "cards": 0.0, "memGb": 1.0,
        "mould": "img-01", "pullGb": 0.2, "stones": null, "yard": null, "together": false,
        "spread": false, "borrowed": false, "grindS": 40.0, "bankS": 0.0, "bankWriteS": 0.0,
        "dueS": null})
}
