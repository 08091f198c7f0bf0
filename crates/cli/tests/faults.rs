//! A node whose system calls are cut short, interrupted, or fail for a moment for want of a resource. Every request
//! gets its reply.

#[path = "common/fakes.rs"]
mod fakes;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use fakes::*;
use stonefold_faults::{Fault, FaultPlan, library_beside};

const CACHE: &str = "s-5be2a07c";
/// Fewer clients than the requests that a node which has just started sends at once: more requests would wait in the
/// admission queue and be rejected even without a fault.
const CLIENTS: usize = 6;
/// The number of reads of each client.
const READS_PER_CLIENT: usize = 100;
/// After this time, which is far longer than its deadline, a request counts as unanswered.
const NEVER_ANSWERED_AFTER: Duration = Duration::from_secs(6);
const CACHED_VALUE: &str = "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";

fn fault_library() -> PathBuf {
    let program = std::env::current_exe().unwrap();
    library_beside(&program).expect("the fault library, which is built with this test")
}

/// A server that gives the same reply to each request until this value is dropped.
struct ConstantServer {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ConstantServer {
    fn start(server: FakeServer, answer: &'static str) -> ConstantServer {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let reply_to_all = move || {
            while !stopped.load(Ordering::Relaxed) {
                match server.try_next_call() {
                    Some(mut call) => call.try_reply(answer),
                    None => thread::sleep(Duration::from_micros(200)),
                }
            }
        };
        ConstantServer { stop, thread: Some(thread::spawn(reply_to_all)) }
    }
}

impl Drop for ConstantServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// The number of requests by their outcome.
#[derive(Debug, Default, Clone, Copy)]
struct Outcomes {
    served: usize,
    rejected: usize,
    failed: usize,
    /// The connection was closed before the reply.
    closed: usize,
    unanswered: usize,
}

impl Outcomes {
    fn add(self, other: Outcomes) -> Outcomes {
        Outcomes {
            served: self.served + other.served,
            rejected: self.rejected + other.rejected,
            failed: self.failed + other.failed,
            closed: self.closed + other.closed,
            unanswered: self.unanswered + other.unanswered,
        }
    }
}

/// Sends the reads of one client, one after the other. After a close or a timeout the next read uses a new connection.
fn send_reads(node: &Node, client: usize) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut connection = None;
    for n in 0..READS_PER_CLIENT {
        let connected = connection.get_or_insert_with(|| {
            let client = node.client();
            client.stream().set_read_timeout(Some(NEVER_ANSWERED_AFTER)).unwrap();
            client
        });
        let id = format!("id-{client}-{n}");
        connected.try_write(&encode_command(&["CACHE.GET", &format!("k{n}"), &id, "c=read,d=2000"]));
        match connected.read_outcome() {
            Outcome::Reply(answer) if answer == "v" => outcomes.served += 1,
            Outcome::Reply(answer) if answer.starts_with("-BUSY") => outcomes.rejected += 1,
            Outcome::Reply(_) => outcomes.failed += 1,
            Outcome::Closed => (outcomes.closed, connection) = (outcomes.closed + 1, None),
            Outcome::TimedOut => (outcomes.unanswered, connection) = (outcomes.unanswered + 1, None),
        }
    }
    outcomes
}

/// Sends reads without faults from one client, then with these faults from all clients.
fn reads_with_faults(faults: &[(Fault, f64)]) -> (Outcomes, FaultPlan, Node) {
    let plan = FaultPlan::new(7).unwrap();
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let options = NodeOptions { operator: true, ..NodeOptions::new(&known, FakeServer::http().addr) };
    let node = NodeOptions { environment: plan.environment(&fault_library()).into(), ..options }.start();
    let _cache = ConstantServer::start(cache, CACHED_VALUE);
    let _origin = ConstantServer::start(origin, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv");
    let without_faults = send_reads(&node, CLIENTS);
    assert_eq!(without_faults.served, READS_PER_CLIENT, "without faults: {without_faults:?}");
    for &(fault, rate) in faults {
        plan.set(fault, rate).unwrap();
    }
    let outcomes = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                scope.spawn({
                    let node = &node;
                    move || send_reads(node, n)
                })
            })
            .collect();
        clients.into_iter().map(|client| client.join().unwrap()).fold(Outcomes::default(), Outcomes::add)
    });
    plan.clear().unwrap();
    let injected: u64 = faults.iter().map(|(fault, _)| plan.injected(*fault).unwrap()).sum();
    assert!(injected > 0, "{faults:?} were never injected");
    (outcomes, plan, node)
}

/// Asserts that every request is answered, and that at least this part of them is served.
fn assert_all_answered(faults: &[(Fault, f64)], min_served_part: f64) {
    let (outcomes, _plan, node) = reads_with_faults(faults);
    println!("{faults:?}: {outcomes:?}");
    assert_eq!((outcomes.closed, outcomes.unanswered), (0, 0), "{faults:?}: {outcomes:?}");
    let served_part = outcomes.served as f64 / (CLIENTS * READS_PER_CLIENT) as f64;
    assert!(served_part >= min_served_part, "{faults:?}: {outcomes:?}");
    assert_eq!(node.metric(r#"svc_invariant_violations_total{invariant="no_close_owing"}"#), 0.0);
}

/// Guards against bytes that are lost or sent twice when the kernel takes or gives only a part of them.
#[test]
fn short_reads_and_writes_leave_every_request_answered() {
    for rate in [0.01, 0.1, 0.3] {
        assert_all_answered(&[(Fault::ShortRead, rate)], 0.99);
        assert_all_answered(&[(Fault::ShortWrite, rate)], 0.99);
    }
}

/// Guards against a signal that interrupts a system call being taken for the end of a connection.
#[test]
fn interrupted_system_calls_leave_every_request_answered() {
    for rate in [0.01, 0.1, 0.3] {
        let faults = [Fault::InterruptedRead, Fault::InterruptedWrite, Fault::InterruptedWait];
        assert_all_answered(&faults.map(|fault| (fault, rate)), 0.99);
    }
}

/// Guards against requests that are lost because a connection could not be accepted or made for a moment.
#[test]
fn accept_socket_and_connect_failures_leave_every_request_answered() {
    // Only few calls make connections, so that a rate of one in a hundred would make none of them fail.
    for rate in [0.1, 0.3] {
        assert_all_answered(&[(Fault::Accept, rate), (Fault::Socket, rate), (Fault::Connect, rate)], 0.0);
    }
}

/// Guards against idle clients being closed because accepting fails for a moment, though descriptors are free.
#[test]
fn failed_accept_closes_no_idle_client_while_descriptors_are_free() {
    let plan = FaultPlan::new(7).unwrap();
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let options = NodeOptions::new(&known, FakeServer::http().addr);
    let node = NodeOptions { environment: plan.environment(&fault_library()).into(), ..options }.start();
    // One client has not sent anything yet, and one is idle after a command.
    let mut idle = [node.client(), node.client()];
    idle[1].ping();
    // This is longer than the time for which a new connection is never closed.
    thread::sleep(Duration::from_millis(400));
    plan.set(Fault::Accept, 1.0).unwrap();
    let mut waiting = node.client();
    thread::sleep(Duration::from_millis(300));
    assert!(plan.injected(Fault::Accept).unwrap() > 10, "accept was tried again and again");
    plan.clear().unwrap();
    waiting.ping();
    for client in &mut idle {
        client.ping();
    }
}

/// Guards against a broken connection that costs requests on other connections their reply.
#[test]
fn broken_connections_leave_requests_on_others_answered() {
    let (outcomes, plan, _node) = reads_with_faults(&[(Fault::BrokenPath, 0.02)]);
    let broken = plan.injected(Fault::BrokenPath).unwrap() as usize;
    assert_eq!(outcomes.unanswered, 0, "{outcomes:?}");
    assert!(outcomes.closed <= broken, "{broken} broken: {outcomes:?}");
    assert!(outcomes.served * 2 >= CLIENTS * READS_PER_CLIENT, "{broken} broken: {outcomes:?}");
}
