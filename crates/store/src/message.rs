//! What members and clients say to each other, whatever carries it.

use openraft::error::{InstallSnapshotError, RaftError};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{Deserialize, Serialize};

use crate::engine::{MemberId, Types};
use crate::state::{Proposal, Reply};

/// Who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Party {
    /// A member, from the address that the members know it at.
    Member(MemberId),
    /// Whoever has the key.
    Client,
    /// A node that follows what is committed, and may do nothing else.
    Subscriber,
}

/// A question.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Between members: entries of the log.
    Append(AppendEntriesRequest<Types>),
    /// Between members: an election.
    Vote(VoteRequest<MemberId>),
    /// Between members: a part of a snapshot.
    Snapshot(InstallSnapshotRequest<Types>),
    /// A change.
    Propose(Proposal),
    /// Up to which entry everything is committed, as a quorum confirms now.
    Confirm,
    /// How this replica stands.
    Status,
    /// A member to be added: at first it learns, and once it has caught up it votes.
    Add {
        /// The new member.
        member: MemberId,
        /// Where it listens.
        addr: String,
    },
    /// A member to be removed.
    Remove {
        /// The member.
        member: MemberId,
        /// Whether too few of the rest may be within reach.
        force: bool,
    },
    /// The latest revision of a document, or all that are kept.
    Document {
        /// Its name.
        name: String,
        /// Older revisions too.
        history: bool,
    },
    /// A new snapshot, all of it.
    Export,
}

/// How a replica stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The cluster.
    pub cluster: u128,
    /// The member that says this.
    pub member: MemberId,
    /// The leader, as far as it knows.
    pub leader: Option<MemberId>,
    /// The term of elections.
    pub term: u64,
    /// The last entry of its log, and the last that it has applied.
    pub last: u64,
    /// See `last`.
    pub applied: u64,
    /// Its latest snapshot stands for the entries up to this.
    pub snapshot: u64,
    /// The latest committed list that it knows.
    pub list: u64,
    /// The latest list and the latest configuration that its node acts on.
    pub acted: (u64, u64),
    /// For so long nobody has confirmed what it goes by, in ms.
    pub stale_ms: u64,
    /// The members with their addresses, and whether they vote.
    pub members: Vec<(MemberId, String, bool)>,
    /// Why it has stopped, if it has.
    pub stopped: Option<String>,
}

/// An answer.
#[derive(Debug, Serialize, Deserialize)]
pub enum Response {
    /// To entries.
    Append(Result<AppendEntriesResponse<MemberId>, RaftError<MemberId>>),
    /// To an election.
    Vote(Result<VoteResponse<MemberId>, RaftError<MemberId>>),
    /// To a part of a snapshot.
    Snapshot(Result<InstallSnapshotResponse<MemberId>, RaftError<MemberId, InstallSnapshotError>>),
    /// To a proposal.
    Proposed(Result<Reply, Unavailable>),
    /// Everything up to this entry is committed.
    Confirmed(Result<u64, Unavailable>),
    /// How it stands.
    Status(Box<Status>),
    /// To a change of members.
    Changed(Result<(), Unavailable>),
    /// Revisions, the oldest first.
    Document(Vec<crate::state::Revision>),
    /// A sealed snapshot.
    Snapshotted(Result<Vec<u8>, Unavailable>),
}

/// Why something can't be done now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Unavailable {
    /// Another member leads.
    #[error("this member does not lead")]
    NotLeader {
        /// Who does, as far as it knows, and where.
        leader: Option<(MemberId, String)>,
    },
    /// There is no quorum, or none was found in time. A change may yet be made: propose it again under its number.
    #[error("no quorum of members within reach in time: changes wait until there is one")]
    NoQuorum,
    /// Too many changes are out.
    #[error("too many changes at once: try again")]
    Busy,
    /// The replica has stopped.
    #[error("the replica has stopped: {0}")]
    Stopped(String),
    /// Members can't be changed so.
    #[error("{0}")]
    Members(String),
    /// Who asks may not.
    #[error("refused: {0}")]
    Refused(String),
    /// Nobody answered, or not what was asked for.
    #[error("{0}")]
    Unreachable(String),
}
