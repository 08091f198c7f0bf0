//! Members, relays and subscribers in virtual time, from a seed: the pure cores over a network that delays, stalls and
//! cuts, with kills of members, relays and subscribers, members that lag, and readers that are slow.
#![allow(dead_code)] // the command and the tests use different parts

pub(crate) mod check;
pub(crate) mod cluster;
pub(crate) mod net;

use fastrand::Rng;
use stonefold_store::feed::frame::{
    PublisherFrame, SessionRejection, SubscriberFrame, Update, decode_frame, encode_frame,
};
use stonefold_store::feed::publisher::{Limits, Session};
use stonefold_store::feed::selector::PublisherSelector;
use stonefold_store::feed::subscriber::{Action, Event, Subscriber};
use stonefold_store::feed::table::Table;

use check::Seen;
use cluster::{Log, MEMBERS, Member};
use net::{Conn, Net};

pub(crate) type Millis = u64;

/// What is wrong on purpose, for the checker to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    Nothing,
    /// A publisher leaves out a record.
    Record,
    /// A node drops a purge.
    Purge,
    /// A node forgets at a restart what it acted on.
    Disk,
}

pub(crate) const TICK: Millis = 25;
/// Until when things go wrong, when the calm begins, until when changes are made then, and the end.
pub(crate) const WRONG: Millis = 30_000;
pub(crate) const CALM: Millis = 55_000;
pub(crate) const QUIET: Millis = 62_000;
pub(crate) const END: Millis = 81_000;
const REGION: usize = 2;
const SITE: usize = 4;
const PLAIN: usize = 12;
pub(crate) const NODES: usize = REGION + SITE + PLAIN;

/// A relay or a subscriber.
pub(crate) struct Node {
    pub core: Subscriber,
    tiers: Vec<Vec<String>>,
    /// What was acted on, as its disk has it.
    disk: Table,
    pub started: Millis,
    pub life: u64,
    /// Down until then, or reads nothing until then.
    down: Option<Millis>,
    slow: Millis,
    conn: Option<u64>,
    pub seen: Seen,
}

impl Node {
    pub(crate) fn alive(&self) -> bool {
        self.down.is_none()
    }
}

pub(crate) struct World {
    pub now: Millis,
    pub rng: Rng,
    pub log: Log,
    pub members: Vec<Member>,
    pub nodes: Vec<Node>,
    net: Net,
    broken: Broken,
    pub kills: u64,
    pub cut: u64,
    pub rejected: u64,
}

/// What came of a run.
#[derive(Debug)]
pub(crate) struct Report {
    pub verdict: Result<(), String>,
    pub changes: usize,
    pub purges: u64,
    pub kills: u64,
    /// Slow subscribers that were cut.
    pub cut: u64,
}

fn name(node: usize) -> String {
    match node {
        n if n < REGION => format!("region-{n}"),
        n if n < REGION + SITE => format!("site-{n}"),
        n => format!("node-{n}"),
    }
}

fn tiers(node: usize) -> Vec<Vec<String>> {
    let members = (0..MEMBERS).map(|n| format!("member-{n}")).collect();
    let regions = (0..REGION).map(name).collect();
    // Two relays a site.
    let site = (REGION + node % 2 * 2..REGION + node % 2 * 2 + 2).map(name).collect();
    match node {
        n if n < REGION => vec![members],
        n if n < REGION + SITE => vec![regions, members],
        _ => vec![site, regions, members],
    }
}

fn core(node: usize, disk: &Table, seed: u64) -> Subscriber {
    Subscriber::new(disk.clone(), PublisherSelector::new(node as u64, &tiers(node), seed))
}

/// One run.
pub(crate) fn run(seed: u64, broken: Broken) -> Report {
    let mut world = World::new(seed, broken);
    let verdict = world.play();
    Report {
        verdict,
        changes: world.log.entries.len(),
        purges: world.log.purged(),
        kills: world.kills,
        cut: world.cut,
    }
}

impl World {
    fn new(seed: u64, broken: Broken) -> World {
        let mut rng = Rng::with_seed(seed);
        let node = |n: usize| Node {
            core: core(n, &Table::default(), rng.u64(..)),
            tiers: tiers(n),
            disk: Table::default(),
            started: 0,
            life: 0,
            down: None,
            slow: 0,
            conn: None,
            seen: Seen::default(),
        };
        let nodes = (0..NODES).map(node).collect();
        let members = (0..MEMBERS).map(|_| Member::default()).collect();
        let (log, net) = (Log::default(), Net::default());
        World { now: 0, rng, log, members, nodes, net, broken, kills: 0, cut: 0, rejected: 0 }
    }

    fn play(&mut self) -> Result<(), String> {
        while self.now < END {
            self.now += TICK;
            if self.now < WRONG {
                self.go_wrong();
            } else if self.now < WRONG + TICK {
                self.heal();
            }
            cluster::advance(self);
            self.revive();
            self.carry()?;
            for node in 0..NODES {
                self.drive(node)?;
            }
            self.publish()?;
            check::always(self)?;
        }
        check::end(self)
    }

    /// Something goes wrong now and then.
    fn go_wrong(&mut self) {
        let now = self.now;
        if self.rng.u32(..100) == 0 {
            let node = self.rng.usize(..NODES);
            match self.rng.u32(..4) {
                0 | 1 => self.kill(node),
                2 => self.nodes[node].slow = now + self.rng.u64(500..15_000),
                _ => {
                    let until = now + self.rng.u64(500..8_000);
                    let reset = self.rng.bool();
                    self.net.stall(node, until, reset, now);
                }
            }
        }
        if self.rng.u32(..250) == 0 {
            let (member, until) = (self.rng.usize(..MEMBERS), now + self.rng.u64(500..10_000));
            if self.rng.bool() {
                self.kills += 1;
                self.members[member].down = until;
                let told = self.rng.bool();
                self.net.lost(|conn| conn.server == format!("member-{member}"), told, now);
            } else {
                self.members[member].lags = until;
            }
        }
    }

    fn heal(&mut self) {
        self.net.heal(self.now);
        for member in &mut self.members {
            (member.down, member.lags) = (self.now, self.now);
        }
        for node in &mut self.nodes {
            (node.slow, node.down) = (0, node.down.map(|_| self.now));
        }
    }

    fn kill(&mut self, node: usize) {
        if !self.nodes[node].alive() {
            return;
        }
        self.kills += 1;
        self.nodes[node].down = Some(self.now + self.rng.u64(200..5_000));
        let (name, told) = (name(node), self.rng.bool());
        // By a kill, of which the others are told, or by a power cut.
        self.net.lost(|conn| conn.client == node || conn.server == name, told, self.now);
    }

    fn revive(&mut self) {
        let (now, broken) = (self.now, self.broken);
        for n in 0..NODES {
            let node = &mut self.nodes[n];
            if node.down.is_some_and(|until| until <= now) {
                let disk = if broken == Broken::Disk { Table::default() } else { node.disk.clone() };
                (node.core, node.down, node.started) = (core(n, &disk, self.rng.u64(..)), None, now);
                (node.life, node.conn, node.slow) = (node.life + 1, None, 0);
                node.seen.restarted();
            }
        }
    }

    /// A node's own side: what its core wants.
    fn drive(&mut self, n: usize) -> Result<(), String> {
        let (now, started) = (self.now, self.nodes[n].started);
        if !self.nodes[n].alive() || now < self.nodes[n].slow {
            return Ok(());
        }
        while let Some(action) = self.nodes[n].core.poll(now - started) {
            match action {
                Action::Connect(addr) => {
                    self.nodes[n].conn = Some(self.net.connect(n, addr, now, &mut self.rng));
                }
                Action::Send(bytes) => {
                    if let Some(conn) = self.nodes[n].conn {
                        self.net.up(conn, bytes, now, &mut self.rng);
                    }
                }
                Action::Close(_) => {
                    if let Some(conn) = self.nodes[n].conn.take() {
                        self.net.close(conn, now);
                    }
                }
            }
        }
        Ok(())
    }

    /// Whether a publisher is up, and its table with how stale it is.
    fn publisher<R>(
        &mut self,
        server: &str,
        work: impl FnOnce(&mut Table, Option<Millis>, bool) -> R,
    ) -> Option<R> {
        let now = self.now;
        if let Some(member) = server.strip_prefix("member-") {
            let member = &mut self.members[member.parse::<usize>().ok()?];
            let stale = member.confirmed.map(|at| now - at);
            return (member.down <= now).then(|| work(&mut member.table, stale, true));
        }
        let node = &mut self.nodes[server.rsplit('-').next()?.parse::<usize>().ok()?];
        let stale = node.core.stale_ms(now - node.started);
        node.alive().then(|| work(&mut node.core.table, stale, false))
    }

    /// What has arrived by now.
    fn carry(&mut self) -> Result<(), String> {
        for id in self.net.ids() {
            let Some(mut conn) = self.net.conns.remove(&id) else { continue };
            if self.deliver(id, &mut conn)? {
                self.net.conns.insert(id, conn);
            }
        }
        Ok(())
    }

    /// Delivers what has arrived on a connection; whether it still stands.
    fn deliver(&mut self, id: u64, conn: &mut Conn) -> Result<bool, String> {
        let (now, n) = (self.now, conn.client);
        let mine = self.nodes[n].alive() && self.nodes[n].conn == Some(id);
        if conn.opening.is_some_and(|at| at <= now && now >= conn.stalled) {
            conn.opening = None;
            let up = self.publisher(&conn.server, |_, _, _| ()).is_some();
            if !up {
                return Ok(self.lose(id, mine));
            }
            if mine {
                let local = now - self.nodes[n].started;
                let hello = self.nodes[n].core.on_connected(local);
                conn.up.push_back((now + self.rng.u64(1..40), hello));
            }
        }
        while let Some(bytes) = net::arrived(&mut conn.up, conn.stalled, now) {
            if !self.hear(conn, &bytes) {
                conn.closing = Some(now);
                break;
            }
        }
        if mine && now >= self.nodes[n].slow {
            while let Some(bytes) = net::arrived(&mut conn.down, conn.stalled, now) {
                if !self.take(n, &bytes)? {
                    self.nodes[n].conn = None;
                    return Ok(false);
                }
            }
        }
        let ended = conn.closing.is_some_and(|at| at <= now) && (conn.down.is_empty() || !mine);
        Ok(if ended { self.lose(id, mine) } else { true })
    }

    /// A connection is no more, which its client is told if it still has it.
    fn lose(&mut self, id: u64, mine: bool) -> bool {
        if let Some(n) = (0..NODES).find(|&n| mine && self.nodes[n].conn == Some(id)) {
            let local = self.now - self.nodes[n].started;
            self.nodes[n].core.on_closed(local);
            self.nodes[n].conn = None;
        }
        false
    }

    /// A publisher hears its subscriber; whether it goes on.
    fn hear(&mut self, conn: &mut Conn, bytes: &[u8]) -> bool {
        let (now, limits) = (self.now, Limits::default());
        let Ok(frame) = decode_frame::<SubscriberFrame>(bytes) else { return false };
        let done = match (frame, &mut conn.session) {
            (SubscriberFrame::Hello(hello), None) => {
                match self.publisher(&conn.server, |table, _, member| {
                    Session::open(&hello, table, member, limits, now)
                }) {
                    Some(Ok(session)) => {
                        conn.session = Some(session);
                        Ok(())
                    }
                    Some(Err(why)) => Err(why),
                    None => return false,
                }
            }
            (SubscriberFrame::Ack(ack), Some(session)) => session.on_ack(ack, now),
            _ => return false,
        };
        match done {
            Ok(()) => true,
            Err(why) => self.reject(conn, why),
        }
    }

    fn reject(&mut self, conn: &mut Conn, why: SessionRejection) -> bool {
        self.rejected += 1;
        self.cut += u64::from(matches!(why, SessionRejection::TooSlow(_)));
        if let Ok(bytes) = encode_frame(&PublisherFrame::Rejected(why)) {
            conn.down.push_back((self.now + 1, bytes));
        }
        conn.session = None;
        false
    }

    /// A node takes a frame; whether it goes on.
    fn take(&mut self, n: usize, bytes: &[u8]) -> Result<bool, String> {
        let (now, broken) = (self.now, self.broken);
        let node = &mut self.nodes[n];
        let local = now - node.started;
        match node.core.on_frame(bytes, local) {
            Ok(events) => {
                for event in events {
                    if let Event::Changed(_) = &event {
                        node.disk = node.core.table.clone();
                    }
                    let dropped = broken == Broken::Purge && self.rng.u32(..200) == 0;
                    node.seen.event(event, &node.core.table, now, dropped)?;
                }
                Ok(true)
            }
            Err(_) => {
                node.core.on_closed(local);
                Ok(false)
            }
        }
    }

    /// What publishers send.
    fn publish(&mut self) -> Result<(), String> {
        let now = self.now;
        for id in self.net.ids() {
            let Some(mut conn) = self.net.conns.remove(&id) else { continue };
            if let Some(mut session) = conn.session.take() {
                let polled = self.publisher(&conn.server, |table, stale, _| session.poll(now, table, stale));
                match polled {
                    Some(Ok(Some(bytes))) => {
                        let bytes = self.tampered(bytes);
                        conn.account(bytes.len(), now)?;
                        conn.send_down(bytes, now, &mut self.rng);
                        conn.session = Some(session);
                    }
                    Some(Ok(None)) | None => conn.session = Some(session),
                    Some(Err(why)) => {
                        self.reject(&mut conn, why);
                        conn.closing = Some(now);
                    }
                }
            }
            self.net.conns.insert(id, conn);
        }
        Ok(())
    }

    fn tampered(&mut self, bytes: Vec<u8>) -> Vec<u8> {
        if self.broken != Broken::Record || self.rng.u32(..20) > 0 {
            return bytes;
        }
        match decode_frame::<PublisherFrame>(&bytes) {
            Ok(PublisherFrame::Update(mut update)) if !update.records.is_empty() => {
                update.records.remove(0);
                let update: Box<Update> = update;
                encode_frame(&PublisherFrame::Update(update)).unwrap_or(bytes)
            }
            _ => bytes,
        }
    }
}
