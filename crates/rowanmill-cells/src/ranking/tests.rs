use super::*;
use serde_json::json;
use std::time::{Duration, Instant};

fn cells() -> Vec<Candidate> {
    let cell = |name: &str, free_cpus: f64, can_rent: bool| Candidate {
        name: name.to_owned(),
        free_cpus,
        can_rent,
    };
    vec![
        cell("danang", 8.0, false),
        cell("hanoi", 40.0, false),
        cell("hue", 2.0, true),
    ]
}

fn choose(script: &str) -> Option<String> {
    let job = json!({"nameId": "job-1", "grist": "render", "cards": 2.0, "sacks": 3});
    let script = Script::parse(script).expect(script);
    Ranking::new(Some(script)).choose(&job, &cells())
}

#[test]
fn built_in_order_prefers_a_cell_that_may_rent() {
    let ranking = Ranking::default();
    let all = cells();
    assert_eq!(ranking.choose(&json!({}), &all).as_deref(), Some("hue"));
    assert_eq!(
        ranking.choose(&json!({}), &all[..2]).as_deref(),
        Some("hanoi")
    );
    assert_eq!(ranking.choose(&json!({}), &[]), None);
}

#[test]
fn script_chooses_by_job_and_cells() {
    let by_class =
        "fn choose(job, cells) { if job.grist == \"render\" { \"danang\" } else { \"hue\" } }";
    assert_eq!(choose(by_class).as_deref(), Some("danang"));
    let most_free = "fn choose(job, cells) { let best = cells[0]; for c in cells { if c.free_cpus > best.free_cpus \
                 { best = c; } } best.name }";
    assert_eq!(choose(most_free).as_deref(), Some("hanoi"));
}

/// A cell is chosen within a limited time, in whichever way a script fails.
#[test]
fn failing_script_falls_back_to_the_built_in_order() {
    let failing = [
        "fn choose(job, cells) { loop { } }",
        "fn choose(job, cells) { choose(job, cells) }",
        "fn choose(job, cells) { let t = \"x\"; loop { t += t; } }",
        "fn choose(job, cells) { throw \"no\" }",
        "fn choose(job, cells) { cells[99].name }",
        "fn choose(job, cells) { \"saigon\" }",
        "fn choose(job, cells) { 7 }",
        "fn choose(job, cells) { }",
    ];
    for script in failing {
        let started = Instant::now();
        assert_eq!(choose(script).as_deref(), Some("hue"), "{script}");
        assert!(started.elapsed() < Duration::from_secs(2), "{script}");
    }
}

#[test]
fn script_without_the_function_is_refused() {
    assert_eq!(
        Script::parse("let x = 1;").unwrap_err(),
        ScriptError::NoFunction
    );
    let one_argument = Script::parse("fn choose(job) { \"hue\" }");
    assert_eq!(one_argument.unwrap_err(), ScriptError::NoFunction);
    let malformed = Script::parse("fn choose(job, cells) { \"hue }");
    assert!(matches!(malformed, Err(ScriptError::Malformed(_))));
}

/// Runs the example scripts of `docs/operations.md`.
#[test]
fn documented_scripts_run() {
    let page = include_str!("../../../../docs/operations.md");
    let blocks: Vec<&str> = page
        .split("```rhai\n")
        .skip(1)
        .filter_map(|rest| rest.split("```").next())
        .collect();
    assert!(
        !blocks.is_empty(),
        "operations.md must contain an example script"
    );
    for block in blocks {
        assert_eq!(choose(block).as_deref(), Some("danang"), "{block}");
    }
}
