//! Which events are logged.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::{ParseError, Targets};

/// Which events are logged: a default level, and levels for some targets.
///
/// Written as `info,stonefold_node::discovery=debug`. Levels are `off`, `error`, `warn`, `info`, `debug` and
/// `trace`; a target is a crate or a module in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Levels(Targets);

/// A text that is no list of levels.
#[derive(Debug, thiserror::Error)]
#[error("bad log level {text:?}: {source}; write for example \"info\" or \"info,stonefold_node=debug\"")]
pub struct BadLevel {
    text: String,
    source: ParseError,
}

/// A library that logs its every step at `info`. Only its warnings are logged, unless its level is stated.
const VERBOSE_TARGET: &str = "openraft";

impl Levels {
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
        // A misspelt level would be parsed as the name of a target that logs everything.
        let unknown_level =
            text.split(',').find(|part| !part.contains('=') && part.trim().parse::<LevelFilter>().is_err());
        let checked = unknown_level.unwrap_or(text);
        let parsed = match unknown_level {
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
