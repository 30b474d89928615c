use super::*;
use crate::DEFAULT_TIMEOUTS;

/// A worker that has just started the task `job-1/0`, which completes at the next call of `complete_tasks`.
fn worker_with_task() -> Worker {
    let cloud = Cloud::new(Vec::new(), Duration::ZERO, DEFAULT_TIMEOUTS);
    let mut worker = Worker::new("vm-000000".to_owned(), cloud);
    execute(&mut worker, "run");
    worker
}

/// Lets the worker execute a command about `job-1/0`.
fn execute(worker: &mut Worker, verb: &str) {
    let command = json!({"verb": verb, "sack": "job-1/0", "turn": 1});
    let answer = json!({"warrant": 1, "orders": [command]});
    worker.handle_answer(&answer, Instant::now());
}

fn reported_tasks(worker: &mut Worker) -> Value {
    worker.heartbeat()["sacks"].take()
}

fn ended(cause: &str) -> Value {
    json!([{"sack": "job-1/0", "turn": 1, "stage": "ended", "cause": cause}])
}

/// Guards against a false completion: stopped tasks were reported as done.
#[test]
fn a_stopped_task_is_reported_as_stopped_also_after_its_duration() {
    let mut worker = worker_with_task();
    let running = json!([{"sack": "job-1/0", "turn": 1, "stage": "running"}]);
    assert_eq!(reported_tasks(&mut worker), running);
    execute(&mut worker, "stop");
    assert_eq!(reported_tasks(&mut worker), ended("stopped"));
    assert!(worker.cloud.world.lock().unwrap().nothing_runs());
    worker.complete_tasks();
    assert_eq!(reported_tasks(&mut worker), ended("stopped"));
}

#[test]
fn a_task_that_ran_for_its_duration_is_reported_as_done_also_after_a_stop() {
    let mut worker = worker_with_task();
    worker.complete_tasks();
    assert_eq!(reported_tasks(&mut worker), ended("done"));
    execute(&mut worker, "stop");
    assert_eq!(reported_tasks(&mut worker), ended("done"));
}
