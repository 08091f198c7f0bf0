//! The store as a node sees it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use stonefold_node::overrides::{Override, Overrides};
use stonefold_node::shared::{BoxFuture, SharedState};
use stonefold_proto::endpoints::EndpointList;
use stonefold_store::daemon::Daemon;
use stonefold_store::freshness::Verdict;
use stonefold_store::state::{AdminOverride, Change, Proposal, Rejection, Reply};
use tokio::time::{Instant, sleep};
use tracing::warn;

/// The document that holds what all nodes share of their configuration.
pub const CONFIG: &str = "config";

/// An operator waits half a second for the node's word, of which the store gets so much.
const ORDER: Duration = Duration::from_millis(400);
/// A list is proposed for so long, and then again after a pause.
const LIST: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(1);
/// Nodes that learn a list together propose it at different times within this.
const SPREAD: Duration = Duration::from_millis(100);

/// What a node shares, and its own file reads.
pub trait Committed: SharedState {
    /// The shared part of the configuration as it is committed, and its revision.
    fn config(&self) -> Option<(u64, String)>;
}

/// A list that the others are to be told.
struct Learned {
    version: u64,
    text: String,
    started: Vec<(String, u64)>,
}

/// A node's store.
pub struct Stored {
    daemon: Daemon,
    seen: AtomicU64,
    /// The latest list that is not told yet, and whether somebody is telling.
    learned: Mutex<(Option<Learned>, bool)>,
    me: std::sync::Weak<Stored>,
}

impl Stored {
    /// What a running store is to its node.
    pub fn new(daemon: Daemon) -> Arc<Stored> {
        let (seen, learned) = Default::default();
        Arc::new_cyclic(|me| Stored { daemon, seen, learned, me: me.clone() })
    }

    async fn propose(&self, change: Change, until: Instant) -> Result<Reply, String> {
        // Each proposal is a client's only one: none can be overtaken by another.
        let proposal = Proposal { client: fastrand::u64(..), sequence: 1, change };
        self.daemon.replica.propose(proposal, until).await.map_err(|error| error.to_string())
    }

    fn next(&self) -> Option<Learned> {
        let mut learned = self.learned.lock().unwrap_or_else(PoisonError::into_inner);
        let next = learned.0.take().filter(|next| self.committed() < next.version);
        learned.1 = next.is_some();
        next
    }

    /// What could not be told is told later, unless there is something newer.
    fn put_back(&self, old: Learned) {
        let mut learned = self.learned.lock().unwrap_or_else(PoisonError::into_inner);
        learned.0.get_or_insert(old);
    }

    /// The version of the committed list.
    fn committed(&self) -> u64 {
        self.daemon.replica.shared().read().state.list().map_or(0, |list| list.version)
    }

    async fn tell(self: Arc<Self>) {
        while let Some(Learned { version, text, started }) = self.next() {
            let learned_by = self.daemon.replica.identity().member;
            let change = Change::List { version, text: text.clone(), learned_by, started: started.clone() };
            // Guards against: all nodes that learn a list at once, of which each writes it to the log.
            sleep(SPREAD.mul_f64(fastrand::f64())).await;
            if self.committed() >= version {
                continue;
            }
            match self.propose(change, Instant::now() + LIST).await {
                Ok(Reply::Applied(_) | Reply::Empty | Reply::Rejected(Rejection::StaleList { .. })) => {}
                Ok(Reply::Rejected(error)) => {
                    warn!(event = "list_refused", version, %error, "the others are not told of the list");
                }
                Err(error) => {
                    warn!(event = "list_not_kept", version, error, "the list is proposed again");
                    self.put_back(Learned { version, text, started });
                    sleep(PAUSE).await;
                }
            }
        }
    }
}

impl Committed for Stored {
    fn config(&self) -> Option<(u64, String)> {
        let applied = self.daemon.replica.shared().read();
        let latest = applied.state.document(CONFIG)?;
        Some((latest.revision, latest.text.clone()))
    }
}

impl SharedState for Stored {
    fn ready(&self) -> BoxFuture<'_, ()> {
        let mut ready = self.daemon.ready.clone();
        Box::pin(async move { _ = ready.wait_for(|ready| *ready).await }) // a store that has ended keeps nobody waiting
    }

    fn overrides(&self) -> Overrides {
        let applied = self.daemon.replica.shared().read();
        let server_override = |(id, stored): (&String, &AdminOverride)| {
            (id.clone(), Override { disabled: stored.out_of_service, since_ms: stored.since_ms })
        };
        applied.state.overrides().iter().map(server_override).collect()
    }

    fn changed(&self) -> bool {
        let now = *self.daemon.replica.applied().borrow();
        self.seen.swap(now, Ordering::Relaxed) != now
    }

    fn set_override(&self, server: String, server_override: Override) -> BoxFuture<'_, Result<(), String>> {
        let admin_override =
            AdminOverride { out_of_service: server_override.disabled, since_ms: server_override.since_ms };
        Box::pin(async move {
            let change = Change::Override { server: server.clone(), admin_override };
            let until = Instant::now() + ORDER;
            match self.propose(change, until).await? {
                Reply::Rejected(why) => return Err(why.to_string()),
                Reply::Applied(_) | Reply::Empty => {}
            }
            // Committed by whoever leads; here it may be applied a moment later.
            while self.daemon.replica.shared().read().state.overrides().get(&server) != Some(&admin_override)
            {
                if Instant::now() >= until {
                    return Err("kept, but not in force here yet: ask again".into());
                }
                sleep(Duration::from_millis(2)).await;
            }
            Ok(())
        })
    }

    fn newer_list(&self) -> Option<EndpointList> {
        let in_use = self.daemon.replica.freshness(|freshness, _| freshness.in_use());
        let applied = self.daemon.replica.shared().read();
        let list = applied.state.list().filter(|list| list.version > in_use.list)?;
        readable(list.version, &list.text)
    }

    fn adopt_list(&self, version: u64) -> Result<(), u64> {
        match self.daemon.replica.freshness(|freshness, _| freshness.use_list(version)) {
            Verdict::Newer | Verdict::Current => Ok(()),
            Verdict::Stale { known } => Err(known),
        }
    }

    fn publish_list(&self, version: u64, text: String, started: Vec<(String, u64)>) {
        let mut learned = self.learned.lock().unwrap_or_else(PoisonError::into_inner);
        learned.0 = Some(Learned { version, text, started });
        if !std::mem::replace(&mut learned.1, true)
            && let Some(me) = self.me.upgrade()
        {
            tokio::spawn(me.tell());
        }
    }

    fn config_after(&self, revision: u64) -> BoxFuture<'_, u64> {
        Box::pin(async move {
            let mut applied = self.daemon.replica.applied();
            loop {
                if let Some((latest, _)) = self.config().filter(|(latest, _)| *latest > revision) {
                    return latest;
                }
                if applied.changed().await.is_err() {
                    return std::future::pending().await; // the store has ended
                }
            }
        })
    }

    fn config_applied(&self, revision: u64) {
        self.daemon.replica.freshness(|freshness, _| freshness.use_config(revision));
    }
}

/// A kept list, if it is one.
pub fn readable(version: u64, text: &str) -> Option<EndpointList> {
    match serde_json::from_str(text) {
        Ok(list) => Some(list),
        Err(error) => {
            warn!(event = "list_unreadable", version, %error, "the kept list is not acted on");
            None
        }
    }
}
