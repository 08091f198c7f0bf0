//! The origin behind sockets: HTTP/1.1, the model's work between.

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
use crate::http::{self, Answer, Gone};
use crate::lock::locked;
use crate::port::Listeners;
use crate::request;
use crate::world::{GRAIN, World};

/// The origin's sockets, its model, and who waits for it.
pub(crate) struct OriginPort {
    listeners: Listeners,
    inner: Mutex<Inner>,
    moved: Notify,
    fetches: AtomicU64,
}

struct Inner {
    model: Origin,
    waiters: HashMap<u64, oneshot::Sender<()>>,
    done: Vec<FetchCompletion>,
    lost: Vec<u64>,
}

impl Inner {
    fn tell(&mut self) {
        for FetchCompletion { id } in self.done.drain(..) {
            if let Some(waiter) = self.waiters.remove(&id) {
                let _ = waiter.send(()); // its connection may have gone
            }
        }
        for id in self.lost.drain(..) {
            self.waiters.remove(&id);
        }
    }
}

/// A fetch that is called off if nobody waits for it any more.
struct Waiting<'a> {
    port: &'a OriginPort,
    id: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut inner = locked(&self.port.inner);
        if inner.waiters.remove(&self.id).is_some() {
            inner.model.cancel(self.id);
        }
    }
}

impl OriginPort {
    pub async fn open(ip: IpAddr, nodes: usize, site: &Site) -> Result<OriginPort, EmulatorError> {
        let model = Origin::new(&site.origin, site.seed.get() as u64);
        let (waiters, done, lost) = Default::default();
        Ok(OriginPort {
            listeners: Listeners::open(ip, nodes).await?,
            inner: Mutex::new(Inner { model, waiters, done, lost }),
            moved: Notify::new(),
            fetches: AtomicU64::new(0),
        })
    }

    pub fn addr(&self, node: usize) -> Option<SocketAddr> {
        self.listeners.addr(node)
    }

    pub fn in_flight(&self) -> usize {
        locked(&self.inner).model.in_flight()
    }

    pub fn fetches(&self) -> u64 {
        self.fetches.load(Ordering::Relaxed)
    }

    pub fn slow(&self, factor: f64) {
        locked(&self.inner).model.set_slowdown(factor);
    }

    pub fn stop(&self, now: Micros, until: Micros) {
        let mut inner = locked(&self.inner);
        let mut lost = inner.model.stop(now, until);
        inner.lost.append(&mut lost);
        inner.tell();
    }

    pub fn serve(&self, world: &Arc<World>) {
        let of = world.clone();
        self.listeners.serve(&world.stop, move |node, stream, end| {
            let world = of.clone();
            async move { http::connection(stream, end, |request| serve(world.clone(), node, request)).await }
        });
        let world = world.clone();
        tokio::spawn(async move {
            let port = &world.origin;
            while !world.stop.is_cancelled() {
                let next = locked(&port.inner).model.next_event().map(|at| world.instant(at));
                tokio::select! {
                    () = world.stop.cancelled() => return,
                    () = port.moved.notified() => {}
                    () = sleep_until(next.unwrap_or_else(tokio::time::Instant::now)), if next.is_some() => {}
                }
                let now = world.now() + GRAIN;
                let mut inner = locked(&port.inner);
                let Inner { model, done, .. } = &mut *inner;
                model.advance(now, done);
                inner.tell();
            }
        });
    }

    /// Offers a fetch; who waits for it, unless it is turned away. Tells the cold share if the origin stops by it.
    fn offer(&self, now: Micros, fetch: Fetch) -> (Option<(oneshot::Receiver<()>, u64)>, Option<f64>) {
        let mut inner = locked(&self.inner);
        let spells = inner.model.overload_outages().len();
        let (sender, waiter) = oneshot::channel();
        let Inner { model, done, lost, .. } = &mut *inner;
        let id = model.offer(now, fetch, done, lost);
        let spell = inner.model.overload_outages().get(spells).map(|spell| spell.warm_up_share);
        if let Some(id) = id {
            inner.waiters.insert(id, sender);
        }
        inner.tell();
        drop(inner);
        self.moved.notify_one();
        (id.map(|id| (waiter, id)), spell)
    }
}

async fn serve(world: Arc<World>, node: usize, request: Request<Incoming>) -> Result<Answer, Gone> {
    let write = match *request.method() {
        Method::GET => false,
        Method::PUT => true,
        _ => return Ok(http::answer(StatusCode::METHOD_NOT_ALLOWED, "")),
    };
    let header =
        |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let (Some(id), Some(facts)) = (header("X-Correlation-Id"), header("X-Facts")) else {
        return Ok(http::answer(StatusCode::BAD_REQUEST, "X-Correlation-Id and X-Facts are wanted"));
    };
    let path = request.uri().path().strip_prefix('/').unwrap_or_default();
    let key = percent_decode_str(path).decode_utf8_lossy().into_owned();
    let _whole = request.into_body().collect().await.map_err(|_| Gone)?; // what is written is not kept
    let zone = world.site.network.zones.len().saturating_sub(1);
    world.travel(node, zone).await;
    let answer = fetch(&world, &key, &id, &facts, write).await;
    world.travel(node, zone).await;
    answer
}

async fn fetch(world: &Arc<World>, key: &str, id: &str, facts: &str, write: bool) -> Result<Answer, Gone> {
    let port = &world.origin;
    port.fetches.fetch_add(1, Ordering::Relaxed);
    let now = world.now();
    let missed = world.misses.of(id.as_bytes());
    let is_cold = |number: &usize| {
        world.server(*number).is_some_and(|s| s.port.with(|model, _| model.is_warming_up(now)))
    };
    let cold = missed.iter().any(is_cold);
    let (taken, spell) = port.offer(now, Fetch { write, warming_up: cold });
    if let Some(cold_share) = spell {
        info!(event = "origin_stopped", cold_share, "the origin stopped for too much load");
        world.judge().origin_stopped(cold_share);
    }
    let Some((waiter, number)) = taken else {
        let mut answer = http::answer(StatusCode::SERVICE_UNAVAILABLE, "");
        answer.headers_mut().insert("X-Unprocessed", hyper::header::HeaderValue::from_static("1"));
        return Ok(answer);
    };
    let waiting = Waiting { port, id: number };
    waiter.await.map_err(|_| Gone)?;
    drop(waiting);
    Ok(http::answer(StatusCode::OK, ended(world, key, id, facts, write)))
}

/// What follows once the origin has done its work: the answer's body.
fn ended(world: &World, key: &str, id: &str, facts: &str, write: bool) -> BytesMut {
    let (now, size) = (world.now(), request::size(&world.site, key));
    let mut body = BytesMut::new();
    if write {
        let class = request::class(&world.site, facts);
        let identity = metadata_value(facts, "k").unwrap_or(id);
        let window = if class.effect == Idempotency::Keyed { class.window.us() } else { 0 };
        if class.effect != Idempotency::Idempotent {
            world.judge().request_run(now, identity, window);
        }
        world.all_servers().iter().for_each(|server| server.port.with(|model, _| model.invalidate(key)));
        request::value(&mut body, id.as_bytes(), key, 0);
    } else {
        for server in world.misses.take(id.as_bytes()).into_iter().filter_map(|number| world.server(number)) {
            server.port.with(|model, _| model.insert(now, key, size));
        }
        request::value(&mut body, id.as_bytes(), key, size);
    }
    body
}
