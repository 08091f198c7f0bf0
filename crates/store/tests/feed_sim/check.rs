//! Invariants of a run, whatever faults there were.

use std::collections::BTreeMap;

use stonefold_store::feed::frame::{Item, ItemKey};
use stonefold_store::feed::subscriber::Event;
use stonefold_store::feed::table::FeedTable;

use super::cluster::Change;
use super::{CALM_START, CHANGES_END, Millis, NODES, World};

/// The longest time until a purge is known everywhere on a calm network, in ms.
const MAX_PURGE_DELAY: Millis = 1_100;
/// The longest time until any other change is known everywhere on a calm network, in ms.
const MAX_CHANGE_DELAY: Millis = 18_000;

/// What a node has received and used.
#[derive(Default)]
pub(crate) struct Observed {
    /// The latest revision of each document, and the latest list version, that it used in any incarnation.
    used: BTreeMap<ItemKey, u64>,
    /// The number of the last purge in this incarnation.
    last: Option<u64>,
    /// All purges of all incarnations: number, key and time.
    pub purges: Vec<(u64, String, Millis)>,
    /// When it used which revision of an item.
    times: BTreeMap<ItemKey, Vec<(u64, Millis)>>,
}

impl Observed {
    pub(crate) fn restarted(&mut self) {
        self.last = None;
    }

    pub(crate) fn event(
        &mut self,
        event: Event,
        table: &FeedTable,
        now: Millis,
        dropped: bool,
    ) -> Result<(), String> {
        match event {
            Event::Changed(keys) => keys.into_iter().try_for_each(|key| self.use_item(key, table, now)),
            Event::PurgesUnknown { after, through } => {
                if after > 0 && self.last.is_some() {
                    return Err(format!("purges {after} to {through} are lost, though all are retained"));
                }
                self.last = Some(through);
                Ok(())
            }
            Event::Purged { .. } if dropped => Ok(()),
            Event::Purged { first, keys } => {
                for (number, key) in (first..).zip(keys) {
                    if self.last != Some(number - 1) {
                        return Err(format!("purge {number} comes after {:?}", self.last));
                    }
                    self.last = Some(number);
                    self.purges.push((number, key, now));
                }
                Ok(())
            }
        }
    }

    /// No node uses a version that is older than one it used before, in any incarnation.
    fn use_item(&mut self, key: ItemKey, table: &FeedTable, now: Millis) -> Result<(), String> {
        let Some((revision, item)) = table.item(&key) else {
            return Err(format!("{key:?} changed, and is gone"));
        };
        self.times.entry(key.clone()).or_default().push((revision, now));
        let mark = match item {
            Item::List { version, .. } => version,
            _ => revision,
        };
        let before = self.used.insert(key.clone(), mark).unwrap_or(0);
        if mark < before { Err(format!("a step back: {key:?} {mark} after {before}")) } else { Ok(()) }
    }
}

/// The invariants after each step.
pub(crate) fn always(world: &World) -> Result<(), String> {
    let now = world.now;
    for n in 0..NODES {
        let node = &world.nodes[n];
        if !node.alive() {
            continue;
        }
        let table = &node.subscriber.table;
        let committed = world.log.entries.len() as u64;
        if table.revision() > committed || table.last_purge() > world.log.purged() {
            return Err(format!("node {n} holds revision {} of {committed}", table.revision()));
        }
        // The staleness that it reports has to be true.
        let stale = node.subscriber.stale_ms(now - node.started);
        let (entries, purges) = stale.map_or((0, 0), |stale| world.log.by(now.saturating_sub(stale + 1)));
        if table.last_purge() < purges {
            let held = table.last_purge();
            return Err(format!("node {n} says {stale:?} ms stale, and holds {held} of {purges} purges"));
        }
        if now.is_multiple_of(1_000) {
            check_complete(world, n, entries)?;
        }
    }
    Ok(())
}

/// A node has each item as of its own revision and as of an entry, or newer, and as it was committed.
fn check_complete(world: &World, n: usize, entries: u64) -> Result<(), String> {
    let table = &world.nodes[n].subscriber.table;
    let mut wanted: BTreeMap<ItemKey, u64> = BTreeMap::new();
    for (index, entry) in (1..=entries.max(table.revision())).zip(&world.log.entries) {
        if let Change::Item(item) = &entry.change {
            wanted.insert(item.key(), index);
        }
    }
    for (key, revision) in wanted {
        let Some((found, item)) = table.item(&key).filter(|(found, _)| *found >= revision) else {
            let held = table.items().get(&key).map(|held| held.revision);
            return Err(format!("node {n} at {} skipped {key:?} of {revision}: {held:?}", table.revision()));
        };
        match &world.log.entries[found as usize - 1].change {
            Change::Item(made) if *made == item => {}
            _ => return Err(format!("node {n} holds {key:?} of {found}, which is not what was committed")),
        }
    }
    Ok(())
}

/// The invariants at the end: all nodes have the same state, and changes on the calm network arrived in time.
pub(crate) fn end(world: &World) -> Result<(), String> {
    let (entries, purges) = (world.log.entries.len() as u64, world.log.purged());
    for n in 0..NODES {
        check_complete(world, n, entries)?;
        let node = &world.nodes[n];
        if (node.subscriber.table.revision(), node.observed.last) != (entries, Some(purges)) {
            let (revision, last) = (node.subscriber.table.revision(), node.observed.last);
            return Err(format!("node {n} ends at {revision} and purge {last:?} of {entries} and {purges}"));
        }
        if let Some((number, key, _)) = node
            .observed
            .purges
            .iter()
            .find(|(number, key, _)| world.log.purges[*number as usize - 1] != *key)
        {
            return Err(format!("node {n} took {key} for purge {number}"));
        }
        check_delays(world, n)?;
    }
    Ok(())
}

fn check_delays(world: &World, n: usize) -> Result<(), String> {
    let observed = &world.nodes[n].observed;
    let taken: BTreeMap<u64, Millis> = observed.purges.iter().map(|(number, _, at)| (*number, *at)).collect();
    let mut purge = 0;
    for (at, entry) in world.log.entries.iter().enumerate() {
        purge += u64::from(matches!(entry.change, Change::Purge(_)));
        if !(CALM_START..CHANGES_END).contains(&entry.at) {
            continue;
        }
        let index = at as u64 + 1;
        let (most, there) = match &entry.change {
            Change::Purge(_) => (MAX_PURGE_DELAY, taken.get(&purge).copied()),
            Change::Item(item) => {
                let used =
                    observed.times.get(&item.key()).and_then(|all| all.iter().find(|(r, _)| *r >= index));
                (MAX_CHANGE_DELAY, used.map(|(_, at)| *at))
            }
        };
        let took = there.map(|there| there.saturating_sub(entry.at));
        if took.is_none_or(|took| took > most) {
            return Err(format!("node {n} took {took:?} ms for entry {index}, at most {most} in the calm"));
        }
    }
    Ok(())
}
