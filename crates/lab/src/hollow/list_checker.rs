//! What discovery has come to know, and what each node has made of it: pure. A change that a node skips or applies
//! backwards is found here.

use std::collections::BTreeMap;
use std::ops::Range;

use stonefold_model::{Listed, Micros, State};

/// How a server stands, as a node has it, and since when it runs, in ms of Unix time; nothing if it is not listed.
pub type Standing = Option<(State, u64)>;
/// So many findings are told in words; all are counted.
const TOLD: usize = 20;

/// The list's history, and how far each node has come.
#[derive(Debug)]
pub struct Truth {
    /// The list at the first version.
    first: BTreeMap<usize, Listed>,
    version: u64,
    /// The changes that made the versions after the first, when each was learned, and how many servers were listed.
    changes: Vec<Change>,
    nodes: Vec<Node>,
    /// When discovery last answered nobody.
    away: Range<Micros>,
    found: Found,
}

#[derive(Debug)]
struct Change {
    at: Micros,
    listed: Listed,
    servers: usize,
    /// How long it took until the last node had it, of those that have it.
    everywhere: Micros,
}

#[derive(Clone, Debug)]
struct Node {
    /// The version that it has acted on since its start; nothing before the first.
    acted: Option<u64>,
    /// The version that it was started with.
    known: u64,
    since: Micros,
}

/// What was found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// Entries that a node had otherwise than the list that it acted on.
    pub skipped: u64,
    /// Lists older than the one acted on before.
    pub backwards: u64,
    /// The first of them in words.
    pub words: Vec<String>,
}

impl Found {
    fn skip(&mut self, words: impl FnOnce() -> String) {
        self.skipped += 1;
        self.tell(words);
    }

    fn back(&mut self, words: impl FnOnce() -> String) {
        self.backwards += 1;
        self.tell(words);
    }

    fn tell(&mut self, words: impl FnOnce() -> String) {
        if self.words.len() < TOLD {
            self.words.push(words());
        }
    }
}

impl Truth {
    /// A list of these servers at a version, which so many nodes are started with.
    pub fn new(version: u64, servers: impl IntoIterator<Item = Listed>, nodes: usize) -> Truth {
        let first = servers.into_iter().map(|listed| (listed.server, listed)).collect();
        let node = Node { acted: None, known: version, since: 0 };
        let (changes, found) = Default::default();
        Truth { first, version, changes, nodes: vec![node; nodes], away: 0..0, found }
    }

    /// The latest version.
    pub fn latest(&self) -> u64 {
        self.version + self.changes.len() as u64
    }

    /// Discovery has learned these changes, each of which made a version. They started in ms of Unix time.
    pub fn learned(&mut self, now: Micros, changes: &[Listed]) {
        for &listed in changes {
            let mut servers = self.changes.last().map_or(self.first.len(), |change| change.servers);
            let was = self.changes.iter().rev().find(|change| change.listed.server == listed.server);
            let was = was.map_or(self.first.get(&listed.server), |change| Some(&change.listed));
            let was = was.is_some_and(|listed| listed.state != State::Deleted);
            let is = listed.state != State::Deleted;
            servers = servers + usize::from(is && !was) - usize::from(was && !is);
            self.changes.push(Change { at: now, listed, servers, everywhere: 0 });
        }
    }

    /// Discovery answers nobody in this time: what it knows then could be told from its end on.
    pub fn away(&mut self, time: Range<Micros>) {
        self.away = time;
    }

    /// A node has started, knowing the first list.
    pub fn started(&mut self, node: usize, now: Micros) {
        self.nodes[node] = Node { acted: None, known: self.version, since: now };
    }

    /// A node has acted on a list; `has` tells how a server stands with it, `servers` how many it and its module have.
    /// Gives the times after which changes reached it.
    pub fn acted(
        &mut self,
        node: usize,
        now: Micros,
        version: u64,
        servers: (usize, usize),
        has: impl Fn(usize) -> Standing,
    ) -> Vec<Micros> {
        let Node { acted, known, since } = self.nodes[node];
        let before = acted.unwrap_or(known);
        if version < before || version > self.latest() {
            let latest = self.latest();
            self.found.back(|| format!("node {node} went from version {before} to {version} of {latest}"));
            return Vec::new();
        }
        // What it had before was compared then, but for what it was started with.
        let from = if acted.is_some() { before } else { self.version };
        for (server, listed) in self.as_of(from, version, acted.is_none()) {
            let is = Some((listed.state, listed.started)).filter(|(state, _)| *state != State::Deleted);
            let had = has(server);
            if had != is {
                self.found.skip(|| {
                    format!("node {node} at version {version} has server {server} as {had:?}, not {is:?}")
                });
            }
        }
        let listed = self.place(version).map_or(self.first.len(), |place| self.changes[place].servers);
        if servers != (listed, listed) {
            self.found
                .skip(|| format!("node {node} at version {version} has {servers:?} servers, not {listed}"));
        }
        self.nodes[node].acted = Some(version);
        self.reached(before, version, since, now)
    }

    /// The last change of each server in these versions; all servers where a node is looked at whole.
    fn as_of(&self, from: u64, version: u64, whole: bool) -> BTreeMap<usize, Listed> {
        let mut servers = if whole { self.first.clone() } else { BTreeMap::new() };
        let (from, to) = ((from - self.version) as usize, (version - self.version) as usize);
        servers.extend(self.changes[from..to].iter().map(|change| (change.listed.server, change.listed)));
        servers
    }

    /// Where the change that made a version is kept; nothing for the first.
    fn place(&self, version: u64) -> Option<usize> {
        ((version - self.version) as usize).checked_sub(1)
    }

    fn reached(&mut self, before: u64, version: u64, since: Micros, now: Micros) -> Vec<Micros> {
        let (from, to) = ((before - self.version) as usize, (version - self.version) as usize);
        let away = self.away.clone();
        let took = |change: &mut Change| {
            // Nobody can have it before its start, or from a discovery that is away.
            let since = change.at.max(since);
            let since = if away.contains(&since) { away.end } else { since };
            let took = now.saturating_sub(since);
            change.everywhere = change.everywhere.max(took);
            took
        };
        self.changes[from..to].iter_mut().map(took).collect()
    }

    /// Nodes that have not acted on the latest list, with what they have acted on.
    pub fn behind(&self) -> impl Iterator<Item = (usize, Option<u64>)> {
        let latest = self.latest();
        let nodes = self.nodes.iter().enumerate().map(|(node, of)| (node, of.acted));
        nodes.filter(move |(_, acted)| *acted != Some(latest))
    }

    /// For each change, how long it took until it was everywhere.
    pub fn everywhere(&self) -> impl Iterator<Item = Micros> {
        self.changes.iter().map(|change| change.everywhere)
    }

    /// What was found so far.
    pub fn found(&self) -> &Found {
        &self.found
    }
}
