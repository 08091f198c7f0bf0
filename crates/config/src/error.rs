use std::fmt;
use std::io;
use std::path::PathBuf;

/// Where a value was stated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// In a file; line and column count from 1.
    File {
        /// The file.
        path: PathBuf,
        /// Its line.
        line: usize,
        /// Its column.
        column: usize,
    },
    /// In a variable of the environment.
    Environment(String),
    /// In a flag.
    Flag(String),
    /// Nowhere: a value that is needed is missing.
    Nowhere,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::File { path, line, column } => write!(f, "{}:{line}:{column}", path.display()),
            Place::Environment(name) => write!(f, "environment {name}"),
            Place::Flag(text) => write!(f, "flag {text}"),
            Place::Nowhere => f.write_str("configuration"),
        }
    }
}

/// One value that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Where it was stated.
    pub place: Place,
    /// The key's path, such as `class[1].aim`; empty where the text can't be read at all.
    pub key: String,
    /// What is wrong, and what would be allowed.
    pub what: String,
    /// The nearest known name, if there is one near.
    pub nearest: Option<String>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.place)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.what)?;
        match &self.nearest {
            Some(name) => write!(f, " (did you mean `{name}`?)"),
            None => Ok(()),
        }
    }
}

/// Why a configuration is not taken.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("cannot read {path}: {source}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A value can't be used; nothing of the configuration is.
    #[error("{0}")]
    Fault(Fault),
}
