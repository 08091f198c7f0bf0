//! The settings document as it stands on the wire, with the names that its fields have there.

use std::collections::HashSet;

use serde::Deserialize;

/// The settings as they stand in the document, on the wire or in a node's configuration. Times are milliseconds.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SettingsDocument {
    pub(super) classes: Vec<ClassDocument>,
    #[serde(default)]
    pub(super) family_info: FamilyInfo,
    #[serde(default)]
    pub(super) guarantees: Guarantees,
    #[serde(default)]
    pub(super) limits: Limits,
    #[serde(default)]
    pub(super) over_share_worth: Option<f64>,
    #[serde(default)]
    pub(super) quantum: f64,
    #[serde(default)]
    pub(super) prices: Prices,
    #[serde(default)]
    pub(super) zone: Option<String>,
    #[serde(default)]
    pub(super) registry_mode: String,
    #[serde(default)]
    pub(super) siblings: usize,
    #[serde(default)]
    pub(super) me: Option<i64>,
    #[serde(default)]
    pub(super) tenants: Vec<TenantDocument>,
    #[serde(default)]
    pub(super) weights: String,
    #[serde(default)]
    pub(super) dcs: Vec<String>,
    #[serde(default)]
    pub(super) skus: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct ClassDocument {
    pub(super) name: String,
    pub(super) aim: f64,
    #[serde(default)]
    pub(super) hard_limit: f64,
    #[serde(default)]
    pub(super) worth: Option<f64>,
    pub(super) effect: String,
    #[serde(default)]
    pub(super) dedup_scope: String,
    #[serde(default)]
    pub(super) window: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct TenantDocument {
    pub(super) name: String,
    #[serde(default)]
    pub(super) share: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct FamilyInfo {
    pub(super) mode: String,
    pub(super) origin_kind: Option<i64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Prices {
    pub(super) cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Guarantees {
    pub(super) cold: f64,
    pub(super) cold_from: Option<f64>,
    pub(super) fall: f64,
    pub(super) must_ask_in: Option<f64>,
    pub(super) overload_factor: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Limits {
    pub(super) cancel: bool,
    pub(super) connect_timeout: Option<f64>,
    pub(super) keepalive: Option<f64>,
    pub(super) max_attempts: Option<usize>,
    pub(super) max_retry_after: f64,
    pub(super) retry_after: bool,
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
