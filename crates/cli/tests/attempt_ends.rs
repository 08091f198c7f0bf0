//! How the end of an attempt is understood: not run, perhaps run, or a word of the server. Over all cuts of a reply, and
//! the cuts of a request that a server can make.

#[path = "common/fakes.rs"]
mod fakes;

use fakes::*;

const CACHE: &str = "s-5be2a07c";

/// A node with a cache and an origin. In mode `through` writes go to the cache too.
struct Site {
    cache: FakeServer,
    origin: FakeServer,
    node: Node,
}

impl Site {
    fn start(cache: FakeServer, origin: FakeServer, mode: &str) -> Site {
        let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
        let settings = SETTINGS.replace(r#""Mode":"aside""#, &format!(r#""Mode":"{mode}""#));
        let node =
            NodeOptions { settings: &settings, ..NodeOptions::new(&known, FakeServer::http().addr) }.start();
        Site { cache, origin, node }
    }
}

/// Answers the first part of a reply, and closes.
fn answer_and_close(mut call: Call, part: &str) {
    call.reply(part);
    call.close();
}

/// Guards against a reply that breaks off at some byte being taken for no run: a request of no repeatable effect would
/// run twice.
#[test]
fn a_caches_reply_that_breaks_off_anywhere_may_have_run() {
    for reply in ["*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n", "-BUSY 5\r\n", "-ERR failed\r\n"] {
        for end in 0..reply.len() {
            // A new node each time: one cache that breaks off again and again would be ejected.
            let site = Site::start(FakeServer::cache(), FakeServer::http(), "aside");
            let mut client = site.node.client();
            client.send_get("k", "c=put,d=60000");
            answer_and_close(site.cache.next_call(), &reply[..end]);
            assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"), "{:?}", &reply[..end]);
            client.ping();
            assert!(site.cache.try_next_call().is_none(), "sent again after {:?}", &reply[..end]);
            // A read may run again.
            client.send_get("k", "c=read,d=60000");
            answer_and_close(site.cache.next_call(), &reply[..end]);
            site.cache.next_call().reply_value("w");
            assert_eq!(client.read_reply().as_deref(), Some("w"), "{:?}", &reply[..end]);
        }
    }
}

/// Guards against the same at the origin, where a response without a length would end with its connection.
#[test]
fn an_origins_response_that_breaks_off_anywhere_may_have_run() {
    let site = Site::start(FakeServer::cache(), FakeServer::http(), "aside");
    let mut client = site.node.client();
    let responses = [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
    ];
    for response in responses {
        for end in 0..response.len() {
            client.send_set("k", "c=put,d=60000", "v");
            answer_and_close(site.origin.next_call(), &response[..end]);
            assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"), "{:?}", &response[..end]);
            client.ping();
            assert!(site.origin.try_next_call().is_none(), "sent again after {:?}", &response[..end]);
        }
    }
}

/// Guards against a server's word that nothing ran being taken for a run, or the other way round.
#[test]
fn a_servers_word_decides_whether_a_write_has_run() {
    for (reply, refused) in [("-BUSY 5\r\n", true), ("-ERR failed\r\n", false), ("+what\r\n", false)] {
        let site = Site::start(FakeServer::cache(), FakeServer::http(), "through");
        let mut client = site.node.client();
        client.send_set("k", "c=put,d=60000", "v");
        // A write that never ran is sent again while there is time, and refused at last.
        let mut calls = 0;
        let answer = loop {
            if let Some(mut call) = site.cache.try_next_call() {
                calls += 1;
                call.reply(reply);
            }
            if let Some(answer) = client.try_read_reply() {
                break answer;
            }
        };
        assert_eq!(answer.starts_with("-BUSY"), refused, "{reply:?}: {answer}");
        assert_eq!(calls > 1, refused, "{reply:?}: sent {calls} times");
    }
    let statuses = [
        ("503 Service Unavailable\r\nX-Unprocessed: 1", true),
        ("504 Gateway Timeout\r\nX-Unprocessed: 1", true),
        ("503 Service Unavailable", false),
        ("500 Internal Server Error\r\nX-Unprocessed: 1", false),
    ];
    for (status, refused) in statuses {
        let site = Site::start(FakeServer::cache(), FakeServer::http(), "aside");
        let mut client = site.node.client();
        client.send_set("k", "c=put,d=60000", "v");
        let mut calls = 0;
        let answer = loop {
            if let Some(call) = site.origin.try_next_call() {
                calls += 1;
                call.reply_http(status, "");
            }
            if let Some(answer) = client.try_read_reply() {
                break answer;
            }
        };
        assert_eq!(answer.starts_with("-BUSY"), refused, "{status:?}: {answer}");
        assert_eq!(calls > 1, refused, "{status:?}: sent {calls} times");
    }
}

/// Guards against a request that the server can't have read whole being taken for a run, and one that it may have read
/// being sent again.
#[test]
fn a_request_has_run_at_most_if_its_last_byte_was_written() {
    for (value, refused) in
        [("\nv".to_owned(), false), (format!("\n{}", "x".repeat(BYTES_BEYOND_BUFFERS)), true)]
    {
        let site = Site::start(FakeServer::cache_that_leaves_values_unread(), FakeServer::http(), "through");
        let mut client = site.node.client();
        client.send_set("k", "c=put,d=60000", &value);
        let mut calls = 0;
        let answer = loop {
            if let Some(call) = site.cache.try_next_call() {
                calls += 1;
                call.close();
            }
            if let Some(answer) = client.try_read_reply() {
                break answer;
            }
        };
        assert_eq!(answer.starts_with("-BUSY"), refused, "{} bytes: {answer}", value.len());
        assert_eq!(calls > 1, refused, "{} bytes were sent {calls} times", value.len());
    }
}
