//! Replies that wait behind a long value on their connection.

#[path = "common/fakes.rs"]
mod fakes;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

const CACHES: [&str; 6] = ["s-0", "s-1", "s-2", "s-3", "s-4", "s-5"];
/// The memory limit of the node, in MiB: the least that a deployment has.
const MEMORY_MB: usize = 32;
/// The longest value that the node accepts, in bytes.
const MAX_VALUE: usize = 4 << 20;
/// The longest value that is not relayed, in bytes.
const MAX_BUFFERED_VALUE: usize = 64 << 10;
/// The length of other values, in bytes.
const SHORT_VALUE: usize = 5;
/// Clients that read a long value and others behind it.
const CLIENTS: usize = 16;
/// The reads of each client behind the long value. Together the values are twice as long as the memory limit.
const READS_BEHIND: usize = 62;
/// A client starts this long after the one before it.
const CLIENT_INTERVAL: Duration = Duration::from_millis(100);
/// How long the memory of the node is observed.
const OBSERVATION: Duration = Duration::from_millis(2_000);

/// Starts a node whose caches reply to reads of long values with `reply_long`, and to all others at once with a value of
/// this length. Returns it with its origin.
fn start_node(short_value: usize, reply_long: impl Fn(Call) + Clone + Send + 'static) -> (Node, FakeServer) {
    let (caches, origin) = (CACHES.map(|_| FakeServer::cache()), FakeServer::http());
    let listed: Vec<_> = CACHES.into_iter().zip(caches.iter().map(|cache| cache.addr)).collect();
    let known = server_list(41, &listed, origin.addr);
    let options = NodeOptions::new(&known, FakeServer::http().addr);
    let node = NodeOptions { memory_mb: MEMORY_MB, operator: true, ..options }.start();
    for cache in caches {
        let value = "v".repeat(short_value);
        let (short, reply_long) =
            (format!("*3\r\n${short_value}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n"), reply_long.clone());
        thread::spawn(move || {
            loop {
                let mut call = cache.next_call();
                if call.words[1].starts_with("long") { reply_long(call) } else { call.try_reply(&short) }
            }
        });
    }
    (node, origin)
}

/// Sends the header of a long value and its first bytes.
fn begin_long_value(call: &mut Call, first_bytes: usize) {
    call.reply(format!("*3\r\n${MAX_VALUE}\r\n{}", "v".repeat(first_bytes)));
}

fn read_command(key: &str, id: &str) -> String {
    encode_command(&["CACHE.GET", key, id, "c=read,d=2000"])
}

/// A read of a long value and the reads behind it.
fn pipelined_reads(client: usize) -> String {
    let long = read_command(&format!("long-{client}"), &format!("long-{client}"));
    let behind = (0..READS_BEHIND).map(|read| format!("short-{client}-{read}"));
    behind.fold(long, |commands, key| commands + &read_command(&key, &key))
}

/// Guards against replies that wait for one before them in no memory budget: together they took a node over its limit.
#[test]
fn replies_that_wait_behind_long_values_stay_within_the_memory_limit() {
    let long_calls: Arc<Mutex<Vec<Call>>> = Arc::default();
    let begun = long_calls.clone();
    let (node, _origin) = start_node(MAX_BUFFERED_VALUE, move |mut call| {
        begin_long_value(&mut call, 1);
        begun.lock().unwrap().push(call);
    });
    let start = Instant::now();
    let mut clients: Vec<Client> = Vec::new();
    while start.elapsed() < OBSERVATION {
        let number = clients.len();
        if number < CLIENTS && start.elapsed() > CLIENT_INTERVAL * number as u32 {
            let mut client = node.client();
            client.write(pipelined_reads(number));
            clients.push(client);
        }
        let bytes = node.memory_bytes();
        assert!(bytes < MEMORY_MB << 20, "{bytes} bytes of memory after {:?}", start.elapsed());
        thread::sleep(Duration::from_millis(5));
    }
    for mut call in long_calls.lock().unwrap().drain(..) {
        let rest = "v".repeat(MAX_VALUE - 1) + "\r\n$3\r\nhit\r\n$-1\r\n";
        thread::spawn(move || call.try_reply(&rest));
    }
    let readers = clients.into_iter().map(|mut client| {
        thread::spawn(move || (0..=READS_BEHIND).all(|_| matches!(client.read_outcome(), Outcome::Reply(_))))
    });
    for reader in readers.collect::<Vec<_>>() {
        assert!(reader.join().unwrap(), "a request has no reply");
    }
}

/// Guards against requests that were executed and get no reply, because a value before them on their connection broke
/// off after its first bytes had been passed on.
#[test]
fn requests_behind_a_value_that_breaks_off_get_their_replies() {
    for pause in [Duration::ZERO, Duration::from_millis(300), Duration::from_millis(1_800)] {
        let (node, origin) = start_node(SHORT_VALUE, move |mut call| {
            thread::spawn(move || {
                begin_long_value(&mut call, MAX_VALUE / 2);
                thread::sleep(pause);
                call.close();
            });
        });
        let mut client = node.client();
        let commands = [
            read_command("short", "0"),
            read_command("long", "1"),
            read_command("short", "2"),
            encode_command(&["CACHE.SET", "key", "3", "c=put,d=2000", "w"]),
        ];
        client.write(commands.concat());
        origin.next_call().reply_http("200 OK", "stored");
        let replies: Vec<Outcome> = commands.iter().map(|_| client.read_outcome()).collect();
        let short = "v".repeat(SHORT_VALUE);
        let expected = [&short, "-ERR failed", &short, "stored"].map(|text| Outcome::Reply(text.into()));
        assert_eq!(replies, expected, "a value that breaks off after {pause:?}");
        client.ping();
        assert!(node.metric("svc_held_values_failed_total") >= 1.0);
    }
}

/// Guards against a value that is held back though no other reply is due: a client is owed what its server sends.
#[test]
fn value_without_a_request_behind_it_is_passed_on_as_it_arrives() {
    let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
    let (node, _origin) = start_node(SHORT_VALUE, move |mut call| {
        begin_long_value(&mut call, 1);
        calls.lock().unwrap().push(call); // the rest never comes
    });
    let mut client = node.client();
    client.write(read_command("long", "1"));
    assert_eq!(client.read_line(), format!("${MAX_VALUE}"));
}
