//! Hundreds of clients that send or read slowly do not take the memory of the node, nor the service of others.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";
/// The memory limit of the node, in MiB.
const MEMORY_MB: usize = 64;
/// The clients of a crowd.
const CROWD: usize = 300;
/// The longest value that the node accepts, in bytes.
const MAX_VALUE: usize = 4 << 20;
/// How long a crowd stays.
const OBSERVATION: Duration = Duration::from_secs(4);
/// The pause between two pieces of a slow client.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// The deadline of the others' reads.
const DEADLINE: Duration = Duration::from_secs(2);

/// What a client of a crowd does.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    WritesSlowly,
    StopsInWrite,
    SendsShortFields,
    ReadsSlowly,
    ReadsManySlowly,
}

impl Behavior {
    /// What the client sends, and the number of bytes that it sends at a time. It sends at most half of a write.
    fn output(self, client: usize) -> (String, usize) {
        let id = format!("{client:016x}");
        let write = || {
            let whole = encode_command(&["CACHE.SET", &id, &id, "c=put,d=2000", &"w".repeat(MAX_VALUE)]);
            whole[..MAX_VALUE / 2].to_owned()
        };
        match self {
            Behavior::WritesSlowly => (write(), 4 << 10),
            Behavior::StopsInWrite => (write(), MAX_VALUE),
            Behavior::SendsShortFields => {
                (format!("*60\r\n$5\r\nwords\r\n$100000\r\n{}", "$1\r\nf\r\n".repeat(50_000)), 4 << 10)
            }
            Behavior::ReadsSlowly => (encode_command(&["CACHE.GET", &id, &id, "c=read,d=2000"]), 100),
            Behavior::ReadsManySlowly => {
                let reads = (0..60)
                    .map(|n| encode_command(&["CACHE.GET", &id, &format!("{id}-{n}"), "c=read,d=2000"]));
                (reads.collect(), 10_000)
            }
        }
    }

    /// Whether this may be the outcome of a read of another client. A crowd that asks a cache for far more than it can
    /// give has the node reject reads in time.
    fn allows(self, outcome: &Outcome) -> bool {
        let Outcome::Reply(reply) = outcome else { return false };
        let overloads = matches!(self, Behavior::ReadsManySlowly);
        reply == "v" || overloads && reply.starts_with("-BUSY")
    }
}

/// One client of a crowd, until `stop` is set: sends its output in pieces, and reads a little at a time.
fn behave(mut stream: TcpStream, behavior: Behavior, client: usize, stop: &AtomicBool) {
    let (output, piece) = behavior.output(client);
    stream.set_nonblocking(true).unwrap();
    let mut unsent = output.as_bytes();
    let mut buffer = [0; 1 << 10];
    while !stop.load(Ordering::Relaxed) {
        if let Ok(written) = stream.write(&unsent[..unsent.len().min(piece)]) {
            unsent = &unsent[written..];
        }
        let _ = stream.read(&mut buffer); // nothing may have come, and the node may have closed the connection
        thread::sleep(PIECE_PAUSE);
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Starts a node whose cache replies to "k" with a short value and to all other keys with the longest one.
fn start_node() -> Node {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let options = NodeOptions::new(&known, FakeServer::http().addr);
    let node = NodeOptions { memory_mb: MEMORY_MB, operator: true, ..options }.start();
    let long = Arc::new(format!("*3\r\n${MAX_VALUE}\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", "v".repeat(MAX_VALUE)));
    thread::spawn(move || {
        loop {
            let mut call = cache.next_call();
            let long = long.clone();
            if call.words[1] == "k" {
                call.try_reply("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n");
            } else {
                thread::spawn(move || call.try_reply(&long));
            }
        }
    });
    node
}

/// Guards against crowds that take the memory: the platform kills a node over its limit.
#[test]
fn crowds_of_slow_clients_take_neither_memory_nor_service() {
    for behavior in [
        Behavior::WritesSlowly,
        Behavior::StopsInWrite,
        Behavior::SendsShortFields,
        Behavior::ReadsSlowly,
        Behavior::ReadsManySlowly,
    ] {
        let node = start_node();
        let stop = Arc::new(AtomicBool::new(false));
        let crowd = (0..CROWD).map(|client| {
            let (stream, stop) = (TcpStream::connect(node.addr()).unwrap(), stop.clone());
            thread::spawn(move || behave(stream, behavior, client, &stop))
        });
        let crowd: Vec<_> = crowd.collect();
        let mut other = node.client();
        let (started, mut peak, mut slowest, mut number) = (Instant::now(), 0, Duration::ZERO, 0);
        while started.elapsed() < OBSERVATION {
            let sent = Instant::now();
            other.send(&["CACHE.GET", "k", &format!("other-{number}"), "c=read,d=2000"]);
            let outcome = other.read_outcome();
            assert!(behavior.allows(&outcome), "{behavior:?}: read {number}: {outcome:?}");
            slowest = slowest.max(sent.elapsed());
            peak = peak.max(node.memory_bytes());
            number += 1;
            thread::sleep(PIECE_PAUSE);
        }
        stop.store(true, Ordering::Relaxed);
        for client in crowd {
            client.join().unwrap();
        }
        println!("{behavior:?}: {number} reads, slowest {slowest:?}, {} KiB", peak >> 10);
        assert!(slowest < DEADLINE, "{behavior:?}: {slowest:?}");
        assert!(peak < MEMORY_MB << 20, "{behavior:?}: {} KiB", peak >> 10);
    }
}
