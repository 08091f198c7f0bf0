//! The events that a balancer is notified of.

use super::{
    AttemptEnd, AttemptId, Endpoint, EndpointUpdate, Micros, Request, RequestId, ServerId, Settings,
    TimerToken,
};

/// An event that the embedder reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list or changes of it arrived, or a poll or watch of it failed.
    Endpoints {
        /// How `endpoints` relates to the present list.
        update: EndpointUpdate,
        /// Entries of the list.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request was received; it must get one final answer.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The response of an attempt has begun and is forwarded to the client.
    ResponseStarted(AttemptId),
    /// The client disconnected; its request needs no answer any more.
    ClientDisconnected(RequestId),
    /// A timer expired.
    Timer(TimerToken),
    /// The settings changed. Classes and tenants must keep their indices, and new ones must follow the previous ones.
    /// Open requests keep the rules of their class and their largest number of attempts.
    Settings(Box<Settings>),
    /// Operators take a server out of service, regardless of the endpoint list, until they enable it. The server need
    /// not be listed. Repeating the event has no further effect.
    Disable(ServerId),
    /// Operators put a server back into service, possibly after restarting it.
    Enable {
        /// The server.
        server: ServerId,
        /// Since when it may be used; its slow start begins then.
        since: Micros,
    },
    /// A graceful shutdown begins: every request, also one received earlier, must have its final answer by the
    /// deadline.
    Shutdown {
        /// When the process ends.
        deadline: Micros,
    },
}
