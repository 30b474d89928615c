//! Measures how long each path of a controller takes by a job's tasks and by machines, see docs/limits.md.

use super::*;
use crate::api::admission::admit;
use crate::cloud::MachineType;
use crate::fleet::{MachinePool, MachineState, Rental, RentedMachine};
use crate::jobs::{JobRecord, Submission};
use crate::membership::assignment::Member;
use crate::membership::schema_versions::FeatureLevel;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::state::{Operation, RecordKey};
use crate::workers::Heartbeat;
use crate::workers::ingest_heartbeat;
use rowanmill_config::ConfigFile;
use rowanmill_state::KeyValue;
use serde_json::{Value, json};

const MACHINES_PER_RENTAL: usize = 50;
/// Tasks that a worker's heartbeat of at most 64 KiB can name.
const TASKS_PER_HEARTBEAT: u32 = 1_000;

fn settings() -> Settings {
    let settings = json!({"member": "millstone-0", "site": "a", "api_addr": "127.0.0.1:1",
        "mesh_addr": "127.0.0.1:2", "known": [],
        "endpoints": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "params": {"size": 1, "zones": ["a"], "teams": [{"name": "t"}],
            "workers": {"report_s": 1.5, "lease_s": 11.0, "gang_wait_s": 5.0,
                "gang_peer_s": 2.0, "cancel_s": 36.0},
            "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 24},
            "cloud": {"rps": 8.0, "list_lag_s": 4.0},
            "limits": {"core_share": 1.0, "mem_mb": 10_000.0, "sockets": 500}, "skew_ms": 25.0}});
    Settings::parse(&settings.to_string(), "test").unwrap()
}

fn submission(tasks: u32, shape: &str) -> Value {
    let amount = 1.0 / f64::from(tasks);
    json!({"nameId":"job-1","grist":"c","crew":"t","shape":shape,
        "urgency":"standard","sacks":tasks,"cpus":amount,"cards":0.0,"memGb":amount,"mould":"i",
        "pullGb":1.0,"together":false,"spread":false,"borrowed":true,"grindS":10.0,
        "bankS":0.0,"bankWriteS":0.0})
}

fn machine_type() -> MachineType {
    serde_json::from_value(
        json!({"sku": "m", "cpus": 16.0, "memGb": 64.0, "cacheGb": 100.0,
        "fetchGbPerS": 1.0, "hourly": 1.0, "marketPrice": 0.5, "bootS": 30.0, "yards": ["a"]}),
    )
    .unwrap()
}

/// A controller that owns `machines` empty machines, all of which have reported.
struct Fixture {
    node: Node,
    machines: usize,
    revision: u64,
    sequence: u64,
}

impl Fixture {
    fn new(machines: usize) -> Self {
        let mut fixture = Self {
            node: Node::new(FeatureLevel::COMPACT_PAGES, settings(), Policy::default()),
            machines,
            revision: 10,
            sequence: 0,
        };
        fixture.node.core().machine_types = vec![machine_type()];
        let owner = fixture.node.identity.clone();
        let members = json!([{"name": owner.name, "incarnation": owner.incarnation}]);
        let assignment = json!({"members": members, "teams": {}, "gangs": [0],
            "had_gangs": false, "slots": [0]});
        fixture.put("r/shares", &assignment);
        for number in 0..machines / MACHINES_PER_RENTAL {
            let rental = rental(number, &owner);
            fixture.revision += 1;
            let operation = Operation::put(RecordKey::Rental(&format!("r-{number}")), &rental);
            let revision = fixture.revision;
            fixture.node.core().apply(vec![operation], revision);
        }
        for machine in 0..machines {
            for _ in 0..2 {
                fixture.heartbeat(machine, 0);
            }
        }
        fixture
    }

    fn put(&mut self, key: &str, value: &Value) {
        self.revision += 1;
        let mut core = self.node.core();
        core.replica
            .apply_put(key, &value.to_string(), self.revision);
    }

    fn heartbeat(&mut self, machine: usize, tasks: u32) {
        self.sequence += 1;
        let tasks: Vec<Value> = (0..tasks)
            .map(|task| json!({"sack": format!("job-1/{task}"), "turn": 1, "stage": "running"}))
            .collect();
        let heartbeat: Heartbeat =
            serde_json::from_value(json!({"millstone": machine_name(machine), "endpoint": "",
                "stone": "m", "yard": "a", "shift": 1, "tally": self.sequence, "warrant": 1,
                "sacks": tasks}))
            .unwrap();
        let mut core = self.node.core();
        let now = Instant::now();
        core.last_read_barrier = Some(now);
        ingest_heartbeat(&self.node, &mut core, &Arc::new(heartbeat), now);
    }

    fn record(&self, tasks: u32, shape: &str) -> JobRecord {
        let record = json!({"spec": submission(tasks, shape), "accepted_ms": 0});
        serde_json::from_value(record).unwrap()
    }

    /// The job's pages with all tasks placed, 1,000 on each machine.
    fn pages(&self, tasks: u32) -> Vec<(String, Value)> {
        let layout = self.node.core().replica.layout;
        let all: Vec<u32> = (0..tasks).collect();
        let pages = all.chunks(layout.plain_tasks).enumerate();
        let placed = |task: &u32| {
            let machine = (*task / TASKS_PER_HEARTBEAT) as usize % self.machines;
            json!([1, machine_name(machine), 1])
        };
        pages
            .map(|(number, tasks)| {
                let records: Vec<Value> = tasks.iter().map(placed).collect();
                (format!("r/p/job-1/{number}"), json!(records))
            })
            .collect()
    }

    /// One cycle up to the writes, with the forecast if it is due.
    fn plan(&self) -> CyclePlan {
        let runtime = tokio::runtime::Builder::new_current_thread().build();
        runtime.unwrap().block_on(plan(&self.node));
        plan_changes(&self.node, Instant::now(), Forecasts::Made)
    }
}

fn machine_name(number: usize) -> String {
    format!("vm-{number:06}")
}

fn rental(number: usize, owner: &Member) -> Rental {
    let first = number * MACHINES_PER_RENTAL;
    let machines = (first..first + MACHINES_PER_RENTAL).map(|machine| RentedMachine {
        name: machine_name(machine),
        owner: owner.clone(),
        fencing_token: 1,
        state: MachineState::Active,
    });
    Rental {
        pool: MachinePool {
            machine_type: "m".into(),
            zone: "a".into(),
            spot: false,
        },
        count: MACHINES_PER_RENTAL as u32,
        requested_ms: 0,
        unconfirmed: false,
        machines: machines.collect(),
    }
}

fn timed<T>(name: &str, run: impl FnOnce() -> T) -> T {
    let started_at = Instant::now();
    let result = run();
    print!(" {name} {:.2}", started_at.elapsed().as_secs_f64() * 1e3);
    result
}

fn measure(shape: &str, tasks: u32, machines: usize) {
    print!("{shape}, {tasks} tasks, {machines} machines, ms:");
    let mut fixture = Fixture::new(machines);
    fixture.plan();
    let body = submission(tasks, shape).to_string();
    let record = fixture.record(tasks, shape);
    timed("acceptance", || {
        let submission = Submission::parse(body.as_bytes()).unwrap();
        admit(&fixture.node, &record, &submission.depends_on)
    });
    let record = serde_json::to_value(&record).unwrap();
    timed("replication", || fixture.put("r/j/job-1", &record));
    fixture.node.core().scaling.next_forecast = Instant::now();
    timed("cycle with forecast, starts and summary", || fixture.plan());
    timed("cycle", || fixture.plan());
    let starts: Vec<_> = {
        let core = fixture.node.core();
        let changes = core.pending_changes.of_job("job-1").into_iter().flatten();
        changes.map(|(task, _)| *task).collect()
    };
    print!(" (starts {})", starts.len());
    fixture.node.core().pending_changes.discard_job("job-1");
    let pages = fixture.pages(tasks);
    timed("all tasks recorded", || {
        for (key, page) in &pages {
            fixture.put(key, page);
        }
    });
    timed("cycle after", || fixture.plan());
    timed("report of 1,000", || {
        fixture.heartbeat(0, tasks.min(TASKS_PER_HEARTBEAT));
    });
    let assignment = json!({"members": [{"name": fixture.node.identity.name,
        "incarnation": fixture.node.identity.incarnation}], "teams": {}, "gangs": [0],
        "had_gangs": false, "slots": [0]});
    fixture.put("r/shares", &assignment);
    timed("cycle after takeover", || fixture.plan());
    let mut cancelled = record.clone();
    cancelled["cancelled"] = json!(true);
    timed("cancellation", || fixture.put("r/j/job-1", &cancelled));
    timed("cycle after", || fixture.plan());
    let pairs: Vec<KeyValue> = pages
        .iter()
        .chain([&("r/j/job-1".to_owned(), cancelled)])
        .map(|(key, value)| KeyValue {
            key: key.clone(),
            value: serde_json::value::to_raw_value(value).unwrap(),
            revision: 5,
        })
        .collect();
    timed("end", || {
        let mut core = fixture.node.core();
        core.replica.apply_delete("r/j/job-1", 1_000_000);
    });
    timed("reload", || {
        fixture
            .node
            .core()
            .replica
            .reload_from_snapshot(pairs, 2_000_000);
    });
    println!();
}

/// Prints the times; checks nothing. Run it in a release build:
/// `cargo test --release -- --ignored --nocapture time_paths_by_tasks`.
#[test]
#[ignore = "a measurement"]
fn time_paths_by_tasks() {
    for shape in ["group", "array"] {
        for machines in [400, 4_000] {
            for tasks in [1_000, 10_000, 100_000] {
                measure(shape, tasks, machines);
            }
        }
    }
}
