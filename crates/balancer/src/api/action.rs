//! What a balancer asks for.

use super::{AttemptId, Micros, RequestId, ServerId, TimerToken};

/// What the embedder must do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// The attempt's timeout, which is never 0.
        timeout: Micros,
        /// It may not be sent at this time or later: a repeat of what may have run, which servers discard until then.
        send_before: Option<Micros>,
    },
    /// Stop waiting for an attempt; its [`Event::AttemptEnded`](super::Event::AttemptEnded) still comes.
    Cancel(AttemptId),
    /// Final answer: rejected, the request had no effect and may be retried.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry; 0 is no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail(RequestId),
    /// Deliver [`Event::Timer`](super::Event::Timer) after this time.
    SetTimer {
        /// From now.
        after: Micros,
        /// To be given back.
        token: TimerToken,
    },
    /// Watch the endpoint list from now on.
    WatchEndpoints,
    /// Close this node's idle connections to a server.
    CloseIdleConnections(ServerId),
}
