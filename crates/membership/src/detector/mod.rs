//! The state machine of the protocol: it takes messages and the time, and returns messages and events.

mod anti_entropy;
mod dissemination;
mod event;
mod indirect;
mod local_health;
mod probing;
mod receiving;
mod refutation;
mod suspecting;
mod updates;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::Micros;
use crate::gossip::GossipQueue;
use crate::member::{Member, MemberId, Profile, Reachability, State};
use crate::message::Message;
use crate::probe::Probe;
use crate::settings::Settings;
use crate::table::MemberTable;
pub use event::{DropCounters, Event, Output};
use indirect::RelayedPing;
use local_health::LocalHealth;

/// When each periodic activity is due next.
#[derive(Debug)]
struct Schedule {
    probe: Micros,
    recovery_probe: Micros,
    gossip: Micros,
    sync: Micros,
    reap: Micros,
}

/// When this process started, by two clocks.
#[derive(Clone, Copy, Debug)]
struct StartTime {
    /// By the machine's clock: Unix time, in milliseconds.
    unix_ms: u64,
    /// By the detector's monotonic clock.
    at: Micros,
}

/// The membership of one node. See the [crate's documentation](crate).
#[derive(Debug)]
pub struct Detector {
    settings: Settings,
    /// This node's own id.
    id: MemberId,
    /// This node's own record.
    local: Member,
    started: StartTime,
    /// Addresses to join through, without this node's own.
    seeds: Vec<SocketAddr>,
    rng: fastrand::Rng,
    table: MemberTable,
    /// The members in state [`State::Suspect`].
    suspects: BTreeSet<MemberId>,
    gossip: GossipQueue,
    /// Probes in progress, by number.
    probes: BTreeMap<u32, Probe>,
    /// Members still to be probed in this round, in order.
    probe_order: VecDeque<MemberId>,
    relayed_pings: VecDeque<RelayedPing>,
    /// The sequence number of the message that was sent last.
    sequence: u64,
    /// The number of the next probe or relayed ping.
    next_probe_number: u32,
    schedule: Schedule,
    /// The latest time for the next call of `on_timer`, as last stated to the caller.
    wakeup: Micros,
    local_health: LocalHealth,
    /// The lowest incarnation in which a declaration that this node failed is reported, so that each failure is
    /// reported once.
    next_reported_failure: u64,
    /// Whether a later process runs under this node's name, so that this one no longer takes part.
    superseded: bool,
    leaving: bool,
    counters: DropCounters,
}

impl Detector {
    /// Creates the detector of a node that starts now.
    ///
    /// `unix_ms` is the time by the machine's clock, in milliseconds. `seeds` are addresses of members to join through;
    /// the node's own may be among them. `seed` determines every random choice.
    pub fn new(
        settings: Settings,
        profile: Profile,
        seeds: Vec<SocketAddr>,
        unix_ms: u64,
        now: Micros,
        seed: u64,
    ) -> Detector {
        let mut rng = fastrand::Rng::with_seed(seed);
        let recovery_probe_delay = rng.u64(0..=settings.probe_interval);
        let schedule = Schedule {
            probe: now,
            recovery_probe: now + recovery_probe_delay,
            gossip: now,
            sync: now,
            reap: now + settings.probe_interval,
        };
        Detector {
            settings,
            id: MemberId::of(&profile.name),
            seeds: seeds.into_iter().filter(|&address| address != profile.address).collect(),
            local: local_member(profile, unix_ms, now),
            started: StartTime { unix_ms, at: now },
            rng,
            table: MemberTable::new(),
            suspects: BTreeSet::new(),
            gossip: GossipQueue::default(),
            probes: BTreeMap::new(),
            probe_order: VecDeque::new(),
            relayed_pings: VecDeque::new(),
            sequence: 0,
            next_probe_number: 1,
            schedule,
            wakeup: now,
            local_health: LocalHealth::new(now),
            next_reported_failure: unix_ms,
            superseded: false,
            leaving: false,
            counters: DropCounters::default(),
        }
    }

    /// This node's own record.
    pub fn local_member(&self) -> &Member {
        &self.local
    }

    /// All other known members, by id.
    pub fn members(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.table.iter().map(|(id, entry)| (*id, &entry.member))
    }

    /// A member other than this node, if it is known.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.table.get(id).map(|entry| &entry.member)
    }

    /// How many messages and updates were dropped so far, by reason.
    pub fn counters(&self) -> DropCounters {
        self.counters
    }

    /// The latest time for the next call of [`on_timer`](Detector::on_timer). It may change with every other call.
    pub fn wakeup(&self) -> Micros {
        self.wakeup
    }

    /// Does everything that is due by now.
    ///
    /// A call that comes more than [`Settings::pause_threshold`] after [`wakeup`](Detector::wakeup) shows that the
    /// process was paused.
    pub fn on_timer(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.detect_pause(now, out);
        if self.leaving || self.superseded {
            self.wakeup = now + self.settings.probe_interval;
            return;
        }
        self.step_probes(now, out);
        self.confirm_expired_suspicions(now);
        self.start_due_probes(now);
        self.step_probes(now, out);
        if now >= self.schedule.gossip {
            self.send_gossip(now, out);
        }
        if now >= self.schedule.reap {
            self.schedule.reap = now + self.settings.probe_interval;
            self.join_if_isolated(out);
            self.reap(now, out);
        }
        self.wakeup = self.next_wakeup(now);
    }

    /// Handles a message that was received from the address `from`.
    pub fn on_message(&mut self, now: Micros, from: SocketAddr, message: Message, out: &mut Vec<Output>) {
        self.detect_pause(now, out);
        if self.receive(now, from, message, out) {
            self.wakeup = self.next_wakeup(now);
        }
    }

    /// Leaves the cluster and announces that to some members.
    ///
    /// Afterwards the detector neither probes nor answers.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.leaving = true;
        self.local.state = State::Left;
        self.announce_leave(out);
        self.wakeup = now + self.settings.probe_interval;
    }

    /// The number of live members, this node included.
    fn cluster_size(&self) -> usize {
        self.table.live().count() + 1
    }

    fn next_wakeup(&self, now: Micros) -> Micros {
        let mut next = self.schedule.probe.min(self.schedule.recovery_probe).min(self.schedule.reap);
        if !self.gossip.is_empty() {
            next = next.min(self.schedule.gossip);
        }
        if let Some(at) = self.probes.values().map(|probe| probe.next_step).min() {
            next = next.min(at);
        }
        // The expiry of a suspicion changes with its confirmations and with the size of the cluster, so it is polled.
        if !self.suspects.is_empty() {
            next = next.min(now + self.settings.gossip_interval);
        }
        next.max(now + 1)
    }

    /// Checks whether this process was paused since the last wakeup, and handles the pause.
    ///
    /// A paused process receives no answers, so missing answers are no evidence against other members. Suspicions are
    /// extended by the pause, probes in progress are dropped, and no member is declared failed until a ping of this
    /// node is answered again.
    fn detect_pause(&mut self, now: Micros, out: &mut Vec<Output>) {
        let lateness = now.saturating_sub(self.wakeup);
        if lateness <= self.settings.pause_threshold {
            return;
        }
        self.wakeup = now;
        self.local_health.on_pause();
        self.probes.clear();
        self.relayed_pings.clear();
        for id in &self.suspects {
            if let Some(suspicion) = self.table.get_mut(*id).and_then(|entry| entry.suspicion.as_mut()) {
                let extended = suspicion.since + lateness;
                suspicion.restart(extended);
            }
        }
        out.push(Output::Event(Event::Paused { duration: lateness }));
    }
}

/// This node's own record. Its incarnation starts at the Unix time of its start, so that it is higher than the
/// incarnation of the process that ran before under this name.
fn local_member(profile: Profile, unix_ms: u64, now: Micros) -> Member {
    Member {
        profile,
        incarnation: unix_ms,
        state: State::Alive,
        since: now,
        reachability: Reachability::Direct,
    }
}
