//! What no single value shows: names that are used twice, values that don't fit together.

use std::collections::BTreeSet;

use crate::tree::{Config, Role, Store};

/// A key's path, and what is wrong there.
pub type Wrong = (String, String);

/// A tree that can be checked as a whole.
pub trait Check {
    /// Whether its values fit together.
    ///
    /// # Errors
    /// The first key that doesn't, and why.
    fn check(&self) -> Result<(), Wrong>;
}

fn wrong<T>(key: impl Into<String>, what: impl Into<String>) -> Result<T, Wrong> {
    Err((key.into(), what.into()))
}

/// Names that must be there and differ.
fn distinct<'a>(under: &str, field: &str, names: impl Iterator<Item = &'a String>) -> Result<(), Wrong> {
    let mut seen = BTreeSet::new();
    for (n, name) in names.enumerate() {
        if name.is_empty() || name.contains([',', '=']) || name.chars().any(char::is_control) {
            return wrong(
                format!("{under}[{n}].{field}"),
                format!(
                    "{name:?} is no name: it must not be empty, and has no comma, no = and no control character"
                ),
            );
        }
        if !seen.insert(name) {
            return wrong(format!("{under}[{n}].{field}"), format!("{name:?} is used twice"));
        }
    }
    Ok(())
}

/// Publishers of one tier, and all of them.
const PUBLISHERS: usize = 1_024;

/// What a member and a subscriber are told, each what is its own.
fn store(store: &Store) -> Result<(), Wrong> {
    if let Some(listen) = store.listen.filter(|listen| !listen.ip().is_loopback()) {
        return wrong(
            "store.listen",
            format!("{listen} is no loopback address: the store listens on those alone"),
        );
    }
    let publishers = store.publishers.iter().flatten();
    match store.role {
        Role::Member if store.listen.is_none() => {
            wrong("store.listen", "needed by a member: where others reach it, such as \"127.0.0.1:7101\"")
        }
        Role::Member if store.cluster.is_some() => {
            wrong("store.cluster", "a member's is in its folder: only a subscriber is told it")
        }
        Role::Member if !store.publishers.is_empty() => {
            wrong("store.publishers", "only a subscriber has publishers: members find each other")
        }
        Role::Member => Ok(()),
        Role::Subscriber if store.cluster().is_none() => wrong(
            "store.cluster",
            "needed by a subscriber: 32 hex digits, as `stonefold store init` printed them",
        ),
        Role::Subscriber if publishers.clone().next().is_none() => wrong(
            "store.publishers",
            "needed by a subscriber: addresses by tier, the nearest first, such as [[\"127.0.0.1:7101\"]]",
        ),
        Role::Subscriber if publishers.clone().count() > PUBLISHERS => {
            wrong("store.publishers", format!("at most {PUBLISHERS} are taken"))
        }
        Role::Subscriber => match publishers.clone().find(|&publisher| Some(*publisher) == store.listen) {
            Some(publisher) => {
                wrong("store.publishers", format!("{publisher} is where this very node listens"))
            }
            None => Ok(()),
        },
    }
}

impl Check for Config {
    fn check(&self) -> Result<(), Wrong> {
        if self.node.listen.is_none() {
            return wrong("node.listen", "needed: where clients connect, such as \"127.0.0.1:6379\"");
        }
        if self.node.discovery.is_none() {
            return wrong("node.discovery", "needed: where discovery answers, such as \"127.0.0.1:8500\"");
        }
        if let Some(seed) = self.node.seed.as_ref().filter(|seed| u64::from_str_radix(seed, 16).is_err()) {
            return wrong("node.seed", format!("{seed:?} is no number of up to 16 hex digits"));
        }
        if let Some(zone) = self.node.zone.as_ref().filter(|zone| !self.fleet.zones.contains(zone)) {
            return wrong("node.zone", format!("{zone:?} is none of fleet.zones: {:?}", self.fleet.zones));
        }
        let siblings = self.node.siblings.get();
        if let Some(index) = self.node.index.map(|index| index.get()).filter(|&index| index >= siblings) {
            return wrong("node.index", format!("{index} is none of node.siblings: 0 to {}", siblings - 1));
        }
        if let Err(error) = self.log.level.parse::<stonefold_observe::Levels>() {
            return wrong("log.level", error.to_string());
        }
        if let Some(of) = &self.store {
            store(of)?;
        }
        if self.classes.is_empty() {
            return wrong("class", "needed: at least one [[class]] with name, aim, deadline and effect");
        }
        distinct("class", "name", self.classes.iter().map(|class| &class.name))?;
        distinct("tenant", "name", self.tenants.iter().map(|tenant| &tenant.name))?;
        distinct("server", "id", self.servers.iter().map(|server| &server.id))?;
        for (n, class) in self.classes.iter().enumerate() {
            if class.deadline.ms() < class.aim.ms() {
                return wrong(format!("class[{n}].deadline"), "must not be shorter than the aim");
            }
        }
        let shares: f64 = self.tenants.iter().map(|tenant| tenant.share.get()).sum();
        if shares > 1.000_001 {
            return wrong("tenant", format!("the shares add up to {shares:.3}, more than 1"));
        }
        Ok(())
    }
}
