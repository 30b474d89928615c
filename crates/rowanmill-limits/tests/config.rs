//! Files and settings that are refused, by name.

use rowanmill_limits::LimitsConfig;
use rowanmill_limits::config::{TeamAmounts, check_teams};

#[test]
fn what_is_left_out_is_the_default_and_what_is_wrong_is_named() {
    assert_eq!(
        LimitsConfig::parse("{}", "f").unwrap(),
        LimitsConfig::default()
    );
    let messages = [
        r#"{"step": 0.7}"#,
        r#"{"change_every_s": 0}"#,
        r#"{"reserve_after_s": -1}"#,
        r#"{"unknown": 1}"#,
        "[",
    ]
    .map(|text| LimitsConfig::parse(text, "f").unwrap_err().to_string());
    insta::assert_snapshot!(messages.join("\n"));
}

#[test]
fn teams_whose_amounts_cannot_be_are_named() {
    let team = |name, guarantee, limit| TeamAmounts {
        name,
        guarantee,
        limit,
    };
    let fine = [
        team("a", (1.0, 0.0), (2.0, 0.0)),
        team("b", (9.0, 0.0), (0.0, 0.0)),
    ];
    assert!(check_teams(fine.into_iter(), "f").is_ok());
    let long = "x".repeat(61);
    let bad = [
        vec![team("a", (3.0, 0.0), (2.0, 0.0))],
        vec![team("a", (0.0, 2.0), (0.0, 1.0))],
        vec![team("a", (0.0, 0.0), (f64::INFINITY, 0.0))],
        vec![team("a", (-1.0, 0.0), (0.0, 0.0))],
        vec![team("a", (0.0, 0.0), (1e9, 0.0))],
        vec![team("", (0.0, 0.0), (1.0, 0.0))],
        vec![team(&long, (0.0, 0.0), (1.0, 0.0))],
        vec![
            team("a", (0.0, 0.0), (1.0, 0.0)),
            team("a", (0.0, 0.0), (1.0, 0.0)),
        ],
    ];
    let messages = bad.map(|teams| check_teams(teams.into_iter(), "f").unwrap_err().to_string());
    insta::assert_snapshot!(messages.join("\n"));
}
