//! Servers that write long values slowly have them passed on whole, and servers that read long requests slowly do not
//! delay the reply.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::Read;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";
/// The length of a long value, in bytes.
const LONG_VALUE: usize = 200_000;
/// The bytes of it that a slow server writes at a time.
const PIECE: usize = 512;
/// The pause after each piece.
const PIECE_PAUSE: Duration = Duration::from_millis(50);
/// How long a server writes in pieces.
const SLOW_PERIOD: Duration = Duration::from_secs(3);
/// How long a server then writes nothing: as long as a zone is partitioned at most.
const SILENCE: Duration = Duration::from_secs(6);
/// What the clients state as `d`.
const REQUEST_TIME: Duration = Duration::from_millis(1_000);
/// A reply is lost if it comes later than this after its request's time.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Writes a long value in pieces, with a long pause, and then the rest and `end`.
fn write_slowly(mut call: Call, header: &str, end: &str) {
    call.reply(header);
    let value = "v".repeat(LONG_VALUE);
    let (started, mut rest) = (Instant::now(), value.as_str());
    while started.elapsed() < SLOW_PERIOD {
        let (piece, others) = rest.split_at(PIECE);
        call.try_reply(piece);
        rest = others;
        thread::sleep(PIECE_PAUSE);
    }
    thread::sleep(SILENCE);
    call.try_reply(&format!("{rest}{end}"));
}

/// Guards against a value that is cut off although its server still gives it.
#[test]
fn value_of_a_server_that_writes_slowly_arrives_whole() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let node = Node::start(&server_list(41, &[(CACHE, cache.addr)], origin.addr), FakeServer::http().addr);
    let read = |key: &str| {
        let mut client = node.client();
        client.send_get(key, "c=read,d=2000");
        thread::spawn(move || client.read_outcome())
    };
    let from_cache = read("k");
    let call = cache.next_call();
    let cache_writes = thread::spawn(move || {
        write_slowly(call, &format!("*3\r\n${LONG_VALUE}\r\n"), "\r\n$3\r\nhit\r\n$-1\r\n");
    });
    let from_origin = read("l");
    cache.next_call().reply_miss();
    let call = origin.next_call();
    let origin_writes = thread::spawn(move || {
        write_slowly(call, &format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_VALUE}\r\n\r\n"), "");
    });
    let whole = Outcome::Reply("v".repeat(LONG_VALUE));
    assert!(from_cache.join().unwrap() == whole, "from the cache");
    assert!(from_origin.join().unwrap() == whole, "from the origin");
    cache_writes.join().unwrap();
    origin_writes.join().unwrap();
}

/// Starts a server that reads in pieces what comes on its connections, and never replies.
fn slow_reader() -> SocketAddr {
    let listener = listener_with_small_receive_buffer();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                let mut piece = [0; PIECE];
                while matches!(stream.read(&mut piece), Ok(1..)) {
                    thread::sleep(PIECE_PAUSE);
                }
            });
        }
    });
    addr
}

/// Guards against a reply that comes after its time because a server is still reading the request.
#[test]
fn write_that_its_server_reads_slowly_is_answered_in_time() {
    let through = SETTINGS.replace(r#""Mode":"aside","OriginKind":1"#, r#""Mode":"through","OriginKind":-1"#);
    for (settings, effect) in
        [(SETTINGS, "unsafe"), (SETTINGS, "keyed"), (&through, "unsafe"), (&through, "keyed")]
    {
        let settings = settings.replace(
            r#""Effect":"unsafe""#,
            &format!(r#""Effect":"{effect}","DedupScope":"all","Window":5000.0"#),
        );
        let known = server_list(41, &[(CACHE, slow_reader())], slow_reader());
        let options = NodeOptions::new(&known, FakeServer::http().addr);
        let node = NodeOptions { settings: &settings, ..options }.start();
        let is_through = settings.contains("through");
        let mut client = node.client();
        let value = "w".repeat(BYTES_BEYOND_BUFFERS);
        client.send_set("k", &format!("c=put,d={},k=1", REQUEST_TIME.as_millis()), &value);
        let sent = Instant::now();
        let outcome = client.read_outcome();
        let case = format!("{effect}, through {is_through}: {outcome:?} after {:?}", sent.elapsed());
        assert!(matches!(&outcome, Outcome::Reply(reply) if reply.starts_with('-')), "{case}");
        assert!(sent.elapsed() < REQUEST_TIME + ANSWER_SLACK, "{case}");
    }
}
