//! The ledger's keys and the JSON of its records. Renaming types or fields must not change them.

use rowanmill_cells::record::{
    CapacitySummary, CellPresence, DrainRequest, FinalState, Generation, LIVE_PREFIX, LedgerJob,
    OwnershipVersion, drain_key, final_key, generation_key, job_key, presence_key,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::fmt::Debug;

/// Adds a record's key and JSON to the trace, after a line with the name of the variant. Checks that the JSON parses to
/// the same record.
fn add<T>(trace: &mut String, form: &str, key: &str, record: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let json = serde_json::to_string(record).unwrap();
    let read: T = serde_json::from_str(&json).unwrap();
    assert_eq!(
        read, *record,
        "{form}: the JSON must parse to the same record"
    );
    trace.push_str(&format!("# {form}\n{key} {json}\n"));
}

#[test]
fn ledger_keys_are_stable() {
    let keys = [
        ("what every cell follows", LIVE_PREFIX.to_owned()),
        ("job", job_key("job-000412")),
        ("presence", presence_key("stone")),
        ("registrations", generation_key("stone")),
        ("drain", drain_key("stone")),
        ("final state", final_key("job-000412")),
    ];
    let lines = keys.map(|(record, key)| format!("{record}: {key}"));
    insta::assert_snapshot!("keys", lines.join("\n"));
}

#[test]
fn ledger_job_json_is_stable() {
    let mut trace = String::new();
    let key = job_key("job-000412");
    let plain = LedgerJob {
        owner: "stone".into(),
        epoch: 1,
        home: "stone".into(),
        cancelled: false,
        spill_count: 0,
        declined_by: Vec::new(),
        depends_on: Vec::new(),
        accepted_ms: 1_796_178_938_037,
        description: json!({"nameId": "job-000412", "cpus": 1.5, "yard": null}),
    };
    add(&mut trace, "no optional field", &key, &plain);
    add(
        &mut trace,
        "of another owner",
        &key,
        &plain.with_owner("water"),
    );
    add(&mut trace, "claimed again", &key, &plain.reclaimed());
    let cancelled = plain.clone().into_cancelled();
    add(&mut trace, "cancelled", &key, &cancelled);
    let full = LedgerJob {
        owner: "water".into(),
        epoch: 9_007_199_254_740_993,
        spill_count: 2,
        declined_by: vec!["wind".into(), "stone".into()],
        depends_on: vec!["job-000410".into(), "job-000411".into()],
        ..cancelled
    };
    add(&mut trace, "all fields set", &key, &full);
    insta::assert_snapshot!("ledger_job", trace);
}

#[test]
fn final_states_json_is_stable() {
    let mut trace = String::new();
    let key = final_key("job-000412");
    add(&mut trace, "done", &key, &FinalState::Done);
    add(&mut trace, "cancelled", &key, &FinalState::Cancelled);
    insta::assert_snapshot!("final_state", trace);
}

#[test]
fn cell_presence_json_is_stable() {
    let mut trace = String::new();
    let key = presence_key("stone");
    let plain = CellPresence {
        controller: "millstone-0".into(),
        incarnation: 1_170_161_245_356_350,
        summary: CapacitySummary::default(),
    };
    add(&mut trace, "empty summary", &key, &plain);
    let full = CellPresence {
        summary: CapacitySummary {
            computed_ms: 1_796_178_938_037,
            waiting_tasks: 122,
            free_cpus: 12.5,
            can_rent: true,
            ledger_revision: None,
        },
        ..plain
    };
    add(&mut trace, "all fields set", &key, &full);
    insta::assert_snapshot!("cell_presence", trace);
}

/// A summary with the ledger revision as of which it counts the cell's jobs.
#[test]
fn capacity_summary_json_with_its_revision_is_stable() {
    let summary = CapacitySummary {
        ledger_revision: Some(41),
        ..CapacitySummary::default()
    };
    let json = serde_json::to_string(&summary).unwrap();
    let expected = r#"{"at_ms":0,"waiting":0,"free_cpus":0.0,"can_rent":false,"as_of":41}"#;
    assert_eq!(json, expected);
    let read: CapacitySummary = serde_json::from_str(&json).unwrap();
    assert_eq!(read, summary);
}

/// The CPUs that all tasks of a job request together. The total is 0 if the CPUs or the number of tasks are missing or
/// invalid.
#[test]
fn requested_cpus_follow_from_the_description() {
    let cpus =
        |description| LedgerJob::accepted_by("stone", 0, Vec::new(), description).requested_cpus();
    assert_eq!(cpus(json!({"cpus": 1.5, "sacks": 4})), 6.0);
    let invalid = [
        json!({}),
        json!({"cpus": 1.5}),
        json!({"cpus": "2", "sacks": 4}),
        json!({"cpus": -1.0, "sacks": 4}),
        json!({"cpus": 1e308, "sacks": 1_000_000}),
        json!(null),
    ];
    assert!(
        invalid
            .into_iter()
            .all(|description| cpus(description) == 0.0)
    );
}

#[test]
fn drain_and_registrations_json_is_stable() {
    let mut trace = String::new();
    let drain = DrainRequest {
        requested_ms: 1_796_178_938_037,
    };
    add(&mut trace, "drain", &drain_key("stone"), &drain);
    let generation = Generation { count: 3 };
    let key = generation_key("stone");
    add(&mut trace, "registrations", &key, &generation);
    insta::assert_snapshot!("drain_and_registrations", trace);
}

/// The ownership version is stored in a cell's own record of a job.
#[test]
fn ownership_version_json_is_stable() {
    let mut trace = String::new();
    let version = OwnershipVersion {
        epoch: 3,
        revision: 9_007_199_254_740_993,
    };
    add(&mut trace, "stamp", "-", &version);
    insta::assert_snapshot!("stamp", trace);
}

/// Records of a previous version lack fields, and records of a later version may have additional ones.
#[test]
fn missing_and_unknown_fields_are_tolerated() {
    let job = json!({"owner": "stone", "epoch": 1, "home": "wind", "accepted_ms": 5,
        "description": {}, "added_later": true});
    let read: LedgerJob = serde_json::from_value(job).unwrap();
    let expected = LedgerJob {
        owner: "stone".into(),
        epoch: 1,
        home: "wind".into(),
        cancelled: false,
        spill_count: 0,
        declined_by: Vec::new(),
        depends_on: Vec::new(),
        accepted_ms: 5,
        description: json!({}),
    };
    assert_eq!(read, expected);
    let presence = json!({"controller": "millstone-0", "incarnation": 7, "added_later": true});
    let read: CellPresence = serde_json::from_value(presence).unwrap();
    let expected = CellPresence {
        controller: "millstone-0".into(),
        incarnation: 7,
        summary: CapacitySummary::default(),
    };
    assert_eq!(read, expected);
}
