use super::*;
use serde_json::{Value, json};
use std::time::Duration;

fn log_entry(key: &str, data: Value, revision: u64) -> WatchEvent {
    let deleted = data.is_null().then(|| key.to_owned());
    let put = (!data.is_null()).then(|| key.to_owned());
    let value = serde_json::value::to_raw_value(&data).ok();
    WatchEvent {
        put,
        deleted,
        value,
        revision,
    }
}

fn job(owner: &str, epoch: u64) -> Value {
    json!({"owner": owner, "epoch": epoch, "home": "a", "accepted_ms": 0, "description": {}})
}

fn cancelled_job(owner: &str) -> Value {
    let mut job = job(owner, 1);
    job["cancelled"] = json!(true);
    job
}

fn presence() -> Value {
    json!({"controller": "m-0", "incarnation": 1})
}

/// A record that is malformed, names a cell outside of the operators' file or is of an unknown kind is counted
/// and not applied. A job with such a record is marked unreadable until a valid record replaces it, so that it
/// is taken neither for another cell's job nor for one that the ledger does not contain.
#[test]
fn malformed_records_are_counted_and_ignored() {
    let now = Instant::now();
    let mut replica = LedgerReplica::new(["a", "b"]);
    replica.apply_changes(vec![log_entry("c/l/j/job-1", job("a", 1), 3)], 3, now);
    let malformed = vec![
        log_entry("c/l/j/job-1", json!({"owner": 7}), 4),
        log_entry("c/l/j/job-2", job("nowhere", 1), 5),
        log_entry("c/l/n/nowhere", presence(), 6),
        log_entry("c/l/n/b", json!("present"), 7),
        log_entry("c/l/what/b", json!(1), 8),
    ];
    replica.apply_changes(malformed, 8, now);
    assert_eq!(replica.malformed_records, 5);
    assert!(replica.jobs.is_empty() && !replica.is_present("b"));
    assert!(replica.is_unreadable("job-1") && replica.is_unreadable("job-2"));
    replica.apply_changes(vec![log_entry("c/l/j/job-1", job("b", 2), 9)], 9, now);
    assert_eq!(replica.jobs["job-1"].record.owner, "b");
    assert!(!replica.is_unreadable("job-1"));
}

/// The absence of a cell is timed from when it was read, and starts anew whenever the cell was present in
/// between, however briefly.
#[test]
fn absence_is_timed_anew_after_each_return() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut replica = LedgerReplica::new(["a", "b"]);
    replica.reload_from_snapshot(Vec::new(), 0, start);
    assert_eq!(replica.cells["a"].absent_since, Some(start));
    let absence = |revision| log_entry("c/l/n/a", Value::Null, revision);
    replica.apply_changes(vec![log_entry("c/l/n/a", presence(), 1)], 1, at(1));
    assert_eq!(replica.cells["a"].absent_since, None);
    replica.apply_changes(vec![absence(2)], 2, at(10));
    assert_eq!(replica.cells["a"].absent_since, Some(at(10)));
    // The cell returns and leaves again between two reads.
    let return_and_absence = vec![log_entry("c/l/n/a", presence(), 3), absence(4)];
    replica.apply_changes(return_and_absence, 4, at(20));
    assert_eq!(replica.cells["a"].absent_since, Some(at(20)));
}

/// The acknowledgement of an own write may arrive after the log has delivered the job's end. It must not open
/// the job again.
#[test]
fn late_acknowledgement_of_an_own_write_does_not_reopen_an_ended_job() {
    let now = Instant::now();
    let mut replica = LedgerReplica::new(["a", "b"]);
    let record: LedgerJob = serde_json::from_value(job("a", 1)).unwrap();
    replica.apply_own_write("job-1", record.clone(), 5, now);
    assert_eq!(replica.jobs["job-1"].revision, 5);
    replica.apply_changes(vec![log_entry("c/l/j/job-1", Value::Null, 6)], 6, now);
    replica.apply_own_write("job-1", record.clone(), 5, now);
    assert!(replica.jobs.is_empty());
    replica.record_final_state("job-1", FinalState::Done);
    replica.apply_own_write("job-1", record, 7, now);
    assert!(replica.jobs.is_empty());
}

/// A controller attests to another which jobs were revoked by the changes that the other has not read. It
/// attests nothing if it does not have all of these changes.
#[test]
fn revoked_jobs_since_a_revision_need_all_later_changes() {
    let now = Instant::now();
    let mut replica = LedgerReplica::new(["a", "b"]);
    replica.reload_from_snapshot(Vec::new(), 2, now);
    let log = vec![
        log_entry("c/l/j/job-1", job("a", 1), 3),
        log_entry("c/l/j/job-2", cancelled_job("a"), 4),
        log_entry("c/l/j/job-3", job("b", 2), 5),
        log_entry("c/l/j/job-4", Value::Null, 6),
    ];
    replica.apply_changes(log, 6, now);
    assert_eq!(replica.revoked_since("a", 1), None);
    let all = ["job-2", "job-3", "job-4"].map(str::to_owned);
    assert_eq!(replica.revoked_since("a", 2), Some(all.to_vec()));
    assert_eq!(replica.revoked_since("a", 4), Some(all[1..].to_vec()));
    assert_eq!(replica.revoked_since("a", 6), Some(Vec::new()));
}

/// Just after a cancellation was read, another controller may still start the job by an earlier read, so the
/// cancellation takes effect only after a delay. A reload from a listing without the job discards the time at
/// which the cancellation was read.
#[test]
fn cancellation_takes_effect_after_a_delay() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut replica = LedgerReplica::new(["a", "b"]);
    replica.apply_changes(vec![log_entry("c/l/j/job-1", job("a", 1), 1)], 1, start);
    assert!(!replica.is_cancellation_effective("job-1", at(9_000)));
    let cancellation = log_entry("c/l/j/job-1", cancelled_job("a"), 2);
    replica.apply_changes(vec![cancellation], 2, at(1_000));
    assert!(!replica.is_cancellation_effective("job-1", at(4_100)));
    assert!(replica.is_cancellation_effective("job-1", at(4_200)));
    replica.reload_from_snapshot(Vec::new(), 2, at(5_000));
    assert!(!replica.is_cancellation_effective("job-1", at(9_000)));
}
