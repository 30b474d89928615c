//! All records that the state service of one cell held at one time during a run of three cells on loopback, in which
//! jobs ran, waited, ended, were cancelled and moved between cells.

use super::trace::written;
use crate::jobs::{PageId, PageLayout, Relinquished, StoredJob};
use crate::state::replica::Job;
use crate::state::{LIVE_PREFIX, RecordKey, Replica};
use rowanmill_state::KeyValue;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// One key with its value and revision per line, as the state service lists them.
const RECORDS: &str = include_str!("records.json");

/// Keys with their JSON and revision.
type Records = BTreeMap<String, (Value, u64)>;

/// All recorded records.
fn recorded() -> Records {
    let lines = RECORDS.lines().map(|line| {
        let mut pair: Value = serde_json::from_str(line).unwrap();
        let key = pair["k"].as_str().unwrap().to_owned();
        let revision = pair["mark"].as_u64().unwrap();
        (key, (pair["data"].take(), revision))
    });
    lines.collect()
}

/// Only the records that a replica holds.
fn held_by_replica(records: Records) -> Records {
    let is_held = |key: &String| key.starts_with(LIVE_PREFIX);
    records
        .into_iter()
        .filter(|(key, _)| is_held(key))
        .collect()
}

/// A replica that has read the recorded records.
fn loaded_replica() -> Replica {
    let pairs = RECORDS
        .lines()
        .map(|line| serde_json::from_str::<KeyValue>(line).unwrap());
    let mut replica = Replica::new(PageLayout {
        plain_tasks: 170,
        compact_tasks: 170,
        value_bytes: 8192,
    });
    replica.reload_from_snapshot(pairs.collect(), u64::MAX);
    replica
}

/// The records of a replica, serialized again.
#[derive(Default)]
struct Rewritten(Records);

impl Rewritten {
    fn add(&mut self, key: String, record: &impl Serialize, revision: u64) {
        let (key, json) = written(key, record);
        let value = serde_json::from_str(&json).unwrap();
        let duplicate = self.0.insert(key.clone(), (value, revision));
        assert!(
            duplicate.is_none(),
            "the replica holds {key} more than once"
        );
    }

    fn add_job(&mut self, id: &str, job: &Job) {
        let record = StoredJob::Open(job.record.clone());
        self.add(RecordKey::Job(id).to_string(), &record, job.revision);
        for (page, stored) in &job.pages {
            self.add_page(id, *page, &stored.record, stored.revision);
        }
    }

    fn add_page(
        &mut self,
        id: &str,
        page: PageId,
        record: &crate::jobs::ProgressPage,
        revision: u64,
    ) {
        let key = RecordKey::page(id, page).to_string();
        match page {
            PageId::Plain(_) => self.add(key, record, revision),
            PageId::Compact(_) => self.add(key, &record.to_compact(), revision),
        }
    }

    fn add_jobs(&mut self, replica: &Replica) {
        for (id, job) in &replica.jobs {
            self.add_job(id, job);
        }
        for ((id, page), stored) in &replica.orphaned_pages {
            self.add_page(id, *page, &stored.record, stored.revision);
        }
        for (id, blocked) in replica.pipelines.iter() {
            let record = StoredJob::Blocked {
                record: blocked.record.clone(),
                depends_on: blocked.depends_on.clone(),
            };
            self.add(RecordKey::Job(id).to_string(), &record, blocked.revision);
        }
        for (id, revision) in &replica.ended_pending_archive {
            let outcome = replica.final_state(id).unwrap();
            self.add(
                RecordKey::Job(id).to_string(),
                &StoredJob::Finished { outcome },
                *revision,
            );
        }
    }

    fn add_cluster(&mut self, replica: &Replica) {
        for (name, stored) in &replica.fleet.rentals {
            self.add(
                RecordKey::Rental(name).to_string(),
                &stored.record,
                stored.revision,
            );
        }
        for (name, stored) in &replica.presence {
            self.add(
                RecordKey::Presence(name).to_string(),
                &stored.record,
                stored.revision,
            );
        }
        for (name, stored) in &replica.forecast_summaries {
            self.add(
                RecordKey::ForecastSummary(name).to_string(),
                &stored.record,
                stored.revision,
            );
        }
        for (team, stored) in &replica.quota_allocations {
            let record = stored.record.as_ref().unwrap();
            self.add(
                RecordKey::quota_allocations(team).to_string(),
                record,
                stored.revision,
            );
        }
        let schema_versions = replica.schema_versions.as_ref().unwrap();
        self.add(
            RecordKey::SchemaVersions.to_string(),
            &schema_versions.record,
            schema_versions.revision,
        );
        let leader = replica.leader.as_ref().unwrap();
        self.add(
            RecordKey::Leader.to_string(),
            &leader.record,
            leader.revision,
        );
        let assignment = replica.assignment.as_ref().unwrap();
        self.add(
            RecordKey::Assignment.to_string(),
            &assignment.record,
            assignment.revision,
        );
    }
}

fn serialize_again(replica: &Replica) -> Records {
    let mut records = Rewritten::default();
    records.add_jobs(replica);
    records.add_cluster(replica);
    records.0
}

#[test]
fn recorded_records_are_serialized_unchanged_by_the_replica() {
    let replica = loaded_replica();
    assert_eq!(serialize_again(&replica), held_by_replica(recorded()));
}

/// Records that are not loaded into the replica: final states, and the markers of jobs that were relinquished to other
/// cells.
#[test]
fn recorded_records_of_ended_and_relinquished_jobs_are_serialized_unchanged() {
    let mut replica = loaded_replica();
    let (mut ended, mut relinquished) = (0, 0);
    for (key, (value, _)) in recorded() {
        let rewritten = match key.split_once('/').unwrap() {
            ("e", id) => {
                ended += 1;
                replica.record_final_state(id, serde_json::from_value(value.clone()).unwrap());
                written(
                    RecordKey::FinalState(id).to_string(),
                    &replica.final_state(id).unwrap(),
                )
            }
            ("x", id) => {
                relinquished += 1;
                let record: Relinquished = serde_json::from_value(value.clone()).unwrap();
                written(RecordKey::Relinquished(id).to_string(), &record)
            }
            _ => continue,
        };
        assert_eq!(
            (rewritten.0, json!(rewritten.1)),
            (key, json!(value.to_string()))
        );
    }
    assert!(ended > 0 && relinquished > 0);
}

/// The recorded records include every kind of key, so that the tests above check all of them. They do not include every
/// form of a job's record: none is [`StoredJob::Finished`], and none has a release or adoption time.
#[test]
fn recorded_records_have_every_kind_of_key() {
    let kind = |key: &String| {
        let parts: Vec<&str> = key.split('/').collect();
        match parts[..] {
            ["r", kind, ..] => format!("r/{kind}"),
            _ => parts[0].to_owned(),
        }
    };
    let kinds: BTreeSet<String> = recorded().keys().map(kind).collect();
    let kinds: Vec<String> = kinds.into_iter().collect();
    insta::assert_snapshot!("kinds_of_records", kinds.join("\n"));
}
