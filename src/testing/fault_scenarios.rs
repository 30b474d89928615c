//! Faults, combinations of faults, and concurrent requests, each in an order of events in which a faulty controller
//! would break a rule.

use super::tests::{TestCluster, job};
use super::{Controller, ControllerConfig, DEFAULT_CONFIG, Timeouts};
use rowanmill_testing::state::TransactionFault;
use rowanmill_testing::{free_addr, serve, until};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Timeouts short enough for a test to wait until they have passed.
const SHORT_TIMEOUTS: Timeouts = Timeouts {
    lease_s: 4.0,
    cancel_s: 10.0,
};

/// Serves the state service to one controller at an address of its own. Returns the address, and the flag that cuts the
/// connection.
async fn serve_state_with_cut(cluster: &TestCluster) -> (SocketAddr, Arc<AtomicBool>) {
    let cut = Arc::new(AtomicBool::new(false));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, cluster.state.handler_with_cut(cut.clone())));
    (addr, cut)
}

/// Cancels a job, and repeats the request until the controller confirms it. From then on the world records a broken
/// rule if a task of the job starts, or still runs after `cancel_s`.
async fn cancel(cluster: &TestCluster, number: usize, id: &str) {
    let confirmed = async || {
        let path = format!("/v1/jobs/{id}/abort");
        let (_, body) = cluster.post(number, &path, Value::Null).await;
        body["stage"] == "cancelled"
    };
    until("the cancellation is confirmed", confirmed).await;
    cluster.cloud.world.lock().unwrap().record_cancellation(id);
}

/// Guards against tasks that start, or still run after `cancel_s`, although their job's cancellation was confirmed: the
/// owner of all machines loses its connection to the state service, and its peer confirms a cancellation. Then the
/// state service is out for both for longer than `cancel_s`, while the workers still report to the owner. If the owner
/// reaches its peer, it must stop only the tasks of the cancelled job, and all others must run through the outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_without_state_service_stops_only_jobs_that_its_peer_cancelled() {
    let scenario = DisconnectedOwner::new(true).await;
    scenario.cancel_and_outlast_timeout().await;
    {
        let world = scenario.cluster.cloud.world.lock().unwrap();
        assert_eq!(world.broken_rules, Vec::<String>::new());
        let running = (world.running_tasks("job-1"), world.running_tasks("job-2"));
        assert_eq!(
            (running, world.expired_leases),
            ((0, 3), 0),
            "(running tasks of the cancelled and of the other job), expired leases of workers with tasks"
        );
    }
    assert_eq!(
        scenario.cluster.stage(0, "job-1").await,
        "cancelled",
        "the owner must have learned of the cancellation from its peer"
    );
    scenario.restore_connections().await;
}

/// Guards against the same failure as the test above, but the owner does not reach its peer and cannot know which jobs
/// are cancelled. It must stop renewing the leases of all workers in time, so that no cancelled task runs for longer
/// than `cancel_s`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_without_state_service_and_peers_lets_all_leases_expire() {
    let scenario = DisconnectedOwner::new(false).await;
    scenario.cancel_and_outlast_timeout().await;
    assert!(
        scenario.cluster.cloud.world.lock().unwrap().nothing_runs(),
        "tasks still run after their workers' leases should have expired"
    );
    scenario.restore_connections().await;
}

/// Two controllers. The first leads and owns all machines, and the test can cut its connection to the state service.
struct DisconnectedOwner {
    cluster: TestCluster,
    cut: Arc<AtomicBool>,
    _controllers: [Controller; 2],
}

impl DisconnectedOwner {
    /// `reaches_peer`: whether the first controller knows the second's mesh address.
    async fn new(reaches_peer: bool) -> Self {
        let cluster = TestCluster::with_timeouts(2, Duration::from_secs(600), SHORT_TIMEOUTS).await;
        let config = ControllerConfig {
            timeouts: SHORT_TIMEOUTS,
            ..DEFAULT_CONFIG
        };
        let (cut_state_addr, cut) = serve_state_with_cut(&cluster).await;
        let mut addrs = cluster.addrs.clone();
        if !reaches_peer {
            addrs[1].mesh = free_addr();
        }
        let owner = Controller::start_with(config, 0, &addrs, cut_state_addr, cluster.cloud_addr);
        let ready = async || cluster.get(0, "/healthz").await.0 == 200;
        until("the first controller is healthy", ready).await;
        for id in ["job-1", "job-2"] {
            cluster.submit(0, &job(id, 3, 1.0)).await;
            let running = || cluster.cloud.world.lock().unwrap().running_tasks(id) == 3;
            until(&format!("all tasks of {id} run"), async || running()).await;
        }
        let peer = cluster.start_with(config, 1);
        let ready = async || cluster.get(1, "/healthz").await.0 == 200;
        until("the peer is healthy", ready).await;
        let both = || cluster.state.stored("r/n/").len() == 2;
        until("both controllers have presence records", async || both()).await;
        assert_eq!(cluster.stage(0, "job-1").await, "running");
        Self {
            cluster,
            cut,
            _controllers: [owner, peer],
        }
    }

    /// Cuts the first controller's connection to the state service, cancels a job at the second, and then begins an
    /// outage for both, which lasts for longer than tasks of a cancelled job may run.
    async fn cancel_and_outlast_timeout(&self) {
        self.cut.store(true, Ordering::Relaxed);
        cancel(&self.cluster, 1, "job-1").await;
        self.cluster.state.set_outage(true);
        tokio::time::sleep(SHORT_TIMEOUTS.cancel() + Duration::from_secs(1)).await;
        assert_eq!(self.cluster.broken_rules(), Vec::<String>::new());
    }

    /// Restores all connections. Both controllers must then report the cancelled job as cancelled, and the other job
    /// must run.
    async fn restore_connections(&self) {
        self.cluster.state.set_outage(false);
        self.cut.store(false, Ordering::Relaxed);
        for number in 0..2 {
            let cancelled = async || self.cluster.stage(number, "job-1").await == "cancelled";
            until(
                &format!("controller {number} reports the cancelled job"),
                cancelled,
            )
            .await;
        }
        let runs = || {
            self.cluster
                .cloud
                .world
                .lock()
                .unwrap()
                .running_tasks("job-2")
                == 3
        };
        until("the job that was not cancelled runs", async || runs()).await;
        assert_eq!(self.cluster.broken_rules(), Vec::<String>::new());
    }
}

/// The transaction that writes a controller's presence record gets no answer. If it is applied only after a later one,
/// the record must not be bound to the older lease: it would be deleted with that lease, and the controller would
/// never own or lead anything.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_presence_write_does_not_remove_a_running_controller() {
    let timeouts = Timeouts {
        lease_s: 20.0,
        cancel_s: 50.0,
    };
    for fault in [TransactionFault::Delayed, TransactionFault::AnswerLost] {
        let cluster = TestCluster::with_timeouts(1, Duration::from_millis(300), timeouts).await;
        cluster.state.inject_fault("r/n/millstone-0", fault, 1);
        let config = ControllerConfig {
            timeouts,
            ..DEFAULT_CONFIG
        };
        let _controller = cluster.start_with(config, 0);
        let present = || !cluster.state.stored("r/n/").is_empty();
        until("the presence record is written", async || present()).await;
        cluster.state.deliver_delayed();
        // Longer than the lease of the presence record.
        let end = Instant::now() + Duration::from_millis(6500);
        while Instant::now() < end {
            assert!(present(), "a running controller has no presence record");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        cluster.submit(0, &job("job-1", 2, 1.0)).await;
        let done = async || cluster.stage(0, "job-1").await == "done";
        until("the job is done", done).await;
    }
}

/// A controller that is short of memory refuses new jobs, so that it is not killed and keeps answering its machines.
/// Everything else is served: repeated submissions, polls, cancellations and health checks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_controller_short_of_memory_refuses_only_new_jobs() {
    let cluster = TestCluster::new(2, Duration::from_millis(300)).await;
    let _first = cluster.start(0).await;
    let config = ControllerConfig {
        memory_mb: 0.1,
        ..DEFAULT_CONFIG
    };
    let _short_of_memory = cluster.start_with(config, 1);
    let healthy = async || cluster.get(1, "/healthz").await.0 == 200;
    until("the controller short of memory is healthy", healthy).await;
    cluster.submit(0, &job("job-1", 2, 1.0)).await;
    let (status, body) = cluster.post(1, "/v1/jobs", job("job-2", 2, 1.0)).await;
    let reason = json!("too little memory for more work");
    assert_eq!((status, &body["error"]), (503, &reason));
    let (status, _) = cluster.post(1, "/v1/jobs", job("job-1", 2, 1.0)).await;
    assert_eq!(
        status, 200,
        "a job that the other controller accepted must be known"
    );
    let (status, _) = cluster
        .post(1, "/v1/jobs", json!({"nameId": "job-3"}))
        .await;
    assert_eq!(status, 400, "an invalid submission must get status 400");
    let done = async || cluster.stage(1, "job-1").await == "done";
    until("the job is done and reported as done", done).await;
    cluster.submit(0, &job("job-4", 500, 1.0)).await;
    let (status, body) = cluster.post(1, "/v1/jobs/job-4/abort", Value::Null).await;
    assert_eq!((status, &body["stage"]), (200, &json!("cancelled")));
    assert_eq!(cluster.broken_rules(), Vec::<String>::new());
}

/// Guards against an accepted job that is no longer known, a reported final stage that a later answer contradicts, and
/// a refused job that is reported as known: a job that can never run is refused with the reason. A submission with the
/// id of an accepted job returns that job's stage, even if its body is invalid.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_job_is_known_even_if_its_resubmission_is_invalid() {
    let cluster = TestCluster::new(2, Duration::from_millis(300)).await;
    let _first = cluster.start(0).await;
    let _second = cluster.start(1).await;
    cluster.submit(0, &job("job-1", 2, 1.0)).await;
    let job_with = |id: &str, field: &str, value: Value| {
        let mut job = job(id, 2, 1.0);
        job[field] = value;
        job
    };
    let invalid_values = [
        ("sacks", json!(0)),
        ("sacks", json!(1.5)),
        ("cpus", json!(-1.0)),
        ("cpus", json!(1e12)),
        ("cpus", json!("1")),
        ("mould", Value::Null),
        ("crew", json!("nobody")),
        ("cpus", json!(4.5)),
        ("stones", json!(["m5"])),
        ("yard", json!("b")),
        ("spread", json!(true)),
    ];
    let mut trace = String::new();
    for (field, value) in &invalid_values {
        let (status, body) = cluster
            .post(1, "/v1/jobs", job_with("job-2", field, value.clone()))
            .await;
        let reason = body["error"].as_str().unwrap_or_default();
        trace.push_str(&format!("{field}={value}: {status} {reason}\n"));
    }
    let assert_known = async |expected: &[&str]| {
        for (field, value) in &invalid_values {
            for number in 0..2 {
                let body = job_with("job-1", field, value.clone());
                let (status, answer) = cluster.post(number, "/v1/jobs", body).await;
                let stage = answer["stage"].as_str().unwrap_or_default();
                assert!(
                    status == 200 && expected.contains(&stage),
                    "{field}={value} at controller {number}: {status} {answer}"
                );
            }
        }
    };
    assert_known(&["queued", "running", "done"]).await;
    let done = async || cluster.stage(1, "job-1").await == "done";
    until("the job is done", done).await;
    assert_known(&["done"]).await;
    let answer = cluster.post(1, "/v1/jobs/job-1/abort", Value::Null).await;
    assert_eq!((answer.0, answer.1["stage"].as_str()), (200, Some("done")));
    assert_eq!(
        cluster.get(0, "/v1/jobs/job-2").await.0,
        404,
        "an invalid submission was accepted"
    );
    insta::assert_snapshot!(trace, @r#"
    sacks=0: 400 `sacks` is invalid
    sacks=1.5: 400 `sacks` is invalid
    cpus=-1.0: 400 `cpus` is invalid
    cpus=1000000000000.0: 400 `cpus` is invalid
    cpus="1": 400 `cpus` is invalid
    mould=null: 400 `mould` is invalid
    crew="nobody": 422 unknown team
    cpus=4.5: 422 no machine type takes a task of it
    stones=["m5"]: 422 no allowed machine type takes a task of it
    yard="b": 422 no allowed machine type takes a task of it
    spread=true: 422 no two zones for tasks that may not all be in one
    "#);
}

/// Users of all controllers. They check that every controller knows each accepted job, and that no answer contradicts a
/// final stage that any controller reported before the request.
struct Users<'a> {
    cluster: &'a TestCluster,
    /// The last stage reported for each job; a final stage stays.
    reported: Mutex<HashMap<String, String>>,
}

impl<'a> Users<'a> {
    fn new(cluster: &'a TestCluster) -> Self {
        let reported = Mutex::default();
        Self { cluster, reported }
    }

    fn reported_stage(&self, id: &str) -> Option<String> {
        self.reported.lock().unwrap().get(id).cloned()
    }

    /// Checks an answer against `before`, the stage that had been reported when the request was sent, and records the
    /// new stage. Returns the stage, or `None` if the request got no answer, was refused for now, or names an unknown
    /// job.
    fn record_answer(
        &self,
        id: &str,
        before: Option<String>,
        answer: (u16, Value),
    ) -> Option<String> {
        let (status, body) = answer;
        if matches!(status, 0 | 429 | 503) {
            return None;
        }
        if status == 404 {
            assert_eq!(before, None, "{id} was accepted and is unknown now");
            return None;
        }
        assert!(
            matches!(status, 200 | 201),
            "a request about {id} was refused permanently: {status} {body}"
        );
        let stage = body["stage"].as_str().unwrap().to_owned();
        if let Some(last) = before.filter(|b| b == "done" || b == "cancelled") {
            assert_eq!(stage, last, "the final stage of {id} changed");
        }
        if stage == "cancelled" {
            self.cluster
                .cloud
                .world
                .lock()
                .unwrap()
                .record_cancellation(id);
        }
        let mut reported = self.reported.lock().unwrap();
        let last = reported.entry(id.to_owned()).or_default();
        if last != "done" && last != "cancelled" {
            last.clone_from(&stage);
        }
        Some(stage)
    }

    async fn poll(&self, number: usize, id: &str) -> Option<String> {
        let before = self.reported_stage(id);
        let answer = self.cluster.get(number, &format!("/v1/jobs/{id}")).await;
        self.record_answer(id, before, answer)
    }

    /// Polls a job at all three controllers at the same time.
    async fn poll_all(&self, id: &str) -> [Option<String>; 3] {
        let (a, b, c) = tokio::join!(self.poll(0, id), self.poll(1, id), self.poll(2, id));
        [a, b, c]
    }

    async fn submit(&self, number: usize, job: &Value) -> Option<String> {
        let id = job["nameId"].as_str().unwrap();
        let before = self.reported_stage(id);
        let answer = self.cluster.post(number, "/v1/jobs", job.clone()).await;
        self.record_answer(id, before, answer)
    }

    async fn submit_until_accepted(&self, number: usize, job: &Value) {
        let accepted = async || self.submit(number, job).await.is_some();
        until(&format!("{} is accepted", job["nameId"]), accepted).await;
    }

    async fn abort(&self, number: usize, id: &str) -> Option<String> {
        let before = self.reported_stage(id);
        let path = format!("/v1/jobs/{id}/abort");
        let answer = self.cluster.post(number, &path, Value::Null).await;
        self.record_answer(id, before, answer)
    }

    /// Waits until each of these controllers reports a final stage for each job.
    async fn wait_until_all_ended(&self, controllers: &[usize], ids: &[String]) {
        for number in controllers {
            for id in ids {
                let ended = async || {
                    let stage = self.poll(*number, id).await;
                    stage.is_some_and(|s| s == "done" || s == "cancelled")
                };
                until(&format!("{id} ends"), ended).await;
            }
        }
    }
}

async fn start_three(cluster: &TestCluster) -> Vec<Controller> {
    let mut controllers = Vec::new();
    for number in 0..3 {
        controllers.push(cluster.start(number).await);
    }
    controllers
}

/// Guards against a reported final stage that a later answer contradicts, an accepted job that is no longer known, and
/// a job that nobody submitted but that is reported as known: users poll all controllers at the same time and repeat
/// the submission right after a job was accepted, cancelled or reported as done. The jobs have one task each and arrive
/// at four per second. A quarter of them is cancelled at once, another quarter at about the time when its task ends. In
/// the end only the final states of the jobs may be left in the state service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_controller_contradicts_a_final_stage_that_another_reported() {
    let cluster = TestCluster::new(3, Duration::from_millis(400)).await;
    let _controllers = start_three(&cluster).await;
    let users = Users::new(&cluster);
    let ids: Vec<String> = (100..124).map(|n| format!("job-{n}")).collect();
    let job_lifecycle = async |n: usize, id: &String| {
        tokio::time::sleep(Duration::from_millis(250) * n as u32).await;
        let job = job(id, 1, 1.0);
        users.submit_until_accepted(n % 3, &job).await;
        users.poll_all(id).await;
        assert_ne!(
            users.submit((n + 1) % 3, &job).await,
            Some(String::new()),
            "the answer to the repeated submission of {id} has an empty stage"
        );
        if n.is_multiple_of(4) {
            let cancelled = async || users.abort((n + 2) % 3, id).await.is_some();
            until("the cancellation is confirmed", cancelled).await;
        }
        loop {
            let stages = users.poll_all(id).await;
            let has_ended = |s: &Option<String>| matches!(s.as_deref(), Some("done" | "cancelled"));
            if stages.iter().any(has_ended) {
                break;
            }
            if n % 4 == 1 && cluster.cloud.world.lock().unwrap().running_tasks(id) == 1 {
                tokio::time::sleep(Duration::from_millis(330 + 10 * n as u64)).await;
                tokio::join!(users.abort(0, id), users.poll_all(id));
            }
        }
        users.poll_all(id).await;
        users.submit(n % 3, &job).await;
    };
    let mut pending: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(n, id)| Box::pin(job_lifecycle(n, id)))
        .collect();
    std::future::poll_fn(|context| {
        pending.retain_mut(|lifecycle| lifecycle.as_mut().poll(context).is_pending());
        match pending.is_empty() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    })
    .await;
    users.wait_until_all_ended(&[0, 1, 2], &ids).await;
    let none_left = async || {
        let records = cluster.state.stored("r/");
        let of_jobs = |key: &&String| ["r/j/", "r/p/", "r/q/"].iter().any(|p| key.starts_with(p));
        records.keys().filter(of_jobs).count() == 0
    };
    until("of the jobs, only the final states are left", none_left).await;
    assert_eq!(cluster.broken_rules(), Vec::<String>::new());
    assert!(
        users.poll(0, "job-99").await.is_none(),
        "a job that was never submitted must be unknown"
    );
}

/// Guards against a reported final stage that a later answer contradicts, a task that runs on two machines at the same
/// time, a task that starts although its job's cancellation was confirmed, and an accepted job that is no longer known:
/// transactions that are applied at once but whose answer is lost, while other controllers read what they wrote, and
/// transactions that are applied late, after newer ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unanswered_transactions_lose_no_job_and_run_no_task_twice() {
    let cluster = TestCluster::new(3, Duration::from_millis(700)).await;
    let _controllers = start_three(&cluster).await;
    let users = Users::new(&cluster);
    // The submission and the cancellation are applied, but their answers are lost. Every controller must know the job,
    // and then report it as cancelled.
    let first = job("job-1", 2, 1.0);
    cluster
        .state
        .inject_fault("r/j/job-1", TransactionFault::AnswerLost, 1);
    assert_eq!(users.submit(0, &first).await, None);
    assert!(
        users.poll_all("job-1").await.iter().all(Option::is_some),
        "a controller does not report a job whose submission was applied"
    );
    cluster
        .state
        .inject_fault("r/j/job-1", TransactionFault::AnswerLost, 1);
    assert_eq!(users.abort(0, "job-1").await, None);
    let cancelled = [const { "cancelled" }; 3].map(|s| Some(s.to_owned()));
    assert_eq!(users.poll_all("job-1").await, cancelled);
    // The submission is delayed: the job is accepted only by the repeated submission. The delayed cancellation is
    // not confirmed before it is applied.
    let second = job("job-2", 2, 1.0);
    cluster
        .state
        .inject_fault("r/j/job-2", TransactionFault::Delayed, 1);
    assert_eq!(users.submit(1, &second).await, None);
    users.submit_until_accepted(2, &second).await;
    cluster
        .state
        .inject_fault("r/j/job-2", TransactionFault::Delayed, 1);
    assert_eq!(
        users.abort(1, "job-2").await,
        None,
        "the cancellation was confirmed before it was applied"
    );
    assert_eq!(
        cluster.state.deliver_delayed(),
        1,
        "of the delayed transactions, only the cancellation must succeed: the job's record has not changed since"
    );
    assert_eq!(users.poll_all("job-2").await, cancelled);
    // A task start that is delayed until its job is cancelled fails, since it requires the job's earlier revision.
    cluster
        .state
        .inject_fault("r/p/job-3/", TransactionFault::Delayed, 1);
    users.submit_until_accepted(0, &job("job-3", 2, 1.0)).await;
    until("the task start is delayed", async || {
        cluster.state.has_delayed()
    })
    .await;
    let confirmed = async || users.abort(1, "job-3").await.is_some();
    until("the job is cancelled", confirmed).await;
    assert_eq!(
        cluster.state.deliver_delayed(),
        0,
        "a delayed task start was applied after the job's cancellation"
    );
    // Faults of writes of progress pages, which record the starts and exits of tasks, of final states and of the
    // assignment: each job ends, and a delayed transaction fails, since it requires the revisions that were read before
    // it. The assignment is written only if it changes, for example with the registered controllers, so its fault may not
    // occur.
    for (key, fault) in [
        ("r/p/", TransactionFault::Delayed),
        ("r/p/", TransactionFault::AnswerLost),
        ("e/job", TransactionFault::Delayed),
        ("e/job", TransactionFault::AnswerLost),
        ("r/shares", TransactionFault::Delayed),
    ] {
        let ids: Vec<String> = (0..4)
            .map(|n| format!("job-{}", next_job_number() + n))
            .collect();
        cluster.state.inject_fault(key, fault, 3);
        for (n, id) in ids.iter().enumerate() {
            users.submit_until_accepted(n % 3, &job(id, 2, 1.0)).await;
        }
        users.wait_until_all_ended(&[0, 1, 2], &ids).await;
        assert_eq!(
            cluster.state.deliver_delayed(),
            0,
            "delayed transactions on {key} were applied after all jobs had ended"
        );
    }
    for id in ["job-1", "job-2", "job-3"] {
        assert_eq!(users.poll_all(id).await, cancelled);
    }
    assert_eq!(cluster.broken_rules(), Vec::<String>::new());
}

/// Guards against a task that starts again although an attempt of it may still be running: two writes of task starts
/// are delayed while a later one is applied and the tasks run. The delayed writes must fail, since they require the
/// page's earlier revision.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_delayed_start_is_rejected_after_a_later_one() {
    let cluster = TestCluster::new(2, Duration::from_secs(600)).await;
    let _first = cluster.start(0).await;
    let _second = cluster.start(1).await;
    cluster
        .state
        .inject_fault("r/p/job-1/", TransactionFault::Delayed, 2);
    cluster.submit(0, &job("job-1", 3, 1.0)).await;
    let runs = || cluster.cloud.world.lock().unwrap().running_tasks("job-1") == 3;
    until("a later write starts all tasks", async || runs()).await;
    assert!(cluster.state.has_delayed(), "no task start was delayed");
    assert_eq!(
        cluster.state.deliver_delayed(),
        0,
        "a delayed task start was applied after a later one"
    );
}

/// The first of ten job numbers that no other call returns.
fn next_job_number() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(1000);
    NEXT.fetch_add(10, Ordering::Relaxed)
}

/// Guards against a task that starts although its job's cancellation was confirmed, a task that runs on two machines at
/// the same time, a reported final stage that a later answer contradicts, and an accepted job that is no longer known:
/// jobs are cancelled, polled and submitted again while controllers restart and their machines are reassigned. The
/// leader restarts eight times in a row, and twice another controller restarts during an outage of the state service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancellations_hold_while_controllers_restart() {
    let cluster = TestCluster::new(3, Duration::from_millis(1500)).await;
    let restart = |n| Controller::start(n, &cluster.addrs, cluster.state_addr, cluster.cloud_addr);
    let mut controllers: Vec<Option<Controller>> =
        start_three(&cluster).await.into_iter().map(Some).collect();
    let users = Users::new(&cluster);
    let mut ids = Vec::new();
    for round in 0..8 {
        let leader = cluster.state.stored("r/leader");
        let leader = leader
            .values()
            .next()
            .and_then(|l| l["member"].as_str().map(str::to_owned));
        let leader = leader.map_or(0, |l| l.trim_start_matches("millstone-").parse().unwrap());
        let other = (leader + 1 + round % 2) % 3;
        let batch: Vec<String> = (0..4)
            .map(|n| format!("job-{}", 2000 + round * 10 + n))
            .collect();
        for id in &batch {
            users.submit_until_accepted(other, &job(id, 2, 0.5)).await;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        controllers[leader] = None;
        tokio::join!(users.abort(other, &batch[0]), users.poll(other, &batch[1]));
        controllers[leader] = Some(restart(leader));
        if round % 4 == 3 {
            cluster.state.set_outage(true);
            controllers[other] = None;
            controllers[other] = Some(restart(other));
            tokio::time::sleep(Duration::from_millis(400)).await;
            cluster.state.set_outage(false);
        }
        let again = job(&batch[0], 2, 0.5);
        tokio::join!(users.abort(other, &batch[1]), users.submit(leader, &again));
        ids.extend(batch);
    }
    users.wait_until_all_ended(&[0, 1, 2], &ids).await;
    assert_eq!(cluster.broken_rules(), Vec::<String>::new());
    let world = cluster.cloud.world.lock().unwrap();
    assert!(
        world.peak_running <= 12,
        "{} tasks of 0.5 CPUs ran at a time, more than the team's limit of 6 CPUs",
        world.peak_running
    );
}

/// Guards against a team that uses more than its limit, a task that starts, or still runs after the permitted time,
/// although its job's cancellation was confirmed, and a task that runs on two machines at the same time: a team uses
/// its whole limit, and one of its jobs is cancelled while the job's machine hangs, cannot send or cannot receive, and
/// the controller that manages the limit stops. The task must count against the limit until it is known to have ended.
/// Only then may the next task start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_counts_against_the_limit_until_it_is_known_to_have_ended() {
    tokio::join!(
        check_limit_with("hung"),
        check_limit_with("cannot send"),
        check_limit_with("cannot receive")
    );
}

/// Runs the scenario with one fault of the cancelled job's machine.
async fn check_limit_with(fault: &str) {
    let timeouts = Timeouts {
        lease_s: 10.0,
        cancel_s: 16.0,
    };
    let cluster = TestCluster::with_timeouts(2, Duration::from_secs(600), timeouts).await;
    let config = ControllerConfig {
        timeouts,
        ..DEFAULT_CONFIG
    };
    let mut controllers = Vec::new();
    for number in 0..2 {
        controllers.push(Some(cluster.start_with(config, number)));
        let ready = async || cluster.get(number, "/healthz").await.0 == 200;
        until("the controller is healthy", ready).await;
    }
    // Of the limit's 6 CPUs the first task uses 4, a whole machine, and the second uses 2. The second task's machine
    // has room for the third task.
    let running = |id| cluster.cloud.world.lock().unwrap().running_tasks(id);
    for (id, cpus) in [("job-1", 4.0), ("job-2", 2.0)] {
        cluster.submit(0, &job(id, 1, cpus)).await;
        until(&format!("{fault}: {id} runs"), async || running(id) == 1).await;
    }
    {
        let mut world = cluster.cloud.world.lock().unwrap();
        let machines = world.machines_running("job-1");
        match fault {
            "hung" => world.hung = machines,
            "cannot send" => world.cannot_send = machines,
            _ => world.cannot_receive = machines,
        }
    }
    let assignments = cluster.state.stored("r/shares");
    let assignment = assignments
        .values()
        .next()
        .expect("an assignment is recorded");
    // The limit is not divided, so the owner of the team's jobs manages it.
    let owner_index = assignment["teams"]["t"].as_u64().unwrap() as usize;
    let owner_name = assignment["members"][owner_index]["name"].as_str().unwrap();
    let owner: usize = owner_name.trim_start_matches("millstone-").parse().unwrap();
    cancel(&cluster, 1 - owner, "job-1").await;
    cluster.submit(1 - owner, &job("job-3", 1, 2.0)).await;
    controllers[owner] = None;
    if fault == "hung" {
        // The machine recovers before its lease expires, so its task runs until the worker is told to stop it.
        tokio::time::sleep(Duration::from_secs(6)).await;
        cluster.cloud.world.lock().unwrap().hung.clear();
    }
    let starts = format!("{fault}: the next task starts");
    until(&starts, async || running("job-3") == 1).await;
    let world = cluster.cloud.world.lock().unwrap();
    assert_eq!(world.broken_rules, Vec::<String>::new(), "{fault}");
    assert_eq!(
        world.peak_running, 2,
        "{fault}: besides the two first tasks, another must not run at the same time"
    );
}

/// Guards against a task that runs on two machines at the same time, an accepted job that is no longer known, and
/// machines that would never be used or released: a leader stops right after it rented machines, which boot at once,
/// while the transaction that records their names gets no answer. Later no controller runs for longer than the workers'
/// lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_machine_is_lost_when_its_record_gets_no_answer_and_all_controllers_stop() {
    tokio::join!(
        check_rental_with(TransactionFault::Delayed),
        check_rental_with(TransactionFault::AnswerLost)
    );
}

/// Runs the scenario with one fault of the transaction that records the machines.
async fn check_rental_with(fault: TransactionFault) {
    let cluster = TestCluster::with_timeouts(2, Duration::from_millis(2500), SHORT_TIMEOUTS).await;
    let config = ControllerConfig {
        timeouts: SHORT_TIMEOUTS,
        ..DEFAULT_CONFIG
    };
    let users = Users::new(&cluster);
    let first = cluster.start_with(config, 0);
    let ready = async || cluster.get(0, "/healthz").await.0 == 200;
    until("the controller is healthy", ready).await;
    cluster.state.inject_fault("\"machines\":[[", fault, 1);
    users.submit_until_accepted(0, &job("job-1", 4, 1.0)).await;
    let rented = || !cluster.cloud.world.lock().unwrap().machines().is_empty();
    until("machines are rented", async || rented()).await;
    drop(first);
    let second = cluster.start_with(config, 1);
    let runs = async || cluster.cloud.world.lock().unwrap().running_tasks("job-1") > 0;
    until("the job runs", runs).await;
    drop(second);
    tokio::time::sleep(SHORT_TIMEOUTS.lease() + Duration::from_millis(500)).await;
    let _third = cluster.start_with(config, 0);
    cluster.state.deliver_delayed();
    users
        .wait_until_all_ended(&[0], &["job-1".to_owned()])
        .await;
    let none_lost = async || {
        let records: Vec<String> = cluster
            .state
            .stored("r/m/")
            .values()
            .map(Value::to_string)
            .collect();
        let machines = cluster.cloud.world.lock().unwrap().machines();
        machines
            .iter()
            .all(|m| records.iter().any(|r| r.contains(m.as_str())))
    };
    until("each machine is recorded or released", none_lost).await;
    let world = cluster.cloud.world.lock().unwrap();
    assert_eq!(world.broken_rules, Vec::<String>::new());
    assert!(
        world.expired_leases > 0,
        "no lease of a worker with tasks expired"
    );
}
