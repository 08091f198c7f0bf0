//! What the load takes for lost where a node's process ends, or its connections do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stonefold_config::{Layers, load};
use stonefold_emulator::{Emulator, Load, Options};
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

/// An emulator, and a load on one node that does what it is given to do with each connection.
struct Stage {
    emulator: Emulator,
    load: Arc<Load>,
    node: JoinSet<()>,
}

impl Stage {
    async fn start<F>(serve: fn(TcpStream) -> F) -> Stage
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("site.toml");
        std::fs::write(&path, SITE).unwrap();
        let site = load::<Site>(&Layers { file: Some(path), ..Layers::default() });
        let site = site.unwrap_or_else(|e| panic!("{e}")).tree;
        let emulator = Emulator::start(site, Options::default()).await.unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr: SocketAddr = listener.local_addr().unwrap();
        let mut node = JoinSet::new();
        node.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream));
            }
        });
        Stage { load: Load::new(&emulator, vec![addr]), emulator, node }
    }

    /// Plays requests for so long; the process ends in the way given, with all its connections.
    async fn play(mut self, lasts: Duration, end: impl FnOnce(&Load)) -> Verdict {
        let playing = tokio::spawn(self.load.clone().run(RATE, lasts));
        sleep(lasts).await;
        end(&self.load);
        self.node.shutdown().await;
        playing.await.unwrap();
        self.emulator.verdict()
    }
}

/// A node that never answers.
async fn silent(mut stream: TcpStream) {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
}

/// A node that answers the first request of a connection, and closes at the second after some time.
async fn close_second(mut stream: TcpStream, after: Duration) {
    let mut buffer = [0; 4096];
    let _ = stream.read(&mut buffer).await;
    let _ = stream.write_all(b"-BUSY 60000\r\n").await;
    let _ = stream.read(&mut buffer).await;
    sleep(after).await;
}

/// Guards against a kill being blamed on the node where the platform allows it, and not where it does not.
#[tokio::test]
async fn what_a_killed_node_has_accepted_is_lost_only_well_after_its_termination() {
    const LASTS: Duration = Duration::from_millis(1_500);
    let killed = Stage::start(silent).await.play(LASTS, |load| load.node_killed(0)).await;
    assert!(killed.requests > 50 && killed.lost == 0, "{killed:?}");
    let stage = Stage::start(silent).await;
    stage.load.node_terminated(0);
    let terminated = stage.play(LASTS, |load| load.node_killed(0)).await;
    // About those of the time after the first 0.7 s.
    assert!(terminated.lost > 20 && terminated.lost < terminated.requests - 20, "{terminated:?}");
    let exited = Stage::start(silent).await.play(LASTS, |load| load.close_node(0)).await;
    assert_eq!(exited.lost, exited.requests, "{exited:?}");
}

/// Guards against a close that crosses a request being taken for a lost one, and a late one for a crossing.
#[tokio::test]
async fn a_kept_connection_that_is_closed_well_after_a_request_has_lost_it() {
    /// Longer than the answer slack.
    const LATE: Duration = Duration::from_millis(1_300);
    const LASTS: Duration = Duration::from_millis(500);
    let at_once = Stage::start(|stream| close_second(stream, Duration::ZERO)).await;
    let crossing = at_once.play(LASTS, |_| {}).await;
    assert!(crossing.requests > 20 && crossing.lost == 0, "{crossing:?}");
    let late = Stage::start(|stream| close_second(stream, LATE)).await;
    let lost = late.play(2 * LATE, |load| load.node_killed(0)).await;
    assert!(lost.lost > 5, "{lost:?}");
}

/// Guards against a terminated node being spared by its clients: they use the connections that they have.
#[tokio::test]
async fn clients_keep_using_the_open_connections_of_a_node_that_gets_no_new_ones() {
    let stage = Stage::start(|mut stream| async move {
        let mut buffer = [0; 4096];
        while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
            let _ = stream.write_all(b"-BUSY 60000\r\n").await;
        }
    });
    let stage = stage.await;
    let load = stage.load.clone();
    let closing = tokio::spawn(async move {
        sleep(Duration::from_millis(300)).await;
        load.close_node(0);
        load.figures().0.rejected
    });
    let load = stage.load.clone();
    stage.play(Duration::from_millis(900), |load| load.node_killed(0)).await;
    let before = closing.await.unwrap();
    assert!(load.figures().0.rejected > before + 20, "{before} before: {:?}", load.figures().0.summary());
}
