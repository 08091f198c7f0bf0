//! Requests and replies that are pending at the instant when something ends: each test produces one rare order of
//! events. `docs/design/endings.md` lists them.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";

/// Settings with a connect timeout that no test reaches.
fn settings_without_connect_timeout() -> String {
    SETTINGS.replace(r#""ConnectTimeout":10000.0"#, r#""ConnectTimeout":600000.0"#)
}

/// A node with one cache, and an origin to which connections stay in progress.
fn node_with_backlogged_origin(settings: &str) -> (Node, FakeServer, BackloggedServer) {
    let (cache, origin) = (FakeServer::cache(), BackloggedServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let node = NodeOptions { settings, ..NodeOptions::new(&known, FakeServer::http().addr) }.start();
    (node, cache, origin)
}

// ---- the client disconnects, or has its reply ----

/// Guards against a fetch that goes on connecting, and is sent later, after its client has disconnected or its deadline
/// has passed.
#[test]
fn connecting_fetch_ends_when_its_request_ends() {
    let (node, cache, origin) = node_with_backlogged_origin(&settings_without_connect_timeout());
    for disconnects in [true, false] {
        let mut client = node.client();
        client.send_get("k", if disconnects { "c=read,d=60000" } else { "c=read,d=300" });
        cache.next_call().reply_miss();
        origin.wait_for_connecting(1);
        if disconnects {
            drop(client);
        } else {
            assert!(client.read_reply().unwrap().starts_with("-BUSY"));
        }
        origin.wait_for_connecting(0);
    }
    // The first request that the origin gets is that of a new client.
    let origin = origin.accept_connections();
    let mut client = node.client();
    client.send(&["CACHE.GET", "k", "the-next", "c=read,d=60000"]);
    cache.next_call().reply_miss();
    let call = origin.next_call();
    assert!(call.words.contains(&"x-correlation-id: the-next".into()), "{:?}", call.words);
    call.reply_http("200 OK", "v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
}

/// Guards against a read that shares the fetch of another client and gets no reply, or fetches under the wrong id, when
/// that client disconnects before the fetch is sent.
#[test]
fn waiting_read_fetches_under_its_own_id_after_the_first_disconnects() {
    let (node, cache, origin) = node_with_backlogged_origin(&settings_without_connect_timeout());
    let (mut first, mut second) = (node.client(), node.client());
    first.send_get("k", "c=read,d=60000");
    cache.next_call().reply_miss();
    origin.wait_for_connecting(1);
    second.send(&["CACHE.GET", "k", "the-second", "c=read,d=60000"]);
    cache.next_call().reply_miss();
    drop(first);
    let origin = {
        // The third read shows that the node has handled the second client's miss, whose fetch is now the only one.
        let mut third = node.client();
        third.send(&["CACHE.GET", "another", "the-third", "c=read,d=60000"]);
        cache.next_call().reply_value("v");
        assert_eq!(third.read_reply().as_deref(), Some("v"));
        origin.wait_for_connecting(1);
        origin.accept_connections()
    };
    let call = origin.next_call();
    assert!(call.words.contains(&"x-correlation-id: the-second".into()), "{:?}", call.words);
    call.reply_http("200 OK", "v");
    assert_eq!(second.read_reply().as_deref(), Some("v"));
}

/// Guards against a write that is sent for a client which has disconnected, because the settings forbid cancelling: an
/// attempt that is still connecting has not begun.
#[test]
fn connecting_write_ends_with_its_client_though_cancelling_is_off() {
    let settings = settings_without_connect_timeout().replace(r#""Cancel":true"#, r#""Cancel":false"#);
    let (node, _cache, origin) = node_with_backlogged_origin(&settings);
    let mut client = node.client();
    client.send_set("k", "c=put,d=60000,k=1", "v");
    origin.wait_for_connecting(1);
    drop(client);
    origin.wait_for_connecting(0);
}

/// Guards against a stopping node that does not notice a client's disconnect because it reads no more commands. Covers
/// a connection with and one without unread bytes before its end.
#[test]
fn client_disconnect_is_noticed_while_the_node_stops() {
    for unread_command in [false, true] {
        let (node, cache, origin) = node_with_backlogged_origin(&settings_without_connect_timeout());
        let (mut client, mut other) = (node.client(), node.client());
        other.send(&["CACHE.GET", "m", "another", "c=read,d=1500"]);
        let _call = cache.next_call();
        client.send_set("k", "c=put,d=60000,k=1", "v");
        origin.wait_for_connecting(1);
        begin_shutdown(&node);
        if unread_command {
            client.send_set("l", "c=put,d=60000,k=2", "v"); // a stopping node that owes a reply does not read it
        }
        drop(client);
        // This read is rejected at its deadline, which is before the end of the shutdown.
        assert!(other.read_reply().unwrap().starts_with("-BUSY"));
        assert_eq!(origin.connecting_count(), 0);
    }
}

/// Guards against a disconnect that goes unnoticed because the node has no memory left to read more of the commands of
/// the connection.
#[test]
fn client_disconnect_is_noticed_while_reading_waits_for_memory() {
    let (cache, origin) = (BackloggedServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let node = NodeOptions {
        settings: &settings_without_connect_timeout(),
        memory_mb: 1,
        ..NodeOptions::new(&known, FakeServer::http().addr)
    }
    .start();
    let mut client = node.client();
    for n in 0..60 {
        client.send(&["CACHE.GET", "k", &format!("id-{n}"), "c=read,d=60000"]);
    }
    cache.wait_for_any_connecting();
    drop(client);
    cache.wait_for_connecting(0);
}

/// Guards against a disconnect that goes unnoticed while the value before another reply is held back, until the hold ends.
#[test]
fn client_disconnect_is_noticed_while_its_value_is_held_back() {
    let (node, cache, origin) = node_with_backlogged_origin(&settings_without_connect_timeout());
    let (mut client, mut other) = (node.client(), node.client());
    client.send_get("k", "c=read,d=60000");
    client.send(&["CACHE.SET", "l", "behind-it", "c=put,d=60000,k=1", "v"]);
    let mut call = cache.next_call();
    call.reply(format!("*3\r\n$200000\r\n{}", "x".repeat(100_000))); // the rest never comes
    origin.wait_for_connecting(1);
    drop(client);
    // This read is rejected after one second, while the value is held back for one and a half.
    other.send(&["CACHE.GET", "m", "an-other", "c=read,d=1000"]);
    let _call = cache.next_call();
    assert!(other.read_reply().unwrap().starts_with("-BUSY"));
    assert_eq!(origin.connecting_count(), 0);
}

/// Guards against a disconnect that goes unnoticed until the value which a cache has stopped sending is given up.
#[test]
fn client_disconnect_is_noticed_while_its_value_is_stalled() {
    /// Much less than the time after which a stalled value is given up.
    const LIMIT: Duration = Duration::from_millis(2_500);
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = Node::start(&server_list(41, &[(CACHE, cache.addr)], origin.addr), FakeServer::http().addr);
    let mut client = node.client();
    client.send_get("k", "c=read,d=60000");
    let mut call = cache.next_call();
    call.reply(format!("*3\r\n$200000\r\n{}", "x".repeat(100_000))); // the rest never comes
    assert_eq!(client.read_line(), "$200000");
    drop(client);
    let dropped = Instant::now();
    assert_eq!(cache.next_closed(), call.connection);
    assert!(dropped.elapsed() < LIMIT, "the attempt has ended after {:?}", dropped.elapsed());
}

/// Guards against a disconnect that goes unnoticed because the node reads nothing behind a malformed frame while it
/// waits for the pending replies.
#[test]
fn client_disconnect_is_noticed_behind_a_malformed_frame() {
    let (node, cache, origin) = node_with_backlogged_origin(&settings_without_connect_timeout());
    let (mut client, mut other) = (node.client(), node.client());
    client.send_set("k", "c=put,d=60000,k=1", "v");
    origin.wait_for_connecting(1);
    // This read is rejected well before the 1.5 s for which the node waits for replies after a malformed frame.
    other.send(&["CACHE.GET", "m", "another", "c=read,d=700"]);
    let _call = cache.next_call();
    client.write("*1\r\n:7\r\nwhat is behind it is not read");
    drop(client);
    assert!(other.read_reply().unwrap().starts_with("-BUSY"));
    assert_eq!(origin.connecting_count(), 0);
}

/// Guards against a disconnect that goes unnoticed because the node stops reading a connection to which it owes the
/// maximum number of replies.
#[test]
fn client_disconnect_is_noticed_at_the_pending_reply_limit() {
    // The end of the connection comes right after the command that reaches the limit, or behind commands that are not
    // read.
    for pings in [1_023, 6_000] {
        let (node, cache, origin) = node_with_backlogged_origin(&settings_without_connect_timeout());
        let (mut client, mut other) = (node.client(), node.client());
        client.send_set("k", "c=put,d=60000,k=1", "v");
        origin.wait_for_connecting(1);
        other.send(&["CACHE.GET", "m", "another", "c=read,d=1500"]);
        let _call = cache.next_call();
        client.write(encode_command(&["PING"]).repeat(pings));
        drop(client);
        // This read is rejected at its deadline, long before that of the write.
        assert!(other.read_reply().unwrap().starts_with("-BUSY"));
        assert_eq!(origin.connecting_count(), 0);
    }
}

// ---- an attempt ends ----

/// Whether this is the reply that a class gets for a request that was not served in time.
fn is_unserved(class: &str, answer: &str) -> bool {
    if class == "read" { answer.starts_with("-BUSY") } else { answer == "-ERR failed" }
}

/// Guards against a request that ends twice, in its reply, its metrics or its place in the concurrency limit: a stopped
/// node finds the reply of the cache and the expired deadline together.
#[test]
fn timeout_and_reply_at_the_same_time_end_a_request_once() {
    const WAIT: Duration = Duration::from_millis(500);
    for class in ["read", "put"] {
        let (cache, origin) = (FakeServer::cache(), FakeServer::http());
        let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
        let node =
            NodeOptions { operator: true, ..NodeOptions::new(&known, FakeServer::http().addr) }.start();
        let mut client = node.client();
        let sent = Instant::now();
        client.send_get("k", &format!("c={class},d={}", WAIT.as_millis()));
        let call = cache.next_call();
        node.pause();
        call.reply_value("v");
        thread::sleep((sent + WAIT + WAIT / 4).saturating_duration_since(Instant::now()));
        node.resume();
        let answer = client.read_reply().unwrap();
        assert!(answer == "v" || is_unserved(class, &answer), "{answer}");
        client.ping_until_connections_are_reusable(); // no second reply comes between
        assert_eq!(node.metric("svc_inflight"), 0.0);
        let ends = ["svc_success_total", "svc_busy_total", "svc_failure_total"];
        let ended: f64 = ends.map(|name| node.metric(&format!("{name}{{tier=\"{class}\"}}"))).iter().sum();
        assert_eq!(ended, 1.0);
        // The request has released its place and its connection: the next one is sent.
        client.send_get("k", &format!("c={class},d=60000"));
        cache.next_call().reply_value("w");
        assert_eq!(client.read_reply().as_deref(), Some("w"));
        assert_eq!(node.metric("svc_backend_calls_total"), 2.0);
    }
}

/// Guards against metrics that miss a second reply on an idle connection, or a connection that is reused within the
/// time in which such a reply may still come.
#[test]
fn extra_reply_on_an_idle_connection_and_quick_reuse_are_counted() {
    const OLD_REPLY: &str = "*3\r\n$3\r\nold\r\n$3\r\nhit\r\n$-1\r\n";
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let node = NodeOptions { operator: true, ..NodeOptions::new(&known, FakeServer::http().addr) }.start();
    let mut client = node.client();
    client.send_get("k", "c=read,d=60000");
    let mut call = cache.next_call();
    call.reply(OLD_REPLY);
    assert_eq!(client.read_reply().as_deref(), Some("old"));
    client.ping_until_connections_are_reusable(); // longer than the time that counts as quick reuse
    call.reply(OLD_REPLY);
    client.send_get("l", "c=read,d=60000");
    let call = cache.next_call();
    assert_eq!(call.connection, 1);
    call.reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert_eq!(["svc_unasked_total", "svc_reused_soon_total"].map(|name| node.metric(name)), [1.0, 0.0]);
    let start = Instant::now();
    let mut number = 0;
    while node.metric("svc_reused_soon_total") == 0.0 {
        assert!(start.elapsed() < TEST_TIMEOUT, "no connection is reused so quickly");
        client.send_get("k", "c=read,d=60000");
        number += 1;
        let value = format!("value {number}"); // connections rest for longer while values are equal
        cache.next_call().reply_value(&value);
        assert_eq!(client.read_reply(), Some(value));
        client.ping();
    }
    assert_eq!(node.metric("svc_unasked_total"), 1.0);
}

/// Guards the tests of broken writes against kernels that buffer a long write whole, in which case it may have run.
#[test]
fn long_write_to_a_small_receive_buffer_does_not_complete() {
    let listener = listener_with_small_receive_buffer();
    let mut writer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let _unread = listener.accept().unwrap();
    writer.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
    let block = [b'x'; 64 << 10];
    let mut buffered = 0;
    while let Ok(written) = writer.write(&block) {
        buffered += written;
        assert!(buffered < BYTES_BEYOND_BUFFERS, "{buffered} bytes are buffered unread");
    }
}

/// Guards against a write that is reported as failed though the cache closed the reused connection before it had all of
/// the request.
#[test]
fn write_cut_off_on_a_reused_connection_is_retried_as_not_run() {
    let (cache, origin) = (FakeServer::cache_that_leaves_values_unread(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let settings = SETTINGS.replace(r#""Mode":"aside""#, r#""Mode":"through""#);
    let node =
        NodeOptions { settings: &settings, ..NodeOptions::new(&known, FakeServer::http().addr) }.start();
    let mut client = node.client();
    client.send_get("k", "c=read,d=60000");
    cache.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    client.ping_until_connections_are_reusable();
    // The value is longer than the buffers of both kernels: the node is still writing when the cache closes.
    client.send_set("k", "c=put,d=60000,k=1", &format!("\n{}", "x".repeat(BYTES_BEYOND_BUFFERS)));
    // The write is non-idempotent. It is retried, and rejected in the end, since it never ran.
    let mut connections = vec![];
    let answer = loop {
        if let Some(call) = cache.try_next_call() {
            connections.push(call.connection);
            call.close();
        }
        if let Some(answer) = client.try_read_reply() {
            break answer;
        }
    };
    assert!(connections.starts_with(&[0, 1]), "the reused connection, then others: {connections:?}");
    assert!(answer.starts_with("-BUSY"), "{answer}");
}

/// Guards against a non-idempotent request that runs twice, because the close of a reused connection is taken as proof
/// that the cache had closed it before the request.
#[test]
fn request_written_to_a_reused_connection_that_closes_may_have_run() {
    for class in ["read", "put"] {
        let (cache, origin) = (FakeServer::cache(), FakeServer::http());
        let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
        let node = NodeOptions::new(&known, FakeServer::http().addr).start();
        let mut client = node.client();
        client.send_get("k", &format!("c={class},d=60000"));
        cache.next_call().reply_value("v");
        assert_eq!(client.read_reply().as_deref(), Some("v"));
        client.ping_until_connections_are_reusable();
        client.send_get("k", &format!("c={class},d=60000"));
        let call = cache.next_call();
        assert_eq!(call.connection, 0, "the reused connection");
        call.close();
        if class == "read" {
            let call = cache.next_call(); // a read is idempotent
            assert_eq!(call.connection, 1);
            call.reply_value("w");
            assert_eq!(client.read_reply().as_deref(), Some("w"));
        } else {
            assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
            client.ping_until_connections_are_reusable();
            assert!(cache.try_next_call().is_none(), "sent again");
        }
    }
}

/// Guards against a write that is sent to the origin twice: the origin may act on a request whose body it has not read
/// whole.
#[test]
fn write_on_a_reused_origin_connection_that_breaks_may_have_run() {
    // The connection breaks while the node writes the request, and after that.
    for length in [BYTES_BEYOND_BUFFERS, 1] {
        let (cache, origin) = (FakeServer::cache(), FakeServer::http_that_leaves_bodies_unread());
        let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
        let node = NodeOptions::new(&known, FakeServer::http().addr).start();
        let mut client = node.client();
        client.send_get("k", "c=read,d=60000");
        cache.next_call().reply_miss();
        origin.next_call().reply_http("200 OK", "v");
        assert_eq!(client.read_reply().as_deref(), Some("v"));
        client.ping_until_connections_are_reusable();
        client.send_set("k", "c=put,d=60000,k=1", &format!("\n{}", "x".repeat(length)));
        let call = origin.next_call();
        assert_eq!(call.connection, 0, "the reused connection");
        call.close();
        assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
        client.ping_until_connections_are_reusable();
        assert!(origin.try_next_call().is_none(), "sent again");
    }
}

// ---- the server list changes ----

/// Guards against a request that is sent to whichever process has the old address of a server, when a list moves the
/// server while the attempt is connecting.
#[test]
fn attempt_connecting_to_an_address_its_server_left_is_not_sent() {
    let (old, new, origin, discovery) =
        (BackloggedServer::cache(), FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let known = server_list(41, &[(CACHE, old.addr)], origin.addr);
    let settings = settings_without_connect_timeout();
    let node = NodeOptions { settings: &settings, ..NodeOptions::new(&known, discovery.addr) }.start();
    let call = discovery.next_call();
    let mut client = node.client();
    client.send_get("k", "c=read,d=60000");
    old.wait_for_connecting(1);
    let moved = server_entry(CACHE, new.addr, "m", "SERVING");
    call.reply_http("200 OK", &format!(r#"{{"version":42,"full":false,"servers":[{moved}]}}"#));
    let _watch = discovery.next_call(); // the node has read the list
    let old = old.accept_connections();
    assert_eq!(old.next_closed(), 1, "the node's own connection");
    assert!(old.try_next_call().is_none(), "sent to the old address");
    new.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
}

// ---- the process stops ----

/// Tells a node to stop, and waits until it reads no more commands from busy clients, which is when it closes the idle
/// ones.
fn begin_shutdown(node: &Node) {
    let mut idle = node.client();
    idle.ping();
    node.terminate();
    assert_eq!(idle.read_reply(), None, "closed, since the node stops");
}

/// Guards against a node that waits on shutdown for a request which may take longer than its classes allow, and has to
/// be killed.
#[test]
fn stopping_node_with_short_deadlines_answers_a_longer_write_and_exits() {
    let settings =
        settings_without_connect_timeout().replace(r#""HardLimit":2000.0"#, r#""HardLimit":200.0"#);
    let (mut node, _cache, origin) = node_with_backlogged_origin(&settings);
    let mut client = node.client();
    client.send_set("k", "c=put,d=60000,k=1", "v");
    origin.wait_for_connecting(1);
    node.terminate();
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
    assert!(node.wait_for_exit());
    origin.wait_for_connecting(0);
}

/// Guards against a second SIGTERM or a SIGHUP that cuts off the open requests of a stopping node.
#[test]
fn further_signals_do_not_disturb_a_shutdown() {
    let (mut node, cache, _origin) = node_with_backlogged_origin(&settings_without_connect_timeout());
    let mut client = node.client();
    client.send_get("k", "c=read,d=60000");
    let call = cache.next_call();
    begin_shutdown(&node);
    node.terminate();
    node.reload("{}"); // rejected
    node.reload(&node.config()); // unchanged
    call.reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert_eq!(client.read_reply(), None, "closed after its answer");
    assert!(node.wait_for_exit());
}

/// Guards against a command that is dropped because the shutdown begins when only its first part has been received.
#[test]
fn command_received_in_part_at_shutdown_is_completed_and_answered() {
    let (mut node, cache, _origin) = node_with_backlogged_origin(&settings_without_connect_timeout());
    let mut client = node.client();
    client.ping();
    let text = encode_command(&["CACHE.GET", "k", "9b1f03aa5c7e2d41", "c=read,d=60000"]);
    let (first_part, rest) = text.split_at(text.len() - 7);
    client.write(first_part);
    begin_shutdown(&node);
    client.write(rest);
    cache.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert!(node.wait_for_exit());
}

/// Guards against a reply that is cut off by a reset: the kernel resets a connection that is closed with unread bytes.
#[test]
fn last_reply_is_complete_though_a_later_command_is_never_read() {
    const LONG: usize = 1_000_000; // more than the client's kernel buffers before the client reads
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let mut node =
        NodeOptions { operator: true, ..NodeOptions::new(&known, FakeServer::http().addr) }.start();
    let mut client = node.client();
    client.send_get("k", "c=read,d=60000");
    let mut call = cache.next_call();
    begin_shutdown(&node);
    client.send(&["CACHE.GET", "l", "another", "c=read,d=60000"]); // not read by the stopping node
    call.reply(format!("*3\r\n${LONG}\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", "x".repeat(LONG)));
    // No request is in flight once the node has written the whole reply and closes.
    while !node.operator_call("STATS\n").contains("svc_inflight 0") {}
    assert_eq!(client.bytes_until_close(), LONG + format!("${LONG}\r\n\r\n").len());
    drop(client);
    assert!(node.wait_for_exit());
}

/// Guards against connections that hang in the accept queue of a stopping node, and against their requests being sent
/// to a server.
#[test]
fn connections_in_the_accept_queue_at_shutdown_are_reset_and_not_served() {
    /// The least number of client connections that a node with so few descriptors accepts at a time.
    const MIN_HELD: usize = 20;
    /// The largest number of client connections that this node accepts at a time.
    const MAX_HELD: usize = 23;
    let (cache, origin) = (FakeServer::cache(), BackloggedServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let mut node = NodeOptions {
        settings: &settings_without_connect_timeout(),
        sockets: 60,
        ..NodeOptions::new(&known, FakeServer::http().addr)
    }
    .start();
    let connect = |n: usize| {
        let mut client = node.client();
        client.send(&["CACHE.GET", "k", &format!("id-{n}"), "c=read,d=60000"]);
        client
    };
    // All of them wait for one fetch, so that none is idle and closed in favour of others.
    let mut held: Vec<Client> = (0..MIN_HELD)
        .map(|n| {
            let client = connect(n);
            cache.next_call().reply_miss();
            client
        })
        .collect();
    node.pause();
    held.extend((MIN_HELD..MAX_HELD).map(connect));
    let mut queued: Vec<Client> = (MAX_HELD..MAX_HELD + 10).map(connect).collect();
    node.resume();
    node.terminate();
    for client in &mut queued {
        assert_eq!(client.read_reply(), None, "reset, and soon");
    }
    while let Some(call) = cache.try_next_call() {
        let id: usize = call.words[2].strip_prefix("id-").unwrap().parse().unwrap();
        assert!(id < MAX_HELD, "sent on for a client that was not accepted");
        call.reply_miss();
    }
    for client in &mut held[..MIN_HELD] {
        assert!(client.read_reply().unwrap().starts_with("-BUSY"), "an accepted client is answered");
    }
    assert!(node.wait_for_exit());
    origin.wait_for_connecting(0);
}
