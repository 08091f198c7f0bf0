//! The one socket type through which all bytes of stonefold go, and what its errors mean.
//!
//! An event loop that is told only of changes may take a short read for "nothing more has come" and a short write for
//! "no room", and then wait for an event that never comes; and an interrupted call is no end. A [`Socket`] goes on until
//! a call would block, and repeats what was interrupted.
#![allow(missing_docs, unreachable_pub, clippy::pedantic, rustdoc::all)] // not yet at the workspace's standard

mod listener;
mod meaning;
mod socket;

pub use listener::Listener;
pub use meaning::{Meaning, meaning};
pub use socket::Socket;
