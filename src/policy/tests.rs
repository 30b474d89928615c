use super::*;

fn facts(
    machine_type: &str,
    gpus: f64,
    arrived: f64,
    usual: f64,
    waiting: f64,
) -> MachineTypeFacts<'_> {
    MachineTypeFacts {
        machine_type,
        cpus: 16.0,
        gpus,
        price: 1.0,
        arrived,
        usual,
        waiting,
    }
}

#[test]
fn default_policy_keeps_machines_of_one_zone_while_many_tasks_arrive_or_wait() {
    let policy = Policy::default();
    let mut trace = String::new();
    for (case, arrived, waiting) in [
        ("normal", 10.0, 5.0),
        ("bulk", 90.0, 5.0),
        ("backlog", 0.0, 400.0),
    ] {
        for zone in ["kamloops", "victoria"] {
            let allows =
                policy.allows_release(&facts("m", 0.0, arrived, 10.0, waiting), zone, false);
            trace.push_str(&format!("{case}, {zone}: may return {allows}\n"));
        }
    }
    insta::assert_snapshot!(trace, @r"
    normal, kamloops: may return true
    normal, victoria: may return true
    bulk, kamloops: may return false
    bulk, victoria: may return true
    backlog, kamloops: may return false
    backlog, victoria: may return true
    ");
}

/// The examples in docs/operations.md are valid policies.
#[test]
fn the_documented_examples_are_accepted() {
    let page = include_str!("../../docs/operations.md");
    let mut blocks = Vec::new();
    let mut inside = false;
    for line in page.lines() {
        if line.starts_with("```") {
            inside = line == "```policy";
            if inside {
                blocks.push(String::new());
            }
        } else if inside && let Some(block) = blocks.last_mut() {
            block.push_str(line);
            block.push('\n');
        }
    }
    assert!(
        blocks.len() >= 3,
        "docs/operations.md has too few examples of policies"
    );
    for block in blocks {
        if let Err(problem) = Policy::parse(&block) {
            panic!("{problem}\n{block}");
        }
    }
}

#[test]
fn errors_name_their_line_and_column() {
    let mut trace = String::new();
    for text in [
        "beta = 0.3",
        "beta = 3",
        "gamma = 1",
        "beta = 0.1\nbeta = 0.2",
        "alpha = zone == \"a\"",
        "alpha = if gpus > 0 then 0.1 else \"none\"",
        "hold = 60 +",
        "hold = (60\n  + 30)",
        "hold = 60 60",
        "period = price",
        "may_return = spot and 1",
        "may_return = not zone == \"a",
        "hold = 10 & 2",
        "hold 10",
        "start_by = class",
        "hold = 1 < 2 < 3",
    ] {
        let outcome = match Policy::parse(text) {
            Ok(_) => "fine".to_owned(),
            Err(problem) => problem.to_string(),
        };
        trace.push_str(&format!("{text:?}\n    {outcome}\n"));
    }
    let deep = format!("hold = {}1{}", "(".repeat(500), ")".repeat(500));
    trace.push_str(&format!(
        "500 brackets\n    {}\n",
        Policy::parse(&deep).unwrap_err()
    ));
    insta::assert_snapshot!(trace);
}

#[test]
fn evaluated_values_are_limited_to_their_range() {
    let policy = Policy::parse(
        "beta = if gpus > 0 then waiting / usual else 0.25\n\
         hold = if spot then -5 else 10 * (gpus + 1)\n\
         start_by = if class == \"nightly\" and tasks >= 10 then 3 else 20",
    )
    .unwrap();
    let mut trace = String::new();
    for (gpus, usual, waiting) in [
        (0.0, 1.0, 1.0),
        (2.0, 10.0, 5.0),
        (2.0, 0.0, 5.0),
        (2.0, 0.0, 0.0),
    ] {
        let machine_type = facts("m", gpus, 0.0, usual, waiting);
        let beta = policy.scaling_parameters(&machine_type).beta;
        let holds = [false, true].map(|spot| policy.idle_hold_s(&machine_type, "a", spot));
        trace.push_str(&format!(
            "gpus {gpus} {waiting}/{usual}: beta {beta}, hold {holds:?}\n"
        ));
    }
    for (class, tasks) in [("nightly", 10.0), ("nightly", 9.0), ("other", 10.0)] {
        let job = JobFacts {
            class,
            urgency: "standard",
            tasks,
            estimate: 10.0,
        };
        trace.push_str(&format!(
            "{class} x{tasks}: start by {}\n",
            policy.start_within_factor(&job)
        ));
    }
    insta::assert_snapshot!(trace);
}
