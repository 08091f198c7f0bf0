//! Hollow nodes: the node's control code without traffic, many nodes in one process, with the emulator's discovery.
//!
//! [`fleet`] runs the nodes and their discovery, [`scenario`] the changes and restarts that they go through, [`real`]
//! additional nodes as processes. [`list_checker`] compares the lists that nodes apply with those that discovery
//! published.

pub mod fleet;
pub mod list_checker;
pub mod real;
pub mod scenario;
