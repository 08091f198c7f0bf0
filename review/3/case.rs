//! A planned restart while clients read long values.

use std::collections::HashMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::world::*;

/// The longest value that the pages name.
const LONG_VALUE_BYTES: usize = 4 << 20;
const SERVERS: usize = 3;
/// The work of a read at a cache server.
const CACHE_WORK: Duration = Duration::from_millis(100);
/// A cache server gives a value in parts of this length, with this pause between them: in 6.4 s.
const PART_BYTES: usize = 64 << 10;
const PART_PAUSE: Duration = Duration::from_millis(100);
/// The clients, which begin one after the other.
const READERS: usize = 6;
const READERS_APART: Duration = Duration::from_millis(200);
/// What the clients tell as `d`. Over 64 KiB the timing covers the first bytes.
const CLIENT_WAITS: Duration = Duration::from_millis(1_200);
/// When the platform sends SIGTERM, counted from the first read.
const SIGTERM_AT: Duration = Duration::from_millis(1_500);
/// When it sends SIGKILL, counted from SIGTERM: no sooner than 3.7 s.
const SIGKILL_AFTER: Duration = Duration::from_millis(10_000);
const PLAYED: Duration = Duration::from_millis(15_000);

/// How many bytes of the value of each read its cache server has given, and whether it could give all.
type Given = Arc<Mutex<HashMap<String, (usize, bool)>>>;

struct ReadSeen {
    id: String,
    first_after: Duration,
    received: usize,
    whole: bool,
    ended: String,
    /// When the connection ended or the value was whole.
    ended_at: Instant,
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
    let addr = serve(|_, _| Ok(()))?; // the origin is not asked
    listed.push(Listed::new("origin-0", addr, "origin"));
    let discovery = Discovery::start(listed, record)?;
    let mut node = Node::start(case, &temp, &Setup::default(), &discovery)?;
    let begin = Instant::now();
    let until = begin + PLAYED;
    let readers: Vec<_> = (0..READERS)
        .map(|number| {
            let (addr, record) = (node.addr, record.clone());
            thread::spawn(move || {
                thread::sleep(READERS_APART * number as u32);
                reader(number, addr, until, &record)
            })
        })
        .collect();
    let mut node_ended_after = None;
    let sigterm_at = begin + SIGTERM_AT;
    if case.trouble {
        thread::sleep(sigterm_at.saturating_duration_since(Instant::now()));
        record.say("the platform sends SIGTERM");
        node.signal("TERM")?;
        while sigterm_at.elapsed() < SIGKILL_AFTER {
            thread::sleep(Duration::from_millis(5));
            if let Some(status) = node.ended() {
                node_ended_after = Some(sigterm_at.elapsed());
                record.say(format!("the node has ended by itself {} ms after SIGTERM: {status}", sigterm_at.elapsed().as_millis()));
                break;
            }
        }
        if node_ended_after.is_none() {
            record.say("the platform sends SIGKILL");
            let _ = node.signal("KILL");
        }
    }
    let mut begun = 0;
    let mut verdict = Verdict::Held;
    for reader in readers {
        let seen = reader.join().map_err(|_| io::Error::other("a reader has failed"))??;
        let (given, _) = given.lock().unwrap().get(&seen.id).copied().unwrap_or_default();
        record.say(format!(
            "read {}: first bytes after {} ms; {}, {} of {LONG_VALUE_BYTES} bytes, while the server had given {given}",
            seen.id, seen.first_after.as_millis(), seen.ended, seen.received
        ));
        let in_time = seen.received > 0 && seen.first_after < CLIENT_WAITS;
        begun += usize::from(in_time);
        // Ended by the node itself, not by the platform's SIGKILL.
        let before_kill = node_ended_after.is_some() || seen.ended_at < sigterm_at + SIGKILL_AFTER;
        if in_time && !seen.whole && before_kill {
            verdict = Verdict::Broken;
        }
    }
    if begun == 0 {
        return Err(io::Error::other("no long read has begun"));
    }
    Ok(verdict)
}

/// Holds every key, and gives a value steadily.
fn cache_server(number: usize, stream: TcpStream, given: &Given, record: &Record) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(command) = read_command(&mut reader)? {
        let (key, id) = (command.word(1), command.word(2));
        thread::sleep(CACHE_WORK);
        record.line(format!("s-{number} begins to give the value for {id}"));
        for part in hit(&value_for(&key, &id, LONG_VALUE_BYTES)).chunks(PART_BYTES) {
            if let Err(error) = stream.write_all(part) {
                record.line(format!("s-{number} cannot give the rest for {id}: {error}"));
                return Err(error);
            }
            given.lock().unwrap().entry(id.clone()).or_default().0 += part.len();
            thread::sleep(PART_PAUSE);
        }
        record.line(format!("s-{number} has given the whole value for {id}"));
    }
    Ok(())
}

/// Reads one long value as fast as it comes.
fn reader(number: usize, addr: SocketAddr, until: Instant, record: &Record) -> io::Result<ReadSeen> {
    let mut stream = TcpStream::connect(addr)?;
    let (key, id) = (format!("long{number}"), format!("aa{number:04x}"));
    let facts = format!("c=read,t=one,d={}", CLIENT_WAITS.as_millis());
    stream.write_all(&command(&[b"CACHE.GET", key.as_bytes(), id.as_bytes(), facts.as_bytes()]))?;
    record.line(format!("reader {number} sends CACHE.GET {key} {id}"));
    stream.set_read_timeout(Some(Duration::from_millis(50)))?;
    let begin = Instant::now();
    let length = LONG_VALUE_BYTES + format!("${LONG_VALUE_BYTES}\r\n\r\n").len();
    let mut seen =
        ReadSeen { id, first_after: Duration::ZERO, received: 0, whole: false, ended: String::new(), ended_at: begin };
    let mut buffer = vec![0; 64 << 10];
    while seen.received < length && seen.ended.is_empty() {
        if Instant::now() > until {
            seen.ended = "not whole at the end of the play".into();
            break;
        }
        match stream.read(&mut buffer) {
            Ok(0) => seen.ended = "the connection was closed".into(),
            Ok(read) => {
                if seen.received == 0 {
                    seen.first_after = begin.elapsed();
                }
                seen.received += read;
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) => seen.ended = format!("the connection broke: {error}"),
        }
    }
    seen.whole = seen.received == length;
    seen.ended_at = Instant::now();
    if seen.whole {
        seen.ended = "whole".into();
    }
    seen.ended = format!("{} after {:.1} s", seen.ended, begin.elapsed().as_secs_f64());
    record.line(format!("reader {number} ends: {}", seen.ended));
    Ok(seen)
}
