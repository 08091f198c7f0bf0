//! What can be measured.

pub mod decision;
pub mod hollow;
pub mod memory;
mod servers;
pub mod store;
