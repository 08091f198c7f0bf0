//! Thresholds of the rules that a node must keep.

use serde::{Deserialize, Serialize};
use stonefold_config::{DurationMicros, Positive};

use crate::site::units::SECOND_US;

/// Thresholds of the rules by which the rule checker finds violations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleThresholds {
    /// Tolerance after the deadline within which an answer still counts.
    pub answer_slack: DurationMicros<0, SECOND_US>,
    /// Time after a node is notified that a server drains or is removed, during which it may still send it requests.
    pub drain_grace: DurationMicros<0, { 60 * SECOND_US }>,
    /// Multiple of its capacity above which a server that is warming up collapses.
    pub overload_factor: Positive,
    /// Window over which the load of a server that is warming up is measured.
    pub overload_for: DurationMicros<1_000, { 60 * SECOND_US }>,
}

impl Default for RuleThresholds {
    fn default() -> Self {
        RuleThresholds {
            answer_slack: DurationMicros::new(70_000),
            drain_grace: DurationMicros::new(550_000),
            overload_factor: Positive::new(3.0),
            overload_for: DurationMicros::new(1_500_000),
        }
    }
}
