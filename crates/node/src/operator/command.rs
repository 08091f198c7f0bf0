//! The operators' commands and how they are parsed.

use std::str;

use super::MAX_COMMAND_LEN;

/// A command.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum OperatorCommand {
    /// Asks whether the node serves requests. It does not once a shutdown has begun.
    Ready,
    /// Shows the metrics.
    Stats,
    /// Lists the members of the cluster as this node knows them.
    Members,
    /// Stops sending new requests to this server.
    Disable(String),
    /// Starts to use this server again.
    Enable(String),
}

/// Why a line is not a valid command. The texts are part of the answer.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub(super) enum OperatorCommandError {
    /// The line is blank.
    #[error("empty call")]
    Empty,
    /// The connection ended within the line.
    #[error("call without an end of line")]
    Unterminated,
    /// The line is longer than [`MAX_COMMAND_LEN`].
    #[error("call too long")]
    TooLong,
    /// The line is not UTF-8.
    #[error("call is not text")]
    NotText,
    /// There is no command of this name.
    #[error("unknown call")]
    Unknown,
    /// The command has too few or too many arguments.
    #[error("wrong arguments")]
    WrongArguments,
}

impl OperatorCommand {
    /// Parses a line, which must include its line break.
    pub(super) fn parse(line: &[u8]) -> Result<OperatorCommand, OperatorCommandError> {
        let Some(text) = line.strip_suffix(b"\n") else {
            let too_long = line.len() as u64 >= MAX_COMMAND_LEN;
            return Err(if too_long {
                OperatorCommandError::TooLong
            } else {
                OperatorCommandError::Unterminated
            });
        };
        let text = str::from_utf8(text).map_err(|_| OperatorCommandError::NotText)?;
        let words: Vec<&str> = text.split_ascii_whitespace().collect();
        match words[..] {
            [] => Err(OperatorCommandError::Empty),
            ["READY"] => Ok(OperatorCommand::Ready),
            ["STATS"] => Ok(OperatorCommand::Stats),
            ["MEMBERS"] => Ok(OperatorCommand::Members),
            ["DISABLE", id] => Ok(OperatorCommand::Disable(id.into())),
            ["ENABLE", id] => Ok(OperatorCommand::Enable(id.into())),
            ["READY" | "STATS" | "MEMBERS" | "DISABLE" | "ENABLE", ..] => {
                Err(OperatorCommandError::WrongArguments)
            }
            _ => Err(OperatorCommandError::Unknown),
        }
    }
}
