//! An open request: one that has no final answer yet, or still has an attempt in flight.

use crate::admission_queue::QueuePosition;
use crate::api::{Idempotency, Micros, Request, ServerId};

/// The deduplication window is shortened by itself divided by this, to allow for the difference between the
/// clocks: a repeat is sent only while the servers certainly still discard it.
const CLOCK_MARGIN_DIVISOR: Micros = 8;

/// An attempt that was sent.
pub(crate) struct Attempt {
    /// The server it was sent to.
    pub(crate) server: ServerId,
    /// When it was sent.
    pub(crate) sent_at: Micros,
    /// True until the embedder reports its end.
    pub(crate) in_flight: bool,
    /// Whether it has ended and may have taken effect.
    pub(crate) may_have_run: bool,
    /// Whether it ended because the cache held no value.
    pub(crate) missed: bool,
}

impl Attempt {
    /// Whether it may have taken effect, or still may.
    pub(crate) fn may_take_effect(&self) -> bool {
        self.in_flight || self.may_have_run
    }
}

/// What a request waits for before an attempt of it can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitingFor {
    /// Nothing: it has an attempt in flight, or its next step is taken at once.
    Nothing,
    /// The fetch of its key by another read.
    Fetch,
    /// Capacity at a tier.
    Capacity,
    /// The end of a backoff, before it may be sent to the origin.
    Backoff,
}

/// The settings that apply to a request, taken when it arrives: later changes of the settings don't affect
/// it.
pub(crate) struct RequestRules {
    /// Its class, if the settings have it.
    pub(crate) class: Option<usize>,
    /// Its latency objective, in microseconds.
    pub(crate) latency_objective: Micros,
    /// Its priority weight, from [`priority`](crate::priority): a number without unit that is compared with
    /// the weights of other requests.
    pub(crate) priority_weight: f64,
    /// Whether it may run more than once.
    pub(crate) idempotency: Idempotency,
    /// The largest number of attempts.
    pub(crate) max_attempts: usize,
    /// Whether the settings allow two of its attempts in flight at once.
    pub(crate) may_hedge: bool,
}

/// A request with its attempts.
pub(crate) struct OpenRequest {
    /// Hash of its key, or random if it has none.
    pub(crate) key: u64,
    /// Whether it is a write.
    pub(crate) is_write: bool,
    /// When it arrived.
    pub(crate) arrived_at: Micros,
    /// The time by which it must have its final answer.
    pub(crate) deadline: Micros,
    /// The settings that apply to it.
    pub(crate) rules: RequestRules,
    /// Its attempts, in the order in which they were sent.
    pub(crate) attempts: Vec<Attempt>,
    /// What it waits for while no attempt is in flight.
    pub(crate) waiting_for: WaitingFor,
    /// Its latest position in an admission queue.
    pub(crate) queue_position: Option<QueuePosition>,
    /// Whether it fetches the value of its key from the origin, also for other reads.
    pub(crate) leads_fetch: bool,
    /// The cache that stores the value that another read has fetched for it.
    pub(crate) stored_at: Option<ServerId>,
    /// Whether it has its final answer, or needs none any more.
    pub(crate) is_settled: bool,
    /// Whether its answer has begun and is being streamed to the client.
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

    /// Number of attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// Whether an attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether any attempt was sent to this server.
    pub(crate) fn was_sent_to(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.server == server)
    }

    /// Whether a cache had no value for it.
    pub(crate) fn has_missed(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.missed)
    }

    /// The cache that had no value for it, which stores the fetched value.
    pub(crate) fn missed_at(&self) -> Option<ServerId> {
        self.attempts.iter().find(|attempt| attempt.missed).map(|attempt| attempt.server)
    }

    /// Whether it is a read that may run more than once.
    pub(crate) fn is_idempotent_read(&self) -> bool {
        !self.is_write && self.rules.idempotency == Idempotency::Idempotent
    }

    /// Whether another attempt may be sent while one is in flight.
    pub(crate) fn allows_hedging(&self) -> bool {
        self.rules.may_hedge && self.is_idempotent_read() && !self.is_streaming
    }

    /// Whether a client may repeat it without harm when it is rejected.
    pub(crate) fn is_harmless_to_repeat(&self) -> bool {
        self.rules.idempotency == Idempotency::Idempotent
            || !self.attempts.iter().any(Attempt::may_take_effect)
    }

    /// The time before which a request with an idempotency key that may have taken effect can be sent
    /// again: from then on the servers may no longer discard the repeat. `None` where a send has no time
    /// limit.
    pub(crate) fn send_before(&self) -> Option<Micros> {
        let Idempotency::Keyed { window, .. } = self.rules.idempotency else { return None };
        let window = window - window / CLOCK_MARGIN_DIVISOR;
        let effective = self.attempts.iter().filter(|attempt| attempt.may_take_effect());
        effective.map(|attempt| attempt.sent_at.saturating_add(window)).min()
    }
}
