//! A client that closes, half-closes or resets its connection has disconnected: 0.1 s later no attempt starts for it.
//!
//! The tests don't measure that time, but rely on it: the clients disconnect, 0.1 s pass, the node shows by two replies
//! that it has run since, and only then does the step become possible that it must not take any more.

#[path = "common/fakes.rs"]
mod fakes;

use std::net::Shutdown;
use std::thread;
use std::time::Duration;

use fakes::*;
use socket2::SockRef;

const CACHE: &str = "s-5be2a07c";
/// An attempt that starts later than this after its client's disconnect is too late.
const DISCONNECT_LIMIT: Duration = Duration::from_millis(100);
const BURST_CLIENTS: usize = 1_000;

/// How a client disconnects.
#[derive(Clone, Copy, PartialEq)]
enum Disconnect {
    Closes,
    HalfCloses,
    Resets,
}

const DISCONNECTS: [Disconnect; 3] = [Disconnect::Closes, Disconnect::HalfCloses, Disconnect::Resets];

/// Disconnects a client; the returned client, if any, keeps the connection half open.
fn disconnect(client: Client, how: Disconnect) -> Option<Client> {
    match how {
        Disconnect::Closes => None,
        Disconnect::HalfCloses => {
            client.stream().shutdown(Shutdown::Write).unwrap();
            Some(client)
        }
        Disconnect::Resets => {
            SockRef::from(client.stream()).set_linger(Some(Duration::ZERO)).unwrap();
            None
        }
    }
}

/// Settings with a connect timeout that no test reaches.
fn settings_without_connect_timeout() -> String {
    SETTINGS.replace(r#""ConnectTimeout":10000.0"#, r#""ConnectTimeout":600000.0"#)
}

struct Fixture {
    cache: FakeServer,
    origin: BackloggedServer,
    node: Node,
}

impl Fixture {
    /// Starts a node with one cache, and an origin that accepts no connections: connections to it stay in progress.
    fn new(settings: &str) -> Fixture {
        let (cache, origin) = (FakeServer::cache(), BackloggedServer::http());
        let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
        let node = NodeOptions {
            settings,
            sockets: 4_096,
            operator: true,
            ..NodeOptions::new(&known, FakeServer::http().addr)
        };
        Fixture { cache, origin, node: node.start() }
    }

    /// Lets the time pass after which no attempt may start, and lets the node run after it.
    fn wait_past_disconnect_limit(&self) {
        let mut other_client = self.node.client();
        thread::sleep(DISCONNECT_LIMIT);
        other_client.ping();
        other_client.ping();
    }

    /// Asserts that the cache gets no request but the one that is sent now.
    fn assert_cache_gets_only_a_new_read(&self) {
        let mut client = self.node.client();
        client.send(&["CACHE.GET", "k", "the-next", "c=read,d=60000"]);
        let call = self.cache.next_call();
        assert_eq!(call.words[2], "the-next", "started after the limit");
        call.reply_value("w");
        assert_eq!(client.read_reply().as_deref(), Some("w"));
        assert!(self.cache.try_next_call().is_none(), "started after the limit");
    }

    /// Accepts the connections to the origin, and asserts that it gets no request but the one that is sent now.
    fn assert_origin_gets_only_a_new_write(self) {
        let origin = self.origin.accept_connections();
        let mut client = self.node.client();
        client.send(&["CACHE.SET", "k", "the-next", "c=put,d=60000,k=9", "v"]);
        let call = origin.next_call();
        assert!(
            call.words.contains(&"x-correlation-id: the-next".into()),
            "started after the limit: {:?}",
            call.words
        );
        call.reply_http("200 OK", "v");
        assert_eq!(client.read_reply().as_deref(), Some("v"));
        assert!(origin.try_next_call().is_none(), "started after the limit");
    }
}

/// Guards against an attempt that is sent once its connection comes up, though its client has disconnected meanwhile.
#[test]
fn disconnect_of_a_client_that_the_node_reads_stops_its_attempt() {
    for how in DISCONNECTS {
        let fixture = Fixture::new(&settings_without_connect_timeout());
        let mut client = fixture.node.client();
        client.send_set("k", "c=put,d=60000,k=1", "v");
        fixture.origin.wait_for_connecting(1);
        let _half = disconnect(client, how);
        fixture.wait_past_disconnect_limit();
        assert_eq!(fixture.node.metric("svc_leave_seen_seconds_count"), 1.0);
        assert_eq!(fixture.node.metric("svc_attempts_after_leave_total"), 0.0);
        fixture.assert_origin_gets_only_a_new_write();
    }
}

/// Guards against a disconnect that goes unnoticed because the node stops reading a connection to which it owes the
/// maximum number of replies.
#[test]
fn disconnect_is_noticed_while_reading_pauses_at_the_pending_reply_limit() {
    for how in DISCONNECTS {
        let fixture = Fixture::new(&settings_without_connect_timeout());
        let mut client = fixture.node.client();
        client.send_set("k", "c=put,d=60000,k=1", "v");
        fixture.origin.wait_for_connecting(1);
        client.write(encode_command(&["PING"]).repeat(6_000));
        let _half = disconnect(client, how);
        fixture.wait_past_disconnect_limit();
        fixture.assert_origin_gets_only_a_new_write();
    }
}

/// Guards against a disconnect that goes unnoticed because the node waits for the client to take a long value.
#[test]
fn disconnect_is_noticed_while_a_long_value_is_written_to_the_client() {
    const LONG: usize = BYTES_BEYOND_BUFFERS;
    for how in DISCONNECTS {
        let fixture = Fixture::new(&settings_without_connect_timeout());
        let mut client = fixture.node.client_with_small_receive_buffer();
        client.send_get("k", "c=read,d=60000");
        client.send(&["CACHE.SET", "l", "behind-it", "c=put,d=60000,k=1", "v"]);
        let mut call = fixture.cache.next_call();
        fixture.origin.wait_for_connecting(1);
        let value = thread::spawn(move || {
            call.try_reply(&format!("*3\r\n${LONG}\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", "x".repeat(LONG)));
        });
        assert_eq!(client.read_line(), format!("${LONG}"));
        let _half = disconnect(client, how);
        fixture.wait_past_disconnect_limit();
        fixture.assert_origin_gets_only_a_new_write();
        value.join().unwrap();
    }
}

/// Guards against a waiting read that is sent once another one ends, though its client has disconnected.
#[test]
fn read_in_the_admission_queue_is_dropped_when_its_client_disconnects() {
    // As many requests as a node that has just started has in flight at once; the next one waits in the admission
    // queue.
    const CONCURRENCY_LIMIT: usize = 8;
    for how in DISCONNECTS {
        let fixture = Fixture::new(&settings_without_connect_timeout());
        let mut busy_client = fixture.node.client();
        for n in 0..CONCURRENCY_LIMIT {
            busy_client.send(&["CACHE.GET", &format!("k-{n}"), &format!("out-{n}"), "c=read,d=60000"]);
        }
        let calls: Vec<Call> = (0..CONCURRENCY_LIMIT).map(|_| fixture.cache.next_call()).collect();
        let mut client = fixture.node.client();
        client.send(&["CACHE.GET", "k", "waits", "c=read,d=60000"]);
        let _half = disconnect(client, how);
        fixture.wait_past_disconnect_limit();
        for call in calls {
            call.reply_value("v");
        }
        for _ in 0..CONCURRENCY_LIMIT {
            assert_eq!(busy_client.read_reply().as_deref(), Some("v"));
        }
        fixture.assert_cache_gets_only_a_new_read();
    }
}

/// Guards against a retry for a client that has disconnected, where the first attempt ends after the disconnect.
#[test]
fn attempt_of_a_disconnected_client_is_not_retried() {
    // The second case forbids cancelling: the attempt then goes on, and its end starts no other one.
    for settings in [
        settings_without_connect_timeout(),
        settings_without_connect_timeout().replace(r#""Cancel":true"#, r#""Cancel":false"#),
    ] {
        let fixture = Fixture::new(&settings);
        let mut client = fixture.node.client();
        client.send(&["CACHE.GET", "k", "gone", "c=read,d=60000"]);
        let mut call = fixture.cache.next_call();
        drop(client);
        fixture.wait_past_disconnect_limit();
        call.try_reply("-BUSY 1\r\n");
        fixture.assert_cache_gets_only_a_new_read();
    }
}

/// Guards against a fetch that is repeated for one waiting client after the other, when 1,000 clients of a single
/// flight disconnect at once.
#[test]
fn no_fetch_starts_after_all_clients_that_wait_for_it_disconnect() {
    let fixture = Fixture::new(&settings_without_connect_timeout());
    let clients: Vec<Client> = (0..BURST_CLIENTS)
        .map(|n| {
            let mut client = fixture.node.client();
            client.send(&["CACHE.GET", "k", &format!("id-{n}"), "c=read,d=60000"]);
            fixture.cache.next_call().reply_miss();
            client
        })
        .collect();
    fixture.origin.wait_for_connecting(1);
    drop(clients);
    fixture.wait_past_disconnect_limit();
    fixture.assert_origin_gets_only_a_new_write();
}

/// Guards against attempts for clients that sent requests and disconnected while the node was stopped: it has to read
/// all of the requests before it comes to the end of the connection.
#[test]
fn no_attempt_starts_for_clients_that_disconnect_right_after_their_requests() {
    // The more requests a client sends, the more reads it takes to reach the end of its connection.
    for (requests, key) in [(1, "k"), (60, "k"), (60, &*"k".repeat(500))] {
        let fixture = Fixture::new(&settings_without_connect_timeout());
        let clients: Vec<Client> = (0..BURST_CLIENTS)
            .map(|_| {
                let mut client = fixture.node.client();
                client.ping();
                client
            })
            .collect();
        fixture.node.pause();
        for (n, mut client) in clients.into_iter().enumerate() {
            let commands = (0..requests).map(|m| {
                encode_command(&[
                    "CACHE.GET",
                    &format!("{key}-{n}-{m}"),
                    &format!("id-{n}-{m}"),
                    "c=read,d=60000",
                ])
            });
            client.write(commands.collect::<String>());
        }
        thread::sleep(DISCONNECT_LIMIT);
        fixture.node.resume();
        fixture.assert_cache_gets_only_a_new_read();
    }
}
