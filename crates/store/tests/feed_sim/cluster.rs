//! The committed log, and the members that apply it. Members may lag or be down. Entries are committed and confirmed
//! only while a quorum is up.

use stonefold_store::feed::frame::Item;
use stonefold_store::feed::table::FeedTable;
use stonefold_store::state::AdminOverride;

use super::{CALM_START, CHANGES_END, Millis, World};

pub(crate) const MEMBERS: usize = 3;
/// How often members request the read index, in ms.
const CONFIRM_INTERVAL: Millis = 1_000;

pub(crate) enum Change {
    Item(Item),
    Purge(String),
}

/// A committed entry; its index is its position in the log, from 1.
pub(crate) struct CommittedEntry {
    /// The time of its commit.
    pub at: Millis,
    /// The number of purges up to this entry.
    purges: u64,
    pub change: Change,
}

#[derive(Default)]
pub(crate) struct Log {
    pub entries: Vec<CommittedEntry>,
    /// The purged keys.
    pub purges: Vec<String>,
    /// The version of the latest list.
    list_version: u64,
    /// The list version at which each server last changed.
    servers: Vec<u64>,
}

#[derive(Default)]
pub(crate) struct Member {
    pub table: FeedTable,
    applied: usize,
    /// Until when the member is down.
    pub down_until: Millis,
    /// Until when the member lags: it applies nothing, and doesn't count towards a quorum.
    pub lagging_until: Millis,
    /// The latest time for which everything committed by then is known to be applied.
    pub confirmed_at: Option<Millis>,
    /// The read index that the member has yet to apply, and the time at which the member requested it.
    pending_read_index: Option<(usize, Millis)>,
}

impl Log {
    /// The number of purges so far.
    pub(crate) fn purge_count(&self) -> u64 {
        self.purges.len() as u64
    }

    /// The numbers of entries and of purges that were committed by a time.
    pub(crate) fn committed_by(&self, at: Millis) -> (u64, u64) {
        let entries = self.entries.partition_point(|entry| entry.at <= at);
        (entries as u64, self.entries[..entries].last().map_or(0, |entry| entry.purges))
    }

    /// Commits a random change.
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
            90..97 => Change::Item(self.next_list(rng)),
            _ => {
                let admin_override = AdminOverride { disabled: rng.bool(), since_ms: at };
                Change::Item(Item::Override { server: format!("s-{}", rng.u32(..20)), admin_override })
            }
        };
        let purges = self.purge_count();
        self.entries.push(CommittedEntry { at, purges, change });
    }

    /// Changes a few servers of the list.
    fn next_list(&mut self, rng: &mut fastrand::Rng) -> Item {
        self.list_version += 1;
        self.servers.resize(60, 0);
        for _ in 0..rng.u32(1..4) {
            let changed = rng.usize(..60);
            self.servers[changed] = self.list_version;
        }
        let servers = (0..).zip(&self.servers);
        let servers: Vec<String> = servers
            .map(|(n, since)| {
                format!(r#"{{"id":"s-{n}","addr":"127.0.0.1:{n}","zone":"a","since":{since}}}"#)
            })
            .collect();
        let text =
            format!(r#"{{"full":true,"servers":[{}],"version":{}}}"#, servers.join(","), self.list_version);
        Item::List { version: self.list_version, text }
    }
}

/// Commits entries, and lets the members apply them and request the read index.
pub(crate) fn advance(world: &mut World) {
    let now = world.now;
    let is_up = |member: &Member| member.down_until <= now && member.lagging_until <= now;
    let has_quorum = world.members.iter().filter(|member| is_up(member)).count() * 2 > MEMBERS;
    // About 15 changes a second are made, 12 of them purges; none after `CHANGES_END`.
    let commits = now < CHANGES_END && has_quorum && world.rng.u32(..1_000) < 375;
    if commits {
        let (log, rng) = (&mut world.log, &mut world.rng);
        log.commit(now, rng);
    }
    for member in &mut world.members {
        if member.down_until > now {
            (member.pending_read_index, member.confirmed_at) = (None, None);
            continue;
        }
        let committed = world.log.entries.len();
        let keeps_up = member.lagging_until <= now;
        if keeps_up && (now >= CALM_START || world.rng.u32(..4) > 0) {
            for (position, entry) in world.log.entries.iter().enumerate().skip(member.applied) {
                match &entry.change {
                    Change::Item(item) => member.table.put(position as u64 + 1, item),
                    Change::Purge(key) => member.table.add_purge(key),
                }
                member.table.advance(position as u64 + 1);
            }
            member.applied = committed;
        }
        if keeps_up && has_quorum && now.is_multiple_of(CONFIRM_INTERVAL) {
            member.pending_read_index = Some((committed, now));
        }
        if let Some((index, requested_at)) = member.pending_read_index
            && member.applied >= index
        {
            (member.confirmed_at, member.pending_read_index) = (Some(requested_at), None);
        }
    }
}
