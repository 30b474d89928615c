//! Logs to standard error, one line per event, without colours. Times and module names are left out, because
//! the platform adds them.

use std::str::FromStr;
use tracing::Level;

/// The environment variable that names the lowest severity to log.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// A level that `LOG_LEVEL` may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LogLevel(Level);

/// The text is not the name of a level that can be set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a log level")]
struct UnknownLevel;

impl FromStr for LogLevel {
    type Err = UnknownLevel;

    /// An empty text selects the default, `info`.
    fn from_str(text: &str) -> Result<Self, UnknownLevel> {
        match text {
            "error" => Ok(Self(Level::ERROR)),
            "" | "info" => Ok(Self(Level::INFO)),
            "debug" => Ok(Self(Level::DEBUG)),
            _ => Err(UnknownLevel),
        }
    }
}

/// Starts logging at the level that `LOG_LEVEL` names. If it names none, logs at `info` and reports that.
/// Must be called at most once per process.
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
            "LOG_LEVEL is not one of error, info, debug; using info"
        );
    }
}

#[cfg(test)]
mod tests;
