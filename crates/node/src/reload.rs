//! Reloads: at each SIGHUP, and at each new revision of a shared configuration, the configuration is read again and
//! takes effect completely, or not at all.

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

/// Requests of a class that a reload has removed are still accepted for this time, since some are in flight.
const REMOVED_CLASS_GRACE: Duration = Duration::from_secs(1);

/// Reloads the configuration.
pub(crate) struct ConfigReloader {
    /// Where the configuration is read.
    pub(crate) source: ReloadSource,
    /// The driver's control channel.
    pub(crate) control: mpsc::Sender<Control>,
    /// Counts the reloads.
    pub(crate) metrics: Arc<Metrics>,
    /// Takes discovery's address.
    pub(crate) discovery_address: watch::Sender<SocketAddr>,
    /// Takes the settings of the parts around the driver.
    pub(crate) settings: watch::Sender<SharedSettings>,
    /// The store that all nodes share, if there is one.
    pub(crate) shared: Option<Arc<dyn ReplicatedState>>,
}

/// The settings without removed classes, and when they take effect.
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

    /// Reloads once; counts and logs a failure.
    async fn reload(&mut self) -> Option<PendingSettings> {
        match self.try_reload().instrument(info_span!("reload")).await {
            Ok(settings) => Some(PendingSettings { at: Instant::now() + REMOVED_CLASS_GRACE, settings }),
            Err(error) => {
                self.metrics.rejected_reloads.increment();
                error!(event = "reload_rejected", %error, "the configuration stays as it was");
                None
            }
        }
    }

    /// Puts the configuration as it is now into force; returns the settings without removed classes. An
    /// error leaves everything as it was.
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

/// Waits for a revision of the shared configuration later than the one seen; forever where nothing is shared.
async fn next_revision(shared: &Option<Arc<dyn ReplicatedState>>, seen: u64) -> u64 {
    match shared {
        Some(shared) => shared.config_after(seen).await,
        None => std::future::pending().await,
    }
}
