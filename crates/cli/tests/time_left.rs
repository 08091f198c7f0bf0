//! An attempt states to its server no more time than its client has left, as far as the node can know it.
//!
//! The tests produce the critical orders by events: a connection that is accepted, a node that is stopped and
//! continued, a reply that is held back. They sleep only for the time that has to pass between two events.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";
/// How long a command waits in these tests before the node reads it.
const UNREAD_TIME: Duration = Duration::from_millis(400);
/// The time that steps of the kernel and of the test may take between two readings of the clock.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(20);
/// How many requests one connection may have open at once.
const MAX_OPEN_REQUESTS: usize = 64;

/// Settings with a connect timeout that no test reaches.
fn settings_without_connect_timeout() -> String {
    SETTINGS.replace(r#""ConnectTimeout":10000.0"#, r#""ConnectTimeout":600000.0"#)
}

fn start_node(settings: &str, cache: SocketAddr, origin: SocketAddr) -> Node {
    let known = server_list(41, &[(CACHE, cache)], origin);
    NodeOptions {
        settings,
        sockets: 4_096,
        operator: true,
        ..NodeOptions::new(&known, FakeServer::http().addr)
    }
    .start()
}

/// The deadline that the client of a [`Fixture`] states with each command.
const LONG_DEADLINE: Duration = Duration::from_secs(60);
/// More pings than the limit of pending replies, and fewer than the kernels of both sides buffer.
const PINGS: usize = 6_000;

/// A node whose client has one read in flight at the cache.
struct Fixture {
    first: Call,
    client: Client,
    _node: Node,
    _origin: FakeServer,
    cache: FakeServer,
}

impl Fixture {
    fn with_read_in_flight() -> Fixture {
        let (cache, origin) = (FakeServer::cache(), FakeServer::http());
        let node = start_node(SETTINGS, cache.addr, origin.addr);
        let mut client = node.client();
        client.send_get("k", &format!("c=read,d={}", LONG_DEADLINE.as_millis()));
        let first = cache.next_call();
        Fixture { first, client, _node: node, _origin: origin, cache }
    }
}

/// The time that a request states to its server.
fn stated_time(call: &Call) -> Duration {
    let facts = call.words.iter().find(|word| word.contains("c=") && word.contains("d=")).expect("facts");
    let stated = facts.split([',', ' ']).find_map(|fact| fact.strip_prefix("d=")).expect("a time");
    Duration::from_millis(stated.parse().unwrap())
}

/// Waits until no connection to a server is in progress.
fn wait_until_connected(started: Instant, connecting: impl Fn() -> usize) {
    while connecting() > 0 {
        assert!(started.elapsed() < TEST_TIMEOUT, "a connection stays in progress");
        thread::yield_now();
    }
}

/// Guards against a request that is sent after its deadline: its connection is established only then, and the node
/// learns of both at the same time.
#[test]
fn request_is_not_sent_on_a_connection_made_after_its_deadline() {
    const DEADLINE: Duration = Duration::from_millis(300);
    for write in [false, true] {
        let (late, other) = if write {
            (BackloggedServer::http(), FakeServer::cache())
        } else {
            (BackloggedServer::cache(), FakeServer::http())
        };
        let (cache, origin) = if write { (other.addr, late.addr) } else { (late.addr, other.addr) };
        let node = start_node(&settings_without_connect_timeout(), cache, origin);
        let mut client = node.client();
        let sent = Instant::now();
        if write {
            client.send_set("k", &format!("c=put,d={},k=1", DEADLINE.as_millis()), "v");
        } else {
            client.send_get("k", &format!("c=read,d={}", DEADLINE.as_millis()));
        }
        late.wait_for_connecting(1);
        node.pause();
        thread::sleep(DEADLINE.saturating_sub(sent.elapsed()) + CLOCK_TOLERANCE);
        let at = late.addr;
        let server = late.accept_connections();
        wait_until_connected(Instant::now(), || connecting_sockets(at));
        // When the node continues, it finds both the passed deadline and the new connection.
        node.resume();
        let answer = client.read_reply().unwrap();
        assert!(answer.starts_with("-BUSY"), "write {write}: {answer}");
        let mut next = node.client();
        if write {
            next.send(&["CACHE.SET", "k", "the-next", "c=put,d=60000,k=2", "v"]);
        } else {
            next.send(&["CACHE.GET", "k", "the-next", "c=read,d=60000"]);
        }
        let call = server.next_call();
        assert!(
            call.words.iter().any(|word| word.contains("the-next")),
            "sent after the deadline: {:?}",
            call.words
        );
    }
}

/// Guards against a command whose deadline is counted from when it is read, after the node had paused reading at the
/// limit of pending replies.
#[test]
fn command_unread_at_the_pending_reply_limit_states_time_since_its_arrival() {
    let Fixture { first, mut client, _node, _origin, cache } = Fixture::with_read_in_flight();
    client.write(encode_command(&["PING"]).repeat(PINGS));
    client.send(&["CACHE.GET", "l", "the-last", &format!("c=read,d={}", LONG_DEADLINE.as_millis())]);
    thread::sleep(UNREAD_TIME);
    first.reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    for _ in 0..PINGS {
        assert_eq!(client.read_reply().as_deref(), Some("+PONG"));
    }
    let call = cache.next_call();
    assert!(
        stated_time(&call) <= LONG_DEADLINE - UNREAD_TIME + CLOCK_TOLERANCE,
        "{:?} stated",
        stated_time(&call)
    );
    call.reply_value("w");
    assert_eq!(client.read_reply().as_deref(), Some("w"));
}

/// Guards against a command whose deadline is counted from when it is read, after the node had paused reading to write
/// a long reply.
#[test]
fn command_unread_while_a_reply_is_written_states_time_since_its_arrival() {
    const LONG: usize = 200_000; // a length that the node passes on as it comes
    let Fixture { mut first, mut client, _node, _origin, cache } = Fixture::with_read_in_flight();
    first.reply(format!("*3\r\n${LONG}\r\n{}", "x".repeat(LONG / 2)));
    assert_eq!(client.read_line(), format!("${LONG}"));
    client.send(&["CACHE.GET", "l", "the-next", &format!("c=read,d={}", LONG_DEADLINE.as_millis())]);
    thread::sleep(UNREAD_TIME);
    first.reply(format!("{}\r\n$3\r\nhit\r\n$-1\r\n", "x".repeat(LONG / 2)));
    assert_eq!(client.read_line().len(), LONG);
    let call = cache.next_call();
    assert!(
        stated_time(&call) <= LONG_DEADLINE - UNREAD_TIME + CLOCK_TOLERANCE,
        "{:?} stated",
        stated_time(&call)
    );
    call.reply_value("w");
    assert_eq!(client.read_reply().as_deref(), Some("w"));
}

/// Guards against a command whose deadline is reduced by a pause in reading that ended before it came.
#[test]
fn command_that_arrives_after_a_reading_pause_has_its_whole_deadline() {
    let Fixture { first, mut client, _node, _origin, cache } = Fixture::with_read_in_flight();
    client.write(encode_command(&["PING"]).repeat(PINGS));
    thread::sleep(UNREAD_TIME);
    first.reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    for _ in 0..PINGS {
        assert_eq!(client.read_reply().as_deref(), Some("+PONG"));
    }
    client.send(&["CACHE.GET", "l", "the-last", &format!("c=read,d={}", LONG_DEADLINE.as_millis())]);
    let call = cache.next_call();
    assert!(stated_time(&call) > LONG_DEADLINE - UNREAD_TIME / 2, "{:?} stated", stated_time(&call));
    call.reply_value("w");
    assert_eq!(client.read_reply().as_deref(), Some("w"));
}

/// Guards against a metric of stated time in excess of the deadline that leaves out the time for which the request
/// itself was being written.
#[test]
fn slowly_written_request_is_counted_with_its_excess_stated_time() {
    const LENGTH: usize = BYTES_BEYOND_BUFFERS;
    let (cache, origin) = (FakeServer::cache(), listener_with_small_receive_buffer());
    let node = start_node(SETTINGS, cache.addr, origin.local_addr().unwrap());
    let mut client = node.client();
    client.send_set("k", "c=put,d=60000,k=1", &"x".repeat(LENGTH));
    let mut request = BufReader::new(origin.accept().unwrap().0);
    let mut header = String::new();
    while !header.trim_end().is_empty() || header.is_empty() {
        header.clear();
        request.read_line(&mut header).unwrap();
    }
    thread::sleep(UNREAD_TIME);
    assert_eq!(node.metric("svc_deadline_excess_seconds_count"), 0.0, "its last byte is not written");
    request.read_exact(&mut vec![0; LENGTH]).unwrap();
    request.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nr").unwrap();
    assert_eq!(client.read_reply().as_deref(), Some("r"));
    assert_eq!(node.metric("svc_deadline_excess_seconds_count"), 1.0);
    assert_eq!(node.metric(r#"svc_deadline_excess_seconds_bucket{le="0.15"}"#), 0.0);
    assert_eq!(node.metric(r#"svc_deadline_excess_seconds_bucket{le="+Inf"}"#), 1.0);
}

/// Guards against commands over the limit of open requests that get no reply, no pause where the settings ask for one,
/// or are not counted.
#[test]
fn pipelined_commands_beyond_the_open_limit_get_busy_with_retry_after() {
    const CLIENTS: usize = 4;
    const COMMANDS: usize = 200;
    for retry_after in [true, false] {
        let settings = SETTINGS.replace(r#""RetryAfter":true"#, &format!(r#""RetryAfter":{retry_after}"#));
        let (cache, origin) = (FakeServer::cache(), FakeServer::http());
        let node = start_node(&settings, cache.addr, origin.addr);
        let mut clients: Vec<Client> = (0..CLIENTS).map(|_| node.client()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            let command = |i| encode_command(&["CACHE.GET", "k", &format!("id-{n}-{i}"), "c=read,d=60000"]);
            client.write((0..COMMANDS).map(command).collect::<String>());
        }
        for client in &mut clients {
            let answers: Vec<String> = (0..COMMANDS).map(|_| next_reply(client, &cache)).collect();
            let pause =
                |answer: &String| answer.strip_prefix("-BUSY").map(|ms| ms.trim().parse::<u64>().ok());
            let served_or_rejected = |answer: &String| answer == "v" || pause(answer).is_some();
            assert!(answers.iter().all(served_or_rejected), "{answers:?}");
            let beyond = &answers[2 * MAX_OPEN_REQUESTS..];
            let rejected: Vec<Option<u64>> = beyond.iter().filter_map(pause).collect();
            assert!(!rejected.is_empty());
            assert!(rejected.iter().all(|ms| ms.is_some_and(|ms| (1..=2000).contains(&ms)) == retry_after));
        }
        let rejected = node.metric(r#"svc_busy_total{tier="read"}"#);
        let served = node.metric(r#"svc_success_total{tier="read"}"#);
        assert_eq!(rejected + served, (CLIENTS * COMMANDS) as f64);
    }
}

/// Reads a client's next reply, while the cache answers each request.
fn next_reply(client: &mut Client, cache: &FakeServer) -> String {
    loop {
        cache.try_next_call().into_iter().for_each(|call| call.reply_value("v"));
        if let Some(answer) = client.try_read_reply() {
            return answer;
        }
    }
}
