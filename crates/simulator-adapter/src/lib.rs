//! Adapter between the simulator and the balancer. It makes no decisions.
//!
//! The simulator runs many nodes, called instances. It sends their events in batches, one JSON value per line, and each
//! batch is answered with the actions of their balancers. [`run`] is the loop; the module `messages` is the only place
//! that knows the protocol's names, and `instance` translates its messages to events, and actions to its messages.
//!
//! Events with unknown names are skipped with a note; unknown fields and settings are skipped silently. Malformed input
//! ends the run.

mod adapter;
mod error;
mod instance;
mod messages;

pub use adapter::run;
pub use error::{AdapterError, AdapterErrorKind};
