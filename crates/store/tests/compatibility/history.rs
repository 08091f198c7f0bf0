//! Log entries: one of each kind, in an order in which a store accepts them.

use std::collections::{BTreeMap, BTreeSet};

use openraft::{BasicNode, CommittedLeaderId, EntryPayload};
use stonefold_store::codec::{decode, encode};
use stonefold_store::raft::{Entry, LogId};
use stonefold_store::state::{AdminOverride, Change, Proposal, State};

use super::fixture::{self, Table};

const FILE: &str = "log_entries.hex";

pub(crate) fn log_id(index: u64) -> LogId {
    LogId::new(CommittedLeaderId::new(3, 2), index)
}

pub(crate) fn membership(voters: &[u64]) -> openraft::Membership<u64, BasicNode> {
    let node = |&member: &u64| (member, BasicNode::new(format!("127.0.0.1:700{member}")));
    let nodes: BTreeMap<u64, BasicNode> = voters.iter().map(node).collect();
    let voters: BTreeSet<u64> = voters.iter().copied().collect();
    openraft::Membership::new(vec![voters], nodes)
}

fn document(text: &str, after: Option<u64>) -> Change {
    Change::Document {
        name: "config".into(),
        text: text.into(),
        author: "alice".into(),
        at_ms: 1_700_000_000_001,
        after,
    }
}

fn list() -> Change {
    Change::List {
        version: 9,
        text: r#"[{"id":"s-1"},{"id":"s-2"}]"#.into(),
        learned_by: 2,
        started: vec![("s-1".into(), 1_700_000_000_002)],
    }
}

fn admin_override(server: &str, disabled: bool, since_ms: u64) -> Change {
    Change::Override { server: server.into(), admin_override: AdminOverride { disabled, since_ms } }
}

/// The proposal of the log entry with this index.
pub(crate) fn proposal(index: u64) -> Proposal {
    let (client, sequence, change) = match index {
        2 => (1_000, 1, document("text 1", Some(0))),
        3 => (1_000, 2, document("text 2", Some(2))),
        4 => (1_001, 1, list()),
        5 => (1_002, 1, admin_override("s-1", true, 1_700_000_000_003)),
        6 => (1_003, 1, Change::Purge { key: "key-1".into() }),
        9 => (1_002, 2, admin_override("s-2", false, 1_700_000_000_004)),
        10 => (1_004, 1, document("text 3", Some(2))),
        _ => panic!("entry {index} is no proposal"),
    };
    Proposal { client, sequence, change }
}

/// Entries 1 to 10 of a log.
pub(crate) fn entries() -> Vec<Entry> {
    let payload = |index| match index {
        1 => EntryPayload::Membership(membership(&[1, 2, 3])),
        7 => EntryPayload::Membership(membership(&[1, 2])),
        8 => EntryPayload::Blank,
        _ => EntryPayload::Normal(proposal(index)),
    };
    (1..=10).map(|index| Entry { log_id: log_id(index), payload: payload(index) }).collect()
}

/// An entry that restores a state into a new store.
fn restore() -> Entry {
    let mut state = State::default();
    for index in 2..=5 {
        state.apply(index, proposal(index));
    }
    let proposal =
        Proposal { client: 1_005, sequence: 1, change: Change::Restore { state: Box::new(state) } };
    Entry { log_id: log_id(11), payload: EntryPayload::Normal(proposal) }
}

/// All entries of the fixture, by their names in it.
fn named_entries() -> impl Iterator<Item = (String, Entry)> {
    let with_name = |entry: Entry| (format!("{:02}", entry.log_id.index), entry);
    entries().into_iter().chain([restore()]).map(with_name)
}

fn encoded() -> Table {
    named_entries().map(|(name, entry)| (name, encode("a log entry", &entry).unwrap())).collect()
}

pub(crate) fn write_fixture() {
    fixture::write_table(FILE, &encoded());
}

#[test]
fn log_entries_are_read_and_written_as_in_the_fixture() {
    let table = fixture::read_table(FILE);
    for (name, entry) in named_entries() {
        assert_eq!(decode::<Entry>("a log entry", &table[&name]).unwrap(), entry, "{name}");
    }
    fixture::assert_same_bytes(FILE, &encoded());
}

#[test]
fn the_restore_entry_of_the_fixture_has_the_restored_state() {
    let entry: Entry = decode("a log entry", &fixture::read_table(FILE)["11"]).unwrap();
    let EntryPayload::Normal(Proposal { client: 1_005, sequence: 1, change: Change::Restore { state } }) =
        entry.payload
    else {
        panic!("{entry:?}");
    };
    let texts: Vec<&str> = state.history("config").map(|revision| revision.text.as_str()).collect();
    assert_eq!(texts, ["text 1", "text 2"]);
    assert_eq!(state.list().map(|list| (list.version, list.learned_by)), Some((9, 2)));
    assert_eq!(state.started_at("s-1"), Some(1_700_000_000_002));
    assert_eq!(state.overrides()["s-1"], AdminOverride { disabled: true, since_ms: 1_700_000_000_003 });
}
