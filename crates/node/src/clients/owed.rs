//! Answers that are owed on one connection, in the order of its commands.

use std::collections::{HashSet, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::encode::extend_encode;
use redis_protocol::resp2::types::BytesFrame;
use stonefold_balancer::RequestId;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::invariants::{ANSWER_SLACK, Invariant, Violations};
use crate::metrics::InFlight;
use crate::relay::{Room, Stream};
use crate::request::Response;

/// What goes out at once, or the value that comes by and by.
pub fn outgoing(answer: Response) -> Result<BytesFrame, Stream> {
    Ok(match answer {
        Response::Stream(stream) => return Err(stream),
        Response::Value(value) => BytesFrame::BulkString(value),
        Response::Rejected { retry_after: 0 } => BytesFrame::Error("BUSY".into()),
        Response::Rejected { retry_after: wait } => {
            BytesFrame::Error(format!("BUSY {}", wait.div_ceil(1000)).into())
        }
        Response::Failed => BytesFrame::Error("ERR failed".into()),
    })
}

pub fn encode(text: &mut BytesMut, frame: &BytesFrame) {
    // Fails only for frames that RESP2 lacks; none of ours.
    let _ = extend_encode(text, frame, false);
}

/// The id of an open request, free again when it is dropped.
pub struct OpenId {
    id: Bytes,
    all: Arc<Mutex<HashSet<Bytes>>>,
}

impl OpenId {
    pub fn take(id: &Bytes, all: &Arc<Mutex<HashSet<Bytes>>>) -> Option<OpenId> {
        let new = all.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        new.then(|| OpenId { id: id.clone(), all: all.clone() })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.all.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}

/// An open request's part of the memory that all share.
pub struct Held {
    bytes: usize,
    all: Arc<AtomicUsize>,
}

impl Held {
    pub fn new(bytes: usize, all: &Arc<AtomicUsize>) -> Held {
        all.fetch_add(bytes, Ordering::Relaxed);
        Held { bytes, all: all.clone() }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Until when an answer is awaited.
#[derive(Clone)]
pub struct Due {
    pub at: Instant,
    /// The request's id as its client gave it.
    pub request: Bytes,
}

impl Due {
    /// Checks an answer whose last byte was written now.
    pub fn check(&self, violations: &Violations) {
        if Instant::now() > self.at + ANSWER_SLACK {
            violations.record(Invariant::AnswerInTime, &self.request);
        }
    }
}

/// A request that waits for its answer.
pub struct Pending {
    pub id: RequestId,
    /// Until when its client waits, and its id as the client gave it.
    pub due: Due,
    pub answer: oneshot::Receiver<Response>,
    pub _open_id: OpenId,
    pub _held: Held,
    /// The room of a value that is not small: it is held until it is no longer of use.
    pub _room: Option<Room>,
    pub _in_flight: InFlight,
}

/// An answer that is owed, in the order of the commands.
pub enum Owed {
    Ready(BytesFrame),
    Waiting(Pending),
    /// The refusal of a request that was never begun.
    Refused(oneshot::Receiver<Response>),
    /// A value that has begun to come.
    Coming(Stream, Pending),
}

impl Owed {
    /// Whether its request is open.
    pub fn is_open(&self) -> bool {
        matches!(self, Owed::Waiting(_) | Owed::Coming(..))
    }
}

/// What goes out next.
pub enum Outgoing {
    /// An answer, and when it is due if that is known.
    Frame(BytesFrame, Option<Due>),
    /// Its request is open until it has gone.
    Value(Stream, Pending),
}

/// The next answer in order. Cancelled between, it loses nothing.
pub async fn next(owed: &mut VecDeque<Owed>) -> Outgoing {
    let answer = match owed.front_mut() {
        Some(Owed::Waiting(pending)) => Some((&mut pending.answer).await.unwrap_or(Response::Failed)),
        Some(Owed::Refused(answer)) => Some(answer.await.unwrap_or(Response::Failed)),
        Some(Owed::Ready(_) | Owed::Coming(..)) => None,
        None => std::future::pending().await,
    };
    match (owed.pop_front(), answer.map(outgoing)) {
        (Some(Owed::Waiting(pending)), Some(Err(stream))) => Outgoing::Value(stream, pending),
        (Some(Owed::Coming(stream, pending)), _) => Outgoing::Value(stream, pending),
        (Some(Owed::Waiting(pending)), Some(Ok(frame))) => Outgoing::Frame(frame, Some(pending.due)),
        (Some(Owed::Ready(frame)), _) | (_, Some(Ok(frame))) => Outgoing::Frame(frame, None),
        (_, _) => std::future::pending().await,
    }
}
