//! Versioned traces: a report in, facts and orders out. Each names the failure that it is about.

use super::*;
use rowanmill_state::KeyValue;
use serde_json::{Value, json};

const TOKEN: u64 = 20;

fn spec(id: &str, tasks: u32) -> Value {
    json!({"nameId":id,"grist":"c","crew":"t","shape":"array","urgency":"standard","sacks":tasks,
        "cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i","pullGb":1.0,"together":false,
        "spread":false,"borrowed":true,"grindS":10.0,"bankS":0.0,"bankWriteS":0.0})
}

fn replica(cancelled: bool, page: Value) -> Replica {
    let mut replica = Replica::new(crate::jobs::pages::tests::wide(8));
    let job = json!({"spec": spec("job-1", 4), "accepted_ms": 0, "cancelled": cancelled});
    let pair = |k: &str, data: Value, revision| KeyValue {
        key: k.into(),
        value: serde_json::value::to_raw_value(&data).unwrap(),
        revision,
    };
    replica.reload_from_snapshot(
        vec![pair("r/j/job-1", job, 5), pair("r/p/job-1/0", page, 6)],
        10,
    );
    replica
}

fn report(session: u64, token: u64, tasks: Value) -> Report {
    serde_json::from_value(
        json!({"millstone":"vm-1","endpoint":"h:1","stone":"m","yard":"a",
        "borrowed":false,"shift":session,"tally":7,"warrant":token,"recallS":null,"sacks":tasks}),
    )
    .unwrap()
}

fn trace(replica: &Replica, report: Report) -> String {
    trace_with(replica, report, &Stops::new(), &PendingChanges::default())
}

fn trace_with(
    replica: &Replica,
    report: Report,
    stops: &Stops,
    pending_changes: &PendingChanges,
) -> String {
    let now = Instant::now();
    let mut live = Live::new(Arc::new(report.clone()), now);
    let pending = Pending {
        stops,
        pending_changes,
        cancelled: &BTreeSet::new(),
        may_start: true,
    };
    let reading = read(&report, &mut live, replica, TOKEN, &pending, now);
    let mut text = String::new();
    for (task, entry) in &reading.facts {
        text.push_str(&format!("record {task} {entry:?}\n"));
    }
    for order in &reading.orders {
        text.push_str(&format!(
            "order {}\n",
            serde_json::to_string(order).unwrap()
        ));
    }
    if text.is_empty() {
        text.push_str("nothing\n");
    }
    text
}

#[test]
fn a_recorded_start_is_ordered_and_a_withdrawn_one_stopped() {
    let replica = replica(false, json!([[1, "vm-1", 1], [2, "vm-2", 1], true, 3]));
    let not_begun = trace(&replica, report(1, TOKEN, json!([])));
    let on_two = json!([{"sack":"job-1/1","turn":2,"stage":"running"},
        {"sack":"job-1/0","turn":1,"stage":"running"}]);
    let elsewhere = trace(&replica, report(1, TOKEN, on_two));
    insta::assert_snapshot!(format!("not begun\n{not_begun}recorded on another machine\n{elsewhere}"), @r#"
    not begun
    order {"verb":"run","sack":"job-1/0","turn":1}
    recorded on another machine
    order {"verb":"stop","sack":"job-1/1","turn":2,"windDownS":0.0}
    "#);
}

/// Rule `ran_twice`: reaping an exit before it is recorded, and then running the attempt again.
#[test]
fn an_exit_is_reaped_only_once_recorded() {
    let ended = json!([{"sack":"job-1/0","turn":1,"stage":"ended","cause":"done"}]);
    let before = trace(
        &replica(false, json!([[1, "vm-1", 1]])),
        report(1, TOKEN, ended.clone()),
    );
    let after = trace(&replica(false, json!([true])), report(1, TOKEN, ended));
    insta::assert_snapshot!(format!("unrecorded\n{before}recorded\n{after}"), @r#"
    unrecorded
    record job-1/0 Done
    recorded
    order {"verb":"reap","sack":"job-1/0","turn":1}
    "#);
}

/// Rule `ran_cancelled`: a start recorded just before the cancellation, by an owner before us.
#[test]
fn a_cancelled_start_counts_as_gone_only_under_our_token() {
    let replica = replica(true, json!([[1, "vm-1", 1]]));
    let older = trace(&replica, report(1, TOKEN - 1, json!([])));
    let ours = trace(&replica, report(1, TOKEN, json!([])));
    let running = json!([{"sack":"job-1/0","turn":1,"stage":"running"}]);
    let there = trace(&replica, report(1, TOKEN, running));
    insta::assert_snapshot!(format!("older token\n{older}our token\n{ours}running\n{there}"), @r#"
    older token
    nothing
    our token
    record job-1/0 Waiting { last: 1 }
    running
    order {"verb":"stop","sack":"job-1/0","turn":1,"windDownS":0.0}
    "#);
}

/// A worker whose lease ended kills all it had; a late report from before proves nothing.
#[test]
fn only_a_higher_session_proves_tasks_gone() {
    let replica = replica(false, json!([[1, "vm-1", 2]]));
    let mut text = String::new();
    for session in [1, 2, 3] {
        let seen = trace(&replica, report(session, TOKEN, json!([])));
        text.push_str(&format!(
            "recorded in session 2, reported {session}\n{seen}"
        ));
    }
    insta::assert_snapshot!(text, @r#"
    recorded in session 2, reported 1
    nothing
    recorded in session 2, reported 2
    order {"verb":"run","sack":"job-1/0","turn":1}
    recorded in session 2, reported 3
    record job-1/0 Waiting { last: 1 }
    "#);
}

/// Rule `ran_twice`, found on a rough day: a start was withdrawn to make room, and before that
/// was recorded the machine's next report got the `run` after all, while the task was placed
/// anew.
#[test]
fn a_withdrawn_start_is_not_ordered_while_its_record_is_under_way() {
    let replica = replica(false, json!([[1, "vm-1", 1]]));
    let id = TaskId::new("job-1", 0);
    let stops = Stops::from([((id.clone(), 1), 0.0)]);
    let none = PendingChanges::default();
    let empty = || report(1, TOKEN, json!([]));
    let first = trace_with(&replica, empty(), &stops, &none);
    let mut pending_changes = PendingChanges::default();
    let held = replica.task_record("job-1", 0);
    pending_changes.record(&id, held, TaskRecord::Waiting { last: 1 });
    let second = trace_with(&replica, empty(), &Stops::new(), &pending_changes);
    insta::assert_snapshot!(format!("withdrawn\n{first}not recorded yet\n{second}"), @r#"
    withdrawn
    record job-1/0 Waiting { last: 1 }
    not recorded yet
    nothing
    "#);
}

/// A service runs until it is cancelled: a task of it that ends is to be started again.
#[test]
fn a_services_task_that_ends_is_no_completion() {
    let mut replica = Replica::new(crate::jobs::pages::tests::wide(8));
    let mut spec = spec("job-1", 2);
    spec["shape"] = json!("standing");
    let job = json!({"spec": spec, "accepted_ms": 0});
    let pair = |k: &str, data: Value| KeyValue {
        key: k.into(),
        value: serde_json::value::to_raw_value(&data).unwrap(),
        revision: 5,
    };
    let page = json!([[1, "vm-1", 1]]);
    replica.reload_from_snapshot(vec![pair("r/j/job-1", job), pair("r/p/job-1/0", page)], 10);
    let ended = json!([{"sack":"job-1/0","turn":1,"stage":"ended","cause":"done"}]);
    insta::assert_snapshot!(trace(&replica, report(1, TOKEN, ended)), @"record job-1/0 Waiting { last: 1 }");
}

/// What was known of attempts that had ended stayed for as long as their machine did.
#[test]
fn a_machine_that_is_kept_for_long_takes_no_more_memory() {
    let now = Instant::now();
    let mut live = Live::new(Arc::new(report(1, TOKEN, json!([]))), now);
    let (stops, pending_changes, cancelled) =
        (Stops::new(), PendingChanges::default(), BTreeSet::new());
    let pending = Pending {
        stops: &stops,
        pending_changes: &pending_changes,
        cancelled: &cancelled,
        may_start: true,
    };
    let mut largest = 0;
    for attempt in 1..=100 {
        let placed = replica(false, json!([[attempt, "vm-1", 1]]));
        let starts = report(1, TOKEN, json!([]));
        let reading = read(&starts, &mut live, &placed, TOKEN, &pending, now);
        assert_eq!(reading.orders, [Order::run("job-1/0", attempt)]);
        let ended = json!([{"sack":"job-1/0","turn":attempt,"stage":"ended","cause":"stopped"}]);
        let gone = replica(false, json!([attempt]));
        let ended = report(1, TOKEN, ended);
        read(&ended, &mut live, &gone, TOKEN, &pending, now);
        largest = largest.max(live.sent.len() + live.seen_since.len());
    }
    assert!(largest <= 1, "{largest} attempts are remembered");
}
