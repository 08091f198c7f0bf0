//! Clients that send many commands at once read their answers slowly, and the node keeps all finished answers.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::world::*;

/// The memory limit of the node.
const MEMORY_MB: usize = 64;
const SERVERS: usize = 4;
const WORK: Duration = Duration::from_millis(5);
/// The first command of a client asks for a long value, the others for values of the usual greatest length.
const LONG_VALUE_BYTES: usize = 4 << 20;
const VALUE_BYTES: usize = 64 << 10;
const COMMANDS: usize = 60;
const CLIENTS: usize = 60;
/// A new client comes so often: 300 requests a second.
const CLIENT_INTERVAL: Duration = Duration::from_millis(200);
/// A slow client reads this much, and then pauses.
const PIECE_BYTES: usize = 16 << 10;
const PAUSE: Duration = Duration::from_millis(100);
const PLAYED: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Counts {
    asked: AtomicU64,
    served: AtomicU64,
    refused_or_failed: AtomicU64,
    /// Clients whose connection ended before all answers came.
    cut_off: AtomicU64,
}

pub fn run(case: &Case) -> io::Result<Verdict> {
    let record = &case.record;
    let temp = TempFolder::create()?;
    let counts = Arc::new(Counts::default());
    let mut listed = Vec::new();
    for number in 0..SERVERS {
        let record = record.clone();
        let addr = serve(move |stream, _| cache_server(number, stream, &record))?;
        listed.push(Listed::new(&format!("s-{number}"), addr, "box"));
    }
    let discovery = Discovery::start(listed, record)?;
    let setup = Setup { memory_mb: MEMORY_MB, ..Setup::default() };
    let node = Node::start(case, &temp, &setup, &discovery)?;
    let at_rest = node.anonymous_memory().unwrap_or(0) >> 10;
    record.say(format!("the limit is {MEMORY_MB} MiB; at rest the node has allocated {at_rest} KiB"));
    let begin = Instant::now();
    for number in 0..CLIENTS {
        let (addr, slow, counts, record) = (node.addr, case.trouble, counts.clone(), record.clone());
        spawn(move || {
            thread::sleep(CLIENT_INTERVAL * number as u32);
            if let Err(error) = client(number, addr, slow, &counts, &record) {
                counts.cut_off.fetch_add(1, Ordering::Relaxed);
                record.line(format!("client {number} was cut off: {error}"));
            }
        });
    }
    let (mut peak, mut next_line) = (0, Duration::ZERO);
    let mut verdict = Verdict::Held;
    while begin.elapsed() < PLAYED && verdict == Verdict::Held {
        let Some(memory) = node.anonymous_memory() else {
            return Err(io::Error::other(format!("the node ended; {}", node.log_tail())));
        };
        peak = peak.max(memory);
        if memory > (MEMORY_MB as u64) << 20 {
            verdict = Verdict::Broken;
        }
        if begin.elapsed() >= next_line || verdict == Verdict::Broken {
            record.say(format!(
                "after {:.1} s: allocated {} KiB; requests sent {}, served {}, refused or failed {}",
                begin.elapsed().as_secs_f64(),
                memory >> 10,
                counts.asked.load(Ordering::Relaxed),
                counts.served.load(Ordering::Relaxed),
                counts.refused_or_failed.load(Ordering::Relaxed)
            ));
            next_line += Duration::from_secs(1);
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.say(format!("peak {} KiB; clients cut off {}", peak >> 10, counts.cut_off.load(Ordering::Relaxed)));
    if verdict == Verdict::Broken {
        node.signal("KILL")?;
        record.say("the node was over its memory limit, and the platform has killed it");
    } else if counts.served.load(Ordering::Relaxed) < 100 {
        return Err(io::Error::other("too few requests were served to judge"));
    }
    Ok(verdict)
}

/// Holds every key. A key's name tells how long its value is.
fn cache_server(number: usize, stream: TcpStream, record: &Record) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(command) = read_command(&mut reader)? {
        thread::sleep(WORK);
        let (key, id) = (command.word(1), command.word(2));
        let length = if key.starts_with("long") { LONG_VALUE_BYTES } else { VALUE_BYTES };
        stream.write_all(&hit(&value_for(&key, &id, length)))?;
        record.line(format!("s-{number} has answered {id} with {length} bytes"));
    }
    Ok(())
}

fn client(number: usize, addr: SocketAddr, slow: bool, counts: &Counts, record: &Record) -> io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    let mut text = Vec::new();
    for index in 0..COMMANDS {
        let key = if index == 0 { format!("long{number}") } else { format!("key{}", number * COMMANDS + index) };
        let id = format!("{number:04x}{index:04x}");
        text.extend_from_slice(&command(&[b"CACHE.GET", key.as_bytes(), id.as_bytes(), b"c=read,t=one,d=1200"]));
    }
    stream.write_all(&text)?;
    counts.asked.fetch_add(COMMANDS as u64, Ordering::Relaxed);
    record.line(format!("client {number} has sent {COMMANDS} commands at once"));
    let mut reader = BufReader::with_capacity(PIECE_BYTES, Pieces { stream, slow });
    for _ in 0..COMMANDS {
        let count = match read_reply(&mut reader)? {
            Reply::Value(_) => &counts.served,
            Reply::Error(_) => &counts.refused_or_failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
    record.line(format!("client {number} has all {COMMANDS} answers"));
    Ok(())
}

/// A connection that is read in pieces, slowly if told so.
struct Pieces {
    stream: TcpStream,
    slow: bool,
}

impl Read for Pieces {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.slow {
            thread::sleep(PAUSE);
        }
        let length = buffer.len().min(PIECE_BYTES);
        self.stream.read(&mut buffer[..length])
    }
}
