use super::*;

#[test]
fn a_task_id_round_trips_through_its_text_form() {
    let task = TaskId::new("job-000412", 3);
    assert_eq!(task.to_string(), "job-000412/3");
    assert_eq!("job-000412/3".parse(), Ok(task));
    for name in [
        "job-000412",
        "task-1/3",
        "job-1/",
        "job-1/-1",
        "job-1/2/3",
        "/3",
    ] {
        assert_eq!(name.parse::<TaskId>(), Err(TaskIdError), "{name}");
    }
}

#[test]
fn tasks_order_by_job_then_by_index() {
    let ordered = [("job-1", 9), ("job-1", 10), ("job-2", 0)];
    let tasks = ordered.map(|(job, index)| TaskId::new(job, index));
    assert!(tasks.is_sorted());
    assert!(tasks.iter().map(TaskId::borrowed).is_sorted());
}
