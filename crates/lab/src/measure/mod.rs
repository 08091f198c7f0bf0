//! The measurements: decisions and memory of a balancer, hollow nodes, and the members of a store.

pub mod decision;
pub mod hollow;
pub mod memory;
mod servers;
pub mod store;
