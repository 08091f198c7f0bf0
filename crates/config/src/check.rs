//! What no single value shows: names that are used twice, values that don't fit together.

use std::collections::BTreeSet;

use crate::tree::Config;

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
        if let Err(error) = self.log.level.parse::<stonefold_observe::Levels>() {
            return wrong("log.level", error.to_string());
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
