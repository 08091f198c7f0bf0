//! Whether a request may be sent is checked right before its first byte, not when the attempt is decided.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;
use socket2::{Domain, Socket, Type};

const CACHE: &str = "s-5be2a07c";
/// The deduplication window: for how long servers discard the repeats of a write in this test.
const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(2_000);

/// A listener whose backlog holds one connection, while further ones stay in progress.
fn listener_with_backlog_of_one() -> (TcpListener, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Reads the first line on a connection, which is empty if the connection ends before.
fn read_first_line(stream: TcpStream) -> String {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    line
}

/// Guards against a write that runs twice: its retry is decided within the deduplication window, but the connection for
/// it comes up only after the window.
#[test]
fn retry_is_not_sent_once_the_deduplication_window_has_passed() {
    let keyed =
        format!(r#""Effect":"keyed","DedupScope":"all","Window":{}.0"#, DEDUPLICATION_WINDOW.as_millis());
    let settings = SETTINGS
        .replace(r#""Effect":"unsafe""#, &keyed)
        .replace(r#""ConnectTimeout":10000.0"#, r#""ConnectTimeout":600000.0"#);
    let (origin, addr) = listener_with_backlog_of_one();
    let known = server_list(41, &[(CACHE, FakeServer::cache().addr)], addr);
    let node = NodeOptions {
        settings: &settings,
        operator: true,
        ..NodeOptions::new(&known, FakeServer::http().addr)
    }
    .start();
    let mut client = node.client();
    client.send_set("k", "c=put,d=60000,k=1", "v");

    let (first, _) = origin.accept().unwrap();
    let sent = Instant::now();
    // Another connection fills the backlog, then the first one ends without a reply.
    let filler = TcpStream::connect(addr).unwrap();
    assert!(read_first_line(first).starts_with("PUT /k"));
    let retried = Instant::now();
    while connecting_sockets(addr) == 0 {
        assert!(retried.elapsed() < TEST_TIMEOUT, "no retry is started");
        thread::yield_now();
    }
    thread::sleep(DEDUPLICATION_WINDOW.saturating_sub(sent.elapsed()));
    let _filler = (origin.accept().unwrap(), filler);
    let (late, _) = origin.accept().unwrap();
    assert_eq!(read_first_line(late), "", "retried after the window");
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
}
