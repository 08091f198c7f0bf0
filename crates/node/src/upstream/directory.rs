//! The servers that discovery has named: their ids for the module, addresses and idle connections.

use std::borrow::Cow;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stonefold_balancer::settings_document::ResolvedSettings;
use stonefold_balancer::{Endpoint, EndpointState, Micros, ServerId};
use stonefold_proto::endpoints::{EndpointList, ListedServer, ServerState};
use tokio::time::Instant;
use tracing::{info, trace};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::connection::Connection;
use super::send_permit::{SendConditions, SendPermit, ServingFlag};
use super::starts::{ListDate, Starts};
use crate::metrics::Metrics;

/// A connection rests for so long before it is used again, if another can be.
///
/// Guards against: what the server has still sent or done after its answer, a close or some bytes more, which
/// meets the next request when that follows at once.
const REST: Duration = Duration::from_millis(1);

/// A connection that is used again this soon after its last answer may meet a second copy of it.
const SOON: Duration = Duration::from_millis(10);

/// Names that are known after they have left the list: several times the servers of a large site, some 200 KB.
///
/// Guards against: an order for a server that has died and will be back, taken for a slip of the pen.
const FORMER_NAMES: usize = 4_096;

struct Server {
    name: String,
    addr: SocketAddr,
    origin: bool,
    /// Whether the list says that it serves.
    up: bool,
    serving: ServingFlag,
    /// As it was last listed, for what is said of changes.
    state: EndpointState,
    started_ms: f64,
    /// As the module has it.
    member: Endpoint,
    /// Whether its start is as the first list had it, by a wall clock that may be ahead.
    start_is_unsure: bool,
    /// Connections between requests, the most recently used last.
    idle: Vec<(Instant, Connection)>,
}

/// Where an attempt goes.
pub struct Target {
    pub addr: SocketAddr,
    pub origin: bool,
    pub permit: SendPermit,
}

/// The servers by id.
pub struct Directory {
    servers: HashMap<ServerId, Server>,
    /// Servers out by hand, listed or not: their ids are theirs.
    banned: HashMap<ServerId, String>,
    /// Names that have left the list, the latest last.
    gone: VecDeque<String>,
    /// An idle connection is closed at this age: before the server does it.
    idle_limit: Duration,
    metrics: Arc<Metrics>,
}

impl Directory {
    pub fn new(keepalive: Duration, metrics: Arc<Metrics>) -> Self {
        let (servers, banned, gone) = Default::default();
        let mut directory = Directory { servers, banned, gone, idle_limit: Duration::ZERO, metrics };
        directory.set_keepalive(keepalive);
        directory
    }

    /// Servers close a connection that has idled for so long.
    pub fn set_keepalive(&mut self, keepalive: Duration) {
        self.idle_limit = keepalive * 9 / 10;
    }

    /// Takes over a list, as it is dated; tells the module's view of its entries.
    pub fn apply(
        &mut self,
        mut list: EndpointList,
        dated: ListDate,
        setup: &mut ResolvedSettings,
    ) -> Vec<Endpoint> {
        // In order of their names: ids that collide come out alike at every node.
        list.servers.sort_by(|a, b| a.id.cmp(&b.id));
        if list.full {
            let names = &list.servers;
            let listed = |name: &String| names.binary_search_by(|e| e.id.cmp(name)).is_ok();
            let (gone, banned) = (&mut self.gone, &self.banned);
            self.servers.retain(|id, server| {
                listed(&server.name) || {
                    server.close();
                    info!(event = "server_gone", server = server.name, "a server has left the list");
                    note_gone(gone, &server.name, banned.contains_key(id))
                }
            });
        }
        let starts = Starts::new(&list.servers, dated);
        let latest = list.servers.iter().filter(|entry| self.is_new_start(entry));
        let latest = latest.map(|entry| entry.started_ms).fold(0.0, f64::max);
        let mut members: Vec<Endpoint> =
            list.servers.into_iter().map(|entry| self.enter(entry, &starts, setup)).collect();
        for corrected in self.corrected(starts.ahead(latest)) {
            match members.iter_mut().find(|member| member.id == corrected.id) {
                Some(member) => *member = corrected,
                None => members.push(corrected),
            }
        }
        members
    }

    fn is_new_start(&self, entry: &ListedServer) -> bool {
        let known = self.servers.get(&self.id_of(&entry.id));
        known.is_none_or(|server| server.started_ms != entry.started_ms)
    }

    /// The servers whose starts are later than the first list made them seem, by a clock that was so far ahead.
    fn corrected(&mut self, ahead: Option<Micros>) -> Vec<Endpoint> {
        let Some(ahead) = ahead else { return Vec::new() };
        let mut corrected = Vec::new();
        for server in self.servers.values_mut().filter(|server| server.start_is_unsure) {
            server.start_is_unsure = false;
            if let Some(started) = server.member.started_at {
                server.member.started_at = Some(started.saturating_add(ahead));
                corrected.push(server.member.clone());
            }
        }
        corrected.sort_by_key(|member| member.id);
        corrected
    }

    fn enter(&mut self, entry: ListedServer, starts: &Starts, setup: &mut ResolvedSettings) -> Endpoint {
        let id = self.id_of(&entry.id);
        let origin = setup.is_origin(&entry.kind);
        let state = match entry.state {
            ServerState::Serving => EndpointState::Up,
            ServerState::Draining => EndpointState::Draining,
            ServerState::Deleted => EndpointState::Removed,
        };
        let (new, new_start) = (!self.servers.contains_key(&id), self.is_new_start(&entry));
        let started = match self.servers.get(&id).filter(|_| !new_start) {
            Some(server) => server.member.started_at,
            None => starts.of(entry.started_ms),
        };
        let member = Endpoint {
            id,
            state,
            zone: setup.zone(Cow::Owned(entry.zone.clone())),
            cell: entry.cell,
            machine_type: setup.machine_type(Cow::Owned(entry.kind.clone())),
            weight: entry.weight.unwrap_or(1.0),
            started_at: started,
            is_origin: origin,
        };
        let server = self.servers.entry(id).or_insert_with(|| Server {
            name: entry.id,
            addr: entry.addr,
            origin,
            up: true,
            serving: ServingFlag::new(),
            state,
            started_ms: entry.started_ms,
            member: member.clone(),
            start_is_unsure: starts.are_unsure(),
            idle: Vec::new(),
        });
        server.member = member.clone();
        server.start_is_unsure &= !new_start || starts.are_unsure();
        server.origin = origin;
        if server.addr != entry.addr {
            server.addr = entry.addr;
            // Guards against: a first byte to whoever has the old address now, by an attempt that connects there.
            server.close();
            server.serving = ServingFlag::new();
            server.idle.clear();
        }
        if new || server.state != state || server.started_ms != entry.started_ms {
            info!(event = "server_listed", server = server.name, at = %entry.addr, zone = entry.zone,
                kind = entry.kind, state = ?entry.state, started_ms = entry.started_ms, "a server has changed");
        }
        (server.state, server.started_ms) = (state, entry.started_ms);
        server.up = state == EndpointState::Up;
        server.stand(self.banned.contains_key(&id));
        if state == EndpointState::Removed
            && let Some(server) = self.servers.remove(&id)
        {
            note_gone(&mut self.gone, &server.name, self.banned.contains_key(&id));
        }
        member
    }

    /// The id of a name, which is the same at every node: a hash, and the next one where two names share it.
    fn id_of(&self, name: &str) -> ServerId {
        let ids = (0..).map(|seed| ServerId(xxh3_64_with_seed(name.as_bytes(), seed) as u32));
        let listed = |id: &ServerId| self.servers.get(id).map(|server| &server.name);
        let taken = |id: &ServerId| listed(id).or(self.banned.get(id)).is_some_and(|other| other != name);
        let mut free = ids.filter(|id| !taken(id));
        free.next().expect("the ids outnumber the servers")
    }

    /// How a server of this name was last listed, and since when it runs in ms of Unix time; nothing if it is not.
    pub fn listed(&self, name: &str) -> Option<(EndpointState, f64)> {
        let server = self.servers.get(&self.id_of(name)).filter(|server| server.name == name)?;
        Some((server.state, server.started_ms))
    }

    /// How many servers are listed.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether this is the name of a server that is listed, was listed lately, or is out by hand.
    pub fn knows(&self, name: &str) -> bool {
        let listed = self.servers.values().map(|server| &server.name);
        listed.chain(self.banned.values()).chain(&self.gone).any(|known| known == name)
    }

    /// Takes a server out of use, or puts it back; tells its id.
    pub fn ban(&mut self, name: &str, out: bool) -> ServerId {
        let id = self.id_of(name);
        match out {
            true => _ = self.banned.insert(id, name.to_owned()),
            false => _ = self.banned.remove(&id),
        }
        if let Some(server) = self.servers.get_mut(&id) {
            server.stand(out);
        }
        id
    }

    /// Where to send to a server under these conditions, and the connection to use, if one is at hand.
    pub fn check_out(
        &mut self,
        id: ServerId,
        now: Instant,
        conditions: SendConditions,
    ) -> Option<(Target, Option<Connection>)> {
        let limit = self.idle_limit;
        let server = self.servers.get_mut(&id)?;
        let mut pooled = None;
        while let Some(place) = server.idle.iter().rposition(|(since, _)| now >= *since + REST) {
            let (since, connection) = server.idle.remove(place);
            if now < since + limit && is_live(&server.name, now - since, &connection, &self.metrics) {
                if now < since + SOON {
                    self.metrics.early_reuses.increment();
                }
                pooled = Some(connection);
                break;
            }
        }
        let permit = SendPermit::new(server.serving.clone(), conditions);
        let target = Target { addr: server.addr, origin: server.origin, permit };
        Some((target, pooled))
    }

    /// Keeps a connection for the next request, if its server still takes some at that address.
    pub fn check_in(&mut self, id: ServerId, addr: SocketAddr, connection: Connection, now: Instant) {
        if let Some(server) = self.servers.get_mut(&id).filter(|s| s.addr == addr && s.serving.serving()) {
            server.idle.push((now, connection));
        }
    }

    /// Closes the idle connections to a server.
    pub fn disconnect(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.idle.clear();
        }
    }

    /// Closes idle connections that are too old, or that the server has closed.
    pub fn sweep(&mut self, now: Instant) {
        let limit = self.idle_limit;
        for server in self.servers.values_mut() {
            server.idle.retain(|(since, connection)| {
                now < *since + limit && is_live(&server.name, now - *since, connection, &self.metrics)
            });
        }
    }

    /// How many connections are idle.
    pub fn idle(&self) -> usize {
        self.servers.values().map(|server| server.idle.len()).sum()
    }

    /// Closes the idle connection that was used longest ago.
    pub fn close_oldest(&mut self) {
        let oldest = self.servers.values_mut().filter(|s| !s.idle.is_empty()).min_by_key(|s| s.idle[0].0);
        if let Some(server) = oldest {
            server.idle.remove(0);
        }
    }
}

impl Server {
    /// Gone: attempts under way send nothing more.
    fn close(&self) {
        self.serving.set(false);
    }

    /// Takes new requests if it serves and nobody took it out.
    fn stand(&mut self, banned: bool) {
        let serving = self.up && !banned;
        self.serving.set(serving);
        if !serving {
            self.idle.clear();
        }
    }
}

/// Whether an idle connection may be used again; counts those on which the server has said something unasked.
fn is_live(server: &str, idle: Duration, connection: &Connection, metrics: &Metrics) -> bool {
    let live = connection.is_live();
    if !live && connection.has_unasked() {
        metrics.unsolicited_replies.increment();
        trace!(
            event = "unasked",
            server,
            idle_us = idle.as_micros() as u64,
            "a server has said more than it was asked"
        );
    }
    live
}

/// Remembers a name that has left the list, unless a ban does. Returns false, for what is dropped with it.
fn note_gone(gone: &mut VecDeque<String>, name: &str, banned: bool) -> bool {
    if !banned && !gone.iter().any(|known| known == name) {
        gone.push_back(name.to_owned());
        if gone.len() > FORMER_NAMES {
            gone.pop_front();
        }
    }
    false
}
