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
fn an_older_answer_never_undoes_a_newer_one() {
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

/// Rules `ran_twice` and `wrong_place`, found by hunt and on a calm day: rentals were merged
/// right after machines of one had been released. The log then told of the release, which
/// brought the dropped record back, and of the drop, which took the machines of the merged
/// rental along: for seconds they counted as gone, and their tasks were placed again.
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
    // Our own changes, taken in as soon as they are answered: a release, and the merging.
    replica.apply_put("r/m/r-2", &rental(&["vm-2"]).to_string(), 7);
    replica.apply_put("r/m/r-1", &rental(&["vm-1", "vm-2"]).to_string(), 9);
    replica.apply_delete("r/m/r-2", 9);
    let mut trace = String::new();
    let mut say = |what: &str, replica: &Replica| {
        let machines = replica.fleet.machines.iter();
        let machines: Vec<String> = machines
            .map(|(n, m)| format!("{n} in {}", m.rental))
            .collect();
        trace.push_str(&format!("{what}: {}\n", machines.join(", ")));
    };
    say("merged", &replica);
    replica.apply(vec![change("r/m/r-2", rental(&["vm-2"]), 7)], 7);
    say("the log tells of the release", &replica);
    let merging = vec![
        change("r/m/r-1", rental(&["vm-1", "vm-2"]), 9),
        change("r/m/r-2", null, 9),
    ];
    replica.apply(merging, 9);
    say("and of the merging", &replica);
    assert!(replica.tombstones.is_empty());
    insta::assert_snapshot!(trace, @r#"
    merged: vm-1 in r-1, vm-2 in r-1
    the log tells of the release: vm-1 in r-1, vm-2 in r-1
    and of the merging: vm-1 in r-1, vm-2 in r-1
    "#);
}

/// A controller that the state service refuses alone is in no record after some seconds. Nobody
/// vouched then for what it had confirmed, and in the outage that followed all tasks ended.
#[test]
fn the_last_incarnation_is_known_when_a_controller_is_absent() {
    let mut replica = Replica::new(plain_layout(8));
    let there = |incarnation| json!({"incarnation": incarnation, "lease": 1});
    replica.apply(vec![change("r/n/n-1", there(7), 4)], 4);
    replica.apply(vec![change("r/n/n-1", serde_json::Value::Null, 5)], 5);
    assert!(replica.presence.is_empty());
    assert_eq!(replica.incarnations.get("n-1"), Some(&7));
    replica.apply(vec![change("r/n/n-1", there(8), 6)], 6);
    replica.reload_from_snapshot(Vec::new(), 7);
    assert_eq!(replica.incarnations.get("n-1"), Some(&8));
}
