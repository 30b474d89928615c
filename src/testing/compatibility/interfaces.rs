//! What users, workers and the load balancer are answered, byte for byte, and what is read of what they
//! send. A controller's HTTP server runs as in production; its records are put there by the test.

use crate::api::admission::Admission;
use crate::api::cancel::cancel;
use crate::api::status::poll;
use crate::api::submit::submit;
use crate::api::{self, Server, limit::ConcurrencyLimit};
use crate::background::BackgroundTasks;
use crate::cloud::MachineType;
use crate::fleet::{MachinePool, MachineState, Rental, RentedMachine};
use crate::http::HttpResponse;
use crate::jobs::Submission;
use crate::membership::assignment::Member;
use crate::membership::schema_versions::FeatureLevel;
use crate::node::Node;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::state::{Operation, RecordKey};
use crate::workers::wire::{Command, ExitReason, HeartbeatResponse};
use crate::workers::{Heartbeat, TaskAttempt, TaskState};
use http_body_util::BodyExt;
use hyper::Method;
use rowanmill_cells::CellsConfig;
use rowanmill_config::ConfigFile;
use rowanmill_testing::exchange::exchange;
use rowanmill_testing::state::StateService;
use rowanmill_testing::{ask, serve, until};
use serde_json::{Value, json};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// An address of loopback at which nothing listens.
const NOWHERE: &str = "127.0.0.1:4";

pub fn settings(size: u32, state: SocketAddr) -> Settings {
    let settings = json!({"member": "millstone-0", "site": "a", "api_addr": "127.0.0.1:1",
        "mesh_addr": "127.0.0.1:2", "known": [], "endpoints": {"cloud": "127.0.0.1:3", "state": state},
        "params": {"size": size, "zones": ["a", "b"],
            "teams": [{"name": "t"}, {"name": "limited", "cpus_max": 6.0}],
            "workers": {"report_s": 0.2, "lease_s": 11.0, "gang_wait_s": 5.0, "gang_peer_s": 2.0,
                "cancel_s": 36.0},
            "state": {"rps": 1000.0, "write_rps": 500.0, "value_kb": 8.0, "txn_ops": 24},
            "cloud": {"rps": 8.0, "list_lag_s": 4.0},
            "limits": {"core_share": 1.0, "mem_mb": 10_000.0, "sockets": 500}, "skew_ms": 25.0}});
    Settings::parse(&settings.to_string(), "test").unwrap()
}

fn kind(name: &str, cpus: f64, zones: &[&str]) -> MachineType {
    MachineType {
        name: name.to_owned(),
        cpus,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 30.0,
        zones: zones.iter().map(|zone| zone.to_string()).collect(),
    }
}

fn job(id: &str) -> Value {
    json!({"nameId": id, "grist": "train", "crew": "t", "shape": "array", "urgency": "standard",
        "sacks": 4, "cpus": 1.0, "cards": 0.0, "memGb": 1.0, "mould": "img-07", "pullGb": 0.1,
        "together": false, "spread": false, "borrowed": true, "grindS": 10.0, "bankS": 0.0,
        "bankWriteS": 0.0})
}

fn with(mut body: Value, changes: Value) -> Value {
    for (field, value) in changes.as_object().unwrap() {
        body[field] = value.clone();
    }
    body
}

fn without(mut body: Value, field: &str) -> Value {
    body.as_object_mut().unwrap().remove(field).unwrap();
    body
}

/// A node behind its HTTP server.
struct Served {
    node: Arc<Node>,
    /// It follows a state service, rather than being given its records by hand.
    follows: bool,
    api: SocketAddr,
    trace: String,
}

impl Served {
    async fn start(node: Node) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let api = listener.local_addr().unwrap();
        let node = Arc::new(node);
        tokio::spawn(api::run(node.clone(), listener));
        Self {
            node,
            follows: false,
            api,
            trace: String::new(),
        }
    }

    /// A node whose records are put there by hand, just read and complete.
    async fn by_hand() -> Self {
        let settings = settings(1, NOWHERE.parse().unwrap());
        let served = Self::start(Node::new(
            FeatureLevel::COMPACT_PAGES,
            settings,
            Policy::default(),
        ))
        .await;
        {
            let mut core = served.node.core();
            core.loaded = true;
            core.machine_types = vec![kind("c4", 4.0, &["a"])];
        }
        served.read_now();
        served
    }

    fn read_now(&self) {
        self.node.core().last_read_barrier = Some(Instant::now());
    }

    fn put(&self, key: &str, data: Value, revision: u64) {
        let mut core = self.node.core();
        core.replica.apply_put(key, &data.to_string(), revision);
    }

    /// On a busy machine the last reading may be old: that is another test's subject.
    fn wait_for_contact(&self) {
        let end = Instant::now() + Duration::from_secs(40);
        let recently = Duration::from_millis(1500);
        let cells = self.node.cells.as_ref();
        while !self.node.is_connected_within(recently)
            || cells.is_some_and(|cells| !cells.ledger_responded_within(recently))
        {
            assert!(Instant::now() < end, "no reading of the log");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// One request and its answer. `what` says for what it is.
    fn ask(&mut self, what: &str, method: &str, path: &str, body: &str) {
        if self.follows {
            self.wait_for_contact();
        }
        let answer = exchange(self.api, method, path, body);
        let sent = match body.len() {
            0 => String::new(),
            1..=1000 => format!("\n> {body}"),
            many => format!("\n> {many} bytes"),
        };
        writeln!(self.trace, "== {what}\n> {method} {path}{sent}\n{answer}").unwrap();
    }

    fn submit(&mut self, what: &str, body: &Value) {
        self.ask(what, "POST", "/v1/jobs", &body.to_string());
    }

    fn poll(&mut self, what: &str, id: &str) {
        self.ask(what, "GET", &format!("/v1/jobs/{id}"), "");
    }

    fn cancel(&mut self, what: &str, id: &str) {
        self.ask(what, "POST", &format!("/v1/jobs/{id}/abort"), "");
    }

    fn hello(&mut self, what: &str, report: &Value) {
        self.read_now();
        self.ask(what, "POST", "/hello", &report.to_string());
    }

    fn health(&mut self, what: &str) {
        self.ask(what, "GET", "/healthz", "");
    }
}

async fn state_service() -> (StateService, SocketAddr) {
    let state = StateService::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, state.handler()));
    (state, addr)
}

/// Serves a node that follows its state service and knows two machine types.
async fn following(node: Node) -> Served {
    node.core().machine_types = vec![kind("c4", 4.0, &["a"]), kind("c8", 8.0, &["a", "b"])];
    let mut served = Served::start(node).await;
    served.follows = true;
    tokio::spawn(crate::state::watch::run(served.node.clone()));
    tokio::spawn(crate::state::watch::serve_read_barriers(
        served.node.clone(),
    ));
    let node = served.node.clone();
    until("the records are read", async || node.core().loaded).await;
    served
}

/// A state service, and a node that follows it.
async fn with_state() -> (Served, SocketAddr) {
    let (_state, addr) = state_service().await;
    let node = Node::new(
        FeatureLevel::COMPACT_PAGES,
        settings(1, addr),
        Policy::default(),
    );
    (following(node).await, addr)
}

/// The record that all controllers can do what this one can.
fn begun(served: &Served) -> Value {
    let layout = serde_json::to_value(served.node.settings.page_layout()).unwrap();
    json!({"seen": ["millstone-0"], "layout": layout})
}

async fn store(state: SocketAddr, key: &str, data: Value) {
    let then = json!({"guards": [], "then": [{"set": key, "data": data}]});
    let (status, _) = ask(state, Method::POST, "/multi", then).await;
    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn users_are_answered_at_each_stage_of_a_job() {
    let (mut served, state) = with_state().await;
    served.submit("a new job", &job("job-1"));
    served.submit("the same again", &job("job-1"));
    let broken = json!({"nameId": "job-1", "sacks": "many"});
    served.submit("the same with a body that is none", &broken);
    served.poll("nothing of it runs", "job-1");
    store(state, "r/p/job-1/0", json!([[1, "vm-1", 1], true])).await;
    served.poll("one task runs and one is done", "job-1");
    served.submit("a repeat while it runs", &job("job-1"));
    served.cancel("its user cancels it", "job-1");
    served.cancel("and again", "job-1");
    served.poll("it is cancelled", "job-1");
    served.submit("a repeat of a cancelled job", &job("job-1"));
    store(state, "e/job-2", json!("done")).await;
    served.poll("a job that is done", "job-2");
    served.cancel("its user cancels it too late", "job-2");
    served.submit("a repeat of a job that is done", &job("job-2"));
    store(state, "e/job-3", json!("cancelled")).await;
    served.poll("a job that ended cancelled", "job-3");
    served.submit("a repeat of that", &job("job-3"));
    served.poll("a job that nobody submitted", "job-99");
    served.cancel("its cancellation", "job-99");
    served.poll("no id", "train-1");
    served.cancel("cancellation of no id", "train-1");
    let needs = |id, needed| with(job(id), json!({"awaits": [needed]}));
    served.submit(
        "one that waits, before all controllers can",
        &needs("job-4", "job-2"),
    );
    store(state, "r/forms", begun(&served)).await;
    let node = served.node.clone();
    until("all can", async || {
        node.core().replica.is_current_schema_active()
    })
    .await;
    served.submit(
        "one that waits for a job that is done",
        &needs("job-4", "job-2"),
    );
    served.submit("one that waits for a queued job", &needs("job-5", "job-4"));
    served.poll("it waits", "job-5");
    served.submit(
        "one that waits for a cancelled job",
        &needs("job-6", "job-3"),
    );
    served.poll("it is cancelled with it", "job-6");
    served.submit("one that waits for none", &needs("job-7", "job-98"));
    served.submit("one that waits for itself", &needs("job-7", "job-7"));
    served.cancel("cancellation of what is waited for", "job-4");
    served.poll("what waited for it is cancelled", "job-5");
    served.node.core().machine_types.clear();
    served.submit("a new job before the catalogue is known", &job("job-8"));
    served.submit("a known job before the catalogue is known", &job("job-4"));
    insta::assert_snapshot!(served.trace);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_that_can_never_run_are_refused_for_good() {
    let (mut served, _) = with_state().await;
    served.ask("not JSON", "POST", "/v1/jobs", "{\"nameId\":");
    served.ask("a list", "POST", "/v1/jobs", "[]");
    served.ask("nothing", "POST", "/v1/jobs", "");
    for field in job("job-1").as_object().unwrap().keys() {
        let what = format!("without `{field}`");
        served.submit(&what, &without(job("job-1"), field));
    }
    for (what, changes) in [
        ("an unknown team", json!({"crew": "nobody"})),
        (
            "more than the team's limit",
            json!({"crew": "limited", "cpus": 7.0}),
        ),
        (
            "a gang over the team's limit",
            json!({"crew": "limited", "shape": "group", "cpus": 2.0}),
        ),
        ("larger than any type", json!({"cpus": 16.0})),
        (
            "larger than the type that is allowed",
            json!({"cpus": 8.0, "stones": ["c4"]}),
        ),
        ("in a zone that no type is in", json!({"yard": "nowhere"})),
        ("parted, in one zone", json!({"spread": true, "yard": "a"})),
        (
            "parted and together",
            json!({"spread": true, "together": true}),
        ),
        (
            "more than a record takes",
            json!({"stones": vec!["a-type-with-a-long-name"; 400]}),
        ),
    ] {
        served.submit(what, &with(job("job-1"), changes));
    }
    let large = "x".repeat((64 << 10) + 1);
    served.ask("over 64 KiB", "POST", "/v1/jobs", &large);
    served.ask("no such path", "GET", "/v2/jobs", "");
    served.ask("another method for it", "DELETE", "/v1/jobs/job-1", "");
    served.ask("another method for health", "POST", "/healthz", "");
    insta::assert_snapshot!(served.trace);
}

async fn answer_text(answer: HttpResponse) -> String {
    let (head, body) = answer.into_parts();
    let mut text = format!("< {}\n", head.status);
    for (name, value) in &head.headers {
        writeln!(text, "< {name}: {}", value.to_str().unwrap()).unwrap();
    }
    let body = body.collect().await.unwrap().to_bytes();
    writeln!(text, "< {}", String::from_utf8_lossy(&body)).unwrap();
    text
}

#[tokio::test]
async fn each_verdict_on_a_new_job_has_its_answer() {
    let verdicts = [
        ("it can never run", Admission::Ineligible("unknown team")),
        ("more than a record takes", Admission::RecordTooLarge),
        ("not decided yet", Admission::CatalogueUnknown),
        ("memory is short", Admission::InsufficientMemory),
        (
            "it waits, and not all controllers can",
            Admission::DependenciesUnsupported,
        ),
        ("to be taken", Admission::Admitted),
    ];
    let mut trace = String::new();
    for (what, admission) in verdicts {
        let answer = answer_text(admission.refusal()).await;
        writeln!(trace, "== {what}\n{answer}").unwrap();
    }
    insta::assert_snapshot!(trace);
}

#[tokio::test]
async fn what_is_over_the_limit_is_sent_away_with_a_time() {
    let served = Served::by_hand().await;
    let server = Server {
        node: served.node.clone(),
        limit: ConcurrencyLimit::new(),
    };
    let mut permits = Vec::new();
    while let Some(permit) = server.limit.try_acquire(1.0) {
        permits.push(permit);
    }
    let body = job("job-1").to_string();
    let submitted = answer_text(submit(&server, body.as_bytes()).await).await;
    let polled = answer_text(poll(&server, "job-1").await).await;
    let aborted = answer_text(cancel(&server, "job-1").await).await;
    let broken = answer_text(submit(&server, br#"{"nameId":"job-1"}"#).await).await;
    insta::assert_snapshot!(format!(
        "submitted\n{submitted}polled\n{polled}cancelled\n{aborted}a body that is none\n{broken}"
    ));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_state_service_users_are_sent_away_with_a_time() {
    let mut served = Served::by_hand().await;
    served.node.core().last_read_barrier = None;
    served.submit("submitted", &job("job-1"));
    served.submit("a body that is none", &json!({"nameId": "job-1"}));
    served.poll("polled", "job-1");
    served.cancel("cancelled", "job-1");
    served.poll("no id is answered all the same", "train-1");
    insta::assert_snapshot!(served.trace);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_load_balancer_is_told_when_others_are_better() {
    let mut served = Served::by_hand().await;
    served.health("with the state service");
    served.node.core().machine_types.clear();
    served.health("without a catalogue, no other controller better off");
    served.node.peer_status().state_service_reached_at = Some(Instant::now());
    served.health("without a catalogue, another has the state service");
    served.node.peer_status().state_service_reached_at = None;
    served.node.core().last_read_barrier = None;
    served.health("never any contact");
    insta::assert_snapshot!(served.trace);
}

fn cells_config(ledger: SocketAddr) -> CellsConfig {
    let cells = json!({
        "cells": [{"name": "hanoi", "controllers": ["127.0.0.1:2"]},
            {"name": "danang", "controllers": ["127.0.0.1:5"]}],
        "ledger": {"addr": ledger, "rps": 2000.0, "write_rps": 800.0, "value_kb": 8.0,
            "txn_ops": 24},
        "cell_lease_s": 30.0, "renew_without_ledger_s": 15.0, "takeover_after_s": 45.0});
    CellsConfig::parse(&cells.to_string(), "cells.json").unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_ledger_users_of_cells_are_sent_away_with_a_time() {
    let settings = settings(1, NOWHERE.parse().unwrap());
    let cells = cells_config("127.0.0.1:6".parse().unwrap());
    let node =
        Node::new(FeatureLevel::COMPACT_PAGES, settings, Policy::default()).in_cell(cells, "hanoi");
    node.core().machine_types = vec![kind("c4", 4.0, &["a"])];
    let mut served = Served::start(node).await;
    tokio::spawn(BackgroundTasks::of_cells(&served.node).supervise());
    served.read_now();
    served.submit("submitted", &job("job-1"));
    served.submit("a body that is none", &json!({"nameId": "job-1"}));
    served.poll("polled", "job-1");
    served.cancel("cancelled", "job-1");
    insta::assert_snapshot!(served.trace);
}

/// A job in the ledger of the cells.
fn ledger_job(id: &str, owner: &str, cancelled: bool) -> Value {
    json!({"owner": owner, "epoch": 1, "home": owner, "cancelled": cancelled, "accepted_ms": 1000,
        "description": job(id)})
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn users_of_cells_are_answered_by_the_ledger() {
    let (_state, state_addr) = state_service().await;
    let (_ledger, ledger_addr) = state_service().await;
    for (key, data) in [
        ("c/l/j/job-1", ledger_job("job-1", "hanoi", false)),
        ("c/l/j/job-2", ledger_job("job-2", "danang", false)),
        ("c/l/j/job-3", ledger_job("job-3", "danang", true)),
        ("c/e/job-4", json!("done")),
        ("c/e/job-5", json!("cancelled")),
    ] {
        store(ledger_addr, key, data).await;
    }
    let cells = cells_config(ledger_addr);
    let node = Node::new(
        FeatureLevel::COMPACT_PAGES,
        settings(1, state_addr),
        Policy::default(),
    )
    .in_cell(cells, "hanoi");
    let mut served = following(node).await;
    tokio::spawn(BackgroundTasks::of_cells(&served.node).supervise());
    let coordinator = served.node.cells.clone().unwrap();
    let is_read = async || coordinator.ledger_responded_within(Duration::from_millis(1500));
    until("the ledger is read", is_read).await;
    served.poll("this cell's", "job-1");
    served.submit("a repeat of it", &job("job-1"));
    served.poll("another cell's", "job-2");
    served.submit("a repeat of it", &job("job-2"));
    served.poll(
        "another cell's whose cancellation is not confirmed",
        "job-3",
    );
    served.submit("a repeat of it", &job("job-3"));
    served.poll("a job that is done", "job-4");
    served.submit("a repeat of it", &job("job-4"));
    served.cancel("its cancellation", "job-4");
    served.poll("a job that ended cancelled", "job-5");
    served.poll("a job that nobody submitted", "job-99");
    served.cancel("its cancellation", "job-99");
    let needs = with(job("job-6"), json!({"awaits": ["job-98"]}));
    store(state_addr, "r/forms", begun(&served)).await;
    let node = served.node.clone();
    until("all can", async || {
        node.core().replica.is_current_schema_active()
    })
    .await;
    served.submit("one that waits for none that the cells know", &needs);
    served.submit("a new job", &job("job-7"));
    served.submit("the same again", &job("job-7"));
    served.submit(
        "one that can never run",
        &with(job("job-8"), json!({"cpus": 16.0})),
    );
    insta::assert_snapshot!(served.trace);
}

fn report(tally: u64, warrant: u64, sacks: Value) -> Value {
    json!({"millstone": "vm-1", "endpoint": "10.1.0.232:9000", "stone": "c4", "yard": "a",
        "borrowed": false, "shift": 1, "tally": tally, "warrant": warrant, "recallS": null,
        "sacks": sacks})
}

const TOKEN: u64 = 41;

fn other(incarnation: u64) -> Member {
    Member {
        name: "millstone-1".to_owned(),
        incarnation,
    }
}

/// vm-1 is this owner's.
fn own(node: &Node, owner: Member, revision: u64) {
    let rental = Rental {
        pool: MachinePool {
            machine_type: "c4".to_owned(),
            zone: "a".to_owned(),
            spot: false,
        },
        count: 1,
        requested_ms: 0,
        unconfirmed: false,
        machines: vec![RentedMachine {
            name: "vm-1".to_owned(),
            owner,
            fencing_token: TOKEN,
            state: MachineState::Active,
        }],
    };
    let mut core = node.core();
    core.apply(
        vec![Operation::put(RecordKey::Rental("r-1"), &rental)],
        revision,
    );
    core.update_ownership(&node.identity, Instant::now());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_owner_answers_a_report_with_its_token_and_each_kind_of_order() {
    let mut served = Served::by_hand().await;
    let me = served.node.identity.clone();
    own(&served.node, me, 12);
    let spec = without(job("job-1"), "nameId");
    let spec = with(spec, json!({"nameId": "job-1", "sacks": 5}));
    served.put("r/j/job-1", json!({"spec": spec, "accepted_ms": 0}), 5);
    served.hello("nothing to do", &report(1, 0, json!([])));
    let page = json!([
        [2, "vm-1", 1],
        [1, "vm-1", 1],
        [3, "vm-2", 1],
        true,
        [1, "vm-1", 1]
    ]);
    served.put("r/p/job-1/0", page, 13);
    let stopped = TaskAttempt {
        task: crate::jobs::TaskId::new("job-1", 1),
        attempt: 1,
    };
    let mut core = served.node.core();
    core.workers.pending_stops.insert(stopped, 10.0);
    drop(core);
    let sacks = json!([{"sack": "job-1/1", "turn": 1, "stage": "running"},
        {"sack": "job-1/2", "turn": 2, "stage": "pulling"},
        {"sack": "job-1/3", "turn": 1, "stage": "ended", "cause": "done"},
        {"sack": "job-1/4", "turn": 1, "stage": "gathering"}]);
    served.hello(
        "a start, a stop with time to save, one at once, an exit to forget",
        &report(2, TOKEN, sacks),
    );
    served.hello("a late copy", &report(1, TOKEN, json!([])));
    served.hello(
        "a higher token than its record's",
        &report(3, TOKEN + 1, json!([])),
    );
    insta::assert_snapshot!(served.trace);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_is_sent_to_its_owner_or_elsewhere() {
    let mut served = Served::by_hand().await;
    let idle = report(1, 0, json!([]));
    served.hello("no record of it, and no leader", &idle);
    let leader = json!({"member": "millstone-2", "incarnation": 7, "lease": 3});
    served.put("r/leader", leader, 5);
    served.hello("no record of it, another leads", &idle);
    let me = served.node.identity.clone();
    let leader = json!({"member": me.name, "incarnation": me.incarnation, "lease": 3});
    served.put("r/leader", leader, 6);
    served.hello("no record of it, this node leads", &idle);
    own(&served.node, other(1), 12);
    served.hello("another's that is gone", &idle);
    served.put("r/n/millstone-1", json!({"incarnation": 1, "lease": 4}), 13);
    served.hello("another's that is there", &idle);
    let earlier = Member {
        incarnation: me.incarnation + 1,
        ..me.clone()
    };
    own(&served.node, earlier, 14);
    served.hello("this node's before its restart", &idle);
    own(&served.node, me, 15);
    served.node.core().last_read_barrier = None;
    let text = idle.to_string();
    served.ask(
        "this node's, without the state service",
        "POST",
        "/hello",
        &text,
    );
    insta::assert_snapshot!(served.trace);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reports_that_cannot_be_read_are_refused_by_the_field() {
    let mut served = Served::by_hand().await;
    served.ask("not JSON", "POST", "/hello", "{");
    served.ask("a list", "POST", "/hello", "[]");
    let whole = report(1, 0, json!([]));
    for field in ["millstone", "endpoint", "stone", "yard", "shift", "tally"] {
        let what = format!("without `{field}`");
        served.hello(&what, &without(whole.clone(), field));
    }
    let whole = json!({"sack": "job-1/1", "turn": 1, "stage": "running"});
    for field in ["sack", "turn", "stage"] {
        let what = format!("a task without `{field}`");
        let sacks = json!([without(whole.clone(), field)]);
        served.hello(&what, &report(1, 0, sacks));
    }
    let sacks = json!([with(whole, json!({"stage": "asleep"}))]);
    served.hello("a task in a state of no protocol", &report(1, 0, sacks));
    insta::assert_snapshot!(served.trace);
}

/// In the words of the protocol's page.
fn state_text(state: TaskState) -> &'static str {
    match state {
        TaskState::PullingImage => "waits for its image",
        TaskState::AwaitingPeers => "waits for the other tasks of its attempt",
        TaskState::Running => "runs",
        TaskState::SavingCheckpoint => "is saving",
        TaskState::Ended => "ended",
    }
}

fn exit_reason_text(reason: Option<ExitReason>) -> &'static str {
    match reason {
        None => "no cause",
        Some(ExitReason::Completed) => "completed",
        Some(ExitReason::Stopped) => "stopped by command",
        Some(ExitReason::PeersGone) => "another task of the gang is gone",
        Some(ExitReason::GangIncomplete) => "the gang was not complete in time",
        Some(ExitReason::Failed) => "failed",
        Some(ExitReason::InsufficientResources) => "not enough free resources",
        Some(ExitReason::AnotherAttempt) => "there with another attempt",
        Some(ExitReason::UnknownTask) => "no such job or task",
        Some(ExitReason::Other) => "a cause of no protocol",
    }
}

fn heartbeat_text(heartbeat: &Heartbeat) -> String {
    let notice = heartbeat
        .preemption_notice_s
        .map_or("none".to_owned(), |s| format!("{s} s"));
    let mut text = format!(
        "machine {} at {}, type {}, zone {}, spot {}\nsession {}, message {}, token {}, notice {notice}\n",
        heartbeat.machine,
        heartbeat.endpoint,
        heartbeat.machine_type,
        heartbeat.zone,
        heartbeat.spot,
        heartbeat.incarnation,
        heartbeat.sequence,
        heartbeat.fencing_token
    );
    for task in &heartbeat.tasks {
        writeln!(
            text,
            "task {} attempt {}: {}, {}",
            task.task,
            task.attempt,
            state_text(task.state),
            exit_reason_text(task.exit_reason)
        )
        .unwrap();
    }
    text
}

#[test]
fn a_report_is_read_with_all_its_fields_and_with_the_least() {
    let stages = ["pulling", "gathering", "running", "flushing"];
    let stages = stages.map(|stage| json!({"sack": "job-000412/3", "turn": 2, "stage": stage}));
    let causes = [
        "done",
        "stopped",
        "mates_gone",
        "alone",
        "error",
        "no_room",
        "busy",
        "unknown",
        "melted",
    ];
    let causes = causes.map(|cause| {
        json!({"sack": "job-000398/0", "turn": 1, "stage": "ended", "cause": cause, "stored": true})
    });
    let no_cause = json!({"sack": "job-000399/7", "turn": 18_446_744_073_709_551_615_u64,
        "stage": "ended", "cause": null});
    let mut sacks = stages.to_vec();
    sacks.extend(causes);
    sacks.push(no_cause);
    let whole = json!({"millstone": "vm-000231", "endpoint": "10.1.0.232:9000", "stone": "g8",
        "yard": "a", "borrowed": true, "shift": 3, "tally": 88, "warrant": 41, "recallS": 27.5,
        "sacks": sacks, "later": {"unknown": true}});
    let least = json!({"millstone": "vm-000232", "endpoint": "10.1.0.233:9000", "stone": "c4",
        "yard": "b", "shift": 1, "tally": 1});
    let mut trace = String::new();
    for (what, body) in [("all fields", whole), ("the least", least)] {
        let heartbeat: Heartbeat = serde_json::from_str(&body.to_string()).unwrap();
        writeln!(trace, "== {what}\n> {body}\n{}", heartbeat_text(&heartbeat)).unwrap();
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn a_submission_is_read_with_all_its_fields_and_with_the_least() {
    let whole = json!({"nameId": "job-000412", "grist": "train", "crew": "vision",
        "shape": "group", "urgency": "urgent", "sacks": 16, "cpus": 8.0, "cards": 1.0,
        "memGb": 64.0, "mould": "img-07", "pullGb": 6.2, "stones": ["g8", "g4"], "yard": "a",
        "together": true, "spread": false, "borrowed": true, "grindS": 240.0, "bankS": 30.0,
        "bankWriteS": 4.0, "dueS": 900.0, "awaits": ["job-000398", "job-000405", "job-000398"],
        "later": {"unknown": true}});
    let nulls = json!({"stones": null, "yard": null, "dueS": null, "awaits": null});
    let mut cases = vec![
        ("all fields".to_owned(), whole.clone()),
        ("the least".to_owned(), job("job-1")),
        ("nulls".to_owned(), with(job("job-1"), nulls)),
        (
            "whole numbers".to_owned(),
            with(job("job-1"), json!({"sacks": 2.0, "cpus": 1})),
        ),
    ];
    for shape in ["array", "group", "standing"] {
        let body = with(job("job-1"), json!({"shape": shape}));
        cases.push((format!("shape {shape}"), body));
    }
    for urgency in ["critical", "urgent", "standard", "best_effort"] {
        let body = with(job("job-1"), json!({"urgency": urgency}));
        cases.push((format!("urgency {urgency}"), body));
    }
    let mut trace = String::new();
    for (what, body) in cases {
        let text = body.to_string();
        let read = Submission::parse(text.as_bytes()).unwrap();
        let spec = serde_json::to_string(&read.spec).unwrap();
        let awaits = read.depends_on.join(", ");
        writeln!(
            trace,
            "== {what}\n> {text}\nread {spec}\nwaits for: {awaits}\n"
        )
        .unwrap();
    }
    insta::assert_snapshot!(trace);
}

/// The token and all orders, as a worker reads them, at the ends of their ranges.
#[test]
fn orders_are_written_in_the_workers_words() {
    let response = HeartbeatResponse {
        fencing_token: u64::MAX,
        commands: vec![
            Command::run("job-000412/4", 2),
            Command::stop("job-000377/1", 1, 10.0),
            Command::stop("job-000377/1", 1, 2.5),
            Command::reap("job-000398/0", u64::MAX),
        ],
    };
    let none = HeartbeatResponse {
        fencing_token: 0,
        commands: Vec::new(),
    };
    let texts = [response, none].map(|response| serde_json::to_string(&response).unwrap());
    insta::assert_snapshot!(texts.join("\n"));
}
