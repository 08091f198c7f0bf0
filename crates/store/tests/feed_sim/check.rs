//! Checks the invariants of a run, which have to hold under all faults.

use std::collections::BTreeMap;

use stonefold_store::feed::frame::{Item, ItemKey};
use stonefold_store::feed::subscriber::Event;
use stonefold_store::feed::table::FeedTable;

use super::cluster::Change;
use super::{CALM_START, CHANGES_END, Millis, NODES, World};

/// The maximum time until a purge has reached all nodes of a calm network, in ms.
const MAX_PURGE_DELAY: Millis = 1_100;
/// The maximum time until any other change has reached all nodes of a calm network, in ms.
const MAX_CHANGE_DELAY: Millis = 18_000;

/// What a node has received and used.
#[derive(Default)]
pub(crate) struct Observed {
    /// The revision of each document and override, and the version of the list, that it used last, in any incarnation.
    used: BTreeMap<ItemKey, u64>,
    /// The number of the last purge in this incarnation.
    last_purge: Option<u64>,
    /// The purges of all incarnations, each with its number, key and time.
    pub purges: Vec<(u64, String, Millis)>,
    /// The revisions of each item that it used, each with its time.
    use_times: BTreeMap<ItemKey, Vec<(u64, Millis)>>,
}

impl Observed {
    pub(crate) fn on_restart(&mut self) {
        self.last_purge = None;
    }

    /// Records an event of the node's subscriber, and checks that its purges have no gap. If `dropped`, a purge is not
    /// recorded.
    pub(crate) fn on_event(
        &mut self,
        event: Event,
        table: &FeedTable,
        now: Millis,
        dropped: bool,
    ) -> Result<(), String> {
        match event {
            Event::Changed(keys) => keys.into_iter().try_for_each(|key| self.use_item(key, table, now)),
            Event::PurgesUnknown { after, through } => {
                if after > 0 && self.last_purge.is_some() {
                    return Err(format!("purges {after} to {through} are lost, though all are retained"));
                }
                self.last_purge = Some(through);
                Ok(())
            }
            Event::Purged { .. } if dropped => Ok(()),
            Event::Purged { first, keys } => {
                for (number, key) in (first..).zip(keys) {
                    if self.last_purge != Some(number - 1) {
                        return Err(format!("purge {number} comes after {:?}", self.last_purge));
                    }
                    self.last_purge = Some(number);
                    self.purges.push((number, key, now));
                }
                Ok(())
            }
        }
    }

    /// Records the use of an item, and checks that its version isn't older than one that the node used before, in any
    /// incarnation.
    fn use_item(&mut self, key: ItemKey, table: &FeedTable, now: Millis) -> Result<(), String> {
        let Some((revision, item)) = table.item(&key) else {
            return Err(format!("{key:?} changed, but is not in the table"));
        };
        self.use_times.entry(key.clone()).or_default().push((revision, now));
        let version = match item {
            Item::List { version, .. } => version,
            _ => revision,
        };
        let before = self.used.insert(key.clone(), version).unwrap_or(0);
        if version < before { Err(format!("{key:?} went back from {before} to {version}")) } else { Ok(()) }
    }
}

/// Checks the invariants that hold after each step.
pub(crate) fn check_step(world: &World) -> Result<(), String> {
    let now = world.now;
    for n in 0..NODES {
        let node = &world.nodes[n];
        if !node.is_alive() {
            continue;
        }
        let table = &node.subscriber.table;
        let committed = world.log.entries.len() as u64;
        if table.revision() > committed || table.last_purge() > world.log.purge_count() {
            return Err(format!("node {n} holds revision {} of {committed}", table.revision()));
        }
        // A node must hold everything that was committed longer ago than the staleness that it reports.
        let stale = node.subscriber.stale_ms(now - node.started_at);
        let (entries, purges) =
            stale.map_or((0, 0), |stale| world.log.committed_by(now.saturating_sub(stale + 1)));
        if table.last_purge() < purges {
            let held = table.last_purge();
            return Err(format!(
                "node {n} reports a staleness of {stale:?} ms, but holds {held} of {purges} purges"
            ));
        }
        if now.is_multiple_of(1_000) {
            check_complete(world, n, entries)?;
        }
    }
    Ok(())
}

/// Checks that a node holds each item as it was committed, and at least as new as both the node's own revision and the
/// first `entries` entries require.
fn check_complete(world: &World, n: usize, entries: u64) -> Result<(), String> {
    let table = &world.nodes[n].subscriber.table;
    let mut required: BTreeMap<ItemKey, u64> = BTreeMap::new();
    for (index, entry) in (1..=entries.max(table.revision())).zip(&world.log.entries) {
        if let Change::Item(item) = &entry.change {
            required.insert(item.key(), index);
        }
    }
    for (key, revision) in required {
        let Some((found, item)) = table.item(&key).filter(|(found, _)| *found >= revision) else {
            let held = table.items().get(&key).map(|held| held.revision);
            return Err(format!("node {n} at {} skipped {key:?} of {revision}: {held:?}", table.revision()));
        };
        match &world.log.entries[found as usize - 1].change {
            Change::Item(committed) if *committed == item => {}
            _ => {
                return Err(format!(
                    "node {n} holds {key:?} of {found}, which differs from what was committed"
                ));
            }
        }
    }
    Ok(())
}

/// Checks the invariants at the end: all nodes have the same state, and changes on the calm network arrived in time.
pub(crate) fn check_end(world: &World) -> Result<(), String> {
    let (entries, purges) = (world.log.entries.len() as u64, world.log.purge_count());
    for n in 0..NODES {
        check_complete(world, n, entries)?;
        let node = &world.nodes[n];
        if (node.subscriber.table.revision(), node.observed.last_purge) != (entries, Some(purges)) {
            let (revision, last) = (node.subscriber.table.revision(), node.observed.last_purge);
            return Err(format!("node {n} ends at {revision} and purge {last:?} of {entries} and {purges}"));
        }
        if let Some((number, key, _)) = node
            .observed
            .purges
            .iter()
            .find(|(number, key, _)| world.log.purges[*number as usize - 1] != *key)
        {
            return Err(format!("node {n} received {key} as purge {number}"));
        }
        check_delays(world, n)?;
    }
    Ok(())
}

/// Checks how long the changes on the calm network took to reach a node.
fn check_delays(world: &World, n: usize) -> Result<(), String> {
    let observed = &world.nodes[n].observed;
    let purge_times: BTreeMap<u64, Millis> =
        observed.purges.iter().map(|(number, _, at)| (*number, *at)).collect();
    let mut purge = 0;
    for (position, entry) in world.log.entries.iter().enumerate() {
        purge += u64::from(matches!(entry.change, Change::Purge(_)));
        if !(CALM_START..CHANGES_END).contains(&entry.at) {
            continue;
        }
        let index = position as u64 + 1;
        let (max_delay, arrived_at) = match &entry.change {
            Change::Purge(_) => (MAX_PURGE_DELAY, purge_times.get(&purge).copied()),
            Change::Item(item) => {
                let used =
                    observed.use_times.get(&item.key()).and_then(|all| all.iter().find(|(r, _)| *r >= index));
                (MAX_CHANGE_DELAY, used.map(|(_, at)| *at))
            }
        };
        let delay = arrived_at.map(|arrived_at| arrived_at.saturating_sub(entry.at));
        if delay.is_none_or(|delay| delay > max_delay) {
            return Err(format!(
                "entry {index} took {delay:?} ms to reach node {n}, at most {max_delay} on a calm network"
            ));
        }
    }
    Ok(())
}
