//! Messages over TCP: who asks, and who answers.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use futures_util::future::BoxFuture;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tracing::warn;

use super::gate::{Gate, SUBSCRIBERS};
use super::keys::Keys;
use super::link::{HANDSHAKE, Introduction, Link, WireError, locked};
use super::publish::{Applying, Source, publish};
use crate::engine::MemberId;
use crate::feed::frame::Refusal;
use crate::feed::publisher::Limits;
use crate::members::{Hello, MembersError, admit};
use crate::message::{Party, Request, Response, Unavailable};
use crate::replica::{Replica, Transport};
use crate::state::NAME;

/// Connections that are kept to one address between questions.
const IDLE: usize = 4;
/// After an accept that failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Asks others over TCP, as a member or as a client.
#[derive(Clone)]
pub struct Tcp(Arc<Side>);

struct Side {
    keys: RwLock<Keys>,
    me: Introduction,
    idle: Mutex<HashMap<String, Vec<Link>>>,
    refused: AtomicU64,
}

impl Tcp {
    /// Asks as a member of a cluster, which listens at an address.
    pub fn member(keys: Keys, cluster: u128, member: MemberId, addr: String) -> Tcp {
        Tcp::new(keys, Introduction { cluster, party: Party::Member(member), addr })
    }

    /// Asks as somebody who has the key.
    pub fn client(keys: Keys, cluster: u128) -> Tcp {
        Tcp::new(keys, Introduction { cluster, party: Party::Client, addr: String::new() })
    }

    /// Follows as a subscriber, with the subscribers' keys.
    pub fn subscriber(keys: Keys, cluster: u128) -> Tcp {
        Tcp::new(keys, Introduction { cluster, party: Party::Subscriber, addr: String::new() })
    }

    fn new(keys: Keys, me: Introduction) -> Tcp {
        Tcp(Arc::new(Side {
            keys: RwLock::new(keys),
            me,
            idle: Mutex::default(),
            refused: AtomicU64::new(0),
        }))
    }

    /// The keys in force from now on, for both directions.
    pub fn set_keys(&self, keys: Keys) {
        *self.0.keys.write().unwrap_or_else(PoisonError::into_inner) = keys;
    }

    /// Callers that were heard and refused, subscribers that were cut among them.
    pub fn refused(&self) -> u64 {
        self.0.refused.load(Ordering::Relaxed)
    }

    pub(super) fn keys(&self) -> Keys {
        self.0.keys.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn exchange(&self, addr: &str, request: &Request) -> Result<Response, WireError> {
        let kept = locked(&self.0.idle).get_mut(addr).and_then(Vec::pop);
        if let Some(mut link) = kept
            && link.send("a question", request).await.is_ok()
        {
            // What was asked may have been done: it is asked again by whoever can tell that nothing follows twice.
            let answer = link.receive("an answer").await?;
            self.keep(addr, link);
            return Ok(answer);
        }
        let keys = self.keys();
        let link = timeout(HANDSHAKE, Link::connect(addr, &keys, &self.0.me)).await;
        let mut link = link.unwrap_or(Err(WireError::Late))?;
        link.send("a question", request).await?;
        let answer = link.receive("an answer").await?;
        self.keep(addr, link);
        Ok(answer)
    }

    fn keep(&self, addr: &str, link: Link) {
        let mut idle = locked(&self.0.idle);
        let links = idle.entry(addr.to_owned()).or_default();
        if links.len() < IDLE {
            links.push(link);
        }
    }
}

impl Transport for Tcp {
    fn ask(
        &self,
        _: MemberId,
        addr: &str,
        request: Request,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Response, Unavailable>> {
        let (tcp, addr) = (self.clone(), addr.to_owned());
        Box::pin(async move {
            match timeout(wait, tcp.exchange(&addr, &request)).await {
                Ok(Ok(response)) => Ok(response),
                Ok(Err(error)) => Err(Unavailable::Unreachable(format!("{addr}: {error}"))),
                Err(_) => {
                    Err(Unavailable::Unreachable(format!("{addr}: no answer within {} ms", wait.as_millis())))
                }
            }
        })
    }
}

/// Whoever answers callers that have proved themselves.
trait Answering: Clone + Send + Sync + 'static {
    /// Whether a caller is heard.
    fn admits(&self, who: &Introduction) -> Result<(), MembersError>;
    /// Attends to a caller that is, until it goes; an error is one that should not be here.
    fn attend(&self, link: Link, who: Introduction) -> impl Future<Output = Result<(), WireError>> + Send;
}

/// Answers others until it is told to stop. `tcp` has the keys.
pub async fn serve<T: Transport>(
    listener: TcpListener,
    replica: Replica<T>,
    tcp: Tcp,
    stop: CancellationToken,
) {
    let feed = Applying::new(replica.clone());
    listen(listener, Member { replica, feed }, tcp, stop).await;
}

/// Serves other subscribers, as a relay, until it is told to stop. `tcp` has the subscribers' keys.
pub async fn serve_relay<S: Source>(
    listener: TcpListener,
    source: S,
    tcp: Tcp,
    limits: Limits,
    stop: CancellationToken,
) {
    listen(listener, Relay { source, limits }, tcp, stop).await;
}

async fn listen<A: Answering>(listener: TcpListener, answering: A, tcp: Tcp, stop: CancellationToken) {
    let (gate, start) = (Arc::<Mutex<Gate>>::default(), Instant::now());
    let now = move || start.elapsed().as_millis() as u64;
    loop {
        let taken = tokio::select! {
            () = stop.cancelled() => return,
            taken = listener.accept() => taken,
        };
        let (stream, from) = match taken {
            Ok(taken) => taken,
            Err(error) => {
                warn!(event = "accept_failed", front = "store", %error, "a connection is not taken");
                sleep(PAUSE).await;
                continue;
            }
        };
        if let Err(turned_away) = admitted(&gate, from.ip(), now()) {
            if turned_away.is_power_of_two() {
                warn!(
                    event = "store_callers_turned_away",
                    turned_away, "callers of the store are closed unheard"
                );
            }
            continue;
        }
        let (answering, tcp, gate, stop) = (answering.clone(), tcp.clone(), gate.clone(), stop.clone());
        tokio::spawn(async move {
            let door = Door { gate: gate.clone(), subscriber: AtomicBool::new(false) };
            let attended = tokio::select! {
                () = stop.cancelled() => Ok(()),
                attended = attend(stream, &answering, &tcp, &door) => attended,
            };
            drop(door);
            let mut gate = locked(&gate);
            if let Err(error) = attended {
                tcp.0.refused.fetch_add(1, Ordering::Relaxed);
                // Guards against: members barred for a removed one, which has the key, and comes again and again.
                if matches!(error, WireError::Handshake(_) | WireError::Late) {
                    gate.failed(from.ip(), now());
                }
                if let Some(refused) = gate.refused(&error.to_string()) {
                    warn!(event = "store_caller_refused", %from, %error, refused, "a caller of the store is not heard");
                }
            }
        });
    }
}

/// Whether a connection is heard; else how many were not.
fn admitted(gate: &Mutex<Gate>, from: IpAddr, now_ms: u64) -> Result<(), u64> {
    let mut gate = locked(gate);
    if gate.admit(from, now_ms) { Ok(()) } else { Err(gate.turned_away) }
}

/// An admitted connection, counted until it is dropped.
struct Door {
    gate: Arc<Mutex<Gate>>,
    subscriber: AtomicBool,
}

impl Door {
    /// It is a subscriber's.
    fn subscribes(&self) -> bool {
        let room = locked(&self.gate).subscribes();
        self.subscriber.store(room, Ordering::Relaxed);
        room
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        let mut gate = locked(&self.gate);
        match self.subscriber.load(Ordering::Relaxed) {
            true => gate.unsubscribed(),
            false => gate.closed(),
        }
    }
}

/// Hears who calls, and has it attended to; an error is a caller who should not be here.
async fn attend<A: Answering>(
    stream: TcpStream,
    answering: &A,
    tcp: &Tcp,
    door: &Door,
) -> Result<(), WireError> {
    let keys = tcp.keys();
    let link = timeout(HANDSHAKE, Link::accept(stream, &keys)).await.unwrap_or(Err(WireError::Late));
    let mut link = match link {
        Err(WireError::Io(_)) => return Ok(()), // gone, or never said anything
        link => link?,
    };
    let who: Introduction = match timeout(HANDSHAKE, link.receive("an introduction")).await {
        Ok(Err(WireError::Io(_))) => return Ok(()),
        who => who.unwrap_or(Err(WireError::Late))?,
    };
    if who.addr.len() > NAME {
        return Err(WireError::Refused("an address that is too long".into()));
    }
    let said = match link.subscriber && who.party != Party::Subscriber {
        true => Err("a subscriber's key is one to follow with, and no more".to_owned()),
        false => answering.admits(&who).map_err(|error| error.to_string()),
    };
    let said = match who.party == Party::Subscriber && said.is_ok() && !door.subscribes() {
        true => Err(Refusal::Full(SUBSCRIBERS as u64).to_string()),
        false => said,
    };
    link.send("an introduction's answer", &said).await?;
    if let Err(why) = said {
        return Err(WireError::Refused(why));
    }
    answering.attend(link, who).await
}

/// A member: it answers questions, and serves subscribers.
struct Member<T> {
    replica: Replica<T>,
    feed: Applying<T>,
}

impl<T: Transport> Clone for Member<T> {
    fn clone(&self) -> Member<T> {
        Member { replica: self.replica.clone(), feed: self.feed.clone() }
    }
}

impl<T: Transport> Answering for Member<T> {
    fn admits(&self, who: &Introduction) -> Result<(), MembersError> {
        let hello = Hello { cluster: who.cluster, party: who.party, addr: &who.addr };
        let identity = self.replica.identity();
        admit(&hello, identity.cluster, identity.member, &self.replica.members())
    }

    async fn attend(&self, mut link: Link, who: Introduction) -> Result<(), WireError> {
        if who.party == Party::Subscriber {
            return publish(link, &self.feed, Limits::default()).await;
        }
        loop {
            let request: Request = match link.receive("a question").await {
                Ok(request) => request,
                Err(WireError::Io(_)) => return Ok(()),
                Err(error) => return Err(error),
            };
            let answer = self.replica.answer(who.party, request).await;
            link.send("an answer", &answer).await?;
        }
    }
}

/// A relay: it serves subscribers, and nobody else.
#[derive(Clone)]
struct Relay<S> {
    source: S,
    limits: Limits,
}

impl<S: Source> Answering for Relay<S> {
    fn admits(&self, who: &Introduction) -> Result<(), MembersError> {
        let ours = self.source.cluster();
        match who.cluster == ours {
            true if who.party == Party::Subscriber => Ok(()),
            true => Err(MembersError::Relay),
            false => Err(MembersError::Stranger { theirs: who.cluster, ours }),
        }
    }

    async fn attend(&self, link: Link, _: Introduction) -> Result<(), WireError> {
        publish(link, &self.source, self.limits).await
    }
}
