//! The consensus engine's network over a [`Transport`].
#![allow(clippy::result_large_err)] // the engine's own error types

use std::error::Error;
use std::iter;
use std::time::Duration;

use openraft::BasicNode;
use openraft::error::{
    InstallSnapshotError, NetworkError, PayloadTooLarge, RPCError, RaftError, RemoteError, Unreachable,
};
use openraft::network::{Backoff, RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};

use super::{HEARTBEAT_INTERVAL_MS, Transport};
use crate::codec;
use crate::message::{Request, Response};
use crate::raft::{MemberId, TypeConfig};

/// Bytes of the entries in one message together, unless a single entry is longer.
///
/// The engine abandons a response that takes longer than a heartbeat, and sends the same entries again: a message that
/// can't be sent and synced within that time would never get through.
const MAX_APPEND_BYTES: usize = 1 << 20;

type Failure<E = RaftError<MemberId>> = RPCError<MemberId, BasicNode, E>;

/// Creates the connections to other members.
pub(super) struct Network<T> {
    pub(super) transport: T,
}

/// The connection to one member.
pub(super) struct MemberConnection<T> {
    transport: T,
    member: MemberId,
    addr: String,
}

impl<T: Transport> RaftNetworkFactory<TypeConfig> for Network<T> {
    type Network = MemberConnection<T>;

    async fn new_client(&mut self, member: MemberId, node: &BasicNode) -> MemberConnection<T> {
        MemberConnection { transport: self.transport.clone(), member, addr: node.addr.clone() }
    }
}

impl<T: Transport> MemberConnection<T> {
    async fn request<E: Error>(&self, request: Request, option: RPCOption) -> Result<Response, Failure<E>> {
        let response = self.transport.request(self.member, &self.addr, request, option.hard_ttl()).await;
        response.map_err(|error| RPCError::Unreachable(Unreachable::new(&error)))
    }

    fn remote_result<R, E: Error>(&self, result: Result<R, E>) -> Result<R, Failure<E>> {
        result.map_err(|error| RPCError::RemoteError(RemoteError::new(self.member, error)))
    }
}

fn unexpected<E: Error>(response: &Response) -> Failure<E> {
    RPCError::Network(NetworkError::new(&response.unexpected()))
}

/// How many of the entries fit into a message, if not all of them do. It is at least one: a message takes any single
/// entry.
fn fitting_entries(request: &AppendEntriesRequest<TypeConfig>) -> Option<u64> {
    let encoded_len = |entry| codec::encode("a log entry", entry).map_or(0, |bytes| bytes.len());
    let running_totals = request.entries.iter().scan(0, |total, entry| {
        *total += encoded_len(entry);
        Some(*total)
    });
    let fitting = running_totals.take_while(|&total| total <= MAX_APPEND_BYTES).count();
    let must_split = fitting < request.entries.len() && request.entries.len() > 1;
    must_split.then(|| fitting.max(1) as u64)
}

impl<T: Transport> RaftNetwork<TypeConfig> for MemberConnection<T> {
    async fn append_entries(
        &mut self,
        request: AppendEntriesRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<MemberId>, Failure> {
        if let Some(fitting) = fitting_entries(&request) {
            return Err(PayloadTooLarge::new_entries_hint(fitting).into());
        }
        match self.request(Request::AppendEntries(request), option).await? {
            Response::AppendEntries(result) => self.remote_result(result),
            other => Err(unexpected(&other)),
        }
    }

    async fn install_snapshot(
        &mut self,
        request: InstallSnapshotRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<MemberId>, Failure<RaftError<MemberId, InstallSnapshotError>>> {
        match self.request(Request::InstallSnapshot(request), option).await? {
            Response::InstallSnapshot(result) => self.remote_result(result),
            other => Err(unexpected(&other)),
        }
    }

    async fn vote(
        &mut self,
        request: VoteRequest<MemberId>,
        option: RPCOption,
    ) -> Result<VoteResponse<MemberId>, Failure> {
        match self.request(Request::Vote(request), option).await? {
            Response::Vote(result) => self.remote_result(result),
            other => Err(unexpected(&other)),
        }
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(iter::repeat(Duration::from_millis(HEARTBEAT_INTERVAL_MS)))
    }
}
