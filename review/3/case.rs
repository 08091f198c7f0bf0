//! Clients that write long values slowly, and clients that read long values at the same time.

use std::collections::HashMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::world::*;

const LONG_VALUE_BYTES: usize = 4 << 20;
/// The memory limit of the node.
const MEMORY_MB: usize = 192;
const SERVERS: usize = 3;
/// A cache server gives a long value in parts of this length, with this pause between them: in 3.2 s.
const PART_BYTES: usize = 64 << 10;
const PART_PAUSE: Duration = Duration::from_millis(50);
/// The work of a write at the origin.
const ORIGIN_WORK: Duration = Duration::from_millis(100);
const READERS: usize = 4;
const WRITERS: usize = 24;
/// Each writer begins a write so often. A slow one needs nearly all of this time to send it.
const WRITE_INTERVAL: Duration = Duration::from_millis(4_000);
/// A writer sends a value in pieces of this length.
const PIECE_BYTES: usize = 16 << 10;
const READS_BEGIN: Duration = Duration::from_millis(1_000);
const WRITES_BEGIN: Duration = Duration::from_millis(1_500);
/// What the readers tell as `d`. Over 64 KiB the timing covers the first bytes.
const CLIENT_WAITS: Duration = Duration::from_millis(1_200);
/// "Holding the rest back for 2 s loses it", and each time limit grows by 50 ms.
const LONGEST_HOLD: Duration = Duration::from_millis(2_050);
const PLAYED: Duration = Duration::from_secs(30);

/// How many bytes of the value of each request its cache server has written, by the request's id.
type Given = Arc<Mutex<HashMap<String, usize>>>;

/// What a reader has seen.
struct ReadSeen {
    id: String,
    received: usize,
    took: Duration,
    /// When the first bytes came, which have to come before the client gives up.
    first_after: Duration,
    /// The longest time in which nothing came although the server had given more before it began.
    longest_hold: Duration,
    ended: &'static str,
}

pub fn run(case: &Case) -> io::Result<Verdict> {
    let record = &case.record;
    let temp = TempFolder::create()?;
    let given = Given::default();
    let mut listed = Vec::new();
    for number in 0..SERVERS {
        let (given, record) = (given.clone(), record.clone());
        let addr = serve(move |stream, _| cache_server(number, stream, &given, &record))?;
        listed.push(Listed::new(&format!("s-{number}"), addr, "box"));
    }
    let origin_record = record.clone();
    let addr = serve(move |stream, _| origin(stream, &origin_record))?;
    listed.push(Listed::new("origin-0", addr, "origin"));
    let discovery = Discovery::start(listed, record)?;
    let setup = Setup { memory_mb: MEMORY_MB, ..Setup::default() };
    let mut node = Node::start(case, &temp, &setup, &discovery)?;
    let begin = Instant::now();
    let until = begin + PLAYED;
    let written: Arc<Mutex<[usize; 2]>> = Arc::default();
    let writers: Vec<_> = (0..WRITERS)
        .map(|number| {
            let (addr, slow, written, record) = (node.addr, case.trouble, written.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(WRITES_BEGIN + Duration::from_millis(20 * number as u64));
                writer(number, addr, slow, until, &written, &record)
            })
        })
        .collect();
    let readers: Vec<_> = (0..READERS)
        .map(|number| {
            let (addr, given, record) = (node.addr, given.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(READS_BEGIN);
                reader(number, addr, until, &given, &record)
            })
        })
        .collect();
    let mut verdict = Verdict::Held;
    let mut begun = 0;
    for reader in readers {
        let seen = reader.join().map_err(|_| io::Error::other("a reader has failed"))??;
        record.say(format!(
            "read {}: first bytes after {} ms; {}, {} of {LONG_VALUE_BYTES} bytes in {:.1} s, while the server had given {}; longest hold {:.2} s",
            seen.id,
            seen.first_after.as_millis(),
            seen.ended,
            seen.received,
            seen.took.as_secs_f64(),
            given.lock().unwrap().get(&seen.id).copied().unwrap_or(0),
            seen.longest_hold.as_secs_f64()
        ));
        let in_time = seen.received > 0 && seen.first_after < CLIENT_WAITS;
        begun += usize::from(in_time);
        if in_time && seen.longest_hold > LONGEST_HOLD {
            verdict = Verdict::Broken;
        }
    }
    for writer in writers {
        writer.join().map_err(|_| io::Error::other("a writer has failed"))??;
    }
    if let Some(status) = node.ended() {
        return Err(io::Error::other(format!("the node ended: {status}; {}", node.log_tail())));
    }
    let [served, other] = *written.lock().unwrap();
    record.say(format!("writes served {served}, refused or failed {other}"));
    if begun == 0 || served == 0 {
        return Err(io::Error::other("no long read has begun, or no write was served"));
    }
    Ok(verdict)
}

/// Holds every key, with long values, and gives a value steadily.
fn cache_server(number: usize, stream: TcpStream, given: &Given, record: &Record) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(command) = read_command(&mut reader)? {
        let (key, id) = (command.word(1), command.word(2));
        record.line(format!("s-{number} begins to give the value for {id}"));
        for part in hit(&value_for(&key, &id, LONG_VALUE_BYTES)).chunks(PART_BYTES) {
            stream.write_all(part)?;
            *given.lock().unwrap().entry(id.clone()).or_default() += part.len();
            thread::sleep(PART_PAUSE);
        }
        record.line(format!("s-{number} has given the whole value for {id}"));
    }
    Ok(())
}

/// Carries out writes, in order on each connection.
fn origin(stream: TcpStream, record: &Record) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(request) = read_http(&mut reader)? {
        thread::sleep(ORIGIN_WORK);
        let id = request.header("X-Correlation-Id");
        record.line(format!("the origin runs {} {} of {id}", request.method, request.path));
        let receipt = format!("receipt of {id}");
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{receipt}", receipt.len())?;
    }
    Ok(())
}

/// Reads one long value as fast as it comes.
fn reader(number: usize, addr: SocketAddr, until: Instant, given: &Given, record: &Record) -> io::Result<ReadSeen> {
    let mut stream = TcpStream::connect(addr)?;
    let (key, id) = (format!("long{number}"), format!("aa{number:04x}"));
    stream.write_all(&command(&[b"CACHE.GET", key.as_bytes(), id.as_bytes(), b"c=read,t=one,d=1200"]))?;
    record.line(format!("reader {number} sends CACHE.GET {key} {id}"));
    stream.set_read_timeout(Some(Duration::from_millis(50)))?;
    let begin = Instant::now();
    let whole = LONG_VALUE_BYTES + format!("${LONG_VALUE_BYTES}\r\n\r\n").len();
    let mut seen = ReadSeen {
        id: id.clone(),
        received: 0,
        took: Duration::ZERO,
        first_after: Duration::ZERO,
        longest_hold: Duration::ZERO,
        ended: "",
    };
    let mut buffer = vec![0; 256 << 10];
    let mut last = Instant::now();
    // What the server had given when the last byte came here.
    let mut given_by_then = 0;
    while seen.received < whole {
        if Instant::now() > until {
            seen.ended = "not whole at the end of the play";
            break;
        }
        match stream.read(&mut buffer) {
            Ok(0) => {
                seen.ended = "closed by the node";
                break;
            }
            Ok(length) => {
                if last.elapsed() > Duration::from_millis(500) {
                    record.line(format!("reader {number} has got nothing for {:?} at {} bytes", last.elapsed(), seen.received));
                }
                if seen.received == 0 {
                    seen.first_after = begin.elapsed();
                }
                seen.received += length;
                last = Instant::now();
                given_by_then = given.lock().unwrap().get(&id).copied().unwrap_or(0);
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
        // 128 KiB: what may be between the server's write and this read at any time.
        if seen.received > 0 && given_by_then > seen.received + (128 << 10) {
            seen.longest_hold = seen.longest_hold.max(last.elapsed());
        }
    }
    if seen.received == whole {
        seen.ended = "whole";
    }
    seen.took = begin.elapsed();
    record.line(format!("reader {number} ends: {}", seen.ended));
    Ok(seen)
}

/// Writes one long value after the other, slowly or at once.
fn writer(
    number: usize,
    addr: SocketAddr,
    slow: bool,
    until: Instant,
    written: &Mutex<[usize; 2]>,
    record: &Record,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    let mut answers = BufReader::new(stream.try_clone()?);
    for round in 0.. {
        let begin = Instant::now();
        if begin + WRITE_INTERVAL > until {
            break;
        }
        let id = format!("bb{number:04x}{round:04x}");
        let (key, facts) = (format!("written{number}"), format!("c=write,t=one,d=5000,k=w{id}"));
        let value = value_for(&key, &id, LONG_VALUE_BYTES);
        let text = command(&[b"CACHE.SET", key.as_bytes(), id.as_bytes(), facts.as_bytes(), &value]);
        record.line(format!("writer {number} begins to send CACHE.SET {key} {id}"));
        let pieces = text.len().div_ceil(PIECE_BYTES) as u32;
        for (index, piece) in text.chunks(PIECE_BYTES).enumerate() {
            if slow {
                let due = begin + WRITE_INTERVAL * index as u32 / pieces;
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
            stream.write_all(piece)?;
        }
        record.line(format!("writer {number} has sent {id}"));
        let served = matches!(read_reply(&mut answers)?, Reply::Value(_));
        written.lock().unwrap()[usize::from(!served)] += 1;
        record.line(format!("writer {number} is answered {id}: {}", if served { "served" } else { "an error" }));
        thread::sleep((begin + WRITE_INTERVAL).saturating_duration_since(Instant::now()));
    }
    Ok(())
}
