//! Clients that take their replies slowly get them whole, and do not keep others from the node.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";
/// The longest value that the node accepts, in bytes.
const MAX_VALUE: usize = 4 << 20;
/// Longer than a stalled client keeps its connection if another one needs it.
const LONG_PAUSE: Duration = Duration::from_secs(8);
/// What a slow client takes at a time, in bytes.
const PIECE: usize = 1 << 10;
/// The pause after each piece.
const PIECE_PAUSE: Duration = Duration::from_millis(100);

/// How a client reads a long value before it takes the rest at full speed.
#[derive(Clone, Copy, Debug)]
enum SlowStart {
    /// Nothing for this long.
    Pause(Duration),
    /// A piece after the other for this long.
    Pieces(Duration),
}

/// Starts a node whose cache gives the longest value for every key, as fast as the node takes it.
fn start_node(sockets: usize) -> Node {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let options = NodeOptions::new(&known, FakeServer::http().addr);
    let node = NodeOptions { sockets, operator: true, ..options }.start();
    thread::spawn(move || {
        loop {
            let mut call = cache.next_call();
            thread::spawn(move || {
                call.try_reply(&format!(
                    "*3\r\n${MAX_VALUE}\r\n{}\r\n$3\r\nhit\r\n$-1\r\n",
                    "v".repeat(MAX_VALUE)
                ));
            });
        }
    });
    node
}

/// The length of the reply to a read of a long value.
fn reply_length() -> usize {
    format!("${MAX_VALUE}\r\n\r\n").len() + MAX_VALUE
}

/// Reads a reply slowly at first. Returns the number of bytes that came.
fn read_slowly(mut stream: &TcpStream, start: SlowStart) -> usize {
    let mut read = 0;
    match start {
        SlowStart::Pause(pause) => thread::sleep(pause),
        SlowStart::Pieces(duration) => {
            let (started, mut piece) = (Instant::now(), [0; PIECE]);
            while started.elapsed() < duration {
                match stream.read(&mut piece) {
                    Ok(0) => return read,
                    Ok(bytes) => read += bytes,
                    Err(error) if error.kind() == ErrorKind::ConnectionReset => return read,
                    Err(error) => panic!("after {read} bytes: {error}"),
                }
                thread::sleep(PIECE_PAUSE);
            }
        }
    }
    let mut rest = vec![0; reply_length() - read];
    let mut filled = 0;
    while filled < rest.len() {
        match stream.read(&mut rest[filled..]) {
            Ok(0) => break,
            Ok(bytes) => filled += bytes,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            Err(error) => panic!("after {} bytes: {error}", read + filled),
        }
    }
    read + filled
}

/// Requests a long value on this connection, and reads it in a thread of its own.
fn slow_reader(mut client: Client, id: usize, start: SlowStart) -> JoinHandle<usize> {
    client.send(&["CACHE.GET", &format!("key-{id}"), &format!("{id:016x}"), "c=read,d=2000"]);
    thread::spawn(move || read_slowly(client.stream(), start))
}

/// Guards against a value that is cut off because the node takes a full send buffer for a client that reads nothing.
#[test]
fn value_arrives_whole_at_clients_that_read_slowly() {
    let node = start_node(1_024);
    let mut readers = Vec::new();
    for (number, start) in
        [SlowStart::Pause(LONG_PAUSE), SlowStart::Pieces(2 * LONG_PAUSE)].into_iter().enumerate()
    {
        let small = node.client_with_small_receive_buffer();
        readers.push((start, "small", slow_reader(small, 2 * number, start)));
        readers.push((start, "usual", slow_reader(node.client(), 2 * number + 1, start)));
    }
    for (start, buffer, reader) in readers {
        assert_eq!(reader.join().unwrap(), reply_length(), "{start:?} with a {buffer} receive buffer");
    }
}

/// Guards against a value that is cut off because the node exits at SIGTERM before it is killed, although its client is
/// still reading.
#[test]
fn value_arrives_whole_at_a_slow_client_of_a_node_that_stops() {
    let mut node = start_node(1_024);
    let mut client = node.client_with_small_receive_buffer();
    client.send_get("key", "c=read,d=2000");
    assert_eq!(client.read_line(), format!("${MAX_VALUE}"));
    let header = format!("${MAX_VALUE}\r\n").len();
    let mut read = header + client.take_buffered();
    node.terminate();
    read += read_slowly_after(&client, read);
    assert_eq!(read, reply_length());
    assert!(node.wait_for_exit());
}

/// Reads in pieces for longer than any deadline, and then the rest.
fn read_slowly_after(client: &Client, read: usize) -> usize {
    let mut stream = client.stream();
    let (started, mut more) = (Instant::now(), 0);
    let mut piece = vec![0; PIECE];
    while started.elapsed() < LONG_PAUSE {
        let bytes = stream.read(&mut piece).unwrap_or(0);
        more += bytes;
        thread::sleep(PIECE_PAUSE);
    }
    let mut rest = Vec::new();
    let _ = stream.take((reply_length() - read - more) as u64).read_to_end(&mut rest); // a reset counts as a close
    more + rest.len()
}

/// Guards against clients that read nothing and hold all connections of the node.
#[test]
fn clients_that_read_nothing_give_way_to_others() {
    /// The limit on the node's descriptors, and more clients than it has room for.
    const SOCKETS: usize = 150;
    const STALLED_CLIENTS: usize = 80;
    /// The front gives up a node that does not answer for some seconds. By then a stalled client has given way.
    const LIMIT: Duration = Duration::from_secs(8);
    let node = start_node(SOCKETS);
    let stalled: Vec<Client> = (0..STALLED_CLIENTS)
        .map(|id| {
            let socket = TcpStream::connect(node.addr()).unwrap();
            let mut client = Client::new(socket);
            client.send(&["CACHE.GET", "key", &format!("{id:016x}"), "c=read,d=2000"]);
            client
        })
        .collect();
    let connected = Instant::now();
    node.client().ping();
    assert!(connected.elapsed() < LIMIT, "answered after {:?}", connected.elapsed());
    drop(stalled);
}
