//! Where the configuration is read, at the start and at each reload.

use std::env::{self, VarError};
use std::error::Error;
use std::net::SocketAddr;

use serde_json::Value;
use stonefold_balancer::settings_document::SettingsDocument;

use super::ConfigError;
use super::completeness::missing_key;
use super::document::{PlatformDocument, read_json};

/// Why a [`DocumentSource`] can't provide its document.
pub type DocumentError = Box<dyn Error + Send + Sync>;

/// A source of the document other than the platform's file. It is read at the start, and at each reload.
pub trait DocumentSource: Send + Sync {
    /// The current document.
    ///
    /// # Errors
    /// If it can't be read or used; the node then keeps its configuration.
    fn read(&self) -> Result<Value, DocumentError>;
}

/// Where the configuration is read.
#[derive(Default)]
pub enum Source {
    /// The file that `EDGE_CONFIG` names; `EDGE_LISTEN`, `EDGE_DISCOVERY` and `EDGE_OPERATOR` override what it states.
    #[default]
    Platform,
    /// Another source, whose document the environment does not override.
    Document(Box<dyn DocumentSource>),
}

impl Source {
    /// Reads and checks the document.
    pub(super) fn read(&self) -> Result<(PlatformDocument, Value), ConfigError> {
        let (name, value) = match self {
            Source::Platform => {
                let path = variable("EDGE_CONFIG")?.ok_or(ConfigError::Missing("EDGE_CONFIG"))?;
                let value = read_json(&path)?;
                (path, value)
            }
            Source::Document(document) => {
                (String::from("document"), document.read().map_err(ConfigError::Document)?)
            }
        };
        Ok((PlatformDocument::parse(name, &value)?, value))
    }

    /// Like [`Self::address`], for an address that must be set.
    pub(super) fn required_address(
        &self,
        name: &'static str,
        stated: Option<String>,
    ) -> Result<SocketAddr, ConfigError> {
        self.address(name, stated)?.ok_or(ConfigError::Missing(name))
    }

    /// Returns an address from the environment if that overrides the document, or else the one `stated` in the
    /// document.
    pub(super) fn address(
        &self,
        name: &'static str,
        stated: Option<String>,
    ) -> Result<Option<SocketAddr>, ConfigError> {
        let text = match self {
            Source::Platform => variable(name)?.or(stated),
            Source::Document(_) => stated,
        };
        text.map(|text| parse_address(name, text)).transpose()
    }
}

/// The part of a configuration that a reload can change.
pub(crate) struct ReloadedConfig {
    /// Where discovery is polled.
    pub(crate) discovery: SocketAddr,
    /// The balancer's settings.
    pub(crate) settings: SettingsDocument,
}

/// A document that was read, but is not in force yet.
pub(crate) struct PendingDocument(Value);

/// Reads the configuration at reloads. Holds its source and the document in force.
#[derive(Default)]
pub(crate) struct ReloadSource {
    source: Source,
    current: Value,
}

impl ReloadSource {
    /// Creates a source for reloads from `source` and the document that was read from it.
    pub(super) fn new(source: Source, current: Value) -> ReloadSource {
        ReloadSource { source, current }
    }

    /// Reads and checks the document again, without putting it in force. Discovery's address in the document overrides
    /// the environment's, which is from the start of the process.
    ///
    /// # Errors
    /// If the document can't be read or used, or lacks a key of the one in force.
    pub(crate) fn read(&self) -> Result<(ReloadedConfig, PendingDocument), ConfigError> {
        let (document, value) = self.source.read()?;
        if let Some(key) = missing_key(&self.current, &value) {
            return Err(ConfigError::MissingKey(key));
        }
        let discovery = match document.discovery {
            Some(text) => parse_address("discovery", text)?,
            None => self.source.required_address("EDGE_DISCOVERY", None)?,
        };
        Ok((ReloadedConfig { discovery, settings: document.settings }, PendingDocument(value)))
    }

    /// Records that a document that was read is now in force.
    pub(crate) fn commit(&mut self, document: PendingDocument) {
        self.current = document.0;
    }
}

/// The value of an environment variable, if it is set.
fn variable(name: &'static str) -> Result<Option<String>, ConfigError> {
    match env::var(name) {
        Ok(text) => Ok(Some(text)),
        Err(VarError::NotPresent) => Ok(None),
        Err(VarError::NotUnicode(text)) => Err(ConfigError::Address(name, text.to_string_lossy().into())),
    }
}

fn parse_address(name: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address(name, text))
}
