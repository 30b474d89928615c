use super::evictions::evict;
use crate::jobs::{TaskId, TaskRecord};
use crate::node::Core;
use crate::placement::preemption::Eviction;
use serde_json::json;
use std::time::Instant;

/// Guards against a lost eviction: if a task's start is planned and the task is evicted in the same cycle, the
/// planned start must be discarded. Otherwise the start is still recorded and the task is not stopped, so the gang
/// for which it was evicted waits until the task ends.
#[test]
fn eviction_discards_a_planned_start_and_stops_a_recorded_one() {
    let mut core = Core::new(crate::jobs::pages::tests::plain_layout(8), Instant::now());
    let job = json!({"spec": {"nameId":"job-1","grist":"c","crew":"t","shape":"array",
        "urgency":"standard","sacks":2,"cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i",
        "pullGb":1.0,"together":false,"spread":false,"borrowed":true,"grindS":10.0,
        "bankS":0.0,"bankWriteS":0.0}, "accepted_ms": 0});
    core.replica.apply_put("r/j/job-1", &job.to_string(), 5);
    core.replica
        .apply_put("r/p/job-1/0", &json!([[1, "vm-1", 1]]).to_string(), 6);
    let planned = TaskRecord::Placed {
        attempt: 1,
        machine: "vm-1".into(),
        incarnation: 1,
    };
    core.record_change(&TaskId::new("job-1", 1), planned);
    for task in [0, 1] {
        let eviction = Eviction {
            task: TaskId::new("job-1", task),
            attempt: 1,
            grace_s: 0.0,
        };
        evict(&mut core, eviction);
    }
    let stops = core.workers.pending_stops.keys();
    let stops: Vec<_> = stops
        .map(|stop| ((&stop.task.job, stop.task.index), stop.attempt))
        .collect();
    insta::assert_snapshot!(
        format!(
            "{:?}\n{:?}\nto be stopped {stops:?}",
            core.task_record("job-1", 0),
            core.task_record("job-1", 1)
        ),
        @r#"
        Placed { attempt: 1, machine: "vm-1", incarnation: 1 }
        Waiting { last: 0 }
        to be stopped [(("job-1", 0), 1)]
        "#
    );
}
