//! The names of servers that have left the endpoint list.

use std::collections::VecDeque;

/// The number of names that are remembered: several times the servers of a large site, in some 200 KB.
const MAX_NAMES: usize = 4_096;

/// The names that left the list most recently. An operator's command for a server that is down and will return must not
/// be rejected as a misspelled name.
#[derive(Default)]
pub(crate) struct FormerNames(VecDeque<String>);

impl FormerNames {
    /// Adds a name, forgetting the oldest one if there are too many.
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
