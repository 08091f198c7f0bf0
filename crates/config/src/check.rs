//! Validation across values: names that must be unique, and values that depend on each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::tree::{Config, Membership, Node, RequestClass, Role, Store, Tenant};

/// The maximum number of addresses in `store.publishers`, over all tiers.
const MAX_PUBLISHERS: usize = 1_024;
/// The maximum number of addresses in `membership.seeds`.
const MAX_SEEDS: usize = 1_024;
/// The longest name of a node or a cluster that membership accepts, in bytes.
const MAX_NAME_LENGTH: usize = 64;
/// The largest allowed sum of the tenants' quotas: 1, plus a tolerance for rounding errors.
const MAX_QUOTA_SUM: f64 = 1.000_001;

/// A value that is inconsistent with other values.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct CheckError {
    /// The key's path, such as `class[1].deadline`.
    pub key: String,
    /// What is wrong, and what would be allowed.
    pub reason: String,
}

impl CheckError {
    /// An error for the value of `key`, with the reason.
    pub fn new(key: impl Into<String>, reason: impl Into<String>) -> CheckError {
        CheckError { key: key.into(), reason: reason.into() }
    }

    /// The same error with the key below `parent`.
    #[must_use]
    pub fn below(self, parent: &str) -> CheckError {
        CheckError { key: format!("{parent}.{}", self.key), reason: self.reason }
    }
}

/// A tree that can be validated as a whole.
pub trait Check {
    /// Validates that the values are consistent.
    ///
    /// # Errors
    /// For the first key whose value is inconsistent.
    fn check(&self) -> Result<(), CheckError>;
}

impl Check for Config {
    fn check(&self) -> Result<(), CheckError> {
        check_node(&self.node, &self.fleet.zones)?;
        if let Err(error) = self.log.level.parse::<stonefold_observe::Levels>() {
            return Err(CheckError::new("log.level", error.to_string()));
        }
        if let Some(store) = &self.store {
            check_store(store)?;
        }
        if let Some(membership) = &self.membership {
            check_membership(&self.node.name, membership)?;
        }
        if self.classes.is_empty() {
            let reason = "needed: at least one [[class]] with name, aim, deadline and effect";
            return Err(CheckError::new("class", reason));
        }
        check_names("class", "name", self.classes.iter().map(|class| class.name.as_str()))?;
        check_names("tenant", "name", self.tenants.iter().map(|tenant| tenant.name.as_str()))?;
        check_names("server", "id", self.servers.iter().map(|server| server.id.as_str()))?;
        check_deadlines(&self.classes)?;
        check_quotas(&self.tenants)
    }
}

fn check_node(node: &Node, zones: &[String]) -> Result<(), CheckError> {
    if node.listen.is_none() {
        let reason = "needed: where clients connect, such as \"127.0.0.1:6379\"";
        return Err(CheckError::new("node.listen", reason));
    }
    if node.discovery.is_none() {
        let reason = "needed: where discovery answers, such as \"127.0.0.1:8500\"";
        return Err(CheckError::new("node.discovery", reason));
    }
    if let Some(seed) = node.seed.as_ref().filter(|seed| u64::from_str_radix(seed, 16).is_err()) {
        let reason = format!("{seed:?} is not a number of up to 16 hex digits");
        return Err(CheckError::new("node.seed", reason));
    }
    if let Some(zone) = node.zone.as_ref().filter(|zone| !zones.contains(zone)) {
        let reason = format!("{zone:?} is not one of fleet.zones: {zones:?}");
        return Err(CheckError::new("node.zone", reason));
    }
    let node_count = node.node_count.get();
    if let Some(index) = node.node_index.map(|index| index.get()).filter(|&index| index >= node_count) {
        let reason = format!("{index} is none of node.siblings: 0 to {}", node_count - 1);
        return Err(CheckError::new("node.index", reason));
    }
    Ok(())
}

/// Checks that names are not empty, are unique, and can be a value in a list of `name=value` pairs.
fn check_names<'a>(
    section: &str,
    field: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), CheckError> {
    let mut seen = BTreeSet::new();
    for (index, name) in names.enumerate() {
        let invalid = |reason: String| CheckError::new(format!("{section}[{index}].{field}"), reason);
        if name.is_empty() || name.contains([',', '=']) || name.chars().any(char::is_control) {
            return Err(invalid(format!(
                "{name:?} is no name: it must not be empty or contain a comma, an = or a control character"
            )));
        }
        if !seen.insert(name) {
            return Err(invalid(format!("{name:?} is used twice")));
        }
    }
    Ok(())
}

fn check_store(store: &Store) -> Result<(), CheckError> {
    if let Some(listen) = store.listen.filter(|listen| !listen.ip().is_loopback()) {
        let reason = format!("{listen} is no loopback address: the store listens on loopback addresses only");
        return Err(CheckError::new("store.listen", reason));
    }
    match store.role {
        Role::Member => check_store_member(store),
        Role::Subscriber => check_store_subscriber(store),
    }
}

fn check_store_member(store: &Store) -> Result<(), CheckError> {
    if store.listen.is_none() {
        let reason = "needed by a member: where others reach it, such as \"127.0.0.1:7101\"";
        return Err(CheckError::new("store.listen", reason));
    }
    if store.cluster.is_some() {
        let reason = "only a subscriber states it: a member reads it from its folder";
        return Err(CheckError::new("store.cluster", reason));
    }
    if !store.publishers.is_empty() {
        let reason = "only a subscriber has publishers: a member finds the others by itself";
        return Err(CheckError::new("store.publishers", reason));
    }
    Ok(())
}

fn check_store_subscriber(store: &Store) -> Result<(), CheckError> {
    if store.cluster_id().is_none() {
        let reason = "needed by a subscriber: 32 hex digits, as `stonefold store init` printed them";
        return Err(CheckError::new("store.cluster", reason));
    }
    let publishers: Vec<SocketAddr> = store.publishers.iter().flatten().copied().collect();
    let invalid = |reason: String| Err(CheckError::new("store.publishers", reason));
    if publishers.is_empty() {
        return invalid(
            "needed by a subscriber: addresses by tier, the nearest first, such as [[\"127.0.0.1:7101\"]]"
                .into(),
        );
    }
    if publishers.len() > MAX_PUBLISHERS {
        return invalid(format!("at most {MAX_PUBLISHERS} addresses are allowed"));
    }
    match publishers.iter().find(|&&publisher| Some(publisher) == store.listen) {
        Some(publisher) => invalid(format!("{publisher} is the address at which this very node listens")),
        None => Ok(()),
    }
}

fn check_membership(node_name: &str, membership: &Membership) -> Result<(), CheckError> {
    let addresses =
        [("membership.listen", Some(membership.listen)), ("membership.advertise", membership.advertise)];
    for (key, address) in addresses {
        if let Some(address) = address.filter(|address| !address.ip().is_loopback()) {
            let reason = format!("{address} is no loopback address: membership uses loopback addresses only");
            return Err(CheckError::new(key, reason));
        }
    }
    if membership.seeds.len() > MAX_SEEDS {
        return Err(CheckError::new(
            "membership.seeds",
            format!("at most {MAX_SEEDS} addresses are allowed"),
        ));
    }
    if membership.cluster.is_empty() || membership.cluster.len() > MAX_NAME_LENGTH {
        let reason = format!("needed: a name of 1 to {MAX_NAME_LENGTH} bytes");
        return Err(CheckError::new("membership.cluster", reason));
    }
    if node_name.is_empty() || node_name.len() > MAX_NAME_LENGTH {
        let reason = format!("needed by [membership]: a name of 1 to {MAX_NAME_LENGTH} bytes");
        return Err(CheckError::new("node.name", reason));
    }
    Ok(())
}

fn check_deadlines(classes: &[RequestClass]) -> Result<(), CheckError> {
    for (index, class) in classes.iter().enumerate() {
        if class.deadline.ms() < class.latency_objective.ms() {
            let key = format!("class[{index}].deadline");
            return Err(CheckError::new(key, "must not be shorter than the aim"));
        }
    }
    Ok(())
}

fn check_quotas(tenants: &[Tenant]) -> Result<(), CheckError> {
    let sum: f64 = tenants.iter().map(|tenant| tenant.quota.get()).sum();
    if sum > MAX_QUOTA_SUM {
        return Err(CheckError::new("tenant", format!("the shares add up to {sum:.3}, more than 1")));
    }
    Ok(())
}
