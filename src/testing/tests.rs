//! Whole controllers against the stand-ins of `rowanmill-testing`, in real time.

use super::{
    Controller, ControllerAddrs, ControllerConfig, DEFAULT_CONFIG, DEFAULT_TIMEOUTS, Timeouts,
};
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

/// Controllers' addresses, and the state service and the cloud that they share.
pub struct TestCluster {
    pub addrs: Vec<ControllerAddrs>,
    pub state: StateService,
    pub state_addr: SocketAddr,
    pub cloud: Cloud,
    pub cloud_addr: SocketAddr,
}

impl TestCluster {
    pub async fn new(controllers: usize, task_duration: Duration) -> Self {
        Self::with_timeouts(controllers, task_duration, DEFAULT_TIMEOUTS).await
    }

    pub async fn with_timeouts(
        controllers: usize,
        task_duration: Duration,
        timeouts: Timeouts,
    ) -> Self {
        let new_addrs = |_| ControllerAddrs {
            api: free_addr(),
            mesh: free_addr(),
        };
        let addrs: Vec<ControllerAddrs> = (0..controllers).map(new_addrs).collect();
        let state = StateService::default();
        let cloud = Cloud::new(
            addrs.iter().map(|a| a.api).collect(),
            task_duration,
            timeouts,
        );
        let state_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let cloud_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let cluster = Self {
            state_addr: state_listener.local_addr().unwrap(),
            cloud_addr: cloud_listener.local_addr().unwrap(),
            addrs,
            state,
            cloud,
        };
        tokio::spawn(serve(state_listener, cluster.state.handler()));
        tokio::spawn(serve(cloud_listener, cluster.cloud.handler()));
        cluster
    }

    pub async fn start(&self, number: usize) -> Controller {
        let controller = Controller::start(number, &self.addrs, self.state_addr, self.cloud_addr);
        let ready = async || self.get(number, "/healthz").await.0 == 200;
        until("the controller is healthy", ready).await;
        controller
    }

    pub fn start_with(&self, config: ControllerConfig, number: usize) -> Controller {
        Controller::start_with(
            config,
            number,
            &self.addrs,
            self.state_addr,
            self.cloud_addr,
        )
    }

    /// Submits a job until it is accepted, in at most 400 attempts 100 ms apart.
    pub async fn submit(&self, number: usize, job: &Value) -> Value {
        for _ in 0..400 {
            let (status, body) = self.post(number, "/v1/jobs", job.clone()).await;
            if matches!(status, 200 | 201) {
                return body;
            }
            assert!(
                matches!(status, 0 | 429 | 503),
                "the job was refused permanently: {status} {body}"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("the job was not accepted within 400 attempts: {job}");
    }

    /// Submits a job that depends on others, each given with its number of tasks. The cloud's world records a broken
    /// rule if a task of the job starts before all of theirs are completed.
    async fn submit_after(&self, number: usize, id: &str, dependencies: &[(&str, u32)]) -> Value {
        let tasks = dependencies
            .iter()
            .flat_map(|(job, count)| (0..*count).map(move |n| format!("{job}/{n}")));
        let required = tasks.collect();
        {
            let mut world = self.cloud.world.lock().unwrap();
            world.dependencies.insert(id.to_owned(), required);
        }
        let mut job = job(id, 2, 1.0);
        let ids: Vec<&str> = dependencies.iter().map(|d| d.0).collect();
        job["awaits"] = json!(ids);
        job["dueS"] = json!(60.0);
        self.submit(number, &job).await
    }

    pub fn broken_rules(&self) -> Vec<String> {
        self.cloud.world.lock().unwrap().broken_rules.clone()
    }

    pub async fn get(&self, number: usize, path: &str) -> (u16, Value) {
        ask(self.addrs[number].api, Method::GET, path, Value::Null).await
    }

    pub async fn post(&self, number: usize, path: &str, body: Value) -> (u16, Value) {
        ask(self.addrs[number].api, Method::POST, path, body).await
    }

    pub async fn stage(&self, number: usize, id: &str) -> String {
        let (_, body) = self.get(number, &format!("/v1/jobs/{id}")).await;
        body["stage"].as_str().unwrap_or_default().to_owned()
    }
}

pub fn job(id: &str, tasks: u32, cpus: f64) -> Value {
    json!({"nameId": id, "grist": "c", "crew": "t", "shape": "array", "urgency": "standard",
        "sacks": tasks, "cpus": cpus, "cards": 0.0, "memGb": 1.0, "mould": "i", "pullGb": 0.1,
        "stones": null, "yard": null, "together": false, "spread": false, "borrowed": false,
        "grindS": 1.0, "bankS": 0.0, "bankWriteS": 0.0, "dueS": 5.0})
}

/// Guards against a task that runs on two machines at the same time, a job that is reported as done after fewer starts
/// than it has tasks, an accepted job that is no longer known, and a team that uses more than its limit: the controller
/// that accepted and placed a job stops. Another controller must finish the job, and the first must still know it after
/// its restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_is_finished_after_the_controller_that_placed_it_stops() {
    let cluster = TestCluster::new(2, Duration::from_millis(1500)).await;
    let first = cluster.start(0).await;
    let _second = cluster.start(1).await;
    let (status, body) = cluster.post(0, "/v1/jobs", job("job-1", 12, 1.0)).await;
    assert_eq!((status, body["stage"].as_str()), (201, Some("queued")));
    let running = async || cluster.stage(1, "job-1").await == "running";
    until("the job runs", running).await;
    drop(first);
    let done = async || cluster.stage(1, "job-1").await == "done";
    until("the job is done", done).await;
    // The first controller restarts with a new incarnation and reads all records anew.
    let _first = cluster.start(0).await;
    assert_eq!(cluster.stage(0, "job-1").await, "done");
    let again = cluster.post(0, "/v1/jobs", job("job-1", 12, 1.0)).await;
    assert_eq!((again.0, again.1["stage"].as_str()), (200, Some("done")));
    let world = cluster.cloud.world.lock().unwrap();
    assert_eq!(world.broken_rules, Vec::<String>::new());
    assert!(
        world.starts >= 12,
        "12 tasks are done after {} starts",
        world.starts
    );
    assert!(
        world.peak_running <= 6,
        "{} tasks of 1 CPU ran at a time, more than the team's limit of 6 CPUs",
        world.peak_running
    );
}

/// Guards against a reported cancellation that a later answer contradicts, tasks that keep running although their job's
/// cancellation was confirmed, and a job that nobody submitted but that is reported as known: every controller reports
/// a cancelled job as cancelled from the first answer on, its tasks are stopped, and an unknown job is not found.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_job_stays_cancelled_and_its_tasks_stop() {
    let cluster = TestCluster::new(2, Duration::from_secs(600)).await;
    let _first = cluster.start(0).await;
    let _second = cluster.start(1).await;
    cluster.post(0, "/v1/jobs", job("job-2", 4, 1.0)).await;
    let running = async || cluster.stage(1, "job-2").await == "running";
    until("the job runs", running).await;
    // Once one controller has reported the cancellation, every controller reports it.
    let (status, body) = cluster.post(1, "/v1/jobs/job-2/abort", Value::Null).await;
    assert_eq!((status, body["stage"].as_str()), (200, Some("cancelled")));
    assert_eq!(cluster.stage(0, "job-2").await, "cancelled");
    let stopped = async || cluster.cloud.world.lock().unwrap().nothing_runs();
    until("the job's tasks are stopped", stopped).await;
    assert_eq!(cluster.stage(0, "job-2").await, "cancelled");
    let again = cluster.post(0, "/v1/jobs/job-2/abort", Value::Null).await;
    assert_eq!(again.1["stage"].as_str(), Some("cancelled"));
    assert_eq!(cluster.get(0, "/v1/jobs/job-99").await.0, 404);
    assert_eq!(
        cluster
            .post(0, "/v1/jobs/job-99/abort", Value::Null)
            .await
            .0,
        404
    );
}

/// Guards against gangs whose starts exceed one transaction, by the number of their tasks alone or only with the records
/// of their machines: they silenced every controller, and what was planned for them kept others' work from capacity. They
/// are accepted and stay known, nothing of them is started, and an array beside them runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_array_runs_beside_gangs_that_exceed_one_transaction() {
    let cluster = TestCluster::new(1, Duration::from_millis(500)).await;
    let _controller = cluster.start(0).await;
    let gang_sizes = [100_000, 4_000, 100_000, 4_000];
    let gangs = ["job-1", "job-2", "job-3", "job-4"];
    for (id, tasks) in gangs.into_iter().zip(gang_sizes) {
        let mut gang = job(id, tasks, 1.0 / f64::from(tasks));
        gang["shape"] = json!("group");
        gang["memGb"] = json!(1.0 / f64::from(tasks));
        gang["dueS"] = Value::Null;
        cluster.submit(0, &gang).await;
    }
    cluster.submit(0, &job("job-5", 6, 1.0)).await;
    let done = async || cluster.stage(0, "job-5").await == "done";
    until("the array beside the gangs is done", done).await;
    for id in gangs {
        assert_eq!(cluster.stage(0, id).await, "queued");
    }
    let world = cluster.cloud.world.lock().unwrap();
    assert_eq!(world.broken_rules, Vec::<String>::new());
    assert_eq!(world.starts, 6, "only the array's tasks start");
}

/// Once the state service has been out for a few seconds, a controller refuses submissions at once. It stays healthy
/// and keeps the final states of jobs. Requests that can never succeed get a 4xx status.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_of_the_state_service_refuses_at_once_and_loses_no_job() {
    let cluster = TestCluster::new(1, Duration::from_millis(300)).await;
    let _controller = cluster.start(0).await;
    let statuses = [
        cluster
            .post(0, "/v1/jobs", Value::String("{\"nameId\":".into()))
            .await
            .0,
        cluster.post(0, "/v1/jobs", job("job-3", 0, 1.0)).await.0,
        cluster.post(0, "/v1/jobs", job("job-3", 1, 5.0)).await.0,
        cluster
            .post(0, "/v1/jobs", Value::String("x".repeat(70_000)))
            .await
            .0,
        cluster.get(0, "/v1/nothing").await.0,
        cluster.get(0, "/v1/jobs").await.0,
        cluster.post(0, "/hello", json!({"millstone": 3})).await.0,
    ];
    assert_eq!(statuses, [400, 400, 422, 400, 404, 405, 400]);
    cluster.post(0, "/v1/jobs", job("job-4", 2, 1.0)).await;
    let done = async || cluster.stage(0, "job-4").await == "done";
    until("the job is done", done).await;
    cluster.state.set_outage(true);
    // Longer than `STATE_TIMEOUT`, after which requests are refused at once instead of after a timeout.
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let sent = Instant::now();
    assert_eq!(
        cluster.post(0, "/v1/jobs", job("job-5", 1, 1.0)).await.0,
        503
    );
    assert!(
        sent.elapsed() < Duration::from_millis(500),
        "the refusal was delayed"
    );
    assert_eq!(
        cluster.get(0, "/v1/jobs/job-6").await.0,
        503,
        "whether the job exists cannot be known without a read"
    );
    assert_eq!(
        cluster.stage(0, "job-4").await,
        "done",
        "a final state must be served without a read"
    );
    assert_eq!(cluster.get(0, "/healthz").await.0, 200);
    cluster.state.set_outage(false);
    let accepted = async || cluster.post(0, "/v1/jobs", job("job-5", 1, 1.0)).await.0 == 201;
    until("the job is accepted after the outage", accepted).await;
}

/// Guards against an accepted job that is no longer known, a repeated submission whose answer contradicts the final
/// stage that was reported, a job that nobody submitted but that is reported as known, and a task that runs on two
/// machines at the same time: two of three controllers restart without a pause, three times in a row and during
/// elections. Then all of them restart during an outage of the state service. Afterwards every controller knows how
/// each job ended, also the job that ended before the restarts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarts_during_elections_and_outages_lose_no_job() {
    let cluster = TestCluster::new(3, Duration::from_millis(800)).await;
    let restart =
        |n: usize| Controller::start(n, &cluster.addrs, cluster.state_addr, cluster.cloud_addr);
    let mut controllers = Vec::new();
    for number in 0..3 {
        controllers.push(cluster.start(number).await);
    }
    cluster.post(1, "/v1/jobs", job("job-20", 2, 1.0)).await;
    let done = async || cluster.stage(2, "job-20").await == "done";
    until("the first job is done", done).await;
    for n in 21..25 {
        let id = format!("job-{n}");
        let accepted = async || {
            matches!(
                cluster.post(n % 3, "/v1/jobs", job(&id, 3, 1.0)).await.0,
                200 | 201
            )
        };
        until(&format!("{id} is accepted"), accepted).await;
    }
    for _ in 0..3 {
        // Two of three controllers restart before their presence leases expire, possibly the leader among them.
        drop(controllers.remove(0));
        controllers.push(restart(0));
        drop(controllers.remove(0));
        controllers.push(restart(1));
        controllers.rotate_left(1);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    cluster.state.set_outage(true);
    controllers.clear();
    controllers.extend((0..3).map(restart));
    tokio::time::sleep(Duration::from_millis(700)).await;
    cluster.state.set_outage(false);
    for number in 0..3 {
        for n in 20..25 {
            let id = format!("job-{n}");
            let done = async || cluster.stage(number, &id).await == "done";
            until(
                &format!("controller {number} knows that {id} is done"),
                done,
            )
            .await;
            let again = cluster.post(number, "/v1/jobs", job(&id, 3, 1.0)).await;
            assert_eq!((again.0, again.1["stage"].as_str()), (200, Some("done")));
        }
        assert_eq!(cluster.get(number, "/v1/jobs/job-99").await.0, 404);
    }
    let world = cluster.cloud.world.lock().unwrap();
    assert_eq!(world.broken_rules, Vec::<String>::new());
}

/// Guards against a task that runs on two machines at the same time, and an accepted job that is no longer known: a
/// controller that cannot reach its peer loses its connection to the state service, but its workers still reach it. It
/// cannot tell this from an outage of the state service for all controllers. Its peer must take over the tasks that it
/// placed, without running one on two machines at the same time, and both controllers must know each job once the
/// connection is restored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_a_controller_without_state_service_and_peer_are_taken_over() {
    let cluster = TestCluster::new(2, Duration::from_millis(2500)).await;
    let cut = Arc::new(AtomicBool::new(false));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let cut_state_addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, cluster.state.handler_with_cut(cut.clone())));
    // The first controller's address of its peer is one at which nothing listens.
    let mut addrs = cluster.addrs.clone();
    addrs[1].mesh = free_addr();
    let _partitioned = Controller::start(0, &addrs, cut_state_addr, cluster.cloud_addr);
    let ready = async || cluster.get(0, "/healthz").await.0 == 200;
    until("the first controller is healthy", ready).await;
    let _peer = cluster.start(1).await;
    let ids: Vec<String> = (40..46).map(|n| format!("job-{n}")).collect();
    for (n, id) in ids.iter().enumerate() {
        let status = cluster.post(n % 2, "/v1/jobs", job(id, 3, 1.0)).await.0;
        assert_eq!(status, 201, "{id} must be accepted");
    }
    let running = async || cluster.stage(1, "job-40").await == "running";
    until("the job runs", running).await;
    cut.store(true, Ordering::Relaxed);
    for id in &ids {
        let done = async || cluster.stage(1, id).await == "done";
        until(&format!("the peer reports {id} as done"), done).await;
    }
    let (status, _) = cluster.post(0, "/v1/jobs", job("job-46", 1, 1.0)).await;
    assert_eq!(status, 503, "a job that cannot be recorded must be refused");
    cut.store(false, Ordering::Relaxed);
    for id in &ids {
        let done = async || cluster.stage(0, id).await == "done";
        until(&format!("the first controller reports {id} as done"), done).await;
    }
    let world = cluster.cloud.world.lock().unwrap();
    assert_eq!(world.broken_rules, Vec::<String>::new());
    assert!(
        world.starts >= 18,
        "18 tasks are done after {} starts",
        world.starts
    );
}

/// Guards against a task that starts before the jobs that its job depends on are done, a job that is not cancelled
/// although a job that it depends on was, and an accepted job that is no longer known: the jobs of a diamond run in the
/// order of their dependencies although both controllers restart meanwhile, cancelling the first job of a chain cancels
/// the whole chain, and invalid dependencies are refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_run_after_their_dependencies_and_are_cancelled_with_them() {
    let cluster = TestCluster::new(2, Duration::from_millis(700)).await;
    let first = cluster.start(0).await;
    let second = cluster.start(1).await;
    cluster.submit(0, &job("job-50", 3, 1.0)).await;
    cluster.submit_after(1, "job-51", &[("job-50", 3)]).await;
    cluster.submit_after(0, "job-52", &[("job-50", 3)]).await;
    let body = cluster
        .submit_after(1, "job-53", &[("job-51", 2), ("job-52", 2)])
        .await;
    assert_eq!(body["stage"], "queued");
    // Refused permanently: unknown jobs, the job itself, values that are not a list of ids, and a list that is too
    // long.
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
        assert_eq!(
            cluster.post(0, "/v1/jobs", job).await.0,
            status,
            "invalid dependencies must be refused"
        );
    }
    let running = async || cluster.stage(0, "job-50").await == "running";
    until("the first job runs", running).await;
    // One controller stops while the first job runs, the other right after its end. The jobs that depend on it must
    // still run.
    drop(first);
    let done = async || cluster.stage(1, "job-50").await == "done";
    until("the first job is done", done).await;
    drop(second);
    let _first = cluster.start(0).await;
    let _second = cluster.start(1).await;
    assert_ne!(
        cluster.stage(0, "job-53").await,
        "",
        "a blocked job must be known"
    );
    let done = async || cluster.stage(0, "job-53").await == "done";
    until("the last job is done", done).await;
    // A job whose dependencies are already done is accepted. A repeated submission returns the job's stage.
    cluster.submit_after(1, "job-55", &[("job-53", 2)]).await;
    let again = cluster
        .submit_after(0, "job-53", &[("job-51", 2), ("job-52", 2)])
        .await;
    assert_eq!(again["stage"], "done");

    // Cancelling the first job of a chain cancels all that depend on it, as every controller reports at once.
    cluster.submit(0, &job("job-60", 2, 1.0)).await;
    for n in 61..70 {
        let before = format!("job-{}", n - 1);
        cluster
            .submit_after(n % 2, &format!("job-{n}"), &[(&before, 2)])
            .await;
    }
    let aborted = async || {
        let body = cluster
            .post(0, "/v1/jobs/job-60/abort", Value::Null)
            .await
            .1;
        body["stage"] == "cancelled"
    };
    until("the first job of the chain is cancelled", aborted).await;
    for number in 0..2 {
        for n in 60..70 {
            assert_eq!(
                cluster.stage(number, &format!("job-{n}")).await,
                "cancelled"
            );
        }
    }
    let body = cluster.submit_after(1, "job-70", &[("job-69", 2)]).await;
    assert_eq!(
        body["stage"], "cancelled",
        "a job that depends on a cancelled one must be accepted and cancelled"
    );
    let ended = async || cluster.state.stored("r/j/").is_empty();
    until("no open or blocked job is recorded", ended).await;
    for n in 61..71 {
        assert_eq!(cluster.stage(0, &format!("job-{n}")).await, "cancelled");
    }
    // An abort after the end of a job cancels neither the job nor its dependents.
    cluster.submit_after(0, "job-71", &[("job-53", 2)]).await;
    let body = cluster
        .post(1, "/v1/jobs/job-53/abort", Value::Null)
        .await
        .1;
    assert_eq!(body["stage"], "done");
    let done = async || cluster.stage(1, "job-71").await == "done";
    until("the dependent job is done", done).await;
    assert_eq!(cluster.broken_rules(), Vec::<String>::new());
}

/// A rolling upgrade from the previous version: controllers are replaced one at a time, the leader first or last, and
/// the limits of the state service are lowered after, during or before the upgrade. Every job must be done, and no task
/// may run on two machines at the same time. Jobs with dependencies are refused until every controller is upgraded. No
/// transaction may have more operations than the lowered limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_upgrade_under_lowered_state_limits_keeps_every_job() {
    let next_state_limits = Some((1.0, 8, 60.0));
    let previous = ControllerConfig {
        supported_level: FeatureLevel::NONE,
        ..DEFAULT_CONFIG
    };
    let upgraded = ControllerConfig {
        next_state_limits,
        ..DEFAULT_CONFIG
    };
    let lowered = StateLimits {
        value_bytes: 1024,
        operations: 8,
        operations_per_s: 60.0,
    };
    for (leader_first, lowered_after) in [(true, 3), (false, 1), (false, 0)] {
        let cluster = TestCluster::new(3, Duration::from_millis(900)).await;
        let mut controllers: Vec<Option<Controller>> = Vec::new();
        for number in 0..3 {
            controllers.push(Some(cluster.start_with(previous, number)));
            let ready = async || cluster.get(number, "/healthz").await.0 == 200;
            until("the controller is healthy", ready).await;
        }
        // Enough tasks that a progress page of the previous version exceeds the lowered value size.
        cluster.submit(0, &job("job-80", 120, 0.05)).await;
        let running = async || cluster.stage(1, "job-80").await == "running";
        until("the job runs", running).await;
        let leader = || {
            let record = cluster.state.stored("r/leader");
            let name = record.values().next()?["member"].as_str()?.to_owned();
            name.trim_start_matches("millstone-").parse::<usize>().ok()
        };
        let first = leader().unwrap_or(0);
        let order: Vec<usize> = match leader_first {
            true => (0..3).map(|n| (first + n) % 3).collect(),
            false => (1..4).map(|n| (first + n) % 3).collect(),
        };
        for (count, number) in order.iter().copied().enumerate() {
            if lowered_after == count {
                cluster.state.set_limits(lowered);
            }
            let mut blocked = job("job-99", 1, 1.0);
            blocked["awaits"] = json!(["job-80"]);
            controllers[number] = None;
            controllers[number] = Some(cluster.start_with(upgraded, number));
            let ready = async || cluster.get(number, "/healthz").await.0 == 200;
            until("the upgraded controller is healthy", ready).await;
            if count < 2 {
                let (status, _) = cluster.post(number, "/v1/jobs", blocked).await;
                assert_eq!(status, 503, "not every controller supports dependencies");
            }
            let id = format!("job-{}", 81 + count);
            cluster.submit((number + 1) % 3, &job(&id, 30, 0.1)).await;
        }
        cluster
            .submit_after(0, "job-84", &[("job-81", 30), ("job-82", 30)])
            .await;
        if lowered_after == 3 {
            cluster.state.set_limits(lowered);
        }
        cluster.submit_after(2, "job-85", &[("job-84", 2)]).await;
        cluster.submit(1, &job("job-86", 100, 0.05)).await;
        for id in ["job-80", "job-81", "job-82", "job-83", "job-85", "job-86"] {
            let done = async || cluster.stage(1, id).await == "done";
            until(&format!("{id} is done"), done).await;
        }
        assert_eq!(cluster.broken_rules(), Vec::<String>::new());
        let too_many = cluster.state.refusals().too_many_operations;
        assert_eq!(too_many, 0, "transactions had too many operations");
    }
}
