//! Identifiers and the unit of time.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// The id of a request, chosen by the embedder. An id must not be used twice with one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// The id of an attempt: one send of a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Its position among the attempts of the request, in the order in which they were sent, from 0.
    pub number: usize,
}

impl AttemptId {
    /// The attempt of `request` with this number, counted from 0.
    pub fn new(request: RequestId, number: usize) -> Self {
        AttemptId { request, number }
    }
}

/// The id of a cache server or the origin, the same at every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Identifies a timer. The balancer chooses it in [`Action::SetTimer`](crate::Action::SetTimer) and gets it back in
/// [`Event::Timer`](crate::Event::Timer).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerToken(pub u64);
