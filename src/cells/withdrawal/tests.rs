use super::*;

fn pages(layout: PageLayout, tasks: u32) -> Vec<PageId> {
    progress_pages(&layout, tasks).collect()
}

/// A page without a precondition could record a start that the withdrawal does not notice. Every page that can
/// record a start of the job must be covered, in either encoding.
#[test]
fn all_pages_of_a_job_are_covered() {
    let plain_only = PageLayout {
        plain_tasks: 10,
        compact_tasks: 10,
        value_bytes: 1000,
    };
    assert_eq!(pages(plain_only, 1), [PageId::Plain(0)]);
    assert_eq!(pages(plain_only, 11), [PageId::Plain(0), PageId::Plain(1)]);
    let both = PageLayout {
        compact_tasks: 4,
        ..plain_only
    };
    for tasks in 1..60 {
        let pages = pages(both, tasks);
        for task in 0..tasks {
            assert!(
                pages.contains(&both.plain_page_of(task)),
                "no plain page for task {task} of {tasks}"
            );
            assert!(
                pages.contains(&both.compact_page_of(task)),
                "no compact page for task {task} of {tasks}"
            );
        }
    }
}
