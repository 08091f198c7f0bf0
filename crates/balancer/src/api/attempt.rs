//! How attempts end.

use super::{AttemptId, Micros};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// The server answered with an error; the request may have run.
    ServerError,
    /// The server's queue was full; the request has not run.
    Rejected,
    /// No response in time; the request may have run.
    TimedOut,
    /// No connection came up.
    ConnectFailed,
    /// The connection broke; the request may have run.
    ConnectionReset,
    /// Cancelled; the request may have run.
    Canceled,
    /// Not sent.
    NotSent,
    /// The cache holds no value for the key.
    CacheMiss,
}

impl Outcome {
    /// Whether the request may have had its effect, if anything of it was sent.
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
    /// The request has its final answer, by this outcome or before.
    pub settled: bool,
    /// Whether the server held the value, where it reported that.
    pub cache_hit: Option<bool>,
    /// How busy the server's cores are (0 to 1), where it reported that.
    pub utilization: Option<f64>,
    /// Whether any byte of it was written. An attempt of which none was has surely had no effect, whatever its
    /// outcome: its connection did not come up before the request's deadline, say.
    pub bytes_sent: bool,
}

impl AttemptEnd {
    /// An attempt that ended at once, with nothing reported beside; it settles the request if it was served.
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

    /// Whether the request may have had its effect by this attempt.
    pub fn may_have_run(&self) -> bool {
        self.bytes_sent && self.outcome.may_have_run()
    }
}
