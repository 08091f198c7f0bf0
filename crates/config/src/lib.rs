//! The configuration: one typed tree, validated as a whole before anything acts on it.
//!
//! Layers override each other in this order: defaults, a TOML file, a document that the nodes share, the environment
//! (`STONEFOLD_NODE__LISTEN` is `node.listen`), flags (`--set node.listen=…`). An error names the location, the key, the
//! allowed values and the most similar known name. [`Config::to_platform`] converts the tree to the platform's JSON, which
//! is the one form that the node reads.

mod check;
mod error;
mod layers;
mod load;
mod merged;
mod platform;
mod positions;
mod tree;
mod units;

pub use check::{Check, CheckError};
pub use error::{ConfigError, InvalidValue, Location};
pub use layers::{Layers, SharedDocument, ValueSource};
pub use load::{EffectiveValue, Loaded, load, schema};
pub use tree::{
    CacheMode, Config, Connections, DeduplicationScope, Fleet, Idempotency, Limits, Log, LogFormat,
    Membership, Node, RequestClass, Requests, Role, Server, Store, Tenant,
};
pub use units::{Count, DurationMicros, DurationMillis, Fraction, Positive, Quantity, Size, Unit};
