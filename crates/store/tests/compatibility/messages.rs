//! Messages of members and clients: one of each kind.

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
use stonefold_store::engine::SnapshotMeta;
use stonefold_store::message::{Party, Request, Response, Status, Unavailable};
use stonefold_store::state::{Refusal, Reply, Revision};

use super::fixture::{self, Table};
use super::history;

const REQUESTS_FILE: &str = "requests.hex";
const RESPONSES_FILE: &str = "responses.hex";

fn snapshot_request() -> InstallSnapshotRequest<stonefold_store::engine::Types> {
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
        ("add", Request::Add { member: 3, addr: "127.0.0.1:7003".into() }),
        ("append", Request::Append(append)),
        ("confirm", Request::Confirm),
        ("document", Request::Document { name: "config".into(), history: true }),
        ("export", Request::Export),
        ("propose", Request::Propose(history::proposal(2))),
        ("remove", Request::Remove { member: 3, force: true }),
        ("snapshot", Request::Snapshot(snapshot_request())),
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
        ("append-conflict", Response::Append(Ok(AppendEntriesResponse::Conflict))),
        ("append-failed", Response::Append(Err(RaftError::Fatal(Fatal::Stopped)))),
        ("append-higher-vote", Response::Append(Ok(AppendEntriesResponse::HigherVote(higher)))),
        (
            "append-partial",
            Response::Append(Ok(AppendEntriesResponse::PartialSuccess(Some(history::log_id(5))))),
        ),
        ("append-success", Response::Append(Ok(AppendEntriesResponse::Success))),
        ("snapshot", Response::Snapshot(Ok(InstallSnapshotResponse { vote }))),
        ("snapshot-mismatch", Response::Snapshot(Err(RaftError::APIError(mismatch)))),
        ("vote", Response::Vote(Ok(VoteResponse::new(vote, Some(history::log_id(10)), true)))),
    ]
}

fn refused_proposals() -> Vec<(&'static str, Response)> {
    let refused = |refusal| Response::Proposed(Ok(Reply::Refused(refusal)));
    vec![
        ("refused-conflict", refused(Refusal::Conflict { wanted: 2, found: 3 })),
        ("refused-not-empty", refused(Refusal::NotEmpty)),
        ("refused-old-list", refused(Refusal::OldList { told: 8, known: 9 })),
        ("refused-superseded", refused(Refusal::Superseded { sequence: 1, last: 2 })),
        ("refused-too-long", refused(Refusal::TooLong { what: "a name".into(), bytes: 300, most: 256 })),
        ("refused-too-many", refused(Refusal::TooMany { what: "orders".into(), most: 12_000 })),
    ]
}

fn unavailable() -> Vec<(&'static str, Response)> {
    let leader = Some((2, "127.0.0.1:7002".into()));
    vec![
        ("unavailable-busy", Response::Proposed(Err(Unavailable::Busy))),
        ("unavailable-members", Response::Changed(Err(Unavailable::Members("a reason".into())))),
        ("unavailable-no-quorum", Response::Confirmed(Err(Unavailable::NoQuorum))),
        ("unavailable-not-leader", Response::Proposed(Err(Unavailable::NotLeader { leader }))),
        ("unavailable-refused", Response::Changed(Err(Unavailable::Refused("a reason".into())))),
        ("unavailable-stopped", Response::Snapshotted(Err(Unavailable::Stopped("a reason".into())))),
        ("unavailable-unreachable", Response::Proposed(Err(Unavailable::Unreachable("a reason".into())))),
    ]
}

fn status() -> Status {
    Status {
        cluster: 9,
        member: 1,
        leader: Some(2),
        term: 3,
        last: 10,
        applied: 8,
        snapshot: 6,
        list: 11,
        acted: (12, 13),
        stale_ms: 14,
        members: vec![(1, "127.0.0.1:7001".into(), true), (2, "127.0.0.1:7002".into(), false)],
        stopped: Some("a reason".into()),
    }
}

fn responses() -> Vec<(&'static str, Response)> {
    let revision =
        Revision { revision: 3, text: "text 2".into(), author: "alice".into(), at_ms: 1_700_000_000_001 };
    let mut responses = raft_responses();
    responses.extend(refused_proposals());
    responses.extend(unavailable());
    responses.extend([
        ("changed", Response::Changed(Ok(()))),
        ("confirmed", Response::Confirmed(Ok(8))),
        ("document", Response::Document(vec![revision])),
        ("proposed", Response::Proposed(Ok(Reply::Done(5)))),
        ("proposed-nothing", Response::Proposed(Ok(Reply::Nothing))),
        ("snapshotted", Response::Snapshotted(Ok(vec![1, 0, 255]))),
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

/// Asserts that the messages of a fixture are read as these, in all of their fields.
fn assert_read<T: DeserializeOwned + Debug>(file: &str, messages: Vec<(&'static str, T)>) {
    let table = fixture::read_table(file);
    for (name, message) in messages {
        let read: T = decode("a message", &table[name]).unwrap();
        assert_eq!(format!("{read:?}"), format!("{message:?}"), "{file}: {name}");
    }
}

#[test]
fn requests_are_read_and_written_as_before() {
    assert_read(REQUESTS_FILE, requests());
    fixture::assert_same_bytes(REQUESTS_FILE, &encoded(requests()));
}

#[test]
fn responses_are_read_and_written_as_before() {
    assert_read(RESPONSES_FILE, responses());
    fixture::assert_same_bytes(RESPONSES_FILE, &encoded(responses()));
}

#[test]
fn a_status_is_read_as_before() {
    let response: Response = decode("a message", &fixture::read_table(RESPONSES_FILE)["status"]).unwrap();
    let Response::Status(read) = response else { panic!("{response:?}") };
    assert_eq!(*read, status());
}

#[test]
fn parties_are_written_as_before() {
    let bytes = |party: Party| encode("a party", &party).unwrap();
    assert_eq!(bytes(Party::Member(3)), [1, 0, 3]);
    assert_eq!(bytes(Party::Client), [1, 1]);
    assert_eq!(bytes(Party::Subscriber), [1, 2]);
}
