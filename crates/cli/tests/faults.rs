//! A node whose system calls fail: short and interrupted ones, and those that want for something for a moment. No
//! request goes without its answer.

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
/// Fewer than a node that has just started sends at once: more would wait for a place, and be refused, without any fault.
const CLIENTS: usize = 6;
const READS: usize = 100;
/// A client takes a request for never answered after this time, which is far over its wait.
const NEVER: Duration = Duration::from_secs(6);
const VALUE: &str = "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";

fn library() -> PathBuf {
    let program = std::env::current_exe().unwrap();
    library_beside(&program).expect("the library that makes calls fail, built with this test")
}

/// A server that answers whatever it is asked, until this is dropped.
struct Answering {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Answering {
    fn with(fake: FakeServer, answer: &'static str) -> Answering {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let answering = move || {
            while !stopped.load(Ordering::Relaxed) {
                match fake.try_next_call() {
                    Some(mut call) => call.try_reply(answer),
                    None => thread::sleep(Duration::from_micros(200)),
                }
            }
        };
        Answering { stop, thread: Some(thread::spawn(answering)) }
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// How requests ended.
#[derive(Debug, Default, Clone, Copy)]
struct Ended {
    served: usize,
    refused: usize,
    failed: usize,
    /// The connection was closed before the answer.
    closed: usize,
    never: usize,
}

impl Ended {
    fn add(self, other: Ended) -> Ended {
        Ended {
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
            closed: self.closed + other.closed,
            never: self.never + other.never,
        }
    }
}

/// One client's reads, one after the other; on a new connection after each that was closed.
fn ask(node: &Node, client: usize) -> Ended {
    let mut ended = Ended::default();
    let mut connection = None;
    for n in 0..READS {
        let connected = connection.get_or_insert_with(|| {
            let client = node.client();
            client.stream().set_read_timeout(Some(NEVER)).unwrap();
            client
        });
        let id = format!("id-{client}-{n}");
        connected.try_write(&encode_command(&["CACHE.GET", &format!("k{n}"), &id, "c=read,d=2000"]));
        match connected.read_outcome() {
            Outcome::Reply(answer) if answer == "v" => ended.served += 1,
            Outcome::Reply(answer) if answer.starts_with("-BUSY") => ended.refused += 1,
            Outcome::Reply(_) => ended.failed += 1,
            Outcome::Closed => (ended.closed, connection) = (ended.closed + 1, None),
            Outcome::TimedOut => (ended.never, connection) = (ended.never + 1, None),
        }
    }
    ended
}

/// Reads under these faults, after some without.
fn under(faults: &[(Fault, f64)]) -> (Ended, FaultPlan, Node) {
    let plan = FaultPlan::new(7).unwrap();
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let start = NodeOptions { operator: true, ..NodeOptions::new(&known, FakeServer::http().addr) };
    let node = NodeOptions { environment: plan.environment(&library()).into(), ..start }.start();
    let _cache = Answering::with(cache, VALUE);
    let _origin = Answering::with(origin, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv");
    let calm = ask(&node, CLIENTS);
    assert_eq!(calm.served, READS, "without faults: {calm:?}");
    for &(fault, rate) in faults {
        plan.set(fault, rate).unwrap();
    }
    let ended = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                scope.spawn({
                    let node = &node;
                    move || ask(node, n)
                })
            })
            .collect();
        clients.into_iter().map(|client| client.join().unwrap()).fold(Ended::default(), Ended::add)
    });
    plan.clear().unwrap();
    let injected: u64 = faults.iter().map(|(fault, _)| plan.injected(*fault).unwrap()).sum();
    assert!(injected > 0, "{faults:?} were never injected");
    (ended, plan, node)
}

/// Every request is answered, and nearly all are served.
fn all_answered(faults: &[(Fault, f64)], least_served: f64) {
    let (ended, _plan, node) = under(faults);
    println!("{faults:?}: {ended:?}");
    assert_eq!((ended.closed, ended.never), (0, 0), "{faults:?}: {ended:?}");
    let served = ended.served as f64 / (CLIENTS * READS) as f64;
    assert!(served >= least_served, "{faults:?}: {ended:?}");
    assert_eq!(node.metric(r#"svc_invariant_violations_total{invariant="no_close_owing"}"#), 0.0);
}

#[test]
fn short_reads_and_writes_cost_no_request_its_answer() {
    for rate in [0.01, 0.1, 0.3] {
        all_answered(&[(Fault::ShortRead, rate)], 0.99);
        all_answered(&[(Fault::ShortWrite, rate)], 0.99);
    }
}

#[test]
fn interrupted_calls_cost_no_request_its_answer() {
    for rate in [0.01, 0.1, 0.3] {
        let faults = [Fault::InterruptedRead, Fault::InterruptedWrite, Fault::InterruptedWait];
        all_answered(&faults.map(|fault| (fault, rate)), 0.99);
    }
}

#[test]
fn calls_that_want_for_something_for_a_moment_cost_no_request_its_answer() {
    // Few calls make connections, so that one in a hundred would fail none.
    for rate in [0.1, 0.3] {
        all_answered(&[(Fault::Accept, rate), (Fault::Socket, rate), (Fault::Connect, rate)], 0.0);
    }
}

/// Guards against a shortage of a moment being paid for by clients that rest.
#[test]
fn a_failed_accept_evicts_nobody_while_descriptors_are_free() {
    let plan = FaultPlan::new(7).unwrap();
    let (cache, origin) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let start = NodeOptions::new(&known, FakeServer::http().addr);
    let node = NodeOptions { environment: plan.environment(&library()).into(), ..start }.start();
    // One has not sent anything yet, and one rests after a command.
    let mut resting = [node.client(), node.client()];
    resting[1].ping();
    // Longer than a new connection is spared in any case.
    thread::sleep(Duration::from_millis(400));
    plan.set(Fault::Accept, 1.0).unwrap();
    let mut waiting = node.client();
    thread::sleep(Duration::from_millis(300));
    assert!(plan.injected(Fault::Accept).unwrap() > 10, "accept was tried again and again");
    plan.clear().unwrap();
    waiting.ping();
    for client in &mut resting {
        client.ping();
    }
}

#[test]
fn connections_that_break_cost_no_request_an_answer_on_others() {
    let (ended, plan, _node) = under(&[(Fault::BrokenPath, 0.02)]);
    let broken = plan.injected(Fault::BrokenPath).unwrap() as usize;
    assert_eq!(ended.never, 0, "{ended:?}");
    assert!(ended.closed <= broken, "{broken} broken: {ended:?}");
    assert!(ended.served * 2 >= CLIENTS * READS, "{broken} broken: {ended:?}");
}
