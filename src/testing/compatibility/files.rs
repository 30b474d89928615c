//! The settings file and the operators' policy file, as this version reads them.

use crate::policy::{JobFacts, MachinePoolFacts, MachineTypeFacts, Policy};
use crate::settings::Settings;
use rowanmill_config::ConfigFile;
use serde_json::{Value, json};
use std::fmt::Write;

/// Settings with all fields that are read, and some that are not: `site`, `zones`, `share` and the unknown `later`.
fn full_settings() -> Value {
    json!({
        "member": "millstone-0", "site": "danang-a",
        "api_addr": "10.0.0.1:8080", "mesh_addr": "10.0.0.1:8081",
        "known": [
            {"member": "millstone-1", "site": "saigon-b", "addr": "10.0.0.2:8081"},
            {"member": "millstone-2", "site": "danang-a", "addr": "10.0.0.3:8081"}
        ],
        "endpoints": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "params": {
            "size": 3, "zones": ["danang-a", "saigon-b"],
            "teams": [
                {"name": "dieu-phoi", "cpus": 1.5, "cpus_max": 20.0, "gpus": 2.0, "gpus_max": 4.0},
                {"name": "pin-xe", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
            ],
            "objectives": [
                {"kind": "wait", "class": "rebalance-solve", "within_s": 100.0, "share": 0.96},
                {"kind": "deadline", "class": "battery-health-score", "share": 0.97, "times": 1.5}
            ],
            "workers": {"report_s": 3.0, "lease_s": 24.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0,
                "cancel_s": 49.0},
            "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 24,
                "next": {"rps": 90.0, "write_rps": 30.0, "value_kb": 4.0, "txn_ops": 12}},
            "cloud": {"rps": 8.5, "list_lag_s": 8.0},
            "limits": {"core_share": 0.16, "mem_mb": 136.0, "sockets": 3000},
            "skew_ms": 25.0
        },
        "later": {"unknown": true}
    })
}

/// Settings with only the required fields.
fn minimal_settings() -> Value {
    json!({
        "member": "n", "api_addr": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
        "known": [{"addr": "127.0.0.1:5"}],
        "endpoints": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "params": {
            "size": 2, "teams": [{"name": "t"}],
            "workers": {"report_s": 3.0, "lease_s": 24.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0,
                "cancel_s": 49.0},
            "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 24},
            "cloud": {"rps": 8.0, "list_lag_s": 8.0},
            "limits": {"core_share": 0.16, "mem_mb": 136.0, "sockets": 3000},
            "skew_ms": 25.0
        }
    })
}

fn optional_text<T: ToString>(value: Option<T>) -> String {
    value.map_or("none".to_owned(), |value| value.to_string())
}

/// All settings that were read, each under its name in the file.
fn settings_text(settings: &Settings) -> String {
    let mut text = String::new();
    let mut show = |field: &str, value: String| writeln!(text, "{field} = {value}").unwrap();
    let params = &settings.params;
    show("member", settings.member.clone());
    show("api_addr", settings.api_addr.to_string());
    show("mesh_addr", settings.mesh_addr.to_string());
    for peer in &settings.peers {
        show("known", format!("`{}` at {}", peer.member, peer.addr));
    }
    show("endpoints.cloud", settings.endpoints.cloud.to_string());
    show("endpoints.state", settings.endpoints.state.to_string());
    show("params.size", params.size.to_string());
    for team in &params.teams {
        let amounts = format!(
            "cpus {}, cpus_max {}, gpus {}, gpus_max {}",
            team.guaranteed_cpus, team.max_cpus, team.guaranteed_gpus, team.max_gpus
        );
        show("params.teams", format!("`{}` {amounts}", team.name));
    }
    for objective in &params.objectives {
        let bounds = format!(
            "within_s {}, times {}",
            optional_text(objective.within_s),
            optional_text(objective.times)
        );
        let name = format!("kind {}, class `{}`", objective.kind, objective.class);
        show("params.objectives", format!("{name}, {bounds}"));
    }
    let workers = &params.workers;
    show("params.workers.report_s", workers.report_s.to_string());
    show("params.workers.lease_s", workers.lease_s.to_string());
    show(
        "params.workers.gang_wait_s",
        workers.gang_wait_s.to_string(),
    );
    show(
        "params.workers.gang_peer_s",
        workers.gang_peer_s.to_string(),
    );
    show("params.workers.cancel_s", workers.cancel_s.to_string());
    let state = &params.state;
    show("params.state.rps", state.rps.to_string());
    show("params.state.write_rps", state.write_rps.to_string());
    show("params.state.value_kb", state.value_kb.to_string());
    show("params.state.txn_ops", state.txn_ops.to_string());
    match state.next {
        Some(next) => {
            show("params.state.next.rps", optional_text(next.rps));
            show("params.state.next.write_rps", optional_text(next.write_rps));
            show("params.state.next.value_kb", optional_text(next.value_kb));
            show("params.state.next.txn_ops", optional_text(next.txn_ops));
        }
        None => show("params.state.next", "none".to_owned()),
    }
    show("params.cloud.rps", params.cloud.rps.to_string());
    show(
        "params.cloud.list_lag_s",
        params.cloud.list_lag_s.to_string(),
    );
    show(
        "params.limits.core_share",
        params.limits.core_share.to_string(),
    );
    show("params.limits.mem_mb", params.limits.mem_mb.to_string());
    show("params.limits.sockets", params.limits.sockets.to_string());
    show("params.skew_ms", params.skew_ms.to_string());
    text
}

#[test]
fn settings_are_read_field_by_field() {
    let mut trace = String::new();
    let mut partly_lower = full_settings();
    partly_lower["params"]["state"]["next"] = json!({"write_rps": 30.0});
    for (what, file) in [
        ("all fields", full_settings()),
        ("the least", minimal_settings()),
        ("limits to come, one alone", partly_lower),
    ] {
        let settings = Settings::parse(&file.to_string(), "settings.json").unwrap();
        writeln!(trace, "== {what}\n{}", settings_text(&settings)).unwrap();
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn settings_without_a_required_field_are_refused_with_its_name() {
    let mut trace = String::new();
    for pointer in [
        "/member",
        "/api_addr",
        "/mesh_addr",
        "/known",
        "/known/0/addr",
        "/endpoints",
        "/endpoints/cloud",
        "/endpoints/state",
        "/params",
        "/params/size",
        "/params/teams",
        "/params/teams/0/name",
        "/params/workers",
        "/params/workers/report_s",
        "/params/workers/lease_s",
        "/params/workers/gang_wait_s",
        "/params/workers/gang_peer_s",
        "/params/workers/cancel_s",
        "/params/state",
        "/params/state/rps",
        "/params/state/write_rps",
        "/params/state/value_kb",
        "/params/state/txn_ops",
        "/params/cloud",
        "/params/cloud/rps",
        "/params/cloud/list_lag_s",
        "/params/limits",
        "/params/limits/core_share",
        "/params/limits/mem_mb",
        "/params/limits/sockets",
        "/params/skew_ms",
    ] {
        let mut file = minimal_settings();
        let (parent, field) = pointer.rsplit_once('/').unwrap();
        let parent = file.pointer_mut(parent).unwrap();
        parent.as_object_mut().unwrap().remove(field).unwrap();
        let problem = Settings::parse(&file.to_string(), "settings.json").unwrap_err();
        let problem = problem.to_string();
        // The position in the error depends on the order of the fields in the text.
        let problem = problem.split(" at line").next().unwrap_or_default();
        writeln!(trace, "without {pointer}: {problem}").unwrap();
    }
    insta::assert_snapshot!(trace);
}

const MACHINE_TYPE: MachineTypeFacts = MachineTypeFacts {
    machine_type: "g8",
    cpus: 96.0,
    gpus: 8.0,
    price: 12.0,
    arrived: 40.0,
    usual: 10.0,
    waiting: 5.0,
};
/// Wednesday, 2 December 2026, 03:30 UTC.
const AT_MS: u64 = 1_796_182_200_000;

/// The value of each policy setting for one machine type, one machine pool, one job and one point in time. The time
/// zone is not shown, but `protected` may depend on it.
fn policy_text(policy: &Policy) -> String {
    let scaling = policy.scaling_parameters(&MACHINE_TYPE);
    let job = JobFacts {
        class: "nightly",
        urgency: "best_effort",
        tasks: 10.0,
        estimate: 240.0,
    };
    let pool = MachinePoolFacts {
        machine_type: "g8",
        cpus: 96.0,
        gpus: 8.0,
        price: 12.0,
        zone: "kamloops",
        spot: false,
    };
    let is_protected = policy.is_protected(&pool, AT_MS);
    let protection_end_ms = is_protected
        .then(|| policy.protection_end_ms(&pool, AT_MS))
        .flatten();
    let values: [(&str, String); 13] = [
        ("alpha", scaling.alpha.to_string()),
        ("beta", scaling.beta.to_string()),
        ("theta", scaling.theta.to_string()),
        ("k", scaling.k.to_string()),
        ("period", policy.period_s.to_string()),
        ("startup_count", policy.startup_count.to_string()),
        (
            "hold, ordinary",
            policy
                .idle_hold_s(&MACHINE_TYPE, "kamloops", false)
                .to_string(),
        ),
        (
            "hold, spot",
            policy
                .idle_hold_s(&MACHINE_TYPE, "kamloops", true)
                .to_string(),
        ),
        ("dearer", policy.max_price_ratio(&MACHINE_TYPE).to_string()),
        ("start_by", policy.start_within_factor(&job).to_string()),
        (
            "may_return",
            policy
                .allows_release(&MACHINE_TYPE, "kamloops", false)
                .to_string(),
        ),
        ("protected", policy.is_protected(&pool, AT_MS).to_string()),
        ("protected until", optional_text(protection_end_ms)),
    ];
    let lines = values.map(|(name, value)| format!("{name} = {value}\n"));
    lines.concat()
}

#[test]
fn policies_are_read_setting_by_setting() {
    let dependent_setting = "# a comment\n\
        alpha = 0.5 * k\n";
    assert!(
        Policy::parse(dependent_setting).is_err(),
        "an expression must not refer to another setting"
    );
    let every_setting = "alpha = 0.01 # of a kind\n\
        beta = if gpus > 0 and price >= 10 then 0.4 else 0.3\n\
        theta = arrived / usual + waiting - 1\n\
        k = 2 * (cpus - 95)\n\
        period = 7.5\n\
        startup_count = 3\n\
        hold = if spot or zone != \"kamloops\" then 60 else 90\n\
        dearer = if kind == \"g8\" then 1.5 else 3\n\
        start_by = if class == \"nightly\" and urgency == \"best_effort\" and tasks >= 10 then estimate / 2 else 1\n\
        may_return = not (zone == \"kamloops\") or gpus < 1\n\
        protected = zone == \"kamloops\" and not spot and hour >= 10 and hour < 10.75 and weekday <= 5\n\
        time_zone = \"Asia/Ho_Chi_Minh\"\n";
    let mut trace = String::new();
    for (what, text) in [
        ("embedded", ""),
        ("one setting, the rest embedded", "hold = 45"),
        ("every setting", every_setting),
    ] {
        let policy = Policy::parse(text).unwrap_or_else(|problem| panic!("{problem}\n{text}"));
        writeln!(
            trace,
            "== {what}\n{text}\n-- as read\n{}",
            policy_text(&policy)
        )
        .unwrap();
    }
    insta::assert_snapshot!(trace);
}
