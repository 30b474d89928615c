//! Formats of the client's output.

use clap::ValueEnum;
use serde::Serialize;

/// The format of a command's output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Plain text for people
    Text,
    /// A line of JSON for scripts, with the version of its format
    Json,
}

impl OutputFormat {
    /// Renders an answer in this format: as the text, or as a line of JSON.
    pub fn render(self, answer: &impl Serialize, text: impl FnOnce() -> String) -> String {
        match self {
            OutputFormat::Text => text(),
            OutputFormat::Json => {
                serde_json::to_string(answer).expect("answers always serialize") + "\n"
            }
        }
    }
}
