//! Somebody with the key who asks the store from outside: it finds whoever leads.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::message::{Request, Response, Status, Unavailable};
use crate::replica::Transport;
use crate::state::{Change, Proposal, Reply, Revision};
use crate::wire::{Keys, Tcp};

/// One question; a change waits for a quorum so long.
const PATIENCE: Duration = Duration::from_secs(3);
/// A change of members waits for the new one to catch up.
const LONG: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(100);

/// A client of one cluster.
pub struct Client {
    tcp: Tcp,
    at: String,
    me: u64,
    sequence: u64,
}

impl Client {
    /// A client that begins with the member at this address.
    pub fn new(keys: Keys, cluster: u128, at: impl Into<String>) -> Client {
        Client { tcp: Tcp::client(keys, cluster), at: at.into(), me: fastrand::u64(..), sequence: 0 }
    }

    /// Asks the member at an address.
    ///
    /// # Errors
    /// If it doesn't answer.
    pub async fn ask(&self, at: &str, request: Request, wait: Duration) -> Result<Response, Unavailable> {
        self.tcp.ask(0, at, request, wait).await
    }

    /// Asks whoever leads, for up to `wait`.
    async fn at_leader<T>(
        &mut self,
        request: Request,
        wait: Duration,
        read: impl Fn(Response) -> Result<T, Unavailable>,
    ) -> Result<T, Unavailable> {
        let until = Instant::now() + wait;
        let first = self.at.clone();
        loop {
            let answer = self.ask(&self.at, request.clone(), wait).await.and_then(&read);
            match answer {
                Err(Unavailable::NotLeader { leader }) if Instant::now() < until => {
                    self.at = leader.map_or_else(|| first.clone(), |(_, addr)| addr);
                }
                Err(Unavailable::NoQuorum | Unavailable::Busy) if Instant::now() < until => {}
                Err(Unavailable::Unreachable(_)) if self.at != first && Instant::now() < until => {
                    self.at = first.clone();
                }
                answer => return answer,
            }
            sleep(PAUSE).await;
        }
    }

    /// Makes a change, once, however often it had to be asked for.
    ///
    /// # Errors
    /// If nobody said that it is made; it may be.
    pub async fn change(&mut self, change: Change) -> Result<Reply, Unavailable> {
        self.sequence += 1;
        let proposal = Proposal { client: self.me, sequence: self.sequence, change };
        self.at_leader(Request::Propose(proposal), 2 * PATIENCE, |answer| match answer {
            Response::Proposed(reply) => reply,
            other => Err(unasked(&other)),
        })
        .await
    }

    /// Adds or removes a member.
    ///
    /// # Errors
    /// Why it can't be done.
    pub async fn members(&mut self, request: Request) -> Result<(), Unavailable> {
        self.at_leader(request, LONG, |answer| match answer {
            Response::Changed(changed) => changed,
            other => Err(unasked(&other)),
        })
        .await
    }

    /// A document's latest revision, or all that are kept, as whoever leads has them.
    ///
    /// # Errors
    /// If nobody leads.
    pub async fn document(&mut self, name: &str, history: bool) -> Result<Vec<Revision>, Unavailable> {
        let confirmed = self.at_leader(Request::Confirm, 2 * PATIENCE, |answer| match answer {
            Response::Confirmed(confirmed) => confirmed,
            other => Err(unasked(&other)),
        });
        let index = confirmed.await?;
        let until = Instant::now() + PATIENCE;
        while self.status(&self.at.clone()).await?.applied < index && Instant::now() < until {
            sleep(PAUSE / 10).await;
        }
        let request = Request::Document { name: name.into(), history };
        match self.ask(&self.at, request, PATIENCE).await? {
            Response::Document(revisions) => Ok(revisions),
            other => Err(unasked(&other)),
        }
    }

    /// How the member at an address stands.
    ///
    /// # Errors
    /// If it doesn't answer.
    pub async fn status(&self, at: &str) -> Result<Status, Unavailable> {
        match self.ask(at, Request::Status, PATIENCE).await? {
            Response::Status(status) => Ok(*status),
            other => Err(unasked(&other)),
        }
    }

    /// A sealed snapshot of the member that is asked.
    ///
    /// # Errors
    /// If it doesn't answer.
    pub async fn export(&self) -> Result<Vec<u8>, Unavailable> {
        match self.ask(&self.at, Request::Export, 2 * PATIENCE).await? {
            Response::Snapshotted(sealed) => sealed,
            other => Err(unasked(&other)),
        }
    }
}

fn unasked(answer: &Response) -> Unavailable {
    match answer {
        Response::Changed(Err(why)) => why.clone(),
        _ => Unavailable::Unreachable("an answer to another question".into()),
    }
}
