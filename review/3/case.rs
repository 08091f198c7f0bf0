//! A configuration file that misses a key of a class is not turned down, and keyed writes run twice from then on.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::world::*;

/// Cache servers, two in each zone.
const SERVERS: usize = 6;
/// One write in so many loses its connection after it has run.
const RESET_ONE_IN: u64 = 20;
const CLIENTS: u64 = 10;
const WRITES_PER_SECOND: u64 = 50;
const PLAYED: Duration = Duration::from_secs(20);
/// Clients start on new settings 1.2 s after SIGHUP at the earliest.
const AFTER_RELOAD: Duration = Duration::from_millis(1_500);
/// The window in which the servers of a zone drop repeats, and the deadline of the class.
const WINDOW: Duration = Duration::from_millis(3_000);
const DEADLINE_MS: u64 = 2_000;

fn zone_of(server: usize) -> &'static str {
    ZONES[server / 2]
}

/// One run of a write: by the server, at the time.
type Runs = Arc<Mutex<HashMap<String, Vec<(usize, Instant)>>>>;

pub fn run(case: &Case) -> io::Result<Verdict> {
    let record = &case.record;
    let temp = TempFolder::create()?;
    let runs: Runs = Arc::default();
    let mut listed = Vec::new();
    let resets = Arc::new(AtomicU64::new(0));
    for number in 0..SERVERS {
        let (runs, record, resets) = (runs.clone(), record.clone(), resets.clone());
        let addr = serve(move |stream, connection| {
            let random = Random::new((number * 1_000 + connection + 1) as u64);
            cache_server(number, stream, random, &runs, &resets, &record)
        })?;
        listed.push(Listed { zone: zone_of(number), ..Listed::new(&format!("s-{number}"), addr, "box") });
    }
    let discovery = Discovery::start(listed, record)?;
    let complete = Setup {
        mode: "through",
        write_scope: r#""DedupScope":"zone","#,
        write_ms: DEADLINE_MS,
        window_ms: WINDOW.as_millis() as u64,
        ..Setup::default()
    };
    let mut node = Node::start(case, &temp, &complete, &discovery)?;
    thread::sleep(Duration::from_millis(1_000));
    if case.trouble {
        record.say("the configuration is replaced by one whose class of writes misses the key DedupScope; SIGHUP");
        node.reload(&Setup { write_scope: "", ..complete }, &discovery)?;
    } else {
        record.say("the configuration is replaced by the same one; SIGHUP");
        node.reload(&complete, &discovery)?;
    }
    thread::sleep(AFTER_RELOAD);
    let answers: Arc<[AtomicU64; 3]> = Arc::default();
    let until = Instant::now() + PLAYED;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (addr, answers, record) = (node.addr, answers.clone(), record.clone());
            thread::spawn(move || client(number, addr, until, &answers, &record))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client has failed"))??;
    }
    if let Some(status) = node.ended() {
        return Err(io::Error::other(format!("the node ended: {status}; {}", node.log_tail())));
    }
    let answers: Vec<u64> = answers.iter().map(|count| count.load(Ordering::Relaxed)).collect();
    record.say(format!("writes served {}, refused {}, failed {}", answers[0], answers[1], answers[2]));
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| runs.len() > 1).collect();
    record.say(format!(
        "writes that ran {}; connections reset after the run {}; writes that ran more than once {}",
        runs.len(),
        resets.load(Ordering::Relaxed),
        twice.len()
    ));
    for (key, runs) in twice.iter().take(10) {
        let servers: Vec<String> =
            runs.iter().map(|(server, _)| format!("s-{server} (zone {})", zone_of(*server))).collect();
        let apart = runs[1].1 - runs[0].1;
        record.say(format!("  k={key} ran at {}, {} ms apart", servers.join(" and "), apart.as_millis()));
    }
    if answers[0] < 100 {
        return Err(io::Error::other("too few writes were served to judge"));
    }
    Ok(if twice.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Runs writes. The servers of a zone know which keys the others have run, and drop a repeat within the window.
fn cache_server(
    number: usize,
    stream: TcpStream,
    mut random: Random,
    runs: &Runs,
    resets: &AtomicU64,
    record: &Record,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(command) = read_command(&mut reader)? {
        thread::sleep(Duration::from_millis(20));
        let (id, facts) = (command.word(2), command.word(3));
        let key = facts.split(',').find_map(|fact| fact.strip_prefix("k=")).unwrap_or("").to_owned();
        let is_repeat = {
            let mut runs = runs.lock().unwrap();
            let known = runs.entry(key.clone()).or_default();
            let is_repeat = known.iter().any(|(server, at)| zone_of(*server) == zone_of(number) && at.elapsed() < WINDOW);
            if !is_repeat {
                known.push((number, Instant::now()));
            }
            is_repeat
        };
        record.line(format!("s-{number} {} {} {id} {facts}", if is_repeat { "drops" } else { "runs" }, command.word(0)));
        if !is_repeat && random.below(RESET_ONE_IN) == 0 {
            resets.fetch_add(1, Ordering::Relaxed);
            record.line(format!("s-{number} ends the connection of {id} after the run"));
            return Ok(());
        }
        stream.write_all(&hit(format!("receipt of {id}").as_bytes()))?;
    }
    Ok(())
}

fn client(
    number: u64,
    addr: std::net::SocketAddr,
    until: Instant,
    answers: &[AtomicU64; 3],
    record: &Record,
) -> io::Result<()> {
    let stream = TcpStream::connect(addr)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    let mut random = Random::new(number + 1);
    let pause = 2 * 1_000 * CLIENTS / WRITES_PER_SECOND;
    for index in 0.. {
        thread::sleep(Duration::from_millis(random.below(pause)));
        if Instant::now() > until {
            break;
        }
        let id = format!("{number:04x}{index:04x}");
        let facts = format!("c=write,t=one,d={DEADLINE_MS},k=w{id}");
        let key = format!("key{}", random.below(1_000));
        record.line(format!("client {number} sends CACHE.SET {key} {id} {facts}"));
        stream.write_all(&command(&[b"CACHE.SET", key.as_bytes(), id.as_bytes(), facts.as_bytes(), b"a value"]))?;
        let reply = read_reply(&mut reader)?;
        let (kind, text) = match reply {
            Reply::Value(_) => (0, "served".to_owned()),
            Reply::Error(text) if text.starts_with("BUSY") => (1, text),
            Reply::Error(text) => (2, text),
        };
        answers[kind].fetch_add(1, Ordering::Relaxed);
        record.line(format!("client {number} is answered {id}: {text}"));
    }
    Ok(())
}
