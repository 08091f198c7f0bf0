//! The layers of a configuration, as they are given.

use std::env;
use std::ffi::OsString;
use std::path::PathBuf;

use crate::error::Location;

/// Which layer a value came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueSource {
    /// No layer states it.
    Default,
    /// It is stated here.
    Stated(Location),
}

/// A document that all nodes share.
#[derive(Clone, Debug)]
pub struct SharedDocument {
    /// Its name, for messages.
    pub name: String,
    /// Its content, as TOML.
    pub text: String,
}

/// What is read in addition to the defaults. A later field overrides an earlier one.
#[derive(Clone, Debug, Default)]
pub struct Layers {
    /// A TOML file.
    pub file: Option<PathBuf>,
    /// What all nodes share. It may not state what belongs to a single node.
    pub shared: Option<SharedDocument>,
    /// Names and values of environment variables; those that do not concern the configuration are ignored.
    pub environment: Vec<(String, String)>,
    /// `key=value` of flags, in their order.
    pub flags: Vec<String>,
}

impl Layers {
    /// A file, the environment of this process, and flags.
    pub fn new(file: Option<PathBuf>, flags: Vec<String>) -> Layers {
        let as_text =
            |(name, value): (OsString, OsString)| Some((name.into_string().ok()?, value.into_string().ok()?));
        Layers { file, shared: None, environment: env::vars_os().filter_map(as_text).collect(), flags }
    }
}
