//! The responses to users, workers and the load balancer, byte for byte except for the `date` header, and how their
//! requests are parsed. Most tests send the requests to a controller's HTTP server. The tests themselves write the
//! records that no request of a user creates, such as those of placed tasks and rented machines.

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

/// A loopback address at which nothing listens.
const UNUSED_ADDR: &str = "127.0.0.1:4";

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

fn machine_type(name: &str, cpus: f64, zones: &[&str]) -> MachineType {
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

/// A controller with its HTTP server, and a trace of the requests and responses.
struct Served {
    node: Arc<Node>,
    /// Whether it reads its records from a state service. Otherwise the test puts them into its replica.
    follows_state: bool,
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
            follows_state: false,
            api,
            trace: String::new(),
        }
    }

    /// A controller whose records the test puts into its replica. It counts as connected to the state service.
    async fn without_state() -> Self {
        let settings = settings(1, UNUSED_ADDR.parse().unwrap());
        let served = Self::start(Node::new(
            FeatureLevel::COMPACT_PAGES,
            settings,
            Policy::default(),
        ))
        .await;
        {
            let mut core = served.node.core();
            core.loaded = true;
            core.machine_types = vec![machine_type("c4", 4.0, &["a"])];
        }
        served.renew_read_barrier();
        served
    }

    /// Makes the last read barrier recent, as if the state service had just been read.
    fn renew_read_barrier(&self) {
        self.node.core().last_read_barrier = Some(Instant::now());
    }

    /// Puts a record into the replica.
    fn put(&self, key: &str, data: Value, revision: u64) {
        let mut core = self.node.core();
        core.replica.apply_put(key, &data.to_string(), revision);
    }

    /// Waits until the state service and, in a cell, the ledger have been read recently. On a busy machine a read may
    /// be late, and the response would be the one without contact, which other tests check.
    fn wait_for_contact(&self) {
        let end = Instant::now() + Duration::from_secs(40);
        let max_age = Duration::from_millis(1500);
        let cells = self.node.cells.as_ref();
        while !self.node.is_connected_within(max_age)
            || cells.is_some_and(|cells| !cells.ledger_responded_within(max_age))
        {
            assert!(
                Instant::now() < end,
                "no contact with the state service or the ledger within 40 s"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends one request, and adds it to the trace with its response under the label `what`.
    fn ask(&mut self, what: &str, method: &str, path: &str, body: &str) {
        if self.follows_state {
            self.wait_for_contact();
        }
        let response = exchange(self.api, method, path, body);
        let sent = match body.len() {
            0 => String::new(),
            1..=1000 => format!("\n> {body}"),
            length => format!("\n> {length} bytes"),
        };
        writeln!(self.trace, "== {what}\n> {method} {path}{sent}\n{response}").unwrap();
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

    fn heartbeat(&mut self, what: &str, heartbeat: &Value) {
        self.renew_read_barrier();
        self.ask(what, "POST", "/hello", &heartbeat.to_string());
    }

    fn check_health(&mut self, what: &str) {
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

/// Serves a controller that reads its records from its state service and knows two machine types.
async fn serve_with_state(node: Node) -> Served {
    node.core().machine_types = vec![
        machine_type("c4", 4.0, &["a"]),
        machine_type("c8", 8.0, &["a", "b"]),
    ];
    let mut served = Served::start(node).await;
    served.follows_state = true;
    tokio::spawn(crate::state::watch::run(served.node.clone()));
    tokio::spawn(crate::state::watch::serve_read_barriers(
        served.node.clone(),
    ));
    let node = served.node.clone();
    until("the records are read", async || node.core().loaded).await;
    served
}

/// A controller with a state service, and the address of the latter.
async fn start_with_state() -> (Served, SocketAddr) {
    let (_state, addr) = state_service().await;
    let node = Node::new(
        FeatureLevel::COMPACT_PAGES,
        settings(1, addr),
        Policy::default(),
    );
    (serve_with_state(node).await, addr)
}

/// The schema versions record that activates jobs with dependencies and compact progress pages.
fn activated_schema_versions(served: &Served) -> Value {
    let layout = serde_json::to_value(served.node.settings.page_layout()).unwrap();
    json!({"seen": ["millstone-0"], "layout": layout})
}

async fn store(state: SocketAddr, key: &str, data: Value) {
    let then = json!({"guards": [], "then": [{"set": key, "data": data}]});
    let (status, _) = ask(state, Method::POST, "/multi", then).await;
    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_to_users_at_each_stage_of_a_job() {
    let (mut served, state) = start_with_state().await;
    served.submit("a new job", &job("job-1"));
    served.submit("the same again", &job("job-1"));
    let invalid = json!({"nameId": "job-1", "sacks": "many"});
    served.submit("the same with a body that is none", &invalid);
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
    let dependent = |id, dependency| with(job(id), json!({"awaits": [dependency]}));
    served.submit(
        "one that waits, before all controllers can",
        &dependent("job-4", "job-2"),
    );
    store(state, "r/forms", activated_schema_versions(&served)).await;
    let node = served.node.clone();
    until("the current schema is active", async || {
        node.core().replica.is_current_schema_active()
    })
    .await;
    served.submit(
        "one that waits for a job that is done",
        &dependent("job-4", "job-2"),
    );
    served.submit(
        "one that waits for a queued job",
        &dependent("job-5", "job-4"),
    );
    served.poll("it waits", "job-5");
    served.submit(
        "one that waits for a cancelled job",
        &dependent("job-6", "job-3"),
    );
    served.poll("it is cancelled with it", "job-6");
    served.submit("one that waits for none", &dependent("job-7", "job-98"));
    served.submit("one that waits for itself", &dependent("job-7", "job-7"));
    served.cancel("cancellation of what is waited for", "job-4");
    served.poll("what waited for it is cancelled", "job-5");
    served.node.core().machine_types.clear();
    served.submit("a new job before the catalogue is known", &job("job-8"));
    served.submit("a known job before the catalogue is known", &job("job-4"));
    insta::assert_snapshot!(served.trace);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_can_never_succeed_are_refused_permanently() {
    let (mut served, _) = start_with_state().await;
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

async fn response_text(response: HttpResponse) -> String {
    let (head, body) = response.into_parts();
    let mut text = format!("< {}\n", head.status);
    for (name, value) in &head.headers {
        writeln!(text, "< {name}: {}", value.to_str().unwrap()).unwrap();
    }
    let body = body.collect().await.unwrap().to_bytes();
    writeln!(text, "< {}", String::from_utf8_lossy(&body)).unwrap();
    text
}

#[tokio::test]
async fn response_to_each_admission_result() {
    let admissions = [
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
    for (what, admission) in admissions {
        let response = response_text(admission.refusal()).await;
        writeln!(trace, "== {what}\n{response}").unwrap();
    }
    insta::assert_snapshot!(trace);
}

#[tokio::test]
async fn requests_over_the_concurrency_limit_get_retry_after() {
    let served = Served::without_state().await;
    let server = Server {
        node: served.node.clone(),
        limit: ConcurrencyLimit::new(),
    };
    let mut permits = Vec::new();
    while let Some(permit) = server.limit.try_acquire(1.0) {
        permits.push(permit);
    }
    let body = job("job-1").to_string();
    let submitted = response_text(submit(&server, body.as_bytes()).await).await;
    let polled = response_text(poll(&server, "job-1").await).await;
    let cancelled = response_text(cancel(&server, "job-1").await).await;
    let invalid = response_text(submit(&server, br#"{"nameId":"job-1"}"#).await).await;
    insta::assert_snapshot!(format!(
        "submitted\n{submitted}polled\n{polled}cancelled\n{cancelled}a body that is none\n{invalid}"
    ));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_state_service_users_get_retry_after() {
    let mut served = Served::without_state().await;
    served.node.core().last_read_barrier = None;
    served.submit("submitted", &job("job-1"));
    served.submit("a body that is none", &json!({"nameId": "job-1"}));
    served.poll("polled", "job-1");
    served.cancel("cancelled", "job-1");
    served.poll("no id is answered all the same", "train-1");
    insta::assert_snapshot!(served.trace);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unready_controller_fails_the_health_check_if_a_peer_is_connected_or_it_never_was() {
    let mut served = Served::without_state().await;
    served.check_health("with the state service");
    served.node.core().machine_types.clear();
    served.check_health("without a catalogue, no other controller better off");
    served.node.peer_status().state_service_reached_at = Some(Instant::now());
    served.check_health("without a catalogue, another has the state service");
    served.node.peer_status().state_service_reached_at = None;
    served.node.core().last_read_barrier = None;
    served.check_health("never any contact");
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
async fn without_the_ledger_users_get_retry_after() {
    let settings = settings(1, UNUSED_ADDR.parse().unwrap());
    let cells = cells_config("127.0.0.1:6".parse().unwrap());
    let node =
        Node::new(FeatureLevel::COMPACT_PAGES, settings, Policy::default()).in_cell(cells, "hanoi");
    node.core().machine_types = vec![machine_type("c4", 4.0, &["a"])];
    let mut served = Served::start(node).await;
    tokio::spawn(BackgroundTasks::of_cells(&served.node).supervise());
    served.renew_read_barrier();
    served.submit("submitted", &job("job-1"));
    served.submit("a body that is none", &json!({"nameId": "job-1"}));
    served.poll("polled", "job-1");
    served.cancel("cancelled", "job-1");
    insta::assert_snapshot!(served.trace);
}

/// A job's record in the ledger.
fn ledger_job(id: &str, owner: &str, cancelled: bool) -> Value {
    json!({"owner": owner, "epoch": 1, "home": owner, "cancelled": cancelled, "accepted_ms": 1000,
        "description": job(id)})
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_to_users_of_cells_follow_the_ledger() {
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
    let mut served = serve_with_state(node).await;
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
    let dependent = with(job("job-6"), json!({"awaits": ["job-98"]}));
    store(state_addr, "r/forms", activated_schema_versions(&served)).await;
    let node = served.node.clone();
    until("the current schema is active", async || {
        node.core().replica.is_current_schema_active()
    })
    .await;
    served.submit("one that waits for none that the cells know", &dependent);
    served.submit("a new job", &job("job-7"));
    served.submit("the same again", &job("job-7"));
    served.submit(
        "one that can never run",
        &with(job("job-8"), json!({"cpus": 16.0})),
    );
    insta::assert_snapshot!(served.trace);
}

fn heartbeat(sequence: u64, fencing_token: u64, tasks: Value) -> Value {
    json!({"millstone": "vm-1", "endpoint": "10.1.0.232:9000", "stone": "c4", "yard": "a",
        "borrowed": false, "shift": 1, "tally": sequence, "warrant": fencing_token, "recallS": null,
        "sacks": tasks})
}

/// The fencing token in the record of vm-1.
const FENCING_TOKEN: u64 = 41;

fn peer(incarnation: u64) -> Member {
    Member {
        name: "millstone-1".to_owned(),
        incarnation,
    }
}

/// Records vm-1 as rented and owned by a controller.
fn record_owner(node: &Node, owner: Member, revision: u64) {
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
            fencing_token: FENCING_TOKEN,
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
async fn the_owner_answers_a_heartbeat_with_its_fencing_token_and_commands() {
    let mut served = Served::without_state().await;
    let identity = served.node.identity.clone();
    record_owner(&served.node, identity, 12);
    let spec = without(job("job-1"), "nameId");
    let spec = with(spec, json!({"nameId": "job-1", "sacks": 5}));
    served.put("r/j/job-1", json!({"spec": spec, "accepted_ms": 0}), 5);
    served.heartbeat("nothing to do", &heartbeat(1, 0, json!([])));
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
    let tasks = json!([{"sack": "job-1/1", "turn": 1, "stage": "running"},
        {"sack": "job-1/2", "turn": 2, "stage": "pulling"},
        {"sack": "job-1/3", "turn": 1, "stage": "ended", "cause": "done"},
        {"sack": "job-1/4", "turn": 1, "stage": "gathering"}]);
    served.heartbeat(
        "a start, a stop with time to save, one at once, an exit to forget",
        &heartbeat(2, FENCING_TOKEN, tasks),
    );
    served.heartbeat("a late copy", &heartbeat(1, FENCING_TOKEN, json!([])));
    served.heartbeat(
        "a higher token than its record's",
        &heartbeat(3, FENCING_TOKEN + 1, json!([])),
    );
    insta::assert_snapshot!(served.trace);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_heartbeat_that_cannot_be_answered_is_redirected_or_gets_retry_after() {
    let mut served = Served::without_state().await;
    let idle = heartbeat(1, 0, json!([]));
    served.heartbeat("no record of it, and no leader", &idle);
    let leader = json!({"member": "millstone-2", "incarnation": 7, "lease": 3});
    served.put("r/leader", leader, 5);
    served.heartbeat("no record of it, another leads", &idle);
    let identity = served.node.identity.clone();
    let leader = json!({"member": identity.name, "incarnation": identity.incarnation, "lease": 3});
    served.put("r/leader", leader, 6);
    served.heartbeat("no record of it, this node leads", &idle);
    record_owner(&served.node, peer(1), 12);
    served.heartbeat("another's that is gone", &idle);
    served.put("r/n/millstone-1", json!({"incarnation": 1, "lease": 4}), 13);
    served.heartbeat("another's that is there", &idle);
    let previous = Member {
        incarnation: identity.incarnation + 1,
        ..identity.clone()
    };
    record_owner(&served.node, previous, 14);
    served.heartbeat("this node's before its restart", &idle);
    record_owner(&served.node, identity, 15);
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
async fn malformed_heartbeats_are_refused_with_the_field() {
    let mut served = Served::without_state().await;
    served.ask("not JSON", "POST", "/hello", "{");
    served.ask("a list", "POST", "/hello", "[]");
    let full = heartbeat(1, 0, json!([]));
    for field in ["millstone", "endpoint", "stone", "yard", "shift", "tally"] {
        let what = format!("without `{field}`");
        served.heartbeat(&what, &without(full.clone(), field));
    }
    let task = json!({"sack": "job-1/1", "turn": 1, "stage": "running"});
    for field in ["sack", "turn", "stage"] {
        let what = format!("a task without `{field}`");
        let tasks = json!([without(task.clone(), field)]);
        served.heartbeat(&what, &heartbeat(1, 0, tasks));
    }
    let tasks = json!([with(task, json!({"stage": "asleep"}))]);
    served.heartbeat("a task in a state of no protocol", &heartbeat(1, 0, tasks));
    insta::assert_snapshot!(served.trace);
}

/// A task's state as the snapshots show it.
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
fn a_heartbeat_is_parsed_with_all_fields_and_with_only_required_ones() {
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
    let mut tasks = stages.to_vec();
    tasks.extend(causes);
    tasks.push(no_cause);
    let full = json!({"millstone": "vm-000231", "endpoint": "10.1.0.232:9000", "stone": "g8",
        "yard": "a", "borrowed": true, "shift": 3, "tally": 88, "warrant": 41, "recallS": 27.5,
        "sacks": tasks, "later": {"unknown": true}});
    let minimal = json!({"millstone": "vm-000232", "endpoint": "10.1.0.233:9000", "stone": "c4",
        "yard": "b", "shift": 1, "tally": 1});
    let mut trace = String::new();
    for (what, body) in [("all fields", full), ("the least", minimal)] {
        let heartbeat: Heartbeat = serde_json::from_str(&body.to_string()).unwrap();
        writeln!(trace, "== {what}\n> {body}\n{}", heartbeat_text(&heartbeat)).unwrap();
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn a_submission_is_parsed_with_all_fields_and_with_only_required_ones() {
    let full = json!({"nameId": "job-000412", "grist": "train", "crew": "vision",
        "shape": "group", "urgency": "urgent", "sacks": 16, "cpus": 8.0, "cards": 1.0,
        "memGb": 64.0, "mould": "img-07", "pullGb": 6.2, "stones": ["g8", "g4"], "yard": "a",
        "together": true, "spread": false, "borrowed": true, "grindS": 240.0, "bankS": 30.0,
        "bankWriteS": 4.0, "dueS": 900.0, "awaits": ["job-000398", "job-000405", "job-000398"],
        "later": {"unknown": true}});
    let nulls = json!({"stones": null, "yard": null, "dueS": null, "awaits": null});
    let mut cases = vec![
        ("all fields".to_owned(), full.clone()),
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
        let submission = Submission::parse(text.as_bytes()).unwrap();
        let spec = serde_json::to_string(&submission.spec).unwrap();
        let dependencies = submission.depends_on.join(", ");
        writeln!(
            trace,
            "== {what}\n> {text}\nread {spec}\nwaits for: {dependencies}\n"
        )
        .unwrap();
    }
    insta::assert_snapshot!(trace);
}

/// Responses to heartbeats: one with each command, the highest fencing token and the highest attempt, and one without
/// commands.
#[test]
fn commands_keep_their_json() {
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
