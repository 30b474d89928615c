use super::*;
use crate::DEFAULT_TIMEOUTS;

/// A duration that no task reaches in these tests.
const LONG: Duration = Duration::from_secs(60);

/// A worker that has just started the task `job-1/0`, which completes at the next call of `complete_tasks`.
fn worker_with_task() -> Worker {
    let cloud = Cloud::new(Vec::new(), Duration::ZERO, DEFAULT_TIMEOUTS);
    let mut worker = Worker::new("vm-000000".to_owned(), cloud);
    execute(&mut worker, "run");
    worker
}

/// Lets the worker execute a command about `job-1/0`.
fn execute(worker: &mut Worker, verb: &str) {
    execute_for(worker, verb, "job-1/0");
}

/// Lets the worker execute a command about a task.
fn execute_for(worker: &mut Worker, verb: &str, task: &str) {
    let command = json!({"verb": verb, "sack": task, "turn": 1});
    let answer = json!({"warrant": 1, "orders": [command]});
    worker.handle_answer(&answer, Instant::now());
}

/// Three workers of the same cloud without tasks, in a world where `job-1` is a gang of two tasks.
fn workers_for_gang(task_duration: Duration) -> [Worker; 3] {
    let cloud = Cloud::new(Vec::new(), task_duration, DEFAULT_TIMEOUTS);
    cloud.world.lock().unwrap().record_gang("job-1", 2);
    ["vm-000000", "vm-000001", "vm-000002"]
        .map(|machine| Worker::new(machine.to_owned(), cloud.clone()))
}

/// The reported stage of the only task of a worker, or the cause of its end.
fn reported(worker: &mut Worker) -> String {
    let task = reported_tasks(worker)[0].take();
    let stage = if task["stage"] == "ended" {
        "cause"
    } else {
        "stage"
    };
    task[stage].as_str().unwrap().to_owned()
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

#[test]
fn the_run_time_of_a_gang_counts_from_the_start_of_its_last_task() {
    let [mut first, mut last, _] = workers_for_gang(LONG);
    execute_for(&mut first, "run", "job-1/0");
    first.tasks.get_mut("job-1/0").unwrap().started -= LONG;
    first.complete_tasks();
    assert_eq!(reported(&mut first), "gathering");
    execute_for(&mut last, "run", "job-1/1");
    for worker in [&mut first, &mut last] {
        worker.complete_tasks();
    }
    assert_eq!([reported(&mut first), reported(&mut last)], ["running"; 2]);
}

/// Guards against a job that was reported as done with one of two tasks completed: the tasks of a gang completed one
/// by one, and the controllers, which rely on the protocol, stopped the second task after the first completed.
#[test]
fn the_tasks_of_a_gang_complete_together_and_are_reported_as_done_also_after_a_stop() {
    let [mut first, mut last, _] = workers_for_gang(Duration::ZERO);
    execute_for(&mut first, "run", "job-1/0");
    first.complete_tasks();
    assert_eq!(reported(&mut first), "gathering");
    execute_for(&mut last, "run", "job-1/1");
    first.complete_tasks();
    assert!(first.cloud.world.lock().unwrap().nothing_runs());
    execute_for(&mut last, "stop", "job-1/1");
    assert_eq!([reported(&mut first), reported(&mut last)], ["done"; 2]);
}

/// The ways in which a task leaves its machine without completing.
const EARLY_ENDS: [fn(&mut Worker); 3] = [
    |worker| execute_for(worker, "stop", "job-1/1"),
    Worker::expire_lease,
    |worker| {
        let mut world = worker.cloud.world.lock().unwrap();
        world.release(&worker.machine);
    },
];

#[test]
fn a_gang_completes_only_after_a_task_that_ended_early_has_started_again() {
    for end_early in EARLY_ENDS {
        let [mut first, mut ended, mut next] = workers_for_gang(Duration::ZERO);
        execute_for(&mut first, "run", "job-1/0");
        execute_for(&mut ended, "run", "job-1/1");
        assert_eq!([reported(&mut first), reported(&mut ended)], ["running"; 2]);
        end_early(&mut ended);
        first.complete_tasks();
        assert_eq!(reported(&mut first), "gathering");
        execute_for(&mut next, "run", "job-1/1");
        assert_eq!([reported(&mut first), reported(&mut next)], ["running"; 2]);
        first.complete_tasks();
        assert_eq!([reported(&mut first), reported(&mut next)], ["done"; 2]);
    }
}

#[test]
fn a_stopped_task_of_a_gang_is_reported_as_stopped_also_after_the_gang_completed() {
    let [mut first, mut stopped, mut next] = workers_for_gang(Duration::ZERO);
    execute_for(&mut first, "run", "job-1/0");
    execute_for(&mut stopped, "run", "job-1/1");
    execute_for(&mut stopped, "stop", "job-1/1");
    execute_for(&mut next, "run", "job-1/1");
    first.complete_tasks();
    assert_eq!(reported(&mut first), "done");
    assert_eq!(reported(&mut stopped), "stopped");
}

#[test]
fn a_gang_does_not_complete_while_a_worker_of_its_machines_is_hung() {
    let [mut first, mut hung, _] = workers_for_gang(Duration::ZERO);
    execute_for(&mut first, "run", "job-1/0");
    execute_for(&mut hung, "run", "job-1/1");
    let world = first.cloud.world.clone();
    world.lock().unwrap().hung.insert(hung.machine.clone());
    first.complete_tasks();
    assert_eq!(reported(&mut first), "running");
    world.lock().unwrap().hung.clear();
    first.complete_tasks();
    assert_eq!([reported(&mut first), reported(&mut hung)], ["done"; 2]);
}

#[test]
fn a_gang_that_starts_again_after_its_completion_runs_again() {
    let [mut first, mut last, _] = workers_for_gang(Duration::ZERO);
    for _ in 0..2 {
        execute_for(&mut first, "run", "job-1/0");
        assert_eq!(reported(&mut first), "gathering");
        execute_for(&mut last, "run", "job-1/1");
        assert_eq!([reported(&mut first), reported(&mut last)], ["running"; 2]);
        last.complete_tasks();
        assert_eq!([reported(&mut first), reported(&mut last)], ["done"; 2]);
        for worker in [&mut first, &mut last] {
            worker.expire_lease();
        }
    }
}

#[test]
fn tasks_of_a_job_that_is_no_gang_complete_one_by_one() {
    let [mut first, mut second, _] = workers_for_gang(LONG);
    execute_for(&mut first, "run", "job-2/0");
    execute_for(&mut second, "run", "job-2/1");
    assert_eq!(
        [reported(&mut first), reported(&mut second)],
        ["running"; 2]
    );
    first.tasks.get_mut("job-2/0").unwrap().started -= LONG;
    for worker in [&mut first, &mut second] {
        worker.complete_tasks();
    }
    assert_eq!(reported(&mut first), "done");
    assert_eq!(reported(&mut second), "running");
}
