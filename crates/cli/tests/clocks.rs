//! A machine's wall clock may be an hour off, or be stepped while a node runs: a server that has just started is spared
//! all the same, and for no longer than it is cold.
//!
//! How many reads a server in slow start gets depends on how long they take, so that each call is judged by the quota at
//! its own time.

#[path = "common/fakes.rs"]
mod fakes;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fakes::*;
use stonefold_faults::{FaultPlan, library_beside};

const HOUR_MS: i64 = 3_600_000;
const WARM: &str = "s-5be2a07c";
const STARTED: &str = "s-9c41d2f0";
/// A started server is warm after this time in these tests: long against what the reads of one round take on a busy
/// machine, in which it warms up already.
const COLD: Duration = Duration::from_secs(6);
/// The part of its capacity that a server has at its start.
const COLD_FROM: f64 = 0.2;
/// A server in slow start is overloaded by this multiple of its capacity ...
const OVERLOAD_FACTOR: f64 = 3.0;
/// ... within a window of this length.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);
/// A node's estimate of its load forgets in this part of the time in which a server warms up.
const LOAD_MEMORY: f64 = 0.25;
const READS: usize = 200;
/// Times in the log are whole microseconds of a clock that is read apart from the test's.
const ROUNDING: Duration = Duration::from_millis(1);
/// By now what has happened before is in the log, which a thread of its own writes.
const LOG_DELAY: Duration = Duration::from_millis(200);
/// Logs each attempt at a server that warms up.
const TRACED: &str = "exec \"$0\" node --log info,stonefold_node::driver=trace";

/// A call that a cache got.
struct Arrival {
    id: String,
    at: Instant,
}

/// A cache that answers whatever it is asked, and tells of each call.
fn answering(cache: FakeServer) -> Receiver<Arrival> {
    let (to, calls) = channel();
    thread::spawn(move || {
        loop {
            let Some(mut call) = cache.try_next_call() else {
                thread::sleep(Duration::from_micros(100));
                continue;
            };
            let arrived = Arrival { id: call.words[2].clone(), at: Instant::now() };
            // Told before the answer, so that whoever has the answer knows of the call.
            if to.send(arrived).is_err() {
                return;
            }
            call.try_reply("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n");
        }
    });
    calls
}

/// What came of the reads of one round.
struct Round {
    /// When each read was sent.
    sent: Vec<Instant>,
    /// The calls that the started server got, in their order.
    calls: Vec<Arrival>,
}

/// Reads of different keys, one after the other.
fn read_all(node: &Node, started: &Receiver<Arrival>) -> Round {
    started.try_iter().for_each(drop);
    let mut client = node.client();
    let mut sent = Vec::new();
    for n in 0..READS {
        sent.push(Instant::now());
        client.send(&["CACHE.GET", &format!("k{n}"), &n.to_string(), "c=read,d=2000"]);
        assert_eq!(client.read_reply().as_deref(), Some("v"));
    }
    Round { sent, calls: started.try_iter().collect() }
}

fn read_one(node: &Node) {
    let mut client = node.client();
    client.send(&["CACHE.GET", "one", "one", "c=read,d=2000"]);
    assert_eq!(client.read_reply().as_deref(), Some("v"));
}

/// When something happened: not before the first, and not after the second.
#[derive(Clone, Copy)]
struct Between {
    earliest: Instant,
    latest: Instant,
}

/// Answers discovery's caller with this change of the list until the node has read it; returns its next call, which waits
/// for the next change. A call that it has given up in the meantime is answered too, to nobody.
fn tell(discovery: &FakeServer, waiting: Call, version: u64, servers: &str) -> Call {
    let list = format!(r#"{{"version":{version},"full":false,"servers":[{servers}]}}"#);
    let mut call = waiting;
    while !call.words[1].contains(&format!("after={version}&")) {
        call.try_reply_http("200 OK", &list);
        call = discovery.next_call();
    }
    call
}

/// The age that the node logged for a server in slow start, as it sent it a read.
fn logged_age(line: &str) -> (String, Duration) {
    let field = |name: &str| {
        let (_, rest) = line.split_once(&format!("{name}=")).unwrap_or_else(|| panic!("no {name}: {line}"));
        rest.split(' ').next().unwrap_or_default().to_owned()
    };
    (field("request"), Duration::from_micros(field("age_us").parse().unwrap()))
}

/// Asserts that the node knew at each call since when the server runs, and that it was warming up.
fn assert_start_known(
    what: &str,
    round: &Round,
    events: &Receiver<String>,
    started: Between,
    cold: Duration,
) {
    let mut ages: HashMap<String, Duration> = HashMap::new();
    for call in round.calls.iter().filter(|call| call.at < started.earliest + cold) {
        // A thread of its own writes the log: a line may come after its answer.
        while !ages.contains_key(&call.id) {
            let line = events.recv_timeout(TEST_TIMEOUT);
            let line =
                line.unwrap_or_else(|_| panic!("{what}: read {} went to a server taken for warm", call.id));
            ages.extend([logged_age(&line)]);
        }
        let age = ages[&call.id];
        let sent = round.sent[call.id.parse::<usize>().unwrap()];
        let least = sent.saturating_duration_since(started.latest);
        let most = call.at - started.earliest;
        assert!(
            age + ROUNDING >= least && age <= most + ROUNDING,
            "{what}: at read {} the server was {age:?} old to the node, in truth {least:?} to {most:?}",
            call.id
        );
    }
}

/// Asserts that a server which has started got no more calls in any window than it bears then. The calls are opened to
/// it gradually within `opening`, from when its start was told.
fn assert_spared(
    what: &str,
    round: &Round,
    told: Between,
    started: Instant,
    cold: Duration,
    opening: Duration,
) {
    // The node knows of no more load than all reads so far.
    let known_load = 2.0 * READS as f64 / (cold.as_secs_f64() * LOAD_MEMORY);
    let calls: Vec<Instant> = round.calls.iter().map(|call| call.at).collect();
    for (n, &at) in calls.iter().enumerate() {
        let age = (at - started).as_secs_f64() / cold.as_secs_f64();
        if age >= 1.0 {
            return;
        }
        let capacity = known_load / 2.0 * (COLD_FROM + (1.0 - COLD_FROM) * age);
        let budget = OVERLOAD_FACTOR * capacity * OVERLOAD_WINDOW.as_secs_f64();
        let open_for = (at - told.earliest).as_secs_f64() / opening.as_secs_f64();
        let most = (budget + 2.0 * budget.sqrt()) * open_for.min(1.0) + 2.0;
        let in_window = calls[..=n].iter().filter(|&&call| call + OVERLOAD_WINDOW > at).count();
        assert!(
            in_window as f64 <= most,
            "{what}: {in_window} calls within a second, {:?} after the start was told; at most {most:.0}",
            at - told.earliest
        );
    }
}

/// A server starts while a node runs whose wall clock is so far ahead: the node knows at each call since when it runs,
/// spares it, and takes it for warm in its time.
fn starts_beside_a_clock(ahead_ms: i64) {
    let what = format!("{ahead_ms} ms ahead");
    let plan = FaultPlan::new(1).unwrap();
    plan.step_clock(ahead_ms).unwrap();
    let library = library_beside(&std::env::current_exe().unwrap()).unwrap();
    let (warm, started, origin, discovery) =
        (FakeServer::cache(), FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let (warm_at, started_at) = (warm.addr, started.addr);
    let cold = format!(r#""Cold":{}.0"#, COLD.as_millis());
    let settings = SETTINGS.replace(r#""Cold":20000.0"#, &cold);
    let known = server_list(41, &[(WARM, warm_at)], origin.addr);
    let start = NodeOptions {
        settings: &settings,
        shell: TRACED,
        keep_log_open: true,
        ..NodeOptions::new(&known, discovery.addr)
    };
    let mut node = NodeOptions { environment: plan.environment(&library).into(), ..start }.start();
    let events = node.logged_events("attempt_to_warming_server");
    let (_warm, started) = (answering(warm), answering(started));
    // What it missed before it ran; and its own load tells a node what servers stand.
    let watch = tell(&discovery, discovery.next_call(), 42, "");
    assert_eq!(read_all(&node, &started).calls.len(), 0);
    // Then a start while it runs.
    let earliest = Instant::now();
    let watch = tell(&discovery, watch, 43, &started_now(STARTED, started_at));
    read_one(&node); // the driver takes this read after the list
    let told = Between { earliest, latest: Instant::now() };
    let round = read_all(&node, &started);
    assert_start_known(&what, &round, &events, told, COLD);
    assert_spared(&what, &round, told, told.earliest, COLD, OVERLOAD_WINDOW);
    // Alone it gets all reads, as no server does that is taken for cold.
    thread::sleep((told.latest + COLD).saturating_duration_since(Instant::now()));
    let _watch = tell(&discovery, watch, 44, &server_entry(WARM, warm_at, "m", "DRAINING"));
    read_one(&node);
    events.try_iter().for_each(drop);
    let round = read_all(&node, &started);
    let reached: HashSet<&str> = round.calls.iter().map(|call| call.id.as_str()).collect();
    assert_eq!(reached.len(), READS, "{what}: once it is warm");
    thread::sleep(LOG_DELAY);
    assert_eq!(events.try_iter().next(), None, "{what}: once it is warm");
}

/// Guards against a start that is believed to be as far off as the wall clock is.
#[test]
fn a_server_that_starts_is_spared_by_a_node_whose_wall_clock_is_an_hour_off() {
    const AHEAD_MS: [i64; 5] = [0, HOUR_MS, 5_000, -5_000, -HOUR_MS];
    // All beside each other, so that none has the machine to itself.
    thread::scope(|scope| {
        let cases = AHEAD_MS.map(|ahead_ms| scope.spawn(move || starts_beside_a_clock(ahead_ms)));
        for case in cases {
            case.join().unwrap();
        }
    });
}

/// Guards against a clock ahead at the first list being believed after a start shows what time it is.
#[test]
fn a_start_that_is_told_shows_a_clock_that_was_ahead_when_the_first_list_came() {
    /// As the settings have it.
    const COLD: Duration = Duration::from_secs(20);
    let plan = FaultPlan::new(2).unwrap();
    plan.step_clock(HOUR_MS).unwrap();
    let library = library_beside(&std::env::current_exe().unwrap()).unwrap();
    let (warm, started, next) = (FakeServer::cache(), FakeServer::cache(), FakeServer::cache());
    let (origin, discovery) = (FakeServer::http(), FakeServer::http());
    // One has started right before the node, another starts while it runs.
    let started_earliest = Instant::now();
    let entries = [
        server_entry(WARM, warm.addr, "m", "SERVING"),
        started_now(STARTED, started.addr),
        server_entry("o", origin.addr, "origin", "SERVING"),
    ];
    let started_latest = Instant::now();
    let known = format!(r#"{{"version":41,"full":true,"servers":[{}]}}"#, entries.join(","));
    let start =
        NodeOptions { shell: TRACED, keep_log_open: true, ..NodeOptions::new(&known, discovery.addr) };
    let mut node = NodeOptions { environment: plan.environment(&library).into(), ..start }.start();
    let events = node.logged_events("attempt_to_warming_server");
    let next_at = next.addr;
    let (_warm, started, _next) = (answering(warm), answering(started), answering(next));
    let watch = tell(&discovery, discovery.next_call(), 42, "");
    let taken_for_warm = read_all(&node, &started);
    assert!(taken_for_warm.calls.len() * 3 > READS, "{} of {READS}", taken_for_warm.calls.len());
    let earliest = Instant::now();
    let _watch = tell(&discovery, watch, 43, &started_now("s-next", next_at));
    read_one(&node); // the driver takes this read after the list
    let told = Between { earliest, latest: Instant::now() };
    let spared = read_all(&node, &started);
    // The delay of the report counts as a part of what the clock is ahead: the start seems later by as much.
    let known_start =
        Between { earliest: started_earliest, latest: started_latest + (told.latest - earliest) };
    assert_start_known("corrected", &spared, &events, known_start, COLD);
    // The node is younger than the server: its quota is open whole some time after its own start.
    let opening = Duration::from_nanos(1);
    assert_spared("corrected", &spared, told, started_earliest, COLD, opening);
}

/// The entry of a server that has started now, by the true time.
fn started_now(id: &str, server: SocketAddr) -> String {
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    server_entry(id, server, "m", "SERVING")
        .replace(r#""started_ms":0"#, &format!(r#""started_ms":{now_ms}"#))
}
