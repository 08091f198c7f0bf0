//! Hedged requests: when and where a late read gets a second attempt.
//!
//! A read is hedged once its response time exceeds what nearly all answers take, and only into idle capacity,
//! so that hedging never adds to an overload. An attempt that is lost or long overdue is retried at any
//! healthy candidate instead, within the retry budget.
//!
//! Inputs: the response times of the request's class, the budgets and limits, and the candidates of its key;
//! times are in microseconds.

use crate::api::{Micros, ServerId};
use crate::latency::LatencyEstimate;

/// A read is late when its response time exceeds the mean by this many deviations.
const HEDGE_AFTER_DEVIATIONS: f64 = 4.0;

/// How long after its send a read is late, in microseconds.
pub(crate) fn hedge_delay(latency: &LatencyEstimate) -> Micros {
    latency.mean_plus_deviations(HEDGE_AFTER_DEVIATIONS)
}

/// Another candidate for a late read.
pub(crate) struct Alternative {
    /// The cache.
    pub(crate) server: ServerId,
    /// Whether it has idle capacity.
    pub(crate) is_idle: bool,
}

/// What limits extra attempts at the moment.
pub(crate) struct HedgingConditions {
    /// The hedge budget holds a token and neither tier shows congestion.
    pub(crate) hedges_allowed: bool,
    /// The retry budget holds a token and the caches' concurrency limit is not reached.
    pub(crate) retries_allowed: bool,
    /// The first attempt is lost, or its server is suspected to be an outlier.
    pub(crate) first_is_lost: bool,
}

/// Where a late read may be sent, in order of preference.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct ExtraAttempt {
    /// A cache with idle capacity, for a hedged request.
    pub(crate) hedge_to: Option<ServerId>,
    /// Any healthy cache, for a retry.
    pub(crate) retry_to: Option<ServerId>,
}

/// Chooses among the untried healthy candidates of a late read's key, which come in order of rank.
pub(crate) fn extra_attempt(
    alternatives: impl Iterator<Item = Alternative>,
    conditions: &HedgingConditions,
) -> ExtraAttempt {
    let mut extra = ExtraAttempt::default();
    for alternative in alternatives {
        let may_retry = conditions.first_is_lost && conditions.retries_allowed;
        if may_retry && extra.retry_to.is_none() {
            extra.retry_to = Some(alternative.server);
        }
        if conditions.hedges_allowed && alternative.is_idle && extra.hedge_to.is_none() {
            extra.hedge_to = Some(alternative.server);
        }
    }
    extra
}

/// When a read whose extra attempt was not possible is checked again, in microseconds from `now`: after
/// the usual time, or as soon as one of its attempts exceeds the latency objective.
pub(crate) fn next_check(
    latency: &LatencyEstimate,
    attempts_sent_at: impl Iterator<Item = Micros>,
    objective: Micros,
    now: Micros,
) -> Micros {
    let delay = hedge_delay(latency);
    let late_at = attempts_sent_at.map(|sent_at| sent_at.saturating_add(objective)).find(|&at| at > now);
    late_at.map_or(delay, |late_at| delay.min(late_at - now))
}
