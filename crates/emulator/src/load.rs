//! Generates load: sends the requests of the model's clients over real connections, in an open loop. Latency is
//! measured from a request's intended start.

mod figures;
mod process;

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::BytesMut;
use redis_protocol::resp2::types::BytesFrame;
use stonefold_config::Idempotency;
use stonefold_model::{Answer, ClientRequest, Clients, Micros, Retries};
use stonefold_proto::resp::{append_command, decode_frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{sleep_until, timeout};
use tokio_util::task::TaskTracker;

pub use figures::{LoadFigures, LoadSummary};
use process::NodeProcess;

use crate::lock::lock;
use crate::request::{is_value_for, key_name};
use crate::world::{Emulator, World};

/// Maximum number of requests in flight. Further ones are counted as not sent: the load was the bottleneck.
const MAX_IN_FLIGHT: usize = 20_000;
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = (4 << 20) + 1024;
/// Time that a client waits for an answer after its request's deadline, in microseconds.
const ANSWER_WAIT_MARGIN: Micros = 500_000;

/// A load on a set of nodes.
pub struct Load {
    world: Arc<World>,
    nodes: Vec<SocketAddr>,
    /// The state of each node's process.
    processes: Vec<NodeProcess>,
    /// Idle connections to each node, the most recently used last.
    idle_connections: Vec<Mutex<VecDeque<TcpStream>>>,
    /// Figures since the start, and since the last call of [`figures`](Self::figures).
    figures: Mutex<(LoadFigures, LoadFigures)>,
    retries: Mutex<Retries>,
    in_flight: Semaphore,
    /// Whether idle clients occupy the nodes' file descriptors, so that a node may close a new connection without
    /// reading its request.
    unread_closes_excused: AtomicBool,
}

/// The number of an attempt is the request's number, with the number of earlier attempts from this bit on.
const ATTEMPT_SHIFT: u32 = 48;

impl Load {
    /// Creates a load on these nodes by the clients of an emulator's site.
    pub fn new(emulator: &Emulator, nodes: Vec<SocketAddr>) -> Arc<Load> {
        let idle_connections = nodes.iter().map(|_| Mutex::default()).collect();
        let processes = nodes.iter().map(|_| NodeProcess::new()).collect();
        let (world, figures) = (emulator.world.clone(), Mutex::default());
        let retries = Mutex::new(Retries::new(world.site.retry.clone(), world.site.seed.get() as u64));
        let (in_flight, unread_closes_excused) = (Semaphore::new(MAX_IN_FLIGHT), AtomicBool::new(false));
        Arc::new(Load {
            world,
            nodes,
            processes,
            idle_connections,
            figures,
            retries,
            in_flight,
            unread_closes_excused,
        })
    }

    /// Stops the load balancer from opening new connections to a node; those that are open stay in use.
    pub fn close_node(&self, node: usize) {
        self.processes[node].close();
    }

    /// Allows the nodes to close a new connection without reading its request from now on, as idle clients occupy the
    /// nodes' file descriptors.
    pub fn excuse_unread_closes(&self) {
        self.unread_closes_excused.store(true, Ordering::Relaxed);
    }

    /// Records that a node's process was sent a termination signal. Its connections stay in use for as long as they are
    /// open.
    pub fn node_terminated(&self, node: usize) {
        self.processes[node].terminate(self.world.now());
    }

    /// Records that a node's process is about to be killed; must be called before the kill. What the process has
    /// accepted need not be answered, unless it was sent a termination signal well before.
    pub fn node_killed(&self, node: usize) {
        self.processes[node].kill();
    }

    /// Records that a new process of a node serves, and drops the idle connections to the earlier process.
    pub fn open_node(&self, node: usize) {
        lock(&self.idle_connections[node]).clear();
        self.processes[node].replace(self.world.now());
    }

    fn is_open(&self, node: usize) -> bool {
        self.processes[node].is_open()
    }

    /// Whether clients can use a node: they may connect to it, or there is an idle connection to it.
    fn is_usable(&self, node: usize) -> bool {
        self.is_open(node) || !lock(&self.idle_connections[node]).is_empty()
    }

    /// Returns the figures since the start, and those since the last call.
    pub fn figures(&self) -> (LoadFigures, LoadFigures) {
        let mut figures = lock(&self.figures);
        let latest = std::mem::take(&mut figures.1);
        (figures.0.clone(), latest)
    }

    /// Sends `rate` requests a second for `duration`, and waits until all of them have ended.
    pub async fn run(self: Arc<Self>, rate: f64, duration: Duration) {
        let seed = self.world.site.seed.get() as u64;
        let mut clients = Clients::new(&self.world.site, rate, seed);
        let (start, duration) = (self.world.now(), duration.as_micros() as Micros);
        let tracker = TaskTracker::new();
        loop {
            let request = clients.next_request();
            if request.at >= duration {
                break;
            }
            tokio::select! {
                () = self.world.stop.cancelled() => return,
                () = sleep_until(self.world.instant(start + request.at)) => {}
            }
            if self.in_flight.available_permits() == 0 {
                lock(&self.figures).0.not_sent += 1;
                continue;
            }
            let load = self.clone();
            tracker.spawn(async move {
                // The semaphore is never closed.
                if let Ok(_permit) = load.in_flight.acquire().await {
                    load.run_request(&request, start + request.at).await;
                }
            });
        }
        tracker.close();
        tracker.wait().await;
        self.world.rule_checker().expire_requests(self.world.now());
    }

    async fn run_request(&self, request: &ClientRequest, at: Micros) {
        // Nodes are assigned to the zones in turn; clients use the nodes of their zone.
        let zones = self.world.site.network.zones.len().max(1);
        let usable_nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|&node| node % zones == request.zone % zones && self.is_usable(node))
            .collect();
        let node = match usable_nodes.is_empty() {
            true => request.number as usize % self.nodes.len(),
            false => usable_nodes[request.number as usize % usable_nodes.len()],
        };
        let deadline_at = at + request.deadline;
        let mut last_answer = self.exchange(request, request.number, node, deadline_at).await;
        let mut attempts = 1;
        while last_answer.answer == Answer::Rejected
            && let Some(retry_at) = self.next_attempt(attempts, last_answer.retry_after, deadline_at)
        {
            sleep_until(self.world.instant(retry_at)).await;
            // Each attempt is checked by itself and gets a final answer of its own.
            last_answer =
                self.exchange(request, request.number | attempts << ATTEMPT_SHIFT, node, deadline_at).await;
            attempts += 1;
        }
        let now = self.world.now();
        let took = now.saturating_sub(at);
        let figures = &mut *lock(&self.figures);
        for figures in [&mut figures.0, &mut figures.1] {
            figures.record(last_answer.answer, took);
            figures.retries += attempts - 1;
        }
    }

    /// Returns when a client retries a rejected request, if it does.
    fn next_attempt(
        &self,
        attempts: u64,
        retry_after: Option<Micros>,
        deadline_at: Micros,
    ) -> Option<Micros> {
        lock(&self.retries).next_attempt(self.world.now(), attempts, retry_after, deadline_at)
    }

    /// Sends one request, and records it for the rule checks once it has been sent completely. If the node closes an
    /// idle connection just as a request is sent on it, the node has not read the request: it is sent again on a new
    /// connection.
    async fn exchange(
        &self,
        request: &ClientRequest,
        number: u64,
        node: usize,
        deadline_at: Micros,
    ) -> NodeAnswer {
        let result = self.try_exchange(request, number, node, deadline_at).await;
        result.unwrap_or_else(|Unanswered { accepted_at }| {
            match self.processes[node].may_have_lost(accepted_at) {
                true => self.world.rule_checker().request_excused(number),
                false => self.world.rule_checker().request_abandoned(number),
            }
            NodeAnswer::failed()
        })
    }

    /// Sends one request as [`exchange`](Self::exchange) does; fails if the connection was closed or the time ran out
    /// before a complete answer.
    async fn try_exchange(
        &self,
        request: &ClientRequest,
        number: u64,
        node: usize,
        deadline_at: Micros,
    ) -> Result<NodeAnswer, Unanswered> {
        let id = format!("{number:016x}");
        let key = key_name(request.key);
        let command = self.command(request, &id, &key, deadline_at);
        if let Some(mut idle_connection) = self.take_idle_connection(node)
            && idle_connection.write_all(&command).await.is_ok()
        {
            let accepted_at = self.world.now();
            match self.read_answer(&mut idle_connection, deadline_at).await {
                // Closed before any byte of an answer: the close crossed the request, unless the request was sent well
                // before.
                ReadOutcome::Closed
                    if self.world.now() < accepted_at + self.world.site.rules.answer_slack.us() => {}
                outcome => {
                    self.world.rule_checker().request_accepted(number, deadline_at);
                    return self
                        .record_outcome(outcome, number, (&id, &key), node, idle_connection)
                        .ok_or(Unanswered { accepted_at });
                }
            }
        }
        if !self.is_open(node) {
            return Ok(NodeAnswer::failed());
        }
        let Ok(mut stream) = TcpStream::connect(self.nodes[node]).await else {
            return Ok(NodeAnswer::failed());
        };
        let _ = stream.set_nodelay(true); // without it answers are only slower
        if stream.write_all(&command).await.is_err() {
            return Ok(NodeAnswer::failed());
        }
        let accepted_at = self.world.now();
        self.world.rule_checker().request_accepted(number, deadline_at);
        let outcome = self.read_answer(&mut stream, deadline_at).await;
        if matches!(outcome, ReadOutcome::Closed) && self.unread_closes_excused.load(Ordering::Relaxed) {
            self.world.rule_checker().request_excused(number);
            return Ok(NodeAnswer::failed());
        }
        self.record_outcome(outcome, number, (&id, &key), node, stream).ok_or(Unanswered { accepted_at })
    }

    /// Takes the most recently used idle connection to a node that is still open. Bytes that came on an idle connection
    /// are an unexpected answer, which breaks a rule.
    fn take_idle_connection(&self, node: usize) -> Option<TcpStream> {
        loop {
            let stream = lock(&self.idle_connections[node]).pop_back()?;
            match stream.try_read(&mut [0; 64]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Some(stream),
                Ok(read) if read > 0 => self.world.rule_checker().unexpected_answer(),
                Ok(_) | Err(_) => {} // a node may close a connection between requests
            }
        }
    }

    async fn read_answer(&self, stream: &mut TcpStream, deadline_at: Micros) -> ReadOutcome {
        let limit =
            Duration::from_micros((deadline_at + ANSWER_WAIT_MARGIN).saturating_sub(self.world.now()));
        timeout(limit, read_frame(stream)).await.unwrap_or(ReadOutcome::TimedOut)
    }

    /// Records an answer for the rule checks and returns it; `None` if there was no complete answer.
    fn record_outcome(
        &self,
        outcome: ReadOutcome,
        request: u64,
        id_and_key: (&str, &str),
        node: usize,
        stream: TcpStream,
    ) -> Option<NodeAnswer> {
        match outcome {
            ReadOutcome::Answer { frame, has_more } => {
                let mut checker = self.world.rule_checker();
                let answer = classify_answer(&frame, id_and_key.0, id_and_key.1);
                checker.request_answered(self.world.now(), request, answer.answer);
                match has_more {
                    true => checker.unexpected_answer(),
                    false => lock(&self.idle_connections[node]).push_back(stream),
                }
                Some(answer)
            }
            ReadOutcome::Closed | ReadOutcome::Broken | ReadOutcome::TimedOut => None,
        }
    }

    fn command(&self, request: &ClientRequest, id: &str, key: &str, deadline_at: Micros) -> BytesMut {
        let class = &self.world.site.classes[request.class];
        let deadline_ms = deadline_at.saturating_sub(self.world.now()).min(request.deadline).div_ceil(1000);
        let mut metadata = format!("c={},d={deadline_ms}", class.name);
        if let Some(tenant) = request.tenant.and_then(|tenant| self.world.site.tenants.get(tenant)) {
            metadata += &format!(",t={}", tenant.name);
        }
        if class.effect == Idempotency::Keyed {
            metadata += &format!(",k={:016x}", request.number);
        }
        let value = class.write.then(|| "a".repeat(64));
        let name = if class.write { "CACHE.SET" } else { "CACHE.GET" };
        let words = [name, key, id, &metadata].into_iter().chain(value.as_deref()).map(str::as_bytes);
        let mut command = BytesMut::new();
        append_command(&mut command, &words.collect::<Vec<_>>());
        command
    }
}

/// A request whose connection was closed, or whose time ran out, before a complete answer.
struct Unanswered {
    /// When the request had been sent completely, in microseconds.
    accepted_at: Micros,
}

/// A node's answer, and with a rejection the delay before a retry that it asked for, in microseconds.
struct NodeAnswer {
    answer: Answer,
    retry_after: Option<Micros>,
}

impl NodeAnswer {
    fn failed() -> NodeAnswer {
        NodeAnswer { answer: Answer::Failed, retry_after: None }
    }
}

fn classify_answer(frame: &BytesFrame, id: &str, key: &str) -> NodeAnswer {
    let rejection = match frame {
        BytesFrame::Error(text) => text.strip_prefix("BUSY"),
        _ => None,
    };
    let answer = match frame {
        BytesFrame::BulkString(value) if is_value_for(value, id.as_bytes(), key) => Answer::Served,
        BytesFrame::BulkString(_) => Answer::Wrong,
        _ if rejection.is_some() => Answer::Rejected,
        _ => Answer::Failed,
    };
    let retry_after_ms = rejection.and_then(|ms| ms.trim().parse::<u64>().ok());
    NodeAnswer { answer, retry_after: retry_after_ms.map(|ms| ms.saturating_mul(1_000)) }
}

/// The outcome of reading an answer.
enum ReadOutcome {
    /// A complete answer, and whether more bytes followed it.
    Answer { frame: BytesFrame, has_more: bool },
    /// The connection was closed before any byte of an answer.
    Closed,
    /// The connection was closed in the middle of an answer, or the bytes were not an answer.
    Broken,
    /// No complete answer came in time.
    TimedOut,
}

async fn read_frame(stream: &mut TcpStream) -> ReadOutcome {
    let mut buffer = BytesMut::new();
    loop {
        match decode_frame(&mut buffer, MAX_ANSWER_BYTES) {
            Ok(Some(frame)) => return ReadOutcome::Answer { frame, has_more: !buffer.is_empty() },
            Ok(None) => {}
            Err(_) => return ReadOutcome::Broken,
        }
        match stream.read_buf(&mut buffer).await {
            Ok(read) if read > 0 => {}
            Ok(_) | Err(_) if buffer.is_empty() => return ReadOutcome::Closed,
            Ok(_) | Err(_) => return ReadOutcome::Broken,
        }
    }
}
