//! Layers of one document, and where each of its values came from.

use std::collections::BTreeMap;
use std::fs;
use std::ops::Range;
use std::path::{Path, PathBuf};

use toml::de::{DeTable, DeValue};
use toml::{Spanned, Table, Value};

use crate::error::{ConfigError, Fault, Place};

/// Variables of the environment that state values: the rest of the name is the key, `__` between its parts.
/// Those of one part alone (`STONEFOLD_LOG`) are none: no single value stands at the top of the tree.
const PREFIX: &str = "STONEFOLD_";
/// Parts of the tree that no document states for several nodes.
const OWN: [&str; 4] = ["node", "limits", "log", "store"];

/// Which layer a value came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Nobody stated it.
    Default,
    /// Somebody did.
    Stated(Place),
}

/// What is read, beside the defaults: later ones go before earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Layers {
    /// A TOML file.
    pub file: Option<PathBuf>,
    /// What all nodes share, by its name and as TOML: it goes before the file.
    pub shared: Option<(String, String)>,
    /// Variables of the environment.
    pub environment: Vec<(String, String)>,
    /// `key=value` of flags, in their order.
    pub flags: Vec<String>,
}

impl Layers {
    /// A file, the process's environment, and flags.
    pub fn new(file: Option<PathBuf>, flags: Vec<String>) -> Layers {
        let text = |(name, value): (std::ffi::OsString, std::ffi::OsString)| {
            Some((name.into_string().ok()?, value.into_string().ok()?))
        };
        Layers { file, shared: None, environment: std::env::vars_os().filter_map(text).collect(), flags }
    }
}

/// One document from several layers.
pub(crate) struct Merged {
    pub table: Table,
    /// By the path of keys, the arrays' indices among them.
    places: BTreeMap<String, Place>,
}

impl Merged {
    pub fn read(layers: &Layers) -> Result<Merged, ConfigError> {
        let mut merged = Merged { table: Table::new(), places: BTreeMap::new() };
        if let Some(path) = &layers.file {
            let text = fs::read_to_string(path)
                .map_err(|source| ConfigError::Read { path: path.clone(), source })?;
            merged.file(path, &text)?;
        }
        if let Some((name, text)) = &layers.shared {
            merged.shared(name, text)?;
        }
        let of_ours = |(name, _): &&(String, String)| name.starts_with(PREFIX) && name.contains("__");
        let mut variables: Vec<_> = layers.environment.iter().filter(of_ours).collect();
        variables.sort();
        for (name, text) in variables {
            let key = name[PREFIX.len()..].to_lowercase().replace("__", ".");
            merged.put(&key, value(text), Place::Environment(name.clone()))?;
        }
        for flag in &layers.flags {
            let place = Place::Flag(format!("--set {flag}"));
            let Some((key, text)) = flag.split_once('=') else {
                return Err(fault(place, flag, "expected key=value, such as node.listen=127.0.0.1:6379"));
            };
            merged.put(key.trim(), value(text.trim()), place)?;
        }
        Ok(merged)
    }

    fn file(&mut self, path: &Path, text: &str) -> Result<(), ConfigError> {
        let at = |span: Range<usize>| {
            let (line, column) = line_and_column(text, span.start);
            Place::File { path: path.to_owned(), line, column }
        };
        let unread =
            |error: toml::de::Error| fault(at(error.span().unwrap_or_default()), "", error.message());
        let spanned = DeTable::parse(text).map_err(unread)?;
        self.table = toml::from_str(text).map_err(unread)?;
        note_table(spanned.get_ref(), "", &at, &mut self.places);
        Ok(())
    }

    /// What all nodes share goes over the file, but not over what is a node's own.
    fn shared(&mut self, name: &str, text: &str) -> Result<(), ConfigError> {
        let mut own = Merged { table: Table::new(), places: BTreeMap::new() };
        own.file(Path::new(name), text)?;
        if let Some(key) = OWN.into_iter().find(|key| own.table.contains_key(*key)) {
            return Err(fault(own.place(key), key, "is each node's own, and not for a shared document"));
        }
        for (key, value) in own.table {
            match (self.table.get_mut(&key), value) {
                (Some(Value::Table(there)), Value::Table(new)) => there.extend(new),
                (_, value) => _ = self.table.insert(key, value),
            }
        }
        self.places.extend(own.places);
        Ok(())
    }

    /// Puts one value over what is there.
    fn put(&mut self, key: &str, value: Value, place: Place) -> Result<(), ConfigError> {
        let mut table = &mut self.table;
        let (parents, last) = key.rsplit_once('.').unwrap_or(("", key));
        let mut path = String::new();
        for part in parents.split('.').filter(|part| !part.is_empty()) {
            path = if path.is_empty() { part.to_owned() } else { format!("{path}.{part}") };
            self.places.entry(path.clone()).or_insert_with(|| place.clone());
            let inner = table.entry(part).or_insert_with(|| Value::Table(Table::new()));
            let Value::Table(inner) = inner else {
                return Err(fault(place, key, format!("`{part}` holds no further keys")));
            };
            table = inner;
        }
        if last.is_empty() {
            return Err(fault(place, key, "an empty key"));
        }
        table.insert(last.to_owned(), value);
        self.places.insert(key.to_owned(), place);
        Ok(())
    }

    /// Where a value was stated, or the nearest thing round it that was.
    pub fn place(&self, key: &str) -> Place {
        let mut key = key;
        loop {
            if let Some(place) = self.places.get(key) {
                return place.clone();
            }
            match key.rfind(['.', '[']) {
                Some(end) => key = &key[..end],
                None => return Place::Nowhere,
            }
        }
    }

    /// Which layer this very value came from.
    pub fn origin(&self, key: &str) -> Origin {
        self.places.get(key).map_or(Origin::Default, |place| Origin::Stated(place.clone()))
    }
}

fn fault(place: Place, key: &str, what: impl Into<String>) -> ConfigError {
    ConfigError::Fault(Fault { place, key: key.into(), what: what.into(), nearest: None })
}

/// A value as TOML has it, or else a plain text.
fn value(text: &str) -> Value {
    let parsed = format!("v = {text}").parse::<Table>().ok().and_then(|mut table| table.remove("v"));
    parsed.unwrap_or_else(|| Value::String(text.to_owned()))
}

fn note_table(
    table: &DeTable<'_>,
    under: &str,
    at: &dyn Fn(Range<usize>) -> Place,
    places: &mut BTreeMap<String, Place>,
) {
    for (key, value) in table {
        let path =
            if under.is_empty() { key.get_ref().to_string() } else { format!("{under}.{}", key.get_ref()) };
        places.insert(path.clone(), at(key.span()));
        note_value(value, &path, at, places);
    }
}

fn note_value(
    value: &Spanned<DeValue<'_>>,
    path: &str,
    at: &dyn Fn(Range<usize>) -> Place,
    places: &mut BTreeMap<String, Place>,
) {
    match value.get_ref() {
        DeValue::Table(table) => note_table(table, path, at, places),
        DeValue::Array(array) => {
            for (n, value) in array.iter().enumerate() {
                let path = format!("{path}[{n}]");
                places.insert(path.clone(), at(value.span()));
                note_value(value, &path, at, places);
            }
        }
        _ => {}
    }
}

/// Both count from 1.
fn line_and_column(text: &str, at: usize) -> (usize, usize) {
    let before = text.get(..at).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, column)
}
