use super::deadlines::propagate_deadlines;
use crate::jobs::pages::tests::plain_layout;
use crate::state::Replica;
use serde_json::{Value, json};

/// A record of a job as it may be written, `due` seconds after 0.
pub fn spec(id: &str, urgency: &str, due: Option<f64>) -> Value {
    json!({"nameId":id,"grist":"c","crew":"t","shape":"array","urgency":urgency,"sacks":2,
        "cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i","pullGb":1.0,"together":false,
        "spread":false,"borrowed":true,"grindS":10.0,"bankS":0.0,"bankWriteS":0.0,"dueS":due})
}

fn open(replica: &mut Replica, id: &str, revision: u64) {
    let record = json!({"spec": spec(id, "best_effort", None), "accepted_ms": 0});
    replica.apply_put(&format!("r/j/{id}"), &record.to_string(), revision);
}

fn blocked(replica: &mut Replica, id: &str, awaits: &[&str], due: Option<f64>, revision: u64) {
    let urgency = if due.is_some() {
        "urgent"
    } else {
        "best_effort"
    };
    let record = json!({"held": {"spec": spec(id, urgency, due), "accepted_ms": 0},
        "awaits": awaits});
    replica.apply_put(&format!("r/j/{id}"), &record.to_string(), revision);
}

fn show(replica: &Replica) -> String {
    let ids = |jobs: Vec<&String>| jobs.into_iter().cloned().collect::<Vec<_>>().join(" ");
    let p = &replica.pipelines;
    format!(
        "open [{}] waiting [{}] ready [{}] cancelled [{}]\n",
        ids(replica.jobs.keys().collect()),
        ids(p.iter().map(|(id, _)| id).collect()),
        ids(p.ready().map(|(id, _)| id).collect()),
        ids(p.cancelled().map(|(id, _)| id).collect()),
    )
}

/// Rules `too_early` and `orphaned`, on a diamond with a chain behind it: 1 before 2 and 3, both
/// before 4, then 5. Whatever order the news come in, the same follows.
#[test]
fn a_job_is_released_after_all_dependencies_and_cancelled_with_any() {
    let diamond = |order: [u64; 5]| {
        let mut replica = Replica::new(plain_layout(8));
        for number in order {
            match number {
                1 => open(&mut replica, "job-1", 11),
                2 => blocked(&mut replica, "job-2", &["job-1"], None, 12),
                3 => blocked(&mut replica, "job-3", &["job-1"], None, 13),
                4 => blocked(&mut replica, "job-4", &["job-2", "job-3"], None, 14),
                _ => blocked(&mut replica, "job-5", &["job-4"], Some(100.0), 15),
            }
        }
        replica
    };
    let mut traces = Vec::new();
    for order in [[1, 2, 3, 4, 5], [5, 4, 3, 2, 1], [3, 5, 1, 4, 2]] {
        let mut trace = String::new();
        let mut replica = diamond(order);
        trace.push_str(&format!("accepted: {}", show(&replica)));
        replica.apply_delete("r/j/job-1", 21);
        trace.push_str(&format!("1 is done: {}", show(&replica)));
        open(&mut replica, "job-2", 22);
        open(&mut replica, "job-3", 22);
        trace.push_str(&format!("2, 3 released: {}", show(&replica)));
        blocked(&mut replica, "job-2", &["job-1"], None, 12);
        trace.push_str(&format!("an older record comes late: {}", show(&replica)));
        replica.apply_delete("r/j/job-2", 23);
        trace.push_str(&format!("2 is done: {}", show(&replica)));
        let record = json!({"spec": spec("job-3", "best_effort", None), "accepted_ms": 0,
            "cancelled": true});
        replica.apply_put("r/j/job-3", &record.to_string(), 24);
        trace.push_str(&format!("3 is cancelled: {}", show(&replica)));
        replica.apply_delete("r/j/job-4", 25);
        trace.push_str(&format!("4 is ended so: {}", show(&replica)));
        traces.push(trace);
    }
    assert!(traces.iter().all(|t| *t == traces[0]));
    insta::assert_snapshot!(traces[0], @r#"
    accepted: open [job-1] waiting [job-2 job-3 job-4 job-5] ready [] cancelled []
    1 is done: open [] waiting [job-2 job-3 job-4 job-5] ready [job-2 job-3] cancelled []
    2, 3 released: open [job-2 job-3] waiting [job-4 job-5] ready [] cancelled []
    an older record comes late: open [job-2 job-3] waiting [job-4 job-5] ready [] cancelled []
    2 is done: open [job-3] waiting [job-4 job-5] ready [] cancelled []
    3 is cancelled: open [job-3] waiting [job-4 job-5] ready [] cancelled [job-4 job-5]
    4 is ended so: open [job-3] waiting [job-5] ready [] cancelled [job-5]
    "#);
    // The first cancelled, before and after the others come.
    for order in [[1, 2, 3, 4, 5], [5, 4, 3, 2, 1]] {
        let mut replica = diamond(order);
        let record = json!({"spec": spec("job-1", "best_effort", None), "accepted_ms": 0,
            "cancelled": true});
        replica.apply_put("r/j/job-1", &record.to_string(), 21);
        assert_eq!(replica.pipelines.cancelled().count(), 4);
        replica.apply_delete("r/j/job-1", 22);
        blocked(&mut replica, "job-6", &["job-5", "job-1"], None, 23);
        assert!(
            replica.pipelines.is_cancelled("job-6"),
            "it came afterwards"
        );
        assert_eq!(replica.pipelines.ready().count(), 0);
    }
}

/// Rules `forgotten` and `too_early`: a record that cannot be read is known, and never one that waits
/// for nothing. And a long chain is walked without a stack.
#[test]
fn unreadable_records_are_known_and_chains_may_be_long() {
    let mut replica = Replica::new(plain_layout(8));
    let mut record = json!({"held": {"spec": spec("job-7", "urgent", None), "accepted_ms": 0}});
    for awaits in [json!("job-1"), json!([1]), Value::Null] {
        record["awaits"] = awaits;
        replica.apply_put("r/j/job-7", &record.to_string(), 5);
        assert!(replica.jobs.is_empty() && replica.is_unreadable("job-7"));
    }
    open(&mut replica, "job-100000", 10);
    for n in 100_001..150_000_u64 {
        let before = format!("job-{}", n - 1);
        blocked(&mut replica, &format!("job-{n}"), &[&before], None, n);
    }
    let takes = |_: &_| 1.0;
    assert_eq!(
        propagate_deadlines(&replica.pipelines, takes, takes).len(),
        49_999
    );
    assert_eq!(replica.unknown_ancestors("job-149999").len(), 0);
    let record = json!({"spec": spec("job-100000", "urgent", None), "accepted_ms": 0,
        "cancelled": true});
    replica.apply_put("r/j/job-100000", &record.to_string(), 200_000);
    assert_eq!(replica.pipelines.cancelled().count(), 49_999);
}

/// The final states of jobs that ended before this process started are looked up, never assumed.
#[test]
fn dependencies_that_ended_before_the_reload_are_looked_up() {
    let mut replica = Replica::new(plain_layout(8));
    blocked(&mut replica, "job-2", &["job-1"], None, 12);
    blocked(&mut replica, "job-3", &["job-2"], None, 13);
    assert_eq!(replica.unknown_ancestors("job-3"), ["job-1"]);
    assert_eq!(replica.pipelines.ready().count(), 0);
    replica.record_final_state("job-1", crate::jobs::TerminalState::Done);
    assert!(replica.unknown_ancestors("job-3").is_empty());
    insta::assert_snapshot!(show(&replica), @r#"open [] waiting [job-2 job-3] ready [job-2] cancelled []"#);
}

/// A pipeline's deadline and priority are its last job's; the jobs before it have the deadline less the
/// longest path behind them. A later submission tightens it.
#[test]
fn deadlines_propagate_less_the_longest_path_behind() {
    let mut replica = Replica::new(plain_layout(8));
    open(&mut replica, "job-1", 11);
    blocked(&mut replica, "job-2", &["job-1"], None, 12);
    blocked(&mut replica, "job-3", &["job-1"], None, 13);
    let takes = |record: &crate::jobs::JobRecord| match record.spec.id.as_str() {
        "job-3" => 30.0,
        _ => 10.0,
    };
    let mut trace = String::new();
    let mut say = |what: &str, replica: &Replica| {
        let inherited = propagate_deadlines(&replica.pipelines, takes, |_| 1.5);
        let mut lines: Vec<_> = inherited.into_iter().collect();
        lines.sort_by(|a, b| a.0.cmp(&b.0));
        trace.push_str(&format!("{what}\n"));
        for (id, p) in lines {
            let (due, late) = (p.finish_by_ms / 1000.0, p.objective_finish_by_ms / 1000.0);
            trace.push_str(&format!("  {id}: {:?}, by {due} or {late}\n", p.urgency));
        }
    };
    say("without an end", &replica);
    blocked(&mut replica, "job-4", &["job-2", "job-3"], Some(100.0), 14);
    say("with its end", &replica);
    blocked(&mut replica, "job-5", &["job-2"], Some(50.0), 15);
    say("with a second one", &replica);
    insta::assert_snapshot!(trace, @r#"
    without an end
      job-1: BestEffort, by inf or inf
    with its end
      job-1: Urgent, by 60 or 110
      job-2: Urgent, by 90 or 140
      job-3: Urgent, by 90 or 140
    with a second one
      job-1: Urgent, by 30 or 55
      job-2: Urgent, by 40 or 65
      job-3: Urgent, by 90 or 140
    "#);
}
