//! The store as a node sees it that only follows: what is committed comes, nothing can be changed from here.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use stonefold_node::overrides::{Override, Overrides};
use stonefold_node::shared::{BoxFuture, SharedState};
use stonefold_proto::endpoints::EndpointList;
use stonefold_store::feed::frame::{Item, ItemKey};
use stonefold_store::feed::subscriber::Event;
use stonefold_store::follower::{self, Follower, FollowerError, Settings};
use stonefold_store::freshness::{Freshness, Verdict};
use tracing::debug;

use crate::shared::{CONFIG, Committed, readable};

/// A node's subscriber.
pub struct Followed {
    follower: Follower,
    seen: AtomicU64,
    /// What was acted on; lists that are held are committed.
    freshness: Mutex<Freshness>,
}

impl Followed {
    /// Starts to follow, and waits as the settings say.
    pub fn start(settings: Settings) -> Result<Arc<Followed>, FollowerError> {
        let follower = follower::start(settings, Box::new(purged))?;
        follower.wait();
        let freshness = Mutex::new(Freshness::new(0, 0, follower.list_in_use));
        Ok(Arc::new(Followed { follower, seen: AtomicU64::new(0), freshness }))
    }

    fn freshness<R>(&self, work: impl FnOnce(&mut Freshness) -> R) -> R {
        let mut freshness = self.freshness.lock().unwrap_or_else(PoisonError::into_inner);
        freshness.list_committed(self.follower.feed.view().list_version());
        work(&mut freshness)
    }
}

/// No cache of this platform knows purges: they are told, and nothing more.
fn purged(event: &Event) {
    debug!(event = "purge_records", told = ?event, "purge records have come");
}

impl Committed for Followed {
    fn config(&self) -> Option<(u64, String)> {
        match self.follower.feed.view().item(&ItemKey::Document(CONFIG.into())) {
            Some((revision, Item::Document { text, .. })) => Some((revision, text)),
            _ => None,
        }
    }
}

impl SharedState for Followed {
    fn ready(&self) -> BoxFuture<'_, ()> {
        let mut ready = self.follower.ready.clone();
        Box::pin(async move { _ = ready.wait_for(|ready| *ready).await }) // one that has ended keeps nobody waiting
    }

    fn overrides(&self) -> Overrides {
        let view = self.follower.feed.view();
        let keys: Vec<&ItemKey> =
            view.items().keys().filter(|key| matches!(key, ItemKey::Override(_))).collect();
        let server_override = |key: &ItemKey| match view.item(key) {
            Some((_, Item::Override { server, admin_override })) => Some((
                server,
                Override { disabled: admin_override.out_of_service, since_ms: admin_override.since_ms },
            )),
            _ => None,
        };
        keys.into_iter().filter_map(server_override).collect()
    }

    fn changed(&self) -> bool {
        // One more than the count: the first look is always a change.
        let now = *self.follower.feed.view_changes().borrow() + 1;
        self.seen.swap(now, Ordering::Relaxed) != now
    }

    fn set_override(&self, _: String, _: Override) -> BoxFuture<'_, Result<(), String>> {
        Box::pin(async {
            Err("this node follows the store, and can't change it: order at a member's node".into())
        })
    }

    fn newer_list(&self) -> Option<EndpointList> {
        let in_use = self.freshness(|freshness| freshness.in_use());
        let view = self.follower.feed.view();
        if view.list_version() <= in_use.list {
            return None;
        }
        match view.item(&ItemKey::List)?.1 {
            Item::List { version, text } => readable(version, &text),
            _ => None,
        }
    }

    fn adopt_list(&self, version: u64) -> Result<(), u64> {
        match self.freshness(|freshness| freshness.use_list(version)) {
            Verdict::Newer | Verdict::Current => {
                self.follower.feed.use_list(version);
                Ok(())
            }
            Verdict::Stale { known } => Err(known),
        }
    }

    /// Members learn lists by themselves, and tell them.
    fn publish_list(&self, _: u64, _: String, _: Vec<(String, u64)>) {}

    fn config_after(&self, revision: u64) -> BoxFuture<'_, u64> {
        Box::pin(async move {
            let mut items = self.follower.feed.view_changes();
            loop {
                if let Some((latest, _)) = self.config().filter(|(latest, _)| *latest > revision) {
                    return latest;
                }
                if items.changed().await.is_err() {
                    return std::future::pending().await; // it has ended
                }
            }
        })
    }

    fn config_applied(&self, revision: u64) {
        self.freshness(|freshness| freshness.use_config(revision));
    }
}
