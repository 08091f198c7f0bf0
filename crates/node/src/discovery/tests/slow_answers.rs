//! Tests that the node learns of changes from a discovery whose answers are seconds late, within its budget of polls.
//! Connections are real, and tokio's clock is paused.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use super::notification_deadline::{DEADLINE, NO_CHANGES, change_received};
use super::{CHANGE, Case, Harness, MAX_WAIT, next_poll, read_request};

/// The polls that discovery can answer at the best, per second and node.
const CAPACITY: f64 = 0.3;
/// How often the stand-in for discovery looks for the change.
const TICK: Duration = Duration::from_millis(10);

/// A discovery that queues each poll for some time before it takes it.
#[derive(Clone)]
struct SlowDiscovery {
    queueing: Duration,
    changed: Arc<AtomicBool>,
    polls: Arc<AtomicUsize>,
}

impl SlowDiscovery {
    fn new(queueing: Duration) -> SlowDiscovery {
        SlowDiscovery { queueing, changed: Arc::default(), polls: Arc::default() }
    }

    /// Serves the polls of one connection until it is closed.
    async fn serve(self, mut stream: TcpStream) {
        while let Some(wait) = next_poll(&mut stream).await {
            self.polls.fetch_add(1, Ordering::Relaxed);
            sleep(self.queueing).await;
            let until = Instant::now() + wait;
            while !self.changed.load(Ordering::Relaxed) && Instant::now() < until {
                sleep(TICK).await;
            }
            let answer = if self.changed.load(Ordering::Relaxed) { CHANGE } else { NO_CHANGES };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Plays a discovery that is slow from the start on and has a change after `quiet`. Asserts that the change reaches the node
/// in time, and returns the number of polls per second before it.
async fn play(case: Case, queueing: Duration, quiet: Duration) -> f64 {
    let Harness { listener, mut messages, watch_requested, settings, address, _watcher } =
        Harness::start(case).await;
    let _kept = (watch_requested, settings, address);
    let discovery = SlowDiscovery::new(queueing);
    let serving = discovery.clone();
    let _accepting = AbortOnDropHandle::new(tokio::spawn(async move {
        let mut connections = Vec::new();
        loop {
            let stream = listener.accept().await.unwrap().0;
            connections.push(AbortOnDropHandle::new(tokio::spawn(serving.clone().serve(stream))));
        }
    }));
    sleep(quiet).await;
    let polls = discovery.polls.load(Ordering::Relaxed) as f64 / quiet.as_secs_f64();
    discovery.changed.store(true, Ordering::Relaxed);
    let changed = Instant::now();
    let received = timeout(MAX_WAIT, change_received(&mut messages)).await;
    let age = changed.elapsed();
    assert!(
        received.is_ok() && age < DEADLINE,
        "{case:?}, answers after {queueing:?}, quiet for {quiet:?}: {age:?}"
    );
    polls
}

/// Guards against a node that gives up each poll shortly before its answer, and so learns of no change while discovery is
/// slow, also from its start on.
#[tokio::test(start_paused = true)]
async fn changes_reach_a_node_whose_discovery_answers_late() {
    for queueing in [1_000, 1_800, 2_300, 2_500, 2_900, 3_500, 4_500].map(Duration::from_millis) {
        for quiet in [0, 3, 11, 26, 48].map(Duration::from_secs) {
            for seed in 0..4 {
                for watch_required in [true, false] {
                    play(Case { watch_required, nodes: 4, seed }, queueing, quiet).await;
                }
            }
        }
    }
}

/// Guards against a slow discovery that gets more polls than it can answer.
#[tokio::test(start_paused = true)]
async fn slow_discovery_is_not_polled_beyond_its_capacity() {
    for queueing in [1_000, 1_800, 2_300, 2_500, 2_900].map(Duration::from_millis) {
        for watch_required in [true, false] {
            let case = Case { watch_required, nodes: 4, seed: 3 };
            let polls = play(case, queueing, Duration::from_secs(120)).await;
            println!("{case:?}, answers after {queueing:?}: {polls:.2} polls a second");
            assert!(polls < CAPACITY, "{case:?}, answers after {queueing:?}: {polls:.2} polls a second");
        }
    }
}

/// Guards against a node without the full list after discovery's versions have restarted: changes that were requested before
/// the restart was known must not count as the full list.
#[tokio::test(start_paused = true)]
async fn full_list_is_requested_after_a_late_answer_shows_a_restart() {
    const RESTARTED: &str =
        "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n{\"version\":3,\"full\":false,\"servers\":[]}";
    let harness = Harness::start(Case::small(false)).await;
    let (mut overdue, _) = harness.accept_poll().await;
    let (mut unanswered, _) = harness.accept_poll().await; // made once the first one was overdue
    for stream in [&mut overdue, &mut unanswered] {
        stream.write_all(RESTARTED.as_bytes()).await.unwrap();
    }
    let request = read_request(&mut unanswered).await;
    assert!(request.starts_with("GET /discovery/hosts "), "{request}");
}
