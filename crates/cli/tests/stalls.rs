//! A node that is stopped for a moment counts the deadline of a request that came meanwhile from its arrival, not from
//! when the node reads it.
//!
//! The tests stop the node before the request is written, and continue it after the time of the stall.

#[path = "common/fakes.rs"]
mod fakes;

use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";
/// The deadline that the clients of these tests state.
const DEADLINE: Duration = Duration::from_millis(600);
/// The longest stall for which the node guarantees its deadlines.
const STALL: Duration = Duration::from_millis(150);
/// The time by which a reply may be late.
const TOLERANCE: Duration = Duration::from_millis(50);

fn start_node(cache: &FakeServer, origin: &FakeServer) -> Node {
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    NodeOptions { operator: true, ..NodeOptions::new(&known, FakeServer::http().addr) }.start()
}

/// Stops the node, writes a request, and continues the node after the stall. Returns the instant at which the last byte
/// of the request was written.
fn write_during_stall(node: &Node, write: impl FnOnce()) -> Instant {
    node.pause();
    write();
    let written = Instant::now();
    std::thread::sleep(STALL.saturating_sub(written.elapsed()));
    node.resume();
    written
}

/// Reads the reply, and asserts that it comes within the client's deadline.
fn read_reply_in_time(client: &mut Client, written: Instant, case: &str) -> String {
    let answer = client.read_reply().expect("a reply");
    let took = written.elapsed();
    assert!(took <= DEADLINE + TOLERANCE, "{case}: {answer} after {took:?} of {DEADLINE:?}");
    answer
}

/// Guards against a reply that is late because the node counts the deadline from the instant at which it reads the
/// request.
#[test]
fn request_received_during_a_stall_is_answered_within_its_deadline() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = start_node(&cache, &origin);
    let facts = format!("c=read,d={}", DEADLINE.as_millis());
    let mut client = node.client();
    client.ping();
    let written = write_during_stall(&node, || _ = client.send_get("k", &facts));
    let _unanswered = cache.next_call();
    read_reply_in_time(&mut client, written, "on a connection in use");
    assert!(node.metric("svc_stall_seconds_count") >= 1.0, "the stall is counted");
    assert!(node.metric("svc_read_after_stall_total") >= 1.0, "the request is counted as read after a stall");
}

/// Guards against a reply that is late because the node counts the deadline from the instant at which it reads the
/// request, where the connection, too, came during the stall.
#[test]
fn request_on_a_connection_made_during_a_stall_is_answered_in_time() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = start_node(&cache, &origin);
    let facts = format!("c=read,d={}", DEADLINE.as_millis());
    let mut client = None;
    let written = write_during_stall(&node, || _ = client.insert(node.client()).send_get("k", &facts));
    let _unanswered = cache.next_call();
    read_reply_in_time(client.as_mut().unwrap(), written, "on a new connection");
}

/// Guards against a reply that is late because the node counts the deadline from the instant at which it reads the last
/// piece of the request.
#[test]
fn request_completed_during_a_stall_is_answered_within_its_deadline() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = start_node(&cache, &origin);
    let command = encode_command(&[
        "CACHE.GET",
        "k",
        "9b1f03aa5c7e2d41",
        &format!("c=read,d={}", DEADLINE.as_millis()),
    ]);
    let (first, last) = command.split_at(command.len() / 2);
    let mut client = node.client();
    client.ping();
    client.write(first);
    // The node has read the first half once it has answered a client that connected later.
    node.client().ping();
    let written = write_during_stall(&node, || client.write(last));
    let _unanswered = cache.next_call();
    read_reply_in_time(&mut client, written, "in two pieces");
}

/// Guards against a reply that is late because the node counts the deadline from the instant at which it reads a write,
/// or a read behind another one.
#[test]
fn write_and_pipelined_reads_received_during_a_stall_are_answered_in_time() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = start_node(&cache, &origin);
    let deadline_ms = DEADLINE.as_millis();
    let (mut writer, mut reader) = (node.client(), node.client());
    writer.ping();
    reader.ping();
    let written = write_during_stall(&node, || {
        writer.send_set("k", &format!("c=put,d={deadline_ms},k=1"), "v");
        reader.send(&["CACHE.GET", "l", "the-first", &format!("c=read,d={deadline_ms}")]);
        reader.send(&["CACHE.GET", "m", "the-second", &format!("c=read,d={deadline_ms}")]);
    });
    let _unanswered = (origin.next_call(), cache.next_call(), cache.next_call());
    read_reply_in_time(&mut writer, written, "a write");
    read_reply_in_time(&mut reader, written, "the first of two");
    read_reply_in_time(&mut reader, written, "the second of two");
}
