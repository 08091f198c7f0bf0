//! The names of servers that have left the endpoint list.

use std::collections::VecDeque;

/// The number of names that are remembered. It is several times the number of servers at a large site, and takes about
/// 200 KB.
const MAX_NAMES: usize = 4_096;

/// The names of the servers that left the endpoint list most recently. An operator may give a command for a server that
/// is down and will return, and it must not be rejected as a misspelled name.
#[derive(Default)]
pub(crate) struct FormerNames(VecDeque<String>);

impl FormerNames {
    /// Adds a name, and removes the oldest one if there are too many.
    pub(crate) fn add(&mut self, name: &str) {
        if self.contains(name) {
            return;
        }
        self.0.push_back(name.to_owned());
        if self.0.len() > MAX_NAMES {
            self.0.pop_front();
        }
    }

    /// Whether the name is remembered.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.0.iter().any(|known| known == name)
    }
}
