//! A process serves soon after its start, whatever discovery does, and tells how long that took.

#[path = "common/fakes.rs"]
mod fakes;

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";
const IN_TIME: Duration = Duration::from_secs(10);

/// Starts a process where lists are followed in this way; waits until it says that it serves, and serves. Tells how
/// long that took, from outside.
fn ready(mode: &str, cache: &FakeServer, origin: SocketAddr, discovery: SocketAddr) -> Duration {
    let (known, settings) =
        (server_list(41, &[(CACHE, cache.addr)], origin), SETTINGS.replace("automatic", mode));
    let begun = Instant::now();
    let start = NodeOptions {
        settings: &settings,
        operator: true,
        keep_log_open: true,
        ..NodeOptions::new(&known, discovery)
    };
    let mut node = start.start();
    while node.operator_call("READY\n") != "ok\n" {
        assert!(begun.elapsed() < TEST_TIMEOUT, "not ready");
    }
    let took = begun.elapsed();
    let mut client = node.client();
    client.send_get("k", "c=read,d=15000");
    cache.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    // Both tell the same, which is no longer than it was from outside.
    let shown = Duration::from_secs_f64(node.metric("svc_ready_seconds"));
    let line = node.logged_event("ready");
    let (_, field) = line.split_once("took_ms=").expect(&line);
    let told = Duration::from_millis(field.split_whitespace().next().unwrap().parse().unwrap());
    assert!(
        told <= took && shown.abs_diff(told) <= Duration::from_millis(1),
        "{told:?}, {shown:?} of {took:?}"
    );
    took
}

/// Starts processes in both ways of following lists.
fn ready_with(discovery: SocketAddr) {
    for mode in ["automatic", "subscribe"] {
        let (cache, origin) = (FakeServer::cache(), FakeServer::http());
        let took = ready(mode, &cache, origin.addr, discovery);
        println!("{mode}: {took:?}");
        assert!(took < IN_TIME, "{mode}: {took:?}");
    }
}

#[test]
fn a_process_is_ready_in_time_while_discovery_is_down() {
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    ready_with(gone);
}

#[test]
fn a_process_is_ready_in_time_while_discovery_is_silent() {
    ready_with(FakeServer::http().addr); // takes calls and answers none
}

#[test]
fn a_process_is_ready_in_time_while_connects_to_discovery_hang() {
    let discovery = BackloggedServer::http();
    ready_with(discovery.addr);
}

#[test]
fn a_process_is_ready_in_time_while_discovery_turns_all_calls_away() {
    let discovery = FakeServer::http();
    let at = discovery.addr;
    thread::spawn(move || {
        loop {
            discovery.next_call().reply_http("503 Service Unavailable", "");
        }
    });
    ready_with(at);
}

#[test]
fn nine_of_ten_processes_that_start_at_once_before_a_silent_discovery_are_ready_in_time() {
    let discovery = FakeServer::http();
    for mode in ["automatic", "subscribe"] {
        let start = || {
            let (cache, origin) = (FakeServer::cache(), FakeServer::http());
            ready(mode, &cache, origin.addr, discovery.addr)
        };
        let mut took: Vec<Duration> = thread::scope(|scope| {
            let processes: Vec<_> = (0..10).map(|_| scope.spawn(start)).collect();
            processes.into_iter().map(|process| process.join().unwrap()).collect()
        });
        took.sort();
        println!("{mode}: {took:?}");
        assert!(took[8] < IN_TIME, "{mode}: {took:?}");
    }
}
