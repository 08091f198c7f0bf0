//! The settings document by its field names on the wire.

use std::collections::HashSet;

use serde::Deserialize;

/// The settings document of the wire or of a node's configuration. Times are in milliseconds.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SettingsDocument {
    /// The classes of requests.
    pub(super) classes: Vec<ClassDocument>,
    /// How misses are fetched, and which machine type is the origin.
    #[serde(default)]
    pub(super) family_info: FamilyInfo,
    /// The bounds within which discovery and servers in slow start behave.
    #[serde(default)]
    pub(super) guarantees: Guarantees,
    /// The limits of attempts and connections.
    #[serde(default)]
    pub(super) limits: Limits,
    /// Factor on the priority weight of a request whose tenant exceeds its quota.
    #[serde(default)]
    pub(super) over_share_worth: Option<f64>,
    /// The least time between two events.
    #[serde(default)]
    pub(super) quantum: f64,
    /// The costs of attempts.
    #[serde(default)]
    pub(super) prices: Prices,
    /// The zone of this node.
    #[serde(default)]
    pub(super) zone: Option<String>,
    /// `subscribe` if the endpoint list must be watched rather than polled.
    #[serde(default)]
    pub(super) registry_mode: String,
    /// Number of nodes that send to the same servers, including this one.
    #[serde(default)]
    pub(super) siblings: usize,
    /// The index of this node among them, from 0.
    #[serde(default)]
    pub(super) me: Option<i64>,
    /// The tenants and their quotas.
    #[serde(default)]
    pub(super) tenants: Vec<TenantDocument>,
    /// `live` if the weights in the endpoint list are not the lasting sizes of the servers.
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
    /// The name that clients use for it.
    pub(super) name: String,
    /// The latency objective.
    pub(super) aim: f64,
    /// The longest deadline that a client may ask for, for all attempts together.
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
    /// The name that clients use for it.
    pub(super) name: String,
    /// Its quota, as a fraction of the service.
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
    /// Cost of an attempt at another zone, as a fraction of the value of the service.
    pub(super) cross_zone: f64,
}

/// Bounds within which discovery and servers in slow start behave.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Guarantees {
    /// The duration of slow start.
    pub(super) cold: f64,
    /// The smallest fraction of its capacity that a server has after a start, 0 to 1.
    pub(super) cold_from: Option<f64>,
    /// The length of the window in which a server in slow start can be overloaded.
    pub(super) fall: f64,
    /// The longest interval between two polls of the endpoint list where it is not watched.
    pub(super) must_ask_in: Option<f64>,
    /// The multiple of its present capacity that overloads a server in slow start.
    pub(super) overload_factor: Option<f64>,
}

/// Limits of attempts and connections, and which optional behaviour is allowed.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Limits {
    /// Whether attempts may be cancelled.
    pub(super) cancel: bool,
    /// A connection that is not open after this time has failed.
    pub(super) connect_timeout: Option<f64>,
    /// Servers close a connection that has been idle for this time.
    pub(super) keepalive: Option<f64>,
    /// The largest number of attempts for one request.
    pub(super) max_attempts: Option<usize>,
    /// The longest Retry-After that clients honour.
    pub(super) max_retry_after: f64,
    /// Whether clients honour a Retry-After.
    pub(super) retry_after: bool,
    /// Whether requests may be hedged.
    pub(super) second_copies: bool,
}

/// The reason why a settings document can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A class has an unknown effect.
    #[error("unknown effect {0:?} of a class")]
    UnknownEffect(String),
    /// A keyed class does not state which servers discard repeats.
    #[error("class {class:?}: unknown deduplication scope {scope:?}")]
    UnknownScope {
        /// The name of the class.
        class: String,
        /// What the document states, or nothing.
        scope: String,
    },
    /// There is no class.
    #[error("the settings have no class")]
    NoClass,
    /// A class has an empty name, or the same name as another class.
    #[error("class name {0:?} is empty or used twice")]
    ClassName(String),
    /// The latency objective or the deadline of a class is not a positive number.
    #[error("class {0:?}: aim and deadline must be positive numbers")]
    ClassTimes(String),
    /// The largest number of attempts is 0 or missing.
    #[error("attempts must be a positive number")]
    MaxAttempts,
}

impl SettingsDocument {
    /// Checks that the document has usable values for the fields that a node needs and that have no default for it.
    ///
    /// # Errors
    /// If there is no class; if a class has an empty name, the name of another class, or a latency objective or deadline
    /// that is not positive; or if the largest number of attempts is missing or 0.
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
