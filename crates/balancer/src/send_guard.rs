//! The rules that every send must pass, whichever decision asks for it.
//!
//! Nothing is sent after the final answer, too late for an answer, beyond the allowed attempts, to a server
//! out of service, beside an attempt in flight unless the request may be hedged, again where a former attempt
//! may have taken effect and the servers don't discard the repeat, or beyond the slow start quota of a
//! server.

use crate::api::{Endpoint, Idempotency, Micros, ServerId};
use crate::request::OpenRequest;
use crate::server::Server;

/// Why a send is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denied {
    /// The request has its answer, or the answer has begun.
    Answered,
    /// Too little time is left for an answer.
    TooLate,
    /// The request has had all its attempts.
    AttemptsExhausted,
    /// The server drains, was removed, or is disabled.
    OutOfService,
    /// An attempt is in flight and the request may not be hedged.
    AlreadyInFlight,
    /// A former attempt may have taken effect and a repeat would not surely be discarded.
    NotRepeatable,
    /// The server warms up and has had its calls from this node.
    QuotaExhausted,
}

/// What the guard allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Permit {
    /// The send may not happen later than this: afterwards servers may not discard the repeat.
    pub(crate) send_before: Option<Micros>,
}

/// A send that a decision asks for.
pub(crate) struct ProposedSend<'a> {
    /// The request.
    pub(crate) request: &'a OpenRequest,
    /// Where it is to be sent.
    pub(crate) server: &'a Server,
    /// The present time.
    pub(crate) now: Micros,
    /// The least time that an answer needs, in microseconds.
    pub(crate) attempt_time: Micros,
}

impl ProposedSend<'_> {
    /// Checks the send against all rules. `endpoint` looks up the servers of former attempts,
    /// `remaining_calls` is what the server can take from this node.
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

    /// Whether another attempt does no harm even if all former ones took effect.
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
