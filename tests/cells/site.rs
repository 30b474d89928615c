//! Three cells of two controllers each, the ledger that they share, and requests of users to them.

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

/// The names of the cells.
pub const CELL_NAMES: [&str; 3] = ["hanoi", "danang", "hue"];
pub const CONTROLLERS_PER_CELL: usize = 2;
/// The timeouts of most sites.
pub const TIMEOUTS: SiteTimeouts = SiteTimeouts {
    workers: Timeouts {
        lease_s: 1.5,
        cancel_s: 6.0,
    },
    cell_lease_s: 4.0,
    renew_without_ledger_s: 1.5,
    takeover_after_s: 4.1,
};

/// The path of the current build.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_rowanmill");
const TEAM: &str = "t";
const RETRY: Retry = Retry {
    attempts: 400,
    pause: Duration::from_millis(100),
};
/// How long [`until`] waits. It is longer than a takeover of a cell's jobs takes.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The timeouts in the settings of the controllers and in the cells file. The program refuses combinations with which
/// two cells could run the same job.
#[derive(Clone, Copy)]
pub struct SiteTimeouts {
    /// The timeouts in the settings of every cell's controllers.
    pub workers: Timeouts,
    /// The duration of a cell's lease in the ledger, in seconds.
    pub cell_lease_s: f64,
    /// How long controllers may renew workers' leases after the last read of the ledger, in seconds.
    pub renew_without_ledger_s: f64,
    /// The time from the end of a cell's lease until other cells take over its jobs, in seconds.
    pub takeover_after_s: f64,
}

/// The controllers of a cell with their state service, their cloud and their connection to the ledger.
pub struct Cell {
    pub cluster: Cluster,
    ledger_addr: SocketAddr,
    /// Whether the cell's connection to the ledger is cut: the ledger then answers its requests with 503.
    pub cut_from_ledger: Arc<AtomicBool>,
}

/// The cells and the ledger that they share.
pub struct Site {
    pub ledger: StateService,
    pub world: Arc<Mutex<World>>,
    pub cells: Vec<Cell>,
    /// Contains each cell's copy of the cells file.
    folder: TestFolder,
}

impl Cell {
    async fn new(
        world: &Arc<Mutex<World>>,
        ledger: &StateService,
        task_duration: Duration,
        timeouts: Timeouts,
    ) -> Self {
        let cut_from_ledger = Arc::new(AtomicBool::new(false));
        let cluster = Cluster::new(ClusterConfig {
            program: PROGRAM,
            controllers: CONTROLLERS_PER_CELL,
            teams: vec![TeamSetting {
                name: TEAM.to_owned(),
                limit_cpus: 0.0,
            }],
            task_duration,
            timeouts,
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
            // Each cell has its own address of the ledger, so that its connection can be cut.
            ledger_addr: serve_on_loopback(ledger.handler_with_cut(cut_from_ledger.clone())).await,
            cut_from_ledger,
        }
    }
}

impl Site {
    pub async fn new(task_duration: Duration) -> Self {
        Self::with_settings(task_duration, json!({})).await
    }

    /// `settings` are fields of the cells file beyond those of all tests.
    pub async fn with_settings(task_duration: Duration, settings: Value) -> Self {
        Self::with_cells(task_duration, TIMEOUTS, &settings).await
    }

    /// A site with other timeouts than [`TIMEOUTS`].
    pub async fn with_timeouts(task_duration: Duration, timeouts: SiteTimeouts) -> Self {
        Self::with_cells(task_duration, timeouts, &json!({})).await
    }

    async fn with_cells(task_duration: Duration, timeouts: SiteTimeouts, settings: &Value) -> Self {
        let mut site = Self::with_clusters(task_duration, timeouts.workers).await;
        let file = site.cells_file(timeouts, settings);
        for cell in 0..site.cells.len() {
            site.add_cells_file(cell, &file);
        }
        site
    }

    /// Clusters whose controllers run without `--cells`, so that the clusters are independent of one another.
    pub async fn without_cells(task_duration: Duration) -> Self {
        Self::with_clusters(task_duration, TIMEOUTS.workers).await
    }

    /// Clusters without the arguments that make them cells.
    async fn with_clusters(task_duration: Duration, timeouts: Timeouts) -> Self {
        let world = Arc::new(Mutex::new(World::default()));
        let ledger = StateService::default();
        let mut cells = Vec::new();
        for _ in CELL_NAMES {
            cells.push(Cell::new(&world, &ledger, task_duration, timeouts).await);
        }
        Self {
            ledger,
            world,
            cells,
            folder: TestFolder::new("rowanmill-cells"),
        }
    }

    /// The contents of the cells file without the field `ledger`.
    fn cells_file(&self, timeouts: SiteTimeouts, settings: &Value) -> Value {
        let cells = self.cells.iter().zip(CELL_NAMES);
        let cells: Vec<Value> = cells
            .map(|(cell, name)| json!({"name": name, "controllers": cell.cluster.mesh}))
            .collect();
        let mut file = json!({"cells": cells, "cell_lease_s": timeouts.cell_lease_s,
            "renew_without_ledger_s": timeouts.renew_without_ledger_s,
            "takeover_after_s": timeouts.takeover_after_s});
        for (field, value) in settings.as_object().unwrap() {
            file[field] = value.clone();
        }
        file
    }

    /// Writes a cell's copy of the cells file, which contains the cell's own address of the ledger. The cell's
    /// controllers use it from their next start.
    fn add_cells_file(&mut self, cell: usize, file: &Value) {
        let mut file = file.clone();
        file["ledger"] = json!({"addr": self.cells[cell].ledger_addr, "rps": 2000.0,
            "write_rps": 500.0, "value_kb": 8.0, "txn_ops": 24});
        let name = format!("cells-{cell}.json");
        let file = self.folder.write(&name, &file.to_string());
        let cluster = &mut self.cells[cell].cluster;
        cluster.add_arguments(["--cells".as_ref(), file.as_os_str()]);
        cluster.add_arguments(["--cell", CELL_NAMES[cell]]);
    }

    fn cells_file_of(&self, cell: usize) -> PathBuf {
        self.folder.path().join(format!("cells-{cell}.json"))
    }

    pub fn start_cell(&mut self, cell: usize) {
        self.cells[cell].cluster.start_all();
    }

    /// Starts all cells, and waits until the first controller of each is healthy and all cells are registered.
    pub async fn start_all(&mut self) {
        self.start_all_until_healthy().await;
        let registered = async || self.ledger.stored("c/l/n/").len() == self.cells.len();
        until("all cells are registered", registered).await;
    }

    /// Starts all cells, and waits until the first controller of each is healthy.
    pub async fn start_all_until_healthy(&mut self) {
        (0..self.cells.len()).for_each(|cell| self.start_cell(cell));
        for (cell, name) in self.cells.iter().zip(CELL_NAMES) {
            let healthy = async || cell.cluster.is_healthy(0).await;
            until(&format!("{name}'s first controller is healthy"), healthy).await;
        }
    }

    pub async fn get(&self, cell: usize, controller: usize, path: &str) -> (u16, Value) {
        self.cells[cell].cluster.get(controller, path).await
    }

    pub async fn post(
        &self,
        cell: usize,
        controller: usize,
        path: &str,
        body: Value,
    ) -> (u16, Value) {
        self.cells[cell].cluster.post(controller, path, body).await
    }

    /// Submits a job to a cell and retries until it is accepted; returns the answer.
    pub async fn submit(&self, cell: usize, job: &Value) -> Value {
        self.cells[cell].cluster.submit(0, job).await
    }

    /// Cancels a job at a cell and retries until there is an answer; returns the stage in it.
    pub async fn cancel(&self, cell: usize, id: &str) -> String {
        self.cells[cell].cluster.cancel(id).await
    }

    /// A job's stage as one of a cell's controllers reports it; empty if none answers.
    pub async fn stage(&self, cell: usize, id: &str) -> String {
        self.cells[cell].cluster.stage(id).await
    }

    /// Sets the program that a cell's controllers run from their next start.
    pub fn set_program(&mut self, cell: usize, program: &str) {
        let cluster = &mut self.cells[cell].cluster;
        (0..CONTROLLERS_PER_CELL).for_each(|number| cluster.set_program(number, program));
    }

    /// Runs the `cells` command of the current build's client with these arguments.
    pub fn client(&self, arguments: &[&str]) -> ClientOutput {
        self.client_of(PROGRAM, arguments)
    }

    /// Runs the `cells` command of a build's client with these arguments.
    pub fn client_of(&self, program: &str, arguments: &[&str]) -> ClientOutput {
        let file = self.cells_file_of(1);
        let arguments = arguments.iter().map(AsRef::as_ref);
        let all = std::iter::once("cells".as_ref())
            .chain(arguments)
            .chain(["--cells".as_ref(), file.as_os_str()]);
        run_client(program, all)
    }

    /// Rules that the machines found broken, and violations that the checker finds in the history of reports to users
    /// and of task runs.
    pub fn broken_rules(&self) -> Vec<String> {
        // All cells share one `World`.
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

/// Waits until a condition holds, and fails the test after [`TIMEOUT`]. `what` names the condition in the failure.
pub async fn until(what: &str, holds: impl AsyncFnMut() -> bool) {
    until_within(TIMEOUT, what, holds).await;
}

/// A job whose tasks start independently.
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
