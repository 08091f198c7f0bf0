//! A node that is stopped for a moment answers what came meanwhile by its client's time, not by its own.
//!
//! The node is stopped before the request is written and continued after a time that is waited for: the stall itself.

#[path = "common/fakes.rs"]
mod fakes;

use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";
/// How long a client of these tests waits.
const WAIT: Duration = Duration::from_millis(600);
/// The longest stall that the terms speak of.
const STALL: Duration = Duration::from_millis(150);
/// What an answer may be late by under the terms.
const SLACK: Duration = Duration::from_millis(50);

fn node_before(cache: &FakeServer, origin: &FakeServer) -> Node {
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    NodeOptions { operator: true, ..NodeOptions::new(&known, FakeServer::http().addr) }.start()
}

/// Stops the node, has a request written, and continues the node when the stall is over; returns when the request's
/// last byte was written.
fn stalled(node: &Node, write: impl FnOnce()) -> Instant {
    node.pause();
    write();
    let written = Instant::now();
    std::thread::sleep(STALL.saturating_sub(written.elapsed()));
    node.resume();
    written
}

/// Reads the answer, which comes in the client's time, and tells what it was.
fn answer_in_time(client: &mut Client, written: Instant, what: &str) -> String {
    let answer = client.read_reply().expect("an answer");
    let took = written.elapsed();
    assert!(took <= WAIT + SLACK, "{what}: {answer} after {took:?} of {WAIT:?}");
    answer
}

#[test]
fn a_request_that_came_in_a_stall_is_answered_in_its_clients_time() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = node_before(&cache, &origin);
    let facts = format!("c=read,d={}", WAIT.as_millis());
    let mut client = node.client();
    client.ping();
    let written = stalled(&node, || client.send_get("k", &facts));
    let _unanswered = cache.next_call();
    answer_in_time(&mut client, written, "on a connection in use");
    assert!(node.metric("svc_stall_seconds_count") >= 1.0, "the stall is counted");
    assert!(node.metric("svc_read_after_stall_total") >= 1.0, "so is the request");
}

#[test]
fn a_request_on_a_connection_that_was_made_in_a_stall_is_answered_in_its_clients_time() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = node_before(&cache, &origin);
    let facts = format!("c=read,d={}", WAIT.as_millis());
    let mut client = None;
    let written = stalled(&node, || client.insert(node.client()).send_get("k", &facts));
    let _unanswered = cache.next_call();
    answer_in_time(client.as_mut().unwrap(), written, "on a new connection");
}

#[test]
fn a_request_whose_last_piece_came_in_a_stall_is_answered_in_its_clients_time() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = node_before(&cache, &origin);
    let command =
        encode_command(&["CACHE.GET", "k", "9b1f03aa5c7e2d41", &format!("c=read,d={}", WAIT.as_millis())]);
    let (first, last) = command.split_at(command.len() / 2);
    let mut client = node.client();
    client.ping();
    client.write(first);
    // The node has read the first half once it has answered others that came later.
    node.client().ping();
    let written = stalled(&node, || client.write(last));
    let _unanswered = cache.next_call();
    answer_in_time(&mut client, written, "in two pieces");
}
#[test]
fn a_write_and_a_request_behind_another_that_came_in_a_stall_are_answered_in_their_clients_time() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = node_before(&cache, &origin);
    let wait = WAIT.as_millis();
    let (mut writer, mut reader) = (node.client(), node.client());
    writer.ping();
    reader.ping();
    let written = stalled(&node, || {
        writer.send_set("k", &format!("c=put,d={wait},k=1"), "v");
        reader.send(&["CACHE.GET", "l", "the-first", &format!("c=read,d={wait}")]);
        reader.send(&["CACHE.GET", "m", "the-second", &format!("c=read,d={wait}")]);
    });
    let _unanswered = (origin.next_call(), cache.next_call(), cache.next_call());
    answer_in_time(&mut writer, written, "a write");
    answer_in_time(&mut reader, written, "the first of two");
    answer_in_time(&mut reader, written, "the second of two");
}
