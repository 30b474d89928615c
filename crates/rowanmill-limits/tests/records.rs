//! The record of a team's allotments and its part of a key as text, which no later change of names may
//! alter.

use rowanmill_limits::record::{key_part, team_of};
use rowanmill_limits::{AllotmentRecord, Amount, WaitingUnit};

const LIMIT: Amount = Amount {
    cpus: 64_000_000,
    cards: 8_000_000,
};

#[test]
fn allotment_records_keep_their_json() {
    let frozen = AllotmentRecord::frozen(31, LIMIT);
    let part = |cpus, cards| Amount { cpus, cards };
    let divided = AllotmentRecord {
        allotments: [
            ("millstone-0".to_owned(), part(48_000_000, 8_000_000)),
            ("millstone-1".to_owned(), part(16_000_000, 0)),
        ]
        .into(),
        ..frozen.clone()
    };
    let mut trace = String::new();
    for (form, record) in [("frozen", frozen), ("divided", divided)] {
        let json = serde_json::to_string(&record).unwrap();
        assert_eq!(AllotmentRecord::parse(&json).unwrap(), record, "{form}");
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
fn team_names_keep_their_part_of_a_key() {
    let mut trace = String::new();
    for team in ["film", "Ö l/~ 1.a_B-", ""] {
        let part = key_part(team);
        assert_eq!(team_of(&part).as_deref(), Some(team));
        trace.push_str(&format!("{team:?}: {part}\n"));
    }
    insta::assert_snapshot!("team_in_a_key", trace);
}
