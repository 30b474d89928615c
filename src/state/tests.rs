//! The two versions on one another's data: values kept as production wrote them are read by this
//! code, and what this code writes while a process of production may live is read by production's
//! shapes, which are held here as they were.

use super::{Operation, Replica};
use crate::jobs::{JobRecord, PageId, PageLayout, ProgressPage, StoredJob, TaskRecord};
use crate::membership::schema_versions::{FeatureLevel, SchemaVersions};
use crate::state::records::{LeaderRecord, PresenceRecord};
use serde_json::Value;
use std::collections::BTreeMap;

/// Values of a run of production: a store's keys with their revisions.
const KEPT: &str = include_str!("kept/production.json");

/// Production's records, with the fields that it knows. Most are read for their shape alone.
#[allow(dead_code)]
mod shapes {
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

    /// A mesh frame.
    #[derive(Debug, PartialEq, bitcode::Encode, bitcode::Decode)]
    pub struct Status {
        pub member: String,
        pub state_age_ms: Option<u64>,
    }
}

fn kept() -> BTreeMap<String, (u64, Value)> {
    let all: BTreeMap<String, Value> = serde_json::from_str(KEPT).unwrap();
    let revision = |v: &Value| v["mark"].as_u64().unwrap();
    all.into_iter()
        .map(|(k, v)| (k, (revision(&v), v["data"].clone())))
        .collect()
}

/// A replica of a node with these limits, which has read what production left.
fn replica(layout: PageLayout) -> Replica {
    let mut replica = Replica::new(layout);
    for (key, (revision, data)) in kept() {
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
fn what_production_wrote_is_read() {
    let replica = replica(LAYOUT);
    let mut trace = String::new();
    for (id, job) in &replica.jobs {
        let (stage, spec) = (job.stage(), &job.record.spec);
        let (done, placed) = (job.done, job.placed);
        trace.push_str(&format!(
            "{id}: {:?} of {}, {stage:?}, {done} done, {placed} placed, due {:?}, since {}\n",
            spec.shape,
            spec.tasks,
            spec.deadline_s,
            job.record.eligible_since_ms() == job.record.accepted_ms,
        ));
    }
    for (name, kept) in &replica.fleet.rentals {
        let machines = kept.record.machines.len();
        let owner = &kept.record.machines[0].owner.name;
        trace.push_str(&format!("{name}: {machines} machines of {owner}\n"));
    }
    for (name, kept) in &replica.presence {
        let level = kept.record.supported_level;
        trace.push_str(&format!("{name} can do {level}\n"));
    }
    let outlooks: Vec<_> = replica
        .forecast_summaries
        .values()
        .map(|o| &o.record)
        .collect();
    let fallen = outlooks.iter().any(|o| o.has_lower_quota);
    trace.push_str(&format!(
        "leader {:?}, {} slots, {} outlooks, limits fallen {fallen}, begun {}\n",
        replica.leader.as_ref().map(|l| &l.record.member),
        replica
            .assignment
            .as_ref()
            .map_or(0, |s| s.record.slots.len()),
        outlooks.len(),
        replica.is_current_schema_active(),
    ));
    insta::assert_snapshot!(trace, @r#"
    job-000301: Array of 12, Running, 8 done, 4 placed, due Some(5.0), since true
    job-000302: Gang of 2, Running, 0 done, 2 placed, due None, since true
    job-000304: Array of 100, Running, 26 done, 12 placed, due Some(5.0), since true
    r-9-1: 5 machines of millstone-0
    r-9-2: 4 machines of millstone-0
    millstone-0 can do 0
    millstone-1 can do 0
    millstone-2 can do 0
    leader Some("millstone-0"), 60 slots, 1 outlooks, limits fallen false, begun false
    "#);
}

/// Its wide pages hold until a task on them is touched; from then on the dense page does, also
/// against what a process of production that ended had on its way.
#[test]
fn compact_pages_override_what_production_wrote_of_their_tasks() {
    let mut replica = replica(LAYOUT);
    let count = |r: &Replica| (r.jobs["job-000304"].done, r.jobs["job-000304"].placed);
    let before = count(&replica);
    let forms = SchemaVersions {
        upgraded_members: ["a".to_string()].into(),
        layout: Some(LAYOUT),
    };
    replica.apply_put("r/forms", &serde_json::to_string(&forms).unwrap(), 50);
    assert_eq!(count(&replica), before);
    assert_eq!(replica.page_to_write(30), PageId::Compact(0));
    let entries = (0..64).map(|t| replica.task_record("job-000304", t).clone());
    let mut page = ProgressPage(entries.collect());
    page.set(63, TaskRecord::Done);
    page.set(0, TaskRecord::Done);
    let text = serde_json::to_string(&page.to_compact()).unwrap();
    replica.apply_put("r/q/job-000304/0", &text, 51);
    assert_eq!(count(&replica), (before.0 + 1, before.1));
    // The wide page changes late: only what no dense page covers counts.
    let mut late = vec![Value::from(7); 70];
    late[69] = Value::from(true);
    replica.apply_put("r/p/job-000304/0", &Value::from(late).to_string(), 52);
    assert_eq!(count(&replica), (before.0 + 2, before.1));
    assert_eq!(*replica.task_record("job-000304", 5), TaskRecord::Done);
    assert_eq!(
        *replica.task_record("job-000304", 65),
        TaskRecord::Waiting { last: 7 },
        "no dense page covers it"
    );
    // The job ends, and its pages are dropped, the wide one first.
    replica.apply_delete("r/j/job-000304", 53);
    let first = replica.orphaned_pages.keys().next().cloned();
    assert_eq!(first, Some(("job-000304".into(), PageId::Plain(0))));
    replica.apply_delete("r/p/job-000304/0", 54);
    replica.apply_delete("r/q/job-000304/0", 54);
    let on = replica.tasks_by_machine.values().flatten();
    assert_eq!(on.filter(|id| id.job == "job-000304").count(), 0);
}

fn text(op: Operation) -> String {
    match op {
        Operation::Put { value, .. } => value.get().to_owned(),
        Operation::Delete { .. } => String::new(),
    }
}

fn written(value: &impl serde::Serialize) -> String {
    text(Operation::put("k", value))
}

#[test]
fn what_is_written_in_between_is_read_by_production() {
    let replica = replica(LAYOUT);
    let mut trace = String::new();
    let mut say = |what: &str, shape: &dyn std::fmt::Debug| {
        trace.push_str(&format!("{what}: {shape:?}\n"));
    };
    let job: JobRecord = replica.jobs["job-000301"].record.clone();
    let open = written(&StoredJob::Open(job.clone()));
    say(
        "a job",
        &serde_json::from_str::<shapes::JobRecord>(&open).unwrap(),
    );
    let cancelled = written(&StoredJob::Open(job.clone().into_cancelled()));
    let shape: shapes::JobRecord = serde_json::from_str(&cancelled).unwrap();
    assert!(shape.cancelled);
    // Production's cancellation of a job that this version took, and so the other way round.
    let by_production = written(&shapes::JobRecord {
        cancelled: true,
        ..serde_json::from_str(&open).unwrap()
    });
    let back: StoredJob = serde_json::from_str(&by_production).unwrap();
    let expected = JobRecord {
        cancelled: true,
        ..job.clone()
    };
    assert_eq!(back, StoredJob::Open(expected));
    // A job that waits is nothing that production could run.
    let held = StoredJob::Blocked {
        record: job,
        depends_on: vec!["job-000302".into()],
    };
    assert!(serde_json::from_str::<shapes::JobRecord>(&written(&held)).is_err());
    let page = &replica.jobs["job-000304"].pages[&PageId::Plain(0)].record;
    let entries: Vec<shapes::TaskRecord> = serde_json::from_str(&written(page)).unwrap();
    say("a page ends with", &&entries[entries.len() - 2..]);
    let presence = PresenceRecord {
        incarnation: 7,
        lease: 8,
        supported_level: FeatureLevel::COMPACT_PAGES,
    };
    let presence = written(&presence);
    say(
        "presence",
        &serde_json::from_str::<shapes::PresenceRecord>(&presence).unwrap(),
    );
    let leader = LeaderRecord {
        member: "millstone-0".into(),
        incarnation: 7,
        lease: 8,
    };
    let leader = written(&leader);
    say(
        "leader",
        &serde_json::from_str::<shapes::LeaderRecord>(&leader).unwrap(),
    );
    let rental = written(&replica.fleet.rentals["r-9-2"].record);
    say(
        "a rental",
        &serde_json::from_str::<shapes::Rental>(&rental).unwrap(),
    );
    let shares = written(&replica.assignment.as_ref().unwrap().record);
    let shares: shapes::Assignment = serde_json::from_str(&shares).unwrap();
    say(
        "shares",
        &(
            shares.members,
            shares.teams,
            shares.gangs,
            shares.had_gangs,
            shares.slots.len(),
        ),
    );
    let mut outlook = replica.forecast_summaries["millstone-0"].record.clone();
    outlook.has_lower_quota = true;
    let outlook = written(&outlook);
    say(
        "outlook",
        &serde_json::from_str::<shapes::ForecastSummaryRecord>(&outlook).unwrap(),
    );
    let frame = bitcode::encode(&crate::mesh::status::StatusFrame {
        member: "millstone-1".into(),
        state_age_ms: Some(140),
    });
    let told: shapes::Status = bitcode::decode(&frame).unwrap();
    assert_eq!(
        bitcode::encode(&told),
        frame,
        "frames have no room for a new field"
    );
    say("a mesh frame", &told);
    insta::assert_snapshot!(trace, @r#"
    a job: JobRecord { spec: JobSpec { name_id: "job-000301", grist: "c", crew: "t", shape: "array", urgency: "standard", sacks: 12, cpus: 1.0, cards: 0.0, mem_gb: 1.0, mould: "i", pull_gb: 0.1, stones: None, yard: None, together: false, spread: false, borrowed: false, grind_s: 1.0, bank_s: 0.0, bank_write_s: 0.0, due_s: Some(5.0) }, accepted_ms: 1796178938037, cancelled: false, placer: None }
    a page ends with: [Placed(1, "vm-000001", 1), Placed(1, "vm-000001", 1)]
    presence: PresenceRecord { incarnation: 7, lease: 8 }
    leader: LeaderRecord { member: "millstone-0", incarnation: 7, lease: 8 }
    a rental: Rental { kind: "m4", zone: "a", spot: false, count: 4, hired_ms: 1796178941403, open: false, owners: [("millstone-0", 1170161245356350)], machines: [("vm-000005", 0, 9, 0), ("vm-000006", 0, 9, 0), ("vm-000007", 0, 9, 0), ("vm-000008", 0, 9, 0)] }
    shares: ([Member { name: "millstone-0", incarnation: 1170161245356350 }, Member { name: "millstone-1", incarnation: 1127635665600669 }, Member { name: "millstone-2", incarnation: 364675329392080 }], {"t": 0}, [1], true, 60)
    outlook: ForecastSummaryRecord { at_ms: 1796178943111, puts_per_s: 3.9563055831410505, kinds: {"m4": Outlook { late_now: 0.0, counted_now: 19.75, late_next: 0.0, counted_next: 0.0, running: 1.5, waiting: 122, startup: 2, booting: 0, wanted: 0.0, wanted_spot: 0.0, wanted_else: {}, arrived: 0, finished: 6, held: [] }} }
    a mesh frame: Status { member: "millstone-1", state_age_ms: Some(140) }
    "#);
}
