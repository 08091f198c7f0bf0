//! A crowd of idle clients that occupies the descriptors of the nodes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Descriptors of a node in a run with a crowd.
pub(crate) const DESCRIPTORS: u64 = 120;
/// Clients of the crowd at each node: more than the third of the descriptors that clients may hold in any case.
const CLIENTS_PER_NODE: usize = 60;
/// Pause of a client whose connection was closed or refused.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// What clients send in turn before they rest: nothing, a complete command, the start of one.
const OPENINGS: [&str; 3] = ["", "*1\r\n$4\r\nPING\r\n", "*4\r\n$9\r\nCACHE.GET\r\n"];

/// The idle clients at all nodes, which come again when they are closed. They leave when this is dropped.
pub(crate) struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Starts the clients of these nodes.
    pub(crate) fn start(nodes: &[SocketAddr]) -> Crowd {
        let mut clients = JoinSet::new();
        for &node in nodes {
            for number in 0..CLIENTS_PER_NODE {
                clients.spawn(run_client(node, OPENINGS[number % OPENINGS.len()]));
            }
        }
        Crowd { _clients: clients }
    }
}

async fn run_client(node: SocketAddr, opening: &str) {
    loop {
        if let Ok(stream) = TcpStream::connect(node).await {
            rest(stream, opening).await;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Stays until the node closes the connection.
async fn rest(mut stream: TcpStream, opening: &str) {
    let mut buffer = [0; 64];
    if stream.write_all(opening.as_bytes()).await.is_ok() {
        while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
    }
}
