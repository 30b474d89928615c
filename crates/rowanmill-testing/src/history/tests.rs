use super::*;

fn submitted(job: &str) -> Event {
    Event::Submitted {
        job: job.to_owned(),
        tasks: 1,
    }
}

fn reported(job: &str, stage: ReportedStage) -> Event {
    let job = job.to_owned();
    Event::StageReported { job, stage }
}

fn started(task: &str, machine: &str) -> Event {
    Event::Started {
        task: task.to_owned(),
        machine: machine.to_owned(),
    }
}

fn ended(task: &str, completed: bool) -> Event {
    let task = task.to_owned();
    Event::Ended { task, completed }
}

fn violations(events: &[Event]) -> Vec<String> {
    let mut history = History::default();
    for event in events {
        history.record(event.clone());
    }
    let violations = history.violations(true);
    violations.iter().map(ToString::to_string).collect()
}

#[test]
fn a_consistent_history_has_no_violations() {
    let consistent = [
        submitted("job-1"),
        reported("job-1", ReportedStage::Open),
        started("job-1/0", "vm-1"),
        ended("job-1/0", false),
        started("job-1/0", "vm-2"),
        ended("job-1/0", true),
        reported("job-1", ReportedStage::Done),
        reported("job-1", ReportedStage::Done),
        submitted("job-2"),
        reported("job-2", ReportedStage::Open),
        reported("job-2", ReportedStage::Cancelled),
        reported("job-3", ReportedStage::Unknown),
    ];
    assert_eq!(violations(&consistent), Vec::<String>::new());
}

#[test]
fn each_kind_of_violation_is_found() {
    let accepted = [submitted("job-1"), reported("job-1", ReportedStage::Open)];
    let contradictory: [(&str, &[Event]); 8] = [
        ("a lost job", &[]),
        (
            "an overlap",
            &[started("job-1/0", "vm-1"), started("job-1/0", "vm-2")],
        ),
        (
            "another final stage",
            &[
                reported("job-1", ReportedStage::Cancelled),
                started("job-2/0", "vm-1"),
                reported("job-1", ReportedStage::Done),
            ],
        ),
        (
            "no longer in a final stage",
            &[
                reported("job-1", ReportedStage::Cancelled),
                reported("job-1", ReportedStage::Open),
            ],
        ),
        ("done too early", &[reported("job-1", ReportedStage::Done)]),
        (
            "a start after a cancellation",
            &[
                reported("job-1", ReportedStage::Cancelled),
                started("job-1/0", "vm-1"),
            ],
        ),
        (
            "an accepted job that is unknown",
            &[reported("job-1", ReportedStage::Unknown)],
        ),
        (
            "a job that was not submitted",
            &[
                reported("job-1", ReportedStage::Cancelled),
                reported("job-9", ReportedStage::Open),
            ],
        ),
    ];
    let mut trace = String::new();
    for (what, events) in contradictory {
        let all: Vec<Event> = accepted.iter().chain(events).cloned().collect();
        let found = violations(&all);
        assert!(!found.is_empty(), "no violation is found for {what:?}");
        trace.push_str(&format!("{what}: {}\n", found.join("; ")));
    }
    insta::assert_snapshot!(trace, @r"
    a lost job: job-1 is lost
    an overlap: job-1/0 starts on vm-2 while it runs on vm-1; job-1 is lost
    another final stage: job-1 was reported as Cancelled and then as Done
    no longer in a final stage: job-1 was reported as Cancelled and then as Open
    done too early: job-1 was reported as done with 0 of 1 tasks completed
    a start after a cancellation: job-1/0 starts after its job was reported as cancelled
    an accepted job that is unknown: job-1 is lost; job-1 is lost
    a job that was not submitted: job-9 was reported but never submitted
    ");
}
