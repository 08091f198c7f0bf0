//! The way between replicas and to clients: framed and bounded messages over TCP, of which nothing is read any
//! further before both sides have proved that they have the same key. It does not hide what it carries; TLS beneath
//! it does.

mod follow;
mod frames;
mod gate;
mod handshake;
mod keys;
mod link;
mod publish;
mod tcp;

pub use follow::{Feed, OnPurge, View, follow};
pub use frames::{FrameError, MESSAGE, Opener, Sealer};
pub use gate::{Gate, SUBSCRIBERS};
pub use handshake::{Asked, Asking, HELLO, HandshakeError, PROOF, WELCOME, Welcoming};
pub use keys::{Key, KeyError, Keys};
pub use publish::Source;
pub use tcp::{Tcp, serve, serve_relay};
