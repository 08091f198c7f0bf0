//! Fleets of plans before the model of one discovery, in virtual time: how often it is called, how many calls it turns
//! away, and how old a node's list gets. `docs/measurements/discovery-clock.md` has the figures.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use stonefold_model::site::DiscoveryKind;
use stonefold_model::{Discovery, Listed, State};

use crate::discovery::pace::{self, Call, End, Pace};
use crate::message::DiscoverySettings;

/// Microseconds.
type At = u64;

const SECOND: At = 1_000_000;
const TOLD: At = 6 * SECOND;
/// Everything happens from here on; the nodes have started before, each at its own time.
const FROM: At = 40 * SECOND;
const UNTIL: At = 70 * SECOND;
/// What discovery is asked for goes wrong for so long.
const TROUBLE: At = 8 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Day {
    /// Changes alone.
    Calm,
    /// Discovery goes down, which ends the watches, and comes back with a change.
    Gone,
    /// Others call three times as often as discovery bears.
    Crowded,
    /// All open watches fall silent.
    Silent,
    /// The network swallows all that is sent to discovery, and then no more; connects hang.
    Swallowed,
    /// All nodes start in one moment, with an old list.
    Start,
}

const DAYS: [Day; 6] = [Day::Calm, Day::Gone, Day::Crowded, Day::Silent, Day::Swallowed, Day::Start];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A node begins its call.
    Begin(usize),
    /// It is this call's turn: of which node, its how manieth.
    Turn(usize, u64),
    /// Its wait is over.
    Over(usize, u64),
    /// The node gives it up.
    GiveUp(usize, u64),
    Change,
    Trouble,
    /// Somebody else calls.
    Other,
}

#[derive(Clone, Copy, PartialEq)]
enum Stands {
    Nothing,
    Queued,
    Open,
    /// Nothing will ever come.
    Lost,
}

struct Node {
    pace: Pace,
    rng: fastrand::Rng,
    call: Call,
    count: u64,
    began: At,
    stands: Stands,
    version: u64,
    /// What its watch misses counts as told no sooner.
    excused: At,
}

/// What one day of one fleet shows.
#[derive(Default)]
struct Figures {
    calls: u64,
    refused: u64,
    /// The most calls in one second.
    peak: u64,
    second: (At, u64),
    ages: Vec<At>,
    /// Changes that reached a node later than they count as told.
    late: u64,
}

struct Fleet {
    following: DiscoverySettings,
    discovery: Discovery,
    /// Calls of others in a second, in trouble.
    others: f64,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(At, u64, Event)>>,
    sequence: u64,
    now: At,
    away_until: At,
    swallowed_until: At,
    /// From when on each change could be had, by its version less 2.
    changes: Vec<At>,
    figures: Figures,
}

impl Fleet {
    fn new(following: DiscoverySettings, capacity: f64, day: Day, seed: u64) -> Fleet {
        let kind = DiscoveryKind {
            notices_after: serde_json::from_value("0s".into()).expect("a time"),
            calls_per_s: serde_json::from_value(capacity.into()).expect("a rate"),
            ..DiscoveryKind::default()
        };
        let mut rng = fastrand::Rng::with_seed(seed);
        let node = |n: usize| Node {
            pace: Pace::new(!following.watch),
            rng: fastrand::Rng::with_seed(seed ^ (n as u64 + 1) << 20),
            call: Call { pause: Duration::ZERO, wait: Duration::ZERO, limit: Duration::ZERO },
            count: 0,
            began: 0,
            stands: Stands::Nothing,
            version: 1,
            excused: 0,
        };
        let mut fleet = Fleet {
            following,
            discovery: Discovery::new(&kind, seed, 0..12),
            others: 3.0 * capacity,
            nodes: (0..following.node_count).map(node).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            away_until: 0,
            swallowed_until: 0,
            changes: Vec::new(),
            figures: Figures::default(),
        };
        for node in 0..following.node_count {
            let starts = if day == Day::Start { FROM } else { rng.u64(0..FROM / 2) };
            fleet.at(starts, Event::Begin(node));
        }
        let changes = match day {
            Day::Calm => vec![FROM, FROM + 10 * SECOND, FROM + 20 * SECOND],
            Day::Gone | Day::Swallowed => vec![FROM + SECOND, FROM + TROUBLE + SECOND],
            Day::Crowded => vec![FROM + TROUBLE, FROM + TROUBLE + SECOND],
            Day::Silent => vec![FROM + SECOND / 2, FROM + 2 * SECOND],
            Day::Start => vec![FROM - SECOND, FROM + SECOND],
        };
        changes.into_iter().for_each(|at| fleet.at(at, Event::Change));
        match day {
            Day::Gone | Day::Silent | Day::Swallowed => fleet.at(FROM, Event::Trouble),
            Day::Crowded => (0..(TROUBLE as f64 * fleet.others / 1e6) as u64)
                .for_each(|n| fleet.at(FROM + (n as f64 * 1e6 / fleet.others) as At, Event::Other)),
            Day::Calm | Day::Start => {}
        }
        fleet
    }

    fn at(&mut self, at: At, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn play(mut self, day: Day) -> Figures {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > UNTIL {
                break;
            }
            self.now = now;
            match event {
                Event::Begin(node) => self.begin(node),
                Event::Turn(node, count) if self.is_out(node, count, Stands::Queued) => self.turn(node),
                Event::Over(node, count) if self.is_out(node, count, Stands::Open) => self.answer(node),
                Event::GiveUp(node, count) if self.nodes[node].count == count => {
                    if self.nodes[node].stands != Stands::Nothing {
                        self.end(node, End::Silent);
                    }
                }
                Event::Change => self.change(),
                Event::Trouble if day == Day::Gone => self.go(),
                Event::Trouble if day == Day::Silent => self.fall_silent(),
                Event::Trouble => {
                    (self.away_until, self.swallowed_until) = (now + TROUBLE, now + TROUBLE);
                    self.fall_silent();
                }
                Event::Other => _ = self.discovery.call(now),
                Event::Turn(..) | Event::Over(..) | Event::GiveUp(..) => {}
            }
        }
        // Who never heard of it has it no sooner than at the end.
        for node in 0..self.nodes.len() {
            self.take(node, 1 + self.changes.len() as u64);
        }
        self.figures
    }

    fn is_out(&self, node: usize, count: u64, stands: Stands) -> bool {
        self.nodes[node].count == count && self.nodes[node].stands == stands
    }

    fn begin(&mut self, n: usize) {
        let now = self.now;
        if now >= FROM {
            let figures = &mut self.figures;
            figures.calls += 1;
            figures.second = match figures.second {
                (second, calls) if second == now / SECOND => (second, calls + 1),
                _ => (now / SECOND, 1),
            };
            figures.peak = figures.peak.max(figures.second.1);
        }
        let node = &mut self.nodes[n];
        (node.count, node.began, node.stands) = (node.count + 1, now, Stands::Queued);
        let (count, limit) = (node.count, node.call.limit.as_micros() as At);
        if now < self.swallowed_until {
            node.stands = Stands::Lost;
            return self.at(now + limit.min(pace::CONNECT.as_micros() as At), Event::GiveUp(n, count));
        }
        match self.discovery.call(now) {
            Some(turn) => {
                self.at(turn, Event::Turn(n, count));
                self.at(now + limit, Event::GiveUp(n, count));
            }
            None => {
                self.figures.refused += u64::from(now >= FROM);
                self.end(n, if now < self.away_until { End::Broken } else { End::Refused });
            }
        }
    }

    fn turn(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        if node.call.wait.is_zero() || node.version < self.discovery.version() {
            return self.answer(n);
        }
        node.stands = Stands::Open;
        let (over, count) = (self.now + node.call.wait.as_micros() as At, node.count);
        self.at(over, Event::Over(n, count));
    }

    fn answer(&mut self, n: usize) {
        self.take(n, self.discovery.version());
        self.end(n, End::Answered);
    }

    /// The node has the list up to this version.
    fn take(&mut self, n: usize, version: u64) {
        let node = &mut self.nodes[n];
        for had in self.changes.iter().take(version as usize - 1).skip(node.version as usize - 1) {
            let age = self.now.saturating_sub(*had);
            self.figures.ages.push(age);
            self.figures.late += u64::from(self.now > (had + TOLD).max(node.excused));
        }
        node.version = version;
    }

    /// The call has ended, and the next is planned.
    fn end(&mut self, n: usize, end: End) {
        let node = &mut self.nodes[n];
        node.stands = Stands::Nothing;
        if node.count > 0 {
            node.pace.ended(node.call, end, Duration::from_micros(self.now - node.began));
        }
        node.call = node.pace.next(self.following, &mut node.rng);
        let next = self.now + node.call.pause.as_micros() as At;
        self.at(next, Event::Begin(n));
    }

    fn change(&mut self) {
        let listed = Listed { server: self.changes.len() % 12, state: State::Draining, started: 0 };
        self.discovery.note(self.now, listed);
        self.discovery.advance(self.now);
        self.changes.push(self.now.max(self.away_until));
        if self.now >= self.away_until {
            self.each(|stands| stands == Stands::Open, Fleet::answer);
        }
    }

    fn go(&mut self) {
        self.away_until = self.now + TROUBLE;
        self.discovery.away(self.away_until);
        self.each(|stands| stands != Stands::Nothing, |fleet, n| fleet.end(n, End::Broken));
    }

    fn fall_silent(&mut self) {
        for node in self.nodes.iter_mut().filter(|node| node.stands == Stands::Open) {
            node.stands = Stands::Lost;
            // Where lists are asked for a watch may wait for long, and what it misses counts 2 s after its wait.
            let over = node.began + node.call.wait.as_micros() as At + 2 * SECOND;
            node.excused = if self.following.watch { over } else { 0 };
        }
    }

    fn each(&mut self, which: impl Fn(Stands) -> bool, mut tell: impl FnMut(&mut Fleet, usize)) {
        for n in 0..self.nodes.len() {
            if which(self.nodes[n].stands) {
                tell(self, n);
            }
        }
    }
}

fn play(asked: bool, nodes: usize, each: f64, day: Day, seed: u64) -> Figures {
    let following =
        DiscoverySettings { watch: asked, max_poll_interval: Duration::from_secs(10), node_count: nodes };
    let mut fleet = Fleet::new(following, each * nodes as f64, day, seed);
    for n in 0..nodes {
        let node = &mut fleet.nodes[n];
        node.call = node.pace.next(following, &mut node.rng);
    }
    fleet.play(day)
}

/// What discovery answers in a second for each node. The site states 1 to 1.5 times a call of 40 to 60 lines from each
/// node every 5 to 8 s: 0.125 to 0.3. Calls for changes cost less: 0.51 was measured with six nodes before the bench's.
const CAPACITIES: [f64; 4] = [0.125, 0.19, 0.3, FOR_CHANGES];
const FOR_CHANGES: f64 = 0.51;
const SIZES: [usize; 4] = [4, 30, 300, 900];

#[test]
fn before_a_discovery_as_measured_no_change_is_later_than_it_counts_in_a_fleet_of_any_size() {
    for (asked, day) in [true, false].into_iter().flat_map(|asked| DAYS.map(|day| (asked, day))) {
        for (nodes, seed) in SIZES.into_iter().flat_map(|nodes| (1..=5).map(move |seed| (nodes, seed))) {
            let figures = play(asked, nodes, FOR_CHANGES, day, seed);
            let worst = figures.ages.iter().max().unwrap();
            assert_eq!(
                figures.late,
                0,
                "{asked} {day:?} {nodes} {seed}: {worst} of {:?}",
                figures.ages.len()
            );
            assert!(
                *worst < TOLD || asked && [Day::Silent, Day::Swallowed].contains(&day),
                "{asked} {day:?} {nodes} {seed}"
            );
            assert!(day != Day::Calm || figures.refused == 0, "{asked} {nodes} {seed}: {}", figures.refused);
        }
    }
}

#[test]
fn figures_of_fleets_before_one_discovery() {
    println!(
        "| lists | capacity | day | nodes | calls/s | worst second | refused | p50 | p99 | worst age | late |"
    );
    println!("|{}", " --- |".repeat(11));
    for asked in [true, false] {
        for each in CAPACITIES {
            for day in DAYS {
                for nodes in SIZES {
                    let figures = play(asked, nodes, each, day, 1);
                    println!(
                        "| {} | {each} | {day:?} | {nodes} {}",
                        if asked { "asked" } else { "pushed" },
                        row(figures)
                    );
                }
            }
        }
    }
}

fn row(figures: Figures) -> String {
    let Figures { calls, refused, peak, mut ages, late, .. } = figures;
    ages.sort();
    let age = |part: f64| ages[((ages.len() - 1) as f64 * part) as usize] as f64 / 1e6;
    format!(
        "| {:.1} | {peak} | {:.0}% | {:.1} s | {:.1} s | {:.1} s | {late} of {} |",
        calls as f64 * 1e6 / (UNTIL - FROM) as f64,
        100.0 * refused as f64 / calls as f64,
        age(0.5),
        age(0.99),
        age(1.0),
        ages.len()
    )
}
