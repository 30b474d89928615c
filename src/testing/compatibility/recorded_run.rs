//! All records of one run, as the state service held them: three cells on loopback, one of them stored
//! here, with jobs that ran, waited, ended, were cancelled and changed cells.

use super::trace::written;
use crate::jobs::{PageId, PageLayout, Relinquished, StoredJob};
use crate::state::replica::Job;
use crate::state::{LIVE_PREFIX, RecordKey, Replica};
use rowanmill_state::KeyValue;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// One pair a line, as the state service lists them.
const RECORDS: &str = include_str!("records.json");

/// Keys with their JSON and revision.
type Records = BTreeMap<String, (Value, u64)>;

fn stored() -> Records {
    let lines = RECORDS.lines().map(|line| {
        let mut pair: Value = serde_json::from_str(line).unwrap();
        let key = pair["k"].as_str().unwrap().to_owned();
        let revision = pair["mark"].as_u64().unwrap();
        (key, (pair["data"].take(), revision))
    });
    lines.collect()
}

fn live(records: Records) -> Records {
    let of_replica = |key: &String| key.starts_with(LIVE_PREFIX);
    records
        .into_iter()
        .filter(|(key, _)| of_replica(key))
        .collect()
}

fn loaded() -> Replica {
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

/// Records as a replica would write them again.
#[derive(Default)]
struct Rewritten(Records);

impl Rewritten {
    fn add(&mut self, key: String, record: &impl Serialize, revision: u64) {
        let (key, json) = written(key, record);
        let value = serde_json::from_str(&json).unwrap();
        let before = self.0.insert(key.clone(), (value, revision));
        assert!(before.is_none(), "{key} is held once");
    }

    fn add_job(&mut self, id: &str, job: &Job) {
        let record = StoredJob::Open(job.record.clone());
        self.add(RecordKey::Job(id).to_string(), &record, job.revision);
        for (page, kept) in &job.pages {
            self.add_page(id, *page, &kept.record, kept.revision);
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
        for ((id, page), kept) in &replica.orphaned_pages {
            self.add_page(id, *page, &kept.record, kept.revision);
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
        for (name, kept) in &replica.fleet.rentals {
            self.add(
                RecordKey::Rental(name).to_string(),
                &kept.record,
                kept.revision,
            );
        }
        for (name, kept) in &replica.presence {
            self.add(
                RecordKey::Presence(name).to_string(),
                &kept.record,
                kept.revision,
            );
        }
        for (name, kept) in &replica.forecast_summaries {
            self.add(
                RecordKey::ForecastSummary(name).to_string(),
                &kept.record,
                kept.revision,
            );
        }
        for (team, kept) in &replica.quota_allocations {
            let record = kept.record.as_ref().unwrap();
            self.add(
                RecordKey::quota_allocations(team).to_string(),
                record,
                kept.revision,
            );
        }
        let forms = replica.schema_versions.as_ref().unwrap();
        self.add(
            RecordKey::SchemaVersions.to_string(),
            &forms.record,
            forms.revision,
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

fn rewritten(replica: &Replica) -> Records {
    let mut records = Rewritten::default();
    records.add_jobs(replica);
    records.add_cluster(replica);
    records.0
}

#[test]
fn records_of_a_run_come_out_of_the_replica_as_they_were_written() {
    let replica = loaded();
    assert_eq!(rewritten(&replica), live(stored()));
}

/// What lies outside the replica: final states, and that jobs were given up to other cells.
#[test]
fn records_of_ended_jobs_of_a_run_read_back_as_they_were_written() {
    let mut replica = loaded();
    let (mut ended, mut given_up) = (0, 0);
    for (key, (value, _)) in stored() {
        let again = match key.split_once('/').unwrap() {
            ("e", id) => {
                ended += 1;
                replica.record_final_state(id, serde_json::from_value(value.clone()).unwrap());
                written(
                    RecordKey::FinalState(id).to_string(),
                    &replica.final_state(id).unwrap(),
                )
            }
            ("x", id) => {
                given_up += 1;
                let record: Relinquished = serde_json::from_value(value.clone()).unwrap();
                written(RecordKey::Relinquished(id).to_string(), &record)
            }
            _ => continue,
        };
        assert_eq!((again.0, json!(again.1)), (key, json!(value.to_string())));
    }
    assert!(ended > 0 && given_up > 0);
}

/// The fixture has a record of each kind, so that the traces above leave none out.
#[test]
fn records_of_a_run_are_of_every_kind() {
    let kind = |key: &String| {
        let parts: Vec<&str> = key.split('/').collect();
        match parts[..] {
            ["r", kind, ..] => format!("r/{kind}"),
            _ => parts[0].to_owned(),
        }
    };
    let kinds: BTreeSet<String> = stored().keys().map(kind).collect();
    let kinds: Vec<String> = kinds.into_iter().collect();
    insta::assert_snapshot!("kinds_of_records", kinds.join("\n"));
}
