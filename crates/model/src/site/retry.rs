//! Configuration of the retries of clients.

use serde::{Deserialize, Serialize};
use stonefold_config::{Count, DurationMicros};

use crate::site::units::SECOND_US;

/// How clients retry rejected requests: exponential backoff with full jitter, within the deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryKind {
    /// Maximum number of attempts; 1 for no retry.
    #[serde(rename = "tries")]
    pub max_attempts: Count<1, 100>,
    /// Upper bound of the first backoff; it doubles with each attempt.
    #[serde(rename = "pause")]
    pub initial_backoff: DurationMicros<0, { 60 * SECOND_US }>,
    /// Limit of the upper bound of a backoff.
    #[serde(rename = "longest")]
    pub max_backoff: DurationMicros<0, { 60 * SECOND_US }>,
}

impl Default for RetryKind {
    fn default() -> Self {
        RetryKind {
            max_attempts: Count::new(1),
            initial_backoff: DurationMicros::new(50_000),
            max_backoff: DurationMicros::new(1_000_000),
        }
    }
}
