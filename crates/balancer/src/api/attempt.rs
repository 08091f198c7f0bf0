//! The end of an attempt.

use super::{AttemptId, Micros};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server served the request.
    Success,
    /// The server answered with an error; the request may have run.
    ServerError,
    /// The server's queue was full; the request has not run.
    Rejected,
    /// No response came in time; the request may have run.
    TimedOut,
    /// No connection to the server could be opened; the request has not run.
    ConnectFailed,
    /// The connection broke; the request may have run.
    ConnectionReset,
    /// The attempt was cancelled; the request may have run.
    Canceled,
    /// The embedder did not send the attempt; the request has not run.
    NotSent,
    /// The cache has no value for the key; the request has not run.
    CacheMiss,
}

impl Outcome {
    /// Whether the request may have taken effect, given that at least one byte of it was sent.
    pub fn may_have_run(self) -> bool {
        match self {
            Outcome::Success | Outcome::ServerError => true,
            Outcome::TimedOut | Outcome::ConnectionReset | Outcome::Canceled => true,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::CacheMiss => false,
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// Whether the request has its final answer, through this attempt or another one before.
    pub settled: bool,
    /// Whether the server had the value in its cache, if it reported that.
    pub cache_hit: Option<bool>,
    /// The fraction of the server's cores that are in use (0 to 1), if it reported that.
    pub utilization: Option<f64>,
    /// Whether any byte of the attempt was written. If none was, as when its connection was not open before the
    /// request's deadline, the attempt certainly had no effect, whatever its outcome.
    pub bytes_sent: bool,
}

impl AttemptEnd {
    /// The end of an attempt that took no time and for which the server reported nothing; it settles the request if it
    /// succeeded.
    pub fn new(attempt: AttemptId, outcome: Outcome) -> Self {
        AttemptEnd {
            attempt,
            outcome,
            elapsed: 0,
            settled: outcome == Outcome::Success,
            cache_hit: None,
            utilization: None,
            bytes_sent: true,
        }
    }

    /// Whether the request may have taken effect through this attempt.
    pub fn may_have_run(&self) -> bool {
        self.bytes_sent && self.outcome.may_have_run()
    }
}
