//! Membership changes of the cluster, which the leader carries out.

use std::time::Duration;

use futures_util::future::join_all;
use openraft::error::{ClientWriteError, RaftError};
use openraft::{BasicNode, ChangeMembers};
use tokio::time::timeout;
use tracing::info;

use super::request::not_leader;
use super::{Replica, Transport};
use crate::members::{self, MembersError};
use crate::message::{Request, RequestError, Response};
use crate::raft::MemberId;

/// How long a new member may take to catch up with the log before its addition fails.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a member may take to answer before it counts as unreachable.
const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(1_500);

impl<T: Transport> Replica<T> {
    /// Adds a member, first as a learner, and once it has caught up as a voter.
    pub(super) async fn add_member(&self, member: MemberId, addr: String) -> Result<(), RequestError> {
        self.read_index().await?; // fails unless this member leads: only the leader's list of members is up to date
        members::check_add(member, &addr, &self.members(), self.shared.read().state.removed_members())
            .map_err(rejected)?;
        let added = self.raft.add_learner(member, BasicNode::new(&addr), false).await;
        let index = added.map_err(change_error)?.log_id.index;
        info!(
            event = "member_added",
            member, addr, "added a learner, which becomes a voter once it has caught up"
        );
        self.wait_until_caught_up(member, index).await?;
        let voter = ChangeMembers::AddVoterIds([member].into());
        self.raft.change_membership(voter, true).await.map_err(change_error)?;
        info!(event = "member_promoted", member, "promoted a learner to a voter");
        Ok(())
    }

    /// Waits until a learner has replicated the log up to this index.
    async fn wait_until_caught_up(&self, member: MemberId, index: u64) -> Result<(), RequestError> {
        let mut metrics = self.raft.metrics();
        let caught_up = metrics.wait_for(|metrics| {
            let matched = metrics.replication.as_ref().and_then(|progress| *progress.get(&member)?);
            metrics.replication.is_none() || matched.is_some_and(|matched| matched.index >= index)
        });
        match timeout(CATCH_UP_TIMEOUT, caught_up).await {
            Ok(Ok(metrics)) if metrics.replication.is_some() => Ok(()),
            Ok(_) => Err(RequestError::NotLeader { leader: None }),
            Err(_) => Err(RequestError::Members(format!(
                "member {member} has not caught up within {} s: it stays a learner; add it again once it can be reached",
                CATCH_UP_TIMEOUT.as_secs()
            ))),
        }
    }

    /// The members that can be reached now, this one included.
    async fn reachable_members(&self) -> Vec<MemberId> {
        let own_id = self.identity.member;
        let others = self.members().into_iter().filter(|(id, _)| *id != own_id);
        let probes = others.map(|(id, member)| async move {
            let response =
                self.transport.request(id, &member.addr, Request::Status, REACHABILITY_TIMEOUT).await;
            matches!(response, Ok(Response::Status(_))).then_some(id)
        });
        join_all(probes).await.into_iter().flatten().chain([own_id]).collect()
    }

    /// Removes a member. Unless `force` is set, a quorum of the remaining voters must be reachable.
    pub(super) async fn remove_member(&self, member: MemberId, force: bool) -> Result<(), RequestError> {
        self.read_index().await?;
        let reachable = self.reachable_members().await;
        members::check_remove(member, &self.members(), |id| reachable.contains(&id), force)
            .map_err(rejected)?;
        let is_voter = self.members().get(&member).is_some_and(|member| member.is_voter);
        let change = if is_voter {
            ChangeMembers::RemoveVoters([member].into())
        } else {
            ChangeMembers::RemoveNodes([member].into())
        };
        self.raft.change_membership(change, false).await.map_err(change_error)?;
        info!(event = "member_removed", member, "removed a member from the cluster");
        Ok(())
    }
}

fn rejected(error: MembersError) -> RequestError {
    RequestError::Members(error.to_string())
}

fn change_error(error: RaftError<MemberId, ClientWriteError<MemberId, BasicNode>>) -> RequestError {
    match error {
        RaftError::APIError(ClientWriteError::ForwardToLeader(leader)) => not_leader(leader),
        RaftError::APIError(ClientWriteError::ChangeMembershipError(error)) => {
            RequestError::Members(error.to_string())
        }
        RaftError::Fatal(error) => RequestError::Stopped(error.to_string()),
    }
}
