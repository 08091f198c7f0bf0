//! Tests the endpoint watcher over real connections, with tokio's clock paused.

use std::collections::HashSet;
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio_util::task::AbortOnDropHandle;

use super::*;
use crate::message::DiscoverySettings;

mod fleet;
mod notification_deadline;
mod schedule;
mod slow_answers;

/// A running watcher, and the listener and channels with which a test acts as discovery, balancer and configuration.
struct Harness {
    listener: TcpListener,
    watch_requested: Arc<Notify>,
    settings: watch::Sender<SharedSettings>,
    messages: UnboundedReceiver<Message>,
    address: watch::Sender<SocketAddr>,
    _watcher: AbortOnDropHandle<()>,
}

/// The maximum time to wait for an expected event.
const MAX_WAIT: Duration = Duration::from_secs(300);

/// How the watcher follows the list: whether it has to watch, the fleet's size, and the seed of its jitter.
#[derive(Clone, Copy, Debug)]
struct Case {
    watch_required: bool,
    nodes: usize,
    seed: u64,
}

impl Case {
    /// A case with a small fleet.
    fn small(watch_required: bool) -> Case {
        Case { watch_required, nodes: 4, seed: 7 }
    }
}

impl Harness {
    /// Starts a watcher that the balancer has requested to watch.
    async fn start(case: Case) -> Harness {
        Harness::start_at(case, TcpListener::bind("127.0.0.1:0").await.unwrap())
    }

    fn start_at(case: Case, listener: TcpListener) -> Harness {
        let harness = Harness::idle(case, listener);
        harness.watch_requested.notify_one();
        harness
    }

    /// Starts a watcher that waits for the balancer's request if it has to watch.
    fn idle(case: Case, listener: TcpListener) -> Harness {
        let Case { watch_required, nodes, seed } = case;
        let address = listener.local_addr().unwrap();
        let discovery = DiscoverySettings {
            watch: watch_required,
            max_poll_interval: Duration::from_secs(10),
            node_count: nodes,
        };
        let settings =
            SharedSettings { class_names: HashSet::new(), max_deadline: Duration::ZERO, discovery };
        let (settings, settings_receiver) = watch::channel(settings);
        let (watch_requested, (to, messages)) = (Arc::<Notify>::default(), unbounded_channel());
        let (address, addresses) = watch::channel(address);
        let watcher = EndpointWatcher::new(watch_requested.clone(), Some(41), settings_receiver, seed, to);
        let _watcher = AbortOnDropHandle::new(tokio::spawn(watcher.run(addresses)));
        Harness { listener, watch_requested, settings, messages, address, _watcher }
    }

    /// Accepts a connection and reads its first poll. Returns the connection and how long the poll waits for changes.
    async fn accept_poll(&self) -> (TcpStream, Duration) {
        let mut stream = timeout(MAX_WAIT, self.listener.accept()).await.expect("a connection").unwrap().0;
        let wait = read_poll(&mut stream).await;
        (stream, wait)
    }
}

/// Returns a listener whose backlog is full, and the connection that fills it.
async fn full_backlog() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    socket.set_nonblocking(true).unwrap();
    let listener = TcpListener::from_std(socket.into()).unwrap();
    let filler = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (listener, filler)
}

/// Reads a poll; returns how long it waits for changes.
async fn read_poll(stream: &mut TcpStream) -> Duration {
    next_poll(stream).await.expect("a poll before the end of the connection")
}

/// Reads the head of a request, or what precedes the end of the connection.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let read = timeout(MAX_WAIT, stream.read_buf(&mut text)).await.expect("a poll");
        if read.unwrap_or(0) == 0 {
            break;
        }
    }
    String::from_utf8(text).unwrap()
}

/// Reads a poll; returns how long it waits for changes, or `None` at the end of the connection.
async fn next_poll(stream: &mut TcpStream) -> Option<Duration> {
    let text = Some(read_request(stream).await).filter(|text| text.ends_with("\r\n\r\n"))?;
    let wait = text.split_once("wait_ms=").map_or("0", |(_, rest)| rest.split(' ').next().unwrap());
    Some(Duration::from_millis(wait.parse().unwrap()))
}

/// An answer with a change.
const CHANGE: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"version\":42,\"full\":false,\"servers\":[]}";
/// An answer that rejects a poll.
const BUSY: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// A connection may fall silent before the answer, in its head or in its body.
#[tokio::test(start_paused = true)]
async fn a_silent_watch_is_reopened_before_the_notification_deadline() {
    for (watch_required, sent) in [(true, 0), (true, 30), (true, CHANGE.len() - 5), (false, 0), (false, 30)] {
        let harness = Harness::start(Case::small(watch_required)).await;
        let (mut stream, mut wait) = harness.accept_poll().await;
        if wait.is_zero() {
            stream.write_all(CHANGE.as_bytes()).await.unwrap();
            wait = read_poll(&mut stream).await;
        }
        let since = Instant::now();
        stream.write_all(&CHANGE.as_bytes()[..sent]).await.unwrap(); // and then nothing more
        // The first retry is rejected. The second must not wait for the balancer, which sends no request here.
        let (mut second, _) = harness.accept_poll().await;
        second.write_all(BUSY.as_bytes()).await.unwrap();
        harness.accept_poll().await;
        let deadline = Duration::from_secs(6).max(wait + Duration::from_secs(2));
        assert!(since.elapsed() < deadline, "{:?} after {wait:?}, {watch_required} {sent}", since.elapsed());
    }
}

/// A timeout that each received byte restarts would never expire.
#[tokio::test(start_paused = true)]
async fn an_answer_sent_byte_by_byte_times_out_like_a_silent_one() {
    let harness = Harness::start(Case::small(true)).await;
    let (mut stream, wait) = harness.accept_poll().await;
    let since = Instant::now();
    let slow_answer = async {
        for byte in CHANGE.bytes().cycle() {
            sleep(Duration::from_millis(700)).await;
            if stream.write_all(&[byte]).await.is_err() {
                break;
            }
        }
    };
    tokio::select! {
        () = slow_answer => panic!("the answer timed out, and discovery was not polled again"),
        _ = harness.accept_poll() => {}
    }
    assert!(since.elapsed() < wait + Duration::from_secs(2), "{:?}", since.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_connect_to_discovery_that_times_out_is_a_failed_poll() {
    let (listener, _filler) = full_backlog().await;
    let mut harness = Harness::start_at(Case::small(true), listener);
    let start = Instant::now();
    let message = timeout(MAX_WAIT, harness.messages.recv()).await.expect("a failed poll");
    assert!(matches!(message, Some(Message::EndpointListFailed)));
    let bound = poll_schedule::CONNECT_TIMEOUT + Duration::from_secs(1);
    assert!(start.elapsed() <= bound, "{:?}", start.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_reload_to_pushed_lists_starts_polls_without_a_request_of_the_balancer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let harness = Harness::idle(Case::small(true), listener);
    assert!(timeout(MAX_WAIT, harness.listener.accept()).await.is_err(), "the balancer has not requested it");
    harness.settings.send_modify(|settings| settings.discovery.watch = false);
    harness.accept_poll().await;
    drop(harness.watch_requested); // never notified
}

#[tokio::test(start_paused = true)]
async fn a_failed_poll_is_retried_without_the_balancer() {
    let mut harness = Harness::start(Case::small(true)).await;
    let (mut stream, _) = harness.accept_poll().await;
    stream.write_all(BUSY.as_bytes()).await.unwrap();
    assert!(matches!(harness.messages.recv().await, Some(Message::EndpointListFailed)));
    harness.accept_poll().await;
    drop(harness.watch_requested); // notified once, at the start
}
