//! A fleet in virtual time: detectors, a network that loses, delays, duplicates and cuts, and the reported events.
//! The same seed plays the same run.
#![allow(dead_code)] // each program uses its own part

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use stonefold_membership::{
    Claim, Codec, Detector, Event, MemberId, Message, Micros, Output, Profile, Settings, State, Update,
};

pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;
/// The Unix time of a run's start, in milliseconds.
pub(crate) const EPOCH_MS: u64 = 1_790_000_000_000;
/// Bytes of the IP and UDP headers.
const HEADER_BYTES: u64 = 28;
/// Datagrams that fit in the socket buffer of a paused process.
const SOCKET_BUFFER: usize = 400;

/// Faults injected on purpose, which the checks have to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Planted {
    /// A node does not detect its own pause, and declares members failed without a confirming probe.
    SuspectsAfterPause,
    /// No fault: the confirming probe alone is missing, which shows that detecting the pause suffices.
    NoConfirmingProbe,
    /// A refutation is ignored.
    IgnoresRefutation,
    /// An update about an outdated incarnation counts as current.
    StaleIncarnationWins,
}

/// Whether a message tells its receiver that it was declared failed.
fn is_failure_notice(message: &Message, receiver: MemberId) -> bool {
    let is_notice = |update: &Update| update.id == receiver && matches!(update.claim, Claim::Failed { .. });
    message.updates.iter().any(is_notice)
}

/// The behaviour of every link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) duplicated: f64,
    pub(crate) delay: (Micros, Micros),
}

impl Network {
    pub(crate) const CALM: Network = Network { loss: 0.0, duplicated: 0.0, delay: (100, 2 * MILLISECOND) };
    pub(crate) const ROUGH: Network =
        Network { loss: 0.3, duplicated: 0.05, delay: (100, 200 * MILLISECOND) };

    pub(crate) fn losing(loss: f64) -> Network {
        Network { loss, ..Network::ROUGH }
    }
}

enum Occurrence {
    Deliver { to: usize, from: usize, bytes: Vec<u8> },
    Wake { node: usize, generation: u64 },
    Resume { node: usize },
}

struct Queued {
    at: Micros,
    order: u64,
    occurrence: Occurrence,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// One node's process, if it runs.
pub(crate) struct Process {
    pub(crate) detector: Option<Detector>,
    /// Bytes and datagrams, sent and received, since they were last looked at.
    pub(crate) bytes: u64,
    pub(crate) packets: u64,
    generation: u64,
    paused: bool,
    inbox: Vec<(usize, Vec<u8>)>,
}

/// A fleet.
pub(crate) struct Fleet {
    pub(crate) now: Micros,
    pub(crate) processes: Vec<Process>,
    pub(crate) network: Network,
    pub(crate) planted: Option<Planted>,
    /// The reported events: when, by which node, and the event.
    pub(crate) events: Vec<(Micros, usize, Event)>,
    pub(crate) settings: Settings,
    /// So many of the next datagrams that tell their receiver of its own failure are lost.
    pub(crate) lost_failure_notices: usize,
    /// Whether a datagram from one node to another is cut off.
    pub(crate) cut: Box<dyn Fn(usize, usize) -> bool>,
    rng: fastrand::Rng,
    queue: BinaryHeap<Reverse<Queued>>,
    count: u64,
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
    /// So many places for nodes; none runs yet.
    pub(crate) fn new(nodes: usize, network: Network, seed: u64) -> Fleet {
        let process = |_| Process {
            detector: None,
            bytes: 0,
            packets: 0,
            generation: 0,
            paused: false,
            inbox: Vec::new(),
        };
        Fleet {
            now: 0,
            processes: (0..nodes).map(process).collect(),
            network,
            planted: None,
            events: Vec::new(),
            settings: Settings::default(),
            lost_failure_notices: 0,
            cut: Box::new(|_, _| false),
            rng: fastrand::Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            count: 0,
            instances: 0,
            codec: Codec::new("simulated", &[[7; 32]]),
            ids: (0..nodes).map(|node| (MemberId::of(&name(node)), node)).collect(),
        }
    }

    /// A fleet whose nodes all start within a second, the first of them their only seed, and know each other after
    /// so long.
    pub(crate) fn started(nodes: usize, network: Network, seed: u64, settle: Micros) -> Fleet {
        let mut fleet = Fleet::new(nodes, network, seed);
        (0..nodes).for_each(|node| fleet.start(node, 0));
        fleet.run_for(settle);
        fleet
    }

    /// Starts a node, whose machine's clock is off by so many milliseconds.
    pub(crate) fn start(&mut self, node: usize, clock_ms: i64) {
        self.start_named(node, name(node), clock_ms);
    }

    /// Starts a process in one node's place under another one's name.
    pub(crate) fn start_as(&mut self, node: usize, other: usize) {
        self.start_named(node, name(other), 0);
    }

    fn start_named(&mut self, node: usize, name: String, clock_ms: i64) {
        self.instances += 1;
        let profile = Profile { name, address: address(node), instance: self.instances };
        let mut settings = self.settings.clone();
        if matches!(self.planted, Some(Planted::SuspectsAfterPause | Planted::NoConfirmingProbe)) {
            settings.confirming_pings = 0;
        }
        if self.planted == Some(Planted::SuspectsAfterPause) {
            settings.pause_threshold = Micros::MAX;
        }
        let unix_ms = (EPOCH_MS + self.now / 1_000).saturating_add_signed(clock_ms);
        let seed = self.rng.u64(..);
        let detector = Detector::new(settings, profile, vec![address(0)], unix_ms, self.now, seed);
        let process = &mut self.processes[node];
        process.detector = Some(detector);
        process.paused = false;
        process.inbox.clear();
        let at = self.now + self.rng.u64(0..100 * MILLISECOND);
        self.wake(node, at);
    }

    /// Kills a node: it sends nothing any more.
    pub(crate) fn kill(&mut self, node: usize) {
        self.processes[node].detector = None;
        self.processes[node].generation += 1;
    }

    /// Ends a node, which announces its leave.
    pub(crate) fn leave(&mut self, node: usize) {
        let mut out = Vec::new();
        if let Some(detector) = &mut self.processes[node].detector {
            detector.leave(self.now, &mut out);
        }
        self.carry_out(node, out);
        self.kill(node);
    }

    /// Stops a node's process for so long.
    pub(crate) fn pause(&mut self, node: usize, duration: Micros) {
        self.processes[node].paused = true;
        self.push(self.now + duration, Occurrence::Resume { node });
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = (usize, &Detector)> {
        self.processes.iter().enumerate().filter_map(|(node, p)| Some((node, p.detector.as_ref()?)))
    }

    /// The state of a member in a node's view.
    pub(crate) fn state(&self, node: usize, of: usize) -> Option<State> {
        let detector = self.processes[node].detector.as_ref()?;
        Some(detector.member(MemberId::of(&name(of)))?.state)
    }

    /// Whether every running node sees every other one alive, at its current incarnation.
    pub(crate) fn agreed(&self) -> bool {
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

    /// Runs until a condition holds, checked each half second; returns after what time, or `None` if it never held.
    pub(crate) fn run_until(&mut self, most: Micros, holds: impl Fn(&Fleet) -> bool) -> Option<Micros> {
        let start = self.now;
        while !holds(self) {
            if self.now >= start + most {
                return None;
            }
            self.run_for(SECOND / 2);
        }
        Some(self.now - start)
    }

    fn step(&mut self) {
        let Some(Reverse(Queued { at, occurrence, .. })) = self.queue.pop() else { return };
        self.now = at;
        match occurrence {
            Occurrence::Deliver { to, from, bytes } => {
                let process = &mut self.processes[to];
                if process.paused && process.inbox.len() < SOCKET_BUFFER {
                    process.inbox.push((from, bytes));
                } else if !process.paused {
                    self.deliver(to, from, &bytes);
                }
            }
            Occurrence::Wake { node, generation } => {
                let process = &mut self.processes[node];
                if process.generation != generation || process.paused {
                    return;
                }
                let mut out = Vec::new();
                if let Some(detector) = &mut process.detector {
                    detector.on_timer(at, &mut out);
                }
                self.carry_out(node, out);
            }
            Occurrence::Resume { node } => {
                let process = &mut self.processes[node];
                process.paused = false;
                process.generation += 1;
                let inbox = std::mem::take(&mut process.inbox);
                // Timers and the socket are both ready; which comes first is chance.
                let timer_first = self.rng.bool();
                if timer_first {
                    self.wake(node, at);
                    self.step();
                }
                for (from, bytes) in inbox {
                    self.deliver(node, from, &bytes);
                }
                self.wake(node, at);
            }
        }
    }

    fn deliver(&mut self, to: usize, from: usize, bytes: &[u8]) {
        let process = &mut self.processes[to];
        process.bytes += bytes.len() as u64 + HEADER_BYTES;
        process.packets += 1;
        let Some(detector) = &mut process.detector else { return };
        let Ok(mut message) = self.codec.decode(bytes) else { panic!("a datagram that cannot be read") };
        if self.lost_failure_notices > 0 && is_failure_notice(&message, MemberId::of(&name(to))) {
            self.lost_failure_notices -= 1;
            return;
        }
        if let Some(planted) = self.planted {
            inject_fault(planted, &mut message, detector);
        }
        let mut out = Vec::new();
        detector.on_message(self.now, address(from), message, &mut out);
        self.carry_out(to, out);
    }

    fn carry_out(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Event(event) => self.events.push((self.now, node, event)),
                Output::Send { to, message } => {
                    let SocketAddr::V4(to) = to else { continue };
                    let to = (u32::from(*to.ip()) - 0x7f01_0000) as usize;
                    let bytes = self.codec.encode(&message).expect("no message is too long");
                    self.send(node, to, bytes);
                }
            }
        }
        let Some(at) = self.processes[node].detector.as_ref().map(Detector::wakeup) else { return };
        self.wake(node, at);
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.processes[from].bytes += bytes.len() as u64 + HEADER_BYTES;
        self.processes[from].packets += 1;
        let copies = 1 + usize::from(self.rng.f64() < self.network.duplicated);
        for _ in 0..copies {
            if (self.cut)(from, to) || self.rng.f64() < self.network.loss {
                continue;
            }
            let (least, most) = self.network.delay;
            let at = self.now + self.rng.u64(least..=most);
            self.push(at, Occurrence::Deliver { to, from, bytes: bytes.clone() });
        }
    }

    fn wake(&mut self, node: usize, at: Micros) {
        self.processes[node].generation += 1;
        let generation = self.processes[node].generation;
        self.push(at.max(self.now), Occurrence::Wake { node, generation });
    }

    fn push(&mut self, at: Micros, occurrence: Occurrence) {
        self.count += 1;
        self.queue.push(Reverse(Queued { at, order: self.count, occurrence }));
    }

    /// Reports of failed members after a time: when, by whom, of whom.
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

/// Breaks a rule on purpose, by changing the message that a node receives.
fn inject_fault(planted: Planted, message: &mut Message, detector: &Detector) {
    let known = |id: MemberId| detector.member(id).map_or(0, |member| member.incarnation);
    match planted {
        Planted::SuspectsAfterPause | Planted::NoConfirmingProbe => {}
        Planted::IgnoresRefutation => {
            let refutes = |update: &stonefold_membership::Update| {
                matches!(update.claim, Claim::Alive(_)) && known(update.id) > 0
            };
            message.updates.retain(|update| !refutes(update));
            message.incarnation = message.incarnation.min(known(message.from));
        }
        Planted::StaleIncarnationWins => {
            for update in &mut message.updates {
                update.incarnation = update.incarnation.max(known(update.id));
            }
        }
    }
}
