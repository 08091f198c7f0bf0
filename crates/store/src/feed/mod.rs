//! Distribution of the committed state to nodes that are not members of the cluster: a *publisher* (a member or a
//! relay) sends changes to *subscribers* in the order of their revisions.
//!
//! These modules do no I/O and take the time as a parameter: [`table`] holds the state of a publisher or a subscriber,
//! [`frame`] defines the messages between them, [`delta`] the compact form of a changed list, [`publisher`] a
//! publisher's session with one subscriber, [`subscriber`] the subscriber's side, and [`selector`] its choice of a
//! publisher. [`crate::wire`] connects the two sides over sockets, [`crate::subscriber_folder`] saves the state that a
//! node uses, and [`crate::follower`] runs a subscriber beside a node.
//!
//! A *revision* is the index of the log entry that made a change. Items (documents, the list, overrides) are sent in
//! the order of their revisions, and only the latest value of each. Purges are sent in the same frames but in a
//! sequence of their own, numbered without gaps. A publisher that no longer retains a purge which a subscriber lacks
//! reports the gap.

pub mod delta;
pub mod frame;
pub mod publisher;
pub mod selector;
pub mod subscriber;
pub mod table;
