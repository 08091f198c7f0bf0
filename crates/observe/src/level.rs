//! Log levels: which events are logged.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::{ParseError, Targets};

/// Which events are logged: a default level, and levels for some targets.
///
/// The text form is for example `info,stonefold_node::discovery=debug`. Levels are `off`, `error`, `warn`, `info`,
/// `debug` and `trace`; a target is a crate or one of its modules.
#[derive(Clone, Debug, PartialEq)]
pub struct Levels(Targets);

/// The error for a text that is not a list of levels.
#[derive(Debug, thiserror::Error)]
#[error("bad log level {text:?}: {source}; write for example \"info\" or \"info,stonefold_node=debug\"")]
pub struct BadLevel {
    text: String,
    source: ParseError,
}

/// The Raft library, which logs each of its steps at `info`. Only its warnings are logged unless its level is stated.
const VERBOSE_TARGET: &str = "openraft";

impl Levels {
    /// The filter for `tracing`. It limits [`VERBOSE_TARGET`] to warnings, unless the level of that target is stated or
    /// the default level allows no more anyway.
    pub(crate) fn into_targets(self) -> Targets {
        let stated = self.0.iter().any(|(target, _)| target.starts_with(VERBOSE_TARGET));
        let quiet = self.0.default_level().is_some_and(|level| level <= LevelFilter::WARN);
        if stated || quiet { self.0 } else { self.0.with_target(VERBOSE_TARGET, LevelFilter::WARN) }
    }
}

impl Default for Levels {
    fn default() -> Levels {
        Levels(Targets::new().with_default(LevelFilter::INFO))
    }
}

impl FromStr for Levels {
    type Err = BadLevel;

    fn from_str(text: &str) -> Result<Levels, BadLevel> {
        // `Targets` would take a misspelt level for the name of a target and log all its events.
        let misspelt_level =
            text.split(',').find(|part| !part.contains('=') && part.trim().parse::<LevelFilter>().is_err());
        let checked = misspelt_level.unwrap_or(text);
        let parsed = match misspelt_level {
            // With a target in front, the parser reports the text as a level that it does not know.
            Some(level) => format!("all={level}").parse::<Targets>(),
            None => text.parse(),
        };
        parsed.map(Levels).map_err(|source| BadLevel { text: checked.to_owned(), source })
    }
}

impl Display for Levels {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

#[cfg(test)]
mod tests;
