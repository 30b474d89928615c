//! Tests of reconciliation. Each passes a heartbeat to `reconcile` and compares the exits and commands in the result.

use super::agent::AttemptLog;
use super::reconcile::{DesiredState, reconcile};
use super::wire::Command;
use super::*;
use crate::jobs::pending_changes::PendingChanges;
use crate::jobs::{TaskId, TaskRecord};
use crate::state::Replica;
use rowanmill_state::KeyValue;
use serde_json::{Value, json};
use std::collections::BTreeSet;

const TOKEN: u64 = 20;

fn spec(id: &str, tasks: u32) -> Value {
    json!({"nameId":id,"grist":"c","crew":"t","shape":"array","urgency":"standard","sacks":tasks,
        "cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i","pullGb":1.0,"together":false,
        "spread":false,"borrowed":true,"grindS":10.0,"bankS":0.0,"bankWriteS":0.0})
}

fn replica(cancelled: bool, page: Value) -> Replica {
    let mut replica = Replica::new(crate::jobs::pages::tests::plain_layout(8));
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

fn heartbeat(incarnation: u64, fencing_token: u64, tasks: Value) -> Heartbeat {
    serde_json::from_value(
        json!({"millstone":"vm-1","endpoint":"h:1","stone":"m","yard":"a",
        "borrowed":false,"shift":incarnation,"tally":7,"warrant":fencing_token,"recallS":null,"sacks":tasks}),
    )
    .unwrap()
}

fn trace(replica: &Replica, heartbeat: Heartbeat) -> String {
    trace_with(
        replica,
        heartbeat,
        &PendingStops::new(),
        &PendingChanges::default(),
    )
}

fn trace_with(
    replica: &Replica,
    heartbeat: Heartbeat,
    stops: &PendingStops,
    changes: &PendingChanges,
) -> String {
    let now = Instant::now();
    let desired = DesiredState {
        replica,
        fencing_token: TOKEN,
        pending_stops: stops,
        pending_changes: changes,
        cancelled_jobs: &BTreeSet::new(),
        starts_permitted: true,
    };
    let reconciliation = reconcile(&heartbeat, &mut AttemptLog::default(), &desired, now);
    let mut text = String::new();
    for (task, entry) in &reconciliation.exits {
        text.push_str(&format!("record {task} {entry:?}\n"));
    }
    for command in &reconciliation.commands {
        text.push_str(&format!(
            "command {}\n",
            serde_json::to_string(command).unwrap()
        ));
    }
    if text.is_empty() {
        text.push_str("nothing\n");
    }
    text
}

#[test]
fn a_recorded_start_is_commanded_and_a_task_recorded_elsewhere_stopped() {
    let replica = replica(false, json!([[1, "vm-1", 1], [2, "vm-2", 1], true, 3]));
    let not_started = trace(&replica, heartbeat(1, TOKEN, json!([])));
    let two_running = json!([{"sack":"job-1/1","turn":2,"stage":"running"},
        {"sack":"job-1/0","turn":1,"stage":"running"}]);
    let elsewhere = trace(&replica, heartbeat(1, TOKEN, two_running));
    insta::assert_snapshot!(format!("not started\n{not_started}recorded on another machine\n{elsewhere}"), @r#"
    not started
    command {"verb":"run","sack":"job-1/0","turn":1}
    recorded on another machine
    command {"verb":"stop","sack":"job-1/1","turn":2,"windDownS":0.0}
    "#);
}

/// Guards against an attempt that starts again after it ended: an exit that is reaped before it is recorded leads to a
/// second `run` of the same attempt.
#[test]
fn an_exit_is_reaped_only_once_recorded() {
    let ended = json!([{"sack":"job-1/0","turn":1,"stage":"ended","cause":"done"}]);
    let unrecorded = trace(
        &replica(false, json!([[1, "vm-1", 1]])),
        heartbeat(1, TOKEN, ended.clone()),
    );
    let recorded = trace(&replica(false, json!([true])), heartbeat(1, TOKEN, ended));
    insta::assert_snapshot!(format!("unrecorded\n{unrecorded}recorded\n{recorded}"), @r#"
    unrecorded
    record job-1/0 Done
    recorded
    command {"verb":"reap","sack":"job-1/0","turn":1}
    "#);
}

/// Guards against a task that starts although its job's cancellation was confirmed: a start was recorded just before
/// the cancellation, and the previous owner may have sent its `run`. Until the agent has received our fencing token,
/// the task's absence doesn't prove that it can't start.
#[test]
fn a_cancelled_start_counts_as_gone_only_under_our_fencing_token() {
    let replica = replica(true, json!([[1, "vm-1", 1]]));
    let older_token = trace(&replica, heartbeat(1, TOKEN - 1, json!([])));
    let our_token = trace(&replica, heartbeat(1, TOKEN, json!([])));
    let running = json!([{"sack":"job-1/0","turn":1,"stage":"running"}]);
    let running = trace(&replica, heartbeat(1, TOKEN, running));
    insta::assert_snapshot!(format!("older token\n{older_token}our token\n{our_token}running\n{running}"), @r#"
    older token
    nothing
    our token
    record job-1/0 Waiting { last: 1 }
    running
    command {"verb":"stop","sack":"job-1/0","turn":1,"windDownS":0.0}
    "#);
}

/// An agent whose lease expires kills all of its tasks and starts a new incarnation. A delayed heartbeat of an earlier
/// incarnation doesn't prove that a task of a later one is gone.
#[test]
fn only_a_higher_incarnation_proves_tasks_gone() {
    let replica = replica(false, json!([[1, "vm-1", 2]]));
    let mut text = String::new();
    for incarnation in [1, 2, 3] {
        let result = trace(&replica, heartbeat(incarnation, TOKEN, json!([])));
        text.push_str(&format!(
            "recorded in incarnation 2, reported {incarnation}\n{result}"
        ));
    }
    insta::assert_snapshot!(text, @r#"
    recorded in incarnation 2, reported 1
    nothing
    recorded in incarnation 2, reported 2
    command {"verb":"run","sack":"job-1/0","turn":1}
    recorded in incarnation 2, reported 3
    record job-1/0 Waiting { last: 1 }
    "#);
}

/// Guards against a task that runs on two machines at the same time, found by fault injection: preemption withdrew a
/// start. Before the withdrawal was recorded, the response to the machine's next heartbeat still carried the `run`,
/// while the task was placed again.
#[test]
fn a_withdrawn_start_is_not_commanded_while_its_record_is_being_written() {
    let replica = replica(false, json!([[1, "vm-1", 1]]));
    let id = TaskId::new("job-1", 0);
    let withdrawn = TaskAttempt {
        task: id.clone(),
        attempt: 1,
    };
    let stops = PendingStops::from([(withdrawn, 0.0)]);
    let no_changes = PendingChanges::default();
    let empty = || heartbeat(1, TOKEN, json!([]));
    let withdrawn_start = trace_with(&replica, empty(), &stops, &no_changes);
    let mut changes = PendingChanges::default();
    let recorded = replica.task_record("job-1", 0);
    changes.record(&id, recorded, TaskRecord::Waiting { last: 1 });
    let queued_withdrawal = trace_with(&replica, empty(), &PendingStops::new(), &changes);
    insta::assert_snapshot!(format!("withdrawn\n{withdrawn_start}not recorded yet\n{queued_withdrawal}"), @r#"
    withdrawn
    record job-1/0 Waiting { last: 1 }
    not recorded yet
    nothing
    "#);
}

/// A service runs until it is cancelled, so each of its tasks that ends must be started again.
#[test]
fn an_ended_task_of_a_service_is_no_completion() {
    let mut replica = Replica::new(crate::jobs::pages::tests::plain_layout(8));
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
    insta::assert_snapshot!(trace(&replica, heartbeat(1, TOKEN, ended)), @"record job-1/0 Waiting { last: 1 }");
}

/// Guards against a memory leak: entries of ended attempts were kept for as long as their machine was rented.
#[test]
fn attempts_that_are_no_longer_recorded_are_forgotten() {
    let now = Instant::now();
    let mut attempts = AttemptLog::default();
    let (stops, changes, cancelled) = (
        PendingStops::new(),
        PendingChanges::default(),
        BTreeSet::new(),
    );
    let empty_replica = Replica::new(crate::jobs::pages::tests::plain_layout(8));
    let desired = DesiredState {
        replica: &empty_replica,
        fencing_token: TOKEN,
        pending_stops: &stops,
        pending_changes: &changes,
        cancelled_jobs: &cancelled,
        starts_permitted: true,
    };
    let mut largest = 0;
    for attempt in 1..=100 {
        let placed = replica(false, json!([[attempt, "vm-1", 1]]));
        let idle = heartbeat(1, TOKEN, json!([]));
        let desired_start = DesiredState {
            replica: &placed,
            ..desired
        };
        let reconciliation = reconcile(&idle, &mut attempts, &desired_start, now);
        assert_eq!(reconciliation.commands, [Command::run("job-1/0", attempt)]);
        let ended = json!([{"sack":"job-1/0","turn":attempt,"stage":"ended","cause":"stopped"}]);
        let waiting = replica(false, json!([attempt]));
        let ended = heartbeat(1, TOKEN, ended);
        let desired_end = DesiredState {
            replica: &waiting,
            ..desired
        };
        reconcile(&ended, &mut attempts, &desired_end, now);
        largest = largest.max(attempts.len());
    }
    assert!(largest <= 1, "the attempt log grew to {largest} entries");
}
