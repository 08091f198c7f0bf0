//! The messages of members and clients: one of each kind.

use std::fmt::Debug;

use openraft::Vote;
use openraft::error::{Fatal, InstallSnapshotError, RaftError, SnapshotMismatch};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{SnapshotSegmentId, StoredMembership};
use serde::Serialize;
use serde::de::DeserializeOwned;
use stonefold_store::codec::{decode, encode};
use stonefold_store::freshness::VersionsInUse;
use stonefold_store::message::{Caller, MemberStatus, Request, RequestError, Response, Status};
use stonefold_store::raft::SnapshotMeta;
use stonefold_store::state::{Rejection, Reply, Revision};

use super::fixture::{self, Table};
use super::history;

const REQUESTS_FILE: &str = "requests.hex";
const RESPONSES_FILE: &str = "responses.hex";

fn snapshot_request() -> InstallSnapshotRequest<stonefold_store::raft::TypeConfig> {
    let meta = SnapshotMeta {
        last_log_id: Some(history::log_id(6)),
        last_membership: StoredMembership::new(Some(history::log_id(1)), history::membership(&[1, 2, 3])),
        snapshot_id: "T3-N2-6".into(),
    };
    InstallSnapshotRequest {
        vote: Vote::new_committed(3, 2),
        meta,
        offset: 262_144,
        data: vec![1, 0, 255],
        done: true,
    }
}

fn requests() -> Vec<(&'static str, Request)> {
    let append = AppendEntriesRequest {
        vote: Vote::new_committed(3, 2),
        prev_log_id: Some(history::log_id(4)),
        entries: history::entries().into_iter().skip(4).take(2).collect(),
        leader_commit: Some(history::log_id(3)),
    };
    vec![
        ("add", Request::AddMember { member: 3, addr: "127.0.0.1:7003".into() }),
        ("append", Request::AppendEntries(append)),
        ("confirm", Request::ReadIndex),
        ("document", Request::ReadDocument { name: "config".into(), history: true }),
        ("export", Request::ExportSnapshot),
        ("propose", Request::Propose(history::proposal(2))),
        ("remove", Request::RemoveMember { member: 3, force: true }),
        ("snapshot", Request::InstallSnapshot(snapshot_request())),
        ("status", Request::Status),
        ("vote", Request::Vote(VoteRequest::new(Vote::new(4, 1), Some(history::log_id(10))))),
    ]
}

fn raft_responses() -> Vec<(&'static str, Response)> {
    let (vote, higher) = (Vote::new_committed(3, 2), Vote::new(5, 1));
    let segment = |offset| SnapshotSegmentId { id: "T3-N2-6".into(), offset };
    let mismatch = SnapshotMismatch { expect: segment(0), got: segment(262_144) };
    let mismatch = InstallSnapshotError::SnapshotMismatch(mismatch);
    vec![
        ("append-conflict", Response::AppendEntries(Ok(AppendEntriesResponse::Conflict))),
        ("append-failed", Response::AppendEntries(Err(RaftError::Fatal(Fatal::Stopped)))),
        ("append-higher-vote", Response::AppendEntries(Ok(AppendEntriesResponse::HigherVote(higher)))),
        (
            "append-partial",
            Response::AppendEntries(Ok(AppendEntriesResponse::PartialSuccess(Some(history::log_id(5))))),
        ),
        ("append-success", Response::AppendEntries(Ok(AppendEntriesResponse::Success))),
        ("snapshot", Response::InstallSnapshot(Ok(InstallSnapshotResponse { vote }))),
        ("snapshot-mismatch", Response::InstallSnapshot(Err(RaftError::APIError(mismatch)))),
        ("vote", Response::Vote(Ok(VoteResponse::new(vote, Some(history::log_id(10)), true)))),
    ]
}

fn rejected_proposals() -> Vec<(&'static str, Response)> {
    let rejected = |rejection| Response::Proposed(Ok(Reply::Rejected(rejection)));
    vec![
        ("refused-conflict", rejected(Rejection::Conflict { expected: 2, found: 3 })),
        ("refused-not-empty", rejected(Rejection::NotEmpty)),
        ("refused-old-list", rejected(Rejection::StaleList { proposed: 8, committed: 9 })),
        ("refused-superseded", rejected(Rejection::Superseded { sequence: 1, last: 2 })),
        ("refused-too-long", rejected(Rejection::TooLong { what: "a name".into(), bytes: 300, max: 256 })),
        ("refused-too-many", rejected(Rejection::LimitExceeded { what: "orders".into(), max: 12_000 })),
    ]
}

fn failed_requests() -> Vec<(&'static str, Response)> {
    let leader = Some((2, "127.0.0.1:7002".into()));
    vec![
        ("unavailable-busy", Response::Proposed(Err(RequestError::Busy))),
        ("unavailable-members", Response::MembersChanged(Err(RequestError::Members("a reason".into())))),
        ("unavailable-no-quorum", Response::ReadIndex(Err(RequestError::NoQuorum))),
        ("unavailable-not-leader", Response::Proposed(Err(RequestError::NotLeader { leader }))),
        ("unavailable-refused", Response::MembersChanged(Err(RequestError::Rejected("a reason".into())))),
        ("unavailable-stopped", Response::Snapshot(Err(RequestError::Stopped("a reason".into())))),
        ("unavailable-unreachable", Response::Proposed(Err(RequestError::Unreachable("a reason".into())))),
    ]
}

fn status() -> Status {
    Status {
        cluster: 9,
        member: 1,
        leader: Some(2),
        term: 3,
        last_index: 10,
        applied_index: 8,
        snapshot_index: 6,
        list_version: 11,
        in_use: VersionsInUse { list: 12, config: 13 },
        stale_ms: 14,
        members: vec![
            MemberStatus { member: 1, addr: "127.0.0.1:7001".into(), is_voter: true },
            MemberStatus { member: 2, addr: "127.0.0.1:7002".into(), is_voter: false },
        ],
        stopped: Some("a reason".into()),
    }
}

fn responses() -> Vec<(&'static str, Response)> {
    let revision =
        Revision { revision: 3, text: "text 2".into(), author: "alice".into(), at_ms: 1_700_000_000_001 };
    let mut responses = raft_responses();
    responses.extend(rejected_proposals());
    responses.extend(failed_requests());
    responses.extend([
        ("changed", Response::MembersChanged(Ok(()))),
        ("confirmed", Response::ReadIndex(Ok(8))),
        ("document", Response::Document(vec![revision])),
        ("proposed", Response::Proposed(Ok(Reply::Applied(5)))),
        ("proposed-nothing", Response::Proposed(Ok(Reply::Empty))),
        ("snapshotted", Response::Snapshot(Ok(vec![1, 0, 255]))),
        ("status", Response::Status(Box::new(status()))),
    ]);
    responses
}

fn encoded<T: Serialize>(messages: Vec<(&'static str, T)>) -> Table {
    messages
        .into_iter()
        .map(|(name, message)| (name.into(), encode("a message", &message).unwrap()))
        .collect()
}

pub(crate) fn write_fixture() {
    fixture::write_table(REQUESTS_FILE, &encoded(requests()));
    fixture::write_table(RESPONSES_FILE, &encoded(responses()));
}

/// Asserts that the messages of a fixture are read as these messages, with all of their fields.
fn assert_read<T: DeserializeOwned + Debug>(file: &str, messages: Vec<(&'static str, T)>) {
    let table = fixture::read_table(file);
    for (name, message) in messages {
        let read: T = decode("a message", &table[name]).unwrap();
        assert_eq!(format!("{read:?}"), format!("{message:?}"), "{file}: {name}");
    }
}

#[test]
fn requests_are_read_and_written_as_in_the_fixture() {
    assert_read(REQUESTS_FILE, requests());
    fixture::assert_same_bytes(REQUESTS_FILE, &encoded(requests()));
}

#[test]
fn responses_are_read_and_written_as_in_the_fixture() {
    assert_read(RESPONSES_FILE, responses());
    fixture::assert_same_bytes(RESPONSES_FILE, &encoded(responses()));
}

#[test]
fn the_status_response_of_the_fixture_is_read_completely() {
    let response: Response = decode("a message", &fixture::read_table(RESPONSES_FILE)["status"]).unwrap();
    let Response::Status(read) = response else { panic!("{response:?}") };
    assert_eq!(*read, status());
}

#[test]
fn callers_keep_their_encoding() {
    let bytes = |caller: Caller| encode("a caller", &caller).unwrap();
    assert_eq!(bytes(Caller::Member(3)), [1, 0, 3]);
    assert_eq!(bytes(Caller::Client), [1, 1]);
    assert_eq!(bytes(Caller::Subscriber), [1, 2]);
}
