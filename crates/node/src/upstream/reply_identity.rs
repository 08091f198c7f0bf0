//! Recognizes a second copy of a reply that arrives behind the next request on its connection.
//!
//! Replies carry no id, and a server may send a second copy of a reply at any time until it has read the next request. Such
//! a copy equals the reply before it, however late it is. So a reply that equals the last one on its connection is not
//! taken for the reply to its request ([`CopyDetector`]). Where equal replies are nothing unusual, which
//! [`ReplyHistory`](super::reply_history::ReplyHistory) tells, the connection rests for longer instead.

use stonefold_balancer::{Idempotency, Outcome};
use xxhash_rust::xxh3::xxh3_64;

use super::attempt::AttemptResult;
use crate::metrics::Metrics;
use crate::relay::MAX_BUFFERED_BYTES;
use crate::request::ClientRequest;

/// What of a request matters for the replies before and after it on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestIdentity {
    /// A hash of the request's id.
    pub(crate) id_hash: u64,
    pub(crate) is_write: bool,
    pub(crate) is_idempotent: bool,
}

impl RequestIdentity {
    /// The identity of a request.
    pub(crate) fn new(request: &ClientRequest, idempotency: Idempotency) -> RequestIdentity {
        RequestIdentity {
            id_hash: xxh3_64(&request.id),
            is_write: request.value.is_some(),
            is_idempotent: idempotency == Idempotency::Idempotent,
        }
    }
}

/// What identifies a reply on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum ReplyIdentity {
    /// A value that was read completely.
    Buffered { fingerprint: u64, length: usize },
    /// A value that was relayed, which can be compared by its length only before it begins.
    Relayed { length: usize },
    /// A miss of a cache.
    Miss,
    /// An error or a rejection.
    Error { fingerprint: u64 },
}

impl ReplyIdentity {
    /// The identity of a reply with a value that was read completely.
    pub(crate) fn buffered(value: &[u8]) -> ReplyIdentity {
        ReplyIdentity::Buffered { fingerprint: xxh3_64(value), length: value.len() }
    }

    /// The identity of a reply with a value of `length` bytes that is relayed.
    pub(crate) fn relayed(length: usize) -> ReplyIdentity {
        ReplyIdentity::Relayed { length }
    }

    /// The identity of an error with this text.
    pub(crate) fn error(text: &[u8]) -> ReplyIdentity {
        ReplyIdentity::Error { fingerprint: xxh3_64(text) }
    }

    /// The length of the value, in bytes; `None` if there is no value.
    fn value_length(self) -> Option<usize> {
        match self {
            ReplyIdentity::Buffered { length, .. } | ReplyIdentity::Relayed { length } => Some(length),
            ReplyIdentity::Miss | ReplyIdentity::Error { .. } => None,
        }
    }

    /// Whether the reply has a value.
    pub(crate) fn has_value(self) -> bool {
        self.value_length().is_some()
    }

    /// Whether two replies may be copies of each other.
    fn may_equal(self, other: ReplyIdentity) -> bool {
        match (self, other) {
            // Where one of two values is not known in full, the lengths are compared.
            (ReplyIdentity::Relayed { .. }, _) | (_, ReplyIdentity::Relayed { .. }) => {
                self.value_length().is_some() && self.value_length() == other.value_length()
            }
            _ => self == other,
        }
    }
}

/// The last request on a connection and the reply to it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LastExchange {
    pub(crate) request: RequestIdentity,
    pub(crate) reply: ReplyIdentity,
}

/// A reply that was read completely.
pub(crate) struct ServerReply {
    pub(crate) result: AttemptResult,
    pub(crate) identity: ReplyIdentity,
    /// Whether the connection can be used for another request.
    pub(crate) reusable: bool,
}

/// Compares a reply with the last one on its connection.
pub(crate) struct CopyDetector<'a> {
    /// `None` if no copy of a reply can arrive any more.
    pub(crate) last: Option<LastExchange>,
    pub(crate) metrics: &'a Metrics,
}

impl CopyDetector<'_> {
    /// Whether a reply may be a second copy of the last one. Counts such replies.
    pub(crate) fn is_copy(&self, reply: ReplyIdentity) -> bool {
        let is_copy = self.last.is_some_and(|last| last.reply.may_equal(reply));
        if is_copy {
            self.metrics.repeated_replies.increment();
        }
        is_copy
    }

    /// Whether a reply whose value of `length` bytes is about to be relayed may be a second copy of the last one. Counts
    /// the values that are relayed for want of memory.
    pub(crate) fn is_relayed_copy(&self, length: usize) -> bool {
        if length <= MAX_BUFFERED_BYTES {
            self.metrics.unbuffered_values.increment();
        }
        self.is_copy(ReplyIdentity::relayed(length))
    }

    /// Passes a reply on. If it may be a copy, the request may have been executed, whatever the reply states, and the
    /// connection cannot be used any more. A miss stays one, since it has no effect.
    pub(crate) fn checked(&self, reply: ServerReply) -> ServerReply {
        if !self.is_copy(reply.identity) {
            return reply;
        }
        let result = match reply.result.outcome {
            Outcome::CacheMiss => reply.result,
            _ => AttemptResult::of(Outcome::ServerError),
        };
        ServerReply { result, reusable: false, ..reply }
    }
}

#[cfg(test)]
mod tests;
