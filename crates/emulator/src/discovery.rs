//! Discovery on sockets: returns the full endpoint list, or waits for changes to it.

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
use crate::counted::{CountedStream, TrafficCounters};
use crate::http::{self, ConnectionAborted, HttpResponse};
use crate::listeners::accept;
use crate::lock::lock;

/// Maximum time that a watch waits, even if it asks for longer.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Describes the servers to a discovery service, and observes what it learns and sends.
pub trait Registry: Send + Sync + 'static {
    /// Returns a server's list entry for a node; `None` if there never was such a server.
    fn entry(&self, node: usize, listed: &Listed) -> Option<Value>;
    /// Returns the entries that each full list has besides the servers.
    fn fixed_entries(&self, _node: usize) -> Vec<Value> {
        Vec::new()
    }
    /// Called before `listing` is sent to a node.
    fn before_reply(&self, _node: usize, _listing: &mut Listing) {}
    /// Called when discovery has learned of changes, the last of which made this version.
    fn changes_learned(&self, _version: u64, _changes: &[Listed]) {}
}

/// Counters of one node's calls.
#[derive(Debug, Default)]
struct Calls {
    /// Calls that were answered with a list, and calls that were rejected.
    answered: AtomicU64,
    rejected: AtomicU64,
    traffic: Arc<TrafficCounters>,
}

/// Counts of one node's calls so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that were answered with a list.
    pub answered: u64,
    /// Calls that were rejected.
    pub rejected: u64,
    /// Connections that the node made.
    pub connections: u64,
    /// Bytes received from the node, without TCP and IP headers.
    pub received_bytes: u64,
    /// Bytes sent to the node, without TCP and IP headers.
    pub sent_bytes: u64,
}

/// Serves the model of discovery over HTTP, in real time.
pub struct DiscoveryService {
    model: Mutex<Discovery>,
    /// The version of the list that discovery has learned.
    version: watch::Sender<u64>,
    clock: Clock,
    stop: CancellationToken,
    calls: Vec<Calls>,
}

impl DiscoveryService {
    /// Creates a discovery service that knows these servers and serves this many nodes until `stop` is cancelled.
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

    /// Records a server's new state, which discovery learns after its delay.
    pub fn record_change(&self, listed: Listed) {
        lock(&self.model).record_change(self.clock.now(), listed);
        self.version.send_modify(|_| {}); // wakes `learn_changes`, since the model's next event may have changed
    }

    /// Rejects all calls until this time.
    pub fn set_unavailable_until(&self, until: Micros) {
        lock(&self.model).set_unavailable_until(until);
    }

    /// Learns of no changes until this time.
    pub fn freeze_until(&self, until: Micros) {
        lock(&self.model).freeze_until(until);
    }

    /// Returns the full list as discovery would send it now.
    pub fn full_listing(&self) -> Listing {
        lock(&self.model).listing_since(None)
    }

    /// Whether there are changes that discovery has not learned of yet.
    pub fn has_pending_changes(&self) -> bool {
        lock(&self.model).next_event().is_some()
    }

    /// Returns the counts of a node's calls so far.
    pub fn counts(&self, node: usize) -> CallCounts {
        let Some(Calls { answered, rejected, traffic }) = self.calls.get(node) else {
            return CallCounts::default();
        };
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        CallCounts {
            answered: load(answered),
            rejected: load(rejected),
            connections: load(&traffic.connections),
            received_bytes: load(&traffic.received_bytes),
            sent_bytes: load(&traffic.sent_bytes),
        }
    }

    /// Serves each node on its own listener, in the order of the list.
    pub fn serve(self: &Arc<Self>, listeners: Vec<TcpListener>, registry: Arc<impl Registry>) {
        for (node, listener) in listeners.into_iter().enumerate() {
            let (discovery, registry, stop) = (self.clone(), registry.clone(), self.stop.clone());
            accept(listener, stop, move |stream, closing| {
                let (service, registry) = (discovery.clone(), registry.clone());
                async move {
                    let traffic = service.calls.get(node).map(|calls| calls.traffic.clone());
                    let stream = CountedStream::new(stream, traffic.unwrap_or_default());
                    let respond = |request| answer_call(service.clone(), registry.clone(), node, request);
                    http::serve_connection(stream, closing, respond).await;
                }
            });
        }
        tokio::spawn(learn_changes(self.clone(), registry));
    }

    fn count(&self, node: usize, counter: impl Fn(&Calls) -> &AtomicU64) {
        self.calls
            .get(node)
            .map(counter)
            .into_iter()
            .for_each(|count| _ = count.fetch_add(1, Ordering::Relaxed));
    }
}

/// Has the model learn each change when it is due, and wakes the watches.
async fn learn_changes(service: Arc<DiscoveryService>, registry: Arc<impl Registry>) {
    let mut changes = service.version.subscribe();
    loop {
        let next = lock(&service.model).next_event().map(|at| service.clock.instant(at));
        tokio::select! {
            () = service.stop.cancelled() => return,
            _ = changes.changed() => {}
            () = sleep_until(next.unwrap_or_else(tokio::time::Instant::now)), if next.is_some() => {}
        }
        if let Some(version) = advance(&service, &*registry) {
            service.version.send_replace(version);
            changes.mark_unchanged();
        }
    }
}

fn advance(service: &DiscoveryService, registry: &impl Registry) -> Option<u64> {
    let mut model = lock(&service.model);
    let before = model.version();
    let version = model.advance(service.clock.now())?;
    // This comes before any node can be sent the change.
    registry.changes_learned(version, &model.listing_since(Some(before)).servers);
    Some(version)
}

async fn answer_call(
    service: Arc<DiscoveryService>,
    registry: Arc<impl Registry>,
    node: usize,
    request: Request<Incoming>,
) -> Result<HttpResponse, ConnectionAborted> {
    if request.method() != Method::GET || request.uri().path() != "/discovery/hosts" {
        return Ok(http::response(StatusCode::NOT_FOUND, ""));
    }
    let query = request.uri().query().unwrap_or_default().replace('&', ",");
    let number = |name: &str| metadata_value(&query, name).and_then(|text| text.parse::<u64>().ok());
    let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms").unwrap_or(0)));
    let reply_time = lock(&service.model).call(service.clock.now());
    let Some(at) = reply_time else {
        service.count(node, |calls| &calls.rejected);
        return Ok(http::response(StatusCode::SERVICE_UNAVAILABLE, ""));
    };
    sleep_until(service.clock.instant(at)).await;
    if let Some(after) = after {
        let mut version = service.version.subscribe();
        // A watch that ends without changes is answered too.
        let _ = timeout(wait.min(MAX_WATCH_WAIT), version.wait_for(|version| *version > after)).await;
    }
    let mut listing = lock(&service.model).listing_since(after);
    registry.before_reply(node, &mut listing);
    service.count(node, |calls| &calls.answered);
    Ok(http::json(StatusCode::OK, &list_document(&*registry, node, &listing)))
}

/// Returns the JSON document of a listing for a node.
pub fn list_document(registry: &impl Registry, node: usize, listing: &Listing) -> Value {
    let mut servers: Vec<Value> = listing.servers.iter().filter_map(|l| registry.entry(node, l)).collect();
    if listing.full {
        servers.extend(registry.fixed_entries(node));
    }
    json!({"version": listing.version, "full": listing.full, "servers": servers})
}
