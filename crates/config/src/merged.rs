//! Merges layers into one document that remembers where each value was stated.

use std::fs;
use std::path::Path;

use toml::de::DeTable;
use toml::{Table, Value};

use crate::error::{ConfigError, Location};
use crate::layers::{Layers, SharedDocument, ValueSource};
use crate::positions::{Locations, TextFile};

/// The prefix of environment variables that state values. The rest of the name is the key, with `__` between its parts.
/// Names without `__`, such as `STONEFOLD_LOG`, are variables of the command line: the top level of the tree contains
/// sections only, so that no value has a key of a single part.
const VARIABLE_PREFIX: &str = "STONEFOLD_";
/// The separator between the parts of a key in a variable's name.
const VARIABLE_SEPARATOR: &str = "__";
/// Sections that a shared document must not contain, because they belong to a single node.
const PER_NODE_SECTIONS: [&str; 4] = ["node", "limits", "log", "store"];

/// One document made of several layers.
pub(crate) struct MergedDocument {
    /// The values.
    pub(crate) table: Table,
    locations: Locations,
}

impl MergedDocument {
    /// Reads all layers and applies each over the earlier ones.
    ///
    /// # Errors
    /// If the file cannot be read or parsed, or for the first value that cannot be merged.
    pub(crate) fn read(layers: &Layers) -> Result<MergedDocument, ConfigError> {
        let mut merged = match &layers.file {
            Some(path) => {
                let text = fs::read_to_string(path)
                    .map_err(|source| ConfigError::Read { path: path.clone(), source })?;
                MergedDocument::parse(path, &text)?
            }
            None => MergedDocument { table: Table::new(), locations: Locations::new() },
        };
        if let Some(shared) = &layers.shared {
            merged.apply_shared(shared)?;
        }
        merged.apply_environment(&layers.environment)?;
        for flag in &layers.flags {
            merged.apply_flag(flag)?;
        }
        Ok(merged)
    }

    fn parse(path: &Path, text: &str) -> Result<MergedDocument, ConfigError> {
        let file = TextFile { path, text };
        let invalid = |error: toml::de::Error| {
            ConfigError::invalid(file.location(error.span().unwrap_or_default()), "", error.message())
        };
        let spanned = DeTable::parse(text).map_err(invalid)?;
        let table = toml::from_str(text).map_err(invalid)?;
        Ok(MergedDocument { table, locations: file.locations_in(spanned.get_ref()) })
    }

    /// Applies the shared document. A section of it overrides single keys of the file's section, not the section as a whole.
    fn apply_shared(&mut self, shared: &SharedDocument) -> Result<(), ConfigError> {
        let document = MergedDocument::parse(Path::new(&shared.name), &shared.text)?;
        if let Some(key) = PER_NODE_SECTIONS.into_iter().find(|key| document.table.contains_key(*key)) {
            let reason = "is each node's own, and is not allowed in a shared document";
            return Err(ConfigError::invalid(document.location(key), key, reason));
        }
        for (key, value) in document.table {
            match (self.table.get_mut(&key), value) {
                (Some(Value::Table(section)), Value::Table(overrides)) => section.extend(overrides),
                (_, value) => _ = self.table.insert(key, value),
            }
        }
        self.locations.extend(document.locations);
        Ok(())
    }

    /// Applies variables in the order of their names, so that the result does not depend on the environment's order.
    fn apply_environment(&mut self, environment: &[(String, String)]) -> Result<(), ConfigError> {
        let mut variables: Vec<_> = environment
            .iter()
            .filter(|(name, _)| name.starts_with(VARIABLE_PREFIX) && name.contains(VARIABLE_SEPARATOR))
            .collect();
        variables.sort();
        for (name, text) in variables {
            let key = name[VARIABLE_PREFIX.len()..].to_lowercase().replace(VARIABLE_SEPARATOR, ".");
            self.insert(&key, parse_value(text), Location::Environment(name.clone()))?;
        }
        Ok(())
    }

    fn apply_flag(&mut self, flag: &str) -> Result<(), ConfigError> {
        let location = Location::Flag(format!("--set {flag}"));
        let Some((key, text)) = flag.split_once('=') else {
            let reason = "expected key=value, such as node.listen=127.0.0.1:6379";
            return Err(ConfigError::invalid(location, flag, reason));
        };
        self.insert(key.trim(), parse_value(text.trim()), location)
    }

    /// Sets the value of one key, and creates the sections on its path that are missing.
    fn insert(&mut self, key: &str, value: Value, location: Location) -> Result<(), ConfigError> {
        let mut table = &mut self.table;
        let (parents, last) = key.rsplit_once('.').unwrap_or(("", key));
        let mut path = String::new();
        for part in parents.split('.').filter(|part| !part.is_empty()) {
            path = if path.is_empty() { part.to_owned() } else { format!("{path}.{part}") };
            self.locations.entry(path.clone()).or_insert_with(|| location.clone());
            let section = table.entry(part).or_insert_with(|| Value::Table(Table::new()));
            let Value::Table(section) = section else {
                return Err(ConfigError::invalid(location, key, format!("`{part}` holds no further keys")));
            };
            table = section;
        }
        if last.is_empty() {
            return Err(ConfigError::invalid(location, key, "the last part of the key is empty"));
        }
        table.insert(last.to_owned(), value);
        self.locations.insert(key.to_owned(), location);
        Ok(())
    }

    /// Where the value of a key was stated, or else the location of the innermost section or array that contains it and was
    /// stated.
    pub(crate) fn location(&self, key: &str) -> Location {
        let mut key = key;
        loop {
            if let Some(location) = self.locations.get(key) {
                return location.clone();
            }
            match key.rfind(['.', '[']) {
                Some(end) => key = &key[..end],
                None => return Location::Unstated,
            }
        }
    }

    /// Which layer the value of exactly this key came from.
    pub(crate) fn source(&self, key: &str) -> ValueSource {
        match self.locations.get(key) {
            Some(location) => ValueSource::Stated(location.clone()),
            None => ValueSource::Default,
        }
    }
}

/// Parses a value as TOML. Text that is not a TOML value becomes a string, so that flags need no quotes.
fn parse_value(text: &str) -> Value {
    const KEY: &str = "v";
    let parsed = format!("{KEY} = {text}").parse::<Table>().ok().and_then(|mut table| table.remove(KEY));
    parsed.unwrap_or_else(|| Value::String(text.to_owned()))
}
