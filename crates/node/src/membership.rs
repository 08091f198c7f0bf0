//! The cluster membership of this node: runs the failure detector of [`stonefold_membership`] on a UDP socket.

mod listing;
mod logging;
mod service;

use std::net::SocketAddr;
use std::sync::Arc;

use stonefold_membership::{Codec, Settings};
use tokio::sync::{mpsc, oneshot};

use crate::metrics::MembershipMetrics;
use service::MembershipRequest;

/// The number of requests that may wait for the service.
const REQUEST_QUEUE: usize = 8;

/// How a node takes part in the membership.
pub struct MembershipConfig {
    /// This node's name, which stays the same after a restart.
    pub name: String,
    /// The address where datagrams are received.
    pub listen: SocketAddr,
    /// The address to which other nodes send datagrams, if that is not `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of members to join through.
    pub seeds: Vec<SocketAddr>,
    /// Encodes and decodes the cluster's datagrams.
    pub codec: Codec,
    /// The detector's intervals and bounds.
    pub settings: Settings,
}

/// A handle to the running membership of this node.
#[derive(Clone)]
pub(crate) struct Membership {
    requests: mpsc::Sender<MembershipRequest>,
    metrics: Arc<MembershipMetrics>,
}

impl Membership {
    /// Starts to take part in the membership. Binding the socket is retried until it succeeds.
    pub(crate) fn start(config: MembershipConfig) -> Membership {
        let (requests, receiver) = mpsc::channel(REQUEST_QUEUE);
        let metrics = Arc::new(MembershipMetrics::default());
        tokio::spawn(service::run(config, receiver, metrics.clone()));
        Membership { requests, metrics }
    }

    /// The metrics, which are updated while the membership runs.
    pub(crate) fn metrics(&self) -> Arc<MembershipMetrics> {
        self.metrics.clone()
    }

    /// Lists the members, one per line and this node first; `None` if the membership has ended.
    pub(crate) async fn list(&self) -> Option<String> {
        let (sender, answer) = oneshot::channel();
        self.requests.send(MembershipRequest::List(sender)).await.ok()?;
        answer.await.ok()
    }

    /// Announces to the other members that this node leaves, and ends the membership.
    pub(crate) async fn leave(&self) {
        let (sender, done) = oneshot::channel();
        if self.requests.send(MembershipRequest::Leave(sender)).await.is_ok() {
            let _ = done.await; // fails if the service has ended already
        }
    }
}
