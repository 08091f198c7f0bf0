//! How a command fails: the message on standard error, and the exit codes that the help documents.

use std::error::Error;
use std::io::{self, Write};
use std::process::ExitCode;

/// Exit code of [`Failure::Failed`].
const EXIT_FAILED: u8 = 1;
/// Exit code of [`Failure::Unusable`].
const EXIT_UNUSABLE: u8 = 2;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// The command was executed and failed.
    #[error("{0}")]
    Failed(Box<dyn Error + Send + Sync>),
    /// The command's arguments or a configuration can't be used.
    #[error("{0}")]
    Unusable(Box<dyn Error + Send + Sync>),
}

impl Failure {
    /// The failure of a command that was executed.
    pub(crate) fn failed(error: impl Into<Box<dyn Error + Send + Sync>>) -> Failure {
        Failure::Failed(error.into())
    }

    /// The failure of a command whose arguments or configuration can't be used.
    pub(crate) fn unusable(error: impl Into<Box<dyn Error + Send + Sync>>) -> Failure {
        Failure::Unusable(error.into())
    }

    /// Prints the message and returns the exit code.
    pub(crate) fn report(self) -> ExitCode {
        // `eprintln!` would panic where standard error is closed.
        let _ = writeln!(io::stderr(), "stonefold: {self}");
        match self {
            Failure::Failed(_) => ExitCode::from(EXIT_FAILED),
            Failure::Unusable(_) => ExitCode::from(EXIT_UNUSABLE),
        }
    }
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Failure {
        Failure::failed(error)
    }
}
