//! How the node classifies the end of an attempt: not run, possibly run, or as the server's reply states. Covers a
//! connection that ends at each byte of a reply, and one that ends within a request.

#[path = "common/fakes.rs"]
mod fakes;

use fakes::*;

const CACHE: &str = "s-5be2a07c";

/// A node with a cache and an origin. In mode `through` writes go to the cache, too.
struct Fixture {
    cache: FakeServer,
    origin: FakeServer,
    node: Node,
}

impl Fixture {
    fn start(cache: FakeServer, origin: FakeServer, mode: &str) -> Fixture {
        let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
        let settings = SETTINGS.replace(r#""Mode":"aside""#, &format!(r#""Mode":"{mode}""#));
        let node =
            NodeOptions { settings: &settings, ..NodeOptions::new(&known, FakeServer::http().addr) }.start();
        Fixture { cache, origin, node }
    }
}

/// Sends the first part of a reply, and closes the connection.
fn reply_and_close(mut call: Call, part: &str) {
    call.reply(part);
    call.close();
}

/// Guards against a reply that breaks off at some byte being taken as proof that nothing ran: a non-idempotent request
/// would run twice.
#[test]
fn truncated_cache_reply_counts_as_a_request_that_may_have_run() {
    for reply in ["*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n", "-BUSY 5\r\n", "-ERR failed\r\n"] {
        for end in 0..reply.len() {
            // Each case has a new node: a cache whose replies break off again and again would be ejected.
            let fixture = Fixture::start(FakeServer::cache(), FakeServer::http(), "aside");
            let mut client = fixture.node.client();
            client.send_get("k", "c=put,d=60000");
            reply_and_close(fixture.cache.next_call(), &reply[..end]);
            assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"), "{:?}", &reply[..end]);
            client.ping();
            assert!(fixture.cache.try_next_call().is_none(), "sent again after {:?}", &reply[..end]);
            // A read is idempotent and is retried.
            client.send_get("k", "c=read,d=60000");
            reply_and_close(fixture.cache.next_call(), &reply[..end]);
            fixture.cache.next_call().reply_value("w");
            assert_eq!(client.read_reply().as_deref(), Some("w"), "{:?}", &reply[..end]);
        }
    }
}

/// Guards against a response of the origin that breaks off at some byte being taken as complete or as proof that
/// nothing ran. A response without a length would end with its connection.
#[test]
fn truncated_origin_response_counts_as_a_request_that_may_have_run() {
    let fixture = Fixture::start(FakeServer::cache(), FakeServer::http(), "aside");
    let mut client = fixture.node.client();
    let responses = [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
    ];
    for response in responses {
        for end in 0..response.len() {
            client.send_set("k", "c=put,d=60000", "v");
            reply_and_close(fixture.origin.next_call(), &response[..end]);
            assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"), "{:?}", &response[..end]);
            client.ping();
            assert!(fixture.origin.try_next_call().is_none(), "sent again after {:?}", &response[..end]);
        }
    }
}

/// Guards against a server's statement that nothing ran being taken for a run, or the other way round.
#[test]
fn reply_that_nothing_ran_permits_a_retry_and_others_do_not() {
    for (reply, not_run) in [("-BUSY 5\r\n", true), ("-ERR failed\r\n", false), ("+what\r\n", false)] {
        let fixture = Fixture::start(FakeServer::cache(), FakeServer::http(), "through");
        let mut client = fixture.node.client();
        client.send_set("k", "c=put,d=60000", "v");
        // A write that never ran is retried while there is time, and rejected in the end.
        let mut calls = 0;
        let answer = loop {
            if let Some(mut call) = fixture.cache.try_next_call() {
                calls += 1;
                call.reply(reply);
            }
            if let Some(answer) = client.try_read_reply() {
                break answer;
            }
        };
        assert_eq!(answer.starts_with("-BUSY"), not_run, "{reply:?}: {answer}");
        assert_eq!(calls > 1, not_run, "{reply:?}: sent {calls} times");
    }
    let statuses = [
        ("503 Service Unavailable\r\nX-Unprocessed: 1", true),
        ("504 Gateway Timeout\r\nX-Unprocessed: 1", true),
        ("503 Service Unavailable", false),
        ("500 Internal Server Error\r\nX-Unprocessed: 1", false),
    ];
    for (status, not_run) in statuses {
        let fixture = Fixture::start(FakeServer::cache(), FakeServer::http(), "aside");
        let mut client = fixture.node.client();
        client.send_set("k", "c=put,d=60000", "v");
        let mut calls = 0;
        let answer = loop {
            if let Some(call) = fixture.origin.try_next_call() {
                calls += 1;
                call.reply_http(status, "");
            }
            if let Some(answer) = client.try_read_reply() {
                break answer;
            }
        };
        assert_eq!(answer.starts_with("-BUSY"), not_run, "{status:?}: {answer}");
        assert_eq!(calls > 1, not_run, "{status:?}: sent {calls} times");
    }
}

/// Guards against a request that the server can't have read whole being taken for a run, and against one that it may
/// have read being sent again.
#[test]
fn write_counts_as_possibly_run_only_once_its_last_byte_was_written() {
    for (value, not_run) in
        [("\nv".to_owned(), false), (format!("\n{}", "x".repeat(BYTES_BEYOND_BUFFERS)), true)]
    {
        let fixture =
            Fixture::start(FakeServer::cache_that_leaves_values_unread(), FakeServer::http(), "through");
        let mut client = fixture.node.client();
        client.send_set("k", "c=put,d=60000", &value);
        let mut calls = 0;
        let answer = loop {
            if let Some(call) = fixture.cache.try_next_call() {
                calls += 1;
                call.close();
            }
            if let Some(answer) = client.try_read_reply() {
                break answer;
            }
        };
        assert_eq!(answer.starts_with("-BUSY"), not_run, "{} bytes: {answer}", value.len());
        assert_eq!(calls > 1, not_run, "{} bytes were sent {calls} times", value.len());
    }
}
