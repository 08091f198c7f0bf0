//! Whether a document has all keys that it has to have at a reload.
//!
//! A key has a default where the document is read, which may differ from what the platform meant. So a reloaded document
//! must have each key of the one in force, however deep in the settings.

use serde_json::{Map, Value};

/// The part of the document whose objects are checked at any depth.
const SETTINGS: &str = "settings";
/// The part of the document with the limits on what the node may use.
const LIMITS: &str = "limits";
/// The key that tells the objects of a list apart.
const NAME: &str = "Name";
/// The paths of keys that the platform may leave out.
const OPTIONAL_KEYS: [&str; 2] = ["/settings/Classes/AimStretch", "/settings/Prices/Fleet"];

/// The path of the first key that the document in force has and a new one lacks.
pub(super) fn missing_key(current: &Value, new: &Value) -> Option<String> {
    let part = |name: &str| missing_in_part(&format!("/{name}"), current.get(name)?, new.get(name)?);
    let top_level = current.as_object().and_then(|keys| missing_of(keys.keys(), "", new));
    top_level.or_else(|| part(SETTINGS)).or_else(|| part(LIMITS))
}

/// The path of the first key that a part of the document in force has, at any depth, and the new part lacks. `path` is
/// the part's own.
fn missing_in_part(path: &str, current: &Value, new: &Value) -> Option<String> {
    match current {
        Value::Object(keys) => missing_of(keys.keys(), path, new).or_else(|| {
            keys.iter()
                .find_map(|(key, value)| missing_in_part(&format!("{path}/{key}"), value, new.get(key)?))
        }),
        Value::Array(elements) => {
            let new_elements = new.as_array()?.iter();
            new_elements.into_iter().find_map(|element| missing_in_element(path, elements, element))
        }
        _ => None,
    }
}

/// The path of the first key that an element of a list lacks: a key of the element with the same name in the list in
/// force or, if there is none, a key that all elements in force have.
fn missing_in_element(path: &str, current: &[Value], new: &Value) -> Option<String> {
    let name = new.get(NAME);
    if let Some(same) = current.iter().find(|element| name.is_some() && element.get(NAME) == name) {
        return missing_in_part(path, same, new);
    }
    let (first, others) = current.split_first()?;
    let is_common = |key: &&String| others.iter().all(|element| element.get(key.as_str()).is_some());
    missing_of(first.as_object()?.keys().filter(is_common), path, new)
}

/// The path of the first of these keys that `new` lacks, unless it is optional. `path` is that of the object.
fn missing_of<'a>(keys: impl IntoIterator<Item = &'a String>, path: &str, new: &Value) -> Option<String> {
    let empty = Map::new();
    let present = new.as_object().unwrap_or(&empty);
    let missing = keys.into_iter().filter(|key| !present.contains_key(key.as_str()));
    missing.map(|key| format!("{path}/{key}")).find(|key| !OPTIONAL_KEYS.contains(&key.as_str()))
}

#[cfg(test)]
mod tests;
