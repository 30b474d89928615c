//! How the limits file is parsed: the names of its fields are an interface to operators.

use rowanmill_config::ConfigFile;
use rowanmill_limits::LimitsConfig;
use std::fmt::Write;

const DEPLOYED: &str = include_str!("../../../deploy/limits.json");

/// The value of each field, under the field's name in the file.
fn config_text(config: &LimitsConfig) -> String {
    format!(
        "change_every_s = {}\nstep = {}\nidle_after_s = {}\nreserve_after_s = {}\n",
        config.change_every_s, config.step, config.idle_after_s, config.reserve_after_s
    )
}

#[test]
fn limits_file_is_parsed_field_by_field() {
    let mut trace = String::new();
    for text in [
        DEPLOYED.trim_end(),
        "{}",
        r#"{"change_every_s": 1.5, "step": 0.25, "idle_after_s": 3, "reserve_after_s": 40.5}"#,
        r#"{"change_every_s": 1.5}"#,
        r#"{"step": 0.25}"#,
        r#"{"idle_after_s": 3.5}"#,
        r#"{"reserve_after_s": 40.5}"#,
    ] {
        let config = LimitsConfig::parse(text, "limits.json").unwrap();
        writeln!(trace, "{text}\n{}", config_text(&config)).unwrap();
    }
    insta::assert_snapshot!(trace);
}
