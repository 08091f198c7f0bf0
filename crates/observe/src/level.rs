use std::fmt;
use std::str::FromStr;

use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::{ParseError, Targets};

/// Which events are logged: a least level for all targets, and others for some.
///
/// Written as `info,stonefold_node::discovery=debug`. Levels are `off`, `error`, `warn`, `info`, `debug` and
/// `trace`; a target is a crate or a module in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Levels(Targets);

/// A text that names no levels.
#[derive(Debug, thiserror::Error)]
#[error("bad log level {text:?}: {source}; write for example \"info\" or \"info,stonefold_node=debug\"")]
pub struct BadLevel {
    text: String,
    source: ParseError,
}

/// A library that tells its every step as information; of it only warnings are, unless its levels are stated.
const TALKATIVE: &str = "openraft";

impl Levels {
    pub(crate) fn into_targets(self) -> Targets {
        let stated = self.0.iter().any(|(target, _)| target.starts_with(TALKATIVE));
        let quiet = self.0.default_level().is_some_and(|level| level <= LevelFilter::WARN);
        if stated || quiet { self.0 } else { self.0.with_target(TALKATIVE, LevelFilter::WARN) }
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
        // Guards against: a misspelt level, which would be read as the name of a target that logs everything.
        let bare =
            text.split(',').find(|part| !part.contains('=') && part.trim().parse::<LevelFilter>().is_err());
        let checked = bare.map_or(text, |part| part);
        let parsed = match bare {
            Some(part) => format!("all={part}").parse::<Targets>(),
            None => text.parse(),
        };
        parsed.map(Levels).map_err(|source| BadLevel { text: checked.to_owned(), source })
    }
}

impl fmt::Display for Levels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

#[cfg(test)]
mod tests;
