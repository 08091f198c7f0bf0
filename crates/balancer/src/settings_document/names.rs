//! Indices for names, which stay the same from one settings document to the next.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

/// Names in the order in which they were first met, and which of them are in force.
#[derive(Debug, Clone, Default)]
pub(super) struct Names {
    indices: HashMap<String, usize>,
    in_force: HashSet<String>,
}

impl Names {
    /// Puts these names in force in place of those before: each keeps its index, new ones come behind. Returns their
    /// indices.
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

/// The index of a name; a new one for a name not met before.
pub(super) fn index_of(names: &mut HashMap<String, u32>, name: Cow<str>) -> u32 {
    let next = names.len() as u32; // none is ever taken out
    match names.get(&*name) {
        Some(&index) => index,
        None => *names.entry(name.into_owned()).or_insert(next),
    }
}
