//! What the store keeps, and what each change does to it: pure, the same at every replica.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

/// The longest text of a document, in bytes.
pub const DOCUMENT: usize = 256 << 10;
/// The longest text of a list of servers, in bytes.
pub const LIST: usize = 2 << 20;
/// Documents, by name.
pub const DOCUMENTS: usize = 1_000;
/// Revisions of one document that are kept.
pub const HISTORY: usize = 16;
/// All texts of documents together, in bytes; older revisions give way.
pub const TEXTS: usize = 4 << 20;
/// Orders for servers, and servers whose starts are remembered.
pub const SERVERS: usize = 12_000;
/// An order that put a server back is forgotten after this time, in ms: it is warm by then.
const REMEMBERED: u64 = 600_000;
/// The longest id of a server, in bytes.
pub const ID: usize = 128;
/// The longest key that is purged, in bytes.
pub const KEY: usize = 512;
/// Purges whose keys are kept, for whoever follows: at 12 a second, those of the last 5 minutes and more.
pub const PURGES: usize = 4_096;
/// Clients whose last proposal is remembered.
pub const CLIENTS: usize = 1_000;
/// The longest name or author, in bytes.
pub const NAME: usize = 256;

/// A change, as a client proposes it. A client numbers its proposals, so that one which is sent again after a lost
/// answer does nothing twice (Raft, section 8).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Who proposes; drawn at random by each client.
    pub client: u64,
    /// The number of the client's proposal, from 1.
    pub sequence: u64,
    /// What is to change.
    pub change: Change,
}

/// What can change. Written to disk by the order of its kinds: new ones are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A new revision of a document.
    Document {
        /// The document.
        name: String,
        /// All of it.
        text: String,
        /// Who wrote it.
        author: String,
        /// When, in ms of Unix time, by the author's clock.
        at_ms: u64,
        /// The revision that it follows on, 0 for a new document; nothing to follow on whatever there is.
        after: Option<u64>,
    },
    /// A list of servers, as discovery told it to a node.
    List {
        /// Discovery's version.
        version: u64,
        /// The list as it was told.
        text: String,
        /// The member that learned it.
        learned_by: u64,
        /// When servers were started, in ms of Unix time.
        started: Vec<(String, u64)>,
    },
    /// An operator's order for a server.
    Order {
        /// The server.
        server: String,
        /// What is ordered.
        order: Order,
    },
    /// Everything from another cluster's snapshot, into a store that holds nothing yet.
    Restore {
        /// What it kept.
        state: Box<State>,
    },
    /// A key whose value is not to be served any more. The store keeps it for those who follow, and does no more with it.
    Purge {
        /// The key.
        key: String,
    },
}

/// What an operator ordered for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Out of use, or back.
    pub out: bool,
    /// Since when, in ms of Unix time.
    pub since_ms: u64,
}

impl Order {
    /// Whether it put a server back so long before a time, in ms of Unix time, that it says nothing any more.
    pub(crate) fn forgotten(&self, at_ms: u64) -> bool {
        !self.out && at_ms.saturating_sub(self.since_ms) >= REMEMBERED
    }
}

/// What came of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// An entry of the engine's own.
    Nothing,
    /// It is made; a document's revision, a list's version, else the entry's index.
    Done(u64),
    /// It is not made, at any replica.
    Refused(Refusal),
}

/// Why a change is not made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// Somebody else was first.
    #[error("the latest revision is {found}, not {wanted}: read it, and change that")]
    Conflict {
        /// What the change was to follow on.
        wanted: u64,
        /// What there is.
        found: u64,
    },
    /// The store knows a newer list.
    #[error("list version {told} is not newer than {known}")]
    OldList {
        /// The version that was proposed.
        told: u64,
        /// The version that is committed.
        known: u64,
    },
    /// A text or a name is too long.
    #[error("{what} of {bytes} bytes: at most {most} are kept")]
    TooLong {
        /// What.
        what: String,
        /// How long it is.
        bytes: u64,
        /// How long it may be.
        most: u64,
    },
    /// There are too many of them.
    #[error("{what}: {most} are kept, and no more")]
    TooMany {
        /// Of what.
        what: String,
        /// How many there may be.
        most: u64,
    },
    /// Something is kept already.
    #[error("the store holds something already: restore into a new one")]
    NotEmpty,
    /// A later proposal of the same client was carried out before.
    #[error("proposal {sequence} comes after a later one of its client, {last}")]
    Superseded {
        /// Its number.
        sequence: u64,
        /// The number of the latest.
        last: u64,
    },
}

/// A revision of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Its number: the index of the entry that made it, so that it grows from one revision to the next.
    pub revision: u64,
    /// All of it.
    pub text: String,
    /// Who wrote it.
    pub author: String,
    /// When, in ms of Unix time, by the author's clock.
    pub at_ms: u64,
}

/// The latest list of servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Discovery's version.
    pub version: u64,
    /// The list as it was told.
    pub text: String,
    /// The member that learned it.
    pub learned_by: u64,
}

/// The last proposal of a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Last {
    sequence: u64,
    reply: Reply,
    index: u64,
}

/// All that the store keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    documents: BTreeMap<String, VecDeque<Revision>>,
    list: Option<Listed>,
    orders: BTreeMap<String, Order>,
    started: BTreeMap<String, u64>,
    clients: BTreeMap<u64, Last>,
    /// Members that were removed: their ids are never given again.
    removed: BTreeSet<u64>,
}

impl State {
    /// The latest revision of a document.
    pub fn document(&self, name: &str) -> Option<&Revision> {
        self.documents.get(name)?.back()
    }

    /// The revisions of a document that are kept, the oldest first.
    pub fn history(&self, name: &str) -> impl Iterator<Item = &Revision> {
        self.documents.get(name).into_iter().flatten()
    }

    /// The names of the documents.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.documents.keys().map(String::as_str)
    }

    /// The latest list of servers.
    pub fn list(&self) -> Option<&Listed> {
        self.list.as_ref()
    }

    /// The orders in force, by server.
    pub fn orders(&self) -> &BTreeMap<String, Order> {
        &self.orders
    }

    /// When a server was last seen to start, in ms of Unix time.
    pub fn started(&self, server: &str) -> Option<u64> {
        self.started.get(server).copied()
    }

    /// Members that were removed.
    pub fn removed(&self) -> &BTreeSet<u64> {
        &self.removed
    }

    /// Members are removed.
    pub(crate) fn remove(&mut self, members: impl IntoIterator<Item = u64>) {
        self.removed.extend(members);
    }

    /// Carries out the proposal of the entry with this index, once however often it is proposed.
    pub fn apply(&mut self, index: u64, proposal: Proposal) -> Reply {
        let Proposal { client, sequence, change } = proposal;
        if let Some(last) = self.clients.get(&client).filter(|last| last.sequence >= sequence) {
            return match last.sequence == sequence {
                true => last.reply.clone(),
                false => Reply::Refused(Refusal::Superseded { sequence, last: last.sequence }),
            };
        }
        let reply = self.change(index, change).map_or_else(Reply::Refused, Reply::Done);
        self.clients.insert(client, Last { sequence, reply: reply.clone(), index });
        while self.clients.len() > CLIENTS {
            let oldest = self.clients.iter().min_by_key(|(_, last)| last.index).map(|(&client, _)| client);
            oldest.map(|client| self.clients.remove(&client));
        }
        reply
    }

    fn change(&mut self, index: u64, change: Change) -> Result<u64, Refusal> {
        match change {
            Change::Document { name, text, author, at_ms, after } => {
                short("a name", name.len(), NAME)?;
                short("an author", author.len(), NAME)?;
                short("a document", text.len(), DOCUMENT)?;
                self.write(name, Revision { revision: index, text, author, at_ms }, after)
            }
            Change::List { version, text, learned_by, started } => {
                short("a list", text.len(), LIST)?;
                few("servers of a list", started.len(), SERVERS)?;
                self.learn(Listed { version, text, learned_by }, started)
            }
            Change::Order { server, order } => {
                short("a server's id", server.len(), ID)?;
                // By the time that the order tells, so that all replicas forget the same.
                self.orders.retain(|_, old| !old.forgotten(order.since_ms));
                let new = usize::from(!self.orders.contains_key(&server));
                few("orders", self.orders.len() + new, SERVERS)?;
                self.orders.insert(server, order);
                Ok(index)
            }
            Change::Restore { state } => self.restore(index, *state),
            Change::Purge { key } => short("a key", key.len(), KEY).map(|()| index),
        }
    }

    /// Members and clients are this cluster's own; of documents the latest revision is taken, numbered anew.
    fn restore(&mut self, index: u64, mut from: State) -> Result<u64, Refusal> {
        if !(self.documents.is_empty() && self.list.is_none() && self.orders.is_empty()) {
            return Err(Refusal::NotEmpty);
        }
        from.documents.retain(|_, revisions| !revisions.is_empty());
        for revisions in from.documents.values_mut() {
            revisions.drain(..revisions.len() - 1);
            revisions[0].revision = index;
        }
        let (clients, removed) = (std::mem::take(&mut self.clients), std::mem::take(&mut self.removed));
        *self = State { clients, removed, ..from };
        Ok(index)
    }

    fn write(&mut self, name: String, new: Revision, after: Option<u64>) -> Result<u64, Refusal> {
        let found = self.document(&name).map_or(0, |latest| latest.revision);
        if let Some(wanted) = after.filter(|&wanted| wanted != found) {
            return Err(Refusal::Conflict { wanted, found });
        }
        let others = self.documents.iter().filter(|(other, _)| **other != name);
        let latest: usize = others.filter_map(|(_, revisions)| revisions.back()).map(|r| r.text.len()).sum();
        if latest + new.text.len() > TEXTS {
            return Err(Refusal::TooMany { what: "bytes of documents".into(), most: TEXTS as u64 });
        }
        if found == 0 {
            few("documents", self.documents.len() + 1, DOCUMENTS)?;
        }
        let revision = new.revision;
        let revisions = self.documents.entry(name).or_default();
        revisions.push_back(new);
        while revisions.len() > HISTORY {
            revisions.pop_front();
        }
        self.thin_out();
        Ok(revision)
    }

    /// Drops the oldest revisions until all texts are within their bound; the latest of each document stays.
    fn thin_out(&mut self) {
        let all = |documents: &BTreeMap<String, VecDeque<Revision>>| -> usize {
            documents.values().flatten().map(|revision| revision.text.len()).sum()
        };
        let mut over = all(&self.documents).saturating_sub(TEXTS);
        while over > 0 {
            let older = self.documents.values_mut().filter(|revisions| revisions.len() > 1);
            let Some(oldest) = older.min_by_key(|revisions| revisions[0].revision) else { return };
            over = over.saturating_sub(oldest.pop_front().map_or(0, |revision| revision.text.len()));
        }
    }

    fn learn(&mut self, list: Listed, started: Vec<(String, u64)>) -> Result<u64, Refusal> {
        let known = self.list.as_ref().map_or(0, |known| known.version);
        if list.version <= known {
            return Err(Refusal::OldList { told: list.version, known });
        }
        if let Some((long, _)) = started.iter().find(|(server, _)| server.len() > ID) {
            short("a server's id", long.len(), ID)?;
        }
        for (server, at) in started {
            let last = self.started.entry(server).or_insert(at);
            *last = at.max(*last); // never back: a list may tell what was before
        }
        // Those that were started longest ago are warm, and nothing is lost with them.
        while self.started.len() > SERVERS {
            let oldest = self.started.iter().min_by_key(|(_, at)| **at).map(|(server, _)| server.clone());
            oldest.map(|server| self.started.remove(&server));
        }
        let version = list.version;
        self.list = Some(list);
        Ok(version)
    }
}

fn short(what: &str, bytes: usize, most: usize) -> Result<(), Refusal> {
    match bytes <= most {
        true => Ok(()),
        false => Err(Refusal::TooLong { what: what.into(), bytes: bytes as u64, most: most as u64 }),
    }
}

fn few(what: &str, number: usize, most: usize) -> Result<(), Refusal> {
    match number <= most {
        true => Ok(()),
        false => Err(Refusal::TooMany { what: what.into(), most: most as u64 }),
    }
}
