//! Controllers against the stand-ins, in real time.

use super::{Controller, DEFAULT_TIMEOUTS, PRESENT, Seat, Timeouts, Version};
use crate::membership::schema_versions::FeatureLevel;
use hyper::Method;
use rowanmill_testing::cloud::Cloud;
use rowanmill_testing::state::{StateLimits, StateService};
use rowanmill_testing::{ask, free_addr, serve, until};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

pub struct Site {
    pub seats: Vec<Seat>,
    pub state: StateService,
    pub state_addr: SocketAddr,
    pub cloud: Cloud,
    pub cloud_addr: SocketAddr,
}

impl Site {
    pub async fn new(controllers: usize, task_takes: Duration) -> Self {
        Self::with(controllers, task_takes, DEFAULT_TIMEOUTS).await
    }

    pub async fn with(controllers: usize, task_takes: Duration, timeouts: Timeouts) -> Self {
        let seat = |_| Seat {
            api: free_addr(),
            mesh: free_addr(),
        };
        let seats: Vec<Seat> = (0..controllers).map(seat).collect();
        let state = StateService::default();
        let cloud = Cloud::new(seats.iter().map(|s| s.api).collect(), task_takes, timeouts);
        let state_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let cloud_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let site = Self {
            state_addr: state_listener.local_addr().unwrap(),
            cloud_addr: cloud_listener.local_addr().unwrap(),
            seats,
            state,
            cloud,
        };
        tokio::spawn(serve(state_listener, site.state.handler()));
        tokio::spawn(serve(cloud_listener, site.cloud.handler()));
        site
    }

    pub async fn start(&self, number: usize) -> Controller {
        let controller = Controller::start(number, &self.seats, self.state_addr, self.cloud_addr);
        let ready = async || self.get(number, "/healthz").await.0 == 200;
        until("the controller is healthy", ready).await;
        controller
    }

    pub fn start_as(&self, version: Version, number: usize) -> Controller {
        Controller::start_as(
            version,
            number,
            &self.seats,
            self.state_addr,
            self.cloud_addr,
        )
    }

    /// Submits until it is taken.
    pub async fn submit(&self, number: usize, job: &Value) -> Value {
        for _ in 0..400 {
            let (status, told) = self.post(number, "/v1/jobs", job.clone()).await;
            if matches!(status, 200 | 201) {
                return told;
            }
            assert!(matches!(status, 0 | 429 | 503), "{status} {told}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("never taken: {job}");
    }

    /// A job that waits for others, of so many tasks each; the cloud's world sees to the order.
    async fn submit_after(&self, number: usize, id: &str, awaits: &[(&str, u32)]) -> Value {
        let tasks = awaits
            .iter()
            .flat_map(|(job, count)| (0..*count).map(move |n| format!("{job}/{n}")));
        let needs = tasks.collect();
        {
            let mut world = self.cloud.world.lock().unwrap();
            world.dependencies.insert(id.to_owned(), needs);
        }
        let mut job = job(id, 2, 1.0);
        let ids: Vec<&str> = awaits.iter().map(|a| a.0).collect();
        job["awaits"] = json!(ids);
        job["dueS"] = json!(60.0);
        self.submit(number, &job).await
    }

    pub fn broken_rules(&self) -> Vec<String> {
        self.cloud.world.lock().unwrap().broken_rules.clone()
    }

    pub async fn get(&self, number: usize, path: &str) -> (u16, Value) {
        ask(self.seats[number].api, Method::GET, path, Value::Null).await
    }

    pub async fn post(&self, number: usize, path: &str, body: Value) -> (u16, Value) {
        ask(self.seats[number].api, Method::POST, path, body).await
    }

    pub async fn stage(&self, number: usize, id: &str) -> String {
        let (_, told) = self.get(number, &format!("/v1/jobs/{id}")).await;
        told["stage"].as_str().unwrap_or_default().to_owned()
    }
}

pub fn job(id: &str, tasks: u32, cpus: f64) -> Value {
    json!({"nameId": id, "grist": "c", "crew": "t", "shape": "array", "urgency": "standard",
        "sacks": tasks, "cpus": cpus, "cards": 0.0, "memGb": 1.0, "mould": "i", "pullGb": 0.1,
        "stones": null, "yard": null, "together": false, "spread": false, "borrowed": false,
        "grindS": 1.0, "bankS": 0.0, "bankWriteS": 0.0, "dueS": 5.0})
}

/// Rules `ran_twice`, `not_done`, `forgotten` and `quota` over the end of the controller that
/// accepted a job and placed it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_outlives_the_controller_that_placed_it() {
    let site = Site::new(2, Duration::from_millis(1500)).await;
    let first = site.start(0).await;
    let _second = site.start(1).await;
    let (status, told) = site.post(0, "/v1/jobs", job("job-1", 12, 1.0)).await;
    assert_eq!((status, told["stage"].as_str()), (201, Some("queued")));
    let running = async || site.stage(1, "job-1").await == "running";
    until("it runs", running).await;
    drop(first);
    let done = async || site.stage(1, "job-1").await == "done";
    until("it is done", done).await;
    // The controller is back: another incarnation, with nothing in memory.
    let _first = site.start(0).await;
    assert_eq!(site.stage(0, "job-1").await, "done");
    let again = site.post(0, "/v1/jobs", job("job-1", 12, 1.0)).await;
    assert_eq!((again.0, again.1["stage"].as_str()), (200, Some("done")));
    let world = site.cloud.world.lock().unwrap();
    assert_eq!(world.broken_rules, Vec::<String>::new());
    assert!(world.starts >= 12);
    assert!(world.peak_running <= 6, "the team's limit is 6 CPUs");
}

/// Rules `went_back`, `ran_cancelled` and `invented`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_job_stays_so_and_its_tasks_go() {
    let site = Site::new(2, Duration::from_secs(600)).await;
    let _first = site.start(0).await;
    let _second = site.start(1).await;
    site.post(0, "/v1/jobs", job("job-2", 4, 1.0)).await;
    let running = async || site.stage(1, "job-2").await == "running";
    until("it runs", running).await;
    // Each node tells the same from the moment that any has told it.
    let (status, told) = site.post(1, "/v1/jobs/job-2/abort", Value::Null).await;
    assert_eq!((status, told["stage"].as_str()), (200, Some("cancelled")));
    assert_eq!(site.stage(0, "job-2").await, "cancelled");
    let gone = async || site.cloud.world.lock().unwrap().nothing_runs();
    until("its tasks are gone", gone).await;
    assert_eq!(site.stage(0, "job-2").await, "cancelled");
    let again = site.post(0, "/v1/jobs/job-2/abort", Value::Null).await;
    assert_eq!(again.1["stage"].as_str(), Some("cancelled"));
    assert_eq!(site.get(0, "/v1/jobs/job-99").await.0, 404);
    assert_eq!(
        site.post(0, "/v1/jobs/job-99/abort", Value::Null).await.0,
        404
    );
}

/// An outage for all: refused at once with a time to come back, healthy all the same, and nothing
/// accepted is forgotten. And what can never be taken is said to be so.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_refuses_at_once_and_forgets_nothing() {
    let site = Site::new(1, Duration::from_millis(300)).await;
    let _only = site.start(0).await;
    let statuses = [
        site.post(0, "/v1/jobs", Value::String("{\"nameId\":".into()))
            .await
            .0,
        site.post(0, "/v1/jobs", job("job-3", 0, 1.0)).await.0,
        site.post(0, "/v1/jobs", job("job-3", 1, 5.0)).await.0,
        site.post(0, "/v1/jobs", Value::String("x".repeat(70_000)))
            .await
            .0,
        site.get(0, "/v1/nothing").await.0,
        site.get(0, "/v1/jobs").await.0,
        site.post(0, "/hello", json!({"millstone": 3})).await.0,
    ];
    assert_eq!(statuses, [400, 400, 422, 400, 404, 405, 400]);
    site.post(0, "/v1/jobs", job("job-4", 2, 1.0)).await;
    let done = async || site.stage(0, "job-4").await == "done";
    until("it is done", done).await;
    site.state.set_outage(true);
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let asked = Instant::now();
    assert_eq!(site.post(0, "/v1/jobs", job("job-5", 1, 1.0)).await.0, 503);
    assert!(
        asked.elapsed() < Duration::from_millis(500),
        "it is not held back"
    );
    assert_eq!(
        site.get(0, "/v1/jobs/job-6").await.0,
        503,
        "not known is not never"
    );
    assert_eq!(
        site.stage(0, "job-4").await,
        "done",
        "a final state needs no read"
    );
    assert_eq!(site.get(0, "/healthz").await.0, 200);
    site.state.set_outage(false);
    let taken = async || site.post(0, "/v1/jobs", job("job-5", 1, 1.0)).await.0 == 201;
    until("it is taken again", taken).await;
}

/// Rules `forgotten`, `went_back`, `invented` and `ran_twice`: a controller back within a moment,
/// three times in a row and amid elections; then all of them ended inside an outage. Each job is
/// known to each of them soon after, the long ended one too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn back_within_a_moment_and_all_within_an_outage_forget_nothing() {
    let site = Site::new(3, Duration::from_millis(800)).await;
    let restart = |n: usize| Controller::start(n, &site.seats, site.state_addr, site.cloud_addr);
    let mut nodes = Vec::new();
    for number in 0..3 {
        nodes.push(site.start(number).await);
    }
    site.post(1, "/v1/jobs", job("job-20", 2, 1.0)).await;
    let done = async || site.stage(2, "job-20").await == "done";
    until("the first is done", done).await;
    for n in 21..25 {
        let id = format!("job-{n}");
        let taken = async || {
            matches!(
                site.post(n % 3, "/v1/jobs", job(&id, 3, 1.0)).await.0,
                200 | 201
            )
        };
        until("it is taken", taken).await;
    }
    for _ in 0..3 {
        // Whoever leads by now, two of three end and are back before their leases are over.
        drop(nodes.remove(0));
        nodes.push(restart(0));
        drop(nodes.remove(0));
        nodes.push(restart(1));
        nodes.rotate_left(1);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    site.state.set_outage(true);
    nodes.clear();
    nodes.extend((0..3).map(restart));
    tokio::time::sleep(Duration::from_millis(700)).await;
    site.state.set_outage(false);
    for number in 0..3 {
        for n in 20..25 {
            let id = format!("job-{n}");
            let done = async || site.stage(number, &id).await == "done";
            until("each controller knows how each job ended", done).await;
            let again = site.post(number, "/v1/jobs", job(&id, 3, 1.0)).await;
            assert_eq!((again.0, again.1["stage"].as_str()), (200, Some("done")));
        }
        assert_eq!(site.get(number, "/v1/jobs/job-99").await.0, 404);
    }
    let world = site.cloud.world.lock().unwrap();
    assert_eq!(world.broken_rules, Vec::<String>::new());
}

/// Rules `ran_twice`, `forgotten` and `went_back`: a controller that has lost the state service and
/// the other controllers, but whose workers still reach it, takes it for an outage at first. The
/// others take over what it placed, nothing runs twice, and each job is known to all once it is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_cut_from_all_but_its_workers_gives_way() {
    let site = Site::new(2, Duration::from_millis(2500)).await;
    let cut = Arc::new(AtomicBool::new(false));
    let line = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let line_addr = line.local_addr().unwrap();
    tokio::spawn(serve(line, site.state.handler_with_cut(cut.clone())));
    // Of the other controller it knows an address where nobody answers.
    let mut seats = site.seats.clone();
    seats[1].mesh = free_addr();
    let _alone = Controller::start(0, &seats, line_addr, site.cloud_addr);
    let ready = async || site.get(0, "/healthz").await.0 == 200;
    until("the first is healthy", ready).await;
    let _other = site.start(1).await;
    let ids: Vec<String> = (40..46).map(|n| format!("job-{n}")).collect();
    for (n, id) in ids.iter().enumerate() {
        let taken = site.post(n % 2, "/v1/jobs", job(id, 3, 1.0)).await.0;
        assert_eq!(taken, 201);
    }
    let running = async || site.stage(1, "job-40").await == "running";
    until("it runs", running).await;
    cut.store(true, Ordering::Relaxed);
    for id in &ids {
        let done = async || site.stage(1, id).await == "done";
        until("the other ends what the first placed", done).await;
    }
    let (status, _) = site.post(0, "/v1/jobs", job("job-46", 1, 1.0)).await;
    assert_eq!(status, 503, "it accepts nothing that it cannot record");
    cut.store(false, Ordering::Relaxed);
    for id in &ids {
        let done = async || site.stage(0, id).await == "done";
        until("the first knows it too", done).await;
    }
    let world = site.cloud.world.lock().unwrap();
    assert_eq!(world.broken_rules, Vec::<String>::new());
    assert!(world.starts >= 18);
}

/// Rules `too_early`, `orphaned` and `forgotten`: a diamond with an end, whose controllers end in the
/// middle of it; a chain that is cancelled at its first job, and all that is refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelines_run_in_order_and_are_cancelled_whole() {
    let site = Site::new(2, Duration::from_millis(700)).await;
    let first = site.start(0).await;
    let second = site.start(1).await;
    site.submit(0, &job("job-50", 3, 1.0)).await;
    site.submit_after(1, "job-51", &[("job-50", 3)]).await;
    site.submit_after(0, "job-52", &[("job-50", 3)]).await;
    let told = site
        .submit_after(1, "job-53", &[("job-51", 2), ("job-52", 2)])
        .await;
    assert_eq!(told["stage"], "queued");
    // Refused, whatever is done about it: unknown, itself, and what is no list of ids.
    for (awaits, status) in [
        (json!(["job-99"]), 422),
        (json!(["job-50", "job-54"]), 422),
        (json!("job-50"), 400),
        (json!([50]), 400),
        (
            json!((1000..1900).map(|n| format!("job-{n}")).collect::<Vec<_>>()),
            400,
        ),
    ] {
        let mut job = job("job-54", 1, 1.0);
        job["awaits"] = awaits;
        assert_eq!(site.post(0, "/v1/jobs", job).await.0, status);
    }
    let running = async || site.stage(0, "job-50").await == "running";
    until("the first runs", running).await;
    // Both end as the first job does, or soon after: what is next is released all the same.
    drop(first);
    let done = async || site.stage(1, "job-50").await == "done";
    until("the first is done", done).await;
    drop(second);
    let _first = site.start(0).await;
    let _second = site.start(1).await;
    assert_ne!(site.stage(0, "job-53").await, "", "known though it waits");
    let done = async || site.stage(0, "job-53").await == "done";
    until("the last is done", done).await;
    // One that comes when all is over waits for nothing; a repeat gets its state.
    site.submit_after(1, "job-55", &[("job-53", 2)]).await;
    let again = site
        .submit_after(0, "job-53", &[("job-51", 2), ("job-52", 2)])
        .await;
    assert_eq!(again["stage"], "done");

    // A chain: cancelled at its first job, and all that hang on it with it, at each node at once.
    site.submit(0, &job("job-60", 2, 1.0)).await;
    for n in 61..70 {
        let before = format!("job-{}", n - 1);
        site.submit_after(n % 2, &format!("job-{n}"), &[(&before, 2)])
            .await;
    }
    let aborted = async || {
        let told = site.post(0, "/v1/jobs/job-60/abort", Value::Null).await.1;
        told["stage"] == "cancelled"
    };
    until("it is cancelled", aborted).await;
    for number in 0..2 {
        for n in 60..70 {
            assert_eq!(site.stage(number, &format!("job-{n}")).await, "cancelled");
        }
    }
    let told = site.submit_after(1, "job-70", &[("job-69", 2)]).await;
    assert_eq!(told["stage"], "cancelled", "taken all the same");
    let ended = async || site.state.stored("r/j/").is_empty();
    until("no record is left of them", ended).await;
    for n in 61..71 {
        assert_eq!(site.stage(0, &format!("job-{n}")).await, "cancelled");
    }
    // An abort that comes after the end cancels nothing.
    site.submit_after(0, "job-71", &[("job-53", 2)]).await;
    let told = site.post(1, "/v1/jobs/job-53/abort", Value::Null).await.1;
    assert_eq!(told["stage"], "done");
    let done = async || site.stage(1, "job-71").await == "done";
    until("it goes on", done).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// The version before is replaced a process at a time, with an old leader and with a new one, and the
/// limits fall in the middle of it, after it, or before: what both place runs once, what waits for
/// others is refused until all are new and then taken, and every value fits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn old_and_new_share_the_work_while_one_replaces_the_other() {
    let next = Some((1.0, 8, 60.0));
    let old = Version {
        supported_level: FeatureLevel::NONE,
        ..PRESENT
    };
    let new = Version { next, ..PRESENT };
    let lower = StateLimits {
        value_bytes: 1024,
        operations: 8,
        changes_per_s: 60.0,
    };
    for (leader_first, falls_after) in [(true, 3), (false, 1), (false, 0)] {
        let site = Site::new(3, Duration::from_millis(900)).await;
        let mut nodes: Vec<Option<Controller>> = Vec::new();
        for number in 0..3 {
            nodes.push(Some(site.start_as(old, number)));
            let ready = async || site.get(number, "/healthz").await.0 == 200;
            until("the controller is healthy", ready).await;
        }
        // So many tasks that a page of the version before is larger than the lower limit takes.
        site.submit(0, &job("job-80", 120, 0.05)).await;
        let running = async || site.stage(1, "job-80").await == "running";
        until("it runs", running).await;
        let leader = || {
            let record = site.state.stored("r/leader");
            let name = record.values().next()?["member"].as_str()?.to_owned();
            name.trim_start_matches("millstone-").parse::<usize>().ok()
        };
        let first = leader().unwrap_or(0);
        let order: Vec<usize> = match leader_first {
            true => (0..3).map(|n| (first + n) % 3).collect(),
            false => (1..4).map(|n| (first + n) % 3).collect(),
        };
        for (count, number) in order.iter().copied().enumerate() {
            if falls_after == count {
                site.state.set_limits(lower);
            }
            let mut waits = job("job-99", 1, 1.0);
            waits["awaits"] = json!(["job-80"]);
            nodes[number] = None;
            nodes[number] = Some(site.start_as(new, number));
            let ready = async || site.get(number, "/healthz").await.0 == 200;
            until("the new one is healthy", ready).await;
            if count < 2 {
                let (status, _) = site.post(number, "/v1/jobs", waits).await;
                assert_eq!(status, 503, "not before all are new");
            }
            let id = format!("job-{}", 81 + count);
            site.submit((number + 1) % 3, &job(&id, 30, 0.1)).await;
        }
        site.submit_after(0, "job-84", &[("job-81", 30), ("job-82", 30)])
            .await;
        if falls_after == 3 {
            site.state.set_limits(lower);
        }
        site.submit_after(2, "job-85", &[("job-84", 2)]).await;
        site.submit(1, &job("job-86", 100, 0.05)).await;
        for id in ["job-80", "job-81", "job-82", "job-83", "job-85", "job-86"] {
            let done = async || site.stage(1, id).await == "done";
            until("it is done", done).await;
        }
        assert_eq!(site.broken_rules(), Vec::<String>::new());
        let too_many = site.state.refusals().too_many_operations;
        assert_eq!(too_many, 0, "no transaction is too large");
    }
}
