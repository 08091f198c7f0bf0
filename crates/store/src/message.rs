//! Requests of members and clients, and the responses to them, independent of the transport.
//!
//! Enums are encoded by the position of their variants, structs by the order of their fields: neither order may change.

use openraft::error::{InstallSnapshotError, RaftError};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{Deserialize, Serialize};

use crate::freshness::VersionsInUse;
use crate::raft::{MemberId, TypeConfig};
use crate::state::{Proposal, Reply, Revision};

/// The kind of peer that opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// A member, which listens on the address that the other members know.
    Member(MemberId),
    /// A client that holds the members' key.
    Client,
    /// A subscriber to the committed state, which may send no requests.
    Subscriber,
}

/// The first message on a connection: the caller and its cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The caller's cluster; 0 for a client that accepts any cluster.
    pub cluster: u128,
    /// The kind of the caller, and the id of a member.
    pub caller: Caller,
    /// The address that a member listens on; empty for any other caller.
    pub addr: String,
}

/// A request to a member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Between members: replicates log entries.
    AppendEntries(AppendEntriesRequest<TypeConfig>),
    /// Between members: asks for a vote in an election.
    Vote(VoteRequest<MemberId>),
    /// Between members: sends a part of a snapshot.
    InstallSnapshot(InstallSnapshotRequest<TypeConfig>),
    /// Proposes a change of the state.
    Propose(Proposal),
    /// Reads the index up to which everything is committed, confirmed by a quorum.
    ReadIndex,
    /// Reads the status of the replica.
    Status,
    /// Adds a member, which is a learner until it has caught up, and then becomes a voter.
    AddMember {
        /// The new member.
        member: MemberId,
        /// The address that it listens on.
        addr: String,
    },
    /// Removes a member.
    RemoveMember {
        /// The member to remove.
        member: MemberId,
        /// Whether to remove it even if no quorum of the others is reachable.
        force: bool,
    },
    /// Reads the latest revision of a document, or all retained revisions.
    ReadDocument {
        /// The document's name.
        name: String,
        /// Whether to read all retained revisions instead of only the latest.
        history: bool,
    },
    /// Takes a snapshot of the applied state and returns it.
    ExportSnapshot,
}

/// A member as listed in a [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's id.
    pub member: MemberId,
    /// The address that it listens on.
    pub addr: String,
    /// Whether the member is a voter; otherwise it is a learner.
    pub is_voter: bool,
}

/// The status of a replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The cluster's id.
    pub cluster: u128,
    /// The id of the member that answers.
    pub member: MemberId,
    /// The leader, as far as the member knows.
    pub leader: Option<MemberId>,
    /// The current term.
    pub term: u64,
    /// The index of the last entry in the log.
    pub last_index: u64,
    /// The index of the last applied entry.
    pub applied_index: u64,
    /// The index of the last entry that the latest snapshot covers.
    pub snapshot_index: u64,
    /// The version of the endpoint list in the member's applied state; 0 for none.
    pub list_version: u64,
    /// The versions of the list and the configuration that the member's node uses.
    pub in_use: VersionsInUse,
    /// The time since a quorum last confirmed the member's state, or since the start if none has, in ms.
    pub stale_ms: u64,
    /// The members of the cluster.
    pub members: Vec<MemberStatus>,
    /// The reason why the replica has stopped, if it has.
    pub stopped: Option<String>,
}

/// A response to a request.
#[derive(Debug, Serialize, Deserialize)]
pub enum Response {
    /// The response to [`Request::AppendEntries`].
    AppendEntries(Result<AppendEntriesResponse<MemberId>, RaftError<MemberId>>),
    /// The response to [`Request::Vote`].
    Vote(Result<VoteResponse<MemberId>, RaftError<MemberId>>),
    /// The response to [`Request::InstallSnapshot`].
    InstallSnapshot(Result<InstallSnapshotResponse<MemberId>, RaftError<MemberId, InstallSnapshotError>>),
    /// The response to [`Request::Propose`].
    Proposed(Result<Reply, RequestError>),
    /// The response to [`Request::ReadIndex`].
    ReadIndex(Result<u64, RequestError>),
    /// The response to [`Request::Status`].
    Status(Box<Status>),
    /// The response to [`Request::AddMember`] and [`Request::RemoveMember`], and to any request that is rejected.
    MembersChanged(Result<(), RequestError>),
    /// The response to [`Request::ReadDocument`]: the revisions, from the oldest to the latest.
    Document(Vec<Revision>),
    /// The response to [`Request::ExportSnapshot`]: a sealed snapshot.
    Snapshot(Result<Vec<u8>, RequestError>),
}

impl Response {
    /// A response that rejects a request of any kind.
    pub(crate) fn rejected(reason: impl Into<String>) -> Response {
        Response::MembersChanged(Err(RequestError::Rejected(reason.into())))
    }

    /// The error to report when this is not the expected kind of response: the rejection, if the response is one.
    pub(crate) fn unexpected(&self) -> RequestError {
        match self {
            Response::MembersChanged(Err(error)) => error.clone(),
            _ => RequestError::unexpected_response(),
        }
    }
}

/// The reason why a request failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RequestError {
    /// Another member is the leader.
    #[error("this member is not the leader")]
    NotLeader {
        /// The leader and its address, as far as the member knows.
        leader: Option<(MemberId, String)>,
    },
    /// There is no quorum, or none was reached in time. The change may still be committed later, so it has to be
    /// retried with the same sequence number.
    #[error("no quorum of members could be reached in time: changes wait until there is one")]
    NoQuorum,
    /// Too many proposals are in flight.
    #[error("too many changes in flight: try again")]
    Busy,
    /// The replica has stopped.
    #[error("the replica has stopped: {0}")]
    Stopped(String),
    /// The membership change is not possible.
    #[error("{0}")]
    Members(String),
    /// The caller may not send this request.
    #[error("rejected: {0}")]
    Rejected(String),
    /// There was no response, or not the expected one.
    #[error("{0}")]
    Unreachable(String),
}

impl RequestError {
    /// The error for a response to a request of another kind.
    pub(crate) fn unexpected_response() -> RequestError {
        RequestError::Unreachable("the response does not match the request".into())
    }
}
