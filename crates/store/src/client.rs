//! A client that sends requests to the store from outside the cluster, and finds the leader itself.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::message::{Request, RequestError, Response, Status};
use crate::replica::Transport;
use crate::state::{Change, Proposal, Reply, Revision};
use crate::wire::{Keys, TcpTransport};

/// How long a request to one member waits for its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a request to the leader is retried, and how long an exported snapshot is waited for.
const LEADER_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a membership change is retried. It is long because a new member has to catch up with the log.
const MEMBERS_CHANGE_TIMEOUT: Duration = Duration::from_secs(40);
/// The pause between two attempts to reach the leader.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The interval at which a member's status is polled until the member has applied an entry.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A client of one cluster.
pub struct Client {
    tcp: TcpTransport,
    /// The address of the member that requests are sent to first: the leader, as far as the client knows.
    addr: String,
    /// This client's id, drawn at random.
    id: u64,
    /// The sequence number of the latest proposal.
    sequence: u64,
}

impl Client {
    /// A client that sends its first request to the member at this address.
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

    /// Sends a request to the leader, and retries until the timeout.
    async fn request_leader<T>(
        &mut self,
        request: Request,
        timeout: Duration,
        read: impl Fn(Response) -> Result<T, RequestError>,
    ) -> Result<T, RequestError> {
        let deadline = Instant::now() + timeout;
        let first_addr = self.addr.clone();
        loop {
            let result = self.request(&self.addr, request.clone(), timeout).await.and_then(&read);
            match result {
                Err(RequestError::NotLeader { leader }) if Instant::now() < deadline => {
                    self.addr = leader.map_or_else(|| first_addr.clone(), |(_, addr)| addr);
                }
                Err(RequestError::NoQuorum | RequestError::Busy) if Instant::now() < deadline => {}
                Err(RequestError::Unreachable(_)) if self.addr != first_addr && Instant::now() < deadline => {
                    self.addr = first_addr.clone();
                }
                result => return result,
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Makes a change of the state. It is carried out once, however often the request is retried.
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
    /// If the change is not possible, or the leader doesn't answer in time.
    pub async fn change_members(&mut self, request: Request) -> Result<(), RequestError> {
        self.request_leader(request, MEMBERS_CHANGE_TIMEOUT, |response| match response {
            Response::MembersChanged(result) => result,
            other => Err(other.unexpected()),
        })
        .await
    }

    /// Reads a document from the leader: its latest revision, or all retained revisions. If the leader takes longer
    /// than the request timeout to apply what is committed, it answers with what it has applied by then.
    ///
    /// # Errors
    /// If no leader answers.
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

    /// Exports a sealed snapshot of the state that a member has applied. The member is the one that requests are sent
    /// to first; it need not be the leader, and its state may lag.
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
