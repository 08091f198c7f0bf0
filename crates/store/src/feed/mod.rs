//! Distribution of committed state to nodes that are not members of the consensus: a *publisher* (a member, or a relay)
//! sends what changed to *subscribers*, by revision.
//!
//! Pure, with every time told: [`table`] is what either side holds, [`frame`] what they say, [`delta`] how a list is said
//! shortly, [`publisher`] one subscriber's session at its publisher, [`subscriber`] the other end, [`route`] which
//! publisher it turns to. [`crate::wire`] puts them on sockets, [`crate::kept`] puts what was acted on to disk,
//! [`crate::follower`] runs it beside a node.
//!
//! A *revision* is the index of the log entry that made a change. State (documents, the list, orders) goes out in the
//! order of revisions, the newest of each item alone; purge records go out beside it in an order of their own, numbered
//! without a gap, and none is ever left out unsaid.

pub mod delta;
pub mod frame;
pub mod publisher;
pub mod route;
pub mod subscriber;
pub mod table;
