//! Clients that send a long read and many ordinary reads at once.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::world::*;

/// The longest value that the pages name, and the longest ordinary one.
const LONG_VALUE_BYTES: usize = 4 << 20;
const ORDINARY_VALUE_BYTES: usize = 64 << 10;
/// The memory limit of the node.
const MEMORY_MB: usize = 64;
const SERVERS: usize = 8;
/// The work of a read at a cache server.
const CACHE_WORK: Duration = Duration::from_millis(20);
/// A cache server gives a long value in parts of this length, with this pause between them: in 5.1 s.
const PART_BYTES: usize = 64 << 10;
const PART_PAUSE: Duration = Duration::from_millis(80);
/// The clients. Each begins a round of one long read and this number of ordinary ones so often, one after the other.
const CLIENTS: usize = 22;
const ORDINARY_READS: usize = 60;
const ROUND: Duration = Duration::from_millis(5_500);
/// What the clients tell as `d`.
const CLIENT_WAITS: Duration = Duration::from_millis(1_200);
/// How often the platform looks at the memory.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
const PLAYED: Duration = Duration::from_millis(25_000);

/// The requests of all clients so far.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: usize,
    served: usize,
    refused: usize,
    failed: usize,
}

pub fn run(case: &Case) -> io::Result<Verdict> {
    let record = &case.record;
    let temp = TempFolder::create()?;
    let mut listed = Vec::new();
    for number in 0..SERVERS {
        let record = record.clone();
        let addr = serve(move |stream, _| cache_server(number, stream, &record))?;
        listed.push(Listed::new(&format!("s-{number}"), addr, "box"));
    }
    let addr = serve(origin)?;
    listed.push(Listed::new("origin-0", addr, "origin"));
    let discovery = Discovery::start(listed, record)?;
    let setup = Setup { memory_mb: MEMORY_MB, ..Setup::default() };
    let mut node = Node::start(case, &temp, &setup, &discovery)?;
    let begin = Instant::now();
    let until = begin + PLAYED;
    let counts: Arc<Mutex<Counts>> = Arc::default();
    for number in 0..CLIENTS {
        let (addr, together, counts, record) = (node.addr, case.trouble, counts.clone(), record.clone());
        spawn(move || {
            thread::sleep(ROUND * number as u32 / CLIENTS as u32);
            if let Err(error) = client(number, addr, together, until, &counts, &record) {
                record.line(format!("client {number} ends: {error}"));
            }
        });
    }
    // The platform: a node over its memory limit is killed.
    let limit = (MEMORY_MB as u64) << 20;
    let (mut most, mut next_line) = (0, begin);
    let mut killed = false;
    while Instant::now() < until {
        thread::sleep(LOOK_INTERVAL);
        let Some(now) = node.anonymous_memory() else { break };
        most = most.max(now);
        if Instant::now() >= next_line {
            next_line += Duration::from_millis(250);
            record.line(format!("the node has {} KiB; {:?}", now >> 10, counts.lock().unwrap()));
        }
        if now > limit {
            record.say(format!(
                "after {:.1} s the node has allocated {} KiB, and its limit is {} KiB: it is killed; {:?}",
                begin.elapsed().as_secs_f64(),
                now >> 10,
                limit >> 10,
                counts.lock().unwrap()
            ));
            killed = true;
            break;
        }
    }
    let counts = *counts.lock().unwrap();
    record.say(format!("most memory {} KiB of {}; {counts:?}", most >> 10, limit >> 10));
    if killed {
        node.signal("KILL")?;
        return Ok(Verdict::Broken);
    }
    if let Some(status) = node.ended() {
        return Err(io::Error::other(format!("the node ended: {status}; {}", node.log_tail())));
    }
    if counts.served == 0 {
        return Err(io::Error::other("no read was served"));
    }
    Ok(Verdict::Held)
}

/// Holds every key, and gives a long value steadily.
fn cache_server(number: usize, stream: TcpStream, record: &Record) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(command) = read_command(&mut reader)? {
        let (key, id) = (command.word(1), command.word(2));
        thread::sleep(CACHE_WORK);
        if !key.starts_with("long") {
            stream.write_all(&hit(&value_for(&key, &id, ORDINARY_VALUE_BYTES)))?;
            continue;
        }
        record.line(format!("s-{number} begins to give the value for {id}"));
        for part in hit(&value_for(&key, &id, LONG_VALUE_BYTES)).chunks(PART_BYTES) {
            stream.write_all(part)?;
            thread::sleep(PART_PAUSE);
        }
        record.line(format!("s-{number} has given the whole value for {id}"));
    }
    Ok(())
}

/// Answers reads after some time. It is asked only if no cache server may be.
fn origin(stream: TcpStream, _: usize) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(request) = read_http(&mut reader)? {
        thread::sleep(Duration::from_millis(150));
        let value = value_for(request.path.trim_start_matches('/'), request.header("X-Correlation-Id"), 1_000);
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", value.len())?;
        stream.write_all(&value)?;
    }
    Ok(())
}

/// Sends the reads of a round at once, or one after the other, and reads the answers as fast as they come.
fn client(
    number: usize,
    addr: SocketAddr,
    together: bool,
    until: Instant,
    counts: &Mutex<Counts>,
    record: &Record,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    let leaving = stream.try_clone()?;
    spawn(move || {
        thread::sleep(until.saturating_duration_since(Instant::now()));
        let _ = leaving.shutdown(Shutdown::Both);
    });
    let mut answers = BufReader::new(stream.try_clone()?);
    for round in 0.. {
        let begin = Instant::now();
        let reads: Vec<Vec<u8>> = (0..=ORDINARY_READS)
            .map(|index| {
                let id = format!("{number:04x}{round:04x}{index:04x}");
                let key = format!("{}{id}", if index == 0 { "long" } else { "key" });
                let facts = format!("c=read,t=one,d={}", CLIENT_WAITS.as_millis());
                command(&[b"CACHE.GET", key.as_bytes(), id.as_bytes(), facts.as_bytes()])
            })
            .collect();
        if together {
            record.line(format!("client {number} sends {} reads at once", reads.len()));
            counts.lock().unwrap().sent += reads.len();
            stream.write_all(&reads.concat())?;
        } else {
            record.line(format!("client {number} begins to send {} reads, one after the other", reads.len()));
        }
        for read in &reads {
            if !together {
                counts.lock().unwrap().sent += 1;
                stream.write_all(read)?;
            }
            let reply = read_reply(&mut answers)?;
            let mut counts = counts.lock().unwrap();
            match reply {
                Reply::Value(_) => counts.served += 1,
                Reply::Error(text) if text.starts_with("BUSY") => counts.refused += 1,
                Reply::Error(_) => counts.failed += 1,
            }
        }
        record.line(format!("client {number} has all answers of its round after {} ms", begin.elapsed().as_millis()));
        thread::sleep((begin + ROUND).saturating_duration_since(Instant::now()));
    }
    Ok(())
}
