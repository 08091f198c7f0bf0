//! Cluster membership and failure detection: which nodes are alive, failed, left, or unreachable from here.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey
//! 2017): random probes with indirect ones through other members, suspicion timeouts that shorten with independent
//! confirmations, refutation by incarnation, a local health score. Beyond them, a digest in each message finds views
//! that differ, and only a node's own timer, followed by its own confirming probe, declares a member failed.
//! `docs/design/membership.md` gives the reasons.
//!
//! [`Detector`] is the state machine: messages, timers and the time go in, messages and typed events come out. It does
//! no I/O and reads no clock; the time is microseconds of one monotonic clock. The same code is driven by sockets
//! and by a simulation in virtual time. [`Codec`] turns messages into authenticated datagrams.

mod codec;
mod detector;
mod gossip;
mod member;
mod message;
mod probe;
mod replay;
mod settings;
mod suspicion;
mod table;

pub use codec::{Codec, CodecError, KEY_LEN, MAX_DATAGRAM};
pub use detector::{Detector, DropCounters, Event, Output};
pub use member::{Member, MemberId, Profile, Reachability, State};
pub use message::{Body, Claim, Message, Update};
pub use settings::Settings;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
