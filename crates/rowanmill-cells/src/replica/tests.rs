use super::*;
use serde_json::{Value, json};
use std::time::Duration;

fn change(key: &str, data: Value, mark: u64) -> Change {
    let drop = data.is_null().then(|| key.to_owned());
    let set = (!data.is_null()).then(|| key.to_owned());
    let data = serde_json::value::to_raw_value(&data).ok();
    Change {
        set,
        drop,
        data,
        mark,
    }
}

fn job(owner: &str, epoch: u64) -> Value {
    json!({"owner": owner, "epoch": epoch, "home": "a", "accepted_ms": 0, "description": {}})
}

fn presence() -> Value {
    json!({"controller": "m-0", "incarnation": 1})
}

/// What cannot be read, or names a cell that the file does not, is counted and changes nothing else; a job
/// in it is neither taken for another cell's nor for one that never was.
#[test]
fn malformed_records_change_nothing() {
    let now = Instant::now();
    let mut replica = LedgerReplica::new(["a", "b"]);
    replica.take(vec![change("c/l/j/job-1", job("a", 1), 3)], 3, now);
    let wrong = vec![
        change("c/l/j/job-1", json!({"owner": 7}), 4),
        change("c/l/j/job-2", job("nowhere", 1), 5),
        change("c/l/n/nowhere", presence(), 6),
        change("c/l/n/b", json!("present"), 7),
        change("c/l/what/b", json!(1), 8),
    ];
    replica.take(wrong, 8, now);
    assert_eq!(replica.malformed, 5);
    assert!(replica.jobs.is_empty() && !replica.is_present("b"));
    assert!(replica.is_unreadable("job-1") && replica.is_unreadable("job-2"));
    replica.take(vec![change("c/l/j/job-1", job("b", 2), 9)], 9, now);
    assert_eq!(replica.jobs["job-1"].record.owner, "b");
    assert!(!replica.is_unreadable("job-1"));
}

/// A cell counts as missing from when that was read; and its return, however short, begins the wait anew.
#[test]
fn a_cell_that_was_back_is_missing_anew() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut replica = LedgerReplica::new(["a", "b"]);
    replica.reset(Vec::new(), 0, start);
    assert_eq!(replica.cells["a"].absent_since, Some(start));
    let gone = |mark| change("c/l/n/a", Value::Null, mark);
    replica.take(vec![change("c/l/n/a", presence(), 1)], 1, at(1));
    assert_eq!(replica.cells["a"].absent_since, None);
    replica.take(vec![gone(2)], 2, at(10));
    assert_eq!(replica.cells["a"].absent_since, Some(at(10)));
    // Back and gone again between two readings.
    let back = vec![change("c/l/n/a", presence(), 3), gone(4)];
    replica.take(back, 4, at(20));
    assert_eq!(replica.cells["a"].absent_since, Some(at(20)));
}

/// Our own change, answered, and a job's end that the log told of meanwhile.
#[test]
fn an_own_change_never_brings_back_what_ended() {
    let now = Instant::now();
    let mut replica = LedgerReplica::new(["a", "b"]);
    let record: LedgerJob = serde_json::from_value(job("a", 1)).unwrap();
    replica.note_job("job-1", record.clone(), 5, now);
    assert_eq!(replica.jobs["job-1"].mark, 5);
    replica.take(vec![change("c/l/j/job-1", Value::Null, 6)], 6, now);
    replica.note_job("job-1", record.clone(), 5, now);
    assert!(replica.jobs.is_empty());
    replica.remember_final("job-1", FinalState::Done);
    replica.note_job("job-1", record, 7, now);
    assert!(replica.jobs.is_empty());
}

/// What one controller tells another that lacks the last changes; nothing if it does not know them all.
#[test]
fn others_learn_which_jobs_are_lost() {
    let now = Instant::now();
    let mut replica = LedgerReplica::new(["a", "b"]);
    replica.reset(Vec::new(), 2, now);
    let mut cancelled = job("a", 1);
    cancelled["cancelled"] = json!(true);
    let log = vec![
        change("c/l/j/job-1", job("a", 1), 3),
        change("c/l/j/job-2", cancelled, 4),
        change("c/l/j/job-3", job("b", 2), 5),
        change("c/l/j/job-4", Value::Null, 6),
    ];
    replica.take(log, 6, now);
    assert_eq!(replica.lost_since("a", 1), None);
    let all = ["job-2", "job-3", "job-4"].map(str::to_owned);
    assert_eq!(replica.lost_since("a", 2), Some(all.to_vec()));
    assert_eq!(replica.lost_since("a", 4), Some(all[1..].to_vec()));
    assert_eq!(replica.lost_since("a", 6), Some(Vec::new()));
}

/// A cancellation that was just read may be unknown to one that starts by an earlier reading; one that is
/// read anew after a new listing is taken for just read.
#[test]
fn a_cancellation_settles() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut cancelled = job("a", 1);
    cancelled["cancelled"] = json!(true);
    let mut replica = LedgerReplica::new(["a", "b"]);
    replica.take(vec![change("c/l/j/job-1", job("a", 1), 1)], 1, start);
    assert!(!replica.is_settled("job-1", at(9_000)));
    replica.take(vec![change("c/l/j/job-1", cancelled, 2)], 2, at(1_000));
    assert!(!replica.is_settled("job-1", at(4_100)) && replica.is_settled("job-1", at(4_200)));
    replica.reset(Vec::new(), 2, at(5_000));
    assert!(!replica.is_settled("job-1", at(9_000)));
}
