//! Compatibility with the records of the previous version. This version must read records that the previous
//! version wrote, and during a rolling upgrade the previous version must read what this version writes. The
//! module `previous_version` keeps the record types of that version unchanged.

use super::{Operation, Replica};
use crate::jobs::{JobRecord, PageId, PageLayout, ProgressPage, StoredJob, TaskRecord};
use crate::membership::schema_versions::{FeatureLevel, SchemaVersions};
use crate::state::records::{LeaderRecord, PresenceRecord};
use serde_json::Value;
use std::collections::BTreeMap;

/// Records that the previous version wrote in a real run: the state service's keys with revisions and values.
const STORED_RECORDS: &str = include_str!("kept/production.json");

/// The record types of the previous version. Most fields are only decoded and never used.
#[allow(dead_code)]
mod previous_version {
    use serde::{Deserialize, Serialize};
    use std::collections::BTreeMap;

    #[derive(Debug, Serialize, Deserialize)]
    pub struct JobRecord {
        pub spec: JobSpec,
        pub accepted_ms: u64,
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub cancelled: bool,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub placer: Option<String>,
    }

    #[derive(Debug, Serialize, Deserialize)]
    #[serde(rename_all = "camelCase")]
    pub struct JobSpec {
        pub name_id: String,
        pub grist: String,
        pub crew: String,
        pub shape: String,
        pub urgency: String,
        pub sacks: u32,
        pub cpus: f64,
        pub cards: f64,
        pub mem_gb: f64,
        pub mould: String,
        pub pull_gb: f64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub stones: Option<Vec<String>>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub yard: Option<String>,
        pub together: bool,
        pub spread: bool,
        pub borrowed: bool,
        pub grind_s: f64,
        pub bank_s: f64,
        pub bank_write_s: f64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub due_s: Option<f64>,
    }

    #[derive(Debug, Deserialize)]
    #[serde(untagged)]
    pub enum TaskRecord {
        Waiting(u64),
        Done(bool),
        Placed(u64, String, u64),
    }

    #[derive(Debug, Deserialize)]
    pub struct PresenceRecord {
        pub incarnation: u64,
        pub lease: u64,
    }

    #[derive(Debug, Deserialize)]
    pub struct LeaderRecord {
        pub member: String,
        pub incarnation: u64,
        pub lease: u64,
    }

    #[derive(Debug, Deserialize)]
    pub struct Rental {
        pub kind: String,
        pub zone: String,
        pub spot: bool,
        pub count: u32,
        pub hired_ms: u64,
        #[serde(default)]
        pub open: bool,
        pub owners: Vec<(String, u64)>,
        pub machines: Vec<(String, usize, u64, u8)>,
    }

    #[derive(Debug, Deserialize)]
    pub struct Assignment {
        pub members: Vec<Member>,
        pub teams: BTreeMap<String, usize>,
        pub gangs: Vec<usize>,
        pub had_gangs: bool,
        pub slots: Vec<usize>,
    }

    #[derive(Debug, Deserialize)]
    pub struct Member {
        pub name: String,
        pub incarnation: u64,
    }

    #[derive(Debug, Deserialize)]
    pub struct ForecastSummaryRecord {
        pub at_ms: u64,
        #[serde(default)]
        pub puts_per_s: f64,
        pub kinds: BTreeMap<String, Outlook>,
    }

    #[derive(Debug, Deserialize)]
    pub struct Outlook {
        pub late_now: f64,
        pub counted_now: f64,
        pub late_next: f64,
        pub counted_next: f64,
        pub running: f64,
        pub waiting: u32,
        pub startup: u32,
        pub booting: u32,
        pub wanted: f64,
        pub wanted_spot: f64,
        #[serde(default)]
        pub wanted_else: BTreeMap<String, f64>,
        pub arrived: u32,
        pub finished: u32,
        pub held: Vec<Held>,
    }

    #[derive(Debug, Deserialize)]
    pub struct Held {
        pub name: String,
        pub remaining_hold_s: f64,
    }

    /// The status frame of the mesh.
    #[derive(Debug, PartialEq, bitcode::Encode, bitcode::Decode)]
    pub struct Status {
        pub member: String,
        pub state_age_ms: Option<u64>,
    }
}

fn stored_records() -> BTreeMap<String, (u64, Value)> {
    let all: BTreeMap<String, Value> = serde_json::from_str(STORED_RECORDS).unwrap();
    let revision = |v: &Value| v["mark"].as_u64().unwrap();
    all.into_iter()
        .map(|(k, v)| (k, (revision(&v), v["data"].clone())))
        .collect()
}

/// A replica with this page layout that has loaded the records of the previous version.
fn replica(layout: PageLayout) -> Replica {
    let mut replica = Replica::new(layout);
    for (key, (revision, data)) in stored_records() {
        match key.strip_prefix("e/") {
            Some(id) => replica.record_final_state(id, serde_json::from_value(data).unwrap()),
            None => replica.apply_put(&key, &data.to_string(), revision),
        }
    }
    replica
}

const LAYOUT: PageLayout = PageLayout {
    plain_tasks: 170,
    compact_tasks: 64,
    value_bytes: 1024,
};

#[test]
fn records_of_the_previous_version_are_read() {
    let replica = replica(LAYOUT);
    let mut trace = String::new();
    for (id, job) in &replica.jobs {
        let (stage, spec) = (job.stage(), &job.record.spec);
        let (done, placed) = (job.done, job.placed);
        trace.push_str(&format!(
            "{id}: {:?} of {}, {stage:?}, {done} done, {placed} placed, due {:?}, eligible when accepted {}\n",
            spec.shape,
            spec.tasks,
            spec.deadline_s,
            job.record.eligible_since_ms() == job.record.accepted_ms,
        ));
    }
    for (name, rental) in &replica.fleet.rentals {
        let machines = rental.record.machines.len();
        let owner = &rental.record.machines[0].owner.name;
        trace.push_str(&format!("{name}: {machines} machines of {owner}\n"));
    }
    for (name, presence) in &replica.presence {
        let level = presence.record.supported_level;
        trace.push_str(&format!("{name} has feature level {level}\n"));
    }
    let summaries: Vec<_> = replica
        .forecast_summaries
        .values()
        .map(|versioned| &versioned.record)
        .collect();
    let has_lower_quota = summaries.iter().any(|summary| summary.has_lower_quota);
    trace.push_str(&format!(
        "leader {:?}, {} slots, {} forecast summaries, lower quota {has_lower_quota}, current schema active {}\n",
        replica.leader.as_ref().map(|l| &l.record.member),
        replica
            .assignment
            .as_ref()
            .map_or(0, |s| s.record.slots.len()),
        summaries.len(),
        replica.is_current_schema_active(),
    ));
    insta::assert_snapshot!(trace, @r#"
    job-000301: Array of 12, Running, 8 done, 4 placed, due Some(5.0), eligible when accepted true
    job-000302: Gang of 2, Running, 0 done, 2 placed, due None, eligible when accepted true
    job-000304: Array of 100, Running, 26 done, 12 placed, due Some(5.0), eligible when accepted true
    r-9-1: 5 machines of millstone-0
    r-9-2: 4 machines of millstone-0
    millstone-0 has feature level 0
    millstone-1 has feature level 0
    millstone-2 has feature level 0
    leader Some("millstone-0"), 60 slots, 1 forecast summaries, lower quota false, current schema active false
    "#);
}

/// The plain pages of the previous version apply until one of their tasks changes. From then on the compact page
/// overrides them, also if a delayed write of a process of the previous version arrives after the process ended.
#[test]
fn compact_pages_override_plain_pages_of_the_previous_version() {
    let mut replica = replica(LAYOUT);
    let count = |r: &Replica| (r.jobs["job-000304"].done, r.jobs["job-000304"].placed);
    let before = count(&replica);
    let schema_versions = SchemaVersions {
        upgraded_members: ["a".to_string()].into(),
        layout: Some(LAYOUT),
    };
    replica.apply_put(
        "r/forms",
        &serde_json::to_string(&schema_versions).unwrap(),
        50,
    );
    assert_eq!(count(&replica), before);
    assert_eq!(replica.page_to_write(30), PageId::Compact(0));
    let entries = (0..64).map(|t| replica.task_record("job-000304", t).clone());
    let mut page = ProgressPage(entries.collect());
    page.set(63, TaskRecord::Done);
    page.set(0, TaskRecord::Done);
    let text = serde_json::to_string(&page.to_compact()).unwrap();
    replica.apply_put("r/q/job-000304/0", &text, 51);
    assert_eq!(count(&replica), (before.0 + 1, before.1));
    // A plain page is put late: only its tasks that no compact page covers change.
    let mut late = vec![Value::from(7); 70];
    late[69] = Value::from(true);
    replica.apply_put("r/p/job-000304/0", &Value::from(late).to_string(), 52);
    assert_eq!(count(&replica), (before.0 + 2, before.1));
    assert_eq!(*replica.task_record("job-000304", 5), TaskRecord::Done);
    assert_eq!(
        *replica.task_record("job-000304", 65),
        TaskRecord::Waiting { last: 7 },
        "no compact page covers the task"
    );
    // The job ends, and its pages are deleted, the plain one first.
    replica.apply_delete("r/j/job-000304", 53);
    let first = replica.orphaned_pages.keys().next().cloned();
    assert_eq!(first, Some(("job-000304".into(), PageId::Plain(0))));
    replica.apply_delete("r/p/job-000304/0", 54);
    replica.apply_delete("r/q/job-000304/0", 54);
    let placed = replica.tasks_by_machine.values().flatten();
    assert_eq!(placed.filter(|id| id.job == "job-000304").count(), 0);
}

fn value_of(operation: Operation) -> String {
    match operation {
        Operation::Put { value, .. } => value.get().to_owned(),
        Operation::Delete { .. } => String::new(),
    }
}

fn serialize(value: &impl serde::Serialize) -> String {
    value_of(Operation::put("k", value))
}

#[test]
fn records_written_during_an_upgrade_are_read_by_the_previous_version() {
    let replica = replica(LAYOUT);
    let mut trace = String::new();
    let mut record = |label: &str, decoded: &dyn std::fmt::Debug| {
        trace.push_str(&format!("{label}: {decoded:?}\n"));
    };
    let job: JobRecord = replica.jobs["job-000301"].record.clone();
    let open = serialize(&StoredJob::Open(job.clone()));
    record(
        "a job",
        &serde_json::from_str::<previous_version::JobRecord>(&open).unwrap(),
    );
    let cancelled = serialize(&StoredJob::Open(job.clone().into_cancelled()));
    let decoded: previous_version::JobRecord = serde_json::from_str(&cancelled).unwrap();
    assert!(decoded.cancelled);
    // The previous version cancels a job that this version accepted.
    let cancelled_by_previous = serialize(&previous_version::JobRecord {
        cancelled: true,
        ..serde_json::from_str(&open).unwrap()
    });
    let stored: StoredJob = serde_json::from_str(&cancelled_by_previous).unwrap();
    let expected = JobRecord {
        cancelled: true,
        ..job.clone()
    };
    assert_eq!(stored, StoredJob::Open(expected));
    // The previous version must not be able to decode a blocked job, since it would run it.
    let blocked = StoredJob::Blocked {
        record: job,
        depends_on: vec!["job-000302".into()],
    };
    assert!(serde_json::from_str::<previous_version::JobRecord>(&serialize(&blocked)).is_err());
    let page = &replica.jobs["job-000304"].pages[&PageId::Plain(0)].record;
    let entries: Vec<previous_version::TaskRecord> =
        serde_json::from_str(&serialize(page)).unwrap();
    record("a page ends with", &&entries[entries.len() - 2..]);
    let presence = PresenceRecord {
        incarnation: 7,
        lease: 8,
        supported_level: FeatureLevel::COMPACT_PAGES,
    };
    let presence = serialize(&presence);
    record(
        "presence",
        &serde_json::from_str::<previous_version::PresenceRecord>(&presence).unwrap(),
    );
    let leader = LeaderRecord {
        member: "millstone-0".into(),
        incarnation: 7,
        lease: 8,
    };
    let leader = serialize(&leader);
    record(
        "leader",
        &serde_json::from_str::<previous_version::LeaderRecord>(&leader).unwrap(),
    );
    let rental = serialize(&replica.fleet.rentals["r-9-2"].record);
    record(
        "a rental",
        &serde_json::from_str::<previous_version::Rental>(&rental).unwrap(),
    );
    let assignment = serialize(&replica.assignment.as_ref().unwrap().record);
    let assignment: previous_version::Assignment = serde_json::from_str(&assignment).unwrap();
    record(
        "the assignment",
        &(
            assignment.members,
            assignment.teams,
            assignment.gangs,
            assignment.had_gangs,
            assignment.slots.len(),
        ),
    );
    let mut summary = replica.forecast_summaries["millstone-0"].record.clone();
    summary.has_lower_quota = true;
    let summary = serialize(&summary);
    record(
        "a forecast summary",
        &serde_json::from_str::<previous_version::ForecastSummaryRecord>(&summary).unwrap(),
    );
    let frame = bitcode::encode(&crate::mesh::status::StatusFrame {
        member: "millstone-1".into(),
        state_age_ms: Some(140),
    });
    let decoded: previous_version::Status = bitcode::decode(&frame).unwrap();
    assert_eq!(
        bitcode::encode(&decoded),
        frame,
        "the encoding of a frame must not change, since it allows no additional field"
    );
    record("a mesh frame", &decoded);
    insta::assert_snapshot!(trace, @r#"
    a job: JobRecord { spec: JobSpec { name_id: "job-000301", grist: "c", crew: "t", shape: "array", urgency: "standard", sacks: 12, cpus: 1.0, cards: 0.0, mem_gb: 1.0, mould: "i", pull_gb: 0.1, stones: None, yard: None, together: false, spread: false, borrowed: false, grind_s: 1.0, bank_s: 0.0, bank_write_s: 0.0, due_s: Some(5.0) }, accepted_ms: 1796178938037, cancelled: false, placer: None }
    a page ends with: [Placed(1, "vm-000001", 1), Placed(1, "vm-000001", 1)]
    presence: PresenceRecord { incarnation: 7, lease: 8 }
    leader: LeaderRecord { member: "millstone-0", incarnation: 7, lease: 8 }
    a rental: Rental { kind: "m4", zone: "a", spot: false, count: 4, hired_ms: 1796178941403, open: false, owners: [("millstone-0", 1170161245356350)], machines: [("vm-000005", 0, 9, 0), ("vm-000006", 0, 9, 0), ("vm-000007", 0, 9, 0), ("vm-000008", 0, 9, 0)] }
    the assignment: ([Member { name: "millstone-0", incarnation: 1170161245356350 }, Member { name: "millstone-1", incarnation: 1127635665600669 }, Member { name: "millstone-2", incarnation: 364675329392080 }], {"t": 0}, [1], true, 60)
    a forecast summary: ForecastSummaryRecord { at_ms: 1796178943111, puts_per_s: 3.9563055831410505, kinds: {"m4": Outlook { late_now: 0.0, counted_now: 19.75, late_next: 0.0, counted_next: 0.0, running: 1.5, waiting: 122, startup: 2, booting: 0, wanted: 0.0, wanted_spot: 0.0, wanted_else: {}, arrived: 0, finished: 6, held: [] }} }
    a mesh frame: Status { member: "millstone-1", state_age_ms: Some(140) }
    "#);
}
