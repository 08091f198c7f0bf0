//! The interface through which a replica sends requests to other members.

use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::message::{Request, RequestError, Response};
use crate::raft::MemberId;

/// Sends requests to other members.
pub trait Transport: Clone + Send + Sync + 'static {
    /// Sends a request to the member at this address, and waits for the response until the timeout.
    fn request(
        &self,
        member: MemberId,
        addr: &str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'static, Result<Response, RequestError>>;
}

/// The transport of a cluster with a single member, which has no other member to reach.
#[derive(Clone)]
pub(super) struct NoTransport;

impl Transport for NoTransport {
    fn request(
        &self,
        _: MemberId,
        _: &str,
        _: Request,
        _: Duration,
    ) -> BoxFuture<'static, Result<Response, RequestError>> {
        Box::pin(async { Err(RequestError::Unreachable("the cluster has no other member".into())) })
    }
}
