//! A network in virtual time that loses, delays, reorders and parts.

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
    /// Who runs, and which of its lives that is.
    pub running: BTreeMap<MemberId, (u64, Replica<Wire>)>,
    /// Pairs that hear nothing of each other.
    pub parted: BTreeSet<(MemberId, MemberId)>,
    /// Messages lost, of a hundred.
    pub loss: u32,
    /// The longest way of a message, in ms.
    pub delay: u64,
}

/// The network; its clones are the same one.
#[derive(Clone, Default)]
pub(crate) struct Net(Arc<Mutex<Links>>);

impl Net {
    pub(crate) fn links(&self) -> MutexGuard<'_, Links> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Whether a member's life goes on.
    pub(crate) fn lives(&self, member: MemberId, life: u64) -> bool {
        self.links().running.get(&member).is_some_and(|(now, _)| *now == life)
    }
    pub(crate) fn replica(&self, member: MemberId) -> Option<Replica<Wire>> {
        self.links().running.get(&member).map(|(_, replica)| replica.clone())
    }
}

pub(crate) fn addr(member: MemberId) -> String {
    format!("sim:{member}")
}

/// One life of a member on the network.
#[derive(Clone)]
pub(crate) struct Wire {
    pub net: Net,
    pub me: MemberId,
    pub life: u64,
}

impl Wire {
    /// Whether a message gets through now, after its way.
    async fn passes(&self, to: MemberId) -> bool {
        let way = {
            let links = self.net.links();
            let pair = (self.me.min(to), self.me.max(to));
            let lost = fastrand::u32(..100) < links.loss || links.parted.contains(&pair);
            (!lost).then(|| Duration::from_micros(fastrand::u64(100..=links.delay.max(1) * 1_000)))
        };
        match way {
            Some(way) => sleep(way).await,
            None => return false,
        }
        // What a member says after its end is never heard, nor what it would have heard.
        self.net.links().running.get(&self.me).is_none_or(|(life, _)| *life == self.life)
    }

    async fn exchange(&self, member: MemberId, request: Request) -> Result<Response, RequestError> {
        let nobody = || RequestError::Unreachable("nobody there".into());
        if !self.passes(member).await {
            return std::future::pending().await;
        }
        let (life, replica) = self.net.links().running.get(&member).cloned().ok_or_else(nobody)?;
        let (caller, identity) = (Caller::Member(self.me), replica.identity());
        let introduction = Introduction { cluster: identity.cluster, caller, addr: addr(self.me) };
        admit(&introduction, identity.cluster, identity.member, &replica.members())
            .map_err(|error| RequestError::Rejected(error.to_string()))?;
        // Through bytes, as between processes; what is asked is carried out though nobody waits for it.
        let request: Request = decode("a question", &encode("a question", &request).unwrap()).unwrap();
        let answer = tokio::spawn(async move { replica.answer(caller, request).await });
        let answer = answer.await.map_err(|_| nobody())?;
        // What it did after its end is on no disk, and nobody hears of it.
        if !self.net.lives(member, life) || !self.passes(member).await {
            return std::future::pending().await;
        }
        Ok(decode("an answer", &encode("an answer", &answer).unwrap()).unwrap())
    }
}

impl Transport for Wire {
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
