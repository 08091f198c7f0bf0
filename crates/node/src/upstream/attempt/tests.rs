//! Attempts right after a stall of the event loop, with real sockets on a single-threaded runtime, as in a node.

use std::io::Read;
use std::sync::Arc;
use std::thread;

use stonefold_balancer::Idempotency;
use stonefold_net::Socket;
use tokio::net::TcpListener;

use super::*;
use crate::client_status::ClientStatus;
use crate::memory_budget::{MemoryBudget, ReplyReservation};
use crate::reply_turn::ReplyTurn;
use crate::stall::StallMonitor;
use crate::upstream::send_permit::{SendConditions, SendPermit, ServingFlag};

/// Long enough for a heartbeat of the [`StallMonitor`] to be overdue.
const STALL: Duration = Duration::from_millis(60);
const WAIT: Duration = Duration::from_secs(5);

fn request() -> ClientRequest {
    let (id, metadata) = ("id".into(), "c=read,d=5000".into());
    ClientRequest { key: "k".into(), id, metadata, value: None, value_permit: None, timeout: 5_000_000 }
}

/// A client connection, and its status. A task marks the status when the client disconnects, as a session does.
async fn watched_client() -> (std::net::TcpStream, ClientStatus) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let session = Socket::new(listener.accept().await.unwrap().0).unwrap();
    let status = ClientStatus::default();
    let seen = status.clone();
    tokio::spawn(async move {
        session.peer_closed().await;
        seen.mark_disconnected();
    });
    tokio::task::yield_now().await; // the task now waits for the disconnect
    (client, status)
}

/// Guards against a request that is written for a client that disconnected during a stall: the attempt may run before
/// the runtime has polled the client's socket.
#[tokio::test]
async fn nothing_is_written_after_a_stall_in_which_the_client_disconnected() {
    let stalls = StallMonitor::new();
    let metrics = Arc::new(Metrics::default());
    tokio::spawn(stalls.clone().run(metrics.clone()));
    let cache = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = cache.local_addr().unwrap();
    let pooled = ServerConnection::open(addr, false).await.unwrap();
    let mut served = cache.accept().unwrap().0;
    let (client, status) = watched_client().await;
    let conditions = SendConditions { client: status, stalls, ..SendConditions::default() };
    let permit = SendPermit::new(ServingFlag::new(), conditions);
    let target = Target { addr, origin: false, permit };

    let attempt = tokio::spawn(async move {
        // The client disconnects and the thread blocks, so that no socket is polled before the attempt runs.
        drop(client);
        thread::sleep(STALL);
        let request = Arc::new(request());
        let identity = RequestIdentity::new(&request, Idempotency::Idempotent);
        let relay = RelayContext {
            budget: MemoryBudget::new(0),
            reservation: ReplyReservation::default(),
            turn: ReplyTurn::default(),
            on_start: Box::new(|_| {}),
        };
        let deadline = Instant::now() + WAIT;
        let connect_timeout = WAIT;
        let attempt = Attempt {
            target,
            pooled: Some(pooled),
            request,
            identity,
            deadline,
            connect_timeout,
            metrics,
            relay,
        };
        attempt.run().await.0.outcome
    });
    let outcome =
        timeout(WAIT, attempt).await.expect("the attempt waits for a reply, so it has written the request");
    assert_eq!(outcome.unwrap(), Outcome::NotSent);
    let mut written = Vec::new();
    served.read_to_end(&mut written).unwrap();
    assert_eq!(written, b"");
}
