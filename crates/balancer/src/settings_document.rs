//! The settings document of the protocol, and its translation to the settings of this crate.
//!
//! The node and the simulator adapter read the same document. [`SettingsDocument`] has the fields by their names on the
//! wire. [`ResolvedSettings`] has their meaning, with the names of classes, tenants, zones and machine types replaced
//! by indices. Unknown fields are ignored.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

use crate::api::{CacheMode, DeduplicationScope, Idempotency, Micros, RequestClass, Settings};

mod document;
mod names;

use document::{ClassDocument, TenantDocument};
pub use document::{SettingsDocument, SettingsError};
use names::{IndexedNames, index_of};

/// [`ResolvedSettings::connect_timeout`] where the document has none.
const DEFAULT_CONNECT_TIMEOUT: Micros = 1_000_000;

/// The largest time that [`micros_from_millis`] returns. It leaves room for sums and is well above the present Unix
/// time: if it were below, a server that has just started would count as started long ago.
const MAX_MICROS: f64 = 1e17;

/// The meaning of a settings document: the settings of the balancer and of the node, and the names behind the indices.
#[derive(Debug, Clone)]
pub struct ResolvedSettings {
    /// The settings of the balancer.
    pub settings: Settings,
    /// A connection that is not open after this time has failed.
    pub connect_timeout: Micros,
    /// The longest deadline of any class, from the arrival of a request.
    pub max_deadline: Micros,
    classes: IndexedNames,
    tenants: IndexedNames,
    zones: HashMap<String, u32>,
    machine_types: HashMap<String, u32>,
    /// The name of the machine type that marks the origin.
    origin_machine_type: Option<String>,
}

impl TryFrom<SettingsDocument> for ResolvedSettings {
    type Error = SettingsError;

    fn try_from(document: SettingsDocument) -> Result<ResolvedSettings, SettingsError> {
        ResolvedSettings::resolve(document, None)
    }
}

impl ResolvedSettings {
    /// The meaning of the document that replaces this one: names in both keep their indices.
    ///
    /// # Errors
    /// If a class has an unknown effect.
    pub fn updated_with(&self, document: SettingsDocument) -> Result<ResolvedSettings, SettingsError> {
        ResolvedSettings::resolve(document, Some(self))
    }

    fn resolve(
        document: SettingsDocument,
        previous: Option<&ResolvedSettings>,
    ) -> Result<ResolvedSettings, SettingsError> {
        let mut class_names = previous.map(|p| p.classes.clone()).unwrap_or_default();
        let mut tenant_names = previous.map(|p| p.tenants.clone()).unwrap_or_default();
        let mut classes = previous.map(|p| p.settings.classes.clone()).unwrap_or_default();
        let mut tenant_quotas = previous.map(|p| p.settings.tenant_quotas.clone()).unwrap_or_default();
        update_classes(&mut classes, &mut class_names, &document.classes)?;
        update_tenant_quotas(&mut tenant_quotas, &mut tenant_names, &document.tenants);
        let mut zones = previous.map(|p| p.zones.clone()).unwrap_or_default();
        let mut machine_types = previous.map(|p| p.machine_types.clone()).unwrap_or_default();
        for name in &document.dcs {
            index_of(&mut zones, Cow::Borrowed(name));
        }
        for name in &document.skus {
            index_of(&mut machine_types, Cow::Borrowed(name));
        }
        let origin_kind = document.family_info.origin_kind.and_then(|kind| usize::try_from(kind).ok());
        let deadlines = document.classes.iter().map(|class| micros_from_millis(class.hard_limit));
        Ok(ResolvedSettings {
            connect_timeout: document
                .limits
                .connect_timeout
                .map_or(DEFAULT_CONNECT_TIMEOUT, micros_from_millis),
            max_deadline: deadlines.max().unwrap_or(0),
            origin_machine_type: origin_kind.and_then(|kind| document.skus.get(kind).cloned()),
            settings: balancer_settings(document, classes, tenant_quotas, &zones),
            classes: class_names,
            tenants: tenant_names,
            zones,
            machine_types,
        })
    }

    /// The index of a class that the settings in force or earlier ones name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.index(name)
    }

    /// The names of the classes in force.
    pub fn class_names(&self) -> &HashSet<String> {
        self.classes.in_force()
    }

    /// The index of a tenant, if the settings in force name it.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.index(name).filter(|_| self.tenants.in_force().contains(name))
    }

    /// The number of a zone; a new one if its name was not used before.
    pub fn zone(&mut self, name: Cow<str>) -> u32 {
        index_of(&mut self.zones, name)
    }

    /// The number of a machine type; a new one if its name was not used before.
    pub fn machine_type(&mut self, name: Cow<str>) -> u32 {
        index_of(&mut self.machine_types, name)
    }

    /// Whether a server of this machine type is the origin.
    pub fn is_origin(&self, machine_type: &str) -> bool {
        self.origin_machine_type.as_deref() == Some(machine_type)
    }
}

/// Converts the document to the settings of the balancer. Classes and tenant quotas are passed in resolved; `zones`
/// maps the names of all zones known so far to their numbers.
fn balancer_settings(
    document: SettingsDocument,
    classes: Vec<RequestClass>,
    tenant_quotas: Vec<f64>,
    zones: &HashMap<String, u32>,
) -> Settings {
    let defaults = Settings::default();
    let (limits, guarantees) = (document.limits, document.guarantees);
    let poll_interval = guarantees.must_ask_in.filter(|&millis| millis > 0.0);
    let own_zone = document.zone.filter(|zone| document.dcs.contains(zone));
    Settings {
        classes,
        tenant_quotas,
        over_quota_weight: document.over_share_worth.unwrap_or(defaults.over_quota_weight),
        cache_mode: if document.family_info.mode == "aside" { CacheMode::Aside } else { CacheMode::Through },
        watch_required: document.registry_mode == "subscribe",
        max_poll_interval: poll_interval.map_or(defaults.max_poll_interval, micros_from_millis),
        static_weights: document.weights != "live",
        cancellation: limits.cancel,
        hedging: limits.second_copies,
        max_attempts: limits.max_attempts.unwrap_or(defaults.max_attempts),
        max_retry_after: if limits.retry_after { micros_from_millis(limits.max_retry_after) } else { 0 },
        slow_start_duration: micros_from_millis(guarantees.cold),
        initial_capacity: guarantees.cold_from.unwrap_or(defaults.initial_capacity),
        overload_factor: guarantees.overload_factor.unwrap_or(defaults.overload_factor),
        overload_window: micros_from_millis(guarantees.fall),
        timer_granularity: micros_from_millis(document.quantum),
        node_count: document.siblings.max(1),
        node_index: document.me.and_then(|me| usize::try_from(me).ok()),
        idle_timeout: limits.keepalive.map_or(defaults.idle_timeout, micros_from_millis),
        zone: own_zone.and_then(|zone| zones.get(&zone).copied()),
        cross_zone_cost: document.prices.cross_zone,
    }
}

/// Stores the document's classes at the indices of their names.
fn update_classes(
    classes: &mut Vec<RequestClass>,
    names: &mut IndexedNames,
    documents: &[ClassDocument],
) -> Result<(), SettingsError> {
    let indices = names.replace(documents.iter().map(|class| &class.name));
    for (document, index) in documents.iter().zip(indices) {
        let class = RequestClass {
            latency_objective: micros_from_millis(document.aim),
            priority_weight: document.worth.unwrap_or(1.0),
            idempotency: idempotency(document)?,
        };
        set_or_push(classes, index, class);
    }
    Ok(())
}

/// Stores the document's quotas at the indices of their tenants' names.
fn update_tenant_quotas(quotas: &mut Vec<f64>, names: &mut IndexedNames, documents: &[TenantDocument]) {
    let indices = names.replace(documents.iter().map(|tenant| &tenant.name));
    for (document, index) in documents.iter().zip(indices) {
        set_or_push(quotas, index, document.share);
    }
}

/// The idempotency of a class by the document.
fn idempotency(class: &ClassDocument) -> Result<Idempotency, SettingsError> {
    match class.effect.as_str() {
        "safe" => Ok(Idempotency::Idempotent),
        "keyed" => {
            let scope = deduplication_scope(class)?;
            Ok(Idempotency::Keyed { scope, window: micros_from_millis(class.window) })
        }
        "unsafe" => Ok(Idempotency::NonIdempotent),
        other => Err(SettingsError::UnknownEffect(other.into())),
    }
}

/// Which servers discard repeats of a keyed class.
fn deduplication_scope(class: &ClassDocument) -> Result<DeduplicationScope, SettingsError> {
    match class.dedup_scope.as_str() {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        other => Err(SettingsError::UnknownScope { class: class.name.clone(), scope: other.into() }),
    }
}

/// Sets the value at an index, which is at most the number of values.
fn set_or_push<T>(values: &mut Vec<T>, index: usize, value: T) {
    match values.get_mut(index) {
        Some(previous) => *previous = value,
        None => values.push(value),
    }
}

/// Converts milliseconds to microseconds, rounded. NaN and negative times become 0; large ones are limited to about
/// 3,000 years.
pub fn micros_from_millis(millis: f64) -> Micros {
    (millis * 1000.0).round().min(MAX_MICROS) as Micros
}
