//! Scale experiments: what the node's own code costs against the size of what stands round it.
//!
//! An [`experiment`] is a file, checked whole before anything starts. The [`runner`] takes each of its samples in a
//! process of its own, so that none finds the memory or the threads of another; [`fit`] tells the slope, [`report`]
//! and [`plot`] write both down. What is measured is in [`measure`], over the nodes of [`hollow`]; [`machine`]
//! reads what the machine allows and counts.
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
