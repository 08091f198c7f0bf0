//! Which requests the load counts as lost when a node's process ends or its connections are closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stonefold_config::{Layers, load};
use stonefold_emulator::{Emulator, EmulatorOptions, Load};
use stonefold_model::Verdict;
use stonefold_model::site::Site;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

const SITE: &str = r#"
name = "test"
nodes = 1
rate = 100
[network]
zones = ["a"]
[[cache]]
count = 1
[rules]
answer_slack = "1s"
[[class]]
name = "read"
share = 1.0
work = "0s"
aim = "5s"
deadline = "5s"
effect = "safe"
"#;
/// Requests a second.
const RATE: f64 = 100.0;

/// An emulator and a load on one node, which handles each connection with the given function.
struct TestSite {
    emulator: Emulator,
    load: Arc<Load>,
    node: JoinSet<()>,
}

impl TestSite {
    async fn start<F>(serve: fn(TcpStream) -> F) -> TestSite
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("site.toml");
        std::fs::write(&path, SITE).unwrap();
        let site = load::<Site>(&Layers { file: Some(path), ..Layers::default() });
        let site = site.unwrap_or_else(|e| panic!("{e}")).tree;
        let emulator = Emulator::start(site, EmulatorOptions::default()).await.unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr: SocketAddr = listener.local_addr().unwrap();
        let mut node = JoinSet::new();
        node.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream));
            }
        });
        TestSite { load: Load::new(&emulator, vec![addr]), emulator, node }
    }

    /// Sends requests for `duration`, calls `end`, and then ends the node with all its connections.
    async fn run_load(mut self, duration: Duration, end: impl FnOnce(&Load)) -> Verdict {
        let running = tokio::spawn(self.load.clone().run(RATE, duration));
        sleep(duration).await;
        end(&self.load);
        self.node.shutdown().await;
        running.await.unwrap();
        self.emulator.verdict()
    }
}

/// Serves a node's connection without ever answering.
async fn never_answer(mut stream: TcpStream) {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
}

/// Serves a node's connection: answers the first request, and closes the connection some time `after` the second.
async fn close_after_second_request(mut stream: TcpStream, after: Duration) {
    let mut buffer = [0; 4096];
    let _ = stream.read(&mut buffer).await;
    let _ = stream.write_all(b"-BUSY 60000\r\n").await;
    let _ = stream.read(&mut buffer).await;
    sleep(after).await;
}

/// Guards against requests being counted as lost where the platform's kill excuses the node, and against their being
/// excused where it does not: the node had enough time after its termination signal, or exited by itself.
#[tokio::test]
async fn a_killed_nodes_requests_are_lost_only_if_accepted_well_after_termination() {
    const DURATION: Duration = Duration::from_millis(1_500);
    let killed_figures =
        TestSite::start(never_answer).await.run_load(DURATION, |load| load.node_killed(0)).await;
    assert!(killed_figures.requests > 50 && killed_figures.lost == 0, "{killed_figures:?}");
    let site = TestSite::start(never_answer).await;
    site.load.node_terminated(0);
    let terminated_figures = site.run_load(DURATION, |load| load.node_killed(0)).await;
    // About the requests that were accepted later than 0.7 s after the signal.
    assert!(
        terminated_figures.lost > 20 && terminated_figures.lost < terminated_figures.requests - 20,
        "{terminated_figures:?}"
    );
    let exited_figures =
        TestSite::start(never_answer).await.run_load(DURATION, |load| load.close_node(0)).await;
    assert_eq!(exited_figures.lost, exited_figures.requests, "{exited_figures:?}");
}

/// Guards against a request that crosses a close being counted as lost, and against a late close being taken for a
/// crossing one.
#[tokio::test]
async fn a_late_close_of_an_idle_connection_loses_the_request_sent_on_it() {
    /// Longer than the site's `answer_slack`.
    const LATE_CLOSE_DELAY: Duration = Duration::from_millis(1_300);
    const DURATION: Duration = Duration::from_millis(500);
    let at_once = TestSite::start(|stream| close_after_second_request(stream, Duration::ZERO)).await;
    let crossing_figures = at_once.run_load(DURATION, |_| {}).await;
    assert!(crossing_figures.requests > 20 && crossing_figures.lost == 0, "{crossing_figures:?}");
    let late = TestSite::start(|stream| close_after_second_request(stream, LATE_CLOSE_DELAY)).await;
    let late_figures = late.run_load(2 * LATE_CLOSE_DELAY, |load| load.node_killed(0)).await;
    assert!(late_figures.lost > 5, "{late_figures:?}");
}

/// Guards against clients avoiding a terminated node: they keep using the connections that they have.
#[tokio::test]
async fn clients_keep_using_the_open_connections_of_a_node_that_gets_no_new_ones() {
    let site = TestSite::start(|mut stream| async move {
        let mut buffer = [0; 4096];
        while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
            let _ = stream.write_all(b"-BUSY 60000\r\n").await;
        }
    });
    let site = site.await;
    let load = site.load.clone();
    let closing = tokio::spawn(async move {
        sleep(Duration::from_millis(300)).await;
        load.close_node(0);
        load.figures().0.rejected
    });
    let load = site.load.clone();
    site.run_load(Duration::from_millis(900), |load| load.node_killed(0)).await;
    let before = closing.await.unwrap();
    assert!(load.figures().0.rejected > before + 20, "{before} before: {:?}", load.figures().0.summary());
}
