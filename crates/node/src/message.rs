//! Messages to the driver, the task that owns the open requests and makes the decisions about them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stonefold_balancer::settings_document::{ResolvedSettings, SettingsDocument, SettingsError};
use stonefold_balancer::{AttemptId, RequestId, ServerId};
use stonefold_proto::endpoints::EndpointList;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::client_status::ClientStatus;
use crate::clients::RequestMemory;
use crate::memory_budget::ReplyReservation;
use crate::overrides::Overrides;
use crate::relay::ValueStream;
use crate::reply_turn::ReplyTurn;
use crate::request::{ClientRequest, Response};
use crate::upstream::attempt::AttemptResult;
use crate::upstream::connection::ServerConnection;

/// Events that the other parts of the node report to the driver.
///
/// The channel is unbounded: the number of sessions and attempts is limited, and each has few messages in the channel.
pub(crate) enum Message {
    /// A client sent a request.
    RequestReceived(IncomingRequest),
    /// A client sent a request that its session did not open: its connection had as many open as it may have, or there
    /// was no memory for the command.
    ExcessRequest(ExcessRequest),
    /// The client of a request disconnected.
    ClientDisconnected(RequestId),
    /// A large value has begun to arrive from a server. `stream` yields it while it arrives.
    ResponseStarted { attempt: AttemptId, stream: ValueStream },
    /// The task of an attempt ran to its end.
    AttemptFinished(FinishedAttempt),
    /// An endpoint list arrived, which is complete or has the changed entries only.
    EndpointList(EndpointList),
    /// A poll or watch of the endpoint list failed.
    EndpointListFailed,
}

/// Control messages, which the driver takes before any [`Message`].
pub(crate) enum Control {
    /// Starts a graceful shutdown. Every request must have its response by this time.
    Shutdown(Instant),
    /// Asks whether there is a server of this name.
    IsKnownServer { name: String, reply: oneshot::Sender<bool> },
    /// Replaces the settings. The reply is what the other parts of the node need of them, or why they are invalid.
    Reload { document: Box<SettingsDocument>, reply: oneshot::Sender<Result<SharedSettings, SettingsError>> },
    /// Replaces the operators' overrides for servers. `applied` is notified once they are in force.
    Overrides { overrides: Overrides, applied: Option<oneshot::Sender<()>> },
}

/// What the parts of the node other than the driver need of the settings.
#[derive(Clone)]
pub(crate) struct SharedSettings {
    /// The classes that clients may name.
    pub(crate) class_names: HashSet<String>,
    /// The longest deadline of any class, counted from the arrival of a request.
    pub(crate) max_deadline: Duration,
    /// How the node follows the endpoint list.
    pub(crate) discovery: DiscoverySettings,
}

/// How the node follows the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct DiscoverySettings {
    /// Whether the node watches a discovery service that a whole fleet shares. If not, an agent pushes lists.
    pub(crate) watch: bool,
    /// The longest interval between polls of the list without a watch.
    pub(crate) max_poll_interval: Duration,
    /// The number of nodes that share the discovery service, including this one.
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
    /// The earliest time at which the request may have arrived. Its timeout counts from then.
    pub(crate) received_at: Instant,
    /// Whether the client has many requests open on its connection.
    pub(crate) is_crowded: bool,
    /// Receives the response.
    pub(crate) response: oneshot::Sender<Response>,
    pub(crate) client: ClientStatus,
    /// The memory that was reserved for the reply.
    pub(crate) reservation: ReplyReservation,
    /// Whether the reply is the next one of its connection.
    pub(crate) turn: ReplyTurn,
    /// The memory that is accounted for the request.
    pub(crate) memory: Arc<RequestMemory>,
}

/// A request beyond the number that one connection may have open. It is rejected at once and never forwarded.
pub(crate) struct ExcessRequest {
    /// The class that the request names.
    pub(crate) class: Option<String>,
    /// Receives the response.
    pub(crate) response: oneshot::Sender<Response>,
}

/// An attempt whose task has run to its end.
pub(crate) struct FinishedAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) result: AttemptResult,
    pub(crate) server: ServerId,
    pub(crate) addr: SocketAddr,
    /// The connection to the server, if another request may use it.
    pub(crate) connection: Option<ServerConnection>,
}
