//! Tests that a change reaches the node within 6 s after discovery has it and can be reached, even if the poll in
//! flight fails. Connections are real, tokio's clock is paused, and polls queue for 1.5 s at discovery.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep, timeout};

use super::{BUSY, CHANGE, Case, Harness, MAX_WAIT, full_backlog, read_poll};
use crate::message::Message;

/// How long discovery queues a poll.
const QUEUEING: Duration = Duration::from_millis(1_500);
pub(super) const DEADLINE: Duration = Duration::from_secs(6);
pub(super) const NO_CHANGES: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"version\":41,\"full\":false,\"servers\":[]}";

fn cases() -> impl Iterator<Item = Case> {
    let fleets = [4, 30, 300, 900].into_iter();
    let seeded = fleets.flat_map(|nodes| (0..5).map(move |seed| (nodes, seed)));
    seeded.flat_map(|(nodes, seed)| [true, false].map(|watch_required| Case { watch_required, nodes, seed }))
}

impl Harness {
    /// Accepts polls until one is a watch. Returns its connection and how long it waits for changes.
    async fn accept_watch(&mut self) -> (TcpStream, Duration) {
        let (mut stream, mut wait) = self.accept_poll().await;
        if wait.is_zero() {
            stream.write_all(NO_CHANGES.as_bytes()).await.unwrap();
            wait = read_poll(&mut stream).await;
            assert!(matches!(self.messages.recv().await, Some(Message::EndpointList(_))));
        }
        (stream, wait)
    }

    /// Answers every poll with the change, after it was queued for the given time, until the change has reached the
    /// node.
    async fn answer_with_change(&mut self, queueing: Duration) {
        let answers = async {
            loop {
                let mut stream = self.listener.accept().await.unwrap().0;
                tokio::spawn(async move {
                    read_poll(&mut stream).await;
                    sleep(queueing).await;
                    let _ = stream.write_all(CHANGE.as_bytes()).await;
                    sleep(MAX_WAIT).await;
                });
            }
        };
        tokio::select! {
            received = timeout(MAX_WAIT, change_received(&mut self.messages)) => received.expect("the change"),
            () = answers => {}
        }
    }

    /// Answers as [`Self::answer_with_change`], and asserts that the change reaches the node in less than `deadline`
    /// after `since`.
    async fn assert_notified(
        &mut self,
        queueing: Duration,
        since: Instant,
        deadline: Duration,
        case: impl std::fmt::Debug,
    ) {
        self.answer_with_change(queueing).await;
        assert!(since.elapsed() < deadline, "{case:?}: {:?}", since.elapsed());
    }

    /// Moves discovery to a new address. Returns the time of the move.
    async fn move_discovery(&mut self) -> Instant {
        self.listener = unused_listener().await;
        self.address.send(self.listener.local_addr().unwrap()).unwrap();
        Instant::now()
    }
}

/// Waits until the change has reached the node.
pub(super) async fn change_received(messages: &mut UnboundedReceiver<Message>) {
    loop {
        match messages.recv().await.expect("the watcher runs") {
            Message::EndpointList(list) if list.version == 42 => return,
            _ => {}
        }
    }
}

/// The number of connections that wait to be accepted.
const BACKLOG: u32 = 128;

/// A socket at this address, which others of its kind may share. It refuses connections until it listens.
fn shared_socket(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseport(true).unwrap();
    socket.bind(address).unwrap();
    socket
}

async fn unused_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    drop(stream);
}

#[tokio::test(start_paused = true)]
async fn a_change_meets_the_deadline_after_a_silent_watch() {
    for case in cases() {
        let mut harness = Harness::start(case).await;
        let (_silent, wait) = harness.accept_watch().await;
        let since = Instant::now();
        // A watch of a shared discovery may wait for long. The changes that it misses are due 2 s after its wait.
        let (queueing, deadline) = if case.watch_required {
            (Duration::from_millis(900), DEADLINE.max(wait + Duration::from_secs(2)))
        } else {
            (QUEUEING, DEADLINE)
        };
        harness.assert_notified(queueing, since, deadline, (case, wait)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_meets_the_deadline_after_rejected_polls() {
    for case in cases() {
        let mut harness = Harness::start(case).await;
        let (mut stream, _) = harness.accept_watch().await;
        for rejected in 0..6 {
            stream.write_all(BUSY.as_bytes()).await.unwrap();
            if rejected < 5 {
                stream = harness.accept_poll().await.0;
            }
        }
        harness.assert_notified(QUEUEING, Instant::now(), DEADLINE, case).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_meets_the_deadline_after_connection_resets() {
    for case in cases() {
        let mut harness = Harness::start(case).await;
        let mut stream = harness.accept_watch().await.0;
        for _ in 0..5 {
            reset(stream);
            stream = harness.accept_poll().await.0;
        }
        reset(stream);
        harness.assert_notified(QUEUEING, Instant::now(), DEADLINE, case).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_meets_the_deadline_after_connect_timeouts() {
    for case in cases() {
        let (listener, filler) = full_backlog().await;
        let mut harness = Harness::start_at(case, listener);
        for _ in 0..4 {
            assert!(matches!(harness.messages.recv().await, Some(Message::EndpointListFailed)));
        }
        // After the reset the backlog holds one connection at a time. The sleep lets the connect in flight be dropped
        // first.
        sleep(Duration::from_millis(10)).await;
        reset(filler);
        drop(harness.listener.accept().await.unwrap());
        harness.assert_notified(QUEUEING, Instant::now(), DEADLINE, case).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_meets_the_deadline_after_a_truncated_answer() {
    for case in cases() {
        for closed in [true, false] {
            let mut harness = Harness::start(case).await;
            let (mut stream, wait) = harness.accept_watch().await;
            // The change itself ends the watch, shortly after it was opened or shortly before its end.
            sleep(if case.seed % 2 == 0 { wait / 20 } else { wait - wait / 20 }).await;
            let since = Instant::now();
            stream.write_all(&CHANGE.as_bytes()[..CHANGE.len() - 5]).await.unwrap();
            let _open = if closed { None } else { Some(stream) };
            harness.assert_notified(QUEUEING, since, DEADLINE, (case, closed)).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_meets_the_deadline_after_discovery_was_down() {
    for case in cases() {
        let first = shared_socket(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
        let mut harness = Harness::start_at(case, first.listen(BACKLOG).unwrap());
        let stream = harness.accept_watch().await.0;
        // Holds the port while discovery is down, since another program could take it.
        let returning = shared_socket(harness.listener.local_addr().unwrap());
        drop(std::mem::replace(&mut harness.listener, unused_listener().await));
        reset(stream);
        sleep(Duration::from_secs(8)).await;
        harness.listener = returning.listen(BACKLOG).unwrap();
        harness.assert_notified(QUEUEING, Instant::now(), DEADLINE, case).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_meets_the_deadline_if_a_new_address_ignores_the_first_poll() {
    for case in cases() {
        let mut harness = Harness::start(case).await;
        let _old = harness.accept_watch().await;
        let since = harness.move_discovery().await;
        let _silent = harness.accept_poll().await;
        assert!(since.elapsed() < Duration::from_millis(100), "polled there at once: {:?}", since.elapsed());
        harness.assert_notified(QUEUEING, since, DEADLINE, case).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_arrives_within_four_seconds_if_a_new_address_rejects_two_polls() {
    for case in cases() {
        let mut harness = Harness::start(case).await;
        let _old = harness.accept_watch().await;
        let since = harness.move_discovery().await;
        for _ in 0..2 {
            harness.accept_poll().await.0.write_all(BUSY.as_bytes()).await.unwrap();
        }
        harness.assert_notified(QUEUEING, since, Duration::from_secs(4), case).await;
    }
}
