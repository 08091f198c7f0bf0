//! Cache servers in another data centre send a second copy of some answers, some milliseconds late, while nothing waits
//! on the connection. The way adds its jitter. The node has written the next request by then, and serves it with the copy.

use std::collections::VecDeque;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{value_of, Context, Verdict};
use crate::client::{get, new_id, Client};
use crate::discovery::Discovery;
use crate::node::{Node, Settings};
use crate::origin::Origin;
use crate::record::Record;
use crate::resp::{self, Reply};

/// The way between the data centres, one way: 10 to 20 ms at the site, with a jitter of 0.07 to 0.29 of it. Each message
/// takes a time of its own, 11.0 to 20.0 ms, so that none is outside of either; their order is kept.
const ONE_WAY_US: u64 = 15_500;
const JITTER: f64 = 0.29;
const WORK: Duration = Duration::from_millis(3);
/// How late a copy is sent: "some milliseconds".
const COPY_AFTER: Duration = Duration::from_millis(9);
/// A copy that this machine sends or delivers later than planned by more than this is left out.
const TOLERANCE: Duration = Duration::from_micros(500);
/// One answer in this many is followed by a second copy.
const COPY_EVERY: u64 = 3;
const CACHES: usize = 4;
/// Clients with one request open at a time, 200 to 300 requests a second together.
const CLIENTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(50);
const PLAY: Duration = Duration::from_secs(95);

/// Random numbers, the same in each run of a connection with this seed (xorshift).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// The time that one message takes on its way.
    fn way(&mut self) -> Duration {
        let unit = (self.next() >> 11) as f64 / (1u64 << 53) as f64;
        Duration::from_micros((ONE_WAY_US as f64 * (1.0 - JITTER + 2.0 * JITTER * unit)) as u64)
    }
}

struct Shared {
    trouble: bool,
    answers: AtomicU64,
    copies: AtomicU64,
    record: Record,
}

/// Bytes on their way to the node: when they arrive, and whether they are a copy.
type Leaving = (Instant, Vec<u8>, bool);

/// A command on its way, with the time at which it arrives at the server.
type Arriving = (Instant, String, String);

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Starts a cache server that holds every key, with the way to it.
fn far_cache(seed: u64, shared: &Arc<Shared>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let shared = shared.clone();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let seed = seed * 1_000_003 + number as u64 * 7_919 + 1;
            let shared = shared.clone();
            thread::spawn(move || serve_connection(stream, seed, shared));
        }
    });
    Ok(addr)
}

/// The three parts of a connection: the way to the server, the server, and the way back.
fn serve_connection(stream: TcpStream, seed: u64, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let (to_server, commands) = channel();
    let (to_node, answers) = channel();
    thread::spawn(move || way_back(stream, &answers));
    thread::spawn(move || serve(seed, &commands, &to_node, &shared));
    let mut random = Random(seed ^ 0x5bd1_e995);
    let mut last = Instant::now();
    let mut reader = BufReader::new(reading);
    while let Ok(words) = resp::read_command(&mut reader) {
        last = last.max(Instant::now() + random.way());
        let text = |index: usize| {
            words.get(index).map(|w| String::from_utf8_lossy(w).into_owned()).unwrap_or_default()
        };
        if to_server.send((last, text(1), text(2))).is_err() {
            return;
        }
    }
}

/// Answers commands in order, and sends a copy if nothing has arrived at the server meanwhile.
fn serve(seed: u64, commands: &Receiver<Arriving>, to_node: &Sender<Leaving>, shared: &Shared) {
    let mut random = Random(seed ^ 0x9e37_79b9);
    let mut known: VecDeque<Arriving> = VecDeque::new();
    let mut last = Instant::now();
    loop {
        let (arrives, key, id) = match known.pop_front() {
            Some(command) => command,
            None => match commands.recv() {
                Ok(command) => command,
                Err(_) => return,
            },
        };
        sleep_until(arrives);
        thread::sleep(WORK);
        let value = value_of(&key, &id);
        let answer = format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes();
        let sent = Instant::now();
        last = last.max(sent + random.way());
        if to_node.send((last, answer.clone(), false)).is_err() {
            return;
        }
        if !shared.trouble || shared.answers.fetch_add(1, Ordering::Relaxed) % COPY_EVERY != 0 {
            continue;
        }
        // The copy is due 9 ms after the answer, unless a command arrives at the server before.
        sleep_until(sent + COPY_AFTER);
        let now = Instant::now();
        known.extend(commands.try_iter());
        // No copy either if this machine has woken the server late.
        if known.front().is_some_and(|(arrives, ..)| *arrives <= now) || now > sent + COPY_AFTER + TOLERANCE {
            continue;
        }
        last = last.max(now + random.way());
        let copies = shared.copies.fetch_add(1, Ordering::Relaxed);
        if copies < 20 {
            shared
                .record
                .line_at(now, format!("a server sends a second copy of its answer to {id}, 9 ms after it"));
        }
        if to_node.send((last, answer, true)).is_err() {
            return;
        }
    }
}

fn way_back(mut stream: TcpStream, answers: &Receiver<Leaving>) {
    while let Ok((arrives, bytes, is_copy)) = answers.recv() {
        sleep_until(arrives);
        if is_copy && arrives.elapsed() > TOLERANCE {
            continue;
        }
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

#[derive(Default)]
struct Counts {
    own: u64,
    foreign: u64,
    other: u64,
}

pub fn run(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let discovery = Discovery::start(record)?;
    let origin = Origin::start(record, Duration::from_millis(20))?;
    let shared = Arc::new(Shared {
        trouble: context.trouble,
        answers: AtomicU64::new(0),
        copies: AtomicU64::new(0),
        record: record.clone(),
    });
    let mut caches = Vec::new();
    for number in 0..CACHES {
        caches.push((format!("far-{number}"), far_cache(number as u64 + 1, &shared)?));
    }
    let mut listed: Vec<_> = caches.iter().map(|(id, addr)| (id.as_str(), *addr, "box", "SERVING")).collect();
    listed.push(("origin", origin.addr, "origin", "SERVING"));
    discovery.change(&listed);
    let node = Node::start(context, 0, &Settings::ASKED, discovery.addr, &discovery.list())?;

    let counts: Arc<Mutex<Counts>> = Arc::default();
    let started = Instant::now();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (counts, record, listen) = (counts.clone(), record.clone(), node.listen);
        clients.push(thread::spawn(move || -> io::Result<()> {
            let mut client = Client::connect(listen)?;
            let mut turn = 0;
            while started.elapsed() < PLAY {
                turn += 1;
                let key = format!("key-{}", (turn * CLIENTS + number) % 300);
                let id = new_id();
                client.send(&get(&key, &id, 1_200))?;
                let reply = client.reply()?;
                let mut counts = counts.lock().unwrap();
                match reply {
                    Reply::Bulk(value) if value == value_of(&key, &id).as_bytes() => counts.own += 1,
                    Reply::Bulk(value) => {
                        counts.foreign += 1;
                        let value = String::from_utf8_lossy(&value);
                        record.line(format!("FOREIGN: CACHE.GET {key} {id} is answered: {value}"));
                    }
                    Reply::Line(_) => counts.other += 1,
                }
                drop(counts);
                thread::sleep(PAUSE);
            }
            Ok(())
        }));
    }
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client has failed"))??;
    }
    let counts = counts.lock().unwrap();
    let Counts { own, foreign, other } = *counts;
    let rate = (own + foreign + other) as f64 / started.elapsed().as_secs_f64();
    record.line(format!(
        "{own} requests served with their own value, {foreign} with a foreign one, {other} refused or failed; {rate:.0} a second; {} second copies",
        shared.copies.load(Ordering::Relaxed)
    ));
    if own == 0 {
        return Ok(Verdict::Void("nothing was served".into()));
    }
    Ok(if foreign == 0 { Verdict::Held } else { Verdict::Broken })
}
