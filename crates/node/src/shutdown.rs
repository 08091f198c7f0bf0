//! The schedule of a graceful shutdown: how long after the request to stop each of its steps is due.

use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The platform kills a stopping process [`KILL_MARGIN`] after the longest deadline of its classes. A longer deadline
/// than this is counted as this.
const MAX_COUNTED_DEADLINE: Duration = ms(3_000);
/// The time from the longest deadline to the kill. A request that arrives later than this after the request to stop may
/// not be answered before the kill, and is lost then.
const KILL_MARGIN: Duration = ms(700);
/// How long connections are accepted unless a successor accepts them. New connections arrive for up to 0.4 s after the
/// request to stop.
const ACCEPT_PERIOD: Duration = ms(500);
/// How long a connection without a request stays open for its first one, which may be on its way.
const FIRST_REQUEST_PERIOD: Duration = ms(500);
/// Connections without a request close at least this long before [`KILL_MARGIN`] is over, since a request that arrives
/// later may be lost.
const CLOSE_MARGIN: Duration = ms(50);
/// Open requests are answered this long before the kill.
const ANSWER_MARGIN: Duration = ms(200);
/// Connections without a pending reply are closed this long before the kill, even in the middle of a command.
const CLOSE_ALL_MARGIN: Duration = ms(100);

/// The times of the steps of a shutdown, counted from the request to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ShutdownSchedule {
    /// Connections are accepted until then. From then on a connection that has had a request closes as soon as it has
    /// no pending reply.
    pub(crate) accept_until: Duration,
    /// From then on connections that have had no request close too, so that no more requests arrive.
    pub(crate) close_unused_at: Duration,
    /// All open requests are answered by then.
    pub(crate) answer_by: Duration,
    /// All connections without a pending reply are closed then, even in the middle of a command. The process exits once
    /// the others have their replies.
    pub(crate) close_all_at: Duration,
}

impl ShutdownSchedule {
    /// Creates the schedule for clients that wait up to `longest_deadline`, with or without a successor that accepts
    /// connections on the same socket.
    pub(crate) fn new(longest_deadline: Duration, has_successor: bool) -> ShutdownSchedule {
        let killed_at = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        let accept_until = if has_successor { Duration::ZERO } else { ACCEPT_PERIOD };
        ShutdownSchedule {
            accept_until,
            close_unused_at: (accept_until + FIRST_REQUEST_PERIOD).min(KILL_MARGIN - CLOSE_MARGIN),
            answer_by: killed_at - ANSWER_MARGIN,
            close_all_at: killed_at - CLOSE_ALL_MARGIN,
        }
    }
}

#[cfg(test)]
mod tests;
