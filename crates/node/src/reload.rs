//! A new configuration while the node runs: at each SIGHUP the file is taken whole, or not at all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};
use tracing::{Instrument, error, info, info_span};

use crate::config::{ConfigError, Followed};
use crate::message::{Control, SharedSettings};
use crate::metrics::Metrics;
use crate::momentary::until_done;
use crate::shared::Shared;

/// A class that the settings have dropped is still taken for so long: its last requests are on their way.
const LAST_REQUESTS: Duration = Duration::from_secs(1);

/// Follows the configuration file.
pub struct Follower {
    pub file: Followed,
    pub control: mpsc::Sender<Control>,
    pub metrics: Arc<Metrics>,
    pub new_address: watch::Sender<SocketAddr>,
    pub new_terms: watch::Sender<SharedSettings>,
    pub shared: Option<Arc<dyn Shared>>,
}

impl Follower {
    /// Goes on until the process ends.
    pub async fn run(mut self, mut reload: Signal) {
        // When dropped classes are no longer taken, and what holds then.
        let mut settled: Option<(Instant, SharedSettings)> = None;
        let (shared, mut seen) = (self.shared.clone(), 0);
        loop {
            let at = settled.as_ref().map(|(at, _)| *at);
            tokio::select! {
                Some(()) = reload.recv() => {
                    if let Some(terms) = self.reload().await {
                        settled = Some((Instant::now() + LAST_REQUESTS, terms));
                    }
                }
                revision = committed(&shared, seen) => {
                    seen = revision;
                    if let Some(terms) = self.reload().await {
                        settled = Some((Instant::now() + LAST_REQUESTS, terms));
                        shared.iter().for_each(|shared| shared.config_taken(revision));
                    }
                }
                () = sleep_until(at.unwrap_or_else(Instant::now)), if at.is_some() => {
                    if let Some((_, terms)) = settled.take() {
                        self.new_terms.send_replace(terms);
                    }
                }
                else => return,
            }
        }
    }

    async fn reload(&mut self) -> Option<SharedSettings> {
        let taken = self.take().instrument(info_span!("reload")).await;
        let refused = |error: &ConfigError| {
            self.metrics.rejected_reloads.increment();
            error!(event = "reload_refused", %error, "configuration kept as it was");
        };
        taken.inspect_err(refused).ok()
    }

    /// Brings the file as it is now into force. An error leaves all as it was.
    async fn take(&mut self) -> Result<SharedSettings, ConfigError> {
        let (new, file) = until_done(|| self.file.read()).await?;
        let (sender, answer) = oneshot::channel();
        let told = self.control.send(Control::Reload(Box::new(new.settings), sender)).await;
        told.map_err(|_| ConfigError::Ending)?;
        let terms = answer.await.map_err(|_| ConfigError::Ending)?.map_err(ConfigError::Settings)?;
        self.file.follow(file);
        terms.class_names.iter().for_each(|class| _ = self.metrics.class(class));
        self.new_terms.send_modify(|now| {
            now.class_names.extend(terms.class_names.iter().cloned());
            now.max_deadline = now.max_deadline.max(terms.max_deadline);
            now.discovery = terms.discovery;
        });
        let at = new.discovery;
        self.new_address.send_if_modified(|now| std::mem::replace(now, at) != at);
        info!(event = "reloaded", discovery = %at, classes = terms.class_names.len(), "new configuration in force");
        self.metrics.reloads.increment();
        Ok(terms)
    }
}

/// The revision of a shared configuration later than the one seen; never where nothing is shared.
async fn committed(shared: &Option<Arc<dyn Shared>>, seen: u64) -> u64 {
    match shared {
        Some(shared) => shared.config_after(seen).await,
        None => std::future::pending().await,
    }
}
