//! Members, relays and subscribers in virtual time, from a seed: the pure state machines over a network that delays,
//! stalls and closes connections, with kills of members, relays and subscribers, members that lag, and slow readers.
#![allow(dead_code)] // the command and the tests use different parts

pub(crate) mod check;
pub(crate) mod cluster;
pub(crate) mod net;

use fastrand::Rng;
use stonefold_store::feed::frame::{
    PublisherFrame, SessionRejection, SubscriberFrame, Update, decode_frame, encode_frame,
};
use stonefold_store::feed::publisher::{PublisherSession, SessionLimits};
use stonefold_store::feed::selector::PublisherSelector;
use stonefold_store::feed::subscriber::{Action, Event, Subscriber};
use stonefold_store::feed::table::FeedTable;

use check::Observed;
use cluster::{Log, MEMBERS, Member};
use net::{Conn, Network};

pub(crate) type Millis = u64;

/// What is broken on purpose, to test the checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    Nothing,
    /// A publisher drops a record.
    Record,
    /// A node drops a purge.
    Purge,
    /// A node loses its saved state at a restart.
    Disk,
}

/// The step of the virtual time.
pub(crate) const TICK_MS: Millis = 25;
/// Until when faults are injected, in ms.
pub(crate) const FAULTS_END: Millis = 30_000;
/// From when on changes have to arrive in time, in ms.
pub(crate) const CALM_START: Millis = 55_000;
/// Until when changes are made, in ms.
pub(crate) const CHANGES_END: Millis = 62_000;
/// The end of a run, in ms.
pub(crate) const RUN_END: Millis = 81_000;
const REGION_RELAYS: usize = 2;
const SITE_RELAYS: usize = 4;
const PLAIN_SUBSCRIBERS: usize = 12;
pub(crate) const NODES: usize = REGION_RELAYS + SITE_RELAYS + PLAIN_SUBSCRIBERS;

/// A relay or a subscriber.
pub(crate) struct Node {
    pub subscriber: Subscriber,
    tiers: Vec<Vec<String>>,
    /// The state that it used, as saved on its disk.
    disk: FeedTable,
    pub started: Millis,
    pub incarnation: u64,
    /// Until when it is down.
    down: Option<Millis>,
    /// Until when it reads nothing.
    slow: Millis,
    conn: Option<u64>,
    pub observed: Observed,
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
    net: Network,
    broken: Broken,
    pub kills: u64,
    pub disconnected: u64,
    pub rejected: u64,
}

/// The result of a run.
#[derive(Debug)]
pub(crate) struct Report {
    pub verdict: Result<(), String>,
    pub changes: usize,
    pub purges: u64,
    pub kills: u64,
    /// Slow subscribers that were disconnected.
    pub disconnected: u64,
}

fn name(node: usize) -> String {
    match node {
        n if n < REGION_RELAYS => format!("region-{n}"),
        n if n < REGION_RELAYS + SITE_RELAYS => format!("site-{n}"),
        n => format!("node-{n}"),
    }
}

fn tiers(node: usize) -> Vec<Vec<String>> {
    let members = (0..MEMBERS).map(|n| format!("member-{n}")).collect();
    let regions = (0..REGION_RELAYS).map(name).collect();
    // Two relays for each site.
    let site = (REGION_RELAYS + node % 2 * 2..REGION_RELAYS + node % 2 * 2 + 2).map(name).collect();
    match node {
        n if n < REGION_RELAYS => vec![members],
        n if n < REGION_RELAYS + SITE_RELAYS => vec![regions, members],
        _ => vec![site, regions, members],
    }
}

fn subscriber(node: usize, disk: &FeedTable, seed: u64) -> Subscriber {
    Subscriber::new(disk.clone(), PublisherSelector::new(node as u64, &tiers(node), seed))
}

/// Runs the simulation once.
pub(crate) fn run(seed: u64, broken: Broken) -> Report {
    let mut world = World::new(seed, broken);
    let verdict = world.run();
    Report {
        verdict,
        changes: world.log.entries.len(),
        purges: world.log.purged(),
        kills: world.kills,
        disconnected: world.disconnected,
    }
}

impl World {
    fn new(seed: u64, broken: Broken) -> World {
        let mut rng = Rng::with_seed(seed);
        let node = |n: usize| Node {
            subscriber: subscriber(n, &FeedTable::default(), rng.u64(..)),
            tiers: tiers(n),
            disk: FeedTable::default(),
            started: 0,
            incarnation: 0,
            down: None,
            slow: 0,
            conn: None,
            observed: Observed::default(),
        };
        let nodes = (0..NODES).map(node).collect();
        let members = (0..MEMBERS).map(|_| Member::default()).collect();
        let (log, net) = (Log::default(), Network::default());
        World { now: 0, rng, log, members, nodes, net, broken, kills: 0, disconnected: 0, rejected: 0 }
    }

    fn run(&mut self) -> Result<(), String> {
        while self.now < RUN_END {
            self.now += TICK_MS;
            if self.now < FAULTS_END {
                self.inject_faults();
            } else if self.now < FAULTS_END + TICK_MS {
                self.heal();
            }
            cluster::advance(self);
            self.restart_nodes();
            self.deliver_all()?;
            for node in 0..NODES {
                self.poll_subscriber(node)?;
            }
            self.send_updates()?;
            check::always(self)?;
        }
        check::end(self)
    }

    /// Injects a fault now and then.
    fn inject_faults(&mut self) {
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
                let is_notified = self.rng.bool();
                self.net.lost(|conn| conn.server == format!("member-{member}"), is_notified, now);
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
        let (name, is_notified) = (name(node), self.rng.bool());
        // By a kill, which closes its connections, or by a power cut, which doesn't.
        self.net.lost(|conn| conn.client == node || conn.server == name, is_notified, self.now);
    }

    fn restart_nodes(&mut self) {
        let (now, broken) = (self.now, self.broken);
        for n in 0..NODES {
            let node = &mut self.nodes[n];
            if node.down.is_some_and(|until| until <= now) {
                let disk = if broken == Broken::Disk { FeedTable::default() } else { node.disk.clone() };
                (node.subscriber, node.down, node.started) =
                    (subscriber(n, &disk, self.rng.u64(..)), None, now);
                (node.incarnation, node.conn, node.slow) = (node.incarnation + 1, None, 0);
                node.observed.restarted();
            }
        }
    }

    /// Carries out the actions of a node's subscriber.
    fn poll_subscriber(&mut self, n: usize) -> Result<(), String> {
        let (now, started) = (self.now, self.nodes[n].started);
        if !self.nodes[n].alive() || now < self.nodes[n].slow {
            return Ok(());
        }
        while let Some(action) = self.nodes[n].subscriber.poll(now - started) {
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

    /// Runs `work` on a publisher's table, with its staleness and whether it is a member; nothing if it is down.
    fn with_publisher<R>(
        &mut self,
        server: &str,
        work: impl FnOnce(&mut FeedTable, Option<Millis>, bool) -> R,
    ) -> Option<R> {
        let now = self.now;
        if let Some(member) = server.strip_prefix("member-") {
            let member = &mut self.members[member.parse::<usize>().ok()?];
            let stale = member.confirmed.map(|at| now - at);
            return (member.down <= now).then(|| work(&mut member.table, stale, true));
        }
        let node = &mut self.nodes[server.rsplit('-').next()?.parse::<usize>().ok()?];
        let stale = node.subscriber.stale_ms(now - node.started);
        node.alive().then(|| work(&mut node.subscriber.table, stale, false))
    }

    /// Delivers what has arrived by now.
    fn deliver_all(&mut self) -> Result<(), String> {
        for id in self.net.ids() {
            let Some(mut conn) = self.net.conns.remove(&id) else { continue };
            if self.deliver(id, &mut conn)? {
                self.net.conns.insert(id, conn);
            }
        }
        Ok(())
    }

    /// Delivers what has arrived on a connection; whether it is still open.
    fn deliver(&mut self, id: u64, conn: &mut Conn) -> Result<bool, String> {
        let (now, n) = (self.now, conn.client);
        let mine = self.nodes[n].alive() && self.nodes[n].conn == Some(id);
        if conn.opening.is_some_and(|at| at <= now && now >= conn.stalled) {
            conn.opening = None;
            let up = self.with_publisher(&conn.server, |_, _, _| ()).is_some();
            if !up {
                return Ok(self.lose(id, mine));
            }
            if mine {
                let local = now - self.nodes[n].started;
                let hello = self.nodes[n].subscriber.on_connected(local);
                conn.up.push_back((now + self.rng.u64(1..40), hello));
            }
        }
        while let Some(bytes) = net::arrived(&mut conn.up, conn.stalled, now) {
            if !self.receive_at_publisher(conn, &bytes) {
                conn.closing = Some(now);
                break;
            }
        }
        if mine && now >= self.nodes[n].slow {
            while let Some(bytes) = net::arrived(&mut conn.down, conn.stalled, now) {
                if !self.receive_at_subscriber(n, &bytes)? {
                    self.nodes[n].conn = None;
                    return Ok(false);
                }
            }
        }
        let ended = conn.closing.is_some_and(|at| at <= now) && (conn.down.is_empty() || !mine);
        Ok(if ended { self.lose(id, mine) } else { true })
    }

    /// Closes a connection at its client, if that still has it.
    fn lose(&mut self, id: u64, mine: bool) -> bool {
        if let Some(n) = (0..NODES).find(|&n| mine && self.nodes[n].conn == Some(id)) {
            let local = self.now - self.nodes[n].started;
            self.nodes[n].subscriber.on_closed(local);
            self.nodes[n].conn = None;
        }
        false
    }

    /// A publisher receives a frame; whether the session goes on.
    fn receive_at_publisher(&mut self, conn: &mut Conn, bytes: &[u8]) -> bool {
        let (now, limits) = (self.now, SessionLimits::default());
        let Ok(frame) = decode_frame::<SubscriberFrame>(bytes) else { return false };
        let done = match (frame, &mut conn.session) {
            (SubscriberFrame::Hello(hello), None) => {
                match self.with_publisher(&conn.server, |table, _, member| {
                    PublisherSession::open(&hello, table, member, limits, now)
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
        self.disconnected += u64::from(matches!(why, SessionRejection::TooSlow(_)));
        if let Ok(bytes) = encode_frame(&PublisherFrame::Rejected(why)) {
            conn.down.push_back((self.now + 1, bytes));
        }
        conn.session = None;
        false
    }

    /// A subscriber receives a frame; whether the connection goes on.
    fn receive_at_subscriber(&mut self, n: usize, bytes: &[u8]) -> Result<bool, String> {
        let (now, broken) = (self.now, self.broken);
        let node = &mut self.nodes[n];
        let local = now - node.started;
        match node.subscriber.on_frame(bytes, local) {
            Ok(events) => {
                for event in events {
                    if let Event::Changed(_) = &event {
                        node.disk = node.subscriber.table.clone();
                    }
                    let dropped = broken == Broken::Purge && self.rng.u32(..200) == 0;
                    node.observed.event(event, &node.subscriber.table, now, dropped)?;
                }
                Ok(true)
            }
            Err(_) => {
                node.subscriber.on_closed(local);
                Ok(false)
            }
        }
    }

    /// Sends the publishers' frames.
    fn send_updates(&mut self) -> Result<(), String> {
        let now = self.now;
        for id in self.net.ids() {
            let Some(mut conn) = self.net.conns.remove(&id) else { continue };
            if let Some(mut session) = conn.session.take() {
                let polled =
                    self.with_publisher(&conn.server, |table, stale, _| session.poll(now, table, stale));
                match polled {
                    Some(Ok(Some(bytes))) => {
                        let bytes = self.maybe_drop_record(bytes);
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

    fn maybe_drop_record(&mut self, bytes: Vec<u8>) -> Vec<u8> {
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
