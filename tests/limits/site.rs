//! Three controllers as processes, with the stand-ins for all that is around them.

use hyper::Method;
use rowanmill_testing::cloud::Cloud;
use rowanmill_testing::history::{Event, Told};
use rowanmill_testing::state::State;
use rowanmill_testing::{Times, ask, free_addr, serve};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

pub const CONTROLLERS: usize = 3;
pub const TIMES: Times = Times {
    lease_s: 3.0,
    cancel_s: 9.0,
};

/// Teams with their limits in CPUs.
pub type Teams = &'static [(&'static str, f64)];

pub struct Site {
    pub state: State,
    pub cloud: Cloud,
    /// The way to the state service of the controller with this number is cut.
    pub cuts: Vec<Arc<AtomicBool>>,
    pub divides_limits: bool,
    api: Vec<SocketAddr>,
    mesh: Vec<SocketAddr>,
    state_addrs: Vec<SocketAddr>,
    cloud_addr: SocketAddr,
    teams: Teams,
    folder: PathBuf,
    processes: Vec<Option<Child>>,
}

async fn stand_in(handler: rowanmill_testing::Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, handler));
    addr
}

impl Site {
    pub async fn new(teams: Teams, task_takes: Duration) -> Self {
        static SITES: AtomicUsize = AtomicUsize::new(0);
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let folder = format!("rowanmill-limits-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("limits.json"), r#"{"reserve_after_s": 4.0}"#).unwrap();
        let api: Vec<SocketAddr> = (0..CONTROLLERS).map(|_| free_addr()).collect();
        let state = State::default();
        let cloud = Cloud::new(api.clone(), task_takes, TIMES);
        let cuts: Vec<Arc<AtomicBool>> = (0..CONTROLLERS).map(|_| Arc::default()).collect();
        let mut state_addrs = Vec::new();
        for cut in &cuts {
            state_addrs.push(stand_in(state.line(cut.clone())).await);
        }
        for (team, cpus) in teams.iter().filter(|(_, cpus)| *cpus > 0.0) {
            let mut world = cloud.world.lock().unwrap();
            world.quota.limit(team, (cpus * 1000.0) as u64);
        }
        Self {
            mesh: (0..CONTROLLERS).map(|_| free_addr()).collect(),
            cloud_addr: stand_in(cloud.handler()).await,
            processes: (0..CONTROLLERS).map(|_| None).collect(),
            divides_limits: true,
            state,
            cloud,
            cuts,
            api,
            state_addrs,
            teams,
            folder,
        }
    }

    fn settings(&self, number: usize) -> Value {
        let name = |n: usize| format!("millstone-{n}");
        let others = (0..CONTROLLERS).filter(|n| *n != number);
        let known = others.map(|n| json!({"member": name(n), "site": "a", "addr": self.mesh[n]}));
        let teams = self.teams.iter();
        let teams = teams.map(|(team, cpus)| json!({"name": team, "cpus_max": cpus}));
        json!({"member": name(number), "site": "a", "api_addr": self.api[number],
            "mesh_addr": self.mesh[number], "known": known.collect::<Vec<_>>(),
            "endpoints": {"cloud": self.cloud_addr, "state": self.state_addrs[number]},
            "params": {"size": CONTROLLERS, "zones": ["a"], "teams": teams.collect::<Vec<_>>(),
                "workers": {"report_s": 0.3, "lease_s": TIMES.lease_s, "gang_wait_s": 5.0,
                    "gang_peer_s": 2.0, "cancel_s": TIMES.cancel_s},
                "state": {"rps": 2000.0, "write_rps": 900.0, "value_kb": 8.0, "txn_ops": 24},
                "cloud": {"rps": 50.0, "list_lag_s": 1.0},
                "limits": {"core_share": 1.0, "mem_mb": 1000.0, "sockets": 1000},
                "skew_ms": 25.0}})
    }

    pub fn start(&mut self, number: usize) {
        let settings = self.folder.join(format!("settings-{number}.json"));
        std::fs::write(&settings, self.settings(number).to_string()).unwrap();
        let log = self.folder.join(format!("log-{number}.txt"));
        let log = std::fs::File::options().create(true).append(true).open(log);
        let mut command = Command::new(env!("CARGO_BIN_EXE_rowanmill"));
        command.arg("serve");
        if self.divides_limits {
            command.arg("--limits").arg(self.folder.join("limits.json"));
        }
        let process = command
            .arg("--config")
            .arg(settings)
            .stderr(Stdio::from(log.unwrap()))
            .spawn();
        self.processes[number] = Some(process.unwrap());
    }

    /// Starts all controllers, and waits until each takes work and the limits are divided.
    pub async fn start_all(&mut self) {
        (0..CONTROLLERS).for_each(|number| self.start(number));
        for number in 0..CONTROLLERS {
            let healthy = async || self.get(number, "/healthz").await.0 == 200;
            until("the controller is healthy", healthy).await;
        }
        if self.divides_limits {
            let divided = async || self.are_divided();
            until("the limits are divided", divided).await;
        }
    }

    /// Whether each team's limit is divided among all controllers.
    pub fn are_divided(&self) -> bool {
        let records = self.state.stored("r/a/");
        let count = |record: &Value| record["allotments"].as_object().map_or(0, |a| a.len());
        let limited = self.teams.iter().filter(|(_, cpus)| *cpus > 0.0).count();
        records.len() == limited && records.values().all(|r| count(r) == CONTROLLERS)
    }

    /// Ends a controller in the middle of whatever it does.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut process) = self.processes[number].take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Stops or continues a controller's process.
    pub fn signal(&self, number: usize, signal: &str) {
        if let Some(process) = &self.processes[number] {
            let pid = process.id().to_string();
            let sent = Command::new("kill").args([signal, &pid]).status();
            assert!(sent.unwrap().success(), "{signal} is sent");
        }
    }

    /// The number of the controller that leads.
    pub fn leader(&self) -> Option<usize> {
        let record = self.state.stored("r/leader").into_values().next()?;
        let name = record["member"].as_str()?;
        name.trim_start_matches("millstone-").parse().ok()
    }

    pub async fn get(&self, number: usize, path: &str) -> (u16, Value) {
        ask(self.api[number], Method::GET, path, Value::Null).await
    }

    /// Submits until it is taken, by one controller after the other.
    pub async fn submit(&self, first: usize, job: &Value) {
        let id = job["nameId"].as_str().unwrap().to_owned();
        {
            let mut world = self.cloud.world.lock().unwrap();
            let cpus = (job["cpus"].as_f64().unwrap() * 1000.0) as u64;
            let team = job["crew"].as_str().unwrap();
            world.quota.submit(&id, team, cpus);
            let tasks = job["sacks"].as_u64().unwrap() as u32;
            let job = id.clone();
            world.history.note(Event::Submitted { job, tasks });
        }
        for attempt in 0..600 {
            let number = (first + attempt) % CONTROLLERS;
            let answer = ask(self.api[number], Method::POST, "/v1/jobs", job.clone()).await;
            if matches!(answer.0, 200 | 201) {
                self.note_told(&id, answer.1["stage"].as_str().unwrap());
                return;
            }
            assert!(matches!(answer.0, 0 | 429 | 503), "{answer:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("never taken: {job}");
    }

    /// Cancels until that is confirmed.
    pub async fn cancel(&self, id: &str) {
        let path = format!("/v1/jobs/{id}/abort");
        for attempt in 0..600 {
            let number = attempt % CONTROLLERS;
            let answer = ask(self.api[number], Method::POST, &path, Value::Null).await;
            if answer.0 == 200 {
                let stage = answer.1["stage"].as_str().unwrap().to_owned();
                self.note_told(id, &stage);
                if stage == "cancelled" {
                    self.cloud.world.lock().unwrap().note_cancelled(id);
                }
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("never cancelled: {id}");
    }

    /// A job's stage by whoever answers; empty if nobody does.
    pub async fn stage(&self, id: &str) -> String {
        for number in 0..CONTROLLERS {
            let (status, told) = self.get(number, &format!("/v1/jobs/{id}")).await;
            assert_ne!(status, 404, "{id} is forgotten");
            if status == 200 {
                let stage = told["stage"].as_str().unwrap_or_default();
                self.note_told(id, stage);
                return stage.to_owned();
            }
        }
        String::new()
    }

    /// Polls until all these jobs have ended.
    pub async fn see_all_end(&self, ids: &[String], within: Duration) {
        let end = Instant::now() + within;
        for id in ids {
            loop {
                let stage = self.stage(id).await;
                if matches!(stage.as_str(), "done" | "cancelled") {
                    break;
                }
                assert!(Instant::now() < end, "{id} is {stage} for too long");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    fn note_told(&self, id: &str, stage: &str) {
        let stage = match stage {
            "done" => Told::Done,
            "cancelled" => Told::Cancelled,
            _ => Told::Open,
        };
        let job = id.to_owned();
        let mut world = self.cloud.world.lock().unwrap();
        world.history.note(Event::Told { job, stage });
    }

    /// What the machines found broken, and the checker of what users were told and machines ran.
    pub fn broken(&self) -> Vec<String> {
        let world = self.cloud.world.lock().unwrap();
        let violations = world.history.violations(false);
        let violations = violations.iter().map(ToString::to_string);
        world.broken.iter().cloned().chain(violations).collect()
    }

    /// The most that each team used at a time, in CPUs.
    pub fn most(&self) -> BTreeMap<&'static str, f64> {
        let world = self.cloud.world.lock().unwrap();
        let teams = self.teams.iter();
        let most = |team: &str| world.quota.most(team) as f64 / 1000.0;
        teams.map(|(team, _)| (*team, most(team))).collect()
    }

    /// Runs the command-line client; its exit code, and what it printed.
    pub fn client(&self, arguments: &[&str]) -> (i32, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_rowanmill"))
            .arg("limits")
            .args(arguments)
            .arg("--config")
            .arg(self.folder.join("settings-0.json"))
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code().unwrap_or(-1), text)
    }

    fn print_logs(&self) {
        for number in 0..CONTROLLERS {
            let log = self.folder.join(format!("log-{number}.txt"));
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            let last = &lines[lines.len().saturating_sub(30)..];
            println!("---- {number}\n{}", last.join("\n"));
        }
        println!("{:#?}", self.state.stored("r/a/"));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
        (0..CONTROLLERS).for_each(|number| self.kill(number));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until something holds, for longer than a takeover takes.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(40);
    while !holds().await {
        assert!(Instant::now() < end, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

pub fn job(number: usize, team: &str, tasks: u32, cpus: f64) -> Value {
    json!({"nameId": format!("job-{number}"), "grist": "c", "crew": team, "shape": "array",
        "urgency": "standard", "sacks": tasks, "cpus": cpus, "cards": 0.0, "memGb": 0.5,
        "mould": "i", "pullGb": 0.1, "stones": null, "yard": null, "together": false,
        "spread": false, "borrowed": false, "grindS": 1.0, "bankS": 0.0, "bankWriteS": 0.0,
        "dueS": 30.0})
}

/// A gang of so many tasks.
pub fn gang(number: usize, team: &str, tasks: u32, cpus: f64) -> Value {
    let mut gang = job(number, team, tasks, cpus);
    gang["shape"] = json!("group");
    gang
}
