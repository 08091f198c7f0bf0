//! What clients have sent before they leave is not sent on afterwards, and a write's id that comes again runs once.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";
/// An attempt that starts later than this after its client's disconnect is too late.
const DISCONNECT_LIMIT: Duration = Duration::from_millis(100);
/// How long calls are watched for after a disconnect.
const OBSERVATION: Duration = Duration::from_millis(1_500);
/// How long the cache takes for a read.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// How a client with much unread leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Closes,
    HalfCloses,
}

impl Leave {
    /// The number of reads that the client sends first. The end of a half-closed connection reaches the node's machine
    /// only behind all bytes before it, so these have to fit in its receive buffer.
    fn reads(self) -> usize {
        match self {
            Leave::Closes => 20_000,
            Leave::HalfCloses => 600,
        }
    }
}

/// Guards against requests that are read from a connection and sent on after its client has left.
#[test]
fn unread_requests_of_a_client_that_left_are_not_sent_on() {
    for (leave, replies) in
        [(Leave::Closes, true), (Leave::HalfCloses, true), (Leave::Closes, false), (Leave::HalfCloses, false)]
    {
        let (cache, origin) = (FakeServer::cache(), FakeServer::http());
        let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
        let node = Node::start(&known, FakeServer::http().addr);
        let (to_times, times) = channel();
        thread::spawn(move || {
            loop {
                let mut call = cache.next_call();
                let _ = to_times.send(Instant::now());
                if replies {
                    thread::spawn(move || {
                        thread::sleep(SERVICE_TIME);
                        call.try_reply("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n");
                    });
                }
            }
        });
        let client = node.client();
        let reads: String = (0..leave.reads())
            .map(|n| {
                encode_command(&["CACHE.GET", &format!("k-{n}"), &format!("{n:016x}"), "c=read,d=60000"])
            })
            .collect();
        // The client writes as much as is taken at once.
        client.stream().set_nonblocking(true).unwrap();
        let mut unsent = reads.as_bytes();
        while !unsent.is_empty() {
            match client.stream().write(unsent) {
                Ok(written) => unsent = &unsent[written..],
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("{error}"),
            }
        }
        let left_at = Instant::now();
        let _half_open = match leave {
            Leave::Closes => {
                drop(client);
                None
            }
            Leave::HalfCloses => {
                client.stream().shutdown(Shutdown::Write).unwrap();
                Some(client)
            }
        };
        thread::sleep(OBSERVATION);
        let after: Vec<Duration> = times.try_iter().map(|at| at.saturating_duration_since(left_at)).collect();
        let latest = after.into_iter().max().unwrap_or_default();
        assert!(latest < DISCONNECT_LIMIT, "{leave:?}, replies {replies}: {latest:?}");
    }
}

/// The settings with a keyed class beside the unsafe one.
fn settings_with_keyed_class() -> String {
    SETTINGS.replacen(
        r#""Classes":["#,
        r#""Classes":[{"Name":"keyed","Aim":800.0,"HardLimit":2000.0,"Effect":"keyed","DedupScope":"all","Window":5000.0,"Worth":9.0},"#,
        1,
    )
}

/// Sends a write of this class and id.
fn send_write(client: &mut Client, class: &str, id: &str) {
    client.send(&["CACHE.SET", "k", id, &format!("c={class},d=2000,k={id}"), "v"]);
}

/// Sends a write to `first`, whose client leaves once the origin has the write, and again with the same id to `second`.
/// Asserts that the origin does not get it a second time, and that other writes are served.
fn assert_write_is_executed_once(first: &Node, second: &Node, origin: &FakeServer, class: &str) {
    let id = format!("again-{class}");
    let mut client = first.client();
    send_write(&mut client, class, &id);
    let call = origin.next_call();
    drop(client);
    thread::sleep(DISCONNECT_LIMIT);
    let mut again = second.client();
    send_write(&mut again, class, &id);
    assert_eq!(again.read_outcome(), Outcome::Reply("-ERR failed".into()), "{class}");
    call.try_reply_http("200 OK", "stored");
    send_write(&mut again, class, &id);
    assert_eq!(again.read_outcome(), Outcome::Reply("-ERR failed".into()), "{class}, after the reply");
    send_write(&mut again, class, &format!("other-{class}"));
    let call = origin.next_call();
    assert!(call.words.contains(&format!("x-correlation-id: other-{class}")), "{class}: {:?}", call.words);
    call.reply_http("200 OK", "stored");
    assert_eq!(again.read_outcome(), Outcome::Reply("stored".into()), "{class}");
}

/// Guards against a write that the origin executes twice, because its id comes again after its client has left.
#[test]
fn write_whose_id_comes_again_runs_once() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let settings = settings_with_keyed_class();
    let options = NodeOptions::new(&known, FakeServer::http().addr);
    let node = NodeOptions { settings: &settings, operator: true, ..options }.start();
    for class in ["put", "keyed"] {
        assert_write_is_executed_once(&node, &node, &origin, class);
    }
    assert_eq!(node.metric("svc_repeated_writes_total"), 4.0);
}

/// Guards against a write that both processes of an upgrade send to the origin.
#[test]
fn write_whose_id_comes_again_at_the_other_process_of_an_upgrade_runs_once() {
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let (settings, directory) = (settings_with_keyed_class(), tempfile::tempdir().unwrap());
    // Each process has a socket of its own, so that the test decides which one gets a request.
    let sockets = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let [former, successor] = [0, 1].map(|process: usize| {
        let options = NodeOptions::new(&known, FakeServer::http().addr);
        let passed_socket = Some(&sockets[process]);
        NodeOptions { settings: &settings, passed_socket, state_dir: Some(directory.path()), ..options }
            .start()
    });
    assert_write_is_executed_once(&former, &successor, &origin, "put");
    assert_write_is_executed_once(&successor, &former, &origin, "keyed");
}

/// Guards against a write that fails for its id although no server has got it.
#[test]
fn write_that_was_never_sent_may_come_again() {
    let (cache, origin) = (FakeServer::cache(), BackloggedServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let node = Node::start(&known, FakeServer::http().addr);
    let mut client = node.client();
    send_write(&mut client, "put", "unsent");
    origin.wait_for_connecting(1);
    drop(client);
    origin.wait_for_connecting(0);
    let origin = origin.accept_connections();
    let mut again = node.client();
    send_write(&mut again, "put", "unsent");
    origin.next_call().reply_http("200 OK", "stored");
    assert_eq!(again.read_outcome(), Outcome::Reply("stored".into()));
}
