//! Client of a node's admin listener.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit of one request, from connecting to the end of the answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches a node's exported metrics; empty if the node does not answer in time.
pub(crate) async fn fetch_metrics(admin: SocketAddr) -> String {
    let request = async {
        let mut stream = TcpStream::connect(admin).await?;
        stream.write_all(b"STATS\n").await?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.map(|_| text)
    };
    timeout(REQUEST_TIMEOUT, request).await.map_or(String::new(), Result::unwrap_or_default)
}
