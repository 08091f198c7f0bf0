use std::fmt;
use std::str::FromStr;

/// The form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people: time, level, target, words, fields.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// No form of that name.
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

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Format::Text => "text",
            Format::Json => "json",
        })
    }
}
