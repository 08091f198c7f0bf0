//! Cache servers that are some milliseconds away send a second copy of some answers.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use crate::world::*;

/// Cache servers, two in each zone.
const SERVERS: u64 = 6;
/// The time of a message on its way between the node and a cache server of its own zone, and of another one.
const ONE_WAY_SAME: Duration = Duration::from_micros(200);
const ONE_WAY_CROSS: Duration = Duration::from_millis(10);
/// The work of a request.
const WORK: Duration = Duration::from_millis(20);
/// One answer in so many is followed by a second copy of it, if nothing else waits on the connection by then.
const COPY_ONE_IN: u64 = 50;
/// A copy comes 2 to 6 ms after the answer.
const COPY_AFTER_MS: (u64, u64) = (2, 7);
const CLIENTS: u64 = 30;
const READS_PER_SECOND: u64 = 250;
const KEYS: u64 = 500;
const VALUE_BYTES: usize = 200;
const PLAYED: Duration = Duration::from_secs(80);

#[derive(Default)]
struct Counts {
    copies: AtomicU64,
    right: AtomicU64,
    refused_or_failed: AtomicU64,
    /// Requests that were answered with a value that was not made for them, with the id of the one it was made for.
    wrong: Mutex<Vec<(String, String)>>,
}

pub fn run(case: &Case) -> io::Result<Verdict> {
    let record = &case.record;
    let temp = TempFolder::create()?;
    let counts = Arc::new(Counts::default());
    let mut listed = Vec::new();
    for number in 0..SERVERS {
        let zone = ZONES[number as usize / 2];
        let one_way = if zone == ZONES[0] { ONE_WAY_SAME } else { ONE_WAY_CROSS };
        let (counts, record, trouble) = (counts.clone(), record.clone(), case.trouble);
        let addr = serve(move |stream, connection| {
            let random = Random::new(number * 1_000 + connection as u64 + 1);
            let name = format!("s-{number}/{connection}");
            cache_server(&name, stream, one_way, random, trouble, &counts, &record)
        })?;
        listed.push(Listed { zone, ..Listed::new(&format!("s-{number}"), addr, "box") });
    }
    let discovery = Discovery::start(listed, record)?;
    let mut node = Node::start(case, &temp, &Setup::default(), &discovery)?;
    let until = Instant::now() + PLAYED;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (addr, counts, record) = (node.addr, counts.clone(), record.clone());
            thread::spawn(move || client(number, addr, until, &counts, &record))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client has failed"))??;
    }
    if let Some(status) = node.ended() {
        return Err(io::Error::other(format!("the node ended: {status}; {}", node.log_tail())));
    }
    let right = counts.right.load(Ordering::Relaxed);
    let wrong = counts.wrong.lock().unwrap();
    record.say(format!(
        "second copies sent {}; reads answered with their own value {right}, with another request's value {}, with an error {}",
        counts.copies.load(Ordering::Relaxed),
        wrong.len(),
        counts.refused_or_failed.load(Ordering::Relaxed)
    ));
    for (asked, got) in wrong.iter().take(5) {
        record.say(format!("  request {asked} was answered with the value that was made for {got}"));
    }
    if right < 1_000 {
        return Err(io::Error::other("too few reads were served to judge"));
    }
    Ok(if wrong.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// What is on its way from a cache server to the node: when it arrives, and its bytes.
type OnItsWay = mpsc::Sender<(Instant, Vec<u8>)>;

/// Holds every key, and answers in the order of the commands. The network between it and the node takes `one_way` in both
/// directions, which this plays.
fn cache_server(
    name: &str,
    stream: TcpStream,
    one_way: Duration,
    mut random: Random,
    trouble: bool,
    counts: &Arc<Counts>,
    record: &Record,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    let (to_node, on_its_way): (OnItsWay, _) = mpsc::channel();
    spawn(move || {
        for (arrives, bytes) in on_its_way {
            thread::sleep(arrives.saturating_duration_since(Instant::now()));
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    });
    // The number of commands that the node has sent on this connection, those on their way included.
    let sent = Arc::new(AtomicU64::new(0));
    let (to_server, commands) = mpsc::channel::<(Instant, u64, CacheCommand)>();
    let (name, sent_by_node, counts, record) = (name.to_owned(), sent.clone(), counts.clone(), record.clone());
    spawn(move || {
        for (arrives, number, command) in commands {
            thread::sleep((arrives + WORK).saturating_duration_since(Instant::now()));
            let id = command.word(2);
            let answer = hit(&value_for(&command.word(1), &id, VALUE_BYTES));
            record.line(format!("{name} answers {id}"));
            let _ = to_node.send((Instant::now() + one_way, answer.clone()));
            if !trouble || random.below(COPY_ONE_IN) != 0 {
                continue;
            }
            let copy_after = COPY_AFTER_MS.0 + random.below(COPY_AFTER_MS.1 - COPY_AFTER_MS.0);
            thread::sleep(Duration::from_millis(copy_after));
            // Only when nothing else waits on the connection. What is still on its way here counts as waiting too.
            if sent_by_node.load(Ordering::SeqCst) == number {
                counts.copies.fetch_add(1, Ordering::Relaxed);
                record.line(format!("{name} sends a second copy of the answer to {id}, {copy_after} ms after it"));
                let _ = to_node.send((Instant::now() + one_way, answer));
            }
        }
    });
    while let Some(command) = read_command(&mut reader)? {
        let number = sent.fetch_add(1, Ordering::SeqCst) + 1;
        let _ = to_server.send((Instant::now() + one_way, number, command));
    }
    Ok(())
}

fn client(number: u64, addr: SocketAddr, until: Instant, counts: &Counts, record: &Record) -> io::Result<()> {
    let stream = TcpStream::connect(addr)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    let mut random = Random::new(number + 1);
    let pause = 2 * 1_000 * CLIENTS / READS_PER_SECOND;
    let mut own: HashMap<String, Vec<u8>> = HashMap::new();
    for index in 0.. {
        thread::sleep(Duration::from_millis(random.below(pause)));
        if Instant::now() > until {
            break;
        }
        let (key, id) = (format!("key{}", random.below(KEYS)), format!("{number:04x}{index:06x}"));
        own.insert(id.clone(), value_for(&key, &id, VALUE_BYTES));
        record.line(format!("client {number} sends CACHE.GET {key} {id}"));
        stream.write_all(&command(&[b"CACHE.GET", key.as_bytes(), id.as_bytes(), b"c=read,t=one,d=1200"]))?;
        match read_reply(&mut reader)? {
            Reply::Value(value) if value == own[&id] => {
                counts.right.fetch_add(1, Ordering::Relaxed);
                record.line(format!("client {number} is answered {id}: its value"));
            }
            Reply::Value(value) => {
                let text = String::from_utf8_lossy(&value).into_owned();
                let made_for = text.split('/').nth(1).unwrap_or("?").to_owned();
                record.line(format!("client {number} is answered {id}: ANOTHER VALUE, made for {made_for}"));
                counts.wrong.lock().unwrap().push((id, made_for));
            }
            Reply::Error(text) => {
                counts.refused_or_failed.fetch_add(1, Ordering::Relaxed);
                record.line(format!("client {number} is answered {id}: {text}"));
            }
        }
    }
    Ok(())
}
