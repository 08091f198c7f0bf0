//! The origin on sockets: takes HTTP/1.1 requests and has the model do the work.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use percent_encoding::percent_decode_str;
use stonefold_config::Idempotency;
use stonefold_model::site::Site;
use stonefold_model::{Fetch, FetchCompletion, Micros, Origin};
use stonefold_proto::metadata::metadata_value;
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep_until;
use tracing::info;

use crate::error::EmulatorError;
use crate::http::{self, ConnectionAborted, HttpResponse};
use crate::listeners::Listeners;
use crate::lock::lock;
use crate::request;
use crate::world::{TIMER_GRANULARITY, World};

/// The sockets and the model of the origin.
pub(crate) struct OriginEndpoint {
    listeners: Listeners,
    state: Mutex<OriginState>,
    model_changed: Notify,
    fetches: AtomicU64,
}

struct OriginState {
    model: Origin,
    waiters: HashMap<u64, oneshot::Sender<()>>,
    completions: Vec<FetchCompletion>,
    lost: Vec<u64>,
}

impl OriginState {
    fn notify_waiters(&mut self) {
        for FetchCompletion { id } in self.completions.drain(..) {
            if let Some(waiter) = self.waiters.remove(&id) {
                let _ = waiter.send(()); // fails if its connection has closed
            }
        }
        for id in self.lost.drain(..) {
            self.waiters.remove(&id);
        }
    }
}

/// Cancels a fetch when its connection stops waiting for it.
struct CancelOnDrop<'a> {
    endpoint: &'a OriginEndpoint,
    id: u64,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.endpoint.state);
        if state.waiters.remove(&self.id).is_some() {
            state.model.cancel(self.id);
        }
    }
}

impl OriginEndpoint {
    pub async fn open(ip: IpAddr, nodes: usize, site: &Site) -> Result<OriginEndpoint, EmulatorError> {
        let model = Origin::new(&site.origin, site.seed.get() as u64);
        let (waiters, completions, lost) = Default::default();
        Ok(OriginEndpoint {
            listeners: Listeners::open(ip, nodes).await?,
            state: Mutex::new(OriginState { model, waiters, completions, lost }),
            model_changed: Notify::new(),
            fetches: AtomicU64::new(0),
        })
    }

    pub fn addr(&self, node: usize) -> Option<SocketAddr> {
        self.listeners.addr(node)
    }

    pub fn in_flight(&self) -> usize {
        lock(&self.state).model.in_flight()
    }

    pub fn fetches(&self) -> u64 {
        self.fetches.load(Ordering::Relaxed)
    }

    pub fn set_slowdown(&self, factor: f64) {
        lock(&self.state).model.set_slowdown(factor);
    }

    pub fn stop(&self, now: Micros, until: Micros) {
        let mut state = lock(&self.state);
        let mut lost = state.model.stop(now, until);
        state.lost.append(&mut lost);
        state.notify_waiters();
    }

    pub fn serve(&self, world: &Arc<World>) {
        let serving_world = world.clone();
        self.listeners.serve(&world.stop, move |node, stream, closing| {
            let world = serving_world.clone();
            async move {
                http::serve_connection(stream, closing, |request| {
                    handle_request(world.clone(), node, request)
                })
                .await
            }
        });
        let world = world.clone();
        tokio::spawn(async move {
            let endpoint = &world.origin;
            while !world.stop.is_cancelled() {
                let next = lock(&endpoint.state).model.next_event().map(|at| world.instant(at));
                tokio::select! {
                    () = world.stop.cancelled() => return,
                    () = endpoint.model_changed.notified() => {}
                    () = sleep_until(next.unwrap_or_else(tokio::time::Instant::now)), if next.is_some() => {}
                }
                let now = world.now() + TIMER_GRANULARITY;
                let mut state = lock(&endpoint.state);
                let OriginState { model, completions, .. } = &mut *state;
                model.advance(now, completions);
                state.notify_waiters();
            }
        });
    }

    /// Offers a fetch to the model. Returns its waiter and id unless it was rejected, and, if it overloaded the origin
    /// so that it stopped, the share of the load that came from misses at servers that were warming up.
    fn offer(&self, now: Micros, fetch: Fetch) -> (Option<(oneshot::Receiver<()>, u64)>, Option<f64>) {
        let mut state = lock(&self.state);
        let outage_count = state.model.overload_outages().len();
        let (sender, waiter) = oneshot::channel();
        let OriginState { model, completions, lost, .. } = &mut *state;
        let id = model.offer(now, fetch, completions, lost);
        let outage = state.model.overload_outages().get(outage_count).map(|outage| outage.warm_up_share);
        if let Some(id) = id {
            state.waiters.insert(id, sender);
        }
        state.notify_waiters();
        drop(state);
        self.model_changed.notify_one();
        (id.map(|id| (waiter, id)), outage)
    }
}

async fn handle_request(
    world: Arc<World>,
    node: usize,
    request: Request<Incoming>,
) -> Result<HttpResponse, ConnectionAborted> {
    let write = match *request.method() {
        Method::GET => false,
        Method::PUT => true,
        _ => return Ok(http::response(StatusCode::METHOD_NOT_ALLOWED, "")),
    };
    let header =
        |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let (Some(id), Some(metadata)) = (header("X-Correlation-Id"), header("X-Facts")) else {
        return Ok(http::response(StatusCode::BAD_REQUEST, "X-Correlation-Id and X-Facts are wanted"));
    };
    let path = request.uri().path().strip_prefix('/').unwrap_or_default();
    let key = percent_decode_str(path).decode_utf8_lossy().into_owned();
    // The written value is read and not stored.
    let _written = request.into_body().collect().await.map_err(|_| ConnectionAborted)?;
    // The origin is in the last zone.
    let zone = world.site.network.zones.len().saturating_sub(1);
    world.delay_one_way(node, zone).await;
    let response = fetch(&world, &key, &id, &metadata, write).await;
    world.delay_one_way(node, zone).await;
    response
}

async fn fetch(
    world: &Arc<World>,
    key: &str,
    id: &str,
    metadata: &str,
    write: bool,
) -> Result<HttpResponse, ConnectionAborted> {
    let endpoint = &world.origin;
    endpoint.fetches.fetch_add(1, Ordering::Relaxed);
    let now = world.now();
    let missed = world.misses.servers(id.as_bytes());
    let is_warming_up = |number: &usize| {
        world.server(*number).is_some_and(|s| s.endpoint.with_model(|model, _| model.is_warming_up(now)))
    };
    let warming_up = missed.iter().any(is_warming_up);
    let (accepted, outage) = endpoint.offer(now, Fetch { write, warming_up });
    if let Some(cold_share) = outage {
        info!(event = "origin_stopped", cold_share, "the origin stopped because of overload");
        world.rule_checker().origin_stopped(cold_share);
    }
    let Some((waiter, number)) = accepted else {
        let mut response = http::response(StatusCode::SERVICE_UNAVAILABLE, "");
        response.headers_mut().insert("X-Unprocessed", hyper::header::HeaderValue::from_static("1"));
        return Ok(response);
    };
    let cancel_guard = CancelOnDrop { endpoint, id: number };
    waiter.await.map_err(|_| ConnectionAborted)?;
    drop(cancel_guard);
    Ok(http::response(StatusCode::OK, complete_fetch(world, key, id, metadata, write)))
}

/// Applies the effects of a completed fetch, and returns the response's body.
fn complete_fetch(world: &World, key: &str, id: &str, metadata: &str, write: bool) -> BytesMut {
    let (now, size) = (world.now(), request::value_size(&world.site, key));
    let mut body = BytesMut::new();
    if write {
        let class = request::request_class(&world.site, metadata);
        let identity = metadata_value(metadata, "k").unwrap_or(id);
        let window = if class.effect == Idempotency::Keyed { class.window.us() } else { 0 };
        if class.effect != Idempotency::Idempotent {
            world.rule_checker().request_run(now, identity, window);
        }
        world
            .all_servers()
            .iter()
            .for_each(|server| server.endpoint.with_model(|model, _| model.invalidate(key)));
        request::write_value(&mut body, id.as_bytes(), key, 0);
    } else {
        for server in world.misses.take(id.as_bytes()).into_iter().filter_map(|number| world.server(number)) {
            server.endpoint.with_model(|model, _| model.insert(now, key, size));
        }
        request::write_value(&mut body, id.as_bytes(), key, size);
    }
    body
}
