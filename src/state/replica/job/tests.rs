use super::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

fn job(tasks: u32) -> Job {
    let spec = json!({"nameId":"job-1","grist":"c","crew":"t","shape":"array",
        "urgency":"standard","sacks":tasks,"cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i",
        "pullGb":1.0,"together":false,"spread":false,"borrowed":true,"grindS":10.0,
        "bankS":0.0,"bankWriteS":0.0});
    let record = serde_json::from_value(json!({"spec": spec, "accepted_ms": 0}));
    Job::new(record.unwrap(), 1)
}

fn random_page(max_tasks: usize, rng: &mut StdRng) -> Versioned<ProgressPage> {
    let count = rng.random_range(0..=max_tasks);
    let records = (0..count).map(|_| match rng.random_range(0..3) {
        0 => TaskRecord::Done,
        last => TaskRecord::Waiting { last },
    });
    Versioned {
        record: ProgressPage(records.collect()),
        revision: 1,
    }
}

fn random_job(layout: &PageLayout, rng: &mut StdRng) -> Job {
    let mut job = job(rng.random_range(1..200));
    for number in 0..30 {
        if rng.random_bool(0.3) {
            let page = random_page(layout.plain_tasks, rng);
            job.pages.insert(PageId::Plain(number), page);
        }
        if layout.uses_compact() && rng.random_bool(0.3) {
            let page = random_page(layout.compact_tasks, rng);
            job.pages.insert(PageId::Compact(number), page);
        }
    }
    job
}

/// The records by segments are the same as those looked up task by task, whichever of a job's pages exist, how long
/// they are, and whether the two encodings divide the tasks alike.
#[test]
fn segments_hold_the_record_of_each_task_once() {
    let mut rng = StdRng::seed_from_u64(3);
    for (plain_tasks, compact_tasks) in [(20, 20), (20, 10), (20, 7), (9, 8)] {
        let layout = PageLayout {
            plain_tasks,
            compact_tasks,
            value_bytes: 8192,
        };
        for _ in 0..100 {
            let job = random_job(&layout, &mut rng);
            let mut records = Vec::new();
            for segment in job.segments(&layout) {
                let recorded = segment
                    .recorded()
                    .map(|(task, record)| (task, record.clone()));
                records.extend(recorded);
                let rest = segment.never_started();
                records.extend(rest.map(|task| (task, TaskRecord::NEVER_STARTED)));
            }
            let tasks = 0..job.record.spec.tasks;
            let expected = tasks.map(|task| (task, job.task_record(&layout, task).clone()));
            assert_eq!(records, expected.collect::<Vec<_>>(), "{layout:?} {job:?}");
        }
    }
}

/// Guards against work for each task of a job of which nothing is recorded: the job's end, and each change of it, took
/// time with its tasks while the state was locked.
#[test]
fn a_job_without_pages_is_one_segment() {
    let layout = PageLayout {
        plain_tasks: 200,
        compact_tasks: 50,
        value_bytes: 8192,
    };
    let mut job = job(100_000);
    assert_eq!(job.segments(&layout).count(), 1);
    assert!(job.recorded_tasks(&layout).is_empty());
    let page = Versioned {
        record: ProgressPage(vec![TaskRecord::Done]),
        revision: 1,
    };
    job.pages.insert(PageId::Plain(400), page);
    assert_eq!(job.segments(&layout).count(), 2_000);
    assert_eq!(job.recorded_tasks(&layout), [(80_000, TaskRecord::Done)]);
}
