//! Hollow nodes: the node's own control code, many in one process, before a discovery that is the emulator's.
//!
//! [`truth`] is what discovery has come to know and what each node has made of it, [`fleet`] the nodes and their
//! discovery, [`play`] what befalls them, [`real`] nodes as processes beside them.

pub mod fleet;
pub mod list_checker;
pub mod real;
pub mod scenario;
