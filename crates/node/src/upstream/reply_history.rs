//! Whether replies with a value are distinct lately, and how long a connection rests because of that.

use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use super::reply_identity::{LastExchange, ReplyIdentity, RequestIdentity};

/// A connection rests for this long after a reply whose copy would be recognized. In this time the node notices most
/// copies, which cost the next request an attempt otherwise, as well as a close.
const SHORT_REST: Duration = Duration::from_millis(15);
/// A connection rests for this long after a reply whose copy could not be told from the next reply. A copy is sent less
/// than 10 ms after the reply, and takes up to 20 ms longer between data centres.
const LONG_REST: Duration = Duration::from_millis(30);
/// The number of values that are remembered. They are those of several times [`LONG_REST`].
const REMEMBERED_VALUES: NonZeroUsize = NonZeroUsize::new(1_024).unwrap();
/// Values count as distinct once this many in a row were.
const DISTINCT_VALUES: usize = 64;

/// How a connection rests before its next request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Rest {
    /// The least time.
    pub(crate) time: Duration,
    /// Whether the next reply is compared with the last one afterwards. If not, no copy can arrive any more.
    pub(crate) compares: bool,
}

/// The values of all servers that have occurred lately.
pub(crate) struct ReplyHistory {
    /// The values, each with the hash of the id of a request that it was the reply to.
    values: LruCache<ReplyIdentity, u64>,
    /// The number of values since the last one that was the reply to several requests.
    distinct_values: usize,
}

impl ReplyHistory {
    /// Creates an empty history.
    pub(crate) fn new() -> ReplyHistory {
        ReplyHistory { values: LruCache::new(REMEMBERED_VALUES), distinct_values: 0 }
    }

    /// Records the reply to a request. Attempts of the same request may well get equal replies.
    pub(crate) fn record(&mut self, exchange: &LastExchange) {
        if !exchange.reply.has_value() {
            return;
        }
        let id_hash = exchange.request.id_hash;
        match self.values.put(exchange.reply, id_hash) {
            None => self.distinct_values = self.distinct_values.saturating_add(1),
            Some(earlier) if earlier == id_hash => {}
            Some(_) => self.distinct_values = 0,
        }
    }

    /// How a connection rests between its last exchange and the next request.
    pub(crate) fn rest(&self, last: &LastExchange, next: &RequestIdentity) -> Rest {
        if self.recognizes_copy(last, next) {
            Rest { time: SHORT_REST, compares: true }
        } else {
            Rest { time: LONG_REST, compares: false }
        }
    }

    /// Whether a copy of the last reply would be told from the reply to the next request, or do no harm.
    fn recognizes_copy(&self, last: &LastExchange, next: &RequestIdentity) -> bool {
        let is_distinct = match last.reply {
            // A miss may be followed by another one. That it is ambiguous costs the connection only.
            ReplyIdentity::Miss => next.is_idempotent,
            ReplyIdentity::Error { .. } => false,
            // Writes may all get the same receipt, and one that must not be repeated cannot be tried again.
            ReplyIdentity::Buffered { .. } | ReplyIdentity::Relayed { .. } => {
                next.is_idempotent || !(last.request.is_write && next.is_write)
            }
        };
        is_distinct && self.distinct_values >= DISTINCT_VALUES
    }
}

#[cfg(test)]
mod tests;
