//! Why a run could not be carried out.

use std::io;

/// A failure of the run itself, as opposed to a rule broken by a node.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The emulated site did not start.
    #[error("the emulated site: {0}")]
    Site(#[from] stonefold_emulator::EmulatorError),
    /// The built-in site or a node's configuration is invalid.
    #[error("configuration: {0}")]
    Configuration(String),
    /// An operation on a file, process or connection failed.
    #[error("{operation}: {error}")]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The I/O error.
        error: io::Error,
    },
}

impl SoakError {
    /// Returns a function for `map_err` that names the operation that failed.
    pub(crate) fn io(operation: &'static str) -> impl FnOnce(io::Error) -> SoakError {
        move |error| SoakError::Io { operation, error }
    }

    /// Wraps an invalid configuration.
    pub(crate) fn configuration(error: impl ToString) -> SoakError {
        SoakError::Configuration(error.to_string())
    }
}
