//! Profiles one controller under the load that a large deployment puts on its busiest controller. The controller runs
//! as in production, but without listeners: heartbeats and submissions are passed to it as function calls, and the
//! state service and the cloud are stand-ins. `docs/design.md` describes how to start a profile.

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
use rowanmill_testing::{ResponseFuture, StubRequest, serve};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// The load of one controller.
pub(super) struct Load {
    pub name: &'static str,
    pub report_s: f64,
    pub value_kb: f64,
    pub without_gpus: MachineType,
    pub with_gpus: MachineType,
    /// Numbers of tasks from which each gang's is chosen at random.
    pub gang_sizes: &'static [u32],
    /// Gangs submitted at the start.
    pub gangs: u32,
    /// Interval between further gangs.
    pub gang_interval_s: f64,
    /// Arrays submitted at the start.
    pub arrays: u32,
    /// Interval between further arrays.
    pub array_interval_s: f64,
    /// Maximum number of tasks of an array.
    pub largest_array: u32,
    pub array_task_s: f64,
}

/// A machine type that the simulated cloud rents out.
pub(super) struct MachineType {
    pub name: &'static str,
    pub max_machines: usize,
    pub boot_s: f64,
}

/// The busiest controller of a large deployment with many gangs, of at most six tasks, and a new one every second.
const XANHGIO: Load = Load {
    name: "xanhgio-fleet-lean",
    report_s: 5.0,
    value_kb: 8.0,
    without_gpus: MachineType {
        name: "tre-16",
        max_machines: 450,
        boot_s: 3.0,
    },
    with_gpus: MachineType {
        name: "sen-16g",
        max_machines: 190,
        boot_s: 5.0,
    },
    gang_sizes: &[1, 2, 6],
    gangs: 171,
    gang_interval_s: 1.0,
    arrays: 20,
    array_interval_s: 3.0,
    largest_array: 300,
    array_task_s: 30.0,
};

/// The busiest controller of a smaller deployment with frequent heartbeats, fewer but larger gangs, of at most 16
/// tasks, and larger arrays.
const CEDARLOOP: Load = Load {
    name: "cedarloop-previews-lean",
    report_s: 1.5,
    value_kb: 32.0,
    without_gpus: MachineType {
        name: "fir-16",
        max_machines: 180,
        boot_s: 3.0,
    },
    with_gpus: MachineType {
        name: "alder-12g",
        max_machines: 60,
        boot_s: 5.0,
    },
    gang_sizes: &[1, 3, 6, 12, 16],
    gangs: 22,
    gang_interval_s: 7.0,
    arrays: 20,
    array_interval_s: 4.0,
    largest_array: 400,
    array_task_s: 20.0,
};

/// How long a profile runs.
const PROFILE_DURATION: Duration = Duration::from_secs(60);
const GANG_TASK_S: f64 = 60.0;

/// A simulated machine with its worker's state.
pub(super) struct Machine {
    pub machine_type: &'static str,
    pub fencing_token: u64,
    /// The number of its last heartbeat.
    pub sequence: u64,
    /// When it sent its last heartbeat. Before the first one, the end of its boot.
    pub reported: Instant,
    /// Attempt and end time of each task that has been started and not reaped, by the task's id.
    pub tasks: BTreeMap<String, (u64, Instant)>,
}

/// The machines that are rented and not released, by name.
pub(super) type Fleet = Arc<Mutex<BTreeMap<String, Machine>>>;

/// A simulated cloud. It keeps the state of its machines' workers, but does not run the workers.
#[derive(Clone)]
pub(super) struct Cloud {
    pub load: &'static Load,
    pub fleet: Fleet,
    /// The machines of each rental request, by the request's id.
    pub rentals: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    /// The number in the last machine name that was given.
    pub last_number: Arc<Mutex<u32>>,
}

impl Cloud {
    fn machine_types(&self) -> [&'static MachineType; 2] {
        [&self.load.without_gpus, &self.load.with_gpus]
    }

    pub fn handle(&self, request: &StubRequest) -> (u16, Value) {
        match request.path.as_str() {
            "/catalog" => (200, self.catalog()),
            "/rentals" if request.body["hire"].is_string() => self.rent(&request.body),
            "/rentals/release" => {
                let mut fleet = self.fleet.lock().unwrap();
                for name in request.body["millstones"].as_array().unwrap() {
                    fleet.remove(name.as_str().unwrap());
                }
                (200, json!({}))
            }
            _ => (200, json!({"millstones": [], "more": false})),
        }
    }

    fn catalog(&self) -> Value {
        let entry = |machine_type: &MachineType, gpus: f64, price: f64| {
            json!({"sku": machine_type.name, "cpus": 16.0, "cards": gpus, "memGb": 64.0 * (1.0 + gpus / 2.0),
                "cacheGb": 60.0, "fetchGbPerS": 0.3, "hourly": price, "marketPrice": price / 3.0,
                "bootS": machine_type.boot_s, "yards": ["a", "b"]})
        };
        let [without_gpus, with_gpus] = self.machine_types();
        json!({"stones": [entry(without_gpus, 0.0, 0.96), entry(with_gpus, 2.0, 4.61)]})
    }

    fn rent(&self, body: &Value) -> (u16, Value) {
        let id = body["hire"].as_str().unwrap().to_owned();
        let mut rentals = self.rentals.lock().unwrap();
        if let Some(names) = rentals.get(&id) {
            return (200, json!({"millstones": names}));
        }
        let machine_types = self.machine_types();
        let machine_type = machine_types
            .into_iter()
            .find(|t| body["stone"] == t.name)
            .unwrap();
        let mut fleet = self.fleet.lock().unwrap();
        let rented = fleet
            .values()
            .filter(|m| m.machine_type == machine_type.name)
            .count();
        let count =
            (body["howMany"].as_u64().unwrap() as usize).min(machine_type.max_machines - rented);
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut last_number = self.last_number.lock().unwrap();
        let mut names = Vec::new();
        for _ in 0..count {
            *last_number += 1;
            let name = format!("vm-{:06}", *last_number);
            let boot_duration = Duration::from_secs_f64(machine_type.boot_s);
            let machine = Machine {
                machine_type: machine_type.name,
                fencing_token: 0,
                sequence: 0,
                reported: Instant::now() + boot_duration,
                tasks: BTreeMap::new(),
            };
            fleet.insert(name.clone(), machine);
            names.push(name);
        }
        rentals.insert(id, names.clone());
        (200, json!({"millstones": names}))
    }
}

impl Machine {
    /// The machine's next heartbeat.
    pub fn heartbeat(&mut self, name: &str, now: Instant) -> Value {
        self.sequence += 1;
        self.reported = now;
        let tasks = self
            .tasks
            .iter()
            .map(|(task, (attempt, ends))| match *ends <= now {
                true => json!({"sack": task, "turn": attempt, "stage": "ended", "cause": "done"}),
                false => json!({"sack": task, "turn": attempt, "stage": "running"}),
            });
        json!({"millstone": name, "endpoint": "", "stone": self.machine_type, "yard": "a", "borrowed": false,
            "shift": 1, "tally": self.sequence, "warrant": self.fencing_token, "recallS": null,
            "sacks": tasks.collect::<Vec<_>>()})
    }

    /// Takes over the fencing token of an answer and carries out its commands. `task_s` returns the duration of a task
    /// in seconds, by its id.
    pub fn apply_commands(&mut self, answer: &Value, task_s: &dyn Fn(&str) -> f64, now: Instant) {
        self.fencing_token = answer["warrant"].as_u64().unwrap();
        for command in answer["orders"].as_array().unwrap() {
            let task = command["sack"].as_str().unwrap();
            let attempt = command["turn"].as_u64().unwrap();
            match command["verb"].as_str().unwrap() {
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

/// The body of a submission, of a gang or of an array of tasks.
fn job(load: &Load, number: u32, is_gang: bool, rng: &mut StdRng) -> Value {
    let (shape, tasks) = match is_gang {
        true => {
            let sizes = load.gang_sizes;
            ("group", sizes[rng.random_range(0..sizes.len())])
        }
        false => ("array", rng.random_range(1..=load.largest_array)),
    };
    let (cpus, memory_gb) = if is_gang { (15.0, 51.0) } else { (1.0, 2.4) };
    let (class, seconds) = match is_gang {
        true => ("gang", GANG_TASK_S),
        false => ("array", load.array_task_s),
    };
    let deadline = if is_gang {
        Value::Null
    } else {
        json!(seconds * 4.0)
    };
    json!({"nameId": format!("job-{number:06}"), "grist": class, "crew": "t", "shape": shape,
        "urgency": "standard", "sacks": tasks, "cpus": cpus, "cards": 0.0, "memGb": memory_gb,
        "mould": format!("img-{}", rng.random_range(0..10)), "pullGb": 3.0, "stones": null,
        "yard": null, "together": is_gang, "spread": false, "borrowed": true,
        "grindS": seconds * rng.random_range(0.8..1.2), "bankS": 0.0, "bankWriteS": 0.0,
        "dueS": deadline})
}

pub(super) async fn body_of(response: crate::http::HttpResponse) -> Value {
    let body = response.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap()
}

/// Passes each heartbeat that is due to the controller, and the commands in its answer to the machine.
async fn run_workers(load: &'static Load, node: Arc<Node>, fleet: Fleet) {
    let task_s = |task: &str| {
        let number: u32 = task[4..10].parse().unwrap();
        // Gangs have even numbers.
        if number.is_multiple_of(2) {
            GANG_TASK_S
        } else {
            load.array_task_s
        }
    };
    let heartbeat_interval = Duration::from_secs_f64(load.report_s);
    loop {
        let now = Instant::now();
        let due = |machine: &Machine| machine.reported + heartbeat_interval <= now;
        let heartbeats: Vec<(String, Value)> = {
            let mut fleet = fleet.lock().unwrap();
            let due = fleet.iter_mut().filter(|(_, machine)| due(machine));
            due.map(|(name, machine)| (name.clone(), machine.heartbeat(name, now)))
                .collect()
        };
        for (name, heartbeat) in heartbeats {
            let (node, fleet) = (node.clone(), fleet.clone());
            tokio::spawn(async move {
                let body = heartbeat.to_string();
                let answer =
                    crate::workers::service::handle_heartbeat(&node, body.as_bytes()).await;
                if answer.status() != hyper::StatusCode::OK {
                    return;
                }
                let answer = body_of(answer).await;
                if let Some(machine) = fleet.lock().unwrap().get_mut(&name) {
                    machine.apply_commands(&answer, &task_s, Instant::now());
                }
            });
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Submits the jobs that are due at the start, and then further jobs at their intervals. Gangs get even numbers, arrays
/// odd ones.
async fn submit(load: &'static Load, node: Arc<Node>) {
    let server = Arc::new(Server {
        node,
        limit: ConcurrencyLimit::new(),
    });
    let mut rng = StdRng::seed_from_u64(1);
    let started = Instant::now();
    let (mut gangs, mut arrays) = (0, 0);
    loop {
        let elapsed_s = started.elapsed().as_secs_f64();
        let due = |first: u32, interval_s: f64| first + (elapsed_s / interval_s) as u32;
        let is_gang = gangs < due(load.gangs, load.gang_interval_s);
        if !is_gang && arrays >= due(load.arrays, load.array_interval_s) {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        }
        let number = if is_gang { gangs * 2 } else { arrays * 2 + 1 };
        let body = job(load, number, is_gang, &mut rng).to_string();
        let answer = submit::submit(&server, body.as_bytes()).await;
        if !answer.status().is_success() {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        }
        match is_gang {
            true => gangs += 1,
            false => arrays += 1,
        }
    }
}

/// Serves a stand-in on a thread of its own, so that a profile shows its work apart from the controller's.
pub(super) fn serve_on_own_thread(
    handler: Arc<dyn Fn(StubRequest) -> ResponseFuture + Send + Sync>,
) -> SocketAddr {
    let (addr_sender, addr_receiver) = std::sync::mpsc::channel();
    std::thread::Builder::new()
        .name("stand-in".into())
        .spawn(move || {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            builder.enable_all().build().unwrap().block_on(async {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                addr_sender.send(listener.local_addr().unwrap()).unwrap();
                serve(listener, handler).await;
            });
        })
        .unwrap();
    addr_receiver.recv().unwrap()
}

fn run(load: &'static Load) {
    let cloud = Cloud {
        load,
        fleet: Fleet::default(),
        rentals: Arc::default(),
        last_number: Arc::default(),
    };
    let fleet = cloud.fleet.clone();
    let state = serve_on_own_thread(StateService::default().handler());
    let cloud = serve_on_own_thread(Arc::new(move |request| {
        let answer = cloud.handle(&request);
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
        tokio::spawn(run_workers(load, node.clone(), fleet.clone()));
        tokio::spawn(submit(load, node.clone()));
        tokio::time::sleep(PROFILE_DURATION).await;
    });
    let metrics = &node.core().metrics;
    println!("{}: {} machines", load.name, fleet.lock().unwrap().len());
    println!(
        "  longest scheduling cycle since the counters were last logged: {:?}",
        metrics.longest_cycle
    );
    let processor_time = node.processor_time.totals();
    for account in CpuAccount::ALL {
        let ms = processor_time[account as usize].as_secs_f64() * 1000.0;
        println!("  {account:?}: {ms:.0} ms");
    }
}

#[test]
#[ignore = "runs for a minute, for profiles"]
fn xanhgio_load() {
    run(&XANHGIO);
}

#[test]
#[ignore = "runs for a minute, for profiles"]
fn cedarloop_load() {
    run(&CEDARLOOP);
}
