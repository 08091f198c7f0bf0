//! A process serves soon after its start, whatever discovery does, and reports how long that took.

#[path = "common/fakes.rs"]
mod fakes;

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";
/// The time within which a process has to serve.
const MAX_START_TIME: Duration = Duration::from_secs(10);

/// Starts a process whose registry mode is `mode`, waits until it reports that it is ready, and checks that it serves.
/// Returns the time that the start took, measured from outside.
fn start_until_ready(mode: &str, cache: &FakeServer, origin: SocketAddr, discovery: SocketAddr) -> Duration {
    let (known, settings) =
        (server_list(41, &[(CACHE, cache.addr)], origin), SETTINGS.replace("automatic", mode));
    let begun = Instant::now();
    let options = NodeOptions {
        settings: &settings,
        operator: true,
        keep_log_open: true,
        ..NodeOptions::new(&known, discovery)
    };
    let mut node = options.start();
    while node.operator_call("READY\n") != "ok\n" {
        assert!(begun.elapsed() < TEST_TIMEOUT, "not ready");
    }
    let took = begun.elapsed();
    let mut client = node.client();
    client.send_get("k", "c=read,d=15000");
    cache.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    // The metric and the log report the same time, which is no longer than the one measured from outside.
    let in_metrics = Duration::from_secs_f64(node.metric("svc_ready_seconds"));
    let line = node.logged_event("ready");
    let (_, field) = line.split_once("took_ms=").expect(&line);
    let logged = Duration::from_millis(field.split_whitespace().next().unwrap().parse().unwrap());
    assert!(
        logged <= took && in_metrics.abs_diff(logged) <= Duration::from_millis(1),
        "{logged:?}, {in_metrics:?} of {took:?}"
    );
    took
}

/// Starts a process in each registry mode, and checks that it is ready in time.
fn assert_ready_in_time(discovery: SocketAddr) {
    for mode in ["automatic", "subscribe"] {
        let (cache, origin) = (FakeServer::cache(), FakeServer::http());
        let took = start_until_ready(mode, &cache, origin.addr, discovery);
        println!("{mode}: {took:?}");
        assert!(took < MAX_START_TIME, "{mode}: {took:?}");
    }
}

/// Guards against a start that waits for a discovery at which nobody listens.
#[test]
fn process_is_ready_in_time_while_discovery_refuses_connections() {
    let closed_port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_ready_in_time(closed_port);
}

/// Guards against a start that waits for the reply of a silent discovery.
#[test]
fn process_is_ready_in_time_while_discovery_never_replies() {
    assert_ready_in_time(FakeServer::http().addr); // accepts requests and never replies
}

/// Guards against a start that waits for a connection to discovery.
#[test]
fn process_is_ready_in_time_while_connecting_to_discovery_hangs() {
    let discovery = BackloggedServer::http();
    assert_ready_in_time(discovery.addr);
}

/// Guards against a start that waits until discovery no longer replies with 503.
#[test]
fn process_is_ready_in_time_while_discovery_rejects_all_requests() {
    let discovery = FakeServer::http();
    let at = discovery.addr;
    thread::spawn(move || {
        loop {
            discovery.next_call().reply_http("503 Service Unavailable", "");
        }
    });
    assert_ready_in_time(at);
}

/// Guards against starts that slow each other down while they wait for the same silent discovery.
#[test]
fn nine_of_ten_simultaneous_starts_are_ready_in_time_with_silent_discovery() {
    let discovery = FakeServer::http();
    for mode in ["automatic", "subscribe"] {
        let start = || {
            let (cache, origin) = (FakeServer::cache(), FakeServer::http());
            start_until_ready(mode, &cache, origin.addr, discovery.addr)
        };
        let mut took: Vec<Duration> = thread::scope(|scope| {
            let processes: Vec<_> = (0..10).map(|_| scope.spawn(start)).collect();
            processes.into_iter().map(|process| process.join().unwrap()).collect()
        });
        took.sort();
        println!("{mode}: {took:?}");
        assert!(took[8] < MAX_START_TIME, "{mode}: {took:?}");
    }
}
