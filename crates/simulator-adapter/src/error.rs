//! The errors that end a run of the adapter.

use std::io;

use stonefold_balancer::settings_document::SettingsError;

/// The error that ended a run, and the input that it refers to.
#[derive(Debug, thiserror::Error)]
#[error("input line {line}: {kind}")]
pub struct AdapterError {
    /// The number of the input line, counting from 1.
    pub line: u64,
    /// What was wrong.
    pub kind: AdapterErrorKind,
}

/// What was wrong with the input, or with its reader or writer.
#[derive(Debug, thiserror::Error)]
pub enum AdapterErrorKind {
    /// The input could not be read, or the output could not be written.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A line is not a message of the protocol.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The input ended before the batch of this number was complete.
    #[error("input ended within batch {0}")]
    EndWithinBatch(u64),
    /// A batch started before the one in progress was complete.
    #[error("ROUND within a batch")]
    NestedBatch,
    /// An event came before the start of a batch.
    #[error("an event outside a batch")]
    OutsideBatch,
    /// An event names an instance that does not exist.
    #[error("instance {0} was not set up")]
    UnknownInstance(u64),
    /// The settings of an instance cannot be used.
    #[error("CONFIGURE: {0}")]
    Settings(SettingsError),
    /// The scope of an endpoint list is unknown: neither complete, nor changes, nor a failure.
    #[error("ENDPOINTS: unknown scope {0:?}")]
    UnknownScope(String),
    /// The state of a server is unknown.
    #[error("ENDPOINTS: unknown lifecycle {0:?}")]
    UnknownServerState(String),
    /// The outcome of an attempt is unknown.
    #[error("FINISHED: unknown code {0:?}")]
    UnknownOutcome(String),
}
