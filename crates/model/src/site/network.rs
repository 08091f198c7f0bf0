//! Configuration of the network between zones.

use serde::{Deserialize, Serialize};
use stonefold_config::{DurationMicros, Fraction};

use crate::site::units::SECOND_US;

/// Zones and the one-way latencies between them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkKind {
    /// The zones; servers and nodes are assigned to them round-robin.
    pub zones: Vec<String>,
    /// One-way latency within a zone.
    pub same_zone: DurationMicros<0, SECOND_US>,
    /// Range of the one-way latency between two zones; drawn once for each pair.
    pub cross_zone: [DurationMicros<0, SECOND_US>; 2],
    /// Mean extra latency of a message, as a fraction of its one-way latency.
    pub jitter: Fraction,
}

impl Default for NetworkKind {
    fn default() -> Self {
        NetworkKind {
            zones: vec!["a".into()],
            same_zone: DurationMicros::new(0),
            cross_zone: [DurationMicros::new(0); 2],
            jitter: Fraction::new(0.0),
        }
    }
}
