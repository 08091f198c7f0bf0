//! What may be sent is checked right before its first byte, not when it is decided.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;
use socket2::{Domain, Socket, Type};

const CACHE: &str = "s-5be2a07c";
/// For how long servers discard the repeats of a write in these tests.
const WINDOW: Duration = Duration::from_millis(2_000);

/// A listener that takes one connection into its backlog and lets others wait.
fn narrow_listener() -> (TcpListener, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// The first line on a connection; empty if it ends before.
fn first_line(stream: TcpStream) -> String {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    line
}

#[test]
fn a_write_is_not_repeated_on_a_connection_that_comes_up_after_the_window_for_repeats() {
    let keyed = format!(r#""Effect":"keyed","Window":{}.0"#, WINDOW.as_millis());
    let settings = SETTINGS
        .replace(r#""Effect":"unsafe""#, &keyed)
        .replace(r#""ConnectTimeout":10000.0"#, r#""ConnectTimeout":600000.0"#);
    let (origin, addr) = narrow_listener();
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
    // The next connection finds no room, then the first one ends without an answer.
    let filling = TcpStream::connect(addr).unwrap();
    assert!(first_line(first).starts_with("PUT /k"));
    let retried = Instant::now();
    while connecting_sockets(addr) == 0 {
        assert!(retried.elapsed() < TEST_TIMEOUT, "it is not tried again");
        thread::yield_now();
    }
    thread::sleep(WINDOW.saturating_sub(sent.elapsed()));
    let _filling = (origin.accept().unwrap(), filling);
    let (late, _) = origin.accept().unwrap();
    assert_eq!(first_line(late), "", "repeated after the window");
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
}
