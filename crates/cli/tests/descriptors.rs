//! File descriptors for discovery, servers and operators are reserved: clients cannot use them up, however many they
//! are and whatever they do.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fakes::*;

const CACHE_IDS: [&str; 2] = ["s-drains", "s-stays"];
/// The time within which the node reads a list once discovery is back.
const DISCOVERY_RECOVERY_LIMIT: Duration = Duration::from_secs(6);
const INCOMPLETE_COMMAND: &str = "*4\r\n$9\r\nCACHE.GET\r\n$1\r\n";

/// Clients that reconnect as soon as they are closed, until they are told to end: of three, one sends nothing, one
/// sends a command and stays idle, and one sends a part of a command.
struct ReconnectingClients {
    ended: Arc<AtomicBool>,
    connections: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl ReconnectingClients {
    fn new(count: usize, node: SocketAddr) -> ReconnectingClients {
        let (ended, connections) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let client = |n: usize| {
            let (ended, connections) = (ended.clone(), connections.clone());
            thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    let Ok(mut stream) = TcpStream::connect(node) else { continue };
                    stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
                    connections.fetch_add(1, Ordering::Relaxed);
                    let bytes = ["", "*1\r\n$4\r\nPING\r\n", INCOMPLETE_COMMAND][n % 3];
                    let _ = stream.write_all(bytes.as_bytes());
                    stay_connected(&mut stream, &ended);
                }
            })
        };
        let threads = (0..count).map(client).collect();
        ReconnectingClients { ended, connections, threads }
    }

    fn end(self) {
        self.ended.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
    }
}

/// Keeps a connection open until the node closes it or the clients end.
fn stay_connected(stream: &mut TcpStream, ended: &AtomicBool) {
    while !ended.load(Ordering::Relaxed) {
        match stream.read(&mut [0; 64]) {
            Ok(n) if n > 0 => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

/// Fills the descriptors of a node with clients while discovery is down. `mode` is how the node gets its lists,
/// `sockets` how many descriptors it may have.
fn check_reserved_descriptors(mode: &str, sockets: usize) {
    let (caches, origin, discovery) =
        ([FakeServer::cache(), FakeServer::cache()], FakeServer::http(), BackloggedServer::http());
    let servers: Vec<_> =
        CACHE_IDS.into_iter().zip(&caches).map(|(name, cache)| (name, cache.addr)).collect();
    let known = server_list(41, &servers, origin.addr);
    let settings = SETTINGS.replace("automatic", mode);
    let shell = format!("ulimit -n {sockets}; exec \"$0\" node");
    let options = NodeOptions::new(&known, discovery.addr);
    let node = NodeOptions { sockets, settings: &settings, shell: &shell, operator: true, ..options }.start();
    let mut writer = node.client();
    writer.send(&["CACHE.SET", "w", "an-id-of-its-own", "c=put,d=15000", "v"]);
    let open = origin.next_call();

    let clients = ReconnectingClients::new(3 * sockets, node.addr());
    let filling_since = Instant::now();
    while clients.connections.load(Ordering::Relaxed) < 6 * sockets
        || filling_since.elapsed() < Duration::from_secs(3)
    {
        assert!(
            filling_since.elapsed() < TEST_TIMEOUT,
            "{} connections",
            clients.connections.load(Ordering::Relaxed)
        );
        assert_eq!(node.operator_call("READY\n"), "ok\n");
        assert!(node.open_descriptors() <= sockets, "{}", node.open_descriptors());
    }

    // Discovery is back, and drains a cache.
    let (back, draining) = (Instant::now(), server_entry(CACHE_IDS[0], caches[0].addr, "m", "DRAINING"));
    let discovery = discovery.accept_connections();
    let body = format!(r#"{{"version":42,"full":false,"servers":[{draining}]}}"#);
    discovery.next_call().reply_http("200 OK", &body);
    let took = back.elapsed();
    assert!(took < DISCOVERY_RECOVERY_LIMIT, "{took:?}");
    assert!(discovery.next_call().words[1].contains("after=42"), "the node watches from that version on");
    for key in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        let (mut new, since) = (node.client(), Instant::now());
        new.send_get(key, "c=read,d=1900");
        caches[1].next_call().reply_value("v");
        assert_eq!(new.read_reply().as_deref(), Some("v"), "{key}");
        assert!(since.elapsed() < Duration::from_secs(2), "{:?}", since.elapsed());
    }
    assert!(caches[0].try_next_call().is_none(), "sent to a draining cache");
    assert_eq!(node.operator_call("READY\n"), "ok\n");
    assert!(node.open_descriptors() <= sockets, "{}", node.open_descriptors());

    open.reply_http("200 OK", "v");
    assert_eq!(writer.read_reply().as_deref(), Some("v"), "a client with an open request is not closed");
    clients.end();
}

/// Guards against clients that fill all descriptors while discovery is down, so that the node can neither get a new
/// list nor reach its servers.
#[test]
fn clients_cannot_use_up_reserved_descriptors_with_pushed_lists() {
    check_reserved_descriptors("automatic", 72);
}

/// Guards against the same where the node subscribes to lists.
#[test]
fn clients_cannot_use_up_reserved_descriptors_with_requested_lists() {
    check_reserved_descriptors("subscribe", 120);
}
