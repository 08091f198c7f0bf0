//! Clients send reads behind a read of a long value on the same connection. The answers wait there in the node, and
//! together they exceed its memory limit.

use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{write_hit, Cache, Context, Verdict};
use crate::client::{get, new_id, Client};
use crate::discovery::Discovery;
use crate::node::{Node, Settings};
use crate::origin::Origin;
use crate::resp::Reply;

/// The node's memory limit: 32 to 192 MB by the pages.
const LIMIT_MB: u64 = 64;
const CLIENTS: usize = 22;
/// What a client reads behind the long value.
const SHORT_READS: usize = 60;
/// A client begins this much later than the one before.
const STAGGER: Duration = Duration::from_millis(250);
/// The values: the long one of 4 MiB comes in pieces, in about 5 s; the others are as long as an ordinary one may be.
const LONG_BYTES: usize = 4 << 20;
const SHORT_BYTES: usize = 64 << 10;
const PIECES: usize = 64;
const PIECE_PAUSE: Duration = Duration::from_millis(80);
const PLAY: Duration = Duration::from_secs(30);

fn answer(key: &str, to: &mut std::net::TcpStream) -> io::Result<()> {
    if !key.starts_with("long") {
        thread::sleep(Duration::from_millis(2));
        return write_hit(to, &[b's'; SHORT_BYTES]);
    }
    to.write_all(format!("*3\r\n${LONG_BYTES}\r\n").as_bytes())?;
    let piece = [b'l'; LONG_BYTES / PIECES];
    for _ in 0..PIECES {
        to.write_all(&piece)?;
        thread::sleep(PIECE_PAUSE);
    }
    to.write_all(b"\r\n$3\r\nhit\r\n$-1\r\n")
}

/// One round of a client: a long read and the short ones, all answers in turn. With `at_once` all commands
/// are sent in one write, else each after the answer before it. Returns the number of whole answers.
fn round(client: &mut Client, number: usize, at_once: bool) -> io::Result<u64> {
    let mut served = 0;
    let long = get(&format!("long-{number}"), &new_id(), 1_200);
    let short = |turn: usize| get(&format!("short-{}", number * SHORT_READS + turn), &new_id(), 1_200);
    let is_served = |reply: Reply| u64::from(matches!(reply, Reply::Bulk(_)));
    if at_once {
        let mut commands = long;
        (0..SHORT_READS).for_each(|turn| commands.extend(short(turn)));
        client.send(&commands)?;
        for _ in 0..=SHORT_READS {
            served += is_served(client.reply()?);
        }
    } else {
        client.send(&long)?;
        served += is_served(client.reply()?);
        for turn in 0..SHORT_READS {
            client.send(&short(turn))?;
            served += is_served(client.reply()?);
        }
    }
    Ok(served)
}

pub fn run(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let discovery = Discovery::start(record)?;
    let origin = Origin::start(record, Duration::from_millis(20))?;
    let mut caches = Vec::new();
    for number in 0..6 {
        caches.push(Cache::start(&format!("s-{number}"), |call, to| answer(&call.key, to))?);
    }
    let mut listed: Vec<_> = caches.iter().map(|c| (c.id.as_str(), c.addr, "box", "SERVING")).collect();
    listed.push(("origin", origin.addr, "origin", "SERVING"));
    discovery.change(&listed);
    let settings = Settings { memory_mb: LIMIT_MB, ..Settings::ASKED };
    let node = Node::start(context, 0, &settings, discovery.addr, &discovery.list())?;

    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let at_once = context.trouble;
    for number in 0..CLIENTS {
        let (stop, served, listen) = (stop.clone(), served.clone(), node.listen);
        thread::spawn(move || {
            thread::sleep(STAGGER * number as u32);
            while !stop.load(Ordering::Relaxed) {
                let begun = Instant::now();
                if let Ok(count) =
                    Client::connect(listen).and_then(|mut client| round(&mut client, number, at_once))
                {
                    served.fetch_add(count, Ordering::Relaxed);
                }
                // 61 reads in 5.5 s at most: 244 reads a second of all clients.
                thread::sleep(Duration::from_millis(5_500).saturating_sub(begun.elapsed()));
            }
        });
    }
    let started = Instant::now();
    let (mut highest, mut next_line) = (0, Duration::ZERO);
    let mut verdict = Verdict::Held;
    while started.elapsed() < PLAY {
        let Some(memory) = node.memory() else {
            return Ok(Verdict::Void(
                "the memory of the node's process can't be read, or it has ended".into(),
            ));
        };
        highest = highest.max(memory);
        if started.elapsed() >= next_line {
            let calls: usize = caches.iter().map(|cache| cache.calls().len()).sum();
            record.line(format!(
                "the node has {:.1} MiB; {calls} commands at the cache servers, {} values served",
                memory as f64 / 1_048_576.0,
                served.load(Ordering::Relaxed)
            ));
            next_line += Duration::from_millis(500);
        }
        if memory > LIMIT_MB << 20 {
            record.line(format!(
                "CRASH: the node has {:.1} MiB, more than its {LIMIT_MB} MiB: the platform kills it",
                memory as f64 / 1_048_576.0
            ));
            verdict = Verdict::Broken;
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::Relaxed);
    record.line(format!("the most memory seen: {:.1} MiB", highest as f64 / 1_048_576.0));
    if matches!(verdict, Verdict::Held) && served.load(Ordering::Relaxed) == 0 {
        return Ok(Verdict::Void("nothing was served".into()));
    }
    Ok(verdict)
}
