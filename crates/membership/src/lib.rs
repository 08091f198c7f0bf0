//! Cluster membership and failure detection: which nodes are alive, failed, left, or unreachable from this node.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey
//! 2017): random probes with indirect ones through other members, suspicion timeouts that shorten with independent
//! confirmations, refutation by incarnation, and a local health score. Two rules are added: a digest in each message
//! reveals views that differ, and a node declares a member failed only after its own suspicion timeout and its own
//! confirming probe. `docs/design/membership.md` gives the reasons.
//!
//! [`Detector`] is the state machine: it takes messages and the time, and returns messages and typed events. It does
//! no I/O and reads no clock; the time is in microseconds of one monotonic clock. The same code is driven by sockets
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

/// A point in time by the detector's clock, or a duration, in microseconds.
pub type Micros = u64;
