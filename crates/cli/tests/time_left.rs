//! An attempt tells its server no more time than its client has left, as far as the node can know it.
//!
//! The bad orders are arranged by events (a connection that is let in, a node that is stopped and continued, an
//! answer that is held back); the time that has to pass between two of them is waited for, and nothing else is.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";
/// How long a command waits in these tests before the node reads it.
const UNREAD: Duration = Duration::from_millis(400);
/// What the kernel's and the test's own steps may take between two readings of the clock.
const GRAIN: Duration = Duration::from_millis(20);
/// How many requests one connection may have open at once.
const OPEN_AT_ONCE: usize = 64;

/// Settings under which a connection may take as long as the test wants.
fn patient() -> String {
    SETTINGS.replace(r#""ConnectTimeout":10000.0"#, r#""ConnectTimeout":600000.0"#)
}

fn start(settings: &str, cache: SocketAddr, origin: SocketAddr) -> Node {
    let known = server_list(41, &[(CACHE, cache)], origin);
    NodeOptions {
        settings,
        sockets: 4_096,
        operator: true,
        ..NodeOptions::new(&known, FakeServer::http().addr)
    }
    .start()
}

/// How long the client of a [`Scene`] waits for each of its answers.
const LONG_WAIT: Duration = Duration::from_secs(60);
/// More pings than may be owed an answer, and fewer than the kernels of both sides hold.
const PINGS: usize = 6_000;

/// A node whose client has one read in flight at the cache.
struct Scene {
    first: Call,
    client: Client,
    _node: Node,
    _origin: FakeServer,
    cache: FakeServer,
}

impl Scene {
    fn with_read_in_flight() -> Scene {
        let (cache, origin) = (FakeServer::cache(), FakeServer::http());
        let node = start(SETTINGS, cache.addr, origin.addr);
        let mut client = node.client();
        client.send_get("k", &format!("c=read,d={}", LONG_WAIT.as_millis()));
        let first = cache.next_call();
        Scene { first, client, _node: node, _origin: origin, cache }
    }
}

/// The time that a call tells its server.
fn time_told(call: &Call) -> Duration {
    let facts = call.words.iter().find(|word| word.contains("c=") && word.contains("d=")).expect("facts");
    let told = facts.split([',', ' ']).find_map(|fact| fact.strip_prefix("d=")).expect("a time");
    Duration::from_millis(told.parse().unwrap())
}

/// Waits until no connection to a server is on its way any more.
fn wait_until_connected(started: Instant, connecting: impl Fn() -> usize) {
    while connecting() > 0 {
        assert!(started.elapsed() < TEST_TIMEOUT, "a connection does not come up");
        thread::yield_now();
    }
}

#[test]
fn nothing_is_sent_when_a_connection_comes_up_after_the_time_is_over() {
    const WAIT: Duration = Duration::from_millis(300);
    for write in [false, true] {
        let (late, other) = if write {
            (BackloggedServer::http(), FakeServer::cache())
        } else {
            (BackloggedServer::cache(), FakeServer::http())
        };
        let (cache, origin) = if write { (other.addr, late.addr) } else { (late.addr, other.addr) };
        let node = start(&patient(), cache, origin);
        let mut client = node.client();
        let sent = Instant::now();
        if write {
            client.send_set("k", &format!("c=put,d={},k=1", WAIT.as_millis()), "v");
        } else {
            client.send_get("k", &format!("c=read,d={}", WAIT.as_millis()));
        }
        late.wait_for_connecting(1);
        node.pause();
        thread::sleep(WAIT.saturating_sub(sent.elapsed()) + GRAIN);
        let at = late.addr;
        let server = late.accept_connections();
        wait_until_connected(Instant::now(), || connecting_sockets(at));
        // Now both the end of the time and the connection wait for the node's turn.
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
        assert!(call.words.iter().any(|word| word.contains("the-next")), "sent in vain: {:?}", call.words);
    }
}

#[test]
fn a_command_behind_as_many_answers_as_may_be_owed_tells_what_is_left_since_it_came() {
    let Scene { first, mut client, _node, _origin, cache } = Scene::with_read_in_flight();
    client.write(encode_command(&["PING"]).repeat(PINGS));
    client.send(&["CACHE.GET", "l", "the-last", &format!("c=read,d={}", LONG_WAIT.as_millis())]);
    thread::sleep(UNREAD);
    first.reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    for _ in 0..PINGS {
        assert_eq!(client.read_reply().as_deref(), Some("+PONG"));
    }
    let call = cache.next_call();
    assert!(time_told(&call) <= LONG_WAIT - UNREAD + GRAIN, "{:?} told", time_told(&call));
    call.reply_value("w");
    assert_eq!(client.read_reply().as_deref(), Some("w"));
}

#[test]
fn a_command_that_comes_while_an_answer_is_written_tells_what_is_left_since_it_came() {
    const LONG: usize = 200_000; // passed on as it comes
    let Scene { mut first, mut client, _node, _origin, cache } = Scene::with_read_in_flight();
    first.reply(format!("*3\r\n${LONG}\r\n{}", "x".repeat(LONG / 2)));
    assert_eq!(client.read_line(), format!("${LONG}"));
    client.send(&["CACHE.GET", "l", "the-next", &format!("c=read,d={}", LONG_WAIT.as_millis())]);
    thread::sleep(UNREAD);
    first.reply(format!("{}\r\n$3\r\nhit\r\n$-1\r\n", "x".repeat(LONG / 2)));
    assert_eq!(client.read_line().len(), LONG);
    let call = cache.next_call();
    assert!(time_told(&call) <= LONG_WAIT - UNREAD + GRAIN, "{:?} told", time_told(&call));
    call.reply_value("w");
    assert_eq!(client.read_reply().as_deref(), Some("w"));
}

#[test]
fn a_command_that_comes_after_a_pause_in_reading_has_all_its_time() {
    let Scene { first, mut client, _node, _origin, cache } = Scene::with_read_in_flight();
    client.write(encode_command(&["PING"]).repeat(PINGS));
    thread::sleep(UNREAD);
    first.reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    for _ in 0..PINGS {
        assert_eq!(client.read_reply().as_deref(), Some("+PONG"));
    }
    client.send(&["CACHE.GET", "l", "the-last", &format!("c=read,d={}", LONG_WAIT.as_millis())]);
    let call = cache.next_call();
    assert!(time_told(&call) > LONG_WAIT - UNREAD / 2, "{:?} told", time_told(&call));
    call.reply_value("w");
    assert_eq!(client.read_reply().as_deref(), Some("w"));
}

#[test]
fn a_request_whose_last_byte_is_long_in_going_out_is_counted_by_what_it_told_too_much() {
    const LENGTH: usize = BYTES_BEYOND_BUFFERS;
    let (cache, origin) = (FakeServer::cache(), listener_with_small_receive_buffer());
    let node = start(SETTINGS, cache.addr, origin.local_addr().unwrap());
    let mut client = node.client();
    client.send_set("k", "c=put,d=60000,k=1", &"x".repeat(LENGTH));
    let mut request = BufReader::new(origin.accept().unwrap().0);
    let mut header = String::new();
    while !header.trim_end().is_empty() || header.is_empty() {
        header.clear();
        request.read_line(&mut header).unwrap();
    }
    thread::sleep(UNREAD);
    assert_eq!(node.metric("svc_deadline_excess_seconds_count"), 0.0, "its last byte is not out");
    request.read_exact(&mut vec![0; LENGTH]).unwrap();
    request.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nr").unwrap();
    assert_eq!(client.read_reply().as_deref(), Some("r"));
    assert_eq!(node.metric("svc_deadline_excess_seconds_count"), 1.0);
    assert_eq!(node.metric(r#"svc_deadline_excess_seconds_bucket{le="0.15"}"#), 0.0);
    assert_eq!(node.metric(r#"svc_deadline_excess_seconds_bucket{le="+Inf"}"#), 1.0);
}

#[test]
fn commands_beyond_what_one_connection_may_have_open_are_refused_and_may_come_again() {
    const CLIENTS: usize = 4;
    const COMMANDS: usize = 200;
    for pauses in [true, false] {
        let settings = SETTINGS.replace(r#""RetryAfter":true"#, &format!(r#""RetryAfter":{pauses}"#));
        let (cache, origin) = (FakeServer::cache(), FakeServer::http());
        let node = start(&settings, cache.addr, origin.addr);
        let mut clients: Vec<Client> = (0..CLIENTS).map(|_| node.client()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            let command = |i| encode_command(&["CACHE.GET", "k", &format!("id-{n}-{i}"), "c=read,d=60000"]);
            client.write((0..COMMANDS).map(command).collect::<String>());
        }
        for client in &mut clients {
            let answers: Vec<String> = (0..COMMANDS).map(|_| next_answer(client, &cache)).collect();
            let pause =
                |answer: &String| answer.strip_prefix("-BUSY").map(|ms| ms.trim().parse::<u64>().ok());
            let taken = |answer: &String| answer == "v" || pause(answer).is_some();
            assert!(answers.iter().all(taken), "{answers:?}");
            let beyond = &answers[2 * OPEN_AT_ONCE..];
            let refused: Vec<Option<u64>> = beyond.iter().filter_map(pause).collect();
            assert!(!refused.is_empty());
            assert!(refused.iter().all(|ms| ms.is_some_and(|ms| (1..=2000).contains(&ms)) == pauses));
        }
        let refused = node.metric(r#"svc_busy_total{tier="read"}"#);
        let served = node.metric(r#"svc_success_total{tier="read"}"#);
        assert_eq!(refused + served, (CLIENTS * COMMANDS) as f64);
    }
}

/// A client's next answer, while the cache answers whatever it is asked.
fn next_answer(client: &mut Client, cache: &FakeServer) -> String {
    loop {
        cache.try_next_call().into_iter().for_each(|call| call.reply_value("v"));
        if let Some(answer) = client.try_read_reply() {
            return answer;
        }
    }
}
