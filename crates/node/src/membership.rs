//! The cluster membership of this node: [`stonefold_membership`]'s detector on a UDP socket.

mod listing;
mod logging;
mod service;

use std::net::SocketAddr;
use std::sync::Arc;

use stonefold_membership::{Codec, Settings};
use tokio::sync::{mpsc, oneshot};

use crate::metrics::MembershipMetrics;
use service::MembershipRequest;

/// Requests that may wait for the service.
const REQUEST_QUEUE: usize = 8;

/// How a node takes part in the membership.
pub struct MembershipConfig {
    /// This node's name, which stays over restarts.
    pub name: String,
    /// Where datagrams are received.
    pub listen: SocketAddr,
    /// The address of that for other nodes, if it is another one.
    pub advertise: Option<SocketAddr>,
    /// Addresses of members to join through.
    pub seeds: Vec<SocketAddr>,
    /// Encodes and decodes the cluster's datagrams.
    pub codec: Codec,
    /// Intervals and bounds.
    pub settings: Settings,
}

/// A handle to the running membership of this node.
#[derive(Clone)]
pub(crate) struct Membership {
    requests: mpsc::Sender<MembershipRequest>,
    metrics: Arc<MembershipMetrics>,
}

impl Membership {
    /// Starts to take part. A socket that can't be bound yet is retried until it can.
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

    /// One line for each member, this node first; `None` if the membership has ended.
    pub(crate) async fn list(&self) -> Option<String> {
        let (sender, answer) = oneshot::channel();
        self.requests.send(MembershipRequest::List(sender)).await.ok()?;
        answer.await.ok()
    }

    /// Announces to other members that this node leaves.
    pub(crate) async fn leave(&self) {
        let (sender, done) = oneshot::channel();
        if self.requests.send(MembershipRequest::Leave(sender)).await.is_ok() {
            let _ = done.await; // it has ended already
        }
    }
}
