use super::*;

#[test]
fn live_keys_are_formatted_and_parsed() {
    let live = [
        RecordKey::Job("job-1"),
        RecordKey::PlainPage {
            job: "job-1",
            number: 0,
        },
        RecordKey::CompactPage {
            job: "job-1",
            number: 12,
        },
        RecordKey::Rental("r-9-2"),
        RecordKey::Presence("member-0"),
        RecordKey::ForecastSummary("member-0"),
        RecordKey::quota_allocations("Ö l/~ 1.a_B-"),
        RecordKey::SchemaVersions,
        RecordKey::Leader,
        RecordKey::Assignment,
    ];
    for key in live {
        assert_eq!(RecordKey::parse_live(&key.to_string()), Some(key));
    }
}

#[test]
fn other_keys_are_not_parsed_as_live() {
    let malformed = [
        "",
        "r/",
        "r/j",
        "r/p/job-1",
        "r/p/job-1/x",
        "r/q/job-1/",
        "r/unknown",
        "r/z/1",
        "j/job-1",
    ];
    for key in malformed {
        assert_eq!(RecordKey::parse_live(key), None, "{key}");
    }
    let outside_live_prefix = [
        RecordKey::FinalState("job-1"),
        RecordKey::Relinquished("job-1"),
    ];
    for key in outside_live_prefix {
        let key = key.to_string();
        assert_eq!(RecordKey::parse_live(&key), None, "{key}");
    }
}
