//! Requests: how they arrive, and every way in which they end.

use std::sync::Arc;
use std::time::Duration;

use stonefold_balancer::{Event, Micros, Request, RequestId};
use tokio::time::Instant;
use tracing::debug;

use super::Driver;
use super::open_request::Open;
use crate::message::{ExcessRequest, IncomingRequest};
use crate::request::{RESPONSE_RESERVE, Response};

impl Driver {
    pub(super) fn arrived(&mut self, arrival: IncomingRequest) {
        let IncomingRequest { id, request: command, received_at: at, response: answer, client } = arrival;
        if client.has_ended() {
            return; // its answer would go nowhere
        }
        let spent = self.now.saturating_duration_since(at) + RESPONSE_RESERVE;
        let request = Request {
            id,
            class: command.metadata_value("c").and_then(|name| self.setup.class(name)),
            tenant: command.metadata_value("t").and_then(|name| self.setup.tenant(name)),
            key: Some(command.key.clone()),
            timeout: command.timeout.saturating_sub(spent.as_micros() as Micros),
            is_write: command.value.is_some(),
        };
        let class = command.metadata_value("c").filter(|_| request.class.is_some());
        let outcomes = class.map(|class| self.metrics.class(class));
        let deadline = self.now + Duration::from_micros(request.timeout);
        let (command, answer) = (Arc::new(command), Some(answer));
        let (attempts, starts) = Default::default();
        let effect = self.setup.settings.idempotency(request.class, request.is_write);
        let open = Open {
            command,
            deadline,
            answer,
            attempts,
            starts,
            effect,
            may_have_run: false,
            answered_at: None,
            client,
            outcomes,
        };
        self.open.insert(id, open);
        self.events.push_back(Event::Request(request));
    }

    /// Refuses a request that is beyond what its connection may have open.
    pub(super) fn refuse(&mut self, surplus: ExcessRequest) {
        let class = surplus.class.as_deref();
        let index = class.and_then(|name| self.setup.class(name));
        if let Some(name) = class.filter(|_| index.is_some()) {
            self.metrics.class(name).rejected.increment();
        }
        let pause = self.balancer.retry_after(index);
        debug!(event = "refused", class, retry_after_us = pause, "a connection has too many requests open");
        let _ = surplus.response.send(Response::Rejected { retry_after: pause }); // the client may have left
    }

    pub(super) fn gone(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id) {
            if open.answer.take().is_some()
                && let Some(ended_at) = open.client.ended_at()
            {
                let late = open.starts.iter().filter(|start| start.after(ended_at)).count();
                self.metrics.record_disconnect(ended_at.elapsed(), late);
            }
            self.events.push_back(Event::ClientDisconnected(id));
            self.stop_unwritten(id);
            self.remove_if_done(id);
        }
    }

    /// The final answer, after which the request may be done with.
    pub(super) fn end(&mut self, id: RequestId, answer: Response) {
        self.answer(id, answer);
        self.stop_unwritten(id);
        self.remove_if_done(id);
    }

    /// The final answer; a second one goes nowhere.
    pub(super) fn answer(&mut self, id: RequestId, answer: Response) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(sender) = open.answer.take() {
            if let Some(outcomes) = &open.outcomes {
                let figure = match &answer {
                    Response::Value(_) | Response::Stream(_) => &outcomes.succeeded,
                    Response::Rejected { retry_after: _ } => &outcomes.rejected,
                    Response::Failed => &outcomes.failed,
                };
                figure.increment();
            }
            open.note_end(&answer);
            open.answered_at = Some(Instant::now());
            let _ = sender.send(answer); // the client may have left
        }
    }

    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        let done = |open: &Open| open.answer.is_none() && open.attempts.iter().all(Option::is_none);
        if self.open.get(&id).is_some_and(done) {
            self.open.remove(&id);
        }
    }
}
