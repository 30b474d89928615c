//! How answers are written.

use clap::ValueEnum;
use serde::Serialize;

/// The format of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// For people
    Text,
    /// For scripts, in a format with a version
    Json,
}

impl OutputFormat {
    /// An answer in this format: the text, or a line of JSON.
    pub fn render(self, answer: &impl Serialize, text: impl FnOnce() -> String) -> String {
        match self {
            OutputFormat::Text => text(),
            OutputFormat::Json => {
                serde_json::to_string(answer).expect("answers are plain data") + "\n"
            }
        }
    }
}
