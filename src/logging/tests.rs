use super::*;

#[test]
fn known_levels_are_parsed_and_others_refused() {
    let parsed = |text: &str| text.parse::<LogLevel>();
    assert_eq!(parsed("error"), Ok(LogLevel(Level::ERROR)));
    assert_eq!(parsed("info"), Ok(LogLevel(Level::INFO)));
    assert_eq!(parsed(""), Ok(LogLevel(Level::INFO)), "the default");
    assert_eq!(parsed("debug"), Ok(LogLevel(Level::DEBUG)));
    for unknown in ["trace", "warn", "INFO", "loud"] {
        assert_eq!(parsed(unknown), Err(UnknownLevel), "{unknown}");
    }
}
