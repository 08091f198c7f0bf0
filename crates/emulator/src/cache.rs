//! A cache server on sockets: reads RESP2 commands, has the model do the work, and answers in the order of the
//! commands.

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
use crate::listeners::{Listeners, reset};
use crate::lock::lock;
use crate::request;
use crate::world::{CacheServer, TIMER_GRANULARITY, World};

/// Maximum size of a command, in bytes.
const MAX_COMMAND_BYTES: usize = (4 << 20) + (8 << 10);
/// Maximum number of requests in progress on one connection.
const MAX_OPEN_REQUESTS: usize = 32;

/// Active faults of a server's connections, which are injected outside its model.
///
/// Faults of one kind may overlap: each is counted, and the effect ends with the last of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ConnectionFaults {
    /// Each byte of an answer is changed.
    pub garble_faults: u32,
    /// The connection ends after the first half of an answer.
    pub cut_faults: u32,
    /// Nothing is read or answered.
    pub silence_faults: u32,
    /// Incremented to reset all connections.
    pub reset_count: u64,
}

/// The sockets and the model of a cache server.
pub(crate) struct CacheEndpoint {
    pub listeners: Listeners,
    state: Mutex<CacheState>,
    /// Notified when the model's next event may have changed.
    model_changed: Notify,
    connection_faults: watch::Sender<ConnectionFaults>,
    hits: AtomicU64,
    misses: AtomicU64,
    connections: AtomicUsize,
}

struct CacheState {
    model: Cache,
    waiters: HashMap<JobId, oneshot::Sender<Outcome>>,
    completions: Vec<Completion>,
    /// The slowdown factors of all active faults; 0 stops the server.
    slowdowns: Vec<f64>,
    /// Incremented when the process ends, so that the end of a fault does not affect a later process.
    incarnation: u64,
}

impl CacheState {
    /// Sets the model's slowdown to the product of all factors, or to a stop if one of them is 0.
    fn apply_slowdowns(&mut self, now: Micros) {
        let factor = match self.slowdowns.contains(&0.0) {
            true => 0.0,
            false => self.slowdowns.iter().product(),
        };
        self.model.set_slowdown(now, factor, &mut self.completions);
    }

    /// Sends each completed job's outcome to the connection that waits for it.
    fn notify_waiters(&mut self) {
        for Completion { id, outcome } in self.completions.drain(..) {
            if let Some(waiter) = self.waiters.remove(&id) {
                let _ = waiter.send(outcome); // fails if its connection has closed
            }
        }
    }
}

/// The result of offering a request to the model.
enum OfferResult {
    Completed(Outcome),
    Pending(oneshot::Receiver<Outcome>, JobId),
    Rejected(Rejection),
}

impl CacheEndpoint {
    pub async fn open(ip: IpAddr, nodes: usize, model: Cache) -> Result<CacheEndpoint, EmulatorError> {
        let (waiters, completions, slowdowns) = Default::default();
        Ok(CacheEndpoint {
            listeners: Listeners::open(ip, nodes).await?,
            state: Mutex::new(CacheState { model, waiters, completions, slowdowns, incarnation: 0 }),
            model_changed: Notify::new(),
            connection_faults: watch::channel(ConnectionFaults::default()).0,
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

    /// Runs `operation` on the model, and notifies the waiters of the jobs that it completes.
    pub fn with_model<T>(&self, operation: impl FnOnce(&mut Cache, &mut Vec<Completion>) -> T) -> T {
        let mut state = lock(&self.state);
        let CacheState { model, completions, .. } = &mut *state;
        let result = operation(model, completions);
        state.notify_waiters();
        drop(state);
        self.model_changed.notify_one();
        result
    }

    pub fn change_connection_faults(&self, change: impl FnOnce(&mut ConnectionFaults)) {
        self.connection_faults.send_modify(change);
    }

    fn offer(&self, now: Micros, job: Job) -> OfferResult {
        let mut state = lock(&self.state);
        let CacheState { model, completions, .. } = &mut *state;
        let result = match model.offer(now, job, completions) {
            Err(rejection) => OfferResult::Rejected(rejection),
            Ok(id) => match completions.iter().position(|completion| completion.id == id) {
                Some(index) => OfferResult::Completed(completions.swap_remove(index).outcome),
                None => {
                    let (sender, waiter) = oneshot::channel();
                    state.waiters.insert(id, sender);
                    OfferResult::Pending(waiter, id)
                }
            },
        };
        state.notify_waiters();
        drop(state);
        if matches!(result, OfferResult::Pending(..)) {
            self.model_changed.notify_one();
        }
        result
    }

    /// Adds a slowdown to those in effect, until [`remove_slowdown`](Self::remove_slowdown).
    pub fn add_slowdown(&self, now: Micros, factor: f64) {
        self.change_slowdowns(now, |slowdowns| slowdowns.push(factor));
    }

    /// Removes one slowdown of this factor, if there is one.
    pub fn remove_slowdown(&self, now: Micros, factor: f64) {
        self.change_slowdowns(now, |slowdowns| {
            let index = slowdowns.iter().position(|&other| other == factor);
            index.into_iter().for_each(|index| _ = slowdowns.swap_remove(index));
        });
    }

    fn change_slowdowns(&self, now: Micros, change: impl FnOnce(&mut Vec<f64>)) {
        let mut state = lock(&self.state);
        change(&mut state.slowdowns);
        state.apply_slowdowns(now);
        state.notify_waiters();
        drop(state);
        self.model_changed.notify_one();
    }

    /// The number of processes that ended before this one.
    pub fn incarnation(&self) -> u64 {
        lock(&self.state).incarnation
    }

    /// Ends the process: its connections are reset, and its slowdowns, jobs and contents are lost.
    pub fn terminate(&self, now: Micros) {
        self.listeners.close();
        let mut state = lock(&self.state);
        state.incarnation += 1;
        state.slowdowns.clear();
        state.model.stop(now);
        state.waiters.clear();
        state.completions.clear();
    }
}

/// Cancels a job when its connection stops waiting for it.
struct CancelOnDrop<'a> {
    world: &'a World,
    endpoint: &'a CacheEndpoint,
    id: JobId,
    completed: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.completed {
            let now = self.world.now();
            lock(&self.endpoint.state).waiters.remove(&self.id);
            self.endpoint.with_model(|model, completions| model.cancel(now, self.id, completions));
        }
    }
}

impl CacheServer {
    pub fn id(&self) -> String {
        stonefold_model::site::Site::id(self.number)
    }

    /// Serves connections until they are closed, and advances the model, until the emulator stops.
    pub fn serve(self: Arc<Self>, world: Arc<World>) {
        let (server, serving_world) = (self.clone(), world.clone());
        self.endpoint.listeners.serve(&world.stop, move |node, stream, closing| {
            serve_connection(serving_world.clone(), server.clone(), node, stream, closing)
        });
        tokio::spawn(async move {
            while !world.stop.is_cancelled() {
                let next_event_at = lock(&self.endpoint.state).model.next_event();
                let until = next_event_at.map(|at| world.instant(at));
                tokio::select! {
                    () = world.stop.cancelled() => return,
                    () = self.endpoint.model_changed.notified() => {}
                    () = sleep_until(until.unwrap_or_else(tokio::time::Instant::now)), if until.is_some() => {}
                }
                let now = world.now() + TIMER_GRANULARITY;
                let mut state = lock(&self.endpoint.state);
                let CacheState { model, completions, .. } = &mut *state;
                model.advance(now, completions);
                state.notify_waiters();
            }
        });
    }

    /// Starts again at the same addresses, warming up.
    pub async fn restart(self: &Arc<Self>, world: &Arc<World>) {
        self.endpoint.listeners.reopen(&world.stop).await;
        let now = world.now();
        self.endpoint.with_model(|model, _| model.start(now));
        let (server, serving_world) = (self.clone(), world.clone());
        self.endpoint.listeners.serve(&world.stop, move |node, stream, closing| {
            serve_connection(serving_world.clone(), server.clone(), node, stream, closing)
        });
        world.record_change(self.number, State::Serving, now);
    }
}

/// Serves a node's connection until either side closes it.
async fn serve_connection(
    world: Arc<World>,
    server: Arc<CacheServer>,
    node: usize,
    mut stream: TcpStream,
    closing: CancellationToken,
) {
    let endpoint = &server.endpoint;
    let kind = &world.site.caches[server.group];
    if endpoint.connections.fetch_add(1, Ordering::Relaxed) >= kind.connections.get() {
        endpoint.connections.fetch_sub(1, Ordering::Relaxed);
        return reset(stream);
    }
    world.open_connections.fetch_add(1, Ordering::Relaxed);
    if endpoint.with_model(|model, _| {
        model.connected(world.now());
        model.is_down()
    }) {
        server.handle_collapse(&world);
    }
    let broken = tokio::select! {
        () = closing.cancelled() => true,
        broken = serve_commands(&world, &server, node, &mut stream) => broken,
    };
    endpoint.connections.fetch_sub(1, Ordering::Relaxed);
    world.open_connections.fetch_sub(1, Ordering::Relaxed);
    if broken {
        reset(stream);
    }
}

/// Reads commands and writes answers; returns whether the connection is to be reset.
async fn serve_commands(
    world: &Arc<World>,
    server: &Arc<CacheServer>,
    node: usize,
    stream: &mut TcpStream,
) -> bool {
    let kind = &world.site.caches[server.group];
    let idle_timeout = kind.idle.us();
    let mut connection_faults = server.endpoint.connection_faults.subscribe();
    let reset_count = connection_faults.borrow_and_update().reset_count;
    let (mut buffer, mut out) = (BytesMut::new(), BytesMut::new());
    let mut in_flight = FuturesOrdered::new();
    let mut idle_since = world.now();
    let mut answered = 0;
    loop {
        while in_flight.len() < MAX_OPEN_REQUESTS {
            match decode_frame(&mut buffer, MAX_COMMAND_BYTES) {
                Ok(Some(frame)) => in_flight.push_back(handle_command(world, server, node, frame)),
                Ok(None) => break,
                Err(_) => return false,
            }
        }
        let is_idle = in_flight.is_empty();
        tokio::select! {
            biased;
            changed = connection_faults.changed() => {
                if changed.is_err() || connection_faults.borrow_and_update().reset_count != reset_count {
                    return true;
                }
            }
            Some(answer) = in_flight.next(), if !in_flight.is_empty() => {
                let answer: Option<Bytes> = answer;
                let faults = *connection_faults.borrow();
                // Once an answer is withheld, nothing more is sent on this connection.
                if faults.silence_faults > 0 || world.is_partitioned(node, server.zone) || answer.is_none() {
                    return wait_for_reset(&mut connection_faults, reset_count).await;
                }
                let answer = answer.unwrap_or_default();
                out.clear();
                append_faulty_answer(faults, &answer, &mut out);
                if stream.write_all(&out).await.is_err() || faults.cut_faults > 0 {
                    return false;
                }
                answered += 1;
                idle_since = world.now();
                if answered == kind.max_answers_per_connection.get() {
                    return false;
                }
            }
            read = stream.read_buf(&mut buffer), if in_flight.len() < MAX_OPEN_REQUESTS => {
                if !matches!(read, Ok(read) if read > 0) {
                    return false;
                }
                if connection_faults.borrow().silence_faults > 0 || world.is_partitioned(node, server.zone) {
                    return wait_for_reset(&mut connection_faults, reset_count).await;
                }
            }
            () = sleep_until(world.instant(idle_since + idle_timeout)), if is_idle => return false,
        }
    }
}

/// Neither reads nor writes until the connection is to be reset; returns true.
async fn wait_for_reset(connection_faults: &mut watch::Receiver<ConnectionFaults>, reset_count: u64) -> bool {
    loop {
        if connection_faults.changed().await.is_err() || connection_faults.borrow().reset_count != reset_count
        {
            return true;
        }
    }
}

/// Appends an answer with the active faults applied: half of it if cut, each byte changed if garbled.
fn append_faulty_answer(faults: ConnectionFaults, answer: &[u8], out: &mut BytesMut) {
    let length = if faults.cut_faults > 0 { answer.len() / 2 } else { answer.len() };
    let mask = if faults.garble_faults > 0 { 0x5a } else { 0 };
    out.extend(answer[..length].iter().map(|byte| byte ^ mask));
}

/// Carries out a command and returns its answer; `None` if the server does not answer it.
async fn handle_command(
    world: &Arc<World>,
    server: &Arc<CacheServer>,
    node: usize,
    frame: BytesFrame,
) -> Option<Bytes> {
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
    let (Ok(key), Ok(metadata)) = (std::str::from_utf8(&words[1]), std::str::from_utf8(&words[3])) else {
        return error("-SYNTAX\r\n");
    };
    world.rule_checker().request_sent(world.now(), node, server.number);
    world.delay_one_way(node, server.zone).await;
    let answer = run_request(world, server, key, &words[2], metadata, write).await;
    world.delay_one_way(node, server.zone).await;
    answer
}

/// Has the model do the work of a request, and returns the answer.
async fn run_request(
    world: &Arc<World>,
    server: &Arc<CacheServer>,
    key: &str,
    id: &[u8],
    metadata: &str,
    write: bool,
) -> Option<Bytes> {
    let class = request::request_class(&world.site, metadata);
    let remaining_ms = metadata_value(metadata, "d").and_then(|d| d.parse::<f64>().ok()).unwrap_or(0.0);
    let now = world.now();
    let job = Job {
        work: if write { Work::Write(key.into()) } else { Work::Read(key.into()) },
        cost: request::work_cost(&world.site, class, id),
        deadline: now.saturating_add((remaining_ms.clamp(0.0, 3.6e6) * 1e3) as Micros),
    };
    let outcome = match server.endpoint.offer(now, job) {
        OfferResult::Completed(outcome) => outcome,
        OfferResult::Rejected(Rejection::QueueFull) => return Some(Bytes::from_static(b"-BUSY\r\n")),
        OfferResult::Rejected(Rejection::Down) => {
            server.handle_collapse(world);
            return None;
        }
        OfferResult::Pending(waiter, id) => {
            let mut cancel_guard = CancelOnDrop { world, endpoint: &server.endpoint, id, completed: false };
            let outcome = waiter.await;
            cancel_guard.completed = true;
            outcome.ok()?
        }
    };
    let report = server.endpoint.with_model(|model, _| model.report(world.now()));
    encode_answer(world, server, key, id, outcome, report)
}

fn encode_answer(
    world: &World,
    server: &CacheServer,
    key: &str,
    id: &[u8],
    outcome: Outcome,
    report: LoadReport,
) -> Option<Bytes> {
    let report = format!("latency_ms={:.1},queue={},x1={}", report.latency_ms, report.queue, report.fetches);
    let suffix = |word: &str| format!("${}\r\n{word}\r\n${}\r\n{report}\r\n", word.len(), report.len());
    let mut out = BytesMut::new();
    match outcome {
        Outcome::Expired => return None,
        Outcome::Failed => out.extend_from_slice(format!("-ERR failed {report}\r\n").as_bytes()),
        Outcome::Miss | Outcome::Pending => {
            server.endpoint.misses.fetch_add(1, Ordering::Relaxed);
            world.misses.record(id, server.number);
            let word = if outcome == Outcome::Miss { "miss" } else { "pending" };
            out.extend_from_slice(format!("*3\r\n$-1\r\n{}", suffix(word)).as_bytes());
        }
        Outcome::Hit(size) => {
            server.endpoint.hits.fetch_add(1, Ordering::Relaxed);
            out.extend_from_slice(format!("*3\r\n${}\r\n", request::value_length(id, key, size)).as_bytes());
            request::write_value(&mut out, id, key, size);
            out.extend_from_slice(format!("\r\n{}", suffix("hit")).as_bytes());
        }
    }
    Some(out.freeze())
}

impl CacheServer {
    /// Handles a model that is down: drops the waiting requests and, if the model has just collapsed, reports that and
    /// closes the server's sockets.
    fn handle_collapse(self: &Arc<Self>, world: &Arc<World>) {
        let mut state = lock(&self.endpoint.state);
        let newly_collapsed = state.model.take_collapsed();
        state.waiters.clear();
        drop(state);
        if newly_collapsed {
            info!(
                event = "slow_start_overloaded",
                server = self.id(),
                "a server in slow start was overloaded and failed"
            );
            world.rule_checker().server_collapsed();
            world.record_change(self.number, State::Deleted, 0);
            self.endpoint.listeners.close();
        }
    }
}
