//! A node process over loopback sockets, between scripted servers and clients.

#[path = "common/fakes.rs"]
mod fakes;

use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

/// A node with some caches, an origin, and a discovery that replies only when the test does.
struct Fixture {
    caches: Vec<FakeServer>,
    origin: FakeServer,
    discovery: FakeServer,
    node: Node,
}

const CACHE_IDS: [&str; 3] = ["s-5be2a07c", "s-11d0c3f9", "s-a90e7b42"];

/// The caches with their ids, as [`server_list`] takes them.
fn with_ids(caches: &[FakeServer]) -> Vec<(&'static str, std::net::SocketAddr)> {
    CACHE_IDS.into_iter().zip(caches.iter().map(|c| c.addr)).collect()
}

fn start_fixture(caches: usize) -> Fixture {
    let caches: Vec<FakeServer> = (0..caches).map(|_| FakeServer::cache()).collect();
    let (origin, discovery) = (FakeServer::http(), FakeServer::http());
    let node = Node::start(&server_list(41, &with_ids(&caches), origin.addr), discovery.addr);
    Fixture { caches, origin, discovery, node }
}

// ---- requests ----

/// Guards against a forwarded read that loses or changes its key, id or facts, or that states more time than the client
/// has left.
#[test]
fn read_is_forwarded_with_only_its_time_reduced_and_its_value_returned() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    let id = client.send_get("7f3a9c21e0b4d655", "c=read,t=acme,d=1480,size=7");
    let call = fixture.caches[0].next_call();
    assert_eq!(call.words[..3], ["CACHE.GET", "7f3a9c21e0b4d655", &id]);
    let facts: Vec<&str> = call.words[3].split(',').collect();
    assert_eq!([facts[0], facts[1], facts[3]], ["c=read", "t=acme", "size=7"]);
    let stated_ms: u64 = facts[2].strip_prefix("d=").unwrap().parse().unwrap();
    assert!((1..1480).contains(&stated_ms), "{stated_ms} ms");
    call.reply_value("bins on Thursday");
    assert_eq!(client.read_reply().as_deref(), Some("bins on Thursday"));
}

/// Guards against a fetch that is not sent after a miss, that loses the key or the id, or that states the time of the
/// first attempt again.
#[test]
fn read_that_misses_is_fetched_from_the_origin_with_the_time_left() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    let id = client.send_get("7f3a 9c", "c=read,d=1480,size=7");
    let call = fixture.caches[0].next_call();
    let called = Instant::now();
    while called.elapsed() < Duration::from_millis(20) {
        thread::yield_now();
    }
    call.reply_miss();
    let call = fixture.origin.next_call();
    assert_eq!(call.words[..2], ["GET", "/7f3a%209c"]);
    assert!(call.words.contains(&format!("x-correlation-id: {id}")), "{:?}", call.words);
    // The facts are as the client sent them, but for the time: a further attempt states no more than is left. The node
    // had the request before it called the cache, and reserves 5 ms for sending the reply back.
    let facts = call.words.iter().find_map(|word| word.strip_prefix("x-facts: ")).expect("facts");
    let [class, time, size] = facts.split(',').collect::<Vec<_>>()[..] else { panic!("{facts}") };
    assert_eq!([class, size], ["c=read", "size=7"]);
    let stated_ms: u64 = time.strip_prefix("d=").unwrap().parse().unwrap();
    assert!((1..=1480 - 20 - 5).contains(&stated_ms), "{facts}");
    call.reply_http("200 OK", "from the origin");
    assert_eq!(client.read_reply().as_deref(), Some("from the origin"));
}

/// Guards against a write that goes to a cache or loses its value.
#[test]
fn cache_aside_write_is_sent_to_the_origin_with_its_value() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    client.send_set("k", "c=put,d=1480,k=5c0f", "on");
    let call = fixture.origin.next_call();
    assert_eq!((call.words[0].as_str(), call.words.last().unwrap().as_str()), ("PUT", "on"));
    call.reply_http("200 OK", "receipt");
    assert_eq!(client.read_reply().as_deref(), Some("receipt"));
}

/// Guards against a write that runs twice: the origin closes the connection after it has read the whole write.
#[test]
fn non_idempotent_write_that_may_have_run_fails_and_is_not_retried() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    client.send_set("k", "c=put,d=1480", "on");
    fixture.origin.next_call().close();
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
    assert!(fixture.origin.try_next_call().is_none(), "sent again");
}

/// Guards against a write that is reported as failed though the origin said at each attempt that it had not processed
/// it.
#[test]
fn write_that_the_origin_never_processed_is_rejected_as_busy() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    client.send_set("k", "c=put,d=1480", "on");
    // The origin rejects each of the five attempts as unprocessed.
    for _ in 0..5 {
        fixture
            .origin
            .next_call()
            .reply("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    assert!(client.read_reply().unwrap().starts_with("-BUSY"));
}

/// Guards against replies out of order where the second of two pipelined reads is served first.
#[test]
fn pipelined_reads_start_at_once_and_are_answered_in_order() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    client.send_get("k1", "c=read,d=1900");
    client.send(&["CACHE.GET", "k2", "another", "c=read,d=1900"]);
    let (first, second) = (fixture.caches[0].next_call(), fixture.caches[0].next_call());
    let (first, second) = if first.words[1] == "k1" { (first, second) } else { (second, first) };
    second.reply_value("two");
    first.reply_value("one");
    assert_eq!([client.read_reply().unwrap(), client.read_reply().unwrap()], ["one", "two"]);
}

/// Guards against a round trip to another zone that is taken for a queue at the origin, so that the node sends it fewer
/// fetches at once.
#[test]
fn distant_origin_gets_as_many_concurrent_fetches_as_a_near_one() {
    /// The round trip to the origin. It is longer than the part of the latency objective that a fetch may take.
    const ROUND_TRIP: Duration = Duration::from_millis(180);
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
        // In each round, all eight fetches are in flight together.
        let fetches: Vec<Call> = names.iter().map(|_| origin.next_call()).collect();
        thread::sleep(ROUND_TRIP);
        for call in fetches {
            call.reply_http("200 OK", "v");
        }
        for _ in names {
            assert_eq!(client.read_reply().as_deref(), Some("v"));
        }
    }
}

/// Guards against requests without a reply that occupy the concurrency limit of a cache which has since answered a
/// later read.
#[test]
fn reads_that_a_cache_never_answers_stop_counting_after_a_later_reply() {
    let fixture = start_fixture(1);
    let (mut first_client, mut client) = (fixture.node.client(), fixture.node.client());
    // All but one of the requests that a node which has just started may have in flight at a cache.
    let unanswered: Vec<Call> = (0..7)
        .map(|n| {
            let name = format!("swallowed-{n}");
            first_client.send(&["CACHE.GET", &name, &name, "c=read,d=60000"]);
            fixture.caches[0].next_call()
        })
        .collect();
    thread::sleep(Duration::from_millis(350)); // longer than the latency objective
    client.send_get("k", "c=read,d=1900");
    fixture.caches[0].next_call().reply_value("at once");
    assert_eq!(client.read_reply().as_deref(), Some("at once"));
    let names: Vec<String> = (0..8).map(|n| format!("later-{n}")).collect();
    for name in &names {
        client.send(&["CACHE.GET", name, name, "c=read,d=1900"]);
    }
    let calls: Vec<Call> = names.iter().map(|_| fixture.caches[0].next_call()).collect();
    for call in calls {
        call.reply_value("v");
    }
    for _ in names {
        assert_eq!(client.read_reply().as_deref(), Some("v"));
    }
    drop(unanswered);
}

/// Guards against an attempt that goes on for a client which has disconnected.
#[test]
fn attempts_are_cancelled_when_their_client_disconnects() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    client.send_get("k", "c=read,d=60000");
    let call = fixture.caches[0].next_call();
    drop(client);
    assert_eq!(fixture.caches[0].next_closed(), call.connection);
}

/// Guards against a read that gets no reply because its cache never replies.
#[test]
fn read_that_no_cache_answers_is_rejected_as_busy() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    client.send_get("k", "c=read,d=1500");
    let _silent = fixture.caches[0].next_call();
    // The node's own tests, which control the clock, check that the reply comes before the deadline.
    assert!(client.read_reply().unwrap().starts_with("-BUSY"));
}

// ---- connections to servers ----

/// Guards against a request that is sent on a connection which the cache has closed, and that fails there.
#[test]
fn idle_cache_connection_is_reused_unless_the_cache_closed_it() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    // The class is non-idempotent, so that a request lost on a closed connection would show as a failure.
    for n in 0..3 {
        client.send_get("k", "c=put,d=1900");
        let mut call = fixture.caches[0].next_call();
        assert_eq!(call.connection, usize::from(n == 2));
        call.reply("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n");
        if n == 1 {
            call.close();
            fixture.caches[0].next_closed();
        }
        assert_eq!(client.read_reply().as_deref(), Some("v"), "read {n}");
        client.ping_until_connections_are_reusable();
    }
}

/// Guards against a write that is sent on a connection which the origin has closed, and that fails there.
#[test]
fn idle_origin_connection_is_reused_unless_the_origin_closed_it() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    for n in 0..3 {
        client.send_set("k", "c=put,d=1900", "on");
        let mut call = fixture.origin.next_call();
        assert_eq!(call.connection, usize::from(n == 2));
        call.reply("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv");
        if n == 1 {
            call.close();
            fixture.origin.next_closed();
        }
        assert_eq!(client.read_reply().as_deref(), Some("v"), "write {n}");
        client.ping_until_connections_are_reusable();
    }
}

/// Guards against a client that gets another request's value: a server sends a second reply on a connection, and the
/// node reads it as the reply to the next request.
#[test]
fn extra_bytes_after_a_reply_never_answer_the_next_request() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    let cached = |value: &str| format!("*3\r\n$3\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n");
    let http = |value: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{value}");
    // The extra reply comes together with the first one, and after the first one has been passed on.
    for (n, late) in [false, true, true].into_iter().enumerate() {
        let value = format!("v-{n}");
        for server in [&fixture.caches[0], &fixture.origin] {
            let write = server.addr == fixture.origin.addr;
            let (answer, old) =
                if write { (http(&value), http("old")) } else { (cached(&value), cached("old")) };
            if write {
                client.send_set("k", "c=put,d=1900", "on");
            } else {
                client.send_get("k", "c=put,d=1900");
            }
            let mut call = server.next_call();
            assert_eq!(call.connection, n, "a connection on which extra bytes came");
            call.reply(if late { answer } else { answer + &old });
            assert_eq!(client.read_reply().as_deref(), Some(&*value));
            if late {
                call.reply(old);
            }
        }
    }
}

/// Guards against a node that keeps reading, or reuses the connection, when a chunked response is longer than the
/// longest value.
#[test]
fn origin_response_over_the_longest_value_fails_and_closes_its_connection() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    for n in 0..2 {
        client.send_set("k", "c=put,d=1900", "on");
        let mut call = fixture.origin.next_call();
        assert_eq!(call.connection, n);
        call.reply(format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400001\r\n{}",
            "x".repeat((4 << 20) + 1)
        ));
        assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
        client.ping_until_connections_are_reusable();
    }
}

/// Guards against a node that crashes, or passes on a wrong value, when a server sends something that is no reply.
#[test]
fn malformed_reply_from_a_server_fails_the_attempt_alone() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
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
        fixture.caches[0].next_call().reply(garbage);
        // The read may have run, but is safe to repeat, and from now on the cache replies correctly.
        let mut answer = None;
        while answer.is_none() {
            match fixture.caches[0].try_next_call() {
                Some(call) => call.reply_value("v"),
                None => answer = client.try_read_reply(),
            }
        }
        let answer = answer.unwrap();
        assert!(answer == "v" || answer.starts_with("-BUSY"), "{answer}");
    }
    client.send_set("k", "c=put,d=1900", "on");
    fixture.origin.next_call().reply("no HTTP at all\r\n\r\n");
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
    fixture.node.client().ping();
}

/// Guards against two nodes that send the same key to different caches because their server lists are ordered
/// differently.
#[test]
fn nodes_choose_the_same_cache_per_key_in_any_list_order() {
    let fixture = start_fixture(3);
    let mut reversed = with_ids(&fixture.caches);
    reversed.reverse();
    let other = Node::start(&server_list(41, &reversed, fixture.origin.addr), fixture.discovery.addr);
    for key in ["k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"] {
        let chosen_cache = |node: &Node| {
            let mut client = node.client();
            // Each key has its own id: the previous request may be open for an instant after its client left.
            client.send(&["CACHE.GET", key, &format!("id-of-{key}"), "c=read,d=60000"]);
            let start = Instant::now();
            loop {
                if let Some(n) = fixture.caches.iter().position(|c| c.try_next_call().is_some()) {
                    return n;
                }
                assert!(
                    start.elapsed() < TEST_TIMEOUT,
                    "no cache got the read: {:?}",
                    client.try_read_reply()
                );
            }
        };
        assert_eq!(chosen_cache(&fixture.node), chosen_cache(&other), "{key}");
    }
}

// ---- discovery ----

/// Guards against a bad list from discovery that replaces the good one, or that counts as received so that its version
/// is never requested again.
#[test]
fn unreadable_server_list_is_ignored_and_the_next_good_one_applied() {
    let fixture = start_fixture(1);
    let call = fixture.discovery.next_call();
    assert_eq!(
        call.words[..2],
        ["GET", "/discovery/hosts?after=41&wait_ms=0"],
        "the changes since the known list"
    );
    call.reply_http("200 OK", "{\"version\":42,\"full\":true,\"servers\":[{\"id\":7}]}");
    let again = fixture.discovery.next_call();
    assert_eq!(
        again.words[1], "/discovery/hosts?after=41&wait_ms=0",
        "the version that was not applied is requested again"
    );
    let mut client = fixture.node.client();
    client.send_get("k", "c=read,d=1900");
    fixture.caches[0].next_call().reply_value("v"); // the previous list still holds
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    let new = FakeServer::cache();
    again.reply_http("200 OK", &server_list(43, &[("s-new", new.addr)], fixture.origin.addr));
    assert!(fixture.discovery.next_call().words[1].starts_with("/discovery/hosts?after=43&wait_ms="));
    client.send_get("k", "c=read,d=1900");
    new.next_call().reply_value("w");
    assert_eq!(client.read_reply().as_deref(), Some("w"));
}

/// Guards against a request that is sent to a draining server because the drain came after the choice of the server and
/// before its connection was up.
#[test]
fn server_drained_during_connect_is_sent_nothing() {
    let late = BackloggedServer::cache();
    let addr = late.addr;
    let (origin, discovery) = (FakeServer::http(), FakeServer::http());
    let node = Node::start(&server_list(41, &[(CACHE_IDS[0], addr)], origin.addr), discovery.addr);
    let call = discovery.next_call();
    let mut client = node.client();
    client.send_get("k", "c=read,d=60000");
    late.wait_for_connecting(1);
    // Once the next call to discovery has come, the node has read the drain.
    call.reply_http(
        "200 OK",
        &format!(
            r#"{{"version":42,"full":false,"servers":[{}]}}"#,
            server_entry(CACHE_IDS[0], addr, "m", "DRAINING")
        ),
    );
    let _watch = discovery.next_call();
    let cache = late.accept_connections();
    assert_eq!(cache.next_closed(), 1, "the node's own connection");
    assert!(cache.try_next_call().is_none(), "sent to a draining server");
    origin.next_call().reply_http("200 OK", "v"); // the read is retried at the origin
    assert_eq!(client.read_reply().as_deref(), Some("v"));
}

/// Guards against a node in mode `subscribe` that stays without a list after a failed call to discovery.
#[test]
fn subscribed_list_is_requested_again_after_discovery_fails() {
    let fixture = start_fixture(1);
    let (known, discovery) =
        (server_list(41, &with_ids(&fixture.caches), fixture.origin.addr), FakeServer::http());
    let settings = SETTINGS.replace("automatic", "subscribe");
    let _node = NodeOptions { settings: &settings, ..NodeOptions::new(&known, discovery.addr) }.start();
    discovery.next_call().reply_http("503 Service Unavailable", "");
    discovery.next_call().reply_http("200 OK", &known);
    assert!(discovery.next_call().words[1].contains("after=41"));
}

/// Guards against a node that ignores the start times in its known list: a cold cache then gets all of its reads.
#[test]
fn just_started_server_is_in_slow_start_an_older_one_is_not() {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    for (age, cold) in [(Duration::ZERO, true), (Duration::from_secs(60), false)] {
        let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
        let started = format!("\"started_ms\":{}", (unix - age).as_millis());
        let known = server_list(41, &[(CACHE_IDS[0], cache.addr)], origin.addr).replacen(
            "\"started_ms\":0",
            &started,
            1,
        );
        let node = Node::start(&known, discovery.addr);
        let mut client = node.client();
        client.send_get("k", "c=read,d=1900");
        // A node that has just started sends a cold cache next to nothing, so that the read goes to the origin.
        if cold {
            origin.next_call().reply_http("200 OK", "v");
        } else {
            cache.next_call().reply_value("v");
        }
        assert_eq!(client.read_reply().as_deref(), Some("v"));
    }
}

/// Guards against a node with an empty known list that asks discovery for changes only, and so stays without servers.
#[test]
fn node_without_known_servers_requests_the_whole_list() {
    let discovery = FakeServer::http();
    let _node = Node::start(r#"{"version":41,"full":true,"servers":[]}"#, discovery.addr);
    assert_eq!(discovery.next_call().words[1], "/discovery/hosts");
}

/// Guards against a node that waits forever on a call to discovery which gets no response.
#[test]
fn silent_discovery_call_is_repeated_on_a_new_connection() {
    let fixture = start_fixture(1);
    let _whole = fixture.discovery.next_call();
    let again = fixture.discovery.next_call();
    assert_eq!(again.connection, 1);
    again.reply_http("200 OK", &server_list(42, &with_ids(&fixture.caches), fixture.origin.addr));
    let (_watch, next) = (fixture.discovery.next_call(), fixture.discovery.next_call());
    assert_eq!(next.connection, 2);
}

/// Guards against a list that is rejected as a whole because of one entry.
#[test]
fn unreadable_list_entry_is_skipped_and_the_others_are_applied() {
    let fixture = start_fixture(1);
    let new = FakeServer::cache();
    let whole = server_list(42, &[("s-new", new.addr)], fixture.origin.addr);
    fixture
        .discovery
        .next_call()
        .reply_http("200 OK", &whole.replacen('[', r#"[{"id":"s-bad","addr":"here"},7,"#, 1));
    let _watch = fixture.discovery.next_call();
    let mut client = fixture.node.client();
    client.send_get("k", "c=read,d=1900");
    new.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
}

// ---- a new configuration ----

/// Guards against a node that stays with the old discovery after a reload, or that mixes the versions of the two.
#[test]
fn reload_with_a_new_discovery_address_follows_discovery_there() {
    let fixture = start_fixture(1);
    fixture
        .discovery
        .next_call()
        .reply_http("200 OK", &server_list(50, &with_ids(&fixture.caches), fixture.origin.addr));
    let watch = fixture.discovery.next_call();
    assert_eq!(watch.connection, 0);
    let (discovery, cache) = (FakeServer::http(), FakeServer::cache());
    fixture.node.reload(&fixture.node.config_with_discovery(discovery.addr));
    assert_eq!(fixture.discovery.next_closed(), 0, "the watch at the old address is closed");
    let first = discovery.next_call();
    assert_eq!(first.words[1], "/discovery/hosts?after=50&wait_ms=0");
    let mut client = fixture.node.client();
    client.send_get("k", "c=read,d=1900");
    fixture.caches[0].next_call().reply_value("v"); // the old list holds until the new address has replied
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    // The versions of the new discovery need not continue those of the old one.
    first.reply_http("200 OK", "{\"version\":3,\"full\":false,\"servers\":[]}");
    let whole = discovery.next_call();
    assert_eq!(whole.words[1], "/discovery/hosts", "the list that these changes apply to is not known");
    whole.reply_http("200 OK", &server_list(3, &[("s-new", cache.addr)], fixture.origin.addr));
    assert!(discovery.next_call().words[1].contains("after=3&"));
    client.send_get("k", "c=read,d=1900");
    cache.next_call().reply_value("w");
    assert_eq!(client.read_reply().as_deref(), Some("w"));
    assert!(fixture.discovery.try_next_call().is_none());
}

/// Guards against a node that fails on a broken file, on the same file twice, or on a reload during its shutdown.
#[test]
fn reload_of_a_bad_file_or_repeated_reloads_disrupt_nothing() {
    let mut fixture = start_fixture(1);
    let good = fixture.node.config_with_discovery(fixture.discovery.addr);
    let _first = fixture.discovery.next_call();
    fixture.node.reload("{\"discovery\":7");
    fixture.node.client().ping();
    fixture.node.reload(&good);
    fixture.node.reload(&good);
    fixture.node.client().ping();
    fixture.node.terminate();
    fixture.node.reload(&good);
    assert!(fixture.node.wait_for_exit());
}

// ---- bad input ----

/// Guards against a connection that is closed though the bad command was a well-formed frame.
#[test]
fn invalid_command_gets_an_error_and_its_connection_stays_open() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
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

/// Guards against a node that crashes on frames which are malformed, too long or nested too deep, or that reads on
/// behind one.
#[test]
fn malformed_frame_gets_an_error_and_its_connection_is_closed() {
    let fixture = start_fixture(1);
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
        let mut client = fixture.node.client();
        client.try_write(bytes);
        assert!(client.read_reply().unwrap().starts_with("-ERR"));
        assert_eq!(client.read_reply(), None);
    }
    fixture.node.client().ping();
}

/// Guards against a request of an unknown class that is served, and against one without any class that is not.
#[test]
fn unknown_class_is_an_error_and_a_missing_class_is_served() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    for facts in ["c=nobody,d=1900", "c=,d=1900"] {
        client.send_get("k", facts);
        assert_eq!(client.read_reply().as_deref(), Some("-ERR unknown class"));
    }
    client.send_get("k", "t=nothing,d=1900");
    fixture.caches[0].next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
}

/// Guards against two open requests with the same id, and against an id that stays in use after its reply.
#[test]
fn duplicate_id_is_rejected_until_the_open_request_is_answered() {
    let fixture = start_fixture(1);
    let (mut first, mut second) = (fixture.node.client(), fixture.node.client());
    let read = encode_command(&["CACHE.GET", "k", &request_id(), "c=read,d=60000"]);
    first.write(&read);
    let call = fixture.caches[0].next_call();
    second.write(&read);
    assert_eq!(second.read_reply().as_deref(), Some("-ERR id in use"));
    call.reply_value("v");
    assert_eq!(first.read_reply().as_deref(), Some("v"));
    second.write(&read);
    fixture.caches[0].next_call().reply_value("w");
    assert_eq!(second.read_reply().as_deref(), Some("w"));
}

/// Guards against a connection that opens requests without a bound, or whose requests over the limit get no reply.
#[test]
fn pipelined_requests_beyond_the_open_limit_are_rejected_as_busy() {
    const REQUESTS: usize = 200;
    const MAX_OPEN: usize = 64;
    /// What a node that has just started has in flight and in its admission queue.
    const MAX_WAITING: usize = 16;
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE_IDS[0], cache.addr)], origin.addr);
    let node = NodeOptions { operator: true, ..NodeOptions::new(&known, FakeServer::http().addr) }.start();
    let mut client = node.client();
    let commands: String = (0..REQUESTS)
        .map(|n| encode_command(&["CACHE.GET", "k", &format!("i{n}"), "c=put,d=60000"]))
        .collect();
    client.write(commands);
    // No request is served before all beyond the limits are rejected.
    let started = Instant::now();
    while node.metric(r#"svc_busy_total{tier="put"}"#) < (REQUESTS - MAX_WAITING) as f64 {
        assert!(started.elapsed() < TEST_TIMEOUT, "{}", node.operator_call("STATS\n"));
        thread::yield_now();
    }
    let answers: Vec<String> = (0..REQUESTS)
        .map(|_| {
            loop {
                cache.try_next_call().into_iter().for_each(|call| call.reply_value("v"));
                if let Some(answer) = client.try_read_reply() {
                    break answer;
                }
            }
        })
        .collect();
    // Each request within the limit is served, or rejected because too many wait in the admission queue.
    let served_or_rejected = |answer: &String| answer == "v" || answer.starts_with("-BUSY");
    assert!(answers.iter().all(served_or_rejected), "{answers:?}");
    assert!(answers.contains(&"v".to_owned()), "{answers:?}");
    assert!(answers[MAX_OPEN..].iter().all(|answer| answer.starts_with("-BUSY ")), "{answers:?}");
}

/// Guards against a malformed frame that is not answered because a request before it on the connection gets no reply.
#[test]
fn malformed_frame_is_rejected_though_an_earlier_reply_is_pending() {
    let fixture = start_fixture(1);
    let mut client = fixture.node.client();
    client.send_get("k", "c=read,d=60000");
    let _silent = fixture.caches[0].next_call();
    client.write("GET k\r\n");
    assert!(client.read_reply().unwrap().starts_with("-ERR"));
    assert_eq!(client.read_reply(), None);
}

/// Guards against connections that hold a socket without ever sending a whole command.
#[test]
fn connection_without_a_complete_command_is_closed_with_an_error() {
    let fixture = start_fixture(1);
    let mut used = fixture.node.client();
    used.ping();
    for incomplete in ["", "*1\r\n$4\r\nPI"] {
        let mut client = fixture.node.client();
        client.write(incomplete);
        assert!(client.read_reply().unwrap().starts_with("-ERR"));
        assert_eq!(client.read_reply(), None);
    }
    used.ping(); // a connection that has sent a command may stay idle
}

/// Guards against a start that fails without a message, or with a trace of many lines.
#[test]
fn missing_or_invalid_configuration_is_reported_in_one_line() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), "{\"seed\":\"1\",\"settings\":{\"Classes\":7}}").unwrap();
    for config in [None, Some("/nonexistent".as_ref()), Some(file.path())] {
        let mut command = stonefold_through_shell("exec \"$0\" node");
        command.env("EDGE_LISTEN", "127.0.0.1:0").env("EDGE_DISCOVERY", "127.0.0.1:1");
        if let Some(path) = config {
            command.env("EDGE_CONFIG", path);
        }
        let output = command.output().unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert_eq!(message.lines().count(), 1, "{message}");
    }
}

// ---- limits and shutdown ----

/// Guards against a node that can no longer accept or connect once the system grants fewer descriptors than the
/// settings state.
#[test]
fn node_out_of_descriptors_closes_idle_connections_and_serves_new_ones() {
    let fixture = start_fixture(1);
    let known = server_list(41, &with_ids(&fixture.caches), fixture.origin.addr);
    // The system grants 40 descriptors, fewer than the configured limit.
    let node = NodeOptions {
        shell: "ulimit -n 40; exec \"$0\" node",
        ..NodeOptions::new(&known, fixture.discovery.addr)
    }
    .start();
    let mut idle: Vec<Client> = (0..100).map(|_| node.client()).collect();
    let mut client = node.client();
    client.send_get("k", "c=read,d=15000");
    // The node closes idle connections to free descriptors.
    fixture.caches[0].next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert_eq!(idle[0].read_reply(), None, "the connection that was idle for longest is closed first");
}

/// Guards against new clients that are kept out by idle ones.
#[test]
fn clients_beyond_the_limit_replace_those_idle_for_longest() {
    let fixture = start_fixture(1);
    let known = server_list(41, &with_ids(&fixture.caches), fixture.origin.addr);
    let node = NodeOptions { sockets: 60, ..NodeOptions::new(&known, fixture.discovery.addr) }.start();
    let mut clients: Vec<Client> = (0..40).map(|_| node.client()).collect();
    clients[39].send_get("k", "c=read,d=15000");
    fixture.caches[0].next_call().reply_value("v");
    assert_eq!(clients[39].read_reply().as_deref(), Some("v"));
    assert_eq!(clients[0].read_reply(), None, "the connection that was idle for longest is closed first");
}

/// Guards against a client limit that refuses new connections while older ones only idle.
#[test]
fn idle_connections_are_closed_before_clients_reach_their_limit() {
    let fixture = start_fixture(1);
    let known = server_list(41, &with_ids(&fixture.caches), fixture.origin.addr);
    // Clients may use a third of the 120 sockets.
    let node = NodeOptions { sockets: 120, ..NodeOptions::new(&known, fixture.discovery.addr) }.start();
    let mut clients: Vec<Client> = (0..40).map(|_| node.client()).collect();
    for client in &mut clients {
        client.send_get("k", "c=read,d=15000");
        fixture.caches[0].next_call().reply_value("v");
        assert_eq!(client.read_reply().as_deref(), Some("v"));
    }
    assert_eq!(clients[0].read_reply(), None, "the connection that was idle for longest is closed first");
    clients[39].ping();
}

/// Guards against clients that have sent requests being closed in favour of connections that never send anything.
#[test]
fn silent_connections_replace_each_other_and_not_an_active_client() {
    let fixture = start_fixture(1);
    let known = server_list(41, &with_ids(&fixture.caches), fixture.origin.addr);
    let node = NodeOptions { sockets: 60, ..NodeOptions::new(&known, fixture.discovery.addr) }.start();
    let mut used = node.client();
    used.send_get("k", "c=read,d=15000");
    fixture.caches[0].next_call().reply_value("v");
    assert_eq!(used.read_reply().as_deref(), Some("v"));
    let silent: Vec<Client> = (0..200).map(|_| node.client()).collect();
    node.client().ping();
    used.ping();
    drop(silent);
}

/// Guards against a full node that lets new clients wait until connections which have sent only a ping count as idle.
#[test]
fn pinging_clients_beyond_the_limit_are_accepted_without_delay() {
    let fixture = start_fixture(1);
    let known = server_list(41, &with_ids(&fixture.caches), fixture.origin.addr);
    let node = NodeOptions { sockets: 60, ..NodeOptions::new(&known, fixture.discovery.addr) }.start();
    let (start, mut clients) = (Instant::now(), Vec::new());
    for _ in 0..100 {
        let mut client = node.client();
        client.ping();
        clients.push(client);
    }
    // If each connection had to be idle for two seconds before it is closed, this would take six.
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}

/// Guards against requests that are lost, or a failed exit status, when a node is with_length to stop.
#[test]
fn stopping_node_answers_open_requests_and_exits_successfully() {
    let mut fixture = start_fixture(1);
    let (mut idle, mut busy) = (fixture.node.client(), fixture.node.client());
    idle.ping();
    busy.send_get("k", "c=read,d=1900");
    let call = fixture.caches[0].next_call();
    fixture.node.terminate();
    fixture.node.client().ping(); // a connection that was being made at the signal
    assert_eq!(idle.read_reply(), None, "an idle connection is closed");
    call.reply_value("v");
    assert_eq!(busy.read_reply().as_deref(), Some("v"));
    assert!(fixture.node.wait_for_exit());
}

/// Guards against a shutdown that never ends because a client with an open request keeps sending commands.
#[test]
fn stopping_node_reads_no_further_command_from_a_busy_client() {
    let mut fixture = start_fixture(1);
    let (mut idle, mut busy) = (fixture.node.client(), fixture.node.client());
    idle.ping();
    busy.send_get("k1", "c=read,d=10000");
    let call = fixture.caches[0].next_call();
    fixture.node.terminate();
    assert_eq!(idle.read_reply(), None, "idle connections are closed from now on");
    busy.send_get("k2", "c=read,d=10000");
    call.reply_value("v");
    assert_eq!(busy.read_reply().as_deref(), Some("v"));
    assert_eq!(busy.read_reply(), None, "closed, and the second command is not read");
    assert!(fixture.node.wait_for_exit());
    assert!(fixture.caches[0].try_next_call().is_none());
}

/// Guards against a write that gets no reply because its deadline is later than the end of the process.
#[test]
fn stopping_node_answers_a_write_whose_deadline_outlasts_the_shutdown() {
    let mut fixture = start_fixture(1);
    let mut client = fixture.node.client();
    client.send_set("k", "c=put,d=600000,k=1", "v");
    let _call = fixture.origin.next_call(); // never answered
    fixture.node.terminate();
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
    assert!(fixture.node.wait_for_exit());
}

// ---- long values ----

const LONG_VALUE_BYTES: usize = 3_000_000;

/// A long value whose bytes depend on their position, so that a missing or repeated part shows.
fn long_value() -> String {
    (0..LONG_VALUE_BYTES).map(|n| char::from(b'a' + (n / 7 % 26) as u8)).collect()
}

/// Guards against a value that is damaged where the reply of the cache is split between two reads.
#[test]
fn long_cache_value_is_relayed_intact_wherever_it_is_split() {
    let fixture = start_fixture(1);
    let value = long_value();
    let text = format!("*3\r\n${LONG_VALUE_BYTES}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n");
    // The splits lie in the header, in the length, after the first byte of the value, and in the end of the reply.
    let header = 4 + 2 + LONG_VALUE_BYTES.to_string().len() + 2;
    for splits in [
        [2, 5, 7, header],
        [1, header - 1, header + 1, header + LONG_VALUE_BYTES - 1],
        [header, header + 70_000, header + LONG_VALUE_BYTES + 1, text.len() - 3],
    ] {
        let mut client = fixture.node.client();
        client.send_get("k", "c=read,d=15000");
        let mut call = fixture.caches[0].next_call();
        let reading = thread::spawn(move || client.read_reply());
        let mut start = 0;
        for end in splits.into_iter().chain([text.len()]) {
            call.reply(&text[start..end]);
            thread::yield_now();
            start = end;
        }
        assert!(reading.join().unwrap().is_some_and(|answer| answer == value), "{splits:?}");
    }
}

/// Guards against a long body that is damaged in one of the two encodings.
#[test]
fn long_origin_value_is_relayed_intact_with_content_length_or_chunked() {
    let fixture = start_fixture(1);
    let value = long_value();
    let with_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_VALUE_BYTES}\r\n\r\n{value}");
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{LONG_VALUE_BYTES:x}\r\n{value}\r\n0\r\n\r\n"
    );
    for text in [with_length, chunked] {
        let mut client = fixture.node.client();
        client.send_get("k", "c=read,d=15000");
        fixture.caches[0].next_call().reply_miss();
        let mut call = fixture.origin.next_call();
        let reading = thread::spawn(move || client.read_reply());
        call.reply(text);
        assert!(reading.join().unwrap().is_some_and(|answer| answer == value));
    }
}

/// Guards against a client that takes a value for whole though its reply broke off or ended malformed: the value's
/// header has been passed on by then, so that closing the connection is the only sign.
#[test]
fn long_value_is_relayed_at_once_and_closed_if_broken() {
    let fixture = start_fixture(1);
    for end in ["", "\r\n$3\r\nhat\r\n$-1\r\n", "XX$3\r\nhit\r\n$-1\r\n", "\r\n$3\r\nhit\r\n$-1\r\nmore"] {
        let mut client = fixture.node.client();
        client.send_get("k", "c=read,d=15000");
        let mut call = fixture.caches[0].next_call();
        call.reply(format!("*3\r\n${LONG_VALUE_BYTES}\r\n{}", "x".repeat(100_000)));
        // The header is relayed at once, before the rest of the value has come.
        assert_eq!(client.read_line(), format!("${LONG_VALUE_BYTES}"));
        let rest = "x".repeat(LONG_VALUE_BYTES - 100_000) + end;
        let reading = thread::spawn(move || client.bytes_until_close());
        if end.is_empty() {
            call.close();
        } else {
            call.reply(rest);
        }
        assert!(reading.join().unwrap() < LONG_VALUE_BYTES, "incomplete, and closed: {end:?}");
    }
    fixture.node.client().ping();
}

/// Guards against a value that is damaged where the write of the client is split between two reads.
#[test]
fn long_write_reaches_the_origin_intact_wherever_it_is_split() {
    let fixture = start_fixture(1);
    let value = long_value();
    let command = || encode_command(&["CACHE.SET", "k", &request_id(), "c=put,d=15000", &value]);
    let header = command().len() - LONG_VALUE_BYTES - 2;
    for splits in
        [[2, 17, header - 1, header + 1], [header, header + 9_000, header + 200_000, command().len() - 1]]
    {
        let text = command();
        let mut client = fixture.node.client();
        let mut start = 0;
        for end in splits.into_iter().chain([text.len()]) {
            client.write(&text[start..end]);
            thread::yield_now();
            start = end;
        }
        let call = fixture.origin.next_call();
        assert!(call.words.last() == Some(&value), "{splits:?}");
        call.reply_http("200 OK", "receipt");
        assert_eq!(client.read_reply().as_deref(), Some("receipt"));
        client.ping();
    }
}

/// Guards against a losing attempt that goes on, and against a winning one that is cancelled with it though its value
/// is not complete.
#[test]
fn slower_hedged_attempt_is_cancelled_once_the_other_replies() {
    let fixture = start_fixture(2);
    let value = long_value();
    let mut client = fixture.node.client();
    client.send_get("k", "c=read,d=15000");
    // The first cache is silent for so long that a hedged request goes to the other one.
    let mut calls = vec![];
    while calls.len() < 2 {
        calls.extend(
            fixture.caches.iter().enumerate().filter_map(|(n, cache)| Some((n, cache.try_next_call()?))),
        );
    }
    let (loser, mut winner) = (calls[0].0, calls.pop().unwrap().1);
    winner.reply(format!("*3\r\n${LONG_VALUE_BYTES}\r\n{}", &value[..70_000]));
    fixture.caches[loser].next_closed();
    let reading = thread::spawn(move || client.read_reply());
    winner.reply(format!("{}\r\n$3\r\nhit\r\n$-1\r\n", &value[70_000..]));
    assert!(reading.join().unwrap().is_some_and(|answer| answer == value));
}

/// Guards against a client that is closed as too slow while the node itself does not read, since the memory for values
/// is in use.
#[test]
fn long_write_without_free_memory_waits_until_another_write_ends() {
    let fixture = start_fixture(1);
    let known = server_list(41, &with_ids(&fixture.caches), fixture.origin.addr);
    // Memory for one of the longest values.
    let node = NodeOptions { memory_mb: 8, ..NodeOptions::new(&known, fixture.discovery.addr) }.start();
    let text = |id: &str| encode_command(&["CACHE.SET", "k", id, "c=put,d=60000", &long_value()]);
    let (mut first, mut second) = (node.client(), node.client());
    first.write(text("i1"));
    let holds_the_memory = fixture.origin.next_call();
    let second_reply = thread::spawn(move || {
        second.write(text("i2"));
        second.read_reply()
    });
    thread::sleep(Duration::from_millis(2700)); // longer than the node waits for a silent client
    assert!(fixture.origin.try_next_call().is_none(), "both writes at once");
    holds_the_memory.reply_http("200 OK", "one");
    assert_eq!(first.read_reply().as_deref(), Some("one"));
    fixture.origin.next_call().reply_http("200 OK", "two");
    assert_eq!(second_reply.join().unwrap().as_deref(), Some("two"));
}
