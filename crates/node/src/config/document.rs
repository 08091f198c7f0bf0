//! The JSON document in the platform's format.

use std::fs;

use serde::Deserialize;
use serde_json::Value;
use stonefold_balancer::settings_document::{ResolvedSettings, SettingsDocument};
use stonefold_proto::endpoints::EndpointList;

use super::ConfigError;

/// The document in the platform's format.
#[derive(Deserialize)]
pub(super) struct PlatformDocument {
    pub(super) listen: Option<String>,
    pub(super) discovery: Option<String>,
    pub(super) operator: Option<String>,
    pub(super) seed: String,
    #[serde(default)]
    pub(super) limits: ResourceLimits,
    #[serde(default)]
    pub(super) known: EndpointList,
    pub(super) settings: SettingsDocument,
}

/// The limits on what the node may use.
#[derive(Deserialize, Default)]
pub(super) struct ResourceLimits {
    pub(super) sockets: Option<usize>,
    pub(super) memory_mb: Option<usize>,
}

impl PlatformDocument {
    /// Parses and checks a document. Errors state its `name`.
    pub(super) fn parse(name: String, value: &Value) -> Result<PlatformDocument, ConfigError> {
        let document = PlatformDocument::deserialize(value);
        let document = document.map_err(|error| ConfigError::Malformed(name, error))?;
        document.settings.check().map_err(ConfigError::Settings)?;
        Ok(document)
    }
}

/// Reads a JSON file.
pub(super) fn read_json(path: &str) -> Result<Value, ConfigError> {
    let text = fs::read_to_string(path).map_err(|error| ConfigError::Unreadable(path.into(), error))?;
    serde_json::from_str(&text).map_err(|error| ConfigError::Malformed(path.into(), error))
}

/// Parses the seed, up to 16 hexadecimal digits.
pub(super) fn parse_seed(text: String) -> Result<u64, ConfigError> {
    u64::from_str_radix(&text, 16).map_err(|_| ConfigError::Seed(text))
}

/// Checks a file in the platform's format, as a node does at its start.
///
/// # Errors
/// The first error that a node would report.
pub fn check_file(path: &str) -> Result<(), ConfigError> {
    let value = read_json(path)?;
    let document = PlatformDocument::parse(path.to_owned(), &value)?;
    parse_seed(document.seed)?;
    ResolvedSettings::try_from(document.settings).map(drop).map_err(ConfigError::Settings)
}
