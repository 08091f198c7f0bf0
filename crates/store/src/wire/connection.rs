//! An authenticated connection, and sending and receiving messages on it.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use stonefold_net::Socket;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::handshake::{
    ClientHandshake, HELLO_BYTES, HandshakeError, NONCE_BYTES, PROOF_BYTES, ServerHandshake, WELCOME_BYTES,
};
use super::keys::Keys;
use super::sealing::{LENGTH_BYTES, Opener, Sealer, SealingError};
use crate::codec::{self, CodecError};
use crate::feed::frame::FrameError;
use crate::message::Introduction;

/// How long a handshake may take, and each of the messages that begin a session (an introduction, a subscriber's
/// hello). Sending a subscriber's acknowledgement may take this long, too.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// The name of an introduction in errors.
pub(super) const INTRODUCTION: &str = "an introduction";
/// The name of the answer to an introduction in errors.
pub(super) const INTRODUCTION_ANSWER: &str = "an introduction's answer";

/// Why a connection can't be used any longer.
#[derive(Debug, thiserror::Error)]
pub(super) enum WireError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Handshake(#[from] HandshakeError),
    #[error("{0}")]
    Sealing(#[from] SealingError),
    #[error("{0}")]
    Codec(#[from] CodecError),
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("rejected: {0}")]
    Rejected(String),
    /// A step that [`HANDSHAKE_TIMEOUT`] limits took longer. The other side may be authenticated already.
    #[error("the handshake or the start of the session took longer than {} s", HANDSHAKE_TIMEOUT.as_secs())]
    HandshakeTimeout,
}

/// Locks a mutex, even if a thread has panicked while it held the lock.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn nonce() -> io::Result<[u8; NONCE_BYTES]> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce).map_err(|error| io::Error::other(error.to_string()))?;
    Ok(nonce)
}

/// An authenticated connection.
pub(super) struct Connection {
    /// Whether the other side has authenticated with a subscriber's key rather than a member's.
    pub has_subscriber_key: bool,
    sender: MessageSender,
    receiver: MessageReceiver,
}

/// The sending half of a connection. Dropping it shuts down this direction of the connection.
pub(super) struct MessageSender {
    socket: Arc<Socket>,
    sealer: Sealer,
}

impl Drop for MessageSender {
    fn drop(&mut self) {
        let _ = self.socket.shutdown_write(); // the connection may be broken
    }
}

/// The receiving half of a connection.
pub(super) struct MessageReceiver {
    socket: Arc<Socket>,
    opener: Opener,
}

impl Connection {
    fn new(socket: Socket, has_subscriber_key: bool, sealer: Sealer, opener: Opener) -> Connection {
        let socket = Arc::new(socket);
        let sender = MessageSender { socket: socket.clone(), sealer };
        Connection { has_subscriber_key, sender, receiver: MessageReceiver { socket, opener } }
    }

    /// Connects to an address, authenticates, and introduces the caller.
    pub(super) async fn connect(
        addr: &str,
        keys: &Keys,
        caller: &Introduction,
    ) -> Result<Connection, WireError> {
        let mut socket = Socket::new(TcpStream::connect(addr).await?)?;
        let (handshake, hello) = ClientHandshake::new(keys, nonce()?);
        socket.write_all(&hello).await?;
        let mut welcome = [0; WELCOME_BYTES];
        socket.read_exact(&mut welcome).await?;
        let (key, proof) = handshake.finish(&welcome)?;
        socket.write_all(&proof).await?;
        let (sealer, opener) = (Sealer::new(key.clone(), true), Opener::new(key, false));
        let mut connection = Connection::new(socket, false, sealer, opener);
        connection.send(INTRODUCTION, caller).await?;
        match connection.receive::<Result<(), String>>(INTRODUCTION_ANSWER).await? {
            Ok(()) => Ok(connection),
            Err(reason) => Err(WireError::Rejected(reason)),
        }
    }

    /// Authenticates a caller by `keys`, which are the members', or by the subscribers' keys that are derived from
    /// them.
    pub(super) async fn accept(stream: TcpStream, keys: &Keys) -> Result<Connection, WireError> {
        let mut socket = Socket::new(stream)?;
        let mut hello = [0; HELLO_BYTES];
        socket.read_exact(&mut hello).await?;
        let (handshake, welcome) = ServerHandshake::new(&keys.with_subscriber_keys(), &hello, nonce()?)?;
        socket.write_all(&welcome).await?;
        let mut proof = [0; PROOF_BYTES];
        socket.read_exact(&mut proof).await?;
        let has_subscriber_key = !keys.contains(handshake.claimed_key());
        let key = handshake.finish(&proof)?;
        let (sealer, opener) = (Sealer::new(key.clone(), false), Opener::new(key, true));
        Ok(Connection::new(socket, has_subscriber_key, sealer, opener))
    }

    /// Sends a value. `what` is its name in errors.
    pub(super) async fn send<T: Serialize>(
        &mut self,
        what: &'static str,
        value: &T,
    ) -> Result<(), WireError> {
        self.sender.send(&codec::encode(what, value)?).await
    }

    /// Receives a value. `what` is its name in errors.
    pub(super) async fn receive<T: DeserializeOwned>(&mut self, what: &'static str) -> Result<T, WireError> {
        self.receiver.receive_with(usize::MAX, |bytes| Ok(codec::decode(what, bytes)?)).await
    }

    pub(super) fn split(self) -> (MessageSender, MessageReceiver) {
        (self.sender, self.receiver)
    }
}

impl MessageSender {
    /// Seals and sends a message.
    pub(super) async fn send(&mut self, bytes: &[u8]) -> Result<(), WireError> {
        let sealed = self.sealer.seal(bytes)?;
        Ok(self.socket.write_all(&sealed).await?)
    }
}

impl MessageReceiver {
    /// Receives a message of at most `max` bytes.
    pub(super) async fn receive(&mut self, max: usize) -> Result<Vec<u8>, WireError> {
        self.receive_with(max, |bytes| Ok(bytes.to_vec())).await
    }

    /// Receives a message of at most `max` bytes, and passes it to `read`.
    async fn receive_with<T>(
        &mut self,
        max: usize,
        read: impl FnOnce(&[u8]) -> Result<T, WireError>,
    ) -> Result<T, WireError> {
        let mut length = [0; LENGTH_BYTES];
        let mut socket = &*self.socket;
        socket.read_exact(&mut length).await?;
        let sealed_len = self.opener.sealed_len(length)?;
        let body_len = u32::from_be_bytes(length) as usize;
        if body_len > max {
            return Err(FrameError::FrameTooLong(body_len).into());
        }
        // The buffer grows with the bytes that arrive rather than being allocated for the announced length.
        let mut sealed = Vec::new();
        socket.take(sealed_len as u64).read_to_end(&mut sealed).await?;
        if sealed.len() < sealed_len {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        read(self.opener.open(&sealed)?)
    }
}
