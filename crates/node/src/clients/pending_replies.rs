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
use crate::memory_budget::{BufferedValue, MemoryPermit};
use crate::metrics::InFlightGuard;
use crate::relay::ValueStream;
use crate::reply_turn::ReplyTurn;
use crate::request::Response;

/// The text of the error that tells a client that its request has failed.
pub(crate) const FAILED_TEXT: &str = "ERR failed";

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

/// The memory that is accounted for an open request or a pending reply, released on drop.
pub(crate) struct RequestMemory {
    bytes: usize,
    total: Arc<AtomicUsize>,
}

impl RequestMemory {
    /// Adds `bytes` to `total`, the memory of the open requests and pending replies of all connections.
    pub(crate) fn add(bytes: usize, total: &Arc<AtomicUsize>) -> Arc<RequestMemory> {
        total.fetch_add(bytes, Ordering::Relaxed);
        Arc::new(RequestMemory { bytes, total: total.clone() })
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
    pub(crate) memory: Arc<RequestMemory>,
    /// Told when the reply is the next one of the connection.
    pub(crate) turn: ReplyTurn,
    pub(crate) _in_flight: InFlightGuard,
}

/// A reply that has not been written yet.
pub(crate) enum PendingReply {
    /// A complete reply that does not come from the driver, such as an error.
    Ready(BytesFrame, Arc<RequestMemory>),
    /// The reply to a request.
    Request(UnansweredRequest),
    /// The rejection of a request that is never opened, because the connection has too many open ones.
    Rejection(oneshot::Receiver<Response>, Arc<RequestMemory>),
    /// A value that has started to arrive from a server.
    Value(ValueStream, UnansweredRequest),
}

impl PendingReply {
    fn is_open_request(&self) -> bool {
        matches!(self, PendingReply::Request(_) | PendingReply::Value(..))
    }
}

/// The memory that is accounted for a reply until it has been written.
pub(crate) struct ReplyMemory {
    _request: Arc<RequestMemory>,
    _value: Option<MemoryPermit>,
}

/// A complete reply.
pub(crate) struct FrameReply {
    pub(crate) frame: BytesFrame,
    pub(crate) memory: ReplyMemory,
    /// The deadline of the request that this is the reply to, if it is one.
    pub(crate) deadline: Option<ReplyDeadline>,
}

impl FrameReply {
    /// The reply to a request. `permit` is for the memory of its value.
    fn to_request(
        frame: BytesFrame,
        deadline: ReplyDeadline,
        memory: Arc<RequestMemory>,
        permit: Option<MemoryPermit>,
    ) -> FrameReply {
        let memory = ReplyMemory { _request: memory, _value: permit };
        FrameReply { frame, memory, deadline: Some(deadline) }
    }

    /// A reply that is not to a request, such as an error.
    fn without_request(frame: BytesFrame, memory: Arc<RequestMemory>) -> FrameReply {
        FrameReply { frame, memory: ReplyMemory { _request: memory, _value: None }, deadline: None }
    }
}

/// A reply whose writing can start.
pub(crate) enum WritableReply {
    Frame(FrameReply),
    /// A value that is still arriving. Its request stays open until the value has been written.
    Value(ValueStream, UnansweredRequest),
}

/// A response in the form in which it is sent over RESP2.
enum EncodedResponse {
    /// A complete frame, and the permit for the memory of its value.
    Frame(BytesFrame, Option<MemoryPermit>),
    Value(ValueStream),
}

impl From<Response> for EncodedResponse {
    fn from(response: Response) -> EncodedResponse {
        let error = match response {
            Response::Stream(stream) => return EncodedResponse::Value(stream),
            Response::Value(BufferedValue { bytes, permit }) => {
                return EncodedResponse::Frame(BytesFrame::BulkString(bytes), permit);
            }
            Response::Rejected { retry_after: 0 } => "BUSY".into(),
            Response::Rejected { retry_after } => format!("BUSY {}", retry_after.div_ceil(1000)).into(),
            Response::Failed => FAILED_TEXT.into(),
        };
        EncodedResponse::Frame(BytesFrame::Error(error), None)
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
            Some(PendingReply::Rejection(response, _)) => Some(response.await.unwrap_or(Response::Failed)),
            Some(PendingReply::Ready(..) | PendingReply::Value(..)) => None,
            None => pending().await,
        };
        match (self.pop(), response.map(EncodedResponse::from)) {
            (Some(PendingReply::Request(request)), Some(EncodedResponse::Value(stream))) => {
                WritableReply::Value(stream, request)
            }
            (Some(PendingReply::Value(stream, request)), _) => WritableReply::Value(stream, request),
            (Some(PendingReply::Request(request)), Some(EncodedResponse::Frame(frame, permit))) => {
                WritableReply::Frame(FrameReply::to_request(frame, request.deadline, request.memory, permit))
            }
            (Some(PendingReply::Rejection(_, memory)), Some(EncodedResponse::Frame(frame, _)))
            | (Some(PendingReply::Ready(frame, memory)), _) => {
                WritableReply::Frame(FrameReply::without_request(frame, memory))
            }
            (_, _) => pending().await,
        }
    }

    /// Takes the reply to the oldest command if it can be written completely now. The failure of a request that the
    /// driver dropped without a response is left to [`next`](Self::next).
    pub(crate) fn take_ready(&mut self) -> Option<FrameReply> {
        let reply = match self.replies.front_mut()? {
            PendingReply::Ready(frame, memory) => {
                FrameReply::without_request(std::mem::replace(frame, BytesFrame::Null), memory.clone())
            }
            PendingReply::Rejection(response, memory) => {
                match EncodedResponse::from(response.try_recv().ok()?) {
                    EncodedResponse::Frame(frame, _) => FrameReply::without_request(frame, memory.clone()),
                    EncodedResponse::Value(_) => return None,
                }
            }
            PendingReply::Request(request) => {
                match EncodedResponse::from(request.response.try_recv().ok()?) {
                    EncodedResponse::Frame(frame, permit) => {
                        let (deadline, memory) = (request.deadline.clone(), request.memory.clone());
                        FrameReply::to_request(frame, deadline, memory, permit)
                    }
                    EncodedResponse::Value(stream) => {
                        self.start_value(stream);
                        return None;
                    }
                }
            }
            PendingReply::Value(..) => return None,
        };
        self.pop();
        Some(reply)
    }

    /// Tells the request of the oldest pending reply that it is the next one, if it is a request. To be called once the
    /// reply before it has been written.
    pub(crate) fn begin_turn(&mut self) {
        if let Some(PendingReply::Request(request)) = self.replies.front() {
            request.turn.begin();
        }
    }

    /// Replaces the oldest pending reply, which is that of a request, by its value, which has started to arrive.
    fn start_value(&mut self, stream: ValueStream) {
        if let Some(PendingReply::Request(request)) = self.replies.pop_front() {
            self.replies.push_front(PendingReply::Value(stream, request));
        }
    }
}
