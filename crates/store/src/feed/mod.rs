//! Distribution of committed state to nodes that are not members of the cluster: a *publisher* (a member or a relay)
//! sends changes to *subscribers*, by revision.
//!
//! Pure, with the time as a parameter: [`table`] is the state of either side, [`frame`] what they send, [`delta`] the
//! short form of a changed list, [`publisher`] a publisher's session with one subscriber, [`subscriber`] the other end,
//! [`selector`] its choice of a publisher. [`crate::wire`] connects them over sockets, [`crate::subscriber_folder`] saves
//! the state that a node uses, [`crate::follower`] runs a subscriber beside a node.
//!
//! A *revision* is the index of the log entry that made a change. Items (documents, the list, overrides) are sent in the
//! order of their revisions, only the newest of each. Purges are sent beside them in an order of their own, numbered
//! without gaps; one that can't be sent any more is reported.

pub mod delta;
pub mod frame;
pub mod publisher;
pub mod selector;
pub mod subscriber;
pub mod table;
