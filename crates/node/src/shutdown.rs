//! The timing of a graceful shutdown: what ends how long after the request to stop. Has no clock.

use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The platform kills a stopping process after the longest deadline of a class, but counts no more than this for it, ...
const MAX_COUNTED_DEADLINE: Duration = ms(3_000);
/// ... and this much later. A request that arrives later than this after the request to stop is lost if it is unanswered
/// at the kill.
const KILL_MARGIN: Duration = ms(700);
/// How long new connections may still be on their way, unless a successor accepts them. They take 0.4 s at most.
const ACCEPT_PERIOD: Duration = ms(500);
/// How long the first request of a new connection may be on its way; the connection stays open for it, ...
const FIRST_REQUEST_PERIOD: Duration = ms(500);
/// ... unless the request would arrive too late: the last connection closes this long before [`KILL_MARGIN`] ends.
const CLOSE_MARGIN: Duration = ms(50);
/// Open requests are answered this long before the kill.
const ANSWER_MARGIN: Duration = ms(200);
/// The process ends this long before the kill, with the last writes.
const EXIT_MARGIN: Duration = ms(100);

/// The schedule of a shutdown, as times after the request to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ShutdownSchedule {
    /// Until then connections are accepted. Afterwards a connection that has had a request closes as soon as it has no
    /// pending reply.
    pub(crate) accept_until: Duration,
    /// From then on connections that have had no request close too, so that nothing more arrives.
    pub(crate) close_unused_at: Duration,
    /// All open requests are answered by then.
    pub(crate) answer_by: Duration,
    /// The process ends, whatever is still being written.
    pub(crate) exit_at: Duration,
}

impl ShutdownSchedule {
    /// The schedule for clients that wait up to `longest_deadline`, with or without a successor that accepts connections
    /// on the same socket.
    pub(crate) fn new(longest_deadline: Duration, has_successor: bool) -> ShutdownSchedule {
        let killed_at = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        let accept_until = if has_successor { Duration::ZERO } else { ACCEPT_PERIOD };
        ShutdownSchedule {
            accept_until,
            close_unused_at: (accept_until + FIRST_REQUEST_PERIOD).min(KILL_MARGIN - CLOSE_MARGIN),
            answer_by: killed_at - ANSWER_MARGIN,
            exit_at: killed_at - EXIT_MARGIN,
        }
    }
}

#[cfg(test)]
mod tests;
