//! Stores overrides in a file on this machine, or in the store that all nodes share.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;
use tracing::error;

use super::{Override, OverrideError, OverrideFile, Overrides, now_ms};
use crate::message::{Control, Message};
use crate::shared::ReplicatedState;
use crate::transient::{TransientError, retry_transient};

/// The interval at which changes by other processes and nodes are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Where overrides are stored.
pub(crate) enum OverrideStore {
    /// A file on this machine.
    File(OverrideFile),
    /// The store that all nodes share.
    Shared(Arc<dyn ReplicatedState>),
}

/// The overrides that a process starts with.
pub(crate) struct InitialOverrides {
    pub(crate) overrides: Overrides,
    /// Whether the stored overrides could not be read because of a transient error, and still have to be loaded.
    pub(crate) load_pending: bool,
}

impl OverrideStore {
    /// Returns the stored overrides.
    ///
    /// # Errors
    /// If they can't be read.
    pub(crate) fn load(&self) -> Result<Overrides, OverrideError> {
        match self {
            OverrideStore::File(file) => file.load(),
            OverrideStore::Shared(shared) => Ok(shared.overrides()),
        }
    }

    /// Loads the overrides that a process starts with; none if they can't be read.
    pub(crate) async fn load_at_start(&self) -> InitialOverrides {
        match retry_transient(|| self.load()).await {
            Ok(overrides) => InitialOverrides { overrides, load_pending: false },
            Err(error) => {
                error!(event = "overrides_unreadable", %error, "the stored overrides can't be read; no overrides are in force");
                InitialOverrides { overrides: Overrides::new(), load_pending: error.is_transient() }
            }
        }
    }

    /// Whether the overrides may have changed since the last call.
    pub(crate) fn changed(&self) -> bool {
        match self {
            OverrideStore::File(file) => file.changed(),
            OverrideStore::Shared(shared) => shared.changed(),
        }
    }

    /// Disables or enables a server durably, and returns the overrides then in force. If the server is already in that
    /// state, the override in force keeps its time.
    ///
    /// # Errors
    /// If the override can't be stored.
    pub(crate) async fn set(&self, server: String, disabled: bool) -> Result<Overrides, OverrideError> {
        let new = Override { disabled, since_ms: now_ms() };
        match self {
            OverrideStore::File(file) => {
                let change = |overrides: &mut Overrides| {
                    if is_change(overrides, &server, disabled) {
                        overrides.insert(server.clone(), new);
                    }
                };
                retry_transient(|| file.change(change)).await
            }
            OverrideStore::Shared(shared) => {
                if is_change(&shared.overrides(), &server, disabled) {
                    shared.set_override(server, new).await.map_err(OverrideError::Shared)?;
                }
                Ok(shared.overrides())
            }
        }
    }
}

/// Whether an override differs from the one in force.
fn is_change(overrides: &Overrides, server: &str, disabled: bool) -> bool {
    overrides.get(server).map_or(disabled, |current| current.disabled != disabled)
}

/// Forwards changes by other processes or nodes to the driver, until the node ends. `load_pending` is as in
/// [`InitialOverrides`].
pub(crate) async fn follow(
    store: Arc<OverrideStore>,
    mut load_pending: bool,
    control: mpsc::Sender<Control>,
    to_driver: UnboundedSender<Message>,
) {
    loop {
        sleep(POLL_INTERVAL).await;
        if !store.changed() && !load_pending {
            continue;
        }
        if let OverrideStore::Shared(shared) = &*store
            && let Some(list) = shared.newer_list()
        {
            let _ = to_driver.send(Message::EndpointList(list)); // the driver may have ended
        }
        match store.load() {
            Ok(overrides) => {
                load_pending = false;
                let _ = control.send(Control::Overrides { overrides, applied: None }).await; // the driver may have ended
            }
            Err(error) => {
                error!(event = "overrides_unreadable", %error, "the stored overrides can't be read; those in force stay");
                load_pending = error.is_transient();
            }
        }
    }
}
