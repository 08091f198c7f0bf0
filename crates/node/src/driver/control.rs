//! Handles control messages: shutdown, new settings, and the overrides of operators.

use std::time::Duration;

use stonefold_balancer::settings_document::{ResolvedSettings, micros_from_millis};
use stonefold_balancer::{Event, Micros};
use tracing::info;

use super::Driver;
use crate::message::{Control, SharedSettings};
use crate::overrides::Overrides;

impl Driver {
    pub(super) fn on_control(&mut self, control: Control) {
        match control {
            Control::Shutdown(deadline) => {
                let deadline = self.clock.to_micros(deadline);
                self.events.push_back(Event::Shutdown { deadline });
            }
            // The caller may have disconnected.
            Control::IsKnownServer { name, reply } => _ = reply.send(self.directory.is_known(&name)),
            Control::Reload { document, reply } => {
                let updated = self.settings.updated_with(*document);
                let shared = updated.map(|settings| self.apply_settings(settings));
                self.decide();
                let _ = reply.send(shared);
            }
            Control::Overrides { overrides, applied } => {
                self.apply_overrides(overrides, Some(self.clock.to_micros(self.now)));
                self.decide();
                let _ = applied.map(|applied| applied.send(()));
            }
        }
    }

    /// Replaces the settings. Open requests keep the settings under which they arrived.
    fn apply_settings(&mut self, settings: ResolvedSettings) -> SharedSettings {
        self.settings = settings;
        let balancer_settings = &self.settings.settings;
        self.directory.set_idle_timeout(Duration::from_micros(balancer_settings.idle_timeout));
        self.events.push_back(Event::Settings(Box::new(balancer_settings.clone())));
        SharedSettings::from(&self.settings)
    }

    /// Applies the overrides that differ from those in force. Overrides that were made while this process runs take
    /// effect at `received_at`. It is `None` for those loaded at the start, whose time is known only from the wall
    /// clock.
    pub(super) fn apply_overrides(&mut self, overrides: Overrides, received_at: Option<Micros>) {
        for (name, server_override) in &overrides {
            if self.overrides.get(name) == Some(server_override) {
                continue;
            }
            // An override with the same state and a new time was changed twice since: the server was, for example,
            // disabled and enabled again.
            let server = self.directory.set_disabled(name, server_override.disabled);
            if server_override.disabled {
                info!(event = "server_disabled", server = name, "disabled by an operator");
                self.events.push_back(Event::Disable(server));
            } else {
                let since = received_at.unwrap_or(micros_from_millis(server_override.since_ms as f64));
                info!(event = "server_enabled", server = name, "enabled by an operator");
                self.events.push_back(Event::Enable { server, since });
            }
        }
        self.overrides = overrides;
    }
}
