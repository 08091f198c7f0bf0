//! A cache server behind sockets: RESP2, answers in order, the model's work between.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use futures_util::stream::{FuturesOrdered, StreamExt};
use redis_protocol::resp2::types::BytesFrame;
use stonefold_model::{Cache, Completion, Job, JobId, LoadReport, Micros, Outcome, Rejection, State, Work};
use stonefold_proto::metadata::metadata_value;
use stonefold_proto::resp::decode_frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::error::EmulatorError;
use crate::lock::locked;
use crate::port::{Listeners, reset};
use crate::request;
use crate::world::{GRAIN, Server, World};

/// The longest command.
const LARGEST: usize = (4 << 20) + (8 << 10);
/// Requests that one connection may have open.
const STREAMS: usize = 32;

/// How a server behaves beside its model.
///
/// Faults of one kind may overlap: each is counted, and it is over when the last one is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Manners {
    pub garbles: u32,
    pub cuts: u32,
    pub silent: u32,
    /// Counts up with each order to reset all connections.
    pub resets: u64,
}

/// A cache server's sockets, its model, and who waits for it.
pub(crate) struct CachePort {
    pub listeners: Listeners,
    inner: Mutex<Inner>,
    /// Told when the model's next event may be another.
    moved: Notify,
    manners: watch::Sender<Manners>,
    hits: AtomicU64,
    misses: AtomicU64,
    connections: AtomicUsize,
}

struct Inner {
    model: Cache,
    waiters: HashMap<JobId, oneshot::Sender<Outcome>>,
    done: Vec<Completion>,
    /// How much slower each fault makes it that is on now; 0 for one that stops it.
    slowed: Vec<f64>,
    /// Counts its deaths: what a fault would undo later is void once the process is another.
    life: u64,
}

impl Inner {
    /// All that slows it down together.
    fn pace(&mut self, now: Micros) {
        let factor = match self.slowed.contains(&0.0) {
            true => 0.0,
            false => self.slowed.iter().product(),
        };
        self.model.set_slowdown(now, factor, &mut self.done);
    }

    /// Tells those whose jobs have ended.
    fn tell(&mut self) {
        for Completion { id, outcome: end } in self.done.drain(..) {
            if let Some(waiter) = self.waiters.remove(&id) {
                let _ = waiter.send(end); // its connection may have gone
            }
        }
    }
}

/// What becomes of a request at a server.
enum Offered {
    Ended(Outcome),
    Waits(oneshot::Receiver<Outcome>, JobId),
    Refused(Rejection),
}

impl CachePort {
    pub async fn open(ip: IpAddr, nodes: usize, model: Cache) -> Result<CachePort, EmulatorError> {
        let (waiters, done, slowed) = Default::default();
        Ok(CachePort {
            listeners: Listeners::open(ip, nodes).await?,
            inner: Mutex::new(Inner { model, waiters, done, slowed, life: 0 }),
            moved: Notify::new(),
            manners: watch::channel(Manners::default()).0,
            hits: AtomicU64::new(0),
            misses: AtomicU64::new(0),
            connections: AtomicUsize::new(0),
        })
    }

    pub fn addr(&self, node: usize) -> Option<SocketAddr> {
        self.listeners.addr(node)
    }

    pub fn hits_and_misses(&self) -> (u64, u64) {
        (self.hits.load(Ordering::Relaxed), self.misses.load(Ordering::Relaxed))
    }

    /// Does something to the model, and tells those whose jobs have ended by it.
    pub fn with<T>(&self, of: impl FnOnce(&mut Cache, &mut Vec<Completion>) -> T) -> T {
        let mut inner = locked(&self.inner);
        let Inner { model, done, .. } = &mut *inner;
        let result = of(model, done);
        inner.tell();
        drop(inner);
        self.moved.notify_one();
        result
    }

    pub fn behave(&self, change: impl FnOnce(&mut Manners)) {
        self.manners.send_modify(change);
    }

    fn offer(&self, now: Micros, job: Job) -> Offered {
        let mut inner = locked(&self.inner);
        let Inner { model, done, .. } = &mut *inner;
        let offered = match model.offer(now, job, done) {
            Err(refusal) => Offered::Refused(refusal),
            Ok(id) => match done.iter().position(|one| one.id == id) {
                Some(place) => Offered::Ended(done.swap_remove(place).outcome),
                None => {
                    let (sender, waiter) = oneshot::channel();
                    inner.waiters.insert(id, sender);
                    Offered::Waits(waiter, id)
                }
            },
        };
        inner.tell();
        drop(inner);
        if matches!(offered, Offered::Waits(..)) {
            self.moved.notify_one();
        }
        offered
    }

    /// Slows it down, beside all that does so already, until [`quicken`](Self::quicken).
    pub fn slow(&self, now: Micros, factor: f64) {
        self.change_pace(now, |slowed| slowed.push(factor));
    }

    /// Takes one such fault back.
    pub fn quicken(&self, now: Micros, factor: f64) {
        self.change_pace(now, |slowed| {
            let place = slowed.iter().position(|&one| one == factor);
            place.into_iter().for_each(|place| _ = slowed.swap_remove(place));
        });
    }

    fn change_pace(&self, now: Micros, change: impl FnOnce(&mut Vec<f64>)) {
        let mut inner = locked(&self.inner);
        change(&mut inner.slowed);
        inner.pace(now);
        inner.tell();
        drop(inner);
        self.moved.notify_one();
    }

    /// Which of its lives this is.
    pub fn life(&self) -> u64 {
        locked(&self.inner).life
    }

    /// The process ends: what it had is lost.
    pub fn die(&self, now: Micros) {
        self.listeners.close();
        let mut inner = locked(&self.inner);
        inner.life += 1;
        inner.slowed.clear();
        inner.model.stop(now);
        inner.waiters.clear();
        inner.done.clear();
    }
}

/// Calls a job off when nobody waits for it any more.
struct Waiting<'a> {
    world: &'a World,
    port: &'a CachePort,
    id: JobId,
    ended: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let now = self.world.now();
            locked(&self.port.inner).waiters.remove(&self.id);
            self.port.with(|model, done| model.cancel(now, self.id, done));
        }
    }
}

impl Server {
    pub fn id(&self) -> String {
        stonefold_model::site::Site::id(self.number)
    }

    /// Serves until the world ends, or it is closed.
    pub fn serve(self: Arc<Self>, world: Arc<World>) {
        let (server, of) = (self.clone(), world.clone());
        self.port.listeners.serve(&world.stop, move |node, stream, end| {
            connection(of.clone(), server.clone(), node, stream, end)
        });
        tokio::spawn(async move {
            while !world.stop.is_cancelled() {
                let next = locked(&self.port.inner).model.next_event();
                let until = next.map(|at| world.instant(at));
                tokio::select! {
                    () = world.stop.cancelled() => return,
                    () = self.port.moved.notified() => {}
                    () = sleep_until(until.unwrap_or_else(tokio::time::Instant::now)), if until.is_some() => {}
                }
                let now = world.now() + GRAIN;
                let mut inner = locked(&self.port.inner);
                let Inner { model, done, .. } = &mut *inner;
                model.advance(now, done);
                inner.tell();
            }
        });
    }

    /// Starts again at the same address, cold.
    pub async fn restart(self: &Arc<Self>, world: &Arc<World>) {
        self.port.listeners.reopen(&world.stop).await;
        let now = world.now();
        self.port.with(|model, _| model.start(now));
        let (server, of) = (self.clone(), world.clone());
        self.port.listeners.serve(&world.stop, move |node, stream, end| {
            connection(of.clone(), server.clone(), node, stream, end)
        });
        world.note(self.number, State::Serving, now);
    }
}

/// One node's connection, until either side ends it.
async fn connection(
    world: Arc<World>,
    server: Arc<Server>,
    node: usize,
    mut stream: TcpStream,
    end: CancellationToken,
) {
    let port = &server.port;
    let kind = &world.site.caches[server.group];
    if port.connections.fetch_add(1, Ordering::Relaxed) >= kind.connections.get() {
        port.connections.fetch_sub(1, Ordering::Relaxed);
        return reset(stream);
    }
    world.open_connections.fetch_add(1, Ordering::Relaxed);
    if port.with(|model, _| {
        model.connected(world.now());
        model.is_down()
    }) {
        server.fell(&world);
    }
    let broken = tokio::select! {
        () = end.cancelled() => true,
        broken = converse(&world, &server, node, &mut stream) => broken,
    };
    port.connections.fetch_sub(1, Ordering::Relaxed);
    world.open_connections.fetch_sub(1, Ordering::Relaxed);
    if broken {
        reset(stream);
    }
}

/// Reads commands and writes answers; tells whether the connection is to be reset.
async fn converse(world: &Arc<World>, server: &Arc<Server>, node: usize, stream: &mut TcpStream) -> bool {
    let kind = &world.site.caches[server.group];
    let idle = kind.idle.us();
    let mut manners = server.port.manners.subscribe();
    let resets = manners.borrow_and_update().resets;
    let (mut buffer, mut out) = (BytesMut::new(), BytesMut::new());
    let mut open = FuturesOrdered::new();
    let mut idle_since = world.now();
    let mut answered = 0;
    loop {
        while open.len() < STREAMS {
            match decode_frame(&mut buffer, LARGEST) {
                Ok(Some(frame)) => open.push_back(handle(world, server, node, frame)),
                Ok(None) => break,
                Err(_) => return false,
            }
        }
        let idles = open.is_empty();
        tokio::select! {
            biased;
            changed = manners.changed() => {
                if changed.is_err() || manners.borrow_and_update().resets != resets {
                    return true;
                }
            }
            Some(answer) = open.next(), if !open.is_empty() => {
                let answer: Option<Bytes> = answer;
                let how = *manners.borrow();
                // Whoever was silent once stays so: nothing comes on this connection again.
                if how.silent > 0 || world.is_cut(node, server.zone) || answer.is_none() {
                    return silence(&mut manners, resets).await;
                }
                let answer = answer.unwrap_or_default();
                out.clear();
                spoil(how, &answer, &mut out);
                if stream.write_all(&out).await.is_err() || how.cuts > 0 {
                    return false;
                }
                answered += 1;
                idle_since = world.now();
                if answered == kind.max_answers_per_connection.get() {
                    return false;
                }
            }
            read = stream.read_buf(&mut buffer), if open.len() < STREAMS => {
                if !matches!(read, Ok(read) if read > 0) {
                    return false;
                }
                if manners.borrow().silent > 0 || world.is_cut(node, server.zone) {
                    return silence(&mut manners, resets).await;
                }
            }
            () = sleep_until(world.instant(idle_since + idle)), if idles => return false,
        }
    }
}

/// Nothing more is read or written; a reset ends it, or the peer's patience.
async fn silence(manners: &mut watch::Receiver<Manners>, resets: u64) -> bool {
    loop {
        if manners.changed().await.is_err() || manners.borrow().resets != resets {
            return true;
        }
    }
}

/// An answer, as a server in trouble writes it.
fn spoil(how: Manners, answer: &[u8], out: &mut BytesMut) {
    let end = if how.cuts > 0 { answer.len() / 2 } else { answer.len() };
    let noise = if how.garbles > 0 { 0x5a } else { 0 };
    out.extend(answer[..end].iter().map(|byte| byte ^ noise));
}

/// A command's answer; nothing where none comes.
async fn handle(world: &Arc<World>, server: &Arc<Server>, node: usize, frame: BytesFrame) -> Option<Bytes> {
    let error = |text: &'static str| Some(Bytes::from_static(text.as_bytes()));
    let BytesFrame::Array(parts) = frame else { return error("-ERR no command\r\n") };
    let words: Option<Vec<Bytes>> = parts
        .into_iter()
        .map(|part| match part {
            BytesFrame::BulkString(word) => Some(word),
            _ => None,
        })
        .collect();
    let words = words.unwrap_or_default();
    let write = match words.first().map(|name| &name[..]) {
        Some(b"CACHE.GET") if words.len() == 4 => false,
        Some(b"CACHE.SET") if words.len() == 5 => true,
        Some(b"CLIENT" | b"SELECT") => return error("+OK\r\n"),
        Some(b"PING") => return error("+PONG\r\n"),
        _ => return error("-ERR unknown command\r\n"),
    };
    let (Ok(key), Ok(facts)) = (std::str::from_utf8(&words[1]), std::str::from_utf8(&words[3])) else {
        return error("-SYNTAX\r\n");
    };
    world.judge().request_sent(world.now(), node, server.number);
    world.travel(node, server.zone).await;
    let answer = work(world, server, key, &words[2], facts, write).await;
    world.travel(node, server.zone).await;
    answer
}

/// Has the model do a request's work.
async fn work(
    world: &Arc<World>,
    server: &Arc<Server>,
    key: &str,
    id: &[u8],
    facts: &str,
    write: bool,
) -> Option<Bytes> {
    let class = request::class(&world.site, facts);
    let wait = metadata_value(facts, "d").and_then(|d| d.parse::<f64>().ok()).unwrap_or(0.0);
    let now = world.now();
    let job = Job {
        work: if write { Work::Write(key.into()) } else { Work::Read(key.into()) },
        cost: request::cost(&world.site, class, id),
        deadline: now.saturating_add((wait.clamp(0.0, 3.6e6) * 1e3) as Micros),
    };
    let end = match server.port.offer(now, job) {
        Offered::Ended(end) => end,
        Offered::Refused(Rejection::QueueFull) => return Some(Bytes::from_static(b"-BUSY\r\n")),
        Offered::Refused(Rejection::Down) => {
            server.fell(world);
            return None;
        }
        Offered::Waits(waiter, id) => {
            let mut waiting = Waiting { world, port: &server.port, id, ended: false };
            let end = waiter.await;
            waiting.ended = true;
            end.ok()?
        }
    };
    let report = server.port.with(|model, _| model.report(world.now()));
    answer(world, server, key, id, end, report)
}

fn answer(
    world: &World,
    server: &Server,
    key: &str,
    id: &[u8],
    end: Outcome,
    report: LoadReport,
) -> Option<Bytes> {
    let report = format!("latency_ms={:.1},queue={},x1={}", report.latency_ms, report.queue, report.fetches);
    let tail = |word: &str| format!("${}\r\n{word}\r\n${}\r\n{report}\r\n", word.len(), report.len());
    let mut out = BytesMut::new();
    match end {
        Outcome::Expired => return None,
        Outcome::Failed => out.extend_from_slice(format!("-ERR failed {report}\r\n").as_bytes()),
        Outcome::Miss | Outcome::Pending => {
            server.port.misses.fetch_add(1, Ordering::Relaxed);
            world.misses.note(id, server.number);
            let word = if end == Outcome::Miss { "miss" } else { "pending" };
            out.extend_from_slice(format!("*3\r\n$-1\r\n{}", tail(word)).as_bytes());
        }
        Outcome::Hit(size) => {
            server.port.hits.fetch_add(1, Ordering::Relaxed);
            out.extend_from_slice(format!("*3\r\n${}\r\n", request::value_length(id, key, size)).as_bytes());
            request::value(&mut out, id, key, size);
            out.extend_from_slice(format!("\r\n{}", tail("hit")).as_bytes());
        }
    }
    Some(out.freeze())
}

impl Server {
    /// The model has fallen over: told once, and its process is gone.
    fn fell(self: &Arc<Self>, world: &Arc<World>) {
        let mut inner = locked(&self.port.inner);
        let first = inner.model.take_collapsed();
        inner.waiters.clear();
        drop(inner);
        if first {
            info!(
                event = "slow_start_overloaded",
                server = self.id(),
                "a server in slow start was overloaded and failed"
            );
            world.judge().server_collapsed();
            world.note(self.number, State::Deleted, 0);
            self.port.listeners.close();
        }
    }
}
