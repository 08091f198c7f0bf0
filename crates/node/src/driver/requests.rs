//! Opens requests, and handles every way in which they end.

use std::sync::Arc;
use std::time::Duration;

use stonefold_balancer::{Event, Idempotency, Micros, Request, RequestId};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

use super::Driver;
use super::open_request::OpenRequest;
use crate::message::{ExcessRequest, IncomingRequest};
use crate::request::{ClientRequest, RESPONSE_RESERVE, Response};

impl Driver {
    /// Opens a request, unless its client has disconnected already.
    pub(super) fn on_request_received(&mut self, incoming: IncomingRequest) {
        let IncomingRequest {
            id,
            request,
            received_at,
            is_crowded,
            response,
            client,
            reservation,
            turn,
            memory,
        } = incoming;
        if client.is_disconnected() {
            return;
        }
        let spent = self.now.saturating_duration_since(received_at) + RESPONSE_RESERVE;
        let event = Request {
            id,
            class: request.class_name().and_then(|name| self.settings.class(name)),
            tenant: request.tenant_name().and_then(|name| self.settings.tenant(name)),
            key: Some(request.key.clone()),
            timeout: request.timeout.saturating_sub(spent.as_micros() as Micros),
            is_write: request.value.is_some(),
            is_crowded,
        };
        let idempotency = self.settings.settings.idempotency(event.class, event.is_write);
        if idempotency != Idempotency::Idempotent && !self.write_ids.claim(&request.id) {
            return self.fail_repeated(&request, response);
        }
        let class = request.class_name().filter(|_| event.class.is_some());
        let open = OpenRequest {
            outcomes: class.map(|class| self.metrics.class(class)),
            deadline: self.now + Duration::from_micros(event.timeout),
            request: Arc::new(request),
            response: Some(response),
            attempts: Vec::new(),
            idempotency,
            may_have_run: false,
            responded_at: None,
            client,
            reservation,
            turn,
            _memory: memory,
        };
        self.open_requests.insert(id, open);
        self.events.push_back(Event::Request(event));
    }

    /// Fails a write whose id came before: it may have been executed then.
    fn fail_repeated(&self, request: &ClientRequest, response: oneshot::Sender<Response>) {
        self.metrics.repeated_writes.increment();
        if let Some(name) = request.class_name().filter(|name| self.settings.class(name).is_some()) {
            self.metrics.class(name).failed.increment();
        }
        debug!(event = "write_repeated", request = %request.id_text(), "a write has come again under the same id");
        let _ = response.send(Response::Failed); // the client may have disconnected
    }

    /// Rejects a request that its session has not opened, because the connection has too many open requests or there was
    /// no memory for the command.
    pub(super) fn reject_excess(&mut self, excess: ExcessRequest) {
        let class = excess.class.as_deref();
        let index = class.and_then(|name| self.settings.class(name));
        if let Some(name) = class.filter(|_| index.is_some()) {
            self.metrics.class(name).rejected.increment();
        }
        let retry_after = self.balancer.retry_after(index);
        debug!(
            event = "request_rejected",
            class,
            retry_after_us = retry_after,
            "a request was not opened: too many are open on its connection, or there was no memory"
        );
        let _ = excess.response.send(Response::Rejected { retry_after }); // the client may have disconnected
    }

    /// Ends a request whose client has disconnected.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        open.reservation.release();
        if open.response.take().is_some()
            && let Some(disconnected_at) = open.client.disconnected_at()
        {
            let attempts = open.attempts.iter();
            let late_attempts = attempts.filter(|attempt| attempt.start.is_after(disconnected_at)).count();
            self.metrics.record_disconnect(disconnected_at.elapsed(), late_attempts);
        }
        self.events.push_back(Event::ClientDisconnected(id));
        self.stop_unwritten_attempts(id);
        self.remove_if_done(id);
    }

    /// Sends the final response, and drops the request if no attempt is in flight.
    pub(super) fn finish(&mut self, id: RequestId, response: Response) {
        self.respond(id, response);
        self.stop_unwritten_attempts(id);
        self.remove_if_done(id);
    }

    /// Sends the final response, unless one was sent already.
    pub(super) fn respond(&mut self, id: RequestId, response: Response) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let Some(sender) = open.response.take() else { return };
        if let Some(outcomes) = &open.outcomes {
            let outcome = match &response {
                Response::Value(_) | Response::Stream(_) => &outcomes.succeeded,
                Response::Rejected { .. } => &outcomes.rejected,
                Response::Failed => &outcomes.failed,
            };
            outcome.increment();
        }
        open.log_response(&response);
        open.responded_at = Some(Instant::now());
        open.reservation.release();
        let _ = sender.send(response); // the client may have disconnected
    }

    /// Drops a request that is done.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        if !self.open_requests.get(&id).is_some_and(OpenRequest::is_done) {
            return;
        }
        let removed = self.open_requests.remove(&id);
        if let Some(open) = removed.filter(OpenRequest::was_never_executed) {
            self.write_ids.release(&open.request.id);
        }
    }
}
