//! Indices of names, which stay the same from one settings document to the next.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

/// All names of the settings documents so far, with their indices.
#[derive(Debug, Clone, Default)]
pub(super) struct IndexedNames {
    /// The index of each name, in the order in which the names were first used.
    indices: HashMap<String, usize>,
    /// The names of the present document.
    in_force: HashSet<String>,
}

impl IndexedNames {
    /// Puts these names in force instead of the previous ones, and returns their indices. Names used before keep their
    /// indices, and new ones get the next indices.
    pub(super) fn replace<'a>(&mut self, names: impl Iterator<Item = &'a String>) -> Vec<usize> {
        let names: Vec<String> = names.cloned().collect();
        self.in_force = names.iter().cloned().collect();
        let index = |name: String| {
            let next = self.indices.len();
            *self.indices.entry(name).or_insert(next)
        };
        names.into_iter().map(index).collect()
    }

    /// The index of a name, in force or not.
    pub(super) fn index(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// The names in force.
    pub(super) fn in_force(&self) -> &HashSet<String> {
        &self.in_force
    }
}

/// The index of a name; the next one for a name that was not used before.
pub(super) fn index_of(names: &mut HashMap<String, u32>, name: Cow<str>) -> u32 {
    let next = names.len() as u32; // names are never removed
    match names.get(&*name) {
        Some(&index) => index,
        None => *names.entry(name.into_owned()).or_insert(next),
    }
}
