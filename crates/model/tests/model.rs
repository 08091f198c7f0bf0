//! What holds of the models, whatever is done to them.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::PathBuf;

use proptest::prelude::*;
use stonefold_config::{Count, DurationMicros, Fraction, Layers, Positive, Size, load};
use stonefold_model::site::{CacheKind, OriginKind, Rules, Site};
use stonefold_model::*;

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
    Cache::new(kind, &Rules::default(), 1, 0, 0)
}

fn read(key: &str, cost: f64) -> Job {
    Job { work: Work::Read(key.into()), cost, until: Micros::MAX }
}

#[test]
fn requests_share_the_cores_and_end_when_theory_says() {
    // Two cores, four requests of 10 ms: each has half a core. The queue's theory gives 20 ms for all.
    let (mut server, mut done) = (cache(&kind()), Vec::new());
    for _ in 0..4 {
        server.offer(0, read("k", 10e3), &mut done).unwrap();
    }
    assert_eq!(server.next_event(), Some(20 * MS));
    server.advance(20 * MS, &mut done);
    assert_eq!(done.len(), 4);
    // Of two with 10 and 30 ms each has a core; one that comes at 10 ms makes three share two.
    done.clear();
    let start = 20 * MS;
    server.offer(start, read("k", 10e3), &mut done).unwrap();
    let long = server.offer(start, read("k", 30e3), &mut done).unwrap();
    server.offer(start, read("k", 30e3), &mut done).unwrap();
    // Three on two cores: 10 ms of work takes 15; then two run alone.
    assert_eq!(server.next_event(), Some(start + 15 * MS));
    assert!(server.cancel(start + 15 * MS, long, &mut done));
    server.advance(start + 35 * MS, &mut done);
    assert_eq!(done.len(), 2, "one ended at 15 ms, one at 35, and the one called off never");
}

#[test]
fn a_cold_server_grows_and_falls_over_when_sent_three_times_what_it_can() {
    let mut kind = kind();
    kind.cold = DurationMicros::new(10_000 * MS);
    kind.cold_from = Fraction::new(0.3);
    let mut server = cache(&kind);
    server.start(0);
    assert!((server.capacity(0) - 0.6).abs() < 1e-9 && (server.capacity(5_000 * MS) - 1.3).abs() < 1e-9);
    // 0.6 cores, three times, for 1.5 s: 2.7 s of work are too much, 2.6 are not.
    let mut done = Vec::new();
    for n in 0..26 {
        let _ = server.offer(n, read("k", 100e3), &mut done);
        assert!(!server.is_down(), "after {n}");
    }
    let _ = server.offer(30, read("k", 200e3), &mut done);
    assert!(server.is_down());
    assert_eq!(server.offer(40, read("k", 1.0), &mut done), Err(Refusal::Down));
    server.start(1_000 * MS);
    assert!(!server.is_down() && server.objects() == 0);
    // Warm, it only turns away.
    server.advance(20_000 * MS, &mut done);
    for _ in 0..100 {
        let _ = server.offer(20_000 * MS, read("k", 100e3), &mut done);
    }
    assert!(!server.is_down());
}

#[test]
fn misses_fetches_voids_and_ages_as_the_protocol_has_it() {
    let mut kind = kind();
    kind.keeps_for = DurationMicros::new(1_000 * MS);
    let (mut server, mut ends) = (cache(&kind), Vec::new());
    let mut ask = |server: &mut Cache, now: Micros| {
        let mut done = Vec::new();
        server.offer(now, read("k", 0.0), &mut done).unwrap();
        ends.push(done[0].end);
    };
    ask(&mut server, 1);
    ask(&mut server, 2);
    server.keep(3, "k", 70);
    ask(&mut server, 4);
    server.void("k");
    ask(&mut server, 5);
    server.keep(6, "k", 70);
    ask(&mut server, 1_000 * MS + 6);
    assert_eq!(ends, [End::Miss, End::Pending, End::Hit(70), End::Miss, End::Miss]);
}

#[test]
fn a_load_report_is_late_and_as_old_as_its_making() {
    let mut kind = kind();
    (kind.report_every, kind.report_delay) = (DurationMicros::new(1_000 * MS), DurationMicros::new(200 * MS));
    kind.report_noise = Fraction::new(0.0);
    let (mut server, mut done) = (cache(&kind), Vec::new());
    for _ in 0..6 {
        server.offer(0, read("k", 5_000e3), &mut done).unwrap();
    }
    let queue = |server: &mut Cache, at: Micros| server.report(at * MS).queue;
    // Made at 1 ms, when two waited; told from 201 ms on; the next is made at 1,001 ms.
    assert_eq!([1, 200, 201].map(|at| queue(&mut server, at)), [0.0, 0.0, 2.0]);
    server.offer(300 * MS, read("k", 1.0), &mut done).unwrap();
    assert_eq!([300, 1_001, 1_200, 1_201].map(|at| queue(&mut server, at)), [2.0, 2.0, 2.0, 3.0]);
}

#[test]
fn an_origin_stops_after_too_much_for_too_long_and_tells_the_cold_share() {
    let kind = OriginKind {
        workers: Count::new(10),
        time: DurationMicros::new(100 * MS),
        queue: Count::new(10),
        ..OriginKind::default()
    };
    let mut origin = Origin::new(&kind, 1);
    assert_eq!(origin.capacity(), 100.0);
    let (mut done, mut lost, mut sent) = (Vec::new(), Vec::new(), 0);
    // 2.4 times its capacity for long: it turns away, and goes on.
    for n in 0..2400 {
        origin.offer(n * 10_000 / 24 * 10, Fetch { write: false, cold: false }, &mut done, &mut lost);
        sent += 1;
    }
    assert!(origin.spells().is_empty(), "{sent}");
    let start = 20_000 * MS;
    for n in 0..800 {
        origin.offer(start + n * 1000, Fetch { write: false, cold: n % 2 == 0 }, &mut done, &mut lost);
    }
    let spells = origin.spells();
    assert_eq!(spells.len(), 1);
    assert!((spells[0].cold_share - 0.5).abs() < 0.01);
    assert!(
        !lost.is_empty()
            && origin.is_stopped(spells[0].at + 4_999 * MS)
            && !origin.is_stopped(spells[0].at + 5_000 * MS)
    );
}

#[test]
fn each_rule_is_found_broken_when_it_is() {
    type Case<'a> = (&'a str, &'a dyn Fn(&mut Judge), fn(&Verdict) -> u64);
    let rules = Rules::default();
    let broken = |what: &dyn Fn(&mut Judge)| {
        let mut judge = Judge::new(&rules);
        what(&mut judge);
        judge.verdict()
    };
    let late = 1_000 * MS + rules.answer_slack.us() + 1;
    let cases: [Case; 9] = [
        (
            "lost",
            &|j| {
                j.asked(1, 1_000 * MS);
                j.close(late);
            },
            |v| v.lost,
        ),
        (
            "late",
            &|j| {
                j.asked(1, 1_000 * MS);
                j.answered(late, 1, Answer::Served);
            },
            |v| v.lost,
        ),
        (
            "doubled",
            &|j| {
                j.asked(1, MS);
                j.answered(0, 1, Answer::Served);
                j.answered(0, 1, Answer::Failed);
            },
            |v| v.doubled,
        ),
        (
            "abandoned",
            &|j| {
                j.asked(1, MS);
                j.abandoned(1);
            },
            |v| v.lost,
        ),
        ("unasked", &|j| j.unasked(), |v| v.doubled),
        (
            "wrong",
            &|j| {
                j.asked(1, MS);
                j.answered(0, 1, Answer::Wrong);
            },
            |v| v.wrong,
        ),
        (
            "grace",
            &|j| {
                j.told(0, 1, 2, false);
                j.sent(551 * MS, 1, 2);
            },
            |v| v.sent_after_grace,
        ),
        (
            "cold",
            &|j| {
                j.fell();
                j.origin_stopped(0.2);
            },
            |v| v.cold_pushed_over,
        ),
        (
            "twice",
            &|j| {
                j.runs(0, "a", 10);
                j.runs(9, "a", 10);
                j.runs(10, "a", 10);
            },
            |v| v.run_twice,
        ),
    ];
    for (name, what, figure) in cases {
        let verdict = broken(what);
        assert_eq!((figure(&verdict), verdict.rules_broken()), (1, 1), "{name}: {verdict:?}");
    }
    let kept = broken(&|j| {
        j.asked(1, MS);
        j.answered(0, 1, Answer::Refused);
        j.told(0, 1, 2, false);
        j.sent(550 * MS, 1, 2);
        j.sent(900 * MS, 2, 2);
        j.told(0, 1, 2, true);
        j.sent(900 * MS, 1, 2);
        j.told(0, 3, 2, false);
        j.restarted(3);
        j.sent(900 * MS, 3, 2);
    });
    assert_eq!((kept.rules_broken(), kept.refused), (0, 1));
}

#[test]
fn discovery_is_late_keeps_each_servers_order_and_fails_when_overrun() {
    let site = example("twelve");
    let mut discovery = Discovery::new(&site.discovery, 1, 0..3);
    let drain = Listed { server: 1, state: State::Draining, started: 0 };
    discovery.note(0, drain);
    discovery.note(1, Listed { state: State::Deleted, ..drain });
    assert_eq!(discovery.tell(Some(1)).servers, []);
    let mut told = Vec::new();
    while let Some(at) = discovery.next_event() {
        let before = discovery.version();
        discovery.advance(at);
        told.extend(discovery.tell(Some(before)).servers.iter().map(|l| l.state));
    }
    assert_eq!(told, [State::Draining, State::Deleted]);
    let all = discovery.tell(None);
    assert!(all.full && all.servers.len() == 2 && all.version == 3);
    assert!(discovery.tell(Some(99)).full, "who knows more than there is gets the whole list");
    let answered = (0..1000).filter(|_| discovery.call(0).is_some()).count();
    assert_eq!(answered, 101, "50 a second for 2 s, and one at once");
    discovery.away(10);
    assert!(discovery.call(9).is_none());
}

fn example(name: &str) -> Site {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("../../deploy/sites/{name}.toml"));
    load::<Site>(&Layers { file: Some(path), ..Layers::default() }).unwrap().tree
}

/// All that happens at a small site, as text: clients' reads at caches by their key, misses at the origin.
fn trace(seed: u64) -> String {
    let site = example("twelve");
    let (mut clients, mut origin) = (Clients::new(&site, 400.0, seed), Origin::new(&site.origin, seed));
    let mut caches: Vec<Cache> =
        (0..4).map(|n| Cache::new(&site.caches[0], &site.rules, seed, n, 0)).collect();
    let (mut text, mut done, mut fetched) = (String::new(), Vec::new(), Vec::new());
    for _ in 0..2000 {
        let ask = clients.next_ask();
        let server = (ask.key % 4) as usize;
        let job = Job { work: Work::Read(ask.key.to_string()), cost: ask.cost, until: ask.at + ask.deadline };
        let taken = caches[server].offer(ask.at, job, &mut done);
        writeln!(text, "{ask:?} {taken:?} {:?}", caches[server].report(ask.at)).unwrap();
        for one in done.drain(..).filter(|done| done.end == End::Miss) {
            let id = origin.offer(ask.at, Fetch { write: false, cold: false }, &mut fetched, &mut Vec::new());
            writeln!(text, "{one:?} {id:?}").unwrap();
            caches[server].keep(ask.at, &ask.key.to_string(), 1000);
        }
        writeln!(text, "{:?}", std::mem::take(&mut fetched)).unwrap();
    }
    text
}

#[test]
fn the_same_seed_gives_the_same_trace_byte_for_byte_and_another_another() {
    let first = trace(7);
    assert_eq!(first, trace(7));
    assert_ne!(first, trace(8));
    assert!(first.contains("End") || first.contains("Miss"));
}

#[test]
fn arrivals_keep_the_rate_the_shares_and_the_popularity() {
    let site = example("twelve");
    let mut clients = Clients::new(&site, 1000.0, 3);
    let asks: Vec<Ask> = (0..50_000).map(|_| clients.next_ask()).collect();
    let seconds = asks.last().unwrap().at as f64 / 1e6;
    assert!((seconds - 50.0).abs() < 1.5, "{seconds}");
    let part = |of: &dyn Fn(&Ask) -> bool| asks.iter().filter(|a| of(a)).count() as f64 / 50_000.0;
    assert!((part(&|a| a.class == 1) - 0.05).abs() < 0.005);
    // 0.44 at twice its share of 0.44 × 2 + 0.56.
    assert!((part(&|a| a.tenant == Some(0)) - 0.88 / 1.44).abs() < 0.02);
    assert!(asks.iter().all(|a| a.key < 20_000 && a.zone < 4));
}

#[test]
fn bad_sites_are_refused_with_their_place() {
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
    for (text, key, why) in cases {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("site.toml");
        std::fs::write(&path, text).unwrap();
        let told = load::<Site>(&Layers { file: Some(path), ..Layers::default() }).err().unwrap().to_string();
        assert!(told.contains(&format!(" {key}: ")) && told.contains(why), "{told}");
    }
    example("twohundred");
}

#[derive(Clone, Debug)]
enum Step {
    Offer { key: u8, cost: u32, patience: u32 },
    Cancel(u8),
    Keep { key: u8, size: u16 },
    Slow(u8),
    Stop,
    Start,
    Wait(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..8u8, 0..40_000u32, 1..100_000u32).prop_map(|(key, cost, patience)| Step::Offer { key, cost, patience }),
        2 => any::<u8>().prop_map(Step::Cancel),
        2 => (0..8u8, 0..1500u16).prop_map(|(key, size)| Step::Keep { key, size }),
        1 => (0..4u8).prop_map(Step::Slow),
        1 => Just(Step::Stop),
        1 => Just(Step::Start),
        4 => (0..50_000u32).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Never more in service than slots, never more waiting than room, never more bytes than memory; every request
    /// taken ends exactly once; with time, all ends.
    #[test]
    fn a_cache_server_keeps_its_bounds_and_ends_each_request_once(steps in proptest::collection::vec(step(), 1..200)) {
        let mut kind = kind();
        kind.pause_every = DurationMicros::new(20 * MS);
        kind.pause = DurationMicros::new(5 * MS);
        kind.errors = Fraction::new(0.1);
        kind.speed = Positive::new(0.7);
        let mut server = cache(&kind);
        let (mut now, mut open, mut done) = (0, BTreeSet::new(), Vec::new());
        for step in steps {
            match step {
                Step::Offer { key, cost, patience } => {
                    let until = now + Micros::from(patience);
                    let job = Job { work: Work::Read(key.to_string()), cost: cost.into(), until };
                    if let Ok(id) = server.offer(now, job, &mut done) {
                        prop_assert!(open.insert(id), "an id is new");
                    }
                }
                Step::Cancel(n) => {
                    if let Some(&id) = open.iter().nth(n as usize % open.len().max(1)) {
                        if server.cancel(now, id, &mut done) {
                            open.remove(&id);
                        }
                        prop_assert!(!server.cancel(now, id, &mut done), "called off twice");
                    }
                }
                Step::Keep { key, size } => server.keep(now, &key.to_string(), size.into()),
                Step::Slow(factor) => server.slow(now, factor.into(), &mut done),
                Step::Stop => {
                    let lost = server.stop(now);
                    // What ended before the stop is told in `done` by nobody: stop swallows it with the process.
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
                prop_assert!(open.remove(&one.id), "{one:?} ended twice or was never taken");
            }
            prop_assert!(server.in_service() <= 4 && server.waiting() <= 3);
            prop_assert!(server.bytes() <= 1000);
            prop_assert!(server.in_service() == 4 || server.waiting() == 0, "a slot is free while one waits");
        }
        server.slow(now, 1.0, &mut done);
        server.advance(now + 10_000 * MS, &mut done);
        for one in done.drain(..) {
            prop_assert!(open.remove(&one.id));
        }
        prop_assert!(open.is_empty(), "{open:?} never ended");
        prop_assert_eq!(server.next_event(), None);
    }
}
