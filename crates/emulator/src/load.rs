//! A load: the model's clients over real connections, open loop. Latency counts from the intended start.

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

pub use figures::{Figures, Summary};
use process::Process;

use crate::lock::locked;
use crate::request::{self, is_for};
use crate::world::{Emulator, World};

/// Requests out at once; beyond that the load says that it was the bottleneck.
const MOST_OUT: usize = 20_000;
/// The longest answer.
const LARGEST: usize = (4 << 20) + 1024;
/// A client waits so much longer than it said before it leaves.
const LATE: Micros = 500_000;
/// A load on some nodes.
pub struct Load {
    world: Arc<World>,
    nodes: Vec<SocketAddr>,
    /// How each node's process stands.
    processes: Vec<Process>,
    /// Idle connections to each node, the most recently used last.
    idle: Vec<Mutex<VecDeque<TcpStream>>>,
    figures: Mutex<(Figures, Figures)>,
    retries: Mutex<Retries>,
    out: Semaphore,
    /// Whether idle clients occupy the nodes' descriptors, so that a new connection may be closed unread.
    crowded: AtomicBool,
}

/// A try's number is its request's, with how often it was asked before from this bit on.
const TRIES: u32 = 48;

impl Load {
    /// A load on these nodes, from the clients of an emulator's site.
    pub fn new(emulator: &Emulator, nodes: Vec<SocketAddr>) -> Arc<Load> {
        let idle = nodes.iter().map(|_| Mutex::default()).collect();
        let processes = nodes.iter().map(|_| Process::new()).collect();
        let (world, figures) = (emulator.world.clone(), Mutex::default());
        let retries = Mutex::new(Retries::new(world.site.retry.clone(), world.site.seed.get() as u64));
        let (out, crowded) = (Semaphore::new(MOST_OUT), AtomicBool::new(false));
        Arc::new(Load { world, nodes, processes, idle, figures, retries, out, crowded })
    }

    /// The front deals a node no new connections from now on; those that are open stay in use.
    pub fn close_node(&self, node: usize) {
        self.processes[node].close();
    }

    /// Idle clients occupy the nodes' descriptors from now on: a new connection may be closed unread.
    pub fn excuse_unread_closes(&self) {
        self.crowded.store(true, Ordering::Relaxed);
    }

    /// A node's process was sent a termination signal. Its connections stay in use for as long as they are open.
    pub fn node_terminated(&self, node: usize) {
        self.processes[node].terminate(self.world.now());
    }

    /// A node's process is about to be killed. What it has accepted need not be answered, unless it was sent a
    /// termination signal well before. Called before the kill.
    pub fn node_killed(&self, node: usize) {
        self.processes[node].kill();
    }

    /// A node serves again.
    pub fn open_node(&self, node: usize) {
        locked(&self.idle[node]).clear();
        self.processes[node].replace(self.world.now());
    }

    fn is_open(&self, node: usize) -> bool {
        self.processes[node].is_open()
    }

    /// Whether a client would use a node: it may connect, or has a connection that is still open.
    fn is_usable(&self, node: usize) -> bool {
        self.is_open(node) || !locked(&self.idle[node]).is_empty()
    }

    /// The figures from the start, and those since this was last asked.
    pub fn figures(&self) -> (Figures, Figures) {
        let mut figures = locked(&self.figures);
        let latest = std::mem::take(&mut figures.1);
        (figures.0.clone(), latest)
    }

    /// Sends this many requests a second for so long, and waits for their ends.
    pub async fn run(self: Arc<Self>, rate: f64, lasts: Duration) {
        let seed = self.world.site.seed.get() as u64;
        let mut clients = Clients::new(&self.world.site, rate, seed);
        let (start, lasts) = (self.world.now(), lasts.as_micros() as Micros);
        let tracker = TaskTracker::new();
        loop {
            let ask = clients.next_request();
            if ask.at >= lasts {
                break;
            }
            tokio::select! {
                () = self.world.stop.cancelled() => return,
                () = sleep_until(self.world.instant(start + ask.at)) => {}
            }
            if self.out.available_permits() == 0 {
                locked(&self.figures).0.not_sent += 1;
                continue;
            }
            let load = self.clone();
            tracker.spawn(async move {
                // The semaphore is never closed.
                if let Ok(_out) = load.out.acquire().await {
                    load.ask(&ask, start + ask.at).await;
                }
            });
        }
        tracker.close();
        tracker.wait().await;
        self.world.judge().expire_requests(self.world.now());
    }

    async fn ask(&self, ask: &ClientRequest, at: Micros) {
        // Nodes are dealt over the zones in turn; a zone's clients go to its nodes.
        let zones = self.world.site.network.zones.len().max(1);
        let there: Vec<usize> = (0..self.nodes.len())
            .filter(|&node| node % zones == ask.zone % zones && self.is_usable(node))
            .collect();
        let node = match there.is_empty() {
            true => ask.number as usize % self.nodes.len(),
            false => there[ask.number as usize % there.len()],
        };
        let until = at + ask.deadline;
        let mut said = self.exchange(ask, ask.number, node, until).await;
        let mut tries = 1;
        while said.answer == Answer::Rejected
            && let Some(again) = self.again(tries, said.wait, until)
        {
            sleep_until(self.world.instant(again)).await;
            // Another try stands by itself, with a final answer of its own.
            said = self.exchange(ask, ask.number | tries << TRIES, node, until).await;
            tries += 1;
        }
        let now = self.world.now();
        let took = now.saturating_sub(at);
        let figures = &mut *locked(&self.figures);
        for figures in [&mut figures.0, &mut figures.1] {
            figures.add(said.answer, took);
            figures.retries += tries - 1;
        }
    }

    /// When a client that was refused comes again, if it does.
    fn again(&self, tries: u64, wait: Option<Micros>, until: Micros) -> Option<Micros> {
        locked(&self.retries).next_attempt(self.world.now(), tries, wait, until)
    }

    /// One request; the judge is told of it once it has been sent whole. A kept connection that the node closes
    /// may cross a request which the node has not read: that is sent once more, on a new connection.
    async fn exchange(&self, ask: &ClientRequest, number: u64, node: usize, until: Micros) -> Said {
        let said = self.exchange_with(ask, number, node, until).await;
        said.unwrap_or_else(|Unanswered { accepted_at }| {
            match self.processes[node].excuses(accepted_at) {
                true => self.world.judge().request_excused(number),
                false => self.world.judge().request_abandoned(number),
            }
            Said::failed()
        })
    }

    /// As above; an error if the connection ended, or the time, with no whole answer.
    async fn exchange_with(
        &self,
        ask: &ClientRequest,
        number: u64,
        node: usize,
        until: Micros,
    ) -> Result<Said, Unanswered> {
        let id = format!("{number:016x}");
        let key = request::key(ask.key);
        let command = self.command(ask, &id, &key, until);
        if let Some(mut kept) = self.kept(node)
            && kept.write_all(&command).await.is_ok()
        {
            let accepted_at = self.world.now();
            match self.answer(&mut kept, until).await {
                // Before anything of an answer: the close crossed the request, unless the request came well before.
                Heard::Closed if self.world.now() < accepted_at + self.world.site.rules.answer_slack.us() => {
                }
                heard => {
                    self.world.judge().request_accepted(number, until);
                    return self
                        .judged(heard, number, (&id, &key), node, kept)
                        .ok_or(Unanswered { accepted_at });
                }
            }
        }
        if !self.is_open(node) {
            return Ok(Said::failed());
        }
        let Ok(mut fresh) = TcpStream::connect(self.nodes[node]).await else { return Ok(Said::failed()) };
        let _ = fresh.set_nodelay(true); // slower without, no worse
        if fresh.write_all(&command).await.is_err() {
            return Ok(Said::failed());
        }
        let accepted_at = self.world.now();
        self.world.judge().request_accepted(number, until);
        let heard = self.answer(&mut fresh, until).await;
        if matches!(heard, Heard::Closed) && self.crowded.load(Ordering::Relaxed) {
            self.world.judge().request_excused(number);
            return Ok(Said::failed());
        }
        self.judged(heard, number, (&id, &key), node, fresh).ok_or(Unanswered { accepted_at })
    }

    /// An idle connection on which nothing has come.
    fn kept(&self, node: usize) -> Option<TcpStream> {
        loop {
            let stream = locked(&self.idle[node]).pop_back()?;
            match stream.try_read(&mut [0; 64]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Some(stream),
                Ok(read) if read > 0 => self.world.judge().unexpected_answer(),
                Ok(_) | Err(_) => {} // closed between requests, as a node may
            }
        }
    }

    async fn answer(&self, stream: &mut TcpStream, until: Micros) -> Heard {
        let wait = Duration::from_micros((until + LATE).saturating_sub(self.world.now()));
        timeout(wait, read(stream)).await.unwrap_or(Heard::Nothing)
    }

    /// What was said; nothing if there was no whole answer.
    fn judged(
        &self,
        heard: Heard,
        request: u64,
        of: (&str, &str),
        node: usize,
        stream: TcpStream,
    ) -> Option<Said> {
        match heard {
            Heard::Answer { frame, more } => {
                let mut judge = self.world.judge();
                let said = judged(&frame, of.0, of.1);
                judge.request_answered(self.world.now(), request, said.answer);
                match more {
                    true => judge.unexpected_answer(),
                    false => locked(&self.idle[node]).push_back(stream),
                }
                Some(said)
            }
            Heard::Closed | Heard::Broken | Heard::Nothing => None,
        }
    }

    fn command(&self, ask: &ClientRequest, id: &str, key: &str, until: Micros) -> BytesMut {
        let class = &self.world.site.classes[ask.class];
        let left = until.saturating_sub(self.world.now()).min(ask.deadline).div_ceil(1000);
        let mut facts = format!("c={},d={left}", class.name);
        if let Some(tenant) = ask.tenant.and_then(|tenant| self.world.site.tenants.get(tenant)) {
            facts += &format!(",t={}", tenant.name);
        }
        if class.effect == Idempotency::Keyed {
            facts += &format!(",k={:016x}", ask.number);
        }
        let value = class.write.then(|| "a".repeat(64));
        let name = if class.write { "CACHE.SET" } else { "CACHE.GET" };
        let words = [name, key, id, &facts].into_iter().chain(value.as_deref()).map(str::as_bytes);
        let mut text = BytesMut::new();
        append_command(&mut text, &words.collect::<Vec<_>>());
        text
    }
}

/// A request whose connection, or time, ended with no whole answer.
struct Unanswered {
    /// When the node's machine had all of it, in microseconds.
    accepted_at: Micros,
}

/// What a node said, and of a refusal when to come again.
struct Said {
    answer: Answer,
    wait: Option<Micros>,
}

impl Said {
    fn failed() -> Said {
        Said { answer: Answer::Failed, wait: None }
    }
}

fn judged(frame: &BytesFrame, id: &str, key: &str) -> Said {
    let refusal = match frame {
        BytesFrame::Error(text) => text.strip_prefix("BUSY"),
        _ => None,
    };
    let answer = match frame {
        BytesFrame::BulkString(value) if is_for(value, id.as_bytes(), key) => Answer::Served,
        BytesFrame::BulkString(_) => Answer::Wrong,
        _ if refusal.is_some() => Answer::Rejected,
        _ => Answer::Failed,
    };
    let wait = refusal.and_then(|ms| ms.trim().parse::<u64>().ok());
    Said { answer, wait: wait.map(|ms| ms.saturating_mul(1_000)) }
}

/// What came on a connection.
enum Heard {
    /// A whole answer, and whether there was more behind it.
    Answer { frame: BytesFrame, more: bool },
    /// Its end, before anything of an answer.
    Closed,
    /// Its end in the midst of an answer, or what is none.
    Broken,
    /// Nothing in time.
    Nothing,
}

async fn read(stream: &mut TcpStream) -> Heard {
    let mut buffer = BytesMut::new();
    loop {
        match decode_frame(&mut buffer, LARGEST) {
            Ok(Some(frame)) => return Heard::Answer { frame, more: !buffer.is_empty() },
            Ok(None) => {}
            Err(_) => return Heard::Broken,
        }
        match stream.read_buf(&mut buffer).await {
            Ok(read) if read > 0 => {}
            Ok(_) | Err(_) if buffer.is_empty() => return Heard::Closed,
            Ok(_) | Err(_) => return Heard::Broken,
        }
    }
}
