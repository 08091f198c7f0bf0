//! Sending requests over TCP.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use futures_util::future::BoxFuture;
use tokio::time::timeout;

use super::connection::{Connection, HANDSHAKE_TIMEOUT, WireError, lock};
use super::keys::Keys;
use crate::message::{Caller, Introduction, Request, RequestError, Response};
use crate::raft::MemberId;
use crate::replica::Transport;

/// The maximum number of idle connections that are kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// The name of a request in errors.
pub(super) const REQUEST: &str = "a request";
/// The name of a response in errors.
pub(super) const RESPONSE: &str = "a response";

/// Sends requests over TCP, as a member, a client or a subscriber. Clones share the keys, the idle connections and the
/// counter of rejected callers.
#[derive(Clone)]
pub struct TcpTransport(Arc<Inner>);

struct Inner {
    keys: RwLock<Keys>,
    caller: Introduction,
    idle: Mutex<HashMap<String, Vec<Connection>>>,
    rejected_callers: AtomicU64,
}

impl TcpTransport {
    /// Creates the transport of a cluster's member that listens at `addr`.
    pub fn member(keys: Keys, cluster: u128, member: MemberId, addr: String) -> TcpTransport {
        TcpTransport::new(keys, Introduction { cluster, caller: Caller::Member(member), addr })
    }

    /// Creates the transport of a client. `keys` are the members'.
    pub fn client(keys: Keys, cluster: u128) -> TcpTransport {
        TcpTransport::new(keys, Introduction { cluster, caller: Caller::Client, addr: String::new() })
    }

    /// Creates the transport of a subscriber. `keys` are the subscribers'.
    pub fn subscriber(keys: Keys, cluster: u128) -> TcpTransport {
        TcpTransport::new(keys, Introduction { cluster, caller: Caller::Subscriber, addr: String::new() })
    }

    fn new(keys: Keys, caller: Introduction) -> TcpTransport {
        TcpTransport(Arc::new(Inner {
            keys: RwLock::new(keys),
            caller,
            idle: Mutex::default(),
            rejected_callers: AtomicU64::new(0),
        }))
    }

    /// Replaces the keys, for connections in both directions. Established connections stay as they are.
    pub fn set_keys(&self, keys: Keys) {
        *self.0.keys.write().unwrap_or_else(PoisonError::into_inner) = keys;
    }

    /// The number of callers that were rejected, including subscribers whose sessions were ended.
    pub fn rejected_callers(&self) -> u64 {
        self.0.rejected_callers.load(Ordering::Relaxed)
    }

    pub(super) fn count_rejected_caller(&self) {
        self.0.rejected_callers.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn keys(&self) -> Keys {
        self.0.keys.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a request and receives the response, on an idle connection if there is one.
    async fn exchange(&self, addr: &str, request: &Request) -> Result<Response, WireError> {
        let idle = lock(&self.0.idle).get_mut(addr).and_then(Vec::pop);
        if let Some(mut connection) = idle
            && connection.send(REQUEST, request).await.is_ok()
        {
            // The request is not retried if there is no response, because it may have been executed, and only the
            // caller knows whether it is idempotent.
            let response = connection.receive(RESPONSE).await?;
            self.put_back(addr, connection);
            return Ok(response);
        }
        let keys = self.keys();
        let connecting = Connection::connect(addr, &keys, &self.0.caller);
        let connection = timeout(HANDSHAKE_TIMEOUT, connecting).await;
        let mut connection = connection.unwrap_or(Err(WireError::HandshakeTimeout))?;
        connection.send(REQUEST, request).await?;
        let response = connection.receive(RESPONSE).await?;
        self.put_back(addr, connection);
        Ok(response)
    }

    /// Keeps a connection for later requests, unless there are enough idle ones.
    fn put_back(&self, addr: &str, connection: Connection) {
        let mut idle = lock(&self.0.idle);
        let connections = idle.entry(addr.to_owned()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }
}

impl Transport for TcpTransport {
    fn request(
        &self,
        _: MemberId,
        addr: &str,
        request: Request,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Response, RequestError>> {
        let (tcp, addr) = (self.clone(), addr.to_owned());
        Box::pin(async move {
            let reason = match timeout(wait, tcp.exchange(&addr, &request)).await {
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(error)) => format!("{addr}: {error}"),
                Err(_) => format!("{addr}: no answer within {} ms", wait.as_millis()),
            };
            Err(RequestError::Unreachable(reason))
        })
    }
}
