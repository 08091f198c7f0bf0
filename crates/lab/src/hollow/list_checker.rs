//! Compares the lists that nodes apply with the versions that discovery has published: finds changes that a node
//! skipped and lists that are older than the one before. Pure: it reads no clock and does no I/O.

use std::collections::BTreeMap;
use std::ops::Range;

use stonefold_model::{Listed, Micros, State};

/// State of a server and its start in milliseconds of Unix time, as a node knows them; `None` if the node does not list
/// it.
pub type ServerStatus = Option<(State, u64)>;
/// Number of findings that are described; all are counted.
const MAX_DESCRIPTIONS: usize = 20;

/// The versions of the list that discovery has published, and the version that each node has applied.
#[derive(Debug)]
pub struct ListChecker {
    /// The list at the first version.
    first_list: BTreeMap<usize, Listed>,
    /// The first version.
    first_version: u64,
    /// The changes that made the versions after the first, one each, in order.
    changes: Vec<Change>,
    nodes: Vec<NodeProgress>,
    /// When discovery was last unavailable.
    unavailable: Range<Micros>,
    findings: Findings,
}

/// A change of the list, which makes a version.
#[derive(Debug)]
struct Change {
    /// When discovery published it.
    published_at: Micros,
    listed: Listed,
    /// Number of listed servers after the change.
    servers: usize,
    /// Longest time until a node applied it, over the nodes that have done so.
    propagation_time: Micros,
}

/// How far a node has followed the list.
#[derive(Clone, Debug)]
struct NodeProgress {
    /// The version that it last applied since its start; `None` before it applies the first.
    applied: Option<u64>,
    /// The version that it was started with.
    initial: u64,
    started_at: Micros,
}

/// Skipped changes and outdated lists that were found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Entries in which a node differed from the list that it applied, and lists with a wrong number of servers.
    pub skipped: u64,
    /// Lists that were older than the one applied before, or newer than the latest one published.
    pub backwards: u64,
    /// Descriptions of the first findings.
    pub descriptions: Vec<String>,
}

impl Findings {
    fn record_skipped(&mut self, describe: impl FnOnce() -> String) {
        self.skipped += 1;
        self.add_description(describe);
    }

    fn record_backwards(&mut self, describe: impl FnOnce() -> String) {
        self.backwards += 1;
        self.add_description(describe);
    }

    fn add_description(&mut self, describe: impl FnOnce() -> String) {
        if self.descriptions.len() < MAX_DESCRIPTIONS {
            self.descriptions.push(describe());
        }
    }
}

impl ListChecker {
    /// Creates a checker for this number of nodes, which are started with a list of these servers at this version.
    pub fn new(version: u64, servers: impl IntoIterator<Item = Listed>, nodes: usize) -> ListChecker {
        let first_list = servers.into_iter().map(|listed| (listed.server, listed)).collect();
        let node = NodeProgress { applied: None, initial: version, started_at: 0 };
        let (changes, findings) = Default::default();
        ListChecker {
            first_list,
            first_version: version,
            changes,
            nodes: vec![node; nodes],
            unavailable: 0..0,
            findings,
        }
    }

    /// The latest version that discovery has published.
    pub fn latest_version(&self) -> u64 {
        self.first_version + self.changes.len() as u64
    }

    /// Records that discovery has published these changes, each of which made a version. Their start times are in
    /// milliseconds of Unix time.
    pub fn changes_published(&mut self, now: Micros, changes: &[Listed]) {
        for &listed in changes {
            let mut servers = self.changes.last().map_or(self.first_list.len(), |change| change.servers);
            let before = self.changes.iter().rev().find(|change| change.listed.server == listed.server);
            let before = before.map_or(self.first_list.get(&listed.server), |change| Some(&change.listed));
            let was_listed = before.is_some_and(|listed| listed.state != State::Deleted);
            let is_listed = listed.state != State::Deleted;
            servers = servers + usize::from(is_listed && !was_listed) - usize::from(was_listed && !is_listed);
            self.changes.push(Change { published_at: now, listed, servers, propagation_time: 0 });
        }
    }

    /// Records a time range in which discovery answers no calls: a change published in it can reach a node only after
    /// its end.
    pub fn discovery_unavailable(&mut self, time: Range<Micros>) {
        self.unavailable = time;
    }

    /// Records that a node has started with the first list.
    pub fn node_started(&mut self, node: usize, now: Micros) {
        self.nodes[node] = NodeProgress { applied: None, initial: self.first_version, started_at: now };
    }

    /// Records that a node has applied a list, and checks the list. `servers` is the number of servers that the node
    /// and its balancer have; `status_of` returns the status of a server at the node. Returns the time that each newly
    /// applied change took to reach the node.
    pub fn list_applied(
        &mut self,
        node: usize,
        now: Micros,
        version: u64,
        servers: (usize, usize),
        status_of: impl Fn(usize) -> ServerStatus,
    ) -> Vec<Micros> {
        let NodeProgress { applied, initial, started_at } = self.nodes[node];
        let before = applied.unwrap_or(initial);
        if version < before || version > self.latest_version() {
            let latest = self.latest_version();
            self.findings.record_backwards(|| {
                format!("node {node} went from version {before} to {version} of {latest}")
            });
            return Vec::new();
        }
        // Entries of earlier versions were compared when they were applied, except for the list that the node started
        // with.
        let from = if applied.is_some() { before } else { self.first_version };
        for (server, listed) in self.changed_servers(from, version, applied.is_none()) {
            let expected = Some((listed.state, listed.started)).filter(|(state, _)| *state != State::Deleted);
            let actual = status_of(server);
            if actual != expected {
                self.findings.record_skipped(|| {
                    format!(
                        "node {node} at version {version} has server {server} as {actual:?}, not {expected:?}"
                    )
                });
            }
        }
        let listed =
            self.change_index(version).map_or(self.first_list.len(), |index| self.changes[index].servers);
        if servers != (listed, listed) {
            self.findings.record_skipped(|| {
                format!("node {node} at version {version} has {servers:?} servers, not {listed}")
            });
        }
        self.nodes[node].applied = Some(version);
        self.record_propagation(before, version, started_at, now)
    }

    /// The last change of each server after version `from` up to `version`; all servers at `version` if `all` is set.
    fn changed_servers(&self, from: u64, version: u64, all: bool) -> BTreeMap<usize, Listed> {
        let mut servers = if all { self.first_list.clone() } else { BTreeMap::new() };
        let (from, to) = ((from - self.first_version) as usize, (version - self.first_version) as usize);
        servers.extend(self.changes[from..to].iter().map(|change| (change.listed.server, change.listed)));
        servers
    }

    /// Index of the change that made a version; `None` for the first version.
    fn change_index(&self, version: u64) -> Option<usize> {
        ((version - self.first_version) as usize).checked_sub(1)
    }

    /// Records that a node applied the changes after version `before` up to `version`. Returns how long each took.
    fn record_propagation(
        &mut self,
        before: u64,
        version: u64,
        started_at: Micros,
        now: Micros,
    ) -> Vec<Micros> {
        let (from, to) = ((before - self.first_version) as usize, (version - self.first_version) as usize);
        let unavailable = self.unavailable.clone();
        let record = |change: &mut Change| {
            // A node can't get a change before its own start or while discovery is unavailable.
            let available_at = change.published_at.max(started_at);
            let available_at =
                if unavailable.contains(&available_at) { unavailable.end } else { available_at };
            let elapsed = now.saturating_sub(available_at);
            change.propagation_time = change.propagation_time.max(elapsed);
            elapsed
        };
        self.changes[from..to].iter_mut().map(record).collect()
    }

    /// Nodes that have not applied the latest list, each with the version that it last applied.
    pub fn lagging_nodes(&self) -> impl Iterator<Item = (usize, Option<u64>)> {
        let latest = self.latest_version();
        let nodes = self.nodes.iter().enumerate().map(|(node, progress)| (node, progress.applied));
        nodes.filter(move |(_, applied)| *applied != Some(latest))
    }

    /// For each change, the longest time until a node applied it.
    pub fn propagation_times(&self) -> impl Iterator<Item = Micros> {
        self.changes.iter().map(|change| change.propagation_time)
    }

    /// The findings so far.
    pub fn findings(&self) -> &Findings {
        &self.findings
    }
}
