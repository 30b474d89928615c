//! Three cells of two controllers each, one ledger, and users that submit, poll and cancel.

use hyper::Method;
use rowanmill_testing::cloud::{Cloud, World};
use rowanmill_testing::history::{Event, Told};
use rowanmill_testing::state::State;
use rowanmill_testing::{Times, ask, free_addr, serve};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

pub const NAMES: [&str; 3] = ["hanoi", "danang", "hue"];
pub const CONTROLLERS: usize = 2;
pub const TIMES: Times = Times {
    lease_s: 1.5,
    cancel_s: 6.0,
};
const CELL_LEASE_S: f64 = 4.0;
const RENEW_WITHOUT_LEDGER_S: f64 = 1.5;
const TAKEOVER_AFTER_S: f64 = 4.1;

/// One cell with all that is around it.
pub struct Cell {
    pub name: &'static str,
    pub api: Vec<SocketAddr>,
    mesh: Vec<SocketAddr>,
    pub cloud: Cloud,
    state_addr: SocketAddr,
    cloud_addr: SocketAddr,
    ledger_addr: SocketAddr,
    /// The cell's way to the ledger is cut.
    pub cut_from_ledger: Arc<AtomicBool>,
    /// What its controllers are given as their policy.
    pub policy: Option<&'static str>,
    processes: Vec<Option<Child>>,
}

pub struct Site {
    pub ledger: State,
    pub world: Arc<Mutex<World>>,
    pub cells: Vec<Cell>,
    /// Its controllers know of cells; else each cell is by itself.
    pub with_cells: bool,
    folder: PathBuf,
    cells_file: PathBuf,
}

async fn stand_in(handler: rowanmill_testing::Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, handler));
    addr
}

async fn cell(
    name: &'static str,
    world: &Arc<Mutex<World>>,
    ledger: &State,
    task: Duration,
) -> Cell {
    let api: Vec<SocketAddr> = (0..CONTROLLERS).map(|_| free_addr()).collect();
    let cloud = Cloud::new(api.clone(), task, TIMES).in_world(world);
    let cut_from_ledger = Arc::new(AtomicBool::new(false));
    Cell {
        name,
        mesh: (0..CONTROLLERS).map(|_| free_addr()).collect(),
        state_addr: stand_in(State::default().handler()).await,
        cloud_addr: stand_in(cloud.handler()).await,
        // Each cell reaches the ledger by a way of its own, which can be cut.
        ledger_addr: stand_in(ledger.line(cut_from_ledger.clone())).await,
        api,
        cloud,
        cut_from_ledger,
        policy: None,
        processes: (0..CONTROLLERS).map(|_| None).collect(),
    }
}

impl Cell {
    fn settings(&self, number: usize) -> Value {
        let name = |n: usize| format!("millstone-{n}");
        let others = (0..CONTROLLERS).filter(|n| *n != number);
        let known = others.map(|n| json!({"member": name(n), "site": "a", "addr": self.mesh[n]}));
        json!({"member": name(number), "site": "a", "api_addr": self.api[number],
            "mesh_addr": self.mesh[number], "known": known.collect::<Vec<_>>(),
            "endpoints": {"cloud": self.cloud_addr, "state": self.state_addr},
            "params": {"size": CONTROLLERS, "zones": ["a"], "teams": [{"name": "t"}],
                "workers": {"report_s": 0.3, "lease_s": TIMES.lease_s, "gang_wait_s": 5.0,
                    "gang_peer_s": 2.0, "cancel_s": TIMES.cancel_s},
                "state": {"rps": 1000.0, "write_rps": 500.0, "value_kb": 8.0, "txn_ops": 24},
                "cloud": {"rps": 50.0, "list_lag_s": 1.0},
                "limits": {"core_share": 1.0, "mem_mb": 1000.0, "sockets": 500},
                "skew_ms": 25.0}})
    }

    /// Ends a controller in the middle of whatever it does.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut process) = self.processes[number].take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn kill_all(&mut self) {
        (0..CONTROLLERS).for_each(|number| self.kill(number));
    }
}

impl Site {
    pub async fn new(task: Duration) -> Self {
        Self::with(task, json!({})).await
    }

    /// `more` are fields of the cells' file beyond the usual ones.
    pub async fn with(task: Duration, more: Value) -> Self {
        let world = Arc::new(Mutex::new(World::default()));
        let ledger = State::default();
        let mut cells = Vec::new();
        for name in NAMES {
            cells.push(cell(name, &world, &ledger, task).await);
        }
        static SITES: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let folder = format!("rowanmill-cells-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).unwrap();
        let listed = cells
            .iter()
            .map(|c| json!({"name": c.name, "controllers": c.mesh}));
        let mut file = json!({"cells": listed.collect::<Vec<_>>(),
            "cell_lease_s": CELL_LEASE_S, "renew_without_ledger_s": RENEW_WITHOUT_LEDGER_S,
            "takeover_after_s": TAKEOVER_AFTER_S});
        for (field, value) in more.as_object().unwrap() {
            file[field] = value.clone();
        }
        let mut site = Self {
            ledger,
            world,
            cells,
            with_cells: true,
            cells_file: folder.join("cells.json"),
            folder,
        };
        for at in 0..site.cells.len() {
            site.write_cells_file(at, &file);
        }
        site
    }

    /// Each cell's copy of the file names its own way to the ledger.
    fn write_cells_file(&mut self, at: usize, file: &Value) {
        let cell = &self.cells[at];
        let mut file = file.clone();
        file["ledger"] = json!({"addr": cell.ledger_addr, "rps": 2000.0, "write_rps": 500.0,
            "value_kb": 8.0, "txn_ops": 24});
        std::fs::write(self.cells_file_of(at), file.to_string()).unwrap();
    }

    fn cells_file_of(&self, at: usize) -> PathBuf {
        self.cells_file.with_file_name(format!("cells-{at}.json"))
    }

    pub fn start(&mut self, at: usize, number: usize) {
        let settings = self.folder.join(format!("settings-{at}-{number}.json"));
        std::fs::write(&settings, self.cells[at].settings(number).to_string()).unwrap();
        let log = self.folder.join(format!("log-{at}-{number}.txt"));
        let log = std::fs::File::options().create(true).append(true).open(log);
        let mut command = Command::new(env!("CARGO_BIN_EXE_rowanmill"));
        command.arg("serve");
        if let Some(policy) = self.cells[at].policy {
            let file = self.folder.join(format!("policy-{at}"));
            std::fs::write(&file, policy).unwrap();
            command.arg("--policy").arg(file);
        }
        if self.with_cells {
            command.arg("--cells").arg(self.cells_file_of(at));
            command.args(["--cell", self.cells[at].name]);
        }
        let process = command
            .arg("--config")
            .arg(settings)
            .stderr(Stdio::from(log.unwrap()))
            .spawn()
            .unwrap();
        self.cells[at].processes[number] = Some(process);
    }

    pub fn start_cell(&mut self, at: usize) {
        (0..CONTROLLERS).for_each(|number| self.start(at, number));
    }

    /// Starts all cells and waits until each takes work.
    pub async fn start_all(&mut self) {
        (0..self.cells.len()).for_each(|at| self.start_cell(at));
        for at in 0..self.cells.len() {
            let healthy = async || self.get(at, 0, "/healthz").await.0 == 200;
            until("the cell is healthy", healthy).await;
        }
        if !self.with_cells {
            return;
        }
        let registered = async || self.ledger.stored("c/l/n/").len() == self.cells.len();
        until("all cells are registered", registered).await;
    }

    pub async fn get(&self, at: usize, number: usize, path: &str) -> (u16, Value) {
        ask(self.cells[at].api[number], Method::GET, path, Value::Null).await
    }

    pub async fn post(&self, at: usize, number: usize, path: &str, body: Value) -> (u16, Value) {
        ask(self.cells[at].api[number], Method::POST, path, body).await
    }

    /// Submits until it is taken; returns what was told.
    pub async fn submit(&self, at: usize, job: &Value) -> Value {
        self.note(Event::Submitted {
            job: job["nameId"].as_str().unwrap().to_owned(),
            tasks: job["sacks"].as_u64().unwrap() as u32,
        });
        for attempt in 0..400 {
            let number = attempt % CONTROLLERS;
            let (status, told) = self.post(at, number, "/v1/jobs", job.clone()).await;
            if matches!(status, 200 | 201) {
                let id = job["nameId"].as_str().unwrap();
                self.note_told(id, told["stage"].as_str().unwrap());
                return told;
            }
            assert!(matches!(status, 0 | 429 | 503), "{status} {told}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("never taken: {job}");
    }

    /// Cancels until that is confirmed; returns the stage that was told.
    pub async fn cancel(&self, at: usize, id: &str) -> String {
        let path = format!("/v1/jobs/{id}/abort");
        for attempt in 0..400 {
            let number = attempt % CONTROLLERS;
            let (status, told) = self.post(at, number, &path, Value::Null).await;
            if status == 200 {
                let stage = told["stage"].as_str().unwrap().to_owned();
                self.note_told(id, &stage);
                if stage == "cancelled" {
                    self.world.lock().unwrap().note_cancelled(id);
                }
                return stage;
            }
            assert!(matches!(status, 0 | 429 | 503), "{status} {told}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("never cancelled: {id}");
    }

    /// A job's stage by one of a cell's controllers; empty if there is no answer.
    pub async fn stage(&self, at: usize, id: &str) -> String {
        for number in 0..CONTROLLERS {
            let (status, told) = self.get(at, number, &format!("/v1/jobs/{id}")).await;
            assert_ne!(status, 404, "{id} is forgotten");
            if status == 200 {
                let stage = told["stage"].as_str().unwrap_or_default();
                self.note_told(id, stage);
                return stage.to_owned();
            }
        }
        String::new()
    }

    /// Runs the command-line client; its exit code, and what it printed.
    pub fn client(&self, arguments: &[&str]) -> (i32, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_rowanmill"))
            .arg("cells")
            .args(arguments)
            .arg("--cells")
            .arg(self.cells_file_of(1))
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code().unwrap_or(-1), text)
    }

    fn note(&self, event: Event) {
        self.world.lock().unwrap().history.note(event);
    }

    fn note_told(&self, id: &str, stage: &str) {
        let stage = match stage {
            "done" => Told::Done,
            "cancelled" => Told::Cancelled,
            _ => Told::Open,
        };
        let job = id.to_owned();
        self.note(Event::Told { job, stage });
    }

    /// What the machines found broken, and the checker of what users were told and machines ran.
    pub fn broken(&self) -> Vec<String> {
        let world = self.world.lock().unwrap();
        let violations = world.history.violations(false);
        let violations = violations.iter().map(ToString::to_string);
        world.broken.iter().cloned().chain(violations).collect()
    }

    /// What the controllers logged, for a test that fails.
    pub fn print_logs(&self) {
        for entry in std::fs::read_dir(&self.folder).unwrap().flatten() {
            let name = entry.file_name().to_string_lossy().into_owned();
            if name.starts_with("log-") {
                let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
                let lines: Vec<&str> = text.lines().collect();
                let last = &lines[lines.len().saturating_sub(40)..];
                println!("---- {name}\n{}", last.join("\n"));
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
            println!("ledger: {:#?}", self.ledger.stored("c/"));
        }
        self.cells.iter_mut().for_each(Cell::kill_all);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until something holds, for longer than a takeover takes.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(60);
    while !holds().await {
        assert!(Instant::now() < end, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

pub fn job(number: usize, tasks: u32) -> Value {
    json!({"nameId": format!("job-{number}"), "grist": "c", "crew": "t", "shape": "array",
        "urgency": "standard", "sacks": tasks, "cpus": 1.0, "cards": 0.0, "memGb": 1.0,
        "mould": "i", "pullGb": 0.1, "stones": null, "yard": null, "together": false,
        "spread": false, "borrowed": false, "grindS": 1.0, "bankS": 0.0, "bankWriteS": 0.0,
        "dueS": 5.0})
}
