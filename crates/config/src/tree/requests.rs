//! Sections of requests: attempts, connections, classes and tenants.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{HOUR, SECOND};
use crate::units::{Count, DurationMillis, Fraction, Positive};

/// How requests are attempted, and what clients are told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    /// The maximum number of attempts for a request.
    #[serde(rename = "attempts")]
    pub max_attempts: Count<1, 16>,
    /// Whether a safe read may have two attempts in flight at once.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Whether servers stop work on a cancelled attempt.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    /// The longest time after which a rejected client is told to retry; 0s if clients are told none.
    #[serde(rename = "retry_after")]
    pub max_retry_after: DurationMillis<0, HOUR>,
    /// What a request beyond its tenant's share is worth, as a part of the worth of its class.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: Fraction,
}

impl Default for Requests {
    fn default() -> Requests {
        Requests {
            max_attempts: Count::new(3),
            hedging: true,
            cancellation: true,
            max_retry_after: DurationMillis::new(2 * SECOND),
            over_quota_weight: Fraction::new(1.0),
        }
    }
}

/// Connections to servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// A connection that is not established after this time has failed.
    pub connect_timeout: DurationMillis<1, 60_000>,
    /// Servers close a connection that has been idle for this time.
    #[serde(rename = "keepalive")]
    pub idle_timeout: DurationMillis<100, { 24 * HOUR }>,
}

impl Default for Connections {
    fn default() -> Connections {
        Connections {
            connect_timeout: DurationMillis::new(250),
            idle_timeout: DurationMillis::new(15 * SECOND),
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Class")]
pub struct RequestClass {
    /// The class's name, as clients state it.
    pub name: String,
    /// An answer within this time has full worth.
    #[serde(rename = "aim")]
    pub latency_objective: DurationMillis<1, HOUR>,
    /// No client waits longer than this time; at least `aim`.
    pub deadline: DurationMillis<1, HOUR>,
    /// Whether a request may be repeated.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// For a keyed class: the servers that discard repeats.
    #[serde(rename = "scope", default)]
    pub deduplication_scope: DeduplicationScope,
    /// For a keyed class: how long the servers discard repeats.
    #[serde(rename = "window", default = "deduplication_window")]
    pub deduplication_window: DurationMillis<1, HOUR>,
    /// What one answer is worth, in comparison with other classes.
    #[serde(rename = "worth", default = "priority_weight")]
    pub priority_weight: Positive,
}

fn deduplication_window() -> DurationMillis<1, HOUR> {
    DurationMillis::new(5 * SECOND)
}

fn priority_weight() -> Positive {
    Positive::new(1.0)
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Effect")]
pub enum Idempotency {
    /// A request may be repeated freely.
    #[serde(rename = "safe")]
    Idempotent,
    /// A request has a key by which servers discard repeats for the time `window`.
    Keyed,
    /// A request must not run twice.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// Which servers discard the repeats of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Scope")]
pub enum DeduplicationScope {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The tenant's name, as clients state it.
    pub name: String,
    /// The tenant's part of the service.
    #[serde(rename = "share")]
    pub quota: Fraction,
}
