//! How the program ends when it fails: words on standard error, and the exit codes that the help documents.

use std::error::Error;
use std::io::{self, Write};
use std::process::ExitCode;

/// Why a command did not do what it was asked for.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// It was tried and failed: exit code 1.
    #[error("{0}")]
    Failed(Box<dyn Error + Send + Sync>),
    /// The call or the configuration can't be used: exit code 2.
    #[error("{0}")]
    Unusable(Box<dyn Error + Send + Sync>),
}

impl Failure {
    /// Something that was tried and failed.
    pub fn failed(error: impl Into<Box<dyn Error + Send + Sync>>) -> Failure {
        Failure::Failed(error.into())
    }

    /// Something that was asked for and can't be used.
    pub fn unusable(error: impl Into<Box<dyn Error + Send + Sync>>) -> Failure {
        Failure::Unusable(error.into())
    }

    /// Says so on standard error.
    pub fn told(self) -> ExitCode {
        // Guards against: a panic where standard error is closed.
        let _ = writeln!(io::stderr(), "stonefold: {self}");
        match self {
            Failure::Failed(_) => ExitCode::from(1),
            Failure::Unusable(_) => ExitCode::from(2),
        }
    }
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Failure {
        Failure::failed(error)
    }
}
