//! Messages over TCP: who asks, and who answers.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use futures_util::future::BoxFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tracing::warn;

use super::frames::{FrameError, HEAD, Opener, Sealer};
use super::gate::Gate;
use super::handshake::{Asking, HELLO, HandshakeError, PROOF, WELCOME, Welcoming};
use super::keys::Keys;
use crate::codec::{self, CodecError};
use crate::engine::MemberId;
use crate::members::{Hello, admit};
use crate::message::{Party, Request, Response, Unavailable};
use crate::replica::{Replica, Transport};
use crate::state::NAME;

/// Both sides have proved themselves within this time, or part.
const HANDSHAKE: Duration = Duration::from_secs(2);
/// Connections that are kept to one address between questions.
const IDLE: usize = 4;
/// After an accept that failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Why a connection is of no further use.
#[derive(Debug, thiserror::Error)]
enum WireError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Handshake(#[from] HandshakeError),
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("{0}")]
    Codec(#[from] CodecError),
    #[error("refused: {0}")]
    Refused(String),
    #[error("no proof within {} s", HANDSHAKE.as_secs())]
    Late,
}

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

fn nonce() -> io::Result<[u8; 32]> {
    let mut nonce = [0; 32];
    getrandom::fill(&mut nonce).map_err(|error| io::Error::other(error.to_string()))?;
    Ok(nonce)
}

/// A connection whose sides have proved themselves.
struct Link {
    stream: TcpStream,
    sealer: Sealer,
    opener: Opener,
}

/// Who is at the other end of a connection; the first message on it.
#[derive(serde::Serialize, serde::Deserialize)]
struct Introduction {
    cluster: u128,
    party: Party,
    addr: String,
}

impl Link {
    async fn connect(addr: &str, keys: &Keys, me: &Introduction) -> Result<Link, WireError> {
        let mut stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let (asking, hello) = Asking::new(keys, nonce()?);
        stream.write_all(&hello).await?;
        let mut welcome = [0; WELCOME];
        stream.read_exact(&mut welcome).await?;
        let (key, proof) = asking.welcomed(&welcome)?;
        stream.write_all(&proof).await?;
        let (sealer, opener) = (Sealer::new(key.clone(), true), Opener::new(key, false));
        let mut link = Link { stream, sealer, opener };
        link.send("an introduction", me).await?;
        match link.receive::<Result<(), String>>("an introduction's answer").await? {
            Ok(()) => Ok(link),
            Err(why) => Err(WireError::Refused(why)),
        }
    }

    async fn accept(mut stream: TcpStream, keys: &Keys) -> Result<Link, WireError> {
        stream.set_nodelay(true)?;
        let mut hello = [0; HELLO];
        stream.read_exact(&mut hello).await?;
        let (welcoming, welcome) = Welcoming::new(keys, &hello, nonce()?)?;
        stream.write_all(&welcome).await?;
        let mut proof = [0; PROOF];
        stream.read_exact(&mut proof).await?;
        let key = welcoming.proved(&proof)?;
        Ok(Link { stream, sealer: Sealer::new(key.clone(), false), opener: Opener::new(key, true) })
    }

    async fn send<T: serde::Serialize>(&mut self, what: &'static str, value: &T) -> Result<(), WireError> {
        let frame = self.sealer.seal(&codec::encode(what, value)?)?;
        Ok(self.stream.write_all(&frame).await?)
    }

    async fn receive<T: serde::de::DeserializeOwned>(&mut self, what: &'static str) -> Result<T, WireError> {
        let mut head = [0; HEAD];
        self.stream.read_exact(&mut head).await?;
        let length = self.opener.length(head)?;
        // Grows with what has come, not with what was announced.
        let mut rest = Vec::new();
        (&mut self.stream).take(length as u64).read_to_end(&mut rest).await?;
        if rest.len() < length {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        Ok(codec::decode(what, self.opener.open(&rest)?)?)
    }
}

/// Asks others over TCP, as a member or as a client.
#[derive(Clone)]
pub struct Tcp(Arc<Side>);

struct Side {
    keys: RwLock<Keys>,
    me: Introduction,
    idle: Mutex<HashMap<String, Vec<Link>>>,
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

    fn new(keys: Keys, me: Introduction) -> Tcp {
        Tcp(Arc::new(Side { keys: RwLock::new(keys), me, idle: Mutex::default() }))
    }

    /// The keys in force from now on, for both directions.
    pub fn set_keys(&self, keys: Keys) {
        *self.0.keys.write().unwrap_or_else(PoisonError::into_inner) = keys;
    }

    fn keys(&self) -> Keys {
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

/// Answers others until it is told to stop. `tcp` has the keys.
pub async fn serve<T: Transport>(
    listener: TcpListener,
    replica: Replica<T>,
    tcp: Tcp,
    stop: CancellationToken,
) {
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
        let (replica, tcp, gate, stop) = (replica.clone(), tcp.clone(), gate.clone(), stop.clone());
        tokio::spawn(async move {
            let attended = tokio::select! {
                () = stop.cancelled() => Ok(()),
                attended = attend(stream, &replica, &tcp) => attended,
            };
            let mut gate = locked(&gate);
            gate.closed();
            if let Err(error) = attended {
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

/// Answers one connection; an error is a caller who should not be here.
async fn attend<T: Transport>(stream: TcpStream, replica: &Replica<T>, tcp: &Tcp) -> Result<(), WireError> {
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
    let identity = replica.identity();
    let hello = Hello { cluster: who.cluster, party: who.party, addr: &who.addr };
    let admitted = match who.addr.len() {
        0..=NAME => admit(&hello, identity.cluster, identity.member, &replica.members()),
        _ => return Err(WireError::Refused("an address that is too long".into())),
    };
    let said = admitted.map_err(|error| error.to_string());
    link.send("an introduction's answer", &said).await?;
    if let Err(why) = said {
        return Err(WireError::Refused(why));
    }
    loop {
        let request: Request = match link.receive("a question").await {
            Ok(request) => request,
            Err(WireError::Io(_)) => return Ok(()),
            Err(error) => return Err(error),
        };
        let answer = replica.answer(who.party, request).await;
        link.send("an answer", &answer).await?;
    }
}
