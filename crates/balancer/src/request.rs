//! A request that awaits its final answer, or still has an attempt in flight.

use crate::admission_queue::QueuePosition;
use crate::api::{Idempotency, Micros, Request, ServerId};

/// A repeat is sent only while the servers surely still discard it: within the deduplication window, less one
/// part in this many for the difference between the clocks.
const CLOCK_MARGIN_DIVISOR: Micros = 8;

/// An attempt that was sent.
pub(crate) struct Attempt {
    /// Where it was sent.
    pub(crate) server: ServerId,
    /// When it was sent.
    pub(crate) sent_at: Micros,
    /// Its outcome has not come yet.
    pub(crate) in_flight: bool,
    /// It has ended and may have taken effect.
    pub(crate) may_have_run: bool,
    /// The cache held no value.
    pub(crate) missed: bool,
}

impl Attempt {
    /// Whether it may have taken effect, or still may.
    pub(crate) fn may_take_effect(&self) -> bool {
        self.in_flight || self.may_have_run
    }
}

/// What a request without an attempt in flight waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitingFor {
    /// Nothing.
    Nothing,
    /// Another request's fetch of its key.
    Fetch,
    /// Capacity at a tier.
    Capacity,
    /// The end of a backoff before it is sent to the origin.
    Backoff,
}

/// What the settings state for a request when it arrives; later changes don't concern it.
pub(crate) struct RequestRules {
    /// Its class, if the settings know it.
    pub(crate) class: Option<usize>,
    /// Its latency objective, in microseconds.
    pub(crate) latency_objective: Micros,
    /// Its priority weight, compared with other requests'.
    pub(crate) priority_weight: f64,
    /// Whether it may run more than once.
    pub(crate) idempotency: Idempotency,
    /// Attempts it may have.
    pub(crate) max_attempts: usize,
    /// Whether two of its attempts may be in flight at once.
    pub(crate) may_hedge: bool,
}

/// A request with its attempts.
pub(crate) struct OpenRequest {
    /// Hash of its key, or random if it has none.
    pub(crate) key: u64,
    /// It changes something.
    pub(crate) is_write: bool,
    /// When it arrived.
    pub(crate) arrived_at: Micros,
    /// When its final answer is due.
    pub(crate) deadline: Micros,
    /// What the settings state for it.
    pub(crate) rules: RequestRules,
    /// Its attempts, in the order in which they were sent.
    pub(crate) attempts: Vec<Attempt>,
    /// What it waits for while none of them is in flight.
    pub(crate) waiting_for: WaitingFor,
    /// Its latest place in a queue.
    pub(crate) queue_position: Option<QueuePosition>,
    /// It fetches the value of its key, for other reads too.
    pub(crate) leads_fetch: bool,
    /// The cache in which the fetch that it waited for has stored the value.
    pub(crate) stored_at: Option<ServerId>,
    /// It has its final answer, or needs none any more.
    pub(crate) is_settled: bool,
    /// Its answer is being streamed to the client.
    pub(crate) is_streaming: bool,
}

impl OpenRequest {
    /// A request that arrives now and must be answered by `deadline`.
    pub(crate) fn new(
        request: &Request,
        key: u64,
        rules: RequestRules,
        now: Micros,
        deadline: Micros,
    ) -> Self {
        OpenRequest {
            key,
            is_write: request.is_write,
            arrived_at: now,
            deadline,
            rules,
            attempts: Vec::new(),
            waiting_for: WaitingFor::Nothing,
            queue_position: None,
            leads_fetch: false,
            stored_at: None,
            is_settled: false,
            is_streaming: false,
        }
    }

    /// Attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// Whether an attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether it was sent to this server before.
    pub(crate) fn was_sent_to(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.server == server)
    }

    /// Whether a cache had no value for it.
    pub(crate) fn has_missed(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.missed)
    }

    /// The cache that had no value for it, where a fetched one is stored.
    pub(crate) fn missed_at(&self) -> Option<ServerId> {
        self.attempts.iter().find(|attempt| attempt.missed).map(|attempt| attempt.server)
    }

    /// Whether it is a read that may run any number of times.
    pub(crate) fn is_idempotent_read(&self) -> bool {
        !self.is_write && self.rules.idempotency == Idempotency::Idempotent
    }

    /// Whether a second attempt may be sent while one is in flight.
    pub(crate) fn allows_hedging(&self) -> bool {
        self.rules.may_hedge && self.is_idempotent_read() && !self.is_streaming
    }

    /// Whether a client may repeat it without harm when it is rejected.
    pub(crate) fn is_harmless_to_repeat(&self) -> bool {
        self.rules.idempotency == Idempotency::Idempotent
            || !self.attempts.iter().any(Attempt::may_take_effect)
    }

    /// Until when a request with an idempotency key that may have taken effect can be sent again: afterwards
    /// the servers may not discard the repeat. None where a repeat needs no time limit.
    pub(crate) fn send_before(&self) -> Option<Micros> {
        let Idempotency::Keyed { window, .. } = self.rules.idempotency else { return None };
        let window = window - window / CLOCK_MARGIN_DIVISOR;
        let effective = self.attempts.iter().filter(|attempt| attempt.may_take_effect());
        effective.map(|attempt| attempt.sent_at.saturating_add(window)).min()
    }
}
