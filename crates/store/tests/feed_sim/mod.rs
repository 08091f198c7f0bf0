//! Simulates members, relays and subscribers in virtual time. Their state machines run over a network that delays,
//! stalls and closes connections. Members, relays and subscribers are killed, members lag, and subscribers read slowly.
//! A run's faults follow from its seed.
#![allow(dead_code)] // the example and the tests use different parts

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

/// A bug that is injected to test the checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    None,
    /// Publishers sometimes leave out a record.
    OmittedRecord,
    /// Nodes sometimes drop purges.
    DroppedPurge,
    /// Nodes lose their saved state when they restart.
    LostSavedState,
}

/// The step of the virtual time.
pub(crate) const TICK_MS: Millis = 25;
/// Until when faults are injected, in ms.
pub(crate) const FAULTS_END: Millis = 30_000;
/// From when on the network is calm, so that changes have to arrive in time, in ms.
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
    /// The addresses of the node's publishers, by tier.
    tiers: Vec<Vec<String>>,
    /// The state that the node has saved on its disk.
    disk: FeedTable,
    /// When the node's current incarnation started.
    pub started_at: Millis,
    pub incarnation: u64,
    /// Until when the node is down; none while it runs.
    down_until: Option<Millis>,
    /// Until when the node is slow: its subscriber takes no action, and reads nothing from its connection.
    slow_until: Millis,
    /// The id of the node's connection to a publisher; none while it has no connection.
    conn: Option<u64>,
    pub observed: Observed,
}

impl Node {
    pub(crate) fn is_alive(&self) -> bool {
        self.down_until.is_none()
    }
}

/// The simulated cluster, its subscribers and the network between them.
pub(crate) struct World {
    pub now: Millis,
    pub rng: Rng,
    pub log: Log,
    pub members: Vec<Member>,
    pub nodes: Vec<Node>,
    net: Network,
    bug: InjectedBug,
    pub kills: u64,
    /// The number of slow subscribers that were disconnected.
    pub disconnected: u64,
    /// The number of sessions that were rejected.
    pub rejected: u64,
}

/// The result of a run.
#[derive(Debug)]
pub(crate) struct Report {
    pub verdict: Result<(), String>,
    pub changes: usize,
    pub purges: u64,
    pub kills: u64,
    /// The number of slow subscribers that were disconnected.
    pub disconnected: u64,
}

/// The address of a node.
fn name(node: usize) -> String {
    match node {
        n if n < REGION_RELAYS => format!("region-{n}"),
        n if n < REGION_RELAYS + SITE_RELAYS => format!("site-{n}"),
        n => format!("node-{n}"),
    }
}

/// The publishers of a node, in tiers, of which the first is preferred.
fn tiers(node: usize) -> Vec<Vec<String>> {
    let members = (0..MEMBERS).map(|n| format!("member-{n}")).collect();
    let regions = (0..REGION_RELAYS).map(name).collect();
    // Each site has two relays.
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
pub(crate) fn run(seed: u64, bug: InjectedBug) -> Report {
    let mut world = World::new(seed, bug);
    let verdict = world.run();
    Report {
        verdict,
        changes: world.log.entries.len(),
        purges: world.log.purge_count(),
        kills: world.kills,
        disconnected: world.disconnected,
    }
}

impl World {
    fn new(seed: u64, bug: InjectedBug) -> World {
        let mut rng = Rng::with_seed(seed);
        let node = |n: usize| Node {
            subscriber: subscriber(n, &FeedTable::default(), rng.u64(..)),
            tiers: tiers(n),
            disk: FeedTable::default(),
            started_at: 0,
            incarnation: 0,
            down_until: None,
            slow_until: 0,
            conn: None,
            observed: Observed::default(),
        };
        let nodes = (0..NODES).map(node).collect();
        let members = (0..MEMBERS).map(|_| Member::default()).collect();
        let (log, net) = (Log::default(), Network::default());
        World { now: 0, rng, log, members, nodes, net, bug, kills: 0, disconnected: 0, rejected: 0 }
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
            check::check_step(self)?;
        }
        check::check_end(self)
    }

    /// Injects faults at random.
    fn inject_faults(&mut self) {
        let now = self.now;
        if self.rng.u32(..100) == 0 {
            let node = self.rng.usize(..NODES);
            match self.rng.u32(..4) {
                0 | 1 => self.kill(node),
                2 => self.nodes[node].slow_until = now + self.rng.u64(500..15_000),
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
                self.members[member].down_until = until;
                let is_notified = self.rng.bool();
                self.net.disconnect(|conn| conn.server == format!("member-{member}"), is_notified, now);
            } else {
                self.members[member].lagging_until = until;
            }
        }
    }

    /// Ends all faults.
    fn heal(&mut self) {
        self.net.heal(self.now);
        for member in &mut self.members {
            (member.down_until, member.lagging_until) = (self.now, self.now);
        }
        for node in &mut self.nodes {
            (node.slow_until, node.down_until) = (0, node.down_until.map(|_| self.now));
        }
    }

    /// Kills a node, which restarts after a while.
    fn kill(&mut self, node: usize) {
        if !self.nodes[node].is_alive() {
            return;
        }
        self.kills += 1;
        self.nodes[node].down_until = Some(self.now + self.rng.u64(200..5_000));
        let (name, is_notified) = (name(node), self.rng.bool());
        // A killed process closes its connections; after a power cut the other sides are not notified.
        self.net.disconnect(|conn| conn.client == node || conn.server == name, is_notified, self.now);
    }

    /// Restarts the nodes whose downtime is over.
    fn restart_nodes(&mut self) {
        let (now, bug) = (self.now, self.bug);
        for n in 0..NODES {
            let node = &mut self.nodes[n];
            if node.down_until.is_some_and(|until| until <= now) {
                let disk =
                    if bug == InjectedBug::LostSavedState { FeedTable::default() } else { node.disk.clone() };
                (node.subscriber, node.down_until, node.started_at) =
                    (subscriber(n, &disk, self.rng.u64(..)), None, now);
                (node.incarnation, node.conn, node.slow_until) = (node.incarnation + 1, None, 0);
                node.observed.on_restart();
            }
        }
    }

    /// Carries out the actions of a node's subscriber.
    fn poll_subscriber(&mut self, n: usize) -> Result<(), String> {
        let (now, started) = (self.now, self.nodes[n].started_at);
        if !self.nodes[n].is_alive() || now < self.nodes[n].slow_until {
            return Ok(());
        }
        while let Some(action) = self.nodes[n].subscriber.poll(now - started) {
            match action {
                Action::Connect(addr) => {
                    self.nodes[n].conn = Some(self.net.connect(n, addr, now, &mut self.rng));
                }
                Action::Send(bytes) => {
                    if let Some(conn) = self.nodes[n].conn {
                        self.net.send_up(conn, bytes, now, &mut self.rng);
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

    /// Calls `work` with a publisher's table, its staleness and whether it is a member. Returns none if the publisher
    /// is down.
    fn with_publisher<R>(
        &mut self,
        server: &str,
        work: impl FnOnce(&mut FeedTable, Option<Millis>, bool) -> R,
    ) -> Option<R> {
        let now = self.now;
        if let Some(member) = server.strip_prefix("member-") {
            let member = &mut self.members[member.parse::<usize>().ok()?];
            let stale = member.confirmed_at.map(|at| now - at);
            return (member.down_until <= now).then(|| work(&mut member.table, stale, true));
        }
        let node = &mut self.nodes[server.rsplit('-').next()?.parse::<usize>().ok()?];
        let stale = node.subscriber.stale_ms(now - node.started_at);
        node.is_alive().then(|| work(&mut node.subscriber.table, stale, false))
    }

    /// Delivers the messages that have arrived by now on all connections.
    fn deliver_all(&mut self) -> Result<(), String> {
        for id in self.net.ids() {
            let Some(mut conn) = self.net.conns.remove(&id) else { continue };
            if self.deliver(id, &mut conn)? {
                self.net.conns.insert(id, conn);
            }
        }
        Ok(())
    }

    /// Delivers the messages that have arrived on a connection. Returns whether it is still open.
    fn deliver(&mut self, id: u64, conn: &mut Conn) -> Result<bool, String> {
        let (now, n) = (self.now, conn.client);
        let is_current = self.nodes[n].is_alive() && self.nodes[n].conn == Some(id);
        if conn.opens_at.is_some_and(|at| at <= now && now >= conn.stalled_until) {
            conn.opens_at = None;
            let is_up = self.with_publisher(&conn.server, |_, _, _| ()).is_some();
            if !is_up {
                return Ok(self.notify_closed(id, is_current));
            }
            if is_current {
                let local_now = now - self.nodes[n].started_at;
                let hello = self.nodes[n].subscriber.on_connected(local_now);
                conn.uplink.push_back((now + self.rng.u64(1..40), hello));
            }
        }
        while let Some(bytes) = net::pop_arrived(&mut conn.uplink, conn.stalled_until, now) {
            if !self.receive_at_publisher(conn, &bytes) {
                conn.closes_at = Some(now);
                break;
            }
        }
        if is_current && now >= self.nodes[n].slow_until {
            while let Some(bytes) = net::pop_arrived(&mut conn.downlink, conn.stalled_until, now) {
                if !self.receive_at_subscriber(n, &bytes)? {
                    self.nodes[n].conn = None;
                    return Ok(false);
                }
            }
        }
        let has_ended =
            conn.closes_at.is_some_and(|at| at <= now) && (conn.downlink.is_empty() || !is_current);
        Ok(if has_ended { self.notify_closed(id, is_current) } else { true })
    }

    /// Notifies a connection's client, if it still uses the connection, that it is closed. Always returns false,
    /// because the connection isn't open any more.
    fn notify_closed(&mut self, id: u64, is_current: bool) -> bool {
        if let Some(n) = (0..NODES).find(|&n| is_current && self.nodes[n].conn == Some(id)) {
            let local_now = self.now - self.nodes[n].started_at;
            self.nodes[n].subscriber.on_closed(local_now);
            self.nodes[n].conn = None;
        }
        false
    }

    /// Processes a frame that a publisher receives. Returns whether the session goes on.
    fn receive_at_publisher(&mut self, conn: &mut Conn, bytes: &[u8]) -> bool {
        let (now, limits) = (self.now, SessionLimits::default());
        let Ok(frame) = decode_frame::<SubscriberFrame>(bytes) else { return false };
        let result = match (frame, &mut conn.session) {
            (SubscriberFrame::Hello(hello), None) => {
                match self.with_publisher(&conn.server, |table, _, member| {
                    PublisherSession::open(&hello, table, member, limits, now)
                }) {
                    Some(Ok(session)) => {
                        conn.session = Some(session);
                        Ok(())
                    }
                    Some(Err(reason)) => Err(reason),
                    None => return false,
                }
            }
            (SubscriberFrame::Ack(ack), Some(session)) => session.on_ack(ack, now),
            _ => return false,
        };
        match result {
            Ok(()) => true,
            Err(reason) => self.reject(conn, reason),
        }
    }

    /// Rejects a session. Always returns false, because the session ends.
    fn reject(&mut self, conn: &mut Conn, reason: SessionRejection) -> bool {
        self.rejected += 1;
        self.disconnected += u64::from(matches!(reason, SessionRejection::TooSlow(_)));
        if let Ok(bytes) = encode_frame(&PublisherFrame::Rejected(reason)) {
            conn.downlink.push_back((self.now + 1, bytes));
        }
        conn.session = None;
        false
    }

    /// Processes a frame that a subscriber receives. Returns whether the connection goes on.
    fn receive_at_subscriber(&mut self, n: usize, bytes: &[u8]) -> Result<bool, String> {
        let (now, bug) = (self.now, self.bug);
        let node = &mut self.nodes[n];
        let local_now = now - node.started_at;
        match node.subscriber.on_frame(bytes, local_now) {
            Ok(events) => {
                for event in events {
                    if let Event::Changed(_) = &event {
                        node.disk = node.subscriber.table.clone();
                    }
                    let dropped = bug == InjectedBug::DroppedPurge && self.rng.u32(..200) == 0;
                    node.observed.on_event(event, &node.subscriber.table, now, dropped)?;
                }
                Ok(true)
            }
            Err(_) => {
                node.subscriber.on_closed(local_now);
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
                        conn.check_send_rate(bytes.len(), now)?;
                        conn.send_down(bytes, now, &mut self.rng);
                        conn.session = Some(session);
                    }
                    Some(Ok(None)) | None => conn.session = Some(session),
                    Some(Err(reason)) => {
                        self.reject(&mut conn, reason);
                        conn.closes_at = Some(now);
                    }
                }
            }
            self.net.conns.insert(id, conn);
        }
        Ok(())
    }

    /// With [`InjectedBug::OmittedRecord`], removes the first record of some updates.
    fn maybe_drop_record(&mut self, bytes: Vec<u8>) -> Vec<u8> {
        if self.bug != InjectedBug::OmittedRecord || self.rng.u32(..20) > 0 {
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
