use super::*;
use crate::jobs::pages::tests::plain_layout;
use serde_json::json;

fn change(key: &str, data: serde_json::Value, revision: u64) -> WatchEvent {
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

#[test]
fn an_older_change_never_replaces_a_newer_one() {
    let mut replica = Replica::new(plain_layout(8));
    let page = |m: &str| json!([[1, m, 1], true]);
    let job = json!({"spec": crate::pipelines::tests::spec("job-1", "urgent", None),
        "accepted_ms": 0});
    replica.apply(vec![change("r/j/job-1", job, 4)], 4);
    replica.apply(vec![change("r/p/job-1/0", page("vm-1"), 5)], 5);
    replica.apply(vec![change("r/p/job-1/0", page("vm-2"), 7)], 7);
    replica.apply(vec![change("r/p/job-1/0", page("vm-1"), 5)], 5);
    assert_eq!(replica.revision, 7);
    assert!(
        replica.tasks_by_machine.contains_key("vm-2")
            && !replica.tasks_by_machine.contains_key("vm-1")
    );
    replica.apply(vec![change("r/p/job-1/0", serde_json::Value::Null, 8)], 8);
    assert!(replica.tasks_by_machine.is_empty() && replica.orphaned_pages.is_empty());
}

/// Guards against tasks that start again although an attempt of them may still be running. Two rentals were merged
/// right after machines of one had been released. The watch then reported the release, which restored the deleted
/// record, and the deletion, which also removed the machines of the merged rental. For seconds these machines counted
/// as released, and their tasks were placed again.
#[test]
fn a_deleted_record_is_not_restored_by_an_older_change() {
    let rental = |machines: &[&str]| {
        let machines: Vec<_> = machines.iter().map(|m| json!([m, 0, 10, 0])).collect();
        json!({"kind":"m","zone":"a","spot":false,"count":3,"hired_ms":0,
            "owners":[["me", 1]],"machines":machines})
    };
    let null = serde_json::Value::Null;
    let mut replica = Replica::new(plain_layout(8));
    replica.apply(
        vec![
            change("r/m/r-1", rental(&["vm-1"]), 5),
            change("r/m/r-2", rental(&["vm-2", "vm-3"]), 6),
        ],
        6,
    );
    // This controller's own writes, applied as soon as they are committed: a release, then the merge.
    replica.apply_put("r/m/r-2", &rental(&["vm-2"]).to_string(), 7);
    replica.apply_put("r/m/r-1", &rental(&["vm-1", "vm-2"]).to_string(), 9);
    replica.apply_delete("r/m/r-2", 9);
    let mut trace = String::new();
    let mut record = |label: &str, replica: &Replica| {
        let machines = replica.fleet.machines.iter();
        let machines: Vec<String> = machines
            .map(|(n, m)| format!("{n} in {}", m.rental))
            .collect();
        trace.push_str(&format!("{label}: {}\n", machines.join(", ")));
    };
    record("after the merge", &replica);
    replica.apply(vec![change("r/m/r-2", rental(&["vm-2"]), 7)], 7);
    record("after the watch reports the release", &replica);
    let merge = vec![
        change("r/m/r-1", rental(&["vm-1", "vm-2"]), 9),
        change("r/m/r-2", null, 9),
    ];
    replica.apply(merge, 9);
    record("after the watch reports the merge", &replica);
    assert!(replica.tombstones.is_empty());
    insta::assert_snapshot!(trace, @r#"
    after the merge: vm-1 in r-1, vm-2 in r-1
    after the watch reports the release: vm-1 in r-1, vm-2 in r-1
    after the watch reports the merge: vm-1 in r-1, vm-2 in r-1
    "#);
}

/// Guards against the end of all tasks in an outage. If the state service refuses only one controller, that
/// controller's presence record expires after some seconds. When its incarnation was forgotten with the record,
/// its attestation of the cancellations that it had confirmed was not accepted, and all tasks ended in the outage
/// that followed.
#[test]
fn the_last_incarnation_of_an_absent_controller_is_kept() {
    let mut replica = Replica::new(plain_layout(8));
    let presence = |incarnation| json!({"incarnation": incarnation, "lease": 1});
    replica.apply(vec![change("r/n/n-1", presence(7), 4)], 4);
    replica.apply(vec![change("r/n/n-1", serde_json::Value::Null, 5)], 5);
    assert!(replica.presence.is_empty());
    assert_eq!(replica.incarnations.get("n-1"), Some(&7));
    replica.apply(vec![change("r/n/n-1", presence(8), 6)], 6);
    replica.reload_from_snapshot(Vec::new(), 7);
    assert_eq!(replica.incarnations.get("n-1"), Some(&8));
}
