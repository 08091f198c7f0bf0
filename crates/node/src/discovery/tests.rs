use std::collections::HashSet;
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::Instant;

use super::*;
use crate::message::DiscoverySettings;

mod fleet;
mod plan;
mod told;

/// A watch at work, and the ends by which a test plays discovery, the module and the configuration.
struct Stage {
    listener: TcpListener,
    asked: Arc<Notify>,
    terms: watch::Sender<SharedSettings>,
    heard: UnboundedReceiver<Message>,
    address: watch::Sender<SocketAddr>,
    _watch: AbortOnDropHandle<()>,
}

const BOUND: Duration = Duration::from_secs(300);

impl Stage {
    async fn new(subscribe: bool) -> Stage {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Stage::at(subscribe, listener.local_addr().unwrap(), listener)
    }

    fn at(subscribe: bool, at: SocketAddr, listener: TcpListener) -> Stage {
        Stage::seeded(subscribe, 4, 7, at, listener)
    }

    fn seeded(subscribe: bool, nodes: usize, seed: u64, at: SocketAddr, listener: TcpListener) -> Stage {
        let stage = Stage::set(subscribe, nodes, seed, at, listener);
        stage.asked.notify_one();
        stage
    }

    fn set(subscribe: bool, nodes: usize, seed: u64, at: SocketAddr, listener: TcpListener) -> Stage {
        let following = DiscoverySettings {
            watch: subscribe,
            max_poll_interval: Duration::from_secs(10),
            node_count: nodes,
        };
        let (terms, told) = watch::channel(SharedSettings {
            class_names: HashSet::new(),
            max_deadline: Duration::ZERO,
            discovery: following,
        });
        let (asked, (to, heard)) = (Arc::<Notify>::default(), unbounded_channel());
        let (address, addresses) = watch::channel(at);
        let watching = Watch::new(asked.clone(), Some(41), told, seed, to).run(addresses);
        let _watch = AbortOnDropHandle::new(tokio::spawn(watching));
        Stage { listener, asked, terms, heard, address, _watch }
    }

    /// Where lists are asked for and the module has not yet asked.
    async fn unasked() -> Stage {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Stage::set(true, 4, 7, listener.local_addr().unwrap(), listener)
    }

    /// The next call: its connection, and for how long it waits.
    async fn call(&self) -> (TcpStream, Duration) {
        let mut stream = timeout(BOUND, self.listener.accept()).await.expect("a connection").unwrap().0;
        let wait = read_call(&mut stream).await;
        (stream, wait)
    }
}

/// Reads a call; tells for how long it waits.
async fn read_call(stream: &mut TcpStream) -> Duration {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        assert!(timeout(BOUND, stream.read_buf(&mut text)).await.expect("a call").unwrap() > 0);
    }
    let text = String::from_utf8(text).unwrap();
    let wait = text.split_once("wait_ms=").map_or("0", |(_, rest)| rest.split(' ').next().unwrap());
    Duration::from_millis(wait.parse().unwrap())
}

const NEWS: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"version\":42,\"full\":false,\"servers\":[]}";
const BUSY: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

#[tokio::test(start_paused = true)]
async fn a_watch_that_falls_silent_anywhere_is_opened_anew_before_what_it_misses_counts_as_told() {
    for (subscribe, told) in [(true, 0), (true, 30), (true, NEWS.len() - 5), (false, 0), (false, 30)] {
        let stage = Stage::new(subscribe).await;
        let (mut stream, mut wait) = stage.call().await;
        if wait.is_zero() {
            stream.write_all(NEWS.as_bytes()).await.unwrap();
            wait = read_call(&mut stream).await;
        }
        let since = Instant::now();
        stream.write_all(&NEWS.as_bytes()[..told]).await.unwrap(); // and then nothing more
        // Turned away at first: the module, which nobody plays here, is not waited for.
        let (mut second, _) = stage.call().await;
        second.write_all(BUSY.as_bytes()).await.unwrap();
        stage.call().await;
        let counts = Duration::from_secs(6).max(wait + Duration::from_secs(2));
        assert!(since.elapsed() < counts, "{:?} after {wait:?}, {subscribe} {told}", since.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_trickles_is_given_up_like_one_that_has_fallen_silent() {
    let stage = Stage::new(true).await;
    let (mut stream, wait) = stage.call().await;
    let since = Instant::now();
    let trickle = async {
        for byte in NEWS.bytes().cycle() {
            sleep(Duration::from_millis(700)).await;
            if stream.write_all(&[byte]).await.is_err() {
                break;
            }
        }
    };
    tokio::select! {
        () = trickle => panic!("given up, and not called again"),
        _ = stage.call() => {}
    }
    assert!(since.elapsed() < wait + Duration::from_secs(2), "{:?}", since.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_connection_to_discovery_that_does_not_come_up_is_a_failed_call() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    socket.set_nonblocking(true).unwrap();
    let listener = TcpListener::from_std(socket.into()).unwrap();
    let at = listener.local_addr().unwrap();
    let _before = TcpStream::connect(at).await.unwrap(); // fills the backlog
    let mut stage = Stage::at(true, at, listener);
    let start = Instant::now();
    let heard = timeout(BOUND, stage.heard.recv()).await.expect("a failed call");
    assert!(matches!(heard, Some(Message::EndpointListFailed)));
    assert!(start.elapsed() <= pace::CONNECT + Duration::from_secs(1), "{:?}", start.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_node_that_waits_for_the_module_calls_when_lists_are_pushed_from_now_on() {
    let stage = Stage::unasked().await;
    assert!(timeout(BOUND, stage.listener.accept()).await.is_err(), "nobody has asked");
    stage.terms.send_modify(|terms| terms.discovery.watch = false);
    stage.call().await;
    drop(stage.asked); // never told
}

#[tokio::test(start_paused = true)]
async fn a_node_whose_call_failed_comes_again_without_the_module() {
    let mut stage = Stage::new(true).await;
    let (mut stream, _) = stage.call().await;
    stream.write_all(BUSY.as_bytes()).await.unwrap();
    assert!(matches!(stage.heard.recv().await, Some(Message::EndpointListFailed)));
    stage.call().await;
    drop(stage.asked); // told once, at the start
}
