//! A message that the node reads from a stream has the same outcome wherever it is split into two reads.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use fakes::*;

const CACHE: &str = "s-5be2a07c";
/// The pause between two pieces: in this time an idle node reads the first one alone.
const PAUSE: Duration = Duration::from_millis(2);
/// The pause after a complete header: by its end the node has read the header, even on a busy machine.
const HEADER_PAUSE: Duration = Duration::from_millis(30);
/// The longest value that the node reads whole before it passes it on, in bytes.
const MAX_BUFFERED_VALUE: usize = 64 << 10;
/// The longest value that the node accepts, in bytes.
const MAX_VALUE: usize = 4 << 20;

/// A position at which a message is split, and the pause before the rest is sent.
#[derive(Clone, Copy, Debug)]
struct Split {
    at: usize,
    pause: Duration,
}

fn write_split(mut stream: &TcpStream, text: &[u8], split: Split) {
    let (first, rest) = text.split_at(split.at);
    stream.write_all(first).unwrap();
    thread::sleep(split.pause);
    let _ = stream.write_all(rest); // may fail: a node that rejects the first part closes the connection
}

/// A split at each byte outside a value and next to its ends, with the longer pause after the header.
fn splits(text: &[u8], header: usize, tail: usize) -> Vec<Split> {
    let inside = header + 1..text.len().saturating_sub(tail);
    let split = |at| Split { at, pause: if at == header { HEADER_PAUSE } else { PAUSE } };
    (1..text.len()).filter(|at| !inside.contains(at)).map(split).collect()
}

/// A node with a cache and an origin.
struct Fixture {
    cache: FakeServer,
    origin: FakeServer,
    node: Node,
}

impl Fixture {
    fn start() -> Fixture {
        let (cache, origin) = (FakeServer::cache(), FakeServer::http());
        let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
        let node =
            NodeOptions { operator: true, ..NodeOptions::new(&known, FakeServer::http().addr) }.start();
        Fixture { cache, origin, node }
    }
}

fn value_of(length: usize) -> String {
    (0..length).map(|n| char::from(b'a' + (n / 7 % 26) as u8)).collect()
}

const REPLY_END: &str = "\r\n$3\r\nhit\r\n$-1\r\n";

/// A cache's reply with a value, and the length of the header before the value.
fn reply_with(value: &str) -> (String, usize) {
    let header = format!("*3\r\n${}\r\n", value.len());
    (format!("{header}{value}{REPLY_END}"), header.len())
}

/// Guards against the header of a long value being taken for a malformed reply when it is read without a byte of the
/// value.
#[test]
fn header_of_a_long_value_may_arrive_without_any_value_byte() {
    let fixture = Fixture::start();
    for length in [MAX_BUFFERED_VALUE + 1, 262_144, 1_048_576, MAX_VALUE] {
        let value = value_of(length);
        let (text, header) = reply_with(&value);
        let mut client = fixture.node.client();
        client.send_get("k", "c=read,d=15000");
        let call = fixture.cache.next_call();
        let reading = thread::spawn(move || client.read_reply());
        write_split(call.stream(), text.as_bytes(), Split { at: header, pause: HEADER_PAUSE });
        let answer = reading.join().unwrap();
        assert!(answer.as_ref() == Some(&value), "{length} bytes: {}", preview(answer));
    }
    assert_eq!(fixture.node.metric("svc_backend_calls_total"), 4.0, "each read was sent once");
}

/// The beginning of a reply, for messages.
fn preview(answer: Option<String>) -> String {
    answer.map_or("closed".into(), |answer| answer.chars().take(60).collect())
}

/// Guards against a split that changes the meaning of a cache's reply, also at each limit of the length of a value.
#[test]
fn cache_value_is_served_intact_wherever_its_reply_is_split() {
    let fixture = Fixture::start();
    let mut client = fixture.node.client();
    for length in [
        0,
        1,
        300,
        MAX_BUFFERED_VALUE - 1,
        MAX_BUFFERED_VALUE,
        MAX_BUFFERED_VALUE + 1,
        MAX_VALUE - 1,
        MAX_VALUE,
    ] {
        let value = value_of(length);
        let (text, header) = reply_with(&value);
        // Of the longest values, only the splits next to the end of the header are tried, since each costs megabytes.
        let all_splits = splits(text.as_bytes(), header, REPLY_END.len());
        let chosen = |split: &Split| length <= MAX_BUFFERED_VALUE + 1 || split.at.abs_diff(header) <= 1;
        for split in all_splits.into_iter().filter(chosen) {
            client.send_get("k", "c=read,d=15000");
            assert_served(&mut client, fixture.cache.next_call(), &text, split, &value);
        }
    }
}

/// Sends a server's reply in two pieces, and asserts that the client gets its value.
fn assert_served(client: &mut Client, call: Call, text: &str, split: Split, value: &str) {
    let answer = thread::scope(|scope| {
        scope.spawn(|| write_split(call.stream(), text.as_bytes(), split));
        client.read_reply()
    });
    let length = value.len();
    assert!(answer.as_deref() == Some(value), "{length} bytes, {split:?}: {}", preview(answer));
}

/// Guards against a split that changes the meaning of a miss or an error.
#[test]
fn cache_miss_or_error_is_recognized_wherever_it_is_split() {
    let fixture = Fixture::start();
    let mut client = fixture.node.client();
    let miss = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";
    for split in splits(miss.as_bytes(), 4, miss.len()) {
        client.send_get("k", "c=read,d=15000");
        write_split(fixture.cache.next_call().stream(), miss.as_bytes(), split);
        fixture.origin.next_call().reply_http("200 OK", "fetched");
        assert_eq!(client.read_reply().as_deref(), Some("fetched"), "{split:?}");
    }
    let failed = "-ERR failed\r\n";
    for split in splits(failed.as_bytes(), 5, failed.len()) {
        client.send_get("k", "c=put,d=15000");
        write_split(fixture.cache.next_call().stream(), failed.as_bytes(), split);
        assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"), "{split:?}");
    }
}

/// Guards against a value over the length limit being passed on, wherever its header is split.
#[test]
fn cache_value_over_the_length_limit_is_never_served() {
    let fixture = Fixture::start();
    let header = format!("*3\r\n${}\r\n", MAX_VALUE + 1);
    for split in splits(header.as_bytes(), header.len(), header.len()) {
        let mut client = fixture.node.client();
        client.send_get("k", "c=put,d=15000");
        let mut call = fixture.cache.next_call();
        // The node may close the connection as soon as it has read the length, so each write may fail.
        call.try_reply(&header[..split.at]);
        thread::sleep(split.pause);
        call.try_reply(&format!("{}{}", &header[split.at..], "x".repeat(10_000)));
        assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"), "{split:?}");
    }
}

/// Guards against a split that changes the meaning of the origin's response, with a content length or in chunks.
#[test]
fn origin_response_is_served_intact_wherever_it_is_split() {
    let fixture = Fixture::start();
    let mut client = fixture.node.client();
    for length in [0, 300, MAX_BUFFERED_VALUE, MAX_BUFFERED_VALUE + 1, 262_144] {
        let value = value_of(length);
        let with_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let chunk = if length == 0 { String::new() } else { format!("{length:x}\r\n{value}\r\n") };
        let chunked = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}0\r\n\r\n");
        let chunked_header = chunked.find(&value).filter(|_| length > 0).unwrap_or(chunked.len() - 5);
        let with_length = (format!("{with_length}{value}"), with_length.len(), 0);
        for (text, header, tail) in [with_length, (chunked, chunked_header, 7)] {
            for split in splits(text.as_bytes(), header, tail) {
                client.send_get("k", "c=read,d=15000");
                fixture.cache.next_call().reply_miss();
                assert_served(&mut client, fixture.origin.next_call(), &text, split, &value);
            }
        }
    }
}

/// Guards against a split that changes the meaning of a client's command, also at each limit of the length of a value.
#[test]
fn client_command_is_understood_wherever_it_is_split() {
    let fixture = Fixture::start();
    let mut client = fixture.node.client();
    let get = encode_command(&["CACHE.GET", "k", "9b1f03aa5c7e2d41", "c=read,d=15000"]);
    for split in splits(get.as_bytes(), 4, get.len()) {
        write_split(client.stream(), get.as_bytes(), split);
        fixture.cache.next_call().reply_value("v");
        assert_eq!(client.read_reply().as_deref(), Some("v"), "{split:?}");
    }
    for length in [0, 300, MAX_BUFFERED_VALUE, MAX_BUFFERED_VALUE + 1, MAX_VALUE - 1, MAX_VALUE] {
        let value = value_of(length);
        let command = || encode_command(&["CACHE.SET", "k", &request_id(), "c=put,d=15000", &value]);
        let header = command().len() - length - 2;
        let chosen = |split: &Split| length <= MAX_BUFFERED_VALUE + 1 || split.at.abs_diff(header) <= 1;
        for split in splits(command().as_bytes(), header, 2).into_iter().filter(chosen) {
            write_split(client.stream(), command().as_bytes(), split);
            let call = fixture.origin.next_call();
            assert!(call.words.last() == Some(&value), "{length} bytes, {split:?}");
            call.reply_http("200 OK", "receipt");
            assert_eq!(client.read_reply().as_deref(), Some("receipt"), "{length} bytes, {split:?}");
        }
    }
}

/// Guards against a split that changes the meaning of an operator's command.
#[test]
fn operator_command_is_understood_wherever_it_is_split() {
    let fixture = Fixture::start();
    let line = "DISABLE s-nobody\n";
    let whole = fixture.node.operator_call(line);
    assert!(whole.contains("s-nobody"), "{whole}");
    for split in splits(line.as_bytes(), line.len() - 1, line.len()) {
        let operator = fixture.node.operator_connection();
        write_split(&operator, line.as_bytes(), split);
        let answer = std::io::read_to_string(operator).unwrap();
        assert_eq!(answer, whole, "{split:?}");
    }
}

/// Whether a request to discovery states this version as the one that the node has.
fn states_version(call: &Call, version: u64) -> bool {
    call.words[1].ends_with(&format!("={version}")) || call.words[1].contains(&format!("={version}&"))
}

/// Guards against a split that changes the meaning of discovery's response, also for a long list.
#[test]
fn server_list_is_applied_wherever_its_response_is_split() {
    /// The entries of the long list, which needs more than a hundred reads.
    const LONG_LIST_ENTRIES: usize = 3_000;
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let _node = Node::start(&known, discovery.addr);
    let mut version = 41;
    let mut call = discovery.next_call();
    for entries in [1, LONG_LIST_ENTRIES] {
        let names: Vec<String> = (0..entries).map(|n| format!("s-{n:08x}")).collect();
        let caches: Vec<_> = names.iter().map(|name| (name.as_str(), cache.addr)).collect();
        let body = server_list(1_000, &caches, origin.addr);
        let header = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let all_splits = splits(format!("{header}{body}").as_bytes(), header.len(), 2);
        let few = |(n, _): &(usize, Split)| entries == 1 || n % 8 == 0;
        for (_, split) in all_splits.into_iter().enumerate().filter(few) {
            version += 1;
            let text = format!("{header}{}", body.replacen("1000", &format!("{version:4}"), 1));
            write_split(call.stream(), text.as_bytes(), split);
            call = discovery.next_call();
            assert!(states_version(&call, version), "{entries} entries, {split:?}: {:?}", call.words);
        }
    }
}

/// Guards against a list of exactly the longest length being rejected, or a longer one applied.
#[test]
fn server_list_is_applied_up_to_exactly_its_length_limit() {
    const MAX_LIST_BYTES: usize = 4 << 20;
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let _node = Node::start(&known, discovery.addr);
    for (version, length, applied) in
        [(42, MAX_LIST_BYTES - 1, true), (43, MAX_LIST_BYTES, true), (44, MAX_LIST_BYTES + 1, false)]
    {
        let body = server_list(version, &[(CACHE, cache.addr)], origin.addr);
        let indented = format!("{}{body}", " ".repeat(length - body.len()));
        discovery.next_call().try_reply_http("200 OK", &indented);
        let next = discovery.next_call();
        assert_eq!(states_version(&next, version), applied, "{length} bytes: {:?}", next.words);
        next.reply_http("200 OK", &server_list(version, &[(CACHE, cache.addr)], origin.addr));
    }
}
