//! A client that has closed or called off has gone: 0.1 s later nothing begins for it any more.
//!
//! The tests don't measure that time, they are arranged round it: the clients leave, 0.1 s pass, the node shows by
//! two answers that it has had its turn since, and only then what it would do too late becomes possible.

#[path = "common/fakes.rs"]
mod fakes;

use std::net::Shutdown;
use std::thread;
use std::time::Duration;

use fakes::*;
use socket2::SockRef;

const CACHE: &str = "s-5be2a07c";
/// What begins later than this after its client's end is too late.
const LATE: Duration = Duration::from_millis(100);
const BURST: usize = 1_000;

/// How clients leave.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Closes,
    HalfCloses,
    Resets,
}

const ENDS: [End; 3] = [End::Closes, End::HalfCloses, End::Resets];

/// Ends a client's connection; what is returned keeps it half open.
fn end(client: Client, how: End) -> Option<Client> {
    match how {
        End::Closes => None,
        End::HalfCloses => {
            client.stream().shutdown(Shutdown::Write).unwrap();
            Some(client)
        }
        End::Resets => {
            SockRef::from(client.stream()).set_linger(Some(Duration::ZERO)).unwrap();
            None
        }
    }
}

/// Settings under which a connection may take as long as the test wants.
fn patient() -> String {
    SETTINGS.replace(r#""ConnectTimeout":10000.0"#, r#""ConnectTimeout":600000.0"#)
}

struct Scene {
    cache: FakeServer,
    origin: BackloggedServer,
    node: Node,
}

impl Scene {
    /// A node with one cache, and an origin to which connections don't come up yet.
    fn new(settings: &str) -> Scene {
        let (cache, origin) = (FakeServer::cache(), BackloggedServer::http());
        let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
        let node = NodeOptions {
            settings,
            sockets: 4_096,
            operator: true,
            ..NodeOptions::new(&known, FakeServer::http().addr)
        };
        Scene { cache, origin, node: node.start() }
    }

    /// Lets the time pass after which nothing may begin, and the node have its turn after it.
    fn late(&self) {
        let mut witness = self.node.client();
        thread::sleep(LATE);
        witness.ping();
        witness.ping();
    }

    /// Nothing comes to the cache any more but what is asked for now.
    fn only_the_next_is_asked_for(&self) {
        let mut client = self.node.client();
        client.send(&["CACHE.GET", "k", "the-next", "c=read,d=60000"]);
        let call = self.cache.next_call();
        assert_eq!(call.words[2], "the-next", "begun late");
        call.reply_value("w");
        assert_eq!(client.read_reply().as_deref(), Some("w"));
        assert!(self.cache.try_next_call().is_none(), "begun late");
    }

    /// From here on connections to the origin come up; nothing may come on them but for who comes now.
    fn only_the_next_is_sent_on(self) {
        let origin = self.origin.accept_connections();
        let mut client = self.node.client();
        client.send(&["CACHE.SET", "k", "the-next", "c=put,d=60000,k=9", "v"]);
        let call = origin.next_call();
        assert!(call.words.contains(&"x-correlation-id: the-next".into()), "begun late: {:?}", call.words);
        call.reply_http("200 OK", "v");
        assert_eq!(client.read_reply().as_deref(), Some("v"));
        assert!(origin.try_next_call().is_none(), "begun late");
    }
}

#[test]
fn who_is_read() {
    for how in ENDS {
        let scene = Scene::new(&patient());
        let mut client = scene.node.client();
        client.send_set("k", "c=put,d=60000,k=1", "v");
        scene.origin.wait_for_connecting(1);
        let _half = end(client, how);
        scene.late();
        assert_eq!(scene.node.metric("svc_leave_seen_seconds_count"), 1.0);
        assert_eq!(scene.node.metric("svc_attempts_after_leave_total"), 0.0);
        scene.only_the_next_is_sent_on();
    }
}

#[test]
fn who_is_not_read_behind_as_many_answers_as_may_be_owed() {
    for how in ENDS {
        let scene = Scene::new(&patient());
        let mut client = scene.node.client();
        client.send_set("k", "c=put,d=60000,k=1", "v");
        scene.origin.wait_for_connecting(1);
        client.write(encode_command(&["PING"]).repeat(6_000));
        let _half = end(client, how);
        scene.late();
        scene.only_the_next_is_sent_on();
    }
}

#[test]
fn who_does_not_take_the_long_value_that_is_written_to_it() {
    const LONG: usize = BYTES_BEYOND_BUFFERS;
    for how in ENDS {
        let scene = Scene::new(&patient());
        let mut client = scene.node.client_with_small_receive_buffer();
        client.send_get("k", "c=read,d=60000");
        client.send(&["CACHE.SET", "l", "behind-it", "c=put,d=60000,k=1", "v"]);
        let mut call = scene.cache.next_call();
        scene.origin.wait_for_connecting(1);
        let value = thread::spawn(move || {
            call.try_reply(&format!("*3\r\n${LONG}\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", "x".repeat(LONG)));
        });
        assert_eq!(client.read_line(), format!("${LONG}"));
        let _half = end(client, how);
        scene.late();
        scene.only_the_next_is_sent_on();
        value.join().unwrap();
    }
}

#[test]
fn who_waits_for_a_place() {
    // As many as are out at once at a node that has just started; the next one waits for a place.
    const PLACES: usize = 8;
    for how in ENDS {
        let scene = Scene::new(&patient());
        let mut all = scene.node.client();
        for n in 0..PLACES {
            all.send(&["CACHE.GET", &format!("k-{n}"), &format!("out-{n}"), "c=read,d=60000"]);
        }
        let calls: Vec<Call> = (0..PLACES).map(|_| scene.cache.next_call()).collect();
        let mut client = scene.node.client();
        client.send(&["CACHE.GET", "k", "waits", "c=read,d=60000"]);
        let _half = end(client, how);
        scene.late();
        for call in calls {
            call.reply_value("v");
        }
        for _ in 0..PLACES {
            assert_eq!(all.read_reply().as_deref(), Some("v"));
        }
        scene.only_the_next_is_asked_for();
    }
}

#[test]
fn who_has_an_attempt_that_would_be_tried_again() {
    // Once more without leave to cancel: the attempt then runs on, and its end makes no other.
    for settings in [patient(), patient().replace(r#""Cancel":true"#, r#""Cancel":false"#)] {
        let scene = Scene::new(&settings);
        let mut client = scene.node.client();
        client.send(&["CACHE.GET", "k", "gone", "c=read,d=60000"]);
        let mut call = scene.cache.next_call();
        drop(client);
        scene.late();
        call.try_reply("-BUSY 1\r\n");
        scene.only_the_next_is_asked_for();
    }
}

#[test]
fn a_burst_of_clients_that_wait_for_one_fetch_and_leave_at_once() {
    let scene = Scene::new(&patient());
    let clients: Vec<Client> = (0..BURST)
        .map(|n| {
            let mut client = scene.node.client();
            client.send(&["CACHE.GET", "k", &format!("id-{n}"), "c=read,d=60000"]);
            scene.cache.next_call().reply_miss();
            client
        })
        .collect();
    scene.origin.wait_for_connecting(1);
    drop(clients);
    scene.late();
    scene.only_the_next_is_sent_on();
}

#[test]
fn a_burst_of_clients_that_ask_and_leave_at_once() {
    // The more they ask for, the more turns it takes to read what stands before their end.
    for (open, key) in [(1, "k"), (60, "k"), (60, &*"k".repeat(500))] {
        let scene = Scene::new(&patient());
        let clients: Vec<Client> = (0..BURST)
            .map(|_| {
                let mut client = scene.node.client();
                client.ping();
                client
            })
            .collect();
        scene.node.pause();
        for (n, mut client) in clients.into_iter().enumerate() {
            let reads = (0..open).map(|m| {
                encode_command(&[
                    "CACHE.GET",
                    &format!("{key}-{n}-{m}"),
                    &format!("id-{n}-{m}"),
                    "c=read,d=60000",
                ])
            });
            client.write(reads.collect::<String>());
        }
        thread::sleep(LATE);
        scene.node.resume();
        scene.only_the_next_is_asked_for();
    }
}
