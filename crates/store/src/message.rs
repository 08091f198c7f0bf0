//! Requests of members and clients, and the responses to them, whatever carries them.
//!
//! Enums are encoded by the position of their variants, structs by the order of their fields.

use openraft::error::{InstallSnapshotError, RaftError};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{Deserialize, Serialize};

use crate::freshness::VersionsInUse;
use crate::raft::{MemberId, TypeConfig};
use crate::state::{Proposal, Reply, Revision};

/// Who sends requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// A member, from the address that the members know.
    Member(MemberId),
    /// A client, who has the members' key.
    Client,
    /// A subscriber to the committed state, who may send no requests.
    Subscriber,
}

/// The first message on a connection: the caller and its cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The caller's cluster; 0 for a client of whichever cluster it reaches.
    pub cluster: u128,
    /// The caller.
    pub caller: Caller,
    /// The address that a member listens at; empty for any other caller.
    pub addr: String,
}

/// A request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Between members: entries of the log.
    AppendEntries(AppendEntriesRequest<TypeConfig>),
    /// Between members: a vote in an election.
    Vote(VoteRequest<MemberId>),
    /// Between members: a part of a snapshot.
    InstallSnapshot(InstallSnapshotRequest<TypeConfig>),
    /// A change of the state.
    Propose(Proposal),
    /// The index up to which everything is committed, confirmed by a quorum.
    ReadIndex,
    /// The status of the replica.
    Status,
    /// Adds a member, which is a learner until it has caught up and a voter from then on.
    AddMember {
        /// The new member.
        member: MemberId,
        /// The address that it listens at.
        addr: String,
    },
    /// Removes a member.
    RemoveMember {
        /// The member.
        member: MemberId,
        /// Whether to remove it even if no quorum of the others is reachable.
        force: bool,
    },
    /// The latest revision of a document, or all that are retained.
    ReadDocument {
        /// The document's name.
        name: String,
        /// Whether to read older revisions too.
        history: bool,
    },
    /// A new snapshot.
    ExportSnapshot,
}

/// A member in a [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub member: MemberId,
    /// The address that it listens at.
    pub addr: String,
    /// Whether it is a voter; else it is a learner.
    pub is_voter: bool,
}

/// The status of a replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The cluster.
    pub cluster: u128,
    /// The member.
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
    /// The version of the latest committed list that the member knows.
    pub list_version: u64,
    /// The list and the configuration that the member's node uses.
    pub in_use: VersionsInUse,
    /// How long ago a quorum last confirmed what the node uses, in ms.
    pub stale_ms: u64,
    /// The members of the cluster.
    pub members: Vec<MemberStatus>,
    /// Why the replica has stopped, if it has.
    pub stopped: Option<String>,
}

/// A response.
#[derive(Debug, Serialize, Deserialize)]
pub enum Response {
    /// To [`Request::AppendEntries`].
    AppendEntries(Result<AppendEntriesResponse<MemberId>, RaftError<MemberId>>),
    /// To [`Request::Vote`].
    Vote(Result<VoteResponse<MemberId>, RaftError<MemberId>>),
    /// To [`Request::InstallSnapshot`].
    InstallSnapshot(Result<InstallSnapshotResponse<MemberId>, RaftError<MemberId, InstallSnapshotError>>),
    /// To [`Request::Propose`].
    Proposed(Result<Reply, RequestError>),
    /// To [`Request::ReadIndex`].
    ReadIndex(Result<u64, RequestError>),
    /// To [`Request::Status`].
    Status(Box<Status>),
    /// To [`Request::AddMember`] and [`Request::RemoveMember`], and to any request that is rejected.
    MembersChanged(Result<(), RequestError>),
    /// To [`Request::ReadDocument`]: revisions, the oldest first.
    Document(Vec<Revision>),
    /// To [`Request::ExportSnapshot`]: a sealed snapshot.
    Snapshot(Result<Vec<u8>, RequestError>),
}

impl Response {
    /// A response that rejects a request of any kind.
    pub(crate) fn rejected(reason: impl Into<String>) -> Response {
        Response::MembersChanged(Err(RequestError::Rejected(reason.into())))
    }

    /// The error for whoever gets this response to a request of another kind: the rejection, if it is one.
    pub(crate) fn unexpected(&self) -> RequestError {
        match self {
            Response::MembersChanged(Err(error)) => error.clone(),
            _ => RequestError::unexpected_response(),
        }
    }
}

/// Why a request fails.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RequestError {
    /// Another member is the leader.
    #[error("this member does not lead")]
    NotLeader {
        /// The leader and its address, as far as the member knows.
        leader: Option<(MemberId, String)>,
    },
    /// There is no quorum, or none was reached in time. A change may still be made: it is to be retried with the same
    /// sequence number.
    #[error("no quorum of members within reach in time: changes wait until there is one")]
    NoQuorum,
    /// Too many proposals are in flight.
    #[error("too many changes at once: try again")]
    Busy,
    /// The replica has stopped.
    #[error("the replica has stopped: {0}")]
    Stopped(String),
    /// The change of members isn't possible.
    #[error("{0}")]
    Members(String),
    /// The caller may not send this request.
    #[error("refused: {0}")]
    Rejected(String),
    /// There was no response, or not the expected one.
    #[error("{0}")]
    Unreachable(String),
}

impl RequestError {
    /// The error for a response to a request of another kind.
    pub(crate) fn unexpected_response() -> RequestError {
        RequestError::Unreachable("an answer to another question".into())
    }
}
