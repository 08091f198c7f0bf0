//! Token buckets that limit retries and hedged requests to a fraction of all requests.
//!
//! Each request earns a fraction of a token and each retry or hedged request costs one. Failing servers are
//! then sent little more than healthy ones, and retries cannot amplify an overload. Fetches from the
//! origin, also repeated ones, cost no token: they are limited by a request's number of attempts and by the
//! backoff before an overloaded origin.
//!
//! Inputs: one call per request that arrives and one per retry or hedged request; no time is involved.

/// Tokens that one retry or hedged request costs.
const ATTEMPT_COST: f64 = 1.0;
/// The most tokens that a budget holds.
const CAPACITY: f64 = 10.0;
/// Retries that are allowed per request, on average.
const RETRY_RATIO: f64 = 0.2;
/// Retries that are allowed before the first request.
const INITIAL_RETRIES: f64 = CAPACITY / 2.0;
/// Hedged requests that are allowed per request, on average.
const HEDGE_RATIO: f64 = 0.1;
/// Hedged requests that are allowed before the first request.
const INITIAL_HEDGES: f64 = 1.0;

/// A budget of retries or of hedged requests.
pub(crate) struct AttemptBudget {
    tokens: f64,
    earned_per_request: f64,
}

impl AttemptBudget {
    /// The budget of retries: attempts of a request after one that failed or was lost.
    pub(crate) fn for_retries() -> Self {
        AttemptBudget { tokens: INITIAL_RETRIES, earned_per_request: RETRY_RATIO }
    }

    /// The budget of hedged requests: attempts sent while another one of the same request is late.
    pub(crate) fn for_hedges() -> Self {
        AttemptBudget { tokens: INITIAL_HEDGES, earned_per_request: HEDGE_RATIO }
    }

    /// Adds what one request earns.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + self.earned_per_request).min(CAPACITY);
    }

    /// Whether one more retry or hedged request is within the budget.
    pub(crate) fn allows_attempt(&self) -> bool {
        self.tokens >= ATTEMPT_COST
    }

    /// Counts a retry or a hedged request. Retries of writes are counted but not limited: the budget may
    /// become negative, and reads then have fewer retries.
    pub(crate) fn spend(&mut self) {
        self.tokens -= ATTEMPT_COST;
    }
}
