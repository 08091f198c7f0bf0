//! What is still owed at the instant when something ends: the orders of events that are rare, made to happen.
//! `docs/design/endings.md` lists them.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";

/// Settings under which a connection may take as long as the test wants.
fn patient() -> String {
    SETTINGS.replace(r#""ConnectTimeout":10000.0"#, r#""ConnectTimeout":600000.0"#)
}

/// A node with one cache, and an origin to which connections don't come up.
fn with_late_origin(settings: &str) -> (Node, FakeServer, BackloggedServer) {
    let (cache, origin) = (FakeServer::cache(), BackloggedServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let node = NodeOptions { settings, ..NodeOptions::new(&known, FakeServer::http().addr) }.start();
    (node, cache, origin)
}

// ---- the client leaves, or has its answer ----

#[test]
fn a_fetch_that_is_still_connecting_ends_with_its_request() {
    let (node, cache, origin) = with_late_origin(&patient());
    for leaves in [true, false] {
        let mut client = node.client();
        client.send_get("k", if leaves { "c=read,d=60000" } else { "c=read,d=300" });
        cache.next_call().reply_miss();
        origin.wait_for_connecting(1);
        if leaves {
            drop(client);
        } else {
            assert!(client.read_reply().unwrap().starts_with("-BUSY"));
        }
        origin.wait_for_connecting(0);
    }
    // What comes next is the next one's.
    let origin = origin.accept_connections();
    let mut client = node.client();
    client.send(&["CACHE.GET", "k", "the-next", "c=read,d=60000"]);
    cache.next_call().reply_miss();
    let call = origin.next_call();
    assert!(call.words.contains(&"x-correlation-id: the-next".into()), "{:?}", call.words);
    call.reply_http("200 OK", "v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
}

#[test]
fn who_waits_for_a_fetch_whose_client_leaves_before_it_is_sent_fetches_under_an_id_of_its_own() {
    let (node, cache, origin) = with_late_origin(&patient());
    let (mut first, mut second) = (node.client(), node.client());
    first.send_get("k", "c=read,d=60000");
    cache.next_call().reply_miss();
    origin.wait_for_connecting(1);
    second.send(&["CACHE.GET", "k", "the-second", "c=read,d=60000"]);
    cache.next_call().reply_miss();
    drop(first);
    let origin = {
        // Once the second one's copy of the miss is known to have been heard, its fetch is the only one under way.
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

#[test]
fn a_write_that_is_still_connecting_ends_with_its_client_though_nothing_may_be_cancelled() {
    let settings = patient().replace(r#""Cancel":true"#, r#""Cancel":false"#);
    let (node, _cache, origin) = with_late_origin(&settings);
    let mut client = node.client();
    client.send_set("k", "c=put,d=60000,k=1", "v");
    origin.wait_for_connecting(1);
    drop(client);
    origin.wait_for_connecting(0);
}

#[test]
fn a_client_that_leaves_while_the_node_stops_is_noticed_whether_or_not_it_has_sent_more() {
    for more in [false, true] {
        let (node, cache, origin) = with_late_origin(&patient());
        let (mut client, mut other) = (node.client(), node.client());
        other.send(&["CACHE.GET", "m", "another", "c=read,d=1500"]);
        let _call = cache.next_call();
        client.send_set("k", "c=put,d=60000,k=1", "v");
        origin.wait_for_connecting(1);
        stop(&node);
        if more {
            client.send_set("l", "c=put,d=60000,k=2", "v"); // not read by a node that stops and owes an answer
        }
        drop(client);
        // Given up in its time, which is over before the node's.
        assert!(other.read_reply().unwrap().starts_with("-BUSY"));
        assert_eq!(origin.connecting_count(), 0);
    }
}

#[test]
fn a_client_that_leaves_while_there_is_no_memory_for_more_of_its_commands_is_noticed() {
    let (cache, origin) = (BackloggedServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let node = NodeOptions {
        settings: &patient(),
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

#[test]
fn a_client_that_leaves_while_a_value_for_it_has_stalled_is_noticed_before_the_value_is_given_up() {
    let (node, cache, origin) = with_late_origin(&patient());
    let (mut client, mut other) = (node.client(), node.client());
    client.send_get("k", "c=read,d=60000");
    client.send(&["CACHE.SET", "l", "behind-it", "c=put,d=60000,k=1", "v"]);
    let mut call = cache.next_call();
    call.reply(format!("*3\r\n$200000\r\n{}", "x".repeat(100_000))); // and then nothing
    origin.wait_for_connecting(1);
    assert_eq!(client.read_line(), "$200000");
    drop(client);
    // Given up after a second; a value that stalls only after five.
    other.send(&["CACHE.GET", "m", "an-other", "c=read,d=1000"]);
    let _call = cache.next_call();
    assert!(other.read_reply().unwrap().starts_with("-BUSY"));
    assert_eq!(origin.connecting_count(), 0);
}

#[test]
fn a_client_that_leaves_behind_a_malformed_frame_is_noticed_before_its_answers_are_given_up() {
    let (node, cache, origin) = with_late_origin(&patient());
    let (mut client, mut other) = (node.client(), node.client());
    client.send_set("k", "c=put,d=60000,k=1", "v");
    origin.wait_for_connecting(1);
    // Given up well before the 1.5 s for which answers are waited for after what can't be read.
    other.send(&["CACHE.GET", "m", "another", "c=read,d=700"]);
    let _call = cache.next_call();
    client.write("*1\r\n:7\r\nwhat is behind it is not read");
    drop(client);
    assert!(other.read_reply().unwrap().starts_with("-BUSY"));
    assert_eq!(origin.connecting_count(), 0);
}

#[test]
fn a_client_that_leaves_behind_as_many_answers_as_may_be_owed_is_noticed() {
    // The end follows at once on what fills the limit, or hides behind what is not read any more.
    for behind in [1_023, 6_000] {
        let (node, cache, origin) = with_late_origin(&patient());
        let (mut client, mut other) = (node.client(), node.client());
        client.send_set("k", "c=put,d=60000,k=1", "v");
        origin.wait_for_connecting(1);
        other.send(&["CACHE.GET", "m", "another", "c=read,d=1500"]);
        let _call = cache.next_call();
        client.write(encode_command(&["PING"]).repeat(behind));
        drop(client);
        // Given up in its time, long before the write.
        assert!(other.read_reply().unwrap().starts_with("-BUSY"));
        assert_eq!(origin.connecting_count(), 0);
    }
}

// ---- attempts end ----

/// Whether an answer is what a class of this effect gets that was not served in time.
fn unserved(class: &str, answer: &str) -> bool {
    if class == "read" { answer.starts_with("-BUSY") } else { answer == "-ERR failed" }
}

#[test]
fn a_time_out_and_an_answer_in_one_turn_are_one_end() {
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
        assert!(answer == "v" || unserved(class, &answer), "{answer}");
        client.ping_until_connections_are_reusable(); // no second answer is between
        assert_eq!(node.metric("svc_inflight"), 0.0);
        let ends = ["svc_success_total", "svc_busy_total", "svc_failure_total"];
        let ended: f64 = ends.map(|name| node.metric(&format!("{name}{{tier=\"{class}\"}}"))).iter().sum();
        assert_eq!(ended, 1.0);
        // Its place and its connection are free once: as many as may be are out together.
        client.send_get("k", &format!("c={class},d=60000"));
        cache.next_call().reply_value("w");
        assert_eq!(client.read_reply().as_deref(), Some("w"));
        assert_eq!(node.metric("svc_backend_calls_total"), 2.0);
    }
}

#[test]
fn a_second_copy_on_an_idle_connection_is_counted_and_so_is_a_connection_that_is_used_again_soon() {
    const COPY: &str = "*3\r\n$3\r\nold\r\n$3\r\nhit\r\n$-1\r\n";
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let node = NodeOptions { operator: true, ..NodeOptions::new(&known, FakeServer::http().addr) }.start();
    let mut client = node.client();
    client.send_get("k", "c=read,d=60000");
    let mut call = cache.next_call();
    call.reply(COPY);
    assert_eq!(client.read_reply().as_deref(), Some("old"));
    client.ping_until_connections_are_reusable(); // longer than what counts as soon
    call.reply(COPY);
    client.send_get("l", "c=read,d=60000");
    let call = cache.next_call();
    assert_eq!(call.connection, 1);
    call.reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert_eq!(["svc_unasked_total", "svc_reused_soon_total"].map(|name| node.metric(name)), [1.0, 0.0]);
    let start = Instant::now();
    while node.metric("svc_reused_soon_total") == 0.0 {
        assert!(start.elapsed() < TEST_TIMEOUT, "never used again so soon");
        client.send_get("k", "c=read,d=60000");
        cache.next_call().reply_value("v");
        assert_eq!(client.read_reply().as_deref(), Some("v"));
        client.ping();
    }
    assert_eq!(node.metric("svc_unasked_total"), 1.0);
}

/// Guards the tests of broken writes against kernels that take a long write whole: then it may have run.
#[test]
fn a_server_that_takes_little_leaves_a_long_write_under_way() {
    let listener = listener_with_small_receive_buffer();
    let mut writer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let _unread = listener.accept().unwrap();
    writer.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
    let block = [b'x'; 64 << 10];
    let mut taken = 0;
    while let Ok(written) = writer.write(&block) {
        taken += written;
        assert!(taken < BYTES_BEYOND_BUFFERS, "{taken} bytes are taken unread");
    }
}

#[test]
fn a_used_connection_that_breaks_while_a_write_goes_out_has_not_run_it() {
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
    // More than the kernels of both sides take: the node is still writing when the cache closes.
    client.send_set("k", "c=put,d=60000,k=1", &format!("\n{}", "x".repeat(BYTES_BEYOND_BUFFERS)));
    // Of an effect that is not repeated: it is sent again, and refused at last, since it never ran.
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
    assert!(connections.starts_with(&[0, 1]), "the connection from before, then others: {connections:?}");
    assert!(answer.starts_with("-BUSY"), "{answer}");
}

#[test]
fn a_used_connection_that_closes_after_the_request_was_written_may_have_run_it() {
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
        assert_eq!(call.connection, 0, "the connection from before");
        call.close();
        if class == "read" {
            let call = cache.next_call(); // safe to repeat
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

#[test]
fn a_used_connection_to_the_origin_that_breaks_under_a_write_may_have_run_it() {
    // While it is written, and after.
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
        assert_eq!(call.connection, 0, "the connection from before");
        call.close();
        assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
        client.ping_until_connections_are_reusable();
        assert!(origin.try_next_call().is_none(), "sent again");
    }
}

// ---- the list changes ----

#[test]
fn an_attempt_that_connects_to_an_address_which_its_server_has_left_sends_nothing_there() {
    let (old, new, origin, discovery) =
        (BackloggedServer::cache(), FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let known = server_list(41, &[(CACHE, old.addr)], origin.addr);
    let settings = patient();
    let node = NodeOptions { settings: &settings, ..NodeOptions::new(&known, discovery.addr) }.start();
    let call = discovery.next_call();
    let mut client = node.client();
    client.send_get("k", "c=read,d=60000");
    old.wait_for_connecting(1);
    let moved = server_entry(CACHE, new.addr, "m", "SERVING");
    call.reply_http("200 OK", &format!(r#"{{"version":42,"full":false,"servers":[{moved}]}}"#));
    let _watch = discovery.next_call(); // the list has been read
    let old = old.accept_connections();
    assert_eq!(old.next_closed(), 1, "the node's own connection");
    assert!(old.try_next_call().is_none(), "sent to whoever has the address now");
    new.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
}

// ---- the process ends ----

/// Has a node stop, up to where it takes no more from clients that it owes: it then closes those it owes nothing.
fn stop(node: &Node) {
    let mut idle = node.client();
    idle.ping();
    node.terminate();
    assert_eq!(idle.read_reply(), None, "closed, since the node stops");
}

#[test]
fn with_short_deadlines_it_answers_what_would_outlive_it_and_ends_by_itself() {
    let settings = patient().replace(r#""HardLimit":2000.0"#, r#""HardLimit":200.0"#);
    let (mut node, _cache, origin) = with_late_origin(&settings);
    let mut client = node.client();
    client.send_set("k", "c=put,d=60000,k=1", "v");
    origin.wait_for_connecting(1);
    node.terminate();
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
    assert!(node.wait_for_exit());
    origin.wait_for_connecting(0);
}

#[test]
fn further_signals_change_nothing_of_a_stop() {
    let (mut node, cache, _origin) = with_late_origin(&patient());
    let mut client = node.client();
    client.send_get("k", "c=read,d=60000");
    let call = cache.next_call();
    stop(&node);
    node.terminate();
    node.reload("{}"); // refused
    node.reload(&node.config()); // and nothing to read
    call.reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert_eq!(client.read_reply(), None, "closed after its answer");
    assert!(node.wait_for_exit());
}

#[test]
fn a_command_half_read_at_the_word_to_stop_is_answered_once_the_rest_comes() {
    let (mut node, cache, _origin) = with_late_origin(&patient());
    let mut client = node.client();
    client.ping();
    let text = encode_command(&["CACHE.GET", "k", "9b1f03aa5c7e2d41", "c=read,d=60000"]);
    let (half, rest) = text.split_at(text.len() - 7);
    client.write(half);
    stop(&node);
    client.write(rest);
    cache.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert!(node.wait_for_exit());
}

#[test]
fn an_answer_is_whole_though_what_is_behind_it_is_not_read_any_more() {
    const LONG: usize = 1_000_000; // more than a client's machine takes before the client reads
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let mut node =
        NodeOptions { operator: true, ..NodeOptions::new(&known, FakeServer::http().addr) }.start();
    let mut client = node.client();
    client.send_get("k", "c=read,d=60000");
    let mut call = cache.next_call();
    stop(&node);
    client.send(&["CACHE.GET", "l", "another", "c=read,d=60000"]); // never read
    call.reply(format!("*3\r\n${LONG}\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", "x".repeat(LONG)));
    // Nothing is open any more once the node has written all of it and closes.
    while !node.operator_call("STATS\n").contains("svc_inflight 0") {}
    assert_eq!(client.bytes_until_close(), LONG + format!("${LONG}\r\n\r\n").len());
    drop(client);
    assert!(node.wait_for_exit());
}

#[test]
fn connections_still_in_the_kernels_queue_when_accepting_ends_are_reset_and_nothing_of_them_is_sent_on() {
    /// Clients that a node with so few descriptors holds in any case, and at the most.
    const HELD: usize = 20;
    const MOST: usize = 23;
    let (cache, origin) = (FakeServer::cache(), BackloggedServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let mut node = NodeOptions {
        settings: &patient(),
        sockets: 60,
        ..NodeOptions::new(&known, FakeServer::http().addr)
    }
    .start();
    let come = |n: usize| {
        let mut client = node.client();
        client.send(&["CACHE.GET", "k", &format!("id-{n}"), "c=read,d=60000"]);
        client
    };
    // All wait for one fetch, so that none can be closed for others.
    let mut held: Vec<Client> = (0..HELD)
        .map(|n| {
            let client = come(n);
            cache.next_call().reply_miss();
            client
        })
        .collect();
    node.pause();
    held.extend((HELD..MOST).map(come));
    let mut queued: Vec<Client> = (MOST..MOST + 10).map(come).collect();
    node.resume();
    node.terminate();
    for client in &mut queued {
        assert_eq!(client.read_reply(), None, "reset, and soon");
    }
    while let Some(call) = cache.try_next_call() {
        let id: usize = call.words[2].strip_prefix("id-").unwrap().parse().unwrap();
        assert!(id < MOST, "sent on for a client that was not taken");
        call.reply_miss();
    }
    for client in &mut held[..HELD] {
        assert!(client.read_reply().unwrap().starts_with("-BUSY"), "what was taken is answered");
    }
    assert!(node.wait_for_exit());
    origin.wait_for_connecting(0);
}
