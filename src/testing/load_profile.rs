//! One controller under the load of a whole deployment, for profiles. It runs as in production but for
//! its listeners: reports and submissions are handed to it directly, and the state service and the cloud
//! are the stand-ins. `docs/design.md` says how to start it.

use crate::api::Server;
use crate::api::limit::ConcurrencyLimit;
use crate::api::submit;
use crate::background::BackgroundTasks;
use crate::metrics::CpuAccount;
use crate::node::Node;
use crate::policy::Policy;
use crate::settings::Settings;
use http_body_util::BodyExt;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rowanmill_config::ConfigFile;
use rowanmill_testing::state::StateService;
use rowanmill_testing::{ReplyFuture, StubRequest, serve};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// The sizes of a deployment as far as one controller meets them.
pub(super) struct Load {
    pub name: &'static str,
    pub report_s: f64,
    pub value_kb: f64,
    pub plain: Kind,
    pub with_gpus: Kind,
    pub gang_sizes: &'static [u32],
    /// Jobs at the start, and one more each so many seconds.
    pub gangs: u32,
    pub gang_every_s: f64,
    pub arrays: u32,
    pub array_every_s: f64,
    pub largest_array: u32,
    pub array_task_s: f64,
}

pub(super) struct Kind {
    pub name: &'static str,
    pub most: usize,
    pub boot_s: f64,
}

/// The part of xanhgio-fleet-lean that its busiest controller has.
const XANHGIO: Load = Load {
    name: "xanhgio-fleet-lean",
    report_s: 5.0,
    value_kb: 8.0,
    plain: Kind {
        name: "tre-16",
        most: 450,
        boot_s: 3.0,
    },
    with_gpus: Kind {
        name: "sen-16g",
        most: 190,
        boot_s: 5.0,
    },
    gang_sizes: &[1, 2, 6],
    gangs: 171,
    gang_every_s: 1.0,
    arrays: 20,
    array_every_s: 3.0,
    largest_array: 300,
    array_task_s: 30.0,
};

/// The part of cedarloop-previews-lean that its busiest controller has.
const CEDARLOOP: Load = Load {
    name: "cedarloop-previews-lean",
    report_s: 1.5,
    value_kb: 32.0,
    plain: Kind {
        name: "fir-16",
        most: 180,
        boot_s: 3.0,
    },
    with_gpus: Kind {
        name: "alder-12g",
        most: 60,
        boot_s: 5.0,
    },
    gang_sizes: &[1, 3, 6, 12, 16],
    gangs: 22,
    gang_every_s: 7.0,
    arrays: 20,
    array_every_s: 4.0,
    largest_array: 400,
    array_task_s: 20.0,
};

const LASTS: Duration = Duration::from_secs(60);
const GANG_TASK_S: f64 = 60.0;

/// What a machine runs, as its worker would report it.
pub(super) struct Machine {
    pub kind: &'static str,
    pub token: u64,
    pub seq: u64,
    pub reported: Instant,
    /// Attempt and end of each task.
    pub tasks: BTreeMap<String, (u64, Instant)>,
}

/// The machines that were rented and are not released, by name.
pub(super) type Fleet = Arc<Mutex<BTreeMap<String, Machine>>>;

#[derive(Clone)]
pub(super) struct Cloud {
    pub load: &'static Load,
    pub fleet: Fleet,
    pub hires: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    pub names: Arc<Mutex<u32>>,
}

impl Cloud {
    fn kinds(&self) -> [&'static Kind; 2] {
        [&self.load.plain, &self.load.with_gpus]
    }

    pub fn handle(&self, asked: &StubRequest) -> (u16, Value) {
        match asked.path.as_str() {
            "/catalog" => (200, self.catalog()),
            "/rentals" if asked.body["hire"].is_string() => self.rent(&asked.body),
            "/rentals/release" => {
                let mut fleet = self.fleet.lock().unwrap();
                for name in asked.body["millstones"].as_array().unwrap() {
                    fleet.remove(name.as_str().unwrap());
                }
                (200, json!({}))
            }
            _ => (200, json!({"millstones": [], "more": false})),
        }
    }

    fn catalog(&self) -> Value {
        let stone = |kind: &Kind, gpus: f64, price: f64| {
            json!({"sku": kind.name, "cpus": 16.0, "cards": gpus, "memGb": 64.0 * (1.0 + gpus / 2.0),
                "cacheGb": 60.0, "fetchGbPerS": 0.3, "hourly": price, "marketPrice": price / 3.0,
                "bootS": kind.boot_s, "yards": ["a", "b"]})
        };
        let [plain, with_gpus] = self.kinds();
        json!({"stones": [stone(plain, 0.0, 0.96), stone(with_gpus, 2.0, 4.61)]})
    }

    fn rent(&self, body: &Value) -> (u16, Value) {
        let hire = body["hire"].as_str().unwrap().to_owned();
        let mut hires = self.hires.lock().unwrap();
        if let Some(names) = hires.get(&hire) {
            return (200, json!({"millstones": names}));
        }
        let kinds = self.kinds();
        let kind = kinds.into_iter().find(|k| body["stone"] == k.name).unwrap();
        let mut fleet = self.fleet.lock().unwrap();
        let there = fleet.values().filter(|m| m.kind == kind.name).count();
        let count = (body["howMany"].as_u64().unwrap() as usize).min(kind.most - there);
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut numbers = self.names.lock().unwrap();
        let mut names = Vec::new();
        for _ in 0..count {
            *numbers += 1;
            let name = format!("vm-{:06}", *numbers);
            let boots = Duration::from_secs_f64(kind.boot_s);
            let machine = Machine {
                kind: kind.name,
                token: 0,
                seq: 0,
                reported: Instant::now() + boots,
                tasks: BTreeMap::new(),
            };
            fleet.insert(name.clone(), machine);
            names.push(name);
        }
        hires.insert(hire, names.clone());
        (200, json!({"millstones": names}))
    }
}

impl Machine {
    pub fn report(&mut self, name: &str, now: Instant) -> Value {
        self.seq += 1;
        self.reported = now;
        let tasks = self
            .tasks
            .iter()
            .map(|(task, (attempt, ends))| match *ends <= now {
                true => json!({"sack": task, "turn": attempt, "stage": "ended", "cause": "done"}),
                false => json!({"sack": task, "turn": attempt, "stage": "running"}),
            });
        json!({"millstone": name, "endpoint": "", "stone": self.kind, "yard": "a", "borrowed": false,
            "shift": 1, "tally": self.seq, "warrant": self.token, "recallS": null,
            "sacks": tasks.collect::<Vec<_>>()})
    }

    pub fn obey(&mut self, answer: &Value, task_s: &dyn Fn(&str) -> f64, now: Instant) {
        self.token = answer["warrant"].as_u64().unwrap();
        for order in answer["orders"].as_array().unwrap() {
            let task = order["sack"].as_str().unwrap();
            let attempt = order["turn"].as_u64().unwrap();
            match order["verb"].as_str().unwrap() {
                "run" => {
                    let ends = now + Duration::from_secs_f64(task_s(task));
                    self.tasks.entry(task.to_owned()).or_insert((attempt, ends));
                }
                "stop" => {
                    if let Some(running) = self.tasks.get_mut(task) {
                        running.1 = now;
                    }
                }
                _ => {
                    self.tasks.remove(task);
                }
            }
        }
    }
}

fn settings(load: &Load, state: SocketAddr, cloud: SocketAddr) -> Settings {
    let settings = json!({"member": "millstone-0", "site": "a", "api_addr": "127.0.0.1:1",
        "mesh_addr": "127.0.0.1:2", "known": [],
        "endpoints": {"cloud": cloud, "state": state},
        "params": {"size": 1, "zones": ["a", "b"], "teams": [{"name": "t"}],
            "objectives": [{"class": "gang", "kind": "wait", "within_s": 15.0, "share": 0.8}],
            "workers": {"report_s": load.report_s, "lease_s": 24.0, "gang_wait_s": 35.0,
                "gang_peer_s": 8.0, "cancel_s": 49.0},
            "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": load.value_kb, "txn_ops": 24},
            "cloud": {"rps": 8.0, "list_lag_s": 8.0},
            "limits": {"core_share": 1.0, "mem_mb": 85.0, "sockets": 3000}, "skew_ms": 25.0}});
    Settings::parse(&settings.to_string(), "load").unwrap()
}

/// A job of either class, as its user submits it.
fn job(load: &Load, number: u32, gang: bool, rng: &mut StdRng) -> Value {
    let (shape, tasks) = match gang {
        true => {
            let sizes = load.gang_sizes;
            ("group", sizes[rng.random_range(0..sizes.len())])
        }
        false => ("array", rng.random_range(1..=load.largest_array)),
    };
    let (cpus, memory_gb) = if gang { (15.0, 51.0) } else { (1.0, 2.4) };
    let (class, seconds) = match gang {
        true => ("gang", GANG_TASK_S),
        false => ("array", load.array_task_s),
    };
    let deadline = if gang {
        Value::Null
    } else {
        json!(seconds * 4.0)
    };
    json!({"nameId": format!("job-{number:06}"), "grist": class, "crew": "t", "shape": shape,
        "urgency": "standard", "sacks": tasks, "cpus": cpus, "cards": 0.0, "memGb": memory_gb,
        "mould": format!("img-{}", rng.random_range(0..10)), "pullGb": 3.0, "stones": null,
        "yard": null, "together": gang, "spread": false, "borrowed": true,
        "grindS": seconds * rng.random_range(0.8..1.2), "bankS": 0.0, "bankWriteS": 0.0,
        "dueS": deadline})
}

pub(super) async fn body_of(answer: crate::http::HttpResponse) -> Value {
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap()
}

/// Hands the reports that are due to the controller, and lets the machines do as they are told.
async fn work(load: &'static Load, node: Arc<Node>, fleet: Fleet) {
    let task_s = |task: &str| {
        let number: u32 = task[4..10].parse().unwrap();
        if number.is_multiple_of(2) {
            GANG_TASK_S
        } else {
            load.array_task_s
        }
    };
    let every = Duration::from_secs_f64(load.report_s);
    loop {
        let now = Instant::now();
        let due = |machine: &Machine| machine.reported + every <= now;
        let reports: Vec<(String, Value)> = {
            let mut fleet = fleet.lock().unwrap();
            let due = fleet.iter_mut().filter(|(_, machine)| due(machine));
            due.map(|(name, machine)| (name.clone(), machine.report(name, now)))
                .collect()
        };
        for (name, report) in reports {
            let (node, fleet) = (node.clone(), fleet.clone());
            tokio::spawn(async move {
                let body = report.to_string();
                let answer =
                    crate::workers::service::handle_heartbeat(&node, body.as_bytes()).await;
                if answer.status() != hyper::StatusCode::OK {
                    return;
                }
                let answer = body_of(answer).await;
                if let Some(machine) = fleet.lock().unwrap().get_mut(&name) {
                    machine.obey(&answer, &task_s, Instant::now());
                }
            });
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Submits the backlog of the start and what comes later: gangs have even numbers.
async fn submit(load: &'static Load, node: Arc<Node>) {
    let server = Arc::new(Server {
        node,
        limit: ConcurrencyLimit::new(),
    });
    let mut rng = StdRng::seed_from_u64(1);
    let began = Instant::now();
    let (mut gangs, mut arrays) = (0, 0);
    loop {
        let passed = began.elapsed().as_secs_f64();
        let wanted = |first: u32, every_s: f64| first + (passed / every_s) as u32;
        let gang = gangs < wanted(load.gangs, load.gang_every_s);
        if !gang && arrays >= wanted(load.arrays, load.array_every_s) {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        }
        let number = if gang { gangs * 2 } else { arrays * 2 + 1 };
        let body = job(load, number, gang, &mut rng).to_string();
        let answer = submit::submit(&server, body.as_bytes()).await;
        if !answer.status().is_success() {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        }
        match gang {
            true => gangs += 1,
            false => arrays += 1,
        }
    }
}

/// Starts a stand-in on a thread of its own, so that it is no part of the controller's profile.
pub(super) fn serve_apart(
    handler: Arc<dyn Fn(StubRequest) -> ReplyFuture + Send + Sync>,
) -> SocketAddr {
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::Builder::new()
        .name("stand-in".into())
        .spawn(move || {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            builder.enable_all().build().unwrap().block_on(async {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                tell.send(listener.local_addr().unwrap()).unwrap();
                serve(listener, handler).await;
            });
        })
        .unwrap();
    told.recv().unwrap()
}

fn run(load: &'static Load) {
    let cloud = Cloud {
        load,
        fleet: Fleet::default(),
        hires: Arc::default(),
        names: Arc::default(),
    };
    let fleet = cloud.fleet.clone();
    let state = serve_apart(StateService::default().handler());
    let cloud = serve_apart(Arc::new(move |asked| {
        let answer = cloud.handle(&asked);
        Box::pin(async move { answer })
    }));
    let node = Node::new(
        crate::membership::schema_versions::FeatureLevel::COMPACT_PAGES,
        settings(load, state, cloud),
        Policy::default(),
    );
    let node = Arc::new(node);
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().unwrap();
    runtime.block_on(async {
        tokio::spawn(BackgroundTasks::start(&node).supervise());
        tokio::spawn(work(load, node.clone(), fleet.clone()));
        tokio::spawn(submit(load, node.clone()));
        tokio::time::sleep(LASTS).await;
    });
    let metrics = &node.core().metrics;
    println!("{}: {} machines", load.name, fleet.lock().unwrap().len());
    println!(
        "  longest cycle of the last period: {:?}",
        metrics.longest_cycle
    );
    let spent = node.processor_time.totals();
    for account in CpuAccount::ALL {
        let ms = spent[account as usize].as_secs_f64() * 1000.0;
        println!("  {account:?}: {ms:.0} ms");
    }
}

#[test]
#[ignore = "a profile of a minute"]
fn xanhgio_load() {
    run(&XANHGIO);
}

#[test]
#[ignore = "a profile of a minute"]
fn cedarloop_load() {
    run(&CEDARLOOP);
}
