//! From layers to the checked tree, and what is told of it.

use schemars::{Schema, schema_for};
use serde::Serialize;
use serde::de::DeserializeOwned;
use toml::Value;

use crate::check::Check;
use crate::error::{ConfigError, Fault};
use crate::layers::{Layers, Merged, Origin};
use crate::tree::Config;

/// Names less alike than this are no hint.
const ALIKE: f64 = 0.75;

/// A checked tree, and where its values came from.
pub struct Loaded<T> {
    /// The tree.
    pub tree: T,
    merged: Merged,
}

/// One value that is in force.
#[derive(Debug, PartialEq)]
pub struct Explained {
    /// The key's path.
    pub key: String,
    /// The value, as TOML.
    pub value: String,
    /// Which layer it came from.
    pub origin: Origin,
}

/// Reads all layers and checks them whole.
///
/// # Errors
/// If the file can't be read, or for the first value that can't be used.
pub fn load<T: DeserializeOwned + Check>(layers: &Layers) -> Result<Loaded<T>, ConfigError> {
    let merged = Merged::read(layers)?;
    let refused = |key: String, what: String, nearest| {
        ConfigError::Fault(Fault { place: merged.place(&key), key, what, nearest })
    };
    let tree: T = serde_path_to_error::deserialize(Value::Table(merged.table.clone())).map_err(|error| {
        let (key, message) = (error.path().to_string(), error.inner().message().to_owned());
        let key = if key == "." { String::new() } else { key };
        match unknown(&message) {
            Some((name, known)) => {
                let parent =
                    key.strip_suffix(name).map_or(key.as_str(), |parent| parent.trim_end_matches('.'));
                let key = if parent.is_empty() { name.to_owned() } else { format!("{parent}.{name}") };
                let nearest = nearest(name, &known);
                refused(key, format!("unknown key; known here: {}", known.join(", ")), nearest)
            }
            None => refused(key, message, None),
        }
    })?;
    tree.check().map_err(|(key, what)| refused(key, what, None))?;
    Ok(Loaded { tree, merged })
}

/// The unknown name and the known ones, if that is what a message says.
fn unknown(message: &str) -> Option<(&str, Vec<&str>)> {
    let rest = message.strip_prefix("unknown field `")?;
    let (name, rest) = rest.split_once('`')?;
    let known = rest.split('`').skip(1).step_by(2).collect();
    Some((name, known))
}

fn nearest(name: &str, known: &[&str]) -> Option<String> {
    let alike = known.iter().map(|known| (strsim::jaro_winkler(name, known), known));
    let best = alike.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= ALIKE).then(|| best.1.to_string())
}

impl<T: Serialize> Loaded<T> {
    /// Every value that is in force, in the order of the tree.
    pub fn explain(&self) -> Vec<Explained> {
        let mut all = Vec::new();
        if let Ok(value) = Value::try_from(&self.tree) {
            self.walk("", &value, &mut all);
        }
        all
    }

    fn walk(&self, path: &str, value: &Value, all: &mut Vec<Explained>) {
        match value {
            Value::Table(table) => {
                for (key, value) in table {
                    let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                    self.walk(&path, value, all);
                }
            }
            Value::Array(array) if array.iter().any(Value::is_table) => {
                for (n, value) in array.iter().enumerate() {
                    self.walk(&format!("{path}[{n}]"), value, all);
                }
            }
            value => {
                all.push(Explained {
                    key: path.into(),
                    value: value.to_string(),
                    origin: self.merged.origin(path),
                });
            }
        }
    }
}

/// The JSON Schema of a node's configuration.
pub fn schema() -> Schema {
    schema_for!(Config)
}
