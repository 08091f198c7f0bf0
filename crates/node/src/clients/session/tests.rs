//! A session whose connection is evicted, with real sockets on one thread, as in a node.

use std::collections::HashSet;
use std::io::Write;
use std::sync::Arc;

use stonefold_net::Socket;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::*;
use crate::client_limits::ClientLimits;
use crate::clients::{ClientContext, ClosingTokens};
use crate::message::{DiscoverySettings, SharedSettings};
use crate::metrics::Metrics;
use crate::relay::MemoryBudget;
use crate::stall::StallMonitor;

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// Long enough for a session to begin to wait.
const SETTLE: Duration = Duration::from_millis(20);

fn context() -> SessionContext {
    let discovery = DiscoverySettings { watch: false, max_poll_interval: Duration::ZERO, node_count: 1 };
    let settings = SharedSettings { class_names: HashSet::new(), max_deadline: Duration::ZERO, discovery };
    let limits = ClientLimits {
        guaranteed_connections: 10,
        total_connections: 10,
        idle_connections: 10,
        server_connections: Arc::default(),
        memory_bytes: 1 << 20,
    };
    let context = ClientContext {
        driver: mpsc::unbounded_channel().0,
        limits,
        settings: watch::channel(settings).1,
        metrics: Arc::new(Metrics::default()),
        budget: MemoryBudget::new(0),
        stalls: StallMonitor::new(),
    };
    SessionContext::new(context, ClosingTokens::default())
}

/// A client whose session waits for its first command.
async fn resting_client(context: &SessionContext) -> std::net::TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let socket = Socket::new(listener.accept().await.unwrap().0).unwrap();
    tokio::spawn(Session::new(context.clone()).run(socket));
    sleep(SETTLE).await;
    client
}

/// What the client gets until the node closes, or for a while.
async fn received(client: std::net::TcpStream) -> String {
    client.set_nonblocking(true).unwrap();
    let mut client = TcpStream::from_std(client).unwrap();
    let mut text = Vec::new();
    let _ = tokio::time::timeout(10 * SETTLE, client.read_to_end(&mut text)).await; // it stays open if it is served
    String::from_utf8(text).unwrap()
}

/// Guards against a close over a command that the node's machine has and the runtime has not noticed yet.
#[tokio::test]
async fn a_command_that_has_arrived_is_answered_though_its_connection_is_evicted() {
    let context = context();
    let mut client = resting_client(&context).await;
    // The session learns of the eviction before the runtime looks at its sockets again.
    client.write_all(PING).unwrap();
    context.idle.evict_one(Instant::now());
    assert_eq!(received(client).await, "+PONG\r\n");
}

/// Guards against the opposite: a connection without unread bytes gives way.
#[tokio::test]
async fn a_connection_that_rests_is_closed_when_it_is_evicted() {
    let context = context();
    let client = resting_client(&context).await;
    context.idle.evict_one(Instant::now());
    client.set_nonblocking(true).unwrap();
    let mut client = TcpStream::from_std(client).unwrap();
    let read = tokio::time::timeout(10 * SETTLE, client.read(&mut [0; 8])).await;
    assert_eq!(read.expect("closed").unwrap(), 0);
}
