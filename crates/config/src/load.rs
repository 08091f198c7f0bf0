//! Loads layers into a validated tree that remembers where its values came from.

use schemars::{Schema, schema_for};
use serde::Serialize;
use serde::de::DeserializeOwned;
use toml::Value;

use crate::check::Check;
use crate::error::{ConfigError, InvalidValue};
use crate::layers::{Layers, ValueSource};
use crate::merged::MergedDocument;
use crate::tree::Config;

/// The smallest Jaro-Winkler similarity, from 0 to 1, at which a known name is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.75;

/// A validated tree, and where its values came from.
pub struct Loaded<T> {
    /// The tree.
    pub tree: T,
    merged: MergedDocument,
}

/// An effective value.
#[derive(Debug, PartialEq)]
pub struct EffectiveValue {
    /// The key's path.
    pub key: String,
    /// The value, as TOML.
    pub value: String,
    /// Which layer it came from.
    pub source: ValueSource,
}

/// Reads all layers and validates the result as a whole.
///
/// # Errors
/// If the file cannot be read, or for the first value that cannot be used.
pub fn load<T: DeserializeOwned + Check>(layers: &Layers) -> Result<Loaded<T>, ConfigError> {
    let merged = MergedDocument::read(layers)?;
    let tree: T = serde_path_to_error::deserialize(Value::Table(merged.table.clone()))
        .map_err(|error| explain_serde_error(&error, &merged))?;
    tree.check()
        .map_err(|error| ConfigError::invalid(merged.location(&error.key), &error.key, error.reason))?;
    Ok(Loaded { tree, merged })
}

/// Adds the location to an error of deserialization; for an unknown key, also the known keys.
fn explain_serde_error(
    error: &serde_path_to_error::Error<toml::de::Error>,
    merged: &MergedDocument,
) -> ConfigError {
    let path = error.path().to_string();
    let path = if path == "." { String::new() } else { path };
    let message = error.inner().message();
    let Some(unknown) = UnknownKey::parse(message) else {
        return ConfigError::invalid(merged.location(&path), &path, message);
    };
    // serde's path ends in the unknown name only for some kinds of tables.
    let parent = path.strip_suffix(unknown.name).map_or(path.as_str(), |parent| parent.trim_end_matches('.'));
    let key = if parent.is_empty() { unknown.name.to_owned() } else { format!("{parent}.{}", unknown.name) };
    ConfigError::Invalid(InvalidValue {
        location: merged.location(&key),
        key,
        reason: format!("unknown key; known here: {}", unknown.known.join(", ")),
        suggestion: closest_name(unknown.name, &unknown.known),
    })
}

/// The contents of serde's message on an unknown key.
struct UnknownKey<'a> {
    name: &'a str,
    known: Vec<&'a str>,
}

impl UnknownKey<'_> {
    /// Parses "unknown field `a`, expected one of `b`, `c`"; `None` for any other message.
    fn parse(message: &str) -> Option<UnknownKey<'_>> {
        let rest = message.strip_prefix("unknown field `")?;
        let (name, rest) = rest.split_once('`')?;
        let known = rest.split('`').skip(1).step_by(2).collect();
        Some(UnknownKey { name, known })
    }
}

/// The known name that is most similar to an unknown one, if it is similar enough.
fn closest_name(name: &str, known: &[&str]) -> Option<String> {
    let ranked = known.iter().map(|known| (strsim::jaro_winkler(name, known), known));
    let (similarity, best) = ranked.max_by(|left, right| left.0.total_cmp(&right.0))?;
    (similarity >= MIN_SIMILARITY).then(|| (*best).to_owned())
}

impl<T: Serialize> Loaded<T> {
    /// All effective values, in the order of the tree.
    pub fn explain(&self) -> Vec<EffectiveValue> {
        let mut values = Vec::new();
        if let Ok(root) = Value::try_from(&self.tree) {
            self.collect_values("", &root, &mut values);
        }
        values
    }

    fn collect_values(&self, path: &str, value: &Value, values: &mut Vec<EffectiveValue>) {
        match value {
            Value::Table(table) => {
                for (key, value) in table {
                    let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                    self.collect_values(&path, value, values);
                }
            }
            Value::Array(array) if array.iter().any(Value::is_table) => {
                for (index, value) in array.iter().enumerate() {
                    self.collect_values(&format!("{path}[{index}]"), value, values);
                }
            }
            value => values.push(EffectiveValue {
                key: path.into(),
                value: value.to_string(),
                source: self.merged.source(path),
            }),
        }
    }
}

/// The JSON Schema of a node's configuration file.
pub fn schema() -> Schema {
    schema_for!(Config)
}
