//! A small replicated store for configuration and state that must survive every restart.
//!
//! A few nodes are *members*, which replicate the state by Raft. All other nodes are *subscribers*, to which members
//! and relays publish the committed state.
//!
//! - Pure code without I/O: [`state`] holds the replicated state, [`change_index`] records which log entry changed each
//!   part of it, [`applied`] applies log entries, [`members`] decides who belongs to the cluster, [`freshness`] decides
//!   which versions a node may use, and [`feed`] distributes the state to subscribers.
//! - Stored and sent forms: [`codec`] encodes values, [`message`] defines requests and responses, [`snapshot`] seals
//!   snapshots.
//! - [`disk`] and [`state_machine`] are the storage of the consensus engine, whose types are in [`raft`]. [`replica`]
//!   runs the engine over any [`replica::Transport`]; [`wire`] is the transport over TCP.
//! - [`daemon`] runs a member beside a node. [`follower`] runs a subscriber, whose state is saved in a
//!   [`subscriber_folder`]. [`client`] sends requests from outside the cluster.

pub mod applied;
pub mod change_index;
pub mod client;
pub mod codec;
pub mod daemon;
pub mod disk;
pub mod feed;
pub mod follower;
pub mod freshness;
pub mod members;
pub mod message;
pub mod raft;
pub mod replica;
mod service;
pub mod snapshot;
pub mod state;
pub mod state_machine;
pub mod subscriber_folder;
pub mod wire;
