use super::*;

/// A layout that does not use compact pages.
pub fn plain_layout(tasks_per_page: usize) -> PageLayout {
    PageLayout {
        plain_tasks: tasks_per_page,
        compact_tasks: tasks_per_page,
        value_bytes: 8192,
    }
}

/// A page is rejected if a task's code refers to a machine that is not in the list, or if it is not in the compact
/// encoding.
#[test]
fn a_compact_page_reads_back_as_written() {
    let placed = |attempt, machine: &str, incarnation| TaskRecord::Placed {
        attempt,
        machine: machine.into(),
        incarnation,
    };
    let page = ProgressPage(vec![
        TaskRecord::default(),
        placed(3, "vm-000231", 1),
        TaskRecord::Done,
        TaskRecord::Waiting { last: 7 },
        placed(1, "vm-000017", 4),
        placed(12, "vm-000231", 1),
    ]);
    let text = serde_json::to_string(&page.to_compact()).unwrap();
    insta::assert_snapshot!(text, @r#"{"m":["vm-000231","vm-000017"],"s":[1,4],"t":[0,3000,-1,-8,1001,12000]}"#);
    assert_eq!(ProgressPage::from_compact(&text).unwrap(), page);
    assert!(ProgressPage::from_compact(r#"{"m":["vm-1"],"t":[1001]}"#).is_err());
    assert!(ProgressPage::from_compact("[1,true]").is_err());
}

#[test]
fn a_plain_page_reads_back_as_written() {
    let mut page = ProgressPage::default();
    page.set(1, TaskRecord::Done);
    page.set(
        3,
        TaskRecord::Placed {
            attempt: 2,
            machine: "vm-000231".into(),
            incarnation: 1,
        },
    );
    let text = serde_json::to_string(&page).unwrap();
    insta::assert_snapshot!(text, @r#"[0,true,0,[2,"vm-000231",1]]"#);
    assert_eq!(serde_json::from_str::<ProgressPage>(&text).unwrap(), page);
}
