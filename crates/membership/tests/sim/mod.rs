//! Simulation of a fleet in virtual time: detectors, a network that loses, delays and duplicates datagrams, and the
//! events that the detectors report. The same seed reproduces the same run.
#![allow(dead_code)] // each program that includes this module uses a part of it

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use stonefold_membership::{
    Claim, Codec, Detector, Event, MemberId, Message, Micros, Output, Profile, Settings, State, Update,
};

pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;
/// The Unix time at which a run starts, in milliseconds.
pub(crate) const EPOCH_MS: u64 = 1_790_000_000_000;
/// The length of the IP and UDP headers, in bytes.
const HEADER_BYTES: u64 = 28;
/// The number of datagrams that fit in the socket buffer of a paused process. Further ones are lost.
const SOCKET_BUFFER: usize = 400;

/// Defects that a run has on purpose, to show that the checks detect them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    /// A node does not detect its own pauses, and declares members failed without a confirming probe.
    IgnoresPause,
    /// Only the confirming probe is missing. The checks find nothing, since detecting pauses suffices.
    NoConfirmingProbe,
    /// Refutations are ignored.
    IgnoresRefutation,
    /// An update about an outdated incarnation counts as current.
    StaleIncarnationWins,
}

/// Whether a message notifies its receiver that it was declared failed.
fn is_failure_notice(message: &Message, receiver: MemberId) -> bool {
    let is_notice = |update: &Update| update.id == receiver && matches!(update.claim, Claim::Failed { .. });
    message.updates.iter().any(is_notice)
}

/// The loss, duplication and delay of datagrams, the same on every link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    /// The fraction of datagrams that are lost.
    pub(crate) loss: f64,
    /// The fraction of datagrams that are sent twice.
    pub(crate) duplicated: f64,
    /// The shortest and the longest delay of a datagram.
    pub(crate) delay: (Micros, Micros),
}

impl Network {
    pub(crate) const RELIABLE: Network =
        Network { loss: 0.0, duplicated: 0.0, delay: (100, 2 * MILLISECOND) };
    pub(crate) const LOSSY: Network =
        Network { loss: 0.3, duplicated: 0.05, delay: (100, 200 * MILLISECOND) };

    pub(crate) fn with_loss(loss: f64) -> Network {
        Network { loss, ..Network::LOSSY }
    }
}

/// What happens at a point in virtual time.
enum SimulationEvent {
    /// A datagram arrives.
    Deliver { to: usize, from: usize, bytes: Vec<u8> },
    /// A node's timer fires, unless its generation is outdated.
    Wake { node: usize, generation: u64 },
    /// A paused process goes on.
    Resume { node: usize },
}

/// An event in the queue.
struct ScheduledEvent {
    at: Micros,
    /// The position in the order of scheduling, which decides between events at the same time.
    order: u64,
    event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// The process of one node.
pub(crate) struct Process {
    /// `None` while the process does not run.
    pub(crate) detector: Option<Detector>,
    /// Bytes sent and received so far, with headers.
    pub(crate) bytes: u64,
    /// Datagrams sent and received so far.
    pub(crate) packets: u64,
    /// The generation of the timer that is in force; earlier timers do nothing.
    generation: u64,
    paused: bool,
    /// Datagrams that arrived during a pause, with the nodes that sent them.
    socket_buffer: Vec<(usize, Vec<u8>)>,
}

/// A simulated fleet of nodes.
pub(crate) struct Fleet {
    pub(crate) now: Micros,
    pub(crate) processes: Vec<Process>,
    pub(crate) network: Network,
    /// The defect that the nodes have.
    pub(crate) defect: Option<Defect>,
    /// The reported events: when, by which node, and the event.
    pub(crate) events: Vec<(Micros, usize, Event)>,
    pub(crate) settings: Settings,
    /// How many of the next datagrams are lost that notify their receiver of its own failure.
    pub(crate) lost_failure_notices: usize,
    /// Whether all datagrams from one node to another are lost.
    pub(crate) cut: Box<dyn Fn(usize, usize) -> bool>,
    rng: fastrand::Rng,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    /// The number of events scheduled so far.
    scheduled: u64,
    /// The number of processes started so far.
    instances: u64,
    codec: Codec,
    ids: BTreeMap<MemberId, usize>,
}

pub(crate) fn name(node: usize) -> String {
    format!("node-{node}")
}

pub(crate) fn address(node: usize) -> SocketAddr {
    (Ipv4Addr::from(0x7f01_0000 + node as u32), 7946).into()
}

impl Fleet {
    /// A fleet of this many nodes, none of which runs yet.
    pub(crate) fn new(nodes: usize, network: Network, seed: u64) -> Fleet {
        let process = |_| Process {
            detector: None,
            bytes: 0,
            packets: 0,
            generation: 0,
            paused: false,
            socket_buffer: Vec::new(),
        };
        Fleet {
            now: 0,
            processes: (0..nodes).map(process).collect(),
            network,
            defect: None,
            events: Vec::new(),
            settings: Settings::default(),
            lost_failure_notices: 0,
            cut: Box::new(|_, _| false),
            rng: fastrand::Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            scheduled: 0,
            instances: 0,
            codec: Codec::new("simulated", &[[7; 32]]),
            ids: (0..nodes).map(|node| (MemberId::of(&name(node)), node)).collect(),
        }
    }

    /// A fleet that has run for the time `settle`. All nodes start within 100 ms, with node 0 as their only seed.
    pub(crate) fn started(nodes: usize, network: Network, seed: u64, settle: Micros) -> Fleet {
        let mut fleet = Fleet::new(nodes, network, seed);
        (0..nodes).for_each(|node| fleet.start(node, 0));
        fleet.run_for(settle);
        fleet
    }

    /// Starts a node whose machine's clock is ahead by this many milliseconds, or behind if negative.
    pub(crate) fn start(&mut self, node: usize, clock_ms: i64) {
        self.start_named(node, name(node), clock_ms);
    }

    /// Starts a process at one node's address under another node's name.
    pub(crate) fn start_as(&mut self, node: usize, other: usize) {
        self.start_named(node, name(other), 0);
    }

    fn start_named(&mut self, node: usize, name: String, clock_ms: i64) {
        self.instances += 1;
        let profile = Profile { name, address: address(node), instance: self.instances };
        let mut settings = self.settings.clone();
        if matches!(self.defect, Some(Defect::IgnoresPause | Defect::NoConfirmingProbe)) {
            settings.confirming_pings = 0;
        }
        if self.defect == Some(Defect::IgnoresPause) {
            settings.pause_threshold = Micros::MAX;
        }
        let unix_ms = (EPOCH_MS + self.now / 1_000).saturating_add_signed(clock_ms);
        let seed = self.rng.u64(..);
        let detector = Detector::new(settings, profile, vec![address(0)], unix_ms, self.now, seed);
        let process = &mut self.processes[node];
        process.detector = Some(detector);
        process.paused = false;
        process.socket_buffer.clear();
        let at = self.now + self.rng.u64(0..100 * MILLISECOND);
        self.schedule_timer(node, at);
    }

    /// Kills a node without an announcement.
    pub(crate) fn kill(&mut self, node: usize) {
        self.processes[node].detector = None;
        self.processes[node].generation += 1;
    }

    /// Stops a node after it has announced that it leaves.
    pub(crate) fn leave(&mut self, node: usize) {
        let mut out = Vec::new();
        if let Some(detector) = &mut self.processes[node].detector {
            detector.leave(self.now, &mut out);
        }
        self.handle_outputs(node, out);
        self.kill(node);
    }

    /// Pauses a node's process for this time.
    pub(crate) fn pause(&mut self, node: usize, duration: Micros) {
        self.processes[node].paused = true;
        self.schedule(self.now + duration, SimulationEvent::Resume { node });
    }

    /// The running nodes and their detectors.
    pub(crate) fn running(&self) -> impl Iterator<Item = (usize, &Detector)> {
        self.processes.iter().enumerate().filter_map(|(node, p)| Some((node, p.detector.as_ref()?)))
    }

    /// The state of a member in a node's view.
    pub(crate) fn state(&self, node: usize, of: usize) -> Option<State> {
        let detector = self.processes[node].detector.as_ref()?;
        Some(detector.member(MemberId::of(&name(of)))?.state)
    }

    /// Whether every running node sees every other one as live, in its current incarnation.
    pub(crate) fn views_agree(&self) -> bool {
        let running: Vec<(usize, &Detector)> = self.running().collect();
        running.iter().all(|(of, subject)| {
            running.iter().filter(|(node, _)| node != of).all(|(_, detector)| {
                detector.member(MemberId::of(&name(*of))).is_some_and(|member| {
                    matches!(member.state, State::Alive | State::Suspect)
                        && member.incarnation == subject.local_member().incarnation
                })
            })
        })
    }

    pub(crate) fn run_for(&mut self, duration: Micros) {
        let until = self.now + duration;
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= until) {
            self.step();
        }
        self.now = until;
    }

    /// Runs until a condition holds, which is checked each half second, and returns how long that took. Returns `None`
    /// if it did not hold within `max_wait`.
    pub(crate) fn run_until(&mut self, max_wait: Micros, holds: impl Fn(&Fleet) -> bool) -> Option<Micros> {
        let start = self.now;
        while !holds(self) {
            if self.now >= start + max_wait {
                return None;
            }
            self.run_for(SECOND / 2);
        }
        Some(self.now - start)
    }

    fn step(&mut self) {
        let Some(Reverse(ScheduledEvent { at, event, .. })) = self.queue.pop() else { return };
        self.now = at;
        match event {
            SimulationEvent::Deliver { to, from, bytes } => {
                let process = &mut self.processes[to];
                if process.paused && process.socket_buffer.len() < SOCKET_BUFFER {
                    process.socket_buffer.push((from, bytes));
                } else if !process.paused {
                    self.deliver(to, from, &bytes);
                }
            }
            SimulationEvent::Wake { node, generation } => {
                let process = &mut self.processes[node];
                if process.generation != generation || process.paused {
                    return;
                }
                let mut out = Vec::new();
                if let Some(detector) = &mut process.detector {
                    detector.on_timer(at, &mut out);
                }
                self.handle_outputs(node, out);
            }
            SimulationEvent::Resume { node } => {
                let process = &mut self.processes[node];
                process.paused = false;
                process.generation += 1;
                let datagrams = std::mem::take(&mut process.socket_buffer);
                // Both the timer and the socket are ready; either may be handled first.
                let timer_first = self.rng.bool();
                if timer_first {
                    self.schedule_timer(node, at);
                    self.step();
                }
                for (from, bytes) in datagrams {
                    self.deliver(node, from, &bytes);
                }
                self.schedule_timer(node, at);
            }
        }
    }

    fn deliver(&mut self, to: usize, from: usize, bytes: &[u8]) {
        let process = &mut self.processes[to];
        process.bytes += bytes.len() as u64 + HEADER_BYTES;
        process.packets += 1;
        let Some(detector) = &mut process.detector else { return };
        let Ok(mut message) = self.codec.decode(bytes) else {
            panic!("a detector sent a datagram that does not decode")
        };
        if self.lost_failure_notices > 0 && is_failure_notice(&message, MemberId::of(&name(to))) {
            self.lost_failure_notices -= 1;
            return;
        }
        if let Some(defect) = self.defect {
            inject_defect(defect, &mut message, detector);
        }
        let mut out = Vec::new();
        detector.on_message(self.now, address(from), message, &mut out);
        self.handle_outputs(to, out);
    }

    /// Sends the messages and records the events that a node's detector returned.
    fn handle_outputs(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Event(event) => self.events.push((self.now, node, event)),
                Output::Send { to, message } => {
                    let SocketAddr::V4(to) = to else { continue };
                    let to = (u32::from(*to.ip()) - 0x7f01_0000) as usize;
                    let bytes = self.codec.encode(&message).expect("a message that fits in a datagram");
                    self.send(node, to, bytes);
                }
            }
        }
        let Some(at) = self.processes[node].detector.as_ref().map(Detector::wakeup) else { return };
        self.schedule_timer(node, at);
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.processes[from].bytes += bytes.len() as u64 + HEADER_BYTES;
        self.processes[from].packets += 1;
        let copies = 1 + usize::from(self.rng.f64() < self.network.duplicated);
        for _ in 0..copies {
            if (self.cut)(from, to) || self.rng.f64() < self.network.loss {
                continue;
            }
            let (min_delay, max_delay) = self.network.delay;
            let at = self.now + self.rng.u64(min_delay..=max_delay);
            self.schedule(at, SimulationEvent::Deliver { to, from, bytes: bytes.clone() });
        }
    }

    /// Schedules a node's timer, in place of the one that was scheduled before.
    fn schedule_timer(&mut self, node: usize, at: Micros) {
        self.processes[node].generation += 1;
        let generation = self.processes[node].generation;
        self.schedule(at.max(self.now), SimulationEvent::Wake { node, generation });
    }

    fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.scheduled += 1;
        self.queue.push(Reverse(ScheduledEvent { at, order: self.scheduled, event }));
    }

    /// Declarations of failed members after a time: when, by which node, and of which node.
    pub(crate) fn declared_failed(&self, since: Micros) -> Vec<(Micros, usize, usize)> {
        let failed = |(at, node, event): &(Micros, usize, Event)| match event {
            Event::Failed { name, .. } if *at > since => {
                Some((*at, *node, *self.ids.get(&MemberId::of(name))?))
            }
            _ => None,
        };
        self.events.iter().filter_map(failed).collect()
    }
}

/// Gives a node a defect by changing a message that it receives.
fn inject_defect(defect: Defect, message: &mut Message, detector: &Detector) {
    let known_incarnation = |id: MemberId| detector.member(id).map_or(0, |member| member.incarnation);
    match defect {
        Defect::IgnoresPause | Defect::NoConfirmingProbe => {}
        Defect::IgnoresRefutation => {
            let refutes = |update: &stonefold_membership::Update| {
                matches!(update.claim, Claim::Alive(_)) && known_incarnation(update.id) > 0
            };
            message.updates.retain(|update| !refutes(update));
            message.incarnation = message.incarnation.min(known_incarnation(message.from));
        }
        Defect::StaleIncarnationWins => {
            for update in &mut message.updates {
                update.incarnation = update.incarnation.max(known_incarnation(update.id));
            }
        }
    }
}
