//! Token buckets that bound retries and hedged requests to a part of all requests.
//!
//! Each request earns a part of a token and each extra attempt costs one. While servers fail they are then
//! sent little more than while they are healthy, and retries cannot amplify an overload.
//!
//! Inputs: one call per request that arrives and one per extra attempt; no time is involved.

/// Tokens that one extra attempt costs.
const ATTEMPT_COST: f64 = 1.0;
/// Tokens that a budget holds at most.
const CAPACITY: f64 = 10.0;
/// Retries per request, on average.
const RETRY_RATIO: f64 = 0.2;
/// Retries that are allowed before the first request.
const INITIAL_RETRIES: f64 = CAPACITY / 2.0;
/// Hedged requests per request, on average.
const HEDGE_RATIO: f64 = 0.1;
/// Hedged requests that are allowed before the first request.
const INITIAL_HEDGES: f64 = 1.0;

/// A budget of extra attempts.
pub(crate) struct AttemptBudget {
    tokens: f64,
    earned_per_request: f64,
}

impl AttemptBudget {
    /// The budget of retries: attempts after one that failed or was lost.
    pub(crate) fn for_retries() -> Self {
        AttemptBudget { tokens: INITIAL_RETRIES, earned_per_request: RETRY_RATIO }
    }

    /// The budget of hedged requests: second attempts beside one that is late.
    pub(crate) fn for_hedges() -> Self {
        AttemptBudget { tokens: INITIAL_HEDGES, earned_per_request: HEDGE_RATIO }
    }

    /// A request arrived.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + self.earned_per_request).min(CAPACITY);
    }

    /// Whether an extra attempt is within the budget.
    pub(crate) fn allows_attempt(&self) -> bool {
        self.tokens >= ATTEMPT_COST
    }

    /// Counts an extra attempt. Retries of writes are counted without being bounded, so the budget may become
    /// negative.
    pub(crate) fn spend(&mut self) {
        self.tokens -= ATTEMPT_COST;
    }
}
