//! Servers that send a second copy of a reply some milliseconds after it. Replies carry no id.

#[path = "common/fakes.rs"]
mod fakes;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";
/// The number of requests that a late copy could have been taken for.
const ROUNDS: usize = 20;
/// The next request is sent this long after a reply.
const NEXT_REQUEST_AFTER: Duration = Duration::from_micros(1_500);
/// A second copy comes this long after a reply.
const COPY_AFTER: [Duration; 3] =
    [Duration::from_millis(2), Duration::from_millis(4), Duration::from_millis(6)];
/// No copy is sent later than this after a reply, however slow this machine is.
const LATEST_COPY: Duration = Duration::from_millis(8);
/// How long the origin executes a write: until after the latest copy.
const EXECUTION_TIME: Duration = Duration::from_millis(20);

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// What the reply to a request of this number has to contain.
fn value(number: usize) -> String {
    format!("value-{number}")
}

/// Sends a second copy of a reply at this time. Returns false if it would have been too late.
fn send_copy(call: &mut Call, at: Instant, text: &str) -> bool {
    sleep_until(at);
    let in_time = at.elapsed() < LATEST_COPY - COPY_AFTER[2];
    if in_time {
        call.try_reply(text);
    }
    in_time
}

/// Sends one request after another. The reply to each comes with a second copy, behind the next request if that is sent
/// on the same connection.
fn play_rounds(
    mut client: Client,
    server: &FakeServer,
    send: impl Fn(&mut Client, usize),
    reply: impl Fn(usize) -> String,
) {
    let mut delays = COPY_AFTER.into_iter().cycle();
    let (mut number, mut played) = (0, 0);
    send(&mut client, number);
    while played < ROUNDS {
        let mut call = server.next_call();
        call.reply(reply(number));
        assert_eq!(client.read_reply(), Some(value(number)), "the reply to another request");
        let replied = Instant::now();
        sleep_until(replied + NEXT_REQUEST_AFTER);
        send(&mut client, number + 1);
        played += usize::from(send_copy(&mut call, replied + delays.next().unwrap(), &reply(number)));
        number += 1;
    }
}

/// Guards against a late second copy of a cache's reply that is served to the next request on the connection.
#[test]
fn second_copy_of_a_cache_reply_is_not_served_to_the_next_request() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = Node::start(&server_list(41, &[(CACHE, cache.addr)], origin.addr), FakeServer::http().addr);
    let send = |client: &mut Client, number: usize| {
        client.send(&["CACHE.GET", &format!("key-{number}"), &format!("{number:016x}"), "c=read,d=60000"]);
    };
    let reply = |number| {
        let value = value(number);
        format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len())
    };
    play_rounds(node.client(), &cache, send, reply);
}

fn http_reply(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn send_write(client: &mut Client, number: usize) {
    client.send(&["CACHE.SET", &value(number), &format!("{number:016x}"), "c=put,d=60000", "v"]);
}

/// Guards against a late second copy of the origin's response that is served to the next request on the connection.
#[test]
fn second_copy_of_an_origin_response_is_not_served_to_the_next_request() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = Node::start(&server_list(41, &[(CACHE, cache.addr)], origin.addr), FakeServer::http().addr);
    play_rounds(node.client(), &origin, send_write, |number| http_reply("200 OK", &value(number)));
}

/// An origin that rejects every other write unexecuted, each rejection with a late second copy, and executes the others.
/// Returns how often it has executed each write.
fn reject_every_other_write(origin: FakeServer) -> Arc<Mutex<HashMap<String, usize>>> {
    let executed: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let counts = executed.clone();
    thread::spawn(move || {
        for round in 0.. {
            let mut call = origin.next_call();
            let counts = counts.clone();
            thread::spawn(move || {
                let key = call.words[1].trim_start_matches('/').to_owned();
                let number: usize = key.trim_start_matches("value-").parse().unwrap();
                if number.is_multiple_of(2) {
                    let text = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
                    let replied = Instant::now();
                    call.try_reply(text);
                    send_copy(&mut call, replied + COPY_AFTER[round % COPY_AFTER.len()], text);
                } else {
                    *counts.lock().unwrap().entry(key.clone()).or_default() += 1;
                    thread::sleep(EXECUTION_TIME);
                    call.try_reply(&http_reply("200 OK", &key));
                }
            });
        }
    });
    executed
}

/// Guards against a late second copy of a rejection that is taken for the rejection of the next write, which is executed:
/// it was sent again, or its client was told that it had not run.
#[test]
fn second_copy_of_a_rejection_does_not_reject_the_next_write() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = Node::start(&server_list(41, &[(CACHE, cache.addr)], origin.addr), FakeServer::http().addr);
    let executed = reject_every_other_write(origin);
    let mut client = node.client();
    let mut served = 0;
    for number in 0..4 * ROUNDS {
        send_write(&mut client, number);
        let reply = client.read_reply().unwrap();
        thread::sleep(NEXT_REQUEST_AFTER);
        if number.is_multiple_of(2) {
            continue;
        }
        let runs = executed.lock().unwrap().get(&value(number)).copied().unwrap_or(0);
        let expected = usize::from(!reply.starts_with("-BUSY"));
        assert_eq!(runs, expected, "executions of a write with the reply {reply}");
        served += usize::from(reply == value(number));
    }
    assert!(served >= ROUNDS, "only {served} writes were served");
}

/// The number of distinct values after which the node recognizes a copy by its value.
const DISTINCT_VALUES: usize = 64;

/// Waits for the next request at any of the caches, and returns the cache's index with it.
fn next_call(caches: &[FakeServer]) -> (usize, Call) {
    let start = Instant::now();
    loop {
        let called =
            caches.iter().enumerate().find_map(|(index, cache)| Some((index, cache.try_next_call()?)));
        if let Some(called) = called {
            return called;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "no call");
        thread::yield_now();
    }
}

/// Guards against a second copy of a reply that is served to the next request, however late it is sent.
#[test]
fn copy_behind_the_next_request_is_not_served_however_late() {
    let (caches, origin) = ([FakeServer::cache(), FakeServer::cache()], FakeServer::http());
    let known = server_list(41, &[("s-0", caches[0].addr), ("s-1", caches[1].addr)], origin.addr);
    let options = NodeOptions::new(&known, FakeServer::http().addr);
    let node = NodeOptions { operator: true, ..options }.start();
    let reply =
        |number| format!("*3\r\n${}\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", value(number).len(), value(number));
    let mut client = node.client();
    let mut copies = 0_u32;
    let mut last_replies = HashMap::new(); // by cache and connection
    for number in 0..DISTINCT_VALUES + ROUNDS {
        client.ping_until_connections_are_reusable();
        client.send(&["CACHE.GET", &format!("key-{number}"), &format!("{number:016x}"), "c=read,d=60000"]);
        let (mut cache, mut call) = next_call(&caches);
        let last_reply = last_replies.get(&(cache, call.connection)).copied();
        if let Some(before) = last_reply.filter(|_| number > DISTINCT_VALUES) {
            call.reply(reply(before));
            copies += 1;
            (cache, call) = next_call(&caches); // the request is repeated at the other cache
        }
        call.reply(reply(number));
        assert_eq!(client.read_reply(), Some(value(number)), "the reply to another request");
        last_replies.insert((cache, call.connection), number);
    }
    assert!(copies as usize >= ROUNDS / 3, "only {copies} copies");
    assert_eq!(node.metric("svc_repeated_replies_total"), f64::from(copies));
}

/// Guards against equal replies to different requests that are all taken for copies.
#[test]
fn equal_replies_are_served() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = Node::start(&server_list(41, &[(CACHE, cache.addr)], origin.addr), FakeServer::http().addr);
    let attempts = Arc::new(Mutex::new(0));
    let counted = attempts.clone();
    thread::spawn(move || {
        loop {
            let call = cache.next_call();
            *counted.lock().unwrap() += 1;
            call.reply_value("the same value");
        }
    });
    let mut client = node.client();
    for number in 0..ROUNDS {
        client.ping_until_connections_are_reusable();
        client.send(&[
            "CACHE.GET",
            &format!("key-{}", number % 3),
            &format!("{number:016x}"),
            "c=read,d=60000",
        ]);
        assert_eq!(client.read_reply().as_deref(), Some("the same value"));
    }
    assert_eq!(*attempts.lock().unwrap(), ROUNDS, "requests are repeated");
}
