use super::*;

fn submitted(job: &str) -> Event {
    Event::Submitted {
        job: job.to_owned(),
        tasks: 1,
    }
}

fn told(job: &str, stage: Told) -> Event {
    let job = job.to_owned();
    Event::Told { job, stage }
}

fn started(task: &str, machine: &str) -> Event {
    Event::Started {
        task: task.to_owned(),
        machine: machine.to_owned(),
    }
}

fn left(task: &str, completed: bool) -> Event {
    let task = task.to_owned();
    Event::Left { task, completed }
}

fn violations(events: &[Event]) -> Vec<String> {
    let mut history = History::default();
    for event in events {
        history.note(event.clone());
    }
    let violations = history.violations(true);
    violations.iter().map(ToString::to_string).collect()
}

#[test]
fn a_right_history_passes() {
    let right = [
        submitted("job-1"),
        told("job-1", Told::Open),
        started("job-1/0", "vm-1"),
        left("job-1/0", false),
        started("job-1/0", "vm-2"),
        left("job-1/0", true),
        told("job-1", Told::Done),
        told("job-1", Told::Done),
        submitted("job-2"),
        told("job-2", Told::Open),
        told("job-2", Told::Cancelled),
        told("job-3", Told::Unknown),
    ];
    assert_eq!(violations(&right), Vec::<String>::new());
}

/// The checker is able to fail, on each kind of wrong history.
#[test]
fn wrong_histories_are_found() {
    let accepted = [submitted("job-1"), told("job-1", Told::Open)];
    let wrong: [(&str, &[Event]); 8] = [
        ("a lost job", &[]),
        (
            "an overlap",
            &[started("job-1/0", "vm-1"), started("job-1/0", "vm-2")],
        ),
        (
            "two ends",
            &[
                told("job-1", Told::Cancelled),
                started("job-2/0", "vm-1"),
                told("job-1", Told::Done),
            ],
        ),
        (
            "an end taken back",
            &[told("job-1", Told::Cancelled), told("job-1", Told::Open)],
        ),
        ("done too early", &[told("job-1", Told::Done)]),
        (
            "a start after a cancellation",
            &[told("job-1", Told::Cancelled), started("job-1/0", "vm-1")],
        ),
        ("forgotten", &[told("job-1", Told::Unknown)]),
        (
            "invented",
            &[told("job-1", Told::Cancelled), told("job-9", Told::Open)],
        ),
    ];
    let mut trace = String::new();
    for (what, events) in wrong {
        let all: Vec<Event> = accepted.iter().chain(events).cloned().collect();
        let found = violations(&all);
        assert!(!found.is_empty(), "{what} goes unnoticed");
        trace.push_str(&format!("{what}: {}\n", found.join("; ")));
    }
    insta::assert_snapshot!(trace, @r"
    a lost job: job-1 is lost
    an overlap: job-1/0 starts on vm-2 while it is on vm-1; job-1 is lost
    two ends: job-1 was told Cancelled and then Done
    an end taken back: job-1 was told Cancelled and then Open
    done too early: job-1 was told done with 0 of 1 tasks completed
    a start after a cancellation: job-1/0 starts after its job's cancellation was told
    forgotten: job-1 is lost; job-1 is lost
    invented: job-9 was never submitted
    ");
}
