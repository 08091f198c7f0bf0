//! A server in the endpoint list.

use std::net::SocketAddr;
use std::time::Duration;

use stonefold_balancer::{Endpoint, EndpointState, Micros};
use stonefold_proto::endpoints::ListedServer;
use tokio::time::Instant;
use tracing::info;

use super::idle_pool::IdlePool;
use crate::metrics::Metrics;
use crate::upstream::connection::ServerConnection;
use crate::upstream::reply_history::ReplyHistory;
use crate::upstream::reply_identity::RequestIdentity;
use crate::upstream::send_permit::ServingFlag;

/// A listed server, with its idle connections.
pub(crate) struct Server {
    name: String,
    addr: SocketAddr,
    /// Whether it may be sent requests, shared with the attempts at this address.
    serving: ServingFlag,
    /// Unix time of the last start as the server was last listed, in milliseconds.
    started_ms: f64,
    /// The server as it was last reported to the balancer.
    endpoint: Endpoint,
    /// Whether the start was converted from the first list by our wall clock, which may be ahead.
    has_uncertain_start: bool,
    idle: IdlePool,
}

impl Server {
    /// Creates a server that was not listed before.
    pub(crate) fn new(listed: &ListedServer, endpoint: &Endpoint, has_uncertain_start: bool) -> Server {
        log_change(listed);
        Server {
            name: listed.id.clone(),
            addr: listed.addr,
            serving: ServingFlag::new(),
            started_ms: listed.started_ms,
            endpoint: endpoint.clone(),
            has_uncertain_start,
            idle: IdlePool::default(),
        }
    }

    /// Applies a later entry of the server. `may_stay_uncertain` is false if its start does not depend on our wall
    /// clock.
    pub(crate) fn update(&mut self, listed: &ListedServer, endpoint: &Endpoint, may_stay_uncertain: bool) {
        self.has_uncertain_start &= may_stay_uncertain;
        if self.addr != listed.addr {
            self.addr = listed.addr;
            // Another server may use the old address now, so attempts that are connecting to it must send nothing.
            self.stop_attempts();
            self.serving = ServingFlag::new();
            self.idle.close_all();
        }
        if self.started_ms != listed.started_ms {
            // The connections are to the process that was there before. If its machine vanished, they look open.
            self.idle.close_all();
        }
        if self.endpoint.state != endpoint.state || self.started_ms != listed.started_ms {
            log_change(listed);
        }
        self.started_ms = listed.started_ms;
        self.endpoint = endpoint.clone();
    }

    /// Moves an uncertain start later by `clock_ahead`. Returns the endpoint if its start has changed.
    pub(crate) fn correct_start(&mut self, clock_ahead: Micros) -> Option<Endpoint> {
        if !self.has_uncertain_start {
            return None;
        }
        self.has_uncertain_start = false;
        let started_at = self.endpoint.started_at?;
        self.endpoint.started_at = Some(started_at.saturating_add(clock_ahead));
        Some(self.endpoint.clone())
    }

    /// Prevents attempts in progress from starting to send.
    pub(crate) fn stop_attempts(&self) {
        self.serving.set(false);
    }

    /// Allows requests to the server if the list states that it is up and operators have not disabled it. Otherwise
    /// forbids them and closes the idle connections.
    pub(crate) fn update_serving(&mut self, is_disabled: bool) {
        let serving = self.endpoint.state == EndpointState::Up && !is_disabled;
        self.serving.set(serving);
        if !serving {
            self.idle.close_all();
        }
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(crate) fn is_origin(&self) -> bool {
        self.endpoint.is_origin
    }

    /// The state as it was last listed.
    pub(crate) fn state(&self) -> EndpointState {
        self.endpoint.state
    }

    /// Unix time of the last start as the server was last listed, in milliseconds.
    pub(crate) fn started_ms(&self) -> f64 {
        self.started_ms
    }

    /// The last start on the driver's clock; `None` if it was long ago.
    pub(crate) fn started_at(&self) -> Option<Micros> {
        self.endpoint.started_at
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.serving.is_serving()
    }

    pub(crate) fn serving_flag(&self) -> ServingFlag {
        self.serving.clone()
    }

    /// Takes an idle connection on which a request can be sent.
    pub(crate) fn take_idle(
        &mut self,
        request: &RequestIdentity,
        replies: &ReplyHistory,
        now: Instant,
        max_idle_time: Duration,
        metrics: &Metrics,
    ) -> Option<ServerConnection> {
        self.idle.take(&self.name, request, replies, now, max_idle_time, metrics)
    }

    pub(crate) fn add_idle(&mut self, now: Instant, connection: ServerConnection) {
        self.idle.add(now, connection);
    }

    pub(crate) fn close_idle(&mut self) {
        self.idle.close_all();
    }

    /// Closes idle connections that are too old, or that cannot be reused.
    pub(crate) fn close_expired(&mut self, now: Instant, max_idle_time: Duration, metrics: &Metrics) {
        self.idle.close_expired(&self.name, now, max_idle_time, metrics);
    }

    pub(crate) fn idle_connections(&self) -> usize {
        self.idle.len()
    }

    /// When the connection that has been idle for longest became idle; `None` if there is no idle connection.
    pub(crate) fn longest_idle_since(&self) -> Option<Instant> {
        self.idle.longest_idle_since()
    }

    /// Closes the connection that has been idle for longest.
    pub(crate) fn close_oldest(&mut self) {
        self.idle.close_oldest();
    }
}

fn log_change(listed: &ListedServer) {
    info!(event = "server_listed", server = listed.id, at = %listed.addr, zone = listed.zone,
        kind = listed.kind, state = ?listed.state, started_ms = listed.started_ms,
        "a server is new or has changed");
}
