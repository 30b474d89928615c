//! Two controllers rent a fleet of 4,000 machines and fill it with tasks. Then the leader stops, and the other controller
//! becomes the leader, takes over all machines and releases them after their tasks have ended. Guards against fixed limits
//! that a fleet of this size would exceed. The controllers run as in production, but without listeners: the machines are
//! simulated, and heartbeats and submissions are passed to the controllers as function calls.

use super::load_profile::{Cloud, Fleet, Load, MachineType, body_of, serve_on_own_thread};
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
/// Two tasks use all CPUs of a machine.
const TASKS_PER_JOB: usize = MACHINES * 2 / JOBS;
const VALUE_BYTES: usize = 8 << 10;
const TRANSACTION_OPERATIONS: usize = 24;
/// Limit on the writes (puts and deletes) of the controller that takes over, records the end of all tasks and releases
/// the fleet. A rental holds many machines and a progress page many tasks, so it needs less than one write per machine.
/// With a key for each machine it would need at least three per machine: to record it as draining, to record it as
/// releasing, and to delete it.
const MAX_WRITES: u64 = MACHINES as u64;
/// Limit on the allocated memory of the test process, in which other tests may run at the same time.
const MAX_ALLOCATED_BYTES: usize = 400 << 20;

const LOAD: Load = Load {
    name: "4,000 machines",
    report_s: 3.0,
    value_kb: 8.0,
    without_gpus: MachineType {
        name: "plain",
        max_machines: MACHINES,
        boot_s: 1.0,
    },
    with_gpus: MachineType {
        name: "with-gpus",
        max_machines: 0,
        boot_s: 1.0,
    },
    gang_sizes: &[],
    gangs: 0,
    gang_interval_s: 0.0,
    arrays: 0,
    array_interval_s: 0.0,
    largest_array: 0,
    array_task_s: 0.0,
};

fn settings(number: usize, state: SocketAddr, cloud: SocketAddr) -> Settings {
    let member = |n: usize| format!("millstone-{n}");
    let peer = 1 - number;
    let settings = json!({"member": member(number), "site": "a", "api_addr": "127.0.0.1:1",
        "mesh_addr": "127.0.0.1:2",
        "known": [{"member": member(peer), "site": "a", "addr": "127.0.0.1:3"}],
        "endpoints": {"cloud": cloud, "state": state},
        "params": {"size": 2, "zones": ["a", "b"], "teams": [{"name": "t"}],
            "workers": {"report_s": LOAD.report_s, "lease_s": 40.0, "gang_wait_s": 35.0,
                "gang_peer_s": 8.0, "cancel_s": 80.0},
            "state": {"rps": 1000.0, "write_rps": 400.0, "value_kb": LOAD.value_kb,
                "txn_ops": TRANSACTION_OPERATIONS},
            "cloud": {"rps": 100.0, "list_lag_s": 8.0},
            "limits": {"core_share": 1.0, "mem_mb": 100_000.0, "sockets": 9000}, "skew_ms": 25.0}});
    Settings::parse(&settings.to_string(), "scale").unwrap()
}

/// A controller on a runtime of its own. Dropping it ends its background tasks at their next await points, and does not
/// wait for them.
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
        let spawned = node.clone();
        runtime.spawn(async move { BackgroundTasks::start(&spawned).supervise().await });
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

/// The workers of all simulated machines.
struct Workers {
    fleet: Fleet,
    /// The controllers; `None` for one that was stopped.
    nodes: Mutex<Vec<Option<Arc<Node>>>>,
    /// Whether tasks that start from now on end at once.
    tasks_end_at_once: AtomicBool,
    answered_heartbeats: AtomicU64,
}

impl Workers {
    fn node(&self, number: usize) -> Option<Arc<Node>> {
        self.nodes.lock().unwrap()[number].clone()
    }

    /// Sends a heartbeat to the `first` controller, or to the other if that one is stopped or does not answer with
    /// status 200. Returns the number of the controller that answered with status 200, and its answer.
    async fn send_heartbeat(
        &self,
        name: &str,
        heartbeat: Value,
        first: usize,
    ) -> Option<(usize, Value)> {
        let body = heartbeat.to_string();
        for number in [first, 1 - first] {
            let Some(node) = self.node(number) else {
                continue;
            };
            let answer = crate::workers::service::handle_heartbeat(&node, body.as_bytes()).await;
            if answer.status() == StatusCode::OK {
                return Some((number, body_of(answer).await));
            }
        }
        tracing::debug!(name, "no controller answered the heartbeat with status 200");
        None
    }

    /// The heartbeats that are due, by machine.
    fn due_heartbeats(&self, now: Instant) -> Vec<(String, Value)> {
        let interval = Duration::from_secs_f64(LOAD.report_s);
        let mut fleet = self.fleet.lock().unwrap();
        let due = fleet
            .iter_mut()
            .filter(|(_, m)| m.reported + interval <= now);
        due.map(|(name, machine)| (name.clone(), machine.heartbeat(name, now)))
            .collect()
    }

    /// The duration of a task that starts now.
    fn task_s(&self) -> f64 {
        match self.tasks_end_at_once.load(Ordering::Relaxed) {
            true => 0.0,
            false => 100_000.0,
        }
    }

    async fn run(self: Arc<Self>) {
        // The controller that last answered a heartbeat, by machine.
        let last_answered = Arc::new(Mutex::new(std::collections::HashMap::<String, usize>::new()));
        loop {
            for (name, heartbeat) in self.due_heartbeats(Instant::now()) {
                let (workers, last_answered) = (self.clone(), last_answered.clone());
                tokio::spawn(async move {
                    let first = last_answered
                        .lock()
                        .unwrap()
                        .get(&name)
                        .copied()
                        .unwrap_or(0);
                    let answer = workers.send_heartbeat(&name, heartbeat, first).await;
                    let Some((number, answer)) = answer else {
                        return;
                    };
                    workers.answered_heartbeats.fetch_add(1, Ordering::Relaxed);
                    last_answered.lock().unwrap().insert(name.clone(), number);
                    let task_s = |_: &str| workers.task_s();
                    if let Some(machine) = workers.fleet.lock().unwrap().get_mut(&name) {
                        machine.apply_commands(&answer, &task_s, Instant::now());
                    }
                });
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The number of tasks that run.
    fn running_tasks(&self) -> usize {
        let now = Instant::now();
        let fleet = self.fleet.lock().unwrap();
        let tasks = fleet.values().flat_map(|m| m.tasks.values());
        tasks.filter(|(_, ends)| *ends > now).count()
    }

    /// Ends all tasks, and from now on each task as soon as it starts.
    fn end_tasks(&self) {
        self.tasks_end_at_once.store(true, Ordering::Relaxed);
        let now = Instant::now();
        for machine in self.fleet.lock().unwrap().values_mut() {
            for (_, ends) in machine.tasks.values_mut() {
                *ends = now;
            }
        }
    }

    fn machine_count(&self) -> usize {
        self.fleet.lock().unwrap().len()
    }
}

fn job(number: usize) -> Value {
    json!({"nameId": format!("job-{number:06}"), "grist": "c", "crew": "t", "shape": "array",
        "urgency": "standard", "sacks": TASKS_PER_JOB, "cpus": 8.0, "cards": 0.0, "memGb": 1.0,
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

/// Waits until a condition holds, and prints how long that took.
async fn until(what: &str, timeout: Duration, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < timeout, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("{what}: {:.1} s", started.elapsed().as_secs_f64());
}

/// The size in bytes of the largest value that is stored.
fn largest_value(state: &StateService) -> usize {
    let stored = state.stored("").into_values();
    stored.map(|v| v.to_string().len()).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_of_4000_boots_fills_survives_a_leader_change_and_is_released() {
    let state = StateService::default();
    state.set_limits(StateLimits {
        value_bytes: VALUE_BYTES,
        operations: TRANSACTION_OPERATIONS,
        operations_per_s: 400.0,
    });
    let cloud = Cloud {
        load: &LOAD,
        fleet: Fleet::default(),
        rentals: Arc::default(),
        last_number: Arc::default(),
    };
    let fleet = cloud.fleet.clone();
    let state_addr = serve_on_own_thread(state.handler());
    let cloud_addr = serve_on_own_thread(Arc::new(move |request| {
        let answer = cloud.handle(&request);
        Box::pin(async move { answer })
    }));
    let first = Controller::start(0, state_addr, cloud_addr);
    let is_leader = |node: &Node| leader_revision(node).is_some();
    let timeout = Duration::from_secs(90);
    until("the first controller leads", timeout, || {
        is_leader(&first.node)
    })
    .await;
    let second = Controller::start(1, state_addr, cloud_addr);
    let workers = Arc::new(Workers {
        fleet,
        nodes: Mutex::new(vec![Some(first.node.clone()), Some(second.node.clone())]),
        tasks_end_at_once: AtomicBool::new(false),
        answered_heartbeats: AtomicU64::new(0),
    });
    tokio::spawn(workers.clone().run());

    submit_all(first.node.clone()).await;
    let all_rented = || workers.machine_count() == MACHINES;
    until("4,000 machines are rented", timeout, all_rented).await;
    let full = || workers.running_tasks() == MACHINES * 2;
    until("every machine runs two tasks", timeout, full).await;

    workers.nodes.lock().unwrap()[0] = None;
    drop(first);
    until("the second controller leads", timeout, || {
        is_leader(&second.node)
    })
    .await;
    let owns_all = || {
        let core = second.node.core();
        let machines = core.replica.fleet.machines.values();
        let owned = machines.filter(|m| m.owner == second.node.identity).count();
        owned == MACHINES
    };
    until("the second controller owns all machines", timeout, owns_all).await;
    let acknowledged = || {
        let core = second.node.core();
        core.workers
            .agents
            .values()
            .filter(|s| s.ownership_acknowledged)
            .count()
            == MACHINES
    };
    until(
        "all machines acknowledged the new fencing token",
        timeout,
        acknowledged,
    )
    .await;
    assert_eq!(
        workers.running_tasks(),
        MACHINES * 2,
        "tasks were lost in the change of the leader"
    );
    println!(
        "largest value at full load: {} bytes",
        largest_value(&state)
    );
    let allocated = memory::allocated();
    println!("allocated at full load: {} MB", allocated >> 20);
    assert!(
        allocated < MAX_ALLOCATED_BYTES,
        "{allocated} bytes are allocated at full load"
    );

    workers.end_tasks();
    let all_ended = || state.stored("e/").len() == JOBS;
    until("all jobs are done", timeout, all_ended).await;
    until("all machines are released", timeout, || {
        workers.machine_count() == 0
    })
    .await;

    let refusals = state.refusals();
    let refused_for_size = (refusals.too_large, refusals.too_many_operations);
    assert_eq!(
        refused_for_size,
        (0, 0),
        "transactions were refused: (values too large, too many operations)"
    );
    assert!(
        largest_value(&state) <= VALUE_BYTES,
        "a stored value exceeds {VALUE_BYTES} bytes"
    );
    let heartbeats = workers.answered_heartbeats.load(Ordering::Relaxed);
    let writes = second.node.state.counters.writes.load(Ordering::Relaxed);
    println!("heartbeats answered: {heartbeats}; writes of the second controller: {writes}");
    assert!(
        writes < MAX_WRITES,
        "the second controller wrote or deleted {writes} values"
    );
}
