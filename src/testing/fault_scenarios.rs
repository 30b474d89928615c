//! Where two troubles meet: for each meeting the order of events that would break a rule.

use super::tests::{Site, job};
use super::{Controller, PRESENT, Timeouts, Version};
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

/// Short enough that a test can wait for them.
const SHORT: Timeouts = Timeouts {
    lease_s: 4.0,
    cancel_s: 10.0,
};

/// A way to the state service of one controller alone.
async fn line(site: &Site) -> (SocketAddr, Arc<AtomicBool>) {
    let cut = Arc::new(AtomicBool::new(false));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, site.state.handler_with_cut(cut.clone())));
    (addr, cut)
}

/// Cancels until it is confirmed, and has the world watch from then on.
async fn cancel(site: &Site, number: usize, id: &str) {
    let confirmed = async || {
        let path = format!("/v1/jobs/{id}/abort");
        let (_, told) = site.post(number, &path, Value::Null).await;
        told["stage"] == "cancelled"
    };
    until("the cancellation is confirmed", confirmed).await;
    site.cloud.world.lock().unwrap().record_cancellation(id);
}

/// Rule `ran_cancelled`: the state service refuses the leader alone, the other controller confirms
/// cancellations, and then it is out for all for longer than `cancel_s`, while workers report to
/// the old leader. With the other in reach only what was cancelled is stopped, and all else runs
/// through the outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_blind_owner_stops_what_another_tells_it_and_keeps_the_rest() {
    let gap = Gap::new(true).await;
    gap.outage().await;
    {
        let world = gap.site.cloud.world.lock().unwrap();
        assert_eq!(world.broken_rules, Vec::<String>::new());
        let left = (world.running_tasks("job-1"), world.running_tasks("job-2"));
        assert_eq!((left, world.expired_leases), ((0, 3), 0));
    }
    assert_eq!(gap.site.stage(0, "job-1").await, "cancelled", "it was told");
    gap.end().await;
}

/// The same, with no word from the other: no lease may be renewed past the floor.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_blind_owner_that_hears_nobody_lets_all_leases_end_in_time() {
    let gap = Gap::new(false).await;
    gap.outage().await;
    assert!(gap.site.cloud.world.lock().unwrap().nothing_runs());
    gap.end().await;
}

/// The first of two controllers owns all and leads; what it alone can reach is in the test's hand.
struct Gap {
    site: Site,
    cut: Arc<AtomicBool>,
    _nodes: [Controller; 2],
}

impl Gap {
    async fn new(in_reach: bool) -> Self {
        let site = Site::with(2, Duration::from_secs(600), SHORT).await;
        let version = Version {
            timeouts: SHORT,
            ..PRESENT
        };
        let (line_addr, cut) = line(&site).await;
        let mut seats = site.seats.clone();
        if !in_reach {
            seats[1].mesh = free_addr();
        }
        let blind = Controller::start_as(version, 0, &seats, line_addr, site.cloud_addr);
        let ready = async || site.get(0, "/healthz").await.0 == 200;
        until("the first is healthy", ready).await;
        for id in ["job-1", "job-2"] {
            site.submit(0, &job(id, 3, 1.0)).await;
            let running = || site.cloud.world.lock().unwrap().running_tasks(id) == 3;
            until("it runs", async || running()).await;
        }
        let other = site.start_as(version, 1);
        let ready = async || site.get(1, "/healthz").await.0 == 200;
        until("the other is healthy", ready).await;
        let both = || site.state.stored("r/n/").len() == 2;
        until("both are in the records", async || both()).await;
        assert_eq!(site.stage(0, "job-1").await, "running");
        Self {
            site,
            cut,
            _nodes: [blind, other],
        }
    }

    /// One refused alone, a cancellation, and an outage for longer than its tasks may stay.
    async fn outage(&self) {
        self.cut.store(true, Ordering::Relaxed);
        cancel(&self.site, 1, "job-1").await;
        self.site.state.set_outage(true);
        tokio::time::sleep(SHORT.cancel() + Duration::from_secs(1)).await;
        assert_eq!(self.site.broken_rules(), Vec::<String>::new());
    }

    /// The troubles are over: what was cancelled stays so, and what was not runs.
    async fn end(&self) {
        self.site.state.set_outage(false);
        self.cut.store(false, Ordering::Relaxed);
        for number in 0..2 {
            let known = async || self.site.stage(number, "job-1").await == "cancelled";
            until("it stays cancelled", known).await;
        }
        let runs = || self.site.cloud.world.lock().unwrap().running_tasks("job-2") == 3;
        until("what was not cancelled runs", async || runs()).await;
        assert_eq!(self.site.broken_rules(), Vec::<String>::new());
    }
}

/// A node's presence is put, gets no answer, and is carried out after the next: the key would end
/// with the lease that it first named, the node would own nothing for good, and nobody would lead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_presence_that_comes_late_takes_nobody_away() {
    let timeouts = Timeouts {
        lease_s: 20.0,
        cancel_s: 50.0,
    };
    for fate in [TransactionFault::Delayed, TransactionFault::AnswerLost] {
        let site = Site::with(1, Duration::from_millis(300), timeouts).await;
        site.state.inject_fault("r/n/millstone-0", fate, 1);
        let version = Version {
            timeouts,
            ..PRESENT
        };
        let _only = site.start_as(version, 0);
        let there = || !site.state.stored("r/n/").is_empty();
        until("it is there", async || there()).await;
        site.state.deliver_delayed();
        // For longer than its lease.
        let end = Instant::now() + Duration::from_millis(6500);
        while Instant::now() < end {
            assert!(there(), "a controller that runs is gone from the records");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        site.submit(0, &job("job-1", 2, 1.0)).await;
        let done = async || site.stage(0, "job-1").await == "done";
        until("it is done", done).await;
    }
}

/// A process that ends for memory takes the answers to its machines with it. New work is refused before
/// that, and nothing else is.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_controller_that_is_short_of_memory_refuses_new_work_alone() {
    let site = Site::new(2, Duration::from_millis(300)).await;
    let _roomy = site.start(0).await;
    let short = Version {
        memory_mb: 0.1,
        ..PRESENT
    };
    let _short = site.start_as(short, 1);
    let healthy = async || site.get(1, "/healthz").await.0 == 200;
    until("the controller without memory is healthy", healthy).await;
    site.submit(0, &job("job-1", 2, 1.0)).await;
    let (status, told) = site.post(1, "/v1/jobs", job("job-2", 2, 1.0)).await;
    let reason = json!("too little memory for more work");
    assert_eq!((status, &told["error"]), (503, &reason));
    let (status, _) = site.post(1, "/v1/jobs", job("job-1", 2, 1.0)).await;
    assert_eq!(status, 200, "a repeat of what another accepted");
    let (status, _) = site.post(1, "/v1/jobs", json!({"nameId": "job-3"})).await;
    assert_eq!(status, 400, "what can never be accepted");
    let done = async || site.stage(1, "job-1").await == "done";
    until("its machines are answered and its users told", done).await;
    site.submit(0, &job("job-4", 500, 1.0)).await;
    let (status, told) = site.post(1, "/v1/jobs/job-4/abort", Value::Null).await;
    assert_eq!((status, &told["stage"]), (200, &json!("cancelled")));
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// Rules `forgotten`, `went_back` and `invented`: what can never run is refused and says why, and
/// what was accepted is known whatever a repeat of its submission looks like by then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_was_accepted_is_known_whatever_its_repeat_looks_like() {
    let site = Site::new(2, Duration::from_millis(300)).await;
    let _first = site.start(0).await;
    let _second = site.start(1).await;
    site.submit(0, &job("job-1", 2, 1.0)).await;
    let spoilt = |id: &str, field: &str, value: Value| {
        let mut job = job(id, 2, 1.0);
        job[field] = value;
        job
    };
    let ways = [
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
    for (field, value) in &ways {
        let (status, told) = site
            .post(1, "/v1/jobs", spoilt("job-2", field, value.clone()))
            .await;
        let why = told["error"].as_str().unwrap_or_default();
        trace.push_str(&format!("{field}={value}: {status} {why}\n"));
    }
    let known = async |expected: &[&str]| {
        for (field, value) in &ways {
            for number in 0..2 {
                let body = spoilt("job-1", field, value.clone());
                let (status, told) = site.post(number, "/v1/jobs", body).await;
                let stage = told["stage"].as_str().unwrap_or_default();
                assert!(
                    status == 200 && expected.contains(&stage),
                    "{status} {told}"
                );
            }
        }
    };
    known(&["queued", "running", "done"]).await;
    let done = async || site.stage(1, "job-1").await == "done";
    until("it is done", done).await;
    known(&["done"]).await;
    let told = site.post(1, "/v1/jobs/job-1/abort", Value::Null).await;
    assert_eq!((told.0, told.1["stage"].as_str()), (200, Some("done")));
    assert_eq!(site.get(0, "/v1/jobs/job-2").await.0, 404, "none was taken");
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

/// Users who remember what any node has told them: no node may then tell anything older.
struct Users<'a> {
    site: &'a Site,
    told: Mutex<HashMap<String, String>>,
}

impl<'a> Users<'a> {
    fn of(site: &'a Site) -> Self {
        let told = Mutex::default();
        Self { site, told }
    }

    fn told(&self, id: &str) -> Option<String> {
        self.told.lock().unwrap().get(id).cloned()
    }

    /// What an answer adds to what was told before it was asked for; the stage, if it names one.
    fn hear(&self, id: &str, before: Option<String>, answer: (u16, Value)) -> Option<String> {
        let (status, body) = answer;
        if matches!(status, 0 | 429 | 503) {
            return None;
        }
        if status == 404 {
            assert_eq!(before, None, "{id} was accepted and is not known");
            return None;
        }
        assert!(matches!(status, 200 | 201), "{id}: {status} {body}");
        let stage = body["stage"].as_str().unwrap().to_owned();
        if let Some(last) = before.filter(|b| b == "done" || b == "cancelled") {
            assert_eq!(stage, last, "{id} went back");
        }
        if stage == "cancelled" {
            self.site
                .cloud
                .world
                .lock()
                .unwrap()
                .record_cancellation(id);
        }
        let mut told = self.told.lock().unwrap();
        let held = told.entry(id.to_owned()).or_default();
        if held != "done" && held != "cancelled" {
            held.clone_from(&stage);
        }
        Some(stage)
    }

    async fn look(&self, number: usize, id: &str) -> Option<String> {
        let before = self.told(id);
        let answer = self.site.get(number, &format!("/v1/jobs/{id}")).await;
        self.hear(id, before, answer)
    }

    /// At all three nodes at the same time.
    async fn look_closely(&self, id: &str) -> [Option<String>; 3] {
        let (a, b, c) = tokio::join!(self.look(0, id), self.look(1, id), self.look(2, id));
        [a, b, c]
    }

    async fn submit(&self, number: usize, job: &Value) -> Option<String> {
        let id = job["nameId"].as_str().unwrap();
        let before = self.told(id);
        let answer = self.site.post(number, "/v1/jobs", job.clone()).await;
        self.hear(id, before, answer)
    }

    async fn submit_until_taken(&self, number: usize, job: &Value) {
        let taken = async || self.submit(number, job).await.is_some();
        until("it is taken", taken).await;
    }

    async fn abort(&self, number: usize, id: &str) -> Option<String> {
        let before = self.told(id);
        let path = format!("/v1/jobs/{id}/abort");
        let answer = self.site.post(number, &path, Value::Null).await;
        self.hear(id, before, answer)
    }

    /// Waits until each job's end is told by each of these nodes.
    async fn see_all_end(&self, nodes: &[usize], ids: &[String]) {
        for number in nodes {
            for id in ids {
                let over = async || {
                    let stage = self.look(*number, id).await;
                    stage.is_some_and(|s| s == "done" || s == "cancelled")
                };
                until(&format!("{id} ends"), over).await;
            }
        }
    }
}

async fn three(site: &Site) -> Vec<Controller> {
    let mut nodes = Vec::new();
    for number in 0..3 {
        nodes.push(site.start(number).await);
    }
    nodes
}

/// Rules `went_back`, `forgotten` and `invented`: users ask at all nodes at the same moment, and
/// repeat the submission, right after a job was accepted, confirmed as cancelled or told to be
/// done; jobs of one task, four a second, a quarter of them cancelled at once, and others at the
/// moment at which their task ends. Nothing is left of them in the end but their final states.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_node_answers_older_however_closely_it_is_asked() {
    let site = Site::new(3, Duration::from_millis(400)).await;
    let _nodes = three(&site).await;
    let users = Users::of(&site);
    let ids: Vec<String> = (100..124).map(|n| format!("job-{n}")).collect();
    let course = async |n: usize, id: &String| {
        tokio::time::sleep(Duration::from_millis(250) * n as u32).await;
        let job = job(id, 1, 1.0);
        users.submit_until_taken(n % 3, &job).await;
        users.look_closely(id).await;
        assert_ne!(users.submit((n + 1) % 3, &job).await, Some(String::new()));
        if n.is_multiple_of(4) {
            let cancelled = async || users.abort((n + 2) % 3, id).await.is_some();
            until("it is confirmed", cancelled).await;
        }
        loop {
            let seen = users.look_closely(id).await;
            let over = |s: &Option<String>| matches!(s.as_deref(), Some("done" | "cancelled"));
            if seen.iter().any(over) {
                break;
            }
            if n % 4 == 1 && site.cloud.world.lock().unwrap().running_tasks(id) == 1 {
                tokio::time::sleep(Duration::from_millis(330 + 10 * n as u64)).await;
                tokio::join!(users.abort(0, id), users.look_closely(id));
            }
        }
        users.look_closely(id).await;
        users.submit(n % 3, &job).await;
    };
    let mut courses: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(n, id)| Box::pin(course(n, id)))
        .collect();
    std::future::poll_fn(|context| {
        courses.retain_mut(|course| course.as_mut().poll(context).is_pending());
        match courses.is_empty() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    })
    .await;
    users.see_all_end(&[0, 1, 2], &ids).await;
    let left = async || {
        let records = site.state.stored("r/");
        let of_jobs = |key: &&String| ["r/j/", "r/p/", "r/q/"].iter().any(|p| key.starts_with(p));
        records.keys().filter(of_jobs).count() == 0
    };
    until("no record is left of them", left).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
    assert!(
        users.look(0, "job-99").await.is_none(),
        "nobody submitted it"
    );
}

/// Rules `went_back`, `ran_twice`, `ran_cancelled` and `forgotten`: transactions that are carried
/// out at once and only their answer is lost, while other nodes read what they wrote; and such as
/// are carried out late, after newer ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transactions_without_an_answer_are_neither_lost_nor_done_twice() {
    let site = Site::new(3, Duration::from_millis(700)).await;
    let _nodes = three(&site).await;
    let users = Users::of(&site);
    // Accepted and cancelled without an answer: whoever reads it tells so, and so do all then.
    let first = job("job-1", 2, 1.0);
    site.state
        .inject_fault("r/j/job-1", TransactionFault::AnswerLost, 1);
    assert_eq!(users.submit(0, &first).await, None);
    assert!(
        users
            .look_closely("job-1")
            .await
            .iter()
            .all(Option::is_some)
    );
    site.state
        .inject_fault("r/j/job-1", TransactionFault::AnswerLost, 1);
    assert_eq!(users.abort(0, "job-1").await, None);
    let cancelled = [const { "cancelled" }; 3].map(|s| Some(s.to_owned()));
    assert_eq!(users.look_closely("job-1").await, cancelled);
    // Held back: not accepted until it is repeated, and the late one changes nothing.
    let second = job("job-2", 2, 1.0);
    site.state
        .inject_fault("r/j/job-2", TransactionFault::Delayed, 1);
    assert_eq!(users.submit(1, &second).await, None);
    users.submit_until_taken(2, &second).await;
    site.state
        .inject_fault("r/j/job-2", TransactionFault::Delayed, 1);
    assert_eq!(users.abort(1, "job-2").await, None, "not confirmed");
    assert_eq!(
        site.state.deliver_delayed(),
        1,
        "the cancellation alone, nothing came between"
    );
    assert_eq!(users.look_closely("job-2").await, cancelled);
    // A start held back until its job was cancelled changes nothing: it carries the job's revision.
    site.state
        .inject_fault("r/p/job-3/", TransactionFault::Delayed, 1);
    users.submit_until_taken(0, &job("job-3", 2, 1.0)).await;
    until("its start is held back", async || site.state.has_delayed()).await;
    let confirmed = async || users.abort(1, "job-3").await.is_some();
    until("it is cancelled", confirmed).await;
    assert_eq!(site.state.deliver_delayed(), 0);
    // Starts, exits and ends of jobs: each job ends, nothing twice, and what is carried out after
    // newer ones changes nothing, since it carries the marks that it follows from.
    for (key, fate) in [
        ("r/p/", TransactionFault::Delayed),
        ("r/p/", TransactionFault::AnswerLost),
        ("e/job", TransactionFault::Delayed),
        ("e/job", TransactionFault::AnswerLost),
        ("r/shares", TransactionFault::Delayed),
    ] {
        let ids: Vec<String> = (0..4).map(|n| format!("job-{}", spare_id() + n)).collect();
        site.state.inject_fault(key, fate, 3);
        for (n, id) in ids.iter().enumerate() {
            users.submit_until_taken(n % 3, &job(id, 2, 1.0)).await;
        }
        users.see_all_end(&[0, 1, 2], &ids).await;
        assert_eq!(site.state.deliver_delayed(), 0, "{key}");
    }
    for id in ["job-1", "job-2", "job-3"] {
        assert_eq!(users.look_closely(id).await, cancelled);
    }
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// Rule `ran_twice`: a start is held back while the same task is recorded elsewhere and runs. The
/// late one carries the page's revision from before, and loses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_comes_after_the_next_is_none() {
    let site = Site::new(2, Duration::from_secs(600)).await;
    let _first = site.start(0).await;
    let _second = site.start(1).await;
    site.state
        .inject_fault("r/p/job-1/", TransactionFault::Delayed, 2);
    site.submit(0, &job("job-1", 3, 1.0)).await;
    let runs = || site.cloud.world.lock().unwrap().running_tasks("job-1") == 3;
    until("it runs by a later record", async || runs()).await;
    assert!(site.state.has_delayed());
    assert_eq!(site.state.deliver_delayed(), 0);
}

fn spare_id() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(1000);
    NEXT.fetch_add(10, Ordering::Relaxed)
}

/// Rules `ran_cancelled`, `ran_twice`, `went_back` and `forgotten`: jobs are cancelled, asked about
/// and submitted again in the seconds in which controllers' work changes hands: the leader ends,
/// another is back within a moment, eight times in a row, twice inside an outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_while_the_work_changes_hands() {
    let site = Site::new(3, Duration::from_millis(1500)).await;
    let restart = |n| Controller::start(n, &site.seats, site.state_addr, site.cloud_addr);
    let mut nodes: Vec<Option<Controller>> = three(&site).await.into_iter().map(Some).collect();
    let users = Users::of(&site);
    let mut ids = Vec::new();
    for round in 0..8 {
        let leader = site.state.stored("r/leader");
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
            users.submit_until_taken(other, &job(id, 2, 0.5)).await;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        nodes[leader] = None;
        tokio::join!(users.abort(other, &batch[0]), users.look(other, &batch[1]));
        nodes[leader] = Some(restart(leader));
        if round % 4 == 3 {
            site.state.set_outage(true);
            nodes[other] = None;
            nodes[other] = Some(restart(other));
            tokio::time::sleep(Duration::from_millis(400)).await;
            site.state.set_outage(false);
        }
        let again = job(&batch[0], 2, 0.5);
        tokio::join!(users.abort(other, &batch[1]), users.submit(leader, &again));
        ids.extend(batch);
    }
    users.see_all_end(&[0, 1, 2], &ids).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
    let world = site.cloud.world.lock().unwrap();
    assert!(world.peak_running <= 12, "the team's limit is 6 CPUs");
}

/// Rules `quota`, `ran_cancelled` and `ran_twice`: a team is at its limit, its jobs are cancelled
/// while their machines hang, reach nobody or hear nothing, and the controller that holds the limit
/// ends. Their tasks hold it until they are provably gone; then, and only then, the next ones start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_holds_its_limit_until_provably_gone() {
    tokio::join!(limit("hung"), limit("mute"), limit("deaf"));
}

async fn limit(trouble: &str) {
    let timeouts = Timeouts {
        lease_s: 10.0,
        cancel_s: 16.0,
    };
    let site = Site::with(2, Duration::from_secs(600), timeouts).await;
    let version = Version {
        timeouts,
        ..PRESENT
    };
    let mut nodes = Vec::new();
    for number in 0..2 {
        nodes.push(Some(site.start_as(version, number)));
        let ready = async || site.get(number, "/healthz").await.0 == 200;
        until("the controller is healthy", ready).await;
    }
    // Of the limit's 6 CPUs the first takes 4 and a machine of its own, the next 2, and beside that
    // there is room for the last.
    let running = |id| site.cloud.world.lock().unwrap().running_tasks(id);
    for (id, cpus) in [("job-1", 4.0), ("job-2", 2.0)] {
        site.submit(0, &job(id, 1, cpus)).await;
        until("it runs", async || running(id) == 1).await;
    }
    {
        let mut world = site.cloud.world.lock().unwrap();
        let machines = world.machines_running("job-1");
        match trouble {
            "hung" => world.hung = machines,
            "mute" => world.cannot_send = machines,
            _ => world.cannot_receive = machines,
        }
    }
    let shares = site.state.stored("r/shares");
    let shares = shares.values().next().expect("jobs are parted");
    let holder = shares["teams"]["t"].as_u64().unwrap() as usize;
    let holder = shares["members"][holder]["name"].as_str().unwrap();
    let holder: usize = holder.trim_start_matches("millstone-").parse().unwrap();
    cancel(&site, 1 - holder, "job-1").await;
    site.submit(1 - holder, &job("job-3", 1, 2.0)).await;
    nodes[holder] = None;
    if trouble == "hung" {
        // They are back within their lease, and go on until they are told.
        tokio::time::sleep(Duration::from_secs(6)).await;
        site.cloud.world.lock().unwrap().hung.clear();
    }
    until("the next starts", async || running("job-3") == 1).await;
    let world = site.cloud.world.lock().unwrap();
    assert_eq!(world.broken_rules, Vec::<String>::new(), "{trouble}");
    assert_eq!(
        world.peak_running, 2,
        "{trouble}: more than the limit's 6 CPUs"
    );
}

/// Rules `ran_twice` and `forgotten`, and machines that nobody would ever use or return: all
/// controllers are away for longer than the workers' lease; and a leader ends right after a rental
/// whose machines are up within a moment, while the record of their names gets no answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_away_for_longer_than_a_lease_and_machines_up_at_once() {
    tokio::join!(
        away(TransactionFault::Delayed),
        away(TransactionFault::AnswerLost)
    );
}

async fn away(fate: TransactionFault) {
    let site = Site::with(2, Duration::from_millis(2500), SHORT).await;
    let version = Version {
        timeouts: SHORT,
        ..PRESENT
    };
    let users = Users::of(&site);
    let first = site.start_as(version, 0);
    let ready = async || site.get(0, "/healthz").await.0 == 200;
    until("the controller is healthy", ready).await;
    site.state.inject_fault("\"machines\":[[", fate, 1);
    users.submit_until_taken(0, &job("job-1", 4, 1.0)).await;
    let rented = || !site.cloud.world.lock().unwrap().machines().is_empty();
    until("machines are rented", async || rented()).await;
    drop(first);
    let second = site.start_as(version, 1);
    let runs = async || site.cloud.world.lock().unwrap().running_tasks("job-1") > 0;
    until("it runs", runs).await;
    drop(second);
    tokio::time::sleep(SHORT.lease() + Duration::from_millis(500)).await;
    let _third = site.start_as(version, 0);
    site.state.deliver_delayed();
    users.see_all_end(&[0], &["job-1".to_owned()]).await;
    let all_known = async || {
        let records: Vec<String> = site
            .state
            .stored("r/m/")
            .values()
            .map(Value::to_string)
            .collect();
        let machines = site.cloud.world.lock().unwrap().machines();
        machines
            .iter()
            .all(|m| records.iter().any(|r| r.contains(m.as_str())))
    };
    until("each machine is in the records or given back", all_known).await;
    let world = site.cloud.world.lock().unwrap();
    assert_eq!(world.broken_rules, Vec::<String>::new());
    assert!(world.expired_leases > 0, "leases ran out meanwhile");
}
