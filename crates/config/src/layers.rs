//! The layers that a configuration is read from.

use std::env;
use std::ffi::OsString;
use std::path::PathBuf;

use crate::error::Location;

/// Which layer a value came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueSource {
    /// No layer states the value.
    Default,
    /// A layer states the value, at this location.
    Stated(Location),
}

/// A document that all nodes share.
#[derive(Clone, Debug)]
pub struct SharedDocument {
    /// The document's name, for error messages.
    pub name: String,
    /// The document's content, as TOML.
    pub text: String,
}

/// The layers that override the defaults. A later field overrides an earlier one.
#[derive(Clone, Debug, Default)]
pub struct Layers {
    /// A TOML file.
    pub file: Option<PathBuf>,
    /// The document that all nodes share. It must not contain sections that belong to a single node.
    pub shared: Option<SharedDocument>,
    /// Names and values of environment variables; those that do not concern the configuration are ignored.
    pub environment: Vec<(String, String)>,
    /// The `key=value` pairs of flags, in the order in which they were given.
    pub flags: Vec<String>,
}

impl Layers {
    /// The layers of a file, this process's environment and flags, without a shared document.
    pub fn new(file: Option<PathBuf>, flags: Vec<String>) -> Layers {
        let as_text =
            |(name, value): (OsString, OsString)| Some((name.into_string().ok()?, value.into_string().ok()?));
        Layers { file, shared: None, environment: env::vars_os().filter_map(as_text).collect(), flags }
    }
}
