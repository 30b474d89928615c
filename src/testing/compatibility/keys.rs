//! Every key of this scheduler's own state service.

use crate::jobs::PageId;
use crate::state::{
    ASSIGNMENT_KEY, FORMS_KEY, LEADER_KEY, LIVE, allocation_key, final_key, given_up_key, job_key,
    outlook_key, page_key, presence_key, rental_key,
};

#[test]
fn every_kind_of_record_keeps_its_key() {
    let keys = [
        ("what every controller follows", LIVE.to_owned()),
        ("job", job_key("job-000412")),
        ("wide page", page_key("job-000412", PageId::Plain(0))),
        ("dense page", page_key("job-000412", PageId::Compact(12))),
        ("rental", rental_key("r-9-2")),
        ("presence", presence_key("millstone-0")),
        ("leader", LEADER_KEY.to_owned()),
        ("assignment", ASSIGNMENT_KEY.to_owned()),
        ("schema versions", FORMS_KEY.to_owned()),
        ("forecast summary", outlook_key("millstone-0")),
        ("allotments", allocation_key("film")),
        ("allotments, escaped", allocation_key("Ö l/~ 1.a_B-")),
        ("final state", final_key("job-000412")),
        ("given up", given_up_key("job-000412")),
    ];
    let lines = keys.map(|(record, key)| format!("{record}: {key}"));
    insta::assert_snapshot!("keys", lines.join("\n"));
}
