//! An older build of the program beside the present one: controllers of both divide the teams' limits, each
//! goes on with what the other has recorded, and their clients answer the same.

use crate::site::{CONTROLLERS, PROGRAM, Site, Teams, gang, job};
use rowanmill_testing::cluster::{ClientOutput, old_program};
use rowanmill_testing::until;
use serde_json::{Value, json};
use std::time::Duration;

const TEAMS: Teams = &[("arrays", 4.0), ("gangs", 4.0), ("cancelled", 2.0)];
const TASK: Duration = Duration::from_secs(2);
/// Array tasks of each job.
const TASKS: u32 = 3;
/// Tasks of a job that is cancelled: its team's limit keeps it running for 20 s.
const LONG: u32 = 20;
/// What `until` allows a takeover, for each of the controllers.
const ALL_END_WITHIN: Duration = Duration::from_secs(40 * CONTROLLERS as u64);

/// Which of the controllers is replaced at first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    LeaderFirst,
    LeaderLast,
}

/// A site whose controllers are of two builds, and the jobs that its users submit.
struct Mixed {
    site: Site,
    /// The program of each controller.
    programs: Vec<String>,
    /// How many rounds of jobs were submitted.
    rounds: usize,
    /// Jobs that are to be done.
    to_do: Vec<String>,
    cancelled: Vec<String>,
}

fn id(job: &Value) -> String {
    job["nameId"].as_str().unwrap().to_owned()
}

impl Mixed {
    /// All controllers are of one build, and the limits are divided.
    async fn start_all(program: &str) -> Self {
        let mut site = Site::new(TEAMS, TASK).await;
        (0..CONTROLLERS).for_each(|number| site.set_program(number, program));
        site.start_all().await;
        Self {
            site,
            programs: vec![program.to_owned(); CONTROLLERS],
            rounds: 0,
            to_do: Vec::new(),
            cancelled: Vec::new(),
        }
    }

    /// Starts a controller, which does not run, and waits until it is healthy.
    async fn start(&mut self, number: usize) {
        self.site.set_program(number, &self.programs[number]);
        self.site.start(number);
        let healthy = async || self.site.is_healthy(number).await;
        until("the controller is healthy", healthy).await;
    }

    /// The next controller to replace of those that are not of this build yet.
    async fn next(&self, program: &str, order: Order) -> Option<usize> {
        let led = async || self.site.leader().is_some();
        until("there is a leader", led).await;
        let leader = self.site.leader();
        let mut left: Vec<usize> = (0..CONTROLLERS)
            .filter(|number| self.programs[*number] != program)
            .collect();
        left.sort_by_key(|number| (Some(*number) == leader) != (order == Order::LeaderFirst));
        left.first().copied()
    }

    /// Has a controller of this build lead beside the others, which are killed, the leader among them if it is
    /// of the other build, and come back.
    async fn have_lead(&mut self, program: &str) {
        let others: Vec<usize> = (0..CONTROLLERS)
            .filter(|number| self.programs[*number] != program)
            .collect();
        others.iter().for_each(|number| self.site.kill(*number));
        let leads = async || {
            let leader = self.site.leader();
            leader.is_some_and(|number| self.programs[number] == program)
        };
        until("the build leads", leads).await;
        for number in others {
            self.start(number).await;
        }
    }

    async fn submit(&mut self, number: usize, job: &Value) {
        self.site.submit_at(number, job).await;
        self.to_do.push(id(job));
    }

    /// Submits an array, a job that awaits it and a gang, each to another controller.
    async fn submit_round(&mut self) {
        let number = self.rounds * 10;
        let array = job(number, "arrays", TASKS, 1.0);
        let mut after = job(number + 1, "arrays", TASKS, 1.0);
        after["awaits"] = json!([id(&array)]);
        let awaited = (0..TASKS).map(|task| format!("{}/{task}", id(&array)));
        let awaited = awaited.collect();
        {
            let mut world = self.site.cloud.world.lock().unwrap();
            world.dependencies.insert(id(&after), awaited);
        }
        let jobs = [array, after, gang(number + 2, "gangs", 2, 1.0)];
        for (at, job) in jobs.iter().enumerate() {
            self.submit((self.rounds + at) % CONTROLLERS, job).await;
        }
        self.rounds += 1;
    }

    /// Submits a job whose tasks the limit lets run only in part, and another round, which waits.
    async fn submit_more_than_may_run(&mut self) {
        self.submit(0, &job(5, "arrays", 10, 1.0)).await;
        self.submit_round().await;
    }

    /// Submits jobs to each controller, has one cancelled by another than it was submitted to while it runs, and
    /// polls all jobs at each.
    async fn use_all(&mut self) {
        for number in 0..CONTROLLERS {
            self.submit_round().await;
            let long = job(self.rounds * 10 + 3, "cancelled", LONG, 1.0);
            let id = id(&long);
            self.site.submit_at(number, &long).await;
            let world = self.site.cloud.world.clone();
            let runs = async || world.lock().unwrap().running_tasks(&id) > 0;
            until("the job to be cancelled runs", runs).await;
            let other = (number + 1) % CONTROLLERS;
            assert_eq!(self.site.cancel_at(other, &id).await, "cancelled");
            self.cancelled.push(id);
        }
        self.poll_all().await;
    }

    /// Each controller knows each job, and which are cancelled.
    async fn poll_all(&self) {
        self.until_all_answer(&self.to_do, |_| true).await;
        self.until_all_answer(&self.cancelled, |stage| stage == "cancelled")
            .await;
    }

    async fn until_all_answer(&self, ids: &[String], is_expected: impl Fn(&str) -> bool) {
        for id in ids {
            for number in 0..CONTROLLERS {
                let answers = async || {
                    let stage = self.site.stage_at(number, id).await;
                    stage.is_some_and(|stage| is_expected(&stage))
                };
                until(&format!("controller {number} answers for {id}"), answers).await;
            }
        }
    }

    /// All jobs end as they should, and nothing was broken on the way.
    async fn finish(&self) {
        let ended = self.site.wait_until_all_end(&self.to_do, ALL_END_WITHIN);
        ended.await;
        self.until_all_answer(&self.to_do, |stage| stage == "done")
            .await;
        self.poll_all().await;
        assert_eq!(self.site.broken_rules(), Vec::<String>::new());
        for (team, cpus) in TEAMS {
            assert!(
                self.site.peak_cpus()[team] <= *cpus,
                "{team} exceeds its limit"
            );
        }
        assert_eq!(self.site.logged_errors(), Vec::<String>::new());
    }
}

/// Controllers of one build are replaced by another's one by one; while both serve, each of them leads once.
async fn replace_one_by_one(from: &str, to: &str, order: Order) {
    let mut mixed = Mixed::start_all(from).await;
    mixed.use_all().await;
    while let Some(number) = mixed.next(to, order).await {
        mixed.site.kill(number);
        to.clone_into(&mut mixed.programs[number]);
        mixed.start(number).await;
        mixed.use_all().await;
        if mixed.programs.iter().any(|program| program == from) {
            for program in [to, from] {
                mixed.have_lead(program).await;
                mixed.use_all().await;
            }
        }
    }
    mixed.finish().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn controllers_are_upgraded_one_by_one_the_leader_first() {
    replace_one_by_one(&old_program(), PROGRAM, Order::LeaderFirst).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn controllers_are_upgraded_one_by_one_the_leader_last() {
    replace_one_by_one(&old_program(), PROGRAM, Order::LeaderLast).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn controllers_are_rolled_back_one_by_one_the_leader_first() {
    replace_one_by_one(PROGRAM, &old_program(), Order::LeaderFirst).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn controllers_are_rolled_back_one_by_one_the_leader_last() {
    replace_one_by_one(PROGRAM, &old_program(), Order::LeaderLast).await;
}

/// All controllers of one build are killed while jobs run, wait and are blocked; those of another go on.
async fn replace_all_at_once(from: &str, to: &str) {
    let mut mixed = Mixed::start_all(from).await;
    mixed.use_all().await;
    mixed.submit_more_than_may_run().await;
    let world = mixed.site.cloud.world.clone();
    let runs = async || world.lock().unwrap().running_tasks("job-5") > 0;
    until("a job runs, and others wait", runs).await;
    let blocked = mixed.to_do[mixed.to_do.len() - 2].clone();
    assert_eq!(mixed.site.stage(&blocked).await, "queued");
    mixed.site.kill_all();
    (0..CONTROLLERS).for_each(|number| mixed.site.set_program(number, to));
    mixed.site.start_all().await;
    mixed.poll_all().await;
    mixed.use_all().await;
    mixed.finish().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn the_present_build_goes_on_with_the_records_of_the_older() {
    replace_all_at_once(&old_program(), PROGRAM).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn the_older_build_goes_on_with_the_records_of_the_present() {
    replace_all_at_once(PROGRAM, &old_program()).await;
}

/// What both builds' clients answer on the same records; the older's first.
async fn both_answer(site: &Site, arguments: &[&str]) -> [ClientOutput; 2] {
    let arguments = [arguments, &["--output", "json"]].concat();
    let mut answers = None;
    let quiet = async || {
        let revision = site.state.revision();
        answers = Some([&old_program(), PROGRAM].map(|build| site.client_of(build, &arguments)));
        site.state.revision() == revision
    };
    until("no record changes while both are asked", quiet).await;
    answers.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn the_clients_of_both_builds_answer_the_same() {
    let mut mixed = Mixed::start_all(PROGRAM).await;
    mixed.use_all().await;
    mixed.submit_more_than_may_run().await;
    // Then no record changes but those that expire.
    mixed.site.kill_all();
    let long = mixed.to_do[mixed.to_do.len() - 4].as_str();
    let questions = [
        (0, vec!["status"]),
        (0, vec!["explain", long]),
        (3, vec!["explain", "job-77777"]),
        (3, vec!["explain", mixed.cancelled[0].as_str()]),
        (2, vec!["status", "unknown-team"]),
    ];
    for (code, question) in questions {
        let [old, present] = both_answer(&mixed.site, &question).await;
        assert_eq!(old, present, "{question:?}");
        assert_eq!(present.code, code, "{question:?}");
    }
    for id in &mixed.to_do {
        let [old, present] = both_answer(&mixed.site, &["explain", id]).await;
        assert_eq!(old, present, "{id}");
    }
    mixed.site.state.set_outage(true);
    let [old, present] = both_answer(&mixed.site, &["status"]).await;
    assert_eq!((old, present.code), (present, 4));
}
