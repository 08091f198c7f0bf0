//! A connection whose sides prove themselves, and what is said on it.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stonefold_net::Socket;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::frames::{FrameError, HEAD, Opener, Sealer};
use super::handshake::{Asking, HELLO, HandshakeError, PROOF, WELCOME, Welcoming};
use super::keys::Keys;
use crate::codec::{self, CodecError};
use crate::feed::frame;
use crate::message::Party;

/// Both sides have proved themselves within this time, or part.
pub(super) const HANDSHAKE: Duration = Duration::from_secs(2);

/// Why a connection is of no further use.
#[derive(Debug, thiserror::Error)]
pub(super) enum WireError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Handshake(#[from] HandshakeError),
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("{0}")]
    Codec(#[from] CodecError),
    #[error("{0}")]
    Feed(#[from] frame::FrameError),
    #[error("refused: {0}")]
    Refused(String),
    #[error("no proof within {} s", HANDSHAKE.as_secs())]
    Late,
}

pub(super) fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

fn nonce() -> io::Result<[u8; 32]> {
    let mut nonce = [0; 32];
    getrandom::fill(&mut nonce).map_err(|error| io::Error::other(error.to_string()))?;
    Ok(nonce)
}

/// A connection whose sides have proved themselves.
pub(super) struct Link {
    /// Whether the other side has proved a subscriber's key alone.
    pub subscriber: bool,
    sending: Sending,
    receiving: Receiving,
}

/// One direction, which ends when this is dropped.
pub(super) struct Sending {
    socket: Arc<Socket>,
    sealer: Sealer,
}

impl Drop for Sending {
    fn drop(&mut self) {
        let _ = self.socket.shutdown_write(); // the connection may be broken
    }
}

/// The other.
pub(super) struct Receiving {
    socket: Arc<Socket>,
    opener: Opener,
}

/// Who is at the other end of a connection; the first message on it.
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Introduction {
    pub cluster: u128,
    pub party: Party,
    pub addr: String,
}

impl Link {
    fn new(socket: Socket, subscriber: bool, sealer: Sealer, opener: Opener) -> Link {
        let socket = Arc::new(socket);
        let sending = Sending { socket: socket.clone(), sealer };
        Link { subscriber, sending, receiving: Receiving { socket, opener } }
    }

    pub async fn connect(addr: &str, keys: &Keys, me: &Introduction) -> Result<Link, WireError> {
        let mut stream = Socket::new(TcpStream::connect(addr).await?)?;
        let (asking, hello) = Asking::new(keys, nonce()?);
        stream.write_all(&hello).await?;
        let mut welcome = [0; WELCOME];
        stream.read_exact(&mut welcome).await?;
        let (key, proof) = asking.welcomed(&welcome)?;
        stream.write_all(&proof).await?;
        let mut link = Link::new(stream, false, Sealer::new(key.clone(), true), Opener::new(key, false));
        link.send("an introduction", me).await?;
        match link.receive::<Result<(), String>>("an introduction's answer").await? {
            Ok(()) => Ok(link),
            Err(why) => Err(WireError::Refused(why)),
        }
    }

    /// `keys` are the members'; those of subscribers follow from them.
    pub async fn accept(stream: TcpStream, keys: &Keys) -> Result<Link, WireError> {
        let mut stream = Socket::new(stream)?;
        let mut hello = [0; HELLO];
        stream.read_exact(&mut hello).await?;
        let (welcoming, welcome) = Welcoming::new(&keys.with_subscribers(), &hello, nonce()?)?;
        stream.write_all(&welcome).await?;
        let mut proof = [0; PROOF];
        stream.read_exact(&mut proof).await?;
        let subscriber = !keys.has(welcoming.used());
        let key = welcoming.proved(&proof)?;
        Ok(Link::new(stream, subscriber, Sealer::new(key.clone(), false), Opener::new(key, true)))
    }

    pub async fn send<T: serde::Serialize>(
        &mut self,
        what: &'static str,
        value: &T,
    ) -> Result<(), WireError> {
        self.sending.bytes(&codec::encode(what, value)?).await
    }

    pub async fn receive<T: serde::de::DeserializeOwned>(
        &mut self,
        what: &'static str,
    ) -> Result<T, WireError> {
        self.receiving.with(usize::MAX, |bytes| Ok(codec::decode(what, bytes)?)).await
    }

    pub fn split(self) -> (Sending, Receiving) {
        (self.sending, self.receiving)
    }
}

impl Sending {
    pub async fn bytes(&mut self, bytes: &[u8]) -> Result<(), WireError> {
        let frame = self.sealer.seal(bytes)?;
        Ok(self.socket.write_all(&frame).await?)
    }
}

impl Receiving {
    /// The next message, if it has at most so many bytes.
    pub async fn bytes(&mut self, most: usize) -> Result<Vec<u8>, WireError> {
        self.with(most, |bytes| Ok(bytes.to_vec())).await
    }

    async fn with<T>(
        &mut self,
        most: usize,
        read: impl FnOnce(&[u8]) -> Result<T, WireError>,
    ) -> Result<T, WireError> {
        let mut head = [0; HEAD];
        let mut half = &*self.socket;
        half.read_exact(&mut head).await?;
        let length = self.opener.length(head)?;
        let body = u32::from_be_bytes(head) as usize;
        if body > most {
            return Err(frame::FrameError::Frame(body).into());
        }
        // Grows with what has come, not with what was announced.
        let mut rest = Vec::new();
        half.take(length as u64).read_to_end(&mut rest).await?;
        if rest.len() < length {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        read(self.opener.open(&rest)?)
    }
}
