use super::*;
use crate::jobs::{ProgressPage, TaskRecord};

/// Size of a page on which all tasks are started with the shortest record.
fn smallest_full_page(id: PageId, tasks: usize) -> usize {
    let started = TaskRecord::Placed {
        attempt: 1,
        machine: "m".into(),
        incarnation: 1,
    };
    ProgressPage(vec![started; tasks]).bytes(id)
}

/// A gang is only refused a start if no transaction could hold it: the bounds are below the size of any record.
#[test]
fn no_record_is_smaller_than_assumed() {
    let tasks = 100;
    let plain = smallest_full_page(PageId::Plain(0), tasks);
    let compact = smallest_full_page(PageId::Compact(0), tasks);
    assert!(plain >= MIN_PLAIN_PLACED_BYTES * tasks, "{plain}");
    assert!(compact >= MIN_COMPACT_PLACED_BYTES * tasks, "{compact}");
}

#[test]
fn both_the_pages_and_the_bytes_limit_a_gang() {
    let layout = PageLayout {
        plain_tasks: 40,
        compact_tasks: 40,
        value_bytes: 8192,
    };
    assert_eq!(max_tasks(&layout, PageId::Plain(0), 24), 960);
    let bytes_limit = MAX_BODY_BYTES / MIN_PLAIN_PLACED_BYTES;
    assert_eq!(max_tasks(&layout, PageId::Plain(0), 100_000), bytes_limit);
}
