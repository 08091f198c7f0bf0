//! A network in virtual time that loses, delays and reorders messages, and is partitioned.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::BoxFuture;
use stonefold_store::codec::{decode, encode};
use stonefold_store::members::admit;
use stonefold_store::message::{Caller, Introduction, Request, RequestError, Response};
use stonefold_store::raft::MemberId;
use stonefold_store::replica::{Replica, Transport};
use tokio::time::{sleep, timeout};

/// The state of the network and of the members on it.
#[derive(Default)]
pub(crate) struct Links {
    /// The running members, with their incarnation.
    pub running: BTreeMap<MemberId, (u64, Replica<SimulatedTransport>)>,
    /// Pairs of members between which no messages pass.
    pub partitioned: BTreeSet<(MemberId, MemberId)>,
    /// The probability that a message is lost, in percent.
    pub loss: u32,
    /// The longest delay of a message, in ms.
    pub delay: u64,
}

/// The network. Clones share their state.
#[derive(Clone, Default)]
pub(crate) struct Network(Arc<Mutex<Links>>);

impl Network {
    pub(crate) fn links(&self) -> MutexGuard<'_, Links> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Whether this incarnation of a member is running.
    pub(crate) fn is_running(&self, member: MemberId, incarnation: u64) -> bool {
        self.links().running.get(&member).is_some_and(|(now, _)| *now == incarnation)
    }
    pub(crate) fn replica(&self, member: MemberId) -> Option<Replica<SimulatedTransport>> {
        self.links().running.get(&member).map(|(_, replica)| replica.clone())
    }
}

pub(crate) fn addr(member: MemberId) -> String {
    format!("sim:{member}")
}

/// The transport of one incarnation of a member on the network.
#[derive(Clone)]
pub(crate) struct SimulatedTransport {
    pub net: Network,
    pub me: MemberId,
    pub incarnation: u64,
}

impl SimulatedTransport {
    /// Delays a message. Returns whether it arrives.
    async fn deliver(&self, to: MemberId) -> bool {
        let delay = {
            let links = self.net.links();
            let pair = (self.me.min(to), self.me.max(to));
            let lost = fastrand::u32(..100) < links.loss || links.partitioned.contains(&pair);
            (!lost).then(|| Duration::from_micros(fastrand::u64(100..=links.delay.max(1) * 1_000)))
        };
        match delay {
            Some(delay) => sleep(delay).await,
            None => return false,
        }
        // Messages of an incarnation don't arrive any more once a later one of the same member runs. A member that is
        // still starting is not among the running ones.
        self.net.links().running.get(&self.me).is_none_or(|(incarnation, _)| *incarnation == self.incarnation)
    }

    async fn exchange(&self, member: MemberId, request: Request) -> Result<Response, RequestError> {
        let unreachable = || RequestError::Unreachable("the member is not running".into());
        if !self.deliver(member).await {
            return std::future::pending().await;
        }
        let (incarnation, replica) =
            self.net.links().running.get(&member).cloned().ok_or_else(unreachable)?;
        let (caller, identity) = (Caller::Member(self.me), replica.identity());
        let introduction = Introduction { cluster: identity.cluster, caller, addr: addr(self.me) };
        admit(&introduction, identity.cluster, identity.member, &replica.members())
            .map_err(|error| RequestError::Rejected(error.to_string()))?;
        // Messages are encoded and decoded as between processes. The request is carried out even if the caller stops
        // waiting for the response.
        let request: Request = decode("a request", &encode("a request", &request).unwrap()).unwrap();
        let response = tokio::spawn(async move { replica.answer(caller, request).await });
        let response = response.await.map_err(|_| unreachable())?;
        // If the member has ended meanwhile, no response arrives: what it did after its end may be on no disk.
        if !self.net.is_running(member, incarnation) || !self.deliver(member).await {
            return std::future::pending().await;
        }
        Ok(decode("a response", &encode("a response", &response).unwrap()).unwrap())
    }
}

impl Transport for SimulatedTransport {
    fn request(
        &self,
        member: MemberId,
        _addr: &str,
        request: Request,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Response, RequestError>> {
        let (transport, timed_out) =
            (self.clone(), |_| RequestError::Unreachable("no response in time".into()));
        Box::pin(async move { timeout(wait, transport.exchange(member, request)).await.map_err(timed_out)? })
    }
}
