//! Tests of the models: service times, capacity, rules, bounds and reproducibility.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::PathBuf;

use proptest::prelude::*;
use stonefold_config::{Count, DurationMicros, Fraction, Layers, Positive, Size, load};
use stonefold_model::site::{CacheKind, OriginKind, RuleThresholds, Site};
use stonefold_model::{
    Answer, Cache, ClientRequest, Clients, Discovery, Fetch, Job, Listed, Micros, Origin, Outcome, Rejection,
    RuleChecker, State, Verdict, Work,
};

const MS: Micros = 1_000;

fn kind() -> CacheKind {
    CacheKind {
        cores: Count::new(2),
        slots: Count::new(4),
        queue: Count::new(3),
        memory: Size::new(1000),
        handshake: DurationMicros::new(0),
        ..CacheKind::default()
    }
}

fn cache(kind: &CacheKind) -> Cache {
    Cache::new(kind, &RuleThresholds::default(), 1, 0, 0)
}

fn read(key: &str, cost: f64) -> Job {
    Job { work: Work::Read(key.into()), cost, deadline: Micros::MAX }
}

#[test]
fn processor_sharing_ends_requests_at_the_analytic_times() {
    // Four requests of 10 ms share two cores: each gets half a core, so all end at 20 ms.
    let (mut server, mut done) = (cache(&kind()), Vec::new());
    for _ in 0..4 {
        server.offer(0, read("k", 10e3), &mut done).unwrap();
    }
    assert_eq!(server.next_event(), Some(20 * MS));
    server.advance(20 * MS, &mut done);
    assert_eq!(done.len(), 4);
    // Three requests of 10, 30 and 30 ms share two cores.
    done.clear();
    let start = 20 * MS;
    server.offer(start, read("k", 10e3), &mut done).unwrap();
    let long = server.offer(start, read("k", 30e3), &mut done).unwrap();
    server.offer(start, read("k", 30e3), &mut done).unwrap();
    // With three requests on two cores, 10 ms of work takes 15 ms; then each of the other two has a core.
    assert_eq!(server.next_event(), Some(start + 15 * MS));
    assert!(server.cancel(start + 15 * MS, long, &mut done));
    server.advance(start + 35 * MS, &mut done);
    assert_eq!(done.len(), 2, "one request ended at 15 ms, one at 35 ms; the cancelled one did not");
}

#[test]
fn a_server_gains_capacity_while_warming_up_and_collapses_at_three_times_its_capacity() {
    let mut kind = kind();
    kind.warm_up = DurationMicros::new(10_000 * MS);
    kind.warm_up_from = Fraction::new(0.3);
    let mut server = cache(&kind);
    server.start(0);
    assert!((server.capacity(0) - 0.6).abs() < 1e-9 && (server.capacity(5_000 * MS) - 1.3).abs() < 1e-9);
    // The limit is three times 0.6 cores for 1.5 s, which is 2.7 s of work: 2.6 s are accepted, more is not.
    let mut done = Vec::new();
    for n in 0..26 {
        let _ = server.offer(n, read("k", 100e3), &mut done);
        assert!(!server.is_down(), "after {n}");
    }
    let _ = server.offer(30, read("k", 200e3), &mut done);
    assert!(server.is_down());
    assert_eq!(server.offer(40, read("k", 1.0), &mut done), Err(Rejection::Down));
    server.start(1_000 * MS);
    assert!(!server.is_down() && server.objects() == 0);
    // A server that is warm rejects excess requests and does not collapse.
    server.advance(20_000 * MS, &mut done);
    for _ in 0..100 {
        let _ = server.offer(20_000 * MS, read("k", 100e3), &mut done);
    }
    assert!(!server.is_down());
}

#[test]
fn misses_pending_fetches_invalidation_and_expiry_follow_the_protocol() {
    let mut kind = kind();
    kind.time_to_live = DurationMicros::new(1_000 * MS);
    let (mut server, mut ends) = (cache(&kind), Vec::new());
    let mut request = |server: &mut Cache, now: Micros| {
        let mut done = Vec::new();
        server.offer(now, read("k", 0.0), &mut done).unwrap();
        ends.push(done[0].outcome);
    };
    request(&mut server, 1);
    request(&mut server, 2);
    server.insert(3, "k", 70);
    request(&mut server, 4);
    server.invalidate("k");
    request(&mut server, 5);
    server.insert(6, "k", 70);
    request(&mut server, 1_000 * MS + 6);
    assert_eq!(ends, [Outcome::Miss, Outcome::Pending, Outcome::Hit(70), Outcome::Miss, Outcome::Miss]);
}

#[test]
fn a_load_report_is_published_late_with_the_load_at_its_sampling() {
    let mut kind = kind();
    (kind.report_every, kind.report_delay) = (DurationMicros::new(1_000 * MS), DurationMicros::new(200 * MS));
    kind.report_noise = Fraction::new(0.0);
    let (mut server, mut done) = (cache(&kind), Vec::new());
    for _ in 0..6 {
        server.offer(0, read("k", 5_000e3), &mut done).unwrap();
    }
    let queue = |server: &mut Cache, at: Micros| server.report(at * MS).queue;
    // Sampled at 1 ms with two queued; published from 201 ms on; the next is sampled at 1,001 ms.
    assert_eq!([1, 200, 201].map(|at| queue(&mut server, at)), [0.0, 0.0, 2.0]);
    server.offer(300 * MS, read("k", 1.0), &mut done).unwrap();
    assert_eq!([300, 1_001, 1_200, 1_201].map(|at| queue(&mut server, at)), [2.0, 2.0, 2.0, 3.0]);
}

#[test]
fn an_origin_stops_after_sustained_overload_and_reports_the_warm_up_share() {
    let kind = OriginKind {
        workers: Count::new(10),
        time: DurationMicros::new(100 * MS),
        queue: Count::new(10),
        ..OriginKind::default()
    };
    let mut origin = Origin::new(&kind, 1);
    assert_eq!(origin.capacity(), 100.0);
    let (mut done, mut lost, mut sent) = (Vec::new(), Vec::new(), 0);
    // Under a sustained load of 2.4 times its capacity the origin rejects requests but does not stop.
    for n in 0..2400 {
        origin.offer(n * 10_000 / 24 * 10, Fetch { write: false, warming_up: false }, &mut done, &mut lost);
        sent += 1;
    }
    assert!(origin.overload_outages().is_empty(), "{sent}");
    let start = 20_000 * MS;
    for n in 0..800 {
        origin.offer(start + n * 1000, Fetch { write: false, warming_up: n % 2 == 0 }, &mut done, &mut lost);
    }
    let outages = origin.overload_outages();
    assert_eq!(outages.len(), 1);
    assert!((outages[0].warm_up_share - 0.5).abs() < 0.01);
    assert!(
        !lost.is_empty()
            && origin.is_stopped(outages[0].at + 4_999 * MS)
            && !origin.is_stopped(outages[0].at + 5_000 * MS)
    );
}

#[test]
fn the_rule_checker_finds_each_rule_violation() {
    type Case<'a> = (&'a str, &'a dyn Fn(&mut RuleChecker), fn(&Verdict) -> u64);
    let rules = RuleThresholds::default();
    let broken = |observe: &dyn Fn(&mut RuleChecker)| {
        let mut checker = RuleChecker::new(&rules);
        observe(&mut checker);
        checker.verdict()
    };
    let late = 1_000 * MS + rules.answer_slack.us() + 1;
    let cases: [Case; 9] = [
        (
            "lost",
            &|j| {
                j.request_accepted(1, 1_000 * MS);
                j.expire_requests(late);
            },
            |v| v.lost,
        ),
        (
            "late",
            &|j| {
                j.request_accepted(1, 1_000 * MS);
                j.request_answered(late, 1, Answer::Served);
            },
            |v| v.lost,
        ),
        (
            "duplicate answer",
            &|j| {
                j.request_accepted(1, MS);
                j.request_answered(0, 1, Answer::Served);
                j.request_answered(0, 1, Answer::Failed);
            },
            |v| v.duplicate_answers,
        ),
        (
            "abandoned",
            &|j| {
                j.request_accepted(1, MS);
                j.request_abandoned(1);
            },
            |v| v.lost,
        ),
        ("unexpected answer", &|j| j.unexpected_answer(), |v| v.duplicate_answers),
        (
            "wrong",
            &|j| {
                j.request_accepted(1, MS);
                j.request_answered(0, 1, Answer::Wrong);
            },
            |v| v.wrong,
        ),
        (
            "grace",
            &|j| {
                j.server_notified(0, 1, 2, false);
                j.request_sent(551 * MS, 1, 2);
            },
            |v| v.sent_after_grace,
        ),
        (
            "warm-up collapse",
            &|j| {
                j.server_collapsed();
                j.origin_stopped(0.2);
            },
            |v| v.warm_up_collapses,
        ),
        (
            "repeated run",
            &|j| {
                j.request_run(0, "a", 10);
                j.request_run(9, "a", 10);
                j.request_run(10, "a", 10);
            },
            |v| v.repeated_runs,
        ),
    ];
    for (name, observe, figure) in cases {
        let verdict = broken(observe);
        assert_eq!((figure(&verdict), verdict.rules_broken()), (1, 1), "{name}: {verdict:?}");
    }
    let compliant = broken(&|j| {
        j.request_accepted(1, MS);
        j.request_answered(0, 1, Answer::Rejected);
        j.server_notified(0, 1, 2, false);
        j.request_sent(550 * MS, 1, 2);
        j.request_sent(900 * MS, 2, 2);
        j.server_notified(0, 1, 2, true);
        j.request_sent(900 * MS, 1, 2);
        j.server_notified(0, 3, 2, false);
        j.node_restarted(3);
        j.request_sent(900 * MS, 3, 2);
    });
    assert_eq!((compliant.rules_broken(), compliant.rejected), (0, 1));
}

#[test]
fn discovery_delays_changes_in_order_per_server_and_fails_calls_under_overload() {
    let site = example("twelve");
    let mut discovery = Discovery::new(&site.discovery, 1, 0..3);
    let drain = Listed { server: 1, state: State::Draining, started: 0 };
    discovery.record_change(0, drain);
    discovery.record_change(1, Listed { state: State::Deleted, ..drain });
    assert_eq!(discovery.listing_since(Some(1)).servers, []);
    let mut states = Vec::new();
    while let Some(at) = discovery.next_event() {
        let before = discovery.version();
        discovery.advance(at);
        states.extend(discovery.listing_since(Some(before)).servers.iter().map(|l| l.state));
    }
    assert_eq!(states, [State::Draining, State::Deleted]);
    let all = discovery.listing_since(None);
    assert!(all.full && all.servers.len() == 2 && all.version == 3);
    assert!(discovery.listing_since(Some(99)).full, "an unknown later version gets the full list");
    let answered = (0..1000).filter(|_| discovery.call(0).is_some()).count();
    assert_eq!(answered, 101, "50 calls a second for 2 s, plus the one served at once");
    discovery.set_unavailable_until(10);
    assert!(discovery.call(9).is_none());
}

fn example(name: &str) -> Site {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("../../deploy/sites/{name}.toml"));
    load::<Site>(&Layers { file: Some(path), ..Layers::default() }).unwrap().tree
}

/// The events of a small site as text: reads at the cache servers by key, and the misses at the origin.
fn trace(seed: u64) -> String {
    let site = example("twelve");
    let (mut clients, mut origin) = (Clients::new(&site, 400.0, seed), Origin::new(&site.origin, seed));
    let mut caches: Vec<Cache> =
        (0..4).map(|n| Cache::new(&site.caches[0], &site.rules, seed, n, 0)).collect();
    let (mut text, mut done, mut fetched) = (String::new(), Vec::new(), Vec::new());
    for _ in 0..2000 {
        let request = clients.next_request();
        let server = (request.key % 4) as usize;
        let job = Job {
            work: Work::Read(request.key.to_string()),
            cost: request.cost,
            deadline: request.at + request.deadline,
        };
        let offered = caches[server].offer(request.at, job, &mut done);
        writeln!(text, "{request:?} {offered:?} {:?}", caches[server].report(request.at)).unwrap();
        for one in done.drain(..).filter(|done| done.outcome == Outcome::Miss) {
            let id = origin.offer(
                request.at,
                Fetch { write: false, warming_up: false },
                &mut fetched,
                &mut Vec::new(),
            );
            writeln!(text, "{one:?} {id:?}").unwrap();
            caches[server].insert(request.at, &request.key.to_string(), 1000);
        }
        writeln!(text, "{:?}", std::mem::take(&mut fetched)).unwrap();
    }
    text
}

#[test]
fn the_same_seed_gives_an_identical_trace_and_another_seed_a_different_one() {
    let first = trace(7);
    assert_eq!(first, trace(7));
    assert_ne!(first, trace(8));
    assert!(first.contains("End") || first.contains("Miss"));
}

#[test]
fn arrivals_match_the_rate_the_shares_and_the_key_range() {
    let site = example("twelve");
    let mut clients = Clients::new(&site, 1000.0, 3);
    let requests: Vec<ClientRequest> = (0..50_000).map(|_| clients.next_request()).collect();
    let seconds = requests.last().unwrap().at as f64 / 1e6;
    assert!((seconds - 50.0).abs() < 1.5, "{seconds}");
    let part =
        |of: &dyn Fn(&ClientRequest) -> bool| requests.iter().filter(|a| of(a)).count() as f64 / 50_000.0;
    assert!((part(&|a| a.class == 1) - 0.05).abs() < 0.005);
    // The tenant has a share of 0.44 and sends twice that, of a total of 0.44 × 2 + 0.56.
    assert!((part(&|a| a.tenant == Some(0)) - 0.88 / 1.44).abs() < 0.02);
    assert!(requests.iter().all(|a| a.key < 20_000 && a.zone < 4));
}

#[test]
fn invalid_sites_are_rejected_with_the_key_and_the_reason() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites/twelve.toml");
    let good = std::fs::read_to_string(path).unwrap();
    let fault = |text: &str| format!("{good}\n[[fault]]\n{text}");
    let cases = [
        (good.replacen("count = 7", "count = 0", 1), "cache[0].count", "1 to 100000"),
        (good.replacen("\"8MiB\"", "\"-8MiB\"", 1), "cache[0].memory", "a size of"),
        (good.replacen("share = 0.95", "share = 0.5", 1), "class", "add up to 0.550"),
        (good.replacen("[\"8ms\", \"15ms\"]", "[\"15ms\", \"8ms\"]", 1), "network.cross_zone", "not be less"),
        (good.replacen("window = \"5s\"", "", 1), "class[1].window", "above 0s"),
        (good.replacen("moves_per_s = 0.5", "moves_per_s = -1", 1), "keys.moves_per_s", "0 to 1000000"),
        (fault("kind = \"kill\"\nserver = \"c-12\""), "fault[0].server", "c-0 to c-11"),
        (fault("kind = \"kill\""), "fault[0].kind", "needs server, part or zone"),
        (fault("kind = \"slow\"\nserver = \"c-1\""), "fault[0].factor", "how many times slower"),
        (fault("kind = \"melt\"\nserver = \"c-1\""), "fault[0].kind", "unknown variant `melt`"),
        (fault("kind = \"partition\"\nzone = \"up\""), "fault[0].zone", "none of network.zones"),
    ];
    for (text, key, reason) in cases {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("site.toml");
        std::fs::write(&path, text).unwrap();
        let error =
            load::<Site>(&Layers { file: Some(path), ..Layers::default() }).err().unwrap().to_string();
        assert!(error.contains(&format!(" {key}: ")) && error.contains(reason), "{error}");
    }
    example("twohundred");
}

#[derive(Clone, Debug)]
enum Step {
    Offer { key: u8, cost: u32, timeout: u32 },
    Cancel(u8),
    Insert { key: u8, size: u16 },
    Slow(u8),
    Stop,
    Start,
    Wait(u32),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..8u8, 0..40_000u32, 1..100_000u32).prop_map(|(key, cost, timeout)| Step::Offer { key, cost, timeout }),
        2 => any::<u8>().prop_map(Step::Cancel),
        2 => (0..8u8, 0..1500u16).prop_map(|(key, size)| Step::Insert { key, size }),
        1 => (0..4u8).prop_map(Step::Slow),
        1 => Just(Step::Stop),
        1 => Just(Step::Start),
        4 => (0..50_000u32).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Requests in service, queued requests and bytes never exceed the slots, the queue and the memory; every admitted
    /// request ends exactly once, and eventually all end.
    #[test]
    fn a_cache_server_stays_within_its_bounds_and_ends_each_request_once(
        steps in proptest::collection::vec(any_step(), 1..200),
    ) {
        let mut kind = kind();
        kind.pause_every = DurationMicros::new(20 * MS);
        kind.pause = DurationMicros::new(5 * MS);
        kind.errors = Fraction::new(0.1);
        kind.speed = Positive::new(0.7);
        let mut server = cache(&kind);
        let (mut now, mut open, mut done) = (0, BTreeSet::new(), Vec::new());
        for step in steps {
            match step {
                Step::Offer { key, cost, timeout } => {
                    let deadline = now + Micros::from(timeout);
                    let job = Job { work: Work::Read(key.to_string()), cost: cost.into(), deadline };
                    if let Ok(id) = server.offer(now, job, &mut done) {
                        prop_assert!(open.insert(id), "the identifier was already in use");
                    }
                }
                Step::Cancel(n) => {
                    if let Some(&id) = open.iter().nth(n as usize % open.len().max(1)) {
                        if server.cancel(now, id, &mut done) {
                            open.remove(&id);
                        }
                        prop_assert!(!server.cancel(now, id, &mut done), "a job was cancelled twice");
                    }
                }
                Step::Insert { key, size } => server.insert(now, &key.to_string(), size.into()),
                Step::Slow(factor) => server.set_slowdown(now, factor.into(), &mut done),
                Step::Stop => {
                    let lost = server.stop(now);
                    // `stop` discards the completions up to the stop together with the process.
                    open.clear();
                    done.clear();
                    prop_assert!(lost.len() <= 7);
                }
                Step::Start => {
                    server.start(now);
                    open.clear();
                    done.clear();
                }
                Step::Wait(us) => {
                    now += Micros::from(us);
                    server.advance(now, &mut done);
                }
            }
            for one in done.drain(..) {
                prop_assert!(open.remove(&one.id), "{one:?} ended twice or was never admitted");
            }
            prop_assert!(server.in_service() <= 4 && server.queued() <= 3);
            prop_assert!(server.bytes() <= 1000);
            prop_assert!(server.in_service() == 4 || server.queued() == 0, "a slot is free while a request is queued");
        }
        server.set_slowdown(now, 1.0, &mut done);
        server.advance(now + 10_000 * MS, &mut done);
        for one in done.drain(..) {
            prop_assert!(open.remove(&one.id));
        }
        prop_assert!(open.is_empty(), "{open:?} never ended");
        prop_assert_eq!(server.next_event(), None);
    }
}
