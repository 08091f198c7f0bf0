//! Extra attempts of a late read: when and where one is sent while the first attempt is still in flight.
//!
//! An extra attempt is a hedged request or a retry. A read is hedged once its response time exceeds what
//! nearly all answers take, and only into idle capacity, so that hedging never adds to an overload. Where
//! the first attempt is lost or its server is suspected to be an outlier, the read may instead be retried
//! at any healthy candidate, within the retry budget: reads must not fail with a silent server while the
//! tier is overloaded.
//!
//! Inputs: the response times of the request's class, the budgets and limits, and the candidates of its
//! key; times are in microseconds.

use crate::api::{Micros, ServerId};
use crate::latency::LatencyEstimate;

/// A read is late when its response time exceeds the mean by this many deviations.
const HEDGE_AFTER_DEVIATIONS: f64 = 4.0;

/// How long after its send a read is late, in microseconds.
pub(crate) fn hedge_delay(latency: &LatencyEstimate) -> Micros {
    latency.mean_plus_deviations(HEDGE_AFTER_DEVIATIONS)
}

/// A candidate that a late read may be sent to beside its first attempt.
pub(crate) struct Alternative {
    /// The cache.
    pub(crate) server: ServerId,
    /// Whether the cache has idle capacity.
    pub(crate) is_idle: bool,
}

/// What is allowed and needed for a late read at present.
pub(crate) struct ExtraAttemptConditions {
    /// Whether the hedge budget holds a token and neither tier shows congestion.
    pub(crate) hedges_allowed: bool,
    /// Whether the retry budget holds a token and the caches' concurrency limit is not reached.
    pub(crate) retries_allowed: bool,
    /// Whether the first attempt is lost or its server is suspected to be an outlier.
    pub(crate) needs_retry: bool,
}

/// Where a late read may be sent: as a hedged request if possible, else as a retry.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct ExtraAttemptTargets {
    /// The cache with idle capacity that a hedged request goes to.
    pub(crate) hedge_to: Option<ServerId>,
    /// The healthy cache that a retry goes to.
    pub(crate) retry_to: Option<ServerId>,
}

/// Chooses the first suitable ones among the alternatives: healthy candidates that the read was not sent to
/// yet, in order of rank.
pub(crate) fn extra_attempt_targets(
    alternatives: impl Iterator<Item = Alternative>,
    conditions: &ExtraAttemptConditions,
) -> ExtraAttemptTargets {
    let mut targets = ExtraAttemptTargets::default();
    for alternative in alternatives {
        let may_retry = conditions.needs_retry && conditions.retries_allowed;
        if may_retry && targets.retry_to.is_none() {
            targets.retry_to = Some(alternative.server);
        }
        if conditions.hedges_allowed && alternative.is_idle && targets.hedge_to.is_none() {
            targets.hedge_to = Some(alternative.server);
        }
    }
    targets
}

/// When a read for which no extra attempt was possible is checked again, in microseconds from `now`: after
/// the hedge delay, or earlier if one of its attempts exceeds the latency objective before. An attempt may
/// then count as lost (see [`InFlight::write_off_lost`](crate::in_flight::InFlight::write_off_lost)).
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
