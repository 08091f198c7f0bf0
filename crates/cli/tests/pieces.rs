//! What the node reads from a stream has the same outcome however it is cut into pieces.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use fakes::*;

const CACHE: &str = "s-5be2a07c";
/// Between two pieces: an idle node reads the first one by itself.
const PAUSE: Duration = Duration::from_millis(2);
/// Behind a complete header: beyond doubt the node has read it, on a busy machine too.
const HEADER_PAUSE: Duration = Duration::from_millis(30);
/// The longest value that is read whole before it is passed on, in bytes.
const BUFFERED: usize = 64 << 10;
/// The longest value that there may be, in bytes.
const LONGEST: usize = 4 << 20;

/// One cut of a message, and how long the rest of it is withheld.
#[derive(Clone, Copy, Debug)]
struct Cut {
    at: usize,
    pause: Duration,
}

fn write_cut(mut stream: &TcpStream, text: &[u8], cut: Cut) {
    let (first, rest) = text.split_at(cut.at);
    stream.write_all(first).unwrap();
    thread::sleep(cut.pause);
    let _ = stream.write_all(rest); // a node that refuses the first part may have closed: the outcome tells
}

/// A cut at each byte but those deep inside a value, with a longer pause behind the header.
fn cuts(text: &[u8], header: usize, tail: usize) -> Vec<Cut> {
    let inside = header + 1..text.len().saturating_sub(tail);
    let cut = |at| Cut { at, pause: if at == header { HEADER_PAUSE } else { PAUSE } };
    (1..text.len()).filter(|at| !inside.contains(at)).map(cut).collect()
}

/// A node with a cache and an origin.
struct Site {
    cache: FakeServer,
    origin: FakeServer,
    node: Node,
}

impl Site {
    fn start() -> Site {
        let (cache, origin) = (FakeServer::cache(), FakeServer::http());
        let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
        let node =
            NodeOptions { operator: true, ..NodeOptions::new(&known, FakeServer::http().addr) }.start();
        Site { cache, origin, node }
    }
}

fn value_of(length: usize) -> String {
    (0..length).map(|n| char::from(b'a' + (n / 7 % 26) as u8)).collect()
}

const REPLY_END: &str = "\r\n$3\r\nhit\r\n$-1\r\n";

/// A cache's reply with a value, and the length of what precedes the value.
fn reply_with(value: &str) -> (String, usize) {
    let header = format!("*3\r\n${}\r\n", value.len());
    (format!("{header}{value}{REPLY_END}"), header.len())
}

/// Guards against a long value's header without a byte of the value being taken for a malformed reply.
#[test]
fn the_header_of_a_long_value_may_come_alone() {
    let site = Site::start();
    for length in [BUFFERED + 1, 262_144, 1_048_576, LONGEST] {
        let value = value_of(length);
        let (text, header) = reply_with(&value);
        let mut client = site.node.client();
        client.send_get("k", "c=read,d=15000");
        let call = site.cache.next_call();
        let reading = thread::spawn(move || client.read_reply());
        write_cut(call.stream(), text.as_bytes(), Cut { at: header, pause: HEADER_PAUSE });
        let answer = reading.join().unwrap();
        assert!(answer.as_ref() == Some(&value), "{length} bytes: {}", start_of(answer));
    }
    assert_eq!(site.node.metric("svc_backend_calls_total"), 4.0, "each read was sent once");
}

fn start_of(answer: Option<String>) -> String {
    answer.map_or("closed".into(), |answer| answer.chars().take(60).collect())
}

/// Guards against a cut that changes what a cache's reply means, at each limit of a value's length too.
#[test]
fn a_caches_reply_means_the_same_however_it_is_cut() {
    let site = Site::start();
    let mut client = site.node.client();
    for length in [0, 1, 300, BUFFERED - 1, BUFFERED, BUFFERED + 1, LONGEST - 1, LONGEST] {
        let value = value_of(length);
        let (text, header) = reply_with(&value);
        // Of the longest ones only the places where the meaning could change, since each costs megabytes.
        let all = cuts(text.as_bytes(), header, REPLY_END.len());
        let chosen = |cut: &Cut| length <= BUFFERED + 1 || cut.at.abs_diff(header) <= 1;
        for cut in all.into_iter().filter(chosen) {
            client.send_get("k", "c=read,d=15000");
            assert_served(&mut client, site.cache.next_call(), &text, cut, &value);
        }
    }
}

/// Asserts that a client gets a value with which a server answers in two pieces.
fn assert_served(client: &mut Client, call: Call, text: &str, cut: Cut, value: &str) {
    let answer = thread::scope(|scope| {
        scope.spawn(|| write_cut(call.stream(), text.as_bytes(), cut));
        client.read_reply()
    });
    let length = value.len();
    assert!(answer.as_deref() == Some(value), "{length} bytes, {cut:?}: {}", start_of(answer));
}

/// Guards against a cut that changes the meaning of a miss, a rejection or an error.
#[test]
fn a_caches_other_replies_mean_the_same_however_they_are_cut() {
    let site = Site::start();
    let mut client = site.node.client();
    let miss = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";
    for cut in cuts(miss.as_bytes(), 4, miss.len()) {
        client.send_get("k", "c=read,d=15000");
        write_cut(site.cache.next_call().stream(), miss.as_bytes(), cut);
        site.origin.next_call().reply_http("200 OK", "fetched");
        assert_eq!(client.read_reply().as_deref(), Some("fetched"), "{cut:?}");
    }
    let failed = "-ERR failed\r\n";
    for cut in cuts(failed.as_bytes(), 5, failed.len()) {
        client.send_get("k", "c=put,d=15000");
        write_cut(site.cache.next_call().stream(), failed.as_bytes(), cut);
        assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"), "{cut:?}");
    }
}

/// Guards against a value of more than the longest length being passed on, wherever its header is cut.
#[test]
fn a_caches_value_over_the_longest_is_never_served() {
    let site = Site::start();
    let header = format!("*3\r\n${}\r\n", LONGEST + 1);
    for cut in cuts(header.as_bytes(), header.len(), header.len()) {
        let mut client = site.node.client();
        client.send_get("k", "c=put,d=15000");
        let mut call = site.cache.next_call();
        // The node may close as soon as it has read the length.
        call.try_reply(&header[..cut.at]);
        thread::sleep(cut.pause);
        call.try_reply(&format!("{}{}", &header[cut.at..], "x".repeat(10_000)));
        assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"), "{cut:?}");
    }
}

/// Guards against a cut that changes what the origin's response means, with a told length or in chunks.
#[test]
fn an_origins_response_means_the_same_however_it_is_cut() {
    let site = Site::start();
    let mut client = site.node.client();
    for length in [0, 300, BUFFERED, BUFFERED + 1, 262_144] {
        let value = value_of(length);
        let told = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let chunk = if length == 0 { String::new() } else { format!("{length:x}\r\n{value}\r\n") };
        let chunked = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}0\r\n\r\n");
        let chunked_header = chunked.find(&value).filter(|_| length > 0).unwrap_or(chunked.len() - 5);
        let told = (format!("{told}{value}"), told.len(), 0);
        for (text, header, tail) in [told, (chunked, chunked_header, 7)] {
            for cut in cuts(text.as_bytes(), header, tail) {
                client.send_get("k", "c=read,d=15000");
                site.cache.next_call().reply_miss();
                assert_served(&mut client, site.origin.next_call(), &text, cut, &value);
            }
        }
    }
}

/// Guards against a cut that changes what a client's command means, at each limit of a value's length too.
#[test]
fn a_clients_command_means_the_same_however_it_is_cut() {
    let site = Site::start();
    let mut client = site.node.client();
    let get = encode_command(&["CACHE.GET", "k", "9b1f03aa5c7e2d41", "c=read,d=15000"]);
    for cut in cuts(get.as_bytes(), 4, get.len()) {
        write_cut(client.stream(), get.as_bytes(), cut);
        site.cache.next_call().reply_value("v");
        assert_eq!(client.read_reply().as_deref(), Some("v"), "{cut:?}");
    }
    for length in [0, 300, BUFFERED, BUFFERED + 1, LONGEST - 1, LONGEST] {
        let value = value_of(length);
        let set = encode_command(&["CACHE.SET", "k", "9b1f03aa5c7e2d41", "c=put,d=15000", &value]);
        let header = set.len() - length - 2;
        let chosen = |cut: &Cut| length <= BUFFERED + 1 || cut.at.abs_diff(header) <= 1;
        for cut in cuts(set.as_bytes(), header, 2).into_iter().filter(chosen) {
            write_cut(client.stream(), set.as_bytes(), cut);
            let call = site.origin.next_call();
            assert!(call.words.last() == Some(&value), "{length} bytes, {cut:?}");
            call.reply_http("200 OK", "receipt");
            assert_eq!(client.read_reply().as_deref(), Some("receipt"), "{length} bytes, {cut:?}");
        }
    }
}

/// Guards against a cut that changes what an operator's line means.
#[test]
fn an_operators_line_means_the_same_however_it_is_cut() {
    let site = Site::start();
    let line = "DISABLE s-nobody\n";
    let whole = site.node.operator_call(line);
    assert!(whole.contains("s-nobody"), "{whole}");
    for cut in cuts(line.as_bytes(), line.len() - 1, line.len()) {
        let caller = site.node.operator_connection();
        write_cut(&caller, line.as_bytes(), cut);
        let answer = std::io::read_to_string(caller).unwrap();
        assert_eq!(answer, whole, "{cut:?}");
    }
}

/// Whether a call to discovery states this version as the one that the node has.
fn states(call: &Call, version: u64) -> bool {
    call.words[1].ends_with(&format!("={version}")) || call.words[1].contains(&format!("={version}&"))
}

/// Guards against a cut that changes what discovery's answer means, for a long list too.
#[test]
fn a_list_from_discovery_means_the_same_however_it_is_cut() {
    /// Entries of the long list: over a hundred times what one read takes.
    const MANY: usize = 3_000;
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let _node = Node::start(&known, discovery.addr);
    let mut version = 41;
    let mut call = discovery.next_call();
    for entries in [1, MANY] {
        let names: Vec<String> = (0..entries).map(|n| format!("s-{n:08x}")).collect();
        let caches: Vec<_> = names.iter().map(|name| (name.as_str(), cache.addr)).collect();
        let body = server_list(1_000, &caches, origin.addr);
        let header = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let all = cuts(format!("{header}{body}").as_bytes(), header.len(), 2);
        let few = |(n, _): &(usize, Cut)| entries == 1 || n % 8 == 0;
        for (_, cut) in all.into_iter().enumerate().filter(few) {
            version += 1;
            let text = format!("{header}{}", body.replacen("1000", &format!("{version:4}"), 1));
            write_cut(call.stream(), text.as_bytes(), cut);
            call = discovery.next_call();
            assert!(states(&call, version), "{entries} entries, {cut:?}: {:?}", call.words);
        }
    }
}

/// Guards against a list of exactly the longest length being refused, or a longer one taken.
#[test]
fn a_list_from_discovery_is_taken_up_to_its_longest_length_exactly() {
    const LONGEST_LIST: usize = 4 << 20;
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let _node = Node::start(&known, discovery.addr);
    for (version, length, taken) in
        [(42, LONGEST_LIST - 1, true), (43, LONGEST_LIST, true), (44, LONGEST_LIST + 1, false)]
    {
        let body = server_list(version, &[(CACHE, cache.addr)], origin.addr);
        let indented = format!("{}{body}", " ".repeat(length - body.len()));
        discovery.next_call().try_reply_http("200 OK", &indented);
        let next = discovery.next_call();
        assert_eq!(states(&next, version), taken, "{length} bytes: {:?}", next.words);
        next.reply_http("200 OK", &server_list(version, &[(CACHE, cache.addr)], origin.addr));
    }
}
