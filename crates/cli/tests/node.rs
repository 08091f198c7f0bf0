//! The node over loopback sockets, between scripted servers and a client.

#[path = "common/fakes.rs"]
mod fakes;

use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

/// A node with some caches, an origin, and a discovery that answers nothing unless the test does.
struct Stage {
    caches: Vec<FakeServer>,
    origin: FakeServer,
    discovery: FakeServer,
    node: Node,
}

const NAMES: [&str; 3] = ["s-5be2a07c", "s-11d0c3f9", "s-a90e7b42"];

fn named(caches: &[FakeServer]) -> Vec<(&'static str, std::net::SocketAddr)> {
    NAMES.into_iter().zip(caches.iter().map(|c| c.addr)).collect()
}

fn stage(caches: usize) -> Stage {
    let caches: Vec<FakeServer> = (0..caches).map(|_| FakeServer::cache()).collect();
    let (origin, discovery) = (FakeServer::http(), FakeServer::http());
    let node = Node::start(&server_list(41, &named(&caches), origin.addr), discovery.addr);
    Stage { caches, origin, discovery, node }
}

// ---- requests ----

#[test]
fn a_read_goes_on_unchanged_but_for_its_time_and_the_value_comes_back() {
    let s = stage(1);
    let mut client = s.node.client();
    client.send_get("7f3a9c21e0b4d655", "c=read,t=acme,d=1480,size=7");
    let call = s.caches[0].next_call();
    assert_eq!(call.words[..3], ["CACHE.GET", "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41"]);
    let facts: Vec<&str> = call.words[3].split(',').collect();
    assert_eq!([facts[0], facts[1], facts[3]], ["c=read", "t=acme", "size=7"]);
    let wait: u64 = facts[2].strip_prefix("d=").unwrap().parse().unwrap();
    assert!((1..1480).contains(&wait), "{wait} ms");
    call.reply_value("bins on Thursday");
    assert_eq!(client.read_reply().as_deref(), Some("bins on Thursday"));
}

#[test]
fn a_miss_is_fetched_from_the_origin() {
    let s = stage(1);
    let mut client = s.node.client();
    client.send_get("7f3a 9c", "c=read,d=1480,size=7");
    let call = s.caches[0].next_call();
    let called = Instant::now();
    while called.elapsed() < Duration::from_millis(20) {
        thread::yield_now();
    }
    call.reply_miss();
    let call = s.origin.next_call();
    assert_eq!(call.words[..2], ["GET", "/7f3a%209c"]);
    assert!(call.words.contains(&"x-correlation-id: 9b1f03aa5c7e2d41".into()), "{:?}", call.words);
    // As it came, but for the time: a further attempt tells no more than is left. The node had the request before it
    // called the cache, and keeps 5 ms for the answer's way.
    let facts = call.words.iter().find_map(|word| word.strip_prefix("x-facts: ")).expect("facts");
    let [class, wait, size] = facts.split(',').collect::<Vec<_>>()[..] else { panic!("{facts}") };
    assert_eq!([class, size], ["c=read", "size=7"]);
    let wait: u64 = wait.strip_prefix("d=").unwrap().parse().unwrap();
    assert!((1..=1480 - 20 - 5).contains(&wait), "{facts}");
    call.reply_http("200 OK", "from the origin");
    assert_eq!(client.read_reply().as_deref(), Some("from the origin"));
}

#[test]
fn a_write_goes_to_the_origin_with_its_value() {
    let s = stage(1);
    let mut client = s.node.client();
    client.send_set("k", "c=put,d=1480,k=5c0f", "on");
    let call = s.origin.next_call();
    assert_eq!((call.words[0].as_str(), call.words.last().unwrap().as_str()), ("PUT", "on"));
    call.reply_http("200 OK", "receipt");
    assert_eq!(client.read_reply().as_deref(), Some("receipt"));
}

#[test]
fn a_write_that_may_have_run_is_failed_and_not_sent_again() {
    let s = stage(1);
    let mut client = s.node.client();
    client.send_set("k", "c=put,d=1480", "on");
    s.origin.next_call().close();
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
    assert!(s.origin.try_next_call().is_none(), "sent again");
}

#[test]
fn a_write_that_never_ran_is_refused() {
    let s = stage(1);
    let mut client = s.node.client();
    client.send_set("k", "c=put,d=1480", "on");
    // Turned away each time.
    for _ in 0..5 {
        s.origin.next_call().reply("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    assert!(client.read_reply().unwrap().starts_with("-BUSY"));
}

#[test]
fn pipelined_reads_begin_at_once_and_are_answered_in_order() {
    let s = stage(1);
    let mut client = s.node.client();
    client.send_get("k1", "c=read,d=1900");
    client.send(&["CACHE.GET", "k2", "another", "c=read,d=1900"]);
    let (first, second) = (s.caches[0].next_call(), s.caches[0].next_call());
    let (first, second) = if first.words[1] == "k1" { (first, second) } else { (second, first) };
    second.reply_value("two");
    first.reply_value("one");
    assert_eq!([client.read_reply().unwrap(), client.read_reply().unwrap()], ["one", "two"]);
}

#[test]
fn an_origin_that_is_far_and_not_full_is_sent_as_much_as_a_near_one() {
    /// The way to the origin and back: more than the part of the aim that a fetch may take.
    const WAY: Duration = Duration::from_millis(180);
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let near = server_entry("s", cache.addr, "m", "SERVING");
    let far = server_entry("o", origin.addr, "origin", "SERVING").replace(r#""zone":"a""#, r#""zone":"b""#);
    let known = format!(r#"{{"version":41,"full":true,"servers":[{near},{far}]}}"#);
    let node = Node::start(&known, discovery.addr);
    let mut client = node.client();
    for round in 0..8 {
        let names: Vec<String> = (0..8).map(|n| format!("{round}-{n}")).collect();
        for name in &names {
            client.send(&["CACHE.GET", name, name, "c=read,d=1900"]);
        }
        for _ in &names {
            cache.next_call().reply_miss();
        }
        // Each time all eight are out together.
        let fetches: Vec<Call> = names.iter().map(|_| origin.next_call()).collect();
        thread::sleep(WAY);
        for call in fetches {
            call.reply_http("200 OK", "v");
        }
        for _ in names {
            assert_eq!(client.read_reply().as_deref(), Some("v"));
        }
    }
}

#[test]
fn what_a_cache_swallows_takes_no_place_once_a_later_read_is_answered() {
    let s = stage(1);
    let (mut unlucky, mut client) = (s.node.client(), s.node.client());
    // All but one of the places at the start.
    let swallowed: Vec<Call> = (0..7)
        .map(|n| {
            let name = format!("swallowed-{n}");
            unlucky.send(&["CACHE.GET", &name, &name, "c=read,d=60000"]);
            s.caches[0].next_call()
        })
        .collect();
    thread::sleep(Duration::from_millis(350)); // past the aim
    client.send_get("k", "c=read,d=1900");
    s.caches[0].next_call().reply_value("at once");
    assert_eq!(client.read_reply().as_deref(), Some("at once"));
    let names: Vec<String> = (0..8).map(|n| format!("later-{n}")).collect();
    for name in &names {
        client.send(&["CACHE.GET", name, name, "c=read,d=1900"]);
    }
    let together: Vec<Call> = names.iter().map(|_| s.caches[0].next_call()).collect();
    for call in together {
        call.reply_value("v");
    }
    for _ in names {
        assert_eq!(client.read_reply().as_deref(), Some("v"));
    }
    drop(swallowed);
}

#[test]
fn a_client_that_leaves_calls_its_attempts_off() {
    let s = stage(1);
    let mut client = s.node.client();
    client.send_get("k", "c=read,d=60000");
    let call = s.caches[0].next_call();
    drop(client);
    assert_eq!(s.caches[0].next_closed(), call.connection);
}

#[test]
fn a_read_that_no_cache_answers_is_answered_before_its_deadline() {
    let s = stage(1);
    let mut client = s.node.client();
    client.send_get("k", "c=read,d=1500");
    let _silent = s.caches[0].next_call();
    // That it comes in time is for the module's tests, which have a clock of their own.
    assert!(client.read_reply().unwrap().starts_with("-BUSY"));
}

// ---- connections to servers ----

#[test]
fn a_connection_is_used_again_and_a_closed_one_is_not() {
    let s = stage(1);
    let mut client = s.node.client();
    // Of an effect that is never repeated: a reset would show as a failure.
    for n in 0..3 {
        client.send_get("k", "c=put,d=1900");
        let mut call = s.caches[0].next_call();
        assert_eq!(call.connection, usize::from(n == 2));
        call.reply("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n");
        if n == 1 {
            call.close();
            s.caches[0].next_closed();
        }
        assert_eq!(client.read_reply().as_deref(), Some("v"), "read {n}");
        client.ping_until_connections_are_reusable();
    }
}

#[test]
fn a_connection_that_the_origin_closed_is_not_used_again() {
    let s = stage(1);
    let mut client = s.node.client();
    for n in 0..3 {
        client.send_set("k", "c=put,d=1900", "on");
        let mut call = s.origin.next_call();
        assert_eq!(call.connection, usize::from(n == 2));
        call.reply("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv");
        if n == 1 {
            call.close();
            s.origin.next_closed();
        }
        assert_eq!(client.read_reply().as_deref(), Some("v"), "write {n}");
        client.ping_until_connections_are_reusable();
    }
}

#[test]
fn what_comes_behind_an_answer_is_no_answer_to_the_next_request() {
    let s = stage(1);
    let mut client = s.node.client();
    let cached = |value: &str| format!("*3\r\n$3\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n");
    let http = |value: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{value}");
    // At once, and once the answer has been passed on.
    for (n, late) in [false, true, true].into_iter().enumerate() {
        let value = format!("v-{n}");
        for server in [&s.caches[0], &s.origin] {
            let write = server.addr == s.origin.addr;
            let (answer, old) =
                if write { (http(&value), http("old")) } else { (cached(&value), cached("old")) };
            if write {
                client.send_set("k", "c=put,d=1900", "on");
            } else {
                client.send_get("k", "c=put,d=1900");
            }
            let mut call = server.next_call();
            assert_eq!(call.connection, n, "a connection that has said too much");
            call.reply(if late { answer } else { answer + &old });
            assert_eq!(client.read_reply().as_deref(), Some(&*value));
            if late {
                call.reply(old);
            }
        }
    }
}

#[test]
fn an_answer_too_long_for_a_value_ends_its_connection() {
    let s = stage(1);
    let mut client = s.node.client();
    for n in 0..2 {
        client.send_set("k", "c=put,d=1900", "on");
        let mut call = s.origin.next_call();
        assert_eq!(call.connection, n);
        call.reply(format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400001\r\n{}",
            "x".repeat((4 << 20) + 1)
        ));
        assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
        client.ping_until_connections_are_reusable();
    }
}

#[test]
fn garbage_from_a_server_ends_the_attempt_and_not_the_node() {
    let s = stage(1);
    let mut client = s.node.client();
    for garbage in [
        "hello\r\n",
        "*1\r\n*1\r\n*1\r\n",
        "$99999999999999999999\r\n",
        ":1\r\n",
        "*1\r\n:1\r\n",
        "*1\r\n$1\r\nx\r\n",
        "*3\r\n$1\r\nx\r\n$3\r\nhat\r\n$-1\r\n",
        "*4\r\n$1\r\nx\r\n$-1\r\n$-1\r\n$-1\r\n",
    ] {
        client.send_get("k", "c=read,d=1900");
        s.caches[0].next_call().reply(garbage);
        // It may have run; a read is safe to repeat, and the cache now behaves.
        let mut answer = None;
        while answer.is_none() {
            match s.caches[0].try_next_call() {
                Some(call) => call.reply_value("v"),
                None => answer = client.try_read_reply(),
            }
        }
        let answer = answer.unwrap();
        assert!(answer == "v" || answer.starts_with("-BUSY"), "{answer}");
    }
    client.send_set("k", "c=put,d=1900", "on");
    s.origin.next_call().reply("no HTTP at all\r\n\r\n");
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
    s.node.client().ping();
}

#[test]
fn nodes_rank_alike_whatever_the_order_of_the_list() {
    let s = stage(3);
    let mut turned = named(&s.caches);
    turned.reverse();
    let other = Node::start(&server_list(41, &turned, s.origin.addr), s.discovery.addr);
    for key in ["k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"] {
        let cache_asked = |node: &Node| {
            let mut client = node.client();
            // An id of its own: the one before may still be open for an instant, though its client has left.
            client.send(&["CACHE.GET", key, &format!("id-of-{key}"), "c=read,d=60000"]);
            let start = Instant::now();
            loop {
                if let Some(n) = s.caches.iter().position(|c| c.try_next_call().is_some()) {
                    return n;
                }
                assert!(start.elapsed() < TEST_TIMEOUT, "no cache is asked, {:?}", client.try_read_reply());
            }
        };
        assert_eq!(cache_asked(&s.node), cache_asked(&other), "{key}");
    }
}

// ---- discovery ----

#[test]
fn a_bad_list_is_ignored_and_a_good_one_followed() {
    let s = stage(1);
    let call = s.discovery.next_call();
    assert_eq!(call.words[..2], ["GET", "/discovery/hosts?after=41&wait_ms=0"], "what the known list lacks");
    call.reply_http("200 OK", "{\"version\":42,\"full\":true,\"servers\":[{\"id\":7}]}");
    let again = s.discovery.next_call();
    assert_eq!(again.words[1], "/discovery/hosts?after=41&wait_ms=0", "what was not taken is still wanted");
    let mut client = s.node.client();
    client.send_get("k", "c=read,d=1900");
    s.caches[0].next_call().reply_value("v"); // the list from before still holds
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    let new = FakeServer::cache();
    again.reply_http("200 OK", &server_list(43, &[("s-new", new.addr)], s.origin.addr));
    assert!(s.discovery.next_call().words[1].starts_with("/discovery/hosts?after=43&wait_ms="));
    client.send_get("k", "c=read,d=1900");
    new.next_call().reply_value("w");
    assert_eq!(client.read_reply().as_deref(), Some("w"));
}

#[test]
fn a_server_drained_while_its_connection_comes_up_is_sent_nothing() {
    let late = BackloggedServer::cache();
    let addr = late.addr;
    let (origin, discovery) = (FakeServer::http(), FakeServer::http());
    let node = Node::start(&server_list(41, &[(NAMES[0], addr)], origin.addr), discovery.addr);
    let call = discovery.next_call();
    let mut client = node.client();
    client.send_get("k", "c=read,d=60000");
    late.wait_for_connecting(1);
    // Once the next call has come, the word of the drain has been read.
    call.reply_http(
        "200 OK",
        &format!(
            r#"{{"version":42,"full":false,"servers":[{}]}}"#,
            server_entry(NAMES[0], addr, "m", "DRAINING")
        ),
    );
    let _watch = discovery.next_call();
    let cache = late.accept_connections();
    assert_eq!(cache.next_closed(), 1, "the node's own connection");
    assert!(cache.try_next_call().is_none(), "sent to a server that drains");
    origin.next_call().reply_http("200 OK", "v"); // the read goes on elsewhere
    assert_eq!(client.read_reply().as_deref(), Some("v"));
}

#[test]
fn a_list_that_must_be_subscribed_to_is_asked_for_again_after_a_failure() {
    let s = stage(1);
    let (known, discovery) = (server_list(41, &named(&s.caches), s.origin.addr), FakeServer::http());
    let settings = SETTINGS.replace("automatic", "subscribe");
    let _node = NodeOptions { settings: &settings, ..NodeOptions::new(&known, discovery.addr) }.start();
    discovery.next_call().reply_http("503 Service Unavailable", "");
    discovery.next_call().reply_http("200 OK", &known);
    assert!(discovery.next_call().words[1].contains("after=41"));
}

#[test]
fn a_server_known_to_have_just_started_is_cold_and_one_of_a_minute_ago_is_not() {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    for (age, cold) in [(Duration::ZERO, true), (Duration::from_secs(60), false)] {
        let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
        let started = format!("\"started_ms\":{}", (unix - age).as_millis());
        let known =
            server_list(41, &[(NAMES[0], cache.addr)], origin.addr).replacen("\"started_ms\":0", &started, 1);
        let node = Node::start(&known, discovery.addr);
        let mut client = node.client();
        client.send_get("k", "c=read,d=1900");
        // A node that has just started owes a cold cache next to nothing: it spares it the read.
        if cold {
            origin.next_call().reply_http("200 OK", "v");
        } else {
            cache.next_call().reply_value("v");
        }
        assert_eq!(client.read_reply().as_deref(), Some("v"));
    }
}

#[test]
fn a_node_that_knows_no_server_asks_for_the_whole_list() {
    let discovery = FakeServer::http();
    let _node = Node::start(r#"{"version":41,"full":true,"servers":[]}"#, discovery.addr);
    assert_eq!(discovery.next_call().words[1], "/discovery/hosts");
}

#[test]
fn a_silent_discovery_is_asked_anew_before_its_news_count_as_told() {
    let s = stage(1);
    let _whole = s.discovery.next_call();
    let again = s.discovery.next_call();
    assert_eq!(again.connection, 1);
    again.reply_http("200 OK", &server_list(42, &named(&s.caches), s.origin.addr));
    let (_watch, next) = (s.discovery.next_call(), s.discovery.next_call());
    assert_eq!(next.connection, 2);
}

#[test]
fn an_entry_that_cannot_be_read_is_skipped_and_the_others_count() {
    let s = stage(1);
    let new = FakeServer::cache();
    let whole = server_list(42, &[("s-new", new.addr)], s.origin.addr);
    s.discovery
        .next_call()
        .reply_http("200 OK", &whole.replacen('[', r#"[{"id":"s-bad","addr":"here"},7,"#, 1));
    let _watch = s.discovery.next_call();
    let mut client = s.node.client();
    client.send_get("k", "c=read,d=1900");
    new.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
}

// ---- a new configuration ----

#[test]
fn on_sighup_discovery_is_followed_at_its_new_address() {
    let s = stage(1);
    s.discovery.next_call().reply_http("200 OK", &server_list(50, &named(&s.caches), s.origin.addr));
    let watch = s.discovery.next_call();
    assert_eq!(watch.connection, 0);
    let (discovery, cache) = (FakeServer::http(), FakeServer::cache());
    s.node.reload(&s.node.config_with_discovery(discovery.addr));
    assert_eq!(s.discovery.next_closed(), 0, "the watch is broken off");
    let first = discovery.next_call();
    assert_eq!(first.words[1], "/discovery/hosts?after=50&wait_ms=0");
    let mut client = s.node.client();
    client.send_get("k", "c=read,d=1900");
    s.caches[0].next_call().reply_value("v"); // the old list holds until the new address answers
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    // Its versions need not go on from the old one's.
    first.reply_http("200 OK", "{\"version\":3,\"full\":false,\"servers\":[]}");
    let whole = discovery.next_call();
    assert_eq!(whole.words[1], "/discovery/hosts", "what it changed before is not known");
    whole.reply_http("200 OK", &server_list(3, &[("s-new", cache.addr)], s.origin.addr));
    assert!(discovery.next_call().words[1].contains("after=3&"));
    client.send_get("k", "c=read,d=1900");
    cache.next_call().reply_value("w");
    assert_eq!(client.read_reply().as_deref(), Some("w"));
    assert!(s.discovery.try_next_call().is_none());
}

#[test]
fn on_sighup_a_bad_file_changes_nothing_and_repeats_are_harmless() {
    let mut s = stage(1);
    let good = s.node.config_with_discovery(s.discovery.addr);
    let _first = s.discovery.next_call();
    s.node.reload("{\"discovery\":7");
    s.node.client().ping();
    s.node.reload(&good);
    s.node.reload(&good);
    s.node.client().ping();
    s.node.terminate();
    s.node.reload(&good);
    assert!(s.node.wait_for_exit());
}

// ---- bad input ----

#[test]
fn a_whole_command_that_is_no_good_gets_an_error_and_the_connection_lives() {
    let s = stage(1);
    let mut client = s.node.client();
    let cases: [&[&str]; 7] = [
        &["FLUSHALL"],
        &["CACHE.GET", "k"],
        &["CACHE.GET", "k", "i", "c=read,d=9", "v"],
        &["CACHE.GET", "k", "i", "c=read,d=soon"],
        &["CACHE.GET", "k", "i", "c=read,d=-1"],
        &["CACHE.GET", "k", "i", "c=read"],
        &["CACHE.GET", "k", "i\nX: 1", "c=read,d=9"],
    ];
    for words in cases {
        client.send(words);
        assert!(client.read_reply().unwrap().starts_with("-ERR"), "{:?}", words[0]);
        client.ping();
    }
}

#[test]
fn a_malformed_frame_gets_an_error_and_a_close() {
    let s = stage(1);
    let nested = "*1\r\n".repeat(60_000) + "+x\r\n";
    let long = "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$8\r\nc=put,d=9\r\n$4200000\r\n";
    for bytes in [
        long,
        "*5\r\n$9\r\nCACHE.SET\r\n$60000000\r\n",
        "GET k\r\n",
        "*1\r\n:5\r\n",
        "*-1\r\n",
        "$3\r\nGET\r\n",
        "*1\r\n$999999999\r\n",
        &nested,
    ] {
        let mut client = s.node.client();
        client.try_write(bytes);
        assert!(client.read_reply().unwrap().starts_with("-ERR"));
        assert_eq!(client.read_reply(), None);
    }
    s.node.client().ping();
}

#[test]
fn a_class_that_the_settings_lack_is_an_error_and_none_is_served() {
    let s = stage(1);
    let mut client = s.node.client();
    for facts in ["c=nobody,d=1900", "c=,d=1900"] {
        client.send_get("k", facts);
        assert_eq!(client.read_reply().as_deref(), Some("-ERR unknown class"));
    }
    client.send_get("k", "t=nothing,d=1900");
    s.caches[0].next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
}

#[test]
fn an_id_that_is_open_elsewhere_is_an_error_until_its_request_is_answered() {
    let s = stage(1);
    let (mut first, mut second) = (s.node.client(), s.node.client());
    first.send_get("k", "c=read,d=60000");
    let call = s.caches[0].next_call();
    second.send_get("k", "c=read,d=60000");
    assert_eq!(second.read_reply().as_deref(), Some("-ERR id in use"));
    call.reply_value("v");
    assert_eq!(first.read_reply().as_deref(), Some("v"));
    second.send_get("k", "c=read,d=60000");
    s.caches[0].next_call().reply_value("w");
    assert_eq!(second.read_reply().as_deref(), Some("w"));
}

#[test]
fn requests_beyond_what_one_connection_may_have_open_are_refused() {
    let s = stage(1);
    let mut client = s.node.client();
    let commands: String =
        (0..200).map(|n| encode_command(&["CACHE.GET", "k", &format!("i{n}"), "c=put,d=60000"])).collect();
    client.write(commands);
    let answers: Vec<String> = (0..200)
        .map(|_| {
            loop {
                s.caches[0].try_next_call().into_iter().for_each(|call| call.reply_value("v"));
                if let Some(answer) = client.try_read_reply() {
                    break answer;
                }
            }
        })
        .collect();
    // Taken: served, or refused where too many wait for a place.
    let taken = |answer: &String| answer == "v" || answer.starts_with("-BUSY");
    assert!(answers.iter().all(taken), "{answers:?}");
    assert!(answers[199].starts_with("-BUSY "), "{}", answers[199]);
}

#[test]
fn what_cannot_be_read_is_turned_away_in_time_whatever_is_owed_before_it() {
    let s = stage(1);
    let mut client = s.node.client();
    client.send_get("k", "c=read,d=60000");
    let _silent = s.caches[0].next_call();
    client.write("GET k\r\n");
    assert!(client.read_reply().unwrap().starts_with("-ERR"));
    assert_eq!(client.read_reply(), None);
}

#[test]
fn a_silent_connection_and_half_a_command_are_closed_in_time() {
    let s = stage(1);
    let mut used = s.node.client();
    used.ping();
    for half in ["", "*1\r\n$4\r\nPI"] {
        let mut client = s.node.client();
        client.write(half);
        assert!(client.read_reply().unwrap().starts_with("-ERR"));
        assert_eq!(client.read_reply(), None);
    }
    used.ping(); // one that has been of use may idle
}

#[test]
fn what_is_missing_in_the_configuration_is_told_in_a_line() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), "{\"seed\":\"1\",\"settings\":{\"Classes\":7}}").unwrap();
    for config in [None, Some("/nonexistent".as_ref()), Some(file.path())] {
        let mut command = stonefold_through_shell("exec \"$0\" node");
        command.env("EDGE_LISTEN", "127.0.0.1:0").env("EDGE_DISCOVERY", "127.0.0.1:1");
        if let Some(path) = config {
            command.env("EDGE_CONFIG", path);
        }
        let output = command.output().unwrap();
        let told = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert_eq!(told.lines().count(), 1, "{told}");
    }
}

// ---- limits and the end ----

#[test]
fn running_out_of_descriptors_is_survived() {
    let s = stage(1);
    let known = server_list(41, &named(&s.caches), s.origin.addr);
    // The limits stated are above what the system grants.
    let node =
        NodeOptions { shell: "ulimit -n 40; exec \"$0\" node", ..NodeOptions::new(&known, s.discovery.addr) }
            .start();
    let mut idle: Vec<Client> = (0..100).map(|_| node.client()).collect();
    let mut client = node.client();
    client.send_get("k", "c=read,d=15000");
    // Room is made by closing those that idle.
    s.caches[0].next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert_eq!(idle[0].read_reply(), None, "idle longest, closed first");
}

#[test]
fn clients_beyond_the_limit_take_the_place_of_idle_ones() {
    let s = stage(1);
    let known = server_list(41, &named(&s.caches), s.origin.addr);
    let node = NodeOptions { sockets: 60, ..NodeOptions::new(&known, s.discovery.addr) }.start();
    let mut clients: Vec<Client> = (0..40).map(|_| node.client()).collect();
    clients[39].send_get("k", "c=read,d=15000");
    s.caches[0].next_call().reply_value("v");
    assert_eq!(clients[39].read_reply().as_deref(), Some("v"));
    assert_eq!(clients[0].read_reply(), None, "idle longest, closed first");
}

#[test]
fn connections_that_rest_make_room_before_clients_may_open_no_more() {
    let s = stage(1);
    let known = server_list(41, &named(&s.caches), s.origin.addr);
    // A third of 120 is the clients'.
    let node = NodeOptions { sockets: 120, ..NodeOptions::new(&known, s.discovery.addr) }.start();
    let mut clients: Vec<Client> = (0..40).map(|_| node.client()).collect();
    for client in &mut clients {
        client.send_get("k", "c=read,d=15000");
        s.caches[0].next_call().reply_value("v");
        assert_eq!(client.read_reply().as_deref(), Some("v"));
    }
    assert_eq!(clients[0].read_reply(), None, "at rest for longest, closed first");
    clients[39].ping();
}

#[test]
fn a_crowd_that_says_nothing_takes_the_place_of_its_own_kind() {
    let s = stage(1);
    let known = server_list(41, &named(&s.caches), s.origin.addr);
    let node = NodeOptions { sockets: 60, ..NodeOptions::new(&known, s.discovery.addr) }.start();
    let mut used = node.client();
    used.send_get("k", "c=read,d=15000");
    s.caches[0].next_call().reply_value("v");
    assert_eq!(used.read_reply().as_deref(), Some("v"));
    let crowd: Vec<Client> = (0..200).map(|_| node.client()).collect();
    node.client().ping();
    used.ping();
    drop(crowd);
}

#[test]
fn a_crowd_that_only_pings_keeps_nobody_out() {
    let s = stage(1);
    let known = server_list(41, &named(&s.caches), s.origin.addr);
    let node = NodeOptions { sockets: 60, ..NodeOptions::new(&known, s.discovery.addr) }.start();
    let (start, mut crowd) = (Instant::now(), Vec::new());
    for _ in 0..100 {
        let mut client = node.client();
        client.ping();
        crowd.push(client);
    }
    // With two seconds of rest for each, this takes six.
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}

#[test]
fn told_to_stop_it_answers_what_it_has_taken_and_ends_well() {
    let mut s = stage(1);
    let (mut idle, mut busy) = (s.node.client(), s.node.client());
    idle.ping();
    busy.send_get("k", "c=read,d=1900");
    let call = s.caches[0].next_call();
    s.node.terminate();
    s.node.client().ping(); // one that was on its way
    assert_eq!(idle.read_reply(), None, "closed between requests");
    call.reply_value("v");
    assert_eq!(busy.read_reply().as_deref(), Some("v"));
    assert!(s.node.wait_for_exit());
}

#[test]
fn told_to_stop_it_takes_nothing_more_from_a_client_that_it_still_owes() {
    let mut s = stage(1);
    let (mut idle, mut busy) = (s.node.client(), s.node.client());
    idle.ping();
    busy.send_get("k1", "c=read,d=10000");
    let call = s.caches[0].next_call();
    s.node.terminate();
    assert_eq!(idle.read_reply(), None, "from now on connections close between requests");
    busy.send_get("k2", "c=read,d=10000");
    call.reply_value("v");
    assert_eq!(busy.read_reply().as_deref(), Some("v"));
    assert_eq!(busy.read_reply(), None, "closed, and the second command not read");
    assert!(s.node.wait_for_exit());
    assert!(s.caches[0].try_next_call().is_none());
}

#[test]
fn told_to_stop_it_answers_a_write_that_waits_for_longer_than_it_lasts() {
    let mut s = stage(1);
    let mut client = s.node.client();
    client.send_set("k", "c=put,d=600000,k=1", "v");
    let _call = s.origin.next_call(); // and never an answer
    s.node.terminate();
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
    assert!(s.node.wait_for_exit());
}

// ---- long values ----

const LONG: usize = 3_000_000;

/// A long value, each of whose bytes tells where it stands.
fn long_value() -> String {
    (0..LONG).map(|n| char::from(b'a' + (n / 7 % 26) as u8)).collect()
}

#[test]
fn a_long_value_passes_from_a_cache_in_pieces_cut_anywhere() {
    let s = stage(1);
    let value = long_value();
    let text = format!("*3\r\n${LONG}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n");
    // Inside the head, inside the length, behind the first byte, and inside the end.
    let head = 4 + 2 + LONG.to_string().len() + 2;
    for cuts in [
        [2, 5, 7, head],
        [1, head - 1, head + 1, head + LONG - 1],
        [head, head + 70_000, head + LONG + 1, text.len() - 3],
    ] {
        let mut client = s.node.client();
        client.send_get("k", "c=read,d=15000");
        let mut call = s.caches[0].next_call();
        let reading = thread::spawn(move || client.read_reply());
        let mut from = 0;
        for to in cuts.into_iter().chain([text.len()]) {
            call.reply(&text[from..to]);
            thread::yield_now();
            from = to;
        }
        assert!(reading.join().unwrap().is_some_and(|answer| answer == value), "{cuts:?}");
    }
}

#[test]
fn a_long_value_passes_from_the_origin_with_its_length_told_or_not() {
    let s = stage(1);
    let value = long_value();
    let told = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n{value}");
    let chunked =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{LONG:x}\r\n{value}\r\n0\r\n\r\n");
    for text in [told, chunked] {
        let mut client = s.node.client();
        client.send_get("k", "c=read,d=15000");
        s.caches[0].next_call().reply_miss();
        let mut call = s.origin.next_call();
        let reading = thread::spawn(move || client.read_reply());
        call.reply(text);
        assert!(reading.join().unwrap().is_some_and(|answer| answer == value));
    }
}

#[test]
fn a_long_value_is_the_clients_from_its_first_bytes_and_a_spoilt_rest_closes() {
    let s = stage(1);
    for end in ["", "\r\n$3\r\nhat\r\n$-1\r\n", "XX$3\r\nhit\r\n$-1\r\n", "\r\n$3\r\nhit\r\n$-1\r\nmore"] {
        let mut client = s.node.client();
        client.send_get("k", "c=read,d=15000");
        let mut call = s.caches[0].next_call();
        call.reply(format!("*3\r\n${LONG}\r\n{}", "x".repeat(100_000)));
        // The head goes on at once, before the rest has come.
        assert_eq!(client.read_line(), format!("${LONG}"));
        let spoilt = "x".repeat(LONG - 100_000) + end;
        let reading = thread::spawn(move || client.bytes_until_close());
        if end.is_empty() {
            call.close();
        } else {
            call.reply(spoilt);
        }
        assert!(reading.join().unwrap() < LONG, "not whole, and closed: {end:?}");
    }
    s.node.client().ping();
}

#[test]
fn a_long_write_reaches_the_origin_whole_and_in_pieces_cut_anywhere() {
    let s = stage(1);
    let value = long_value();
    let text = encode_command(&["CACHE.SET", "k", "9b1f03aa5c7e2d41", "c=put,d=15000", &value]);
    let head = text.len() - LONG - 2;
    for cuts in [[2, 17, head - 1, head + 1], [head, head + 9_000, head + 200_000, text.len() - 1]] {
        let mut client = s.node.client();
        let mut from = 0;
        for to in cuts.into_iter().chain([text.len()]) {
            client.write(&text[from..to]);
            thread::yield_now();
            from = to;
        }
        let call = s.origin.next_call();
        assert!(call.words.last() == Some(&value), "{cuts:?}");
        call.reply_http("200 OK", "receipt");
        assert_eq!(client.read_reply().as_deref(), Some("receipt"));
        client.ping();
    }
}

#[test]
fn a_copy_is_cancelled_once_the_other_begins_which_then_runs_to_its_end() {
    let s = stage(2);
    let value = long_value();
    let mut client = s.node.client();
    client.send_get("k", "c=read,d=15000");
    // The first is silent for so long that a copy goes to the other.
    let mut calls = vec![];
    while calls.len() < 2 {
        calls.extend(s.caches.iter().enumerate().filter_map(|(n, cache)| Some((n, cache.try_next_call()?))));
    }
    let (loser, mut winner) = (calls[0].0, calls.pop().unwrap().1);
    winner.reply(format!("*3\r\n${LONG}\r\n{}", &value[..70_000]));
    s.caches[loser].next_closed();
    let reading = thread::spawn(move || client.read_reply());
    winner.reply(format!("{}\r\n$3\r\nhit\r\n$-1\r\n", &value[70_000..]));
    assert!(reading.join().unwrap().is_some_and(|answer| answer == value));
}

#[test]
fn a_long_write_that_finds_no_room_waits_for_it_however_long_that_takes() {
    let s = stage(1);
    let known = server_list(41, &named(&s.caches), s.origin.addr);
    // Room for one of the longest values.
    let node = NodeOptions { memory_mb: 8, ..NodeOptions::new(&known, s.discovery.addr) }.start();
    let text = |id: &str| encode_command(&["CACHE.SET", "k", id, "c=put,d=60000", &long_value()]);
    let (mut first, mut second) = (node.client(), node.client());
    first.write(text("i1"));
    let holds_the_room = s.origin.next_call();
    let waiting = thread::spawn(move || {
        second.write(text("i2"));
        second.read_reply()
    });
    thread::sleep(Duration::from_millis(2700)); // longer than who is silent is waited for
    assert!(s.origin.try_next_call().is_none(), "both at once");
    holds_the_room.reply_http("200 OK", "one");
    assert_eq!(first.read_reply().as_deref(), Some("one"));
    s.origin.next_call().reply_http("200 OK", "two");
    assert_eq!(waiting.join().unwrap().as_deref(), Some("two"));
}
