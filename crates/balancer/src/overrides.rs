//! Administrative overrides: servers that operators disable and enable again, regardless of the endpoint
//! list.
//!
//! An override outlasts changes of the list, and also applies to a server that is listed only later. Times
//! are in microseconds.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{Micros, ServerId};

/// The overrides in force.
#[derive(Default)]
pub(crate) struct Overrides {
    /// The disabled servers, listed or not.
    disabled: BTreeSet<ServerId>,
    /// When servers were enabled again, while their slow start may last.
    enabled_at: BTreeMap<ServerId, Micros>,
}

impl Overrides {
    /// Disables a server; returns whether it was enabled until now.
    pub(crate) fn disable(&mut self, server: ServerId) -> bool {
        self.enabled_at.remove(&server);
        self.disabled.insert(server)
    }

    /// Enables a server, which may be used since `since`. Entries of servers enabled earlier are dropped
    /// after `slow_start_duration`, when they no longer matter.
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

    /// When a server was last enabled; `None` if it was not, or if the entry was dropped.
    pub(crate) fn enabled_at(&self, server: ServerId) -> Option<Micros> {
        self.enabled_at.get(&server).copied()
    }
}
