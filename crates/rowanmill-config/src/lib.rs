//! Loading and validation of configuration files. An error names the file and, where it concerns one, the
//! field. The meaning of the fields and their valid values are defined by the types that implement
//! [`ConfigFile`].
#![deny(missing_docs)]

use serde::de::DeserializeOwned;
use std::borrow::Cow;
use std::path::Path;

/// The error for a configuration file that was rejected. Its message is one line and names the file.
#[derive(Debug, thiserror::Error)]
#[error("{kind} {path}: {problem}")]
pub struct ConfigError {
    /// The kind of file that the message names: `settings`, `cells`, `limits` or `policy`.
    pub kind: &'static str,
    /// The path of the file, as passed by the caller.
    pub path: String,
    /// The reason for the rejection.
    #[source]
    pub problem: ConfigProblem,
}

/// Why a configuration file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigProblem {
    /// The file does not exist, or reading it failed.
    #[error("cannot be read: {0}")]
    Unreadable(#[source] std::io::Error),
    /// The text is not JSON, or does not have the structure of the type: a required field is missing, a value
    /// has another type, or a field is unknown to a type that rejects unknown fields.
    #[error("{0}")]
    Malformed(#[source] serde_json::Error),
    /// The value of a field is invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidField),
}

/// A field with an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("field `{field}`: {reason}")]
pub struct InvalidField {
    /// The field's path in the file, such as `spill.ranking`.
    pub field: Cow<'static, str>,
    /// Why the value is invalid.
    pub reason: String,
}

impl InvalidField {
    /// Creates an error for a field, with the reason.
    pub fn new(field: impl Into<Cow<'static, str>>, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

/// A type that is read from a JSON configuration file.
pub trait ConfigFile: DeserializeOwned {
    /// The kind of file, as error messages name it.
    const KIND: &'static str;

    /// Checks the values of the fields; returns an error for the first invalid one.
    fn validate(&self) -> Result<(), InvalidField>;

    /// Reads the other files that this one refers to. Their paths are relative to `folder`, the folder of this
    /// file.
    fn load_referenced(&mut self, _folder: &Path) -> Result<(), InvalidField> {
        Ok(())
    }

    /// Reads and validates a file and the files that it refers to.
    fn load(path: &Path) -> Result<Self, ConfigError> {
        let shown = path.display().to_string();
        let mut config = Self::parse(&read_text(Self::KIND, path)?, &shown)?;
        let folder = path.parent().unwrap_or(Path::new("."));
        config
            .load_referenced(folder)
            .map_err(|problem| Self::error(&shown, problem))?;
        Ok(config)
    }

    /// Like [`ConfigFile::load`], with `check` as an additional validation against data from outside the file.
    fn load_checked(
        path: &Path,
        check: impl FnOnce(&Self) -> Result<(), InvalidField>,
    ) -> Result<Self, ConfigError> {
        let config = Self::load(path)?;
        check(&config).map_err(|problem| Self::error(&path.display().to_string(), problem))?;
        Ok(config)
    }

    /// Parses and validates the text of a file. `path` is only used in error messages, and files that this one
    /// refers to are not read.
    fn parse(text: &str, path: &str) -> Result<Self, ConfigError> {
        let malformed = |source| Self::error(path, ConfigProblem::Malformed(source));
        let config: Self = serde_json::from_str(text).map_err(malformed)?;
        config
            .validate()
            .map_err(|problem| Self::error(path, problem))?;
        Ok(config)
    }

    /// Creates the error for a file of this kind at `path`.
    fn error(path: &str, problem: impl Into<ConfigProblem>) -> ConfigError {
        ConfigError {
            kind: Self::KIND,
            path: path.to_owned(),
            problem: problem.into(),
        }
    }
}

/// Reads the text of a file. `kind` is the kind of file that the error message names.
pub fn read_text(kind: &'static str, path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError {
        kind,
        path: path.display().to_string(),
        problem: ConfigProblem::Unreadable(source),
    })
}

#[cfg(test)]
mod tests;
