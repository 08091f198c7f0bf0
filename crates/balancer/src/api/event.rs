//! What a balancer is notified of.

use super::{
    AttemptEnd, AttemptId, Endpoint, EndpointUpdate, Micros, Request, RequestId, ServerId, Settings,
    TimerToken,
};

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    Endpoints {
        /// How to read `endpoints`.
        update: EndpointUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request was received; it must get one final answer.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The response of an attempt has begun and is forwarded to the client.
    ResponseStarted(AttemptId),
    /// The client disconnected; it expects no answer any more.
    ClientDisconnected(RequestId),
    /// A timer is due.
    Timer(TimerToken),
    /// New settings. A class or tenant keeps its index, and new ones come behind those before; open requests
    /// keep the rules of their class and the most attempts.
    Settings(Box<Settings>),
    /// Operators take a server out of service, whatever the endpoint list has, until they enable it. It need not be
    /// listed. Idempotent.
    Disable(ServerId),
    /// Operators put a server back into service, possibly after restarting it.
    Enable {
        /// The server.
        server: ServerId,
        /// Since when it may be used; its slow start counts from then.
        since: Micros,
    },
    /// Graceful shutdown: every request, also one received before, must have its final answer by this time.
    Shutdown {
        /// When the process ends.
        deadline: Micros,
    },
}
