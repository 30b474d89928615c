//! Tests of an older build of the program together with the current build. Controllers of both builds divide the teams'
//! limits, each build continues from the records of the other, and the clients of both print the same.

use crate::site::{CONTROLLERS, PROGRAM, Site, Teams, gang, job};
use rowanmill_testing::cluster::{ClientOutput, old_program};
use rowanmill_testing::until;
use serde_json::{Value, json};
use std::time::Duration;

const TEAMS: Teams = &[("arrays", 4.0), ("gangs", 4.0), ("cancelled", 2.0)];
const TASK_DURATION: Duration = Duration::from_secs(2);
/// The number of tasks of each array job.
const TASKS_PER_ARRAY: u32 = 3;
/// The number of tasks of each job that is cancelled. Its team's limit allows 2 at a time, so the job would run for
/// 20 s.
const TASKS_OF_CANCELLED_JOB: u32 = 20;
/// How long the jobs may take to end after the last submission: for each controller, the 40 s that `until` allows for a
/// takeover.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40 * CONTROLLERS as u64);

/// Whether the current leader is replaced before the other controllers or after them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplacementOrder {
    LeaderFirst,
    LeaderLast,
}

/// A site whose controllers can be of two builds, and the jobs that its users have submitted.
struct MixedSite {
    site: Site,
    /// The path of each controller's program.
    programs: Vec<String>,
    /// The number of rounds of jobs that have been submitted.
    submitted_rounds: usize,
    /// The ids of the jobs that must become done.
    expected_done: Vec<String>,
    /// The ids of the jobs that were cancelled.
    cancelled: Vec<String>,
}

fn id(job: &Value) -> String {
    job["nameId"].as_str().unwrap().to_owned()
}

impl MixedSite {
    /// Starts all controllers with one build, and waits until the limits are divided.
    async fn start_all(program: &str) -> Self {
        let mut site = Site::new(TEAMS, TASK_DURATION).await;
        (0..CONTROLLERS).for_each(|number| site.set_program(number, program));
        site.start_all().await;
        Self {
            site,
            programs: vec![program.to_owned(); CONTROLLERS],
            submitted_rounds: 0,
            expected_done: Vec::new(),
            cancelled: Vec::new(),
        }
    }

    /// Starts a controller that is not running, and waits until it is healthy.
    async fn start(&mut self, number: usize) {
        self.site.set_program(number, &self.programs[number]);
        self.site.start(number);
        let is_healthy = async || self.site.is_healthy(number).await;
        until(&format!("controller {number} is healthy"), is_healthy).await;
    }

    /// The next controller to replace with this build, or `None` if all controllers are of this build.
    async fn next_to_replace(&self, program: &str, order: ReplacementOrder) -> Option<usize> {
        let has_leader = async || self.site.leader().is_some();
        until("there is a leader", has_leader).await;
        let leader = self.site.leader();
        let mut remaining: Vec<usize> = (0..CONTROLLERS)
            .filter(|number| self.programs[*number] != program)
            .collect();
        remaining.sort_by_key(|number| {
            (Some(*number) == leader) != (order == ReplacementOrder::LeaderFirst)
        });
        remaining.first().copied()
    }

    /// Makes a controller of this build the leader. To this end, it kills all controllers of the other build, waits
    /// until a controller of this build leads, and restarts the killed ones.
    async fn move_leadership_to(&mut self, program: &str) {
        let others: Vec<usize> = (0..CONTROLLERS)
            .filter(|number| self.programs[*number] != program)
            .collect();
        others.iter().for_each(|number| self.site.kill(*number));
        let leads = async || {
            let leader = self.site.leader();
            leader.is_some_and(|number| self.programs[number] == program)
        };
        until(&format!("a controller of {program} leads"), leads).await;
        for number in others {
            self.start(number).await;
        }
    }

    /// Submits a job, which must become done, to a controller.
    async fn submit(&mut self, number: usize, job: &Value) {
        self.site.submit_at(number, job).await;
        self.expected_done.push(id(job));
    }

    /// Submits an array, an array that awaits it, and a gang, each to a different controller.
    async fn submit_round(&mut self) {
        let first = self.submitted_rounds * 10;
        let array = job(first, "arrays", TASKS_PER_ARRAY, 1.0);
        let mut after = job(first + 1, "arrays", TASKS_PER_ARRAY, 1.0);
        after["awaits"] = json!([id(&array)]);
        let awaited_tasks = (0..TASKS_PER_ARRAY).map(|task| format!("{}/{task}", id(&array)));
        let awaited_tasks = awaited_tasks.collect();
        {
            let mut world = self.site.cloud.world.lock().unwrap();
            world.dependencies.insert(id(&after), awaited_tasks);
        }
        let jobs = [array, after, gang(first + 2, "gangs", 2, 1.0)];
        for (index, job) in jobs.iter().enumerate() {
            let number = (self.submitted_rounds + index) % CONTROLLERS;
            self.submit(number, job).await;
        }
        self.submitted_rounds += 1;
    }

    /// Submits a job with more tasks than the limit allows to run at a time, and another round, whose arrays have the
    /// same limit. The job's number is 5; the numbers of all other jobs end in 0 to 3.
    async fn submit_more_than_the_limit_allows(&mut self) {
        self.submit(0, &job(5, "arrays", 10, 1.0)).await;
        self.submit_round().await;
    }

    /// For each controller, submits a round of jobs, and a long job to this controller, which is cancelled at another
    /// controller while it runs. Then polls all jobs at all controllers.
    async fn submit_cancel_and_poll_at_all(&mut self) {
        for number in 0..CONTROLLERS {
            self.submit_round().await;
            let job_number = self.submitted_rounds * 10 + 3;
            let long = job(job_number, "cancelled", TASKS_OF_CANCELLED_JOB, 1.0);
            let id = id(&long);
            self.site.submit_at(number, &long).await;
            let world = self.site.cloud.world.clone();
            let is_running = async || world.lock().unwrap().running_tasks(&id) > 0;
            until(&format!("{id}, which is to be cancelled, runs"), is_running).await;
            let other = (number + 1) % CONTROLLERS;
            assert_eq!(self.site.cancel_at(other, &id).await, "cancelled");
            self.cancelled.push(id);
        }
        self.poll_all_jobs_at_all().await;
    }

    /// Waits until each controller reports a stage for each job, and reports the cancelled jobs as cancelled.
    async fn poll_all_jobs_at_all(&self) {
        self.wait_for_stages_at_all(&self.expected_done, |_| true)
            .await;
        self.wait_for_stages_at_all(&self.cancelled, |stage| stage == "cancelled")
            .await;
    }

    /// Waits until each controller reports an expected stage for each of these jobs.
    async fn wait_for_stages_at_all(&self, ids: &[String], is_expected: impl Fn(&str) -> bool) {
        for id in ids {
            for number in 0..CONTROLLERS {
                let has_expected_stage = async || {
                    let stage = self.site.stage_at(number, id).await;
                    stage.is_some_and(|stage| is_expected(&stage))
                };
                let what = format!("controller {number} reports an expected stage of {id}");
                until(&what, has_expected_stage).await;
            }
        }
    }

    /// Waits until all jobs have ended. Checks that they ended as expected, that no rule was broken, that no team
    /// exceeded its limit, and that no controller logged an error.
    async fn wait_until_ended_and_check(&self) {
        let all_end = self
            .site
            .wait_until_all_end(&self.expected_done, COMPLETION_TIMEOUT);
        all_end.await;
        self.wait_for_stages_at_all(&self.expected_done, |stage| stage == "done")
            .await;
        self.poll_all_jobs_at_all().await;
        assert_eq!(self.site.broken_rules(), Vec::<String>::new());
        for (team, cpus) in TEAMS {
            assert!(
                self.site.peak_cpus()[team] <= *cpus,
                "team {team} exceeded its limit"
            );
        }
        assert_eq!(self.site.logged_errors(), Vec::<String>::new());
    }
}

/// The controllers of one build are replaced one by one with those of another. After each replacement that leaves both
/// builds running, each of them leads once.
async fn replace_one_by_one(from: &str, to: &str, order: ReplacementOrder) {
    let mut mixed = MixedSite::start_all(from).await;
    mixed.submit_cancel_and_poll_at_all().await;
    while let Some(number) = mixed.next_to_replace(to, order).await {
        mixed.site.kill(number);
        to.clone_into(&mut mixed.programs[number]);
        mixed.start(number).await;
        mixed.submit_cancel_and_poll_at_all().await;
        if mixed.programs.iter().any(|program| program == from) {
            for program in [to, from] {
                mixed.move_leadership_to(program).await;
                mixed.submit_cancel_and_poll_at_all().await;
            }
        }
    }
    mixed.wait_until_ended_and_check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn a_rolling_upgrade_can_start_with_the_leader() {
    replace_one_by_one(&old_program(), PROGRAM, ReplacementOrder::LeaderFirst).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn a_rolling_upgrade_can_end_with_the_leader() {
    replace_one_by_one(&old_program(), PROGRAM, ReplacementOrder::LeaderLast).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn a_rolling_downgrade_can_start_with_the_leader() {
    replace_one_by_one(PROGRAM, &old_program(), ReplacementOrder::LeaderFirst).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn a_rolling_downgrade_can_end_with_the_leader() {
    replace_one_by_one(PROGRAM, &old_program(), ReplacementOrder::LeaderLast).await;
}

/// All controllers of one build are killed while jobs run, wait for the limit and wait for other jobs. Controllers of
/// another build then continue.
async fn replace_all_at_once(from: &str, to: &str) {
    let mut mixed = MixedSite::start_all(from).await;
    mixed.submit_cancel_and_poll_at_all().await;
    mixed.submit_more_than_the_limit_allows().await;
    let world = mixed.site.cloud.world.clone();
    let is_running = async || world.lock().unwrap().running_tasks("job-5") > 0;
    until("job-5 runs", is_running).await;
    // The last round's second job awaits its first.
    let blocked = mixed.expected_done[mixed.expected_done.len() - 2].clone();
    assert_eq!(mixed.site.stage(&blocked).await, "queued");
    mixed.site.kill_all();
    (0..CONTROLLERS).for_each(|number| mixed.site.set_program(number, to));
    mixed.site.start_all().await;
    mixed.poll_all_jobs_at_all().await;
    mixed.submit_cancel_and_poll_at_all().await;
    mixed.wait_until_ended_and_check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn the_current_build_continues_from_the_records_of_the_older_build() {
    replace_all_at_once(&old_program(), PROGRAM).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn the_older_build_continues_from_the_records_of_the_current_build() {
    replace_all_at_once(PROGRAM, &old_program()).await;
}

/// Runs a command with the clients of the older and the current build, in this order, on the same records. Returns
/// their outputs.
async fn outputs_of_both(site: &Site, arguments: &[&str]) -> [ClientOutput; 2] {
    let arguments = [arguments, &["--output", "json"]].concat();
    let mut outputs = None;
    let is_unchanged = async || {
        let revision = site.state.revision();
        outputs = Some([&old_program(), PROGRAM].map(|build| site.client_of(build, &arguments)));
        site.state.revision() == revision
    };
    until("no record changes while both clients run", is_unchanged).await;
    outputs.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn the_clients_of_both_builds_print_the_same() {
    let mut mixed = MixedSite::start_all(PROGRAM).await;
    mixed.submit_cancel_and_poll_at_all().await;
    mixed.submit_more_than_the_limit_allows().await;
    // Without controllers, records change only when they expire.
    mixed.site.kill_all();
    // The last four jobs are job-5, of which the limit allows only some tasks to run at a time, and the three of the
    // round after it.
    let partly_running = mixed.expected_done[mixed.expected_done.len() - 4].as_str();
    let commands = [
        (0, vec!["status"]),
        (0, vec!["explain", partly_running]),
        (3, vec!["explain", "job-77777"]),
        (3, vec!["explain", mixed.cancelled[0].as_str()]),
        (2, vec!["status", "unknown-team"]),
    ];
    for (code, arguments) in commands {
        let [old, current] = outputs_of_both(&mixed.site, &arguments).await;
        assert_eq!(old, current, "{arguments:?}");
        assert_eq!(current.code, code, "{arguments:?}");
    }
    for id in &mixed.expected_done {
        let [old, current] = outputs_of_both(&mixed.site, &["explain", id]).await;
        assert_eq!(old, current, "{id}");
    }
    mixed.site.state.set_outage(true);
    let [old, current] = outputs_of_both(&mixed.site, &["status"]).await;
    assert_eq!((old, current.code), (current, 4));
}
