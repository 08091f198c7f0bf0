//! How a replica reaches other members, whatever carries the messages.

use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::message::{Request, RequestError, Response};
use crate::raft::MemberId;

/// Carries requests to other members.
pub trait Transport: Clone + Send + Sync + 'static {
    /// Sends a request to the member at an address, and waits for its response until the timeout.
    fn request(
        &self,
        member: MemberId,
        addr: &str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'static, Result<Response, RequestError>>;
}

/// The transport of a cluster with a single member: it reaches nobody.
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
        Box::pin(async { Err(RequestError::Unreachable("there is nobody else".into())) })
    }
}
