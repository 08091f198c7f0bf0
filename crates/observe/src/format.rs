//! The format of log lines.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Readable text: time, level, target, message and fields.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The error for a name that no log format has.
#[derive(Debug, thiserror::Error)]
#[error("unknown log format {0:?}: use \"text\" or \"json\"")]
pub struct UnknownFormat(String);

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Format, UnknownFormat> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(UnknownFormat(other.into())),
        }
    }
}

impl Display for Format {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Format::Text => "text",
            Format::Json => "json",
        })
    }
}
