//! What the driver stores for each open request.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use stonefold_balancer::Idempotency;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::time::delay_queue;
use tracing::debug;

use crate::client_status::ClientStatus;
use crate::clients::RequestMemory;
use crate::memory_budget::ReplyReservation;
use crate::metrics::OutcomeCounters;
use crate::reply_turn::ReplyTurn;
use crate::request::{ClientRequest, Response};
use crate::upstream::reply_identity::RequestIdentity;
use crate::upstream::send_permit::SendStart;

/// A request that has no response yet, or has an attempt in flight.
pub(crate) struct OpenRequest {
    pub(crate) request: Arc<ClientRequest>,
    /// The end of the client's timeout, less [`RESPONSE_RESERVE`](crate::request::RESPONSE_RESERVE).
    pub(crate) deadline: Instant,
    /// Where the final response goes; `None` once it was sent.
    pub(crate) response: Option<oneshot::Sender<Response>>,
    /// All attempts in the order in which they were started. The index is the attempt's number.
    pub(crate) attempts: Vec<AttemptState>,
    /// Whether the request may be repeated after it may have been executed.
    pub(crate) idempotency: Idempotency,
    /// Whether an attempt that has ended may have been executed.
    pub(crate) may_have_run: bool,
    /// When the final response was sent.
    pub(crate) responded_at: Option<Instant>,
    pub(crate) client: ClientStatus,
    /// The memory that was reserved for the reply.
    pub(crate) reservation: ReplyReservation,
    /// Whether the reply is the next one of its connection.
    pub(crate) turn: ReplyTurn,
    /// The memory that is accounted for the request.
    pub(crate) _memory: Arc<RequestMemory>,
    /// Where the outcome is counted; `None` for a request without a class.
    pub(crate) outcomes: Option<Arc<OutcomeCounters>>,
}

/// What the driver knows of an attempt of an open request, in flight or ended.
#[derive(Default)]
pub(crate) struct AttemptState {
    /// When the attempt's first byte was written, if it was.
    pub(crate) start: SendStart,
    /// `None` once the attempt has ended, or if it was never made.
    pub(crate) running: Option<RunningAttempt>,
}

/// An attempt in flight.
pub(crate) struct RunningAttempt {
    pub(crate) started_at: Instant,
    pub(crate) task: AbortHandle,
    /// The timeout; `None` once the value has started to arrive.
    pub(crate) timeout: Option<delay_queue::Key>,
    /// The time from the start until the value started to arrive; `None` unless it is being relayed.
    pub(crate) first_byte_after: Option<Duration>,
}

impl OpenRequest {
    /// The id of the request, as the client gave it and servers get it.
    pub(crate) fn client_id(&self) -> Cow<'_, str> {
        self.request.id_text()
    }

    /// What of the request matters for the replies before and after it on a connection.
    pub(crate) fn identity(&self) -> RequestIdentity {
        RequestIdentity::new(&self.request, self.idempotency)
    }

    /// Whether another attempt is forbidden: the request must not be repeated, and may have been executed.
    pub(crate) fn must_not_repeat(&self) -> bool {
        let may_run = |attempt: &AttemptState| attempt.running.is_some() && attempt.start.is_set();
        self.idempotency == Idempotency::NonIdempotent
            && (self.may_have_run || self.attempts.iter().any(may_run))
    }

    /// Whether the request is a write that no server has executed, so that its id may come again.
    pub(crate) fn was_never_executed(&self) -> bool {
        self.idempotency != Idempotency::Idempotent && !self.may_have_run
    }

    /// Whether the request has its response and no attempt is in flight.
    pub(crate) fn is_done(&self) -> bool {
        self.response.is_none() && self.attempts.iter().all(|attempt| attempt.running.is_none())
    }

    /// Whether the value of an attempt is being relayed.
    pub(crate) fn is_relaying(&self) -> bool {
        let mut running = self.attempts.iter().filter_map(|attempt| attempt.running.as_ref());
        running.any(|running| running.first_byte_after.is_some())
    }

    /// The numbers of the attempts in flight of which nothing has been written.
    pub(crate) fn unwritten_attempts(&self) -> Vec<usize> {
        let attempts = self.attempts.iter().enumerate();
        let unwritten = attempts.filter(|(_, attempt)| attempt.running.is_some() && !attempt.start.is_set());
        unwritten.map(|(number, _)| number).collect()
    }

    /// Whether an attempt was started after the final response, or after the client had disconnected.
    pub(crate) fn started_after_end(&self, attempt: usize) -> bool {
        let Some(attempt) = self.attempts.get(attempt) else { return false };
        let ends = [self.responded_at, self.client.disconnected_at()];
        ends.into_iter().flatten().any(|end| attempt.start.is_after(end))
    }

    /// Logs the final response of a request that was not served.
    pub(crate) fn log_response(&self, response: &Response) {
        let (event, retry_after_us) = match response {
            Response::Value(_) | Response::Stream(_) => return,
            Response::Rejected { retry_after } => ("request_rejected", *retry_after),
            Response::Failed => ("request_failed", 0),
        };
        debug!(event, class = self.request.class_name(), tenant = self.request.tenant_name(),
            request = %self.client_id(), attempts = self.attempts.len(), retry_after_us,
            "request not served");
    }
}
