//! Eviction of a session's connection, with real sockets on a single-threaded runtime, as in a node.

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
use crate::memory_budget::MemoryBudget;
use crate::message::{DiscoverySettings, SharedSettings};
use crate::metrics::Metrics;
use crate::stall::StallMonitor;

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// Long enough for a new session to reach its first wait.
const SETTLE_TIME: Duration = Duration::from_millis(20);

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

/// Connects a client and starts its session, which waits for the first command.
async fn idle_client(context: &SessionContext) -> std::net::TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let socket = Socket::new(listener.accept().await.unwrap().0).unwrap();
    tokio::spawn(Session::new(context.clone()).run(socket));
    sleep(SETTLE_TIME).await;
    client
}

/// The bytes that the client receives until the node closes the connection, or within ten times [`SETTLE_TIME`].
async fn received(client: std::net::TcpStream) -> String {
    client.set_nonblocking(true).unwrap();
    let mut client = TcpStream::from_std(client).unwrap();
    let mut text = Vec::new();
    // The connection stays open if the command is served.
    let _ = tokio::time::timeout(10 * SETTLE_TIME, client.read_to_end(&mut text)).await;
    String::from_utf8(text).unwrap()
}

/// Guards against the loss of a command that the kernel has received and the runtime has not noticed yet when its
/// connection is evicted: a close would discard it.
#[tokio::test]
async fn unread_command_on_an_evicted_connection_is_answered() {
    let context = context();
    let mut client = idle_client(&context).await;
    // The session is told of the eviction before the runtime polls its sockets again.
    client.write_all(PING).unwrap();
    context.idle.evict_one(Instant::now());
    assert_eq!(received(client).await, "+PONG\r\n");
}

/// Guards against evicted connections that stay open although nothing has arrived on them.
#[tokio::test]
async fn evicted_connection_without_unread_bytes_is_closed() {
    let context = context();
    let client = idle_client(&context).await;
    context.idle.evict_one(Instant::now());
    client.set_nonblocking(true).unwrap();
    let mut client = TcpStream::from_std(client).unwrap();
    let read = tokio::time::timeout(10 * SETTLE_TIME, client.read(&mut [0; 8])).await;
    assert_eq!(read.expect("closed").unwrap(), 0);
}
