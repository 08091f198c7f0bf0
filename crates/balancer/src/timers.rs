//! The purpose of a timer, and the token that identifies it: a request id, or a number above all request
//! ids.

use crate::api::{RequestId, TimerToken};

/// Token of [`Timer::EndpointWatch`].
const WATCH_TOKEN: u64 = u64::MAX;
/// Token of [`Timer::IdleConnections`].
const IDLE_CONNECTIONS_TOKEN: u64 = u64::MAX - 1;
/// Token of [`Timer::Shutdown`].
const SHUTDOWN_TOKEN: u64 = u64::MAX - 2;

/// What is due when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The start of the next watch of the endpoint list.
    EndpointWatch,
    /// A check of idle connections.
    IdleConnections,
    /// The answers to all open requests before the process ends.
    Shutdown,
    /// The next step of a request.
    Request(RequestId),
}

impl From<TimerToken> for Timer {
    fn from(token: TimerToken) -> Self {
        match token.0 {
            WATCH_TOKEN => Timer::EndpointWatch,
            IDLE_CONNECTIONS_TOKEN => Timer::IdleConnections,
            SHUTDOWN_TOKEN => Timer::Shutdown,
            request => Timer::Request(RequestId(request as u32)),
        }
    }
}

impl From<Timer> for TimerToken {
    fn from(timer: Timer) -> Self {
        TimerToken(match timer {
            Timer::EndpointWatch => WATCH_TOKEN,
            Timer::IdleConnections => IDLE_CONNECTIONS_TOKEN,
            Timer::Shutdown => SHUTDOWN_TOKEN,
            Timer::Request(id) => id.0.into(),
        })
    }
}
