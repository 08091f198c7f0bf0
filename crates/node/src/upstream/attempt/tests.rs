//! What an attempt does right after a stall: real sockets, one thread, as in a node.

use std::io::Read;
use std::sync::Arc;
use std::thread;

use stonefold_net::Socket;
use tokio::net::TcpListener;

use super::*;
use crate::presence::Presence;
use crate::relay::Budget;
use crate::stall::StallMonitor;
use crate::upstream::send_permit::{SendConditions, SendPermit, ServingFlag};

/// Long enough for a heartbeat to be overdue.
const STALL: Duration = Duration::from_millis(60);
const WAIT: Duration = Duration::from_secs(5);

fn command() -> ClientRequest {
    let (id, facts) = ("id".into(), "c=read,d=5000".into());
    ClientRequest { key: "k".into(), id, metadata: facts, value: None, timeout: 5_000_000 }
}

/// A client's connection whose end is noted as a session notes it.
async fn watched_client() -> (std::net::TcpStream, Presence) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let session = Socket::new(listener.accept().await.unwrap().0).unwrap();
    let presence = Presence::default();
    let seen = presence.clone();
    tokio::spawn(async move {
        session.peer_closed().await;
        seen.end();
    });
    tokio::task::yield_now().await; // it waits
    (client, presence)
}

#[tokio::test]
async fn nothing_is_written_after_a_stall_in_which_the_client_has_left() {
    let stalls = StallMonitor::new();
    let metrics = Arc::new(Metrics::default());
    tokio::spawn(stalls.clone().run(metrics.clone()));
    let cache = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = cache.local_addr().unwrap();
    let pooled = Connection::open(addr, false).await.unwrap();
    let mut served = cache.accept().unwrap().0;
    let (client, presence) = watched_client().await;
    let conditions = SendConditions { client: presence, stalls, ..SendConditions::default() };
    let permit = SendPermit::new(ServingFlag::new(), conditions);
    let target = Target { addr, origin: false, permit };

    let attempt = tokio::spawn(async move {
        // The thread stands still, and the client leaves meanwhile: no socket is looked at before the attempt's turn.
        drop(client);
        thread::sleep(STALL);
        let pass = Pass { budget: Budget::new(0), begin: Box::new(|_| {}) };
        let deadline = Instant::now() + WAIT;
        run(target, Some(pooled), &command(), deadline, WAIT, &metrics, pass).await.0.outcome
    });
    let outcome = timeout(WAIT, attempt).await.expect("it waits for an answer to what it has written");
    assert_eq!(outcome.unwrap(), Outcome::NotSent);
    let mut written = Vec::new();
    served.read_to_end(&mut written).unwrap();
    assert_eq!(written, b"");
}
