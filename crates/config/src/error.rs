//! Errors in a configuration, and the locations that they name.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Where a value was stated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// In a file.
    File {
        /// The file.
        path: PathBuf,
        /// The line, counting from 1.
        line: usize,
        /// The column in characters, counting from 1.
        column: usize,
    },
    /// In the environment variable of this name.
    Environment(String),
    /// In a flag, with its text as it was given.
    Flag(String),
    /// Nowhere: a required value is missing.
    Unstated,
}

impl fmt::Display for Location {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Location::File { path, line, column } => {
                write!(formatter, "{}:{line}:{column}", path.display())
            }
            Location::Environment(name) => write!(formatter, "environment {name}"),
            Location::Flag(text) => write!(formatter, "flag {text}"),
            Location::Unstated => formatter.write_str("configuration"),
        }
    }
}

/// A value that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// Where it was stated.
    pub location: Location,
    /// The key's path, such as `class[1].aim`; empty if the text could not be parsed at all.
    pub key: String,
    /// What is wrong, and what would be allowed.
    pub reason: String,
    /// The most similar known name, if one is similar enough.
    pub suggestion: Option<String>,
}

impl fmt::Display for InvalidValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.location)?;
        if !self.key.is_empty() {
            write!(formatter, "{}: ", self.key)?;
        }
        formatter.write_str(&self.reason)?;
        match &self.suggestion {
            Some(name) => write!(formatter, " (did you mean `{name}`?)"),
            None => Ok(()),
        }
    }
}

/// Why a configuration was rejected. Nothing of a rejected configuration takes effect.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file could not be read.
    #[error("cannot read {path}: {source}", path = path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error of the failed read.
        source: io::Error,
    },
    /// A value cannot be used.
    #[error("{0}")]
    Invalid(InvalidValue),
}

impl ConfigError {
    /// An invalid value without a suggestion.
    pub(crate) fn invalid(location: Location, key: &str, reason: impl Into<String>) -> ConfigError {
        ConfigError::Invalid(InvalidValue {
            location,
            key: key.into(),
            reason: reason.into(),
            suggestion: None,
        })
    }
}
