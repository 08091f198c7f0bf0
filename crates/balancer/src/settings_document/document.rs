//! The settings document as it stands on the wire, with the names that its fields have there.

use std::collections::HashSet;

use serde::Deserialize;

/// The settings as they stand in the document, on the wire or in a node's configuration. Times are milliseconds.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SettingsDocument {
    /// The classes of requests.
    pub(super) classes: Vec<ClassDocument>,
    /// How misses are fetched, and which machine type is the origin.
    #[serde(default)]
    pub(super) family_info: FamilyInfo,
    /// What discovery and servers in slow start keep to.
    #[serde(default)]
    pub(super) guarantees: Guarantees,
    /// What attempts and connections may do.
    #[serde(default)]
    pub(super) limits: Limits,
    /// Weight of a request beyond its tenant's quota, as a part of its class's.
    #[serde(default)]
    pub(super) over_share_worth: Option<f64>,
    /// The least time between two events.
    #[serde(default)]
    pub(super) quantum: f64,
    /// What attempts cost.
    #[serde(default)]
    pub(super) prices: Prices,
    /// The zone of this node.
    #[serde(default)]
    pub(super) zone: Option<String>,
    /// `subscribe` if the endpoint list must be watched.
    #[serde(default)]
    pub(super) registry_mode: String,
    /// Nodes that send to the same servers, this one included.
    #[serde(default)]
    pub(super) siblings: usize,
    /// Which of them this one is, from 0.
    #[serde(default)]
    pub(super) me: Option<i64>,
    /// The tenants and their quotas.
    #[serde(default)]
    pub(super) tenants: Vec<TenantDocument>,
    /// `live` if an endpoint's weight is not its size.
    #[serde(default)]
    pub(super) weights: String,
    /// The names of the zones.
    #[serde(default)]
    pub(super) dcs: Vec<String>,
    /// The names of the machine types.
    #[serde(default)]
    pub(super) skus: Vec<String>,
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct ClassDocument {
    /// The name by which clients name it.
    pub(super) name: String,
    /// The latency objective.
    pub(super) aim: f64,
    /// The longest deadline of a client, over all attempts.
    #[serde(default)]
    pub(super) hard_limit: f64,
    /// The priority weight.
    #[serde(default)]
    pub(super) worth: Option<f64>,
    /// The idempotency: `safe`, `keyed` or `unsafe`.
    pub(super) effect: String,
    /// Which servers discard repeats of a keyed request: `all`, `zone` or `cell`.
    #[serde(default)]
    pub(super) dedup_scope: String,
    /// For how long they discard repeats.
    #[serde(default)]
    pub(super) window: f64,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct TenantDocument {
    /// The name by which clients name it.
    pub(super) name: String,
    /// Its quota, as a part of the service.
    #[serde(default)]
    pub(super) share: f64,
}

/// How the caches and the origin work together.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct FamilyInfo {
    /// `aside` if the node fetches misses from the origin.
    pub(super) mode: String,
    /// The index of the machine type that marks the origin.
    pub(super) origin_kind: Option<i64>,
}

/// Costs of attempts.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Prices {
    /// Cost of an attempt at another zone, as a part of the service's value.
    pub(super) cross_zone: f64,
}

/// Bounds that discovery, and servers in slow start, have.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Guarantees {
    /// The duration of slow start.
    pub(super) cold: f64,
    /// The part of its capacity that a started server has at least, 0 to 1.
    pub(super) cold_from: Option<f64>,
    /// The length of the window in which a server in slow start is overloaded.
    pub(super) fall: f64,
    /// Without a watch, the list is polled at least this often.
    pub(super) must_ask_in: Option<f64>,
    /// The multiple of its present capacity that overloads a server in slow start.
    pub(super) overload_factor: Option<f64>,
}

/// Bounds of attempts and connections.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Limits {
    /// Whether attempts may be cancelled.
    pub(super) cancel: bool,
    /// A connection that is not up by then has failed.
    pub(super) connect_timeout: Option<f64>,
    /// Servers close a connection that has been idle for so long.
    pub(super) keepalive: Option<f64>,
    /// The most attempts for one request.
    pub(super) max_attempts: Option<usize>,
    /// The longest Retry-After that clients honour.
    pub(super) max_retry_after: f64,
    /// Whether clients honour a Retry-After.
    pub(super) retry_after: bool,
    /// Whether requests may be hedged.
    pub(super) second_copies: bool,
}

/// Why a settings document can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A class has an unknown effect.
    #[error("unknown effect {0:?}")]
    UnknownEffect(String),
    /// There is no class.
    #[error("no class")]
    NoClass,
    /// A class has no name, or the name of another.
    #[error("class name {0:?} is empty or used twice")]
    ClassName(String),
    /// The latency objective or the deadline of a class is no positive number.
    #[error("class {0:?} has no positive aim and deadline")]
    ClassTimes(String),
    /// The most attempts are 0 or not stated.
    #[error("attempts are not a positive number")]
    MaxAttempts,
}

impl SettingsDocument {
    /// Checks that a node can use the document as it stands, with no default for what matters.
    ///
    /// # Errors
    /// If there is no class, or one without a name of its own, a positive latency objective or a positive deadline, or if
    /// there are no attempts.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut names = HashSet::new();
        for class in &self.classes {
            if class.name.is_empty() || !names.insert(&class.name) {
                return Err(SettingsError::ClassName(class.name.clone()));
            }
            if !(class.aim > 0.0 && class.hard_limit > 0.0) {
                return Err(SettingsError::ClassTimes(class.name.clone()));
            }
        }
        if names.is_empty() {
            return Err(SettingsError::NoClass);
        }
        self.limits.max_attempts.filter(|&n| n > 0).map(drop).ok_or(SettingsError::MaxAttempts)
    }
}
