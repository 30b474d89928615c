//! A cluster of three controllers that divide the limits of teams, and jobs of these teams.

use rowanmill_testing::cloud::World;
use rowanmill_testing::cluster::{
    ClientOutput, Cluster, ClusterConfig, Retry, StateRates, TeamSetting, run_client,
};
use rowanmill_testing::folder::TestFolder;
use rowanmill_testing::jobs::JobRequest;
use rowanmill_testing::{Timeouts, join_all, until};
use serde_json::Value;
use std::collections::BTreeMap;
use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const CONTROLLERS: usize = 3;
pub const TIMEOUTS: Timeouts = Timeouts {
    lease_s: 3.0,
    cancel_s: 9.0,
};

/// The path of the current build.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_rowanmill");
const RETRY: Retry = Retry {
    attempts: 600,
    pause: Duration::from_millis(50),
};

/// Teams with their limits in CPUs. 0 means that a team has no limit.
pub type Teams = &'static [(&'static str, f64)];

/// A cluster whose controllers divide the teams' limits.
pub struct Site {
    cluster: Cluster,
    teams: Teams,
    /// Contains the limits file.
    _folder: TestFolder,
}

impl Deref for Site {
    type Target = Cluster;

    fn deref(&self) -> &Cluster {
        &self.cluster
    }
}

impl DerefMut for Site {
    fn deref_mut(&mut self) -> &mut Cluster {
        &mut self.cluster
    }
}

impl Site {
    pub async fn new(teams: Teams, task_duration: Duration) -> Self {
        let mut world = World::default();
        for (team, cpus) in limited_teams(teams) {
            world.quota.set_limit(team, (cpus * 1000.0) as u64);
        }
        let settings = teams.iter().map(|(team, cpus)| TeamSetting {
            name: (*team).to_owned(),
            limit_cpus: *cpus,
        });
        let mut cluster = Cluster::new(ClusterConfig {
            program: PROGRAM,
            controllers: CONTROLLERS,
            teams: settings.collect(),
            task_duration,
            timeouts: TIMEOUTS,
            state_rates: StateRates {
                requests_per_s: 2000.0,
                writes_per_s: 900.0,
            },
            max_sockets: 1000,
            retry: RETRY,
            world: Arc::new(Mutex::new(world)),
        })
        .await;
        let folder = TestFolder::new("rowanmill-limits");
        let file = folder.write("limits.json", r#"{"reserve_after_s": 4.0}"#);
        cluster.add_arguments(["--limits".as_ref(), file.as_os_str()]);
        Self {
            cluster,
            teams,
            _folder: folder,
        }
    }

    /// Starts all controllers, and waits until each is healthy and the limits are divided.
    pub async fn start_all(&mut self) {
        self.cluster.start_all();
        for number in 0..CONTROLLERS {
            let healthy = async || self.is_healthy(number).await;
            until(&format!("controller {number} is healthy"), healthy).await;
        }
        let divided = async || self.are_divided();
        until("the limits are divided", divided).await;
    }

    /// Whether the limit of each limited team is divided among all controllers.
    fn are_divided(&self) -> bool {
        let records = self.state.stored("r/a/");
        let count = |record: &Value| record["allotments"].as_object().map_or(0, |a| a.len());
        records.len() == limited_teams(self.teams).count()
            && records.values().all(|r| count(r) == CONTROLLERS)
    }

    /// Submits all jobs concurrently, distributed over the controllers in turn, and retries until they are accepted.
    pub async fn submit_all(&self, jobs: &[Value]) {
        let jobs = jobs.iter().enumerate();
        let submissions = jobs.map(|(index, job)| self.submit(index % CONTROLLERS, job));
        join_all(submissions).await;
    }

    /// The most CPUs that each team used at the same time.
    pub fn peak_cpus(&self) -> BTreeMap<&'static str, f64> {
        let world = self.cloud.world.lock().unwrap();
        let teams = self.teams.iter();
        let peak = |team: &str| world.quota.peak_usage(team) as f64 / 1000.0;
        teams.map(|(team, _)| (*team, peak(team))).collect()
    }

    /// Runs the `limits` command of the current build's client with these arguments.
    pub fn client(&self, arguments: &[&str]) -> ClientOutput {
        self.client_of(PROGRAM, arguments)
    }

    /// Runs the `limits` command of a build's client with these arguments.
    pub fn client_of(&self, program: &str, arguments: &[&str]) -> ClientOutput {
        let settings = self.settings_file(0);
        let arguments = arguments.iter().map(AsRef::as_ref);
        let all = std::iter::once("limits".as_ref())
            .chain(arguments)
            .chain(["--config".as_ref(), settings.as_os_str()]);
        run_client(program, all)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::thread::panicking() {
            println!("quota allocations: {:#?}", self.state.stored("r/a/"));
        }
    }
}

/// The teams that have a limit.
fn limited_teams(teams: Teams) -> impl Iterator<Item = &'static (&'static str, f64)> {
    teams.iter().filter(|(_, cpus)| *cpus > 0.0)
}

fn request(number: usize, team: &str, tasks: u32, cpus: f64) -> JobRequest<'_> {
    JobRequest {
        number,
        team,
        tasks,
        cpus,
        memory_gb: 0.5,
        deadline_s: 30.0,
    }
}

/// A job whose tasks start independently.
pub fn job(number: usize, team: &str, tasks: u32, cpus: f64) -> Value {
    request(number, team, tasks, cpus).array()
}

/// A job whose tasks start together.
pub fn gang(number: usize, team: &str, tasks: u32, cpus: f64) -> Value {
    request(number, team, tasks, cpus).gang()
}
