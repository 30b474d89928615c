//! Invalid configuration files and settings are rejected with a message that names the field or, for malformed
//! JSON, the position.

use rowanmill_config::ConfigFile;
use rowanmill_limits::LimitsConfig;
use rowanmill_limits::teams::{SettingAmount, TeamSettings, validate_teams};

#[test]
fn omitted_fields_are_defaults_and_invalid_ones_are_named() {
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
fn invalid_teams_are_named() {
    let amount = |(cpus, gpus)| SettingAmount { cpus, gpus };
    let team = |name, guarantee, limit| TeamSettings {
        name,
        guarantee: amount(guarantee),
        limit: amount(limit),
    };
    let valid = [
        team("a", (1.0, 0.0), (2.0, 0.0)),
        team("b", (9.0, 0.0), (0.0, 0.0)),
    ];
    assert!(validate_teams(valid.into_iter()).is_ok());
    let too_long = "x".repeat(61);
    let invalid = [
        vec![team("a", (3.0, 0.0), (2.0, 0.0))],
        vec![team("a", (0.0, 2.0), (0.0, 1.0))],
        vec![team("a", (0.0, 0.0), (f64::INFINITY, 0.0))],
        vec![team("a", (-1.0, 0.0), (0.0, 0.0))],
        vec![team("a", (0.0, 0.0), (1e9, 0.0))],
        vec![team("", (0.0, 0.0), (1.0, 0.0))],
        vec![team(&too_long, (0.0, 0.0), (1.0, 0.0))],
        vec![
            team("a", (0.0, 0.0), (1.0, 0.0)),
            team("a", (0.0, 0.0), (1.0, 0.0)),
        ],
    ];
    let messages = invalid.map(|teams| {
        let problem = validate_teams(teams.into_iter()).unwrap_err();
        LimitsConfig::error("f", problem).to_string()
    });
    insta::assert_snapshot!(messages.join("\n"));
}
