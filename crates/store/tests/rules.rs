//! The pure parts: the replicated state, who belongs to the cluster, and which versions a node may use.

use std::collections::BTreeSet;

use proptest::prelude::*;
use stateright::{Checker, Model, Property};
use stonefold_store::freshness::{Freshness, VersionCheck};
use stonefold_store::members::{Member, Members, MembersError, admit, check_add, check_remove};
use stonefold_store::message::{Caller, Introduction};
use stonefold_store::state::limits::{
    MAX_DOCUMENT_BYTES, MAX_DOCUMENTS, MAX_LIST_BYTES, MAX_NAME_BYTES, MAX_REVISIONS_PER_DOCUMENT,
    MAX_SERVER_ID_BYTES, MAX_SERVERS, MAX_TOTAL_DOCUMENT_BYTES,
};
use stonefold_store::state::{AdminOverride, Change, Proposal, Rejection, Reply, State};

// ---- freshness, explored exhaustively ----

/// A node between a store and discovery, which both may be late: every order of events up to a few versions.
struct Explored;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    node: Freshness,
    now: u64,
    /// What is committed, and up to where this node's replica has applied; one list for each entry.
    committed: u64,
    applied: u64,
    /// A question that is out: when it was asked, and what was committed then.
    asked: Option<(u64, u64)>,
    /// The highest read index of this start.
    confirmed_index: u64,
    /// What the node acts on, and whether it ever went back or behind what it knew.
    acted: u64,
    went_back: bool,
    behind: bool,
    /// At its confirmation it had not applied what was committed when the question was asked.
    early: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Commit,
    Apply,
    Ask,
    Answer,
    Act(u64),
    Wait,
    Restart,
}

const VERSIONS: u64 = 3;
const BOUND: u64 = 2;

impl Model for Explored {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let node = Freshness::new(0, BOUND, 0);
        let (went_back, behind, early) = (false, false, false);
        vec![World {
            node,
            now: 0,
            committed: 0,
            applied: 0,
            asked: None,
            confirmed_index: 0,
            acted: 0,
            went_back,
            behind,
            early,
        }]
    }

    fn actions(&self, _: &World, actions: &mut Vec<Step>) {
        actions.extend([Step::Commit, Step::Apply, Step::Ask, Step::Answer, Step::Wait, Step::Restart]);
        actions.extend((0..=VERSIONS).map(Step::Act));
    }

    fn next_state(&self, last: &World, action: Step) -> Option<World> {
        let mut next = last.clone();
        match action {
            Step::Commit if next.committed < VERSIONS => next.committed += 1,
            Step::Apply if next.applied < next.committed => {
                next.applied += 1;
                next.node.list_committed(next.applied);
                let before = next.node.is_confirmed();
                next.node.index_applied(next.applied);
                next.early |= !before && next.node.is_confirmed() && next.applied < next.confirmed_index;
            }
            Step::Ask if next.asked.is_none() => next.asked = Some((next.now, next.committed)),
            Step::Answer => {
                let (at, index) = next.asked?;
                let before = next.node.is_confirmed();
                next.confirmed_index = next.confirmed_index.max(index);
                next.node.read_index_received(at, index);
                next.node.index_applied(next.applied);
                next.early |= !before && next.node.is_confirmed() && next.applied < next.confirmed_index;
                next.asked = None;
            }
            Step::Act(version) => {
                if matches!(next.node.use_list(version), VersionCheck::Newer) {
                    next.went_back |= version < next.acted;
                    next.behind |= version < next.applied;
                    next.acted = version;
                }
            }
            Step::Wait if next.now < BOUND => next.now += 1,
            Step::Restart if next.now > 0 => {
                // What its disk holds, it knows again.
                next.node = Freshness::new(next.now, BOUND, next.applied);
                (next.acted, next.asked, next.confirmed_index) = (0, None, 0);
            }
            _ => return None,
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("acts on nothing older than before", |_, world: &World| !world.went_back),
            Property::always("acts on nothing older than it knows committed", |_, w: &World| !w.behind),
            Property::always("is confirmed only with all that was committed", |_, w: &World| !w.early),
            Property::sometimes("is ready without the others", |_, w: &World| {
                w.node.startup_complete(w.now) && !w.node.is_confirmed()
            }),
            Property::sometimes("is confirmed by them", |_, w: &World| w.node.is_confirmed()),
        ]
    }
}

#[test]
fn no_order_of_events_makes_a_node_use_a_stale_version() {
    let checker = Explored.checker().threads(2).spawn_bfs().join();
    println!(
        "{} states, {} unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000);
}

#[test]
fn a_clock_that_goes_back_makes_nothing_fresh_or_overdue() {
    let mut node = Freshness::new(1_000, 500, 7);
    assert!(!node.startup_complete(999) && !node.startup_complete(1_499) && node.startup_complete(1_500));
    assert_eq!((node.stale_for(0), node.stale_for(1_700)), (0, 700));
    assert_eq!(node.use_list(6), VersionCheck::Stale { known: 7 });
    assert_eq!(
        (node.use_list(9), node.use_list(9)),
        (VersionCheck::Newer, VersionCheck::Current),
        "discovery may be ahead"
    );
    assert_eq!(
        (node.use_config(4), node.use_config(3)),
        (VersionCheck::Newer, VersionCheck::Stale { known: 4 })
    );
    node.read_index_received(1_600, 12);
    node.index_applied(11);
    assert!(!node.is_confirmed());
    node.index_applied(12);
    assert!(node.is_confirmed() && node.stale_for(1_700) == 100);
}

// ---- members ----

fn three() -> Members {
    let member = |id: u64| (id, Member { addr: format!("127.0.0.1:{id}"), is_voter: id < 4 });
    (1..=4).map(member).collect()
}

#[test]
fn foreign_copied_and_removed_members_are_not_admitted() {
    let said = |cluster, caller, addr: &str| {
        let addr = addr.to_owned();
        admit(&Introduction { cluster, caller, addr }, 7, 1, &three())
    };
    let member = |id, addr| said(7, Caller::Member(id), addr);
    assert_eq!(member(2, "127.0.0.1:2"), Ok(()));
    assert_eq!(said(7, Caller::Client, ""), Ok(()));
    assert!(matches!(said(8, Caller::Client, ""), Err(MembersError::ForeignCluster { theirs: 8, ours: 7 })));
    assert!(matches!(member(1, "127.0.0.1:1"), Err(MembersError::OwnId(1))));
    assert!(matches!(member(2, "127.0.0.1:9"), Err(MembersError::AddressMismatch { member: 2, .. })));
    assert!(matches!(member(5, "127.0.0.1:5"), Err(MembersError::NotMember(5))));
    let hello = Introduction { cluster: 7, caller: Caller::Member(2), addr: "anywhere".into() };
    assert_eq!(admit(&hello, 7, 1, &Members::new()), Ok(()), "a new one hears whoever leads");
}

#[test]
fn removals_keep_a_quorum_and_ids_are_not_reused() {
    let (members, near) = (three(), |id| id != 3);
    assert_eq!(check_remove(3, &members, near, false), Ok(()), "a dead one can go");
    let unsafe_ = Err(MembersError::QuorumUnreachable { voters: 2, reachable: 1, quorum: 2 });
    assert_eq!(check_remove(2, &members, near, false), unsafe_);
    assert_eq!(check_remove(2, &members, near, true), Ok(()));
    assert_eq!(check_remove(4, &members, near, false), Ok(()), "a learner");
    assert_eq!(check_remove(9, &members, near, true), Err(MembersError::NotMember(9)));
    let one: Members = three().into_iter().take(1).collect();
    assert_eq!(check_remove(1, &one, |_| true, true), Err(MembersError::LastVoter(1)));
    let add = |id, addr| check_add(id, addr, &members, &BTreeSet::from([9]));
    assert_eq!(add(4, "127.0.0.1:4"), Ok(()), "a learner that had not caught up");
    assert_eq!(add(2, "127.0.0.1:2"), Err(MembersError::AlreadyMember(2)));
    assert_eq!(add(9, "127.0.0.1:9"), Err(MembersError::Removed(9)));
    assert!(matches!(add(5, "127.0.0.1:2"), Err(MembersError::AddressInUse { member: 2, .. })));
}

// ---- the replicated state ----

fn document(name: u8, size: usize, after: Option<u64>) -> Change {
    let (name, text) = (format!("d{name}"), "x".repeat(size));
    Change::Document { name, text, author: "me".into(), at_ms: 0, after }
}

fn changes() -> impl Strategy<Value = Change> {
    let list = (0u64..30, 0u64..9).prop_map(|(version, at)| Change::List {
        version,
        text: "[]".into(),
        learned_by: 1,
        started: vec![("s".into(), at)],
    });
    prop_oneof![
        (0u8..4, 0..MAX_DOCUMENT_BYTES + 2, proptest::option::of(0u64..40))
            .prop_map(|(n, s, a)| document(n, s, a)),
        list,
        (0u8..3, any::<bool>(), 0u64..9).prop_map(|(server, disabled, since_ms)| Change::Override {
            server: server.to_string(),
            admin_override: AdminOverride { disabled, since_ms }
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn random_changes_stay_within_limits_and_apply_once(all in proptest::collection::vec((0u64..3, changes()), 1..80)) {
        let (mut state, mut twin) = (State::default(), State::default());
        let mut sequences = [0u64; 3];
        for (index, (client, change)) in (1u64..).zip(all) {
            sequences[client as usize] += 1;
            let sequence = sequences[client as usize];
            let before = state.clone();
            let reply = state.apply(index, Proposal { client, sequence, change: change.clone() });
            prop_assert_eq!(&reply, &twin.apply(index, Proposal { client, sequence, change: change.clone() }));
            // Proposed again: the same answer, and nothing changes.
            let done = state.clone();
            prop_assert_eq!(&reply, &state.apply(index + 1_000, Proposal { client, sequence, change: change.clone() }));
            prop_assert_eq!(&state, &done);
            let version = |state: &State| state.list().map_or(0, |list| list.version);
            prop_assert!(version(&state) >= version(&before) && state.started_at("s") >= before.started_at("s"));
            if let (Change::Document { name, after: Some(after), .. }, Reply::Applied(_)) = (&change, &reply) {
                prop_assert_eq!(before.document(name).map_or(0, |latest| latest.revision), *after);
            }
            let texts: usize = state.document_names().flat_map(|name| state.history(name)).map(|r| r.text.len()).sum();
            prop_assert!(texts <= MAX_TOTAL_DOCUMENT_BYTES && state.document_names().all(|name| state.history(name).count() <= MAX_REVISIONS_PER_DOCUMENT));
        }
        prop_assert_eq!(state, twin);
    }
}

#[test]
fn changes_over_a_limit_are_rejected_and_change_nothing() {
    let mut state = State::default();
    let mut sequence = 0;
    let mut propose = |state: &mut State, change| {
        sequence += 1;
        state.apply(sequence, Proposal { client: 1, sequence, change })
    };
    let order = |server: String| Change::Override {
        server,
        admin_override: AdminOverride { disabled: true, since_ms: 0 },
    };
    let too_long = propose(&mut state, order("s".repeat(MAX_SERVER_ID_BYTES + 1)));
    assert!(matches!(too_long, Reply::Rejected(Rejection::TooLong { max: 128, .. })), "{too_long:?}");
    for name in 0..(MAX_TOTAL_DOCUMENT_BYTES / MAX_DOCUMENT_BYTES) as u8 {
        assert!(matches!(
            propose(&mut state, document(name, MAX_DOCUMENT_BYTES, Some(0))),
            Reply::Applied(_)
        ));
    }
    let full = propose(&mut state, document(99, 1, None));
    assert!(matches!(full, Reply::Rejected(Rejection::LimitExceeded { .. })), "{full:?}");
    assert!(
        matches!(propose(&mut state, document(0, 1, None)), Reply::Applied(_)),
        "a smaller one in its place"
    );
    assert_eq!(state.document_names().count(), MAX_TOTAL_DOCUMENT_BYTES / MAX_DOCUMENT_BYTES);
    // An earlier proposal of a client that has gone on is not carried out late.
    let late = state.apply(900, Proposal { client: 1, sequence: 1, change: order("late".into()) });
    assert!(matches!(late, Reply::Rejected(Rejection::Superseded { .. })), "{late:?}");
    assert!(state.overrides().is_empty());
}

#[test]
fn returned_overrides_expire_and_bans_do_not() {
    let (mut state, mut sequence) = (State::default(), 0);
    let mut order = |state: &mut State, server: &str, disabled, since_ms| {
        sequence += 1;
        let change =
            Change::Override { server: server.into(), admin_override: AdminOverride { disabled, since_ms } };
        assert!(matches!(state.apply(sequence, Proposal { client: 1, sequence, change }), Reply::Applied(_)));
    };
    order(&mut state, "out", true, 0);
    order(&mut state, "back", false, 0);
    order(&mut state, "next", false, 599_999);
    assert_eq!(state.overrides().len(), 3);
    order(&mut state, "next", true, 600_000);
    assert_eq!(state.overrides().keys().collect::<Vec<_>>(), ["next", "out"]);
}

#[test]
fn a_full_state_fits_into_one_message_and_a_snapshot() {
    let (mut state, mut index) = (State::default(), 0);
    let id = |n: usize| format!("{n:0>width$}", width = MAX_SERVER_ID_BYTES);
    let mut made = |state: &mut State, change| {
        index += 1;
        let reply = state.apply(index, Proposal { client: index, sequence: 1, change });
        assert!(matches!(reply, Reply::Applied(_)), "{reply:?}");
    };
    let started = (0..MAX_SERVERS).map(|n| (id(n), u64::MAX)).collect();
    made(&mut state, Change::List { version: 1, text: "x".repeat(MAX_LIST_BYTES), learned_by: 1, started });
    for n in 0..MAX_SERVERS {
        let admin_override = AdminOverride { disabled: true, since_ms: u64::MAX };
        made(&mut state, Change::Override { server: id(n), admin_override });
    }
    for n in 0..MAX_DOCUMENTS {
        let name = format!("{n:0>width$}", width = MAX_NAME_BYTES);
        let (text, author) =
            ("x".repeat(MAX_TOTAL_DOCUMENT_BYTES / MAX_DOCUMENTS), "x".repeat(MAX_NAME_BYTES));
        made(&mut state, Change::Document { name, text, author, at_ms: u64::MAX, after: None });
    }
    let all = stonefold_store::codec::encode("a state", &state).unwrap().len();
    assert!(
        all < stonefold_store::wire::MAX_MESSAGE_BYTES.min(stonefold_store::snapshot::MAX_SNAPSHOT_BYTES),
        "{all} bytes"
    );
}
