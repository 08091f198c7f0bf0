//! Answers the requests of members and clients.

use openraft::BasicNode;
use openraft::error::{CheckIsLeaderError, ClientWriteError, ForwardToLeader, RaftError};
use openraft::raft::InstallSnapshotRequest;
use tokio::time::timeout;

use super::{REQUEST_TIMEOUT, Replica, Transport};
use crate::members::Member;
use crate::message::{Caller, MemberStatus, Request, RequestError, Response, Status};
use crate::raft::{MemberId, TypeConfig};
use crate::snapshot::{MAX_SNAPSHOT_BYTES, seal_snapshot};
use crate::state::{Proposal, Reply, Revision};

/// The largest number of log entries that may wait for a quorum. Without this limit, a leader that has lost its quorum
/// and keeps receiving proposals would grow its log without bound.
const MAX_UNCOMMITTED_ENTRIES: u64 = 256;

impl<T: Transport> Replica<T> {
    /// Answers a request of a caller that has already been admitted.
    pub async fn answer(&self, caller: Caller, request: Request) -> Response {
        let is_member_request =
            matches!(request, Request::AppendEntries(_) | Request::Vote(_) | Request::InstallSnapshot(_));
        if is_member_request && !matches!(caller, Caller::Member(_)) {
            return Response::rejected("only members may send this request");
        }
        if caller == Caller::Subscriber {
            return Response::rejected("a subscriber only follows the state, and may not send requests");
        }
        match request {
            Request::AppendEntries(request) => {
                Response::AppendEntries(self.raft.append_entries(request).await)
            }
            Request::Vote(request) => Response::Vote(self.raft.vote(request).await),
            Request::InstallSnapshot(request) => self.install_snapshot(request).await,
            Request::Propose(proposal) => Response::Proposed(self.commit(proposal).await),
            Request::ReadIndex => Response::ReadIndex(self.read_index().await),
            Request::Status => Response::Status(Box::new(self.status())),
            Request::AddMember { member, addr } => {
                Response::MembersChanged(self.add_member(member, addr).await)
            }
            Request::RemoveMember { member, force } => {
                Response::MembersChanged(self.remove_member(member, force).await)
            }
            Request::ReadDocument { name, history } => Response::Document(self.document(&name, history)),
            Request::ExportSnapshot => Response::Snapshot(self.export_snapshot()),
        }
    }

    /// The status of this replica.
    pub fn status(&self) -> Status {
        let metrics = self.raft.metrics().borrow().clone();
        let (stale_ms, in_use) =
            self.freshness(|freshness, now| (freshness.stale_for(now), freshness.in_use()));
        let member_status = |(member, Member { addr, is_voter })| MemberStatus { member, addr, is_voter };
        let applied = self.shared.read();
        Status {
            cluster: self.identity.cluster,
            member: self.identity.member,
            leader: metrics.current_leader,
            term: metrics.current_term,
            last_index: metrics.last_log_index.unwrap_or(0),
            applied_index: applied.last_index(),
            snapshot_index: metrics.snapshot.map_or(0, |last| last.index),
            list_version: applied.state.list().map_or(0, |list| list.version),
            in_use,
            stale_ms,
            members: self.members().into_iter().map(member_status).collect(),
            stopped: metrics.running_state.err().map(|error| error.to_string()),
        }
    }

    async fn install_snapshot(&self, request: InstallSnapshotRequest<TypeConfig>) -> Response {
        if request.offset + request.data.len() as u64 > MAX_SNAPSHOT_BYTES as u64 {
            return Response::rejected(format!("the snapshot is longer than {MAX_SNAPSHOT_BYTES} bytes"));
        }
        Response::InstallSnapshot(self.raft.install_snapshot(request).await)
    }

    /// Commits a proposal, if this member is the leader.
    async fn commit(&self, proposal: Proposal) -> Result<Reply, RequestError> {
        let _permit = self.proposal_permits.try_acquire().map_err(|_| RequestError::Busy)?;
        if self.uncommitted_entries() >= MAX_UNCOMMITTED_ENTRIES {
            return Err(RequestError::NoQuorum);
        }
        match timeout(REQUEST_TIMEOUT, self.raft.client_write(proposal)).await {
            Ok(Ok(response)) => Ok(response.data),
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(leader)))) => {
                Err(not_leader(leader))
            }
            Ok(Err(error)) => Err(RequestError::Stopped(error.to_string())),
            Err(_) => Err(RequestError::NoQuorum),
        }
    }

    /// The number of log entries after the last applied one. A committed entry counts until it is applied.
    fn uncommitted_entries(&self) -> u64 {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        let last = metrics.last_log_index.unwrap_or(0);
        let applied = metrics.last_applied.map_or(0, |applied| applied.index);
        last.saturating_sub(applied)
    }

    /// The index up to which everything is committed, after a quorum has confirmed that this member is still the
    /// leader.
    pub(super) async fn read_index(&self) -> Result<u64, RequestError> {
        match timeout(REQUEST_TIMEOUT, self.raft.get_read_log_id()).await {
            Ok(Ok((read, _))) => Ok(read.map_or(0, |read| read.index)),
            Ok(Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(leader)))) => {
                Err(not_leader(leader))
            }
            Ok(Err(RaftError::APIError(CheckIsLeaderError::QuorumNotEnough(_)))) | Err(_) => {
                Err(RequestError::NoQuorum)
            }
            Ok(Err(RaftError::Fatal(error))) => Err(RequestError::Stopped(error.to_string())),
        }
    }

    /// The latest revision of a document, or with `history` all retained revisions from the oldest to the latest.
    fn document(&self, name: &str, history: bool) -> Vec<Revision> {
        let applied = self.shared.read();
        if history {
            applied.state.history(name).cloned().collect()
        } else {
            applied.state.document(name).cloned().into_iter().collect()
        }
    }

    /// Seals a snapshot of the applied state.
    fn export_snapshot(&self) -> Result<Vec<u8>, RequestError> {
        seal_snapshot(&self.shared.read()).map_err(|error| RequestError::Stopped(error.to_string()))
    }
}

/// The error that names the leader that a request has to be sent to.
pub(super) fn not_leader(leader: ForwardToLeader<MemberId, BasicNode>) -> RequestError {
    let addr = leader.leader_node.map(|node| node.addr);
    RequestError::NotLeader { leader: leader.leader_id.zip(addr) }
}
