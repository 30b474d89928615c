use super::deadlines::propagate_deadlines;
use crate::jobs::pages::tests::plain_layout;
use crate::state::Replica;
use serde_json::{Value, json};

/// A job's specification as it is stored, with a deadline of `deadline_s` seconds after its acceptance.
pub fn spec(id: &str, urgency: &str, deadline_s: Option<f64>) -> Value {
    json!({"nameId":id,"grist":"c","crew":"t","shape":"array","urgency":urgency,"sacks":2,
        "cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i","pullGb":1.0,"together":false,
        "spread":false,"borrowed":true,"grindS":10.0,"bankS":0.0,"bankWriteS":0.0,"dueS":deadline_s})
}

fn put_open(replica: &mut Replica, id: &str, revision: u64) {
    let record = json!({"spec": spec(id, "best_effort", None), "accepted_ms": 0});
    replica.apply_put(&format!("r/j/{id}"), &record.to_string(), revision);
}

fn put_blocked(
    replica: &mut Replica,
    id: &str,
    depends_on: &[&str],
    deadline_s: Option<f64>,
    revision: u64,
) {
    let urgency = if deadline_s.is_some() {
        "urgent"
    } else {
        "best_effort"
    };
    let record = json!({"held": {"spec": spec(id, urgency, deadline_s), "accepted_ms": 0},
        "awaits": depends_on});
    replica.apply_put(&format!("r/j/{id}"), &record.to_string(), revision);
}

fn describe(replica: &Replica) -> String {
    let ids = |jobs: Vec<&String>| jobs.into_iter().cloned().collect::<Vec<_>>().join(" ");
    let pipelines = &replica.pipelines;
    format!(
        "open [{}] waiting [{}] ready [{}] cancelled [{}]\n",
        ids(replica.jobs.keys().collect()),
        ids(pipelines.iter().map(|(id, _)| id).collect()),
        ids(pipelines.ready().map(|(id, _)| id).collect()),
        ids(pipelines.cancelled().map(|(id, _)| id).collect()),
    )
}

/// Guards against a job that is released before the jobs that it depends on are done, and one that is not cancelled
/// although a job that it depends on was. Here jobs 2 and 3 depend on 1, job 4 depends on both, and 5 depends on 4. The
/// order in which the records arrive must not change which jobs are released or cancelled.
#[test]
fn a_job_is_released_after_all_dependencies_and_cancelled_with_any() {
    let diamond = |order: [u64; 5]| {
        let mut replica = Replica::new(plain_layout(8));
        for number in order {
            match number {
                1 => put_open(&mut replica, "job-1", 11),
                2 => put_blocked(&mut replica, "job-2", &["job-1"], None, 12),
                3 => put_blocked(&mut replica, "job-3", &["job-1"], None, 13),
                4 => put_blocked(&mut replica, "job-4", &["job-2", "job-3"], None, 14),
                _ => put_blocked(&mut replica, "job-5", &["job-4"], Some(100.0), 15),
            }
        }
        replica
    };
    let mut traces = Vec::new();
    for order in [[1, 2, 3, 4, 5], [5, 4, 3, 2, 1], [3, 5, 1, 4, 2]] {
        let mut trace = String::new();
        let mut replica = diamond(order);
        trace.push_str(&format!("accepted: {}", describe(&replica)));
        replica.apply_delete("r/j/job-1", 21);
        trace.push_str(&format!("1 is done: {}", describe(&replica)));
        put_open(&mut replica, "job-2", 22);
        put_open(&mut replica, "job-3", 22);
        trace.push_str(&format!("2, 3 released: {}", describe(&replica)));
        put_blocked(&mut replica, "job-2", &["job-1"], None, 12);
        trace.push_str(&format!(
            "an older record comes late: {}",
            describe(&replica)
        ));
        replica.apply_delete("r/j/job-2", 23);
        trace.push_str(&format!("2 is done: {}", describe(&replica)));
        let record = json!({"spec": spec("job-3", "best_effort", None), "accepted_ms": 0,
            "cancelled": true});
        replica.apply_put("r/j/job-3", &record.to_string(), 24);
        trace.push_str(&format!("3 is cancelled: {}", describe(&replica)));
        replica.apply_delete("r/j/job-4", 25);
        trace.push_str(&format!("4 has ended: {}", describe(&replica)));
        traces.push(trace);
    }
    assert!(
        traces.iter().all(|t| *t == traces[0]),
        "the order of the records changes the result: {traces:#?}"
    );
    insta::assert_snapshot!(traces[0], @r#"
    accepted: open [job-1] waiting [job-2 job-3 job-4 job-5] ready [] cancelled []
    1 is done: open [] waiting [job-2 job-3 job-4 job-5] ready [job-2 job-3] cancelled []
    2, 3 released: open [job-2 job-3] waiting [job-4 job-5] ready [] cancelled []
    an older record comes late: open [job-2 job-3] waiting [job-4 job-5] ready [] cancelled []
    2 is done: open [job-3] waiting [job-4 job-5] ready [] cancelled []
    3 is cancelled: open [job-3] waiting [job-4 job-5] ready [] cancelled [job-4 job-5]
    4 has ended: open [job-3] waiting [job-5] ready [] cancelled [job-5]
    "#);
    // Job 1 is cancelled after the records of the other jobs arrive; a job that arrives later is cancelled too.
    for order in [[1, 2, 3, 4, 5], [5, 4, 3, 2, 1]] {
        let mut replica = diamond(order);
        let record = json!({"spec": spec("job-1", "best_effort", None), "accepted_ms": 0,
            "cancelled": true});
        replica.apply_put("r/j/job-1", &record.to_string(), 21);
        assert_eq!(replica.pipelines.cancelled().count(), 4);
        replica.apply_delete("r/j/job-1", 22);
        put_blocked(&mut replica, "job-6", &["job-5", "job-1"], None, 23);
        assert!(
            replica.pipelines.is_cancelled("job-6"),
            "a job inserted after the cancellation is not cancelled"
        );
        assert_eq!(replica.pipelines.ready().count(), 0);
    }
}

/// Guards against an accepted job that is no longer known, and one that is released before the jobs that it depends on
/// are done: a blocked job whose dependencies cannot be read counts as known and must not be released as if it had
/// none. A chain of 50,000 jobs must not overflow the stack.
#[test]
fn unreadable_records_are_known_and_chains_may_be_long() {
    let mut replica = Replica::new(plain_layout(8));
    let mut record = json!({"held": {"spec": spec("job-7", "urgent", None), "accepted_ms": 0}});
    for awaits in [json!("job-1"), json!([1]), Value::Null] {
        record["awaits"] = awaits;
        replica.apply_put("r/j/job-7", &record.to_string(), 5);
        assert!(replica.jobs.is_empty() && replica.is_unreadable("job-7"));
    }
    put_open(&mut replica, "job-100000", 10);
    for n in 100_001..150_000_u64 {
        let previous = format!("job-{}", n - 1);
        put_blocked(&mut replica, &format!("job-{n}"), &[&previous], None, n);
    }
    let constant = |_: &_| 1.0;
    assert_eq!(
        propagate_deadlines(&replica.pipelines, constant, constant).len(),
        49_999
    );
    assert_eq!(replica.unknown_ancestors("job-149999").len(), 0);
    let record = json!({"spec": spec("job-100000", "urgent", None), "accepted_ms": 0,
        "cancelled": true});
    replica.apply_put("r/j/job-100000", &record.to_string(), 200_000);
    assert_eq!(replica.pipelines.cancelled().count(), 49_999);
}

/// The final states of jobs that ended before this process loaded the records are looked up, never assumed.
#[test]
fn dependencies_that_ended_before_the_reload_are_looked_up() {
    let mut replica = Replica::new(plain_layout(8));
    put_blocked(&mut replica, "job-2", &["job-1"], None, 12);
    put_blocked(&mut replica, "job-3", &["job-2"], None, 13);
    assert_eq!(replica.unknown_ancestors("job-3"), ["job-1"]);
    assert_eq!(replica.pipelines.ready().count(), 0);
    replica.record_final_state("job-1", crate::jobs::TerminalState::Done);
    assert!(replica.unknown_ancestors("job-3").is_empty());
    insta::assert_snapshot!(describe(&replica), @r#"open [] waiting [job-2 job-3] ready [job-2] cancelled []"#);
}

/// Earlier jobs of a pipeline inherit the urgency of the last job, and its deadline less the duration of the longest path
/// to it. A job that is submitted later can make these deadlines earlier.
#[test]
fn deadlines_propagate_less_the_longest_path_to_the_last_job() {
    let mut replica = Replica::new(plain_layout(8));
    put_open(&mut replica, "job-1", 11);
    put_blocked(&mut replica, "job-2", &["job-1"], None, 12);
    put_blocked(&mut replica, "job-3", &["job-1"], None, 13);
    let duration_s = |record: &crate::jobs::JobRecord| match record.spec.id.as_str() {
        "job-3" => 30.0,
        _ => 10.0,
    };
    let mut trace = String::new();
    let mut append_deadlines = |case: &str, replica: &Replica| {
        let inherited = propagate_deadlines(&replica.pipelines, duration_s, |_| 1.5);
        let mut lines: Vec<_> = inherited.into_iter().collect();
        lines.sort_by(|a, b| a.0.cmp(&b.0));
        trace.push_str(&format!("{case}\n"));
        for (id, required) in lines {
            let (deadline_s, objective_s) = (
                required.finish_by_ms / 1000.0,
                required.objective_finish_by_ms / 1000.0,
            );
            trace.push_str(&format!(
                "  {id}: {:?}, by {deadline_s} or {objective_s}\n",
                required.urgency
            ));
        }
    };
    append_deadlines("no job has a deadline", &replica);
    put_blocked(&mut replica, "job-4", &["job-2", "job-3"], Some(100.0), 14);
    append_deadlines("job 4 has a deadline", &replica);
    put_blocked(&mut replica, "job-5", &["job-2"], Some(50.0), 15);
    append_deadlines("job 5 has an earlier one", &replica);
    insta::assert_snapshot!(trace, @r#"
    no job has a deadline
      job-1: BestEffort, by inf or inf
    job 4 has a deadline
      job-1: Urgent, by 60 or 110
      job-2: Urgent, by 90 or 140
      job-3: Urgent, by 90 or 140
    job 5 has an earlier one
      job-1: Urgent, by 30 or 55
      job-2: Urgent, by 40 or 65
      job-3: Urgent, by 90 or 140
    "#);
}
