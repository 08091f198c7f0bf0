//! The replies that a connection still has to write, in the order of its commands.

use std::collections::{HashSet, VecDeque};
use std::future::pending;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use redis_protocol::resp2::types::BytesFrame;
use stonefold_balancer::RequestId;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::invariants::{ANSWER_SLACK, Invariant, Violations};
use crate::memory_budget::MemoryPermit;
use crate::metrics::InFlightGuard;
use crate::relay::ValueStream;
use crate::request::Response;

/// The ids of the open requests of all connections, as the clients gave them.
pub(crate) type OpenRequestIds = Arc<Mutex<HashSet<Bytes>>>;

/// The id of an open request, released on drop.
pub(crate) struct OpenRequestId {
    id: Bytes,
    all: OpenRequestIds,
}

impl OpenRequestId {
    /// Claims an id. Returns `None` if another open request has it.
    pub(crate) fn claim(id: &Bytes, all: &OpenRequestIds) -> Option<OpenRequestId> {
        let is_new = all.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        is_new.then(|| OpenRequestId { id: id.clone(), all: all.clone() })
    }
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.all.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}

/// The memory that is accounted for an open request, released on drop.
pub(crate) struct RequestMemory {
    bytes: usize,
    total: Arc<AtomicUsize>,
}

impl RequestMemory {
    /// Adds `bytes` to `total`, the memory of the open requests of all connections.
    pub(crate) fn add(bytes: usize, total: &Arc<AtomicUsize>) -> RequestMemory {
        total.fetch_add(bytes, Ordering::Relaxed);
        RequestMemory { bytes, total: total.clone() }
    }
}

impl Drop for RequestMemory {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The time by which the client of a request wants the reply.
#[derive(Clone)]
pub(crate) struct ReplyDeadline {
    pub(crate) at: Instant,
    /// The id of the request, as its client gave it.
    pub(crate) request: Bytes,
}

impl ReplyDeadline {
    /// Records a violation if the reply, whose last byte was written just now, is late.
    pub(crate) fn check(&self, violations: &Violations) {
        if Instant::now() > self.at + ANSWER_SLACK {
            violations.record(Invariant::AnswerInTime, &self.request);
        }
    }
}

/// A request that has not been answered completely.
pub(crate) struct UnansweredRequest {
    pub(crate) id: RequestId,
    pub(crate) deadline: ReplyDeadline,
    pub(crate) response: oneshot::Receiver<Response>,
    pub(crate) _claimed_id: OpenRequestId,
    pub(crate) _memory: RequestMemory,
    /// The permit for the memory of a large value that the request carries.
    pub(crate) _value_permit: Option<MemoryPermit>,
    pub(crate) _in_flight: InFlightGuard,
}

/// A reply that has not been written yet.
pub(crate) enum PendingReply {
    /// A complete reply that does not come from the driver, such as an error.
    Ready(BytesFrame),
    /// The reply to a request.
    Request(UnansweredRequest),
    /// The rejection of a request that is never opened, because the connection has too many open ones.
    Rejection(oneshot::Receiver<Response>),
    /// A value that has started to arrive from a server.
    Value(ValueStream, UnansweredRequest),
}

impl PendingReply {
    fn is_open_request(&self) -> bool {
        matches!(self, PendingReply::Request(_) | PendingReply::Value(..))
    }
}

/// A complete reply.
pub(crate) struct FrameReply {
    pub(crate) frame: BytesFrame,
    /// The deadline of the request that this is the reply to, if it is one.
    pub(crate) deadline: Option<ReplyDeadline>,
}

/// A reply whose writing can start.
pub(crate) enum WritableReply {
    Frame(FrameReply),
    /// A value that is still arriving. Its request stays open until the value has been written.
    Value(ValueStream, UnansweredRequest),
}

/// A response in the form in which it is sent over RESP2.
enum EncodedResponse {
    Frame(BytesFrame),
    Value(ValueStream),
}

impl From<Response> for EncodedResponse {
    fn from(response: Response) -> EncodedResponse {
        EncodedResponse::Frame(match response {
            Response::Stream(stream) => return EncodedResponse::Value(stream),
            Response::Value(value) => BytesFrame::BulkString(value),
            Response::Rejected { retry_after: 0 } => BytesFrame::Error("BUSY".into()),
            Response::Rejected { retry_after } => {
                BytesFrame::Error(format!("BUSY {}", retry_after.div_ceil(1000)).into())
            }
            Response::Failed => BytesFrame::Error("ERR failed".into()),
        })
    }
}

/// The replies that a connection still has to write, in the order of its commands.
#[derive(Default)]
pub(crate) struct PendingReplies {
    replies: VecDeque<PendingReply>,
    open_requests: usize,
}

impl PendingReplies {
    /// Appends the reply to the latest command.
    pub(crate) fn push(&mut self, reply: PendingReply) {
        self.open_requests += usize::from(reply.is_open_request());
        self.replies.push_back(reply);
    }

    /// Removes the reply to the oldest command.
    pub(crate) fn pop(&mut self) -> Option<PendingReply> {
        let reply = self.replies.pop_front()?;
        self.open_requests -= usize::from(reply.is_open_request());
        Some(reply)
    }

    /// The number of pending replies.
    pub(crate) fn len(&self) -> usize {
        self.replies.len()
    }

    /// Whether there is no pending reply.
    pub(crate) fn is_empty(&self) -> bool {
        self.replies.is_empty()
    }

    /// The number of open requests that replies are pending for.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests
    }

    /// Waits for the reply to the oldest command, forever if none is pending. If the driver drops a request without a
    /// response, the request has failed.
    ///
    /// # Cancel safety
    ///
    /// Cancel safe: no reply is lost.
    pub(crate) async fn next(&mut self) -> WritableReply {
        let response = match self.replies.front_mut() {
            Some(PendingReply::Request(request)) => {
                Some((&mut request.response).await.unwrap_or(Response::Failed))
            }
            Some(PendingReply::Rejection(response)) => Some(response.await.unwrap_or(Response::Failed)),
            Some(PendingReply::Ready(_) | PendingReply::Value(..)) => None,
            None => pending().await,
        };
        match (self.pop(), response.map(EncodedResponse::from)) {
            (Some(PendingReply::Request(request)), Some(EncodedResponse::Value(stream))) => {
                WritableReply::Value(stream, request)
            }
            (Some(PendingReply::Value(stream, request)), _) => WritableReply::Value(stream, request),
            (Some(PendingReply::Request(request)), Some(EncodedResponse::Frame(frame))) => {
                WritableReply::Frame(FrameReply { frame, deadline: Some(request.deadline) })
            }
            (Some(PendingReply::Ready(frame)), _) | (_, Some(EncodedResponse::Frame(frame))) => {
                WritableReply::Frame(FrameReply { frame, deadline: None })
            }
            (_, _) => pending().await,
        }
    }

    /// Takes the reply to the oldest command if it can be written completely now. The failure of a request that the
    /// driver dropped without a response is left to [`next`](Self::next).
    pub(crate) fn take_ready(&mut self) -> Option<FrameReply> {
        let (frame, deadline) = match self.replies.front_mut()? {
            PendingReply::Ready(frame) => (std::mem::replace(frame, BytesFrame::Null), None),
            PendingReply::Rejection(response) => match EncodedResponse::from(response.try_recv().ok()?) {
                EncodedResponse::Frame(frame) => (frame, None),
                EncodedResponse::Value(_) => return None,
            },
            PendingReply::Request(request) => {
                match EncodedResponse::from(request.response.try_recv().ok()?) {
                    EncodedResponse::Frame(frame) => (frame, Some(request.deadline.clone())),
                    EncodedResponse::Value(stream) => {
                        self.start_value(stream);
                        return None;
                    }
                }
            }
            PendingReply::Value(..) => return None,
        };
        self.pop();
        Some(FrameReply { frame, deadline })
    }

    /// Replaces the oldest pending reply, which is that of a request, by its value, which has started to arrive.
    fn start_value(&mut self, stream: ValueStream) {
        if let Some(PendingReply::Request(request)) = self.replies.pop_front() {
            self.replies.push_front(PendingReply::Value(stream, request));
        }
    }
}
