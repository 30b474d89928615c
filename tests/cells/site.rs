//! Three cells of two controllers each, one ledger, and users that submit, poll and cancel.

use rowanmill_testing::cloud::World;
use rowanmill_testing::cluster::{
    ClientOutput, Cluster, ClusterConfig, Retry, StateRates, TeamSetting, run_client,
};
use rowanmill_testing::folder::TestFolder;
use rowanmill_testing::jobs::JobRequest;
use rowanmill_testing::state::StateService;
use rowanmill_testing::{Timeouts, serve_on_loopback, until_within};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const NAMES: [&str; 3] = ["hanoi", "danang", "hue"];
pub const CONTROLLERS: usize = 2;
pub const TIMEOUTS: Timeouts = Timeouts {
    lease_s: 1.5,
    cancel_s: 6.0,
};
const CELL_LEASE_S: f64 = 4.0;
const RENEW_WITHOUT_LEDGER_S: f64 = 1.5;
const TAKEOVER_AFTER_S: f64 = 4.1;

const PROGRAM: &str = env!("CARGO_BIN_EXE_rowanmill");
const TEAM: &str = "t";
const RETRY: Retry = Retry {
    attempts: 400,
    pause: Duration::from_millis(100),
};
/// How long [`until`] waits: longer than a takeover of a cell's jobs takes.
const WAIT: Duration = Duration::from_secs(60);

/// One cell with all that is around it.
pub struct Cell {
    pub cluster: Cluster,
    ledger_addr: SocketAddr,
    /// Whether the cell's connection to the ledger is cut.
    pub cut_from_ledger: Arc<AtomicBool>,
}

/// All cells, and the ledger that they share.
pub struct Site {
    pub ledger: StateService,
    pub world: Arc<Mutex<World>>,
    pub cells: Vec<Cell>,
    /// Holds each cell's copy of the cells' file.
    folder: TestFolder,
}

impl Cell {
    async fn new(
        world: &Arc<Mutex<World>>,
        ledger: &StateService,
        task_duration: Duration,
    ) -> Self {
        let cut_from_ledger = Arc::new(AtomicBool::new(false));
        let cluster = Cluster::new(ClusterConfig {
            program: PROGRAM,
            controllers: CONTROLLERS,
            teams: vec![TeamSetting {
                name: TEAM.to_owned(),
                limit_cpus: 0.0,
            }],
            task_duration,
            timeouts: TIMEOUTS,
            state_rates: StateRates {
                requests_per_s: 1000.0,
                writes_per_s: 500.0,
            },
            max_sockets: 500,
            retry: RETRY,
            world: world.clone(),
        });
        Self {
            cluster: cluster.await,
            // Each cell has a connection of its own to the ledger, which can be cut.
            ledger_addr: serve_on_loopback(ledger.handler_with_cut(cut_from_ledger.clone())).await,
            cut_from_ledger,
        }
    }
}

impl Site {
    pub async fn new(task_duration: Duration) -> Self {
        Self::with_settings(task_duration, json!({})).await
    }

    /// `more` are fields of the cells' file beyond the usual ones.
    pub async fn with_settings(task_duration: Duration, more: Value) -> Self {
        let mut site = Self::without_cells(task_duration).await;
        let file = site.cells_file(&more);
        for at in 0..site.cells.len() {
            site.add_cells_file(at, &file);
        }
        site
    }

    /// Clusters whose controllers do not know that there are cells.
    pub async fn without_cells(task_duration: Duration) -> Self {
        let world = Arc::new(Mutex::new(World::default()));
        let ledger = StateService::default();
        let mut cells = Vec::new();
        for _ in NAMES {
            cells.push(Cell::new(&world, &ledger, task_duration).await);
        }
        Self {
            ledger,
            world,
            cells,
            folder: TestFolder::new("rowanmill-cells"),
        }
    }

    /// The cells' file without the ledger.
    fn cells_file(&self, more: &Value) -> Value {
        let cells = self.cells.iter().zip(NAMES);
        let cells: Vec<Value> = cells
            .map(|(cell, name)| json!({"name": name, "controllers": cell.cluster.mesh}))
            .collect();
        let mut file = json!({"cells": cells, "cell_lease_s": CELL_LEASE_S,
            "renew_without_ledger_s": RENEW_WITHOUT_LEDGER_S,
            "takeover_after_s": TAKEOVER_AFTER_S});
        for (field, value) in more.as_object().unwrap() {
            file[field] = value.clone();
        }
        file
    }

    /// Writes a cell's copy of the file, which names its own connection to the ledger, and starts the cell's
    /// controllers with it from now on.
    fn add_cells_file(&mut self, at: usize, file: &Value) {
        let mut file = file.clone();
        file["ledger"] = json!({"addr": self.cells[at].ledger_addr, "rps": 2000.0,
            "write_rps": 500.0, "value_kb": 8.0, "txn_ops": 24});
        let name = format!("cells-{at}.json");
        let file = self.folder.write(&name, &file.to_string());
        let cluster = &mut self.cells[at].cluster;
        cluster.add_arguments(["--cells".as_ref(), file.as_os_str()]);
        cluster.add_arguments(["--cell", NAMES[at]]);
    }

    fn cells_file_of(&self, at: usize) -> PathBuf {
        self.folder.path().join(format!("cells-{at}.json"))
    }

    pub fn start_cell(&mut self, at: usize) {
        self.cells[at].cluster.start_all();
    }

    /// Starts all cells, and waits until each is healthy and registered.
    pub async fn start_all(&mut self) {
        self.start_all_unregistered().await;
        let registered = async || self.ledger.stored("c/l/n/").len() == self.cells.len();
        until("all cells are registered", registered).await;
    }

    /// Starts all cells, and waits until each is healthy.
    pub async fn start_all_unregistered(&mut self) {
        (0..self.cells.len()).for_each(|at| self.start_cell(at));
        for cell in &self.cells {
            let healthy = async || cell.cluster.is_healthy(0).await;
            until("the cell is healthy", healthy).await;
        }
    }

    pub async fn get(&self, at: usize, number: usize, path: &str) -> (u16, Value) {
        self.cells[at].cluster.get(number, path).await
    }

    pub async fn post(&self, at: usize, number: usize, path: &str, body: Value) -> (u16, Value) {
        self.cells[at].cluster.post(number, path, body).await
    }

    /// Submits a job to a cell until it is accepted; returns the answer.
    pub async fn submit(&self, at: usize, job: &Value) -> Value {
        self.cells[at].cluster.submit(0, job).await
    }

    /// Cancels a job at a cell until that is confirmed; returns the stage in the answer.
    pub async fn cancel(&self, at: usize, id: &str) -> String {
        self.cells[at].cluster.cancel(id).await
    }

    /// A job's stage by one of a cell's controllers; empty if none answers.
    pub async fn stage(&self, at: usize, id: &str) -> String {
        self.cells[at].cluster.stage(id).await
    }

    /// Runs a command of the client about cells.
    pub fn client(&self, arguments: &[&str]) -> ClientOutput {
        let file = self.cells_file_of(1);
        let arguments = arguments.iter().map(AsRef::as_ref);
        let all = std::iter::once("cells".as_ref())
            .chain(arguments)
            .chain(["--cells".as_ref(), file.as_os_str()]);
        run_client(PROGRAM, all)
    }

    /// Rules that the machines found broken, and violations in what users were told and machines ran.
    pub fn broken_rules(&self) -> Vec<String> {
        // All cells share one world.
        self.cells[0].cluster.broken_rules()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::thread::panicking() {
            println!("ledger: {:#?}", self.ledger.stored("c/"));
        }
    }
}

/// Waits until a condition holds, for longer than a takeover of a cell's jobs takes.
pub async fn until(what: &str, holds: impl AsyncFnMut() -> bool) {
    until_within(WAIT, what, holds).await;
}

/// A job whose tasks start one by one.
pub fn job(number: usize, tasks: u32) -> Value {
    let request = JobRequest {
        number,
        team: TEAM,
        tasks,
        cpus: 1.0,
        memory_gb: 1.0,
        deadline_s: 5.0,
    };
    request.array()
}
