//! The log: one line an event on standard error, without colours, times or modules, which the platform
//! adds.

use std::str::FromStr;
use tracing::Level;

/// The environment variable with the lowest level that is logged.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// A level that `LOG_LEVEL` may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LogLevel(Level);

/// The text names none of the levels.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a log level")]
struct UnknownLevel;

impl FromStr for LogLevel {
    type Err = UnknownLevel;

    /// An empty text means the default, `info`.
    fn from_str(text: &str) -> Result<Self, UnknownLevel> {
        match text {
            "error" => Ok(Self(Level::ERROR)),
            "" | "info" => Ok(Self(Level::INFO)),
            "debug" => Ok(Self(Level::DEBUG)),
            _ => Err(UnknownLevel),
        }
    }
}

/// Starts logging at the level of `LOG_LEVEL`; at `info`, with a line that says so, if it names none.
/// To be called once a process.
pub fn init() {
    let wanted = std::env::var(LEVEL_VARIABLE).unwrap_or_default();
    let level = wanted.parse::<LogLevel>();
    let LogLevel(max_level) = level.unwrap_or(LogLevel(Level::INFO));
    tracing_subscriber::fmt()
        .with_max_level(max_level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .init();
    if level.is_err() {
        tracing::info!(
            wanted,
            "LOG_LEVEL is none of error, info, debug: using info"
        );
    }
}

#[cfg(test)]
mod tests;
