//! The protocol's state machine: messages and the time in, messages and events out.

mod claims;
mod probing;
mod views;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::Micros;
use crate::gossip::Gossip;
use crate::member::{Member, MemberId, Profile, Reach, State};
use crate::message::{Body, Claim, Message, Update};
use crate::probe::Probe;
use crate::settings::Settings;
use crate::table::Table;
use views::Sender;

/// Updates that go along with a message which is sent for another reason.
const PIGGYBACKED: usize = 3;
/// The bytes of updates in one message at most; the rest of a datagram is for what stands round them.
const UPDATE_BYTES: usize = 1_000;
/// An update without its name, in bytes, at most.
const UPDATE_OVERHEAD: usize = 64;
/// The worst local health.
const WORST_HEALTH: u32 = 8;

/// What a detector asks for, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: Message,
    },
    /// Something has changed.
    Event(Event),
}

/// What has changed in a node's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member that was not known is there.
    Joined {
        /// Its name.
        name: String,
    },
    /// A member did not answer somebody's probe.
    Suspected {
        /// Its name.
        name: String,
        /// Who suspects it.
        by: MemberId,
    },
    /// A suspicion has ended well: the member refuted it, or answered a probe.
    Refuted {
        /// Its name.
        name: String,
    },
    /// A member did not refute its suspicion, and did not answer this node's last probe.
    Failed {
        /// Its name.
        name: String,
        /// Who suspected it.
        suspected_by: Vec<MemberId>,
    },
    /// A failed or left member is back.
    Returned {
        /// Its name.
        name: String,
    },
    /// A member runs in a new process.
    Restarted {
        /// Its name.
        name: String,
    },
    /// A member said that it ends.
    Left {
        /// Its name.
        name: String,
    },
    /// A member is alive, and whether this node reaches it has changed.
    ReachChanged {
        /// Its name.
        name: String,
        /// What it is now.
        reach: Reach,
    },
    /// A failed or left member is no longer remembered.
    Forgotten {
        /// Its name.
        name: String,
    },
    /// Another member has declared this node failed; it has refuted that.
    DeclaredFailed {
        /// Who has.
        by: MemberId,
    },
    /// This process was paused, or its timers were late; it blames nobody for that time.
    Paused {
        /// For how long.
        duration: Micros,
    },
    /// Another process runs under this node's name. The older one, which reports this, no longer speaks for it.
    NameConflict {
        /// Where the other one is.
        address: SocketAddr,
    },
}

/// What was refused or dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages that were received before.
    pub repeated: u64,
    /// Claims of an incarnation from the far future.
    pub far_future: u64,
    /// Claims of an incarnation that is outdated.
    pub stale: u64,
    /// New members beyond the bound.
    pub members_full: u64,
    /// Compare messages of the wrong shape.
    pub malformed: u64,
}

/// The membership of one node. See the [crate's documentation](crate).
#[derive(Debug)]
pub struct Detector {
    settings: Settings,
    id: MemberId,
    me: Member,
    /// Unix time of the start, in milliseconds, and the same time by the detector's clock.
    started: (u64, Micros),
    seeds: Vec<SocketAddr>,
    rng: fastrand::Rng,
    table: Table,
    suspects: BTreeSet<MemberId>,
    gossip: Gossip,
    probes: BTreeMap<u32, Probe>,
    /// Members in the order in which they are probed.
    order: VecDeque<MemberId>,
    /// Pings that this node sends for others: their probe, and where its answer goes.
    relayed: VecDeque<(u32, u32, SocketAddr)>,
    sequence: u64,
    next_probe_number: u32,
    next_probe: Micros,
    next_return_probe: Micros,
    next_gossip: Micros,
    next_sync: Micros,
    next_cleaning: Micros,
    /// When the caller was last told to call again.
    wakeup: Micros,
    /// When any message last came, and when any of this node's pings was last answered.
    last_heard: Micros,
    last_answer: Micros,
    /// Whether this process was paused and has had no answer since.
    unheard_since_pause: bool,
    /// The local health score (Lifeguard): 0 is well. It stretches the timeout of pings.
    health: u32,
    /// Failures of this node that were declared under a lower incarnation were reported, or were its predecessor's.
    reported_failed: u64,
    /// Whether another process has taken this one's name.
    superseded: bool,
    leaving: bool,
    counters: Counters,
}

impl Detector {
    /// A node that starts now. `unix_ms` is the time by the machine's clock; `seeds` are addresses of members to
    /// begin with, its own may be among them.
    pub fn new(
        settings: Settings,
        profile: Profile,
        seeds: Vec<SocketAddr>,
        unix_ms: u64,
        now: Micros,
        seed: u64,
    ) -> Detector {
        let mut rng = fastrand::Rng::with_seed(seed);
        let id = MemberId::of(&profile.name);
        let seeds = seeds.into_iter().filter(|&at| at != profile.address).collect();
        let me =
            Member { profile, incarnation: unix_ms, state: State::Alive, since: now, reach: Reach::Direct };
        let spread = rng.u64(0..=settings.probe_interval);
        Detector {
            next_probe: now,
            next_return_probe: now + spread,
            next_gossip: now,
            next_sync: now,
            next_cleaning: now + settings.probe_interval,
            wakeup: now,
            last_heard: now,
            last_answer: now,
            settings,
            id,
            me,
            started: (unix_ms, now),
            seeds,
            rng,
            table: Table::new(),
            suspects: BTreeSet::new(),
            gossip: Gossip::default(),
            probes: BTreeMap::new(),
            order: VecDeque::new(),
            relayed: VecDeque::new(),
            sequence: 0,
            next_probe_number: 1,
            unheard_since_pause: false,
            health: 0,
            reported_failed: unix_ms,
            superseded: false,
            leaving: false,
            counters: Counters::default(),
        }
    }

    /// This node.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All other members that are known, by id.
    pub fn members(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.table.iter().map(|(id, entry)| (*id, &entry.member))
    }

    /// A member, if it is known.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.table.get(id).map(|entry| &entry.member)
    }

    /// What was refused or dropped.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// When [`on_timer`](Detector::on_timer) wants to be called at the latest. Changes with every call.
    pub fn wakeup(&self) -> Micros {
        self.wakeup
    }

    /// Time has passed. A call that is later than [`wakeup`](Detector::wakeup) by more than the settings allow shows
    /// that the process was paused.
    pub fn on_timer(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.notice_pause(now, out);
        if self.leaving || self.superseded {
            self.wakeup = now + self.settings.probe_interval;
            return;
        }
        self.step_probes(now, out);
        self.end_suspicions(now);
        self.begin_probes(now);
        self.step_probes(now, out);
        if now >= self.next_gossip {
            self.send_gossip(now, out);
        }
        if now >= self.next_cleaning {
            self.forget(now, out);
        }
        self.wakeup = self.next_wakeup(now);
    }

    /// A message has come from this address.
    pub fn on_message(&mut self, now: Micros, from: SocketAddr, message: Message, out: &mut Vec<Output>) {
        self.notice_pause(now, out);
        if message.from == self.id && message.instance == self.me.profile.instance {
            return; // its own, by a seed address that is its own
        }
        if let Some(entry) = self.table.get_mut(message.from) {
            if !entry.replay.accept(message.instance, message.sequence) {
                self.counters.repeated += 1;
                return;
            }
            entry.last_heard = Some(now);
        }
        self.last_heard = now;
        self.hear_sender(&message, now, out);
        let is_record = matches!(message.body, Body::Records);
        for update in message.updates {
            self.hear_claim(update, !is_record, now, out);
        }
        if !self.leaving && !self.superseded {
            let sender = Sender { id: message.from, address: from, digest: message.digest };
            self.answer(now, sender, message.body, out);
        }
        self.wakeup = self.next_wakeup(now);
    }

    /// This node ends: tells some members so. Nothing more is to be called but this.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.leaving = true;
        self.me.state = State::Left;
        let update = self.own_update();
        let mut members: Vec<MemberId> = self.table.living().collect();
        self.rng.shuffle(&mut members);
        for id in members.into_iter().take(self.settings.transmissions as usize) {
            self.send_to(id, Body::Gossip, vec![update.clone()], out);
        }
        self.wakeup = now + self.settings.probe_interval;
    }

    /// Members that live as far as this node knows, itself included.
    fn size(&self) -> usize {
        self.table.living().count() + 1
    }

    fn next_wakeup(&self, now: Micros) -> Micros {
        let mut next = self.next_probe.min(self.next_return_probe).min(self.next_cleaning);
        if !self.gossip.is_empty() {
            next = next.min(self.next_gossip);
        }
        if let Some(at) = self.probes.values().map(|probe| probe.next_at).min() {
            next = next.min(at);
        }
        if !self.suspects.is_empty() {
            next = next.min(now + self.settings.gossip_interval);
        }
        next.max(now + 1)
    }

    /// Guards against a process that was stopped, or starved, and blames the others for its own silence: what its
    /// clocks counted meanwhile does not count, and it declares nobody failed until it was answered again.
    fn notice_pause(&mut self, now: Micros, out: &mut Vec<Output>) {
        let late = now.saturating_sub(self.wakeup);
        if late <= self.settings.pause {
            return;
        }
        self.wakeup = now;
        self.unheard_since_pause = true;
        self.health = (self.health + 1).min(WORST_HEALTH);
        self.probes.clear();
        self.relayed.clear();
        for id in &self.suspects {
            if let Some(suspicion) = self.table.get_mut(*id).and_then(|entry| entry.suspicion.as_mut()) {
                suspicion.since += late;
                suspicion.checked = false;
            }
        }
        out.push(Output::Event(Event::Paused { duration: late }));
    }

    fn send_gossip(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.next_gossip = now + self.settings.gossip_interval;
        if self.gossip.is_empty() {
            return;
        }
        let mut members: Vec<MemberId> = self.table.living().collect();
        for _ in 0..self.settings.gossip_fanout.min(members.len()) {
            let id = members.swap_remove(self.rng.usize(..members.len()));
            let updates = self.gossip.take(self.settings.updates_per_message, self.settings.transmissions);
            if updates.is_empty() {
                return;
            }
            self.send_to(id, Body::Gossip, updates, out);
        }
    }

    /// What this node says of itself.
    fn own_update(&self) -> Update {
        let profile = self.me.profile.clone();
        let claim = if self.leaving { Claim::Left(profile) } else { Claim::Alive(profile) };
        Update { id: self.id, incarnation: self.me.incarnation, claim }
    }

    fn send_to(&mut self, id: MemberId, body: Body, updates: Vec<Update>, out: &mut Vec<Output>) {
        if let Some(to) = self.table.get(id).map(|entry| entry.member.profile.address) {
            self.send(to, body, updates, out);
        }
    }

    fn send(&mut self, to: SocketAddr, body: Body, mut updates: Vec<Update>, out: &mut Vec<Output>) {
        if matches!(body, Body::Ping { .. } | Body::Ack { .. } | Body::PingRequest { .. }) {
            updates.extend(self.gossip.take(PIGGYBACKED, self.settings.transmissions));
        }
        let mut bytes = 0;
        updates.retain(|update| {
            bytes += size_of(update);
            bytes <= UPDATE_BYTES
        });
        self.sequence += 1;
        let message = Message {
            from: self.id,
            instance: self.me.profile.instance,
            incarnation: self.me.incarnation,
            sequence: self.sequence,
            digest: self.digest(),
            body,
            updates,
        };
        out.push(Output::Send { to, message });
    }
}

/// An update's bytes in a message, at most.
fn size_of(update: &Update) -> usize {
    let name = match &update.claim {
        Claim::Alive(profile) | Claim::Left(profile) | Claim::Failed { profile, .. } => profile.name.len(),
        Claim::Suspect { .. } => 0,
    };
    UPDATE_OVERHEAD + name
}
