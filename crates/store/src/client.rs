//! A client of the store from outside of the cluster. It finds the leader by itself.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::message::{Request, RequestError, Response, Status};
use crate::replica::Transport;
use crate::state::{Change, Proposal, Reply, Revision};
use crate::wire::{Keys, TcpTransport};

/// How long one request waits for its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a change or an exported snapshot is waited for, retries included.
const LEADER_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a change of members is waited for: a new member has to catch up.
const MEMBERS_CHANGE_TIMEOUT: Duration = Duration::from_secs(40);
/// The pause between two attempts at the leader.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How often a member's status is polled until it has applied an entry.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A client of one cluster.
pub struct Client {
    tcp: TcpTransport,
    /// The member that is asked first: the leader, as far as is known.
    addr: String,
    id: u64,
    sequence: u64,
}

impl Client {
    /// A client that begins with the member at this address.
    pub fn new(keys: Keys, cluster: u128, addr: impl Into<String>) -> Client {
        Client {
            tcp: TcpTransport::client(keys, cluster),
            addr: addr.into(),
            id: fastrand::u64(..),
            sequence: 0,
        }
    }

    /// Sends a request to the member at an address.
    ///
    /// # Errors
    /// If it doesn't answer within the timeout.
    pub async fn request(
        &self,
        addr: &str,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, RequestError> {
        self.tcp.request(0, addr, request, timeout).await
    }

    /// Sends a request to the leader, with retries until the timeout.
    async fn request_leader<T>(
        &mut self,
        request: Request,
        timeout: Duration,
        read: impl Fn(Response) -> Result<T, RequestError>,
    ) -> Result<T, RequestError> {
        let deadline = Instant::now() + timeout;
        let first = self.addr.clone();
        loop {
            let result = self.request(&self.addr, request.clone(), timeout).await.and_then(&read);
            match result {
                Err(RequestError::NotLeader { leader }) if Instant::now() < deadline => {
                    self.addr = leader.map_or_else(|| first.clone(), |(_, addr)| addr);
                }
                Err(RequestError::NoQuorum | RequestError::Busy) if Instant::now() < deadline => {}
                Err(RequestError::Unreachable(_)) if self.addr != first && Instant::now() < deadline => {
                    self.addr = first.clone();
                }
                result => return result,
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Makes a change: once, however often it is retried.
    ///
    /// # Errors
    /// If no reply came in time. The change may have been made nevertheless.
    pub async fn change(&mut self, change: Change) -> Result<Reply, RequestError> {
        self.sequence += 1;
        let proposal = Proposal { client: self.id, sequence: self.sequence, change };
        self.request_leader(Request::Propose(proposal), LEADER_TIMEOUT, |response| match response {
            Response::Proposed(reply) => reply,
            other => Err(other.unexpected()),
        })
        .await
    }

    /// Adds or removes a member, by [`Request::AddMember`] or [`Request::RemoveMember`].
    ///
    /// # Errors
    /// If it can't be done.
    pub async fn change_members(&mut self, request: Request) -> Result<(), RequestError> {
        self.request_leader(request, MEMBERS_CHANGE_TIMEOUT, |response| match response {
            Response::MembersChanged(result) => result,
            other => Err(other.unexpected()),
        })
        .await
    }

    /// The leader's latest revision of a document, or all that are retained. A leader that takes longer than the request
    /// timeout to apply what is committed answers with what it has applied by then.
    ///
    /// # Errors
    /// If there is no leader.
    pub async fn document(&mut self, name: &str, history: bool) -> Result<Vec<Revision>, RequestError> {
        let read_index = self.request_leader(Request::ReadIndex, LEADER_TIMEOUT, |response| match response {
            Response::ReadIndex(result) => result,
            other => Err(other.unexpected()),
        });
        let index = read_index.await?;
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        while self.status(&self.addr).await?.applied_index < index && Instant::now() < deadline {
            sleep(STATUS_POLL_INTERVAL).await;
        }
        let request = Request::ReadDocument { name: name.into(), history };
        match self.request(&self.addr, request, REQUEST_TIMEOUT).await? {
            Response::Document(revisions) => Ok(revisions),
            other => Err(other.unexpected()),
        }
    }

    /// The status of the member at an address.
    ///
    /// # Errors
    /// If it doesn't answer.
    pub async fn status(&self, addr: &str) -> Result<Status, RequestError> {
        match self.request(addr, Request::Status, REQUEST_TIMEOUT).await? {
            Response::Status(status) => Ok(*status),
            other => Err(other.unexpected()),
        }
    }

    /// A sealed snapshot of what the member that is asked first has applied. It need not be the leader, and may lag.
    ///
    /// # Errors
    /// If it doesn't answer.
    pub async fn export_snapshot(&self) -> Result<Vec<u8>, RequestError> {
        match self.request(&self.addr, Request::ExportSnapshot, LEADER_TIMEOUT).await? {
            Response::Snapshot(sealed) => sealed,
            other => Err(other.unexpected()),
        }
    }
}
