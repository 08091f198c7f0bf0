//! Shared state of a node whose store is a member of the cluster.

use std::mem;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use stonefold_node::overrides::{Override, Overrides};
use stonefold_node::shared::{BoxFuture, ReplicatedState};
use stonefold_proto::endpoints::EndpointList;
use stonefold_store::daemon::MemberDaemon;
use stonefold_store::freshness::VersionCheck;
use stonefold_store::state::{AdminOverride, Change, Proposal, Rejection, Reply};
use tokio::time::{Instant, sleep};
use tracing::warn;

use super::{CONFIG_DOCUMENT, ConfigRevision, SharedConfig, parse_list};

/// The time within which an override must be committed and applied at this replica. It is less than half a second,
/// because an operator waits 1 s for the answer to a command.
const OVERRIDE_TIMEOUT: Duration = Duration::from_millis(400);
/// How often this replica is checked for a committed override until it is applied.
const APPLIED_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How long a list may take to be committed.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause before a list is proposed again.
const LIST_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The maximum random delay before a list is proposed. All nodes receive a list at the same time, and only one of them
/// needs to write it to the log.
const MAX_LIST_JITTER: Duration = Duration::from_millis(100);

/// An endpoint list that is to be proposed.
struct ListProposal {
    version: u64,
    text: String,
    /// The names of servers and their start times, in milliseconds of Unix time.
    started: Vec<(String, u64)>,
}

/// The queue of the publishing task: at most one list, as a newer one replaces it.
#[derive(Default)]
struct PublishQueue {
    /// The latest list that is not proposed yet.
    next: Option<ListProposal>,
    /// Whether the publishing task is running.
    is_publishing: bool,
}

/// The shared state of a node whose store is a member.
pub(crate) struct MemberState {
    daemon: MemberDaemon,
    /// The applied log index at the last call of `changed`.
    seen_index: AtomicU64,
    queue: Mutex<PublishQueue>,
    weak_self: Weak<MemberState>,
}

impl MemberState {
    /// The shared state over a running store.
    pub(crate) fn new(daemon: MemberDaemon) -> Arc<MemberState> {
        Arc::new_cyclic(|weak_self| MemberState {
            daemon,
            seen_index: AtomicU64::new(0),
            queue: Mutex::default(),
            weak_self: weak_self.clone(),
        })
    }

    fn queue(&self) -> MutexGuard<'_, PublishQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn propose(&self, change: Change, deadline: Instant) -> Result<Reply, String> {
        // Each proposal has a new client id, so that no proposal can supersede another.
        let proposal = Proposal { client: fastrand::u64(..), sequence: 1, change };
        self.daemon.replica.propose(proposal, deadline).await.map_err(|error| error.to_string())
    }

    fn committed_list_version(&self) -> u64 {
        self.daemon.replica.shared().read().state.list().map_or(0, |list| list.version)
    }

    /// Takes the next list to propose. If there is none, the publishing task ends.
    fn next_list(&self) -> Option<ListProposal> {
        let mut queue = self.queue();
        let next = queue.next.take().filter(|next| self.committed_list_version() < next.version);
        queue.is_publishing = next.is_some();
        next
    }

    /// Queues a list again, unless a newer one is queued.
    fn requeue(&self, list: ListProposal) {
        self.queue().next.get_or_insert(list);
    }

    /// The publishing task: proposes queued lists until there are none.
    async fn publish_queued(self: Arc<Self>) {
        while let Some(list) = self.next_list() {
            sleep(MAX_LIST_JITTER.mul_f64(fastrand::f64())).await;
            if self.committed_list_version() < list.version {
                self.propose_list(list).await;
            }
        }
    }

    async fn propose_list(&self, list: ListProposal) {
        let change = Change::List {
            version: list.version,
            text: list.text.clone(),
            learned_by: self.daemon.replica.identity().member,
            started: list.started.clone(),
        };
        match self.propose(change, Instant::now() + LIST_TIMEOUT).await {
            Ok(Reply::Applied(_) | Reply::Empty | Reply::Rejected(Rejection::StaleList { .. })) => {}
            Ok(Reply::Rejected(error)) => {
                let version = list.version;
                warn!(event = "list_rejected", version, %error, "the other nodes do not receive the list");
            }
            Err(error) => {
                let version = list.version;
                warn!(event = "list_proposal_failed", version, error, "the list is proposed again");
                self.requeue(list);
                sleep(LIST_RETRY_DELAY).await;
            }
        }
    }

    async fn commit_override(&self, server: String, admin_override: AdminOverride) -> Result<(), String> {
        let change = Change::Override { server: server.clone(), admin_override };
        let deadline = Instant::now() + OVERRIDE_TIMEOUT;
        match self.propose(change, deadline).await? {
            Reply::Rejected(reason) => return Err(reason.to_string()),
            Reply::Applied(_) | Reply::Empty => {}
        }
        // The leader has committed it; this replica may apply it a moment later.
        while self.daemon.replica.shared().read().state.overrides().get(&server) != Some(&admin_override) {
            if Instant::now() >= deadline {
                return Err("kept, but not in force here yet: ask again".into());
            }
            sleep(APPLIED_POLL_INTERVAL).await;
        }
        Ok(())
    }
}

impl SharedConfig for MemberState {
    fn config(&self) -> Option<ConfigRevision> {
        let applied = self.daemon.replica.shared().read();
        let latest = applied.state.document(CONFIG_DOCUMENT)?;
        Some(ConfigRevision { revision: latest.revision, text: latest.text.clone() })
    }
}

impl ReplicatedState for MemberState {
    fn ready(&self) -> BoxFuture<'_, ()> {
        let mut ready = self.daemon.ready.clone();
        // An error means that the store has ended. The node must not wait for it then.
        Box::pin(async move { _ = ready.wait_for(|ready| *ready).await })
    }

    fn overrides(&self) -> Overrides {
        let applied = self.daemon.replica.shared().read();
        let convert = |(server, stored): (&String, &AdminOverride)| {
            (server.clone(), Override { disabled: stored.disabled, since_ms: stored.since_ms })
        };
        applied.state.overrides().iter().map(convert).collect()
    }

    fn changed(&self) -> bool {
        let index = *self.daemon.replica.applied_index().borrow();
        self.seen_index.swap(index, Ordering::Relaxed) != index
    }

    fn set_override(&self, server: String, server_override: Override) -> BoxFuture<'_, Result<(), String>> {
        let admin_override =
            AdminOverride { disabled: server_override.disabled, since_ms: server_override.since_ms };
        Box::pin(self.commit_override(server, admin_override))
    }

    fn newer_list(&self) -> Option<EndpointList> {
        let in_use = self.daemon.replica.freshness(|freshness, _| freshness.in_use());
        let applied = self.daemon.replica.shared().read();
        let list = applied.state.list().filter(|list| list.version > in_use.list)?;
        parse_list(list.version, &list.text)
    }

    fn adopt_list(&self, version: u64) -> Result<(), u64> {
        match self.daemon.replica.freshness(|freshness, _| freshness.use_list(version)) {
            VersionCheck::Newer | VersionCheck::Current => Ok(()),
            VersionCheck::Stale { known } => Err(known),
        }
    }

    fn publish_list(&self, version: u64, text: String, started: Vec<(String, u64)>) {
        let mut queue = self.queue();
        queue.next = Some(ListProposal { version, text, started });
        if !mem::replace(&mut queue.is_publishing, true)
            && let Some(state) = self.weak_self.upgrade()
        {
            tokio::spawn(state.publish_queued());
        }
    }

    fn config_after(&self, revision: u64) -> BoxFuture<'_, u64> {
        Box::pin(async move {
            let mut applied = self.daemon.replica.applied_index();
            loop {
                if let Some(latest) = self.config().filter(|latest| latest.revision > revision) {
                    return latest.revision;
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
