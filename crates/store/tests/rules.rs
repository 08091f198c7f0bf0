//! Tests of the pure modules: the replicated state, the cluster's members, and the versions that a node may use.

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

// ---- freshness, checked exhaustively with a model checker ----

/// A model of a node that gets lists from the store and from discovery, either of which may lag behind. The model
/// checker runs it through every order of events, up to a few list versions.
struct FreshnessModel;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    node: Freshness,
    now: u64,
    /// The index of the last committed entry. The entry with index n holds the list of version n.
    committed: u64,
    /// The index of the last entry that this node's replica has applied.
    applied: u64,
    /// The outstanding read index request: the time at which it was sent, and the index committed at that time.
    pending_request: Option<(u64, u64)>,
    /// The highest read index received since the node's start.
    highest_read_index: u64,
    /// The version of the list that the node uses.
    list_in_use: u64,
    /// Whether the node ever used a list older than the one it used before.
    used_older_list: bool,
    /// Whether the node ever used a list older than the latest one that its replica had applied.
    used_stale_list: bool,
    /// Whether the node was ever confirmed before it had applied everything that was committed when the request was
    /// sent.
    confirmed_early: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum ModelAction {
    Commit,
    Apply,
    SendRequest,
    ReceiveResponse,
    UseList(u64),
    AdvanceClock,
    Restart,
}

/// The highest list version of the model.
const MAX_VERSION: u64 = 3;
/// How long the node's startup waits for a confirmation, and the end of the model's clock, in its ticks.
const STARTUP_TIMEOUT: u64 = 2;

impl Model for FreshnessModel {
    type State = ModelState;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<ModelState> {
        let node = Freshness::new(0, STARTUP_TIMEOUT, 0);
        let (used_older_list, used_stale_list, confirmed_early) = (false, false, false);
        vec![ModelState {
            node,
            now: 0,
            committed: 0,
            applied: 0,
            pending_request: None,
            highest_read_index: 0,
            list_in_use: 0,
            used_older_list,
            used_stale_list,
            confirmed_early,
        }]
    }

    fn actions(&self, _: &ModelState, actions: &mut Vec<ModelAction>) {
        actions.extend([
            ModelAction::Commit,
            ModelAction::Apply,
            ModelAction::SendRequest,
            ModelAction::ReceiveResponse,
            ModelAction::AdvanceClock,
            ModelAction::Restart,
        ]);
        actions.extend((0..=MAX_VERSION).map(ModelAction::UseList));
    }

    fn next_state(&self, last: &ModelState, action: ModelAction) -> Option<ModelState> {
        let mut next = last.clone();
        match action {
            ModelAction::Commit if next.committed < MAX_VERSION => next.committed += 1,
            ModelAction::Apply if next.applied < next.committed => {
                next.applied += 1;
                next.node.list_committed(next.applied);
                let was_confirmed = next.node.is_confirmed();
                next.node.index_applied(next.applied);
                next.confirmed_early |=
                    !was_confirmed && next.node.is_confirmed() && next.applied < next.highest_read_index;
            }
            ModelAction::SendRequest if next.pending_request.is_none() => {
                next.pending_request = Some((next.now, next.committed));
            }
            ModelAction::ReceiveResponse => {
                let (sent_at, index) = next.pending_request?;
                let was_confirmed = next.node.is_confirmed();
                next.highest_read_index = next.highest_read_index.max(index);
                next.node.read_index_received(sent_at, index);
                next.node.index_applied(next.applied);
                next.confirmed_early |=
                    !was_confirmed && next.node.is_confirmed() && next.applied < next.highest_read_index;
                next.pending_request = None;
            }
            ModelAction::UseList(version) => {
                if matches!(next.node.use_list(version), VersionCheck::Newer) {
                    next.used_older_list |= version < next.list_in_use;
                    next.used_stale_list |= version < next.applied;
                    next.list_in_use = version;
                }
            }
            ModelAction::AdvanceClock if next.now < STARTUP_TIMEOUT => next.now += 1,
            ModelAction::Restart if next.now > 0 => {
                // The node starts with the list that its replica's disk holds.
                next.node = Freshness::new(next.now, STARTUP_TIMEOUT, next.applied);
                (next.list_in_use, next.pending_request, next.highest_read_index) = (0, None, 0);
            }
            _ => return None,
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never uses a list older than the one before", |_, world: &ModelState| {
                !world.used_older_list
            }),
            Property::always(
                "never uses a list older than one known to be committed",
                |_, w: &ModelState| !w.used_stale_list,
            ),
            Property::always(
                "is confirmed only when everything committed at the request is applied",
                |_, w: &ModelState| !w.confirmed_early,
            ),
            Property::sometimes("completes its startup without a confirmation", |_, w: &ModelState| {
                w.node.startup_complete(w.now) && !w.node.is_confirmed()
            }),
            Property::sometimes("is confirmed by the other members", |_, w: &ModelState| {
                w.node.is_confirmed()
            }),
        ]
    }
}

#[test]
fn no_order_of_events_lets_a_node_use_a_stale_list() {
    let checker = FreshnessModel.checker().threads(2).spawn_bfs().join();
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
fn a_clock_that_goes_back_neither_completes_startup_nor_makes_state_stale() {
    let mut node = Freshness::new(1_000, 500, 7);
    assert!(!node.startup_complete(999) && !node.startup_complete(1_499) && node.startup_complete(1_500));
    assert_eq!((node.stale_for(0), node.stale_for(1_700)), (0, 700));
    assert_eq!(node.use_list(6), VersionCheck::Stale { known: 7 });
    assert_eq!(
        (node.use_list(9), node.use_list(9)),
        (VersionCheck::Newer, VersionCheck::Current),
        "discovery's list may be newer than the committed one"
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

fn three_voters_and_a_learner() -> Members {
    let member = |id: u64| (id, Member { addr: format!("127.0.0.1:{id}"), is_voter: id < 4 });
    (1..=4).map(member).collect()
}

#[test]
fn foreign_copied_and_removed_members_are_not_admitted() {
    let admit_caller = |cluster, caller, addr: &str| {
        let addr = addr.to_owned();
        admit(&Introduction { cluster, caller, addr }, 7, 1, &three_voters_and_a_learner())
    };
    let admit_member = |id, addr| admit_caller(7, Caller::Member(id), addr);
    assert_eq!(admit_member(2, "127.0.0.1:2"), Ok(()));
    assert_eq!(admit_caller(7, Caller::Client, ""), Ok(()));
    assert!(matches!(
        admit_caller(8, Caller::Client, ""),
        Err(MembersError::ForeignCluster { theirs: 8, ours: 7 })
    ));
    assert!(matches!(admit_member(1, "127.0.0.1:1"), Err(MembersError::OwnId(1))));
    assert!(matches!(admit_member(2, "127.0.0.1:9"), Err(MembersError::AddressMismatch { member: 2, .. })));
    assert!(matches!(admit_member(5, "127.0.0.1:5"), Err(MembersError::NotMember(5))));
    let introduction = Introduction { cluster: 7, caller: Caller::Member(2), addr: "anywhere".into() };
    assert_eq!(
        admit(&introduction, 7, 1, &Members::new()),
        Ok(()),
        "a member that knows no members yet admits any"
    );
}

#[test]
fn removals_keep_a_quorum_and_ids_are_not_reused() {
    let (members, is_reachable) = (three_voters_and_a_learner(), |id| id != 3);
    assert_eq!(
        check_remove(3, &members, is_reachable, false),
        Ok(()),
        "an unreachable member can be removed"
    );
    let no_quorum = Err(MembersError::QuorumUnreachable { voters: 2, reachable: 1, quorum: 2 });
    assert_eq!(check_remove(2, &members, is_reachable, false), no_quorum);
    assert_eq!(check_remove(2, &members, is_reachable, true), Ok(()));
    assert_eq!(check_remove(4, &members, is_reachable, false), Ok(()), "a learner can be removed");
    assert_eq!(check_remove(9, &members, is_reachable, true), Err(MembersError::NotMember(9)));
    let sole_voter: Members = three_voters_and_a_learner().into_iter().take(1).collect();
    assert_eq!(check_remove(1, &sole_voter, |_| true, true), Err(MembersError::LastVoter(1)));
    let add = |id, addr| check_add(id, addr, &members, &BTreeSet::from([9]));
    assert_eq!(add(4, "127.0.0.1:4"), Ok(()), "a learner can be added again, until it has caught up");
    assert_eq!(add(2, "127.0.0.1:2"), Err(MembersError::AlreadyMember(2)));
    assert_eq!(add(9, "127.0.0.1:9"), Err(MembersError::Removed(9)));
    assert!(matches!(add(5, "127.0.0.1:2"), Err(MembersError::AddressInUse { member: 2, .. })));
}

// ---- the replicated state ----

fn document(name: u8, size: usize, after: Option<u64>) -> Change {
    let (name, text) = (format!("d{name}"), "x".repeat(size));
    Change::Document { name, text, author: "me".into(), at_ms: 0, after }
}

fn any_change() -> impl Strategy<Value = Change> {
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
    fn random_changes_stay_within_limits_and_apply_once(changes in proptest::collection::vec((0u64..3, any_change()), 1..80)) {
        let (mut state, mut other_replica) = (State::default(), State::default());
        let mut sequences = [0u64; 3];
        for (index, (client, change)) in (1u64..).zip(changes) {
            sequences[client as usize] += 1;
            let sequence = sequences[client as usize];
            let before = state.clone();
            let reply = state.apply(index, Proposal { client, sequence, change: change.clone() });
            prop_assert_eq!(&reply, &other_replica.apply(index, Proposal { client, sequence, change: change.clone() }));
            // The same proposal again gets the same reply, and changes nothing.
            let applied = state.clone();
            prop_assert_eq!(&reply, &state.apply(index + 1_000, Proposal { client, sequence, change: change.clone() }));
            prop_assert_eq!(&state, &applied);
            let version = |state: &State| state.list().map_or(0, |list| list.version);
            prop_assert!(version(&state) >= version(&before) && state.started_at("s") >= before.started_at("s"));
            if let (Change::Document { name, after: Some(after), .. }, Reply::Applied(_)) = (&change, &reply) {
                prop_assert_eq!(before.document(name).map_or(0, |latest| latest.revision), *after);
            }
            let text_bytes: usize = state.document_names().flat_map(|name| state.history(name)).map(|r| r.text.len()).sum();
            prop_assert!(text_bytes <= MAX_TOTAL_DOCUMENT_BYTES && state.document_names().all(|name| state.history(name).count() <= MAX_REVISIONS_PER_DOCUMENT));
        }
        prop_assert_eq!(state, other_replica);
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
    let disable = |server: String| Change::Override {
        server,
        admin_override: AdminOverride { disabled: true, since_ms: 0 },
    };
    let too_long = propose(&mut state, disable("s".repeat(MAX_SERVER_ID_BYTES + 1)));
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
        "a smaller text replaces the latest revision"
    );
    assert_eq!(state.document_names().count(), MAX_TOTAL_DOCUMENT_BYTES / MAX_DOCUMENT_BYTES);
    // A proposal older than the client's last one is rejected.
    let late = state.apply(900, Proposal { client: 1, sequence: 1, change: disable("late".into()) });
    assert!(matches!(late, Reply::Rejected(Rejection::Superseded { .. })), "{late:?}");
    assert!(state.overrides().is_empty());
}

#[test]
fn overrides_that_enable_a_server_expire_and_disabling_ones_do_not() {
    let (mut state, mut sequence) = (State::default(), 0);
    let mut set_override = |state: &mut State, server: &str, disabled, since_ms| {
        sequence += 1;
        let change =
            Change::Override { server: server.into(), admin_override: AdminOverride { disabled, since_ms } };
        assert!(matches!(state.apply(sequence, Proposal { client: 1, sequence, change }), Reply::Applied(_)));
    };
    set_override(&mut state, "out", true, 0);
    set_override(&mut state, "back", false, 0);
    set_override(&mut state, "next", false, 599_999);
    assert_eq!(state.overrides().len(), 3);
    set_override(&mut state, "next", true, 600_000);
    assert_eq!(state.overrides().keys().collect::<Vec<_>>(), ["next", "out"]);
}

#[test]
fn a_full_state_fits_into_one_message_and_a_snapshot() {
    let (mut state, mut index) = (State::default(), 0);
    let id = |n: usize| format!("{n:0>width$}", width = MAX_SERVER_ID_BYTES);
    let mut apply = |state: &mut State, change| {
        index += 1;
        let reply = state.apply(index, Proposal { client: index, sequence: 1, change });
        assert!(matches!(reply, Reply::Applied(_)), "{reply:?}");
    };
    let started = (0..MAX_SERVERS).map(|n| (id(n), u64::MAX)).collect();
    apply(&mut state, Change::List { version: 1, text: "x".repeat(MAX_LIST_BYTES), learned_by: 1, started });
    for n in 0..MAX_SERVERS {
        let admin_override = AdminOverride { disabled: true, since_ms: u64::MAX };
        apply(&mut state, Change::Override { server: id(n), admin_override });
    }
    for n in 0..MAX_DOCUMENTS {
        let name = format!("{n:0>width$}", width = MAX_NAME_BYTES);
        let (text, author) =
            ("x".repeat(MAX_TOTAL_DOCUMENT_BYTES / MAX_DOCUMENTS), "x".repeat(MAX_NAME_BYTES));
        apply(&mut state, Change::Document { name, text, author, at_ms: u64::MAX, after: None });
    }
    let encoded_bytes = stonefold_store::codec::encode("a state", &state).unwrap().len();
    assert!(
        encoded_bytes
            < stonefold_store::wire::MAX_MESSAGE_BYTES.min(stonefold_store::snapshot::MAX_SNAPSHOT_BYTES),
        "{encoded_bytes} bytes"
    );
}
