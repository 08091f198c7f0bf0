//! Simulates fleets of poll schedules against the model of one discovery, in virtual time: how often it is polled, how
//! many polls it rejects, and how old the lists of nodes get. `docs/measurements/discovery-clock.md` has the figures.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use stonefold_model::site::DiscoveryKind;
use stonefold_model::{Discovery, Listed, State};

use crate::discovery::poll_schedule::{CONNECT_TIMEOUT, Poll, PollOutcome, PollSchedule};
use crate::message::DiscoverySettings;

mod late_polls;
mod scenario;
mod stats;

use late_polls::LatePoll;
use scenario::{DEADLINE, END, FAULT_DURATION, Micros, SCENARIOS, SECOND, START, Scenario};
use stats::FleetStats;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A node begins its poll.
    Begin(usize),
    /// Discovery takes a poll from its queue. The fields are the node and the number of its poll.
    Dequeued(usize, u64),
    /// The wait of a poll is over.
    WaitOver(usize, u64),
    /// A poll times out.
    TimedOut(usize, u64),
    Change,
    Fault,
    /// Another client polls.
    OtherPoll,
}

#[derive(Clone, Copy, PartialEq)]
enum PollState {
    Idle,
    Queued,
    Open,
    /// The poll will never be answered.
    Lost,
}

struct Node {
    schedule: PollSchedule,
    rng: fastrand::Rng,
    poll: Poll,
    poll_number: u64,
    poll_started: Micros,
    state: PollState,
    version: u64,
    /// The overdue polls that may still be answered, the oldest first.
    late_polls: Vec<LatePoll>,
    /// The earliest time at which changes that the node's silent watch has missed are due.
    missed_changes_due: Micros,
}

struct Fleet {
    settings: DiscoverySettings,
    discovery: Discovery,
    /// Polls per second of other clients during the fault.
    other_polls_per_s: f64,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    now: Micros,
    /// Discovery can't be reached until then.
    down_until: Micros,
    /// Connects to discovery time out until then.
    blackholed_until: Micros,
    /// The time from which each change was available. The index is the change's version less 2.
    changes: Vec<Micros>,
    stats: FleetStats,
}

impl Fleet {
    fn new(settings: DiscoverySettings, capacity: f64, scenario: Scenario, seed: u64) -> Fleet {
        let kind = DiscoveryKind {
            propagation_delay: serde_json::from_value("0s".into()).expect("a time"),
            calls_per_s: serde_json::from_value(capacity.into()).expect("a rate"),
            ..DiscoveryKind::default()
        };
        let mut rng = fastrand::Rng::with_seed(seed);
        let node = |index: usize| Node {
            schedule: PollSchedule::new(!settings.watch),
            rng: fastrand::Rng::with_seed(seed ^ (index as u64 + 1) << 20),
            poll: Poll { backoff: Duration::ZERO, wait: Duration::ZERO, overdue_after: Duration::ZERO },
            poll_number: 0,
            poll_started: 0,
            state: PollState::Idle,
            version: 1,
            late_polls: Vec::new(),
            missed_changes_due: 0,
        };
        let mut fleet = Fleet {
            settings,
            discovery: Discovery::new(&kind, seed, 0..12),
            other_polls_per_s: 3.0 * capacity,
            nodes: (0..settings.node_count).map(node).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            down_until: 0,
            blackholed_until: 0,
            changes: Vec::new(),
            stats: FleetStats::default(),
        };
        for node in 0..settings.node_count {
            let starts = if scenario == Scenario::FleetStart { START } else { rng.u64(0..START / 2) };
            fleet.schedule(starts, Event::Begin(node));
        }
        for at in scenario.changes() {
            fleet.schedule(at, Event::Change);
        }
        fleet.schedule_fault(scenario);
        fleet
    }

    fn schedule_fault(&mut self, scenario: Scenario) {
        match scenario {
            Scenario::Down | Scenario::WatchesSilent | Scenario::Blackholed => {
                self.schedule(START, Event::Fault);
            }
            Scenario::Overloaded => {
                for number in 0..(FAULT_DURATION as f64 * self.other_polls_per_s / 1e6) as u64 {
                    let at = START + (number as f64 * 1e6 / self.other_polls_per_s) as Micros;
                    self.schedule(at, Event::OtherPoll);
                }
            }
            Scenario::Calm | Scenario::FleetStart => {}
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn simulate(mut self, scenario: Scenario) -> FleetStats {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > END {
                break;
            }
            self.now = now;
            match event {
                Event::Begin(node) => self.begin(node),
                Event::Dequeued(node, poll_number)
                    if self.is_current(node, poll_number, PollState::Queued) =>
                {
                    self.dequeue(node);
                }
                Event::WaitOver(node, poll_number) if self.is_current(node, poll_number, PollState::Open) => {
                    self.answer(node);
                }
                Event::Dequeued(node, poll_number) => self.dequeue_late(node, poll_number),
                Event::WaitOver(node, poll_number) => {
                    self.answer_late(node, poll_number, |state| state == PollState::Open);
                }
                Event::TimedOut(node, poll_number) if self.nodes[node].poll_number == poll_number => {
                    if self.nodes[node].state != PollState::Idle {
                        self.time_out(node);
                    }
                }
                Event::Change => self.change(),
                Event::Fault if scenario == Scenario::Down => self.take_discovery_down(),
                Event::Fault if scenario == Scenario::WatchesSilent => self.silence_watches(),
                Event::Fault => {
                    (self.down_until, self.blackholed_until) = (now + FAULT_DURATION, now + FAULT_DURATION);
                    self.silence_watches();
                }
                Event::OtherPoll => _ = self.discovery.call(now),
                Event::TimedOut(..) => {}
            }
        }
        // A change that never reached a node counts as received at the end.
        for node in 0..self.nodes.len() {
            self.receive_list(node, 1 + self.changes.len() as u64);
        }
        self.stats
    }

    fn is_current(&self, index: usize, poll_number: u64, state: PollState) -> bool {
        self.nodes[index].poll_number == poll_number && self.nodes[index].state == state
    }

    fn begin(&mut self, index: usize) {
        let now = self.now;
        if now >= START {
            self.stats.count_poll(now);
        }
        let node = &mut self.nodes[index];
        (node.poll_number, node.poll_started, node.state) = (node.poll_number + 1, now, PollState::Queued);
        let (poll_number, timeout) = (node.poll_number, node.poll.overdue_after.as_micros() as Micros);
        if now < self.blackholed_until {
            node.state = PollState::Lost;
            return self.schedule(
                now + timeout.min(CONNECT_TIMEOUT.as_micros() as Micros),
                Event::TimedOut(index, poll_number),
            );
        }
        match self.discovery.call(now) {
            Some(dequeued_at) => {
                self.schedule(dequeued_at, Event::Dequeued(index, poll_number));
                self.schedule(now + timeout, Event::TimedOut(index, poll_number));
            }
            None => {
                self.stats.rejected += u64::from(now >= START);
                self.end(
                    index,
                    if now < self.down_until { PollOutcome::Broken } else { PollOutcome::Rejected },
                );
            }
        }
    }

    fn dequeue(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.poll.wait.is_zero() || node.version < self.discovery.version() {
            return self.answer(index);
        }
        node.state = PollState::Open;
        let (wait_end, poll_number) = (self.now + node.poll.wait.as_micros() as Micros, node.poll_number);
        self.schedule(wait_end, Event::WaitOver(index, poll_number));
    }

    fn answer(&mut self, index: usize) {
        self.nodes[index].late_polls.clear();
        self.receive_list(index, self.discovery.version());
        self.end(index, PollOutcome::Answered);
    }

    /// The node receives the list of this version.
    fn receive_list(&mut self, index: usize, version: u64) {
        let node = &mut self.nodes[index];
        for available_at in self.changes.iter().take(version as usize - 1).skip(node.version as usize - 1) {
            let age = self.now.saturating_sub(*available_at);
            self.stats.ages.push(age);
            self.stats.late += u64::from(self.now > (available_at + DEADLINE).max(node.missed_changes_due));
        }
        node.version = version;
    }

    /// Ends the node's poll and schedules the next.
    fn end(&mut self, index: usize, outcome: PollOutcome) {
        let node = &mut self.nodes[index];
        node.state = PollState::Idle;
        if node.poll_number > 0 {
            node.schedule.on_end(node.poll, outcome, Duration::from_micros(self.now - node.poll_started));
        }
        node.poll = node.schedule.next(self.settings, &mut node.rng);
        let next = self.now + node.poll.backoff.as_micros() as Micros;
        self.schedule(next, Event::Begin(index));
    }

    fn change(&mut self) {
        let listed = Listed { server: self.changes.len() % 12, state: State::Draining, started: 0 };
        self.discovery.record_change(self.now, listed);
        self.discovery.advance(self.now);
        self.changes.push(self.now.max(self.down_until));
        if self.now >= self.down_until {
            self.for_each_in(|state| state == PollState::Open, Fleet::answer);
            self.answer_open_late_polls();
        }
    }

    fn take_discovery_down(&mut self) {
        self.down_until = self.now + FAULT_DURATION;
        self.discovery.set_unavailable_until(self.down_until);
        self.nodes.iter_mut().for_each(|node| node.late_polls.clear());
        self.for_each_in(
            |state| state != PollState::Idle,
            |fleet, index| fleet.end(index, PollOutcome::Broken),
        );
    }

    fn silence_watches(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.late_polls.clear());
        for node in self.nodes.iter_mut().filter(|node| node.state == PollState::Open) {
            node.state = PollState::Lost;
            // A watch of a shared discovery may wait for long. The changes that it misses are due 2 s after its wait.
            let due = node.poll_started + node.poll.wait.as_micros() as Micros + 2 * SECOND;
            node.missed_changes_due = if self.settings.watch { due } else { 0 };
        }
    }

    fn for_each_in(&mut self, which: impl Fn(PollState) -> bool, mut action: impl FnMut(&mut Fleet, usize)) {
        for index in 0..self.nodes.len() {
            if which(self.nodes[index].state) {
                action(self, index);
            }
        }
    }
}

fn simulate(
    watch_required: bool,
    nodes: usize,
    capacity_per_node: f64,
    scenario: Scenario,
    seed: u64,
) -> FleetStats {
    let settings = DiscoverySettings {
        watch: watch_required,
        max_poll_interval: Duration::from_secs(10),
        node_count: nodes,
    };
    let mut fleet = Fleet::new(settings, capacity_per_node * nodes as f64, scenario, seed);
    for index in 0..nodes {
        let node = &mut fleet.nodes[index];
        node.poll = node.schedule.next(settings, &mut node.rng);
    }
    fleet.simulate(scenario)
}

/// The polls per second and node that discovery can answer. The last is for polls for changes, the others for full
/// lists.
const CAPACITIES: [f64; 4] = [0.125, 0.19, 0.3, CAPACITY_FOR_CHANGES];
const CAPACITY_FOR_CHANGES: f64 = 0.51;
const SIZES: [usize; 4] = [4, 30, 300, 900];

/// Nodes whose polls queue at discovery, fail together or fall silent must still learn of each change in time.
#[test]
fn every_change_meets_the_notification_deadline_in_a_fleet_of_any_size() {
    for (watch_required, scenario) in [true, false]
        .into_iter()
        .flat_map(|watch_required| SCENARIOS.map(|scenario| (watch_required, scenario)))
    {
        for (nodes, seed) in SIZES.into_iter().flat_map(|nodes| (1..=5).map(move |seed| (nodes, seed))) {
            let stats = simulate(watch_required, nodes, CAPACITY_FOR_CHANGES, scenario, seed);
            let worst = stats.ages.iter().max().unwrap();
            assert_eq!(
                stats.late,
                0,
                "{watch_required} {scenario:?} {nodes} {seed}: {worst} of {:?}",
                stats.ages.len()
            );
            assert!(
                *worst < DEADLINE
                    || watch_required && [Scenario::WatchesSilent, Scenario::Blackholed].contains(&scenario),
                "{watch_required} {scenario:?} {nodes} {seed}"
            );
            assert!(
                scenario != Scenario::Calm || stats.rejected == 0,
                "{watch_required} {nodes} {seed}: {}",
                stats.rejected
            );
        }
    }
}

/// Has no asserts: prints the table of results by capacity, scenario and fleet size.
#[test]
fn prints_poll_rates_and_list_ages_of_fleets() {
    println!(
        "| lists | capacity | scenario | nodes | polls/s | worst second | rejected | p50 | p99 | worst age | late |"
    );
    println!("|{}", " --- |".repeat(11));
    for watch_required in [true, false] {
        for capacity_per_node in CAPACITIES {
            for scenario in SCENARIOS {
                for nodes in SIZES {
                    let stats = simulate(watch_required, nodes, capacity_per_node, scenario, 1);
                    println!(
                        "| {} | {capacity_per_node} | {scenario:?} | {nodes} {}",
                        if watch_required { "watched" } else { "pushed" },
                        stats.row()
                    );
                }
            }
        }
    }
}
