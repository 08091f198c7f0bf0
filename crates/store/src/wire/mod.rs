//! TCP connections between members, clients, publishers and subscribers. Messages have a length prefix and a maximum
//! length, and none is read before both sides have proved that they have the same key. Messages are authenticated but
//! not encrypted; where encryption is needed, TLS has to provide it below this layer.

mod connection;
mod feed;
mod follow;
mod handshake;
mod keys;
mod limiter;
mod publish;
mod sealing;
mod server;
mod tcp;

pub use self::feed::{FeedView, SubscriberFeed};
pub use self::follow::{OnPurge, follow};
pub use self::handshake::{
    ClientHandshake, HELLO_BYTES, HandshakeError, PROOF_BYTES, ServerHandshake, WELCOME_BYTES,
};
pub use self::keys::{Key, KeyError, Keys};
pub use self::limiter::{ConnectionLimiter, MAX_CONNECTIONS, MAX_SUBSCRIBERS};
pub use self::publish::FeedSource;
pub use self::sealing::{MAX_MESSAGE_BYTES, Opener, Sealer, SealingError};
pub use self::server::{serve, serve_relay};
pub use self::tcp::TcpTransport;
