//! The idle connections to one server.

use std::time::Duration;

use tokio::time::Instant;
use tracing::trace;

use crate::metrics::Metrics;
use crate::upstream::connection::ServerConnection;
use crate::upstream::reply_history::{ReplyHistory, Rest};
use crate::upstream::reply_identity::RequestIdentity;

/// A reuse of a connection that has been idle for less than this counts as early: a second copy of the last reply could
/// still arrive.
const EARLY_REUSE_TIME: Duration = Duration::from_millis(20);

/// A connection between requests.
struct IdleConnection {
    /// When its last request ended.
    since: Instant,
    connection: ServerConnection,
}

/// The idle connections to one server, the one that has been idle for longest first.
#[derive(Default)]
pub(crate) struct IdlePool(Vec<IdleConnection>);

impl IdlePool {
    /// Adds a connection whose last request ended at `now`.
    pub(crate) fn add(&mut self, now: Instant, connection: ServerConnection) {
        connection.acknowledge_now();
        self.0.push(IdleConnection { since: now, connection });
    }

    /// Takes the most recently used connection that has rested for long enough for this request. Closes those that it finds
    /// to be too old or unusable.
    pub(crate) fn take(
        &mut self,
        server: &str,
        request: &RequestIdentity,
        replies: &ReplyHistory,
        now: Instant,
        max_idle_time: Duration,
        metrics: &Metrics,
    ) -> Option<ServerConnection> {
        let rest = |idle: &IdleConnection| {
            idle.connection.last_exchange().map_or(Rest::default(), |last| replies.rest(last, request))
        };
        while let Some(index) = self.0.iter().rposition(|idle| now >= idle.since + rest(idle).time) {
            let mut idle = self.0.remove(index);
            if now < idle.since + max_idle_time && is_reusable(server, &idle, now, metrics) {
                if now < idle.since + EARLY_REUSE_TIME {
                    metrics.early_reuses.increment();
                }
                if !rest(&idle).compares {
                    idle.connection.forget_last_exchange();
                }
                return Some(idle.connection);
            }
        }
        None
    }

    /// Closes connections that are too old, or that cannot be reused.
    pub(crate) fn close_expired(
        &mut self,
        server: &str,
        now: Instant,
        max_idle_time: Duration,
        metrics: &Metrics,
    ) {
        self.0.retain(|idle| now < idle.since + max_idle_time && is_reusable(server, idle, now, metrics));
    }

    /// Closes all connections.
    pub(crate) fn close_all(&mut self) {
        self.0.clear();
    }

    /// Closes the connection that has been idle for longest.
    pub(crate) fn close_oldest(&mut self) {
        if !self.0.is_empty() {
            self.0.remove(0);
        }
    }

    /// When the connection that has been idle for longest became idle; `None` if there is no idle connection.
    pub(crate) fn longest_idle_since(&self) -> Option<Instant> {
        self.0.first().map(|idle| idle.since)
    }

    /// The number of connections.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}

/// Whether a connection can be reused. Counts and logs a connection on which the server has sent unsolicited bytes.
fn is_reusable(server: &str, idle: &IdleConnection, now: Instant, metrics: &Metrics) -> bool {
    let reusable = idle.connection.is_reusable();
    if !reusable && idle.connection.has_unsolicited_bytes() {
        metrics.unsolicited_replies.increment();
        trace!(
            event = "unsolicited_reply",
            server,
            idle_us = (now - idle.since).as_micros() as u64,
            "a server has sent bytes that no request asked for"
        );
    }
    reusable
}
