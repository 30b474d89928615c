//! The stored JSON of a team's quota allocations and of waiting units, and the encoding of team names in keys.
//! Renaming an identifier must change none of them.

use rowanmill_limits::key::{decode_team, encode_team};
use rowanmill_limits::{AllocationRecord, ResourceAmount, WaitingUnit};

const LIMIT: ResourceAmount = ResourceAmount {
    micro_cpus: 64_000_000,
    micro_gpus: 8_000_000,
};

#[test]
fn allocation_records_keep_their_json() {
    let frozen = AllocationRecord::frozen(31, LIMIT);
    let amount = |micro_cpus, micro_gpus| ResourceAmount {
        micro_cpus,
        micro_gpus,
    };
    let divided = AllocationRecord {
        allocations: [
            ("millstone-0".to_owned(), amount(48_000_000, 8_000_000)),
            ("millstone-1".to_owned(), amount(16_000_000, 0)),
        ]
        .into(),
        ..frozen.clone()
    };
    let mut trace = String::new();
    for (form, record) in [("frozen", frozen), ("divided", divided)] {
        let json = serde_json::to_string(&record).unwrap();
        assert_eq!(AllocationRecord::parse(&json).unwrap(), record, "{form}");
        trace.push_str(&format!("# {form}\n{json}\n"));
    }
    insta::assert_snapshot!("allotment_record", trace);
}

#[test]
fn waiting_unit_keeps_its_json() {
    let mut trace = String::new();
    for is_gang in [false, true] {
        let unit = WaitingUnit {
            since_ms: 1_796_178_938_037,
            job: "job-000412".into(),
            need: LIMIT,
            is_gang,
        };
        let json = serde_json::to_string(&unit).unwrap();
        assert_eq!(serde_json::from_str::<WaitingUnit>(&json).unwrap(), unit);
        trace.push_str(&format!("{json}\n"));
    }
    insta::assert_snapshot!("waiting_unit", trace);
}

#[test]
fn team_names_keep_their_encoding_in_keys() {
    let mut trace = String::new();
    for team in ["film", "Ö l/~ 1.a_B-", ""] {
        let encoded = encode_team(team);
        assert_eq!(decode_team(&encoded).as_deref(), Some(team));
        trace.push_str(&format!("{team:?}: {encoded}\n"));
    }
    insta::assert_snapshot!("team_in_a_key", trace);
}
