//! A machine's wall clock may be an hour off, or be stepped while a node runs: a server that has just started is spared
//! all the same, and for no longer than it is cold.

#[path = "common/fakes.rs"]
mod fakes;

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fakes::*;
use stonefold_faults::{FaultPlan, library_beside};

const HOUR_MS: i64 = 3_600_000;
const WARM: &str = "s-5be2a07c";
const STARTED: &str = "s-9c41d2f0";
/// A started server is warm after this time in these tests: long against what the reads of one round take on a busy
/// machine, in which it warms up already.
const COLD: Duration = Duration::from_secs(6);
const READS: usize = 200;

/// A cache that answers whatever it is asked, and tells of each call.
fn answering(cache: Fake) -> Receiver<()> {
    let (to, calls) = channel();
    thread::spawn(move || {
        loop {
            let Some(mut call) = cache.called() else {
                thread::sleep(Duration::from_micros(100));
                continue;
            };
            call.try_answer("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n");
            if to.send(()).is_err() {
                return;
            }
        }
    });
    calls
}

/// Reads of different keys, one after the other; tells how many of them the started server got.
fn share_of_started(node: &Node, started: &Receiver<()>) -> usize {
    started.try_iter().for_each(drop);
    let mut client = node.client();
    for n in 0..READS {
        client.send(&["CACHE.GET", &format!("k{n}"), &format!("id-{n}"), "c=read,d=2000"]);
        assert_eq!(client.answer().as_deref(), Some("v"));
    }
    started.try_iter().count()
}

/// How many reads a server gets right after it was told to have started, and once it is warm, by a wall clock that is
/// so far ahead.
fn shares(ahead_ms: i64) -> (usize, usize) {
    let plan = FaultPlan::new(1).unwrap();
    plan.step_clock(ahead_ms).unwrap();
    let library = library_beside(&std::env::current_exe().unwrap()).unwrap();
    let (warm, started, origin, discovery) = (Fake::cache(), Fake::cache(), Fake::http(), Fake::http());
    let (warm_at, started_at) = (warm.addr, started.addr);
    let cold = format!(r#""Cold":{}.0"#, COLD.as_millis());
    let settings = SETTINGS.replace(r#""Cold":20000.0"#, &cold);
    let known = list(41, &[(WARM, warm_at)], origin.addr);
    let start = Start { settings: &settings, ..Start::new(&known, discovery.addr) };
    let node = Start { environment: plan.environment(&library).into(), ..start }.node();
    let (_warm, started) = (answering(warm), answering(started));
    // Its own load tells a node what servers stand.
    assert_eq!(share_of_started(&node, &started), 0);
    // What it missed before it ran, then a start while it runs.
    discovery.call().http("200 OK", r#"{"version":42,"full":false,"servers":[]}"#);
    let entry = started_now(STARTED, started_at);
    let watch = discovery.call();
    watch.http("200 OK", &format!(r#"{{"version":43,"full":false,"servers":[{entry}]}}"#));
    let _watch = discovery.call(); // the change is in force
    let cold = share_of_started(&node, &started);
    thread::sleep(COLD);
    (cold, share_of_started(&node, &started))
}

#[test]
fn a_server_that_starts_is_spared_by_a_node_whose_wall_clock_is_an_hour_off() {
    const OFF: [i64; 4] = [HOUR_MS, 5_000, -5_000, -HOUR_MS];
    let (cold, warm) = shares(0);
    assert!(cold * 3 < warm, "by a sound clock: {cold} of {READS} cold, {warm} warm");
    let off = thread::scope(|scope| {
        OFF.map(|ahead_ms| scope.spawn(move || shares(ahead_ms))).map(|case| case.join().unwrap())
    });
    for (ahead_ms, (off_cold, off_warm)) in OFF.into_iter().zip(off) {
        assert!(
            off_cold * 3 < warm,
            "{ahead_ms} ms ahead: {off_cold} of {READS} cold, {cold} by a sound clock"
        );
        assert!(
            off_warm * 3 > warm * 2,
            "{ahead_ms} ms ahead: {off_warm} of {READS} warm, {warm} by a sound clock"
        );
    }
}

#[test]
fn a_start_that_is_told_shows_a_clock_that_was_ahead_when_the_first_list_came() {
    let plan = FaultPlan::new(2).unwrap();
    plan.step_clock(HOUR_MS).unwrap();
    let library = library_beside(&std::env::current_exe().unwrap()).unwrap();
    let (warm, started, next) = (Fake::cache(), Fake::cache(), Fake::cache());
    let (origin, discovery) = (Fake::http(), Fake::http());
    // One has started right before the node, another starts while it runs.
    let entries = [
        entry(WARM, warm.addr, "m", "SERVING"),
        started_now(STARTED, started.addr),
        entry("o", origin.addr, "origin", "SERVING"),
    ];
    let known = format!(r#"{{"version":41,"full":true,"servers":[{}]}}"#, entries.join(","));
    let start = Start::new(&known, discovery.addr);
    let node = Start { environment: plan.environment(&library).into(), ..start }.node();
    let next_entry = started_now("s-next", next.addr);
    let (_warm, started, _next) = (answering(warm), answering(started), answering(next));
    discovery.call().http("200 OK", r#"{"version":42,"full":false,"servers":[]}"#);
    let watch = discovery.call();
    let taken_for_warm = share_of_started(&node, &started);
    watch.http("200 OK", &format!(r#"{{"version":43,"full":false,"servers":[{next_entry}]}}"#));
    let _watch = discovery.call(); // the change is in force
    let spared = share_of_started(&node, &started);
    assert!(spared * 2 < taken_for_warm, "{spared} of {READS}, {taken_for_warm} while taken for warm");
}

/// The entry of a server that has started now, by the true time.
fn started_now(id: &str, server: SocketAddr) -> String {
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    entry(id, server, "m", "SERVING").replace(r#""started_ms":0"#, &format!(r#""started_ms":{now_ms}"#))
}
