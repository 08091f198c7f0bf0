//! What the driver keeps of each request, and its clock.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stonefold_balancer::{Idempotency, Micros};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::time::delay_queue;
use tracing::debug;

use crate::metrics::Outcomes;
use crate::presence::Presence;
use crate::request::{ClientRequest, Response};
use crate::upstream::send_permit::SendStart;

/// A request that is owed an answer or has an attempt out.
pub struct Open {
    pub command: Arc<ClientRequest>,
    /// Until when its client waits, less [`RESPONSE_RESERVE`](crate::request::RESPONSE_RESERVE).
    pub deadline: Instant,
    /// Taken by the final answer.
    pub answer: Option<oneshot::Sender<Response>>,
    /// By their numbers; nothing once an attempt has ended.
    pub attempts: Vec<Option<Running>>,
    /// Of each of them, whether and when its first byte went out.
    pub starts: Vec<SendStart>,
    /// Whether it may be sent again after it may have run.
    pub effect: Idempotency,
    /// Whether an attempt has ended that may have run.
    pub may_have_run: bool,
    /// When its final answer was given.
    pub answered_at: Option<Instant>,
    pub client: Presence,
    /// Where its end is counted; nowhere for a request of no class.
    pub outcomes: Option<Arc<Outcomes>>,
}

impl Open {
    /// Its id, as the client gave it and as it is passed on.
    pub fn name(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.command.id)
    }

    /// Whether another attempt would break a rule, as far as the node itself knows: what may have run and may not be
    /// repeated.
    pub fn must_not_repeat(&self) -> bool {
        let out = |(running, start): (&Option<Running>, &SendStart)| running.is_some() && start.is_set();
        self.effect == Idempotency::NonIdempotent
            && (self.may_have_run || self.attempts.iter().zip(&self.starts).any(out))
    }

    /// Whether an attempt began after the request's end: its final answer, or the end of its client.
    pub fn began_after_end(&self, attempt: usize) -> bool {
        let Some(start) = self.starts.get(attempt) else { return false };
        let ends = [self.answered_at, self.client.ended_at()];
        ends.into_iter().flatten().any(|end| start.after(end))
    }

    /// What is said of a request that was not served.
    pub fn note_end(&self, answer: &Response) {
        let (event, retry_after_us) = match answer {
            Response::Value(_) | Response::Stream(_) => return,
            Response::Rejected { retry_after: wait } => ("refused", *wait),
            Response::Failed => ("failed", 0),
        };
        debug!(event, class = self.command.metadata_value("c"), tenant = self.command.metadata_value("t"),
            request = %self.name(), attempts = self.attempts.len(), retry_after_us,
            "a request is not served");
    }
}

pub struct Running {
    pub sent: Instant,
    pub task: AbortHandle,
    /// When it is given up; nothing once its value has begun to come.
    pub timer: Option<delay_queue::Key>,
    /// After what time its value began to come.
    pub coming: Option<Duration>,
}

/// Time since 1970, which never goes back.
pub struct Clock {
    start: Instant,
    offset: Duration,
}

impl Clock {
    pub fn new() -> Self {
        let offset = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), offset }
    }

    /// A time of this clock on the monotonic one.
    pub fn instant(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(time).saturating_sub(self.offset)
    }

    /// A time of the monotonic clock on this one.
    pub fn at(&self, time: Instant) -> Micros {
        (self.offset + time.saturating_duration_since(self.start)).as_micros() as Micros
    }
}
