//! Identifiers and the unit of time.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// A request, as named by the embedder. Ids must not repeat while one balancer lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// An attempt to have a request served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Its place among the attempts of the request, in the order in which they were sent, from 0.
    pub number: usize,
}

impl AttemptId {
    /// The attempt of `request` that was sent as the `number`th, from 0.
    pub fn new(request: RequestId, number: usize) -> Self {
        AttemptId { request, number }
    }
}

/// A cache server or the origin. The same at every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Names a timer. The balancer chooses it in [`Action::SetTimer`](crate::Action::SetTimer) and gets it back in
/// [`Event::Timer`](crate::Event::Timer).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerToken(pub u64);
