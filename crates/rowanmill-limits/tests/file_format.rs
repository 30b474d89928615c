//! The operators' file of the limits, as read: the names of its fields are an interface.

use rowanmill_config::ConfigFile;
use rowanmill_limits::LimitsConfig;
use std::fmt::Write;

const DEPLOYED: &str = include_str!("../../../deploy/limits.json");

/// Every field under its name in the file.
fn config_text(config: &LimitsConfig) -> String {
    format!(
        "change_every_s = {}\nstep = {}\nidle_after_s = {}\nreserve_after_s = {}\n",
        config.change_every_s, config.step, config.idle_after_s, config.reserve_after_s
    )
}

#[test]
fn the_file_of_the_limits_is_read_field_by_field() {
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
