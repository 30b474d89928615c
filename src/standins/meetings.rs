//! Where two troubles meet: for each meeting the order of events that would break a rule.

use super::state::Fate;
use super::tests::{Site, job, until};
use super::{Controller, PRESENT, Times, Version, free_addr, serve};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Short enough that a test can wait for them.
const SHORT: Times = Times {
    lease_s: 4.0,
    cancel_s: 10.0,
};

/// A way to the state service of one controller alone.
async fn line(site: &Site) -> (SocketAddr, Arc<AtomicBool>) {
    let cut = Arc::new(AtomicBool::new(false));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, site.state.line(cut.clone())));
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
    site.cloud.world.lock().unwrap().note_cancelled(id);
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
        assert_eq!(world.broken, Vec::<String>::new());
        let left = (world.tasks_of("job-1"), world.tasks_of("job-2"));
        assert_eq!((left, world.lapses), ((0, 3), 0));
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
            times: SHORT,
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
            let running = || site.cloud.world.lock().unwrap().tasks_of(id) == 3;
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
        self.site.state.set_out(true);
        tokio::time::sleep(SHORT.cancel() + Duration::from_secs(1)).await;
        assert_eq!(self.site.broken(), Vec::<String>::new());
    }

    /// The troubles are over: what was cancelled stays so, and what was not runs.
    async fn end(&self) {
        self.site.state.set_out(false);
        self.cut.store(false, Ordering::Relaxed);
        for number in 0..2 {
            let known = async || self.site.stage(number, "job-1").await == "cancelled";
            until("it stays cancelled", known).await;
        }
        let runs = || self.site.cloud.world.lock().unwrap().tasks_of("job-2") == 3;
        until("what was not cancelled runs", async || runs()).await;
        assert_eq!(self.site.broken(), Vec::<String>::new());
    }
}

/// A node's presence is put, gets no answer, and is carried out after the next: the key would end
/// with the lease that it first named, the node would own nothing for good, and nobody would lead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_presence_that_comes_late_takes_nobody_away() {
    let times = Times {
        lease_s: 20.0,
        cancel_s: 50.0,
    };
    for fate in [Fate::HeldBack, Fate::AnswerLost] {
        let site = Site::with(1, Duration::from_millis(300), times).await;
        site.state.divert("r/n/millstone-0", fate, 1);
        let version = Version { times, ..PRESENT };
        let _only = site.start_as(version, 0);
        let there = || !site.state.stored("r/n/").is_empty();
        until("it is there", async || there()).await;
        site.state.let_go();
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
