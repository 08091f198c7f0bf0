//! Clients with long values do not take the memory that the requests of others need.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";
/// The longest value that the node accepts, in bytes.
const MAX_VALUE: usize = 4 << 20;
/// An ordinary value that needs a buffer of its own, in bytes.
const ORDINARY_VALUE: usize = 16 << 10;
/// The memory limit of the node, in MiB.
const MEMORY_MB: usize = 64;
/// The number of the longest writes that fit in its buffers.
const HELD_WRITES: usize = 3;
/// More clients than the buffers have room for.
const LONG_CLIENTS: usize = 6;
/// By then the node has read what it reads of the commands that were sent before.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// The page's time for a client that stops in the middle of a command, and for the measurement.
const PROTOCOL_ERROR_LIMIT: Duration = Duration::from_millis(3_050);
/// An answer is lost if it comes later than this after its request's time.
const ANSWER_SLACK: Duration = Duration::from_millis(550);
/// What the clients state as `d`.
const REQUEST_TIME: Duration = Duration::from_millis(2_000);

fn start_node(cache: &FakeServer, origin: &FakeServer) -> Node {
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let options = NodeOptions::new(&known, FakeServer::http().addr);
    NodeOptions { memory_mb: MEMORY_MB, operator: true, ..options }.start()
}

/// A write whose id is its own.
fn write_command(id: usize, length: usize) -> String {
    encode_command(&["CACHE.SET", "key", &format!("{id:016x}"), "c=put,d=2000", &"w".repeat(length)])
}

/// Replies to all writes that reach the origin until the end of the test.
fn reply_to_writes(origin: FakeServer) {
    thread::spawn(move || {
        loop {
            origin.next_call().try_reply_http("200 OK", "stored");
        }
    });
}

fn assert_in_time(sent: Instant) {
    assert!(sent.elapsed() < REQUEST_TIME + ANSWER_SLACK, "the reply came after {:?}", sent.elapsed());
}

/// Guards against a deadlock on the memory: a session held the memory of a long write while it passed on the long read
/// before it, whose chunks waited for memory behind another long write.
#[test]
fn long_reads_and_writes_sent_together_are_all_answered() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = start_node(&cache, &origin);
    reply_to_writes(origin);
    let writes: Vec<String> = (0..LONG_CLIENTS).map(|number| write_command(number, MAX_VALUE)).collect();
    let mut clients: Vec<Client> = (0..LONG_CLIENTS).map(|_| node.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&["CACHE.GET", "key", &format!("read{number:012x}"), "c=read,d=2000"]);
        client.write(&writes[number][..ORDINARY_VALUE]);
    }
    let calls: Vec<Call> = (0..LONG_CLIENTS).map(|_| cache.next_call()).collect();
    thread::sleep(SETTLE_TIME);
    let value = "v".repeat(MAX_VALUE);
    for call in calls {
        let value = value.clone();
        thread::spawn(move || call.reply_value(&value));
    }
    let senders = clients.iter().zip(writes).map(|(client, write)| {
        let mut stream = client.stream().try_clone().unwrap();
        thread::spawn(move || stream.write_all(&write.as_bytes()[ORDINARY_VALUE..]))
    });
    let senders: Vec<_> = senders.collect();
    let readers = clients
        .into_iter()
        .map(|mut client| thread::spawn(move || (client.read_outcome(), client.read_outcome())));
    for reader in readers.collect::<Vec<_>>() {
        let (read, write) = reader.join().unwrap();
        assert!(read == Outcome::Reply(value.clone()), "a long read is not whole");
        assert!(matches!(write, Outcome::Reply(_)), "a long write has no reply: {write:?}");
    }
    for sender in senders {
        sender.join().unwrap().unwrap();
    }
}

/// Guards against ordinary writes that wait, without a limit, for the memory of clients that have stopped in the middle
/// of a long write, and against such clients getting their own error late.
#[test]
fn clients_that_stop_in_a_long_write_delay_nobody() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = start_node(&cache, &origin);
    reply_to_writes(origin);
    let stopped = (0..2 * LONG_CLIENTS).map(|number| {
        let mut client = node.client();
        client.write(&write_command(number, MAX_VALUE)[..ORDINARY_VALUE]);
        thread::spawn(move || {
            let sent = Instant::now();
            (client.read_outcome(), sent.elapsed())
        })
    });
    let stopped: Vec<_> = stopped.collect();
    thread::sleep(SETTLE_TIME);
    let mut client = node.client();
    let sent = Instant::now();
    client.write(write_command(1 << 20, ORDINARY_VALUE));
    assert_eq!(client.read_outcome(), Outcome::Reply("stored".into()));
    assert_in_time(sent);
    for client in stopped {
        let (outcome, after) = client.join().unwrap();
        assert_eq!(outcome, Outcome::Reply("-ERR no whole command".into()));
        assert!(after < PROTOCOL_ERROR_LIMIT, "the error came after {after:?}");
    }
}

/// Guards against a long write that waits for memory until after its time: it is rejected unexecuted, and its connection
/// serves the next command.
#[test]
fn long_write_without_memory_in_time_is_rejected() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = start_node(&cache, &origin);
    let write = |mut client: Client, text: String| {
        thread::spawn(move || {
            client.write(text);
            let (reply, at) = (client.read_outcome(), Instant::now());
            client.ping();
            (reply, at)
        })
    };
    // These have all memory for long commands until the origin replies.
    let patient = |number| write_command(number, MAX_VALUE).replace("d=2000", "d=9000");
    let holders: Vec<_> = (0..HELD_WRITES).map(|number| write(node.client(), patient(number))).collect();
    let calls: Vec<Call> = holders.iter().map(|_| origin.next_call()).collect();
    let sent = Instant::now();
    let (others, ids) = (LONG_CLIENTS - HELD_WRITES, HELD_WRITES..);
    let rejected: Vec<_> =
        ids.take(others).map(|number| write(node.client(), write_command(number, MAX_VALUE))).collect();
    for client in rejected {
        let (reply, at) = client.join().unwrap();
        assert!(matches!(&reply, Outcome::Reply(text) if text.starts_with("-BUSY")), "{reply:?}");
        assert!(at - sent < REQUEST_TIME + ANSWER_SLACK, "the rejection came after {:?}", at - sent);
    }
    assert_eq!(node.metric("svc_commands_discarded_total"), others as f64);
    assert!(origin.try_next_call().is_none(), "a rejected write has reached the origin");
    for call in calls {
        call.reply_http("200 OK", "stored");
    }
    for holder in holders {
        assert_eq!(holder.join().unwrap().0, Outcome::Reply("stored".into()));
    }
}
