//! Configuration files: how each is read and checked, and the errors that name the file and the field at
//! fault. What a field means, and which values make sense, is for the type that is read.
#![deny(missing_docs)]

use serde::de::DeserializeOwned;
use std::borrow::Cow;
use std::path::Path;

/// Why a configuration file was refused. The message is one line and names the file.
#[derive(Debug, thiserror::Error)]
#[error("{kind} {path}: {problem}")]
pub struct ConfigError {
    /// What the file is for, as messages call it: `settings`, `cells`, `limits`, `policy`.
    pub kind: &'static str,
    /// The file's path, as it was given.
    pub path: String,
    /// What is wrong with it.
    #[source]
    pub problem: ConfigProblem,
}

/// What is wrong with a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigProblem {
    /// There is no such file, or it may not be read.
    #[error("cannot be read: {0}")]
    Unreadable(#[source] std::io::Error),
    /// It is not JSON, or a field is missing, unknown or of another type.
    #[error("{0}")]
    Malformed(#[source] serde_json::Error),
    /// A value makes no sense.
    #[error(transparent)]
    Invalid(#[from] InvalidField),
}

/// A field whose value makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("field `{field}`: {reason}")]
pub struct InvalidField {
    /// The field's path in the file, such as `spill.ranking`.
    pub field: Cow<'static, str>,
    /// What is wrong with it.
    pub reason: String,
}

impl InvalidField {
    /// Names a field and what is wrong with it.
    pub fn new(field: impl Into<Cow<'static, str>>, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

/// The content of a configuration file in JSON.
pub trait ConfigFile: DeserializeOwned {
    /// What messages call the file.
    const KIND: &'static str;

    /// Refuses values that make no sense, by the first field at fault.
    fn validate(&self) -> Result<(), InvalidField>;

    /// Reads the other files that this one names by paths relative to its own folder.
    fn load_referenced(&mut self, _folder: &Path) -> Result<(), InvalidField> {
        Ok(())
    }

    /// Reads and checks a file.
    fn load(path: &Path) -> Result<Self, ConfigError> {
        let shown = path.display().to_string();
        let mut config = Self::parse(&read_text(Self::KIND, path)?, &shown)?;
        let folder = path.parent().unwrap_or(Path::new("."));
        config
            .load_referenced(folder)
            .map_err(|problem| Self::error(&shown, problem))?;
        Ok(config)
    }

    /// Reads and checks a file as [`ConfigFile::load`] does, then by what is known from elsewhere.
    fn load_checked(
        path: &Path,
        check: impl FnOnce(&Self) -> Result<(), InvalidField>,
    ) -> Result<Self, ConfigError> {
        let config = Self::load(path)?;
        check(&config).map_err(|problem| Self::error(&path.display().to_string(), problem))?;
        Ok(config)
    }

    /// Reads and checks the text of a file that messages call `path`. Other files are not read.
    fn parse(text: &str, path: &str) -> Result<Self, ConfigError> {
        let malformed = |source| Self::error(path, ConfigProblem::Malformed(source));
        let config: Self = serde_json::from_str(text).map_err(malformed)?;
        config
            .validate()
            .map_err(|problem| Self::error(path, problem))?;
        Ok(config)
    }

    /// A problem of the file of this kind at `path`.
    fn error(path: &str, problem: impl Into<ConfigProblem>) -> ConfigError {
        ConfigError {
            kind: Self::KIND,
            path: path.to_owned(),
            problem: problem.into(),
        }
    }
}

/// Reads the text of a file of the `kind` that messages name.
pub fn read_text(kind: &'static str, path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError {
        kind,
        path: path.display().to_string(),
        problem: ConfigProblem::Unreadable(source),
    })
}

#[cfg(test)]
mod tests;
