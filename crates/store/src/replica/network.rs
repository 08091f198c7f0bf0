//! Implements the consensus engine's network interface over a [`Transport`].
#![allow(clippy::result_large_err)] // the engine defines the error types

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

/// The largest total size of the entries in one message, in bytes. A single larger entry is sent alone.
///
/// The engine abandons a request whose response takes longer than a heartbeat interval, and sends the same entries
/// again: a message that can't be transferred and synced within that time would never succeed.
const MAX_APPEND_BYTES: usize = 1 << 20;

type RpcFailure<E = RaftError<MemberId>> = RPCError<MemberId, BasicNode, E>;

/// Creates connections to other members.
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
    /// Sends a request to the member. An error of the transport counts as the member being unreachable.
    async fn request<E: Error>(
        &self,
        request: Request,
        option: RPCOption,
    ) -> Result<Response, RpcFailure<E>> {
        let response = self.transport.request(self.member, &self.addr, request, option.hard_ttl()).await;
        response.map_err(|error| RPCError::Unreachable(Unreachable::new(&error)))
    }

    /// Converts an error that the member returned.
    fn remote_result<R, E: Error>(&self, result: Result<R, E>) -> Result<R, RpcFailure<E>> {
        result.map_err(|error| RPCError::RemoteError(RemoteError::new(self.member, error)))
    }
}

fn unexpected<E: Error>(response: &Response) -> RpcFailure<E> {
    RPCError::Network(NetworkError::new(&response.unexpected()))
}

/// The number of leading entries that fit into one message; `None` if all do. It is at least one, because a single
/// entry of any size is sent.
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
    ) -> Result<AppendEntriesResponse<MemberId>, RpcFailure> {
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
    ) -> Result<InstallSnapshotResponse<MemberId>, RpcFailure<RaftError<MemberId, InstallSnapshotError>>>
    {
        match self.request(Request::InstallSnapshot(request), option).await? {
            Response::InstallSnapshot(result) => self.remote_result(result),
            other => Err(unexpected(&other)),
        }
    }

    async fn vote(
        &mut self,
        request: VoteRequest<MemberId>,
        option: RPCOption,
    ) -> Result<VoteResponse<MemberId>, RpcFailure> {
        match self.request(Request::Vote(request), option).await? {
            Response::Vote(result) => self.remote_result(result),
            other => Err(unexpected(&other)),
        }
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(iter::repeat(Duration::from_millis(HEARTBEAT_INTERVAL_MS)))
    }
}
