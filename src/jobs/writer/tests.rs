use super::batch::{BatchSize, atomic_group_len};
use super::flush_delay::OWN_JOB_DELAY;
use super::*;
use crate::jobs::garbage_collection::GarbageBatch;
use crate::jobs::{PageLayout, TaskId, TaskRecord, TerminalState};
use crate::membership::assignment::Member;
use crate::state::{MAX_TRANSACTION_BYTES, Operation, Precondition, RecordKey, TransactionError};
use rowanmill_state::KeyValue;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// The record of a rental of one machine.
fn rental(machine: &str, owner: &str, token: u64) -> Value {
    json!({"kind":"m","zone":"a","spot":false,"count":1,"hired_ms":0,
        "owners":[[owner, 1]],"machines":[[machine, 0, token, 0]]})
}

fn put(core: &mut Core, key: &str, data: Value, revision: u64) {
    core.replica.apply_put(key, &data.to_string(), revision);
}

/// How much of the write quota is unused.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Quota {
    Ample,
    Scarce,
}

fn page_writes(
    core: &Core,
    me: &Member,
    max_preconditions: usize,
    quota: Quota,
    now: Instant,
) -> Vec<PendingPageWrite> {
    let selection = Selection {
        core,
        me,
        max_preconditions,
        max_operations: max_preconditions / 4,
        has_ample_quota: quota == Quota::Ample,
        now,
    };
    select_page_writes(&selection).writes
}

fn trace_of_writes(core: &Core) -> String {
    let me = Member {
        name: "me".into(),
        incarnation: 1,
    };
    let now = Instant::now() + OWN_JOB_DELAY.constrained;
    let lines = page_writes(core, &me, 96, Quota::Ample, now)
        .into_iter()
        .map(|write| {
            let preconditions: Vec<String> =
                write.preconditions.iter().map(precondition_text).collect();
            let page = serde_json::to_string(&write.page).unwrap();
            format!("put {page} if {}\n", preconditions.join(" "))
        });
    let text: String = lines.collect();
    if text.is_empty() {
        "nothing\n".into()
    } else {
        text
    }
}

/// Guards against a task that starts again although an attempt of it may still be running, found by fault injection: a
/// controller observed that the task of a withdrawn start was absent, and was partitioned before it wrote this. The
/// machine's next owner started the task. After the partition, the previous owner's write was accepted, and the task
/// was placed a second time.
#[test]
fn an_observation_under_an_earlier_ownership_is_not_written() {
    let (me, mut core) = core_with_a_job();
    core.update_ownership(&me, Instant::now());
    core.record_change(&TaskId::new("job-1", 0), TaskRecord::Waiting { last: 1 });
    let unchanged = trace_of_writes(&core);
    put(&mut core, "r/m/r-1", rental("vm-1", "me", 2), 12);
    core.update_ownership(&me, Instant::now());
    let returned = trace_of_writes(&core);
    insta::assert_snapshot!(format!("owned throughout\n{unchanged}reassigned and returned\n{returned}"), @r#"
    owned throughout
    put [1] if r/j/job-1@5 r/p/job-1/0@7 r/m/r-1@6
    reassigned and returned
    nothing
    "#);
}

/// Guards against a task that starts again although an attempt of it may still be running, found at 1,050 machines
/// without injected faults: a controller observed that the task of a withdrawn start was absent. While it wrote the
/// ends of jobs, the watch delivered the machine's next owner. The absence was then written with the new revision as
/// its precondition, although the next owner had already sent `run`. In addition, a pending start on such a machine
/// stayed pending forever.
#[test]
fn reassignment_during_a_cycle_discards_the_machines_pending_changes() {
    let (me, mut core) = core_with_a_job();
    core.update_ownership(&me, Instant::now());
    put(&mut core, "r/m/r-2", rental("vm-2", "me", 1), 9);
    core.update_ownership(&me, Instant::now());
    core.record_change(&TaskId::new("job-1", 0), TaskRecord::Waiting { last: 1 });
    let start_on_second = TaskRecord::Placed {
        attempt: 1,
        machine: "vm-2".into(),
        incarnation: 1,
    };
    core.record_change(&TaskId::new("job-1", 1), start_on_second);
    let before = trace_of_writes(&core);
    put(&mut core, "r/m/r-1", rental("vm-1", "other", 2), 12);
    put(&mut core, "r/m/r-2", rental("vm-2", "other", 2), 13);
    let during = trace_of_writes(&core);
    core.update_ownership(&me, Instant::now());
    let task_record = core.task_record("job-1", 1);
    insta::assert_snapshot!(
        format!("owned\n{before}reassigned during the cycle\n{during}the task on vm-2 is then {task_record:?}"),
        @r#"
        owned
        put [1,[1,"vm-2",1]] if r/j/job-1@5 r/p/job-1/0@7 r/shares@0 r/m/r-1@6 r/m/r-2@9
        reassigned during the cycle
        nothing
        the task on vm-2 is then Waiting { last: 0 }
        "#
    );
}

/// A gang with more tasks than a page holds is started by one transaction with all of its pages.
#[test]
fn the_pages_of_a_starting_gang_share_a_transaction() {
    let (me, mut core) = core_with_a_job();
    let mut gang: Value = serde_json::to_value(&core.replica.jobs["job-1"].record).unwrap();
    gang["spec"]["nameId"] = json!("job-2");
    gang["spec"]["shape"] = json!("group");
    gang["spec"]["sacks"] = json!(20);
    put(&mut core, "r/j/job-2", gang, 9);
    core.update_ownership(&me, Instant::now());
    let start = TaskRecord::Placed {
        attempt: 1,
        machine: "vm-1".into(),
        incarnation: 1,
    };
    for task in 0..20 {
        core.record_change(&TaskId::new("job-2", task), start.clone());
    }
    core.record_change(&TaskId::new("job-1", 1), start);
    let writes = page_writes(&core, &me, 96, Quota::Ample, Instant::now());
    let mut groups = Vec::new();
    let mut rest = &writes[..];
    while !rest.is_empty() {
        let (group, others) = rest.split_at(atomic_group_len(rest));
        groups.push(format!("{} of {}", group.len(), group[0].job));
        rest = others;
    }
    assert_eq!(groups, ["1 of job-1", "3 of job-2"]);
}

/// While writes are scarce, completions of another controller's job are delayed as long as the job is far from its
/// end. Near its end, or if a task must be placed again, the owner is informed sooner.
#[test]
fn completions_of_a_job_of_another_owner_are_delayed_far_from_its_end() {
    let (me, mut core) = core_with_a_job();
    let mut large: Value = serde_json::to_value(&core.replica.jobs["job-1"].record).unwrap();
    large["spec"]["nameId"] = json!("job-2");
    large["spec"]["sacks"] = json!(5);
    put(&mut core, "r/j/job-2", large, 9);
    let page = json!([
        [1, "vm-1", 1],
        [1, "vm-1", 1],
        [1, "vm-1", 1],
        [1, "vm-1", 1],
        0
    ]);
    put(&mut core, "r/p/job-2/0", page, 10);
    core.update_ownership(&me, Instant::now());
    let start = Instant::now();
    let mut trace = String::new();
    let mut record_waits = |core: &Core, what: &str| {
        let waits = [1, 3, 11].map(|s| {
            let written = page_writes(core, &me, 96, Quota::Scarce, start + Duration::from_secs(s));
            let outcome = if written.is_empty() {
                "waits"
            } else {
                "written"
            };
            format!("{s} s {outcome}")
        });
        trace.push_str(&format!("{what}: {}\n", waits.join(", ")));
    };
    core.record_change(&TaskId::new("job-2", 0), TaskRecord::Done);
    record_waits(&core, "one of five done");
    core.record_change(&TaskId::new("job-2", 1), TaskRecord::Waiting { last: 1 });
    record_waits(&core, "one to be placed again");
    core.discard_change(&TaskId::new("job-2", 1));
    for task in 1..4 {
        core.record_change(&TaskId::new("job-2", task), TaskRecord::Done);
    }
    record_waits(&core, "four of five done");
    insta::assert_snapshot!(trace, @r#"
    one of five done: 1 s waits, 3 s waits, 11 s written
    one to be placed again: 1 s waits, 3 s written, 11 s written
    four of five done: 1 s waits, 3 s written, 11 s written
    "#);
}

/// With limits of 2 KiB per value and of 8 operations and 32 preconditions per transaction, a gang of 16 tasks on 16
/// rentals is written as one page. Of an array of 300 tasks, each on a machine of its own with a long name, as many
/// starts are written as the pages and preconditions allow, and the others stay pending.
#[test]
fn page_writes_fit_lowered_limits() {
    let layout = PageLayout {
        plain_tasks: 170,
        compact_tasks: 128,
        value_bytes: 2048,
    };
    let mut core = Core::new(layout, Instant::now());
    let me = Member {
        name: "me".into(),
        incarnation: 1,
    };
    let schema_versions = json!({"seen": ["me"], "layout": {"wide": 170, "dense": 128}});
    put(&mut core, "r/forms", schema_versions, 1);
    for (id, shape, tasks) in [("job-1", "group", 16_u32), ("job-2", "array", 300)] {
        let mut spec = crate::pipelines::tests::spec(id, "urgent", None);
        spec["shape"] = json!(shape);
        spec["sacks"] = json!(tasks);
        let record = json!({"spec": spec, "accepted_ms": 0});
        put(&mut core, &format!("r/j/{id}"), record, 5);
        for task in 0..tasks {
            let name = format!("vm-with-a-longer-name-{id}-{task:06}");
            let revision = 10 + u64::from(task);
            put(
                &mut core,
                &format!("r/m/r-{id}-{task}"),
                rental(&name, "me", 1),
                revision,
            );
        }
    }
    // Some of the array's tasks are already recorded on a plain page.
    put(&mut core, "r/p/job-2/0", json!([true, 3, true]), 400);
    core.update_ownership(&me, Instant::now());
    for (id, tasks) in [("job-1", 16), ("job-2", 300)] {
        for task in 0..tasks {
            let machine = format!("vm-with-a-longer-name-{id}-{task:06}");
            let start = TaskRecord::Placed {
                attempt: 4,
                machine,
                incarnation: 1,
            };
            core.record_change(&TaskId::new(id, task), start);
        }
    }
    let writes = page_writes(&core, &me, 32, Quota::Ample, Instant::now());
    let mut trace = String::new();
    for page in &writes {
        let bytes = json_of(&page.operation).len();
        let (starts, preconditions) = (page.machines.len(), page.preconditions.len());
        let key = RecordKey::page(&page.job, page.page_id).to_string();
        assert!(
            bytes <= 2048 && preconditions <= 32,
            "{key} takes {bytes} bytes and {preconditions} preconditions"
        );
        trace.push_str(&format!(
            "{key}: {starts} starts, {preconditions} preconditions, {bytes} bytes\n"
        ));
    }
    let preconditions = writes
        .iter()
        .filter(|write| write.job == "job-2")
        .flat_map(|write| &write.preconditions);
    let on_plain_pages: Vec<_> = preconditions
        .filter(|precondition| precondition.key.starts_with("r/p/"))
        .collect();
    trace.push_str(&format!(
        "the migration has {} preconditions on plain pages\n",
        on_plain_pages.len()
    ));
    insta::assert_snapshot!(trace, @r#"
    r/q/job-1/0: 16 starts, 20 preconditions, 685 bytes
    r/q/job-2/0: 28 starts, 32 preconditions, 1195 bytes
    r/q/job-2/1: 27 starts, 32 preconditions, 1147 bytes
    r/q/job-2/2: 27 starts, 32 preconditions, 1147 bytes
    the migration has 5 preconditions on plain pages
    "#);
}

fn json_of(operation: &Operation) -> &str {
    match operation {
        Operation::Put { value, .. } => value.get(),
        Operation::Delete { .. } => "",
    }
}

/// While writes are scarce, a job's end is written with one operation. It takes effect at once: the job's tasks use
/// no capacity, its dependents are ready, and a repeated submission is recognised. The job is archived later, with
/// the revision of that write as the precondition.
#[test]
fn a_finished_job_is_archived_later() {
    let (_, mut core) = core_with_a_job();
    let blocked = json!({"held": {"spec": crate::pipelines::tests::spec("job-2", "urgent", None),
        "accepted_ms": 0}, "awaits": ["job-1"]});
    put(&mut core, "r/j/job-2", blocked, 9);
    put(&mut core, "r/j/job-1", json!({"over": "done"}), 12);
    let replica = &core.replica;
    assert_eq!(replica.final_state("job-1"), Some(TerminalState::Done));
    assert!(replica.tasks_by_machine.is_empty() && replica.is_known("job-1"));
    assert_eq!(replica.pipelines.ready().count(), 1);
    let mut trace = String::new();
    for max_operations in [1, 2, 8] {
        let batch = GarbageBatch::build(replica, max_operations);
        let (preconditions, operations) = (batch.preconditions, batch.operations);
        let operations: Vec<String> = operations
            .iter()
            .map(|operation| match operation {
                Operation::Put { key, value, .. } => format!("{key}={value}"),
                Operation::Delete { key } => format!("-{key}"),
            })
            .collect();
        let preconditions: Vec<String> = preconditions.iter().map(precondition_text).collect();
        let (operations, preconditions) = (operations.join(" "), preconditions.join(", "));
        trace.push_str(&format!(
            "{max_operations}: {operations} if [{preconditions}]\n"
        ));
    }
    insta::assert_snapshot!(trace, @r#"
    1: -r/p/job-1/0 if []
    2: e/job-1="done" -r/j/job-1 if [r/j/job-1@12]
    8: e/job-1="done" -r/j/job-1 -r/p/job-1/0 if [r/j/job-1@12]
    "#);
}

fn precondition_text(precondition: &Precondition) -> String {
    let Precondition { key, revision } = precondition;
    format!("{key}@{revision}")
}

/// Guards against a job that never ends and a machine that is never released: the machine was drained while a pending
/// start on it waited to be written, in a run with lowered limits of the state service.
#[test]
fn a_pending_start_on_a_draining_machine_is_discarded() {
    let (me, mut core) = core_with_a_job();
    core.update_ownership(&me, Instant::now());
    let start = TaskRecord::Placed {
        attempt: 1,
        machine: "vm-1".into(),
        incarnation: 1,
    };
    core.record_change(&TaskId::new("job-1", 1), start);
    discard_unstartable_starts(&mut core, &me);
    assert_eq!(core.pending_changes.starts_on("vm-1").count(), 1);
    let mut draining = rental("vm-1", "me", 1);
    draining["machines"][0][3] = json!(1);
    put(&mut core, "r/m/r-1", draining, 12);
    core.update_ownership(&me, Instant::now());
    discard_unstartable_starts(&mut core, &me);
    assert_eq!(core.pending_changes.starts_on("vm-1").count(), 0);
    assert_eq!(
        *core.task_record("job-1", 1),
        TaskRecord::Waiting { last: 0 }
    );
}

/// Guards against exits that are not written: with lowered limits of the state service, a controller's starts used its
/// whole write quota, and it wrote no exit of another controller's job for 100 s. A deadline objective fell to 0.33.
#[test]
fn overdue_exits_are_written_before_starts() {
    let (me, mut core) = core_with_a_job();
    let mut other: Value = serde_json::to_value(&core.replica.jobs["job-1"].record).unwrap();
    other["spec"]["nameId"] = json!("job-2");
    put(&mut core, "r/j/job-2", other, 9);
    put(&mut core, "r/p/job-2/0", json!([[1, "vm-1", 1]]), 10);
    core.update_ownership(&me, Instant::now());
    let start = TaskRecord::Placed {
        attempt: 1,
        machine: "vm-1".into(),
        incarnation: 1,
    };
    core.record_change(&TaskId::new("job-1", 1), start);
    core.record_change(&TaskId::new("job-2", 0), TaskRecord::Waiting { last: 1 });
    let order = |s| {
        let writes = page_writes(
            &core,
            &me,
            96,
            Quota::Scarce,
            Instant::now() + Duration::from_secs(s),
        );
        let jobs: Vec<String> = writes.into_iter().map(|write| write.job).collect();
        format!("after {s} s: {}", jobs.join(", "))
    };
    insta::assert_snapshot!([1, 3, 5].map(order).join("\n"), @r#"
    after 1 s: job-1
    after 3 s: job-1, job-2
    after 5 s: job-2, job-1
    "#);
}

/// Guards against a gang that never ends: it lost the machine of one pending start, and the other starts were written.
/// Those tasks waited for a peer that never started, and the gang was not placed again because it did not count as
/// waiting.
#[test]
fn a_gang_is_written_whole_or_discarded() {
    let (me, mut core) = core_with_a_job();
    let mut gang: Value = serde_json::to_value(&core.replica.jobs["job-1"].record).unwrap();
    gang["spec"]["nameId"] = json!("job-2");
    gang["spec"]["shape"] = json!("group");
    put(&mut core, "r/j/job-2", gang, 9);
    put(&mut core, "r/m/r-2", rental("vm-2", "me", 1), 10);
    core.update_ownership(&me, Instant::now());
    for (task, machine) in [(0, "vm-1"), (1, "vm-2")] {
        let start = TaskRecord::Placed {
            attempt: 1,
            machine: machine.into(),
            incarnation: 1,
        };
        core.record_change(&TaskId::new("job-2", task), start);
    }
    discard_incomplete_gangs(&mut core);
    let complete = trace_of_writes(&core);
    put(&mut core, "r/m/r-2", rental("vm-2", "other", 2), 12);
    core.update_ownership(&me, Instant::now());
    discard_incomplete_gangs(&mut core);
    let incomplete = trace_of_writes(&core);
    insta::assert_snapshot!(format!("all machines owned\n{complete}one machine reassigned\n{incomplete}"), @r#"
    all machines owned
    put [[1,"vm-1",1],[1,"vm-2",1]] if r/j/job-2@9 r/p/job-2/0@0 r/shares@0 r/m/r-1@6 r/m/r-2@10
    one machine reassigned
    nothing
    "#);
}

/// Guards against a gang that is written again and again: the state service refused its transaction, which held several
/// pages and nothing else, and it was sent once more at once, until the write quota was used up, in every cycle.
#[test]
fn a_refused_gang_on_several_pages_is_held_back() {
    let (me, mut core) = core_with_a_starting_gang(17);
    let now = Instant::now();
    let mut queue = page_writes(&core, &me, 96, Quota::Ample, now);
    assert_eq!(queue.len(), 3);
    let limits = BatchLimits::new(24, 24, BatchSize::Largest);
    let batch = WriteBatch::take_from(&mut queue, &limits);
    let refused = Err(TransactionError::Malformed);
    let outcome = apply_outcome(&mut core, &me, batch, refused);
    assert!(matches!(outcome, BatchOutcome::HeldBack));
    assert_eq!(core.pending_changes.starts_on("vm-1").count(), 0);
    assert!(!core.pending_changes.is_writable("job-2", now));
}

/// Guards against a gang whose starts exceed one transaction and stay pending: they occupied their machines for good,
/// and other work never got these.
#[test]
fn a_gang_that_exceeds_one_transaction_is_held_back_and_leaves_its_machines() {
    let (me, mut core) = core_with_a_starting_gang(17);
    let now = Instant::now();
    let oversized = |core: &Core, max_operations| {
        let selection = Selection {
            core,
            me: &me,
            max_preconditions: 96,
            max_operations,
            has_ample_quota: true,
            now,
        };
        let selected = select_page_writes(&selection);
        (selected.writes.len(), selected.oversized_gangs)
    };
    // The gang's 17 tasks take three pages of eight.
    assert_eq!(oversized(&core, 3), (3, Vec::new()));
    assert_eq!(oversized(&core, 2), (0, vec!["job-2".to_owned()]));
    hold_back_gang(&mut core, "job-2", now);
    assert_eq!(core.pending_changes.starts_on("vm-1").count(), 0);
    assert!(!core.pending_changes.is_writable("job-2", now));
    let later = now + Duration::from_secs(90);
    assert!(core.pending_changes.is_writable("job-2", later));
}

/// Guards against a deleted record that reappears: the response to a write arrived after the watch had delivered the
/// deletion of the same record. Applying it restored the record, and nothing would have deleted it again.
#[test]
fn a_late_response_to_a_write_does_not_restore_a_deleted_record() {
    let (_, mut core) = core_with_a_job();
    let record = core.replica.fleet.rentals["r-1"].record.clone();
    let deletion = rowanmill_state::WatchEvent {
        put: None,
        deleted: Some("r/m/r-1".into()),
        value: None,
        revision: 20,
    };
    core.replica.apply(vec![deletion], 20);
    core.apply(vec![Operation::put("r/m/r-1", &record)], 12);
    assert!(
        core.replica.fleet.rentals.is_empty(),
        "the response to the earlier write restored the deleted record"
    );
    core.apply(vec![Operation::put("r/m/r-3", &record)], 21);
    assert!(core.replica.fleet.rentals.contains_key("r-3"));
}

/// The same, with the gang job-2 whose tasks all have a pending start on vm-1.
fn core_with_a_starting_gang(tasks: u32) -> (Member, Core) {
    let (me, mut core) = core_with_a_job();
    let mut gang: Value = serde_json::to_value(&core.replica.jobs["job-1"].record).unwrap();
    gang["spec"]["nameId"] = json!("job-2");
    gang["spec"]["shape"] = json!("group");
    gang["spec"]["sacks"] = json!(tasks);
    put(&mut core, "r/j/job-2", gang, 9);
    core.update_ownership(&me, Instant::now());
    for task in 0..tasks {
        let start = TaskRecord::Placed {
            attempt: 1,
            machine: "vm-1".into(),
            incarnation: 1,
        };
        core.record_change(&TaskId::new("job-2", task), start);
    }
    (me, core)
}

/// This controller and its state: a job with a task on machine vm-1, which this controller owns.
fn core_with_a_job() -> (Member, Core) {
    let mut core = Core::new(crate::jobs::pages::tests::plain_layout(8), Instant::now());
    let me = Member {
        name: "me".into(),
        incarnation: 1,
    };
    let job = json!({"spec": {"nameId":"job-1","grist":"c","crew":"t","shape":"array",
        "urgency":"standard","sacks":2,"cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i",
        "pullGb":1.0,"together":false,"spread":false,"borrowed":true,"grindS":10.0,
        "bankS":0.0,"bankWriteS":0.0}, "accepted_ms": 0});
    let pair = |k: &str, data: Value, revision| KeyValue {
        key: k.into(),
        value: serde_json::value::to_raw_value(&data).unwrap(),
        revision,
    };
    core.replica.reload_from_snapshot(
        vec![
            pair("r/j/job-1", job, 5),
            pair("r/m/r-1", rental("vm-1", "me", 1), 6),
            pair("r/p/job-1/0", json!([[1, "vm-1", 1]]), 7),
        ],
        8,
    );
    (me, core)
}

/// Guards against a task that starts again although an attempt of it may still be running, found by fault injection: a
/// machine was reassigned while the exit of one of its tasks waited to be written. The next owner wrote the exit, and
/// the task was started on another machine. The previous owner's write of the exit then undid the new start.
#[test]
fn an_exit_does_not_undo_a_later_start() {
    let (me, mut core) = core_with_a_job();
    core.update_ownership(&me, Instant::now());
    core.record_change(&TaskId::new("job-1", 0), TaskRecord::Waiting { last: 1 });
    put(&mut core, "r/m/r-2", rental("vm-2", "other", 1), 12);
    let page = json!([[2, "vm-2", 1]]);
    put(&mut core, "r/p/job-1/0", page, 13);
    let later = trace_of_writes(&core);
    put(&mut core, "r/p/job-1/0", json!([[1, "vm-1", 1]]), 14);
    put(&mut core, "r/m/r-1", rental("vm-1", "other", 2), 15);
    core.update_ownership(&me, Instant::now());
    let reassigned = trace_of_writes(&core);
    insta::assert_snapshot!(format!("started elsewhere\n{later}machine reassigned\n{reassigned}"), @r"
    started elsewhere
    nothing
    machine reassigned
    nothing
    ");
}

/// The state service rejects a record that is too large, however often it is written. When the largest possible array
/// is started on a thousand machines, each in a rental of its own, each page fits a value and its preconditions fit a
/// transaction. Starts that do not fit stay pending.
#[test]
fn the_largest_array_fits_its_records() {
    let max_value_bytes = 8 * 1024;
    let tasks_per_page = max_value_bytes / 48;
    let mut core = Core::new(
        crate::jobs::pages::tests::plain_layout(tasks_per_page),
        Instant::now(),
    );
    let me = Member {
        name: "me".into(),
        incarnation: 1,
    };
    let job = json!({"spec": {"nameId":"job-1","grist":"c","crew":"t","shape":"array",
        "urgency":"standard","sacks":100_000,"cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i",
        "pullGb":1.0,"together":false,"spread":false,"borrowed":true,"grindS":10.0,
        "bankS":0.0,"bankWriteS":0.0}, "accepted_ms": 0});
    put(&mut core, "r/j/job-1", job, 5);
    for n in 0..1000 {
        let rental = rental(&format!("vm-with-a-longer-name-{n:06}"), "me", 1);
        put(&mut core, &format!("r/m/r-1234567-{n}"), rental, 10 + n);
    }
    core.update_ownership(&me, Instant::now());
    for task in 0..100_000 {
        let machine = format!("vm-with-a-longer-name-{:06}", task % 1000);
        let start = TaskRecord::Placed {
            attempt: 3,
            machine,
            incarnation: 2,
        };
        core.record_change(&TaskId::new("job-1", task), start);
    }
    let writes = page_writes(&core, &me, 96, Quota::Ample, Instant::now());
    let largest = writes.iter().map(|write| match &write.operation {
        Operation::Put { value, .. } => value.get().len(),
        Operation::Delete { .. } => 0,
    });
    let largest = largest.max().unwrap();
    let preconditions = writes
        .iter()
        .map(|write| write.preconditions.len())
        .max()
        .unwrap();
    let bytes = writes.iter().map(PendingPageWrite::bytes).max().unwrap();
    assert!(
        largest <= max_value_bytes && preconditions <= 96 && bytes <= MAX_TRANSACTION_BYTES,
        "a page takes {largest} bytes, {preconditions} preconditions and {bytes} bytes of a transaction"
    );
    let pages = writes.len();
    insta::assert_snapshot!(
        format!("{pages} pages, the largest of {largest} bytes, with at most {preconditions} preconditions"),
        @"589 pages, the largest of 3442 bytes, with at most 96 preconditions"
    );
}
