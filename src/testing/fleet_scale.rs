//! A fleet of 4,000 machines through boot, full load, a change of leader and release: no fixed limit
//! may stand in its way. Two controllers run as in production but for their listeners; the machines are
//! entries in a table whose reports are handed to the controllers directly.

use super::load_profile::{Cloud, Fleet, Kind, Load, body_of, serve_apart};
use crate::api::Server;
use crate::api::limit::ConcurrencyLimit;
use crate::api::submit;
use crate::background::BackgroundTasks;
use crate::membership::{leader_revision, schema_versions};
use crate::metrics::memory;
use crate::node::Node;
use crate::policy::Policy;
use crate::settings::Settings;
use hyper::StatusCode;
use rowanmill_config::ConfigFile;
use rowanmill_testing::state::{StateLimits, StateService};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MACHINES: usize = 4_000;
const JOBS: usize = 8;
/// Two tasks fill a machine.
const TASKS_OF_A_JOB: usize = MACHINES * 2 / JOBS;
const VALUE_BYTES: usize = 8 << 10;
const CHANGES: usize = 24;
/// Puts by the controller that takes over, records all ends and gives the fleet back: records are of
/// rentals and pages, so these are fewer than one a machine. With a key a machine they would be three.
const MOST_PUTS: u64 = MACHINES as u64;
/// Of the whole test process, in which other tests may run.
const MOST_ALLOCATED: usize = 400 << 20;

const LOAD: Load = Load {
    name: "4,000 machines",
    report_s: 3.0,
    value_kb: 8.0,
    plain: Kind {
        name: "plain",
        most: MACHINES,
        boot_s: 1.0,
    },
    with_gpus: Kind {
        name: "with-gpus",
        most: 0,
        boot_s: 1.0,
    },
    gang_sizes: &[],
    gangs: 0,
    gang_every_s: 0.0,
    arrays: 0,
    array_every_s: 0.0,
    largest_array: 0,
    array_task_s: 0.0,
};

fn settings(number: usize, state: SocketAddr, cloud: SocketAddr) -> Settings {
    let member = |n: usize| format!("millstone-{n}");
    let other = 1 - number;
    let settings = json!({"member": member(number), "site": "a", "api_addr": "127.0.0.1:1",
        "mesh_addr": "127.0.0.1:2",
        "known": [{"member": member(other), "site": "a", "addr": "127.0.0.1:3"}],
        "endpoints": {"cloud": cloud, "state": state},
        "params": {"size": 2, "zones": ["a", "b"], "teams": [{"name": "t"}],
            "workers": {"report_s": LOAD.report_s, "lease_s": 40.0, "gang_wait_s": 35.0,
                "gang_peer_s": 8.0, "cancel_s": 80.0},
            "state": {"rps": 1000.0, "write_rps": 400.0, "value_kb": LOAD.value_kb,
                "txn_ops": CHANGES},
            "cloud": {"rps": 100.0, "list_lag_s": 8.0},
            "limits": {"core_share": 1.0, "mem_mb": 100_000.0, "sockets": 9000}, "skew_ms": 25.0}});
    Settings::parse(&settings.to_string(), "scale").unwrap()
}

/// A controller on a runtime of its own; ending it stops all its duties at once.
struct Controller {
    node: Arc<Node>,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Controller {
    fn start(number: usize, state: SocketAddr, cloud: SocketAddr) -> Self {
        let policy = Policy::parse("period = 1\nhold = 15\n").unwrap();
        let settings = settings(number, state, cloud);
        let node = Arc::new(Node::new(
            schema_versions::FeatureLevel::COMPACT_PAGES,
            settings,
            policy,
        ));
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().unwrap();
        let started = node.clone();
        runtime.spawn(async move { BackgroundTasks::start(&started).supervise().await });
        Self {
            node,
            runtime: Some(runtime),
        }
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// The machines, and how many reports were answered.
struct Workers {
    fleet: Fleet,
    nodes: Mutex<Vec<Option<Arc<Node>>>>,
    tasks_end: AtomicBool,
    answered: AtomicU64,
}

impl Workers {
    fn node(&self, at: usize) -> Option<Arc<Node>> {
        self.nodes.lock().unwrap()[at].clone()
    }

    /// Reports to the controllers in turn until one answers; returns which.
    async fn report(&self, name: &str, report: Value, first: usize) -> Option<(usize, Value)> {
        let body = report.to_string();
        for at in [first, 1 - first] {
            let Some(node) = self.node(at) else {
                continue;
            };
            let answer = crate::workers::service::handle_heartbeat(&node, body.as_bytes()).await;
            if answer.status() == StatusCode::OK {
                return Some((at, body_of(answer).await));
            }
        }
        tracing::debug!(name, "no controller answered");
        None
    }

    fn due(&self, now: Instant) -> Vec<(String, Value)> {
        let every = Duration::from_secs_f64(LOAD.report_s);
        let mut fleet = self.fleet.lock().unwrap();
        let due = fleet.iter_mut().filter(|(_, m)| m.reported + every <= now);
        due.map(|(name, machine)| (name.clone(), machine.report(name, now)))
            .collect()
    }

    fn task_s(&self) -> f64 {
        match self.tasks_end.load(Ordering::Relaxed) {
            true => 0.0,
            false => 100_000.0,
        }
    }

    async fn run(self: Arc<Self>) {
        let at = Arc::new(Mutex::new(std::collections::HashMap::<String, usize>::new()));
        loop {
            for (name, report) in self.due(Instant::now()) {
                let (workers, at) = (self.clone(), at.clone());
                tokio::spawn(async move {
                    let first = at.lock().unwrap().get(&name).copied().unwrap_or(0);
                    let answer = workers.report(&name, report, first).await;
                    let Some((served, answer)) = answer else {
                        return;
                    };
                    workers.answered.fetch_add(1, Ordering::Relaxed);
                    at.lock().unwrap().insert(name.clone(), served);
                    let task_s = |_: &str| workers.task_s();
                    if let Some(machine) = workers.fleet.lock().unwrap().get_mut(&name) {
                        machine.obey(&answer, &task_s, Instant::now());
                    }
                });
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Tasks that run on machines.
    fn running(&self) -> usize {
        let now = Instant::now();
        let fleet = self.fleet.lock().unwrap();
        let tasks = fleet.values().flat_map(|m| m.tasks.values());
        tasks.filter(|(_, ends)| *ends > now).count()
    }

    fn end_tasks(&self) {
        self.tasks_end.store(true, Ordering::Relaxed);
        let now = Instant::now();
        for machine in self.fleet.lock().unwrap().values_mut() {
            for (_, ends) in machine.tasks.values_mut() {
                *ends = now;
            }
        }
    }

    fn machines(&self) -> usize {
        self.fleet.lock().unwrap().len()
    }
}

fn job(number: usize) -> Value {
    json!({"nameId": format!("job-{number:06}"), "grist": "c", "crew": "t", "shape": "array",
        "urgency": "standard", "sacks": TASKS_OF_A_JOB, "cpus": 8.0, "cards": 0.0, "memGb": 1.0,
        "mould": "i", "pullGb": 0.1, "stones": null, "yard": null, "together": false,
        "spread": false, "borrowed": false, "grindS": 20.0, "bankS": 0.0, "bankWriteS": 0.0,
        "dueS": 25.0})
}

async fn submit_all(node: Arc<Node>) {
    let limit = ConcurrencyLimit::new();
    let server = Server { node, limit };
    for number in 0..JOBS {
        let body = job(number).to_string();
        while !submit::submit(&server, body.as_bytes())
            .await
            .status()
            .is_success()
        {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Waits until something holds, and prints how long that took.
async fn until(what: &str, within: Duration, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < within, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("{what}: {:.1} s", began.elapsed().as_secs_f64());
}

fn largest_value(state: &StateService) -> usize {
    let stored = state.stored("").into_values();
    stored.map(|v| v.to_string().len()).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_of_4000_boots_fills_changes_its_leader_and_goes_back() {
    let state = StateService::default();
    state.set_limits(StateLimits {
        value_bytes: VALUE_BYTES,
        operations: CHANGES,
        changes_per_s: 400.0,
    });
    let cloud = Cloud {
        load: &LOAD,
        fleet: Fleet::default(),
        hires: Arc::default(),
        names: Arc::default(),
    };
    let fleet = cloud.fleet.clone();
    let state_addr = serve_apart(state.handler());
    let cloud_addr = serve_apart(Arc::new(move |asked| {
        let answer = cloud.handle(&asked);
        Box::pin(async move { answer })
    }));
    let first = Controller::start(0, state_addr, cloud_addr);
    let leads = |node: &Node| leader_revision(node).is_some();
    let limit = Duration::from_secs(90);
    until("the first controller leads", limit, || leads(&first.node)).await;
    let second = Controller::start(1, state_addr, cloud_addr);
    let workers = Arc::new(Workers {
        fleet,
        nodes: Mutex::new(vec![Some(first.node.clone()), Some(second.node.clone())]),
        tasks_end: AtomicBool::new(false),
        answered: AtomicU64::new(0),
    });
    tokio::spawn(workers.clone().run());

    submit_all(first.node.clone()).await;
    let all = || workers.machines() == MACHINES;
    until("4,000 machines rented", limit, all).await;
    let full = || workers.running() == MACHINES * 2;
    until("every machine full", limit, full).await;

    workers.nodes.lock().unwrap()[0] = None;
    drop(first);
    until("the second controller leads", limit, || leads(&second.node)).await;
    let owns_all = || {
        let core = second.node.core();
        let machines = core.replica.fleet.machines.values();
        let owned = machines.filter(|m| m.owner == second.node.identity).count();
        owned == MACHINES
    };
    until("all machines are the second's", limit, owns_all).await;
    let confirmed = || {
        let core = second.node.core();
        core.workers
            .agents
            .values()
            .filter(|s| s.ownership_acknowledged)
            .count()
            == MACHINES
    };
    until("all machines heard under the new token", limit, confirmed).await;
    assert_eq!(workers.running(), MACHINES * 2, "none lost its tasks");
    println!("largest value at full load: {}", largest_value(&state));
    let allocated = memory::allocated();
    println!("allocated at full load: {} MB", allocated >> 20);
    assert!(allocated < MOST_ALLOCATED, "{allocated} bytes allocated");

    workers.end_tasks();
    let ended = || state.stored("e/").len() == JOBS;
    until("all jobs done", limit, ended).await;
    until("all machines returned", limit, || workers.machines() == 0).await;

    let refusals = state.refusals();
    let refused = (refusals.too_large, refusals.too_many_operations);
    assert_eq!(refused, (0, 0), "records fit the limits");
    assert!(largest_value(&state) <= VALUE_BYTES);
    let reports = workers.answered.load(Ordering::Relaxed);
    let puts = second.node.state.counters.writes.load(Ordering::Relaxed);
    println!("reports answered: {reports}; puts of the second controller: {puts}");
    assert!(puts < MOST_PUTS, "{puts} puts");
}
