//! A node's access to the replicated store: through a member's replica, or as a subscriber.

mod member;
mod subscriber;

use stonefold_node::shared::ReplicatedState;
use stonefold_proto::endpoints::EndpointList;
use tracing::warn;

pub(crate) use member::MemberState;
pub(crate) use subscriber::SubscriberState;

/// The name of the document with the part of the configuration that all nodes share.
pub(crate) const CONFIG_DOCUMENT: &str = "config";

/// A committed revision of the shared configuration.
pub(crate) struct ConfigRevision {
    pub(crate) revision: u64,
    /// The text of the revision, as TOML.
    pub(crate) text: String,
}

/// Shared state that contains a part of the node's configuration.
pub(crate) trait SharedConfig: ReplicatedState {
    /// The latest committed configuration; `None` if there is none, or if it is not known yet.
    fn config(&self) -> Option<ConfigRevision>;
}

/// Parses a committed endpoint list. If it can't be used, logs why and returns `None`.
fn parse_list(version: u64, text: &str) -> Option<EndpointList> {
    match serde_json::from_str(text) {
        Ok(list) => Some(list),
        Err(error) => {
            warn!(event = "list_unreadable", version, %error, "the committed endpoint list is not used");
            None
        }
    }
}
