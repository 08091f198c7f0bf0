//! The protocol's state machine: messages and the time in, messages and events out.

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
use crate::gossip::Gossip;
use crate::member::{Member, MemberId, Profile, Reachability, State};
use crate::message::Message;
use crate::probe::Probe;
use crate::settings::Settings;
use crate::table::Table;
pub use event::{DropCounters, Event, Output};
use indirect::RelayedPing;
use local_health::LocalHealth;

/// When the next of each periodic activity is due.
#[derive(Debug)]
struct Schedule {
    probe: Micros,
    recovery_probe: Micros,
    gossip: Micros,
    sync: Micros,
    reap: Micros,
}

/// The start of this process, by two clocks.
#[derive(Clone, Copy, Debug)]
struct StartTime {
    /// Unix time, in milliseconds.
    unix_ms: u64,
    /// The detector's clock.
    at: Micros,
}

/// The membership of one node. See the [crate's documentation](crate).
#[derive(Debug)]
pub struct Detector {
    settings: Settings,
    id: MemberId,
    local: Member,
    started: StartTime,
    seeds: Vec<SocketAddr>,
    rng: fastrand::Rng,
    table: Table,
    suspects: BTreeSet<MemberId>,
    gossip: Gossip,
    probes: BTreeMap<u32, Probe>,
    /// Members in the order in which they are probed.
    probe_order: VecDeque<MemberId>,
    relayed_pings: VecDeque<RelayedPing>,
    sequence: u64,
    next_probe_number: u32,
    schedule: Schedule,
    /// When the caller was last asked to call again.
    wakeup: Micros,
    local_health: LocalHealth,
    /// Declarations that this node failed are reported from this incarnation on.
    next_reported_failure: u64,
    /// Whether a later process has taken this one's name.
    superseded: bool,
    leaving: bool,
    counters: DropCounters,
}

impl Detector {
    /// A node that starts now. `unix_ms` is the time by the machine's clock, in milliseconds; `seeds` are addresses of
    /// members to join through, its own may be among them; `seed` determines every random choice.
    pub fn new(
        settings: Settings,
        profile: Profile,
        seeds: Vec<SocketAddr>,
        unix_ms: u64,
        now: Micros,
        seed: u64,
    ) -> Detector {
        let mut rng = fastrand::Rng::with_seed(seed);
        let spread = rng.u64(0..=settings.probe_interval);
        let schedule = Schedule {
            probe: now,
            recovery_probe: now + spread,
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
            table: Table::new(),
            suspects: BTreeSet::new(),
            gossip: Gossip::default(),
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

    /// This node.
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

    /// Messages and updates that were dropped so far.
    pub fn counters(&self) -> DropCounters {
        self.counters
    }

    /// When [`on_timer`](Detector::on_timer) has to be called at the latest. Changes with every call.
    pub fn wakeup(&self) -> Micros {
        self.wakeup
    }

    /// Handles the passing of time. A call that is later than [`wakeup`](Detector::wakeup) by more than
    /// [`Settings::pause_threshold`] shows that the process was paused.
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

    /// Handles a message from this address.
    pub fn on_message(&mut self, now: Micros, from: SocketAddr, message: Message, out: &mut Vec<Output>) {
        self.detect_pause(now, out);
        if self.receive(now, from, message, out) {
            self.wakeup = self.next_wakeup(now);
        }
    }

    /// Leaves the cluster: announces it to some members. Nothing but this may be called afterwards.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.leaving = true;
        self.local.state = State::Left;
        self.announce_leave(out);
        self.wakeup = now + self.settings.probe_interval;
    }

    /// Live members, this node included.
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
        if !self.suspects.is_empty() {
            next = next.min(now + self.settings.gossip_interval);
        }
        next.max(now + 1)
    }

    /// After a pause of this process the silence of others proves nothing: suspicions last longer by the pause, probes
    /// in progress are dropped, and no member is declared failed until a ping was answered again.
    fn detect_pause(&mut self, now: Micros, out: &mut Vec<Output>) {
        let late = now.saturating_sub(self.wakeup);
        if late <= self.settings.pause_threshold {
            return;
        }
        self.wakeup = now;
        self.local_health.on_pause();
        self.probes.clear();
        self.relayed_pings.clear();
        for id in &self.suspects {
            if let Some(suspicion) = self.table.get_mut(*id).and_then(|entry| entry.suspicion.as_mut()) {
                let extended = suspicion.since + late;
                suspicion.restart(extended);
            }
        }
        out.push(Output::Event(Event::Paused { duration: late }));
    }
}

/// This node as a member. Its incarnation starts at its Unix time, so that it is higher than its predecessor's.
fn local_member(profile: Profile, unix_ms: u64, now: Micros) -> Member {
    Member {
        profile,
        incarnation: unix_ms,
        state: State::Alive,
        since: now,
        reachability: Reachability::Direct,
    }
}
