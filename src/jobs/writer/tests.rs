use super::batch::atomic_group_len;
use super::flush_delay::OWN_JOB_DELAY;
use super::*;
use crate::jobs::garbage_collection::GarbageBatch;
use crate::jobs::{PageLayout, TaskId, TaskRecord, TerminalState};
use crate::membership::assignment::Member;
use crate::state::{MAX_TRANSACTION_BYTES, Operation, Precondition, RecordKey};
use rowanmill_state::KeyValue;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// A rental of one machine.
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
    select_page_writes(&Selection {
        core,
        me,
        max_preconditions,
        has_ample_quota: quota == Quota::Ample,
        now,
    })
}

fn trace_of_writes(core: &Core) -> String {
    let me = Member {
        name: "me".into(),
        incarnation: 1,
    };
    let now = Instant::now() + OWN_JOB_DELAY.constrained;
    let lines = page_writes(core, &me, 96, Quota::Ample, now)
        .into_iter()
        .map(|d| {
            let guards: Vec<String> = d
                .preconditions
                .iter()
                .map(|g| format!("{}@{}", g.key, g.revision))
                .collect();
            let page = serde_json::to_string(&d.page).unwrap();
            format!("put {page} if {}\n", guards.join(" "))
        });
    let text: String = lines.collect();
    if text.is_empty() {
        "nothing\n".into()
    } else {
        text
    }
}

/// Rule `ran_twice`, found by fault injection: a controller observed that a withdrawn start was absent, was
/// partitioned before it could write that, and the machine's next owner started the task. When the
/// partition ended, the old owner's write of the absence was accepted, and the task was placed again.
#[test]
fn an_observation_under_an_earlier_ownership_is_not_written() {
    let (me, mut core) = core_with_a_job();
    core.update_ownership(&me, Instant::now());
    core.record_change(&TaskId::new("job-1", 0), TaskRecord::Waiting { last: 1 });
    let ours = trace_of_writes(&core);
    put(&mut core, "r/m/r-1", rental("vm-1", "me", 2), 12);
    core.update_ownership(&me, Instant::now());
    let after = trace_of_writes(&core);
    insta::assert_snapshot!(format!("seen as owner\n{ours}another's in between\n{after}"), @r#"
    seen as owner
    put [1] if r/j/job-1@5 r/p/job-1/0@7 r/m/r-1@6
    another's in between
    nothing
    "#);
}

/// Rule `ran_twice`, without faults at 1,050 machines: a withdrawn start was observed to be absent, and
/// while the ends of jobs were being written the watch delivered the machine's next owner. The absence
/// was then written under the new revision, after that owner had sent `run`. And a start that was pending
/// on such a machine stayed pending for ever.
#[test]
fn reassignment_during_a_cycle_discards_the_machines_pending_changes() {
    let (me, mut core) = core_with_a_job();
    core.update_ownership(&me, Instant::now());
    put(&mut core, "r/m/r-2", rental("vm-2", "me", 1), 9);
    core.update_ownership(&me, Instant::now());
    core.record_change(&TaskId::new("job-1", 0), TaskRecord::Waiting { last: 1 });
    let on_second = TaskRecord::Placed {
        attempt: 1,
        machine: "vm-2".into(),
        incarnation: 1,
    };
    core.record_change(&TaskId::new("job-1", 1), on_second);
    let before = trace_of_writes(&core);
    put(&mut core, "r/m/r-1", rental("vm-1", "other", 2), 12);
    put(&mut core, "r/m/r-2", rental("vm-2", "other", 2), 13);
    let during = trace_of_writes(&core);
    core.update_ownership(&me, Instant::now());
    let entry = core.task_record("job-1", 1);
    insta::assert_snapshot!(
        format!("ours\n{before}lost within the turn\n{during}then the second is {entry:?}"),
        @r#"
        ours
        put [1,[1,"vm-2",1]] if r/j/job-1@5 r/p/job-1/0@7 r/shares@0 r/m/r-1@6 r/m/r-2@9
        lost within the turn
        nothing
        then the second is Waiting { last: 0 }
        "#
    );
}

/// A gang of more tasks than a page holds starts with all its pages or not at all.
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
    let mut units = Vec::new();
    let mut rest = &writes[..];
    while !rest.is_empty() {
        let (unit, others) = rest.split_at(atomic_group_len(rest));
        units.push(format!("{} of {}", unit.len(), unit[0].job));
        rest = others;
    }
    assert_eq!(units, ["1 of job-1", "3 of job-2"]);
}

/// Where writes are scarce, completions of another controller's large job are delayed while many are to
/// come; near its end, or when a task must be placed again, its owner learns of them soon.
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
            format!(
                "{s} s {}",
                if written.is_empty() {
                    "waits"
                } else {
                    "written"
                }
            )
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

/// What is written once the limits are 2 KiB and 8 operations: a gang of 16 on as many rentals is one
/// page; of an array of 300, on a machine of its own each, with long names, as many starts are written as
/// its pages and the preconditions allow, and the rest stays pending.
#[test]
fn pages_fit_the_lower_limits_by_construction() {
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
    let forms = json!({"seen": ["me"], "layout": {"wide": 170, "dense": 128}});
    put(&mut core, "r/forms", forms, 1);
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
    // Some of the array's tasks were written on a plain page before.
    put(&mut core, "r/p/job-2/0", json!([true, 3, true]), 400);
    core.update_ownership(&me, Instant::now());
    for (id, tasks) in [("job-1", 16), ("job-2", 300)] {
        for task in 0..tasks {
            let machine = format!("vm-with-a-longer-name-{id}-{task:06}");
            let entry = TaskRecord::Placed {
                attempt: 4,
                machine,
                incarnation: 1,
            };
            core.record_change(&TaskId::new(id, task), entry);
        }
    }
    let writes = page_writes(&core, &me, 32, Quota::Ample, Instant::now());
    let mut trace = String::new();
    for page in &writes {
        let bytes = json_of(&page.operation).len();
        let (starts, guards) = (page.machines.len(), page.preconditions.len());
        assert!(bytes <= 2048 && guards <= 32);
        let key = RecordKey::page(&page.job, page.page_id).to_string();
        trace.push_str(&format!(
            "{key}: {starts} starts, {guards} guards, {bytes} bytes\n"
        ));
    }
    let under = writes
        .iter()
        .filter(|d| d.job == "job-2")
        .flat_map(|d| &d.preconditions);
    let under: Vec<_> = under.filter(|g| g.key.starts_with("r/p/")).collect();
    trace.push_str(&format!(
        "brought over under {} marks of wide pages\n",
        under.len()
    ));
    insta::assert_snapshot!(trace, @r#"
    r/q/job-1/0: 16 starts, 20 guards, 685 bytes
    r/q/job-2/0: 28 starts, 32 guards, 1195 bytes
    r/q/job-2/1: 27 starts, 32 guards, 1147 bytes
    r/q/job-2/2: 27 starts, 32 guards, 1147 bytes
    brought over under 5 marks of wide pages
    "#);
}

fn json_of(op: &Operation) -> &str {
    match op {
        Operation::Put { value, .. } => value.get(),
        Operation::Delete { .. } => "",
    }
}

/// Where writes are scarce a job's end is one operation. It takes effect at once: its tasks hold no
/// capacity, the jobs that depend on it are ready, a repeat of its submission finds it; and it is archived
/// under its revision later.
#[test]
fn a_finished_job_is_archived_later() {
    let (_, mut core) = core_with_a_job();
    let waits = json!({"held": {"spec": crate::pipelines::tests::spec("job-2", "urgent", None),
        "accepted_ms": 0}, "awaits": ["job-1"]});
    put(&mut core, "r/j/job-2", waits, 9);
    put(&mut core, "r/j/job-1", json!({"over": "done"}), 12);
    let replica = &core.replica;
    assert_eq!(replica.final_state("job-1"), Some(TerminalState::Done));
    assert!(replica.tasks_by_machine.is_empty() && replica.is_known("job-1"));
    assert_eq!(replica.pipelines.ready().count(), 1);
    let mut trace = String::new();
    for most in [1, 2, 8] {
        let batch = GarbageBatch::build(replica, most);
        let (guards, ops) = (batch.preconditions, batch.operations);
        let ops: Vec<String> = ops
            .iter()
            .map(|op| match op {
                Operation::Put { key, value, .. } => format!("{key}={value}"),
                Operation::Delete { key } => format!("-{key}"),
            })
            .collect();
        let guards: Vec<String> = guards.iter().map(precondition_text).collect();
        let (ops, guards) = (ops.join(" "), guards.join(", "));
        trace.push_str(&format!("{most}: {ops} if [{guards}]\n"));
    }
    insta::assert_snapshot!(trace, @r#"
    1: -r/p/job-1/0 if []
    2: e/job-1="done" -r/j/job-1 if [Guard { k: "r/j/job-1", mark: 12 }]
    8: e/job-1="done" -r/j/job-1 -r/p/job-1/0 if [Guard { k: "r/j/job-1", mark: 12 }]
    "#);
}

/// A precondition in the words of the kept traces.
fn precondition_text(precondition: &Precondition) -> String {
    let Precondition { key, revision } = precondition;
    format!("Guard {{ k: {key:?}, mark: {revision} }}")
}

/// Jobs that never ended, with machines that were never released, on scenario `troubles` after the limits
/// were lowered: a machine was drained while a pending start on it waited to be written.
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
    withdraw_unstartable(&mut core, &me);
    assert_eq!(core.pending_changes.starts_on("vm-1").count(), 1);
    let mut returning = rental("vm-1", "me", 1);
    returning["machines"][0][3] = json!(1);
    put(&mut core, "r/m/r-1", returning, 12);
    core.update_ownership(&me, Instant::now());
    withdraw_unstartable(&mut core, &me);
    assert_eq!(core.pending_changes.starts_on("vm-1").count(), 0);
    assert_eq!(
        *core.task_record("job-1", 1),
        TaskRecord::Waiting { last: 0 }
    );
}

/// Objective `deadline dawn-dispatch-push`, .33 on scenario `troubles` after the limits were lowered: one
/// controller's starts took its whole write quota, and it wrote no exit of another's job for 100 s.
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
        let jobs: Vec<String> = writes.into_iter().map(|d| d.job).collect();
        format!("after {s} s: {}", jobs.join(", "))
    };
    insta::assert_snapshot!([1, 3, 5].map(order).join("\n"), @r#"
    after 1 s: job-1
    after 3 s: job-1, job-2
    after 5 s: job-2, job-1
    "#);
}

/// A gang that lost the machine of a pending start was written without that task: the others waited in
/// vain for their peer, and the gang never counted as waiting again.
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
        let entry = TaskRecord::Placed {
            attempt: 1,
            machine: machine.into(),
            incarnation: 1,
        };
        core.record_change(&TaskId::new("job-2", task), entry);
    }
    withdraw_broken_gangs(&mut core);
    let whole = trace_of_writes(&core);
    put(&mut core, "r/m/r-2", rental("vm-2", "other", 2), 12);
    core.update_ownership(&me, Instant::now());
    withdraw_broken_gangs(&mut core);
    let broken = trace_of_writes(&core);
    insta::assert_snapshot!(format!("whole\n{whole}one machine lost\n{broken}"), @r#"
    whole
    put [[1,"vm-1",1],[1,"vm-2",1]] if r/j/job-2@9 r/p/job-2/0@0 r/shares@0 r/m/r-1@6 r/m/r-2@10
    one machine lost
    nothing
    "#);
}

/// An answer that came after the watch had delivered later changes restored a deleted record, which
/// nothing would ever delete again.
#[test]
fn a_late_answer_to_an_own_write_restores_nothing() {
    let (_, mut core) = core_with_a_job();
    let record = core.replica.fleet.rentals["r-1"].record.clone();
    let drop = rowanmill_state::WatchEvent {
        put: None,
        deleted: Some("r/m/r-1".into()),
        value: None,
        revision: 20,
    };
    core.replica.apply(vec![drop], 20);
    core.apply(vec![Operation::put("r/m/r-1", &record)], 12);
    assert!(core.replica.fleet.rentals.is_empty());
    core.apply(vec![Operation::put("r/m/r-3", &record)], 21);
    assert!(core.replica.fleet.rentals.contains_key("r-3"));
}

/// This controller, and its state with a job that has a task on this controller's machine vm-1.
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

/// Rule `ran_twice`, found by fault injection: an exit waited to be written while its machine was
/// reassigned. The next owner wrote it, the task was started again elsewhere, and then the first write
/// arrived and took the new start for the old one.
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
    let lost = trace_of_writes(&core);
    insta::assert_snapshot!(format!("started again\n{later}machine lost\n{lost}"), @r"
    started again
    nothing
    machine lost
    nothing
    ");
}

/// A record that is too large is refused for ever. The largest possible array, started on a thousand
/// machines of as many rentals: each page fits a value, each transaction's preconditions fit, and what is
/// not written with this transaction stays pending for the next.
#[test]
fn the_largest_array_fits_its_records() {
    let settings_value = 8 * 1024;
    let page_len = settings_value / 48;
    let mut core = Core::new(
        crate::jobs::pages::tests::plain_layout(page_len),
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
        let entry = TaskRecord::Placed {
            attempt: 3,
            machine,
            incarnation: 2,
        };
        core.record_change(&TaskId::new("job-1", task), entry);
    }
    let writes = page_writes(&core, &me, 96, Quota::Ample, Instant::now());
    let largest = writes.iter().map(|d| match &d.operation {
        Operation::Put { value, .. } => value.get().len(),
        Operation::Delete { .. } => 0,
    });
    let largest = largest.max().unwrap();
    let guards = writes.iter().map(|d| d.preconditions.len()).max().unwrap();
    let bytes = writes.iter().map(PendingPageWrite::bytes).max().unwrap();
    assert!(largest <= settings_value && guards <= 96 && bytes <= MAX_TRANSACTION_BYTES);
    let pages = writes.len();
    insta::assert_snapshot!(
        format!("{pages} pages, the largest of {largest} bytes, with at most {guards} guards"),
        @"589 pages, the largest of 3442 bytes, with at most 96 guards"
    );
}
