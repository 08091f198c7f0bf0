//! Messages to the driver, which alone owns the open requests and the decisions.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use stonefold_balancer::settings_document::{ResolvedSettings, SettingsDocument, SettingsError};
use stonefold_balancer::{AttemptId, RequestId, ServerId};
use stonefold_proto::endpoints::EndpointList;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::client_status::ClientStatus;
use crate::overrides::Overrides;
use crate::relay::ValueStream;
use crate::request::{ClientRequest, Response};
use crate::upstream::attempt::AttemptResult;
use crate::upstream::connection::ServerConnection;

/// What the other parts of the node notify the driver of.
///
/// The channel is unbounded: the number of sessions and attempts is limited, and each has few messages in the channel.
pub(crate) enum Message {
    /// A client sent a request.
    RequestReceived(IncomingRequest),
    /// A client sent a request beyond what its connection may have open.
    ExcessRequest(ExcessRequest),
    /// The client of a request disconnected.
    ClientDisconnected(RequestId),
    /// The value of an attempt has begun to arrive and is forwarded while it does.
    ResponseStarted { attempt: AttemptId, stream: ValueStream },
    /// An attempt ran to its end.
    AttemptFinished(FinishedAttempt),
    /// An endpoint list, complete or changed entries only.
    EndpointList(EndpointList),
    /// A poll or watch of the endpoint list failed.
    EndpointListFailed,
}

/// Control messages, which the driver takes before all others, however many of those wait.
pub(crate) enum Control {
    /// Graceful shutdown: the process ends at this time, and every request must have its response by then.
    Shutdown(Instant),
    /// Asks whether there is a server of this name.
    IsKnownServer { name: String, reply: oneshot::Sender<bool> },
    /// New settings; the reply is what they mean for the other parts of the node.
    Reload { document: Box<SettingsDocument>, reply: oneshot::Sender<Result<SharedSettings, SettingsError>> },
    /// The operators' overrides for servers, as they are now. The sender is notified once they are in force.
    Overrides { overrides: Overrides, applied: Option<oneshot::Sender<()>> },
}

/// What the settings mean for the parts of the node around the driver.
#[derive(Clone)]
pub(crate) struct SharedSettings {
    /// Classes that clients may name.
    pub(crate) class_names: HashSet<String>,
    /// The longest deadline of any class, counted from the request.
    pub(crate) max_deadline: Duration,
    /// How the endpoint list is followed.
    pub(crate) discovery: DiscoverySettings,
}

/// How the endpoint list is followed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct DiscoverySettings {
    /// Whether a fleet shares one discovery service that has to be watched; else an agent pushes lists.
    pub(crate) watch: bool,
    /// Without a watch the list is polled at least this often.
    pub(crate) max_poll_interval: Duration,
    /// Nodes that share the discovery service, this one included.
    pub(crate) node_count: usize,
}

impl From<&ResolvedSettings> for SharedSettings {
    fn from(resolved: &ResolvedSettings) -> SharedSettings {
        let settings = &resolved.settings;
        SharedSettings {
            class_names: resolved.class_names().clone(),
            max_deadline: Duration::from_micros(resolved.max_deadline),
            discovery: DiscoverySettings {
                watch: settings.watch_required,
                max_poll_interval: Duration::from_micros(settings.max_poll_interval),
                node_count: settings.node_count,
            },
        }
    }
}

/// A client's request as it reaches the driver.
pub(crate) struct IncomingRequest {
    pub(crate) id: RequestId,
    pub(crate) request: ClientRequest,
    /// The earliest time at which it may have arrived; its timeout counts from then.
    pub(crate) received_at: Instant,
    /// Takes the response.
    pub(crate) response: oneshot::Sender<Response>,
    pub(crate) client: ClientStatus,
}

/// A request beyond what one connection may have open. It is rejected at once and never forwarded.
pub(crate) struct ExcessRequest {
    /// The class that it names.
    pub(crate) class: Option<String>,
    /// Takes the response.
    pub(crate) response: oneshot::Sender<Response>,
}

/// An attempt that has run to its end.
pub(crate) struct FinishedAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) result: AttemptResult,
    pub(crate) server: ServerId,
    pub(crate) addr: SocketAddr,
    /// The connection, if it can be used again.
    pub(crate) connection: Option<ServerConnection>,
}
