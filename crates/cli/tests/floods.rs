//! What clients ask at full speed does not keep others from their answers.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fakes::*;
use socket2::SockRef;

const CACHE: &str = "s-5be2a07c";
/// The memory limit of the node, in MiB.
const MEMORY_MB: usize = 64;
/// How long the others read beside a flood.
const OBSERVATION: Duration = Duration::from_secs(2);
/// The time that a read of the others states, in milliseconds; the deadline of its class.
const DEADLINE_MS: u64 = 2_000;
/// The latency objective of the class of the others' reads, which nine in ten of them keep.
const AIM: Duration = Duration::from_millis(300);
/// The pause after each read of the others.
const READ_PAUSE: Duration = Duration::from_millis(5);
/// The clients that read beside a flood.
const OTHERS: usize = 4;
/// The clients of a crowd that floods the node.
const CROWD: usize = 100;
/// The bytes that a flood writes at a time.
const BLOCK_BYTES: usize = 64 << 10;

/// The length of a large value, in bytes.
const LARGE_VALUE: usize = 1 << 20;

/// What a client of a flood sends.
#[derive(Clone, Copy, Debug)]
enum Flood {
    EmptyCommands,
    UnknownCommands,
    TooFewArguments,
    UnknownClasses,
    NewNames,
    Pings,
    ReadsWithoutTime,
    ManyReads,
    LargeWritesOfUnknownClasses,
}

impl Flood {
    /// The command with this number.
    fn command(self, number: usize) -> String {
        let id = format!("{number:016x}");
        match self {
            Flood::EmptyCommands => "*0\r\n".into(),
            Flood::UnknownCommands => encode_command(&["NOTHING", "k"]),
            Flood::TooFewArguments => encode_command(&["CACHE.GET", "k"]),
            Flood::UnknownClasses => {
                encode_command(&["CACHE.GET", "k", &id, &format!("c=class-{id},d=2000")])
            }
            Flood::NewNames => encode_command(&[
                &format!("NAME-{id}"),
                &format!("key-{id}"),
                &id,
                &format!("c=class-{id},t=tenant-{id},{id}={id}"),
            ]),
            Flood::Pings => encode_command(&["PING"]),
            Flood::ReadsWithoutTime => {
                encode_command(&["CACHE.GET", &format!("key-{id}"), &id, "c=read,d=0"])
            }
            Flood::LargeWritesOfUnknownClasses => {
                let value = "w".repeat(LARGE_VALUE);
                encode_command(&["CACHE.SET", "k", &id, "c=nothing,d=2000", &value])
            }
            Flood::ManyReads => encode_command(&[
                "CACHE.GET",
                &format!("key-{id}"),
                &id,
                &format!("c=read,t=tenant-{id},d=2000"),
            ]),
        }
    }
}

/// A client that sends commands at full speed until it is dropped, and reads what comes.
struct FloodingClient {
    stream: TcpStream,
    threads: Vec<JoinHandle<()>>,
}

impl FloodingClient {
    fn start(node: &Node, flood: Flood, client: usize, replies: &Arc<AtomicUsize>) -> FloodingClient {
        let stream = TcpStream::connect(node.addr()).unwrap();
        // The processor time for what a larger buffer holds would be taken from the node.
        SockRef::from(&stream).set_send_buffer_size(BLOCK_BYTES).unwrap();
        let (mut to, mut from, replies) =
            (stream.try_clone().unwrap(), stream.try_clone().unwrap(), replies.clone());
        let writer = thread::spawn(move || {
            let mut number = client << 32;
            loop {
                let mut block = String::new();
                while block.len() < BLOCK_BYTES {
                    block += &flood.command(number);
                    number += 1;
                }
                if to.write_all(block.as_bytes()).is_err() {
                    return;
                }
            }
        });
        let reader = thread::spawn(move || {
            let mut buffer = vec![0; BLOCK_BYTES];
            while let Ok(read @ 1..) = from.read(&mut buffer) {
                replies.fetch_add(
                    buffer[..read].iter().filter(|&&byte| byte == b'\n').count(),
                    Ordering::Relaxed,
                );
            }
        });
        FloodingClient { stream, threads: vec![writer, reader] }
    }
}

impl Drop for FloodingClient {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both); // the node may have closed it
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
    }
}

/// Held during a flood, so that floods do not take the processor time from each other's nodes.
static ONE_FLOOD: Mutex<()> = Mutex::new(());

/// What the others saw.
#[derive(Default, Debug)]
struct Seen {
    served: usize,
    rejected: usize,
    unanswered: usize,
    slowest: Duration,
    in_aim: usize,
}

/// Reads one key after the other until `stop` is set.
fn read_beside(node: &Node, reader: usize, stop: &Arc<AtomicBool>) -> JoinHandle<Seen> {
    let (mut client, stop) = (node.client(), stop.clone());
    thread::spawn(move || {
        let mut seen = Seen::default();
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                return seen;
            }
            let sent = Instant::now();
            client.send(&[
                "CACHE.GET",
                "k",
                &format!("other-{reader}-{number}"),
                &format!("c=read,d={DEADLINE_MS}"),
            ]);
            match client.read_outcome() {
                Outcome::Reply(reply) if reply == "v" => seen.served += 1,
                Outcome::Reply(_) => seen.rejected += 1,
                Outcome::Closed | Outcome::TimedOut => {
                    seen.unanswered += 1;
                    return seen;
                }
            }
            seen.slowest = seen.slowest.max(sent.elapsed());
            seen.in_aim += usize::from(sent.elapsed() <= AIM);
            thread::sleep(READ_PAUSE);
        }
        seen
    })
}

/// Runs a flood of so many clients beside others that read, and asserts that the others are served and that the node
/// stays within its memory.
fn assert_others_are_served_beside(flood: Flood, clients: usize) {
    let _alone = ONE_FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let options = NodeOptions::new(&known, FakeServer::http().addr);
    let node = NodeOptions { memory_mb: MEMORY_MB, operator: true, ..options }.start();
    thread::spawn(move || {
        loop {
            cache.next_call().try_reply("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n");
        }
    });
    let replies = Arc::new(AtomicUsize::new(0));
    let flooding: Vec<_> =
        (0..clients).map(|client| FloodingClient::start(&node, flood, client, &replies)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..OTHERS).map(|reader| read_beside(&node, reader, &stop)).collect();
    let (started, mut peak) = (Instant::now(), 0);
    while started.elapsed() < OBSERVATION {
        peak = peak.max(node.memory_bytes());
        thread::sleep(READ_PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    for other in others {
        let seen = other.join().unwrap();
        assert_eq!((seen.rejected, seen.unanswered), (0, 0), "{flood:?}: {seen:?}");
        assert!(seen.slowest < Duration::from_millis(DEADLINE_MS), "{flood:?}: {seen:?}");
        assert!(10 * seen.in_aim >= 9 * seen.served && seen.served > 0, "{flood:?}: {seen:?}");
    }
    assert!(peak < MEMORY_MB << 20, "{flood:?}: {} KiB", peak >> 10);
    assert!(replies.load(Ordering::Relaxed) > 0, "{flood:?}: the flood gets no reply");
    // Large commands come too rarely for that.
    let waits = node.metric("svc_turn_waits_total") > 0.0;
    assert!(
        waits || matches!(flood, Flood::LargeWritesOfUnknownClasses),
        "{flood:?}: nobody waited for a turn"
    );
    drop(flooding);
}

/// Guards against a client that takes the whole processor time of the node with commands that get an error.
#[test]
fn others_are_served_beside_one_client_that_sends_unsound_commands() {
    for flood in [
        Flood::EmptyCommands,
        Flood::UnknownCommands,
        Flood::TooFewArguments,
        Flood::UnknownClasses,
        Flood::NewNames,
    ] {
        assert_others_are_served_beside(flood, 1);
    }
}

/// Guards against a client that takes the whole processor time of the node with sound commands that no server gets.
#[test]
fn others_are_served_beside_one_client_that_sends_small_commands() {
    for flood in [Flood::Pings, Flood::ReadsWithoutTime, Flood::ManyReads, Flood::LargeWritesOfUnknownClasses]
    {
        assert_others_are_served_beside(flood, 1);
    }
}

/// Guards against a crowd of such clients that takes the processor time or the memory.
#[test]
fn others_are_served_beside_a_crowd_that_sends_unsound_commands() {
    for flood in [Flood::EmptyCommands, Flood::NewNames, Flood::Pings] {
        assert_others_are_served_beside(flood, CROWD);
    }
}

/// As above, with reads that are rejected at once.
#[test]
fn others_are_served_beside_a_crowd_that_sends_reads_without_time() {
    assert_others_are_served_beside(Flood::ReadsWithoutTime, CROWD);
}
