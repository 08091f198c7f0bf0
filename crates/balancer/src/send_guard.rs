//! The rules that every send must pass, whichever decision asks for it.
//!
//! An attempt is not sent:
//!
//! - after the final answer or once the answer has begun,
//! - when too little time is left for an answer,
//! - beyond the number of attempts that the request may have,
//! - to a server that is out of service,
//! - while another attempt is in flight, unless the request may be hedged,
//! - when an earlier attempt may have taken effect and the servers would not certainly discard the repeat,
//! - beyond this node's quota of a server in slow start.

use crate::api::{Endpoint, Idempotency, Micros, ServerId};
use crate::request::OpenRequest;
use crate::server::Server;

/// Why a send is not allowed, in the order in which the rules are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denied {
    /// The request has its final answer or needs none any more, or the answer has begun.
    Answered,
    /// Too little time is left for an answer.
    TooLate,
    /// The request has had all its attempts.
    AttemptsExhausted,
    /// The server drains, was removed, or is disabled.
    OutOfService,
    /// An attempt is in flight and the request may not be hedged.
    AlreadyInFlight,
    /// An earlier attempt may have taken effect, and the server would not certainly discard the repeat.
    NotRepeatable,
    /// The server is in slow start and this node has used its quota.
    QuotaExhausted,
}

/// A send that the guard allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Permit {
    /// The send must happen before this time: from then on servers may no longer discard the repeat. `None`
    /// where the send has no time limit.
    pub(crate) send_before: Option<Micros>,
}

/// A send that a decision asks for.
pub(crate) struct ProposedSend<'a> {
    /// The request.
    pub(crate) request: &'a OpenRequest,
    /// The server it would be sent to.
    pub(crate) server: &'a Server,
    /// The present time.
    pub(crate) now: Micros,
    /// The least time that must be left for an answer, in microseconds.
    pub(crate) attempt_time: Micros,
}

impl ProposedSend<'_> {
    /// Checks the send against all rules. `endpoint` looks up the servers of earlier attempts,
    /// `remaining_calls` is the number of calls that this node may still send to the server.
    ///
    /// # Errors
    /// The first rule that the send would break.
    pub(crate) fn check<'a>(
        &self,
        endpoint: impl Fn(ServerId) -> Option<&'a Endpoint>,
        remaining_calls: impl FnOnce() -> u64,
    ) -> Result<Permit, Denied> {
        let request = self.request;
        if request.is_settled || request.is_streaming {
            return Err(Denied::Answered);
        }
        if self.now + self.attempt_time >= request.deadline {
            return Err(Denied::TooLate);
        }
        if request.attempts.len() >= request.rules.max_attempts {
            return Err(Denied::AttemptsExhausted);
        }
        if !self.server.in_service() {
            return Err(Denied::OutOfService);
        }
        if request.is_in_flight() && !request.allows_hedging() {
            return Err(Denied::AlreadyInFlight);
        }
        let send_before = request.send_before();
        if !self.may_repeat(send_before, endpoint) {
            return Err(Denied::NotRepeatable);
        }
        if remaining_calls() == 0 {
            return Err(Denied::QuotaExhausted);
        }
        Ok(Permit { send_before })
    }

    /// Whether another attempt does no harm even if all earlier ones that may have taken effect did.
    fn may_repeat<'a>(
        &self,
        send_before: Option<Micros>,
        endpoint: impl Fn(ServerId) -> Option<&'a Endpoint>,
    ) -> bool {
        let mut effective = self.request.attempts.iter().filter(|attempt| attempt.may_take_effect());
        match self.request.rules.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => effective.next().is_none(),
            Idempotency::Keyed { scope, .. } => {
                let in_window = send_before.is_none_or(|until| self.now < until);
                let discards_repeat = |first: ServerId| {
                    endpoint(first)
                        .is_some_and(|first| first.shares_deduplication(&self.server.endpoint, scope))
                };
                effective.all(|attempt| in_window && discards_repeat(attempt.server))
            }
        }
    }
}
