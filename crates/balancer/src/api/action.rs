//! The actions that a balancer asks for.

use super::{AttemptId, Micros, RequestId, ServerId, TimerToken};

/// An action that the embedder must carry out, in the order in which the balancer returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// The timeout of the attempt, from now; never 0.
        timeout: Micros,
        /// The attempt may not be sent at this time or later. Set for a repeat of a request that may have run, which
        /// the servers discard until then.
        send_before: Option<Micros>,
    },
    /// Stop waiting for an attempt; its [`Event::AttemptEnded`](super::Event::AttemptEnded) still comes.
    Cancel(AttemptId),
    /// The final answer of a request is a rejection: the client may repeat it without harm.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it repeats the request; 0 if it gets no advice.
        retry_after: Micros,
    },
    /// The final answer of a request is a failure: it may or may not have taken effect.
    Fail(RequestId),
    /// Deliver an [`Event::Timer`](super::Event::Timer) later.
    SetTimer {
        /// The delay, from now.
        after: Micros,
        /// The token to deliver with the event.
        token: TimerToken,
    },
    /// Start a watch of the endpoint list.
    WatchEndpoints,
    /// Close this node's idle connections to a server.
    CloseIdleConnections(ServerId),
}
