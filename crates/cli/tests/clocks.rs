//! A machine's wall clock may be an hour off, or be stepped while a node runs: a server that has just started is in
//! slow start all the same, and for no longer than it is cold.
//!
//! How many reads a server in slow start gets depends on how long they take, so that each call is checked against the
//! quota at its own time.

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
const WARM_ID: &str = "s-5be2a07c";
const STARTED_ID: &str = "s-9c41d2f0";
/// A started server is warm after this time in these tests. It is long compared to the time that the reads of one round
/// take on a busy machine, during which the server warms up already.
const SLOW_START_TIME: Duration = Duration::from_secs(6);
/// The part of its capacity that a server has at its start.
const START_CAPACITY: f64 = 0.2;
/// A server in slow start is overloaded by this multiple of its capacity within [`OVERLOAD_WINDOW`].
const OVERLOAD_FACTOR: f64 = 3.0;
/// The window in which the calls to a server in slow start are counted.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);
/// A node's estimate of its load decays over this part of the time in which a server warms up.
const LOAD_DECAY: f64 = 0.25;
const READS: usize = 200;
/// The tolerance for times in the log, which are whole microseconds of a clock that the node reads at another instant
/// than the test.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(1);
/// The maximum time from an event until its line is in the log, which a separate thread of the node writes.
const LOG_DELAY: Duration = Duration::from_millis(200);
/// A shell command that starts the node with a log line for each attempt at a server in slow start.
const SHELL_WITH_TRACE: &str = "exec \"$0\" node --log info,stonefold_node::driver=trace";

/// A request that a cache received.
struct Arrival {
    id: String,
    at: Instant,
}

/// Lets a cache answer each request, and returns a channel that reports them.
fn answer_all(cache: FakeServer) -> Receiver<Arrival> {
    let (to, calls) = channel();
    thread::spawn(move || {
        loop {
            let Some(mut call) = cache.try_next_call() else {
                thread::sleep(Duration::from_micros(100));
                continue;
            };
            let arrived = Arrival { id: call.words[2].clone(), at: Instant::now() };
            // Reported before the reply, so that a client which has the reply finds the report.
            if to.send(arrived).is_err() {
                return;
            }
            call.try_reply("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n");
        }
    });
    calls
}

/// The reads of one round.
struct Round {
    /// When each read was sent.
    sent: Vec<Instant>,
    /// The calls that the started server received, in this order.
    calls: Vec<Arrival>,
}

/// Reads different keys, one after the other.
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

/// The bounds of the instant at which something happened.
#[derive(Clone, Copy)]
struct TimeBounds {
    earliest: Instant,
    latest: Instant,
}

/// Answers the node's calls to discovery with this change of the list until the node has read it; returns the next
/// call, which waits for the next change. A call that the node has given up meanwhile is answered, too, without effect.
fn publish_change(discovery: &FakeServer, watch: Call, version: u64, servers: &str) -> Call {
    let list = format!(r#"{{"version":{version},"full":false,"servers":[{servers}]}}"#);
    let mut call = watch;
    while !call.words[1].contains(&format!("after={version}&")) {
        call.try_reply_http("200 OK", &list);
        call = discovery.next_call();
    }
    call
}

/// The id of a read and the age of its server, from the line that the node logged when it sent the read to a server in
/// slow start.
fn logged_age(line: &str) -> (String, Duration) {
    let field = |name: &str| {
        let (_, rest) = line.split_once(&format!("{name}=")).unwrap_or_else(|| panic!("no {name}: {line}"));
        rest.split(' ').next().unwrap_or_default().to_owned()
    };
    (field("request"), Duration::from_micros(field("age_us").parse().unwrap()))
}

/// Asserts that the node knew at each call when the server had started, and that the server was in slow start.
fn assert_ages_known(
    case: &str,
    round: &Round,
    events: &Receiver<String>,
    started: TimeBounds,
    slow_start: Duration,
) {
    let mut ages: HashMap<String, Duration> = HashMap::new();
    for call in round.calls.iter().filter(|call| call.at < started.earliest + slow_start) {
        // A separate thread writes the log: a line may come after the reply.
        while !ages.contains_key(&call.id) {
            let line = events.recv_timeout(TEST_TIMEOUT);
            let line = line.unwrap_or_else(|_| {
                panic!("{case}: read {} went to a server that the node took for warm", call.id)
            });
            ages.extend([logged_age(&line)]);
        }
        let age = ages[&call.id];
        let sent = round.sent[call.id.parse::<usize>().unwrap()];
        let least = sent.saturating_duration_since(started.latest);
        let most = call.at - started.earliest;
        assert!(
            age + CLOCK_TOLERANCE >= least && age <= most + CLOCK_TOLERANCE,
            "{case}: at read {} the server was {age:?} old to the node, in truth {least:?} to {most:?}",
            call.id
        );
    }
}

/// Asserts that a server in slow start got no more calls in any window than its capacity allowed at that time. Its
/// quota opens gradually within `opening`, from when its start was published.
fn assert_within_quota(
    case: &str,
    round: &Round,
    published: TimeBounds,
    started: Instant,
    slow_start: Duration,
    opening: Duration,
) {
    // The load that the node knows of is at most all reads so far.
    let max_known_load = 2.0 * READS as f64 / (slow_start.as_secs_f64() * LOAD_DECAY);
    let calls: Vec<Instant> = round.calls.iter().map(|call| call.at).collect();
    for (n, &at) in calls.iter().enumerate() {
        let age = (at - started).as_secs_f64() / slow_start.as_secs_f64();
        if age >= 1.0 {
            return;
        }
        let capacity = max_known_load / 2.0 * (START_CAPACITY + (1.0 - START_CAPACITY) * age);
        let budget = OVERLOAD_FACTOR * capacity * OVERLOAD_WINDOW.as_secs_f64();
        let open_part = (at - published.earliest).as_secs_f64() / opening.as_secs_f64();
        let most = (budget + 2.0 * budget.sqrt()) * open_part.min(1.0) + 2.0;
        let in_window = calls[..=n].iter().filter(|&&call| call + OVERLOAD_WINDOW > at).count();
        assert!(
            in_window as f64 <= most,
            "{case}: {in_window} calls within a second, {:?} after the start was published; at most {most:.0}",
            at - published.earliest
        );
    }
}

/// Starts a server while a node runs whose wall clock is this far ahead. Asserts that the node knows at each call when
/// the server started, keeps to the quota of slow start, and takes the server for warm in time.
fn check_slow_start_with_clock(ahead_ms: i64) {
    let case = format!("{ahead_ms} ms ahead");
    let plan = FaultPlan::new(1).unwrap();
    plan.step_clock(ahead_ms).unwrap();
    let library = library_beside(&std::env::current_exe().unwrap()).unwrap();
    let (warm, started, origin, discovery) =
        (FakeServer::cache(), FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let (warm_addr, started_addr) = (warm.addr, started.addr);
    let slow_start = format!(r#""Cold":{}.0"#, SLOW_START_TIME.as_millis());
    let settings = SETTINGS.replace(r#""Cold":20000.0"#, &slow_start);
    let known = server_list(41, &[(WARM_ID, warm_addr)], origin.addr);
    let options = NodeOptions {
        settings: &settings,
        shell: SHELL_WITH_TRACE,
        keep_log_open: true,
        ..NodeOptions::new(&known, discovery.addr)
    };
    let mut node = NodeOptions { environment: plan.environment(&library).into(), ..options }.start();
    let events = node.logged_events("attempt_to_warming_server");
    let (_warm, started) = (answer_all(warm), answer_all(started));
    // The changes since the known list. Then reads give the node a load, from which it derives the servers' capacity.
    let watch = publish_change(&discovery, discovery.next_call(), 42, "");
    assert_eq!(read_all(&node, &started).calls.len(), 0);
    // A server starts while the node runs.
    let earliest = Instant::now();
    let watch = publish_change(&discovery, watch, 43, &entry_started_now(STARTED_ID, started_addr));
    read_one(&node); // the driver handles this read after the list
    let published = TimeBounds { earliest, latest: Instant::now() };
    let round = read_all(&node, &started);
    assert_ages_known(&case, &round, &events, published, SLOW_START_TIME);
    assert_within_quota(&case, &round, published, published.earliest, SLOW_START_TIME, OVERLOAD_WINDOW);
    // As the only cache it now gets all reads, which a server in slow start would not.
    thread::sleep((published.latest + SLOW_START_TIME).saturating_duration_since(Instant::now()));
    let _watch = publish_change(&discovery, watch, 44, &server_entry(WARM_ID, warm_addr, "m", "DRAINING"));
    read_one(&node);
    events.try_iter().for_each(drop);
    let round = read_all(&node, &started);
    let reached: HashSet<&str> = round.calls.iter().map(|call| call.id.as_str()).collect();
    assert_eq!(reached.len(), READS, "{case}: once the server is warm");
    thread::sleep(LOG_DELAY);
    assert_eq!(events.try_iter().next(), None, "{case}: once the server is warm");
}

/// Guards against a start time that is wrong by as much as the wall clock of the node: up to an hour ahead or behind.
#[test]
fn slow_start_is_kept_by_a_node_whose_wall_clock_is_wrong() {
    const AHEAD_MS: [i64; 5] = [0, HOUR_MS, 5_000, -5_000, -HOUR_MS];
    // All cases run at once, so that none has the machine to itself.
    thread::scope(|scope| {
        let cases = AHEAD_MS.map(|ahead_ms| scope.spawn(move || check_slow_start_with_clock(ahead_ms)));
        for case in cases {
            case.join().unwrap();
        }
    });
}

/// Guards against a clock that was an hour ahead at the first list and is still believed after a later start shows what
/// time it is: the servers of the first list would count as warm.
#[test]
fn published_start_corrects_a_clock_that_was_ahead_at_the_first_list() {
    /// The time in the settings.
    const SLOW_START_TIME: Duration = Duration::from_secs(20);
    let plan = FaultPlan::new(2).unwrap();
    plan.step_clock(HOUR_MS).unwrap();
    let library = library_beside(&std::env::current_exe().unwrap()).unwrap();
    let (warm, started, next) = (FakeServer::cache(), FakeServer::cache(), FakeServer::cache());
    let (origin, discovery) = (FakeServer::http(), FakeServer::http());
    // One server starts right before the node, another while the node runs.
    let started_earliest = Instant::now();
    let entries = [
        server_entry(WARM_ID, warm.addr, "m", "SERVING"),
        entry_started_now(STARTED_ID, started.addr),
        server_entry("o", origin.addr, "origin", "SERVING"),
    ];
    let started_latest = Instant::now();
    let known = format!(r#"{{"version":41,"full":true,"servers":[{}]}}"#, entries.join(","));
    let options = NodeOptions {
        shell: SHELL_WITH_TRACE,
        keep_log_open: true,
        ..NodeOptions::new(&known, discovery.addr)
    };
    let mut node = NodeOptions { environment: plan.environment(&library).into(), ..options }.start();
    let events = node.logged_events("attempt_to_warming_server");
    let next_addr = next.addr;
    let (_warm, started, _next) = (answer_all(warm), answer_all(started), answer_all(next));
    let watch = publish_change(&discovery, discovery.next_call(), 42, "");
    let taken_for_warm = read_all(&node, &started);
    assert!(taken_for_warm.calls.len() * 3 > READS, "{} of {READS}", taken_for_warm.calls.len());
    let earliest = Instant::now();
    let _watch = publish_change(&discovery, watch, 43, &entry_started_now("s-next", next_addr));
    read_one(&node); // the driver handles this read after the list
    let published = TimeBounds { earliest, latest: Instant::now() };
    let in_slow_start = read_all(&node, &started);
    // The node takes the delay of the publication for a part of its clock's error: the start seems later by as much.
    let start_as_known =
        TimeBounds { earliest: started_earliest, latest: started_latest + (published.latest - earliest) };
    assert_ages_known("corrected", &in_slow_start, &events, start_as_known, SLOW_START_TIME);
    // The node is younger than the server: the server's whole quota is open soon after the node's start.
    let opening = Duration::from_nanos(1);
    assert_within_quota("corrected", &in_slow_start, published, started_earliest, SLOW_START_TIME, opening);
}

/// The list entry of a server that starts now, by the true time.
fn entry_started_now(id: &str, server: SocketAddr) -> String {
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    server_entry(id, server, "m", "SERVING")
        .replace(r#""started_ms":0"#, &format!(r#""started_ms":{now_ms}"#))
}
