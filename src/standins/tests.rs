//! Controllers against the stand-ins, in real time.

use super::cloud::Cloud;
use super::state::State;
use super::{Controller, Seat, ask, free_addr, serve};
use hyper::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

struct Site {
    seats: Vec<Seat>,
    state: State,
    state_addr: SocketAddr,
    cloud: Cloud,
    cloud_addr: SocketAddr,
}

impl Site {
    async fn new(controllers: usize, task_takes: Duration) -> Self {
        let seat = |_| Seat {
            api: free_addr(),
            mesh: free_addr(),
        };
        let seats: Vec<Seat> = (0..controllers).map(seat).collect();
        let state = State::default();
        let cloud = Cloud::new(seats.iter().map(|s| s.api).collect(), task_takes);
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

    async fn start(&self, number: usize) -> Controller {
        let controller = Controller::start(number, &self.seats, self.state_addr, self.cloud_addr);
        let ready = async || self.get(number, "/healthz").await.0 == 200;
        until("the controller is healthy", ready).await;
        controller
    }

    async fn get(&self, number: usize, path: &str) -> (u16, Value) {
        ask(self.seats[number].api, Method::GET, path, Value::Null).await
    }

    async fn post(&self, number: usize, path: &str, body: Value) -> (u16, Value) {
        ask(self.seats[number].api, Method::POST, path, body).await
    }

    async fn stage(&self, number: usize, id: &str) -> String {
        let (_, told) = self.get(number, &format!("/v1/jobs/{id}")).await;
        told["stage"].as_str().unwrap_or_default().to_owned()
    }
}

async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(40);
    while !holds().await {
        assert!(Instant::now() < end, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn job(id: &str, tasks: u32, cpus: f64) -> Value {
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
    assert_eq!(world.broken, Vec::<String>::new());
    assert!(world.starts >= 12);
    assert!(world.most_at_once <= 6, "the team's limit is 6 CPUs");
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
    assert_eq!(statuses, [400, 400, 422, 413, 404, 405, 400]);
    site.post(0, "/v1/jobs", job("job-4", 2, 1.0)).await;
    let done = async || site.stage(0, "job-4").await == "done";
    until("it is done", done).await;
    site.state.set_out(true);
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
    site.state.set_out(false);
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
    site.state.set_out(true);
    nodes.clear();
    nodes.extend((0..3).map(restart));
    tokio::time::sleep(Duration::from_millis(700)).await;
    site.state.set_out(false);
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
    assert_eq!(world.broken, Vec::<String>::new());
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
    tokio::spawn(serve(line, site.state.line(cut.clone())));
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
    assert_eq!(world.broken, Vec::<String>::new());
    assert!(world.starts >= 18);
}
