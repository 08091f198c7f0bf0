//! The store's server, of a member or a relay: it authenticates callers, admits them, and serves them.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tracing::warn;

use super::connection::{Connection, HANDSHAKE_TIMEOUT, INTRODUCTION, INTRODUCTION_ANSWER, WireError, lock};
use super::limiter::{ConnectionLimiter, MAX_SUBSCRIBERS};
use super::publish::{FeedSource, ReplicaSource, publish};
use super::tcp::{REQUEST, RESPONSE, TcpTransport};
use crate::feed::frame::SessionRejection;
use crate::feed::publisher::SessionLimits;
use crate::members::{MembersError, admit};
use crate::message::{Caller, Introduction, Request};
use crate::replica::{Replica, Transport};
use crate::state::limits::MAX_NAME_BYTES;

/// The pause after an error of accepting a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a server offers to authenticated callers.
trait Service: Clone + Send + Sync + 'static {
    /// Decides whether a caller is admitted.
    fn admit(&self, caller: &Introduction) -> Result<(), MembersError>;
    /// Serves an admitted caller until it disconnects. An error counts as a rejection of the caller.
    fn serve(
        &self,
        connection: Connection,
        caller: Introduction,
    ) -> impl Future<Output = Result<(), WireError>> + Send;
}

/// Serves the callers of a member until `stop` is cancelled. `tcp` has the members' keys.
pub async fn serve<T: Transport>(
    listener: TcpListener,
    replica: Replica<T>,
    tcp: TcpTransport,
    stop: CancellationToken,
) {
    let source = ReplicaSource::new(replica.clone());
    accept_callers(listener, MemberService { replica, source }, tcp, stop).await;
}

/// Serves the subscribers of a relay until `stop` is cancelled. `tcp` has the subscribers' keys.
pub async fn serve_relay<S: FeedSource>(
    listener: TcpListener,
    source: S,
    tcp: TcpTransport,
    limits: SessionLimits,
    stop: CancellationToken,
) {
    accept_callers(listener, RelayService { source, limits }, tcp, stop).await;
}

/// Accepts connections and serves each on a task of its own, until `stop` is cancelled.
async fn accept_callers<S: Service>(
    listener: TcpListener,
    service: S,
    tcp: TcpTransport,
    stop: CancellationToken,
) {
    let server = StoreServer { service, tcp, limiter: Arc::default(), start: Instant::now() };
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, from)) if server.admits(from.ip()) => {
                let (server, stop) = (server.clone(), stop.clone());
                tokio::spawn(async move { server.serve(stream, from, stop).await });
            }
            Ok(_) => {}
            Err(error) => {
                warn!(event = "accept_failed", front = "store", %error, "a connection is not accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// The state that the connections of a listener share.
#[derive(Clone)]
struct StoreServer<S> {
    service: S,
    tcp: TcpTransport,
    limiter: Arc<Mutex<ConnectionLimiter>>,
    start: Instant,
}

impl<S: Service> StoreServer<S> {
    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Decides whether a connection from an address is admitted. Rejections are logged whenever their number is a power
    /// of two.
    fn admits(&self, from: IpAddr) -> bool {
        let mut limiter = lock(&self.limiter);
        if limiter.admit(from, self.now_ms()) {
            return true;
        }
        let rejected = limiter.rejected_connections;
        drop(limiter);
        if rejected.is_power_of_two() {
            warn!(
                event = "store_connections_rejected",
                rejected,
                "connections to the store are closed unread: too many connections or failed callers"
            );
        }
        false
    }

    /// Serves a connection until it ends or `stop` is cancelled, and counts the caller if it is rejected.
    async fn serve(&self, stream: TcpStream, from: SocketAddr, stop: CancellationToken) {
        let permit =
            ConnectionPermit { limiter: self.limiter.clone(), is_subscriber: AtomicBool::new(false) };
        let served = tokio::select! {
            () = stop.cancelled() => Ok(()),
            served = self.serve_caller(stream, &permit) => served,
        };
        drop(permit);
        let Err(error) = served else { return };
        self.tcp.count_rejected_caller();
        let mut limiter = lock(&self.limiter);
        // An authenticated caller that is not admitted doesn't count towards a ban: a removed member still has the key
        // and reconnects repeatedly, and other members at the same address must not be banned because of it. A caller
        // that is silent for too long counts, whether it is authenticated or not.
        if matches!(error, WireError::Handshake(_) | WireError::HandshakeTimeout) {
            limiter.on_failure(from.ip(), self.now_ms());
        }
        if let Some(rejected) = limiter.on_rejected(&error.to_string()) {
            warn!(event = "store_caller_rejected", %from, %error, rejected, "the store rejects a caller");
        }
    }

    /// Authenticates and admits a caller, and serves it. An error counts as a rejection of the caller.
    async fn serve_caller(&self, stream: TcpStream, permit: &ConnectionPermit) -> Result<(), WireError> {
        let keys = self.tcp.keys();
        let accepting = timeout(HANDSHAKE_TIMEOUT, Connection::accept(stream, &keys));
        let mut connection = match accepting.await.unwrap_or(Err(WireError::HandshakeTimeout)) {
            Err(WireError::Io(_)) => return Ok(()), // the caller has disconnected, perhaps without sending anything
            connection => connection?,
        };
        let receiving = timeout(HANDSHAKE_TIMEOUT, connection.receive::<Introduction>(INTRODUCTION));
        let caller = match receiving.await {
            Ok(Err(WireError::Io(_))) => return Ok(()),
            caller => caller.unwrap_or(Err(WireError::HandshakeTimeout))?,
        };
        if caller.addr.len() > MAX_NAME_BYTES {
            return Err(WireError::Rejected("an address that is too long".into()));
        }
        let admitted = self.admit_caller(&caller, connection.has_subscriber_key, permit);
        connection.send(INTRODUCTION_ANSWER, &admitted).await?;
        admitted.map_err(WireError::Rejected)?;
        self.service.serve(connection, caller).await
    }

    /// Decides whether a caller is admitted. An error is the reason why not, which is sent to the caller.
    fn admit_caller(
        &self,
        caller: &Introduction,
        has_subscriber_key: bool,
        permit: &ConnectionPermit,
    ) -> Result<(), String> {
        let is_subscriber = caller.caller == Caller::Subscriber;
        if has_subscriber_key && !is_subscriber {
            return Err("a subscriber's key is one to follow with, and no more".to_owned());
        }
        self.service.admit(caller).map_err(|error| error.to_string())?;
        if is_subscriber && !permit.admit_subscriber() {
            return Err(SessionRejection::SubscriberLimitReached(MAX_SUBSCRIBERS as u64).to_string());
        }
        Ok(())
    }
}

/// An admitted connection, which the limiter counts until this is dropped.
struct ConnectionPermit {
    limiter: Arc<Mutex<ConnectionLimiter>>,
    is_subscriber: AtomicBool,
}

impl ConnectionPermit {
    /// Counts the connection as a subscriber's. Returns false if there are too many subscribers.
    fn admit_subscriber(&self) -> bool {
        let is_admitted = lock(&self.limiter).admit_subscriber();
        self.is_subscriber.store(is_admitted, Ordering::Relaxed);
        is_admitted
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut limiter = lock(&self.limiter);
        if self.is_subscriber.load(Ordering::Relaxed) {
            limiter.on_subscriber_closed();
        } else {
            limiter.on_closed();
        }
    }
}

/// The service of a member, which answers requests and serves subscribers.
struct MemberService<T> {
    replica: Replica<T>,
    source: ReplicaSource<T>,
}

impl<T: Transport> Clone for MemberService<T> {
    fn clone(&self) -> MemberService<T> {
        MemberService { replica: self.replica.clone(), source: self.source.clone() }
    }
}

impl<T: Transport> Service for MemberService<T> {
    fn admit(&self, caller: &Introduction) -> Result<(), MembersError> {
        let identity = self.replica.identity();
        admit(caller, identity.cluster, identity.member, &self.replica.members())
    }

    async fn serve(&self, mut connection: Connection, caller: Introduction) -> Result<(), WireError> {
        if caller.caller == Caller::Subscriber {
            return publish(connection, &self.source, SessionLimits::default()).await;
        }
        loop {
            let request: Request = match connection.receive(REQUEST).await {
                Ok(request) => request,
                Err(WireError::Io(_)) => return Ok(()),
                Err(error) => return Err(error),
            };
            let response = self.replica.answer(caller.caller, request).await;
            connection.send(RESPONSE, &response).await?;
        }
    }
}

/// The service of a relay, which serves subscribers only.
#[derive(Clone)]
struct RelayService<S> {
    source: S,
    limits: SessionLimits,
}

impl<S: FeedSource> Service for RelayService<S> {
    fn admit(&self, caller: &Introduction) -> Result<(), MembersError> {
        let ours = self.source.cluster();
        if caller.cluster != ours {
            return Err(MembersError::ForeignCluster { theirs: caller.cluster, ours });
        }
        if caller.caller != Caller::Subscriber {
            return Err(MembersError::NotServedByRelay);
        }
        Ok(())
    }

    async fn serve(&self, connection: Connection, _: Introduction) -> Result<(), WireError> {
        publish(connection, &self.source, self.limits).await
    }
}
