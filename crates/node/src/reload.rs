//! Reloads the configuration at each SIGHUP, and at each new revision of a shared configuration. It takes effect
//! completely, or not at all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};
use tracing::{Instrument, error, info, info_span};

use crate::config::{ConfigError, ReloadSource};
use crate::message::{Control, SharedSettings};
use crate::metrics::Metrics;
use crate::shared::ReplicatedState;
use crate::transient::retry_transient;

/// How long requests of a class are still accepted after a reload has removed it, since some are in flight.
const REMOVED_CLASS_GRACE: Duration = Duration::from_secs(1);

/// Reloads the configuration.
pub(crate) struct ConfigReloader {
    /// Where the configuration is read.
    pub(crate) source: ReloadSource,
    /// The driver's control channel.
    pub(crate) control: mpsc::Sender<Control>,
    /// Counts the reloads.
    pub(crate) metrics: Arc<Metrics>,
    /// Receives discovery's address.
    pub(crate) discovery_address: watch::Sender<SocketAddr>,
    /// Receives the settings for the parts of the node other than the driver.
    pub(crate) settings: watch::Sender<SharedSettings>,
    /// The store that all nodes share, if there is one.
    pub(crate) shared: Option<Arc<dyn ReplicatedState>>,
}

/// Settings that no longer have the removed classes, and when they take effect.
struct PendingSettings {
    at: Instant,
    settings: SharedSettings,
}

impl ConfigReloader {
    /// Runs until the process ends.
    pub(crate) async fn run(mut self, mut reload: Signal) {
        let mut pending: Option<PendingSettings> = None;
        let shared = self.shared.clone();
        let mut seen_revision = 0;
        loop {
            let pending_at = pending.as_ref().map(|pending| pending.at);
            tokio::select! {
                Some(()) = reload.recv() => {
                    pending = self.reload().await.or(pending);
                }
                revision = next_revision(&shared, seen_revision) => {
                    seen_revision = revision;
                    if let Some(reloaded) = self.reload().await {
                        pending = Some(reloaded);
                        if let Some(shared) = &shared {
                            shared.config_applied(revision);
                        }
                    }
                }
                () = sleep_until(pending_at.unwrap_or_else(Instant::now)), if pending_at.is_some() => {
                    if let Some(pending) = pending.take() {
                        self.settings.send_replace(pending.settings);
                    }
                }
                else => return,
            }
        }
    }

    /// Reloads once. Counts and logs a failure.
    async fn reload(&mut self) -> Option<PendingSettings> {
        match self.try_reload().instrument(info_span!("reload")).await {
            Ok(settings) => Some(PendingSettings { at: Instant::now() + REMOVED_CLASS_GRACE, settings }),
            Err(error) => {
                self.metrics.rejected_reloads.increment();
                error!(event = "reload_rejected", %error, "the reload was rejected; the configuration is unchanged");
                None
            }
        }
    }

    /// Reads the configuration and puts it in force. Returns the settings without the removed classes. After an error
    /// nothing has changed.
    async fn try_reload(&mut self) -> Result<SharedSettings, ConfigError> {
        let (config, document) = retry_transient(|| self.source.read()).await?;
        let (reply, answer) = oneshot::channel();
        let control = Control::Reload { document: Box::new(config.settings), reply };
        let sent = self.control.send(control).await;
        sent.map_err(|_| ConfigError::ShuttingDown)?;
        let settings = answer.await.map_err(|_| ConfigError::ShuttingDown)?.map_err(ConfigError::Settings)?;
        self.source.commit(document);
        for class in &settings.class_names {
            self.metrics.class(class);
        }
        self.settings.send_modify(|current| {
            current.class_names.extend(settings.class_names.iter().cloned());
            current.max_deadline = current.max_deadline.max(settings.max_deadline);
            current.discovery = settings.discovery;
        });
        let discovery = config.discovery;
        self.discovery_address.send_if_modified(|current| std::mem::replace(current, discovery) != discovery);
        info!(event = "reloaded", %discovery, classes = settings.class_names.len(), "the new configuration is in force");
        self.metrics.reloads.increment();
        Ok(settings)
    }
}

/// Waits for a revision of the shared configuration later than the one seen. Never returns if nothing is shared.
async fn next_revision(shared: &Option<Arc<dyn ReplicatedState>>, seen: u64) -> u64 {
    match shared {
        Some(shared) => shared.config_after(seen).await,
        None => std::future::pending().await,
    }
}
