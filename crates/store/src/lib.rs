//! A small replicated store for the configuration and state that have to survive every restart.
//!
//! A few nodes are *members*: they replicate the state by Raft. All others are *subscribers*, to whom members and relays
//! publish what is committed.
//!
//! - Pure: [`state`] is the replicated state, [`change_index`] which entry changed each part of it, [`applied`] how log
//!   entries are applied, [`members`] who belongs to the cluster, [`freshness`] which versions a node may use, [`feed`] the
//!   distribution to subscribers.
//! - Stored and sent forms: [`codec`] encodes, [`message`] are requests and responses, [`snapshot`] is a sealed snapshot.
//! - [`disk`] and [`state_machine`] are the storage of the consensus engine, whose types are in [`raft`]. [`replica`] runs
//!   it over any [`replica::Transport`]; [`wire`] is the one over TCP.
//! - [`daemon`] runs a member beside a node, [`follower`] a subscriber, whose state is in a [`subscriber_folder`].
//!   [`client`] sends requests from outside.

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
