//! Idle clients that occupy the file descriptors of the nodes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// A node's limit of file descriptors in a run with idle clients.
pub(crate) const DESCRIPTOR_LIMIT: u64 = 120;
/// Idle clients of each node: more than the third of the descriptors that clients may always hold.
const CLIENTS_PER_NODE: usize = 60;
/// Delay before a client whose connection was closed or refused connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// What clients in turn send before they idle: nothing, a complete command, the start of a command.
const INITIAL_BYTES: [&str; 3] = ["", "*1\r\n$4\r\nPING\r\n", "*4\r\n$9\r\nCACHE.GET\r\n"];

/// The idle clients of all nodes, which reconnect when their connections are closed. Dropping this disconnects them.
pub(crate) struct IdleClients {
    _tasks: JoinSet<()>,
}

impl IdleClients {
    /// Starts the clients of these nodes.
    pub(crate) fn start(nodes: &[SocketAddr]) -> IdleClients {
        let mut tasks = JoinSet::new();
        for &node in nodes {
            for number in 0..CLIENTS_PER_NODE {
                tasks.spawn(run_client(node, INITIAL_BYTES[number % INITIAL_BYTES.len()]));
            }
        }
        IdleClients { _tasks: tasks }
    }
}

async fn run_client(node: SocketAddr, initial_bytes: &str) {
    loop {
        if let Ok(stream) = TcpStream::connect(node).await {
            hold_connection(stream, initial_bytes).await;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Sends `initial_bytes` and idles until the node closes the connection.
async fn hold_connection(mut stream: TcpStream, initial_bytes: &str) {
    let mut buffer = [0; 64];
    if stream.write_all(initial_bytes.as_bytes()).await.is_ok() {
        while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
    }
}
