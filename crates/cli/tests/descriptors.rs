//! Descriptors for discovery, servers and operators are never a client's, however many clients come and whatever they do.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fakes::*;

const NAMES: [&str; 2] = ["s-drains", "s-stays"];
const TOLD: Duration = Duration::from_secs(6);
const HALF: &str = "*4\r\n$9\r\nCACHE.GET\r\n$1\r\n";

/// Clients that come again as soon as they are closed, until the test ends: of three, one says nothing, one asks once
/// and rests, one sends half a command.
struct Crowd {
    over: Arc<AtomicBool>,
    came: Arc<AtomicUsize>,
    members: Vec<JoinHandle<()>>,
}

impl Crowd {
    fn new(members: usize, node: SocketAddr) -> Crowd {
        let (over, came) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let member = |n: usize| {
            let (over, came) = (over.clone(), came.clone());
            thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let Ok(mut stream) = TcpStream::connect(node) else { continue };
                    stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
                    came.fetch_add(1, Ordering::Relaxed);
                    let said = ["", "*1\r\n$4\r\nPING\r\n", HALF][n % 3];
                    let _ = stream.write_all(said.as_bytes());
                    stay(&mut stream, &over);
                }
            })
        };
        let members = (0..members).map(member).collect();
        Crowd { over, came, members }
    }

    fn ends(self) {
        self.over.store(true, Ordering::Relaxed);
        self.members.into_iter().for_each(|member| member.join().unwrap());
    }
}

/// Stays until the node closes, or the test ends.
fn stay(stream: &mut TcpStream, over: &AtomicBool) {
    while !over.load(Ordering::Relaxed) {
        match stream.read(&mut [0; 64]) {
            Ok(n) if n > 0 => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

/// One case: lists pushed or asked for, and how many descriptors the node may have.
fn followed_and_served(mode: &str, sockets: usize) {
    let (caches, origin, discovery) =
        ([FakeServer::cache(), FakeServer::cache()], FakeServer::http(), BackloggedServer::http());
    let servers: Vec<_> = NAMES.into_iter().zip(&caches).map(|(name, cache)| (name, cache.addr)).collect();
    let known = server_list(41, &servers, origin.addr);
    let settings = SETTINGS.replace("automatic", mode);
    let shell = format!("ulimit -n {sockets}; exec \"$0\" node");
    let start = NodeOptions::new(&known, discovery.addr);
    let node = NodeOptions { sockets, settings: &settings, shell: &shell, operator: true, ..start }.start();
    let mut owed = node.client();
    owed.send(&["CACHE.SET", "w", "an-id-of-its-own", "c=put,d=15000", "v"]);
    let open = origin.next_call();

    let crowd = Crowd::new(3 * sockets, node.addr());
    let full = Instant::now();
    while crowd.came.load(Ordering::Relaxed) < 6 * sockets || full.elapsed() < Duration::from_secs(3) {
        assert!(full.elapsed() < TEST_TIMEOUT, "{} came", crowd.came.load(Ordering::Relaxed));
        assert_eq!(node.operator_call("READY\n"), "ok\n");
        assert!(node.open_descriptors() <= sockets, "{}", node.open_descriptors());
    }

    // Discovery is back, with a drain.
    let (back, draining) = (Instant::now(), server_entry(NAMES[0], caches[0].addr, "m", "DRAINING"));
    let discovery = discovery.accept_connections();
    let body = format!(r#"{{"version":42,"full":false,"servers":[{draining}]}}"#);
    discovery.next_call().reply_http("200 OK", &body);
    let told = back.elapsed();
    assert!(told < TOLD, "{told:?}");
    assert!(discovery.next_call().words[1].contains("after=42"), "and is watched from there on");
    for key in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        let (mut new, since) = (node.client(), Instant::now());
        new.send_get(key, "c=read,d=1900");
        caches[1].next_call().reply_value("v");
        assert_eq!(new.read_reply().as_deref(), Some("v"), "{key}");
        assert!(since.elapsed() < Duration::from_secs(2), "{:?}", since.elapsed());
    }
    assert!(caches[0].try_next_call().is_none(), "it drains");
    assert_eq!(node.operator_call("READY\n"), "ok\n");
    assert!(node.open_descriptors() <= sockets, "{}", node.open_descriptors());

    open.reply_http("200 OK", "v");
    assert_eq!(owed.read_reply().as_deref(), Some("v"), "nobody with an open request is closed");
    crowd.ends();
}

#[test]
fn a_crowd_that_fills_the_descriptors_while_discovery_is_down_hinders_nothing_where_lists_are_pushed() {
    followed_and_served("automatic", 72);
}

#[test]
fn a_crowd_that_fills_the_descriptors_while_discovery_is_down_hinders_nothing_where_lists_are_asked_for() {
    followed_and_served("subscribe", 120);
}
