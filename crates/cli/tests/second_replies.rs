//! Servers that send a second copy of a reply some milliseconds after it. Replies carry no id.

#[path = "common/fakes.rs"]
mod fakes;

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
