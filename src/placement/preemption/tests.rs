use super::super::tests::{job, machine};
use super::*;
use std::collections::BTreeMap;

#[test]
fn evicts_lower_priority_tasks_that_lose_the_least_work() {
    let mut urgent = job("urgent", 3.0, 1, 20.0);
    urgent.due_milestone = super::super::Milestone::Start;
    let running_task = |id: &str, urgency, lost_s| RunningTask {
        id: TaskId::new(id, 0),
        attempt: 1,
        resources: Resources {
            cpus: 2.0,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        urgency,
        borrowing: true,
        lost_s,
        grace_s: 0.0,
        not_preemptible: false,
    };
    let machines = vec![machine("far", 0.0, 1.0), machine("near", 0.0, 1.0)];
    let low_urgency = Urgency::BestEffort;
    let running_tasks = BTreeMap::from([
        (
            "far".to_string(),
            vec![running_task("old", low_urgency, 50.0)],
        ),
        (
            "near".to_string(),
            vec![
                running_task("equal", Urgency::Standard, 1.0),
                running_task("young", low_urgency, 2.0),
            ],
        ),
    ]);
    let late = [Unplaced {
        job: 0,
        start: None,
        reserved: false,
    }];
    let mut trace = String::new();
    for (case, guaranteed, due) in [
        ("by priority", false, 20.0),
        ("within its guarantee", true, 20.0),
        ("late whatever is stopped", false, 2.0),
    ] {
        let request = PreemptionRequest {
            urgency: Urgency::Standard,
            guaranteed,
        };
        urgent.due = due;
        let plan = plan_preemption(&PreemptionInput {
            jobs: &[urgent.clone()],
            requests: &[request],
            unplaced: &late,
            machines: &machines,
            running_tasks: &|name| running_tasks[name].clone(),
            eviction_takes_s: 3.0,
            max_machines: 2,
        });
        let evictions = plan.evictions.iter();
        let names: Vec<&str> = evictions.map(|e| e.task.job.as_str()).collect();
        trace.push_str(&format!("{case}: stop {names:?}\n"));
    }
    insta::assert_snapshot!(trace, @r#"
    by priority: stop ["young"]
    within its guarantee: stop ["equal"]
    late whatever is stopped: stop []
    "#);
}
