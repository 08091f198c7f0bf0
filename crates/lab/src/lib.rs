//! Scale experiments: how the cost of the node's code grows with the number of nodes, servers and store members.
//!
//! The plan of an [`experiment`] is a file that is checked completely before anything starts. The [`runner`] takes each
//! sample in its own process, so that no sample is affected by the memory or the threads of another. [`fit`] computes
//! the slope; [`report`] and [`plot`] write the results. The measurements are in [`measure`]; those of the nodes'
//! control code run the nodes of [`hollow`]. [`machine`] reads the limits and the usage counters of the machine.
#![allow(unreachable_pub, clippy::pedantic, rustdoc::all)] // not yet at the workspace's standard

pub mod experiment;
pub mod fit;
pub mod hollow;
pub mod machine;
pub mod measure;
pub mod plot;
pub mod report;
pub mod runner;
pub mod sample;
