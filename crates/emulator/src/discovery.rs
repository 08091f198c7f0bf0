//! Discovery behind sockets: the whole list, or a watch on changes.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use stonefold_model::site::DiscoveryKind;
use stonefold_model::{Discovery, Listed, Listing, Micros};
use stonefold_proto::metadata::metadata_value;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::counted::{Counted, Traffic};
use crate::http::{self, Answer, Gone};
use crate::lock::locked;
use crate::port::accept;

/// A watch waits no longer than this, whatever it asks for.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// What stands behind a discovery: what it tells of each server, and who takes note.
pub trait Registry: Send + Sync + 'static {
    /// The entry of a server, as a node is told it; nothing for a server that there never was.
    fn entry(&self, node: usize, listed: &Listed) -> Option<Value>;
    /// Entries of every whole list beside the servers.
    fn fixed_entries(&self, _node: usize) -> Vec<Value> {
        Vec::new()
    }
    /// A node is being told this.
    fn before_reply(&self, _node: usize, _listing: &mut Listing) {}
    /// Discovery has come to know of these changes, the last of which made this version.
    fn changes_learned(&self, _version: u64, _changes: &[Listed]) {}
}

/// Calls of one node, and what they took.
#[derive(Debug, Default)]
struct Calls {
    /// Calls that were answered with a list, and those that were turned away.
    answered: AtomicU64,
    rejected: AtomicU64,
    traffic: Arc<Traffic>,
}

/// What one node's calls came to so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that were answered with a list.
    pub answered: u64,
    /// Calls that were turned away.
    pub rejected: u64,
    /// Connections that it made.
    pub connections: u64,
    /// Bytes that it sent, without the headers of TCP and IP.
    pub received_bytes: u64,
    /// Bytes that it was sent.
    pub sent_bytes: u64,
}

/// The model of discovery, and its time.
pub struct DiscoveryService {
    model: Mutex<Discovery>,
    /// The version of the list that discovery knows.
    version: watch::Sender<u64>,
    clock: Clock,
    stop: CancellationToken,
    calls: Vec<Calls>,
}

impl DiscoveryService {
    /// A discovery that knows of these servers, for so many nodes, until `stop`.
    pub fn new(
        kind: &DiscoveryKind,
        seed: u64,
        servers: impl IntoIterator<Item = usize>,
        nodes: usize,
        clock: Clock,
        stop: CancellationToken,
    ) -> DiscoveryService {
        let model = Discovery::new(kind, seed, servers);
        let version = watch::channel(model.version()).0;
        let calls = (0..nodes).map(|_| Calls::default()).collect();
        DiscoveryService { model: Mutex::new(model), version, clock, stop, calls }
    }

    /// It will come to know how a server stands.
    pub fn record_change(&self, listed: Listed) {
        locked(&self.model).record_change(self.clock.now(), listed);
        self.version.send_modify(|_| {}); // wakes the one who waits for the model's next event
    }

    /// Answers nobody until then.
    pub fn set_unavailable_until(&self, until: Micros) {
        locked(&self.model).set_unavailable_until(until);
    }

    /// Learns nothing new until then.
    pub fn freeze_until(&self, until: Micros) {
        locked(&self.model).freeze_until(until);
    }

    /// The whole list as it would be told now.
    pub fn full_listing(&self) -> Listing {
        locked(&self.model).listing_since(None)
    }

    /// Whether there is something that it will come to know.
    pub fn has_pending_changes(&self) -> bool {
        locked(&self.model).next_event().is_some()
    }

    /// What the calls of a node came to so far.
    pub fn counts(&self, node: usize) -> CallCounts {
        let Some(Calls { answered, rejected, traffic }) = self.calls.get(node) else {
            return CallCounts::default();
        };
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        CallCounts {
            answered: of(answered),
            rejected: of(rejected),
            connections: of(&traffic.connections),
            received_bytes: of(&traffic.received),
            sent_bytes: of(&traffic.sent),
        }
    }

    /// Answers each node at a listener of its own.
    pub fn serve(self: &Arc<Self>, listeners: Vec<TcpListener>, registry: Arc<impl Registry>) {
        for (node, listener) in listeners.into_iter().enumerate() {
            let (of, registry, stop) = (self.clone(), registry.clone(), self.stop.clone());
            accept(listener, stop, move |stream, end| {
                let (service, registry) = (of.clone(), registry.clone());
                async move {
                    let traffic = service.calls.get(node).map(|calls| calls.traffic.clone());
                    let stream = Counted::new(stream, traffic.unwrap_or_default());
                    let answer = |request| call(service.clone(), registry.clone(), node, request);
                    http::connection(stream, end, answer).await;
                }
            });
        }
        tokio::spawn(learn(self.clone(), registry));
    }

    fn count(&self, node: usize, of: impl Fn(&Calls) -> &AtomicU64) {
        self.calls.get(node).map(of).into_iter().for_each(|count| _ = count.fetch_add(1, Ordering::Relaxed));
    }
}

/// Lets discovery learn what it has to, in its time.
async fn learn(service: Arc<DiscoveryService>, registry: Arc<impl Registry>) {
    let mut noted = service.version.subscribe();
    loop {
        let next = locked(&service.model).next_event().map(|at| service.clock.instant(at));
        tokio::select! {
            () = service.stop.cancelled() => return,
            _ = noted.changed() => {}
            () = sleep_until(next.unwrap_or_else(tokio::time::Instant::now)), if next.is_some() => {}
        }
        if let Some(version) = advance(&service, &*registry) {
            service.version.send_replace(version);
            noted.mark_unchanged();
        }
    }
}

fn advance(service: &DiscoveryService, registry: &impl Registry) -> Option<u64> {
    let mut model = locked(&service.model);
    let before = model.version();
    let version = model.advance(service.clock.now())?;
    // Before any node can be told of it.
    registry.changes_learned(version, &model.listing_since(Some(before)).servers);
    Some(version)
}

async fn call(
    service: Arc<DiscoveryService>,
    registry: Arc<impl Registry>,
    node: usize,
    request: Request<Incoming>,
) -> Result<Answer, Gone> {
    if request.method() != Method::GET || request.uri().path() != "/discovery/hosts" {
        return Ok(http::answer(StatusCode::NOT_FOUND, ""));
    }
    let query = request.uri().query().unwrap_or_default().replace('&', ",");
    let number = |name: &str| metadata_value(&query, name).and_then(|text| text.parse::<u64>().ok());
    let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms").unwrap_or(0)));
    let answered = locked(&service.model).call(service.clock.now());
    let Some(at) = answered else {
        service.count(node, |calls| &calls.rejected);
        return Ok(http::answer(StatusCode::SERVICE_UNAVAILABLE, ""));
    };
    sleep_until(service.clock.instant(at)).await;
    if let Some(after) = after {
        let mut version = service.version.subscribe();
        // Its end without news is an answer too.
        let _ = timeout(wait.min(LONGEST_WAIT), version.wait_for(|version| *version > after)).await;
    }
    let mut listing = locked(&service.model).listing_since(after);
    registry.before_reply(node, &mut listing);
    service.count(node, |calls| &calls.answered);
    Ok(http::json(StatusCode::OK, &list_document(&*registry, node, &listing)))
}

/// A listing as a node is told it.
pub fn list_document(registry: &impl Registry, node: usize, listing: &Listing) -> Value {
    let mut servers: Vec<Value> = listing.servers.iter().filter_map(|l| registry.entry(node, l)).collect();
    if listing.full {
        servers.extend(registry.fixed_entries(node));
    }
    json!({"version": listing.version, "full": listing.full, "servers": servers})
}
