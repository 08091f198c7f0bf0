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

#[derive(Default)]
pub(crate) struct Links {
    /// The running members, with their incarnation.
    pub running: BTreeMap<MemberId, (u64, Replica<SimulatedTransport>)>,
    /// Pairs of members between which no messages pass.
    pub partitioned: BTreeSet<(MemberId, MemberId)>,
    /// Messages lost, in percent.
    pub loss: u32,
    /// The longest delay of a message, in ms.
    pub delay: u64,
}

/// The network; its clones are the same one.
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

/// One incarnation of a member on the network.
#[derive(Clone)]
pub(crate) struct SimulatedTransport {
    pub net: Network,
    pub me: MemberId,
    pub incarnation: u64,
}

impl SimulatedTransport {
    /// Delays a message; whether it arrives.
    async fn passes(&self, to: MemberId) -> bool {
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
        // A member that has ended neither sends nor receives any more.
        self.net.links().running.get(&self.me).is_none_or(|(incarnation, _)| *incarnation == self.incarnation)
    }

    async fn exchange(&self, member: MemberId, request: Request) -> Result<Response, RequestError> {
        let nobody = || RequestError::Unreachable("nobody there".into());
        if !self.passes(member).await {
            return std::future::pending().await;
        }
        let (incarnation, replica) = self.net.links().running.get(&member).cloned().ok_or_else(nobody)?;
        let (caller, identity) = (Caller::Member(self.me), replica.identity());
        let introduction = Introduction { cluster: identity.cluster, caller, addr: addr(self.me) };
        admit(&introduction, identity.cluster, identity.member, &replica.members())
            .map_err(|error| RequestError::Rejected(error.to_string()))?;
        // Encoded, as between processes. The request is carried out even if nobody waits for the response.
        let request: Request = decode("a question", &encode("a question", &request).unwrap()).unwrap();
        let answer = tokio::spawn(async move { replica.answer(caller, request).await });
        let answer = answer.await.map_err(|_| nobody())?;
        // What it has done after its end is on no disk, and no response arrives.
        if !self.net.is_running(member, incarnation) || !self.passes(member).await {
            return std::future::pending().await;
        }
        Ok(decode("an answer", &encode("an answer", &answer).unwrap()).unwrap())
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
        let (wire, late) = (self.clone(), |_| RequestError::Unreachable("no answer in time".into()));
        Box::pin(async move { timeout(wait, wire.exchange(member, request)).await.map_err(late)? })
    }
}
