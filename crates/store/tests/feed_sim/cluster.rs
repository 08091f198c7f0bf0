//! The committed log, and the members that apply it: some lag, some are down, and a quorum confirms or not.

use stonefold_store::feed::frame::Item;
use stonefold_store::feed::table::FeedTable;
use stonefold_store::state::AdminOverride;

use super::{CALM_START, CHANGES_END, Millis, World};

pub(crate) const MEMBERS: usize = 3;
/// How often members ask what is committed, in ms.
const CONFIRM_INTERVAL: Millis = 1_000;

pub(crate) enum Change {
    Item(Item),
    Purge(String),
}

/// A committed entry; its index is its position in the log, from 1.
pub(crate) struct Entry {
    pub at: Millis,
    /// The number of purges up to this entry.
    purges: u64,
    pub change: Change,
}

#[derive(Default)]
pub(crate) struct Log {
    pub entries: Vec<Entry>,
    pub purges: Vec<String>,
    list: u64,
    servers: Vec<u64>,
}

#[derive(Default)]
pub(crate) struct Member {
    pub table: FeedTable,
    applied: usize,
    pub down: Millis,
    pub lags: Millis,
    pub confirmed: Option<Millis>,
    /// The read index that it waits to apply, and when it asked for it.
    wanted: Option<(usize, Millis)>,
}

impl Log {
    pub(crate) fn purged(&self) -> u64 {
        self.purges.len() as u64
    }

    /// The numbers of entries and of purges that were committed by a time.
    pub(crate) fn by(&self, at: Millis) -> (u64, u64) {
        let entries = self.entries.partition_point(|entry| entry.at <= at);
        (entries as u64, self.entries[..entries].last().map_or(0, |entry| entry.purges))
    }

    fn commit(&mut self, at: Millis, rng: &mut fastrand::Rng) {
        let index = self.entries.len() + 1;
        let change = match rng.u32(..100) {
            0..80 => {
                let key = format!("key-{index}");
                self.purges.push(key.clone());
                Change::Purge(key)
            }
            80..90 => {
                let size = if rng.u32(..50) == 0 { rng.usize(8_000..30_000) } else { rng.usize(10..600) };
                let text = format!("{index}:{}", "x".repeat(size));
                let name = format!("d-{}", rng.u32(..5));
                Change::Item(Item::Document { name, text, author: "me".into(), at_ms: at })
            }
            90..97 => Change::Item(self.list(rng)),
            _ => {
                let admin_override = AdminOverride { disabled: rng.bool(), since_ms: at };
                Change::Item(Item::Override { server: format!("s-{}", rng.u32(..20)), admin_override })
            }
        };
        let purges = self.purged();
        self.entries.push(Entry { at, purges, change });
    }

    fn list(&mut self, rng: &mut fastrand::Rng) -> Item {
        self.list += 1;
        self.servers.resize(60, 0);
        for _ in 0..rng.u32(1..4) {
            let changed = rng.usize(..60);
            self.servers[changed] = self.list;
        }
        let servers = (0..).zip(&self.servers);
        let servers: Vec<String> = servers
            .map(|(n, since)| {
                format!(r#"{{"id":"s-{n}","addr":"127.0.0.1:{n}","zone":"a","since":{since}}}"#)
            })
            .collect();
        let text = format!(r#"{{"full":true,"servers":[{}],"version":{}}}"#, servers.join(","), self.list);
        Item::List { version: self.list, text }
    }
}

/// Commits entries; members apply them and ask what is committed.
pub(crate) fn advance(world: &mut World) {
    let now = world.now;
    let up = |member: &Member| member.down <= now && member.lags <= now;
    let quorum = world.members.iter().filter(|member| up(member)).count() * 2 > MEMBERS;
    // About 15 a second, of which 12 are purges; none after `CHANGES_END`.
    let made = now < CHANGES_END && quorum && world.rng.u32(..1_000) < 375;
    if made {
        let (log, rng) = (&mut world.log, &mut world.rng);
        log.commit(now, rng);
    }
    for member in &mut world.members {
        if member.down > now {
            (member.wanted, member.confirmed) = (None, None);
            continue;
        }
        let committed = world.log.entries.len();
        let reached = member.lags <= now;
        if reached && (now >= CALM_START || world.rng.u32(..4) > 0) {
            for (at, entry) in world.log.entries.iter().enumerate().skip(member.applied) {
                match &entry.change {
                    Change::Item(item) => member.table.put(at as u64 + 1, item),
                    Change::Purge(key) => member.table.add_purge(key),
                }
                member.table.advance(at as u64 + 1);
            }
            member.applied = committed;
        }
        if reached && quorum && now.is_multiple_of(CONFIRM_INTERVAL) {
            member.wanted = Some((committed, now));
        }
        if let Some((index, asked)) = member.wanted
            && member.applied >= index
        {
            (member.confirmed, member.wanted) = (Some(asked), None);
        }
    }
}
