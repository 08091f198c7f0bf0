//! Administrative overrides: servers that operators disable and enable again, whatever the endpoint list
//! says.
//!
//! An override outlives changes of the list, and applies to a server that is listed only later. Times are in
//! microseconds.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{Micros, ServerId};

/// Which servers are disabled, listed or not, and when others were enabled.
#[derive(Default)]
pub(crate) struct Overrides {
    disabled: BTreeSet<ServerId>,
    enabled_at: BTreeMap<ServerId, Micros>,
}

impl Overrides {
    /// Disables a server; returns whether it was enabled until now.
    pub(crate) fn disable(&mut self, server: ServerId) -> bool {
        self.enabled_at.remove(&server);
        self.disabled.insert(server)
    }

    /// Enables a server since a time in microseconds. Earlier entries are dropped once they no longer matter,
    /// which is after `slow_start_duration`.
    pub(crate) fn enable(
        &mut self,
        server: ServerId,
        since: Micros,
        now: Micros,
        slow_start_duration: Micros,
    ) {
        self.disabled.remove(&server);
        self.enabled_at.retain(|_, enabled_at| now.saturating_sub(*enabled_at) < slow_start_duration);
        self.enabled_at.insert(server, since.min(now));
    }

    /// Whether a server is disabled.
    pub(crate) fn is_disabled(&self, server: ServerId) -> bool {
        self.disabled.contains(&server)
    }

    /// When a server was last enabled, if that is not long ago.
    pub(crate) fn enabled_at(&self, server: ServerId) -> Option<Micros> {
        self.enabled_at.get(&server).copied()
    }
}
