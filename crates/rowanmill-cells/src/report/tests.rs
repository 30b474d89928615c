use super::*;
use rowanmill_state::KeyValue;
use serde_json::{Value, json};
use std::time::Instant;

fn replica() -> LedgerReplica {
    let job = |owner: &str, home: &str, more: Value| {
        let mut job = json!({"owner": owner, "epoch": 3, "home": home, "accepted_ms": 0,
            "description": {"nameId": "job"}});
        for (field, value) in more.as_object().unwrap() {
            job[field] = value.clone();
        }
        job
    };
    let presence = json!({"controller": "millstone-1", "incarnation": 5,
        "summary": {"at_ms": 9, "waiting": 12, "free_cpus": 64.0, "can_rent": true}});
    let records = [
        ("c/l/d/hanoi", json!({"since_ms": 1})),
        ("c/l/g/hanoi", json!({"count": 4})),
        ("c/l/n/hanoi", presence),
        (
            "c/l/j/job-1",
            job("hanoi", "hanoi", json!({"awaits": ["job-2", "job-9"]})),
        ),
        (
            "c/l/j/job-2",
            job("hanoi", "hue", json!({"moves": 2, "declined": ["danang"]})),
        ),
        (
            "c/l/j/job-3",
            job("danang", "danang", json!({"cancelled": true})),
        ),
        ("c/l/j/job-4", json!("?")),
    ];
    let pairs = records
        .into_iter()
        .enumerate()
        .map(|(at, (key, data))| KeyValue {
            key: key.to_owned(),
            value: serde_json::value::to_raw_value(&data).unwrap(),
            revision: at as u64 + 1,
        });
    let mut replica = LedgerReplica::new(["hanoi", "danang", "hue"]);
    replica.reload_from_snapshot(pairs.collect(), 40, Instant::now());
    replica
}

/// Scripts parse the JSON, so the JSON in this snapshot must not change while the format version is 1.
#[test]
fn cells_report_format_is_stable() {
    let report = report_cells(&replica());
    let json = serde_json::to_string_pretty(&report).unwrap();
    insta::assert_snapshot!(format!(
        "{report}
{json}"
    ));
}

#[test]
fn explanation_format_is_stable() {
    let replica = replica();
    let mut trace = String::new();
    let jobs = [
        ("job-1", None),
        ("job-2", None),
        ("job-3", None),
        ("job-4", None),
        ("job-5", None),
        ("job-6", Some(FinalState::Done)),
    ];
    for (id, final_state) in jobs {
        let explanation = explain(&replica, id, final_state);
        trace.push_str(&explanation.to_string());
        trace.push_str(&serde_json::to_string(&explanation).unwrap());
        trace.push('\n');
    }
    insta::assert_snapshot!(trace);
}
