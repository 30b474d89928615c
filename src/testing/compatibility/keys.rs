//! The keys of all kinds of records in the scheduler's own state service.

use crate::jobs::PageId;
use crate::state::{LIVE_PREFIX, RecordKey};

#[test]
fn every_kind_of_record_keeps_its_key() {
    let keys = [
        ("what every controller follows", LIVE_PREFIX.to_owned()),
        ("job", RecordKey::Job("job-000412").to_string()),
        (
            "wide page",
            RecordKey::page("job-000412", PageId::Plain(0)).to_string(),
        ),
        (
            "dense page",
            RecordKey::page("job-000412", PageId::Compact(12)).to_string(),
        ),
        ("rental", RecordKey::Rental("r-9-2").to_string()),
        ("presence", RecordKey::Presence("millstone-0").to_string()),
        ("leader", RecordKey::Leader.to_string()),
        ("assignment", RecordKey::Assignment.to_string()),
        ("schema versions", RecordKey::SchemaVersions.to_string()),
        (
            "forecast summary",
            RecordKey::ForecastSummary("millstone-0").to_string(),
        ),
        (
            "allotments",
            RecordKey::quota_allocations("film").to_string(),
        ),
        (
            "allotments, escaped",
            RecordKey::quota_allocations("Ö l/~ 1.a_B-").to_string(),
        ),
        (
            "final state",
            RecordKey::FinalState("job-000412").to_string(),
        ),
        (
            "given up",
            RecordKey::Relinquished("job-000412").to_string(),
        ),
    ];
    let lines = keys.map(|(record, key)| format!("{record}: {key}"));
    insta::assert_snapshot!("keys", lines.join("\n"));
}
