//! A harness that runs controllers as processes of the real program, and serves the stand-ins that they talk to.

mod settings;
mod users;

use crate::cloud::{Cloud, World};
use crate::folder::TestFolder;
use crate::state::StateService;
use crate::{Timeouts, free_addr, serve_on_loopback};
pub use settings::{StateRates, TeamSetting};
use std::ffi::{OsStr, OsString};
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;
pub use users::Retry;

/// The number of lines at the end of each controller's log that a failed test prints.
const PRINTED_LOG_LINES: usize = 40;

/// The configuration of a [`Cluster`].
pub struct ClusterConfig {
    /// The path of the program. Tests of `rowanmill` pass `env!("CARGO_BIN_EXE_rowanmill")`.
    pub program: &'static str,
    /// The number of controllers.
    pub controllers: usize,
    /// The teams in the settings.
    pub teams: Vec<TeamSetting>,
    /// How long each task runs.
    pub task_duration: Duration,
    /// The timeouts in the settings. The workers use the same ones.
    pub timeouts: Timeouts,
    /// The rate limits of the state service in the settings.
    pub state_rates: StateRates,
    /// The maximum number of sockets that a controller may open, in the settings.
    pub max_sockets: u32,
    /// How users retry requests that fail temporarily.
    pub retry: Retry,
    /// What the machines and users observe. Clusters may share it.
    pub world: Arc<Mutex<World>>,
}

/// Controllers with their own state service and cloud. Dropping a cluster kills its controllers and, if the test has
/// failed, prints the ends of their logs.
pub struct Cluster {
    config: ClusterConfig,
    /// The stand-in for the state service.
    pub state: StateService,
    /// The stand-in for the cloud.
    pub cloud: Cloud,
    /// For each controller, whether its connection to the state service is cut: new requests then get status 503.
    pub state_cuts: Vec<Arc<AtomicBool>>,
    /// The address of each controller for users and workers.
    pub api: Vec<SocketAddr>,
    /// The address of each controller for the other controllers.
    pub mesh: Vec<SocketAddr>,
    state_addrs: Vec<SocketAddr>,
    cloud_addr: SocketAddr,
    /// The arguments that all controllers are started with, besides `serve` and `--config`.
    arguments: Vec<OsString>,
    /// The path of each controller's program.
    programs: Vec<PathBuf>,
    /// Contains the controllers' settings and logs, and the policy.
    folder: TestFolder,
    /// The process of each controller; `None` before its first start and after it was killed.
    processes: Vec<Option<Child>>,
}

impl Cluster {
    /// Serves the stand-ins. Does not start the controllers.
    pub async fn new(config: ClusterConfig) -> Self {
        let count = config.controllers;
        let api: Vec<SocketAddr> = (0..count).map(|_| free_addr()).collect();
        let state = StateService::default();
        let state_cuts: Vec<Arc<AtomicBool>> = (0..count).map(|_| Arc::default()).collect();
        let mut state_addrs = Vec::new();
        for cut in &state_cuts {
            state_addrs.push(serve_on_loopback(state.handler_with_cut(cut.clone())).await);
        }
        let cloud =
            Cloud::new(api.clone(), config.task_duration, config.timeouts).in_world(&config.world);
        Self {
            mesh: (0..count).map(|_| free_addr()).collect(),
            cloud_addr: serve_on_loopback(cloud.handler()).await,
            processes: (0..count).map(|_| None).collect(),
            folder: TestFolder::new("rowanmill-cluster"),
            arguments: Vec::new(),
            programs: vec![config.program.into(); count],
            config,
            state,
            cloud,
            state_cuts,
            api,
            state_addrs,
        }
    }

    /// Adds arguments that each controller gets from its next start on.
    pub fn add_arguments(&mut self, arguments: impl IntoIterator<Item = impl AsRef<OsStr>>) {
        let arguments = arguments.into_iter();
        self.arguments
            .extend(arguments.map(|argument| argument.as_ref().to_owned()));
    }

    /// Sets the program, such as another build, that a controller runs from its next start on.
    pub fn set_program(&mut self, number: usize, program: impl Into<PathBuf>) {
        self.programs[number] = program.into();
    }

    /// Sets the policy that each controller uses from its next start on. May be called only once, because the program
    /// refuses a repeated `--policy`.
    pub fn set_policy(&mut self, policy: &str) {
        let file = self.folder.write("policy", policy);
        self.add_arguments(["--policy".as_ref(), file.as_os_str()]);
    }

    /// The path of a controller's settings file.
    pub fn settings_file(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("settings-{number}.json"))
    }

    fn log_file(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("log-{number}.txt"))
    }

    /// Everything that a controller has logged since the cluster was created.
    fn log_text(&self, number: usize) -> String {
        std::fs::read_to_string(self.log_file(number)).unwrap_or_default()
    }

    /// The lines in the logs of all controllers that contain `ERROR`, `rejected` or `malformed`, as those that report
    /// a malformed record do.
    pub fn logged_errors(&self) -> Vec<String> {
        let is_error = |line: &&str| {
            let words = ["ERROR", "rejected", "malformed"];
            words.iter().any(|word| line.contains(word))
        };
        let mut errors = Vec::new();
        for number in 0..self.config.controllers {
            let log = self.log_text(number);
            let lines = log.lines().filter(is_error);
            errors.extend(lines.map(|line| format!("controller {number}: {line}")));
        }
        errors
    }

    /// Starts a controller that is not running, for the first time or again.
    pub fn start(&mut self, number: usize) {
        let settings = self.settings_file(number);
        let written = std::fs::write(&settings, self.settings(number).to_string());
        written.expect("the temporary folder is writable");
        let mut log = File::options();
        let log = log.create(true).append(true).open(self.log_file(number));
        let log = log.expect("the temporary folder is writable");
        let process = Command::new(&self.programs[number])
            .arg("serve")
            .args(&self.arguments)
            .arg("--config")
            .arg(settings)
            .stderr(Stdio::from(log))
            .spawn();
        self.processes[number] = Some(process.expect("the program can be run"));
    }

    /// Starts all controllers.
    pub fn start_all(&mut self) {
        (0..self.config.controllers).for_each(|number| self.start(number));
    }

    /// Whether a controller reports that it is healthy.
    pub async fn is_healthy(&self, number: usize) -> bool {
        self.get(number, "/healthz").await.0 == 200
    }

    /// Kills a controller's process at once, without an orderly shutdown.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut process) = self.processes[number].take() {
            // Neither call fails if the process has already exited by itself. Other failures are not expected.
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Kills all controllers' processes.
    pub fn kill_all(&mut self) {
        (0..self.config.controllers).for_each(|number| self.kill(number));
    }

    /// Sends a signal, such as `-STOP` or `-CONT`, to a controller's process if it was started and not killed.
    pub fn signal(&self, number: usize, signal: &str) {
        if let Some(process) = &self.processes[number] {
            let pid = process.id().to_string();
            let sent = Command::new("kill").args([signal, &pid]).status();
            assert!(sent.unwrap().success(), "`kill {signal}` failed");
        }
    }

    /// The number of the leading controller according to its record in the state service, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let record = self.state.stored("r/leader").into_values().next()?;
        settings::controller_number(record["member"].as_str()?)
    }

    fn print_logs(&self) {
        for number in 0..self.config.controllers {
            let text = self.log_text(number);
            let lines: Vec<&str> = text.lines().collect();
            let last = &lines[lines.len().saturating_sub(PRINTED_LOG_LINES)..];
            println!("---- controller {number}\n{}", last.join("\n"));
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
        self.kill_all();
    }
}

/// The environment variable that contains the path of an older build of the program.
const OLD_PROGRAM_VARIABLE: &str = "ROWANMILL_OLD_PROGRAM";

/// The path of an older build of the program, for tests that run it together with the current build.
///
/// # Panics
/// If the environment variable `ROWANMILL_OLD_PROGRAM` is not set.
pub fn old_program() -> String {
    std::env::var(OLD_PROGRAM_VARIABLE).unwrap_or_else(|_| {
        panic!("{OLD_PROGRAM_VARIABLE} must be set to the path of an older build of the program")
    })
}

/// The result of a command of the command-line client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientOutput {
    /// The exit code, or -1 if a signal ended the program.
    pub code: i32,
    /// The standard output.
    pub text: String,
}

/// Runs the program with these arguments until it exits.
pub fn run_client(
    program: &str,
    arguments: impl IntoIterator<Item = impl AsRef<OsStr>>,
) -> ClientOutput {
    let output = Command::new(program).args(arguments).output();
    let output = output.expect("the program can be run");
    ClientOutput {
        code: output.status.code().unwrap_or(-1),
        text: String::from_utf8_lossy(&output.stdout).into_owned(),
    }
}
