//! The records of jobs in each form, the records that remain of ended and relinquished jobs, and both encodings of
//! progress pages.

use super::trace::{Trace, written};
use crate::jobs::{
    JobRecord, JobSpec, PageId, ProgressPage, Relinquished, Shape, StoredJob, TaskRecord,
    TerminalState, Urgency,
};
use crate::state::RecordKey;
use rowanmill_cells::OwnershipVersion;

const VERSION: OwnershipVersion = OwnershipVersion {
    epoch: 3,
    revision: 9_007_199_254_740_993,
};

/// A job with none of its optional fields.
fn plain_spec() -> JobSpec {
    JobSpec {
        id: "job-000412".into(),
        class: "render".into(),
        team: "film".into(),
        shape: Shape::Array,
        urgency: Urgency::Standard,
        tasks: 12,
        cpus: 1.5,
        gpus: 0.0,
        memory_gb: 4.0,
        image: "blender".into(),
        image_gb: 2.25,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 60.0,
        checkpoint_interval_s: 0.0,
        checkpoint_write_s: 0.0,
        deadline_s: None,
    }
}

/// A job with all of its optional fields.
fn full_spec() -> JobSpec {
    JobSpec {
        shape: Shape::Gang,
        urgency: Urgency::Critical,
        gpus: 2.0,
        machine_types: Some(vec!["m4".into(), "g8".into()]),
        zone: Some("b".into()),
        one_zone: true,
        spread: true,
        spot: true,
        checkpoint_interval_s: 30.0,
        checkpoint_write_s: 1.5,
        deadline_s: Some(900.5),
        ..plain_spec()
    }
}

/// The record of a job that was just accepted.
fn accepted(spec: JobSpec) -> JobRecord {
    JobRecord {
        spec,
        accepted_ms: 1_796_178_938_037,
        cancelled: false,
        placer: None,
        released_ms: None,
        ledger: None,
        adopted_ms: None,
        foreign: false,
        withdrawn: false,
    }
}

fn key() -> String {
    RecordKey::Job("job-000412").to_string()
}

#[test]
fn open_job_record_keeps_its_json() {
    let plain = accepted(plain_spec());
    let mut trace = Trace::default();
    trace.add("no optional field", key(), &StoredJob::Open(plain.clone()));
    // All but `adopted_ms`, which `adopted_job_record_keeps_its_json` checks.
    let all = JobRecord {
        cancelled: true,
        placer: Some("millstone-1".into()),
        released_ms: Some(1_796_178_940_000),
        ledger: Some(VERSION),
        foreign: true,
        withdrawn: true,
        ..accepted(full_spec())
    };
    trace.add("all optional fields", key(), &StoredJob::Open(all));
    let placer = JobRecord {
        placer: Some("millstone-0".into()),
        ..plain.clone()
    };
    trace.add("placer", key(), &StoredJob::Open(placer));
    let released = JobRecord {
        released_ms: Some(1_796_178_940_000),
        ..plain.clone()
    };
    trace.add("released", key(), &StoredJob::Open(released));
    let from_ledger = JobRecord {
        ledger: Some(VERSION),
        ..plain.clone()
    };
    trace.add("stamp of the ledger", key(), &StoredJob::Open(from_ledger));
    let foreign = JobRecord {
        ledger: Some(VERSION),
        foreign: true,
        ..plain
    };
    trace.add("foreign", key(), &StoredJob::Open(foreign));
    insta::assert_snapshot!("open_job_record", trace.0);
}

/// `adopted_ms` is omitted unless set. Earlier versions do not write it and ignore it.
#[test]
fn adopted_job_record_keeps_its_json() {
    let adopted = JobRecord {
        adopted_ms: Some(1_796_178_941_000),
        ..accepted(plain_spec())
    };
    let json = serde_json::to_value(&adopted).unwrap();
    assert_eq!(json["adopted_ms"], 1_796_178_941_000_u64);
    let read: JobRecord = serde_json::from_value(json).unwrap();
    assert_eq!(read, adopted);
    let plain = serde_json::to_value(accepted(plain_spec())).unwrap();
    assert!(plain.get("adopted_ms").is_none());
}

/// The waiting time counts from the adoption by the cell. It counts from the acceptance if there was no adoption, if
/// the adoption time is before the acceptance, or if it is further in the future than clock skew can explain.
#[test]
fn waiting_time_counts_from_the_adoption_by_the_cell() {
    let accepted = accepted(plain_spec());
    let now_ms = accepted.accepted_ms + 100_000;
    let waited_ms = |adopted_ms| {
        let record = JobRecord {
            adopted_ms,
            ..accepted.clone()
        };
        record.waited_in_cell_ms(now_ms)
    };
    assert_eq!(waited_ms(None), 100_000);
    assert_eq!(waited_ms(Some(now_ms - 5)), 5);
    assert_eq!(
        waited_ms(Some(now_ms + 25)),
        0,
        "another controller's clock is ahead"
    );
    assert_eq!(waited_ms(Some(u64::MAX)), 100_000);
    assert_eq!(waited_ms(Some(0)), 100_000);
}

/// The allowed machine types and the zone may be long. They are cleared, because the maximum size of values may have
/// been lowered since the job was accepted.
#[test]
fn cancelled_and_withdrawn_job_records_omit_machine_types_and_zone() {
    let full = accepted(full_spec());
    let mut trace = Trace::default();
    let cancelled = full.clone().into_cancelled();
    trace.add("cancelled", key(), &StoredJob::Open(cancelled));
    let withdrawn = full.into_withdrawn(VERSION);
    trace.add("withdrawn", key(), &StoredJob::Open(withdrawn));
    insta::assert_snapshot!("cancelled_and_withdrawn_job_record", trace.0);
}

#[test]
fn job_record_names_each_shape_and_urgency() {
    let mut trace = Trace::default();
    let shapes = [
        (Shape::Array, Urgency::BestEffort),
        (Shape::Gang, Urgency::Standard),
        (Shape::Service, Urgency::Urgent),
        (Shape::Array, Urgency::Critical),
    ];
    for (shape, urgency) in shapes {
        let spec = JobSpec {
            shape,
            urgency,
            ..plain_spec()
        };
        trace.add(
            "a shape, an urgency",
            key(),
            &StoredJob::Open(accepted(spec)),
        );
    }
    insta::assert_snapshot!("job_record_of_each_shape_and_urgency", trace.0);
}

#[test]
fn blocked_job_record_keeps_its_json() {
    let mut trace = Trace::default();
    let blocked = |spec, dependencies: &[&str]| StoredJob::Blocked {
        record: accepted(spec),
        depends_on: dependencies.iter().map(|id| (*id).to_owned()).collect(),
    };
    let one = blocked(plain_spec(), &["job-000411"]);
    trace.add("no optional field", key(), &one);
    let several = blocked(full_spec(), &["job-000410", "job-000411"]);
    trace.add("all fields of the job", key(), &several);
    insta::assert_snapshot!("blocked_job_record", trace.0);
}

#[test]
fn finished_job_record_keeps_its_json() {
    let mut trace = Trace::default();
    for (label, outcome) in [
        ("done", TerminalState::Done),
        ("cancelled", TerminalState::Cancelled),
    ] {
        trace.add(label, key(), &StoredJob::Finished { outcome });
    }
    insta::assert_snapshot!("finished_job_record", trace.0);
}

#[test]
fn records_of_ended_and_relinquished_jobs_keep_their_json() {
    let mut trace = Trace::default();
    let id = "job-000412";
    trace.add(
        "done",
        RecordKey::FinalState(id).to_string(),
        &TerminalState::Done,
    );
    trace.add(
        "cancelled",
        RecordKey::FinalState(id).to_string(),
        &TerminalState::Cancelled,
    );
    trace.add(
        "given up",
        RecordKey::Relinquished(id).to_string(),
        &Relinquished::from(VERSION),
    );
    insta::assert_snapshot!("ended_job_record", trace.0);
}

fn placed(attempt: u64, machine: &str, incarnation: u64) -> TaskRecord {
    TaskRecord::Placed {
        attempt,
        machine: machine.into(),
        incarnation,
    }
}

/// Pages with each kind of entry, and pages for which an encoding omits something.
fn pages() -> Vec<(&'static str, ProgressPage)> {
    vec![
        (
            "each kind of entry",
            ProgressPage(vec![
                TaskRecord::NEVER_STARTED,
                TaskRecord::Waiting { last: 7 },
                TaskRecord::Done,
                placed(3, "vm-000231", 1),
                placed(1, "vm-000017", 4),
                placed(12, "vm-000231", 1),
                placed(2, "vm-000017", 5),
                placed(1_048_577, "vm-000300", 1),
            ]),
        ),
        ("sessions that are all the first", {
            let mut page = ProgressPage::default();
            page.set(2, placed(1, "vm-000001", 1));
            page
        }),
        (
            "nothing placed",
            ProgressPage(vec![TaskRecord::Done, TaskRecord::Waiting { last: 1 }]),
        ),
        ("no task", ProgressPage::default()),
    ]
}

#[test]
fn plain_progress_pages_keep_their_json() {
    let mut trace = Trace::default();
    for (label, page) in pages() {
        trace.add(
            label,
            RecordKey::page("job-000412", PageId::Plain(3)).to_string(),
            &page,
        );
    }
    insta::assert_snapshot!("wide_progress_page", trace.0);
}

#[test]
fn compact_progress_pages_keep_their_json() {
    let mut trace = Trace::default();
    for (label, page) in pages() {
        let key = RecordKey::page("job-000412", PageId::Compact(3)).to_string();
        let (key, json) = written(key, &page.to_compact());
        assert_eq!(
            ProgressPage::from_compact(&json).unwrap(),
            page,
            "{label} does not decode to the same page"
        );
        trace.add_text(label, &key, &json);
    }
    insta::assert_snapshot!("dense_progress_page", trace.0);
}
