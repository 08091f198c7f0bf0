//! The replicated state, and the effect of each change on it. Pure code without I/O: it yields the same state at every
//! replica.

mod change;
pub mod limits;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::mem;

use serde::{Deserialize, Serialize};

pub use self::change::{AdminOverride, Change, Proposal, Rejection, Reply};
use self::limits::{
    MAX_CLIENTS, MAX_DOCUMENT_BYTES, MAX_DOCUMENTS, MAX_LIST_BYTES, MAX_NAME_BYTES, MAX_PURGE_KEY_BYTES,
    MAX_REVISIONS_PER_DOCUMENT, MAX_SERVER_ID_BYTES, MAX_SERVERS, MAX_TOTAL_DOCUMENT_BYTES,
};

/// A revision of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// The index of the log entry that wrote this revision, so revision numbers increase but are not consecutive.
    pub revision: u64,
    /// The document's text.
    pub text: String,
    /// Who wrote this text.
    pub author: String,
    /// When the text was written, in ms of Unix time by the author's clock.
    pub at_ms: u64,
}

/// An endpoint list, as discovery sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// The list's version, which discovery assigned.
    pub version: u64,
    /// The list as it was received.
    pub text: String,
    /// The member that received it.
    pub learned_by: u64,
}

/// The last proposal that was carried out for a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastProposal {
    /// The number of the proposal among those of its client.
    sequence: u64,
    reply: Reply,
    /// The index of the proposal's log entry.
    index: u64,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The retained revisions of each document, from the oldest to the latest.
    documents: BTreeMap<String, VecDeque<Revision>>,
    list: Option<ServerList>,
    overrides: BTreeMap<String, AdminOverride>,
    /// The latest known start time of each server, in ms of Unix time.
    started: BTreeMap<String, u64>,
    /// The last proposal of each client, by which retried proposals are recognized.
    clients: BTreeMap<u64, LastProposal>,
    /// The ids of removed members, which are never reused.
    removed: BTreeSet<u64>,
}

impl State {
    /// The latest revision of a document.
    pub fn document(&self, name: &str) -> Option<&Revision> {
        self.documents.get(name)?.back()
    }

    /// The retained revisions of a document, from the oldest to the latest.
    pub fn history(&self, name: &str) -> impl Iterator<Item = &Revision> {
        self.documents.get(name).into_iter().flatten()
    }

    /// The names of all documents.
    pub fn document_names(&self) -> impl Iterator<Item = &str> {
        self.documents.keys().map(String::as_str)
    }

    /// The latest endpoint list.
    pub fn list(&self) -> Option<&ServerList> {
        self.list.as_ref()
    }

    /// The administrative overrides, by the server's id.
    pub fn overrides(&self) -> &BTreeMap<String, AdminOverride> {
        &self.overrides
    }

    /// The latest known start time of a server, in ms of Unix time.
    pub fn started_at(&self, server: &str) -> Option<u64> {
        self.started.get(server).copied()
    }

    /// The ids of removed members, which are never reused.
    pub fn removed_members(&self) -> &BTreeSet<u64> {
        &self.removed
    }

    /// Records that members were removed from the cluster.
    pub(crate) fn remove_members(&mut self, members: impl IntoIterator<Item = u64>) {
        self.removed.extend(members);
    }

    /// Carries out the proposal of the log entry with this index. A repeat of the client's last proposal gets that
    /// proposal's reply, and an older proposal is rejected; neither changes anything.
    pub fn apply(&mut self, index: u64, proposal: Proposal) -> Reply {
        let Proposal { client, sequence, change } = proposal;
        if let Some(last) = self.clients.get(&client).filter(|last| last.sequence >= sequence) {
            return if last.sequence == sequence {
                last.reply.clone()
            } else {
                Reply::Rejected(Rejection::Superseded { sequence, last: last.sequence })
            };
        }
        let reply = self.apply_change(index, change).map_or_else(Reply::Rejected, Reply::Applied);
        self.clients.insert(client, LastProposal { sequence, reply: reply.clone(), index });
        while self.clients.len() > MAX_CLIENTS {
            let oldest = self.clients.iter().min_by_key(|(_, last)| last.index).map(|(&client, _)| client);
            oldest.map(|client| self.clients.remove(&client));
        }
        reply
    }

    fn apply_change(&mut self, index: u64, change: Change) -> Result<u64, Rejection> {
        match change {
            Change::Document { name, text, author, at_ms, after } => {
                check_len("a name", name.len(), MAX_NAME_BYTES)?;
                check_len("an author", author.len(), MAX_NAME_BYTES)?;
                check_len("a document", text.len(), MAX_DOCUMENT_BYTES)?;
                self.write_document(name, Revision { revision: index, text, author, at_ms }, after)
            }
            Change::List { version, text, learned_by, started } => {
                check_len("a list", text.len(), MAX_LIST_BYTES)?;
                check_count("servers of a list", started.len(), MAX_SERVERS)?;
                self.replace_list(ServerList { version, text, learned_by }, started)
            }
            Change::Override { server, admin_override } => self.set_override(index, server, admin_override),
            Change::Restore { state } => self.restore(index, *state),
            Change::Purge { key } => check_len("a key", key.len(), MAX_PURGE_KEY_BYTES).map(|()| index),
        }
    }

    fn set_override(&mut self, index: u64, server: String, new: AdminOverride) -> Result<u64, Rejection> {
        check_len("a server's id", server.len(), MAX_SERVER_ID_BYTES)?;
        // Expiry is judged by the new override's own time, so that all replicas drop the same overrides.
        self.overrides.retain(|_, old| !old.is_expired(new.since_ms));
        let added = usize::from(!self.overrides.contains_key(&server));
        // The text is part of the replicated reply, which replicas of all versions must store alike. It therefore keeps
        // "orders", an earlier term for overrides.
        check_count("orders", self.overrides.len() + added, MAX_SERVERS)?;
        self.overrides.insert(server, new);
        Ok(index)
    }

    /// Restores another cluster's state into this one, which must be empty. The records of clients and removed members
    /// stay this cluster's own. Of each document only the latest revision is restored, under a new revision number.
    fn restore(&mut self, index: u64, mut restored: State) -> Result<u64, Rejection> {
        if !(self.documents.is_empty() && self.list.is_none() && self.overrides.is_empty()) {
            return Err(Rejection::NotEmpty);
        }
        restored.documents.retain(|_, revisions| !revisions.is_empty());
        for revisions in restored.documents.values_mut() {
            revisions.drain(..revisions.len() - 1);
            revisions[0].revision = index;
        }
        let (clients, removed) = (mem::take(&mut self.clients), mem::take(&mut self.removed));
        *self = State { clients, removed, ..restored };
        Ok(index)
    }

    fn write_document(&mut self, name: String, new: Revision, after: Option<u64>) -> Result<u64, Rejection> {
        let found = self.document(&name).map_or(0, |latest| latest.revision);
        if let Some(expected) = after.filter(|&expected| expected != found) {
            return Err(Rejection::Conflict { expected, found });
        }
        let others = self.documents.iter().filter(|(other, _)| **other != name);
        let latest = others.filter_map(|(_, revisions)| revisions.back());
        let latest_bytes: usize = latest.map(|revision| revision.text.len()).sum();
        if latest_bytes + new.text.len() > MAX_TOTAL_DOCUMENT_BYTES {
            let (what, max) = ("bytes of documents".into(), MAX_TOTAL_DOCUMENT_BYTES as u64);
            return Err(Rejection::LimitExceeded { what, max });
        }
        if found == 0 {
            check_count("documents", self.documents.len() + 1, MAX_DOCUMENTS)?;
        }
        let revision = new.revision;
        let revisions = self.documents.entry(name).or_default();
        revisions.push_back(new);
        while revisions.len() > MAX_REVISIONS_PER_DOCUMENT {
            revisions.pop_front();
        }
        self.drop_oldest_revisions();
        Ok(revision)
    }

    /// Drops the oldest revisions until the total size of all texts is within its limit. The latest revision of each
    /// document is never dropped.
    fn drop_oldest_revisions(&mut self) {
        let revisions = self.documents.values().flatten();
        let total: usize = revisions.map(|revision| revision.text.len()).sum();
        let mut excess = total.saturating_sub(MAX_TOTAL_DOCUMENT_BYTES);
        while excess > 0 {
            let with_history = self.documents.values_mut().filter(|revisions| revisions.len() > 1);
            let Some(oldest) = with_history.min_by_key(|revisions| revisions[0].revision) else { return };
            excess = excess.saturating_sub(oldest.pop_front().map_or(0, |revision| revision.text.len()));
        }
    }

    fn replace_list(&mut self, list: ServerList, started: Vec<(String, u64)>) -> Result<u64, Rejection> {
        let committed = self.list.as_ref().map_or(0, |committed| committed.version);
        if list.version <= committed {
            return Err(Rejection::StaleList { proposed: list.version, committed });
        }
        if let Some((long, _)) = started.iter().find(|(server, _)| server.len() > MAX_SERVER_ID_BYTES) {
            check_len("a server's id", long.len(), MAX_SERVER_ID_BYTES)?;
        }
        for (server, started_ms) in started {
            let latest = self.started.entry(server).or_insert(started_ms);
            *latest = started_ms.max(*latest); // a list may hold an earlier start time than the recorded one
        }
        // The earliest start times are dropped first: those servers have warmed up, so their start times have no effect
        // any more.
        while self.started.len() > MAX_SERVERS {
            let oldest = self.started.iter().min_by_key(|(_, at)| **at).map(|(server, _)| server.clone());
            oldest.map(|server| self.started.remove(&server));
        }
        let version = list.version;
        self.list = Some(list);
        Ok(version)
    }
}

fn check_len(what: &str, bytes: usize, max: usize) -> Result<(), Rejection> {
    if bytes <= max {
        return Ok(());
    }
    Err(Rejection::TooLong { what: what.into(), bytes: bytes as u64, max: max as u64 })
}

fn check_count(what: &str, count: usize, max: usize) -> Result<(), Rejection> {
    if count <= max {
        return Ok(());
    }
    Err(Rejection::LimitExceeded { what: what.into(), max: max as u64 })
}
