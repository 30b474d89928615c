//! The output of the client for people and for scripts, and its exit codes.

use crate::run::{folder, run, write};
use hyper::Method;
use rowanmill_testing::state::StateService;
use rowanmill_testing::{ask, serve};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::net::TcpListener;

/// Starts a state service, which also serves as a ledger, and writes these records one by one.
async fn start_with_records(records: &[(&str, Value)]) -> (StateService, SocketAddr) {
    let state = StateService::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, state.handler()));
    for (key, data) in records {
        let transaction = json!({"guards": [], "then": [{"set": key, "data": data}]});
        assert_eq!(ask(addr, Method::POST, "/multi", transaction).await.0, 200);
    }
    (state, addr)
}

fn cells_folder(ledger: SocketAddr) -> PathBuf {
    let folder = folder();
    let file = json!({
        "cells": [{"name": "hanoi", "controllers": ["10.0.0.1:8081"]},
            {"name": "danang", "controllers": ["10.0.1.1:8081"]}],
        "ledger": {"addr": ledger, "rps": 200.0, "write_rps": 80.0, "value_kb": 8.0,
            "txn_ops": 24},
        "cell_lease_s": 30.0, "renew_without_ledger_s": 15.0, "takeover_after_s": 45.0});
    write(&folder, "cells.json", &file.to_string());
    write(&folder, "broken.json", "{}");
    folder
}

fn ledger_job(owner: &str, home: &str, more_fields: Value) -> Value {
    let mut job = json!({"owner": owner, "epoch": 3, "home": home, "accepted_ms": 1000,
        "description": {"nameId": "job"}});
    for (field, value) in more_fields.as_object().unwrap() {
        job[field] = value.clone();
    }
    job
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_cells_commands_print_and_exit_with_a_code_for_each_outcome() {
    let records = [
        ("c/l/g/hanoi", json!({"count": 4})),
        (
            "c/l/n/hanoi",
            json!({"controller": "millstone-1", "incarnation": 5,
                "summary": {"at_ms": 9, "waiting": 12, "free_cpus": 64.0, "can_rent": true}}),
        ),
        ("c/l/j/job-1", ledger_job("hanoi", "hanoi", json!({}))),
        (
            "c/l/j/job-2",
            ledger_job(
                "hanoi",
                "danang",
                json!({"moves": 2, "declined": ["danang"]}),
            ),
        ),
        ("c/l/j/job-4", json!("?")),
        ("c/e/job-3", json!("cancelled")),
    ];
    let (ledger, addr) = start_with_records(&records).await;
    let folder = cells_folder(addr);
    let mut trace = String::new();
    let mut show = |arguments: &[&str]| {
        let mut arguments = arguments.to_vec();
        arguments.insert(0, "cells");
        trace.push_str(&run(&folder, &arguments));
    };
    let for_people = ["--cells", "cells.json"];
    let for_scripts = ["--cells", "cells.json", "--output", "json"];
    show(&[&["status"][..], &for_people].concat());
    show(&[&["status"][..], &for_scripts].concat());
    for job in ["job-1", "job-2", "job-3", "job-4"] {
        show(&[&["explain", job][..], &for_people].concat());
        show(&[&["explain", job][..], &for_scripts].concat());
    }
    show(&[&["explain", "job-77"][..], &for_scripts].concat());
    show(&[&["drain", "hanoi"][..], &for_people].concat());
    let drained = ledger.stored("c/l/d/");
    assert!(
        drained["c/l/d/hanoi"]["since_ms"].is_u64(),
        "no drain record of `hanoi` with a time: {drained:?}"
    );
    show(&[&["status"][..], &for_scripts].concat());
    show(&[&["undrain", "hanoi"][..], &for_people].concat());
    assert!(ledger.stored("c/l/d/").is_empty());
    show(&[&["drain", "danang"][..], &for_scripts].concat());
    show(&[&["undrain", "danang"][..], &for_scripts].concat());
    show(&[&["drain", "nowhere"][..], &for_scripts].concat());
    show(&["status", "--cells", "absent.json"]);
    show(&["status", "--cells", "broken.json"]);
    ledger.set_outage(true);
    for command in [&["status"][..], &["explain", "job-1"], &["drain", "hanoi"]] {
        show(&[command, &for_scripts].concat());
    }
    insta::assert_snapshot!(trace);
}

fn limits_folder(state: SocketAddr) -> PathBuf {
    let folder = folder();
    let settings = json!({"member": "n-0", "site": "a", "api_addr": "127.0.0.1:1",
        "mesh_addr": "127.0.0.1:2", "known": [{"member": "n-1", "addr": "127.0.0.1:5"}],
        "endpoints": {"cloud": "127.0.0.1:3", "state": state},
        "params": {"size": 2, "zones": ["a"],
            "teams": [{"name": "divided", "cpus_max": 10.0, "gpus_max": 4.0},
                {"name": "pending", "cpus_max": 3.0}, {"name": "whole", "gpus_max": 2.5},
                {"name": "free"}],
            "workers": {"report_s": 3.0, "lease_s": 24.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0,
                "cancel_s": 49.0},
            "state": {"rps": 1000.0, "write_rps": 400.0, "value_kb": 8.0, "txn_ops": 24},
            "cloud": {"rps": 8.0, "list_lag_s": 8.0},
            "limits": {"core_share": 1.0, "mem_mb": 136.0, "sockets": 3000}, "skew_ms": 25.0}});
    write(&folder, "settings.json", &settings.to_string());
    write(&folder, "broken.json", "{}");
    folder
}

fn job_record(id: &str, team: &str, tasks: u32, cpus: f64) -> Value {
    json!({"spec": {"nameId": id, "grist": "c", "crew": team, "shape": "array",
        "urgency": "standard", "sacks": tasks, "cpus": cpus, "cards": 0.0, "memGb": 1.0,
        "mould": "i", "pullGb": 1.0, "together": false, "spread": false, "borrowed": true,
        "grindS": 10.0, "bankS": 0.0, "bankWriteS": 0.0},
        "accepted_ms": 1000, "placer": "n-0"})
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_limits_commands_print_and_exit_with_a_code_for_each_outcome() {
    let members = json!([{"name": "n-0", "incarnation": 1}, {"name": "n-1", "incarnation": 1}]);
    let assignment = json!({"members": members, "teams": {"whole": 1}, "gangs": [0, 1],
        "had_gangs": true, "slots": [0, 1]});
    // The assignment is the first record and gets revision 1, to which this record refers.
    let divided = json!({"assignment": 1, "limit": [10_000_000, 4_000_000],
        "allotments": {"n-0": [6_000_000, 4_000_000], "n-1": [4_000_000, 0]}});
    let records = [
        ("r/shares", assignment),
        ("r/a/divided", divided),
        ("r/j/job-1", job_record("job-1", "divided", 3, 2.0)),
        ("r/p/job-1/0", json!([[1, "vm-1", 1], [1, "vm-2", 1]])),
        ("r/j/job-2", job_record("job-2", "divided", 1, 5.0)),
        ("r/j/job-3", job_record("job-3", "divided", 1, 7.0)),
        ("r/j/job-4", job_record("job-4", "pending", 1, 1.0)),
        ("r/j/job-5", job_record("job-5", "whole", 1, 1.0)),
        ("r/j/job-6", job_record("job-6", "free", 1, 1.0)),
        ("r/j/job-7", job_record("job-7", "free", 1, 1.0)),
        ("r/p/job-7/0", json!([[1, "vm-1", 1]])),
        ("e/job-8", json!("done")),
    ];
    let (state, addr) = start_with_records(&records).await;
    let folder = limits_folder(addr);
    let mut trace = String::new();
    let mut show = |arguments: &[&str]| {
        let mut arguments = arguments.to_vec();
        arguments.insert(0, "limits");
        trace.push_str(&run(&folder, &arguments));
    };
    let for_people = ["--config", "settings.json"];
    let for_scripts = ["--config", "settings.json", "--output", "json"];
    show(&[&["status"][..], &for_people].concat());
    show(&[&["status"][..], &for_scripts].concat());
    for number in 1..=7 {
        let job = format!("job-{number}");
        show(&[&["explain", &job][..], &for_people].concat());
        show(&[&["explain", &job][..], &for_scripts].concat());
    }
    show(&[&["explain", "job-8"][..], &for_scripts].concat());
    show(&[&["explain", "job-77"][..], &for_scripts].concat());
    show(&["status", "--config", "absent.json"]);
    show(&["status", "--config", "broken.json"]);
    state.set_outage(true);
    show(&[&["status"][..], &for_scripts].concat());
    show(&[&["explain", "job-1"][..], &for_scripts].concat());
    insta::assert_snapshot!(trace);
}

/// The state service holds no assignment of jobs to controllers, which the client reports as a takeover.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_limits_commands_ask_to_retry_during_a_takeover() {
    let (_state, addr) = start_with_records(&[]).await;
    let folder = limits_folder(addr);
    let arguments = ["--config", "settings.json"];
    let status = run(&folder, &[&["limits", "status"][..], &arguments].concat());
    let explain = run(
        &folder,
        &[&["limits", "explain", "job-1"][..], &arguments].concat(),
    );
    insta::assert_snapshot!(status + &explain);
}
