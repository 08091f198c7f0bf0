//! A simulated node: its balancer, and the translation between messages of the protocol and events and actions of the
//! balancer.

use serde::de::IgnoredAny;
use stonefold_balancer::settings_document::{ResolvedSettings, micros_from_millis};
use stonefold_balancer::{
    Action, AttemptEnd, AttemptId, Balancer, Endpoint, EndpointState, EndpointUpdate, Event, Micros, Outcome,
    Request, RequestId, ServerId,
};

use crate::error::AdapterErrorKind;
use crate::messages::{
    AttemptEnded, EndpointList, InstanceStarted, ListedEndpoint, NameOrNumber, Output, RequestReceived,
};

/// The cache status of an attempt that found the value in the cache.
const CACHE_HIT: u32 = 1;

/// A balancer, and its settings, which map the protocol's names to indices.
pub(crate) struct Instance {
    balancer: Balancer,
    settings: ResolvedSettings,
}

impl Instance {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be used.
    pub(crate) fn new(started: InstanceStarted, now: Micros) -> Result<Instance, AdapterErrorKind> {
        let settings = ResolvedSettings::try_from(started.settings).map_err(AdapterErrorKind::Settings)?;
        Ok(Instance { balancer: Balancer::new(settings.settings.clone(), started.seed, now), settings })
    }

    /// Reports an event to the balancer, whose actions are appended to `actions`. If the balancer
    /// panics, returns the panic's message.
    pub(crate) fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) -> Option<String> {
        let decide = || self.balancer.on_event(now, event, actions);
        let panic = std::panic::catch_unwind(std::panic::AssertUnwindSafe(decide)).err()?;
        Some(panic_message(&*panic))
    }

    /// Translates an endpoint list to an event.
    ///
    /// # Errors
    ///
    /// Fails if its scope or the state of a server is unknown.
    pub(crate) fn endpoint_list(&mut self, list: EndpointList) -> Result<Event, AdapterErrorKind> {
        let update = match &*list.scope {
            "delta" => EndpointUpdate::Delta,
            "full" | "cached" => EndpointUpdate::Full,
            "failed" => EndpointUpdate::Failed,
            other => return Err(AdapterErrorKind::UnknownScope(other.to_owned())),
        };
        let mut endpoints = Vec::with_capacity(list.endpoints.len());
        for endpoint in list.endpoints {
            endpoints.push(self.endpoint(endpoint)?);
        }
        Ok(Event::Endpoints { update, endpoints })
    }

    fn endpoint(&mut self, endpoint: ListedEndpoint) -> Result<Endpoint, AdapterErrorKind> {
        let state = match &*endpoint.state {
            "up" => EndpointState::Up,
            "draining" => EndpointState::Draining,
            "removed" => EndpointState::Removed,
            other => return Err(AdapterErrorKind::UnknownServerState(other.to_owned())),
        };
        let is_origin = self.settings.is_origin(&endpoint.machine_type);
        Ok(Endpoint {
            id: ServerId(endpoint.server),
            state,
            zone: self.settings.zone(endpoint.zone),
            cell: endpoint.cell,
            machine_type: self.settings.machine_type(endpoint.machine_type),
            weight: endpoint.weight.unwrap_or(1.0),
            started_at: endpoint.started.filter(|&started| started > 0.0).map(micros_from_millis),
            is_origin,
        })
    }

    /// Translates a request to an event.
    pub(crate) fn request(&self, request: RequestReceived) -> Event {
        let tenant = match request.tenant {
            Some(NameOrNumber::Name(name)) => self.settings.tenant(&name),
            Some(NameOrNumber::Number(IgnoredAny)) | None => None,
        };
        Event::Request(Request {
            id: RequestId(request.request),
            class: self.settings.class(&request.class),
            tenant,
            key: request.key,
            timeout: micros_from_millis(request.timeout),
            is_write: request.write.unwrap_or(false),
            is_crowded: false, // the simulator does not tell which connection a request came on
        })
    }
}

/// Translates the end of an attempt to an event.
///
/// # Errors
///
/// Fails if its outcome is unknown.
pub(crate) fn attempt_ended(ended: AttemptEnded) -> Result<Event, AdapterErrorKind> {
    let outcome = match &*ended.outcome {
        "Ok" => Outcome::Success,
        "Failed" => Outcome::ServerError,
        "QueueFull" => Outcome::Rejected,
        "TimedOut" => Outcome::TimedOut,
        "ConnectError" => Outcome::ConnectFailed,
        "ResetByPeer" => Outcome::ConnectionReset,
        "Canceled" => Outcome::Canceled,
        "Ignored" => Outcome::NotSent,
        "Miss" => Outcome::CacheMiss,
        other => return Err(AdapterErrorKind::UnknownOutcome(other.to_owned())),
    };
    let cache_status = ended.cache_status.filter(|&status| status > 0);
    Ok(Event::AttemptEnded(AttemptEnd {
        attempt: AttemptId::new(RequestId(ended.request), ended.attempt),
        outcome,
        elapsed: micros_from_millis(ended.elapsed),
        settled: ended.settled.unwrap_or(false),
        cache_hit: cache_status.map(|status| status == CACHE_HIT),
        utilization: ended.load.and_then(|load| load.utilization),
        bytes_sent: true, // the protocol does not report it
    }))
}

/// Translates an action to a line of output.
pub(crate) fn output(instance: u64, action: Action) -> Output {
    match action {
        Action::Send { request, server, timeout, .. } => {
            Output::StartAttempt { instance, request: request.0, server: server.0, timeout: millis(timeout) }
        }
        Action::Cancel(AttemptId { request, number }) => {
            Output::CancelAttempt { instance, request: request.0, attempt: number }
        }
        Action::Reject { request, retry_after } => {
            Output::Reject { instance, request: request.0, retry_after: millis(retry_after) }
        }
        Action::Fail(request) => Output::Fail { instance, request: request.0 },
        Action::SetTimer { after, token } => {
            Output::SetTimer { instance, after: millis(after), token: token.0.to_string() }
        }
        Action::WatchEndpoints => Output::WatchEndpoints { instance, active: true },
        Action::CloseIdleConnections(server) => Output::CloseIdleConnections { instance, server: server.0 },
    }
}

fn millis(time: Micros) -> f64 {
    time as f64 / 1000.0
}

fn panic_message(panic: &(dyn std::any::Any + Send)) -> String {
    if let Some(message) = panic.downcast_ref::<&str>() {
        return (*message).to_owned();
    }
    match panic.downcast_ref::<String>() {
        Some(message) => message.clone(),
        None => "the decisions panicked".into(),
    }
}
