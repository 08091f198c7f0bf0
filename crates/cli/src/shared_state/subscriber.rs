//! Shared state of a node that subscribes to the store: it receives what is committed, and cannot change it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use stonefold_node::overrides::{Override, Overrides};
use stonefold_node::shared::{BoxFuture, ReplicatedState};
use stonefold_proto::endpoints::EndpointList;
use stonefold_store::feed::frame::{Item, ItemKey};
use stonefold_store::feed::subscriber::Event;
use stonefold_store::follower::{self, SubscriberDaemon, SubscriberDaemonError, SubscriberSettings};
use stonefold_store::freshness::{Freshness, VersionCheck};
use tracing::debug;

use super::{CONFIG_DOCUMENT, ConfigRevision, SharedConfig, parse_list};

/// The shared state of a node that is a subscriber.
pub(crate) struct SubscriberState {
    daemon: SubscriberDaemon,
    /// One more than the count of changes at the last call of `changed`; 0 before the first.
    seen_changes: AtomicU64,
    /// The versions in use. Every list that the subscriber has received is committed.
    freshness: Mutex<Freshness>,
}

impl SubscriberState {
    /// Starts the subscriber, and waits for the committed state as long as the settings allow.
    ///
    /// # Errors
    /// If its folder, key or addresses can't be used.
    pub(crate) fn start(settings: SubscriberSettings) -> Result<Arc<SubscriberState>, SubscriberDaemonError> {
        let daemon = follower::start(settings, Box::new(log_purge))?;
        daemon.wait();
        let freshness = Mutex::new(Freshness::new(0, 0, daemon.list_in_use));
        Ok(Arc::new(SubscriberState { daemon, seen_changes: AtomicU64::new(0), freshness }))
    }

    fn with_freshness<R>(&self, work: impl FnOnce(&mut Freshness) -> R) -> R {
        let mut freshness = self.freshness.lock().unwrap_or_else(PoisonError::into_inner);
        freshness.list_committed(self.daemon.feed.view().list_version());
        work(&mut freshness)
    }
}

/// Logs purge records. Nothing else is done with them: no cache server of this platform supports purges.
fn log_purge(event: &Event) {
    debug!(event = "purge_records", records = ?event, "purge records were received");
}

impl SharedConfig for SubscriberState {
    fn config(&self) -> Option<ConfigRevision> {
        match self.daemon.feed.view().item(&ItemKey::Document(CONFIG_DOCUMENT.into())) {
            Some((revision, Item::Document { text, .. })) => Some(ConfigRevision { revision, text }),
            _ => None,
        }
    }
}

impl ReplicatedState for SubscriberState {
    fn ready(&self) -> BoxFuture<'_, ()> {
        let mut ready = self.daemon.ready.clone();
        // An error means that the subscriber has ended. The node must not wait for it then.
        Box::pin(async move { _ = ready.wait_for(|ready| *ready).await })
    }

    fn overrides(&self) -> Overrides {
        let view = self.daemon.feed.view();
        let keys: Vec<&ItemKey> =
            view.items().keys().filter(|key| matches!(key, ItemKey::Override(_))).collect();
        let convert = |key: &ItemKey| match view.item(key) {
            Some((_, Item::Override { server, admin_override: stored })) => {
                Some((server, Override { disabled: stored.disabled, since_ms: stored.since_ms }))
            }
            _ => None,
        };
        keys.into_iter().filter_map(convert).collect()
    }

    fn changed(&self) -> bool {
        // One more than the count, so that the first call returns true.
        let changes = *self.daemon.feed.view_changes().borrow() + 1;
        self.seen_changes.swap(changes, Ordering::Relaxed) != changes
    }

    fn set_override(&self, _: String, _: Override) -> BoxFuture<'_, Result<(), String>> {
        Box::pin(async {
            Err("this node follows the store, and can't change it: order at a member's node".into())
        })
    }

    fn newer_list(&self) -> Option<EndpointList> {
        let in_use = self.with_freshness(|freshness| freshness.in_use());
        let view = self.daemon.feed.view();
        if view.list_version() <= in_use.list {
            return None;
        }
        match view.item(&ItemKey::List)?.1 {
            Item::List { version, text } => parse_list(version, &text),
            _ => None,
        }
    }

    fn adopt_list(&self, version: u64) -> Result<(), u64> {
        match self.with_freshness(|freshness| freshness.use_list(version)) {
            VersionCheck::Newer | VersionCheck::Current => {
                self.daemon.feed.use_list(version);
                Ok(())
            }
            VersionCheck::Stale { known } => Err(known),
        }
    }

    /// Does nothing: members publish the lists that they receive from discovery.
    fn publish_list(&self, _: u64, _: String, _: Vec<(String, u64)>) {}

    fn config_after(&self, revision: u64) -> BoxFuture<'_, u64> {
        Box::pin(async move {
            let mut changes = self.daemon.feed.view_changes();
            loop {
                if let Some(latest) = self.config().filter(|latest| latest.revision > revision) {
                    return latest.revision;
                }
                if changes.changed().await.is_err() {
                    return std::future::pending().await; // the subscriber has ended
                }
            }
        })
    }

    fn config_applied(&self, revision: u64) {
        self.with_freshness(|freshness| freshness.use_config(revision));
    }
}
